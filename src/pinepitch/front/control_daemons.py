"""The control daemons that a front daemon knows."""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants

NEVER = -1e9  # seconds of the steady clock; earlier than any other time


class KnownControlDaemon(NamedTuple):
    """A control daemon: its zone, its address, and when its last handshake was received (or NEVER)."""

    zone: str
    address: str
    last_seen: float


class ControlDaemons:
    """Invariant: a daemon stays known for ADDRESS_FORGET seconds after its last handshake."""

    def __init__(self) -> None:
        self.known: dict[str, KnownControlDaemon] = {}  # by identity

    def handshake_received(self, identity: str, zone: str, address: str, now: float) -> None:
        """Records a handshake received from the daemon itself."""
        self.known[identity] = KnownControlDaemon(zone, address, now)

    def add_unknown(self, others: Iterable[tuple[str, str, str]], now: float) -> None:
        """Adds the daemons that a handshake lists under identities not known yet, and removes those whose
        last handshake is older than ADDRESS_FORGET.
        """
        for identity, zone, address in others:
            if identity not in self.known:
                self.known[identity] = KnownControlDaemon(zone, address, NEVER)
        stale = [
            identity
            for identity, daemon in self.known.items()
            if daemon.last_seen > 0 and now - daemon.last_seen > constants.ADDRESS_FORGET
        ]
        for identity in stale:
            del self.known[identity]

    def update_endpoints(self, others: Iterable[tuple[str, str, str]]) -> None:
        """Takes the endpoints listed by the leader, which knows them better, over the known ones."""
        for identity, zone, address in others:
            daemon = self.known.get(identity)
            self.known[identity] = KnownControlDaemon(zone, address, daemon.last_seen if daemon else NEVER)

    def endpoints(self) -> tuple[tuple[str, str, str], ...]:
        """(identity, zone, address) of each daemon, as listed in a handshake."""
        return tuple((identity, daemon.zone, daemon.address) for identity, daemon in self.known.items())

    def addresses(self) -> list[str]:
        """The addresses of all known daemons, sorted."""
        return sorted(daemon.address for daemon in self.known.values())

    def live(self, now: float) -> list[str]:
        """The addresses of the daemons with a live session, sorted."""
        return sorted(
            daemon.address
            for daemon in self.known.values()
            if now - daemon.last_seen <= constants.SESSION_LASTS
        )
