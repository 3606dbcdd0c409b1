"""Indices over the candidates of one service: by rank, to choose the candidate that is tried first, and by
rack, to find capacity for a gang. They are maintained while a round places tasks, so that batches with the
same request share them.
"""

import bisect
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from .candidate_workers import CandidateWorker
from .leased_job import LeasedJob, TaskBatch
from .resources import Resources

# How well a candidate suits a task; lower is better. Ends with the candidate's identity, so no two are equal.
Rank = tuple[Any, ...]
# Returns the ranks of candidates, in their order.
RanksOf = Callable[[Sequence[CandidateWorker]], list[Rank]]


def fill(
    batch: TaskBatch, priority: int, candidates: Iterable[CandidateWorker], count: int
) -> list[CandidateWorker]:
    """Places up to `count` tasks of a batch on candidates, in the order given. `priority` is the one by which
    the batch shares capacity. Returns the candidate of each task placed.

    Each candidate is filled before the next one is tried: placing a task leaves its candidate less free
    capacity, which makes it more suitable for the next task.
    """
    chosen: list[CandidateWorker] = []
    for candidate in candidates:
        while len(chosen) < count and candidate.may_place(batch, priority):
            candidate.add_task(batch)
            chosen.append(candidate)
        if len(chosen) >= count:
            break
    return chosen


class CandidateOrder:
    """The candidates of one service by rank, for tasks that prefer no rack and have no capacity reserved: for
    all of them the ranks are the same. Invariant: sorted by `ranks_of`, provided that `update` is called for
    each candidate on which a task was placed.
    """

    def __init__(self, candidates: Sequence[CandidateWorker], ranks_of: RanksOf) -> None:
        self._ranks_of = ranks_of
        self._by_identity = {candidate.identity: candidate for candidate in candidates}
        self._sorted = ranks_of(candidates)
        self._ranks = {rank[-1]: rank for rank in self._sorted}
        self._sorted.sort()

    def with_free_capacity(self, task: Resources) -> Iterator[CandidateWorker]:
        """The candidates with free capacity for a task that needs these resources, best first. No candidate
        may be updated before the last one was taken.
        """
        cpu, memory, accelerators = task
        by_identity = self._by_identity
        for rank in self._sorted:
            candidate = by_identity[rank[-1]]
            free = candidate.free
            if cpu <= free[0] and memory <= free[1] and accelerators <= free[2]:
                yield candidate

    def update(self, candidate: CandidateWorker) -> None:
        """Moves a candidate to its new position after its free capacity has changed."""
        earlier_rank = self._ranks[candidate.identity]
        (rank,) = self._ranks_of([candidate])
        self._ranks[candidate.identity] = rank
        del self._sorted[bisect.bisect_left(self._sorted, earlier_rank)]
        bisect.insort(self._sorted, rank)


