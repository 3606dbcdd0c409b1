"""Links that carry only so many bytes a second, as the simulator's network."""

import collections

from ..common import constants


class LinkRates:
    """Invariants: free_at tells when all that was sent from one daemon to another by one of its
    two connections has left the sender; frames of one connection go one after the other, and an
    ordinary one waits beside that only for what the system holds of large ones (LINK_BUFFER);
    sent counts bytes, largest tells the largest frame.
    """

    def __init__(self, rate):
        self.rate = rate  # bytes a second of every way
        self.slow = None  # the daemon whose ways alone are so slow, None where all are
        self.free_at = collections.Counter()
        self.sent = collections.Counter()
        self.largest = 0

    def broken(self, name):
        """The connections of a daemon end, and what waited in them is gone."""
        for link in list(self.free_at):
            if name in link:
                del self.free_at[link]

    def delay(self, source, target, size, now):
        """Seconds until a frame handed over now has arrived, beside the latency."""
        link, bulk = (source, target), size >= constants.LINK_BULK
        self.sent[link] += size
        self.largest = max(self.largest, size)
        if self.slow is not None and self.slow not in link:
            return 0.0
        lane, large = (*link, bulk), (*link, True)
        before = max(0.0, self.free_at[lane] - now) + size / self.rate
        self.free_at[lane] = now + before
        if bulk:
            return before
        behind = max(0.0, self.free_at[large] - now)
        self.free_at[large] = now + behind + size / self.rate
        return before + min(behind, constants.LINK_BUFFER / self.rate)
