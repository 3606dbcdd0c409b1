"""The clocks that a daemon is stepped with, and pauses for long work in threads."""

import time

from ..common import constants


def steady_clock() -> float:
    """Seconds for leases and timeouts of a daemon. This clock is never set; unlike the monotonic clock it
    also runs while the machine is suspended, so that leases have expired when the machine resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock() -> float:
    """Seconds since 1970 by this machine's clock, which may be wrong."""
    return time.time()


class Pauser:
    """Called between slices of long work in a thread: sleeps as long as the slice took, at most MAX_REST,
    so that the daemon's main thread gets the interpreter for at least half of the time.
    """

    def __init__(self) -> None:
        self.slice_began = time.monotonic()

    def __call__(self) -> None:
        """Ends a slice, sleeps, and begins the next slice."""
        time.sleep(min(constants.MAX_REST, time.monotonic() - self.slice_began))
        self.slice_began = time.monotonic()
