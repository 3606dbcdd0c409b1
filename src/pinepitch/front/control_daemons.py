"""The control daemons that a front daemon has heard of."""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants

NEVER = -1e9  # seconds of the steady clock, before all others


class HeardControlDaemon(NamedTuple):
    """A control daemon that was heard of: where it is, and when it was heard itself (or NEVER)."""

    zone: str
    address: str
    heard: float


class ControlDaemons:
    """Invariant: one that was heard itself stays known for ADDRESS_FORGET after it."""

    def __init__(self) -> None:
        self.known: dict[str, HeardControlDaemon] = {}  # by identity

    def heard(self, identity: str, zone: str, address: str, now: float) -> None:
        """One was heard itself."""
        self.known[identity] = HeardControlDaemon(zone, address, now)

    def greeted(self, others: Iterable[tuple[str, str, str]], now: float) -> None:
        """Takes what a greeting tells of others, where none is known under that identity, and forgets
        those unheard for long.
        """
        for identity, zone, address in others:
            if identity not in self.known:
                self.known[identity] = HeardControlDaemon(zone, address, NEVER)
        stale = [
            identity
            for identity, found in self.known.items()
            if found.heard > 0 and now - found.heard > constants.ADDRESS_FORGET
        ]
        for identity in stale:
            del self.known[identity]

    def updated(self, others: Iterable[tuple[str, str, str]]) -> None:
        """Takes what the leader tells of all of them: it knows better where they are."""
        for identity, zone, address in others:
            found = self.known.get(identity)
            self.known[identity] = HeardControlDaemon(zone, address, found.heard if found else NEVER)

    def endpoints(self) -> tuple[tuple[str, str, str], ...]:
        """(identity, zone, address) of each, as a greeting tells them."""
        return tuple((identity, found.zone, found.address) for identity, found in self.known.items())

    def addresses(self) -> list[str]:
        """The addresses of all, in order."""
        return sorted(found.address for found in self.known.values())

    def live(self, now: float) -> list[str]:
        """The addresses of those in session, in order."""
        return sorted(
            found.address for found in self.known.values() if now - found.heard <= constants.SESSION_LASTS
        )
