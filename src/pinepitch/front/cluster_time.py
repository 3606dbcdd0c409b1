"""Bounds on cluster time at a front daemon, derived from the leader's answers."""

from typing import NamedTuple

from ..common import constants


class Bounds(NamedTuple):
    """Bounds (seconds) on cluster time minus this daemon's steady clock, and when they were measured."""

    least: float
    most: float
    measured_at: float


class ClusterTime:
    """Bounds on cluster time. Invariant: cluster time is within them, provided that no request for
    updates is answered before it is sent, nor an answer read before it is given. Bounds are widened by
    SLEW when compared with newer ones, since cluster time may be slewed at that rate.
    """

    def __init__(self) -> None:
        self.bounds: Bounds | None = None
        self.sent_at: dict[str, float] = {}  # token of a request for updates -> when it was sent

    def request_sent(self, token: str, now: float) -> None:
        """Records when a request for updates was sent; drops the times of all but the newest ASKED_KEPT."""
        self.sent_at[token] = now
        for old_token in list(self.sent_at)[: -constants.ASKED_KEPT]:
            del self.sent_at[old_token]

    def earliest(self, now: float) -> float | None:
        """The earliest that cluster time can be now; an order that may start only after it is deferred."""
        return None if self.bounds is None else now + self.bounds.least

    def latest(self, now: float) -> float | None:
        """The latest that cluster time can be now; an order whose deadline is before it is not sent."""
        return None if self.bounds is None else now + self.bounds.most

    def answer_received(self, token: str, time: float, deferred_for: float, now: float) -> None:
        """Updates the bounds from an answer given at the cluster's `time`, after the request had been
        deferred for `deferred_for` seconds. On this daemon's clock that moment lies between request and
        answer, however long either stayed unread.
        """
        requested_at = self.sent_at.pop(token, None)
        if requested_at is None:
            return
        new_bounds = Bounds(time - now, time - requested_at - deferred_for, now)
        if self.bounds is not None:
            width, age = self.bounds.most - self.bounds.least, now - self.bounds.measured_at
            if new_bounds.most - new_bounds.least > width + 2 * constants.SLEW * age:
                return
        self.bounds = new_bounds
