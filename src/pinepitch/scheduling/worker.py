"""A minion as the leader has gathered it from its beats. Not stored: rebuilt from them."""

import math
from typing import NamedTuple

from ..common import constants


class Progress(NamedTuple):
    """How far a run is, and since when. Times are the leader's, seconds."""

    percent: float
    changed_at: float  # when a beat first told this percent
    first_at: float  # when a beat first listed the run


class Worker:
    """One life of a minion: after a crash it has another identity, and nothing of the old one runs.

    Invariants: sequence is that of the newest beat taken; held_from is when the newest beat
    arrived that was answered with a hold, so that nothing it runs outlives held_from and the
    hold; pending holds the numbers of its ends that are proposed and not yet agreed on."""

    def __init__(self, identity, now):
        self.identity = identity
        self.sequence = -1
        self.beats = 0  # taken: the first may be the late word of a life that is over
        self.heard_at = now
        self.held_from = None
        self.offset = None  # least of own time less the worker's clock, milliseconds, slackened with time
        self.offset_at = now
        self.stale = False
        self.news = self.before = (
            None  # what an assigning round reads of the newest beat, and of the one before
        )
        self.service = self.address = self.zone = self.state = ""
        self.labels, self.rack = frozenset(), ""
        self.room = (0, 0, 0)  # all it has, whatever runs: thousandths of a core, megabytes, accelerators
        self.leaves_at = None
        self.running = {}  # (reference, run) -> (saved, percent)
        self.listed = set()  # (reference, run) of all it listed as ended
        self.pending = set()
        self.blocked = set()  # numbers of ends that wait for another entry about the same run
        self.seen = 0  # the highest number of an end it has told
        self.progress = {}  # (reference, run) -> Progress
        self.wary_until = -1e9  # no new work before: it refused, stalled or failed some
        self.failing = 0.0  # failure rate of late, of ends that say something about it
        self.speed = 1.0  # times as long as usual that its work takes

    def beat(self, beat, now):
        """Takes a beat; False when it is older than one taken."""
        if beat["sequence"] <= self.sequence:
            return False
        self.before = self.news
        self.sequence, self.heard_at = beat["sequence"], now
        self.beats += 1
        offset = now * 1000 - beat["clock_ms"]
        if self.offset is None:
            self.offset = offset
        slack = (now - self.offset_at) * constants.CLOCK_DRIFT * 1000
        self.offset, self.offset_at = min(self.offset + slack, offset), now
        self.stale = offset - self.offset > constants.BEAT_STALE * 1000
        self.service, self.address, self.zone = beat["service"], beat["address"], beat["zone"]
        self.state = beat["state"]
        self.labels = frozenset(beat["labels"])
        self.rack = beat["labels"][-1] if beat["labels"] else ""
        self.room = tuple(beat["room"])
        leaves = beat["leaves_ms"]
        self.leaves_at = now + leaves / 1000 if leaves is not None and self.state != "ready" else None
        self.running = {(ref, run): (saved, percent) for ref, run, saved, percent in beat["running"]}
        self.listed = {(ref, run) for _, ref, run, _, _ in beat["ended"]}
        self.news = (
            self.beats >= 2,
            self.stale,
            self.service,
            self.zone,
            self.state,
            self.labels,
            self.room,
            frozenset(self.running),
        )
        for key, (_, percent) in self.running.items():
            known = self.progress.get(key)
            if known is None or percent != known.percent:
                self.progress[key] = Progress(percent, now, known.first_at if known else now)
        for key in [key for key in self.progress if key not in self.running]:
            del self.progress[key]
        return True

    def acknowledged(self):
        """The number up to which all its ends are agreed on."""
        open_ends = self.pending | self.blocked
        return min(open_ends) - 1 if open_ends else self.seen

    def silent(self, now):
        return now - self.heard_at > constants.BEAT_SILENT

    def pace(self, ratio, weight):
        """Learns from one run's length beside that of its like."""
        ratio = min(constants.SPEED_MOST, max(1 / constants.SPEED_MOST, ratio))
        self.speed += (ratio - self.speed) * weight

    def judge(self, well):
        """One more end that says something about the worker itself."""
        self.failing += ((0.0 if well else 1.0) - self.failing) / constants.LIVENESS_HALF


def checked(beat):
    """Whether a beat from outside has the form that Worker.beat takes."""
    try:
        return (
            all(isinstance(beat[field], str) for field in ("service", "address", "zone", "state"))
            and _whole(beat["sequence"])
            and _number(beat["clock_ms"])
            and (beat["leaves_ms"] is None or _number(beat["leaves_ms"]))
            and all(isinstance(one, str) for one in beat["labels"])
            and len(beat["room"]) == 3
            and all(map(_number, beat["room"]))
            and all(
                isinstance(ref, str) and _whole(run) and isinstance(saved, str) and _number(percent)
                for ref, run, saved, percent in beat["running"]
            )
            and all(
                _whole(number)
                and isinstance(ref, str)
                and _whole(run)
                and isinstance(how, str)
                and isinstance(saved, str)
                for number, ref, run, how, saved in beat["ended"]
            )
        )
    except (KeyError, TypeError, ValueError):
        return False


def _whole(value):
    return type(value) is int


def _number(value):
    return type(value) is int or type(value) is float and math.isfinite(value)
