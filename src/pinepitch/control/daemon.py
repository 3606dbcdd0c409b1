"""The accord as a decider: sessions, founding, consensus, the record and the leader's work.

Inputs go through step(message, now, clock); effects of `common.effects` come back.
"""

from ..common import constants, limits, metrics
from ..common.effects import (
    EncodeSnapshot,
    Event,
    Rehearse,
    Reply,
    SaveChange,
    Send,
    WriteBase,
    WriteNote,
    WriteSegment,
)
from ..common.packed_operations import unpacked
from ..consensus import messages as consensus_messages
from ..consensus.cluster_clock import ClusterClock
from ..consensus.effects import (
    BecomeLeader,
    CommitEntries,
    InstallSnapshot,
    LogEvent,
    ReadConfirmed,
    SaveBase,
    SendMessage,
    StepDown,
)
from ..consensus.leader_clock import LeaderClock, Reading
from ..consensus.replica import Consensus
from ..scheduling.assignment_manager import AssignmentManager
from ..state.cluster_state import ClusterState
from ..transport.forwarder import Forwarder
from ..transport.indexed_forwarder import IndexedForwarder
from . import alert_watch, membership, rehearsal
from .bootstrap import Bootstrap
from .leader import LeaderRole
from .placement import Placer
from .requests import OUTCOME_ANSWERS
from .sessions import Sessions


