"""What one placing round knows and counts: seats, free units, credits lent, and what is kept back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.pushed_job import PushedJob
    from ..model.task import Task
    from ..state.cluster_state import ClusterState

# why a unit is not placed; callers see these words
NO_CAPACITY = "no room"
NO_CREDITS = "no credits"
QUEUE_LIMIT = "the queue's limit"
NO_WORKER = "no minion fits"
RESERVED_FOR_OLDER = "held back for older work of its queue"

Charges = tuple[tuple[str, int], ...]  # ((queue, credits that it lends), ...)
UnitKey = tuple[str, str]  # (job, start unit)
ReservedUnits = dict[str, tuple[int, UnitKey]]  # worker or queue -> (units kept back, for whom)
Shape = tuple[Any, ...]  # units and labels of each task of a unit: what none fits of, none fits


class CandidateWorker(NamedTuple):
    """A worker as one placing round sees it."""

    worker: str
    zone: str
    capacity: int  # units in all
    labels: frozenset[str]
    incarnation: str
    poor: bool  # on trial: it gets one task at a time
    address: str


class StartableUnit(NamedTuple):
    """A start unit of a job that could start now. Invariant: names are its waiting tasks."""

    job: PushedJob
    unit: str
    names: tuple[str, ...]
    shape: tuple[str, Shape]  # with its queue

    @property
    def key(self) -> UnitKey:
        """What tells it from other units."""
        return (self.job.identity, self.unit)

    def largest_first(self) -> list[str]:
        """Its tasks in the order in which they get their workers."""
        return largest_first(self.job, self.names)


class PlaceItem(NamedTuple):
    """One task on one worker, as proposed. The log holds it as an array in this order."""

    reference: str
    worker: str
    zone: str
    capacity: int
    incarnation: str
    front_daemon: str  # the one that is to send the start order
    charges: Charges
    address: str


def largest_first(job: PushedJob, names: Iterable[str]) -> list[str]:
    """Tasks of a job by falling units, as the largest are the hardest to fit."""
    return sorted(names, key=lambda name: (-job.tasks[name].units, name))


class PlacementRound:
    """One round. Invariants: free counts every reservation in the cluster state, every one
    proposed, and those of this round; what is kept back is for the unit named alone.
    """

    def __init__(self, candidates: list[CandidateWorker], free: dict[str, int]) -> None:
        self.candidates, self.free = candidates, free
        self.borrowed: dict[str, int] = {}  # queue -> credits lent, proposed ones with them
        self.used: dict[str, int] = {}  # queue -> units placed, proposed ones with them
        self.reserved_on_workers: ReservedUnits = {}  # by worker: of its capacity
        self.reserved_in_queues: ReservedUnits = {}  # by queue: of its credits and its limit

    def count_placed(self, charges: Iterable[tuple[str, int]], queue: str, units: int) -> None:
        """Counts units of a queue as placed, on these credits."""
        self.used[queue] = self.used.get(queue, 0) + units
        for lender, credits in charges:
            self.borrowed[lender] = self.borrowed.get(lender, 0) + credits

    def reserved_for_others(self, reserved_units: ReservedUnits, key: str, startable: StartableUnit) -> int:
        """Units that are kept back from `wanted`."""
        reservation = reserved_units.get(key)
        return 0 if reservation is None or reservation[1] == startable.key else reservation[0]

    def find_reservation(self, job: PushedJob, names: tuple[str, ...]) -> dict[str, int] | None:
        """Worker -> units to keep back for a unit, where most is free; None if it fits nowhere."""
        taken: dict[str, int] = {}
        for name in largest_first(job, names):
            task = job.tasks[name]
            labels, units = frozenset(task.labels), task.units
            fitting = [
                candidate
                for candidate in self.candidates
                if labels <= candidate.labels
                and not candidate.poor
                and candidate.worker not in self.reserved_on_workers
                and candidate.capacity - taken.get(candidate.worker, 0) >= units
            ]
            if not fitting:
                return None
            best = max(fitting, key=lambda candidate: self._reservation_rank(candidate, taken))
            taken[best.worker] = taken.get(best.worker, 0) + units
        return taken

    def _reservation_rank(self, candidate: CandidateWorker, taken: dict[str, int]) -> tuple[int, int, str]:
        """How good a worker is to keep units back on: most free units, fewest labels."""
        return (
            self.free[candidate.worker] - taken.get(candidate.worker, 0),
            -len(candidate.labels),
            candidate.worker,
        )

    def choose_worker(
        self, task: Task, startable: StartableUnit, taken: dict[str, int]
    ) -> CandidateWorker | str:
        """The seat for a task: the one with most capacity left, so that load spreads; seats
        with labels that the task does not ask for come last, so that they stay free.
        """
        best, best_rank, any_fits = None, None, False
        labels = frozenset(task.labels)
        for candidate in self.candidates:
            if not labels <= candidate.labels or task.units > candidate.capacity:
                continue
            any_fits = True
            free_after = self.free[candidate.worker] - taken.get(candidate.worker, 0) - task.units
            free_after -= self.reserved_for_others(self.reserved_on_workers, candidate.worker, startable)
            if free_after < 0 or (candidate.poor and taken.get(candidate.worker)):
                continue
            rank = (
                candidate.poor,
                len(candidate.labels - labels),
                -free_after / max(1, candidate.capacity),
                candidate.worker,
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = candidate, rank
        if best is None:
            return NO_CAPACITY if any_fits else NO_WORKER
        return best

    def charges(
        self, cluster_state: ClusterState, job: PushedJob, units: int, lent: dict[str, int], reserved: int
    ) -> Charges | None:
        """Who lends the credits for a task: the queue itself but for what it keeps, then the queues
        with most idle; None if they don't suffice. A feed has no end, so it never borrows.
        `lent` holds what the unit's earlier tasks took, and is added to.
        """

        def balance(queue: str) -> int:
            return cluster_state.balance(queue) - self.borrowed.get(queue, 0) - lent.get(queue, 0)

        own = min(units, max(0, balance(job.queue) - reserved))
        charges = [(job.queue, own)] if own else []
        uncovered = units - own
        if uncovered and job.kind != "feed":
            for lender in sorted(
                _lenders(cluster_state, job.queue), key=lambda queue: (-balance(queue), queue)
            ):
                credits = min(uncovered, balance(lender))
                if credits <= 0:
                    break
                charges.append((lender, credits))
                uncovered -= credits
                if not uncovered:
                    break
        if uncovered:
            return None
        for lender, credits in charges:
            lent[lender] = lent.get(lender, 0) + credits
        return tuple(charges)


def _lenders(cluster_state: ClusterState, borrower: str) -> list[str]:
    """The other queues that lend and have nothing ready of their own."""
    return [
        queue
        for queue, queue_settings in cluster_state.queue_settings.items()
        if queue != borrower and queue_settings.lends and not cluster_state.ready_units.get(queue)
    ]
