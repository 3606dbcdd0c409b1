"""How long jobs spent in each stage, from the logs of control daemons at level `debug`.

Stages of a leased job, in seconds:

- agreed: from when the leader accepts the call to when the job is agreed on.
- placed: from then to its first placement; the job waits for capacity.
- told: from then to when its first start is sent to a worker.
- ran: from then to when its last end is agreed on, repeated runs included.
- shown: from then to when a caller receives its final state.
"""

import collections
import datetime
import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from .text_tables import table

# event numbers (docs/events.md)
SUBMITTED, ACCEPTED, PLACED, NOTIFIED, ENDED, SHOWN = 186, 187, 188, 189, 155, 190
# STALL_MISJUDGED: a run that was stopped as stalled was seen to make progress
STOPPED, STALL_MISJUDGED = 183, 185
REACHED_BY = (ACCEPTED, PLACED, NOTIFIED, ENDED, SHOWN)  # the event at the end of each stage
FINAL = ("completed", "failed")  # results of an ENDED event by which the whole job ends
STAGES = ("agreed", "placed", "told", "ran", "shown")
HIGH_QUANTILE = 0.95
NO_JOBS = "no job's handing in is told: are these logs of control daemons at level debug?"

Event = dict[str, Any]


class TimedEvent(NamedTuple):
    """An event of a log and its time in seconds since 1970."""

    at: float
    event: Event


class RunName(NamedTuple):
    """One run of a task."""

    task: str
    attempt: int


class StopOutcome(NamedTuple):
    """Why a run was stopped and how it then ended."""

    why: str
    ended: str


class JobTimes(NamedTuple):
    """When a job reached the end of each stage, in seconds since 1970; None if no log contains it."""

    queue: str
    submitted_at: float
    stage_ends: tuple[float | None, ...]  # one time per stage

    def spans(self) -> list[float | None]:
        """Seconds spent in each stage; None if the logs lack the time of its start or end. A negative
        difference counts as 0.
        """
        spans: list[float | None] = []
        before: float | None = self.submitted_at
        for at in self.stage_ends:
            spans.append(max(0.0, at - before) if at is not None and before is not None else None)
            before = at
        return spans


def events(lines: Iterable[str]) -> list[TimedEvent]:
    """The events in some log lines, in order of time; any text before the JSON of a line is ignored."""
    timed_events = [event for event in map(_event_in, lines) if event is not None]
    return sorted(timed_events, key=lambda timed_event: timed_event.at)


def _event_in(line: str) -> TimedEvent | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
        at = datetime.datetime.fromisoformat(event["timestamp"]).timestamp()
    except (ValueError, KeyError, TypeError):
        return None
    return TimedEvent(at, event) if "number" in event else None


def _job_of(task: str) -> str:
    return task.partition(".")[0]


class Timeline:
    """The content of the logs.

    Invariant: event_times holds, for each job, the earliest time of each event, but the latest of ENDED.
    """

    def __init__(self, timed_events: Iterable[TimedEvent]) -> None:
        self.queues: dict[str, str] = {}  # job -> queue
        self.event_times: dict[str, dict[int, float]] = collections.defaultdict(dict)  # job -> event -> when
        self.ends: collections.Counter[str] = collections.Counter()  # how a run ended -> runs
        self.outcomes: collections.Counter[StopOutcome] = collections.Counter()
        self.misjudged = 0
        self._stopped: dict[RunName, str] = {}  # run -> why it was stopped, until the run has ended
        for at, event in timed_events:
            self._take(at, event)

    def _take(self, at: float, event: Event) -> None:
        number = event["number"]
        if number in (SUBMITTED, ACCEPTED, SHOWN):
            self._take_job(at, event)
        elif number in (PLACED, NOTIFIED):
            self.event_times[_job_of(event["task"])].setdefault(number, at)
        elif number == ENDED:
            self._take_end(at, event)
        elif number == STOPPED:
            self._stopped[RunName(event["task"], event["run"])] = event["why"]
        elif number == STALL_MISJUDGED:
            self.misjudged += 1

    def _take_job(self, at: float, event: Event) -> None:
        self.event_times[event["job"]].setdefault(event["number"], at)
        if event["number"] == SUBMITTED:
            self.queues[event["job"]] = event["queue"]

    def _take_end(self, at: float, event: Event) -> None:
        self.ends[event["how"]] += 1
        stop_reason = self._stopped.pop(RunName(event["task"], event["attempt"]), None)
        if stop_reason is not None:
            self.outcomes[StopOutcome(stop_reason, event["how"])] += 1
        if event.get("result") in FINAL:
            self.event_times[_job_of(event["task"])][ENDED] = at

    def jobs(self) -> list[JobTimes]:
        """JobTimes of every job whose submission is in the logs."""
        return [self._times_of(job, queue) for job, queue in self.queues.items()]

    def _times_of(self, job: str, queue: str) -> JobTimes:
        times = self.event_times[job]
        return JobTimes(queue, times[SUBMITTED], tuple(times.get(number) for number in REACHED_BY))


def _table_row(name: str, jobs: Sequence[JobTimes]) -> dict[str, Any]:
    """A table row: the number of jobs, and the median and 95th percentile of each stage."""
    row: dict[str, Any] = {"of": name, "jobs": len(jobs)}
    by_stage = zip(*(job.spans() for job in jobs), strict=True)
    for stage, spans in zip(STAGES, by_stage, strict=True):
        row[stage] = _percentiles(sorted(span for span in spans if span is not None))
    return row


def _percentiles(values: Sequence[float]) -> str:
    if not values:
        return "-"
    return f"{values[len(values) // 2]:.3f} / {values[int(len(values) * HIGH_QUANTILE)]:.3f}"


def _queues_table(jobs: Sequence[JobTimes]) -> str:
    by_queue = collections.defaultdict(list)
    for job in jobs:
        by_queue[job.queue].append(job)
    return table([_table_row(queue, queue_jobs) for queue, queue_jobs in sorted(by_queue.items())])


def _windows_table(jobs: Sequence[JobTimes], window: float) -> str:
    """Rows by time of submission, in windows of `window` seconds from the first submission."""
    begun = min(job.submitted_at for job in jobs)
    by_window = collections.defaultdict(list)
    for job in jobs:
        by_window[int((job.submitted_at - begun) // window)].append(job)
    return table(
        [_table_row(f"{index * window:g} s", window_jobs) for index, window_jobs in sorted(by_window.items())]
    )


def _ends_table(ends: collections.Counter[str]) -> str:
    return table([{"how": how, "runs": count} for how, count in sorted(ends.items())])


def _outcomes_table(outcomes: collections.Counter[StopOutcome]) -> str:
    return table(
        [
            {"why": outcome.why, "ended": outcome.ended, "runs": count}
            for outcome, count in sorted(outcomes.items())
        ]
    )


def report(lines: Iterable[str], window: float = 2.0) -> str:
    """The tables as text: stages by queue and by window of `window` seconds, then ends and stops."""
    timeline = Timeline(events(lines))
    jobs = timeline.jobs()
    if not jobs:
        return NO_JOBS
    parts = [
        "Seconds by stage, median / 95 of 100, by queue:",
        _queues_table(jobs),
        f"\nBy when the job was handed in, windows of {window:g} s:",
        _windows_table(jobs, window),
        "\nRuns by how they ended:",
        _ends_table(timeline.ends),
        "\nRuns that were stopped, by why and how they then ended:",
        _outcomes_table(timeline.outcomes),
        f"\nOf those stopped as stalled, {timeline.misjudged} were seen to be going.",
    ]
    return "\n".join(parts)
