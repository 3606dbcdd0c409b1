"""The candidates of one assigning round: the workers that may get new work, and what they have free."""

from collections.abc import Sequence

from ..common import constants
from .leased_job import Step, Wave
from .leased_job_state import LeasedJobState
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, less, tasks_in
from .worker import READY, Worker

# A step, whatever its time: (identity of the job, number of the step).
StepKey = tuple[str, int]


class CandidateWorker:
    """A worker that may get work in this round. Invariant: free is its capacity less that of every
    placement there whose end is not proven, started or not.
    """

    __slots__ = ("free", "identity", "kept", "labels", "rack", "service", "steps", "unreliable", "worker")

    def __init__(self, worker: Worker, free: Amount, steps: dict[StepKey, int], unreliable: bool) -> None:
        self.worker, self.identity, self.service = worker, worker.identity, worker.service
        self.labels, self.rack = worker.labels, worker.rack
        self.free, self.steps, self.unreliable = free, steps, unreliable
        self.kept: Wave | None = None  # the wave that its capacity is kept for

    def has_free(self, resources: Resources) -> bool:
        """Whether one task of this capacity fits into what is free."""
        free = self.free
        return resources[0] <= free[0] and resources[1] <= free[1] and resources[2] <= free[2]

    def can_run(self, wave: Wave) -> bool:
        """Whether one more task of a wave could run here, whomever the capacity is kept for."""
        step = wave.step
        return (
            self.service == wave.job.service
            and self.has_free(step.resources)
            and (not step.needs or self.labels.issuperset(step.needs))
            and (not step.apart or self.steps.get((wave.job.identity, wave.number), 0) < step.apart)
        )

    def free_members(self, wave: Wave) -> int:
        """How many more tasks of a wave could run here now, whomever the capacity is kept for."""
        if not self.can_run(wave):
            return 0
        step, count = wave.step, tasks_in(self.free, wave.step.resources)
        beside = self.steps.get((wave.job.identity, wave.number), 0)
        counts = [one for one in (count, step.apart - beside if step.apart else None) if one is not None]
        return min(counts, default=len(wave.waiting))

    def may_place(self, wave: Wave, priority: int) -> bool:
        """Whether one more task of a wave that shares capacity by a priority may be placed here: what is kept
        is taken by its wave and by more urgent ones only.
        """
        kept = self.kept
        if kept is not None and kept is not wave and kept.job.priority <= priority:
            return False
        return self.can_run(wave)

    def place(self, wave: Wave) -> None:
        """Places one task of a wave here."""
        self.free = less(self.free, wave.step.resources)
        key = (wave.job.identity, wave.number)
        self.steps[key] = self.steps.get(key, 0) + 1

    def potential_members(self, wave: Wave, lasting: Resources) -> int:
        """How many more tasks of a wave this worker could run at once if all left it but what lasts,
        which takes the capacity `lasting`.
        """
        step, resources = wave.step, less(self.worker.capacity, lasting)
        if step.needs and not self.labels.issuperset(step.needs):
            return 0
        count = tasks_in(resources, step.resources)
        members = 1 if count is None else count
        if step.apart:
            members = min(members, step.apart - self.steps.get((wave.job.identity, wave.number), 0))
        return max(0, members)

    def free_share(self, step: Step) -> float:
        """The least part, 0 to 1, of this worker's capacity that is free, over what a step asks for."""
        return min(
            (self.free[kind] / self.worker.capacity[kind] for kind in RESOURCE_KINDS if step.resources[kind]),
            default=1,
        )


def in_use(candidates: Sequence[CandidateWorker]) -> float:
    """The part, 0 to 1, of the capacity of some candidates that is taken, of the resource most taken."""
    most = 0.0
    for kind in RESOURCE_KINDS:
        total = sum(candidate.worker.capacity[kind] for candidate in candidates)
        if total:
            most = max(most, 1 - sum(candidate.free[kind] for candidate in candidates) / total)
    return most


def candidate_workers(
    leased_jobs: LeasedJobState, workers: dict[str, Worker], now: float
) -> dict[str, list[CandidateWorker]]:
    """The workers that may get work in a round, as candidates, by service. Left out are those that are
    not fresh (heard once, unresponsive, late), closed (draining, evacuated, avoided), that run what is
    not placed on them, or that are on trial after failures and have work already.
    """
    candidates: dict[str, list[CandidateWorker]] = {}
    for worker in workers.values():
        placements = leased_jobs.placements.get(worker.identity, {})
        if (
            worker.heartbeats < 2
            or worker.state != READY
            or worker.unresponsive(now)
            or worker.stale
            or worker.zone in leased_jobs.evacuated
            or now < worker.avoided_until
            or any(key not in placements for key in worker.running)
        ):
            continue
        unreliable = worker.failing > constants.LIVENESS_POOR
        if unreliable and placements:
            continue
        free = less(worker.capacity, leased_jobs.taken.get(worker.identity, NO_RESOURCES))
        steps: dict[StepKey, int] = {}
        for placement in placements.values():
            place = (placement.job, placement.number)
            steps[place] = steps.get(place, 0) + 1
        candidates.setdefault(worker.service, []).append(CandidateWorker(worker, free, steps, unreliable))
    return candidates
