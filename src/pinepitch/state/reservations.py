"""Reservations of placed tasks: units of workers and queues, and credits of the queues that lend them."""

from ..model.pushed_job import PushedJob
from ..model.task import Standing, Task, reference


class Reservations:
    """The reservations of all placed tasks.

    Invariants: a task has a reservation on a worker exactly while it is placed;
    outstanding_credits[queue] is the sum of the credits that a queue lends to placed tasks;
    used_units[queue] is the sum of the units of its placed tasks; yielding has the placed tasks
    that have been asked to stop, with their attempts.
    """

    __slots__ = ("outstanding_credits", "reserved", "used_units", "yielding")

    def __init__(self) -> None:
        self.reserved: dict[str, dict[str, int]] = {}  # worker -> {reference: units}
        self.used_units: dict[str, int] = {}  # queue -> units
        self.outstanding_credits: dict[str, int] = {}  # queue -> credits
        self.yielding: dict[str, int] = {}  # reference -> attempt

    def reserve(self, job: PushedJob, task: Task, standing: Standing) -> None:
        """Adds the reservations of a task that has been placed."""
        self.reserved.setdefault(standing.worker, {})[reference(job.identity, task.name)] = task.units
        self.used_units[job.queue] = self.used_units.get(job.queue, 0) + task.units
        for queue, credits in standing.charges:
            self.outstanding_credits[queue] = self.outstanding_credits.get(queue, 0) + credits

    def release(self, job: PushedJob, task: Task, standing: Standing) -> None:
        """Removes the reservations of an attempt that has ended; `standing` is that of the placed task."""
        reserved = self.reserved[standing.worker]
        del reserved[reference(job.identity, task.name)]
        if not reserved:
            del self.reserved[standing.worker]
        self.used_units[job.queue] -= task.units
        for queue, credits in standing.charges:
            self.outstanding_credits[queue] -= credits
        self.yielding.pop(reference(job.identity, task.name), None)

    def units_on(self, worker: str) -> int:
        """The number of units reserved on a worker."""
        return sum(self.reserved.get(worker, {}).values())
