"""The candidates of one scheduling round: the workers that may get new work, and their free capacity."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from ..model.reliability import FailureEvidence, Trust
from .job_document import Step
from .leased_job import TaskBatch
from .leased_job_state import LeasedJobState
from .placement import Placements
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, fitting_tasks, subtract, total
from .worker import READY, Worker

# Identifies a step regardless of its time: (identity of the job, number of the step).
StepKey = tuple[str, int]

NO_PLACEMENTS: Placements = {}


class CandidateWorker:
    """A worker that may get work in this round. Invariant: `free` is the worker's capacity less that of all
    its placements whose end is not proven, whether started or not.
    """

    __slots__ = (
        "free",
        "identity",
        "labels",
        "placed",
        "placements",
        "rack",
        "reserved_for",
        "service",
        "tasks_of_steps",
        "trust",
        "worker",
    )

    def __init__(self, worker: Worker, free: Amount, placements: Placements, trust: Trust) -> None:
        self.worker, self.identity, self.service = worker, worker.identity, worker.service
        self.labels, self.rack = worker.labels, worker.rack
        self.free, self.placements, self.trust = free, placements, trust
        self.placed: dict[StepKey, int] = {}  # step -> its tasks that this round has placed here
        # step -> its tasks that earlier rounds have placed here; counted when first needed
        self.tasks_of_steps: Counter[StepKey] | None = None
        self.reserved_for: TaskBatch | None = None  # the batch that the worker is reserved for

    def has_free(self, resources: Resources) -> bool:
        """Whether a task that needs these resources fits into the free capacity."""
        free = self.free
        return resources[0] <= free[0] and resources[1] <= free[1] and resources[2] <= free[2]

    def can_run(self, batch: TaskBatch) -> bool:
        """Whether one more task of a batch could run here, regardless of reservations."""
        step = batch.step
        return (
            self.service == batch.job.service
            and self.has_free(step.resources)
            and not (self.trust is Trust.ON_TRIAL and self.placed)
            and (not step.needs or self.labels.issuperset(step.needs))
            and (not step.apart or self._tasks_of(batch) < step.apart)
        )

    def _tasks_of(self, batch: TaskBatch) -> int:
        """How many tasks of a batch's step are placed here, regardless of their time."""
        if self.tasks_of_steps is None:
            placements = self.placements.values()
            self.tasks_of_steps = Counter((placement.job, placement.number) for placement in placements)
        return self.tasks_of_steps[batch.work()] + self.placed.get(batch.work(), 0)

    def free_members(self, batch: TaskBatch) -> int:
        """How many more tasks of a batch could run here now, regardless of reservations."""
        if not self.can_run(batch):
            return 0
        if self.trust is Trust.ON_TRIAL:
            return 1
        step, count = batch.step, fitting_tasks(self.free, batch.step.resources)
        if step.apart:
            allowed = step.apart - self._tasks_of(batch)
            count = allowed if count is None else min(count, allowed)
        return len(batch.waiting) if count is None else count

    def placeable_members(self, batch: TaskBatch, priority: int) -> int:
        """How many more tasks of a batch may be placed here now; `priority` is the one by which it shares
        capacity.
        """
        if not self.has_free(batch.step.resources) or self._is_reserved_from(batch, priority):
            return 0
        return self.free_members(batch)

    def may_place(self, batch: TaskBatch, priority: int) -> bool:
        """Whether one more task of a batch may be placed here; `priority` is the one by which it shares
        capacity.
        """
        return not self._is_reserved_from(batch, priority) and self.can_run(batch)

    def _is_reserved_from(self, batch: TaskBatch, priority: int) -> bool:
        """Whether the worker is reserved for another batch that is at least as urgent. More urgent batches
        may use its capacity all the same.
        """
        reserved_for = self.reserved_for
        return (
            reserved_for is not None and reserved_for is not batch and reserved_for.job.priority <= priority
        )

    def add_task(self, batch: TaskBatch) -> None:
        """Places one task of a batch here."""
        self.free = subtract(self.free, batch.step.resources)
        key = (batch.job.identity, batch.number)
        self.placed[key] = self.placed.get(key, 0) + 1

    def potential_members(self, batch: TaskBatch, long_running: Resources) -> int:
        """How many more tasks of a batch this worker could run at once if only its long-running tasks
        remained; `long_running` is the capacity that these use.
        """
        step, resources = batch.step, subtract(self.worker.capacity, long_running)
        if step.needs and not self.labels.issuperset(step.needs):
            return 0
        count = fitting_tasks(resources, step.resources)
        members = 1 if count is None else count
        if step.apart:
            members = min(members, step.apart - self._tasks_of(batch))
        return max(0, members)

    def free_fraction(self, step: Step) -> float:
        """The fraction, 0 to 1, of this worker's capacity that is free: the least over the resources that a
        step asks for.
        """
        least, capacity = 1.0, self.worker.capacity
        for kind in RESOURCE_KINDS:
            if step.resources[kind]:
                least = min(least, self.free[kind] / capacity[kind])
        return least


