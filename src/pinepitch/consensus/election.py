"""Elections: requesting, granting and counting pre-votes and votes.

Algorithms 1 and 2 in `quorum` decide whether a candidate is elected. This module has the message handlers,
the rules by which a voter grants a vote, and the timing. Pre-vote is described in section 8.
docs/design/elections.md gives the reasons for the rules.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..common import constants
from . import known_leader, log_changes, membership_change, replication
from .effects import BecomeLeader
from .follower import Follower
from .messages import (
    NewerTerm,
    PreVoteReply,
    PreVoteRequest,
    RemovedNotice,
    TakeoverRequest,
    VoteReply,
    VoteRequest,
)
from .quorum import Reply
from .roles import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE, Role

if TYPE_CHECKING:
    from .replica import Consensus


# --- candidate ------------------------------------------------------------------------
def campaign(replica: Consensus, role: Role, now: float, released_term: int = 0) -> None:
    """Starts a pre-vote or an election, by `role`.

    `released_term` is the term whose leader gave up its lease in favour of this candidate, or 0.
    """
    replica.role, replica.replies, replica.released_term = role, {}, released_term
    replica.reset_election_timer(now)
    term = replica.term + 1
    replica.current_leader = None
    if role == CANDIDATE:
        replica.term = term
        replica.history[term] = replica.identity
        replica.hard_state_dirty = True
    replica.event(121 if role == CANDIDATE else 120, campaign=term)
    replica.replies[replica.identity] = _make_reply(replica, True)
    request_votes(replica, now)
    count_votes(replica, now)


def request_votes(replica: Consensus, now: float) -> None:
    """Sends the vote requests of the current campaign to all other voters, and schedules the next attempt.

    Requests are repeated until the election timeout, because a request or a reply may get lost, and because
    a voter that waits for a lease to expire may grant a later request.
    """
    replica.next_vote_request_at = now + constants.VOTE_AGAIN * (0.5 + replica.random.random())
    request = _vote_request(replica)
    for identity in replica.membership.members():
        if identity != replica.identity:
            replica.send(identity, request, replica.flush_sequence())


def _vote_request(replica: Consensus) -> PreVoteRequest | VoteRequest | TakeoverRequest:
    last_index = replica.last_index()
    last_term = replica.term_at(last_index)
    assert last_term is not None
    term = replica.term if replica.role == CANDIDATE else replica.term + 1
    if replica.released_term:
        return TakeoverRequest(term, last_index, last_term, replica.released_term)
    if replica.role == CANDIDATE:
        return VoteRequest(term, last_index, last_term)
    return PreVoteRequest(term, last_index, last_term)


def count_votes(replica: Consensus, now: float) -> None:
    """Counts the replies and takes the next step of the election that they allow.

    A candidate becomes leader only once its own vote is durable.
    """
    term = replica.term if replica.role == CANDIDATE else replica.term + 1
    result = replica.membership.elects(
        replica.replies, term, replica.last_known_leader, replica.last_known_term
    )
    if result.satisfied:
        if replica.role == PRE_CANDIDATE:
            campaign(replica, CANDIDATE, now)
        elif replica.hard_state_sequence <= replica.saved_sequence and not replica.hard_state_dirty:
            become_leader(replica, now)
    elif replica.role == CANDIDATE and not result.possible:
        # The votes were split, and perhaps nobody has won: start a new pre-vote soon.
        again_at = now + constants.RESTART_JITTER * replica.random.random()
        assert replica.election_at is not None
        replica.election_at = min(replica.election_at, again_at)


def become_leader(replica: Consensus, now: float) -> None:
    """Becomes the leader of the current term and appends a no-op entry.

    Committing that entry commits all entries before it.
    """
    replica.role = LEADER
    replica.current_leader = replica.identity
    if known_leader.counts_at_once(replica):
        known_leader.record(replica, replica.identity, replica.term)
    replica.hard_state_dirty = True
    replica.followers = {
        identity: Follower(replica.last_index(), now)
        for identity in replica.membership.members()
        if identity != replica.identity
    }
    replica.heartbeat_number = 0
    replica.confirming_reads, replica.queued_reads, replica.read_round = [], [], None
    replica.event(122, groups=len(replica.membership.now.groups()))
    replica.effects.append(BecomeLeader(replica.term))
    log_changes.append(replica, [(replica.term, 0.0, ("noop",))], replica.last_index() + 1)
    learners = replica.inherited_learners if replica.released_term else {}
    replica.inherited_learners = {}
    for identity, zone in learners.items():
        membership_change.add_learner(replica, identity, zone, now)
    replication.broadcast(replica, now)


def on_pre_vote_reply(replica: Consensus, sender: str, message: PreVoteReply, now: float) -> None:
    """Counts a reply to the current pre-vote."""
    if replica.role == PRE_CANDIDATE and message.term == replica.term + 1:
        _count_reply(replica, sender, message, now)


def on_vote_reply(replica: Consensus, sender: str, message: VoteReply, now: float) -> None:
    """Counts a reply to the current election."""
    if replica.role == CANDIDATE and message.term == replica.term:
        _count_reply(replica, sender, message, now)


def _count_reply(replica: Consensus, sender: str, message: PreVoteReply | VoteReply, now: float) -> None:
    _, granted, leader, leader_term, history = message
    replica.replies[sender] = Reply(granted, leader, leader_term, dict(history))
    count_votes(replica, now)


def on_newer_term(replica: Consensus, sender: str, message: NewerTerm, now: float) -> None:
    """Adopts the newer term of another replica."""
    if message.term > replica.term:
        replica.become_follower(message.term, now, "behind")


def on_removed(replica: Consensus, sender: str, message: RemovedNotice, now: float) -> None:
    """Handles a member's report that this replica was removed from the cluster."""
    sender_is_current = (
        sender in replica.membership.members() and message.commit_index > replica.membership_index
    )
    if sender_is_current and replica.role != LEADER:
        replica.removed = True
        if replica.role != FOLLOWER:
            replica.become_follower(replica.term, now, "stranger")


