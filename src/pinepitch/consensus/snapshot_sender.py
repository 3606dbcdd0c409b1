"""Sending a snapshot as the leader: the newest base and the archive segments that it needs.

The follower is first asked which segments it stores. It is then sent all else in chunks
(docs/design/growth.md).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..common import constants
from .messages import ChunkReply, SnapshotChunk
from .snapshot_payload import SnapshotPayload
from .snapshot_transfer import ASK_WHAT_IS_STORED, COMPLETE_OFFSET, Snapshot, Transfer

if TYPE_CHECKING:
    from .follower import Follower
    from .replica import Consensus


class Archive(Protocol):
    """The archive of the cluster state, whose complete segments are sent with a snapshot."""

    @property
    def sealed(self) -> int:
        """The number of the newest segment that is stored."""

    def segment(self, number: int) -> bytes:
        """The bytes of a segment."""


def send_chunk(replica: Consensus, identity: str, follower: Follower, now: float) -> None:
    """Sends a follower the next chunk, unless one is in flight."""
    if replica.base_image is None:
        return
    transfer = follower.transfer
    if transfer is None or (transfer.payload is None and transfer.snapshot.last_index != replica.base_index):
        follower.flow.clear()
        transfer = follower.transfer = Transfer(_newest_snapshot(replica))
    if transfer.in_flight:
        return
    chunk = transfer.chunk(min(constants.SNAPSHOT_CHUNK, follower.flow.budget))
    snapshot = transfer.snapshot
    total = 0 if transfer.payload is None else len(transfer.payload)
    message = SnapshotChunk(replica.term, *snapshot, transfer.offset, total, chunk, replica.heartbeat_number)
    replica.send(identity, message)
    transfer.in_flight = True
    transfer.expected_offset = transfer.offset + len(chunk)
    follower.flow.record_sent(0, len(chunk), now)


def _newest_snapshot(replica: Consensus) -> Snapshot:
    return Snapshot(replica.base_index, replica.base_term, replica.base_membership.image())


def take_reply(replica: Consensus, follower: Follower, reply: ChunkReply, now: float) -> bool:
    """Advances a transfer by a follower's reply; returns False for a reply that is not expected."""
    transfer = follower.transfer
    if transfer is None or transfer.snapshot.last_index != reply.last_index:
        return False
    if transfer.is_stale(reply.offset, reply.stored_segment):
        return False
    follower.flow.acknowledge(0, now)
    transfer.in_flight = False
    if reply.offset < 0:
        _start_transfer(replica, transfer, reply.stored_segment)
    elif reply.offset == COMPLETE_OFFSET or _all_sent(transfer, reply.offset):
        _finish_transfer(follower, reply.last_index)
    else:
        transfer.offset = ASK_WHAT_IS_STORED if transfer.payload is None else reply.offset
    return True


def _start_transfer(replica: Consensus, transfer: Transfer, stored_segment: int) -> None:
    """Starts to send the payload, now that it is known which segments the follower stores."""
    if transfer.snapshot.last_index == replica.base_index:
        transfer.stored_segment = stored_segment
        transfer.payload = None  # a payload for an earlier incarnation of the follower is obsolete
        transfer.payload = _shared_payload(replica, transfer) or snapshot_payload(replica, stored_segment)
        transfer.offset = 0
    else:  # a newer snapshot is sent instead
        transfer.payload, transfer.offset = None, ASK_WHAT_IS_STORED


def _all_sent(transfer: Transfer, offset: int) -> bool:
    return transfer.payload is not None and offset >= len(transfer.payload)


def _finish_transfer(follower: Follower, index: int) -> None:
    """Ends a transfer: the follower has everything up to the snapshot's index."""
    follower.transfer = None
    follower.flow.clear()
    follower.match_index = max(follower.match_index, index)
    follower.next_index = follower.match_index + 1
    follower.probing = False


def _shared_payload(replica: Consensus, transfer: Transfer) -> SnapshotPayload | None:
    """The payload that is being sent to another follower with the same segments, or None."""
    for follower in replica.followers.values():
        other = follower.transfer
        if other is None or other.payload is None:
            continue
        same_snapshot = other.snapshot.last_index == transfer.snapshot.last_index
        if same_snapshot and other.stored_segment == transfer.stored_segment:
            return other.payload
    return None


def snapshot_payload(replica: Consensus, stored_segment: int) -> SnapshotPayload:
    """The image of the base with the segments that it needs, from `stored_segment` + 1 on."""
    first, last = replica.base_segments
    segments = {}
    for number in range(max(first, stored_segment + 1), last + 1):
        assert replica.archive is not None
        segments[number] = replica.archive.segment(number)
    assert replica.base_image is not None
    return SnapshotPayload(replica.base_image, (first, last), segments)
