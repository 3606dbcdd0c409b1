"""Where the time of jobs went, by stage, read from the logs of control daemons at level `debug`.

Stages of a leased job, in seconds: agreed (from the leader taking the call to the job being agreed on),
placed (from then to its first placement: it waited for capacity), told (to its first start being told),
ran (to its last end being agreed on; runs that are repeated count here), shown (to a caller being
told its final state).
"""

import collections
import datetime
import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from .text_tables import table

# numbers of events (docs/events.md)
HANDED_IN, ACCEPTED, PLACED, NOTIFIED, ENDED, SHOWN = 186, 187, 188, 189, 155, 190
STOPPED, MISJUDGED = 183, 185
REACHED_BY = (ACCEPTED, PLACED, NOTIFIED, ENDED, SHOWN)  # the event at the end of each stage
FINAL = ("completed", "failed")  # results of the end that ends a job
STAGES = ("agreed", "placed", "told", "ran", "shown")
HIGH_PERCENTILE = 0.95
NO_JOBS = "no job's handing in is told: are these logs of control daemons at level debug?"

Event = dict[str, Any]


class TimedEvent(NamedTuple):
    """An event of a log and when it happened, seconds since 1970."""

    at: float
    event: Event


class RunName(NamedTuple):
    """One run of a task."""

    task: str
    attempt: int


class Outcome(NamedTuple):
    """Why a run was stopped and how it then ended."""

    why: str
    ended: str


class JobTimes(NamedTuple):
    """When a job passed each stage, seconds since 1970; None for one that no log tells of."""

    queue: str
    handed_in: float
    reached: tuple[float | None, ...]  # one time a stage

    def spans(self) -> list[float | None]:
        """Seconds spent in each stage, None from the first one not told on."""
        spans: list[float | None] = []
        before: float | None = self.handed_in
        for at in self.reached:
            spans.append(max(0.0, at - before) if at is not None and before is not None else None)
            before = at
        return spans


def events(lines: Iterable[str]) -> list[TimedEvent]:
    """The events that some lines hold, whatever stands before each, by their time."""
    found = [event for event in map(_event_in, lines) if event is not None]
    return sorted(found, key=lambda one: one.at)


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
    """What the logs tell. Invariant: of each job and stage the first time counts, of ends the last."""

    def __init__(self, found: Iterable[TimedEvent]) -> None:
        self.queues: dict[str, str] = {}  # job -> queue
        self.reached: dict[str, dict[int, float]] = collections.defaultdict(dict)  # job -> event -> when
        self.ends: collections.Counter[str] = collections.Counter()  # how a run ended -> runs
        self.outcomes: collections.Counter[Outcome] = collections.Counter()
        self.misjudged = 0
        self._stopped: dict[RunName, str] = {}  # why it was stopped, until it has ended
        for at, event in found:
            self._take(at, event)

    def _take(self, at: float, event: Event) -> None:
        number = event["number"]
        if number in (HANDED_IN, ACCEPTED, SHOWN):
            self._take_job(at, event)
        elif number in (PLACED, NOTIFIED):
            self.reached[_job_of(event["task"])].setdefault(number, at)
        elif number == ENDED:
            self._take_end(at, event)
        elif number == STOPPED:
            self._stopped[RunName(event["task"], event["run"])] = event["why"]
        elif number == MISJUDGED:
            self.misjudged += 1

    def _take_job(self, at: float, event: Event) -> None:
        self.reached[event["job"]].setdefault(event["number"], at)
        if event["number"] == HANDED_IN:
            self.queues[event["job"]] = event["queue"]

    def _take_end(self, at: float, event: Event) -> None:
        self.ends[event["how"]] += 1
        why = self._stopped.pop(RunName(event["task"], event["attempt"]), None)
        if why is not None:
            self.outcomes[Outcome(why, event["how"])] += 1
        if event.get("result") in FINAL:
            self.reached[_job_of(event["task"])][ENDED] = at

    def jobs(self) -> list[JobTimes]:
        """JobTimes of every job whose handing in the logs tell."""
        return [self._times_of(job, queue) for job, queue in self.queues.items()]

    def _times_of(self, job: str, queue: str) -> JobTimes:
        times = self.reached[job]
        return JobTimes(queue, times[HANDED_IN], tuple(times.get(one) for one in REACHED_BY))


def _table_row(name: str, jobs: Sequence[JobTimes]) -> dict[str, Any]:
    """One row of a table: how many jobs, and of each stage the median and the 95th of 100."""
    row: dict[str, Any] = {"of": name, "jobs": len(jobs)}
    by_stage = zip(*(one.spans() for one in jobs), strict=True)
    for stage, spans in zip(STAGES, by_stage, strict=True):
        row[stage] = _percentiles(sorted(one for one in spans if one is not None))
    return row


def _percentiles(values: Sequence[float]) -> str:
    if not values:
        return "-"
    return f"{values[len(values) // 2]:.3f} / {values[int(len(values) * HIGH_PERCENTILE)]:.3f}"


def _queues_table(jobs: Sequence[JobTimes]) -> str:
    by_queue = collections.defaultdict(list)
    for one in jobs:
        by_queue[one.queue].append(one)
    return table([_table_row(queue, found) for queue, found in sorted(by_queue.items())])


def _windows_table(jobs: Sequence[JobTimes], window: float) -> str:
    """Rows by when jobs were handed in, in windows of so many seconds from the first on."""
    begun = min(one.handed_in for one in jobs)
    by_window = collections.defaultdict(list)
    for one in jobs:
        by_window[int((one.handed_in - begun) // window)].append(one)
    return table([_table_row(f"{place * window:g} s", found) for place, found in sorted(by_window.items())])


def _ends_table(ends: collections.Counter[str]) -> str:
    return table([{"how": how, "runs": count} for how, count in sorted(ends.items())])


def _outcomes_table(outcomes: collections.Counter[Outcome]) -> str:
    return table(
        [{"why": one.why, "ended": one.ended, "runs": count} for one, count in sorted(outcomes.items())]
    )


def report(lines: Iterable[str], window: float = 2.0) -> str:
    """The tables as text: stages by queue and by window of so many seconds, then ends and stops."""
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
