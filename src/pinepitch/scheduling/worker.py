"""A worker as the leader knows it from its heartbeats. Not stored: a new leader learns it anew."""

import math
from typing import Any, NamedTuple

from ..common import constants
from .placement import RunKey
from .plain_types import Document

READY = "ready"  # the state of a worker that takes new work; in any other it takes none
DRAINING = "draining"


class Progress(NamedTuple):
    """How far a run is, and since when. Times are the leader's, seconds."""

    percent: float
    changed_at: float  # when a heartbeat first told this percent
    first_at: float  # when a heartbeat first listed the run


# What an assigning round reads of a worker's newest heartbeat: while it stays the same, so does what it would
# decide. (heard twice, late, service, zone, state, labels, capacity, runs), made for every heartbeat and so a
# plain tuple.
SchedulingState = tuple[
    bool, bool, str, str, str, frozenset[str], tuple[float, ...], frozenset[tuple[str, int]]
]


class Worker:
    """One incarnation of a worker: after a crash it has another identity, and nothing of the old one runs.

    Invariants: sequence is that of the newest heartbeat taken; leased_from is when the newest heartbeat
    arrived that was answered with a lease, so that nothing it runs outlives leased_from and the
    length of a lease; pending holds the numbers of its ends that are proposed and not yet agreed on.
    """

    def __init__(self, identity: str, now: float) -> None:
        self.identity = identity
        self.sequence = -1
        self.heartbeats = 0  # taken: the first may be a late one of an incarnation that is over
        self.heard_at = now
        self.leased_from: float | None = None
        # least of own time less the worker's clock, milliseconds, slackened with time
        self.offset: float | None = None
        self.offset_at = now
        self.stale = False
        self.scheduling_state: SchedulingState | None = None  # by the newest heartbeat
        self.previous_scheduling_state: SchedulingState | None = None  # by the one before
        self.service = self.address = self.zone = self.state = ""
        self.labels: frozenset[str] = frozenset()
        self.rack = ""
        # all it has, whatever runs: thousandths of a core, megabytes, accelerators
        self.capacity: tuple[float, ...] = (0, 0, 0)
        self.leaves_at: float | None = None
        self.left = False  # whether it said that it leaves, and not before that it drains
        self.running: dict[RunKey, tuple[str, float]] = {}  # (reference, run) -> (saved, percent)
        self.listed: set[RunKey] = set()  # (reference, run) of all it listed as ended
        self.pending: set[int] = set()
        self.blocked: set[int] = set()  # numbers of ends that wait for another entry about the same run
        self.seen = 0  # the highest number of an end it has told
        self.progress: dict[RunKey, Progress] = {}  # (reference, run) -> Progress
        self.avoided_until = -1e9  # no new work before: it refused, stalled or failed some
        self.failing = 0.0  # failure rate of late, of ends that say something about it
        self.speed = 1.0  # times as long as usual that its work takes

    def leave(self) -> bool:
        """Takes its word that it leaves; whether that proves that it ends now. One that never said that it
        drains serves on for as long as if it had: it gets no more work, and what it runs goes on.
        """
        if self.state != READY and not self.left:
            return True
        self.left, self.state = True, DRAINING
        return False

    def take_heartbeat(self, heartbeat: Document, now: float) -> bool:
        """Takes a heartbeat, checked, that arrived at `now`; False when it is older than one taken."""
        if heartbeat["sequence"] <= self.sequence:
            return False
        self.previous_scheduling_state = self.scheduling_state
        self.sequence, self.heard_at = heartbeat["sequence"], now
        self.heartbeats += 1
        offset = now * 1000 - heartbeat["clock_ms"]
        if self.offset is None:
            self.offset = offset
        slack = (now - self.offset_at) * constants.CLOCK_DRIFT * 1000
        self.offset, self.offset_at = min(self.offset + slack, offset), now
        self.stale = offset - self.offset > constants.HEARTBEAT_STALE * 1000
        self.service, self.address, self.zone = heartbeat["service"], heartbeat["address"], heartbeat["zone"]
        self.state = DRAINING if self.left else heartbeat["state"]
        self.labels = frozenset(heartbeat["labels"])
        self.rack = heartbeat["labels"][-1] if heartbeat["labels"] else ""
        self.capacity = tuple(heartbeat["room"])
        leaves = heartbeat["leaves_ms"]
        self.leaves_at = now + leaves / 1000 if leaves is not None and self.state != READY else None
        self.running = {(ref, run): (saved, percent) for ref, run, saved, percent in heartbeat["running"]}
        self.listed = {(ref, run) for _, ref, run, _, _ in heartbeat["ended"]}
        self.scheduling_state = (
            self.heartbeats >= 2,
            self.stale,
            self.service,
            self.zone,
            self.state,
            self.labels,
            self.capacity,
            frozenset(self.running),
        )
        self._track_progress(now)
        return True

    def _track_progress(self, now: float) -> None:
        """Learns when each run was first listed, and when its progress last changed."""
        for key, (_, percent) in self.running.items():
            known = self.progress.get(key)
            if known is None or percent != known.percent:
                self.progress[key] = Progress(percent, now, known.first_at if known else now)
        for key in [key for key in self.progress if key not in self.running]:
            del self.progress[key]

    def acknowledged(self) -> int:
        """The number up to which all its ends are agreed on."""
        open_ends = self.pending | self.blocked
        return min(open_ends) - 1 if open_ends else self.seen

    def unresponsive(self, now: float) -> bool:
        """Whether nothing was heard of it for WORKER_TIMEOUT seconds."""
        return now - self.heard_at > constants.WORKER_TIMEOUT

    def pace(self, ratio: float, weight: float) -> None:
        """Learns from one run's length beside that of its like."""
        ratio = min(constants.MAX_SPEED_RATIO, max(1 / constants.MAX_SPEED_RATIO, ratio))
        self.speed += (ratio - self.speed) * weight

    def judge(self, well: bool) -> None:
        """One more end that says something about the worker itself."""
        self.failing += ((0.0 if well else 1.0) - self.failing) / constants.LIVENESS_HALF


def checked(heartbeat: Any) -> bool:
    """Whether a heartbeat from outside has the form that Worker.take_heartbeat takes."""
    try:
        return (
            all(isinstance(heartbeat[field], str) for field in ("service", "address", "zone", "state"))
            and _is_integer(heartbeat["sequence"])
            and _is_number(heartbeat["clock_ms"])
            and (heartbeat["leaves_ms"] is None or _is_number(heartbeat["leaves_ms"]))
            and all(isinstance(one, str) for one in heartbeat["labels"])
            and len(heartbeat["room"]) == 3
            and all(map(_is_number, heartbeat["room"]))
            and all(
                isinstance(ref, str) and _is_integer(run) and isinstance(saved, str) and _is_number(percent)
                for ref, run, saved, percent in heartbeat["running"]
            )
            and all(
                _is_integer(number)
                and isinstance(ref, str)
                and _is_integer(run)
                and isinstance(how, str)
                and isinstance(saved, str)
                for number, ref, run, how, saved in heartbeat["ended"]
            )
        )
    except (KeyError, TypeError, ValueError):
        return False


def _is_integer(value: object) -> bool:
    return type(value) is int


def _is_number(value: object) -> bool:
    return type(value) is int or (type(value) is float and math.isfinite(value))
