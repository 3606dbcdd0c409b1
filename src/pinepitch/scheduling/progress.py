"""Watches the progress that workers tell of their runs: finds runs that stand still, and slow workers.

The leader's guess alone: it costs a restart at most, as a run that is stopped starts again elsewhere.
"""

import bisect
import collections
from collections.abc import Iterable, Iterator, Set
from typing import NamedTuple

from ..common import constants
from . import policy as policies
from .leased_job import Wave, WaveKey
from .leased_job_state import LeasedJobState
from .placement import RUN_DONE, RunKey, WorkerRun
from .run_speed import Pace
from .run_stop import SLOW, STALLED, RunStop
from .worker import Progress, Worker


class WatchedRun(NamedTuple):
    """A run that a worker listed in its newest heartbeat."""

    worker: Worker
    reference: str
    run: int
    wave: Wave
    progress: Progress
    members: tuple[
        Progress | None, ...
    ] = ()  # Progress of all of its gang, None for each that is not known to have begun

    @property
    def key(self) -> RunKey:
        """(reference, run)."""
        return (self.reference, self.run)

    def stopped_as(self, why: str) -> RunStop:
        """The order that this run ends."""
        return RunStop(self.worker.identity, self.reference, self.run, why)


class Projected(NamedTuple):
    """How long a run is likely to take by its progress."""

    watched: WatchedRun
    left: float  # seconds
    total: float  # seconds that it would take near its data


class Slowdown(NamedTuple):
    """How much longer a run takes than its like on other workers."""

    projected: Projected
    usual: float  # seconds that its like take

    @property
    def ratio(self) -> float:
        """How many times as long as its like the run takes."""
        return self.projected.total / self.usual

    @property
    def reference(self) -> str:
        """The reference of the run's task."""
        return self.projected.watched.reference


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


