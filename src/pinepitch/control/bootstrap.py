"""Bootstrap: how control daemons without a cluster found one together, exactly once."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants
from .sessions import CONTROL_DAEMON


class EmptyDaemon(NamedTuple):
    """A control daemon without a cluster, as last seen."""

    zone: str
    view: tuple[str, ...]  # identities of the empty daemons that it sees
    last_seen: float  # seconds of this daemon's clock


class Bootstrap:
    """What an empty control daemon has seen of others.

    Invariants: consent is given at most once, to one list of members, and is durable before it is sent; no
    cluster is founded while any reachable daemon knows one.
    """

    def __init__(self, identity: str, zone: str, bootstrap_size: int) -> None:
        self.identity, self.zone = identity, zone
        self.bootstrap_size = bootstrap_size  # number of empty daemons that must see each other
        self.empty_daemons = {identity: EmptyDaemon(zone, (), 0.0)}
        self.known_clusters: dict[str, tuple[str, float]] = {}  # daemon -> (its cluster, last seen)
        self.agreed_since: float | None = None
        self.agreed: tuple[str, ...] = ()

    def observe(
        self, identity: str, kind: str, zone: str, cluster: str | None, view: Iterable[str], now: float
    ) -> None:
        """Records a handshake of any daemon, which carries the list of empty control daemons that it sees."""
        if cluster:
            self.known_clusters[identity] = (cluster, now)
            self.empty_daemons.pop(identity, None)
        else:
            self.known_clusters.pop(identity, None)
            if kind == CONTROL_DAEMON:
                self.empty_daemons[identity] = EmptyDaemon(zone, tuple(view), now)

    def view(self, now: float) -> tuple[str, ...]:
        """The empty control daemons seen now, in order, including this one."""
        self.empty_daemons[self.identity] = EmptyDaemon(self.zone, (), now)
        self.empty_daemons = {
            identity: empty_daemon
            for identity, empty_daemon in self.empty_daemons.items()
            if now - empty_daemon.last_seen <= constants.SESSION_LASTS
        }
        return tuple(sorted(self.empty_daemons))

    def veto(self, now: float, other_than: str | None = None) -> str | None:
        """The cluster, other than `other_than`, that some daemon knows, or None. What a daemon was seen to
        know counts for long, because its handshakes may reach this daemon only rarely.
        """
        for cluster, last_seen in self.known_clusters.values():
            if now - last_seen <= constants.BOOTSTRAP_VETO_LASTS and cluster != other_than:
                return cluster
        return None

    def ready(self, now: float) -> tuple[str, dict[str, str]] | None:
        """(cluster identity, members) once all saw the same list for BOOTSTRAP_STABLE_TIME, else None."""
        view = self.view(now)
        same = all(
            self.empty_daemons[identity].view == view for identity in view if identity != self.identity
        )
        if self.veto(now) or len(view) < self.bootstrap_size or not same:
            self.agreed_since = None
            return None
        if self.agreed_since is None or self.agreed != view:
            self.agreed_since, self.agreed = now, view
        if now - self.agreed_since < constants.BOOTSTRAP_STABLE_TIME:
            return None
        members = {identity: self.empty_daemons[identity].zone for identity in view}
        return cluster_identity(members), members


def cluster_identity(members: Iterable[str]) -> str:
    """The identity of the cluster that a list of empty control daemons founds."""
    return hashlib.sha256("/".join(sorted(members)).encode()).hexdigest()[:16]
