"""What a control daemon knows of the heartbeats that arrive at its own port, whoever leads.

A new leader hears of each worker for the first time, and can't tell that its first heartbeats are late if
each is less late than the one before. The daemon at whose port they arrive has often received newer ones.
"""

import collections
from typing import Any

from ..common import constants
from ..scheduling.worker import LATE_FIELD, has_valid_sequence
from ..scheduling.worker_clock import WorkerClock


class Arrival:
    """What is remembered of a worker: the highest sequence of its heartbeats, its clock as all of them show
    it, and when it was last sent an address for its next ones (seconds).
    """

    __slots__ = ("clock", "hinted_at", "sequence")

    def __init__(self, now: float) -> None:
        self.sequence = -1
        self.clock = WorkerClock(now)
        self.hinted_at = -1e9


class HeartbeatArrivals:
    """Marks heartbeats that are known to be late. Invariants: a heartbeat that is not marked is newer than
    all others of its worker that arrived here, as far as these are remembered; at most ARRIVALS_KEPT workers
    are, those heard last.
    """

    def __init__(self) -> None:
        self._arrivals: collections.OrderedDict[str, Arrival] = collections.OrderedDict()

    def __len__(self) -> int:
        """How many workers are remembered."""
        return len(self._arrivals)

    def marked(self, identity: str, heartbeat: Any, now: float) -> Any:
        """The heartbeat as it is to be forwarded, with LATE_FIELD if it is known to be late. What else is
        wrong with it is left to the leader, which checks all of it.
        """
        if len(identity) > constants.MAX_REMEMBERED_LENGTH or not has_valid_sequence(heartbeat):
            return heartbeat
        sequence: int = heartbeat["sequence"]
        known = self._arrivals.pop(identity, None) or Arrival(now)
        is_late = known.clock.is_late(heartbeat["clock_ms"], now) or sequence <= known.sequence
        known.sequence = max(sequence, known.sequence)
        self._arrivals[identity] = known
        if len(self._arrivals) > constants.ARRIVALS_KEPT:
            self._arrivals.popitem(last=False)
        return {**heartbeat, LATE_FIELD: True} if is_late else heartbeat

    def may_hint(self, identity: str, now: float) -> bool:
        """Whether a worker may be sent an address for its next heartbeats, once in HINT_EVERY; if so, that is
        recorded.
        """
        known = self._arrivals.get(identity)
        if known is None:
            return True
        if now - known.hinted_at < constants.HINT_EVERY:
            return False
        known.hinted_at = now
        return True
