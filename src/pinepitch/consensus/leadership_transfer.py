"""Leadership transfer: a stopping leader lets another voter take over (docs/design/elections.md)."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..common import constants
from . import election, known_leader, replication
from .messages import LeadershipTransfer
from .roles import CANDIDATE, FOLLOWER

if TYPE_CHECKING:
    from .replica import Consensus


class PendingTransfer(NamedTuple):
    """A leadership transfer to `target` that is in progress; at `until` the leader steps down regardless.

    Invariant: the leader gives up leadership, and with it the lease, before it notifies the target.
    """

    target: str
    until: float  # seconds of the steady clock


def begin(replica: Consensus, candidates: set[str], now: float) -> None:
    """Starts a transfer to a successor among `candidates`; steps down at once if there is none."""
    target = _successor(replica, candidates, now)
    if target is None:
        replica.become_follower(replica.term, now, "stopping")
        return
    replica.pending_transfer = PendingTransfer(target, now + constants.HANDOVER_WITHIN)
    replication.replicate_all(replica, now)
    try_complete(replica, now)


def _successor(replica: Consensus, candidates: set[str], now: float) -> str | None:
    """The recently heard voter of every list in force that has most of the log, or None."""
    quorums = replica.membership.quorums()
    eligible = [
        (follower.match_index, identity)
        for identity, follower in replica.followers.items()
        if identity in candidates
        and all(identity in quorum.members for quorum in quorums)
        and now - follower.heard_at <= constants.LEADER_LEASE
        and not follower.lost_entries
    ]
    return max(eligible)[1] if eligible else None


def try_complete(replica: Consensus, now: float) -> None:
    """Steps down in favour of the successor once it has the whole log and all of it is committed."""
    assert replica.pending_transfer is not None
    target, last = replica.pending_transfer.target, replica.last_index()
    follower = replica.followers.get(target)
    if follower is None or follower.match_index < last or replica.applied_index < last:
        return
    learners = dict(replica.learners)
    replica.become_follower(replica.term, now, "handed over")
    replica.send(target, LeadershipTransfer(replica.term, learners), replica.hard_state_sequence)


def on_transfer(replica: Consensus, sender: str, message: LeadershipTransfer, now: float) -> None:
    """Campaigns at once, because the leader of this term gave up its lease in favour of this voter."""
    newest = known_leader.is_newest(replica, sender, message.term)
    if message.term == replica.term and newest and replica.may_campaign(now) and replica.role == FOLLOWER:
        replica.inherited_learners = dict(message.learners)
        election.campaign(replica, CANDIDATE, now, released_term=message.term)
