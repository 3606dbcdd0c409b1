"""Flow control: the messages in flight to one follower, and the message size that its link can carry."""

import collections
from typing import NamedTuple

from ..common import constants

SLOWDOWN_FACTOR = 4  # a large message is lost only after the time it takes at a rate lower by this factor


class InFlightMessage(NamedTuple):
    """An append or chunk without a reply so far.

    `last_index` is that of its newest entry (0 for a chunk), `size` is in bytes, `sent_at` in seconds.
    """

    last_index: int
    size: int
    sent_at: float


class Flow:
    """The flow of messages to one follower. Sizes and budget are in bytes, times in seconds.

    Invariants: in_flight is in sending order; MIN_APPEND_BYTES <= budget <= APPEND_BYTES; a message of
    BULK_BYTES or more is the only one in flight. Such messages use a connection of their own, and messages
    are ordered only within a connection.
    """

    def __init__(self) -> None:
        self.in_flight: collections.deque[InFlightMessage] = collections.deque()
        self.budget = constants.APPEND_START
        self.rate: float | None = None  # bytes per second of the newest message of MIN_APPEND_BYTES or more
        self.progress_at = -1e9
        self.losses = 0  # consecutive losses of large messages

    def large_in_flight(self) -> bool:
        """Whether a large message is in flight."""
        in_flight = self.in_flight
        return bool(in_flight) and in_flight[0].size >= constants.BULK_BYTES

    def record_sent(self, last_index: int, size: int, now: float) -> None:
        """Records a sent message, which a reply with the index `last_index` or more acknowledges."""
        self.in_flight.append(InFlightMessage(last_index, size, now))

    def acknowledge(self, acknowledged_index: int, now: float) -> None:
        """Records that all entries up to `acknowledged_index` are durable at the follower."""
        in_flight = self.in_flight
        while in_flight and (in_flight[0].last_index <= acknowledged_index or not in_flight[0].size):
            sent = in_flight.popleft()
            self.progress_at = now
            if sent.size >= constants.MIN_APPEND_BYTES:
                self._adapt_budget(sent, now)

    def _adapt_budget(self, sent: InFlightMessage, now: float) -> None:
        self.losses = 0
        duration = max(now - sent.sent_at, 1e-3)
        self.rate = sent.size / duration
        if duration < constants.HEARTBEAT:
            self.budget = min(constants.APPEND_BYTES, self.budget * 2)
        elif duration > 2 * constants.HEARTBEAT:
            self.budget = max(constants.MIN_APPEND_BYTES, self.budget // 2)

    def overdue(self, now: float) -> bool:
        """Whether the messages in flight must be treated as lost."""
        if not self.in_flight:
            return False
        since = max(self.in_flight[0].sent_at, self.progress_at)
        size = self.in_flight[0].size
        timeout = constants.APPEND_RESEND
        if size >= constants.BULK_BYTES:
            rate = constants.LINK_SLOWEST if self.rate is None else self.rate / SLOWDOWN_FACTOR
            timeout += (1 + self.losses) * size / rate
        return now - since > timeout

    def discard_lost(self) -> None:
        """Discards the messages in flight as lost, and reduces the budget if one of them was large."""
        if self.large_in_flight():
            self.losses = min(self.losses + 1, constants.MAX_LOSSES)
            self.budget = max(constants.MIN_APPEND_BYTES, self.budget // 2)
            if self.rate is not None:
                self.rate /= 2  # the link may have become slower
        self.in_flight.clear()

    def clear(self) -> None:
        """Discards the messages in flight, because the follower needs something else."""
        self.in_flight.clear()
