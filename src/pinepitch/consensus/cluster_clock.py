"""Cluster time: the median of the members' wall clocks, carried on by the monotonic clock."""

from ..common import constants


class ClusterClock:
    """What the cluster takes for the time of day, in seconds.

    Invariants: read() never goes back; between two reads it moves with the monotonic
    clock, bent by at most SLEW; a reading too old has no say in the median, and fewer
    readings than a majority of the members have none at all. While carried, the time goes
    on from the newest that was agreed, which is never ahead of the truth, and the first
    median ahead of it takes its place.
    """

    def __init__(self) -> None:
        self.offset: float | None = None  # seconds; cluster time less monotonic time
        self.from_agreed = True  # whether offset comes from the cluster state, not from clocks
        self.readings: dict[
            str, tuple[float, float]
        ] = {}  # member -> (its clock less our monotonic time, when heard)
        self.newest = 0.0
        self.read_at: float | None = None  # the monotonic time of the newest read

    def hear(self, member: str, clock: float, now: float) -> None:
        """A member's wall clock, heard at monotonic `now`."""
        self.readings[member] = (clock - now, now)

    def read(self, now: float, agreed: float = 0.0, needed: int = 1) -> float:
        """The cluster's time at monotonic `now`; `agreed` is the newest in the cluster state and
        `needed` a majority of the members.
        """
        fresh = sorted(
            offset for offset, heard_at in self.readings.values() if now - heard_at <= constants.CLOCK_FRESH
        )
        if self.offset is None:
            self.offset = agreed - now
        elif now + self.offset < agreed:
            self.from_agreed = self.from_agreed or now + self.offset < agreed - constants.TIME_BEHIND
            self.offset = agreed - now
        if len(fresh) >= needed:
            lower, upper = fresh[(len(fresh) - 1) // 2], fresh[len(fresh) // 2]
            if self.from_agreed:
                if lower >= self.offset:
                    self.offset, self.from_agreed = lower, False
            else:
                assert self.read_at is not None
                # of two middle clocks the one that has not jumped
                median = upper if abs(upper - self.offset) < abs(lower - self.offset) else lower
                max_step = min(1.0, max(0.0, now - self.read_at)) * constants.SLEW  # a freeze earns no leap
                self.offset += max(-max_step, min(max_step, median - self.offset))
        self.read_at = now
        self.newest = max(self.newest, now + self.offset)
        return self.newest
