"""The leader's part in replicating the log: heartbeats, entries, and the choice of a snapshot instead."""

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
    """Sends every follower a heartbeat; `advance` gives it a number of its own."""
    if new_number:
        replica.heartbeat_number += 1
    replica.heartbeat_sent_at = now
    replica.heartbeat_times[replica.heartbeat_number] = now
    replica.heartbeat_times.pop(replica.heartbeat_number - constants.LEADER_HEARTBEATS_KEPT, None)
    for identity in replica.followers:
        replicate(replica, identity, now, heartbeat=True)


def replicate_all(replica: Consensus, now: float) -> None:
    """Sends every follower what it lacks."""
    for identity in replica.followers:
        replicate(replica, identity, now)


def replicate(replica: Consensus, identity: str, now: float, heartbeat: bool = False) -> None:
    """Sends what a follower lacks, as much as its flow takes; a heartbeat alone when asked for."""
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
    """Takes what is under way for lost, and sends it again from what was acknowledged."""
    follower.flow.discard_lost()
    follower.next_index = follower.match_index + 1
    follower.probing = True
    if follower.transfer:
        follower.transfer.in_flight = False


def _send_entries(replica: Consensus, identity: str, follower: Follower, now: float) -> bool:
    """Sends entries in as many messages as may be under way; whether any was sent."""
    flow, log = follower.flow, replica.log
    window = 1 if follower.probing else constants.APPEND_WINDOW
    last, sent = log.last(), False
    entries: Sequence[Entry]
    while follower.next_index <= last and len(flow.in_flight) < window and not flow.large_in_flight():
        entries, size = log.slice_from(follower.next_index, constants.APPEND_ENTRIES, flow.budget)
        if follower.probing and size >= constants.BULK_BYTES:
            entries, size = (), 0  # first what it holds: a large append would be for nothing
        if size >= constants.BULK_BYTES and flow.in_flight:
            break
        _send_append(replica, identity, follower.next_index - 1, entries)
        follower.next_index += len(entries)
        flow.record_sent(follower.next_index - 1, size, now)
        sent = True
    return sent


def _needs_snapshot(replica: Consensus, follower: Follower) -> bool:
    """Whether a follower is sent the base: it needs entries that are gone, or so many that
    the image is the shorter way, or the sending has begun.
    """
    if follower.transfer is not None:
        if follower.transfer.snapshot.last_index > follower.match_index:
            return True
        follower.transfer = None
    if follower.next_index > replica.base_index and follower.next_index > replica.log.first:
        return False  # as nearly always
    if follower.next_index < replica.log.first or replica.term_at(follower.next_index - 1) is None:
        return True
    if follower.probing or follower.next_index > replica.base_index or replica.base_image is None:
        return False
    missing_bytes = replica.log.bytes_between(follower.next_index, replica.base_index)
    return missing_bytes > constants.SNAPSHOT_RATIO * len(replica.base_image) + constants.APPEND_BYTES


def _send_append(replica: Consensus, identity: str, previous_index: int, entries: Sequence[Entry]) -> None:
    term = replica.term_at(previous_index)
    commit, heartbeat = replica.commit, replica.heartbeat_number
    message = AppendEntries(replica.term, previous_index, term, tuple(entries), commit, heartbeat)
    replica.send(identity, message, replica.hard_state_sequence)


def _send_heartbeat(replica: Consensus, identity: str, follower: Follower) -> None:
    """A heartbeat with no entries. While a large append is under way, by another connection, it
    says nothing of what that one brings.
    """
    if not follower.flow.large_in_flight():
        _send_append(replica, identity, follower.next_index - 1, ())
    elif follower.match_index > 0 and replica.term_at(follower.match_index) is not None:
        _send_append(replica, identity, follower.match_index, ())
    else:
        _send_bare_heartbeat(replica, identity)


def _send_bare_heartbeat(replica: Consensus, identity: str) -> None:
    """A heartbeat that says nothing of the log."""
    message = AppendEntries(replica.term, 0, 0, (), 0, replica.heartbeat_number)
    replica.send(identity, message, replica.hard_state_sequence)
