"""A replica of FlexiRaft without I/O: inputs are (message, now), outputs are effects.

`Consensus` has the replica's state, timers and role. The protocol itself is in separate modules:

- `election` and `leadership_transfer`;
- `replication`, `acknowledgements` and `commitment` for the leader, `following` for a follower;
- `snapshot_sender`, `snapshot_receiver` and `snapshot_base`;
- `reads` (linearizable reads and the leader lease), `membership_change` and `log_changes`.

`handlers` maps each message to the function that handles it, and `quorum` computes quorums.
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

    Every input takes `now`, in seconds of the daemon's steady clock, and returns effects in the order in
    which they must be carried out. The daemon reports a finished SaveChange or SaveBase with `saved`.

    Invariants:

    - term never decreases.
    - At most one vote is cast in each term. It is in history[term] and is durable before it is sent.
    - applied_index <= commit_index <= last index.
    - durable_index <= last index, and every entry up to it is on disk.
    - history has no term <= last_known_term. A vote reply carries the last known leader along with the
      history, and a candidate starts Algorithm 1 at the newest leader in the replies, so it never needs
      older votes.
    - membership is that of the newest "members" entry in the log, or that of the base.
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
        self.archive: Archive | None = None  # the archive of the cluster state
        self.incoming_snapshot: IncomingSnapshot | None = None

    def _init_hard_state(self) -> None:
        self.term = 0
        self.history: dict[int, str] = {}  # voting history: term -> candidate that got the vote
        self.last_known_leader: str | None = None  # leader of last_known_term, see `known_leader`
        self.last_known_term = 0

    def _init_log(self, membership: Membership) -> None:
        self.log = Log()
        self.base_index, self.base_term = 0, 0
        self.base_image: bytes | None = None
        self.base_segments = (1, 0)  # (first, last) archive segments that the base needs
        self.base_membership = membership
        self.membership, self.membership_index = membership, 0
        self.applied_index = 0  # newest entry delivered in CommitEntries, or contained in the base
        self.commit_index = 0  # newest entry known to be committed; applied_index follows in slices

    def _init_persistence(self) -> None:
        self.sequence = self.saved_sequence = 0  # newest save begun, newest durable save
        self.hard_state_sequence = 0  # newest save that includes the hard state
        self.durable_index = 0
        self.pending_saves: list[PendingSave] = []
        self.deferred: list[tuple[int, SendMessage]] = []  # (save that must be durable first, effect)
        self.hard_state_dirty = False
        self.truncate_from: int | None = None  # first index that the next save drops
        self.dirty_from: int | None = None  # first index that the next save writes

    def _init_elections(self) -> None:
        self.role = FOLLOWER
        self.current_leader: str | None = None  # leader of the current term, once known
        self.newest_heard_term = 0  # term of the newest leader heard in this incarnation
        self.replies: dict[str, Reply] = {}
        self.leader_heard_at = LONG_AGO
        self.begun_at: float | None = None  # start of this incarnation; any earlier one had ended by then
        self.election_at: float | None = None  # deadline of the election timer; None before the first input
        self.next_vote_request_at = LONG_AGO  # when a campaign sends its vote requests again
        self.disk_cooldown_until = LONG_AGO
        self.removed = False  # whether a member reported that this replica was removed
        self.inherited_learners: dict[str, str] = {}  # received in a LeadershipTransfer: identity -> zone
        self.released_term = 0  # term whose leader gave up its lease in favour of this candidate, or 0

    def _init_leadership(self) -> None:
        self.followers: dict[str, Follower] = {}
        self.learners: dict[str, str] = {}  # identity -> zone
        self.pending_transfer: leadership_transfer.PendingTransfer | None = None  # transfer in progress
        self.heartbeat_number = 0  # number of the newest heartbeat sent
        self.heartbeat_sent_at = LONG_AGO
        # number -> send time, of the newest LEADER_HEARTBEATS_KEPT heartbeats
        self.heartbeat_times: dict[int, float] = {}
        self.read_round: reads.ReadRound | None = None
        self.confirming_reads: list[Any] = []  # tokens of the reads that `read_round` confirms
        self.queued_reads: list[Any] = []  # tokens of the reads that wait for the next round

    # --- the log ----------------------------------------------------------------------
    @property
    def first(self) -> int:
        """The index of the oldest entry in memory."""
        return self.log.first

    @property
    def entries(self) -> list[Entry]:
        """The entries in memory, oldest first."""
        return self.log.entries

    def last_index(self) -> int:
        """The index of the newest entry, in the log or covered by the base."""
        return max(self.base_index, self.log.last())

    def entry(self, index: int) -> Entry:
        """The entry at `index`, which must be in memory."""
        return self.log.entries[index - self.log.first]

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None if the entry was compacted or is not there yet."""
        if index == 0:
            return 0
        position = index - self.log.first
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position][0]
        if index == self.base_index:
            return self.base_term
        return None

    # --- persistence ------------------------------------------------------------------
    def restore(self, base: list[Any] | None, changes: Iterable[Any]) -> None:
        """Restores the state from the store: the payload of a base and the changes saved after it."""
        snapshot_base.restore(self, base, changes)

    def bootstrap_base(self) -> list[Any]:
        """The payload of the first base, with the bootstrap members and no entries."""
        return snapshot_base.bootstrap_payload(self)

    def base_payload(self) -> list[Any]:
        """The payload of a base with the current state."""
        return snapshot_base.payload(self)

    def compact(self, index: int, image: bytes, segments: tuple[int, int] = (1, 0)) -> list[Any]:
        """Compacts the log up to `index` into a new base and returns the payload of that base.

        `image` is the cluster state at `index`; it needs the archive segments `segments` (first, last).
        """
        return snapshot_base.compact(self, index, image, segments)

    def saved(self, sequence: int, now: float) -> list[Effect]:
        """Handles the report that all saves up to `sequence` are durable."""
        self.saved_sequence = max(self.saved_sequence, sequence)
        while self.pending_saves and self.pending_saves[0].sequence <= sequence:
            self.durable_index = max(self.durable_index, self.pending_saves.pop(0).last_index)
        ready = [effect for need, effect in self.deferred if need <= sequence]
        self.deferred = [(need, effect) for need, effect in self.deferred if need > sequence]
        self.effects.extend(ready)
        if self.role == LEADER:
            commitment.advance(self, now)
            if self.pending_transfer is not None:
                leadership_transfer.try_complete(self, now)
        elif self.role == CANDIDATE:
            election.count_votes(self, now)
        return self.take_effects(now)

    # --- effects ----------------------------------------------------------------------
    def send(self, receiver: str, message: messages.Message, after: int = 0) -> None:
        """Sends a message as soon as the save with the sequence `after` is durable."""
        effect = SendMessage(receiver, message)
        if after > self.saved_sequence:
            self.deferred.append((after, effect))
        else:
            self.effects.append(effect)

    def flush_sequence(self) -> int:
        """The sequence of the save that will make all present changes durable."""
        dirty = self.hard_state_dirty or self.truncate_from is not None or self.dirty_from is not None
        return self.sequence + 1 if dirty else self.sequence

    def hard_state_save_sequence(self) -> int:
        """The sequence of the save that makes, or made, the present hard state durable."""
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
            self.pending_saves.append(PendingSave(self.sequence, self.last_index(), now))
            self.effects.append(SaveChange(self.sequence, change))

    def take_effects(self, now: float) -> list[Effect]:
        """Ends the handling of an input: saves unsaved changes and returns the effects."""
        self._flush(now)
        effects, self.effects = self.effects, []
        return effects

    def event(self, number: int, **fields: Any) -> None:
        """Logs a numbered event together with the current term."""
        self.effects.append(LogEvent(number, {"term": self.term, **fields}))

    # --- time -------------------------------------------------------------------------
    def tick(self, now: float) -> list[Effect]:
        """Handles the passing of time: heartbeats, timeouts, a stalled disk, the next slice of a backlog."""
        self._begin_incarnation(now)
        assert self.election_at is not None
        if self.applied_index < self.commit_index:
            commitment.deliver_slice(self, now)
        stalled = bool(self.pending_saves) and now - self.pending_saves[0].begun_at > constants.DISK_STALL
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
        """Steps down if this leader must, else sends due heartbeats.

        The check-quorum rule makes a leader step down that has not heard from a commit quorum recently.
        """
        heard_from = {
            identity
            for identity, follower in self.followers.items()
            if now - follower.heard_at <= constants.CHECK_QUORUM
        } | {self.identity}
        if stalled:
            self.event(125)
            self.become_follower(self.term, now, "disk stalled")
        elif self.pending_transfer is not None and now >= self.pending_transfer.until:
            self.become_follower(self.term, now, "stopping")
        elif not self.membership.commits(heard_from, self.identity):
            self.become_follower(self.term, now, "commit quorum not heard")
        elif now - self.heartbeat_sent_at >= constants.HEARTBEAT:
            replication.broadcast(self, now)

    def _begin_incarnation(self, now: float) -> None:
        """Sets the timers at the first input of this incarnation.

        A heartbeat that an earlier incarnation acknowledged may still support a leader's lease. This replica
        therefore neither grants nor requests votes until that lease has expired, even if the leader's clock
        is slower than its own.
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
        """Stops leading or campaigning, because the disk refuses to write."""
        self.disk_cooldown_until = now + constants.DISK_COOL_DOWN
        if self.role != FOLLOWER:
            self.become_follower(self.term, now, "disk refuses to write")
        return self.take_effects(now)

    # --- roles ------------------------------------------------------------------------
    def reset_election_timer(self, now: float) -> None:
        """Restarts the election timer, with jitter."""
        factor = 1 + self.random.random() * constants.ELECTION_JITTER
        self.election_at = now + constants.ELECTION_TIMEOUT * factor

    def become_follower(self, term: int, now: float, reason: str) -> None:
        """Becomes a follower in `term`; a leader steps down with `reason`."""
        if term > self.term:
            self.term = term
            self.hard_state_dirty = True
            self.current_leader = None
        if self.role == LEADER:
            self.event(123, why=reason)
            self.effects.append(StepDown(reason))
            self.current_leader = None
            self.confirming_reads, self.queued_reads, self.read_round = [], [], None
        if self.role != FOLLOWER:
            self.reset_election_timer(now)
        self.role = FOLLOWER
        self.pending_transfer = None
        self.followers, self.learners, self.heartbeat_times = {}, {}, {}

    def may_campaign(self, now: float) -> bool:
        """Whether this replica is a voter that was not removed and whose disk had no recent failure."""
        member = self.identity in self.membership.members()
        return member and now >= self.disk_cooldown_until and not self.removed

    def leader_heard_recently(self, now: float) -> bool:
        """Whether a leader was heard within the election timeout; no pre-vote is granted then."""
        return self.role == LEADER or now - self.leader_heard_at < constants.ELECTION_TIMEOUT

    def serving(self) -> bool:
        """Whether this leader has committed an entry of its own term, which reads and changes require."""
        return self.role == LEADER and self.term_at(self.applied_index) == self.term

    # --- leading ----------------------------------------------------------------------
    def propose(
        self, operations: Iterable[Operation], time: float, now: float
    ) -> tuple[int, list[Effect]] | None:
        """Appends operations to the log; returns (first index, effects), or None if not the leader."""
        if self.role != LEADER:
            return None
        start = self.last_index() + 1
        log_changes.append(self, [(self.term, time, operation) for operation in operations], start)
        replication.replicate_all(self, now)
        return start, self.take_effects(now)

    def read(self, token: Any, now: float) -> list[Effect] | None:
        """Requests a ReadConfirmed for `token` once leadership is confirmed; None if not the leader."""
        if self.role != LEADER:
            return None
        reads.request_read(self, token, now)
        return self.take_effects(now)

    def leased(self, now: float) -> bool:
        """Whether this leader has its lease, so that no other can have been elected and have served."""
        return reads.leased(self, now)

    def lease_end(self, now: float) -> float:
        """The time at which the lease expires, as far as is known; `now` if there is no lease."""
        return reads.lease_end(self, now)

    def transfer_leadership(self, candidates: Iterable[str], now: float) -> list[Effect]:
        """Transfers leadership to the voter among `candidates` that has most of the log.

        This replica leads until that voter has the whole log and all of it is committed. Then it steps down
        and lets the voter campaign at once. If there is no such voter, it steps down immediately.
        """
        if self.role != LEADER:
            return []
        leadership_transfer.begin(self, set(candidates), now)
        return self.take_effects(now)

    # --- membership -------------------------------------------------------------------
    def change_members(
        self, members: dict[str, str], time: float, now: float
    ) -> tuple[int, list[Effect]] | None:
        """Starts a joint membership change to `members` (identity -> zone).

        Returns None if a change is in progress or no entry of this leader's term is committed yet.
        """
        return membership_change.begin(self, members, time, now)

    def membership_changing(self) -> bool:
        """Whether a membership change is in progress, until the new list alone is committed."""
        return self.membership.coming is not None or self.membership_index > self.applied_index

    def add_learner(self, identity: str, zone: str, now: float) -> None:
        """Starts to replicate to a replica that is not a member yet."""
        membership_change.add_learner(self, identity, zone, now)

    def remove_learner(self, identity: str) -> None:
        """Stops replicating to a learner."""
        membership_change.remove_learner(self, identity)

    def caught_up(self, identity: str) -> bool:
        """Whether a replica's log is close enough to the leader's to vote."""
        return membership_change.caught_up(self, identity)

    # --- messages ---------------------------------------------------------------------
    def step(self, sender: str, message: Any, now: float) -> list[Effect]:
        """Handles one message (`messages.Message`) of another replica, as `messages.decode` returns it."""
        self._begin_incarnation(now)
        kind = type(message)
        if kind in REPLIES and message.term > self.term:
            self.become_follower(message.term, now, "newer term")
        HANDLERS[kind](self, sender, message, now)
        return self.take_effects(now)
