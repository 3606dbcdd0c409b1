"""The leader lease, and reads by the read index: both stand on heartbeats that a commit quorum answered.

A commit quorum suffices, since it meets every election quorum (section 4).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import constants
from . import replication
from .effects import ReadConfirmed

if TYPE_CHECKING:
    from .replica import Consensus


class ReadRound(NamedTuple):
    """The heartbeat whose answers confirm the reads under way, and the index that they may read up to."""

    heartbeat: int
    read_index: int


def leased(replica: Consensus, now: float) -> bool:
    """Whether a commit quorum answered a heartbeat sent so lately that no other leader can have
    been elected since and have served: such a quorum grants no pre-vote before its time-out.
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
    """The moment that the lease stands until as far as is known; `now` when it does not stand."""
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
    """Asks that ReadConfirmed be told for `token` once leadership is confirmed."""
    replica.queued_reads.append(token)
    start_round(replica, now)


def start_round(replica: Consensus, now: float) -> None:
    """Sends the heartbeat that confirms the reads which wait, unless another one is awaited."""
    if replica.read_round is None and replica.queued_reads and replica.serving():
        replica.confirming_reads, replica.queued_reads = replica.queued_reads, []
        replica.heartbeat_number += 1
        replica.read_round = ReadRound(replica.heartbeat_number, replica.commit)
        replication.broadcast(replica, now, new_number=False)
        check_round(replica, now)


def check_round(replica: Consensus, now: float) -> None:
    """Confirms the reads under way once a commit quorum answered their heartbeat."""
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
