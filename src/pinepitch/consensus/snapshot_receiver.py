"""Receiving a snapshot as a follower: collecting chunks and replacing the log by the new base."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import following, known_leader, log_changes, snapshot_base
from .effects import InstallSnapshot, SaveBase
from .messages import ChunkReply, NewerTerm, SnapshotChunk
from .pending_save import PendingSave
from .quorum import membership_from_image
from .snapshot_transfer import ASK_WHAT_IS_STORED, COMPLETE_OFFSET, IncomingSnapshot

if TYPE_CHECKING:
    from .replica import Consensus


def on_chunk(replica: Consensus, sender: str, message: SnapshotChunk, now: float) -> None:
    """Stores a chunk, replies with the next offset needed, and installs the snapshot once it is complete."""
    if message.term < replica.term:
        replica.send(sender, NewerTerm(replica.term), replica.hard_state_sequence)
        return
    following.accept_leader(replica, sender, message.term, now)
    stored_segment = replica.archive.sealed if replica.archive is not None else 0
    if message.last_index <= replica.applied_index:
        _reply(replica, sender, message, COMPLETE_OFFSET, stored_segment, replica.hard_state_save_sequence())
        return
    if message.offset < 0 or not _continues(replica.incoming_snapshot, message):
        _restart_transfer(replica, sender, message, stored_segment)
        return
    incoming = replica.incoming_snapshot
    assert incoming is not None
    accepted = incoming.take(message.offset, message.total, message.chunk)
    if not accepted or len(incoming.received) < message.total:
        _reply(
            replica,
            sender,
            message,
            len(incoming.received),
            stored_segment,
            replica.hard_state_save_sequence(),
        )
        return
    received = incoming.complete(stored_segment)
    if received is None:
        _restart_transfer(replica, sender, message, stored_segment)
        return
    replica.incoming_snapshot = None
    replica.base_image, replica.base_segments = received.image, received.segments_span
    _replace_log(replica, message)
    known_leader.record_if_committed(replica, sender, message.term)
    _save_base(replica, message.last_index, received.segments, now)
    _reply(replica, sender, message, message.total, stored_segment, replica.sequence)


def _reply(
    replica: Consensus,
    sender: str,
    message: SnapshotChunk,
    offset: int,
    stored_segment: int,
    save_sequence: int,
) -> None:
    reply = ChunkReply(message.term, message.last_index, offset, stored_segment, message.heartbeat)
    replica.send(sender, reply, save_sequence)


def _continues(incoming: IncomingSnapshot | None, message: SnapshotChunk) -> bool:
    """Whether a chunk belongs to the snapshot that is being received."""
    if incoming is None or incoming.last_index != message.last_index:
        return False
    return message.offset <= 0 or incoming.total == message.total


def _restart_transfer(replica: Consensus, sender: str, message: SnapshotChunk, stored_segment: int) -> None:
    """Requests the snapshot from its start, and reports the newest segment that this incarnation stores."""
    replica.incoming_snapshot = IncomingSnapshot(message.last_index)
    _reply(replica, sender, message, ASK_WHAT_IS_STORED, stored_segment, replica.hard_state_save_sequence())


def _replace_log(replica: Consensus, message: SnapshotChunk) -> None:
    """Replaces the log up to the snapshot's index by the snapshot."""
    index = message.last_index
    if replica.term_at(index) == message.snapshot_term:
        replica.log.drop_before(index + 1)
    else:
        log_changes.drop_log(replica, index + 1)
    replica.base_index, replica.base_term = index, message.snapshot_term
    replica.base_membership = membership_from_image(message.membership)
    replica.applied_index = index
    replica.commit_index = max(replica.commit_index, index)
    log_changes.find_membership(replica)


def _save_base(replica: Consensus, index: int, segments: dict[int, bytes], now: float) -> None:
    """Saves the new base, which includes all unsaved changes."""
    replica.truncate_from = replica.dirty_from = None
    replica.hard_state_dirty = False
    replica.sequence += 1
    replica.hard_state_sequence = replica.sequence
    for save in replica.pending_saves:
        save.last_index = min(save.last_index, replica.last_index())
    replica.pending_saves.append(PendingSave(replica.sequence, replica.last_index(), now))
    assert replica.base_image is not None
    replica.effects.append(InstallSnapshot(index, replica.base_image, segments))
    replica.effects.append(SaveBase(replica.sequence, snapshot_base.payload(replica)))
    replica.event(127, index=index)
