"""Monitors the progress that workers report for their runs, and finds stalled runs and slow workers.

This is a heuristic of the leader. A wrong guess costs at most a restart, because a run that is stopped starts
again elsewhere.
"""

import bisect
import collections
from collections.abc import Iterable, Iterator, Set
from typing import NamedTuple

from ..common import constants
from . import policy as policies
from .leased_job import TaskBatch, TaskBatchKey
from .leased_job_state import LeasedJobState
from .placement import RUN_DONE, RunKey, WorkerRun
from .run_speed import RunTimeEstimator
from .run_stop import SLOW, STALLED, RunStop
from .worker import Progress, Worker


class WatchedRun(NamedTuple):
    """A run that its worker listed in its newest heartbeat."""

    worker: Worker
    reference: str
    run: int
    batch: TaskBatch
    progress: Progress
    # Only for a gang: the Progress of every member, None for each that is not known to have begun.
    members: tuple[Progress | None, ...] = ()

    @property
    def key(self) -> RunKey:
        """(reference, run)."""
        return (self.reference, self.run)

    def stop_order(self, reason: str) -> RunStop:
        """The order that stops this run."""
        return RunStop(self.worker.identity, self.reference, self.run, reason)


class ProjectedRun(NamedTuple):
    """A run with the duration that its progress suggests."""

    watched: WatchedRun
    remaining: float  # seconds
    total: float  # seconds that the whole run would take near its data


class Slowdown(NamedTuple):
    """A run compared with the runs of the same batch on other workers."""

    projected: ProjectedRun
    usual: float  # median duration of the others, seconds

    @property
    def ratio(self) -> float:
        """The projected duration of the run, as a multiple of the usual one."""
        return self.projected.total / self.usual

    @property
    def reference(self) -> str:
        """The reference of the run's task."""
        return self.projected.watched.reference


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


class BatchDurations:
    """The durations of the runs of one batch, in seconds: projected ones and those of runs that ended.
    Invariant: `ascending` contains all of them, sorted.
    """

    def __init__(self, projected: Iterable[ProjectedRun], ended: Iterable[float]) -> None:
        self.ascending = sorted([*(run.total for run in projected), *ended])
        self.by_worker: dict[str, list[float]] = collections.defaultdict(list)
        for run in projected:
            self.by_worker[run.watched.worker.identity].append(run.total)

    def median_without(self, worker: Worker) -> float | None:
        """The median of the durations, leaving out one worker's, or None while too few are known."""
        excluded = self.by_worker[worker.identity]
        count = len(self.ascending) - len(excluded)
        if count < constants.SLOW_LIKE:
            return None
        index = count // 2
        for duration in sorted(excluded):
            if bisect.bisect_left(self.ascending, duration) > index:
                break
            index += 1
        return self.ascending[index]