class RackIndex:
    """The candidates of one service by rack, and the number of gang members for which each rack has capacity.
    Invariant: consistent with the free capacity of the candidates, provided that `update` is called for each
    candidate on which a task was placed.
    """

    def __init__(
        self, candidates: Iterable[CandidateWorker], priority_of: Callable[[LeasedJob], int]
    ) -> None:
        self._priority_of = priority_of  # the priority by which a job shares capacity
        self._racks: dict[str, list[CandidateWorker]] = {}
        for candidate in candidates:
            self._racks.setdefault(candidate.rack, []).append(candidate)
        self._free_cpu: dict[str, float] = {}  # rack -> free thousandths of a core, as far as computed
        self._members: dict[tuple[Any, ...], dict[str, int]] = {}  # request of a gang -> rack -> members
        # (request of a gang, whether in one rack) -> the fewest members for which capacity was lacking; as
        # capacity only shrinks during a round, later gangs with as many members find none either
        self._smallest_refused: dict[tuple[Any, ...], int] = {}

    def update(self, candidate: CandidateWorker) -> None:
        """Discards what was computed for the rack of a candidate whose free capacity has shrunk."""
        self._free_cpu.pop(candidate.rack, None)
        for members_by_rack in self._members.values():
            members_by_rack.pop(candidate.rack, None)

    def fullest_rack_for(self, batch: TaskBatch, is_reserved: bool) -> Sequence[CandidateWorker] | None:
        """The candidates of the rack with the least free CPU among those that have capacity for all members
        of a gang, or None. `is_reserved`: whether candidates are reserved for this gang.
        """
        wanted, key = len(batch.waiting), (*self._request(batch, is_reserved), True)
        if wanted >= self._smallest_refused.get(key, math.inf):
            return None
        members = self._members_by_rack(batch, is_reserved)
        large_enough = [rack for rack in self._racks if members[rack] >= wanted]
        if not large_enough:
            self._smallest_refused[key] = wanted
            return None
        return self._racks[min(large_enough, key=self._free_cpu_of)]

    def have_capacity_for(self, batch: TaskBatch, is_reserved: bool) -> bool:
        """Whether all racks together have capacity for all members of a gang."""
        wanted, key = len(batch.waiting), (*self._request(batch, is_reserved), False)
        if wanted >= self._smallest_refused.get(key, math.inf):
            return False
        if sum(self._members_by_rack(batch, is_reserved).values()) >= wanted:
            return True
        self._smallest_refused[key] = wanted
        return False

    def _members_by_rack(self, batch: TaskBatch, is_reserved: bool) -> dict[str, int]:
        """Rack -> the number of a gang's members for which it has capacity."""
        members = self._members.setdefault(self._request(batch, is_reserved), {})
        priority = self._priority_of(batch.job)
        for rack in self._racks.keys() - members.keys():
            members[rack] = sum(
                candidate.placeable_members(batch, priority) for candidate in self._racks[rack]
            )
        return members

    def _free_cpu_of(self, rack: str) -> float:
        if rack not in self._free_cpu:
            self._free_cpu[rack] = sum(candidate.free[0] for candidate in self._racks[rack])
        return self._free_cpu[rack]

    def _request(self, batch: TaskBatch, is_reserved: bool) -> tuple[Any, ...]:
        """Everything that determines how many members of a gang a candidate has capacity for; gangs with an
        equal request share the result.
        """
        step = batch.step
        return (
            self._priority_of(batch.job),
            step.resources,
            step.needs,
            (batch.job.identity, batch.number) if step.apart else None,
            None if any(step.resources) else len(batch.waiting),
            batch.key() if is_reserved else None,
        )


class CandidateIndex:
    """Both indices over the candidates of one service, each created on first use."""

    def __init__(
        self,
        candidates: Sequence[CandidateWorker],
        ranks_of: RanksOf,
        priority_of: Callable[[LeasedJob], int],
    ) -> None:
        self._candidates, self._ranks_of, self._priority_of = candidates, ranks_of, priority_of
        self._order: CandidateOrder | None = None
        self._racks: RackIndex | None = None

    @property
    def order(self) -> CandidateOrder:
        """The candidates by rank."""
        if self._order is None:
            self._order = CandidateOrder(self._candidates, self._ranks_of)
        return self._order

    @property
    def racks(self) -> RackIndex:
        """The candidates by rack."""
        if self._racks is None:
            self._racks = RackIndex(self._candidates, self._priority_of)
        return self._racks

    def refresh(self, chosen: Iterable[CandidateWorker]) -> None:
        """Updates the indices after tasks were placed on these candidates, which may be listed repeatedly."""
        for candidate in {placed_on.identity: placed_on for placed_on in chosen}.values():
            if self._order is not None:
                self._order.update(candidate)
            if self._racks is not None:
                self._racks.update(candidate)

    def discard_order(self) -> None:
        """Discards the order, after something other than free capacity that ranks depend on has changed."""
        self._order = None
