"""The ready queue: the start units whose predecessors are all done, in the order of their turn.

A start unit is what starts together: a task, or the waiting members of a gang; it is named by
the task, or by "/" and the gang.
"""

import bisect
import heapq
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..common import constants
from ..model.pushed_job import PushedJob
from ..model.task import unit_of

Shape = tuple[Any, ...]  # the job's kind, then (units, labels) of each task of the unit
Entry = tuple[float, int, str]  # (due, number of the job, unit): the order of turns


class Slot(NamedTuple):
    """Where a start unit stands in the ready queue."""

    begins: float  # not before this time
    queue: str
    urgency: int
    shape: Shape
    entry: Entry


def waiting_members(job: PushedJob, unit: str) -> tuple[str, ...]:
    """The waiting tasks of a start unit, in the order of the job's document."""
    if unit[0] != "/":
        return (unit,) if job.standings[unit].state == "waiting" else ()
    return tuple(
        name
        for name, task in job.tasks.items()
        if task.gang == unit[1:] and job.standings[name].state == "waiting"
    )


class ReadyQueue:
    """All start units that may start now or at a later time.

    Invariants: slots holds every unit whose predecessors are all done. One whose time had come
    by promoted_until is in ready_units[queue][urgency][shape], a list in the order of the
    entries; no list or map in there is empty. The others are in future_units, a heap by time
    that may also hold units that have gone or moved.
    """

    __slots__ = ("future_units", "promoted_until", "ready_units", "slots")

    def __init__(self, promoted_until: float = 0.0) -> None:
        self.ready_units: dict[str, dict[int, dict[Shape, list[Entry]]]] = {}
        self.future_units: list[tuple[float, int, str]] = []  # (begins, number of the job, unit)
        self.slots: dict[tuple[str, str], Slot] = {}  # (job, unit) -> where it stands
        self.promoted_until = promoted_until

    def put(self, job: PushedJob, name: str, unfinished_predecessors: Mapping[str, int]) -> None:
        """Puts the unit of a task where it belongs now: ready, later, or nowhere."""
        unit = unit_of(job.tasks[name])
        self.remove(job, unit)
        members = waiting_members(job, unit)
        if not members or any(unfinished_predecessors[one] for one in members):
            return
        begins = max(max(job.tasks[one].not_before, job.standings[one].earliest) for one in members)
        shape = (job.kind, *sorted((job.tasks[one].units, job.tasks[one].labels) for one in members))
        number = int(job.identity[1:])
        patience = job.accepted + constants.DEFAULT_DUE
        entry = (min(job.due or patience, patience), number, unit)
        self.slots[(job.identity, unit)] = Slot(begins, job.queue, job.urgency, shape, entry)
        if begins <= self.promoted_until:
            self._add_ready(job.queue, job.urgency, shape, entry)
        else:
            heapq.heappush(self.future_units, (begins, number, unit))

    def _add_ready(self, queue: str, urgency: int, shape: Shape, entry: Entry) -> None:
        shapes = self.ready_units.setdefault(queue, {}).setdefault(urgency, {})
        bisect.insort(shapes.setdefault(shape, []), entry)

    def remove(self, job: PushedJob, unit: str) -> None:
        """Takes a unit out, if it is there."""
        slot = self.slots.pop((job.identity, unit), None)
        if slot is None or slot.begins > self.promoted_until:
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
        """Moves the units whose time has come by `time` to the ready ones; when the next one's
        time comes, or None if no unit waits for its time.
        """
        self.promoted_until = max(self.promoted_until, time)
        last = None
        while self.future_units:
            begins, number, unit = self.future_units[0]
            slot = self.slots.get((f"t{number}", unit))
            if slot is not None and slot.begins == begins and self.future_units[0] != last:
                if begins > self.promoted_until:
                    return begins
                self._add_ready(slot.queue, slot.urgency, slot.shape, slot.entry)
            last = heapq.heappop(self.future_units)
        return None
