"""A replica of FlexiRaft as a decider: (message, now) in, effects out, no I/O.

`Consensus` holds the state, the clocks and the roles. What is done with it is in modules of its own:
`election`, `leadership_transfer`, `replication`, `acknowledgements` and `commitment` (the leader's),
`following` (a follower's), `snapshot_sender` and `snapshot_receiver`, `reads` (and the lease),
`membership_change`, `snapshot_base` and `log_changes`; `handlers` says which takes which message. Who
decides is in `quorum`.
"""

import random
from collections.abc import Iterable
from typing import Any

from ..common import constants
from ..common.effects import SaveChange
from ..common.limits import USUAL, Limits
from . import (
    commitment,
    election,
    leadership_transfer,
    log_changes,
    membership_change,
    messages,
    reads,
    replication,
    snapshot_base,
)
from .effects import Effect, LogEvent, SendMessage, StepDown
from .follower import Follower
from .handlers import HANDLERS, REPLIES
from .log import Entry, Log, Operation
from .pending_save import PendingSave
from .quorum import Membership, Quorum, Reply
from .roles import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE
from .snapshot_sender import Archive
from .snapshot_transfer import IncomingSnapshot

LONG_AGO = -1e9  # seconds; before any reading of a steady clock


class Consensus:
    """One control daemon's replica of the log.

    Every input takes `now`, seconds of the daemon's steady clock, and returns the effects in their order.
    SaveChange and SaveBase are answered by `saved`.

    Invariants: term never falls; at most one vote a term, in history[term], durable before
    it is told; commit <= committed <= last index; durable <= last
    index and all up to it is on disk; history holds no term <= leader_term, since any
    candidate starts Algorithm 1 at the newest leader told with the histories, and this
    one's is told along; membership is that of the newest members entry in the log or base.
    """

    def __init__(
        self,
        identity: str,
        seed: object,
        members: dict[str, str] | None = None,
        mode: str = "static",
        limits: Limits = USUAL,
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.random = random.Random(f"{identity}-{seed}")
        self._init_hard_state()
        self._init_log(Membership(Quorum(dict(members or {}), mode)))
        self._init_persistence()
        self._init_elections()
        self._init_leadership()
        self.effects: list[Effect] = []
        self.archive: Archive | None = None  # the cluster state's
        self.incoming_snapshot: IncomingSnapshot | None = None

    def _init_hard_state(self) -> None:
        self.term = 0
        self.history: dict[int, str] = {}  # term -> whom it voted for
        self.last_known_leader: str | None = None  # the last leader known, of last_known_term (known_leader)
        self.last_known_term = 0

    def _init_log(self, membership: Membership) -> None:
        self.log = Log()
        self.base_index, self.base_term = 0, 0
        self.base_image: bytes | None = None
        self.base_segments = (1, 0)  # (first, last) of the archive that the base stands on
        self.base_membership = membership
        self.membership, self.membership_index = membership, 0
        self.commit = 0
        self.committed = 0  # the newest entry known to be committed: commit follows it in slices

    def _init_persistence(self) -> None:
        self.sequence = self.saved_sequence = 0  # of the newest save begun, and of the newest durable one
        self.hard_state_sequence = 0  # of the newest save with hard state
        self.durable_index = 0
        self.saving: list[PendingSave] = []
        self.deferred: list[tuple[int, SendMessage]] = []  # (sequence, effect) waiting for a save
        self.hard_state_dirty = False
        self.truncate_from: int | None = None  # the first index that the next save drops
        self.dirty_from: int | None = None  # the first index that the next save writes

    def _init_elections(self) -> None:
        self.role = FOLLOWER
        self.following: str | None = None  # the leader of this term as heard
        self.newest_heard_term = 0  # of the newest leader heard in this incarnation
        self.replies: dict[str, Reply] = {}
        self.leader_heard_at = LONG_AGO
        self.begun_at: float | None = None  # when this incarnation began, after any earlier one had ended
        self.election_at: float | None = None  # None before the first input
        self.next_vote_request_at = LONG_AGO  # when votes are asked for again
        self.disk_cooldown_until = LONG_AGO
        self.removed = False  # whether a member said that this replica is none
        self.inherited_learners: dict[str, str] = {}  # those of the leader that handed over: identity -> zone
        self.released_term = 0  # the term whose leader gave its lease up in favour of this candidate

    def _init_leadership(self) -> None:
        self.followers: dict[str, Follower] = {}
        self.learners: dict[str, str] = {}  # identity -> zone
        self.handover: leadership_transfer.PendingTransfer | None = None  # under way while leading
        self.heartbeat_number = 0  # the number of the newest heartbeat
        self.heartbeat_sent_at = LONG_AGO
        self.heartbeat_times: dict[int, float] = {}  # number -> when sent, newest LEADER_HEARTBEATS_KEPT
        self.read_round: reads.ReadRound | None = None
        self.confirming_reads: list[Any] = []  # tokens of the reads that `round` confirms
        self.queued_reads: list[Any] = []

    # --- the log ----------------------------------------------------------------------
    @property
    def first(self) -> int:
        """The index of the oldest entry that is held."""
        return self.log.first

    @property
    def entries(self) -> list[Entry]:
        """The entries that are held, oldest first."""
        return self.log.entries

    def last_index(self) -> int:
        """The index of the newest entry."""
        return max(self.base_index, self.log.last())

    def entry(self, index: int) -> Entry:
        """An entry that is held."""
        return self.log.entries[index - self.log.first]

    def term_at(self, index: int) -> int | None:
        """The term of an entry, None where it is no longer or not yet held."""
        if index == 0:
            return 0
        position = index - self.log.first
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position][0]
        if index == self.base_index:
            return self.base_term
        return None

    # --- state from and to disk -------------------------------------------------------
    def restore(self, base: list[Any] | None, changes: Iterable[Any]) -> None:
        """Takes what the store held: the payload of a base, and the changes saved after it."""
        snapshot_base.restore(self, base, changes)

    def bootstrap_base(self) -> list[Any]:
        """The payload of the first base: no entries, the bootstrap members."""
        return snapshot_base.bootstrap_payload(self)

    def base_payload(self) -> list[Any]:
        """All that a base must hold."""
        return snapshot_base.payload(self)

    def compact(self, index: int, image: bytes, segments: tuple[int, int] = (1, 0)) -> list[Any]:
        """Takes `image`, which stands on `segments` (first, last) of the archive, as the cluster state up
        to `index`; the payload of the new base.
        """
        return snapshot_base.compact(self, index, image, segments)

    def saved(self, sequence: int, now: float) -> list[Effect]:
        """Hears that saves up to `sequence` are durable."""
        self.saved_sequence = max(self.saved_sequence, sequence)
        while self.saving and self.saving[0].sequence <= sequence:
            self.durable_index = max(self.durable_index, self.saving.pop(0).last_index)
        ready = [effect for need, effect in self.deferred if need <= sequence]
        self.deferred = [(need, effect) for need, effect in self.deferred if need > sequence]
        self.effects.extend(ready)
        if self.role == LEADER:
            commitment.advance(self, now)
            if self.handover is not None:
                leadership_transfer.try_complete(self, now)
        elif self.role == CANDIDATE:
            election.count_votes(self, now)
        return self.take_effects(now)

    # --- effects ----------------------------------------------------------------------
    def send(self, receiver: str, message: messages.Message, after: int = 0) -> None:
        """Sends a message once the save of that sequence is durable."""
        effect = SendMessage(receiver, message)
        if after > self.saved_sequence:
            self.deferred.append((after, effect))
        else:
            self.effects.append(effect)

    def flush_sequence(self) -> int:
        """The sequence that the save of what is dirty now will get."""
        dirty = self.hard_state_dirty or self.truncate_from is not None or self.dirty_from is not None
        return self.sequence + 1 if dirty else self.sequence

    def hard_state_save_sequence(self) -> int:
        """The sequence of the save that makes the present hard state durable."""
        return self.flush_sequence() if self.hard_state_dirty else self.hard_state_sequence

    def _flush(self, now: float) -> None:
        if self.hard_state_dirty or self.truncate_from is not None or self.dirty_from is not None:
            self.sequence += 1
            start = self.dirty_from
            new_entries = [] if start is None else self.log.entries[start - self.first :]
            hard = snapshot_base.hard_state(self) if self.hard_state_dirty else None
            change = [hard, self.truncate_from, start, new_entries]
            if self.hard_state_dirty:
                self.hard_state_sequence = self.sequence
            self.hard_state_dirty, self.truncate_from, self.dirty_from = False, None, None
            self.saving.append(PendingSave(self.sequence, self.last_index(), now))
            self.effects.append(SaveChange(self.sequence, change))

    def take_effects(self, now: float) -> list[Effect]:
        """Ends an input: saves what is dirty, and hands the effects over."""
        self._flush(now)
        effects, self.effects = self.effects, []
        return effects

    def event(self, number: int, **fields: Any) -> None:
        """Writes a numbered event, with the term."""
        self.effects.append(LogEvent(number, {"term": self.term, **fields}))

    # --- time -------------------------------------------------------------------------
    def tick(self, now: float) -> list[Effect]:
        """Lets time pass: heartbeats, time-outs, stalled disks, the next slice of a backlog."""
        self._begin_incarnation(now)
        assert self.election_at is not None
        if self.commit < self.committed:
            commitment.deliver_slice(self, now)
        stalled = bool(self.saving) and now - self.saving[0].begun_at > constants.DISK_STALL
        if stalled:
            self.disk_cooldown_until = now + constants.DISK_COOL_DOWN
        if self.role == LEADER:
            self._tick_leader(stalled, now)
        elif self.role != FOLLOWER and self.next_vote_request_at <= now < self.election_at:
            election.request_votes(self, now)
        elif now >= self.election_at:
            if self.may_campaign(now):
                election.campaign(self, PRE_CANDIDATE, now)
            else:
                self.reset_election_timer(now)
        return self.take_effects(now)

    def _tick_leader(self, stalled: bool, now: float) -> None:
        """Steps down where it must, else sends heartbeats. Check-quorum asks for a commit quorum."""
        heard_from = {
            identity
            for identity, follower in self.followers.items()
            if now - follower.heard_at <= constants.CHECK_QUORUM
        } | {self.identity}
        if stalled:
            self.event(125)
            self.become_follower(self.term, now, "disk stalled")
        elif self.handover is not None and now >= self.handover.until:
            self.become_follower(self.term, now, "stopping")
        elif not self.membership.commits(heard_from, self.identity):
            self.become_follower(self.term, now, "commit quorum not heard")
        elif now - self.heartbeat_sent_at >= constants.HEARTBEAT:
            replication.broadcast(self, now)

    def _begin_incarnation(self, now: float) -> None:
        """At the first input of this incarnation: what an earlier one acknowledged may still carry a
        leader's lease, so no vote is given, and none asked for, before that is over, also by that leader's
        slower clock.
        """
        if self.election_at is not None:
            return
        since = now if self.begun_at is None else min(now, self.begun_at)
        lease_over = since + constants.LEADER_LEASE * constants.LEASE_STRETCH
        self.leader_heard_at = max(self.leader_heard_at, lease_over - constants.ELECTION_TIMEOUT)
        self.reset_election_timer(now)
        if self.last_index() > 0:
            self.election_at = max(now, lease_over) + constants.RESTART_JITTER * self.random.random()

    def disk_failed(self, now: float) -> list[Effect]:
        """A disk that refuses to write is no leader's."""
        self.disk_cooldown_until = now + constants.DISK_COOL_DOWN
        if self.role != FOLLOWER:
            self.become_follower(self.term, now, "disk refuses to write")
        return self.take_effects(now)

    # --- roles ------------------------------------------------------------------------
    def reset_election_timer(self, now: float) -> None:
        """Puts the next election off by a time-out with jitter."""
        factor = 1 + self.random.random() * constants.ELECTION_JITTER
        self.election_at = now + constants.ELECTION_TIMEOUT * factor

    def become_follower(self, term: int, now: float, reason: str) -> None:
        """Becomes a follower of `term`."""
        if term > self.term:
            self.term = term
            self.hard_state_dirty = True
            self.following = None
        if self.role == LEADER:
            self.event(123, why=reason)
            self.effects.append(StepDown(reason))
            self.following = None
            self.confirming_reads, self.queued_reads, self.read_round = [], [], None
        if self.role != FOLLOWER:
            self.reset_election_timer(now)
        self.role = FOLLOWER
        self.handover = None
        self.followers, self.learners, self.heartbeat_times = {}, {}, {}

    def may_campaign(self, now: float) -> bool:
        """Whether this replica is a voter whose disk did not fail lately."""
        member = self.identity in self.membership.members()
        return member and now >= self.disk_cooldown_until and not self.removed

    def leader_near(self, now: float) -> bool:
        """Whether a leader was heard within the time-out (then no pre-vote is granted)."""
        return self.role == LEADER or now - self.leader_heard_at < constants.ELECTION_TIMEOUT

    def serving(self) -> bool:
        """Whether an entry of the own term is committed, so that reads may be answered."""
        return self.role == LEADER and self.term_at(self.commit) == self.term

    # --- leading ----------------------------------------------------------------------
    def propose(
        self, operations: Iterable[Operation], time: float, now: float
    ) -> tuple[int, list[Effect]] | None:
        """Appends operations; (first index, effects), or None when not leading."""
        if self.role != LEADER:
            return None
        start = self.last_index() + 1
        log_changes.append(self, [(self.term, time, operation) for operation in operations], start)
        replication.replicate_all(self, now)
        return start, self.take_effects(now)

    def read(self, token: Any, now: float) -> list[Effect] | None:
        """Asks that ReadConfirmed be told for `token` once leadership is confirmed; None when not leading."""
        if self.role != LEADER:
            return None
        reads.request_read(self, token, now)
        return self.take_effects(now)

    def leased(self, now: float) -> bool:
        """Whether this leader holds its lease: no other can have been elected and have served."""
        return reads.leased(self, now)

    def lease_end(self, now: float) -> float:
        """The moment that the lease stands until as far as is known; `now` when it does not stand."""
        return reads.lease_end(self, now)

    def transfer_leadership(self, candidates: Iterable[str], now: float) -> list[Effect]:
        """Leads on until the voter among `candidates` that lacks least has all that is agreed on, then
        gives leadership up and lets that voter campaign at once; with no such voter stands down.
        """
        if self.role != LEADER:
            return []
        leadership_transfer.begin(self, set(candidates), now)
        return self.take_effects(now)

    # --- membership -------------------------------------------------------------------
    def change_members(
        self, members: dict[str, str], time: float, now: float
    ) -> tuple[int, list[Effect]] | None:
        """Begins a joint change to `members` (identity -> zone); None when one is under way or there is no
        own commit yet.
        """
        return membership_change.begin(self, members, time, now)

    def changing(self) -> bool:
        """Whether a change of members is under way: its newest list is not yet committed alone."""
        return self.membership.coming is not None or self.membership_index > self.commit

    def learn(self, identity: str, zone: str, now: float) -> None:
        """Starts to replicate to one that is no member yet."""
        membership_change.add_learner(self, identity, zone, now)

    def forget_learner(self, identity: str) -> None:
        """Ends replicating to one that is no member."""
        membership_change.remove_learner(self, identity)

    def caught_up(self, identity: str) -> bool:
        """Whether a learner is close enough behind to become a voter."""
        return membership_change.caught_up(self, identity)

    # --- messages ---------------------------------------------------------------------
    def step(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Takes one message (`messages.Message`) of another replica, as `messages.decode` gives it."""
        self._begin_incarnation(now)
        kind = type(message)
        if kind in REPLIES and message.term > self.term:
            self.become_follower(message.term, now, "newer term")
        HANDLERS[kind](self, sender, message, now)
        return self.take_effects(now)
