"""What is under way to one follower, and how much at once the link there was seen to carry."""

import collections
from typing import NamedTuple

from ..common import constants

SLOWDOWN_FACTOR = 4  # times as slow as seen before: so long an answer to a large message is waited for


class InFlightMessage(NamedTuple):
    """One append or chunk without an answer yet: its last index (0 for a chunk), bytes, seconds."""

    last_index: int
    size: int
    sent_at: float


class Flow:
    """The flow of messages to one follower. Sizes and budget in bytes, times in seconds.

    Invariants: in_flight is in the order of sending; budget is from MIN_APPEND_BYTES to
    APPEND_BYTES; at most one message of BULK_BYTES or more is under way, and then it alone,
    since such ones go by a connection of their own and order holds for one connection only.
    """

    def __init__(self) -> None:
        self.in_flight: collections.deque[InFlightMessage] = collections.deque()
        self.budget = constants.APPEND_START
        self.rate: float | None = None  # bytes a second of the last large message that was answered
        self.progress_at = -1e9
        self.losses = 0  # in a row

    def large_in_flight(self) -> bool:
        """Whether a large message is under way."""
        in_flight = self.in_flight
        return bool(in_flight) and in_flight[0].size >= constants.BULK_BYTES

    def record_sent(self, last_index: int, size: int, now: float) -> None:
        """A message whose answer says `last` or more is sent."""
        self.in_flight.append(InFlightMessage(last_index, size, now))

    def acknowledge(self, acknowledged_index: int, now: float) -> None:
        """All up to `upto` has arrived and is durable."""
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
        """Whether what is under way must be taken for lost."""
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
        """Nothing under way is waited for any longer."""
        if self.large_in_flight():
            self.losses = min(self.losses + 1, constants.MAX_LOSSES)
            self.budget = max(constants.MIN_APPEND_BYTES, self.budget // 2)
            if self.rate is not None:
                self.rate /= 2  # the link may have become slower
        self.in_flight.clear()

    def clear(self) -> None:
        """The follower asks for something else."""
        self.in_flight.clear()
