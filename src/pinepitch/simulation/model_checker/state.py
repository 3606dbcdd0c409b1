"""A state of a model: replicas, messages under way, and what was promised so far.

A world is never changed once it is made: a step copies the one replica it acts on. Time is
left out: every time-out may pass at any moment, and a message may arrive at any later one,
in any order, or never. Safety must not rest on either.
"""

from typing import NamedTuple

from ...common import constants
from ...common.effects import SaveChange
from ...consensus import election, replication
from ...consensus.effects import (
    BecomeLeader,
    CommitEntries,
    InstallSnapshot,
    SaveBase,
    SendMessage,
)
from ...consensus.messages import (
    AppendEntries,
    AppendReply,
    ChunkReply,
    NewerTerm,
    PreVoteReply,
    RemovedNotice,
    SnapshotChunk,
    VoteReply,
)
from ...consensus.roles import CANDIDATE, LEADER
from . import invariants
from .invariants import Violation
from .replica import SHORTEST, Replica, Write, frozen, frozen_message, identity_in

NOW = 1000.0  # seconds; the one reading of every clock
STALE_ANSWERS = (VoteReply, AppendReply, ChunkReply)  # answers that mean nothing in a later term


class Message(NamedTuple):
    """A message under way."""

    sender: str
    receiver: str
    message: tuple


class Post:
    """All messages of a search, by number. Invariant: equal letters have the same number."""

    def __init__(self):
        self.messages, self.numbers = [], {}

    def number(self, sender, receiver, message):
        """The number of a message, new or seen before."""
        key = (sender, receiver, frozen_message(message))
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.messages)
            self.messages.append(Message(sender, receiver, message))
        return number


class Budget(NamedTuple):
    """How often each kind of step may still be taken."""

    stands: int = 0  # a member stands for election
    proposals: int = 0
    changes: int = 0  # joint changes begun
    beats: int = 0  # a leader sends anew what was not answered
    restarts: int = 0
    wipes: int = 0
    compactions: int = 0
    repeats: int = 0  # a message arrives twice
    handovers: int = 0  # a leader lets another voter lead


class Action(NamedTuple):
    """A step that may be taken. `subject` is an identity or the number of a letter."""

    kind: str
    subject: object
    detail: object = None


