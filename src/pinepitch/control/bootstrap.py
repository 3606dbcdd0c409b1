"""Founding: how accords that know no cohort agree, once, on being one."""

import hashlib

from ..common import constants


class Founding:
    """What an empty accord has seen.

    Invariants: consent is given at most once, to one list, and is durable before it is
    told; nothing is founded while any daemon reached knows a cohort."""

    def __init__(self, identity, area, founders):
        self.identity, self.area, self.founders = identity, area, founders
        self.empties = {identity: (area, (), 0.0)}  # identity -> (area, its own view, heard)
        self.knowing = {}  # daemon -> (cohort, heard)
        self.agreed_since = None
        self.agreed = ()

    def heard(self, identity, kind, area, cohort, view, now):
        """A greeting by any daemon, with the list of empty accords it sees."""
        if cohort:
            self.knowing[identity] = (cohort, now)
            self.empties.pop(identity, None)
        else:
            self.knowing.pop(identity, None)
            if kind == "accord":
                self.empties[identity] = (area, tuple(view), now)

    def view(self, now):
        """The empty accords seen now, in order, this one among them."""
        self.empties[self.identity] = (self.area, (), now)
        self.empties = {
            one: seen for one, seen in self.empties.items() if now - seen[2] <= constants.SESSION_LASTS
        }
        return tuple(sorted(self.empties))

    def veto(self, now, but=None):
        """The cohort, other than `but`, that some daemon knows, or None. What a daemon was
        heard to know counts for long: it may greet this accord only now and then."""
        for cohort, heard in self.knowing.values():
            if now - heard <= constants.VETO_LASTS and cohort != but:
                return cohort
        return None

    def ready(self, now):
        """(cohort identity, members) once the same list was seen by all for SETTLE."""
        view = self.view(now)
        same = all(self.empties[one][1] == view for one in view if one != self.identity)
        if self.veto(now) or len(view) < self.founders or not same:
            self.agreed_since = None
            return None
        if self.agreed_since is None or self.agreed != view:
            self.agreed_since, self.agreed = now, view
        if now - self.agreed_since < constants.SETTLE:
            return None
        members = {one: self.empties[one][0] for one in view}
        return cohort_identity(members), members


def cohort_identity(members):
    """The identity of the cohort that a list of empty accords founds."""
    return hashlib.sha256("/".join(sorted(members)).encode()).hexdigest()[:16]
