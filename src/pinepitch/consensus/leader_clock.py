"""A lower bound on the leader's steady clock, for daemons that forward requests to the leader.

A forwarded request carries a deadline on the clock of the only daemon that may accept it, so clocks need not
agree. A deadline that is computed from a lower bound is never too late.
"""

from typing import NamedTuple

from ..common import constants


class Reading(NamedTuple):
    """A time on the steady clock of the leader of `term`, in seconds."""

    term: int
    seconds: float


class LeaderClock:
    """The newest reading received, extrapolated by this daemon's own clock.

    Invariants: term never decreases; within a term the floor never decreases, and it is at most the time on
    the leader's steady clock, provided that no clock is slower than another by more than CLOCK_DRIFT.
    """

    def __init__(self) -> None:
        self.term = 0
        self.seconds = self.heard_at = 0.0

    def record_reading(self, reading: tuple[int, float] | None, now: float) -> None:
        """Records a reading sent by the leader or relayed by another daemon."""
        if reading is None:
            return
        term, seconds = reading
        if term > self.term or (term == self.term and seconds > self._lower_bound(now)):
            self.term, self.seconds, self.heard_at = term, seconds, now

    def floor(self, now: float) -> Reading | None:
        """A Reading that the leader's clock has reached by now; None if none was received yet."""
        return Reading(self.term, self._lower_bound(now)) if self.term else None

    def end(self, until: float, now: float) -> Reading | None:
        """The deadline for the leader to accept a request that this daemon gives up at `until`."""
        if not self.term:
            return None
        return Reading(self.term, self._lower_bound(now) + (until - now) * (1 - constants.CLOCK_DRIFT))

    def _lower_bound(self, now: float) -> float:
        return self.seconds + (now - self.heard_at) * (1 - constants.CLOCK_DRIFT)
