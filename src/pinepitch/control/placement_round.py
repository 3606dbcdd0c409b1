"""State of one scheduling round: candidate workers, free units, lent credits, and reservations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.pushed_job import PushedJob
    from ..model.task import Task
    from ..state.cluster_state import ClusterState

# Reasons why a unit is not placed, as shown to callers.
NO_CAPACITY = "no room"
NO_CREDITS = "no credits"
QUEUE_LIMIT = "the queue's limit"
NO_WORKER = "no minion fits"
RESERVED_FOR_OLDER = "held back for older work of its queue"

Charges = tuple[tuple[str, int], ...]  # ((queue, credits that it lends), ...)
UnitKey = tuple[str, str]  # (job, start unit)
ReservedUnits = dict[str, tuple[int, UnitKey]]  # worker or queue -> (reserved units, unit that they are for)
Shape = tuple[Any, ...]  # units and labels of each task; if one unit of a shape does not fit, none does


class CandidateWorker(NamedTuple):
    """A worker as one scheduling round sees it."""

    worker: str
    zone: str
    capacity: int  # total units
    labels: frozenset[str]
    incarnation: str
    poor: bool  # on trial: gets one task at a time
    address: str


class StartableUnit(NamedTuple):
    """A start unit of a job that could start now. Invariant: names are its waiting tasks."""

    job: PushedJob
    unit: str
    names: tuple[str, ...]
    shape: tuple[str, Shape]  # (queue, shape)

    @property
    def key(self) -> UnitKey:
        """Its identity among all units."""
        return (self.job.identity, self.unit)

    def largest_first(self) -> list[str]:
        """Its tasks in the order in which they are assigned to workers."""
        return largest_first(self.job, self.names)


class PlaceItem(NamedTuple):
    """One task on one worker, as proposed. The log stores it as an array in this order."""

    reference: str
    worker: str
    zone: str
    capacity: int
    incarnation: str
    front_daemon: str  # sends the start order
    charges: Charges
    address: str


def largest_first(job: PushedJob, names: Iterable[str]) -> list[str]:
    """Tasks of a job by decreasing units, because the largest are the hardest to fit."""
    return sorted(names, key=lambda name: (-job.tasks[name].units, name))


class PlacementRound:
    """One scheduling round. Invariants: `free` accounts for every reservation in the cluster state, every
    proposed one, and those of this round; reserved units may only be used by the unit that they are reserved
    for.
    """

    def __init__(self, candidates: list[CandidateWorker], free: dict[str, int]) -> None:
        self.candidates, self.free = candidates, free
        self.borrowed: dict[str, int] = {}  # queue -> credits lent, including proposed ones
        self.used: dict[str, int] = {}  # queue -> units placed, including proposed ones
        self.reserved_on_workers: ReservedUnits = {}  # worker -> reserved part of its capacity
        self.reserved_in_queues: ReservedUnits = {}  # queue -> reserved part of its credits and limit

    def count_placed(self, charges: Iterable[tuple[str, int]], queue: str, units: int) -> None:
        """Counts units of a queue as placed, paid for by these credits."""
        self.used[queue] = self.used.get(queue, 0) + units
        for lender, credits in charges:
            self.borrowed[lender] = self.borrowed.get(lender, 0) + credits

    def reserved_for_others(self, reserved_units: ReservedUnits, key: str, startable: StartableUnit) -> int:
        """Units that are reserved under `key` for a unit other than `startable`."""
        reservation = reserved_units.get(key)
        return 0 if reservation is None or reservation[1] == startable.key else reservation[0]

    def find_reservation(self, job: PushedJob, names: tuple[str, ...]) -> dict[str, int] | None:
        """Worker -> units to reserve for a unit, where most units are free; None if it fits nowhere."""
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
        """Rank of a worker for a reservation: most free units first, then fewest labels."""
        return (
            self.free[candidate.worker] - taken.get(candidate.worker, 0),
            -len(candidate.labels),
            candidate.worker,
        )

    def choose_worker(
        self, task: Task, startable: StartableUnit, taken: dict[str, int]
    ) -> CandidateWorker | str:
        """The worker for a task, or the reason why there is none. Prefers the worker with most free capacity,
        so that load is balanced. Workers with labels that the task does not ask for come last, so that they
        stay free.
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
        """The queues that lend the credits for a task: first the queue itself, except for its reserved
        credits, then the queues with most idle credits; None if they don't suffice. A feed has no end, so it
        never borrows. `lent` contains what earlier tasks of the unit took, and is updated.
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
    """The other queues that lend and have no ready tasks of their own."""
    return [
        queue
        for queue, queue_settings in cluster_state.queue_settings.items()
        if queue != borrower and queue_settings.lends and not cluster_state.ready_units.get(queue)
    ]
