"""Links that carry only so many bytes a second, as the simulator's network."""

import collections

from ..ground import constants


class Ways:
    """Invariants: free_at tells when all that was sent from one daemon to another has left the
    sender; large frames go one after the other, an ordinary one waits only for what the system
    holds of them (LINK_BUFFER), since it has a connection of its own; sent counts bytes."""

    def __init__(self, rate):
        self.rate = rate  # bytes a second of every way
        self.free_at = collections.Counter()
        self.sent = collections.Counter()

    def delay(self, source, target, size, now):
        """Seconds until a frame handed over now has arrived, beside the latency."""
        way = (source, target)
        self.sent[way] += size
        backlog = max(0.0, self.free_at[way] - now)
        self.free_at[way] = now + backlog + size / self.rate
        if size < constants.LINK_BULK:
            backlog = min(backlog, constants.LINK_BUFFER / self.rate)
        return backlog + size / self.rate
