"""A placement: one run of a task on one worker, from its assignment to its proven end."""

from ..common import document
from .plain_types import Image
from .resources import Resources

# A run of a task: (reference of the task, number of the run).
RunKey = tuple[str, int]
# The same at a worker: (identity of the worker, reference, run).
WorkerRun = tuple[str, str, int]
# An item of the operation "job-ended", as run_ends.RunEnd has it.
RunEndItem = tuple[str, str, int, str, str, bool]

# How a run ended: told in a worker's heartbeat, or by the leader, in the operation "job-ended" and event 155.
RUN_DONE = "done"
RUN_FAILED = "failed"
RUN_REFUSED = "refused"  # the worker would not start it
RUN_NEVER_STARTED = "unsent"  # it never started: by an absence in a fresh heartbeat
RUN_LAPSED = "lapsed"  # its lease is over, and nobody heard an end


class Placement:
    """Invariants: it stands until an end of the run is proven, whatever becomes of the job
    meanwhile, so that its resources stay counted; stop is why the run is to end, or "".
    """

    __slots__ = (
        "epoch",
        "index",
        "job",
        "number",
        "priority",
        "resources",
        "run",
        "service",
        "since",
        "stop",
        "tenant",
        "time",
        "worker_id",
    )

    def __init__(
        self,
        job: str,
        time: int,
        number: int,
        index: int,
        run: int,
        worker_id: str,
        resources: Resources,
        service: str,
        priority: int,
        since: float,
        epoch: int,
        stop: str = "",
        tenant: str = "",
    ) -> None:
        self.job, self.time, self.number, self.index = job, time, number, index
        self.run, self.worker_id, self.resources, self.service = run, worker_id, tuple(resources), service
        self.priority, self.since, self.epoch, self.stop = priority, since, epoch, stop
        self.tenant = tenant  # of its job; kept here as the job may be over before the run is

    def reference(self) -> str:
        """The reference of its task, as Wave.reference has it."""
        return f"{self.job}.{self.time}.{self.number}.{self.index}"

    def image(self) -> Image:
        """A value of which the same is made again; as LeasedJob.image for a job of no tenant."""
        image: Image = (
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
        return (*image, self.tenant) if self.tenant else image


# the placements at one worker
Placements = dict[RunKey, Placement]


def parsed(reference: str) -> tuple[str, int, int, int] | None:
    """(job, time, number, index) of a task's reference, or None."""
    parts = reference.split(".")
    if len(parts) != 4:
        return None
    time, number, index = map(document.whole_number, parts[1:])
    if time is None or number is None or index is None:
        return None
    return (parts[0], time, number, index)
