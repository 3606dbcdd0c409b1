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
KEPT_FOR_OLDER = "held back for older work of its queue"

Charges = tuple[tuple[str, int], ...]  # ((queue, credits that it lends), ...)
UnitKey = tuple[str, str]  # (job, start unit)
KeptUnits = dict[str, tuple[int, UnitKey]]  # worker or queue -> (units kept back, for whom)
Shape = tuple[Any, ...]  # units and labels of each task of a unit: what none fits of, none fits


class Seat(NamedTuple):
    """A worker as one placing round sees it."""

    worker: str
    zone: str
    capacity: int  # units in all
    labels: frozenset[str]
    incarnation: str
    poor: bool  # on trial: it gets one task at a time
    address: str


class Wanted(NamedTuple):
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
    return sorted(names, key=lambda one: (-job.tasks[one].units, one))


class Round:
    """One round. Invariants: free counts every reservation in the cluster state, every one
    proposed, and those of this round; what is kept back is for the unit named alone.
    """

    def __init__(self, seats: list[Seat], free: dict[str, int]) -> None:
        self.seats, self.free = seats, free
        self.borrowed: dict[str, int] = {}  # queue -> credits lent, proposed ones with them
        self.used: dict[str, int] = {}  # queue -> units placed, proposed ones with them
        self.kept_on_workers: KeptUnits = {}  # by worker: of its capacity
        self.kept_of_queues: KeptUnits = {}  # by queue: of its credits and its limit

    def count(self, charges: Iterable[tuple[str, int]], queue: str, units: int) -> None:
        """Counts units of a queue as placed, on these credits."""
        self.used[queue] = self.used.get(queue, 0) + units
        for lender, credits in charges:
            self.borrowed[lender] = self.borrowed.get(lender, 0) + credits

    def kept(self, kept_units: KeptUnits, key: str, wanted: Wanted) -> int:
        """Units that are kept back from `wanted`."""
        kept = kept_units.get(key)
        return 0 if kept is None or kept[1] == wanted.key else kept[0]

    def capacity_for(self, job: PushedJob, names: tuple[str, ...]) -> dict[str, int] | None:
        """Worker -> units to keep back for a unit, where most is free; None if it fits nowhere."""
        taken: dict[str, int] = {}
        for name in largest_first(job, names):
            task = job.tasks[name]
            labels, units = frozenset(task.labels), task.units
            fitting = [
                seat
                for seat in self.seats
                if labels <= seat.labels
                and not seat.poor
                and seat.worker not in self.kept_on_workers
                and seat.capacity - taken.get(seat.worker, 0) >= units
            ]
            if not fitting:
                return None
            best = max(fitting, key=lambda seat: self._roominess(seat, taken))
            taken[best.worker] = taken.get(best.worker, 0) + units
        return taken

    def _roominess(self, seat: Seat, taken: dict[str, int]) -> tuple[int, int, str]:
        """How good a worker is to keep units back on: most free units, fewest labels."""
        return (self.free[seat.worker] - taken.get(seat.worker, 0), -len(seat.labels), seat.worker)

    def draw(self, task: Task, wanted: Wanted, taken: dict[str, int]) -> Seat | str:
        """The seat for a task: the one with most capacity left, so that load spreads; seats
        with labels that the task does not ask for come last, so that they stay free.
        """
        best, best_rank, fits = None, None, False
        labels = frozenset(task.labels)
        for seat in self.seats:
            if not labels <= seat.labels or task.units > seat.capacity:
                continue
            fits = True
            left = self.free[seat.worker] - taken.get(seat.worker, 0) - task.units
            left -= self.kept(self.kept_on_workers, seat.worker, wanted)
            if left < 0 or (seat.poor and taken.get(seat.worker)):
                continue
            rank = (seat.poor, len(seat.labels - labels), -left / max(1, seat.capacity), seat.worker)
            if best_rank is None or rank < best_rank:
                best, best_rank = seat, rank
        if best is None:
            return NO_CAPACITY if fits else NO_WORKER
        return best

    def charges(
        self, cluster_state: ClusterState, job: PushedJob, units: int, lent: dict[str, int], kept: int
    ) -> Charges | None:
        """Who lends the credits for a task: the queue itself but for what it keeps, then the queues
        with most idle; None if they don't suffice. A feed has no end, so it never borrows.
        `lent` holds what the unit's earlier tasks took, and is added to.
        """

        def balance(queue: str) -> int:
            return cluster_state.balance(queue) - self.borrowed.get(queue, 0) - lent.get(queue, 0)

        own = min(units, max(0, balance(job.queue) - kept))
        charges = [(job.queue, own)] if own else []
        rest = units - own
        if rest and job.kind != "feed":
            for lender in sorted(_lenders(cluster_state, job.queue), key=lambda one: (-balance(one), one)):
                credits = min(rest, balance(lender))
                if credits <= 0:
                    break
                charges.append((lender, credits))
                rest -= credits
                if not rest:
                    break
        if rest:
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
