"""Handling of the followers' replies to entries, heartbeats and snapshot chunks by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..common import constants
from . import commitment, leadership_transfer, reads, replication, snapshot_sender
from .messages import AppendReply, ChunkReply
from .roles import LEADER

if TYPE_CHECKING:
    from .follower import Follower
    from .replica import Consensus


def on_append_reply(replica: Consensus, sender: str, message: AppendReply, now: float) -> None:
    """Records a follower's progress, commits what that allows and sends what the follower lacks."""
    term, success, index, heartbeat = message
    follower = replica.followers.get(sender)
    if replica.role != LEADER or term != replica.term or follower is None:
        return
    follower.heard_at = now
    follower.answered_heartbeat = max(follower.answered_heartbeat, heartbeat)
    if index is None:  # reply to a heartbeat that did not refer to the log
        reads.check_round(replica, now)
        return
    if success:
        follower.denials = 0
    elif index < follower.match_index:
        _record_lost_entries(replica, sender, follower, index)
    if follower.lost_entries:
        return
    if success:
        _record_success(follower, index, now)
    else:
        follower.probing = True
        follower.next_index = max(follower.match_index + 1, min(follower.next_index - 1, index + 1), 1)
        follower.flow.clear()
    commitment.advance(replica, now)
    reads.check_round(replica, now)
    if replica.pending_transfer is not None:
        leadership_transfer.try_complete(replica, now)
    if replica.role == LEADER and sender in replica.followers and follower.next_index <= replica.last_index():
        replication.replicate(replica, sender, now)


def _record_lost_entries(replica: Consensus, sender: str, follower: Follower, index: int) -> None:
    """Counts rejections of entries that the follower had acknowledged.

    The first ones may be old replies that newer ones overtook. After DENIALS in a row the follower must
    have lost the entries, and it is ignored from then on.
    """
    follower.denials += 1
    if follower.denials == constants.DENIALS:
        replica.event(128, follower=sender, acknowledged=follower.match_index, holds=index)
        follower.lost_entries = True  # its disk lost acknowledged entries: its replies no longer count
        follower.match_index = 0


def _record_success(follower: Follower, index: int, now: float) -> None:
    follower.flow.acknowledge(index, now)
    follower.match_index = max(follower.match_index, index)
    follower.next_index = max(follower.next_index, follower.match_index + 1)
    follower.probing = False


def on_chunk_reply(replica: Consensus, sender: str, message: ChunkReply, now: float) -> None:
    """Continues a snapshot transfer, or sends the entries after the snapshot."""
    follower = replica.followers.get(sender)
    if replica.role != LEADER or message.term != replica.term or follower is None:
        return
    follower.heard_at = now
    follower.answered_heartbeat = max(follower.answered_heartbeat, message.heartbeat)
    if snapshot_sender.take_reply(replica, follower, message, now):
        replication.replicate(replica, sender, now)