class ControlDaemon(LeaderRole):
    """Invariants: with no cohort there is no consensus, and the other way round; record
    holds just the entries up to applied; what the leader gathers (minions, awaiting,
    outbox) is empty unless this accord leads; no operation is proposed that a member,
    by the level it told last, does not know."""

    level = constants.RECORD_LEVEL
    cluster_state_class = ClusterState

    def __init__(
        self,
        identity,
        address,
        zone,
        seeds,
        bootstrap_members=constants.BOOTSTRAP_MEMBERS,
        mode="static",
        seed=0,
    ):
        self.identity, self.address, self.zone = identity, address, zone
        self.seeds, self.mode, self.seed = tuple(seeds), mode, seed
        self.sessions = Sessions()
        self.bootstrap = Bootstrap(identity, zone, bootstrap_members)
        self.bootstrap_among = None  # addresses; only accords there may found, None for any
        self.voters = constants.BOOTSTRAP_MEMBERS  # members wanted in single mode, where each is a group
        self.may_bootstrap = True  # an accord that has lost its disk joins, it never founds
        self.time = ClusterClock()
        self.limits = limits.USUAL
        self.cluster = None
        self.bootstrap_members = ()  # identities whose consent a founding needs
        self.consented = set()
        self.consensus = None
        self.cluster_state = self.cluster_state_class()
        self.effects = []
        self.stopping = False
        self.catch_up = constants.CATCH_UP  # seconds; in which a lost voter's successor must be a voter
        self.leave_within = constants.LEAVE_WITHIN  # seconds; from SIGTERM, in which a seat is handed on
        self.departure = None  # the Departure of this accord, once it stops
        self.leaving = {}  # accord that stops -> its membership.Leave
        self.change_took = 0.0  # seconds; of the newest joint change that this accord led
        self.first_tick_at = None
        self.begun_at = None  # when this process came to own its data folder, if that is known
        self.greet_at = self.join_at = self.join_deferred_at = -1e9
        self.snapshotting = False
        self.since_base = 0  # bytes of entries applied since the newest snapshot was begun
        self.snapshot_segments = (1, 0)  # of the archive, that the snapshot under way stands on
        self.rehearsing = None  # (draft, asked) that this accord measures now
        self.claim_at = -1e9
        self.applied_outcomes = {}
        self.counts = {"applied": 0, "sent": 0, "syncs": 0}
        self.event_counts, self.refusals, self.end_counts = {}, {}, {}
        self.rules = ()  # alert rules of this machine's file
        self.advertised_levels = {identity: self.level}  # accord -> the level it told last
        self.sync_histogram, self.wait_histograms = metrics.Histogram(), {}
        self.lease_duration = constants.LEASE_DURATION
        self.far = constants.FAR  # times as long that a task takes away from its data
        incarnation = f"{identity}~{seed}"  # the seed is drawn anew in each life
        self.tracing = False  # whether events for a timeline of jobs are written
        self.forwarder = Forwarder(incarnation, address, self._event)
        self.indexed_forwarder = IndexedForwarder(self.forwarder)
        self.leader_clock = LeaderClock()
        self.hinted = {}  # minion -> when it was last told where the leader is
        self.step_at = 0.0
        self._clear_leadership(0.0)

    def _clear_leadership(self, now):
        self.assignments = AssignmentManager(self, now)
        self.push_workers = {}
        self.awaiting = {}  # index -> [(kind, ...)] to be told the outcome
        self.reading = {}  # token -> (address, call, arguments)
        self.read_count = 0
        self.pending_requests = {}  # token -> InHand of the carried calls that are being answered
        self.update_requests = {}  # verge -> (address, token, news seen, asked at)
        self.outbox = {}  # verge -> {(reference, attempt): order}
        self.kills = {}  # reference -> when last ordered
        self.placer = Placer()
        self.epoch = 0  # -1 while it is claimed
        self.role_index = None  # of the entry that claims the placing duty: older claims may be applied now
        self.level_asked = 0  # the level that is proposed to be agreed on
        self.leader_since = None
        self.place_at = self.watch_at = -1e9
        self.placing_busy = 0
        self.rounds = 0
        self.place_due = False  # whether what was applied may let a task be placed
        self.proposed_ends = set()
        self.ends, self.ends_waiting = [], []
        self.moving = set()
        self.update_serial = 0
        self.change_begun = None  # when the joint change under way was proposed
        self.alerts = alert_watch.Watch(self.rules)
        self.alert_at = -1e9

    # --- durable state ----------------------------------------------------------------
    def restore(self, base, steps, segments=None):
        """Takes what the store held; the identity was read from it already."""
        changes, raft_base = [], None
        if base is not None:
            _, self.cluster, raft_base, _ = base
        members = None
        for step in steps:
            for kind, payload in step:
                if kind == "raft":
                    changes.append(payload)
                elif payload[0] == "consent":
                    _, self.cluster, members, self.mode = payload
                    self.bootstrap_members = tuple(sorted(members))
                elif payload[0] == "joined":
                    _, self.cluster, self.mode = payload
        if self.cluster is None:
            return
        self._begin_consensus(members)
        self.consensus.restore(raft_base, changes)
        if self.consensus.base_image:
            self._take_cluster_state(self.consensus.base_image, segments)

    def _begin_consensus(self, members):
        self.consensus = Consensus(self.identity, self.seed, members, self.mode, self.limits)
        self.consensus.begun_at = self.begun_at
        self.consensus.archive = self.cluster_state.archive

    def _take_cluster_state(self, image, segments):
        self.cluster_state = self.cluster_state_class.decode(image, segments)
        self.consensus.archive = self.cluster_state.archive

    def base(self, raft_base):
        """The payload of a base file; the store keeps the segments that its last part names."""
        return [self.identity, self.cluster, raft_base, list(self.consensus.base_segments)]

    # --- inputs -----------------------------------------------------------------------
    def step(self, message, now, clock):
        """Takes one message; returns the effects."""
        self.time.hear(self.identity, clock, now)
        self.step_at = now
        self.indexed_forwarder.turn(now)
        kind, *rest = message
        handler = INPUTS.get(kind)
        if handler is not None:
            handler(self, *rest, now)
        else:
            self._event(147, kind=kind)
        if not self.stopping:  # what was not agreed on by then is the successor's to decide
            self._decide_due(now)
        effects, self.effects = self.effects, []
        return effects

    def _decide_due(self, now):
        """What a leader decides beside what a message asks for."""
        if self.place_due and now - self.place_at >= constants.PLACE_EVERY:
            self._place(now)
        if self.epoch == 0 and self.consensus is not None and self.consensus.role == "leader":
            self._claim_placing(now)
        elif self.epoch > 0 and self.consensus.serving():
            if now - self.assignments.flushed >= constants.HEARTBEAT_BATCH_DELAY:
                self.assignments.tick(now)
            self.assignments.flush(now)

    def _send(self, address, message):
        if address is not None and address != self.address:
            self.counts["sent"] += 1
            self.effects.append(Send(address, message))

    def trace(self, number, **fields):
        """An event for a timeline of jobs: there are many, so only where the log keeps them."""
        if self.tracing:
            self._event(number, **fields)

    def _event(self, number, **fields):
        self.event_counts[number] = self.event_counts.get(number, 0) + 1
        self.effects.append(Event(number, fields))

    def _tick(self, now):
        self._forward_again(now)
        if self.first_tick_at is None:
            self.first_tick_at = now
        for identity in self.sessions.expire(now):
            self._event(141, daemon=identity)
        if now - self.greet_at >= constants.GREET_EVERY and not self.stopping:
            self.greet_at = now
            self._greet(now)
        if self.consensus is None:
            self._bootstrap(now)
            return
        allowed = (
            self.consensus.last_index() > 0
            or self.consensus.leader_term > 0
            or set(self.bootstrap_members) <= self.consented | {self.identity}
        )
        leading = self.consensus.role == "leader"
        if allowed and (leading or not self.stopping):
            self._run(self.consensus.tick(now), now)
        if self.stopping:
            if self.departure.due(now):
                self._tell_leave()
            return
        if self.consensus.removed or self.identity not in self.consensus.membership.members():
            self._ask_to_join(now)
        if self.consensus.role == "leader":
            self._leader_tick(now)
        self._maintain_rehearsal(now)

    # --- the rehearsal duty -----------------------------------------------------------
    def _maintain_rehearsal(self, now):
        """The first live accord in the agreed order that does not lead measures drafts;
        the leader itself only when alone."""
        asked = [draft for draft in self.cluster_state.drafts.values() if draft["state"] == "rehearsing"]
        if not asked or self.rehearsing is not None or self.stopping:
            return
        leader = self.consensus.following
        live = sorted({session.identity for session in self.sessions.live("accord")} | {self.identity})
        order = [one for one in live if one in self.consensus.membership.members() and one != leader] or [
            leader
        ]
        if order[0] != self.identity:
            return
        epoch, role_holder = self.cluster_state.epochs.get("rehearsal", (0, ""))
        if role_holder != self.identity:
            if now - self.claim_at >= constants.JOIN_AGAIN:
                self.claim_at = now
                self._to_leader(("claim", "rehearsal", self.identity), now)
            return
        draft = min(asked, key=lambda one: one["time"])
        self.rehearsing = (draft["draft"], draft["asked"])
        self.effects.append(
            Rehearse(
                epoch,
                draft["draft"],
                draft["asked"],
                self.cluster_state.sample.traffic(self.cluster_state.pushed_jobs),
                self.cluster_state.queue_configuration,
                draft["setup"],
                draft["rooms"],
            )
        )

    def _to_leader(self, message, now):
        """Hands a message to whoever leads, perhaps this accord."""
        if self.consensus.role == "leader":
            INPUTS[message[0]](self, *message[1:], now)
        else:
            self._send(self._leader_address(), message)

    def _on_claim(self, role, identity, now):
        if self.consensus is not None and self.consensus.role == "leader" and self.consensus.serving():
            if self.cluster_state.epochs.get(role, (0, ""))[1] != identity:
                self.propose(("duty", role, identity), None, now)

    measure = staticmethod(rehearsal.measure)

    def _on_rehearsed(self, epoch, draft, asked, measure, now):
        """The measuring is done; its result is agreed on under the epoch it was begun in."""
        self.rehearsing = None
        self._event(162, draft=draft, verdict=measure["verdict"])
        if self.consensus is not None:
            self._to_leader(("measured", epoch, draft, asked, measure), now)

    def _on_measured(self, epoch, draft, asked, measure, now):
        if self.consensus is not None and self.consensus.role == "leader" and self.consensus.serving():
            self.propose(("measure", epoch, draft, asked, measure), None, now)

    # --- sessions ---------------------------------------------------------------------
    def _greeting(self, now):
        view = () if self.cluster or not self.may_bootstrap else self.bootstrap.view(now)
        clock = self.time.readings[self.identity][0] + now
        return (
            self.identity,
            "accord",
            self.zone,
            self.address,
            self.cluster,
            view,
            clock,
            self.sessions.known_control_daemons(),
            self.bootstrap_members,
            self.level,
        )

    def _greet(self, now):
        message = ("greet", *self._greeting(now))
        notice = ("tell", self.identity, self.sessions.own())
        addresses = {known[1] for known in self.sessions.control_daemons.values()} | set(self.seeds)
        for address in sorted(addresses):
            self._send(address, message)
        for session in self.sessions.live("accord"):
            if session.identity != self.identity:
                self._send(session.address, notice)

    def _hear(
        self,
        identity,
        kind,
        zone,
        address,
        cluster,
        view,
        clock,
        control_daemons,
        bootstrap_members,
        level,
        now,
    ):
        """What a greeting and its answer have in common."""
        if identity == self.identity:
            return
        self.leaving.pop(identity, None)
        if self.sessions.greeted(identity, kind, zone, address, now):
            self._event(140, daemon=identity, kind=kind, address=address)
        self.sessions.vouched(control_daemons)
        if kind == "accord":
            self.advertised_levels[identity] = level
            if self.consensus is None or identity in self.consensus.membership.members():
                self.time.hear(identity, clock, now)
        if self.cluster is None:
            if cluster or kind != "accord" or self.bootstrap_among is None or address in self.bootstrap_among:
                self.bootstrap.heard(identity, kind, zone, cluster, view, now)
            if cluster and self.identity in bootstrap_members:
                self._consent(cluster, {one: None for one in bootstrap_members}, now, identity)
        elif cluster == self.cluster and kind == "accord":
            self.consented.add(identity)

    def _on_greet(self, *rest):
        *fields, now = rest
        self._hear(*fields, now)
        if not self.stopping:
            notice = (self._leader_address(), self._now(now), self._leader_reading(now))
            self._send(fields[3], ("greeted", *self._greeting(now), *notice))

    def _on_greeted(self, *rest):
        *fields, _, _, reading, now = rest
        self.leader_clock.hear(reading, now)
        self._hear(*fields, now)

    def _on_tell(self, teller, sessions, now):
        self.sessions.relayed(teller, sessions, now)

    def _on_leave(self, identity, now):
        """A daemon ends its session itself."""
        if self.sessions.by_identity.pop(identity, None):
            self._event(141, daemon=identity)
        if self.consensus is not None and identity in self.consensus.membership.members():
            self.leaving[identity] = membership.Leave(now, None)

    def _on_seat(self, kept, now):
        """The leader says whether this stopping voter's seat is kept for it or goes to a spare."""
        if self.departure is not None:
            self.departure.kept = kept

    def _leader_address(self):
        if self.consensus is None or self.consensus.following is None:
            return None
        if self.consensus.following == self.identity:
            return self.address
        return self.sessions.address(self.consensus.following)

    def _leader_reading(self, now):
        """The Reading that the leader's steady clock has passed, as far as this accord knows."""
        if self.consensus is not None and self.consensus.role == "leader":
            return Reading(self.consensus.term, now)
        return self.leader_clock.floor(now)

    def _now(self, now):
        """Cohort time: the clocks' median, never behind the record."""
        members = self.consensus.membership.members() if self.consensus is not None else ()
        return self.time.read(now, self.cluster_state.time, len(members) // 2 + 1)

    # --- founding and joining ---------------------------------------------------------
    def _bootstrap(self, now):
        mine = self.may_bootstrap and (self.bootstrap_among is None or self.address in self.bootstrap_among)
        ready = self.bootstrap.ready(now) if mine else None
        if ready is not None:
            cluster, members = ready
            self._consent(cluster, members, now, None)
        elif self.bootstrap.veto(now):
            self._ask_to_join(now)

    def _consent(self, cluster, members, now, teller):
        """Consents to a founding, its own or one that names this accord."""
        if teller is not None:
            zones = {
                one: self.bootstrap.empty_daemons.get(one, (None,))[0] or self._zone_of(one)
                for one in members
            }
            zones[self.identity] = self.zone
            if None in zones.values():
                return
            members = zones
        if self.cluster is not None or self.bootstrap.veto(now, cluster) or not self.may_bootstrap:
            return  # a cohort is known: no word of another's makes this accord found one
        self.cluster = cluster
        self.bootstrap_members = tuple(sorted(members))
        self._begin_consensus(members)
        self.effects.append(WriteNote(["consent", cluster, dict(members), self.mode]))
        self._event(111, cohort=cluster, members=sorted(members))

    def _zone_of(self, identity):
        known = self.sessions.control_daemons.get(identity)
        return known[0] if known else None

    def _ask_to_join(self, now):
        followed = self.consensus is not None and self.consensus.leader_near(now)
        wait = constants.JOIN_AGAIN if followed else constants.JOIN_SEEK
        if now - self.join_at < wait or self.stopping:
            return
        self.join_at = now
        if self.cluster is None and now - self.join_deferred_at >= constants.JOIN_AGAIN:
            self.join_deferred_at = now
            self._event(112, cohort=self.bootstrap.veto(now))
        for session in self.sessions.live("accord"):
            self._send(session.address, ("join", self.identity, self.zone, self.address))

    def _on_join(self, identity, zone, address, now):
        if self.consensus is None or self.consensus.role != "leader" or not self.consensus.serving():
            return
        members = self.consensus.membership.members()
        if identity in members:
            return
        self.sessions.greeted(identity, "accord", zone, address, now)
        if len(self.consensus.learners) >= constants.MAX_CLUSTER_MEMBERS:
            self._forget_lost_learners()
        if len(self.consensus.learners) < constants.MAX_CLUSTER_MEMBERS:
            self.consensus.learn(identity, zone, now)
        self._send(address, ("admit", self.cluster, self.mode, self.identity))

    def _forget_lost_learners(self):
        """Makes room among the learners: one without a session asks to join again should it come back."""
        live = {session.identity for session in self.sessions.live("accord")}
        for identity in set(self.consensus.learners) - live - set(self.consensus.membership.members()):
            self.consensus.forget_learner(identity)

    def _on_admit(self, cluster, mode, leader, now):
        if self.cluster is None:
            self.cluster, self.mode = cluster, mode
            self._begin_consensus({})
            self.effects.append(WriteNote(["joined", cluster, mode]))
            self._event(113, cohort=cluster)

    def _maintain_members(self, now):
        """Lets caught-up newcomers in and long lost members out, by joint consensus."""
        consensus = self.consensus
        self._time_change(now)
        live = {session.identity for session in self.sessions.live("accord")} - set(self.leaving)
        live.add(self.identity)
        members = consensus.membership.members()
        if not consensus.serving():
            return
        self._tell_seats(live, now)
        if consensus.membership.coming is not None:
            return
        change = self._wanted_members(members, live, now)
        if change is not None:
            self._propose_members(change, now)

    def _wanted_members(self, members, live, now):
        """The list that is to follow, or None while this one is right."""
        caught_up = {
            one: zone
            for one, zone in self.consensus.learners.items()
            if one in live and one not in members and self.consensus.caught_up(one)
        }
        out = {one: self._unheard(one, now) for one in members if one not in live}
        for leaver in sorted(one for one in self.leaving if one in out):
            successor = membership.successor(self.consensus.membership.now, leaver, caught_up, live)
            if successor is not None:
                return membership.swapped(members, leaver, successor, caught_up[successor])
        for identity, zone in sorted(caught_up.items()):
            change = self._admission(identity, zone, members, out, live)
            if change is not None:
                return change
        for identity, unheard in sorted(out.items()):
            beside = any(one in live and zone == members[identity] for one, zone in members.items())
            least = self.voters if self.mode == "single" else 3
            if unheard > constants.RETIRE_AFTER and beside and len(members) > least:
                return {one: zone for one, zone in members.items() if one != identity}
        return None

    def _unheard(self, identity, now):
        """How long a member that is out of session was not heard, as far as this accord can tell."""
        return now - max(self.sessions.heard(identity), self.first_tick_at)

    def _time_change(self, now):
        """Measures how long the joint change that this accord leads takes."""
        if self.change_begun is None or self.consensus.changing():
            return
        self.change_took, self.change_begun = now - self.change_begun, None

    def _tell_seats(self, live, now):
        """Tells each stopping voter whether a spare is to have its seat, and forgets those long gone."""
        members = self.consensus.membership.members()
        spares = {one: zone for one, zone in self.consensus.learners.items() if one not in members}
        for leaver, leave in list(self.leaving.items()):
            if leaver not in self.consensus.membership.now.members or now - leave.since > self.catch_up:
                del self.leaving[leaver]
                continue
            kept = membership.successor(self.consensus.membership.now, leaver, spares, live) is None
            if leave.kept != kept:
                self.leaving[leaver] = leave._replace(kept=kept)
                self._send(self.sessions.address(leaver), ("seat", kept))

    def _admission(self, identity, zone, members, out, live):
        """The members once a newcomer is in: in a lost one's place, its own area's first, or in an area
        without any; else None, and it stays a spare that follows the log."""
        address = self.sessions.address(identity)
        lost = [one for one in members if self.sessions.address(one) == address]
        if not lost:
            after = membership.Budget(self.catch_up, self.change_took).replace_after()
            missed = [one for one, unheard in out.items() if unheard >= after]
            lost = [one for one in missed if members[one] == zone] or [
                one
                for one in missed
                if membership.gains(self.consensus.membership.now, one, identity, zone, live)
            ]
        if lost:
            leaves = max(lost, key=lambda one: (out.get(one, 0.0), one))
            return membership.swapped(members, leaves, identity, zone)
        if self.mode == "single":
            # so many that any two lost leave a majority, and no area as many as would be missed
            inside = sum(one == zone for one in members.values())
            if len(members) < self.voters and inside < (self.voters - 1) // 2:
                return {**members, identity: zone}
            return self._spread_zones(identity, zone, members, live)
        if zone in members.values() or len(members) >= constants.MAX_CLUSTER_MEMBERS:
            return None  # a spare: a group of two would need both, so it waits for a loss
        return {**members, identity: zone}

    def _spread_zones(self, identity, zone, members, live):
        """The members once a newcomer has the seat of one whose area holds several, as after a loss that
        one of another area stood in for; None where that leaves no more to lose."""
        for one, place in sorted(members.items()):
            several = sum(other == place for other in members.values()) > 1
            if several and one != self.identity and place != zone:
                if membership.gains(self.consensus.membership.now, one, identity, zone, live):
                    return membership.swapped(members, one, identity, zone)
        return None

    def _propose_members(self, members, now):
        result = self.consensus.change_members(members, self._now(now), now)
        if result is not None:
            self.change_begun = now
            self._run(result[1], now)

    # --- consensus --------------------------------------------------------------------
    def _on_raft(self, cluster, sender, receiver, message, now):
        if self.consensus is None or cluster != self.cluster or receiver != self.identity:
            self._event(147, kind="raft", cohort=cluster, receiver=receiver)
            return
        self._run(self.consensus.step(sender, consensus_messages.decode(message), now), now)

    def _on_saved(self, sequence, now):
        self.counts["syncs"] += 1
        if self.consensus.saving:
            self.sync_histogram.add(now - self.consensus.saving[0].begun_at)
        self._run(self.consensus.saved(sequence, now), now)

    def _on_disk(self, why, now):
        """The disk refused to write, or (why is None) writes again."""
        if why is None:
            self._event(107)
            return
        self._event(106, why=why)
        if self.consensus is not None:
            self._run(self.consensus.disk_failed(now), now)

    def _on_encoded(self, index, data, now):
        self.snapshotting = False
        if index > self.consensus.base_index and self.consensus.term_at(index) is not None:
            payload = self.consensus.compact(index, data, self.snapshot_segments)
            self.cluster_state.archive.retired.clear()
            self.effects.append(WriteBase(None, self.base(payload)))
            self._event(126, index=index, bytes=len(data))

    def _run(self, effects, now):
        """Carries out what consensus decided."""
        for effect in effects:
            match effect:
                case SendMessage(receiver, message):
                    address, wire = self.sessions.address(receiver), consensus_messages.encode(message)
                    self._send(address, ("raft", self.cluster, self.identity, receiver, wire))
                case SaveChange():
                    self.effects.append(effect)
                case LogEvent(number, fields):
                    self._event(number, **fields)
                case SaveBase(sequence, payload):
                    self.effects.append(WriteBase(sequence, self.base(payload)))
                case CommitEntries(first, entries):
                    self._apply(first, entries, now)
                case InstallSnapshot(_, image, segments):
                    self._install(image, segments)
                case BecomeLeader():
                    self._clear_leadership(now)
                    self.leader_since = now
                case StepDown():
                    self._step_down(now)
                case ReadConfirmed(token, _):
                    self._answer_read(token, now)

    def _install(self, image, segments):
        """Takes the cluster state of a snapshot that was received."""
        self.since_base = 0
        archive = self.cluster_state.archive
        self._take_cluster_state(image, {**archive.retired, **archive.segments, **segments})
        for number, data in sorted(segments.items()):
            self.effects.append(WriteSegment(number, data))

    def _step_down(self, now):
        for waiting in (*self.awaiting.values(), self.ends_waiting):
            for address, token, _, _ in waiting:
                if token is not None:
                    self.in_doubt(address, token)
        for address, token, _, _ in self.reading.values():
            self.not_taken(address, token, None, now)
        for address, token, _ in self.assignments.deferred_heartbeats.values():
            self.not_taken(address, token, None, now)
        self._clear_leadership(now)

    def _apply(self, start, entries, now):
        consensus = self.consensus
        for place, (term, time, operation) in enumerate(entries):
            index = start + place
            operation = unpacked(operation)
            outcome = self.cluster_state.apply(index, time, operation)
            self.counts["applied"] += 1
            # of what older leaders proposed only the outcome counts: nobody waits for it here
            if consensus.role == "leader" and consensus.commit >= index and term == consensus.term:
                self._react_to_applied(operation, outcome, now)
                for address, token, shape, extra in self.awaiting.pop(index, ()):
                    self._tell(address, token, shape, extra, outcome, now)
        for number, data in self.cluster_state.sealed:
            self.effects.append(WriteSegment(number, data))
        self.cluster_state.sealed.clear()
        if entries:
            self.since_base += consensus.log.bytes_between(start, start + len(entries) - 1)
        if not self.snapshotting and self._snapshot_due():
            self.snapshotting = True
            self.since_base = 0
            self.snapshot_segments = self.cluster_state.archive.range()
            self.effects.append(EncodeSnapshot(self.cluster_state.index, self.cluster_state.image()))

    def _snapshot_due(self):
        """Whether so many entries, or so many bytes of them, were applied since the last base. A
        large image is made more rarely, so that writing it costs no more than the entries did."""
        consensus = self.consensus
        if self.cluster_state.index - consensus.base_index >= constants.SNAPSHOT_ENTRIES:
            return True
        least = min(max(self.limits.since_base, len(consensus.base_image or b"")), self.limits.log // 2)
        return self.since_base >= least

    def _tell(self, address, token, shape, extra, outcome, now):
        if token is None:
            return
        self.answer(address, token, OUTCOME_ANSWERS[shape](self, outcome, extra, now))

    # --- calls that come here from outside --------------------------------------------
    def _on_call(self, request, call, arguments, patience, now):
        """A call at this accord's own ports: decided here, or carried to the leader."""
        if call == "ready":
            self.effects.append(Reply(request, 200 if self.consensus is not None else 503, {}))
            return
        token = self.indexed_forwarder.begin(request, call, arguments, now, patience)
        self._forward(token, now)

    def _forward(self, token, now):
        call = self.forwarder.calls[token]
        if self.consensus is not None and self.consensus.role == "leader":
            end = Reading(self.consensus.term, call.until)
            attempt = self.forwarder.sent(token, self.address, now, end)
            self._on_ask(self.address, token, call.call, call.arguments, attempt, end, now)
        else:
            address = self._leader_address()
            end = self.leader_clock.end(call.until, now)
            attempt = self.forwarder.sent(token, address, now, end)
            self._send(address, ("ask", self.address, token, call.call, call.arguments, attempt, end))

    def _forward_again(self, now):
        due, effects = self.forwarder.due(now)
        self.effects.extend(effects)
        for token in due:
            if token in self.forwarder.calls:
                self._forward(token, now)

    def _on_seeds(self, seeds, now):
        """The settings name other seeds."""
        self.seeds = tuple(seeds)
        self._event(182, seeds=list(seeds))

    def _on_answer(self, token, answer, key, now):
        call = self.forwarder.waiting(token, key)
        if call is None:
            return
        if call.call == "beat" and "home" in answer[1]:
            # where the leader is, is told now and then only: a minion that can't reach it beats here again
            worker = call.arguments[0]
            if now - self.hinted.get(worker, -1e9) < constants.HINT_EVERY:
                del answer[1]["home"]
            else:
                self.hinted[worker] = now
        self.effects.extend(self.indexed_forwarder.answered(token, answer, key, now))

    def _on_not_taken(self, token, leader, attempt, reading, now):
        self.leader_clock.hear(reading, now)
        self.forwarder.not_taken(token, attempt)
        call = self.forwarder.calls.get(token)
        if call is not None and leader is not None and (call.term or 0) < self.leader_clock.term:
            self._forward(token, now)  # it lacked an end on this leader's clock

    def _on_undelivered(self, token, attempt, now):
        """A sending of a call reached nobody: no connection could be made."""
        self.forwarder.not_taken(token, attempt)

    def _on_in_doubt(self, token, now):
        self.forwarder.in_doubt(token)

    # --- stopping ---------------------------------------------------------------------
    def _on_stop(self, now):
        """SIGTERM: hands leadership to a voter that holds all, leaves the session, finishes nothing new."""
        self.stopping = True
        self.departure = membership.Departure(now, self.leave_within)
        self._event(101)
        if self.consensus is not None:
            able = {session.identity for session in self.sessions.live("accord")} - set(self.leaving)
            self._run(self.consensus.transfer_leadership(able, now), now)
        self.departure.due(now)
        self._tell_leave()

    def _tell_leave(self):
        for session in self.sessions.live("accord"):
            self._send(session.address, ("leave", self.identity))

    def may_end(self, now):
        """Whether a stopping process may end as far as its seat and its leadership go."""
        if self.departure is None or self.consensus is None:
            return True
        voting = (
            self.identity in self.consensus.membership.members()
            and len(self.consensus.membership.members()) > 1
        )
        return self.departure.over(now, voting, self.consensus.role == "leader")


# The registry of inputs: message kind -> handler.
INPUTS = {
    "tick": ControlDaemon._tick,
    "greet": ControlDaemon._on_greet,
    "greeted": ControlDaemon._on_greeted,
    "tell": ControlDaemon._on_tell,
    "leave": ControlDaemon._on_leave,
    "join": ControlDaemon._on_join,
    "admit": ControlDaemon._on_admit,
    "raft": ControlDaemon._on_raft,
    "saved": ControlDaemon._on_saved,
    "encoded": ControlDaemon._on_encoded,
    "disk": ControlDaemon._on_disk,
    "http": ControlDaemon._on_http,
    "claim": ControlDaemon._on_claim,
    "rehearsed": ControlDaemon._on_rehearsed,
    "measured": ControlDaemon._on_measured,
    "ask": ControlDaemon._on_ask,
    "news": ControlDaemon._on_update_request,
    "call": ControlDaemon._on_call,
    "answer": ControlDaemon._on_answer,
    "elsewhere": ControlDaemon._on_not_taken,
    "unsure": ControlDaemon._on_in_doubt,
    "undelivered": ControlDaemon._on_undelivered,
    "seeds": ControlDaemon._on_seeds,
    "seat": ControlDaemon._on_seat,
    "stop": ControlDaemon._on_stop,
}
