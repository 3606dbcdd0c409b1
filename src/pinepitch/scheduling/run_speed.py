"""How long work takes, learnt from ends and from progress. The leader's guess alone: it decides
where work goes, never whether it may.
"""

from collections.abc import Container
from typing import NamedTuple

from ..common import constants
from .leased_job import Wave, WaveKey
from .placement import RUN_DONE, RunKey, WorkerRun
from .worker import Progress, Worker

UNKNOWN = Progress(0, 0, 0)


class StartedRun(NamedTuple):
    """A run whose start was answered."""

    at: float  # by the leader's clock, seconds
    is_far: bool  # whether its worker stands away from the data


class Projection(NamedTuple):
    """How long a run is likely to take, by its progress."""

    left: float  # seconds
    total: float  # seconds


class RunLengths:
    """How long the runs of one wave took that have ended. Invariant: runs is above 0 once one was added."""

    __slots__ = ("runs", "seconds")

    def __init__(self) -> None:
        self.seconds, self.runs = 0.0, 0

    def add(self, seconds: float) -> None:
        """One more run has ended, after so many seconds."""
        self.seconds += seconds
        self.runs += 1

    @property
    def usual(self) -> float:
        """Seconds that a run took on average."""
        return self.seconds / self.runs


class Pace:
    """Invariants: lengths and speeds are positive; what is known of a wave is of its own runs, taken
    back to a usual worker near the data.
    """

    def __init__(self, far: float) -> None:
        self.far = far  # times as long that a task takes away from its data or its rack
        self.lengths: dict[str, float] = {}  # queue -> seconds a task takes, weighted to the newest
        self.waves: dict[WaveKey, RunLengths] = {}  # key of a wave -> RunLengths
        self.started: dict[WorkerRun, StartedRun] = {}  # (worker, reference, run) -> StartedRun
        self.swept = 0  # waves and runs known when those of jobs that are over were dropped last

    def start(self, worker_id: str, reference: str, run: int, far: bool, now: float) -> None:
        """A start is answered; the first answer counts."""
        self.started.setdefault((worker_id, reference, run), StartedRun(now, far))

    def end(self, worker: Worker, wave: Wave | None, reference: str, run: int, how: str, now: float) -> None:
        """A run has ended."""
        started = self.started.pop((worker.identity, reference, run), None)
        if started is None or how != RUN_DONE or wave is None or wave.step.lasts:
            return
        seconds = max(0.01, (now - started.at) / (self.far if started.is_far else 1))
        known = self.waves.setdefault(wave.key(), RunLengths())
        if known.runs >= 2:
            worker.pace(seconds / known.usual, constants.SPEED_WEIGHT)
        usual = seconds / worker.speed
        known.add(usual)
        queue = wave.job.queue
        before = self.lengths.get(queue, usual)
        self.lengths[queue] = before + (usual - before) * constants.LENGTH_WEIGHT

    def forget(self, jobs: Container[str]) -> None:
        """Drops what is known of jobs that are over; `jobs`: those that are not. Once what is held has
        doubled, so that it costs little for each job.
        """
        known_count = len(self.waves) + len(self.started)
        if known_count < 2 * max(constants.LENGTHS_KEPT, self.swept):
            return
        self.waves = {key: known for key, known in self.waves.items() if key[0] in jobs}
        self.started = {
            key: started for key, started in self.started.items() if key[1].partition(".")[0] in jobs
        }
        self.swept = len(self.waves) + len(self.started)

    def expected(self, wave: Wave) -> float:
        """Seconds that a task of a wave is likely to take on a usual worker near its data."""
        known = self.waves.get(wave.key())
        if known is not None:
            return known.usual
        guess = wave.step.est_ms / 1000
        learnt = self.lengths.get(wave.job.queue)
        return guess if learnt is None else learnt

    def is_far(self, wave: Wave, worker: Worker) -> bool:
        """Whether a worker stands away from the data of a wave's tasks."""
        return bool(wave.step.near) and wave.step.near not in worker.labels

    def projected(self, worker: Worker, key: RunKey) -> Projection | None:
        """How long a run is likely to take by its progress, or None while that says nothing."""
        percent, _, first_at = worker.progress.get(key, UNKNOWN)
        started = self.started.get((worker.identity, *key))
        elapsed = worker.heard_at - (first_at if started is None else started.at)
        if percent < constants.MIN_PROGRESS or elapsed < constants.PROGRESS_AFTER:
            return None
        total = elapsed * 100 / percent
        return Projection(total - elapsed, total)
