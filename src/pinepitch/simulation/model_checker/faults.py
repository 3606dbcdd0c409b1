"""Faults injected into consensus, each of which a model must find: the proof that it can."""

import contextlib
from typing import NamedTuple
from unittest import mock

from ...common import constants
from ...consensus import replica as consensus_module
from ...consensus.quorum import Membership, Quorum
from ...consensus.replica import Consensus
from . import invariants
from .replica import Replica, machine_of
from .state import ModelState
from .timed import QUANTUM, TimedModelState

original_advance = Consensus._advance
original_appended = Consensus._on_appended
original_change_members = Consensus.change_members
original_leased = Consensus.leased
original_vote = Consensus._on_vote
original_wait = TimedModelState._wait


def _commits_by_old_list(self, identities, leader):
    return self.now.commits(identities, leader)


def _elects_by_new_list(self, replies, term, leader, leader_term):
    quorum = self.quorums()[-1]
    own = {one: reply for one, reply in replies.items() if one in quorum.members}
    return quorum.elects(own, term, leader, leader_term)


def _advance_by_learners(self, now):
    """Counts copies of learners as if they were a voter's."""
    matches = {one: follower.match for one, follower in self.followers.items()}
    matches[self.identity] = self.durable
    for index in sorted(set(matches.values()), reverse=True):
        if index <= self.commit or self.term_at(index) != self.term:
            break
        if 2 * sum(match >= index for match in matches.values()) > len(self.membership.now.members):
            self._commit_to(index, now)
            break


def _advance_unsaved(self, now):
    """Counts the leader's own entries before they are durable."""
    durable, self.durable = self.durable, self.last_index()
    original_advance(self, now)
    self.durable = durable


def _advance_older_terms(self, now):
    """Commits entries of older terms by counting copies of them."""
    matches = {one: follower.match for one, follower in self.followers.items()}
    matches[self.identity] = self.durable
    for index in sorted(set(matches.values()), reverse=True):
        if index <= self.commit:
            break
        if self.membership.commits({one for one, match in matches.items() if match >= index}, self.identity):
            self._commit_to(index, now)
            break


def _vote_before_saved(self, sender, *rest):
    """Tells a vote before it is durable."""
    original_vote(self, sender, *rest)
    votes = [effect for _, effect in self.deferred if effect[2][0] == "voted"]
    self.deferred = [(need, effect) for need, effect in self.deferred if effect[2][0] != "voted"]
    self.effects.extend(votes)


def _votes_again(self, sender, term, last_index, last_term, now):
    """Forgets whom it voted for."""
    self.history.pop(term, None)
    original_vote(self, sender, term, last_index, last_term, now)


def _change_at_once(self, members, time, now):
    """Goes to a new list of members without a joint one."""
    if self.role != "leader" or not self.serving() or self.membership_index > self.commit:
        return None
    coming = Membership(Quorum(dict(members), self.membership.now.mode))
    return self.propose([("members", coming.image())], time, now)


def _change_keeps_learners(self, members, time, now):
    """Goes on to treat a voter of the coming list as a learner, as before this was mended."""
    learners = dict(self.learners)
    result = original_change_members(self, members, time, now)
    if result is not None:
        self.learners = learners
    return result


def _wipe_keeps_identity(self, action):
    """A lost disk comes back under its former name."""
    self._spend("wipes")
    identity = action.subject
    former = self.replicas[identity]
    self.replicas[identity] = Replica(identity, former.zone, former.members, former.mode)
    self.logs = {**self.logs, identity: self.replicas[identity].stored()}


def _drop_log_keeps_durable(self, first):
    """Goes on to count what a snapshot replaced as durable, as before this was mended."""
    self.log.clear(first)


def _no_wait_after_restart(self, now):
    """Votes at once in a new life, whatever the former one acknowledged."""
    if self.election_at is None:
        self._reset_election(now)


def _step_before_incarnation(self, sender, message, now):
    """Takes messages before the wait of a new life has begun, as before this was mended."""
    kind, *rest = message
    handler = consensus_module.HANDLERS.get(kind)
    if kind in ("voted", "appended", "pieced") and rest[0] > self.term:
        self._follow(rest[0], now, "newer term")
    handler(self, sender, *rest, now)
    return self._done(now)


def _lease_from_answer(self, sender, term, success, index, heartbeat, now):
    """Counts a lease from when an answer was heard, not from when its beat was sent."""
    if self.role == "leader" and term == self.term and heartbeat in self.heartbeat_times:
        self.heartbeat_times[heartbeat] = now
    original_appended(self, sender, term, success, index, heartbeat, now)


def _leased_by_new_list(self, now):
    """Takes a lease from the coming list alone."""
    membership, self.membership = self.membership, Membership(self.membership.quorums()[-1])
    try:
        return original_leased(self, now)
    finally:
        self.membership = membership


