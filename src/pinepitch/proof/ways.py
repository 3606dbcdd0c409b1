"""Links that carry only so many bytes a second, as the simulator's network."""

import collections

from ..ground import constants


class Ways:
    """Invariants: free_at tells when all that was sent from one daemon to another has left the
    sender; large frames go one after the other, an ordinary one waits only for what the system
    holds of them (LINK_BUFFER), since it has a connection of its own; sent counts bytes, largest tells
    the largest frame."""

    def __init__(self, rate):
        self.rate = rate  # bytes a second of every way
        self.slow = None  # the daemon whose ways alone are so slow, None where all are
        self.free_at = collections.Counter()
        self.sent = collections.Counter()
        self.largest = 0

    def broken(self, name):
        """The connections of a daemon end, and what waited in them is gone."""
        for way in list(self.free_at):
            if name in way:
                del self.free_at[way]

    def delay(self, source, target, size, now):
        """Seconds until a frame handed over now has arrived, beside the latency."""
        way = (source, target)
        self.sent[way] += size
        self.largest = max(self.largest, size)
        if self.slow is not None and self.slow not in way:
            return 0.0
        backlog = max(0.0, self.free_at[way] - now)
        self.free_at[way] = now + backlog + size / self.rate
        if size < constants.LINK_BULK:
            backlog = min(backlog, constants.LINK_BUFFER / self.rate)
        return backlog + size / self.rate
