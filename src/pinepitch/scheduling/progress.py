"""Watches the progress that workers tell of their runs: finds runs that stand still, and slow workers.

The leader's guess alone: it costs a restart at most, as a run that is stopped starts again elsewhere.
"""

import bisect
import collections
from typing import NamedTuple

from ..ground import constants
from .job import Wave
from .worker import Progress, Worker

STALLED, SLOW = "stalled", "slow"


class RunStop(NamedTuple):
    """A run that is to end while its job goes on, and why."""

    worker: str  # identity
    reference: str
    run: int
    why: str


class WatchedRun(NamedTuple):
    """A run that a worker listed in its newest beat."""

    worker: Worker
    reference: str
    run: int
    wave: Wave
    progress: Progress

    @property
    def key(self):
        return (self.reference, self.run)

    def stopped_as(self, why):
        return RunStop(self.worker.identity, self.reference, self.run, why)


class Projected(NamedTuple):
    """How long a run is likely to take by its progress."""

    watched: WatchedRun
    left: float  # seconds
    whole: float  # seconds that it would take near its data


class Slowdown(NamedTuple):
    """How much longer a run takes than its like on other workers."""

    projected: Projected
    usual: float  # seconds that its like take

    @property
    def ratio(self):
        return self.projected.whole / self.usual


def _median(values):
    return sorted(values)[len(values) // 2]


class Lengths:
    """How long the runs of one wave take, seconds. Invariant: all is sorted."""

    def __init__(self, projected, ended):
        self.all = sorted([*(one.whole for one in projected), *ended])
        self.by_worker = collections.defaultdict(list)
        for one in projected:
            self.by_worker[one.watched.worker.identity].append(one.whole)

    def usual_beside(self, worker):
        """The median of all but one worker's, or None while too few are known."""
        left_out = self.by_worker[worker.identity]
        count = len(self.all) - len(left_out)
        if count < constants.SLOW_LIKE:
            return None
        place = count // 2
        for one in sorted(left_out):
            if bisect.bisect_left(self.all, one) > place:
                break
            place += 1
        return self.all[place]


class ProgressWatch:
    """Invariant: only a run that its worker listed in a fresh beat is judged, and each at most once while
    its stop is on the way."""

    def __init__(self, pace):
        self.pace = pace

    def look(self, workers, board, stopping, now):
        """The runs that are to end (tuple of RunStop): those that stand still, or go so slowly beside their
        like on other workers that a new start elsewhere would be done sooner. `stopping` holds the
        (reference, run) whose stop is on the way."""
        stops, projected = [], []
        for watched in self._watched(workers, board, stopping, now):
            if self._stalled(watched):
                watched.worker.wary_until = max(watched.worker.wary_until, now + constants.STALLED_WARY)
                stops.append(watched.stopped_as(STALLED))
                continue
            told = self.pace.projected(watched.worker, watched.key)
            if told is not None and not watched.wave.step.gang:
                far = self.pace.far if self.pace.is_far(watched.wave, watched.worker) else 1
                projected.append(Projected(watched, told[0], told[1] / far))
        return (*stops, *self._slow(projected))

    def _watched(self, workers, board, stopping, now):
        """The runs that may be judged."""
        for worker in workers.values():
            if worker.silent(now) or worker.stale:
                continue
            held = board.placements.get(worker.identity, {})
            for key, progress in worker.progress.items():
                placement = held.get(key)
                found = board.task(placement) if placement is not None and not placement.stop else None
                if found is not None and not found[0].step.lasts and key not in stopping:
                    yield WatchedRun(worker, *key, found[0], progress)

    def _stalled(self, watched):
        """Whether a run has stood still for longer than its next step of progress can take."""
        wave, progress = watched.wave, watched.progress
        told = progress.changed_at - progress.first_at
        by_progress = told * 100 / progress.percent if progress.percent else 0
        step = max(self.pace.expected(wave), by_progress) / 100
        patience = constants.STALLED + constants.STALLED_STEPS * step
        if wave.step.gang and not progress.percent:
            patience += constants.GANG_PATIENCE
        return watched.worker.heard_at - progress.changed_at > patience

    def _slow(self, projected):
        """Stops of runs on slow workers; what their slowness tells of the workers is learnt."""
        lengths = self._lengths(projected)
        by_worker = collections.defaultdict(list)
        for one in projected:
            usual = lengths[one.watched.wave.key()].usual_beside(one.watched.worker)
            if usual is not None:
                by_worker[one.watched.worker.identity].append(Slowdown(one, usual))
        stops = []
        for slowdowns in by_worker.values():
            ratio = _median([one.ratio for one in slowdowns])
            if ratio > (constants.SLOW if len(slowdowns) > 1 else constants.SLOW_ALONE):
                slowdowns[0].projected.watched.worker.pace(ratio, constants.SLOW_WEIGHT)
                stops.extend(self._worth_a_new_start(slowdowns))
        return stops

    def _lengths(self, projected):
        """key of a wave -> the Lengths of its runs, and of two that ended."""
        by_wave = collections.defaultdict(list)
        for one in projected:
            by_wave[one.watched.wave.key()].append(one)
        lengths = {}
        for key, alike in by_wave.items():
            known = self.pace.waves.get(key)
            ended = [known[0] / known[1]] * min(2, known[1]) if known and known[1] else []
            lengths[key] = Lengths(alike, ended)
        return lengths

    def _worth_a_new_start(self, slowdowns):
        """Stops of the runs that a new start elsewhere would end sooner."""
        for one in slowdowns:
            watched, left = one.projected.watched, one.projected.left
            saved = watched.progress.percent / 100 if watched.wave.step.saves else 0
            again = one.usual * (1 - saved)
            if one.ratio > constants.SLOW and left > constants.SLOW_GAIN * again + constants.SLOW_COST:
                yield watched.stopped_as(SLOW)
