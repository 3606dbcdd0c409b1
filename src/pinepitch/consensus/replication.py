"""Replication by the leader: heartbeats, entries, and the choice between entries and a snapshot."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..common import constants
from . import snapshot_sender
from .log import Entry
from .messages import AppendEntries

if TYPE_CHECKING:
    from .follower import Follower
    from .replica import Consensus


def broadcast(replica: Consensus, now: float, new_number: bool = True) -> None:
    """Sends every follower a heartbeat, with a new number if `new_number` is set."""
    if new_number:
        replica.heartbeat_number += 1
    replica.heartbeat_sent_at = now
    replica.heartbeat_times[replica.heartbeat_number] = now
    replica.heartbeat_times.pop(replica.heartbeat_number - constants.LEADER_HEARTBEATS_KEPT, None)
    for identity in replica.followers:
        replicate(replica, identity, now, heartbeat=True)


def replicate_all(replica: Consensus, now: float) -> None:
    """Sends every follower the entries or chunks that it lacks."""
    for identity in replica.followers:
        replicate(replica, identity, now)


def replicate(replica: Consensus, identity: str, now: float, heartbeat: bool = False) -> None:
    """Sends a follower what it lacks, as far as flow control allows.

    With `heartbeat` it is sent at least a heartbeat. A follower that lost entries is sent nothing.
    """
    follower = replica.followers[identity]
    if follower.lost_entries:
        return
    if follower.flow.overdue(now):
        _resend_unacknowledged(follower)
    if _needs_snapshot(replica, follower):
        snapshot_sender.send_chunk(replica, identity, follower, now)
        if heartbeat:
            _send_bare_heartbeat(replica, identity)
        return
    sent = False
    if follower.next_index <= replica.log.last():
        sent = _send_entries(replica, identity, follower, now)
    if heartbeat and not sent:
        _send_heartbeat(replica, identity, follower)


def _resend_unacknowledged(follower: Follower) -> None:
    """Treats all messages in flight as lost, and resumes after the newest acknowledged entry."""
    follower.flow.discard_lost()
    follower.next_index = follower.match_index + 1
    follower.probing = True
    if follower.transfer:
        follower.transfer.in_flight = False


def _send_entries(replica: Consensus, identity: str, follower: Follower, now: float) -> bool:
    """Sends entries until the window is full; returns whether a message was sent."""
    flow, log = follower.flow, replica.log
    window = 1 if follower.probing else constants.APPEND_WINDOW
    last, sent = log.last(), False
    entries: Sequence[Entry]
    while follower.next_index <= last and len(flow.in_flight) < window and not flow.large_in_flight():
        entries, size = log.slice_from(follower.next_index, constants.APPEND_ENTRIES, flow.budget)
        if follower.probing and size >= constants.BULK_BYTES:
            # First find out what the follower has, because a large append might be rejected.
            entries, size = (), 0
        if size >= constants.BULK_BYTES and flow.in_flight:
            break
        _send_append(replica, identity, follower.next_index - 1, entries)
        follower.next_index += len(entries)
        flow.record_sent(follower.next_index - 1, size, now)
        sent = True
    return sent


def _needs_snapshot(replica: Consensus, follower: Follower) -> bool:
    """Whether a follower must be sent a snapshot instead of entries.

    It must if a transfer is in progress, if the entries it needs were compacted, or if they have so many
    bytes that the image is cheaper to send.
    """
    if follower.transfer is not None:
        if follower.transfer.snapshot.last_index > follower.match_index:
            return True
        follower.transfer = None
    if follower.next_index > replica.base_index and follower.next_index > replica.log.first:
        return False  # the usual case, checked first
    if follower.next_index < replica.log.first or replica.term_at(follower.next_index - 1) is None:
        return True
    if follower.probing or follower.next_index > replica.base_index or replica.base_image is None:
        return False
    missing_bytes = replica.log.bytes_between(follower.next_index, replica.base_index)
    return missing_bytes > constants.SNAPSHOT_RATIO * len(replica.base_image) + constants.APPEND_BYTES


def _send_append(replica: Consensus, identity: str, previous_index: int, entries: Sequence[Entry]) -> None:
    term = replica.term_at(previous_index)
    applied_index, heartbeat = replica.applied_index, replica.heartbeat_number
    message = AppendEntries(replica.term, previous_index, term, tuple(entries), applied_index, heartbeat)
    replica.send(identity, message, replica.hard_state_sequence)


def _send_heartbeat(replica: Consensus, identity: str, follower: Follower) -> None:
    """Sends a heartbeat without entries.

    A large append uses a connection of its own and may arrive later. While one is in flight, the heartbeat
    refers only to entries before it.
    """
    if not follower.flow.large_in_flight():
        _send_append(replica, identity, follower.next_index - 1, ())
    elif follower.match_index > 0 and replica.term_at(follower.match_index) is not None:
        _send_append(replica, identity, follower.match_index, ())
    else:
        _send_bare_heartbeat(replica, identity)


def _send_bare_heartbeat(replica: Consensus, identity: str) -> None:
    """Sends a heartbeat that does not refer to the log."""
    message = AppendEntries(replica.term, 0, 0, (), 0, replica.heartbeat_number)
    replica.send(identity, message, replica.hard_state_sequence)
