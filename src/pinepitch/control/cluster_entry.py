"""How a daemon enters a cluster: it founds one with others, or joins an existing one."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..common import constants
from ..common.effects import WriteNote
from ..model.handshake import Handshake
from .membership_changes import Members

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class ClusterEntry:
    """Invariant: a daemon that knows a cluster never founds one, nor joins another."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.last_join_at = -1e9  # seconds; when it last asked to join
        self.last_deferral_event_at = -1e9  # seconds; when it last logged that it waits
        # seconds; when it last logged that it hears of no cluster, or began to look for one
        self.no_cluster_reported_at: float | None = None

    def seek_cluster(self, now: float) -> None:
        """Founds a cluster once that is allowed, or asks to join the one that was seen."""
        can_found = self.daemon.may_bootstrap and self._may_found(self.daemon.address)
        ready = self.daemon.bootstrap.ready(now) if can_found else None
        if ready is not None:
            cluster, members = ready
            self.consent(cluster, members, now)
        elif self.daemon.bootstrap.veto(now):
            self.ask_to_join(now)
        elif not can_found:
            self._report_no_cluster(now)

    def _report_no_cluster(self, now: float) -> None:
        """Logs at intervals that this daemon hears of no cluster and may not found one."""
        if self.no_cluster_reported_at is None:
            self.no_cluster_reported_at = now
        elif now - self.no_cluster_reported_at >= constants.NO_CLUSTER_REPORT_EVERY:
            self.no_cluster_reported_at = now
            self.daemon.event(114)

    def _may_found(self, address: str) -> bool:
        """Whether a daemon at that address may take part in the founding of a cluster."""
        return self.daemon.bootstrap_among is None or address in self.daemon.bootstrap_among

    def on_handshake(self, handshake: Handshake, now: float) -> None:
        """Processes a handshake while this daemon knows no cluster."""
        if handshake.cluster or handshake.kind != "accord" or self._may_found(handshake.address):
            self.daemon.bootstrap.observe(
                handshake.identity, handshake.kind, handshake.zone, handshake.cluster, handshake.view, now
            )
        if handshake.cluster and self.daemon.identity in handshake.bootstrap_members:
            members = self._with_zones(handshake.bootstrap_members)
            if members is not None:
                self.consent(handshake.cluster, members, now)

    def _with_zones(self, identities: Iterable[str]) -> Members | None:
        """The founding members that another daemon names, with their zones; None while a zone is unknown."""
        members = {}
        for identity in identities:
            zone = self.daemon.bootstrap.empty_daemons.get(identity, (None,))[0] or self._zone_of(identity)
            if identity == self.daemon.identity:
                zone = self.daemon.zone
            if zone is None:
                return None
            members[identity] = zone
        return members

    def consent(self, cluster: str, members: Members, now: float) -> None:
        """Consents to the founding of a cluster, proposed here or by another daemon's list that names this
        one.
        """
        if (
            self.daemon.cluster is not None
            or self.daemon.bootstrap.veto(now, cluster)
            or not self.daemon.may_bootstrap
        ):
            return  # a daemon that knows a cluster founds none, whatever others report
        self.daemon.cluster = cluster
        self.daemon.bootstrap_members = tuple(sorted(members))
        self.daemon.begin_consensus(members)
        self.daemon.effects.append(WriteNote(["consent", cluster, dict(members), self.daemon.mode]))
        self.daemon.event(111, cohort=cluster, members=sorted(members))

    def _zone_of(self, identity: str) -> str | None:
        """The zone of a control daemon, if it is known."""
        endpoint = self.daemon.sessions.control_daemons.get(identity)
        return endpoint[0] if endpoint else None

    def ask_to_join(self, now: float) -> None:
        """Asks the control daemons in session to be admitted, at intervals."""
        follows_leader = self.daemon.consensus is not None and self.daemon.consensus.leader_heard_recently(
            now
        )
        wait = constants.JOIN_AGAIN if follows_leader else constants.JOIN_SEEK
        if now - self.last_join_at < wait or self.daemon.stopping:
            return
        self.last_join_at = now
        if self.daemon.cluster is None and now - self.last_deferral_event_at >= constants.JOIN_AGAIN:
            self.last_deferral_event_at = now
            self.daemon.event(112, cohort=self.daemon.bootstrap.veto(now))
        for session in self.daemon.sessions.live("accord"):
            self.daemon.send(
                session.address, ("join", self.daemon.identity, self.daemon.zone, self.daemon.address)
            )

    def on_admit(self, cluster: str | None, mode: str, leader: str | None, now: float) -> None:
        """Handles the admission by the leader of a cluster: this daemon becomes a learner."""
        if self.daemon.cluster is None:
            self.daemon.cluster, self.daemon.mode = cluster, mode
            self.daemon.begin_consensus({})
            self.daemon.effects.append(WriteNote(["joined", cluster, mode]))
            self.daemon.event(113, cohort=cluster)
