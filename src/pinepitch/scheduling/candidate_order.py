"""Which candidates a task is tried on first, and which racks have capacity for a gang: indices over the
candidates of one service, kept up while a round places, so that waves which ask alike share them.
"""

import bisect
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from .candidate_workers import CandidateWorker
from .leased_job import LeasedJob, Wave
from .resources import Resources

# How well a candidate suits a task, the least first. Ends with the candidate's identity, so no two are equal.
Rank = tuple[Any, ...]


def fill(
    wave: Wave, priority: int, candidates: Iterable[CandidateWorker], count: int
) -> list[CandidateWorker]:
    """Places up to `count` tasks of a wave that shares capacity by a priority on candidates, the first ones
    first; the candidate of each task.

    A task makes its candidate more suitable for the next, having less capacity left over, so that each
    candidate is filled before the one behind it is tried.
    """
    chosen: list[CandidateWorker] = []
    for candidate in candidates:
        while len(chosen) < count and candidate.may_place(wave, priority):
            candidate.place(wave)
            chosen.append(candidate)
        if len(chosen) >= count:
            break
    return chosen


class CandidateOrder:
    """The candidates of one service by rank, for the tasks to which the same one is the best: those that
    have no data near any rack and no capacity kept for them. Invariant: sorted by `rank`, once `changed`
    is told each candidate that a task was placed on.
    """

    def __init__(
        self, candidates: Iterable[CandidateWorker], rank: Callable[[CandidateWorker], Rank]
    ) -> None:
        self._rank = rank
        self._ranks = {candidate.identity: rank(candidate) for candidate in candidates}
        self._sorted = sorted((self._ranks[candidate.identity], candidate) for candidate in candidates)

    def with_free(self, task: Resources) -> list[CandidateWorker]:
        """The candidates that one task of this size fits into now, the best first."""
        cpu, memory, accelerators = task
        return [
            candidate
            for _, candidate in self._sorted
            if cpu <= candidate.free[0] and memory <= candidate.free[1] and accelerators <= candidate.free[2]
        ]

    def changed(self, candidate: CandidateWorker) -> None:
        """Puts a candidate in its place by the capacity that it has left."""
        before = self._ranks[candidate.identity]
        rank = self._ranks[candidate.identity] = self._rank(candidate)
        del self._sorted[bisect.bisect_left(self._sorted, (before,))]
        bisect.insort(self._sorted, (rank, candidate))


class RackIndex:
    """The candidates of one service by rack, and for how many members of a gang each rack has capacity.
    Invariant: all of it is true of what the candidates have free, once `changed` is told each candidate that
    a task was placed on.
    """

    def __init__(
        self, candidates: Iterable[CandidateWorker], priority_of: Callable[[LeasedJob], int]
    ) -> None:
        self._priority_of = priority_of  # by which a job shares capacity
        self._racks: dict[str, list[CandidateWorker]] = {}
        for candidate in candidates:
            self._racks.setdefault(candidate.rack, []).append(candidate)
        self._free_cpu: dict[str, float] = {}  # rack -> thousandths of a core that are free, where known
        self._members: dict[tuple[Any, ...], dict[str, int]] = {}  # what a gang asks -> rack -> members
        # what a gang asks, and whether of one rack -> the fewest members that there was no capacity for; as a
        # round only places, there is none for as many later in it
        self._refused: dict[tuple[Any, ...], int] = {}

    def changed(self, candidate: CandidateWorker) -> None:
        """A candidate has less capacity left."""
        self._free_cpu.pop(candidate.rack, None)
        for by_rack in self._members.values():
            by_rack.pop(candidate.rack, None)

    def fullest_for(self, wave: Wave, keeps: bool) -> Sequence[CandidateWorker] | None:
        """The candidates of the rack with the least capacity free that takes all of a gang, or None. `keeps`:
        whether capacity is kept for this very gang.
        """
        wanted, asked = len(wave.waiting), (*self._asked(wave, keeps), True)
        if wanted >= self._refused.get(asked, math.inf):
            return None
        members = self._members_by_rack(wave, keeps)
        able = [rack for rack in self._racks if members[rack] >= wanted]
        if not able:
            self._refused[asked] = wanted
            return None
        return self._racks[min(able, key=self._free_cpu_of)]

    def have_all(self, wave: Wave, keeps: bool) -> bool:
        """Whether the racks have capacity for all of a gang between them."""
        wanted, asked = len(wave.waiting), (*self._asked(wave, keeps), False)
        if wanted >= self._refused.get(asked, math.inf):
            return False
        if sum(self._members_by_rack(wave, keeps).values()) >= wanted:
            return True
        self._refused[asked] = wanted
        return False

    def _members_by_rack(self, wave: Wave, keeps: bool) -> dict[str, int]:
        """Rack -> for how many members of a gang it has capacity."""
        members = self._members.setdefault(self._asked(wave, keeps), {})
        priority = self._priority_of(wave.job)
        for rack in self._racks.keys() - members.keys():
            members[rack] = sum(
                candidate.placeable_members(wave, priority) for candidate in self._racks[rack]
            )
        return members

    def _free_cpu_of(self, rack: str) -> float:
        if rack not in self._free_cpu:
            self._free_cpu[rack] = sum(candidate.free[0] for candidate in self._racks[rack])
        return self._free_cpu[rack]

    def _asked(self, wave: Wave, keeps: bool) -> tuple[Any, ...]:
        """What decides how many members of a gang a candidate takes: gangs for which it is the same share
        it.
        """
        step = wave.step
        return (
            self._priority_of(wave.job),
            step.resources,
            step.needs,
            (wave.job.identity, wave.number) if step.apart else None,
            None if any(step.resources) else len(wave.waiting),
            wave.key() if keeps else None,
        )


class CandidateIndex:
    """Both indices over the candidates of one service, each made when it is first asked for."""

    def __init__(
        self,
        candidates: Sequence[CandidateWorker],
        rank: Callable[[CandidateWorker], Rank],
        priority_of: Callable[[LeasedJob], int],
    ) -> None:
        self._candidates, self._rank, self._priority_of = candidates, rank, priority_of
        self._order: CandidateOrder | None = None
        self._racks: RackIndex | None = None

    @property
    def order(self) -> CandidateOrder:
        """The candidates by rank."""
        if self._order is None:
            self._order = CandidateOrder(self._candidates, self._rank)
        return self._order

    @property
    def racks(self) -> RackIndex:
        """The candidates by rack."""
        if self._racks is None:
            self._racks = RackIndex(self._candidates, self._priority_of)
        return self._racks

    def placed(self, chosen: Iterable[CandidateWorker]) -> None:
        """Tasks were placed on these candidates."""
        for candidate in {one.identity: one for one in chosen}.values():
            if self._order is not None:
                self._order.changed(candidate)
            if self._racks is not None:
                self._racks.changed(candidate)

    def forget_order(self) -> None:
        """Something else that ranks depend on has changed."""
        self._order = None