class ModelState:
    """A state without time.

    Invariants: `leaders` names at most one leader a term; `committed[i]` is what every
    replica has, or will have, at index i + 1; letters wait only for daemons that are there."""

    ignored = (NewerTerm, RemovedNotice, PreVoteReply)  # messages that only make elections faster

    def __init__(self, fleet):
        self.post = Post()
        self.replicas = {}
        for identity, zone in fleet.members.items():
            draw = fleet.draws.get(identity, SHORTEST)
            self.replicas[identity] = Replica(identity, zone, dict(fleet.members), fleet.mode, draw)
        for identity, zone in fleet.spares.items():
            draw = fleet.draws.get(identity, SHORTEST)
            self.replicas[identity] = Replica(identity, zone, {}, fleet.mode, draw)
        self.messages = frozenset()
        self.budget = fleet.budget
        self.slow_disks = fleet.slow_disks
        self.committed = ()
        self.leaders = ()
        self.wiped = frozenset()
        self.logs = {}  # identity -> its disk, decoded
        for identity, replica in self.replicas.items():
            self.logs[identity] = replica.stored()

    def key(self):
        """A fingerprint: worlds with equal keys have the same future."""
        replicas = tuple(self.replicas[one].key() for one in sorted(self.replicas))
        return hash((replicas, self.messages, self.budget, self.committed, self.leaders, self.wiped))

    def now(self, identity):
        """The steady clock of a daemon."""
        return NOW

    def _forget_times(self, replica):
        """Takes time out of a replica's state."""
        replica.forget_times(NOW)

    # --- steps ------------------------------------------------------------------------
    def actions(self):
        """Every step that may be taken here, in an order that is always the same."""
        found = [Action("deliver", model_message) for model_message in sorted(self.messages)]
        if self.budget.repeats:
            found += [Action("repeat", model_message) for model_message in sorted(self.messages)]
        for identity in sorted(self.replicas):
            replica = self.replicas[identity]
            if replica.queue:
                found.append(Action("save", identity))
            if self.budget.restarts:
                found.append(Action("restart", identity))
            if self.budget.wipes:
                found.append(Action("wipe", identity))
            if self.budget.stands and self._may_stand(replica):
                found.append(Action("stand", identity))
            if replica.consensus.role == LEADER:
                found += self._leader_actions(identity, replica)
            if self.budget.compactions and replica.consensus.commit > replica.consensus.base_index:
                found.append(Action("compact", identity))
        return found

    def _may_stand(self, replica):
        consensus = replica.consensus
        return identity_in(consensus) and not consensus.removed

    def _leader_actions(self, identity, replica):
        consensus = replica.consensus
        found = []
        if self.budget.proposals:
            found.append(Action("propose", identity))
        if self.budget.beats:
            found.append(Action("beat", identity))
        if consensus.serving() and consensus.membership.coming is None:
            if consensus.membership_index <= consensus.commit and self.budget.changes:
                found += [Action("change", identity, change) for change in self._changes(consensus)]
        members = consensus.membership.members()
        if self.budget.handovers and consensus.handover is None:
            found += [Action("hand over", identity, one) for one in sorted(members) if one != identity]
        for other in sorted(self.replicas):
            if self.budget.changes and other not in members and other not in consensus.learners:
                found.append(Action("learn", identity, other))
        return found

    def _changes(self, consensus):
        """The lists of members that a leader may go on to: one replaced, one added, one removed."""
        members = consensus.membership.members()
        lists = []
        for newcomer in sorted(consensus.learners):
            if newcomer not in self.replicas or not consensus.caught_up(newcomer):
                continue
            zone = consensus.learners[newcomer]
            for leaver in sorted(members):
                rest = {one: place for one, place in members.items() if one != leaver}
                lists.append({**rest, newcomer: zone})
            lists.append({**members, newcomer: zone})
        if len(members) > 3:
            for leaver in sorted(members):
                lists.append({one: place for one, place in members.items() if one != leaver})
        return [tuple(sorted(one.items())) for one in lists]

    def step(self, action):
        """The world after a step; Violation when that breaks an invariant."""
        after = type(self).__new__(type(self))
        after.__dict__.update(self.__dict__)
        after.replicas = dict(self.replicas)
        after.kinds[action.kind](after, action)
        after._forget_stale()
        return after

    def _spend(self, kind):
        self.budget = self.budget._replace(**{kind: getattr(self.budget, kind) - 1})

    def _touch(self, identity):
        replica = self.replicas[identity] = self.replicas[identity].copy()
        return replica

    def _deliver(self, action):
        self.messages -= {action.subject}
        self._take(action.subject)

    def describe(self, action):
        """An action in words."""
        if action.kind in ("deliver", "repeat", "lose"):
            model_message = self.post.messages[action.subject]
            return f"{action.kind} {model_message.sender}->{model_message.receiver} {model_message.message}"
        return f"{action.kind} {action.subject}" + ("" if action.detail is None else f" {action.detail}")

    def _lose(self, action):
        self.messages -= {action.subject}

    def _repeat(self, action):
        self._spend("repeats")
        self._take(action.subject)

    def _take(self, number):
        model_message = self.post.messages[number]
        replica = self._touch(model_message.receiver)
        self._forget_times(replica)
        effects = replica.consensus.step(
            model_message.sender, model_message.message, self.now(model_message.receiver)
        )
        self._carry_out(replica, effects)

    def _save(self, action):
        replica = self._touch(action.subject)
        self._complete(replica)

    def _complete(self, replica):
        write = replica.complete()
        self.logs = {**self.logs, replica.identity: replica.stored()}
        if write.sequence is not None:
            self._carry_out(replica, replica.consensus.saved(write.sequence, self.now(replica.identity)))

    def _restart(self, action):
        self._spend("restarts")
        self._touch(action.subject).restart()

    def _wipe(self, action):
        self._spend("wipes")
        identity = action.subject
        former = self.replicas.pop(identity)
        newcomer = identity + "'"
        self.replicas[newcomer] = Replica(newcomer, former.zone, {}, former.mode, former.draw)
        self.wiped |= {identity}
        self.logs = {one: log for one, log in self.logs.items() if one != identity}
        self.logs[newcomer] = self.replicas[newcomer].stored()
        self.messages = frozenset(
            one for one in self.messages if self.post.messages[one].receiver != identity
        )

    def _stand(self, action):
        """Stands without a pre-vote, which only holds elections back."""
        self._spend("stands")
        replica = self._touch(action.subject)
        self._forget_times(replica)
        consensus, now = replica.consensus, self.now(action.subject)
        if consensus.role == LEADER:
            consensus.follow(consensus.term, now, "commit quorum not heard")
        election.campaign(consensus, CANDIDATE, now)
        self._carry_out(replica, consensus.done(now))

    def _propose(self, action):
        self._spend("proposals")
        replica = self._touch(action.subject)
        operation = ("put", f"{action.subject}{self.budget.proposals}")
        _, effects = replica.consensus.propose([operation], 0.0, self.now(action.subject))
        self._carry_out(replica, effects)

    def _change(self, action):
        self._spend("changes")
        replica = self._touch(action.subject)
        result = replica.consensus.change_members(dict(action.detail), 0.0, self.now(action.subject))
        if result is not None:
            self._carry_out(replica, result[1])

    def _hand_over(self, action):
        self._spend("handovers")
        replica = self._touch(action.subject)
        effects = replica.consensus.transfer_leadership({action.detail}, self.now(action.subject))
        self._carry_out(replica, effects)

    def _learn(self, action):
        replica = self._touch(action.subject)
        consensus, now = replica.consensus, self.now(action.subject)
        consensus.learn(action.detail, self.replicas[action.detail].zone, now)
        replication.replicate(consensus, action.detail, now, heartbeat=True)
        self._carry_out(replica, consensus.done(now))

    def _beat(self, action):
        """Sends anew whatever is not acknowledged."""
        self._spend("beats")
        replica = self._touch(action.subject)
        self._forget_times(replica)
        consensus, now = replica.consensus, self.now(action.subject)
        for follower in consensus.followers.values():
            follower.sent_at = now - 2 * constants.APPEND_RESEND
        replication.broadcast(consensus, now)
        self._carry_out(replica, consensus.done(now))

    def _compact(self, action):
        self._spend("compactions")
        replica = self._touch(action.subject)
        consensus = replica.consensus
        payload = consensus.compact(consensus.commit, b"record")
        self._carry_out(replica, [SaveBase(None, payload)])

    # --- effects ----------------------------------------------------------------------
    def _carry_out(self, replica, effects):
        for effect in effects:
            match effect:
                case SendMessage(receiver, message):
                    self._post(replica.identity, receiver, message)
                case SaveChange(sequence, change):
                    replica.queue += (Write(False, sequence, change),)
                case SaveBase(sequence, payload):
                    replica.queue += (Write(True, sequence, payload),)
                case CommitEntries(first, entries):
                    self._commit(replica, first, entries)
                case InstallSnapshot():
                    self._install(replica)
                case BecomeLeader():
                    self._lead(replica)
        self._forget_times(replica)
        if replica.queue and not self.slow_disks:
            self._complete(replica)

    def _post(self, sender, receiver, message):
        if type(message) in self.ignored or receiver not in self.replicas:
            return
        self.messages |= {self.post.number(sender, receiver, self._posted(message))}

    def _posted(self, message):
        """A message without the number of its beat, which only leases and reads need."""
        if isinstance(message, (AppendEntries, AppendReply, SnapshotChunk, ChunkReply)):
            return message._replace(heartbeat=0)
        return message

    def _forget_stale(self):
        """Drops answers of terms that their receiver has, durably, left behind."""
        kept = [number for number in self.messages if not self._stale(self.post.messages[number])]
        if len(kept) < len(self.messages):
            self.messages = frozenset(kept)

    def _stale(self, model_message):
        message = model_message.message
        return type(message) in STALE_ANSWERS and message.term < self.logs[model_message.receiver].term

    # --- what was promised ------------------------------------------------------------
    def _commit(self, replica, first, entries):
        for place, entry in enumerate(entries):
            index, found = first + place, invariants.entry_key(entry)
            if index <= len(self.committed):
                if self.committed[index - 1] != found:
                    raise Violation(f"{replica.identity} commits {found} at {index}, others another entry")
                continue
            if index != len(self.committed) + 1:
                raise Violation(f"{replica.identity} commits {index} before what precedes it")
            self.committed += (found,)
            if replica.consensus.role == LEADER and entry[2][0] == "members":
                logs = list(self.logs.values())
                invariants.check_commit_of_members(logs, frozen(entry[2][1]), self.committed)

    def _install(self, replica):
        index, term = replica.consensus.base_index, replica.consensus.base_term
        if index > len(self.committed) or self.committed[index - 1][0] != term:
            raise Violation(f"{replica.identity} installs a snapshot of {index} that is not committed")

    def _lead(self, replica):
        consensus = replica.consensus
        for term, leader in self.leaders:
            if term == consensus.term:
                raise Violation(f"{leader} and {replica.identity} both lead term {term}")
        self.leaders = tuple(sorted((*self.leaders, (consensus.term, replica.identity))))
        if self.committed:
            index, (term, _) = len(self.committed), self.committed[-1]
            if term < consensus.term and not invariants.holds(consensus, index, term):
                raise Violation(f"{replica.identity} leads term {consensus.term} without entry {index}")

    def check(self, before):
        """Invariants of a whole state; `before` is the world that this one came from."""
        if self.logs is not before.logs or self.committed is not before.committed:
            invariants.check_electable(list(self.logs.values()), self.committed)
        for identity, replica in self.replicas.items():
            former = before.replicas.get(identity)
            if former is replica or former is None:
                continue
            self._check_memberships(former.consensus, replica.consensus)
            self._check_durable(replica)

    def _check_memberships(self, former, latter):
        if latter.role == LEADER and former.role == LEADER and former.membership != latter.membership:
            invariants.check_change(frozen(former.membership.image()), frozen(latter.membership.image()))

    def _check_durable(self, replica):
        """What a replica counts as durable is on its disk."""
        consensus, disk = replica.consensus, self.logs[replica.identity]
        index = min(consensus.durable, consensus.last_index())
        if consensus.durable > consensus.last_index():
            raise Violation(f"{replica.identity} counts entries it does not hold as durable")
        term = consensus.term_at(index)
        if index > disk.base_index and term is not None and disk.term_at(index) != term:
            raise Violation(f"{replica.identity} counts entry {index} as durable, its disk lacks it")


# The registry of steps: kind of action -> what it does to a world.
ModelState.kinds = {
    "deliver": ModelState._deliver,
    "lose": ModelState._lose,
    "repeat": ModelState._repeat,
    "save": ModelState._save,
    "restart": ModelState._restart,
    "wipe": ModelState._wipe,
    "stand": ModelState._stand,
    "propose": ModelState._propose,
    "change": ModelState._change,
    "hand over": ModelState._hand_over,
    "learn": ModelState._learn,
    "beat": ModelState._beat,
    "compact": ModelState._compact,
}