class PotentialCapacity:
    """Counts the tasks of a request that the candidates of a service could run if nothing else ran there.

    Invariant: it looks at each candidate once for each request, and at no more of them than it was asked for.
    """

    def __init__(self, candidates: Sequence[CandidateWorker]) -> None:
        self._candidates = candidates
        # request -> (tasks that the first candidates could run, number of these candidates)
        self._counted: dict[tuple[Any, ...], tuple[int, int]] = {}

    def reaches(self, batch: TaskBatch, wanted: int) -> bool:
        """Whether the candidates could run so many tasks of a batch together."""
        step = batch.step
        request = (step.resources, step.needs, batch.work() if step.apart else None)
        members, counted = self._counted.get(request, (0, 0))
        while members < wanted and counted < len(self._candidates):
            members += self._candidates[counted].potential_members(batch, NO_RESOURCES)
            counted += 1
        self._counted[request] = (members, counted)
        return members >= wanted


def total_capacity(candidates: Sequence[CandidateWorker]) -> Amount:
    """The capacity of all candidates together, whatever runs on them."""
    return total([candidate.worker.capacity for candidate in candidates])


def used_fraction(candidates: Sequence[CandidateWorker]) -> float:
    """The fraction, 0 to 1, of the candidates' total capacity that is in use, of the resource used most."""
    capacity, free = total_capacity(candidates), total([candidate.free for candidate in candidates])
    return max(0.0, *(1 - free[kind] / capacity[kind] if capacity[kind] else 0.0 for kind in RESOURCE_KINDS))


def candidate_workers(
    leased_jobs: LeasedJobState, workers: dict[str, Worker], evidence: FailureEvidence, now: float
) -> dict[str, list[CandidateWorker]]:
    """The workers that may get work in a round, as candidates by service. Excluded are workers that were
    heard only once, are unresponsive or have a late heartbeat; that are not ready, evacuated or avoided for a
    while; that run something not placed on them; and distrusted workers that have a run to judge them by.
    """
    candidates: dict[str, list[CandidateWorker]] = {}
    busy: dict[str, list[CandidateWorker]] = {}  # service -> distrusted workers with a run to judge them by
    placements_of, used_by_worker = leased_jobs.placements.get, leased_jobs.used_by_worker.get
    evacuated, trust_of = leased_jobs.evacuated, evidence.trust_of
    for identity, worker in workers.items():
        placements = placements_of(identity, NO_PLACEMENTS)
        if (
            worker.heartbeats < 2
            or worker.state != READY
            or worker.stale
            or worker.zone in evacuated
            or now < worker.avoided_until
            or worker.unresponsive(now)
            or (worker.running and not worker.running.keys() <= placements.keys())
        ):
            continue
        trust = trust_of(identity, now)
        free = subtract(worker.capacity, used_by_worker(identity, NO_RESOURCES))
        candidate = CandidateWorker(worker, free, placements, trust)
        if trust is not Trust.RELIABLE and is_judged_by_run(leased_jobs, placements):
            busy.setdefault(worker.service, []).append(candidate)
        else:
            candidates.setdefault(worker.service, []).append(candidate)
    _use_distrusted(candidates, busy)
    return candidates


def is_judged_by_run(leased_jobs: LeasedJobState, placements: Placements) -> bool:
    """Whether a distrusted worker with these placements has a run whose end will show whether it still fails.
    A long-running task shows nothing, as it does not end.
    """
    for placement in placements.values():
        batch_and_task = leased_jobs.current_task(placement)
        if batch_and_task is None or not batch_and_task[0].step.lasts:
            return True
    return False


def _use_distrusted(
    candidates: dict[str, list[CandidateWorker]], busy: dict[str, list[CandidateWorker]]
) -> None:
    """Adds the distrusted workers that have a run to the candidates of those services of which most workers
    are distrusted: what fails nearly everywhere is hardly the workers' fault.
    """
    for service, distrusted in busy.items():
        others = candidates.setdefault(service, [])
        trusted = sum(candidate.trust is Trust.RELIABLE for candidate in others)
        if trusted < len(distrusted) + len(others) - trusted:
            for candidate in distrusted:
                candidate.trust = Trust.UNRELIABLE
            others.extend(distrusted)
