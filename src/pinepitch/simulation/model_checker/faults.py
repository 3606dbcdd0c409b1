"""Faults injected into consensus, each of which a model must find: the proof that it can."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple
from unittest import mock

from ...common import constants
from ...consensus import (
    acknowledgements,
    commitment,
    election,
    known_leader,
    leadership_transfer,
    log_changes,
    reads,
    snapshot_sender,
)
from ...consensus.effects import Effect, ReadConfirmed, SendMessage
from ...consensus.handlers import HANDLERS, REPLIES
from ...consensus.messages import AppendReply, LeadershipTransfer, VoteReply, VoteRequest
from ...consensus.quorum import Membership, Quorum, Replies, Result
from ...consensus.replica import Consensus
from ...consensus.roles import LEADER
from ...consensus.snapshot_payload import SnapshotParts, SnapshotPayload
from ...consensus.snapshot_transfer import IncomingSnapshot
from . import invariants
from .actions import Action
from .model import Fleet
from .replica import Replica, machine_of
from .state import ModelState
from .timed import QUANTUM, TimedModelState

Proposed = tuple[int, list[Effect]] | None

original_advance = commitment.advance
original_append_reply = acknowledgements.on_append_reply
original_change_members = Consensus.change_members
original_leased = Consensus.leased
original_vote = election.on_vote
original_wait = TimedModelState._wait


def _commits_by_old_list(self: Membership, identities: Iterable[str], leader: str) -> bool:
    return self.now.commits(identities, leader)


def _elects_by_new_list(
    self: Membership, replies: Replies, term: int, leader: str | None, leader_term: int
) -> Result:
    quorum = self.quorums()[-1]
    own = {one: reply for one, reply in replies.items() if one in quorum.members}
    return quorum.elects(own, term, leader, leader_term)


def _advance_by_learners(replica: Consensus, now: float) -> None:
    """Counts copies of learners as if they were a voter's."""
    matches = {one: follower.match_index for one, follower in replica.followers.items()}
    matches[replica.identity] = replica.durable_index
    for index in sorted(set(matches.values()), reverse=True):
        if index <= replica.applied_index or replica.term_at(index) != replica.term:
            break
        if 2 * sum(match >= index for match in matches.values()) > len(replica.membership.now.members):
            commitment.commit_to(replica, index, now)
            break


def _advance_unsaved(replica: Consensus, now: float) -> None:
    """Counts the leader's own entries before they are durable."""
    durable, replica.durable_index = replica.durable_index, replica.last_index()
    original_advance(replica, now)
    replica.durable_index = durable


def _advance_older_terms(replica: Consensus, now: float) -> None:
    """Commits entries of older terms by counting copies of them."""
    matches = {one: follower.match_index for one, follower in replica.followers.items()}
    matches[replica.identity] = replica.durable_index
    for index in sorted(set(matches.values()), reverse=True):
        if index <= replica.applied_index:
            break
        holders = {one for one, match in matches.items() if match >= index}
        if replica.membership.commits(holders, replica.identity):
            commitment.commit_to(replica, index, now)
            break


def _is_vote(effect: Effect) -> bool:
    return isinstance(effect, SendMessage) and isinstance(effect.message, VoteReply)


def _vote_before_saved(replica: Consensus, sender: str, message: VoteRequest, now: float) -> None:
    """Tells a vote before it is durable."""
    original_vote(replica, sender, message, now)
    votes = [effect for _, effect in replica.deferred if _is_vote(effect)]
    replica.deferred = [(need, effect) for need, effect in replica.deferred if not _is_vote(effect)]
    replica.effects.extend(votes)


def _votes_again(replica: Consensus, sender: str, message: VoteRequest, now: float) -> None:
    """Forgets whom it voted for."""
    replica.history.pop(message.term, None)
    original_vote(replica, sender, message, now)


def _change_at_once(self: Consensus, members: dict[str, str], time: float, now: float) -> Proposed:
    """Goes to a new list of members without a joint one."""
    if self.role != LEADER or not self.serving() or self.membership_index > self.applied_index:
        return None
    coming = Membership(Quorum(dict(members), self.membership.now.mode))
    return self.propose([("members", coming.image())], time, now)


