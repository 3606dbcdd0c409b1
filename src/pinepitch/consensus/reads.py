"""The leader lease, and linearizable reads by read index.

Both rely on heartbeats that a commit quorum answered. A commit quorum suffices, because it intersects every
election quorum (section 4).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import constants
from . import replication
from .effects import ReadConfirmed

if TYPE_CHECKING:
    from .replica import Consensus


class ReadRound(NamedTuple):
    """The heartbeat whose replies confirm a batch of reads, and the index of the state that they read."""

    heartbeat: int
    read_index: int


def leased(replica: Consensus, now: float) -> bool:
    """Whether the leader lease is valid, so that no other leader can have been elected and have served.

    The lease is valid if a commit quorum answered a heartbeat sent within LEADER_LEASE, as its members
    grant no pre-vote before their election timeouts.
    """
    since = now - constants.LEADER_LEASE
    answered_by = {
        identity
        for identity, follower in replica.followers.items()
        if identity not in replica.learners
        and replica.heartbeat_times.get(follower.answered_heartbeat, -1e9) >= since
    }
    return replica.serving() and replica.membership.commits(
        answered_by | {replica.identity}, replica.identity
    )


def lease_end(replica: Consensus, now: float) -> float:
    """The time at which the lease expires, as far as is known; `now` if there is no lease."""
    sent = {
        identity: replica.heartbeat_times.get(follower.answered_heartbeat, -1e9)
        for identity, follower in replica.followers.items()
        if identity not in replica.learners
    }
    sent[replica.identity] = now
    for since in sorted(set(sent.values()), reverse=True):
        answered_by = {identity for identity, sent_at in sent.items() if sent_at >= since}
        if replica.membership.commits(answered_by, replica.identity):
            return max(now, since + constants.LEADER_LEASE)
    return now


def request_read(replica: Consensus, token: Any, now: float) -> None:
    """Queues a read: a ReadConfirmed for `token` follows once leadership is confirmed."""
    replica.queued_reads.append(token)
    start_round(replica, now)


def start_round(replica: Consensus, now: float) -> None:
    """Sends the heartbeat that confirms the queued reads, unless a round is in progress."""
    if replica.read_round is None and replica.queued_reads and replica.serving():
        replica.confirming_reads, replica.queued_reads = replica.queued_reads, []
        replica.heartbeat_number += 1
        replica.read_round = ReadRound(replica.heartbeat_number, replica.applied_index)
        replication.broadcast(replica, now, new_number=False)
        check_round(replica, now)


def check_round(replica: Consensus, now: float) -> None:
    """Confirms the reads of the current round once a commit quorum has answered its heartbeat."""
    if replica.read_round is None:
        return
    heartbeat, read_index = replica.read_round
    answered_by = {
        identity
        for identity, follower in replica.followers.items()
        if follower.answered_heartbeat >= heartbeat
    }
    if replica.membership.commits(answered_by | {replica.identity}, replica.identity):
        replica.effects.extend(ReadConfirmed(token, read_index) for token in replica.confirming_reads)
        replica.confirming_reads, replica.read_round = [], None
        start_round(replica, now)
