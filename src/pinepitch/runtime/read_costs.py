"""How much processor time callers' reads take, so that those which hold the loop for long take turns."""

from typing import NamedTuple

from ..common import constants


class ReadCost(NamedTuple):
    """Seconds of processor time that the two newest reads of a path took."""

    previous: float
    newest: float


class ReadCosts:
    """The costs of reads by path. Invariant: `costs` has at most MAX_COSTLY_PATHS paths, the newest last, and
    at least one of the two newest reads of each took COSTLY_READ.
    """

    def __init__(self) -> None:
        self.costs: dict[str, ReadCost] = {}

    def presume(self, path: str) -> None:
        """Has reads of a path be taken for costly until one of them took little."""
        self.costs[path] = ReadCost(constants.PRESUMED_READ, constants.PRESUMED_READ)

    def record(self, path: str, seconds: float) -> None:
        """Records what a read took."""
        earlier = self.costs.pop(path, None)
        cost = ReadCost(earlier.newest if earlier else 0.0, seconds)
        if max(cost) < constants.COSTLY_READ:
            return
        self.costs[path] = cost
        if len(self.costs) > constants.MAX_COSTLY_PATHS:
            del self.costs[next(iter(self.costs))]

    def expected(self, path: str) -> float:
        """Seconds that the next read of a path is expected to take if it is to wait for its turn, else 0.0. A
        read that took long by chance, between others that didn't, counts for nothing.
        """
        cost = self.costs.get(path)
        least = min(cost) if cost else 0.0
        return least if least >= constants.COSTLY_READ else 0.0
