"""A worker as the leader knows it from its heartbeats. It is not replicated: a new leader learns it again."""

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..common import constants
from .placement import RunKey
from .plain_types import Document
from .worker_clock import WorkerClock

READY = "ready"  # the state of a worker that accepts new work; in any other state it accepts none
DRAINING = "draining"
LATE_FIELD = "late"  # of a heartbeat: whether the daemon that received it knows that it was late


class Progress(NamedTuple):
    """The progress of a run, as reported in heartbeats. Times are by the leader's clock, seconds."""

    percent: float
    changed_at: float  # when a heartbeat first reported this percentage
    first_at: float  # when a heartbeat first listed the run


# The part of a worker's newest heartbeat that a scheduling round reads. While it stays the same, so do the
# decisions of a round about the worker: (whether there were at least two heartbeats, whether the newest is
# stale, service, zone, state, labels, capacity, runs). It is built for every heartbeat, so it is a plain
# tuple.
SchedulingState = tuple[
    bool, bool, str, str, str, frozenset[str], tuple[float, ...], frozenset[tuple[str, int]]
]


class Worker:
    """One incarnation of a worker. After a crash, the worker has another identity, and nothing that the old
    incarnation started still runs.

    Invariants: `sequence` is that of the newest heartbeat that was accepted. `leased_from` is when the newest
    of the heartbeats arrived that were answered with a lease, so nothing on the worker runs for longer than
    one lease after it. `pending_ends` contains the numbers of the ends that are proposed and not yet
    committed.
    """

    def __init__(self, identity: str, now: float) -> None:
        self.identity = identity
        self.sequence = -1
        # Number of accepted heartbeats that neither the daemon which received them nor a later heartbeat has
        # shown to be late. The first may be a delayed one, of an incarnation that is over.
        self.heartbeats = 0
        self.heard_at = now
        self.leased_from: float | None = None
        self.clock = WorkerClock(now)
        # whether the newest heartbeat arrived late, at this leader or at the daemon that received it
        self.stale = False
        self.scheduling_state: SchedulingState | None = None  # by the newest heartbeat
        self.previous_scheduling_state: SchedulingState | None = None  # by the one before
        self.service = self.address = self.zone = self.state = ""
        self.labels: frozenset[str] = frozenset()
        self.rack = ""
        # the total capacity, whatever runs: thousandths of a core, megabytes, accelerators
        self.capacity: tuple[float, ...] = (0, 0, 0)
        self.leaves_at: float | None = None
        # whether it reported that it leaves without having reported before that it drains
        self.left_undrained = False
        self.running: dict[RunKey, tuple[str, float]] = {}  # (reference, run) -> (saved progress, percent)
        # (reference, run) of the runs that its newest heartbeat lists as ended
        self.listed_ends: set[RunKey] = set()
        # whether its newest heartbeat listed fewer ends than it may, so that no other end waits to be listed
        self.lists_all_ends = True
        self.pending_ends: set[int] = set()
        # numbers of ends that wait until another end of the same run is committed
        self.blocked_ends: set[int] = set()
        self.last_end_number = 0  # the highest number of an end that the worker has reported
        self.progress: dict[RunKey, Progress] = {}  # (reference, run) -> Progress
        # It gets no new work before this time, because it refused a run or a run stalled on it.
        self.avoided_until = -1e9
        self.speed = 1.0  # the time that its work takes, as a multiple of the usual time

    def leave(self) -> bool:
        """Processes the worker's report that it leaves. Returns whether this proves that it ends now. A
        worker that never reported that it drains is treated as draining: it gets no more work, and its runs
        continue.
        """
        if self.state != READY and not self.left_undrained:
            return True
        self.left_undrained, self.state = True, DRAINING
        return False

    def take_heartbeat(self, heartbeat: Document, now: float) -> bool:
        """Processes a valid heartbeat that arrived at `now`; False if it is older than an accepted one."""
        if heartbeat["sequence"] <= self.sequence:
            return False
        self.previous_scheduling_state = self.scheduling_state
        self.sequence, self.heard_at = heartbeat["sequence"], now
        was_late = heartbeat.get(LATE_FIELD, False) is True
        self.stale = self.clock.is_late(heartbeat["clock_ms"], now) or was_late
        if self.clock.earlier_were_late:
            self.heartbeats = 0
        self.heartbeats += not was_late
        self.service, self.address, self.zone = heartbeat["service"], heartbeat["address"], heartbeat["zone"]
        self.state = DRAINING if self.left_undrained else heartbeat["state"]
        self.labels = frozenset(heartbeat["labels"])
        self.rack = heartbeat["labels"][-1] if heartbeat["labels"] else ""
        self.capacity = tuple(heartbeat["room"])
        leaves_ms = heartbeat["leaves_ms"]
        self.leaves_at = now + leaves_ms / 1000 if leaves_ms is not None and self.state != READY else None
        self.running = {
            (reference, run): (saved, percent) for reference, run, saved, percent in heartbeat["running"]
        }
        self.listed_ends = {(reference, run) for _, reference, run, _, _ in heartbeat["ended"]}
        self.lists_all_ends = len(heartbeat["ended"]) < constants.MAX_LISTED_ENDS
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
        """Records when each run was first listed and when its progress last changed."""
        for key, (_, percent) in self.running.items():
            previous = self.progress.get(key)
            if previous is None or percent != previous.percent:
                self.progress[key] = Progress(percent, now, previous.first_at if previous else now)
        for key in [key for key in self.progress if key not in self.running]:
            del self.progress[key]

    def lacking(self, keys: Iterable[RunKey]) -> list[RunKey]:
        """Those of the runs, given as (reference, run), that its newest heartbeat shows to be neither active
        nor ended with an end that is yet to be acknowledged. A list of ends that is cut at its limit shows
        nothing of the kind about a run that it does not name.
        """
        if not self.lists_all_ends:
            return []
        running, listed_ends = self.running, self.listed_ends
        return [key for key in keys if key not in running and key not in listed_ends]

    def acknowledged(self) -> int:
        """The number up to which all ends that the worker reported are committed."""
        uncommitted = self.pending_ends | self.blocked_ends
        return min(uncommitted) - 1 if uncommitted else self.last_end_number

    def unresponsive(self, now: float) -> bool:
        """Whether no heartbeat arrived for more than WORKER_TIMEOUT seconds."""
        return now - self.heard_at > constants.WORKER_TIMEOUT

    def update_speed(self, ratio: float, weight: float) -> None:
        """Updates `speed` with the duration of a run, as a multiple of the duration of similar runs."""
        ratio = min(constants.MAX_SPEED_RATIO, max(1 / constants.MAX_SPEED_RATIO, ratio))
        self.speed += (ratio - self.speed) * weight


