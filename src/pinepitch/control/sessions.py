"""Sessions: which daemons are members now, and what is known of where accords are."""

from typing import NamedTuple

from ..common import constants


class Session(NamedTuple):
    """Invariant: heard is when the daemon, or the accord that holds its session, last
    said that it stands; it falls SESSION_LASTS later, or RELAYED_SESSION_LASTS if it was told."""

    identity: str
    kind: str
    zone: str
    address: str
    heard: float
    relayed_by: str  # "" for a session held here


class Sessions:
    """Invariant: one session a daemon; one held here wins over one told."""

    def __init__(self):
        self.by_identity = {}
        self.control_daemons = {}  # identity -> (area, address, last heard): also those that fell

    def greeted(self, identity, kind, zone, address, now):
        """A daemon renews its session here; True when it is new."""
        fresh = identity not in self.by_identity or bool(self.by_identity[identity].relayed_by)
        self.by_identity[identity] = Session(identity, kind, zone, address, now, "")
        if kind == "accord":
            self.control_daemons[identity] = (zone, address, now)
        return fresh

    def relayed(self, teller, sessions, now):
        """Another accord tells the sessions that it holds."""
        for identity, kind, zone, address in sessions:
            own = self.by_identity.get(identity)
            if own is None or own.relayed_by or now - own.heard > 2 * constants.GREET_EVERY:
                self.by_identity[identity] = Session(identity, kind, zone, address, now, teller)
            if kind == "accord":
                # the teller may not have heard it for as long as a session lasts
                _, known, heard = self.control_daemons.get(identity, (zone, address, -1e9))
                self.control_daemons[identity] = (zone, known, max(heard, now - constants.SESSION_LASTS))

    def vouched(self, control_daemons):
        """Accords somebody knows of; an address heard directly is not overwritten."""
        for identity, zone, address in control_daemons:
            self.control_daemons.setdefault(identity, (zone, address, -1e9))

    def expire(self, now):
        """Drops what has fallen; the identities dropped."""
        fallen = [
            one
            for one, session in self.by_identity.items()
            if now - session.heard
            > (constants.RELAYED_SESSION_LASTS if session.relayed_by else constants.SESSION_LASTS)
        ]
        for identity in fallen:
            del self.by_identity[identity]
        return fallen

    def own(self):
        """What is told to other accords: the sessions held here."""
        return tuple(
            (one.identity, one.kind, one.zone, one.address)
            for one in self.by_identity.values()
            if not one.relayed_by
        )

    def live(self, kind):
        """Sessions of one kind of daemon, in the agreed order (by identity)."""
        return [
            self.by_identity[one] for one in sorted(self.by_identity) if self.by_identity[one].kind == kind
        ]

    def heard(self, identity):
        """The latest time at which an accord is known to have been heard by some accord; -1e9 for never."""
        known = self.control_daemons.get(identity)
        return known[2] if known else -1e9

    def address(self, identity):
        """Where an accord was last known, or None."""
        known = self.control_daemons.get(identity)
        return known[1] if known else None

    def known_control_daemons(self):
        """(identity, area, address) of accords live now, for those who ask."""
        return tuple((one.identity, one.zone, one.address) for one in self.live("accord"))
