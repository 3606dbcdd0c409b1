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
    last_seen: float
    relayed_by: str  # "" for a session held here

    def expired(self, now: float) -> bool:
        """Whether the daemon counts as gone."""
        lasts = constants.RELAYED_SESSION_LASTS if self.relayed_by else constants.SESSION_LASTS
        return now - self.last_seen > lasts


class KnownEndpoint(NamedTuple):
    """Where a control daemon was last known, and when it was last heard; its session may have expired."""

    zone: str
    address: str
    last_seen: float  # NEVER if only others know of it


class Sessions:
    """Invariant: one session a daemon; one held here wins over one that another relayed."""

    def __init__(self) -> None:
        self.by_identity: dict[str, Session] = {}
        self.control_daemons: dict[str, KnownEndpoint] = {}

    def renew(self, identity: str, kind: str, zone: str, address: str, now: float) -> bool:
        """A daemon renews its session here; True when it is new."""
        fresh = identity not in self.by_identity or bool(self.by_identity[identity].relayed_by)
        self.by_identity[identity] = Session(identity, kind, zone, address, now, "")
        if kind == CONTROL_DAEMON:
            self.control_daemons[identity] = KnownEndpoint(zone, address, now)
        return fresh

    def add_relayed(self, reporter: str, sessions: Iterable[SessionEntry], now: float) -> None:
        """Another control daemon tells the sessions that it holds."""
        for identity, kind, zone, address in sessions:
            existing = self.by_identity.get(identity)
            if (
                existing is None
                or existing.relayed_by
                or now - existing.last_seen > 2 * constants.GREET_EVERY
            ):
                self.by_identity[identity] = Session(identity, kind, zone, address, now, reporter)
            if kind == CONTROL_DAEMON:
                # the teller may not have heard it for as long as a session lasts
                known = self.control_daemons.get(identity, KnownEndpoint(zone, address, NEVER))
                last_seen = max(known.last_seen, now - constants.SESSION_LASTS)
                self.control_daemons[identity] = KnownEndpoint(zone, known.address, last_seen)

    def add_reported(self, control_daemons: Iterable[Endpoint]) -> None:
        """Control daemons that somebody knows of; an address heard directly is not overwritten."""
        for identity, zone, address in control_daemons:
            self.control_daemons.setdefault(identity, KnownEndpoint(zone, address, NEVER))

    def expire(self, now: float) -> list[str]:
        """Drops the sessions that have expired; their daemons' identities."""
        expired = [identity for identity, session in self.by_identity.items() if session.expired(now)]
        for identity in expired:
            del self.by_identity[identity]
        return expired

    def direct_sessions(self) -> tuple[SessionEntry, ...]:
        """What is told to other control daemons: the sessions held here."""
        return tuple(
            (session.identity, session.kind, session.zone, session.address)
            for session in self.by_identity.values()
            if not session.relayed_by
        )

    def live(self, kind: str) -> list[Session]:
        """Sessions of one kind of daemon, in the agreed order (by identity)."""
        return [
            self.by_identity[identity]
            for identity in sorted(self.by_identity)
            if self.by_identity[identity].kind == kind
        ]

    def last_seen(self, identity: str) -> float:
        """The latest time at which some control daemon is known to have heard this one, NEVER for none."""
        known = self.control_daemons.get(identity)
        return known.last_seen if known else NEVER

    def address(self, identity: str) -> str | None:
        """Where a control daemon was last known, or None."""
        known = self.control_daemons.get(identity)
        return known.address if known else None

    def known_control_daemons(self) -> tuple[Endpoint, ...]:
        """The control daemons live now, for those who ask."""
        return tuple(
            (session.identity, session.zone, session.address) for session in self.live(CONTROL_DAEMON)
        )
