"""Greetings: how control daemons and front daemons learn of each other, and keep their sessions."""

from typing import TYPE_CHECKING, Any

from ..model.greeting import Greeting

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Greetings:
    """Greets all known control daemons now and then, and hears what others tell of themselves."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.greet_at = -1e9  # seconds; when it greeted last

    def _greeting(self, now: float) -> Greeting:
        """What this daemon tells of itself."""
        core = self.core
        view = () if core.cluster or not core.may_bootstrap else core.bootstrap.view(now)
        return Greeting(
            core.identity,
            "accord",
            core.zone,
            core.address,
            core.cluster,
            view,
            core.time.readings[core.identity][0] + now,
            core.sessions.known_control_daemons(),
            core.bootstrap_members,
            core.level,
        )

    def greet(self, now: float) -> None:
        """Greets all control daemons known, and tells those in session who else is."""
        message = ("greet", *self._greeting(now))
        notice = ("tell", self.core.identity, self.core.sessions.own())
        addresses = {known[1] for known in self.core.sessions.control_daemons.values()} | set(self.core.seeds)
        for address in sorted(addresses):
            self.core.send(address, message)
        for session in self.core.sessions.live("accord"):
            if session.identity != self.core.identity:
                self.core.send(session.address, notice)

    def _hear(self, greeting: Greeting, now: float) -> None:
        """What a greeting and its answer have in common."""
        core, identity = self.core, greeting.identity
        if identity == core.identity:
            return
        core.membership_changes.leaving.pop(identity, None)
        if core.sessions.greeted(identity, greeting.kind, greeting.zone, greeting.address, now):
            core.event(140, daemon=identity, kind=greeting.kind, address=greeting.address)
        core.sessions.vouched(greeting.control_daemons)
        if greeting.kind == "accord":
            core.advertised_levels[identity] = greeting.level
            if core.consensus is None or identity in core.consensus.membership.members():
                core.time.hear(identity, greeting.clock, now)
        if core.cluster is None:
            core.cluster_entry.heard(greeting, now)
        elif greeting.cluster == core.cluster and greeting.kind == "accord":
            core.consented.add(identity)

    def on_greet(self, *fields_and_now: Any) -> None:
        """A daemon greets: it is answered with a greeting, and who leads."""
        *fields, now = fields_and_now
        greeting = Greeting(*fields)
        self._hear(greeting, now)
        if not self.core.stopping:
            notice = (self.core.leader_address(), self.core.cluster_time(now), self.core.leader_reading(now))
            self.core.send(greeting.address, ("greeted", *self._greeting(now), *notice))

    def on_greeted(self, *fields_and_now: Any) -> None:
        """The answer to a greeting: a Greeting, the leader's address, cluster time, the leader's clock."""
        *fields, _, _, reading, now = fields_and_now
        self.core.leader_clock.hear(reading, now)
        self._hear(Greeting(*fields), now)

    def on_tell(self, teller: str, sessions: Any, now: float) -> None:
        """A control daemon tells which sessions it has itself."""
        self.core.sessions.relayed(teller, sessions, now)