def _hands_over_and_leads(self, now):
    """Names a successor, and leads on with its lease."""
    target = self.handover.target
    follower = self.followers.get(target)
    if follower is not None and follower.match >= self.last_index() == self.commit:
        self._send(target, ("handover", self.term, dict(self.learners)), self.hard_sequence)


def _check_round_at_once(self, now):
    """Answers reads without asking whether this one still leads."""
    if self.round is not None:
        self.effects.extend(("read", token, self.round[1]) for token in self.reads_now)
        self.reads_now, self.round = [], None


def _wait_while_suspended(self, action):
    """Lets the clock of a stopped daemon's machine stand still."""
    original_wait(self, action)
    stopped = {machine_of(one): self.stopped.get(machine_of(one), 0.0) + QUANTUM for one in self.frozen}
    self.stopped = {**self.stopped, **stopped}


class Fault(NamedTuple):
    """A fault: what it replaces, and the models that must find it."""

    replaced: tuple  # (owner, attribute, replacement)
    models: tuple


# The registry of injected faults.
FAULTS = {
    "commit-by-old-list": Fault(((Membership, "commits", _commits_by_old_list),), ("joint-change",)),
    "elect-by-new-list": Fault(((Membership, "elects", _elects_by_new_list),), ("joint-change",)),
    "learner-counts": Fault(((Consensus, "_advance", _advance_by_learners),), ("learner",)),
    "unsaved-counts": Fault(((Consensus, "_advance", _advance_unsaved),), ("slow-disks",)),
    "older-term-commits": Fault(((Consensus, "_advance", _advance_older_terms),), ("older-term",)),
    "vote-before-saved": Fault(((Consensus, "_on_vote", _vote_before_saved),), ("unsaved-votes",)),
    "votes-twice": Fault(((Consensus, "_on_vote", _votes_again),), ("election",)),
    "votes-for-older-log": Fault(
        ((Consensus, "_fresh", lambda self, last_index, last_term: True),), ("two-terms",)
    ),
    "change-at-once": Fault(((Consensus, "change_members", _change_at_once),), ("second-change",)),
    "coming-voter-ignored": Fault(
        ((Consensus, "change_members", _change_keeps_learners),),
        (),  # breaks no promise, but stops a change for good
    ),
    "wiped-keeps-identity": Fault(((ModelState, "_wipe", _wipe_keeps_identity),), ("wiped",)),
    "snapshot-keeps-durable": Fault(((Consensus, "_drop_log", _drop_log_keeps_durable),), ("snapshot",)),
    "no-wait-after-restart": Fault(((Consensus, "_begin_incarnation", _no_wait_after_restart),), ("lease",)),
    "vote-before-first-tick": Fault(((Consensus, "step", _step_before_incarnation),), ("lease",)),
    "wait-without-drift": Fault(((constants, "LEASE_STRETCH", 1.0),), ("lease-restart",)),
    "vote-beside-leader": Fault(((Consensus, "leader_near", lambda self, now: False),), ("lease",)),
    "clock-stops-in-suspend": Fault(
        ((TimedModelState, "_wait", _wait_while_suspended),), ("lease-suspended",)
    ),
    "read-without-round": Fault(((Consensus, "_check_round", _check_round_at_once),), ("reads",)),
    "handover-keeps-lease": Fault(
        ((Consensus, "_try_handover", _hands_over_and_leads),), ("lease-handover",)
    ),
    "lease-by-new-list": Fault(((Consensus, "leased", _leased_by_new_list),), ("lease-change",)),
    "lease-from-answer": Fault(((Consensus, "_on_appended", _lease_from_answer),), ("lease-answers",)),
}


@contextlib.contextmanager
def conditions(fleet):
    """The constants of a model: nothing kept behind a snapshot, appends as short as the fleet says."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(constants, "SNAPSHOT_TAIL", 0))
        stack.enter_context(mock.patch.object(constants, "APPEND_ENTRIES", fleet.append_entries))
        yield


@contextlib.contextmanager
def injected(name):
    """The fault of that name in place; '' for none."""
    invariants.forget_quorums()
    with contextlib.ExitStack() as stack:
        stack.callback(invariants.forget_quorums)
        for owner, attribute, replacement in FAULTS[name].replaced if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        handlers = {"vote": Consensus._on_vote, "appended": Consensus._on_appended}
        stack.enter_context(mock.patch.dict(consensus_module.HANDLERS, handlers))
        stack.enter_context(mock.patch.dict(ModelState.kinds, {"wipe": ModelState._wipe}))
        stack.enter_context(mock.patch.dict(TimedModelState.kinds, {"wait": TimedModelState._wait}))
        yield
