"""How long work takes, learnt from ends and from progress. The leader's guess alone: it decides
where work goes, never whether it may."""

from ..common import constants
from .worker import Progress

UNKNOWN = Progress(0, 0, 0)


class Pace:
    """Invariants: lengths and speeds are positive; a wave's figures are of its own runs, taken
    back to a usual worker near the data."""

    def __init__(self, far):
        self.far = far  # times as long that a task takes away from its data or its rack
        self.lengths = {}  # queue -> seconds a task takes, weighted to the newest
        self.waves = {}  # key of a wave -> [seconds in sum, runs]
        self.started = {}  # (minion, reference, run) -> (when its start was answered, whether far)
        self.swept = 0  # waves and runs known when those of jobs that are over were dropped last

    def start(self, worker_id, reference, run, far, now):
        """A start is answered; the first answer counts."""
        self.started.setdefault((worker_id, reference, run), (now, far))

    def end(self, worker, wave, reference, run, how, now):
        """A run has ended."""
        begun, far = self.started.pop((worker.identity, reference, run), (None, False))
        if begun is None or how != "done" or wave is None or wave.step.lasts:
            return
        seconds = max(0.01, (now - begun) / (self.far if far else 1))
        known = self.waves.setdefault(wave.key(), [0.0, 0])
        if known[1] >= 2:
            worker.pace(seconds / (known[0] / known[1]), constants.SPEED_WEIGHT)
        usual = seconds / worker.speed
        known[0] += usual
        known[1] += 1
        queue = wave.job.queue
        before = self.lengths.get(queue, usual)
        self.lengths[queue] = before + (usual - before) * constants.LENGTH_WEIGHT

    def forget(self, jobs):
        """Drops what is known of jobs that are over; `jobs`: those that are not. Once what is held has
        doubled, so that it costs little for each job."""
        known_count = len(self.waves) + len(self.started)
        if known_count < 2 * max(constants.LENGTHS_KEPT, self.swept):
            return
        self.waves = {key: known for key, known in self.waves.items() if key[0] in jobs}
        self.started = {
            key: started for key, started in self.started.items() if key[1].partition(".")[0] in jobs
        }
        self.swept = len(self.waves) + len(self.started)

    def expected(self, wave):
        """Seconds that a task of a wave is likely to take on a usual worker near its data."""
        known = self.waves.get(wave.key())
        if known and known[1]:
            return known[0] / known[1]
        guess = wave.step.est_ms / 1000
        learnt = self.lengths.get(wave.job.queue)
        return guess if learnt is None else learnt

    def is_far(self, wave, worker):
        """Whether a worker stands away from the data of a wave's tasks."""
        return bool(wave.step.near) and wave.step.near not in worker.labels

    def projected(self, worker, key):
        """(seconds left, seconds in all) of a run by its progress, or None while that says nothing."""
        percent, _, first = worker.progress.get(key, UNKNOWN)
        begun = self.started.get((worker.identity, *key), (first, False))[0]
        elapsed = worker.heard_at - begun
        if percent < constants.MIN_PROGRESS or elapsed < constants.PROGRESS_AFTER:
            return None
        total = elapsed * 100 / percent
        return total - elapsed, total
