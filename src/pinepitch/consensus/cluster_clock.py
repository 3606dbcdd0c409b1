"""Cluster time: the median of the members' wall clocks, extrapolated by the monotonic clock."""

from ..common import constants


class ClusterClock:
    """The cluster's time of day, in seconds.

    Invariants:

    - read() never goes back. Between two reads it advances with the monotonic clock, corrected by a rate of
      at most SLEW.
    - The median ignores old readings, and is used only if a majority of the members has fresh ones.
    - While from_agreed is set, time advances from the newest time in the cluster state, which is never ahead
      of the true time. The first median that is ahead of it replaces it.
    """

    def __init__(self) -> None:
        self.offset: float | None = None  # seconds; cluster time minus monotonic time
        self.from_agreed = True  # whether offset comes from the cluster state, not from clock readings
        # member -> (its wall clock minus our monotonic time, monotonic time of receipt)
        self.readings: dict[str, tuple[float, float]] = {}
        self.newest = 0.0  # the newest result of read()
        self.read_at: float | None = None  # the monotonic time of the newest read

    def record_reading(self, member: str, clock: float, now: float) -> None:
        """Records a member's wall clock, received at monotonic `now`."""
        self.readings[member] = (clock - now, now)

    def read(self, now: float, agreed: float = 0.0, needed: int = 1) -> float:
        """The cluster time at monotonic `now`.

        `agreed` is the newest time in the cluster state, `needed` the number of members in a majority.
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
                # Of the two middle clocks, take the closer one: the other may have jumped.
                median = upper if abs(upper - self.offset) < abs(lower - self.offset) else lower
                max_step = min(1.0, max(0.0, now - self.read_at)) * constants.SLEW  # a pause allows no jump
                self.offset += max(-max_step, min(max_step, median - self.offset))
        self.read_at = now
        self.newest = max(self.newest, now + self.offset)
        return self.newest
