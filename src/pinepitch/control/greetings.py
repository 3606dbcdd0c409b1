"""Greetings: how control daemons and front daemons learn of each other, and keep their sessions."""

from typing import TYPE_CHECKING, Any

from ..model.greeting import Greeting

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Handshakes:
    """Greets all known control daemons now and then, and hears what others tell of themselves."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.last_handshake_at = -1e9  # seconds; when it greeted last

    def _own_handshake(self, now: float) -> Greeting:
        """What this daemon tells of itself."""
        daemon = self.daemon
        view = () if daemon.cluster or not daemon.may_bootstrap else daemon.bootstrap.view(now)
        return Greeting(
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
        """Greets all control daemons known, and tells those in session who else is."""
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

    def _receive(self, handshake: Greeting, now: float) -> None:
        """What a greeting and its answer have in common."""
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
                daemon.time.hear(identity, handshake.clock, now)
        if daemon.cluster is None:
            daemon.cluster_entry.on_handshake(handshake, now)
        elif handshake.cluster == daemon.cluster and handshake.kind == "accord":
            daemon.consented.add(identity)

    def on_handshake(self, *fields_and_now: Any) -> None:
        """A daemon greets: it is answered with a greeting, and who leads."""
        *fields, now = fields_and_now
        handshake = Greeting(*fields)
        self._receive(handshake, now)
        if not self.daemon.stopping:
            notice = (
                self.daemon.leader_address(),
                self.daemon.cluster_time(now),
                self.daemon.leader_reading(now),
            )
            self.daemon.send(handshake.address, ("greeted", *self._own_handshake(now), *notice))

    def on_handshake_reply(self, *fields_and_now: Any) -> None:
        """The answer to a greeting: a Greeting, the leader's address, cluster time, the leader's clock."""
        *fields, _, _, reading, now = fields_and_now
        self.daemon.leader_clock.hear(reading, now)
        self._receive(Greeting(*fields), now)

    def on_sessions_report(self, reporter: str, sessions: Any, now: float) -> None:
        """A control daemon tells which sessions it has itself."""
        self.daemon.sessions.add_relayed(reporter, sessions, now)
