"""The clocks that a decider is stepped with, and the rests of long work in threads."""

import time

from ..common import constants


def steady_clock() -> float:
    """Seconds by which a decider's leases and time-outs are told: never set, and unlike the monotonic
    clock it goes on while the machine is suspended, so that a lease is over when it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock() -> float:
    """Seconds since 1970 by this machine's clock, which may be wrong."""
    return time.time()


class Pauser:
    """Called between slices of long work in a thread: sleeps as long as the slice took, at most MAX_REST,
    so that the decider's own thread has the interpreter for at least half of the time.
    """

    def __init__(self) -> None:
        self.since = time.monotonic()

    def __call__(self) -> None:
        """Ends a slice, rests, and begins the next one."""
        time.sleep(min(constants.MAX_REST, time.monotonic() - self.since))
        self.since = time.monotonic()
