"""Checks the placement invariants: no work waits beside idle capacity (docs/design/sharing.md)."""

import collections
from collections.abc import Sequence
from typing import Any, NamedTuple

from ..common import constants
from .candidate_workers import CandidateWorker, used_fraction
from .leased_job import TaskBatch, TaskBatchKey
from .leased_job_state import LeasedJobState

RESERVATION_UNUSED = "kept room is not taken by the wave it is kept for"
IDLE_BESIDE_WORK = "a job waits beside ample idle room"


class Violation(NamedTuple):
    """A violation of one invariant for one job."""

    invariant: str
    job: str
    queue: str
    seconds: float  # how long the batch concerned has been short of capacity


class IdleCapacityCheck:
    """Checks the outcome of each scheduling round, and counts violations of two invariants.

    RESERVATION_UNUSED: after a round, a batch that is not a gang is short of capacity although a candidate
    reserved for it could run one more of its tasks. IDLE_BESIDE_WORK: for MAX_IDLE_WAIT seconds a job had
    nothing placed and waited for capacity, while its service had capacity for twice what the job needs at
    once and less than RESERVE_BUSY of its capacity was in use. A batch whose tenant is at its maximum does
    not count as short of capacity.

    Invariant: a violation is counted once per batch each time it begins.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()  # invariant -> violations
        # (invariant, key of a batch) of violations that are counted and continue
        self.ongoing: set[tuple[str, TaskBatchKey]] = set()
        # key of a batch -> since when its job has been waiting beside ample idle capacity
        self.waiting_since: dict[TaskBatchKey, float] = {}
        self.checked_at: float | None = None

    def check_reservations(
        self,
        reserved: dict[TaskBatchKey, tuple[TaskBatch, list[CandidateWorker]]],
        placed: dict[TaskBatchKey, int],
        short_since: dict[TaskBatchKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Returns new violations of RESERVATION_UNUSED. All mappings are by the key of a batch: `reserved` to
        (batch, candidates), `placed` to the tasks placed in this round, `short_since` to the time since when
        it has been short of capacity.
        """
        violating = {}
        for key, (batch, candidates) in reserved.items():
            is_short = len(batch.waiting) > placed.get(key, 0) and key in short_since and not batch.step.gang
            if is_short and any(candidate.may_place(batch, batch.job.priority) for candidate in candidates):
                violating[key] = batch
        return self._count_new(RESERVATION_UNUSED, violating, short_since, now)

    def check_waiting_jobs(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        short_since: dict[TaskBatchKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Returns new violations of IDLE_BESIDE_WORK; checks once in IDLE_LOOK_EVERY seconds at most."""
        if self.checked_at is not None and now - self.checked_at < constants.IDLE_LOOK_EVERY:
            return ()
        self.checked_at = now
        idle_services = [
            service
            for service, service_candidates in candidates.items()
            if short_since and used_fraction(service_candidates) < constants.RESERVE_BUSY
        ]
        waiting = {}
        # request of a batch -> whether there is ample capacity for it
        ample: dict[tuple[Any, ...], bool] = {}
        for key in short_since:
            batch = leased_jobs.ready.get(key)
            if (
                batch is not None
                and batch.job.service in idle_services
                and not batch.job.placed_tasks
                and self._has_ample_capacity(batch, candidates[batch.job.service], ample)
            ):
                waiting[key] = batch
        self.waiting_since = {key: self.waiting_since.get(key, now) for key in waiting}
        violating = {
            key: batch
            for key, batch in waiting.items()
            if now - self.waiting_since[key] > constants.MAX_IDLE_WAIT
        }
        return self._count_new(IDLE_BESIDE_WORK, violating, short_since, now)

    def _has_ample_capacity(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], ample: dict[tuple[Any, ...], bool]
    ) -> bool:
        """Whether there is capacity for twice what a batch needs at once. `ample` has the answers for batches
        that were looked at before, by their requests.
        """
        step, wanted = batch.step, 2 * (len(batch.waiting) if batch.step.gang else 1)
        request = (
            batch.job.service,
            step.resources,
            step.needs,
            wanted,
            batch.work() if step.apart else None,
        )
        if request not in ample:
            ample[request] = self._have_room(batch, candidates, wanted)
        return ample[request]

    def _have_room(self, batch: TaskBatch, candidates: Sequence[CandidateWorker], wanted: int) -> bool:
        """Whether candidates have capacity for so many tasks of a batch."""
        count = 0
        for candidate in candidates:
            count += candidate.free_members(batch)
            if count >= wanted:
                return True
        return False

    def _count_new(
        self,
        invariant: str,
        violating: dict[TaskBatchKey, TaskBatch],
        short_since: dict[TaskBatchKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Counts and returns the violations that are new."""
        earlier = {key for name, key in self.ongoing if name == invariant}
        self.ongoing -= {(invariant, key) for key in earlier - violating.keys()}
        new = [(key, batch) for key, batch in violating.items() if key not in earlier]
        self.ongoing |= {(invariant, key) for key, _ in new}
        self.counts[invariant] += len(new)
        return tuple(
            Violation(
                invariant, batch.job.identity, batch.job.queue, round(now - short_since.get(key, now), 3)
            )
            for key, batch in new
        )