class Lengths:
    """How long the runs of one wave take, seconds. Invariant: all is sorted."""

    def __init__(self, projected: Iterable[Projected], ended: Iterable[float]) -> None:
        self.all = sorted([*(one.total for one in projected), *ended])
        self.by_worker: dict[str, list[float]] = collections.defaultdict(list)
        for one in projected:
            self.by_worker[one.watched.worker.identity].append(one.total)

    def usual_beside(self, worker: Worker) -> float | None:
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
    """Members of a gang begin once all are there, go on at their own pace, and end together: one that waits
    for others to begin or to finish does not stand still, and only one that holds them up is stopped.

    A task that was stopped as slow and is as slow elsewhere is long: it tells nothing of its next worker.

    Invariant: only a run that its worker listed in a fresh heartbeat is judged, and each at most once while
    its stop is on the way.
    """

    def __init__(self, pace: Pace, policy: policies.Policy = policies.DEFAULT) -> None:
        self.pace, self.policy = pace, policy
        # (worker, reference, run) of those stopped as stalled -> percent told by then
        self.judged: dict[WorkerRun, float] = {}
        self.misjudged: list[WorkerRun] = []  # (worker, reference, run) that went on after all, not yet taken
        self.misjudged_count = 0
        # references of tasks not done, of which a run was stopped as slow
        self.stopped_slow: set[str] = set()

    def look(
        self, workers: dict[str, Worker], leased_jobs: LeasedJobState, stopping: Set[RunKey], now: float
    ) -> tuple[RunStop, ...]:
        """The runs that are to end (tuple of RunStop): those that stand still, or go so slowly beside their
        like on other workers that a new start elsewhere would be done sooner. `stopping` holds the
        (reference, run) whose stop is on the way.
        """
        self._look_back(workers)
        self._forget_tasks(leased_jobs)
        stops, projected = [], []
        for watched in self._watched(workers, leased_jobs, stopping, now):
            if self.policy.stop_stalled and self._stalled(watched):
                if self.policy.avoid_troubled_workers:
                    watched.worker.avoided_until = max(
                        watched.worker.avoided_until, now + constants.AVOID_AFTER_STALL
                    )
                self.judged[(watched.worker.identity, *watched.key)] = watched.progress.percent
                stops.append(watched.stopped_as(STALLED))
                continue
            projection = self.pace.projected(watched.worker, watched.key)
            if projection is not None and not watched.wave.step.gang:
                far = self.pace.far if self.pace.is_far(watched.wave, watched.worker) else 1
                projected.append(Projected(watched, projection.left, projection.total / far))
        return (*stops, *(self._slow(projected) if self.policy.stop_slow else ()))

    def ended(self, worker: str, reference: str, run: int, how: str) -> None:
        """A run has ended; one that was stopped as stalled and is done all the same was going."""
        if how == RUN_DONE:
            self.stopped_slow.discard(reference)
        known = self.judged.pop((worker, reference, run), None)
        if known is not None and how == RUN_DONE:
            self._count_misjudged((worker, reference, run))

    def take_misjudged(self) -> list[WorkerRun]:
        """[(worker, reference, run)] found, since it was asked last, to have gone on after they were stopped
        as stalled.
        """
        found, self.misjudged = self.misjudged, []
        return found

    def _look_back(self, workers: dict[str, Worker]) -> None:
        """Looks whether what was stopped as stalled has told more progress since."""
        for key, percent in list(self.judged.items()):
            worker = workers.get(key[0])
            progress = worker.progress.get(key[1:]) if worker is not None else None
            if progress is not None and progress.percent > percent:
                del self.judged[key]
                self._count_misjudged(key)

    def _forget_tasks(self, leased_jobs: LeasedJobState) -> None:
        """Forgets the tasks of jobs that are over."""
        for reference in [one for one in self.stopped_slow if one.partition(".")[0] not in leased_jobs.jobs]:
            self.stopped_slow.discard(reference)

    def _count_misjudged(self, key: WorkerRun) -> None:
        self.misjudged.append(key)
        self.misjudged_count += 1

    def _watched(
        self, workers: dict[str, Worker], leased_jobs: LeasedJobState, stopping: Set[RunKey], now: float
    ) -> Iterator[WatchedRun]:
        """The runs that may be judged."""
        gangs: dict[WaveKey, tuple[Progress | None, ...]] = {}
        for worker in workers.values():
            if not worker.progress or worker.unresponsive(now) or worker.stale:
                continue
            placements = leased_jobs.placements.get(worker.identity, {})
            for key, progress in worker.progress.items():
                placement = placements.get(key)
                found = leased_jobs.task(placement) if placement is not None and not placement.stop else None
                if found is None or found[0].step.lasts or key in stopping:
                    continue
                wave = found[0]
                members: tuple[Progress | None, ...] = ()
                if wave.step.gang:
                    if self._moved_of_late(worker, progress):
                        continue  # it is not judged by its like, so there is nothing to find
                    if wave.key() not in gangs:
                        gangs[wave.key()] = self._members(wave, workers)
                    members = gangs[wave.key()]
                yield WatchedRun(worker, key[0], key[1], wave, progress, members)

    def _members(self, wave: Wave, workers: dict[str, Worker]) -> tuple[Progress | None, ...]:
        """The Progress of all members of a gang, None for each that no worker has listed."""
        members = []
        for index, task in enumerate(wave.tasks):
            worker = workers.get(task.worker_id)
            key = (wave.reference(index), task.run)
            members.append(worker.progress.get(key) if worker is not None else None)
        return tuple(members)

    def _waits_for_others(self, watched: WatchedRun) -> bool:
        """Whether a gang's member waits for others to begin, or, being done, to finish."""
        begun = [one for one in watched.members if one is not None]
        if len(begun) < len(watched.members):
            return True
        finished = [one.percent >= constants.GANG_FINISHED for one in begun]
        return watched.progress.percent >= constants.GANG_FINISHED and not all(finished)

    def _moved_of_late(self, worker: Worker, progress: Progress) -> bool:
        """Whether a run told progress so lately that it can't have stood still for too long."""
        return worker.heard_at - progress.changed_at <= constants.STALLED

    def _stalled(self, watched: WatchedRun) -> bool:
        """Whether a run has stood still for longer than its next step of progress can take."""
        progress, wave = watched.progress, watched.wave
        if self._moved_of_late(watched.worker, progress):
            return False
        begun, still_since = progress.first_at, progress.changed_at
        if wave.step.gang:
            if self._waits_for_others(watched):
                return False
            members = [one for one in watched.members if one is not None]  # that is: all of them
            begun = max(one.first_at for one in members)
            finished = progress.percent >= constants.GANG_FINISHED
            moved = [one.changed_at for one in members] if finished else [still_since]
            still_since = max(begun, *moved)
        by_progress = (progress.changed_at - begun) * 100 / progress.percent if progress.percent else 0
        step = max(self.pace.expected(wave), by_progress) / 100
        patience = constants.STALLED + constants.STALLED_STEPS * step
        return watched.worker.heard_at - still_since > patience

    def _slow(self, projected: list[Projected]) -> list[RunStop]:
        """Stops of runs on slow workers; what their slowness tells of the workers is learnt."""
        lengths = self._lengths(projected)
        by_worker = collections.defaultdict(list)
        for one in projected:
            usual = lengths[one.watched.wave.key()].usual_beside(one.watched.worker)
            if usual is not None:
                by_worker[one.watched.worker.identity].append(Slowdown(one, usual))
        stops: list[RunStop] = []
        for slowdowns in by_worker.values():
            telling = [one.ratio for one in slowdowns if one.reference not in self.stopped_slow]
            if not telling:
                continue
            ratio = _median(telling)
            if ratio > (constants.SLOW if len(slowdowns) > 1 else constants.SLOW_ALONE):
                slowdowns[0].projected.watched.worker.pace(ratio, constants.SLOW_WEIGHT)
                stops.extend(self._faster_restarted(slowdowns))
        self.stopped_slow.update(stop.reference for stop in stops)
        return stops

    def _lengths(self, projected: list[Projected]) -> dict[WaveKey, Lengths]:
        """Key of a wave -> the Lengths of its runs, and of two that ended."""
        by_wave = collections.defaultdict(list)
        for one in projected:
            by_wave[one.watched.wave.key()].append(one)
        lengths = {}
        for key, alike in by_wave.items():
            known = self.pace.waves.get(key)
            ended = [known.usual] * min(2, known.runs) if known else []
            lengths[key] = Lengths(alike, ended)
        return lengths

    def _faster_restarted(self, slowdowns: list[Slowdown]) -> Iterator[RunStop]:
        """Stops of the runs that a new start elsewhere would end sooner."""
        for one in slowdowns:
            watched, left = one.projected.watched, one.projected.left
            saved = watched.progress.percent / 100 if watched.wave.step.saves else 0
            again = one.usual * (1 - saved)
            if one.ratio > constants.SLOW and left > constants.SLOW_GAIN * again + constants.SLOW_COST:
                yield watched.stopped_as(SLOW)
