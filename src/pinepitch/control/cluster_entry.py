"""How a daemon comes into a cluster: founds one with others, or joins one that there is."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..common import constants
from ..common.effects import WriteNote
from ..model.greeting import Greeting
from .membership_changes import Members

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class ClusterEntry:
    """Invariant: a daemon that knows a cluster never founds one, nor joins another."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.join_at = -1e9  # seconds; when it asked to join last
        self.join_deferred_at = -1e9  # seconds; when it told last that it waits

    def seek_cluster(self, now: float) -> None:
        """Founds a cluster once that may be, or asks to join the one that was heard of."""
        founds = self.core.may_bootstrap and self._may_found(self.core.address)
        ready = self.core.bootstrap.ready(now) if founds else None
        if ready is not None:
            cluster, members = ready
            self.consent(cluster, members, now)
        elif self.core.bootstrap.veto(now):
            self.ask_to_join(now)

    def _may_found(self, address: str) -> bool:
        """Whether a daemon at that address may take part in a founding."""
        return self.core.bootstrap_among is None or address in self.core.bootstrap_among

    def heard(self, greeting: Greeting, now: float) -> None:
        """Takes what another tells while no cluster is known here."""
        if greeting.cluster or greeting.kind != "accord" or self._may_found(greeting.address):
            self.core.bootstrap.heard(
                greeting.identity, greeting.kind, greeting.zone, greeting.cluster, greeting.view, now
            )
        if greeting.cluster and self.core.identity in greeting.bootstrap_members:
            members = self._with_zones(greeting.bootstrap_members)
            if members is not None:
                self.consent(greeting.cluster, members, now)

    def _with_zones(self, identities: Iterable[str]) -> Members | None:
        """The members of a founding that another tells, with their zones; None while one is unknown."""
        members = {}
        for one in identities:
            zone = self.core.bootstrap.empty_daemons.get(one, (None,))[0] or self._zone_of(one)
            if one == self.core.identity:
                zone = self.core.zone
            if zone is None:
                return None
            members[one] = zone
        return members

    def consent(self, cluster: str, members: Members, now: float) -> None:
        """Consents to a founding, its own or one that names this daemon."""
        if (
            self.core.cluster is not None
            or self.core.bootstrap.veto(now, cluster)
            or not self.core.may_bootstrap
        ):
            return  # a cluster is known: no word of another's makes this daemon found one
        self.core.cluster = cluster
        self.core.bootstrap_members = tuple(sorted(members))
        self.core.begin_consensus(members)
        self.core.effects.append(WriteNote(["consent", cluster, dict(members), self.core.mode]))
        self.core.event(111, cohort=cluster, members=sorted(members))

    def _zone_of(self, identity: str) -> str | None:
        """The zone of a control daemon, if it is known."""
        known = self.core.sessions.control_daemons.get(identity)
        return known[0] if known else None

    def ask_to_join(self, now: float) -> None:
        """Asks the control daemons in session to be taken in, now and then."""
        followed = self.core.consensus is not None and self.core.consensus.leader_near(now)
        wait = constants.JOIN_AGAIN if followed else constants.JOIN_SEEK
        if now - self.join_at < wait or self.core.stopping:
            return
        self.join_at = now
        if self.core.cluster is None and now - self.join_deferred_at >= constants.JOIN_AGAIN:
            self.join_deferred_at = now
            self.core.event(112, cohort=self.core.bootstrap.veto(now))
        for session in self.core.sessions.live("accord"):
            self.core.send(session.address, ("join", self.core.identity, self.core.zone, self.core.address))

    def on_admit(self, cluster: str | None, mode: str, leader: str | None, now: float) -> None:
        """The leader of a cluster takes this daemon in as a learner."""
        if self.core.cluster is None:
            self.core.cluster, self.core.mode = cluster, mode
            self.core.begin_consensus({})
            self.core.effects.append(WriteNote(["joined", cluster, mode]))
            self.core.event(113, cohort=cluster)
