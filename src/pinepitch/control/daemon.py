"""The control daemon as a deterministic state machine: it takes messages and returns effects of
`common.effects`.

Each module of this package implements one component. This module owns the state that the components share,
dispatches inputs to them, and is the interface through which other packages reach them.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..common import constants, limits, metrics
from ..common.effects import Event, Send
from ..consensus.cluster_clock import ClusterClock
from ..consensus.leader_clock import LeaderClock, Reading
from ..consensus.replica import Consensus
from ..model.decisions import Answer
from ..model.push_worker import PushWorker, Report
from ..scheduling.assignment_manager import AssignmentManager
from ..scheduling.heartbeat_addresses import Follower
from ..state.cluster_state import ClusterState
from ..transport.callers import CallerTable
from ..transport.forwarder import Forwarder
from ..transport.indexed_forwarder import IndexedForwarder
from . import membership, rehearsal
from .applied_entries import AppliedEntries
from .bootstrap import Bootstrap
from .client_requests import ClientRequests
from .cluster_entry import ClusterEntry
from .consensus_driver import ConsensusDriver
from .early_cancellations import EarlyCancellations
from .forwarded_requests import ForwardedRequests
from .front_updates import FrontUpdates
from .handshakes import Handshakes
from .image_digests import ImageDigests
from .leadership import Leadership
from .membership_changes import Members, MembershipChanges
from .placement import Placer
from .proposals import OutcomeListener, Proposals
from .rehearsal_role import RehearsalRole
from .sessions import CONTROL_DAEMON, Sessions
from .shutdown import Shutdown
from .worker_reports import WorkerReports


class ControlDaemon:
    """Invariants: a daemon has a consensus replica exactly if it knows a cluster; the cluster state reflects
    exactly the entries that have been applied; state that belongs to a leader is reset unless this daemon
    leads.
    """

    level = constants.RECORD_LEVEL
    cluster_state_class = ClusterState
    measure = staticmethod(rehearsal.measure)

    def __init__(
        self,
        identity: str,
        address: str,
        zone: str,
        seeds: Iterable[str],
        bootstrap_members: int = constants.BOOTSTRAP_MEMBERS,
        mode: str = "static",
        seed: Any = 0,
    ) -> None:
        self.identity, self.address, self.zone = identity, address, zone
        self.seeds, self.mode, self.seed = tuple(seeds), mode, seed
        self.sessions = Sessions()
        self.bootstrap = Bootstrap(identity, zone, bootstrap_members)
        self.time = ClusterClock()
        self.cluster: str | None = None
        self.bootstrap_members: tuple[str, ...] = ()  # identities whose consent founds the cluster
        self.consented: set[str] = set()
        self.consensus: Any = None
        self.cluster_state = self.cluster_state_class()
        self.effects: list[Any] = []
        self.stopping = False
        self.departure: membership.Departure | None = None  # set once this daemon is stopping
        self.first_tick_at: float | None = None
        self.step_at = 0.0  # seconds of the steady clock; time of the newest step
        self.advertised_levels = {identity: self.level}  # control daemon -> the level that it advertised last
        self._set_default_settings()
        self._init_counters()
        incarnation = f"{identity}~{seed}"  # the seed is new in each incarnation
        self.forwarder = Forwarder(incarnation, address, self.event)
        self.indexed_forwarder = IndexedForwarder(self.forwarder)
        self.leader_clock = LeaderClock()
        self._create_components()
        self.clear_leadership(0.0)
        self.inputs = self._input_handlers()

    def _set_default_settings(self) -> None:
        """Sets the defaults that the program running this daemon may override before the first step."""
        self.bootstrap_among: tuple[str, ...] | None = None  # addresses that may found; None for any
        self.voters = constants.BOOTSTRAP_MEMBERS  # target in single mode, where each is a group
        self.may_bootstrap = True  # False after a loss of the disk: the daemon may then only join
        self.limits = limits.USUAL
        self.callers = CallerTable()  # connections and requests, for the metrics
        self.catch_up = constants.CATCH_UP  # seconds; within which a lost voter must be replaced
        self.leave_within = constants.LEAVE_WITHIN  # seconds; from SIGTERM to the voter slot's handover
        self.begun_at: float | None = None  # when this process locked its data folder, if known
        self.rules: tuple[Any, ...] = ()  # alert rules from this machine's rules file
        self.lease_duration = constants.LEASE_DURATION  # seconds
        self.far = constants.FAR  # factor by which a task takes longer away from its data
        # seconds by which jobs may arrive earlier than the weight of their tenant entitles it to
        self.tenant_burst = constants.TENANT_BURST
        self.tracing = False  # whether events for a timeline of jobs are logged

    def _init_counters(self) -> None:
        """Initializes the counters that the metrics report for this incarnation."""
        self.counts = {"applied": 0, "sent": 0, "syncs": 0, "pauses": 0}
        self.paused_seconds = 0.0  # total of the pauses of this process that were longer than CONFIRM_PAUSE
        self.event_counts: dict[int, int] = {}  # number of an event -> count
        self.refusals: dict[str, int] = {}  # reason why a placement was refused -> count
        self.end_counts: dict[str, int] = {}  # how an attempt ended -> count
        self.sync_histogram = metrics.Histogram()  # seconds
        self.wait_histograms: dict[str, metrics.Histogram] = {}  # queue -> seconds from ready to placed

    def _create_components(self) -> None:
        """Creates the components, which reach each other through this daemon."""
        self.consensus_driver = ConsensusDriver(self)
        self.image_digests = ImageDigests(self)
        self.handshakes = Handshakes(self)
        self.cluster_entry = ClusterEntry(self)
        self.rehearsal_role = RehearsalRole(self)
        self.client_requests = ClientRequests(self)
        self.membership_changes = MembershipChanges(self)
        self.forwarded_requests = ForwardedRequests(self)
        self.front_updates = FrontUpdates(self)
        self.worker_reports = WorkerReports(self)
        self.proposals = Proposals(self)
        self.early_cancellations = EarlyCancellations(self)
        self.applied_entries = AppliedEntries(self)
        self.leadership = Leadership(self)
        self.shutdown = Shutdown(self)

    def clear_leadership(self, now: float) -> None:
        """Resets the state that belongs to a leader, as a term begins or ends."""
        self.assignments = AssignmentManager(self, now)
        self.worker_reports.clear()
        self.proposals.clear()
        self.early_cancellations.clear()
        self.forwarded_requests.clear()
        self.front_updates.clear()
        self.leadership.clear()
        self.membership_changes.clear()

    # --- interface for other packages and the components -----------------------------------
    @property
    def push_workers(self) -> dict[str, PushWorker]:
        """Workers that take orders, by name, as last reported; empty unless this daemon leads."""
        return self.worker_reports.push_workers

    @property
    def proposed_ends(self) -> set[tuple[str, int]]:
        """(reference, attempt) of the ends that were proposed in this term and are not committed yet."""
        return self.worker_reports.proposed_ends

    @property
    def kills(self) -> dict[str, float]:
        """Reference of a task -> when a kill was last ordered for it, in seconds of the steady clock."""
        return self.front_updates.kills

    @property
    def placer(self) -> Placer:
        """The component that decides on placements in this term."""
        return self.leadership.placer

    @property
    def rounds(self) -> int:
        """How many scheduling rounds this term has had."""
        return self.leadership.rounds

    @property
    def epoch(self) -> int:
        """Epoch of the placing role in this term; 0 before the role is claimed, -1 while the claim is
        pending.
        """
        return self.leadership.epoch

    @property
    def leader_since(self) -> float | None:
        """When this daemon began to lead, in seconds of the steady clock; None unless it leads."""
        return self.leadership.leader_since

    def take_report(self, report: Report, now: float) -> tuple[list[Any], list[Any], list[Any]]:
        """Processes a worker's report; returns (ends to commit, ends already recorded, stray runs)."""
        return self.worker_reports.take_report(report, now)

    def answer(self, address: str, token: str, answer: Answer, until: float | None = None) -> None:
        """Answers a pending request; the answer may be written until `until` at the latest."""
        self.forwarded_requests.answer(address, token, answer, until)

    def propose(self, operation: tuple[Any, ...], listener: OutcomeListener | None, now: float) -> None:
        """Proposes one operation for the log; `listener` is sent the outcome."""
        self.proposals.propose(operation, listener, now)

    def propose_at(self, operation: tuple[Any, ...], now: float) -> int | None:
        """Proposes an operation and returns the index of its entry; None if some member does not know it."""
        return self.proposals.propose_at(operation, now)

    def common_level(self) -> int:
        """The level of operations that all members know."""
        return self.proposals.common_level()

    def leased(self, now: float) -> bool:
        """Whether this daemon holds the leader lease, so that what it answers now can be relied on."""
        return self.consensus is not None and self.consensus.leased(now)

    def trace(self, number: int, **fields: Any) -> None:
        """Logs an event for a timeline of jobs. There are many of them, so they are logged only where
        enabled.
        """
        if self.tracing:
            self.event(number, **fields)

    def event(self, number: int, **fields: Any) -> None:
        """Logs and counts a numbered event."""
        self.event_counts[number] = self.event_counts.get(number, 0) + 1
        self.effects.append(Event(number, fields))

    def send(self, address: str | None, message: tuple[Any, ...]) -> None:
        """Sends a message to another daemon. Drops it if the address is unknown or this daemon's own."""
        if address is not None and address != self.address:
            self.counts["sent"] += 1
            self.effects.append(Send(address, message))

    def send_to_leader(self, message: tuple[Any, ...], now: float) -> None:
        """Passes a message to the leader, which may be this daemon."""
        if self.consensus.role == "leader":
            self.inputs[message[0]](*message[1:], now)
        else:
            self.send(self.leader_address(), message)

    def leader_address(self) -> str | None:
        """The address of the leader, as far as this daemon knows."""
        if self.consensus is None or self.consensus.current_leader is None:
            return None
        if self.consensus.current_leader == self.identity:
            return self.address
        return self.sessions.address(self.consensus.current_leader)

    def live_followers(self) -> list[Follower]:
        """The members of the cluster that this daemon hears, without itself."""
        members = self.consensus.membership.members() if self.consensus is not None else ()
        return [
            Follower(session.zone, session.address)
            for session in self.sessions.live(CONTROL_DAEMON)
            if session.identity in members and session.identity != self.identity
        ]

    def leader_reading(self, now: float) -> Reading | None:
        """A Reading that the leader's steady clock has passed, as far as this daemon knows."""
        if self.consensus is not None and self.consensus.role == "leader":
            return Reading(self.consensus.term, now)
        return self.leader_clock.floor(now)

    def cluster_time(self, now: float) -> float:
        """Cluster time in seconds: the median of the members' clocks, never behind the cluster state."""
        members = self.consensus.membership.members() if self.consensus is not None else ()
        return self.time.read(now, self.cluster_state.time, len(members) // 2 + 1)

    # --- durable state ----------------------------------------------------------------
    def restore(
        self,
        base: list[Any] | None,
        saved_steps: Iterable[list[Any]],
        segments: dict[int, bytes] | None = None,
    ) -> None:
        """Restores the daemon from the contents of its store. The identity was read from the store before."""
        changes, raft_base = [], None
        if base is not None:
            _, self.cluster, raft_base, _ = base
        members = None
        for step in saved_steps:
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
        self.begin_consensus(members)
        self.consensus.restore(raft_base, changes)
        if self.consensus.base_image:
            self.take_cluster_state(self.consensus.base_image, segments)

    def begin_consensus(self, members: Members | None) -> None:
        """Creates the consensus replica. `members` are the founding members, or empty for a daemon that
        joins.
        """
        self.consensus = Consensus(self.identity, self.seed, members, self.mode, self.limits)
        self.consensus.begun_at = self.begun_at
        self.consensus.archive = self.cluster_state.archive

    def take_cluster_state(self, image: bytes, segments: dict[int, bytes] | None) -> None:
        """Replaces the cluster state by a snapshot and the archive segments that it names."""
        self.cluster_state = self.cluster_state_class.decode(image, segments)
        self.consensus.archive = self.cluster_state.archive

    def base(self, raft_base: Any) -> list[Any]:
        """The payload of a base file. The store retains the segments that its last element names."""
        return [self.identity, self.cluster, raft_base, list(self.consensus.base_segments)]

    # --- inputs -----------------------------------------------------------------------
    def _input_handlers(self) -> dict[str, Callable[..., None]]:
        """The registry of inputs: message kind -> handler, called with the message's fields and `now`."""
        return {
            "tick": self._tick,
            "greet": self.handshakes.on_handshake,
            "greeted": self.handshakes.on_handshake_reply,
            "tell": self.handshakes.on_sessions_report,
            "leave": self.membership_changes.on_leave,
            "join": self.membership_changes.on_join,
            "admit": self.cluster_entry.on_admit,
            "raft": self.consensus_driver.on_raft,
            "saved": self.consensus_driver.on_saved,
            "encoded": self.consensus_driver.on_encoded,
            "disk": self.consensus_driver.on_disk,
            "http": self.client_requests.on_http,
            "claim": self.rehearsal_role.on_claim,
            "rehearsed": self.rehearsal_role.on_rehearsed,
            "measured": self.rehearsal_role.on_measured,
            "ask": self.forwarded_requests.on_request,
            "news": self.front_updates.on_update_request,
            "call": self.client_requests.on_request,
            "answer": self.client_requests.on_answer,
            "elsewhere": self.client_requests.on_refused,
            "unsure": self.client_requests.on_in_doubt,
            "undelivered": self.client_requests.on_undelivered,
            "hung-up": self.client_requests.on_hung_up,
            "paused": self.client_requests.on_paused,
            "seeds": self._on_seeds,
            "seat": self.shutdown.on_slot,
            "stop": self.shutdown.on_stop,
            "give-up": self.client_requests.on_give_up,
        }

    def step(self, message: tuple[Any, ...], now: float, clock: float) -> list[Any]:
        """Processes one message and returns the effects. `now` is the steady clock's time and `clock` the
        wall clock's, both in seconds.
        """
        self.time.record_reading(self.identity, clock, now)
        self.step_at = now
        kind, *fields = message
        handler = self.inputs.get(kind)
        if handler is not None:
            handler(*fields, now)
        else:
            self.event(147, kind=kind)
        if not self.stopping:  # after that, undecided work is left to the next leader
            self._run_leader_work(now)
        effects, self.effects = self.effects, []
        return effects

    def _run_leader_work(self, now: float) -> None:
        """Does the leader's work that is due and that no message asked for."""
        leadership = self.leadership
        if leadership.round_due and now - leadership.last_round_at >= constants.PLACE_EVERY:
            leadership.place_tasks(now)
        if leadership.epoch == 0 and self.consensus is not None and self.consensus.role == "leader":
            leadership.claim_placing_role(now)
        elif leadership.epoch > 0 and self.consensus.serving():
            if now - self.assignments.ticked_at >= constants.HEARTBEAT_BATCH_DELAY:
                self.assignments.tick(now)
            self.assignments.flush(now)
            self.early_cancellations.propose_due(now)

    def _tick(self, now: float) -> None:
        """Handles a tick of the clock."""
        self.client_requests.resend_due(now)
        if self.first_tick_at is None:
            self.first_tick_at = now
        for identity in self.sessions.expire(now):
            self.event(141, daemon=identity)
        if now - self.handshakes.last_handshake_at >= constants.GREET_EVERY and not self.stopping:
            self.handshakes.last_handshake_at = now
            self.handshakes.send_handshakes(now)
        if self.consensus is None:
            self.cluster_entry.seek_cluster(now)
            return
        if self._bootstrapped() and (self.consensus.role == "leader" or not self.stopping):
            self.consensus_driver.execute(self.consensus.tick(now), now)
        if self.stopping:
            if self.departure is not None and self.departure.due(now):
                self.shutdown.announce_leave()
            return
        if self.consensus.removed or self.identity not in self.consensus.membership.members():
            self.cluster_entry.ask_to_join(now)
        if self.consensus.role == "leader":
            self.leadership.tick(now)
        self.rehearsal_role.maintain(now)
        self.image_digests.tick(now)

    def _bootstrapped(self) -> bool:
        """Whether the cluster is founded: an entry exists, or all founding members have consented."""
        return (
            self.consensus.last_index() > 0
            or self.consensus.last_known_term > 0
            or set(self.bootstrap_members) <= self.consented | {self.identity}
        )

    def _on_seeds(self, seeds: Iterable[str], now: float) -> None:
        """Replaces the seeds after a change of the settings."""
        self.seeds = tuple(seeds)
        self.event(182, seeds=list(seeds))

    def may_end(self, now: float) -> bool:
        """Whether a stopping process may exit as far as its voter slot and its leadership are concerned."""
        return self.shutdown.may_end(now)
