"""Which zones are evacuated, and the newest order of each: a late order never undoes a newer one.

Begin and Finish bear no version. In its place each bears an index of the log that the leader
confirmed while its caller still waited, so that every order acknowledged before has a lower or
the same index, and every order that its caller gives later has a higher one.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants
from .plain_types import Image, Outcome


class Newest(NamedTuple):
    """The newest order of a zone: its entry, and whether it began the evacuation."""

    entry: int  # index in the log
    begun: bool


class Evacuations:
    """Invariants: since holds the zones that are evacuated; newest holds each zone's newest order,
    oldest first; a zone that is not in it had none after the index `forgotten`.
    """

    def __init__(
        self,
        since: Iterable[tuple[str, float]] = (),
        newest: Iterable[tuple[str, int, bool]] = (),
        forgotten: int = 0,
    ) -> None:
        self.since = dict(since)  # zone -> when its evacuation began
        self.newest = {zone: Newest(index, begun) for zone, index, begun in newest}
        self.forgotten = forgotten

    def image(self) -> Image:
        """A value of which the same is made again."""
        newest = tuple((zone, *order) for zone, order in self.newest.items())
        return (tuple(self.since.items()), newest, self.forgotten)

    def take(self, index: int, now: float, zone: str, begun: bool, confirmed: int) -> Outcome:
        """An order at entry `index`, received when the log was at `confirmed` at the least."""
        newest = self.newest.get(zone)
        if confirmed < (newest.entry if newest else self.forgotten):
            return ("ok",) if (zone in self.since) == begun else ("superseded",)
        if begun and zone not in self.since and len(self.since) >= constants.MAX_EVACUATED_ZONES:
            return ("full",)
        self._turn(now, zone, begun)
        self.newest.pop(zone, None)
        self.newest[zone] = Newest(index, begun)
        self._forget_oldest()
        return ("ok",)

    def take_unconfirmed(self, index: int, now: float, zone: str, begun: bool) -> Outcome:
        """An order as members of level 2 propose it, which is taken however late it comes."""
        self._turn(now, zone, begun)
        if zone in self.newest:
            self.newest[zone] = Newest(index, begun)
        return ("ok",)

    def _turn(self, now: float, zone: str, begun: bool) -> None:
        if begun:
            self.since.setdefault(zone, now)
        else:
            self.since.pop(zone, None)

    def _forget_oldest(self) -> None:
        """Drops the oldest zone that is not evacuated once there are too many."""
        if len(self.newest) <= 2 * constants.MAX_EVACUATED_ZONES:
            return
        zone = next(one for one in self.newest if one not in self.since)
        self.forgotten = max(self.forgotten, self.newest.pop(zone).entry)