class ProgressWatch:
    """Finds the runs that have stalled and those that a restart on another worker would finish sooner.

    The members of a gang begin once all of them are there, continue at their own speed, and end together. So
    a member that waits for others to begin or to finish is not stalled; only a member that delays the others
    is stopped.

    A task whose run was stopped as slow, and that is as slow on the next worker, is just long: its runs say
    nothing about the speed of that worker.

    Invariant: a run is judged only by a fresh heartbeat of its worker, and is not judged again while its stop
    is under way.
    """

    def __init__(self, estimator: RunTimeEstimator, policy: policies.Policy = policies.DEFAULT) -> None:
        self.estimator, self.policy = estimator, policy
        # (worker, reference, run) of the runs stopped as stalled -> the percentage they had reported by then
        self.stopped_stalled: dict[WorkerRun, float] = {}
        # (worker, reference, run) of the runs stopped as stalled that made progress after all, since
        # take_misjudged() was called last
        self.misjudged: list[WorkerRun] = []
        self.misjudged_count = 0
        # references of the tasks of which a run was stopped as slow and that are not done
        self.stopped_slow: set[str] = set()

    def find_stops(
        self, workers: dict[str, Worker], leased_jobs: LeasedJobState, stopping: Set[RunKey], now: float
    ) -> tuple[RunStop, ...]:
        """The stops of runs that have stalled, and of runs so much slower than those of the same batch on
        other workers that a restart elsewhere would be done sooner. `stopping` contains the (reference, run)
        of runs whose stop is under way.
        """
        self._find_misjudged(workers)
        self._forget_closed_jobs(leased_jobs)
        stops, projected = [], []
        for watched in self._watched_runs(workers, leased_jobs, stopping, now):
            if self.policy.stop_stalled and self._is_stalled(watched):
                if self.policy.avoid_failing_workers:
                    watched.worker.avoided_until = max(
                        watched.worker.avoided_until, now + constants.AVOID_AFTER_STALL
                    )
                self.stopped_stalled[(watched.worker.identity, *watched.key)] = watched.progress.percent
                stops.append(watched.stop_order(STALLED))
                continue
            projection = self.estimator.projected(watched.worker, watched.key)
            if projection is not None and not watched.batch.step.gang:
                far_factor = self.estimator.far if self.estimator.is_far(watched.batch, watched.worker) else 1
                projected.append(ProjectedRun(watched, projection.left, projection.total / far_factor))
        return (*stops, *(self._slow_run_stops(projected) if self.policy.stop_slow else ()))

    def ended(self, worker: str, reference: str, run: int, how: str) -> None:
        """Records the end of a run. A run that was stopped as stalled but ended as done was misjudged."""
        if how == RUN_DONE:
            self.stopped_slow.discard(reference)
        percent = self.stopped_stalled.pop((worker, reference, run), None)
        if percent is not None and how == RUN_DONE:
            self._count_misjudged((worker, reference, run))

    def take_misjudged(self) -> list[WorkerRun]:
        """Returns and clears the list of runs, as (worker, reference, run), that were found since the last
        call to have made progress after they were stopped as stalled.
        """
        misjudged, self.misjudged = self.misjudged, []
        return misjudged

    def _find_misjudged(self, workers: dict[str, Worker]) -> None:
        """Finds runs that were stopped as stalled and have reported more progress since."""
        for key, percent in list(self.stopped_stalled.items()):
            worker = workers.get(key[0])
            progress = worker.progress.get(key[1:]) if worker is not None else None
            if progress is not None and progress.percent > percent:
                del self.stopped_stalled[key]
                self._count_misjudged(key)

    def _forget_closed_jobs(self, leased_jobs: LeasedJobState) -> None:
        """Drops the tasks of jobs that are over from `stopped_slow`."""
        for reference in [
            stopped for stopped in self.stopped_slow if stopped.partition(".")[0] not in leased_jobs.jobs
        ]:
            self.stopped_slow.discard(reference)

    def _count_misjudged(self, key: WorkerRun) -> None:
        self.misjudged.append(key)
        self.misjudged_count += 1

    def _watched_runs(
        self, workers: dict[str, Worker], leased_jobs: LeasedJobState, stopping: Set[RunKey], now: float
    ) -> Iterator[WatchedRun]:
        """The runs that may be judged now."""
        gangs: dict[TaskBatchKey, tuple[Progress | None, ...]] = {}
        for worker in workers.values():
            if not worker.progress or worker.unresponsive(now) or worker.stale:
                continue
            placements = leased_jobs.placements.get(worker.identity, {})
            for key, progress in worker.progress.items():
                placement = placements.get(key)
                current = (
                    leased_jobs.current_task(placement)
                    if placement is not None and not placement.stop
                    else None
                )
                if current is None or current[0].step.lasts or key in stopping:
                    continue
                batch = current[0]
                members: tuple[Progress | None, ...] = ()
                if batch.step.gang:
                    if self._progressed_recently(worker, progress):
                        continue  # it has not stalled, and members of a gang are not compared with each other
                    if batch.key() not in gangs:
                        gangs[batch.key()] = self._members(batch, workers)
                    members = gangs[batch.key()]
                yield WatchedRun(worker, key[0], key[1], batch, progress, members)

    def _members(self, batch: TaskBatch, workers: dict[str, Worker]) -> tuple[Progress | None, ...]:
        """The Progress of every member of a gang, None for each that its worker has not listed."""
        members = []
        for index, task in enumerate(batch.tasks):
            worker = workers.get(task.worker_id)
            key = (batch.reference(index), task.run)
            members.append(worker.progress.get(key) if worker is not None else None)
        return tuple(members)

    def _waits_for_others(self, watched: WatchedRun) -> bool:
        """Whether a member of a gang waits for others to begin or, having finished its work, for others to
        finish theirs.
        """
        begun = [progress for progress in watched.members if progress is not None]
        if len(begun) < len(watched.members):
            return True
        finished = [progress.percent >= constants.GANG_FINISHED for progress in begun]
        return watched.progress.percent >= constants.GANG_FINISHED and not all(finished)

    def _progressed_recently(self, worker: Worker, progress: Progress) -> bool:
        """Whether a run reported progress so recently that it cannot have stalled."""
        return worker.heard_at - progress.changed_at <= constants.STALLED

    def _is_stalled(self, watched: WatchedRun) -> bool:
        """Whether a run has reported no progress for longer than its next percent can take."""
        progress, batch = watched.progress, watched.batch
        if self._progressed_recently(watched.worker, progress):
            return False
        begun, still_since = progress.first_at, progress.changed_at
        if batch.step.gang:
            if self._waits_for_others(watched):
                return False
            # All of them have begun, else this one would wait for others.
            members = [member for member in watched.members if member is not None]
            begun = max(member.first_at for member in members)
            is_finished = progress.percent >= constants.GANG_FINISHED
            progressed = [member.changed_at for member in members] if is_finished else [still_since]
            still_since = max(begun, *progressed)
        by_progress = (progress.changed_at - begun) * 100 / progress.percent if progress.percent else 0
        seconds_per_percent = max(self.estimator.expected(batch), by_progress) / 100
        timeout = constants.STALLED + constants.STALLED_STEPS * seconds_per_percent
        return watched.worker.heard_at - still_since > timeout

    def _slow_run_stops(self, projected: list[ProjectedRun]) -> list[RunStop]:
        """The stops of runs on slow workers. Also updates the speed of these workers."""
        durations = self._durations(projected)
        by_worker = collections.defaultdict(list)
        for run in projected:
            usual = durations[run.watched.batch.key()].median_without(run.watched.worker)
            if usual is not None:
                by_worker[run.watched.worker.identity].append(Slowdown(run, usual))
        stops: list[RunStop] = []
        for slowdowns in by_worker.values():
            ratios = [slowdown.ratio for slowdown in slowdowns if slowdown.reference not in self.stopped_slow]
            if not ratios:
                continue
            ratio = _median(ratios)
            if ratio > (constants.SLOW if len(slowdowns) > 1 else constants.SLOW_ALONE):
                slowdowns[0].projected.watched.worker.update_speed(ratio, constants.SLOW_WEIGHT)
                stops.extend(self._stops_with_gain(slowdowns))
        self.stopped_slow.update(stop.reference for stop in stops)
        return stops

    def _durations(self, projected: list[ProjectedRun]) -> dict[TaskBatchKey, BatchDurations]:
        """Key of a batch -> the durations of its projected runs and of at most two of its runs that ended."""
        by_batch = collections.defaultdict(list)
        for run in projected:
            by_batch[run.watched.batch.key()].append(run)
        durations = {}
        for key, runs in by_batch.items():
            known = self.estimator.batches.get(key)
            ended = [known.mean_seconds] * min(2, known.runs) if known else []
            durations[key] = BatchDurations(runs, ended)
        return durations

    def _stops_with_gain(self, slowdowns: list[Slowdown]) -> Iterator[RunStop]:
        """The stops of those runs that a restart on another worker would finish sooner."""
        for slowdown in slowdowns:
            watched, remaining = slowdown.projected.watched, slowdown.projected.remaining
            saved_part = watched.progress.percent / 100 if watched.batch.step.saves else 0
            restarted = slowdown.usual * (1 - saved_part)
            if (
                slowdown.ratio > constants.SLOW
                and remaining > constants.SLOW_GAIN * restarted + constants.SLOW_COST
            ):
                yield watched.stop_order(SLOW)
