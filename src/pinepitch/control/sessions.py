"""Sessions: which daemons are live, and the last known addresses of control daemons."""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants

NEVER = -1e9  # seconds; earlier than any other time
CONTROL_DAEMON = "accord"  # the kind of control daemons, as on the wire

SessionEntry = tuple[str, str, str, str]  # (identity, kind, zone, address) of a session, as on the wire
Endpoint = tuple[str, str, str]  # (identity, zone, address) of a control daemon, as on the wire


class Session(NamedTuple):
    """A daemon's session. Invariant: last_seen is when the daemon, or the control daemon that relayed its
    session, last confirmed it, in seconds of this daemon's clock. The session expires SESSION_LASTS later, or
    RELAYED_SESSION_LASTS later if it was relayed.
    """

    identity: str
    kind: str
    zone: str
    address: str
    last_seen: float
    relayed_by: str  # identity of a control daemon; "" for a direct session

    def expired(self, now: float) -> bool:
        """Whether the daemon counts as gone."""
        lasts = constants.RELAYED_SESSION_LASTS if self.relayed_by else constants.SESSION_LASTS
        return now - self.last_seen > lasts


class KnownEndpoint(NamedTuple):
    """The last known address of a control daemon and when it was last seen; its session may have expired."""

    zone: str
    address: str
    last_seen: float  # NEVER if it was only reported by others


class Sessions:
    """Invariant: one session per daemon; a direct session takes precedence over a relayed one."""

    def __init__(self) -> None:
        self.by_identity: dict[str, Session] = {}
        self.control_daemons: dict[str, KnownEndpoint] = {}

    def renew(self, identity: str, kind: str, zone: str, address: str, now: float) -> bool:
        """Renews a daemon's direct session; returns whether the session is new."""
        fresh = identity not in self.by_identity or bool(self.by_identity[identity].relayed_by)
        self.by_identity[identity] = Session(identity, kind, zone, address, now, "")
        if kind == CONTROL_DAEMON:
            self.control_daemons[identity] = KnownEndpoint(zone, address, now)
        return fresh

    def add_relayed(self, reporter: str, sessions: Iterable[SessionEntry], now: float) -> None:
        """Adds the direct sessions of another control daemon."""
        for identity, kind, zone, address in sessions:
            existing = self.by_identity.get(identity)
            if (
                existing is None
                or existing.relayed_by
                or now - existing.last_seen > 2 * constants.GREET_EVERY
            ):
                self.by_identity[identity] = Session(identity, kind, zone, address, now, reporter)
            if kind == CONTROL_DAEMON:
                # the reporter may not have seen it for as long as a session lasts
                known = self.control_daemons.get(identity, KnownEndpoint(zone, address, NEVER))
                last_seen = max(known.last_seen, now - constants.SESSION_LASTS)
                self.control_daemons[identity] = KnownEndpoint(zone, known.address, last_seen)

    def add_reported(self, control_daemons: Iterable[Endpoint]) -> None:
        """Adds control daemons reported by others, without overwriting an address that is known already."""
        for identity, zone, address in control_daemons:
            self.control_daemons.setdefault(identity, KnownEndpoint(zone, address, NEVER))

    def expire(self, now: float) -> list[str]:
        """Drops expired sessions and returns the identities of their daemons."""
        expired = [identity for identity, session in self.by_identity.items() if session.expired(now)]
        for identity in expired:
            del self.by_identity[identity]
        return expired

    def direct_sessions(self) -> tuple[SessionEntry, ...]:
        """The direct sessions, as reported to other control daemons."""
        return tuple(
            (session.identity, session.kind, session.zone, session.address)
            for session in self.by_identity.values()
            if not session.relayed_by
        )

    def live(self, kind: str) -> list[Session]:
        """Sessions of one kind of daemon, ordered by identity, which is the order that all daemons share."""
        return [
            self.by_identity[identity]
            for identity in sorted(self.by_identity)
            if self.by_identity[identity].kind == kind
        ]

    def last_seen(self, identity: str) -> float:
        """The latest time at which some control daemon is known to have seen this one; NEVER for none."""
        known = self.control_daemons.get(identity)
        return known.last_seen if known else NEVER

    def address(self, identity: str) -> str | None:
        """The last known address of a control daemon, or None."""
        known = self.control_daemons.get(identity)
        return known.address if known else None

    def known_control_daemons(self) -> tuple[Endpoint, ...]:
        """The control daemons that are live now, for those who ask."""
        return tuple(
            (session.identity, session.zone, session.address) for session in self.live(CONTROL_DAEMON)
        )
