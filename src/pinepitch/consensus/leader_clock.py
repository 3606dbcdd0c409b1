"""A lower bound of the leader's steady clock, as kept by a daemon that forwards requests to it.

It lets a forwarded request bear an end on the clock of the only daemon that may take it, so that
nobody's clocks need to agree: an end that is computed from a lower bound is never too late.
"""

from typing import NamedTuple

from ..common import constants


class Reading(NamedTuple):
    """What the steady clock of the leader of `term` read, or has passed by now."""

    term: int
    seconds: float


class LeaderClock:
    """The newest reading heard, carried on by this daemon's own clock.

    Invariants: term never falls; the floor of one term never falls, and is at most what the
    leader's steady clock reads, given that no clock runs slower than another by CLOCK_DRIFT.
    """

    def __init__(self) -> None:
        self.term = 0
        self.seconds = self.heard_at = 0.0

    def hear(self, reading: tuple[int, float] | None, now: float) -> None:
        """Takes a reading told by the leader, or relayed by a daemon that heard it."""
        if reading is None:
            return
        term, seconds = reading
        if term > self.term or (term == self.term and seconds > self._lower_bound(now)):
            self.term, self.seconds, self.heard_at = term, seconds, now

    def floor(self, now: float) -> Reading | None:
        """The Reading that the leader's clock has passed by now, None before any was heard."""
        return Reading(self.term, self._lower_bound(now)) if self.term else None

    def end(self, until: float, now: float) -> Reading | None:
        """The Reading after which the leader may not take a request that is given up here at `until`."""
        if not self.term:
            return None
        return Reading(self.term, self._lower_bound(now) + (until - now) * (1 - constants.CLOCK_DRIFT))

    def _lower_bound(self, now: float) -> float:
        return self.seconds + (now - self.heard_at) * (1 - constants.CLOCK_DRIFT)
