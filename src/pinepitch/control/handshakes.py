"""Handshakes: how control daemons and front daemons discover each other and renew their sessions."""

from typing import TYPE_CHECKING, Any

from ..model.handshake import Handshake

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Handshakes:
    """Sends handshakes to all known control daemons at intervals, and processes those of others."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.last_handshake_at = -1e9  # seconds; when handshakes were last sent

    def _own_handshake(self, now: float) -> Handshake:
        """The handshake of this daemon."""
        daemon = self.daemon
        view = () if daemon.cluster or not daemon.may_bootstrap else daemon.bootstrap.view(now)
        return Handshake(
            daemon.identity,
            "accord",
            daemon.zone,
            daemon.address,
            daemon.cluster,
            view,
            daemon.time.readings[daemon.identity][0] + now,
            daemon.sessions.known_control_daemons(),
            daemon.bootstrap_members,
            daemon.level,
        )

    def send_handshakes(self, now: float) -> None:
        """Sends a handshake to all known control daemons, and the direct sessions to those in session."""
        message = ("greet", *self._own_handshake(now))
        notice = ("tell", self.daemon.identity, self.daemon.sessions.direct_sessions())
        addresses = {endpoint[1] for endpoint in self.daemon.sessions.control_daemons.values()} | set(
            self.daemon.seeds
        )
        for address in sorted(addresses):
            self.daemon.send(address, message)
        for session in self.daemon.sessions.live("accord"):
            if session.identity != self.daemon.identity:
                self.daemon.send(session.address, notice)

    def _receive(self, handshake: Handshake, now: float) -> None:
        """Processes what a handshake and its reply have in common."""
        daemon, identity = self.daemon, handshake.identity
        if identity == daemon.identity:
            return
        daemon.membership_changes.leaving.pop(identity, None)
        if daemon.sessions.renew(identity, handshake.kind, handshake.zone, handshake.address, now):
            daemon.event(140, daemon=identity, kind=handshake.kind, address=handshake.address)
        daemon.sessions.add_reported(handshake.control_daemons)
        if handshake.kind == "accord":
            daemon.advertised_levels[identity] = handshake.level
            if daemon.consensus is None or identity in daemon.consensus.membership.members():
                daemon.time.record_reading(identity, handshake.clock, now)
        if daemon.cluster is None:
            daemon.cluster_entry.on_handshake(handshake, now)
        elif handshake.cluster == daemon.cluster and handshake.kind == "accord":
            daemon.consented.add(identity)

    def on_handshake(self, *fields_and_now: Any) -> None:
        """Handles a handshake: replies with this daemon's own handshake and who leads."""
        *fields, now = fields_and_now
        handshake = Handshake(*fields)
        self._receive(handshake, now)
        if not self.daemon.stopping:
            notice = (
                self.daemon.leader_address(),
                self.daemon.cluster_time(now),
                self.daemon.leader_reading(now),
            )
            self.daemon.send(handshake.address, ("greeted", *self._own_handshake(now), *notice))

    def on_handshake_reply(self, *fields_and_now: Any) -> None:
        """Handles a reply: a Handshake, the leader's address, cluster time, and a reading of the leader's
        clock.
        """
        *fields, _, _, reading, now = fields_and_now
        self.daemon.leader_clock.record_reading(reading, now)
        self._receive(Handshake(*fields), now)

    def on_sessions_report(self, reporter: str, sessions: Any, now: float) -> None:
        """Handles the report of another control daemon's direct sessions."""
        self.daemon.sessions.add_relayed(reporter, sessions, now)
