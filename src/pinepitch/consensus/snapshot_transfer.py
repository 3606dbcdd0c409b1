"""The state of a snapshot transfer from the leader to a follower, on either side."""

from typing import Any, NamedTuple

from .snapshot_payload import ReceivedPayload, SnapshotParts, SnapshotPayload

ASK_WHAT_IS_STORED = -1  # offset of an empty chunk that asks which segments the follower stores
COMPLETE_OFFSET = 1 << 40  # offset in the reply of a follower that needs nothing of the snapshot


class Snapshot(NamedTuple):
    """A base that covers the log up to `last_index`; `membership` is a `Membership.image()`."""

    last_index: int
    term: int
    membership: list[Any]


class Transfer:
    """The leader's side of a transfer.

    Invariants: the snapshot stays the same until all of it has arrived, even if the leader makes a newer one;
    payload is None until the follower has reported what it stores.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.stored_segment: int | None = None  # newest segment that the follower stores
        self.payload: SnapshotPayload | None = None
        self.offset = ASK_WHAT_IS_STORED
        self.expected_offset: int | None = None  # offset in the reply to the newest chunk
        self.in_flight = False

    def is_stale(self, offset: int, stored_segment: int) -> bool:
        """Whether a reply is a duplicate or belongs to an earlier chunk.

        Acting on such a reply would send every further chunk twice.
        """
        if self.payload is None:
            return False
        if offset < 0:  # otherwise a restarted follower, which may store fewer segments, needs all of it
            return self.offset == 0 and stored_segment == self.stored_segment
        # offset 0 again: the follower lost what it had
        passed = 0 < offset <= self.offset or offset == self.offset
        return self.in_flight and passed and offset != self.expected_offset

    def chunk(self, max_bytes: int) -> bytes:
        """The next chunk, of at most `max_bytes` bytes."""
        if self.offset < 0:
            return b""
        assert self.payload is not None
        return self.payload.chunk(self.offset, max_bytes)


class IncomingSnapshot:
    """The follower's side of a transfer.

    Invariant: this incarnation of the follower has reported to the sender which segments it stores. An
    earlier one may have stored more.
    """

    def __init__(self, last_index: int) -> None:
        self.last_index = last_index
        self.total: int | None = None  # bytes; sent with the first chunk
        self.received = ReceivedPayload()

    def take(self, offset: int, total: int, chunk: bytes) -> bool:
        """Appends a chunk; returns False if it is not the next one."""
        if offset == 0:
            self.received.clear()
            self.total = total
        if offset != len(self.received):
            return False
        self.received.add(chunk)
        return True

    def complete(self, stored_segment: int) -> SnapshotParts | None:
        """The snapshot, or None if it needs a segment that was neither received nor stored before."""
        parts = self.received.parts()
        first, last = parts.segments_span
        if any(number not in parts.segments for number in range(max(first, stored_segment + 1), last + 1)):
            return None
        return parts