# --- voter ----------------------------------------------------------------------------
def _make_reply(replica: Consensus, granted: bool) -> Reply:
    return Reply(granted, replica.last_known_leader, replica.last_known_term, dict(replica.history))


def is_up_to_date(replica: Consensus, last_index: int, last_term: int) -> bool:
    """Whether a log whose newest entry is given is at least as up to date as this replica's.

    Such a log has every entry that this replica may know to be committed.
    """
    own_index = replica.last_index()
    own_term = replica.term_at(own_index)
    assert own_term is not None
    return (last_term, last_index) >= (own_term, own_index)


def on_pre_vote(replica: Consensus, sender: str, message: PreVoteRequest, now: float) -> None:
    """Answers a pre-vote request: whether this replica would vote for the sender.

    It would not while it hears from a leader. A sender that is not a member is notified that it was removed.
    """
    term, last_index, last_term = message
    leader_recent = replica.leader_heard_recently(now)
    if leader_recent and sender not in replica.membership.members():
        replica.send(sender, RemovedNotice(replica.term, replica.applied_index))
        return
    if term <= replica.term:
        replica.send(sender, NewerTerm(replica.term), replica.hard_state_sequence)
        return
    granted = is_up_to_date(replica, last_index, last_term) and not leader_recent
    replica.send(sender, PreVoteReply(term, *_make_reply(replica, granted)), replica.hard_state_sequence)


def on_vote(replica: Consensus, sender: str, message: VoteRequest, now: float) -> None:
    """Answers a vote request, unless another leader was heard within the election timeout."""
    term, last_index, last_term = message
    if term < replica.term:
        replica.send(sender, NewerTerm(replica.term), replica.hard_state_sequence)
        return
    if replica.leader_heard_recently(now) and sender != replica.current_leader:
        # The sender won its pre-vote before the leader was heard again. The leader's lease relies on this
        # replica not to vote now.
        return
    _answer_vote(replica, sender, term, last_index, last_term, now)


def on_takeover(replica: Consensus, sender: str, message: TakeoverRequest, now: float) -> None:
    """Answers a vote request of a candidate that the leader of `released_term` named its successor.

    Neither that leader nor an older one relies on a lease any longer. A newer leader may still do so, and
    then the request is ignored.
    """
    term, last_index, last_term, released_term = message
    if term < replica.term:
        replica.send(sender, NewerTerm(replica.term), replica.hard_state_sequence)
        return
    if replica.leader_heard_recently(now) and known_leader.newest_term(replica) > released_term:
        return
    _answer_vote(replica, sender, term, last_index, last_term, now)


def _answer_vote(
    replica: Consensus, sender: str, term: int, last_index: int, last_term: int, now: float
) -> None:
    if term > replica.term:
        replica.become_follower(term, now, "newer term")
    voted_for = replica.history.get(term)
    leader_known = known_leader.newest_term(replica) >= term
    granted = (
        not leader_known and is_up_to_date(replica, last_index, last_term) and voted_for in (None, sender)
    )
    if granted and voted_for is None:
        replica.history[term] = sender
        replica.hard_state_dirty = True
        replica.reset_election_timer(now)
        replica.event(124, candidate=sender)
    save_sequence = max(
        replica.flush_sequence() if replica.hard_state_dirty else 0, replica.hard_state_sequence
    )
    replica.send(sender, VoteReply(term, *_make_reply(replica, granted)), save_sequence)
