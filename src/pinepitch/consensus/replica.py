"""FlexiRaft as a decider: (message, now) in, tuples of effects out, no I/O.

Effects: ("save", sequence, change), ("send", identity, message), ("commit", first, entries),
("lead", term), ("unlead", why), ("install", index, bytes), ("read", token, index),
("event", number, fields). The caller makes a save durable and then says saved(sequence).
"""

import random
from typing import NamedTuple

import cbor2

from ..common import constants
from ..common.limits import USUAL
from ..common.packed_operations import kind_of
from .flow_control import Flow
from .log import Log
from .quorum import Membership, Quorum, Reply, membership_from_image
from .snapshot_transfer import Snapshot, Transfer

COMPLETE_OFFSET = 1 << 40  # the offset that a follower tells which needs nothing of a snapshot


class Handover(NamedTuple):
    """A leader's intent to let `target` lead. Until then it leads on; after `until` it just stands down.

    Invariant: leadership, and with it the lease, is given up before the target hears of it."""

    target: str
    until: float


class Follower:
    """What a leader knows of one cohort member or learner.

    Invariants: match <= the leader's last index and is durable there; next > match."""

    def __init__(self, last_index, now):
        self.match = 0
        self.next = last_index + 1
        self.probing = True
        self.flow = Flow()
        self.heard_at = now
        self.heartbeat = 0
        self.transfer = None  # the snapshot that it is being sent
        self.denials = 0  # answers in a row that lack what was acknowledged
        self.forgot = False  # whether it lacks what it acknowledged in this leader's time

    def needed_from(self):
        """The first entry that it will need, after the snapshot that it is being sent."""
        return (self.transfer.snapshot.index if self.transfer else self.match) + 1


class IncomingSnapshot:
    """A snapshot that a follower receives. Invariant: whoever sends it was told in this life of the
    follower which segments it holds, since a former life may have held more."""

    def __init__(self, index):
        self.index = index
        self.total = None  # bytes, as told with the first piece
        self.data = bytearray()

    def take(self, offset, total, chunk):
        """Adds a piece; False when it isn't the next one."""
        if offset == 0:
            self.data.clear()
            self.total = total
        if offset != len(self.data):
            return False
        self.data.extend(chunk)
        return True

    def complete(self, stored):
        """(image, span, segments), or None if some segment neither came nor is held."""
        image, span, segments = cbor2.loads(bytes(self.data))
        first, last = span
        if any(number not in segments for number in range(max(first, stored + 1), last + 1)):
            return None
        return image, tuple(span), segments


