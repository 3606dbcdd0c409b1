"""A placement: one run of a task on one worker, from its assignment until its end is proven."""

from ..common import document
from .plain_types import Image
from .resources import Resources

# Identifies a run of a task: (reference of the task, number of the run).
RunKey = tuple[str, int]
# Identifies a run on a worker: (identity of the worker, reference of the task, number of the run).
WorkerRun = tuple[str, str, int]
# An item of the operation "job-ended", with the fields of run_ends.RunEnd.
RunEndItem = tuple[str, str, int, str, str, bool]

# How a run ended: reported in a worker's heartbeat or determined by the leader, and used in the operation
# "job-ended" and in event 155.
RUN_DONE = "done"
RUN_FAILED = "failed"
RUN_REFUSED = "refused"  # the worker refused to start it
RUN_NEVER_STARTED = "unsent"  # proven by its absence from a heartbeat that is not stale
RUN_LAPSED = "lapsed"  # its lease expired, and no end was reported


class Placement:
    """A run that counts as using its worker's resources.

    Invariants: a placement exists until the end of its run is proven, whatever happens to the job, so that
    its resources stay counted. `stop` is the reason why the run is to be stopped, or "".
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
        self.tenant = tenant  # of its job; stored here because the job may be final before the run has ended

    def reference(self) -> str:
        """The reference of its task, equal to that of TaskBatch.reference."""
        return f"{self.job}.{self.time}.{self.number}.{self.index}"

    def image(self) -> Image:
        """A plain value from which an equal object can be created. As in LeasedJob.image, the tenant is left
        out if there is none.
        """
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


# The placements on one worker.
Placements = dict[RunKey, Placement]


def parse_reference(reference: str) -> tuple[str, int, int, int] | None:
    """(job, time, number of the step, index of the task) of a task's reference; None if it is malformed."""
    parts = reference.split(".")
    if len(parts) != 4:
        return None
    time, number, index = map(document.whole_number, parts[1:])
    if time is None or number is None or index is None:
        return None
    return (parts[0], time, number, index)
