"""Cohort time: the median of the members' clocks, carried by the monotonic clock."""

from ..common import constants


class ClusterClock:
    """Invariants: read() never goes back; between two reads it moves with the monotonic
    clock, bent by at most SLEW; a reading too old has no say in the median, and fewer
    readings than a majority of the members have none at all. While carried, the time goes
    on from the newest that was agreed, which is never ahead of the truth, and the first
    median ahead of it takes its place."""

    def __init__(self):
        self.offset = None  # cohort time less monotonic time
        self.carried = True  # whether offset comes from the record, not from clocks
        self.readings = {}  # member -> (its clock less our monotonic time, when heard)
        self.last = 0.0
        self.moved = None

    def hear(self, member, clock, now):
        """A member's wall clock, heard at monotonic `now`."""
        self.readings[member] = (clock - now, now)

    def read(self, now, agreed=0.0, needed=1):
        """The cohort's time at monotonic `now`; `agreed` is the newest in the record and
        `needed` a majority of the members."""
        fresh = sorted(
            offset for offset, heard in self.readings.values() if now - heard <= constants.CLOCK_FRESH
        )
        if self.offset is None or now + self.offset < agreed:
            self.carried = self.carried or now + self.offset < agreed - constants.TIME_BEHIND
            self.offset = agreed - now
        if len(fresh) >= needed:
            lower, upper = fresh[(len(fresh) - 1) // 2], fresh[len(fresh) // 2]
            if self.carried:
                if lower >= self.offset:
                    self.offset, self.carried = lower, False
            else:
                # of two middle clocks the one that has not jumped
                median = upper if abs(upper - self.offset) < abs(lower - self.offset) else lower
                most = min(1.0, max(0.0, now - self.moved)) * constants.SLEW  # a freeze earns no leap
                self.offset += max(-most, min(most, median - self.offset))
        self.moved = now
        self.last = max(self.last, now + self.offset)
        return self.last