def _change_keeps_learners(self: Consensus, members: dict[str, str], time: float, now: float) -> Proposed:
    """Goes on to treat a voter of the coming list as a learner, as before this was repaired."""
    learners = dict(self.learners)
    result = original_change_members(self, members, time, now)
    if result is not None:
        self.learners = learners
    return result


def _wipe_keeps_identity(self: ModelState, action: Action) -> None:
    """A lost disk comes back under its former name."""
    self._spend("wipes")
    identity = action.subject
    former = self.replicas[identity]
    self.replicas[identity] = Replica(identity, former.zone, former.members, former.mode)
    self.logs = {**self.logs, identity: self.replicas[identity].stored()}


def _drop_log_keeps_durable(replica: Consensus, first: int) -> None:
    """Goes on to count what a snapshot replaced as durable, as before this was repaired."""
    replica.log.clear(first)


def _no_wait_after_restart(self: Consensus, now: float) -> None:
    """Votes at once in a new incarnation, whatever the former one acknowledged."""
    if self.election_at is None:
        self.reset_election_timer(now)


def _step_before_incarnation(self: Consensus, sender: str, message: Any, now: float) -> list[Effect]:
    """Takes messages before the wait of a new incarnation has begun, as before this was repaired."""
    kind = type(message)
    if kind in REPLIES and message.term > self.term:
        self.become_follower(message.term, now, "newer term")
    HANDLERS[kind](self, sender, message, now)
    return self.take_effects(now)


def _lease_from_answer(replica: Consensus, sender: str, message: AppendReply, now: float) -> None:
    """Counts a lease from when an answer was heard, not from when its heartbeat was sent."""
    current = replica.role == LEADER and message.term == replica.term
    if current and message.heartbeat in replica.heartbeat_times:
        replica.heartbeat_times[message.heartbeat] = now
    original_append_reply(replica, sender, message, now)


def _leased_by_new_list(self: Consensus, now: float) -> bool:
    """Takes a lease from the coming list alone."""
    membership, self.membership = self.membership, Membership(self.membership.quorums()[-1])
    try:
        return original_leased(self, now)
    finally:
        self.membership = membership


def _hands_over_and_leads(replica: Consensus, now: float) -> None:
    """Names a successor, and leads on with its lease."""
    assert replica.pending_transfer is not None
    target = replica.pending_transfer.target
    follower = replica.followers.get(target)
    if follower is not None and follower.match_index >= replica.last_index() == replica.applied_index:
        message = LeadershipTransfer(replica.term, dict(replica.learners))
        replica.send(target, message, replica.hard_state_sequence)


def _check_round_at_once(replica: Consensus, now: float) -> None:
    """Answers reads without asking whether this one still leads."""
    if replica.read_round is not None:
        replica.effects.extend(
            ReadConfirmed(token, replica.read_round.read_index) for token in replica.confirming_reads
        )
        replica.confirming_reads, replica.read_round = [], None


def _wait_while_suspended(self: TimedModelState, action: Action) -> None:
    """Lets the clock of a stopped daemon's machine stand still."""
    original_wait(self, action)
    stopped = {machine_of(one): self.stopped.get(machine_of(one), 0.0) + QUANTUM for one in self.frozen}
    self.stopped = {**self.stopped, **stopped}


def _effects_by_entries(committed: invariants.Committed) -> tuple[Any, ...]:
    """Has every entry take effect, whatever its name."""
    return tuple(operation[1] for _, operation in committed if operation[0] == "put")


def _segments_left_out(replica: Consensus, stored: int) -> SnapshotPayload:
    """Sends a snapshot without the segments that its image stands on."""
    assert replica.base_image is not None
    return SnapshotPayload(replica.base_image, replica.base_segments, {})


def _complete_unseen(self: IncomingSnapshot, stored: int) -> SnapshotParts:
    """Installs whatever came."""
    return self.received.parts()


class Fault(NamedTuple):
    """A fault: what it replaces, and the models that must find it."""

    replaced: tuple[tuple[Any, str, Any], ...]  # (owner, attribute, replacement)
    models: tuple[str, ...]


