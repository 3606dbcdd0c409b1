"""A snapshot on its way from the leader to one follower: what either side keeps of it."""

from typing import Any, NamedTuple

from .snapshot_payload import ReceivedPayload, SnapshotParts, SnapshotPayload

ASK_WHAT_IS_STORED = -1  # the offset of a chunk without bytes: asks which segments the follower stores
COMPLETE_OFFSET = 1 << 40  # the offset that a follower tells which needs nothing of a snapshot


class Snapshot(NamedTuple):
    """The base that stands for the log up to `last_index`; `membership` is a `Membership.image()`."""

    last_index: int
    term: int
    membership: list[Any]


class Transfer:
    """The leader's side. Invariants: the snapshot stays the same until all of it has arrived, whatever
    newer one its leader makes meanwhile; payload is None until the follower said what it stores.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.stored_segment: int | None = None  # newest segment that the follower stores
        self.payload: SnapshotPayload | None = None
        self.offset = ASK_WHAT_IS_STORED
        self.expected_offset: int | None = None  # the offset that the answer to the newest chunk will tell
        self.in_flight = False

    def is_stale(self, offset: int, stored_segment: int) -> bool:
        """Whether an answer is one to an earlier chunk, or to one that came twice: acted on, it
        would make every further chunk be sent twice.
        """
        if self.payload is None:
            return False
        if offset < 0:  # else a new incarnation of the follower asks for all anew, perhaps storing less
            return self.offset == 0 and stored_segment == self.stored_segment
        passed = 0 < offset <= self.offset or offset == self.offset  # 0 again: it lost what it had
        return self.in_flight and passed and offset != self.expected_offset

    def chunk(self, max_bytes: int) -> bytes:
        """The next chunk, of at most so many bytes."""
        if self.offset < 0:
            return b""
        assert self.payload is not None
        return self.payload.chunk(self.offset, max_bytes)


class IncomingSnapshot:
    """The follower's side. Invariant: whoever sends it was told in this incarnation of the follower
    which segments it stores, since a former one may have stored more.
    """

    def __init__(self, last_index: int) -> None:
        self.last_index = last_index
        self.total: int | None = None  # bytes, as told with the first chunk
        self.received = ReceivedPayload()

    def take(self, offset: int, total: int, chunk: bytes) -> bool:
        """Adds a chunk; False when it isn't the next one."""
        if offset == 0:
            self.received.clear()
            self.total = total
        if offset != len(self.received):
            return False
        self.received.add(chunk)
        return True

    def complete(self, stored_segment: int) -> SnapshotParts | None:
        """The snapshot, or None if some segment neither came nor is stored."""
        parts = self.received.parts()
        first, last = parts.segments_span
        if any(number not in parts.segments for number in range(max(first, stored_segment + 1), last + 1)):
            return None
        return parts
