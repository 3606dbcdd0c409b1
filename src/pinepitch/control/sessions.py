"""Sessions: which daemons are members now, and what is known of where accords are."""

from typing import NamedTuple

from ..common import constants


class Session(NamedTuple):
    """Invariant: heard is when the daemon, or the accord that holds its session, last
    said that it stands; it falls SESSION_LASTS later, or TOLD_LASTS if it was told."""

    identity: str
    kind: str
    area: str
    address: str
    heard: float
    told_by: str  # "" for a session held here


class Sessions:
    """Invariant: one session a daemon; one held here wins over one told."""

    def __init__(self):
        self.held = {}
        self.accords = {}  # identity -> (area, address, last heard): also those that fell

    def greeted(self, identity, kind, area, address, now):
        """A daemon renews its session here; True when it is new."""
        fresh = identity not in self.held or bool(self.held[identity].told_by)
        self.held[identity] = Session(identity, kind, area, address, now, "")
        if kind == "accord":
            self.accords[identity] = (area, address, now)
        return fresh

    def told(self, teller, sessions, now):
        """Another accord tells the sessions that it holds."""
        for identity, kind, area, address in sessions:
            own = self.held.get(identity)
            if own is None or own.told_by or now - own.heard > 2 * constants.GREET_EVERY:
                self.held[identity] = Session(identity, kind, area, address, now, teller)
            if kind == "accord":
                # the teller may not have heard it for as long as a session lasts
                _, known, heard = self.accords.get(identity, (area, address, -1e9))
                self.accords[identity] = (area, known, max(heard, now - constants.SESSION_LASTS))

    def vouched(self, accords):
        """Accords somebody knows of; an address heard directly is not overwritten."""
        for identity, area, address in accords:
            self.accords.setdefault(identity, (area, address, -1e9))

    def expire(self, now):
        """Drops what has fallen; the identities dropped."""
        fallen = [
            one
            for one, session in self.held.items()
            if now - session.heard > (constants.TOLD_LASTS if session.told_by else constants.SESSION_LASTS)
        ]
        for identity in fallen:
            del self.held[identity]
        return fallen

    def own(self):
        """What is told to other accords: the sessions held here."""
        return tuple(
            (one.identity, one.kind, one.area, one.address) for one in self.held.values() if not one.told_by
        )

    def live(self, kind):
        """Sessions of one kind of daemon, in the agreed order (by identity)."""
        return [self.held[one] for one in sorted(self.held) if self.held[one].kind == kind]

    def heard(self, identity):
        """The latest time at which an accord is known to have been heard by some accord; -1e9 for never."""
        known = self.accords.get(identity)
        return known[2] if known else -1e9

    def address(self, identity):
        """Where an accord was last known, or None."""
        known = self.accords.get(identity)
        return known[1] if known else None

    def known_accords(self):
        """(identity, area, address) of accords live now, for those who ask."""
        return tuple((one.identity, one.area, one.address) for one in self.live("accord"))
