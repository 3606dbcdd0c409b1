"""The lock on a data folder: one process at a time owns it, until it ends.

It is taken before the rest of a program is loaded, so it imports next to nothing: a voter that
was started anew waits for the leases that its earlier incarnation may have given, counted from here.
"""

import fcntl
import os
import time


class FolderLock:
    """Invariant: from `since` (seconds on the steady clock) until this process ends no other process
    owns the folder, and one that owned it before had ended by then.
    """

    def __init__(self, folder: str) -> None:
        """Takes the lock of a folder, which is made if there is none; BlockingIOError if another
        process owns it.
        """
        os.makedirs(folder, exist_ok=True)
        # the folder's own descriptor bears the lock: no file of another version's folder is touched
        self.descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.descriptor)
            raise
        self.since = time.clock_gettime(time.CLOCK_BOOTTIME)  # as runtime.clocks.steady_clock() tells
