"""What a front daemon knows of cluster time: bounds, from the leader's answers."""

from typing import NamedTuple

from ..common import constants


class Bounds(NamedTuple):
    """Cluster time less the own steady clock: the least and the most it can be (seconds), and when
    that was learnt.
    """

    least: float
    most: float
    learnt: float


class ClusterTime:
    """Bounds on cluster time. Invariant: they hold given that no request for updates was answered
    before it was sent, nor its answer read before it was given; they are widened by SLEW when compared
    with newer ones, as cluster time may be bent so much.
    """

    def __init__(self) -> None:
        self.bounds: Bounds | None = None
        self.asked: dict[str, float] = {}  # token of a request for updates -> when it was sent

    def ask(self, token: str, now: float) -> None:
        """Notes that a request for updates is sent; of the oldest ones the sending times are dropped."""
        self.asked[token] = now
        for old in list(self.asked)[: -constants.ASKED_KEPT]:
            del self.asked[old]

    def earliest(self, now: float) -> float | None:
        """The least that cluster time can be now: what may start only later is kept back."""
        return None if self.bounds is None else now + self.bounds.least

    def latest(self, now: float) -> float | None:
        """The most that cluster time can be now: what is late by it is not sent."""
        return None if self.bounds is None else now + self.bounds.most

    def learn(self, token: str, time: float, deferred_for: float, now: float) -> None:
        """An answer told the cluster's `time`, after the request had been deferred for some seconds:
        that moment lies between request and answer on the own clock, however long either lay unread.
        """
        asked = self.asked.pop(token, None)
        if asked is None:
            return
        found = Bounds(time - now, time - asked - deferred_for, now)
        if self.bounds is not None:
            width, age = self.bounds.most - self.bounds.least, now - self.bounds.learnt
            if found.most - found.least > width + 2 * constants.SLEW * age:
                return
        self.bounds = found