class Consensus:
    """One accord's part in the cohort.

    Invariants: term never falls; at most one vote a term, in history[term], durable before
    it is told; commit <= committed <= last index; durable <= last
    index and all up to it is on disk; history holds no term <= leader_term, since any
    candidate starts Algorithm 1 at the newest leader told with the histories, and this
    one's is told along; cohort is that of the newest members entry in the log or base."""

    def __init__(self, identity, seed, members=None, mode="static", limits=USUAL):
        self.identity = identity
        self.limits = limits
        self.random = random.Random(f"{identity}-{seed}")
        self.term = 0
        self.history = {}
        self.leader, self.leader_term = None, 0
        self.log = Log()
        self.base_index, self.base_term, self.base_image = 0, 0, None
        self.base_membership = Membership(Quorum(dict(members or {}), mode))
        self.membership, self.membership_index = self.base_membership, 0
        self.commit = 0
        self.committed = 0  # the newest entry known to be committed: commit follows it in slices
        self.role = "follower"  # follower, prospect (pre-vote), candidate, leader
        self.following = None  # the leader of this term as heard, for ways
        self.followers = {}
        self.learners = {}
        self.replies = {}
        self.sequence = self.saved_sequence = 0
        self.hard_sequence = 0
        self.durable = 0
        self.saving = []  # [sequence, last index, begun]
        self.deferred = []  # (sequence, effect) waiting for a save
        self.hard_dirty, self.truncate, self.dirty_from = False, None, None
        self.effects = []
        self.heard_leader = -1e9
        self.begun_at = None  # when this life began, after any earlier one had ended; None: at the first tick
        self.election_at = None
        self.ask_at = -1e9  # when votes are asked for again
        self.disk_cooldown_until = -1e9
        self.removed = False
        self.handover = None  # the Handover under way while leading
        self.inherited_learners = {}  # the learners that a leader named when it handed over: identity -> area
        self.released = 0  # the term whose leader gave its lease up in favour of this candidate
        self.heartbeat = 0
        self.round = None  # the beat whose acknowledgement the reads under way need
        self.reads_now, self.reads_next = [], []
        self.heartbeat_at = -1e9
        self.heartbeat_times = {}  # number -> when it was sent, of the newest LEADER_HEARTBEATS_KEPT
        self.base_segments = (1, 0)  # (first, last) of the archive that the base stands on
        self.archive = None  # the record's, to send and to say what of it is held
        self.incoming = None  # Incoming of a snapshot being received

    # --- state from and to disk ------------------------------------------------------
    def restore(self, base, changes):
        """Takes what the store held."""
        if base is not None:
            hard, snapshot, first, entries = base
            self._take_hard(hard)
            self.base_index, self.base_term, image, self.base_image, segments = snapshot
            self.base_segments = tuple(segments)
            self.base_membership = membership_from_image(image)
            self.log.clear(first)
            self.log.append(entries)
        for hard, truncate, start, entries in changes:
            if hard is not None:
                self._take_hard(hard)
            if truncate is not None:
                self.log.truncate(truncate)
            if entries:
                self.log.truncate(start)
                self.log.append(entries)
        self.commit = self.committed = self.base_index
        self.durable = self.last_index()
        self._find_membership()

    def _take_hard(self, hard):
        self.term, self.leader, self.leader_term, history = hard
        self.history = dict(history)

    def _hard(self):
        return [self.term, self.leader, self.leader_term, dict(self.history)]

    def bootstrap_base(self):
        """The payload of the first base: no entries, the founding members."""
        return [self._hard(), [0, 0, self.base_membership.image(), None, (1, 0)], 1, []]

    def compact(self, index, image, segments=(1, 0)):
        """Takes `image`, which stands on `segments`, as the record up to `index`; the payload
        of the new base."""
        self.base_segments = segments
        term = self.term_at(index)
        membership = self.base_membership
        for position in range(self.first, index + 1):
            operation = self.entry(position)[2]
            if kind_of(operation) == "members":
                membership = membership_from_image(operation[1])
        self.base_membership = membership
        self.base_index, self.base_term, self.base_image = index, term, image
        # base_cohort must stay true for entries from `first` on: only a cohort older than
        # the kept tail may differ, and _find_cohort reads newest first, so it never does.
        self.log.drop_before(self._kept_from(index))
        return self.base_payload()

    def _kept_from(self, index):
        """The first entry to keep behind a base at `index`: a tail, and what followers still need
        as far as the laggards' bounds go."""
        keep = self.log.tail_start(index, constants.SNAPSHOT_TAIL, self.limits.tail)
        needed = [one.needed_from() for one in self.followers.values()]
        needed = [one for one in needed if self.first <= one < keep]
        if needed:
            furthest = self.log.tail_start(
                index, constants.LAGGARD_TIMES * constants.SNAPSHOT_TAIL, self.limits.laggard
            )
            keep = min(keep, max(min(needed), furthest))
        return keep

    def base_payload(self):
        """All that a base must hold."""
        return [
            self._hard(),
            [
                self.base_index,
                self.base_term,
                self.base_membership.image(),
                self.base_image,
                self.base_segments,
            ],
            self.first,
            list(self.log.entries),
        ]

    # --- the log ----------------------------------------------------------------------
    @property
    def first(self):
        """The index of the oldest entry that is held."""
        return self.log.first

    @property
    def entries(self):
        """The entries that are held, oldest first."""
        return self.log.entries

    def last_index(self):
        return max(self.base_index, self.log.last())

    def entry(self, index):
        return self.log.entries[index - self.log.first]

    def term_at(self, index):
        """The term of an entry, None where it is no longer or not yet held."""
        if index == 0:
            return 0
        position = index - self.log.first
        if 0 <= position < len(self.log.entries):
            return self.log.entries[position][0]
        if index == self.base_index:
            return self.base_term
        return None

    def _find_membership(self):
        for position in range(len(self.entries) - 1, -1, -1):
            operation = self.log.entries[position][2]
            if kind_of(operation) == "members":
                self.membership, self.membership_index = (
                    membership_from_image(operation[1]),
                    self.first + position,
                )
                return
        self.membership, self.membership_index = self.base_membership, self.base_index

    def _append(self, entries, start):
        if self.dirty_from is None or start < self.dirty_from:
            self.dirty_from = start
        self.log.append(entries)
        for position, (_, _, operation) in enumerate(entries):
            if kind_of(operation) == "members":
                self.membership, self.membership_index = membership_from_image(operation[1]), start + position

    def _truncate(self, index):
        """Drops entries from `index` on."""
        self.log.truncate(index)
        self.truncate = index if self.truncate is None else min(self.truncate, index)
        if self.dirty_from is not None and self.dirty_from >= index:
            self.dirty_from = None
        self.durable = min(self.durable, index - 1)
        for saving in self.saving:
            saving[1] = min(saving[1], index - 1)
        self._find_membership()

    def _drop_log(self, first):
        """Drops every entry, the next one being `first`, for a snapshot that the log does not lead to:
        of what is on disk or on its way there only what is committed stays true."""
        self.log.clear(first)
        self.durable = min(self.durable, self.commit)
        for saving in self.saving:
            saving[1] = min(saving[1], self.commit)

    # --- effects ----------------------------------------------------------------------
    def _send(self, identity, message, after=0):
        effect = ("send", identity, message)
        if after > self.saved_sequence:
            self.deferred.append((after, effect))
        else:
            self.effects.append(effect)

    def _after_flush(self):
        """The sequence that the save of what is dirty now will get."""
        dirty = self.hard_dirty or self.truncate is not None or self.dirty_from is not None
        return self.sequence + 1 if dirty else self.sequence

    def _flush(self, now):
        if self.hard_dirty or self.truncate is not None or self.dirty_from is not None:
            self.sequence += 1
            start = self.dirty_from
            fresh = [] if start is None else self.log.entries[start - self.first :]
            change = [self._hard() if self.hard_dirty else None, self.truncate, start, fresh]
            if self.hard_dirty:
                self.hard_sequence = self.sequence
            self.hard_dirty, self.truncate, self.dirty_from = False, None, None
            self.saving.append([self.sequence, self.last_index(), now])
            self.effects.append(("save", self.sequence, change))

    def _done(self, now):
        self._flush(now)
        effects, self.effects = self.effects, []
        return effects

    def _event(self, number, **fields):
        self.effects.append(("event", number, {"term": self.term, **fields}))

    # --- time -------------------------------------------------------------------------
    def tick(self, now):
        """Lets time pass: beats, time-outs, stalled disks, the next slice of a backlog."""
        self._begin_incarnation(now)
        if self.commit < self.committed:
            self._commit_slice(now)
        stalled = bool(self.saving) and now - self.saving[0][2] > constants.DISK_STALL
        if stalled:
            self.disk_cooldown_until = now + constants.DISK_COOL_DOWN
        if self.role == "leader":
            heard = {
                one
                for one, follower in self.followers.items()
                if now - follower.heard_at <= constants.CHECK_QUORUM
            } | {self.identity}
            if stalled:
                self._event(125)
                self._follow(self.term, now, "disk stalled")
            elif self.handover is not None and now >= self.handover.until:
                self._follow(self.term, now, "stopping")
            elif not self.membership.commits(heard, self.identity):
                self._follow(self.term, now, "commit quorum not heard")
            elif now - self.heartbeat_at >= constants.HEARTBEAT:
                self._broadcast(now)
        elif self.role in ("prospect", "candidate") and self.ask_at <= now < self.election_at:
            self._ask_votes(now)
        elif now >= self.election_at:
            if (
                self.identity in self.membership.members()
                and now >= self.disk_cooldown_until
                and not self.removed
            ):
                self._campaign("prospect", now)
            else:
                self._reset_election(now)
        return self._done(now)

    def _begin_incarnation(self, now):
        """At the first input of this life: what an earlier one acknowledged may still carry a leader's
        lease, so no vote is given, and none asked for, before that is over, also by that leader's
        slower clock."""
        if self.election_at is not None:
            return
        since = now if self.begun_at is None else min(now, self.begun_at)
        lease_over = since + constants.LEADER_LEASE * constants.LEASE_STRETCH
        self.heard_leader = max(self.heard_leader, lease_over - constants.ELECTION_TIMEOUT)
        self._reset_election(now)
        if self.last_index() > 0:
            self.election_at = max(now, lease_over) + constants.RESTART_JITTER * self.random.random()

    def disk_failed(self, now):
        """A disk that refuses to write is no leader's."""
        self.disk_cooldown_until = now + constants.DISK_COOL_DOWN
        if self.role != "follower":
            self._follow(self.term, now, "disk refuses to write")
        return self._done(now)

    def _reset_election(self, now):
        factor = 1 + self.random.random() * constants.ELECTION_JITTER
        self.election_at = now + constants.ELECTION_TIMEOUT * factor

    def _follow(self, term, now, why):
        """Becomes a follower of `term`."""
        if term > self.term:
            self.term = term
            self.hard_dirty = True
            self.following = None
        if self.role == "leader":
            self._event(123, why=why)
            self.effects.append(("unlead", why))
            self.following = None
            self.reads_now, self.reads_next, self.round = [], [], None
        if self.role != "follower":
            self._reset_election(now)
        self.role = "follower"
        self.handover = None
        self.followers, self.learners, self.heartbeat_times = {}, {}, {}

    # --- elections --------------------------------------------------------------------
    def _campaign(self, role, now, released=0):
        """Begins an election; `released` is the term whose leader gave up its lease for it, if one did."""
        self.role, self.replies, self.released = role, {}, released
        self._reset_election(now)
        term = self.term + 1
        self.following = None
        if role == "candidate":
            self.term = term
            self.history[term] = self.identity
            self.hard_dirty = True
        self._event(121 if role == "candidate" else 120, campaign=term)
        self.replies[self.identity] = self._reply(True)
        self._ask_votes(now)
        self._count_votes(now)

    def _ask_votes(self, now):
        """Asks for what the campaign under way needs, and again until the time-out: a request or its
        answer may get lost, and a voter that still waits for a lease to end grants a moment later."""
        self.ask_at = now + constants.VOTE_AGAIN * (0.5 + self.random.random())
        kind, term = ("vote", self.term) if self.role == "candidate" else ("prevote", self.term + 1)
        message = (kind, term, self.last_index(), self.term_at(self.last_index()))
        if self.released:
            message = ("takeover", *message[1:], self.released)
        for identity in self.membership.members():
            if identity != self.identity:
                self._send(identity, message, self._after_flush())

    def _reply(self, granted):
        return Reply(granted, self.leader, self.leader_term, dict(self.history))

    def _count_votes(self, now):
        term = self.term if self.role == "candidate" else self.term + 1
        result = self.membership.elects(self.replies, term, self.leader, self.leader_term)
        if result.satisfied:
            if self.role == "prospect":
                self._campaign("candidate", now)
            elif self.hard_sequence <= self.saved_sequence and not self.hard_dirty:
                self._become_leader(now)
        elif self.role == "candidate" and not result.possible:
            # the votes were split: nobody may have won, so it asks for pre-votes anew soon
            self.election_at = min(self.election_at, now + constants.RESTART_JITTER * self.random.random())

    def _fresh(self, last_index, last_term):
        own = self.term_at(self.last_index())
        return (last_term, last_index) >= (own, self.last_index())

    def _on_prevote(self, sender, term, last_index, last_term, now):
        if sender not in self.membership.members() and self.leader_near(now):
            self._send(sender, ("stranger", self.term, self.commit))
            return
        granted = term > self.term and self._fresh(last_index, last_term) and not self.leader_near(now)
        if granted or term > self.term:
            reply = self._reply(granted)
            self._send(sender, ("prevoted", term, *reply), self.hard_sequence)
        else:
            self._send(sender, ("behind", self.term), self.hard_sequence)

    def leader_near(self, now):
        """Whether a leader was heard within the time-out (then no pre-vote is granted)."""
        return self.role == "leader" or now - self.heard_leader < constants.ELECTION_TIMEOUT

    def _on_prevoted(self, sender, term, granted, leader, leader_term, history, now):
        if self.role == "prospect" and term == self.term + 1:
            self.replies[sender] = Reply(granted, leader, leader_term, dict(history))
            self._count_votes(now)

    def _on_behind(self, sender, term, now):
        if term > self.term:
            self._follow(term, now, "behind")

    def _on_removed(self, sender, term, commit, now):
        """A member that serves under a leader says that this one was replaced."""
        if sender in self.membership.members() and self.role != "leader" and commit > self.membership_index:
            self.removed = True
            if self.role != "follower":
                self._follow(self.term, now, "stranger")

    def _on_vote(self, sender, term, last_index, last_term, now):
        if term < self.term:
            self._send(sender, ("behind", self.term), self.hard_sequence)
            return
        if self.leader_near(now) and sender != self.following:
            return  # it won its pre-vote before the leader was heard again, whose lease stands on that
        self._answer_vote(sender, term, last_index, last_term, now)

    def _on_takeover(self, sender, term, last_index, last_term, released, now):
        """A vote asked for by a candidate whom the leader of the term `released` named: that leader, and
        every older one, relies on its lease no more; a newer one may."""
        if term < self.term:
            self._send(sender, ("behind", self.term), self.hard_sequence)
            return
        if self.leader_near(now) and self.leader_term > released:
            return
        self._answer_vote(sender, term, last_index, last_term, now)

    def _answer_vote(self, sender, term, last_index, last_term, now):
        if term > self.term:
            self._follow(term, now, "newer term")
        choice = self.history.get(term)
        granted = False
        if self.leader_term < term and self._fresh(last_index, last_term) and choice in (None, sender):
            granted = True
            if choice is None:
                self.history[term] = sender
                self.hard_dirty = True
                self._reset_election(now)
                self._event(124, candidate=sender)
        reply = self._reply(granted)
        self._send(
            sender,
            ("voted", term, *reply),
            max(self._after_flush() if self.hard_dirty else 0, self.hard_sequence),
        )

    def _on_voted(self, sender, term, granted, leader, leader_term, history, now):
        if self.role == "candidate" and term == self.term:
            self.replies[sender] = Reply(granted, leader, leader_term, dict(history))
            self._count_votes(now)

    # --- handing leadership over ------------------------------------------------------
    def transfer_leadership(self, candidates, now):
        """Leads on until the voter among `candidates` that lacks least has all that is agreed on, then
        gives leadership up and lets that voter campaign at once; with no such voter stands down."""
        if self.role != "leader":
            return []
        target = self._successor(set(candidates), now)
        if target is None:
            self._follow(self.term, now, "stopping")
        else:
            self.handover = Handover(target, now + constants.HANDOVER_WITHIN)
            self._replicate_all(now)
            self._try_handover(now)
        return self._done(now)

    def _successor(self, candidates, now):
        """The voter of every list in force, heard lately, that holds most of the log; None without one."""
        able = [
            (follower.match, identity)
            for identity, follower in self.followers.items()
            if identity in candidates
            and all(identity in quorum.members for quorum in self.membership.quorums())
            and now - follower.heard_at <= constants.LEADER_LEASE
            and not follower.forgot
        ]
        return max(able)[1] if able else None

    def _try_handover(self, now):
        """Gives leadership up in favour of the successor once it holds all, and all is committed."""
        target = self.handover.target
        follower = self.followers.get(target)
        if follower is None or follower.match < self.last_index() or self.commit < self.last_index():
            return
        learners = dict(self.learners)
        self._follow(self.term, now, "handed over")
        self._send(target, ("handover", self.term, learners), self.hard_sequence)

    def _on_handover(self, sender, term, learners, now):
        """The leader of this term gave up its lease and names this voter its successor."""
        newest = term == self.term == self.leader_term and sender == self.leader
        able = (
            self.identity in self.membership.members()
            and now >= self.disk_cooldown_until
            and not self.removed
        )
        if newest and able and self.role == "follower":
            self.inherited_learners = dict(learners)
            self._campaign("candidate", now, released=term)

    def _become_leader(self, now):
        self.role = "leader"
        self.following = self.identity
        self.leader, self.leader_term = self.identity, self.term
        self.history = {}
        self.hard_dirty = True
        self.followers = {
            one: Follower(self.last_index(), now) for one in self.membership.members() if one != self.identity
        }
        self.heartbeat = 0
        self.reads_now, self.reads_next, self.round = [], [], None
        self._event(122, groups=len(self.membership.now.groups()))
        self.effects.append(("lead", self.term))
        self._append([(self.term, 0.0, ("noop",))], self.last_index() + 1)
        learners, self.inherited_learners = (self.inherited_learners if self.released else {}), {}
        for identity, zone in learners.items():
            self.learn(identity, zone, now)
        self._broadcast(now)

    # --- leading ----------------------------------------------------------------------
    def propose(self, operations, time, now):
        """Appends operations; (first index, effects), or None when not leading."""
        if self.role != "leader":
            return None
        start = self.last_index() + 1
        self._append([(self.term, time, operation) for operation in operations], start)
        self._replicate_all(now)
        return start, self._done(now)

    def change_members(self, members, time, now):
        """Begins a joint change; None when one is under way or there is no own commit yet."""
        if self.role != "leader" or self.membership.coming is not None or not self.serving():
            return None
        if self.handover is not None:
            return None  # the successor's to decide
        if self.membership_index > self.commit:
            return None
        coming = Quorum(dict(members), self.membership.now.mode)
        self._event(130, members=sorted(members))
        for identity in members:
            self.learners.pop(identity, None)  # from here on a voter, whose copies and answers count
        result = self.propose([("members", Membership(self.membership.now, coming).image())], time, now)
        return result

    def changing(self):
        """Whether a change of members is under way: its newest list is not yet committed alone."""
        return self.membership.coming is not None or self.membership_index > self.commit

    def learn(self, identity, zone, now):
        """Starts to replicate to one that is no member yet."""
        if self.role == "leader" and identity not in self.followers:
            self.learners[identity] = zone
            self.followers[identity] = Follower(self.last_index(), now)

    def forget_learner(self, identity):
        """Ends replicating to one that is no member."""
        if self.learners.pop(identity, None) is not None:
            self.followers.pop(identity, None)

    def caught_up(self, identity):
        """Whether a learner is close enough behind to become a voter."""
        follower = self.followers.get(identity)
        return (
            follower is not None
            and not follower.probing
            and follower.transfer is None
            and follower.match + constants.CAUGHT_UP >= self.last_index()
            and self.log.bytes_between(follower.match + 1, self.last_index()) <= constants.CAUGHT_UP_BYTES
        )

    def serving(self):
        """Whether an entry of the own term is committed, so that reads may be answered."""
        return self.role == "leader" and self.term_at(self.commit) == self.term

    def leased(self, now):
        """Whether a commit quorum answered a beat sent so lately that no other leader can have
        been elected since and have served: such a quorum grants no pre-vote before its time-out."""
        since = now - constants.LEADER_LEASE
        heard = {
            one
            for one, follower in self.followers.items()
            if one not in self.learners and self.heartbeat_times.get(follower.heartbeat, -1e9) >= since
        }
        return self.serving() and self.membership.commits(heard | {self.identity}, self.identity)

    def lease_end(self, now):
        """The moment that the lease stands until as far as is known; `now` when it does not stand."""
        sent = {
            one: self.heartbeat_times.get(follower.heartbeat, -1e9)
            for one, follower in self.followers.items()
            if one not in self.learners
        }
        sent[self.identity] = now
        for since in sorted(set(sent.values()), reverse=True):
            if self.membership.commits({one for one, at in sent.items() if at >= since}, self.identity):
                return max(now, since + constants.LEADER_LEASE)
        return now

    def read(self, token, now):
        """Asks that ("read", token, index) be told once leadership is confirmed."""
        if self.role != "leader":
            return None
        self.reads_next.append(token)
        self._start_round(now)
        return self._done(now)

    def _start_round(self, now):
        if self.round is None and self.reads_next and self.serving():
            self.reads_now, self.reads_next = self.reads_next, []
            self.heartbeat += 1
            self.round = (self.heartbeat, self.commit)
            self._broadcast(now, advance=False)
            self._check_round(now)

    def _check_round(self, now):
        if self.round is None:
            return
        heartbeat, index = self.round
        acked = {one for one, follower in self.followers.items() if follower.heartbeat >= heartbeat}
        if self.membership.commits(acked | {self.identity}, self.identity):
            self.effects.extend(("read", token, index) for token in self.reads_now)
            self.reads_now, self.round = [], None
            self._start_round(now)

    def _broadcast(self, now, advance=True):
        if advance:
            self.heartbeat += 1
        self.heartbeat_at = now
        self.heartbeat_times[self.heartbeat] = now
        self.heartbeat_times.pop(self.heartbeat - constants.LEADER_HEARTBEATS_KEPT, None)
        for identity in self.followers:
            self._replicate(identity, now, heartbeat=True)

    def _replicate_all(self, now):
        for identity in self.followers:
            self._replicate(identity, now)

    def _replicate(self, identity, now, heartbeat=False):
        """Sends what a follower lacks, as much as its flow takes; a bare beat when asked for."""
        follower = self.followers[identity]
        if follower.forgot:
            return
        flow = follower.flow
        if flow.overdue(now):
            flow.lost()
            follower.next = follower.match + 1
            follower.probing = True
            if follower.transfer:
                follower.transfer.in_flight = False
        if self._needs_snapshot(follower):
            self._send_chunk(identity, follower, now)
            if heartbeat:
                self._send_bare_heartbeat(identity)
            return
        sent = False
        window = 1 if follower.probing else constants.APPEND_WINDOW
        last = self.log.last()
        while follower.next <= last and len(flow.in_flight) < window and not flow.bulky():
            entries, size = self.log.slice_from(follower.next, constants.APPEND_ENTRIES, flow.budget)
            if follower.probing and size >= constants.BULK_BYTES:
                entries, size = (), 0  # first what it holds: a large append would be for nothing
            if size >= constants.BULK_BYTES and flow.in_flight:
                break
            self._send_append(identity, follower.next - 1, entries)
            follower.next += len(entries)
            flow.begin(follower.next - 1, size, now)
            sent = True
        if heartbeat and not sent:
            self._send_heartbeat(identity, follower)

    def _needs_snapshot(self, follower):
        """Whether a follower is sent the base: it needs entries that are gone, or so many that
        the image is the shorter way, or the sending has begun."""
        if follower.transfer is not None:
            if follower.transfer.snapshot.index > follower.match:
                return True
            follower.transfer = None
        if follower.next > self.base_index and follower.next > self.log.first:
            return False  # as nearly always
        if follower.next < self.log.first or self.term_at(follower.next - 1) is None:
            return True
        if follower.probing or follower.next > self.base_index or self.base_image is None:
            return False
        lacks = self.log.bytes_between(follower.next, self.base_index)
        return lacks > constants.SNAPSHOT_RATIO * len(self.base_image) + constants.APPEND_BYTES

    def _send_append(self, identity, previous, entries):
        self._send(
            identity,
            (
                "append",
                self.term,
                previous,
                self.term_at(previous),
                tuple(entries),
                self.commit,
                self.heartbeat,
            ),
            self.hard_sequence,
        )

    def _send_heartbeat(self, identity, follower):
        """A beat with no entries. While a large append is under way, by another connection, it
        says nothing of what that one brings."""
        if not follower.flow.bulky():
            self._send_append(identity, follower.next - 1, ())
        elif follower.match > 0 and self.term_at(follower.match) is not None:
            self._send_append(identity, follower.match, ())
        else:
            self._send_bare_heartbeat(identity)

    def _send_bare_heartbeat(self, identity):
        """A beat that says nothing of the log."""
        self._send(identity, ("append", self.term, 0, 0, (), 0, self.heartbeat), self.hard_sequence)

    def _send_chunk(self, identity, follower, now):
        if self.base_image is None:
            return
        transfer = follower.transfer
        if transfer is None or transfer.payload is None and transfer.snapshot.index != self.base_index:
            follower.flow.clear()
            transfer = follower.transfer = Transfer(self._snapshot())
        if transfer.in_flight:
            return
        chunk = transfer.chunk(min(constants.SNAPSHOT_CHUNK, follower.flow.budget))
        snapshot = transfer.snapshot
        self._send(
            identity,
            (
                "piece",
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.membership,
                transfer.offset,
                len(transfer.payload or b""),
                chunk,
                self.heartbeat,
            ),
        )
        transfer.in_flight = True
        transfer.awaited = transfer.offset + len(chunk)
        follower.flow.begin(0, len(chunk), now)

    def _snapshot(self):
        """The newest base, as it is sent."""
        return Snapshot(self.base_index, self.base_term, self.base_membership.image())

    def _shared_payload(self, transfer):
        """What another follower that lacks the same is being sent already, or None."""
        for follower in self.followers.values():
            other = follower.transfer
            if other is not None and other.payload is not None:
                if (
                    other.snapshot.index == transfer.snapshot.index
                    and other.stored_segment == transfer.stored_segment
                ):
                    return other.payload
        return None

    def _snapshot_payload(self, stored):
        """The base's image with the segments from `held` + 1 on that it stands on."""
        first, last = self.base_segments
        segments = {}
        for number in range(max(first, stored + 1), last + 1):
            segments[number] = self.archive.segment(number)
        return cbor2.dumps([self.base_image, [first, last], segments])

    def _on_chunk_received(self, sender, term, index, offset, stored, heartbeat, now):
        follower = self.followers.get(sender)
        if self.role != "leader" or term != self.term or follower is None:
            return
        follower.heard_at = now
        follower.heartbeat = max(follower.heartbeat, heartbeat)
        transfer = follower.transfer
        if transfer is not None and transfer.snapshot.index == index and not transfer.repeats(offset, stored):
            follower.flow.answered(0, now)
            transfer.in_flight = False
            if offset < 0:
                if transfer.snapshot.index == self.base_index:
                    transfer.stored_segment, transfer.payload = (
                        stored,
                        None,
                    )  # what was made for a former life is over
                    transfer.payload = self._shared_payload(transfer) or self._snapshot_payload(stored)
                    transfer.offset = 0
                else:  # a newer snapshot is sent to it instead
                    transfer.payload, transfer.offset = None, -1
            elif (
                offset == COMPLETE_OFFSET or transfer.payload is not None and offset >= len(transfer.payload)
            ):
                follower.transfer = None
                follower.flow.clear()
                follower.match = max(follower.match, index)
                follower.next = follower.match + 1
                follower.probing = False
            else:
                transfer.offset = offset if transfer.payload is not None else -1
            self._replicate(sender, now)

    def _on_appended(self, sender, term, success, index, heartbeat, now):
        follower = self.followers.get(sender)
        if self.role != "leader" or term != self.term or follower is None:
            return
        follower.heard_at = now
        follower.heartbeat = max(follower.heartbeat, heartbeat)
        if index is None:  # a bare beat beside a snapshot
            self._check_round(now)
            return
        if success:
            follower.denials = 0
        elif index < follower.match:
            follower.denials += 1  # once or twice may be an answer overtaken by a newer one
            if follower.denials == constants.DENIALS:
                self._event(128, follower=sender, acknowledged=follower.match, holds=index)
                follower.forgot = True  # its disk went back on a promise: nothing it says counts
                follower.match = 0
        if follower.forgot:
            return
        if success:
            follower.flow.answered(index, now)
            if index > follower.match:
                follower.match = index
            follower.next = max(follower.next, follower.match + 1)
            follower.probing = False
        else:
            follower.probing = True
            follower.next = max(follower.match + 1, min(follower.next - 1, index + 1), 1)
            follower.flow.clear()
        self._advance(now)
        self._check_round(now)
        if self.handover is not None:
            self._try_handover(now)
        if self.role == "leader" and sender in self.followers and follower.next <= self.last_index():
            self._replicate(sender, now)

    def _advance(self, now):
        """Moves commit to the newest own-term entry that a commit quorum holds."""
        matches = {
            one: follower.match for one, follower in self.followers.items() if one not in self.learners
        }
        matches[self.identity] = self.durable
        for index in sorted(set(matches.values()), reverse=True):
            if index <= self.committed or self.term_at(index) != self.term:
                break
            if self.membership.commits(
                {one for one, match in matches.items() if match >= index}, self.identity
            ):
                self._commit_to(index, now)
                break

    def _commit_to(self, index, now):
        """Takes an entry and all before it for committed. A backlog that is under way goes on by ticks."""
        committing = self.commit < self.committed
        self.committed = max(self.committed, index)
        if not committing:
            self._commit_slice(now)

    def _commit_slice(self, now):
        """Commits as much as one step may take: a restarted member has all since its base to apply, and
        must go on beating and answering meanwhile, or others take its place."""
        start = self.commit + 1
        entries, _ = self.log.slice_from(start, constants.COMMIT_ENTRIES, constants.COMMIT_BYTES)
        entries = entries[: self.committed - self.commit]
        self.commit += len(entries)
        self.effects.append(("commit", start, entries))
        if self.commit == self.committed and self.serving():
            self._after_commit(now)

    def _after_commit(self, now):
        self._start_round(now)
        if self.commit < self.membership_index:
            return
        if self.membership.coming is not None:
            coming = Membership(self.membership.coming)
            self._event(131)
            self._append([(self.term, 0.0, ("members", coming.image()))], self.last_index() + 1)
            self._replicate_all(now)
        else:
            members = self.membership.members()
            gone = [one for one in self.followers if one not in members and one not in self.learners]
            for identity in gone:
                del self.followers[identity]
            if gone:
                self._event(132, members=sorted(members))
            if self.identity not in members:
                self._follow(self.term, now, "no longer a member")

    # --- following --------------------------------------------------------------------
    def _hear_leader(self, sender, term, now):
        if term > self.term or self.role != "follower":
            self._follow(term, now, "leader heard")
        self.following = sender
        self.removed = False
        self.heard_leader = now
        self._reset_election(now)
        if self.leader_term < term:
            self.leader, self.leader_term = sender, term
            self.history = {past: choice for past, choice in self.history.items() if past > term}
            self.hard_dirty = True

    def _on_append(self, sender, term, previous, previous_term, entries, commit, heartbeat, now):
        if term < self.term:
            self._send(sender, ("behind", self.term), self.hard_sequence)
            return
        self._hear_leader(sender, term, now)
        if previous == 0 and previous_term == 0 and not entries and commit == 0:
            self._send(sender, ("appended", term, True, None, heartbeat), self._hard_wait())
            return
        last = previous + len(entries)
        if last <= self.base_index:
            self._send(
                sender, ("appended", term, True, min(last, self.durable), heartbeat), self._hard_wait()
            )
            return
        if previous < self.base_index:
            entries = entries[self.base_index - previous :]
            previous, previous_term = self.base_index, self.base_term
        stored = self.term_at(previous)
        if stored is None or stored != previous_term:
            hint = min(previous - 1, self.last_index())
            if stored is not None:
                while hint > self.commit and self.term_at(hint) == stored:
                    hint -= 1
            self._send(
                sender, ("appended", term, False, max(hint, self.commit), heartbeat), self._hard_wait()
            )
            return
        fresh = []
        for position, entry in enumerate(entries):
            index = previous + 1 + position
            own = self.term_at(index)
            if own is None or own != entry[0]:
                if own is not None:
                    if index <= self.committed:
                        raise AssertionError(f"entry {index} is committed and conflicts")
                    self._truncate(index)
                fresh = [(one[0], one[1], tuple(one[2])) for one in entries[position:]]
                self._append(fresh, index)
                break
        if fresh:
            self._send(sender, ("appended", term, True, last, heartbeat), self._after_flush())
        else:
            self._send(
                sender, ("appended", term, True, min(last, self.durable), heartbeat), self._hard_wait()
            )
        upto = min(commit, last)
        if upto > self.committed:
            self._commit_to(upto, now)

    def _hard_wait(self):
        return self._after_flush() if self.hard_dirty else self.hard_sequence

    def _on_chunk(self, sender, term, index, snapshot_term, image, offset, total, chunk, heartbeat, now):
        if term < self.term:
            self._send(sender, ("behind", self.term), self.hard_sequence)
            return
        self._hear_leader(sender, term, now)
        stored = self.archive.sealed if self.archive is not None else 0
        if index <= self.commit:
            self._send(sender, ("pieced", term, index, COMPLETE_OFFSET, stored, heartbeat), self._hard_wait())
            return
        incoming = self.incoming
        fresh = incoming is None or incoming.index != index or offset > 0 and incoming.total != total
        if offset < 0 or fresh:
            self.incoming = IncomingSnapshot(index)  # begun anew with what this life holds
            self._send(sender, ("pieced", term, index, -1, stored, heartbeat), self._hard_wait())
            return
        if not self.incoming.take(offset, total, chunk) or len(self.incoming.data) < total:
            have = len(self.incoming.data)
            self._send(sender, ("pieced", term, index, have, stored, heartbeat), self._hard_wait())
            return
        received = self.incoming.complete(stored)
        if received is None:
            self.incoming = IncomingSnapshot(index)
            self._send(sender, ("pieced", term, index, -1, stored, heartbeat), self._hard_wait())
            return
        self.incoming = None
        self.base_image, self.base_segments, segments = received
        if self.term_at(index) == snapshot_term:
            self.log.drop_before(index + 1)
        else:
            self._drop_log(index + 1)
        self.base_index, self.base_term = index, snapshot_term
        self.base_membership = membership_from_image(image)
        self.commit = index
        self.committed = max(self.committed, index)
        self.truncate = self.dirty_from = None
        self._find_membership()
        self.hard_dirty = False
        self.sequence += 1
        self.hard_sequence = self.sequence
        for saving in self.saving:
            saving[1] = min(saving[1], self.last_index())
        self.saving.append([self.sequence, self.last_index(), now])
        self.effects.append(("install", index, self.base_image, segments))
        self.effects.append(("base", self.sequence, self.base_payload()))
        self._event(127, index=index)
        self._send(sender, ("pieced", term, index, total, stored, heartbeat), self.sequence)

    # --- inputs -----------------------------------------------------------------------
    def saved(self, sequence, now):
        """Hears that saves up to `sequence` are durable."""
        self.saved_sequence = max(self.saved_sequence, sequence)
        while self.saving and self.saving[0][0] <= sequence:
            self.durable = max(self.durable, self.saving.pop(0)[1])
        ready = [effect for need, effect in self.deferred if need <= sequence]
        self.deferred = [(need, effect) for need, effect in self.deferred if need > sequence]
        self.effects.extend(ready)
        if self.role == "leader":
            self._advance(now)
            if self.handover is not None:
                self._try_handover(now)
        elif self.role == "candidate":
            self._count_votes(now)
        return self._done(now)

    def step(self, sender, message, now):
        """Takes one message of a cohort member."""
        self._begin_incarnation(now)
        kind, *rest = message
        handler = HANDLERS.get(kind)
        if handler is not None:
            if kind in ("voted", "appended", "pieced") and rest[0] > self.term:
                self._follow(rest[0], now, "newer term")
            handler(self, sender, *rest, now)
        return self._done(now)


HANDLERS = {
    "prevote": Consensus._on_prevote,
    "prevoted": Consensus._on_prevoted,
    "vote": Consensus._on_vote,
    "takeover": Consensus._on_takeover,
    "voted": Consensus._on_voted,
    "handover": Consensus._on_handover,
    "behind": Consensus._on_behind,
    "stranger": Consensus._on_removed,
    "append": Consensus._on_append,
    "appended": Consensus._on_appended,
    "piece": Consensus._on_chunk,
    "pieced": Consensus._on_chunk_received,
}
