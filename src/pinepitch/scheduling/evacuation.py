"""Which zones are evacuated, and the newest order for each, so that a late order never reverts a newer one.

The calls Evacuation.Begin and Evacuation.Finish carry no version. Instead, each order carries an index of the
log that the leader confirmed while the caller was still waiting. Hence every order acknowledged earlier has a
lower or equal index, and every order that the caller gives later has a higher one.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..common import constants
from .plain_types import Image, Outcome


class NewestOrder(NamedTuple):
    """The newest order for a zone."""

    entry: int  # index of its entry in the log
    begun: bool  # True if it began the evacuation, False if it finished it


class Evacuations:
    """The evacuated zones, and the newest order for each zone.

    Invariants: `since` contains the zones that are evacuated. `newest` contains each zone's newest order,
    oldest first. A zone that is not in it had no order after the index `forgotten`.
    """

    def __init__(
        self,
        since: Iterable[tuple[str, float]] = (),
        newest: Iterable[tuple[str, int, bool]] = (),
        forgotten: int = 0,
    ) -> None:
        self.since = dict(since)  # zone -> when its evacuation began
        self.newest = {zone: NewestOrder(index, begun) for zone, index, begun in newest}
        self.forgotten = forgotten

    def image(self) -> Image:
        """A plain value from which an equal object can be created."""
        newest = tuple((zone, *order) for zone, order in self.newest.items())
        return (tuple(self.since.items()), newest, self.forgotten)

    def apply_order(self, index: int, now: float, zone: str, begun: bool, confirmed: int) -> Outcome:
        """Applies the order at entry `index`, which was received when the log had reached index `confirmed`
        or a higher one.
        """
        newest = self.newest.get(zone)
        if confirmed < (newest.entry if newest else self.forgotten):
            return ("ok",) if (zone in self.since) == begun else ("superseded",)
        if begun and zone not in self.since and len(self.since) >= constants.MAX_EVACUATED_ZONES:
            return ("full",)
        self._set_evacuated(now, zone, begun)
        self.newest.pop(zone, None)
        self.newest[zone] = NewestOrder(index, begun)
        self._forget_oldest()
        return ("ok",)

    def apply_unconfirmed_order(self, index: int, now: float, zone: str, begun: bool) -> Outcome:
        """Applies an order proposed by a member of level 2, which carries no confirmed index: it is applied
        however late it arrives.
        """
        self._set_evacuated(now, zone, begun)
        if zone in self.newest:
            self.newest[zone] = NewestOrder(index, begun)
        return ("ok",)

    def _set_evacuated(self, now: float, zone: str, begun: bool) -> None:
        if begun:
            self.since.setdefault(zone, now)
        else:
            self.since.pop(zone, None)

    def _forget_oldest(self) -> None:
        """Drops the oldest order for a zone that is not evacuated, if there is one, once there are more than
        twice as many orders as zones that may be evacuated. All of these may be evacuated, as unconfirmed
        orders have no such limit.
        """
        if len(self.newest) <= 2 * constants.MAX_EVACUATED_ZONES:
            return
        oldest = next((zone for zone in self.newest if zone not in self.since), None)
        if oldest is not None:
            self.forgotten = max(self.forgotten, self.newest.pop(oldest).entry)
