"""Where the time of jobs went, by stage, read from the logs of control daemons at level `debug`.

Stages of a job, in seconds: agreed (from the leader taking the call to the job being agreed on),
placed (from then to its first placement: it waited for room), told (to its first start being told),
ran (to its last end being agreed on; runs that are repeated count here), shown (to a caller being
told its final state).
"""

import collections
import datetime
import json
from typing import NamedTuple

from .front_commands import table

HANDED_IN, ACCEPTED, PLACED, NOTIFIED, ENDED, SHOWN = 186, 187, 188, 189, 155, 190
STOPPED, MISJUDGED = 183, 185
FINAL = ("completed", "failed")  # results of the end that ends a job
STAGES = ("agreed", "placed", "told", "ran", "shown")


class JobTimes(NamedTuple):
    """When a job passed each stage, seconds since 1970; None for one that no log tells of."""

    queue: str
    handed_in: float
    reached: tuple  # one time a stage

    def spans(self):
        """Seconds spent in each stage, None from the first one not told on."""
        spans, before = [], self.handed_in
        for at in self.reached:
            spans.append(max(0.0, at - before) if at is not None and before is not None else None)
            before = at
        return spans


def events(lines):
    """The events that some lines hold, whatever stands before each, by their time."""
    found = []
    for line in lines:
        start = line.find("{")
        try:
            event = json.loads(line[start:]) if start >= 0 else None
            at = datetime.datetime.fromisoformat(event["timestamp"]).timestamp() if event else None
        except (ValueError, KeyError, TypeError):
            continue
        if at is not None and "number" in event:
            found.append((at, event))
    return sorted(found, key=lambda one: one[0])


class Timeline:
    """What the logs tell. Invariant: of each job and stage the first time counts, of ends the last."""

    def __init__(self, found):
        self.queues, self.first = {}, collections.defaultdict(dict)
        self.ends = collections.Counter()  # how a run ended -> runs
        self.outcomes = collections.Counter()  # (why it was stopped, how it ended) -> runs
        self.misjudged = 0
        self.why = {}  # (task, run) -> why it was stopped
        for at, event in found:
            self._take(at, event)

    def _take(self, at, event):
        number = event["number"]
        if number in (HANDED_IN, ACCEPTED, SHOWN):
            self.first[event["job"]].setdefault(number, at)
            if number == HANDED_IN:
                self.queues[event["job"]] = event["queue"]
        elif number in (PLACED, NOTIFIED):
            self.first[event["task"].partition(".")[0]].setdefault(number, at)
        elif number == ENDED:
            self._take_end(at, event)
        elif number == STOPPED:
            self.why[(event["task"], event["run"])] = event["why"]
        elif number == MISJUDGED:
            self.misjudged += 1

    def _take_end(self, at, event):
        self.ends[event["how"]] += 1
        why = self.why.pop((event["task"], event["attempt"]), None)
        if why is not None:
            self.outcomes[(why, event["how"])] += 1
        if event.get("result") in FINAL:
            self.first[event["task"].partition(".")[0]][ENDED] = at

    def jobs(self):
        """JobTimes of every job whose handing in the logs tell."""
        stages = (ACCEPTED, PLACED, NOTIFIED, ENDED, SHOWN)
        return [
            JobTimes(queue, self.first[job][HANDED_IN], tuple(self.first[job].get(one) for one in stages))
            for job, queue in self.queues.items()
        ]


def _table_row(name, jobs):
    """One row of a table: how many jobs, and of each stage the median and the 95th of 100."""
    row = {"of": name, "jobs": len(jobs)}
    for stage, spans in zip(STAGES, zip(*(one.spans() for one in jobs), strict=True), strict=True):
        row[stage] = _percentiles(sorted(one for one in spans if one is not None))
    return row


def _percentiles(values):
    if not values:
        return "-"
    return f"{values[len(values) // 2]:.3f} / {values[int(len(values) * 0.95)]:.3f}"


def report(lines, window=2.0):
    """The tables as text: stages by queue and by window of so many seconds, then ends and stops."""
    timeline = Timeline(events(lines))
    jobs = timeline.jobs()
    if not jobs:
        return "no job's handing in is told: are these logs of control daemons at level debug?"
    begun = min(one.handed_in for one in jobs)
    by_queue, by_window = collections.defaultdict(list), collections.defaultdict(list)
    for one in jobs:
        by_queue[one.queue].append(one)
        by_window[int((one.handed_in - begun) // window)].append(one)
    parts = [
        "Seconds by stage, median / 95 of 100, by queue:",
        table([_table_row(queue, found) for queue, found in sorted(by_queue.items())]),
        f"\nBy when the job was handed in, windows of {window:g} s:",
        table([_table_row(f"{place * window:g} s", found) for place, found in sorted(by_window.items())]),
        "\nRuns by how they ended:",
        table([{"how": how, "runs": count} for how, count in sorted(timeline.ends.items())]),
        "\nRuns that were stopped, by why and how they then ended:",
        table(
            [
                {"why": why, "ended": how, "runs": count}
                for (why, how), count in sorted(timeline.outcomes.items())
            ]
        ),
        f"\nOf those stopped as stalled, {timeline.misjudged} were seen to be going.",
    ]
    return "\n".join(parts)
