"""Replays of recent traffic: the cluster state and the placement code in virtual time.

Replays are pure, so that they can run apart from the live placement. Times are seconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from ..common import constants
from ..model.push_worker import PushWorker, Report
from ..model.reliability import Reliability
from ..state.cluster_state import ClusterState
from .placement import Placer

METRICS = ("wait_median", "wait_99", "dues_missed", "failed", "shed", "room_used", "preemptions")
SHARES = ("dues_missed", "failed", "shed", "preemptions")  # reported as shares of a queue's jobs

Fields = tuple[Any, ...]  # fields of a SampledJob, a SampledTask, or an operation
Running = tuple[Fields, ...]  # each (queue, kind, units, labels, count)
Block = tuple[float, Running, tuple[Fields, ...]]  # (length, running at its start, arrivals)
WorkKind = tuple[str, str, int, tuple[str, ...]]  # (queue, kind, units, labels)
QueueMetrics = dict[str, dict[str, float]]  # queue -> metric -> value


class SampledTask(NamedTuple):
    """A task of the traffic sample (`state/traffic_sample.py`)."""

    name: str
    units: int
    labels: Sequence[str]
    after: Sequence[str]
    wait: float  # from the job's arrival to the task's earliest start, 0 for none
    gang: str
    attempts: int  # as requested, 0 for the queue's
    limit: float
    duration: float | None  # None if its end was not sampled
    failures: int
    lost: float  # total time lost by its failures


class SampledJob(NamedTuple):
    """A job of the traffic sample."""

    arrival: float  # from the start of its block
    queue: str
    kind: str
    urgency: int  # -1 for the queue's
    due: float  # from its arrival, 0 for none
    tasks: Iterable[Fields]  # each of a SampledTask


class WorkModel:
    """Statistics of each kind of work in the sample: its durations, how often it fails and after what time.
    Invariant: the same seed, task and attempt give the same draw, whatever the table.
    """

    def __init__(self, blocks: Iterable[Block]) -> None:
        self.durations: dict[WorkKind, list[float]] = {}
        self.lost: dict[WorkKind, list[float]] = {}
        self.attempt_counts: dict[WorkKind, int] = {}
        self.failures: dict[WorkKind, int] = {}
        for _, _, arrivals in blocks:
            for arrival in arrivals:
                job = SampledJob._make(arrival)
                for task in job.tasks:
                    self._count(job, SampledTask._make(task))

    def _count(self, job: SampledJob, task: SampledTask) -> None:
        kind = (job.queue, job.kind, task.units, tuple(task.labels))
        if task.duration is not None:
            self.durations.setdefault(kind, []).append(task.duration)
            self.attempt_counts[kind] = self.attempt_counts.get(kind, 0) + 1
        if task.failures:
            self.lost.setdefault(kind, []).append(task.lost / task.failures)
            self.attempt_counts[kind] = self.attempt_counts.get(kind, 0) + task.failures
            self.failures[kind] = self.failures.get(kind, 0) + task.failures

    def outcome(self, kind: WorkKind, duration: float | None, seed: str) -> tuple[float | None, str]:
        """(seconds, how it ended) of one attempt. A feed whose end was not sampled never ends."""
        draw = random.Random(seed)
        if draw.random() * self.attempt_counts.get(kind, 1) < self.failures.get(kind, 0):
            return draw.choice(self.lost[kind]), "failed"
        if duration is None:
            if kind[1] == "feed":
                return None, "done"
            duration = draw.choice(self.durations.get(kind, (1.0,)))
        return duration, "done"


def resampled(blocks: Iterable[Block], seed: int) -> tuple[Running, list[Fields]]:
    """(running at the start, arrivals) of whole blocks, drawn at random and put one after another until they
    last REPLAY_LASTS or contain REPLAY_JOBS jobs. Some block must contain an arrival.
    """
    draw = random.Random(f"rehearsal-{seed}")
    blocks = [block for block in blocks if block[2]]
    offset, running = 0.0, None
    arrivals: list[Fields] = []
    while offset < constants.REPLAY_LASTS and len(arrivals) < constants.REPLAY_JOBS:
        length, running_then, arrivals_then = draw.choice(blocks)
        running = running_then if running is None else running
        arrivals.extend((offset + arrival[0], *arrival[1:]) for arrival in arrivals_then)
        offset += length
    return running or (), arrivals


def _worker(name: str, zone: str, capacity: int, labels: Iterable[str]) -> PushWorker:
    """A worker that reported only its capacity."""
    report = Report(name, zone, "", capacity, tuple(labels), False, "one", 1, 0.0, (), ())
    return PushWorker(report, 0.0, Reliability())


class Replay:
    """One table on some workers in virtual time. Invariants: moments are handled in order of (time, number);
    a scheduling round is due while something is ready and no other moment comes first.
    """

    def __init__(
        self,
        queue_configuration: dict[str, Any],
        worker_capacities: Iterable[Sequence[Any]],
        work: WorkModel,
        seed: int = 0,
    ) -> None:
        self.cluster_state, self.placer = ClusterState(), Placer()
        self.index = 0  # of the newest operation
        self.apply(0.0, ("setup", "rehearsal", None, "whole", queue_configuration, "rehearsal", ""))
        self.apply(0.0, ("duty", "placing", "rehearsal"))
        self.workers = {
            capacity_fields[0]: _worker(*capacity_fields) for capacity_fields in worker_capacities
        }
        self.work, self.seed = work, seed
        self.number = 0  # of the newest moment
        self.moments: list[Fields] = []  # a heap of (when, number, kind, ...)
        self.durations: dict[str, float | None] = {}  # task reference -> seconds that it took, if sampled
        self.draw_keys: dict[str, tuple[Any, bool]] = {}  # job -> (key of its random draws, counted)
        self.dues: dict[str, float] = {}  # job -> its due
        self.starts: list[tuple[float, str, int, str]] = []  # (when, task reference, attempt, worker)
        self.waits: dict[str, list[float]] = {}  # queue -> seconds from ready to placed
        self.metrics: QueueMetrics = {}
        self.counts: dict[str, int] = {}  # queue -> jobs that arrived
        self.round_at: float | None = None

    # --- time -------------------------------------------------------------------------
    def schedule(self, when: float, *moment: Any) -> None:
        """Schedules a moment: its kind and its fields."""
        self.number += 1
        heapq.heappush(self.moments, (when, self.number, *moment))

    def run(
        self,
        arrivals: Sequence[Fields],
        running: Iterable[Fields] = (),
        lasting: float = constants.REHEARSAL_LONGEST,
        pause: Callable[[], None] | None = None,
    ) -> QueueMetrics:
        """The metrics of a replay of `arrivals`, with `running` in progress at its start. `pause` is called
        at intervals, so that a thread can yield the processor to others.
        """
        for group in running:
            self._add_running(*group)
        self.schedule_round(0.0)
        for position, arrival in enumerate(arrivals):
            self.schedule(arrival[0], "arrive", arrival, position)
        last = arrivals[-1][0] if arrivals else 0.0
        steps = 0
        while self.moments and self.moments[0][0] <= last + lasting:
            now, _, *moment = heapq.heappop(self.moments)
            self.step(now, *moment)
            steps += 1
            if pause is not None and steps % constants.REPLAY_SLICE == 0:
                pause()
        return self.finish(last + lasting)

    def _add_running(self, queue: str, kind: str, units: int, labels: Sequence[str], count: int) -> None:
        """Adds `count` identical tasks that run when the replay begins; they count in no metric."""
        task = SampledTask("s", units, labels, (), 0.0, "", 0, 0.0, None, 0, 0.0)
        for number in range(count):
            job = SampledJob(0.0, queue, kind, -1, 0.0, (task,))
            self.arrive(0.0, job, f"running-{queue}-{units}-{number}", False)

    def step(self, now: float, kind: str, *fields: Any) -> None:
        """Handles one moment and schedules the next round."""
        progressed = True
        if kind == "arrive":
            self.arrive(now, *fields)
        elif kind == "end":
            self.apply(now, ("ended", (fields,)))
        elif kind == "round":
            if now != self.round_at:
                return  # superseded by an earlier round
            self.round_at = None
            progressed = self.run_round(now)
        when = self._next_round(now, progressed)
        if when is not None and (self.round_at is None or when < self.round_at):
            self.schedule_round(when)

    def _next_round(self, now: float, progressed: bool) -> float | None:
        """When a round may next place something; None while only other moments can help."""
        next_due: float | None = self.cluster_state.promote_due_units(now)
        if not self.cluster_state.ready_units:
            return next_due
        if progressed:
            return now + constants.PLACE_EVERY
        if self.moments:  # tasks without capacity are tried again after another moment
            next_moment: float = self.moments[0][0]
            return max(now + constants.PLACE_EVERY, min(next_moment, now + 0.5))
        return None

    def schedule_round(self, when: float) -> None:
        """Schedules a round at `when`, which replaces any round that was due."""
        self.round_at = when
        self.schedule(when, "round")

    def apply(self, now: float, operation: Fields) -> Fields:
        """The outcome of an operation on the cluster state."""
        self.index += 1
        outcome: Fields = self.cluster_state.apply(self.index, now, operation)
        return outcome

    # --- arrivals ---------------------------------------------------------------------
    def arrive(self, now: float, arrival: Iterable[Any], draw_key: Any, counted: bool = True) -> None:
        """Handles the arrival of a sampled job; `draw_key` separates its random draws from those of other
        jobs.
        """
        job = SampledJob._make(arrival)
        tasks = [SampledTask._make(task_fields) for task_fields in job.tasks]
        plain = _submitted(job, tasks, now)
        outcome = self.apply(now, ("ticket", f"r{self.number}-{self.index}", "", plain))
        accepted = outcome[0] == "accepted"
        if counted:
            self._count(job.queue, accepted)
        if not accepted:
            return
        identity = outcome[1]
        self.draw_keys[identity] = (draw_key, counted)
        for task in tasks:
            self.durations[f"{identity}/{task.name}"] = task.duration
        if job.due and counted:
            self.dues[identity] = now + job.due

    def _count(self, queue: str, accepted: bool) -> None:
        self.counts[queue] = self.counts.get(queue, 0) + 1
        self.metrics.setdefault(queue, dict.fromkeys(METRICS, 0.0))
        self.waits.setdefault(queue, [])
        if not accepted:
            self.metrics[queue]["shed"] += 1

    # --- placing ----------------------------------------------------------------------
    def run_round(self, now: float) -> bool:
        """Runs one scheduling round; returns whether it changed anything."""
        for worker in self.workers.values():
            worker.heard_at = now
        items, yields = self.placer.run_round(self.cluster_state, self.workers, [("verge", "")], now, now)
        if items:
            self._place(now, items)
        if yields:
            self._yield_tasks(now, yields)
        for ref, attempt in self.cluster_state.yielding.items():  # a repeated end changes nothing
            self.schedule(now + 0.1, "end", ref, attempt, "killed")
        return bool(items or yields)

    def _place(self, now: float, items: tuple[Fields, ...]) -> None:
        outcome = self.apply(now, ("place", 1, self.cluster_state.version, items))
        self.placer.forget_proposed([item[0] for item in items])
        for ref, refusal in outcome[1]:
            if not refusal:
                self.on_placed(now, ref)

    def _yield_tasks(self, now: float, yields: tuple[Fields, ...]) -> None:
        self.apply(now, ("yield", 1, yields))
        for ref, _attempt, _ in yields:
            if ref in self.cluster_state.yielding:
                job, _, _ = self.cluster_state.find_known(ref)
                if job.queue in self.metrics:
                    self.metrics[job.queue]["preemptions"] += 1

    def on_placed(self, now: float, ref: str) -> None:
        """Handles a placed task: draws its duration and schedules its end."""
        job, task, standing = self.cluster_state.find_known(ref)
        draw_key, counted = self.draw_keys[job.identity]
        seconds, how = self.work.outcome(
            (job.queue, job.kind, task.units, task.labels),
            self.durations[ref],
            f"{self.seed}-{draw_key}-{task.name}-{standing.attempt}",
        )
        self.starts.append((now, ref, standing.attempt, standing.worker))
        if not counted and seconds is not None:
            seconds *= random.Random(f"{self.seed}-{draw_key}").random()  # it ran for a while already
        if seconds is not None:
            if task.limit and seconds > task.limit:
                seconds, how = task.limit, "failed"
            self.schedule(now + seconds, "end", ref, standing.attempt, how)
        if counted:
            if standing.attempt == 1:
                self.waits[job.queue].append(max(0.0, now - job.ready_since(task)))
            self.metrics[job.queue]["room_used"] += task.units * (seconds or 0.0)

    # --- metrics ----------------------------------------------------------------------
    def finish(self, end: float) -> QueueMetrics:
        """The metrics: waits in seconds, used capacity in unit seconds, the others as shares of the queue's
        jobs.
        """
        for job in self.cluster_state.pushed_jobs.values():
            if job.queue in self.metrics and self.draw_keys[job.identity][1]:
                self._count_result(job, end)
        for queue, metrics in self.metrics.items():
            waits = sorted(self.waits[queue])
            metrics["wait_median"] = waits[len(waits) // 2] if waits else 0.0
            metrics["wait_99"] = waits[min(len(waits) - 1, len(waits) * 99 // 100)] if waits else 0.0
            for name in SHARES:
                metrics[name] /= self.counts[queue]
        return self.metrics

    def _count_result(self, job: Any, end: float) -> None:
        """Counts the result of one job at the replay's end."""
        metrics, due = self.metrics[job.queue], self.dues.get(job.identity)
        metrics["dues_missed"] += due is not None and (job.state != "finished" or job.ended_at > due)
        metrics["failed"] += job.state in ("failed", "failing")
        if job.state == "pending":
            self.waits[job.queue].extend(
                max(0.0, end - max(job.accepted, job.tasks[name].not_before))
                for name, standing in job.standings.items()
                if standing.attempt == 0
            )


def _submitted(job: SampledJob, tasks: Iterable[SampledTask], now: float) -> dict[str, Any]:
    """The validated document of a job that arrives now."""
    return {
        "queue": job.queue,
        "kind": job.kind,
        "urgency": job.urgency,
        "not_before": 0,
        "due": now + job.due if job.due else 0,
        "tasks": [_submitted_task(task, now) for task in tasks],
    }


def _submitted_task(task: SampledTask, now: float) -> dict[str, Any]:
    return {
        "name": task.name,
        "units": task.units,
        "labels": task.labels,
        "after": task.after,
        "gang": task.gang,
        "not_before": now + task.wait if task.wait else 0,
        "attempts": task.attempts,
        "limit": task.limit,
        "work": None,
    }
