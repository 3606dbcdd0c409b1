"""The control daemon as a decider: it takes messages, and returns effects of `common.effects`.

What it does is in the modules of this package, one part each; this one holds what they share, hands inputs
to them, and is the way by which other packages reach them.
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
from ..state.cluster_state import ClusterState
from ..transport.forwarder import Forwarder
from ..transport.indexed_forwarder import IndexedForwarder
from . import membership, rehearsal
from .agreement import ConsensusDriver
from .applied_entries import AppliedEntries
from .bootstrap import Bootstrap
from .cluster_entry import ClusterEntry
from .forwarded_requests import ForwardedRequests
from .front_updates import FrontUpdates
from .greetings import Handshakes
from .image_digests import ImageDigests
from .leader import Leadership
from .membership_changes import Members, MembershipChanges
from .outside_requests import ClientRequests
from .placement import Placer
from .proposals import OutcomeListener, Proposals
from .rehearsal_role import RehearsalRole
from .sessions import Sessions
from .stopping import Shutdown
from .worker_reports import WorkerReports


class ControlDaemon:
    """Invariants: with no cluster there is no consensus, and the other way round; the cluster state holds
    just the entries up to those applied; what exists only while leading is as new unless it leads.
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
        self.bootstrap_members: tuple[str, ...] = ()  # identities whose consent a founding needs
        self.consented: set[str] = set()
        self.consensus: Any = None
        self.cluster_state = self.cluster_state_class()
        self.effects: list[Any] = []
        self.stopping = False
        self.departure: membership.Departure | None = None  # of this daemon, once it stops
        self.first_tick_at: float | None = None
        self.step_at = 0.0  # seconds of the steady clock; when it was stepped last
        self.advertised_levels = {identity: self.level}  # control daemon -> the level it told last
        self._set_default_settings()
        self._init_counters()
        incarnation = f"{identity}~{seed}"  # the seed is drawn anew in each life
        self.forwarder = Forwarder(incarnation, address, self.event)
        self.indexed_forwarder = IndexedForwarder(self.forwarder)
        self.leader_clock = LeaderClock()
        self._create_components()
        self.clear_leadership(0.0)
        self.inputs = self._input_handlers()

    def _set_default_settings(self) -> None:
        """What the program that runs this daemon may set anew before the first step."""
        self.bootstrap_among: tuple[str, ...] | None = None  # addresses that may found; None for any
        self.voters = constants.BOOTSTRAP_MEMBERS  # members wanted in single mode, where each is a group
        self.may_bootstrap = True  # a daemon that has lost its disk joins, it never founds
        self.limits = limits.USUAL
        self.catch_up = constants.CATCH_UP  # seconds; in which a lost voter's successor must be a voter
        self.leave_within = constants.LEAVE_WITHIN  # seconds; from SIGTERM, in which a seat is handed on
        self.begun_at: float | None = None  # when this process came to own its data folder, if known
        self.rules: tuple[Any, ...] = ()  # alert rules of this machine's file
        self.lease_duration = constants.LEASE_DURATION  # seconds
        self.far = constants.FAR  # times as long that a task takes away from its data
        # seconds that jobs may come before the weight of their tenant has them due
        self.tenant_burst = constants.TENANT_BURST
        self.tracing = False  # whether events for a timeline of jobs are written

    def _init_counters(self) -> None:
        """What the metrics tell of this life."""
        self.counts = {"applied": 0, "sent": 0, "syncs": 0, "pauses": 0}
        self.paused_seconds = 0.0  # that the process did not run, in pauses over CONFIRM_PAUSE
        self.event_counts: dict[int, int] = {}  # number of an event -> how often
        self.refusals: dict[str, int] = {}  # why a placement was refused -> how often
        self.end_counts: dict[str, int] = {}  # how an attempt ended -> how often
        self.sync_histogram = metrics.Histogram()  # seconds
        self.wait_histograms: dict[str, metrics.Histogram] = {}  # queue -> seconds that tasks were ready

    def _create_components(self) -> None:
        """The parts, each of which reaches the others through this daemon."""
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
        self.applied_entries = AppliedEntries(self)
        self.leadership = Leadership(self)
        self.shutdown = Shutdown(self)

    def clear_leadership(self, now: float) -> None:
        """Forgets what exists only while leading, as a term begins or ends."""
        self.assignments = AssignmentManager(self, now)
        self.worker_reports.clear()
        self.proposals.clear()
        self.forwarded_requests.clear()
        self.front_updates.clear()
        self.leadership.clear()
        self.membership_changes.clear()

    # --- what other packages and the parts ask of it --------------------------------------
    @property
    def push_workers(self) -> dict[str, PushWorker]:
        """Workers that take orders, by name, as their reports tell; empty unless this daemon leads."""
        return self.worker_reports.push_workers

    @property
    def proposed_ends(self) -> set[tuple[str, int]]:
        """(reference, attempt) of ends that were proposed in this term and are not agreed on."""
        return self.worker_reports.proposed_ends

    @property
    def kills(self) -> dict[str, float]:
        """Reference of a task -> when its end was last ordered, in seconds of the steady clock."""
        return self.front_updates.kills

    @property
    def placer(self) -> Placer:
        """What decides on placements in this term."""
        return self.leadership.placer

    @property
    def rounds(self) -> int:
        """How many rounds of placing this term has had."""
        return self.leadership.rounds

    @property
    def epoch(self) -> int:
        """Of the placing role in this term; 0 before it is claimed, -1 while it is."""
        return self.leadership.epoch

    @property
    def leader_since(self) -> float | None:
        """When this daemon began to lead, in seconds of the steady clock; None unless it leads."""
        return self.leadership.leader_since

    def take_report(self, report: Report, now: float) -> tuple[list[Any], list[Any], list[Any]]:
        """A worker's report: (ends to agree on, ends that are known, strays)."""
        return self.worker_reports.take_report(report, now)

    def answer(self, address: str, token: str, answer: Answer, until: float | None = None) -> None:
        """Answers a pending request, until `until` at the latest."""
        self.forwarded_requests.answer(address, token, answer, until)

    def propose(self, operation: tuple[Any, ...], listener: OutcomeListener | None, now: float) -> None:
        """Puts one operation into the log; `waiting` is told the outcome."""
        self.proposals.propose(operation, listener, now)

    def propose_at(self, operation: tuple[Any, ...], now: float) -> int | None:
        """Proposes, and says at which index; None when it is held back."""
        return self.proposals.propose_at(operation, now)

    def common_level(self) -> int:
        """The level of operations that all members know."""
        return self.proposals.common_level()

    def leased(self, now: float) -> bool:
        """Whether what this daemon says as a leader can be relied on now."""
        return self.consensus is not None and self.consensus.leased(now)

    def trace(self, number: int, **fields: Any) -> None:
        """An event for a timeline of jobs: there are many, so only where the log keeps them."""
        if self.tracing:
            self.event(number, **fields)

    def event(self, number: int, **fields: Any) -> None:
        """Tells a numbered event."""
        self.event_counts[number] = self.event_counts.get(number, 0) + 1
        self.effects.append(Event(number, fields))

    def send(self, address: str | None, message: tuple[Any, ...]) -> None:
        """Sends a message to another daemon; to nobody if the address is unknown or its own."""
        if address is not None and address != self.address:
            self.counts["sent"] += 1
            self.effects.append(Send(address, message))

    def send_to_leader(self, message: tuple[Any, ...], now: float) -> None:
        """Hands a message to whoever leads, perhaps this daemon."""
        if self.consensus.role == "leader":
            self.inputs[message[0]](*message[1:], now)
        else:
            self.send(self.leader_address(), message)

    def leader_address(self) -> str | None:
        """Where the leader is, as far as this daemon knows."""
        if self.consensus is None or self.consensus.following is None:
            return None
        if self.consensus.following == self.identity:
            return self.address
        return self.sessions.address(self.consensus.following)

    def leader_reading(self, now: float) -> Reading | None:
        """The Reading that the leader's steady clock has passed, as far as this daemon knows."""
        if self.consensus is not None and self.consensus.role == "leader":
            return Reading(self.consensus.term, now)
        return self.leader_clock.floor(now)

    def cluster_time(self, now: float) -> float:
        """Cluster time in seconds: the clocks' median, never behind the cluster state."""
        members = self.consensus.membership.members() if self.consensus is not None else ()
        return self.time.read(now, self.cluster_state.time, len(members) // 2 + 1)

    # --- durable state ----------------------------------------------------------------
    def restore(
        self,
        base: list[Any] | None,
        saved_steps: Iterable[list[Any]],
        segments: dict[int, bytes] | None = None,
    ) -> None:
        """Takes what the store held; the identity was read from it already."""
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
        """The daemon is in a cluster from now on; `members` found it, or are empty where it joins."""
        self.consensus = Consensus(self.identity, self.seed, members, self.mode, self.limits)
        self.consensus.begun_at = self.begun_at
        self.consensus.archive = self.cluster_state.archive

    def take_cluster_state(self, image: bytes, segments: dict[int, bytes] | None) -> None:
        """Goes on from a snapshot, and the archive's segments that it names."""
        self.cluster_state = self.cluster_state_class.decode(image, segments)
        self.consensus.archive = self.cluster_state.archive

    def base(self, raft_base: Any) -> list[Any]:
        """The payload of a base file; the store keeps the segments that its last part names."""
        return [self.identity, self.cluster, raft_base, list(self.consensus.base_segments)]

    # --- inputs -----------------------------------------------------------------------
    def _input_handlers(self) -> dict[str, Callable[..., None]]:
        """The registry of inputs: message kind -> handler, which takes the message's fields and now."""
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
        }

    def step(self, message: tuple[Any, ...], now: float, clock: float) -> list[Any]:
        """Takes one message; returns the effects. `now` is the steady clock's, `clock` the wall clock's
        time, both in seconds.
        """
        self.time.hear(self.identity, clock, now)
        self.step_at = now
        kind, *fields = message
        handler = self.inputs.get(kind)
        if handler is not None:
            handler(*fields, now)
        else:
            self.event(147, kind=kind)
        if not self.stopping:  # what was not agreed on by then is the successor's to decide
            self._run_leader_work(now)
        effects, self.effects = self.effects, []
        return effects

    def _run_leader_work(self, now: float) -> None:
        """What a leader decides beside what a message asks for."""
        leadership = self.leadership
        if leadership.round_due and now - leadership.last_round_at >= constants.PLACE_EVERY:
            leadership.place_tasks(now)
        if leadership.epoch == 0 and self.consensus is not None and self.consensus.role == "leader":
            leadership.claim_placing_role(now)
        elif leadership.epoch > 0 and self.consensus.serving():
            if now - self.assignments.ticked_at >= constants.HEARTBEAT_BATCH_DELAY:
                self.assignments.tick(now)
            self.assignments.flush(now)

    def _tick(self, now: float) -> None:
        """Time has passed."""
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
        """Whether the cluster is founded: something was agreed on, or all who found it have consented."""
        return (
            self.consensus.last_index() > 0
            or self.consensus.last_known_term > 0
            or set(self.bootstrap_members) <= self.consented | {self.identity}
        )

    def _on_seeds(self, seeds: Iterable[str], now: float) -> None:
        """The settings name other seeds."""
        self.seeds = tuple(seeds)
        self.event(182, seeds=list(seeds))

    def may_end(self, now: float) -> bool:
        """Whether a stopping process may end as far as its seat and its leadership go."""
        return self.shutdown.may_end(now)
