"""A state of a model: replicas, messages under way, and what was committed so far.

A state is never changed once it is made: a step copies the one replica it acts on. Time is
left out: every time-out may pass at any moment, and a message may arrive at any later one,
in any order, or never. Safety must not rest on either.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any, Self

from ...common.effects import SaveChange
from ...consensus import election, replication
from ...consensus.effects import (
    BecomeLeader,
    CommitEntries,
    Effect,
    InstallSnapshot,
    SaveBase,
    SendMessage,
)
from ...consensus.log import Entry
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
from ...consensus.replica import Consensus
from ...consensus.roles import CANDIDATE, LEADER
from . import invariants
from .actions import Action
from .archive import SEGMENT_EVERY, ModelArchive, content_of, span_of
from .invariants import Violation
from .post import Post, PostedMessage
from .replica import SHORTEST, Replica, Write, frozen, identity_in

if TYPE_CHECKING:
    from .model import Fleet

NOW = 1000.0  # seconds; the one reading of every clock
STALE_ANSWERS = (VoteReply, AppendReply, ChunkReply)  # answers that mean nothing in a later term


class ModelState:
    """A state without time.

    Invariants: `leaders` names at most one leader a term; `committed[i]` is what every
    replica has, or will have, at index i + 1; messages wait only for daemons that are there.
    """

    kinds: dict[str, Callable[[Any, Action], None]] = {}  # below
    ignored: tuple[type[Any], ...] = (
        NewerTerm,
        RemovedNotice,
        PreVoteReply,
    )  # messages that only make elections faster

    def __init__(self, fleet: Fleet) -> None:
        self.post = Post()
        self.replicas: dict[str, Replica] = {}
        for identity, zone in fleet.members.items():
            draw = fleet.draws.get(identity, SHORTEST)
            members = dict(fleet.members)
            self.replicas[identity] = Replica(identity, zone, members, fleet.mode, draw, fleet.segments)
        for identity, zone in fleet.spares.items():
            draw = fleet.draws.get(identity, SHORTEST)
            self.replicas[identity] = Replica(identity, zone, {}, fleet.mode, draw, fleet.segments)
        self.messages: frozenset[int] = frozenset()
        self.budget: Any = fleet.budget  # a Budget or TimedBudget
        self.slow_disks = fleet.slow_disks
        self.committed: invariants.Committed = ()
        self.leaders: tuple[tuple[int, str], ...] = ()  # (term, identity)
        self.wiped: frozenset[str] = frozenset()
        self.logs: dict[str, Consensus] = {}  # identity -> its disk, decoded
        for identity, replica in self.replicas.items():
            self.logs[identity] = replica.stored()

    def key(self) -> int:
        """A fingerprint: states with equal keys have the same future."""
        replicas = tuple(self.replicas[one].key() for one in sorted(self.replicas))
        return hash((replicas, self.messages, self.budget, self.committed, self.leaders, self.wiped))

    def now(self, identity: str) -> float:
        """The steady clock of a daemon."""
        return NOW

    def _forget_times(self, replica: Replica) -> None:
        """Takes time out of a replica's state."""
        replica.forget_times(NOW)

    # --- steps ------------------------------------------------------------------------
    def actions(self) -> list[Action]:
        """Every step that may be taken here, in an order that is always the same."""
        found = [Action("deliver", posted) for posted in sorted(self.messages)]
        if self.budget.repeats:
            found += [Action("repeat", posted) for posted in sorted(self.messages)]
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
            if self.budget.compactions and replica.consensus.applied_index > replica.consensus.base_index:
                found.append(Action("compact", identity))
        return found

    def _may_stand(self, replica: Replica) -> bool:
        consensus = replica.consensus
        return identity_in(consensus) and not consensus.removed

    def _leader_actions(self, identity: str, replica: Replica) -> list[Action]:
        consensus = replica.consensus
        found = []
        if self.budget.proposals:
            found.append(Action("propose", identity))
        if self.budget.heartbeats:
            found.append(Action("heartbeat", identity))
        if consensus.serving() and consensus.membership.coming is None:
            if consensus.membership_index <= consensus.applied_index and self.budget.changes:
                found += [Action("change", identity, change) for change in self._changes(consensus)]
        members = consensus.membership.members()
        if self.budget.handovers and consensus.pending_transfer is None:
            found += [Action("hand over", identity, one) for one in sorted(members) if one != identity]
        for other in sorted(self.replicas):
            if self.budget.changes and other not in members and other not in consensus.learners:
                found.append(Action("learn", identity, other))
        return found

    def _changes(self, consensus: Consensus) -> list[tuple[tuple[str, str], ...]]:
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

    def step(self, action: Action) -> Self:
        """The state after a step; Violation when that breaks an invariant."""
        after = type(self).__new__(type(self))
        after.__dict__.update(self.__dict__)
        after.replicas = dict(self.replicas)
        after.kinds[action.kind](after, action)
        after._forget_stale()
        return after

    def _spend(self, kind: str) -> None:
        self.budget = self.budget._replace(**{kind: getattr(self.budget, kind) - 1})

    def _touch(self, identity: str) -> Replica:
        replica = self.replicas[identity] = self.replicas[identity].copy()
        return replica

    def _deliver(self, action: Action) -> None:
        self.messages -= {action.subject}
        self._take(action.subject)

    def describe(self, action: Action) -> str:
        """An action in words."""
        if action.kind in ("deliver", "repeat", "lose"):
            posted = self.post.messages[action.subject]
            return f"{action.kind} {posted.sender}->{posted.receiver} {posted.message}"
        return f"{action.kind} {action.subject}" + ("" if action.detail is None else f" {action.detail}")

    def _lose(self, action: Action) -> None:
        self.messages -= {action.subject}

    def _repeat(self, action: Action) -> None:
        self._spend("repeats")
        self._take(action.subject)

    def _take(self, number: int) -> None:
        posted = self.post.messages[number]
        replica = self._touch(posted.receiver)
        self._forget_times(replica)
        effects = replica.consensus.step(posted.sender, posted.message, self.now(posted.receiver))
        self._apply_effects(replica, effects)

    def _save(self, action: Action) -> None:
        replica = self._touch(action.subject)
        self._complete(replica)

    def _complete(self, replica: Replica) -> None:
        write = replica.complete()
        self.logs = {**self.logs, replica.identity: replica.stored()}
        if write.sequence is not None:
            self._apply_effects(replica, replica.consensus.saved(write.sequence, self.now(replica.identity)))

    def _restart(self, action: Action) -> None:
        self._spend("restarts")
        self._touch(action.subject).restart()

    def _wipe(self, action: Action) -> None:
        self._spend("wipes")
        identity = action.subject
        former = self.replicas.pop(identity)
        newcomer = identity + "'"
        self.replicas[newcomer] = Replica(
            newcomer, former.zone, {}, former.mode, former.draw, former.archived
        )
        self.wiped |= {identity}
        self.logs = {one: log for one, log in self.logs.items() if one != identity}
        self.logs[newcomer] = self.replicas[newcomer].stored()
        self.messages = frozenset(
            one for one in self.messages if self.post.messages[one].receiver != identity
        )

    def _stand(self, action: Action) -> None:
        """Stands without a pre-vote, which only holds elections back."""
        self._spend("stands")
        replica = self._touch(action.subject)
        self._forget_times(replica)
        consensus, now = replica.consensus, self.now(action.subject)
        if consensus.role == LEADER:
            consensus.become_follower(consensus.term, now, "commit quorum not heard")
        election.campaign(consensus, CANDIDATE, now)
        self._apply_effects(replica, consensus.take_effects(now))

    def _propose(self, action: Action) -> None:
        self._spend("proposals")
        replica = self._touch(action.subject)
        operation = ("put", f"{action.subject}{self.budget.proposals}")
        proposed = replica.consensus.propose([operation], 0.0, self.now(action.subject))
        assert proposed is not None
        self._apply_effects(replica, proposed[1])

    def _change(self, action: Action) -> None:
        self._spend("changes")
        replica = self._touch(action.subject)
        result = replica.consensus.change_members(dict(action.detail), 0.0, self.now(action.subject))
        if result is not None:
            self._apply_effects(replica, result[1])

    def _transfer_leadership(self, action: Action) -> None:
        self._spend("handovers")
        replica = self._touch(action.subject)
        effects = replica.consensus.transfer_leadership({action.detail}, self.now(action.subject))
        self._apply_effects(replica, effects)

    def _learn(self, action: Action) -> None:
        replica = self._touch(action.subject)
        consensus, now = replica.consensus, self.now(action.subject)
        consensus.add_learner(action.detail, self.replicas[action.detail].zone, now)
        replication.replicate(consensus, action.detail, now, heartbeat=True)
        self._apply_effects(replica, consensus.take_effects(now))

    def _heartbeat(self, action: Action) -> None:
        """Sends anew whatever is not acknowledged."""
        self._spend("heartbeats")
        replica = self._touch(action.subject)
        self._forget_times(replica)
        consensus, now = replica.consensus, self.now(action.subject)
        replication.broadcast(consensus, now)
        self._apply_effects(replica, consensus.take_effects(now))

    def _compact(self, action: Action) -> None:
        self._spend("compactions")
        replica = self._touch(action.subject)
        consensus = replica.consensus
        segments = replica.archive.span() if replica.archived else (1, 0)
        payload = consensus.compact(consensus.applied_index, b"record", segments)
        if replica.archived:
            replica.archive.forget_retired(before=segments[0])
        self._apply_effects(replica, [SaveBase(None, payload)])

    # --- effects ----------------------------------------------------------------------
    def _apply_effects(self, replica: Replica, effects: Iterable[Effect]) -> None:
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
                case InstallSnapshot(_, _, segments):
                    self._install(replica, segments)
                case BecomeLeader():
                    self._become_leader(replica)
        self._forget_times(replica)
        if replica.queue and not self.slow_disks:
            self._complete(replica)

    def _post(self, sender: str, receiver: str, message: Any) -> None:
        if type(message) in self.ignored or receiver not in self.replicas:
            return
        self.messages |= {self.post.number(sender, receiver, self._posted(message))}

    def _posted(self, message: Any) -> Any:
        """A message without the number of its heartbeat, which only leases and reads need."""
        if isinstance(message, (AppendEntries, AppendReply, SnapshotChunk, ChunkReply)):
            return message._replace(heartbeat=0)
        return message

    def _forget_stale(self) -> None:
        """Drops answers of terms that their receiver has, durably, left behind."""
        kept = [number for number in self.messages if not self._stale(self.post.messages[number])]
        if len(kept) < len(self.messages):
            self.messages = frozenset(kept)

    def _stale(self, posted: PostedMessage) -> bool:
        message: Any = posted.message
        return type(message) in STALE_ANSWERS and message.term < self.logs[posted.receiver].term

    # --- what must hold ---------------------------------------------------------------
    def _commit(self, replica: Replica, first: int, entries: Sequence[Entry]) -> None:
        for place, entry in enumerate(entries):
            index, found = first + place, invariants.entry_key(entry)
            if index <= len(self.committed):
                if self.committed[index - 1] != found:
                    raise Violation(f"{replica.identity} commits {found} at {index}, others another entry")
                if replica.archived:
                    self._seal(replica, index)
                continue
            if index != len(self.committed) + 1:
                raise Violation(f"{replica.identity} commits {index} before what precedes it")
            self.committed += (found,)
            invariants.check_effects(self.committed)
            if replica.archived:
                self._seal(replica, index)
            if replica.consensus.role == LEADER and entry[2][0] == "members":
                logs = list(self.logs.values())
                invariants.check_commit_of_members(logs, frozen(entry[2][1]), self.committed)

    def _install(self, replica: Replica, segments: dict[int, bytes]) -> None:
        index, term = replica.consensus.base_index, replica.consensus.base_term
        if index > len(self.committed) or self.committed[index - 1][0] != term:
            raise Violation(f"{replica.identity} installs a snapshot of {index} that is not committed")
        if replica.archived:
            self._install_segments(replica, segments)

    def _install_segments(self, replica: Replica, sent: dict[int, bytes]) -> None:
        """Takes the archive of a snapshot: what was sent, and what the replica stored already."""
        span = replica.consensus.base_segments
        found = {number: sent.get(number) or replica.archive.segment(number) for number in span_of(span)}
        for number, data in found.items():
            if data is None:
                raise Violation(f"{replica.identity} installs a snapshot without segment {number}")
            if data != content_of(number, self.committed[number * SEGMENT_EVERY - 1]):
                raise Violation(f"{replica.identity} installs another segment {number} than was sealed")
        replica.disk_segments.update(sent)
        kept = {number: data for number, data in found.items() if data is not None}
        replica.consensus.archive = ModelArchive(kept, span[1])

    def _seal(self, replica: Replica, index: int) -> None:
        """Applies a committed entry to the archive; a segment is durable before any later base."""
        number = replica.archive.apply(index, self.committed[index - 1])
        if number is not None:
            replica.disk_segments[number] = replica.archive.segments[number]

    def _become_leader(self, replica: Replica) -> None:
        consensus = replica.consensus
        for term, leader in self.leaders:
            if term == consensus.term:
                raise Violation(f"{leader} and {replica.identity} both lead term {term}")
        self.leaders = tuple(sorted((*self.leaders, (consensus.term, replica.identity))))
        if self.committed:
            index, (term, _) = len(self.committed), self.committed[-1]
            if term < consensus.term and not invariants.holds(consensus, index, term):
                raise Violation(f"{replica.identity} leads term {consensus.term} without entry {index}")

    def check(self, before: ModelState) -> None:
        """Invariants of a whole state; `before` is the state that this one came from."""
        if self.logs is not before.logs or self.committed is not before.committed:
            invariants.check_electable(list(self.logs.values()), self.committed)
        for identity, replica in self.replicas.items():
            former = before.replicas.get(identity)
            if former is replica or former is None:
                continue
            self._check_memberships(former.consensus, replica.consensus)
            self._check_durable(replica)

    def _check_memberships(self, former: Consensus, latter: Consensus) -> None:
        if latter.role == LEADER and former.role == LEADER and former.membership != latter.membership:
            invariants.check_change(frozen(former.membership.image()), frozen(latter.membership.image()))

    def _check_durable(self, replica: Replica) -> None:
        """What a replica counts as durable is on its disk."""
        consensus, disk = replica.consensus, self.logs[replica.identity]
        index = min(consensus.durable_index, consensus.last_index())
        if consensus.durable_index > consensus.last_index():
            raise Violation(f"{replica.identity} counts entries it does not hold as durable")
        term = consensus.term_at(index)
        if index > disk.base_index and term is not None and disk.term_at(index) != term:
            raise Violation(f"{replica.identity} counts entry {index} as durable, its disk lacks it")


# The registry of steps: kind of action -> what it does to a state.
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
    "hand over": ModelState._transfer_leadership,
    "learn": ModelState._learn,
    "heartbeat": ModelState._heartbeat,
    "compact": ModelState._compact,
}
