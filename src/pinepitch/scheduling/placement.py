"""A placement: one run of a task on one minion, from its record to its proven end."""

from ..common import document


class Placement:
    """Invariants: it stands until an end of the run is proven, whatever becomes of the job
    meanwhile, so that its room stays counted; stop is why the run is to end, or ""."""

    __slots__ = (
        "job",
        "time",
        "number",
        "index",
        "run",
        "worker_id",
        "resources",
        "service",
        "priority",
        "stop",
        "since",
        "epoch",
    )

    def __init__(
        self, job, time, number, index, run, worker_id, resources, service, priority, since, epoch, stop=""
    ):
        self.job, self.time, self.number, self.index = job, time, number, index
        self.run, self.worker_id, self.resources, self.service = run, worker_id, tuple(resources), service
        self.priority, self.since, self.epoch, self.stop = priority, since, epoch, stop

    def reference(self):
        return f"{self.job}.{self.time}.{self.number}.{self.index}"

    def image(self):
        return (
            self.job,
            self.time,
            self.number,
            self.index,
            self.run,
            self.worker_id,
            self.resources,
            self.service,
            self.priority,
            self.since,
            self.epoch,
            self.stop,
        )


def parsed(reference):
    """(job, time, number, index) of a task's reference, or None."""
    parts = reference.split(".")
    numbers = [document.whole_number(part) for part in parts[1:]]
    if len(parts) != 4 or None in numbers:
        return None
    return (parts[0], *numbers)
