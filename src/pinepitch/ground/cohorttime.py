"""Cohort time: the median of the members' clocks, carried by the monotonic clock."""

from . import constants


class CohortTime:
    """Invariants: read() never goes back; between two reads it moves with the monotonic
    clock, bent by at most SLEW; a reading too old has no say in the median."""

    def __init__(self):
        self.offset = None  # cohort time less monotonic time
        self.readings = {}  # member -> (its clock less our monotonic time, when heard)
        self.last = 0.0
        self.moved = None

    def hear(self, member, clock, now):
        """A member's wall clock, heard at monotonic `now`."""
        self.readings[member] = (clock - now, now)

    def adopt(self, cohort, now):
        """Takes a time already agreed (a leader's) if none is known yet."""
        if self.offset is None:
            self.offset, self.moved = cohort - now, now

    def read(self, now):
        """The cohort's time at monotonic `now`, or None before any clock was heard."""
        fresh = sorted(
            offset for offset, heard in self.readings.values() if now - heard <= constants.CLOCK_FRESH
        )
        if fresh:
            lower, upper = fresh[(len(fresh) - 1) // 2], fresh[len(fresh) // 2]
            median = lower
            if self.offset is not None and abs(upper - self.offset) < abs(lower - self.offset):
                median = upper  # of two middle clocks the one that has not jumped
            if self.offset is None:
                self.offset = median
            elif self.moved is not None:
                most = min(1.0, max(0.0, now - self.moved)) * constants.SLEW  # a freeze earns no leap
                self.offset += max(-most, min(most, median - self.offset))
            self.moved = now
        if self.offset is None:
            return None
        self.last = max(self.last, now + self.offset)
        return self.last
