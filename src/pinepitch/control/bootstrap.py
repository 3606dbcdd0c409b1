"""Founding: how accords that know no cohort agree, once, on being one."""

import hashlib

from ..common import constants


class Bootstrap:
    """What an empty accord has seen.

    Invariants: consent is given at most once, to one list, and is durable before it is
    told; nothing is founded while any daemon reached knows a cohort."""

    def __init__(self, identity, zone, bootstrap_size):
        self.identity, self.zone, self.bootstrap_size = identity, zone, bootstrap_size
        self.empty_daemons = {identity: (zone, (), 0.0)}  # identity -> (area, its own view, heard)
        self.known_clusters = {}  # daemon -> (cohort, heard)
        self.agreed_since = None
        self.agreed = ()

    def heard(self, identity, kind, zone, cluster, view, now):
        """A greeting by any daemon, with the list of empty accords it sees."""
        if cluster:
            self.known_clusters[identity] = (cluster, now)
            self.empty_daemons.pop(identity, None)
        else:
            self.known_clusters.pop(identity, None)
            if kind == "accord":
                self.empty_daemons[identity] = (zone, tuple(view), now)

    def view(self, now):
        """The empty accords seen now, in order, this one among them."""
        self.empty_daemons[self.identity] = (self.zone, (), now)
        self.empty_daemons = {
            one: seen for one, seen in self.empty_daemons.items() if now - seen[2] <= constants.SESSION_LASTS
        }
        return tuple(sorted(self.empty_daemons))

    def veto(self, now, other_than=None):
        """The cohort, other than `but`, that some daemon knows, or None. What a daemon was
        heard to know counts for long: it may greet this accord only now and then."""
        for cluster, heard in self.known_clusters.values():
            if now - heard <= constants.BOOTSTRAP_VETO_LASTS and cluster != other_than:
                return cluster
        return None

    def ready(self, now):
        """(cohort identity, members) once the same list was seen by all for SETTLE."""
        view = self.view(now)
        same = all(self.empty_daemons[one][1] == view for one in view if one != self.identity)
        if self.veto(now) or len(view) < self.bootstrap_size or not same:
            self.agreed_since = None
            return None
        if self.agreed_since is None or self.agreed != view:
            self.agreed_since, self.agreed = now, view
        if now - self.agreed_since < constants.BOOTSTRAP_STABLE_TIME:
            return None
        members = {one: self.empty_daemons[one][0] for one in view}
        return cluster_identity(members), members


def cluster_identity(members):
    """The identity of the cohort that a list of empty accords founds."""
    return hashlib.sha256("/".join(sorted(members)).encode()).hexdigest()[:16]