# The registry of injected faults.
FAULTS = {
    "commit-by-old-list": Fault(((Membership, "commits", _commits_by_old_list),), ("joint-change",)),
    "elect-by-new-list": Fault(((Membership, "elects", _elects_by_new_list),), ("joint-change",)),
    "learner-counts": Fault(((commitment, "advance", _advance_by_learners),), ("learner",)),
    "unsaved-counts": Fault(((commitment, "advance", _advance_unsaved),), ("slow-disks",)),
    "older-term-commits": Fault(((commitment, "advance", _advance_older_terms),), ("older-term",)),
    "vote-before-saved": Fault(((election, "on_vote", _vote_before_saved),), ("unsaved-votes",)),
    "votes-twice": Fault(((election, "on_vote", _votes_again),), ("election",)),
    "votes-for-older-log": Fault(
        ((election, "is_up_to_date", lambda replica, last_index, last_term: True),), ("two-terms",)
    ),
    "change-at-once": Fault(((Consensus, "change_members", _change_at_once),), ("second-change",)),
    "coming-voter-ignored": Fault(
        ((Consensus, "change_members", _change_keeps_learners),),
        (),  # breaks no guarantee, but stops a change for good
    ),
    "wiped-keeps-identity": Fault(((ModelState, "_wipe", _wipe_keeps_identity),), ("wiped",)),
    "snapshot-keeps-durable": Fault(((log_changes, "drop_log", _drop_log_keeps_durable),), ("snapshot",)),
    "no-wait-after-restart": Fault(((Consensus, "_begin_incarnation", _no_wait_after_restart),), ("lease",)),
    "vote-before-first-tick": Fault(((Consensus, "step", _step_before_incarnation),), ("lease",)),
    "wait-without-drift": Fault(((constants, "LEASE_STRETCH", 1.0),), ("lease-restart",)),
    "vote-beside-leader": Fault(((Consensus, "leader_heard_recently", lambda self, now: False),), ("lease",)),
    "clock-stops-in-suspend": Fault(
        ((TimedModelState, "_wait", _wait_while_suspended),), ("lease-suspended",)
    ),
    "leader-known-at-once": Fault(
        ((known_leader, "counts_at_once", lambda replica: True),),
        (),  # of models: schedules of fleets in dynamic mode find it
    ),
    "segments-left-out": Fault(
        (
            (snapshot_sender, "snapshot_payload", _segments_left_out),
            (IncomingSnapshot, "complete", _complete_unseen),
        ),
        (),  # of models: schedules of fleets with archives find it
    ),
    "names-forgotten": Fault(
        ((invariants, "effects_of", _effects_by_entries),), ("late-append", "late-append-deposed")
    ),
    "read-without-round": Fault(((reads, "check_round", _check_round_at_once),), ("reads",)),
    "handover-keeps-lease": Fault(
        ((leadership_transfer, "try_complete", _hands_over_and_leads),), ("lease-handover",)
    ),
    "lease-by-new-list": Fault(((Consensus, "leased", _leased_by_new_list),), ("lease-change",)),
    "lease-from-answer": Fault(
        ((acknowledgements, "on_append_reply", _lease_from_answer),), ("lease-answers",)
    ),
}


@contextlib.contextmanager
def conditions(fleet: Fleet) -> Iterator[None]:
    """The constants of a model: nothing kept behind a snapshot, appends as short as the fleet says."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(constants, "SNAPSHOT_TAIL", 0))
        stack.enter_context(mock.patch.object(constants, "APPEND_ENTRIES", fleet.append_entries))
        yield


@contextlib.contextmanager
def injected(name: str) -> Iterator[None]:
    """The fault of that name in place; '' for none."""
    invariants.forget_quorums()
    with contextlib.ExitStack() as stack:
        stack.callback(invariants.forget_quorums)
        for owner, attribute, replacement in FAULTS[name].replaced if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        handlers = {VoteRequest: election.on_vote, AppendReply: acknowledgements.on_append_reply}
        stack.enter_context(mock.patch.dict(HANDLERS, handlers))
        stack.enter_context(mock.patch.dict(ModelState.kinds, {"wipe": ModelState._wipe}))
        stack.enter_context(mock.patch.dict(TimedModelState.kinds, {"wait": TimedModelState._wait}))
        yield
