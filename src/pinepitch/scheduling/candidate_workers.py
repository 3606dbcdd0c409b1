"""The candidates of one assigning round: the workers that may get new work, and what they have free."""

from collections.abc import Sequence

from ..common import constants
from .leased_job import Step, Wave
from .leased_job_state import LeasedJobState
from .placement import Placements
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, less, tasks_in
from .worker import READY, Worker

# A step, whatever its time: (identity of the job, number of the step).
StepKey = tuple[str, int]

NO_PLACEMENTS: Placements = {}


class CandidateWorker:
    """A worker that may get work in this round. Invariant: free is its capacity less that of every
    placement there whose end is not proven, started or not.
    """

    __slots__ = (
        "free",
        "identity",
        "kept",
        "labels",
        "placed",
        "placements",
        "rack",
        "service",
        "unreliable",
        "worker",
    )

    def __init__(self, worker: Worker, free: Amount, placements: Placements, unreliable: bool) -> None:
        self.worker, self.identity, self.service = worker, worker.identity, worker.service
        self.labels, self.rack = worker.labels, worker.rack
        self.free, self.placements, self.unreliable = free, placements, unreliable
        self.placed: dict[StepKey, int] = {}  # step -> tasks of it that the round has placed here
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
            and (not step.apart or self._tasks_of(wave) < step.apart)
        )

    def _tasks_of(self, wave: Wave) -> int:
        """How many tasks of a wave's step are placed here, whatever their time."""
        step_key = (wave.job.identity, wave.number)
        before = sum((one.job, one.number) == step_key for one in self.placements.values())
        return before + self.placed.get(step_key, 0)

    def free_members(self, wave: Wave) -> int:
        """How many more tasks of a wave could run here now, whomever the capacity is kept for."""
        if not self.can_run(wave):
            return 0
        step, count = wave.step, tasks_in(self.free, wave.step.resources)
        if step.apart:
            beside = step.apart - self._tasks_of(wave)
            count = beside if count is None else min(count, beside)
        return len(wave.waiting) if count is None else count

    def placeable_members(self, wave: Wave, priority: int) -> int:
        """How many more tasks of a wave that shares capacity by a priority may be placed here now."""
        if not self.has_free(wave.step.resources) or self._is_kept_from(wave, priority):
            return 0
        return self.free_members(wave)

    def may_place(self, wave: Wave, priority: int) -> bool:
        """Whether one more task of a wave that shares capacity by a priority may be placed here."""
        return not self._is_kept_from(wave, priority) and self.can_run(wave)

    def _is_kept_from(self, wave: Wave, priority: int) -> bool:
        """Whether what is free is another wave's: it is taken by that one and by more urgent ones only."""
        kept = self.kept
        return kept is not None and kept is not wave and kept.job.priority <= priority

    def place(self, wave: Wave) -> None:
        """Places one task of a wave here."""
        self.free = less(self.free, wave.step.resources)
        key = (wave.job.identity, wave.number)
        self.placed[key] = self.placed.get(key, 0) + 1

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
            members = min(members, step.apart - self._tasks_of(wave))
        return max(0, members)

    def free_share(self, step: Step) -> float:
        """The least part, 0 to 1, of this worker's capacity that is free, over what a step asks for."""
        least, capacity = 1.0, self.worker.capacity
        for kind in RESOURCE_KINDS:
            if step.resources[kind]:
                least = min(least, self.free[kind] / capacity[kind])
        return least


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
        placements = leased_jobs.placements.get(worker.identity, NO_PLACEMENTS)
        if (
            worker.heartbeats < 2
            or worker.state != READY
            or worker.unresponsive(now)
            or worker.stale
            or worker.zone in leased_jobs.evacuated
            or now < worker.avoided_until
            or not worker.running.keys() <= placements.keys()
        ):
            continue
        unreliable = worker.failing > constants.LIVENESS_POOR
        if unreliable and placements:
            continue
        free = less(worker.capacity, leased_jobs.taken.get(worker.identity, NO_RESOURCES))
        candidates.setdefault(worker.service, []).append(
            CandidateWorker(worker, free, placements, unreliable)
        )
    return candidates
