"""The batches of first steps that are not built yet, by when they are due.

A batch of tasks is built only once it is due, and while few batches of its step wait for workers. So what is
built, and looked at in each scheduling round, grows with the work that can start and not with the times that
a job names.
"""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from ..common import constants
from ..model.reliability import WorkKey


class UpcomingStep(NamedTuple):
    """A step without predecessors of which a batch falls due. Sorts by when that is."""

    due: float  # seconds, by the time of the cluster state
    order: int  # tells equal ones apart
    work: WorkKey


class UpcomingBatches:
    """When the next batch of each step that has no predecessors is due.

    Invariants: a step is scheduled or held once at most, and only while its job is open. A held step has a
    batch that is due, and as many batches of it wait as may wait at once.
    """

    def __init__(self) -> None:
        self._heap: list[UpcomingStep] = []
        self._order = 0
        self._scheduled: dict[WorkKey, int] = {}  # step -> the order of its entry; other entries are outdated
        self._held: dict[WorkKey, float] = {}  # held step -> when its next batch was due

    def schedule(self, work: WorkKey, due: float) -> None:
        """Schedules the next batch of a step."""
        self._order += 1
        self._scheduled[work] = self._order
        heapq.heappush(self._heap, UpcomingStep(due, self._order, work))

    def hold(self, work: WorkKey, due: float) -> None:
        """Holds a step back until release() is called for it."""
        self._held[work] = due

    def release(self, work: WorkKey) -> None:
        """Schedules a step again if it was held back."""
        due = self._held.pop(work, None)
        if due is not None:
            self.schedule(work, due)

    def drop(self, work: WorkKey) -> None:
        """Drops a step of a job that is over."""
        self._held.pop(work, None)
        self._scheduled.pop(work, None)
        if len(self._heap) > constants.OUTDATED_STEPS + 2 * len(self._scheduled):
            self._heap = [step for step in self._heap if self._is_current(step)]
            heapq.heapify(self._heap)

    def take_due(self, now: float) -> Iterator[WorkKey]:
        """Removes and returns, one by one, the scheduled steps whose next batch is due."""
        while self._heap and self._heap[0].due <= now:
            step = heapq.heappop(self._heap)
            if self._is_current(step):
                del self._scheduled[step.work]
                yield step.work

    def is_empty(self) -> bool:
        """Whether no step is scheduled or held."""
        return not self._scheduled and not self._held

    def _is_current(self, step: UpcomingStep) -> bool:
        return self._scheduled.get(step.work) == step.order
