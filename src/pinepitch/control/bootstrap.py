"""Bootstrap: how control daemons that know no cluster agree, once, on being one."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants
from .sessions import CONTROL_DAEMON


class EmptyDaemon(NamedTuple):
    """A control daemon that knows no cluster, as it was last heard."""

    zone: str
    view: tuple[str, ...]  # identities of the empty daemons that it sees itself
    last_seen: float  # seconds of this daemon's clock


class Bootstrap:
    """What an empty control daemon has seen.

    Invariants: consent is given at most once, to one list, and is durable before it is
    told; no cluster begins while any daemon reached knows one.
    """

    def __init__(self, identity: str, zone: str, bootstrap_size: int) -> None:
        self.identity, self.zone = identity, zone
        self.bootstrap_size = bootstrap_size  # how many empty daemons must see each other
        self.empty_daemons = {identity: EmptyDaemon(zone, (), 0.0)}
        self.known_clusters: dict[str, tuple[str, float]] = {}  # daemon -> (cluster that it knows, heard)
        self.agreed_since: float | None = None
        self.agreed: tuple[str, ...] = ()

    def observe(
        self, identity: str, kind: str, zone: str, cluster: str | None, view: Iterable[str], now: float
    ) -> None:
        """A greeting by any daemon, with the list of empty control daemons it sees."""
        if cluster:
            self.known_clusters[identity] = (cluster, now)
            self.empty_daemons.pop(identity, None)
        else:
            self.known_clusters.pop(identity, None)
            if kind == CONTROL_DAEMON:
                self.empty_daemons[identity] = EmptyDaemon(zone, tuple(view), now)

    def view(self, now: float) -> tuple[str, ...]:
        """The empty control daemons seen now, in order, this one among them."""
        self.empty_daemons[self.identity] = EmptyDaemon(self.zone, (), now)
        self.empty_daemons = {
            identity: empty_daemon
            for identity, empty_daemon in self.empty_daemons.items()
            if now - empty_daemon.last_seen <= constants.SESSION_LASTS
        }
        return tuple(sorted(self.empty_daemons))

    def veto(self, now: float, other_than: str | None = None) -> str | None:
        """The cluster, other than `other_than`, that some daemon knows, or None. What a daemon was
        heard to know counts for long: it may greet this one only now and then.
        """
        for cluster, last_seen in self.known_clusters.values():
            if now - last_seen <= constants.BOOTSTRAP_VETO_LASTS and cluster != other_than:
                return cluster
        return None

    def ready(self, now: float) -> tuple[str, dict[str, str]] | None:
        """(cluster identity, members) once the same list was seen by all for BOOTSTRAP_STABLE_TIME."""
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
    """The identity of the cluster that a list of empty control daemons begins."""
    return hashlib.sha256("/".join(sorted(members)).encode()).hexdigest()[:16]
