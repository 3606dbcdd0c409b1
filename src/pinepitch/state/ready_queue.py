"""The ready queue: the start units whose predecessors are all done, in their starting order.

A start unit is a set of tasks that start together: a single task, or the waiting members of a gang.
Its name is the name of the task, or "/" followed by the name of the gang.
"""

import bisect
import heapq
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..common import constants
from ..model.pushed_job import PushedJob
from ..model.task import unit_of

Shape = tuple[Any, ...]  # (kind of the job, (units, labels) of each task of the unit, ...)
Entry = tuple[float, int, str]  # (due time, number of the job, unit), which sort in starting order


class Slot(NamedTuple):
    """The position of a start unit in the ready queue."""

    earliest_start: float  # the unit may not start before this time
    queue: str
    urgency: int
    shape: Shape
    entry: Entry


def waiting_members(job: PushedJob, unit: str) -> tuple[str, ...]:
    """Names of the waiting tasks of a start unit, in the order of the job's document."""
    if unit[0] != "/":
        return (unit,) if job.standings[unit].state == "waiting" else ()
    return tuple(
        name
        for name, task in job.tasks.items()
        if task.gang == unit[1:] and job.standings[name].state == "waiting"
    )


class ReadyQueue:
    """All start units that may start now or at a later time.

    Invariants: slots has an item for every unit whose predecessors are all done. A unit that was
    due by promoted_until is in ready_units[queue][urgency][shape], a sorted list of entries; no
    list or map in ready_units is empty. The other units are in future_units, a heap ordered by
    time, which may also contain stale items for units that were removed or put again.
    """

    __slots__ = ("future_units", "promoted_until", "ready_units", "slots")

    def __init__(self, promoted_until: float = 0.0) -> None:
        self.ready_units: dict[str, dict[int, dict[Shape, list[Entry]]]] = {}
        self.future_units: list[tuple[float, int, str]] = []  # (earliest start, number of the job, unit)
        self.slots: dict[tuple[str, str], Slot] = {}  # (job, unit) -> its position
        self.promoted_until = promoted_until

    def put(self, job: PushedJob, name: str, unfinished_predecessors: Mapping[str, int]) -> None:
        """Adds the unit of a task to the ready or the future units, or removes it if it can't start yet."""
        unit = unit_of(job.tasks[name])
        self.remove(job, unit)
        members = waiting_members(job, unit)
        if not members or any(unfinished_predecessors[member] for member in members):
            return
        earliest_start = max(
            max(job.tasks[member].not_before, job.standings[member].earliest) for member in members
        )
        shape = (
            job.kind,
            *sorted((job.tasks[member].units, job.tasks[member].labels) for member in members),
        )
        number = int(job.identity[1:])
        default_due = job.accepted + constants.DEFAULT_DUE
        entry = (min(job.due or default_due, default_due), number, unit)
        self.slots[(job.identity, unit)] = Slot(earliest_start, job.queue, job.urgency, shape, entry)
        if earliest_start <= self.promoted_until:
            self._add_ready(job.queue, job.urgency, shape, entry)
        else:
            heapq.heappush(self.future_units, (earliest_start, number, unit))

    def _add_ready(self, queue: str, urgency: int, shape: Shape, entry: Entry) -> None:
        shapes = self.ready_units.setdefault(queue, {}).setdefault(urgency, {})
        bisect.insort(shapes.setdefault(shape, []), entry)

    def remove(self, job: PushedJob, unit: str) -> None:
        """Removes a unit, if it is in the queue."""
        slot = self.slots.pop((job.identity, unit), None)
        if slot is None or slot.earliest_start > self.promoted_until:
            return
        urgencies = self.ready_units[slot.queue]
        shapes = urgencies[slot.urgency]
        entries = shapes[slot.shape]
        del entries[bisect.bisect_left(entries, slot.entry)]
        if entries:
            return
        del shapes[slot.shape]
        if shapes:
            return
        del urgencies[slot.urgency]
        if not urgencies:
            del self.ready_units[slot.queue]

    def promote(self, time: float) -> float | None:
        """Moves the units that are due by `time` to the ready units.

        Returns the earliest start of the next future unit, or None if there is none.
        """
        self.promoted_until = max(self.promoted_until, time)
        previous = None
        while self.future_units:
            earliest_start, number, unit = self.future_units[0]
            slot = self.slots.get((f"t{number}", unit))
            if (
                slot is not None
                and slot.earliest_start == earliest_start
                and self.future_units[0] != previous
            ):
                if earliest_start > self.promoted_until:
                    return earliest_start
                self._add_ready(slot.queue, slot.urgency, slot.shape, slot.entry)
            previous = heapq.heappop(self.future_units)
        return None
