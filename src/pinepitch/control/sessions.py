"""Sessions: which daemons are live now, and where control daemons are known to be."""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants

NEVER = -1e9  # a time before any other, in seconds
CONTROL_DAEMON = "accord"  # the kind of a control daemon, as on the wire

SessionEntry = tuple[str, str, str, str]  # (identity, kind, zone, address) of a session, as on the wire
Endpoint = tuple[str, str, str]  # (identity, zone, address) of a control daemon, as on the wire


class Session(NamedTuple):
    """Invariant: heard is when the daemon, or the control daemon that holds its session, last
    said that it stands, in seconds of this daemon's clock; it expires SESSION_LASTS later, or
    RELAYED_SESSION_LASTS if it was relayed.
    """

    identity: str
    kind: str
    zone: str
    address: str
    heard: float
    relayed_by: str  # "" for a session held here

    def expired(self, now: float) -> bool:
        """Whether the daemon counts as gone."""
        lasts = constants.RELAYED_SESSION_LASTS if self.relayed_by else constants.SESSION_LASTS
        return now - self.heard > lasts


class KnownEndpoint(NamedTuple):
    """Where a control daemon was last known, and when it was last heard; its session may have expired."""

    zone: str
    address: str
    heard: float  # NEVER if only others know of it


class Sessions:
    """Invariant: one session a daemon; one held here wins over one that another relayed."""

    def __init__(self) -> None:
        self.by_identity: dict[str, Session] = {}
        self.control_daemons: dict[str, KnownEndpoint] = {}

    def greeted(self, identity: str, kind: str, zone: str, address: str, now: float) -> bool:
        """A daemon renews its session here; True when it is new."""
        fresh = identity not in self.by_identity or bool(self.by_identity[identity].relayed_by)
        self.by_identity[identity] = Session(identity, kind, zone, address, now, "")
        if kind == CONTROL_DAEMON:
            self.control_daemons[identity] = KnownEndpoint(zone, address, now)
        return fresh

    def relayed(self, teller: str, sessions: Iterable[SessionEntry], now: float) -> None:
        """Another control daemon tells the sessions that it holds."""
        for identity, kind, zone, address in sessions:
            own = self.by_identity.get(identity)
            if own is None or own.relayed_by or now - own.heard > 2 * constants.GREET_EVERY:
                self.by_identity[identity] = Session(identity, kind, zone, address, now, teller)
            if kind == CONTROL_DAEMON:
                # the teller may not have heard it for as long as a session lasts
                known = self.control_daemons.get(identity, KnownEndpoint(zone, address, NEVER))
                heard = max(known.heard, now - constants.SESSION_LASTS)
                self.control_daemons[identity] = KnownEndpoint(zone, known.address, heard)

    def vouched(self, control_daemons: Iterable[Endpoint]) -> None:
        """Control daemons that somebody knows of; an address heard directly is not overwritten."""
        for identity, zone, address in control_daemons:
            self.control_daemons.setdefault(identity, KnownEndpoint(zone, address, NEVER))

    def expire(self, now: float) -> list[str]:
        """Drops the sessions that have expired; their daemons' identities."""
        expired = [identity for identity, session in self.by_identity.items() if session.expired(now)]
        for identity in expired:
            del self.by_identity[identity]
        return expired

    def own(self) -> tuple[SessionEntry, ...]:
        """What is told to other control daemons: the sessions held here."""
        return tuple(
            (one.identity, one.kind, one.zone, one.address)
            for one in self.by_identity.values()
            if not one.relayed_by
        )

    def live(self, kind: str) -> list[Session]:
        """Sessions of one kind of daemon, in the agreed order (by identity)."""
        return [
            self.by_identity[one] for one in sorted(self.by_identity) if self.by_identity[one].kind == kind
        ]

    def heard(self, identity: str) -> float:
        """The latest time at which some control daemon is known to have heard this one, NEVER for none."""
        known = self.control_daemons.get(identity)
        return known.heard if known else NEVER

    def address(self, identity: str) -> str | None:
        """Where a control daemon was last known, or None."""
        known = self.control_daemons.get(identity)
        return known.address if known else None

    def known_control_daemons(self) -> tuple[Endpoint, ...]:
        """The control daemons live now, for those who ask."""
        return tuple((one.identity, one.zone, one.address) for one in self.live(CONTROL_DAEMON))