def has_valid_sequence(heartbeat: Any) -> bool:
    """Whether a received heartbeat has a sequence and the worker's clock."""
    try:
        return _is_integer(heartbeat["sequence"]) and _is_number(heartbeat["clock_ms"])
    except (KeyError, TypeError):
        return False


def is_valid_heartbeat(heartbeat: Any) -> bool:
    """Whether a received heartbeat has the form that Worker.take_heartbeat expects."""
    try:
        return (
            all(isinstance(heartbeat[field], str) for field in ("service", "address", "zone", "state"))
            and has_valid_sequence(heartbeat)
            and (heartbeat["leaves_ms"] is None or _is_number(heartbeat["leaves_ms"]))
            and all(isinstance(label, str) for label in heartbeat["labels"])
            and len(heartbeat["room"]) == 3
            and all(map(_is_number, heartbeat["room"]))
            and all(
                isinstance(reference, str)
                and _is_integer(run)
                and isinstance(saved, str)
                and _is_number(percent)
                for reference, run, saved, percent in heartbeat["running"]
            )
            and all(
                _is_integer(number)
                and isinstance(reference, str)
                and _is_integer(run)
                and isinstance(how, str)
                and isinstance(saved, str)
                for number, reference, run, how, saved in heartbeat["ended"]
            )
        )
    except (KeyError, TypeError, ValueError):
        return False


def _is_integer(value: object) -> bool:
    return type(value) is int


def _is_number(value: object) -> bool:
    return type(value) is int or (type(value) is float and math.isfinite(value))
