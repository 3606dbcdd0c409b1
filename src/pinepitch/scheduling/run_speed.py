"""Estimates how long runs take, from the runs that have ended and from progress. The leader uses the
estimates only to decide where work runs, never whether it may run.
"""

from collections.abc import Container
from typing import NamedTuple

from ..common import constants
from .leased_job import TaskBatch, TaskBatchKey
from .placement import RUN_DONE, RunKey, WorkerRun
from .worker import Progress, Worker

NO_PROGRESS = Progress(0, 0, 0)


class StartedRun(NamedTuple):
    """A run whose start was sent to its worker."""

    started_at: float  # by the leader's clock, seconds
    is_far: bool  # whether its worker is far from the data


class Projection(NamedTuple):
    """How long a run is expected to take, judged by its progress."""

    left: float  # seconds
    total: float  # seconds


class RunLengths:
    """How long the ended runs of one batch took. Invariant: `runs` is positive once a run was added."""

    __slots__ = ("runs", "seconds")

    def __init__(self) -> None:
        self.seconds, self.runs = 0.0, 0

    def add(self, seconds: float) -> None:
        """Adds a run that took `seconds`."""
        self.seconds += seconds
        self.runs += 1

    @property
    def mean_seconds(self) -> float:
        """The mean length of a run, seconds."""
        return self.seconds / self.runs


class RunTimeEstimator:
    """Estimates the length of runs and the speed of workers.

    Invariants: all lengths and speeds are positive. The lengths of a batch's runs come from that batch alone,
    and are normalised to a worker of usual speed near the data.
    """

    def __init__(self, far: float) -> None:
        self.far = far  # how many times as long a task takes far from its data or outside its rack
        self.queue_lengths: dict[str, float] = {}  # queue -> moving average of the seconds that a task takes
        self.batches: dict[TaskBatchKey, RunLengths] = {}
        self.started: dict[WorkerRun, StartedRun] = {}
        # batches and started runs left when those of finished jobs were last dropped
        self.size_after_drop = 0

    def record_start(self, worker_id: str, reference: str, run: int, is_far: bool, now: float) -> None:
        """Records that a start is sent; if it is sent repeatedly, the first time counts."""
        self.started.setdefault((worker_id, reference, run), StartedRun(now, is_far))

    def record_end(
        self, worker: Worker, batch: TaskBatch | None, reference: str, run: int, how: str, now: float
    ) -> None:
        """Records the end of a run, and updates the estimates if the run is done."""
        started = self.started.pop((worker.identity, reference, run), None)
        if started is None or how != RUN_DONE or batch is None or batch.step.lasts:
            return
        seconds = max(0.01, (now - started.started_at) / (self.far if started.is_far else 1))
        lengths = self.batches.setdefault(batch.key(), RunLengths())
        if lengths.runs >= 2:
            worker.update_speed(seconds / lengths.mean_seconds, constants.SPEED_WEIGHT)
        normalised = seconds / worker.speed
        lengths.add(normalised)
        queue = batch.job.queue
        average = self.queue_lengths.get(queue, normalised)
        self.queue_lengths[queue] = average + (normalised - average) * constants.LENGTH_WEIGHT

    def drop_finished(self, open_jobs: Container[str]) -> None:
        """Drops the records of all jobs but the open ones. Does so only once the number of records has
        doubled since the last time, so that the cost per job stays small.
        """
        size = len(self.batches) + len(self.started)
        if size < 2 * max(constants.LENGTHS_KEPT, self.size_after_drop):
            return
        self.batches = {key: lengths for key, lengths in self.batches.items() if key[0] in open_jobs}
        self.started = {
            key: started for key, started in self.started.items() if key[1].partition(".")[0] in open_jobs
        }
        self.size_after_drop = len(self.batches) + len(self.started)

    def expected(self, batch: TaskBatch) -> float:
        """Seconds that a task of a batch is expected to take on a worker of usual speed near its data."""
        lengths = self.batches.get(batch.key())
        if lengths is not None:
            return lengths.mean_seconds
        caller_estimate = batch.step.est_ms / 1000
        queue_average = self.queue_lengths.get(batch.job.queue)
        return caller_estimate if queue_average is None else queue_average

    def is_far(self, batch: TaskBatch, worker: Worker) -> bool:
        """Whether a worker is far from the data of a batch's tasks."""
        return bool(batch.step.near) and batch.step.near not in worker.labels

    def projected(self, worker: Worker, key: RunKey) -> Projection | None:
        """How long a run is expected to take, judged by its progress; None while the progress is too small or
        the run too young for an estimate.
        """
        percent, _, first_at = worker.progress.get(key, NO_PROGRESS)
        started = self.started.get((worker.identity, *key))
        elapsed = worker.heard_at - (first_at if started is None else started.started_at)
        if percent < constants.MIN_PROGRESS or elapsed < constants.PROGRESS_AFTER:
            return None
        total = elapsed * 100 / percent
        return Projection(total - elapsed, total)
