"""The lock on a data folder, which one process at a time owns until it ends.

The lock is taken before most of a program is loaded, so this module imports little. A restarted voter waits
for leases that its earlier incarnation may have granted, and counts that wait from when it got the lock.
"""

import fcntl
import os
import time


class FolderLock:
    """An exclusive lock on a data folder.

    Invariant: from `locked_at` (seconds on the steady clock) until this process ends, no other process owns
    the folder; any earlier owner had ended by `locked_at`.
    """

    def __init__(self, folder: str) -> None:
        """Locks the folder, creating it if needed; raises BlockingIOError if another process owns it."""
        os.makedirs(folder, exist_ok=True)
        # Lock the folder itself and not a file in it, so that no file of another version is touched.
        self.descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.descriptor)
            raise
        self.locked_at = time.clock_gettime(time.CLOCK_BOOTTIME)  # the clock of runtime.clocks.steady_clock()
