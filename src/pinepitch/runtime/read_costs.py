"""How much processor time callers' reads take, so that those which hold the loop for long take turns."""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants


class ReadCost(NamedTuple):
    """Seconds of processor time that the two newest reads of a kind took."""

    previous: float
    newest: float


class ReadCosts:
    """The costs of reads by kind. Invariant: `costs` has at most MAX_COSTLY_READS kinds, the newest last, and
    at least one of the two newest reads of each took COSTLY_READ; those of `presumed` kinds are taken for
    costly until one of them took little.
    """

    def __init__(self, presumed: Iterable[str] = ()) -> None:
        self.costs: dict[str, ReadCost] = {}
        for kind in presumed:
            self.costs[kind] = ReadCost(constants.PRESUMED_READ, constants.PRESUMED_READ)

    def record(self, kind: str, seconds: float) -> None:
        """Records what a read took."""
        earlier = self.costs.pop(kind, None)
        cost = ReadCost(earlier.newest if earlier else 0.0, seconds)
        if max(cost) < constants.COSTLY_READ:
            return
        self.costs[kind] = cost
        if len(self.costs) > constants.MAX_COSTLY_READS:
            del self.costs[next(iter(self.costs))]

    def expected(self, kind: str) -> float:
        """Seconds that the next read of a kind is expected to take if it is to wait for its turn, else 0.0. A
        read that took long by chance, between others that didn't, counts for nothing.
        """
        cost = self.costs.get(kind)
        least = min(cost) if cost else 0.0
        return least if least >= constants.COSTLY_READ else 0.0
