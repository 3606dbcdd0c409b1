"""What came of the newest changes, by mark, so that one that is forwarded again counts once.

A mark is the token of the daemon that forwards the change: which daemon, in which incarnation, and
a number that rises. Of the older ones it is remembered up to which number each has been forgotten:
a change that may have been made is then neither made again nor refused.
"""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from ..common import constants
from .outcomes import Outcome

FORGOTTEN: Outcome = ("forgotten",)
_PARTS = re.compile(r"(.*?)([0-9]*)")


def _parts(mark: str) -> tuple[str, int]:
    """(who forwards it, number) of a mark."""
    found = _PARTS.fullmatch(mark)
    if found is None:
        raise ValueError(f"{mark!r} is no mark")
    forwarder, number = found.groups()
    return forwarder, int(number or 0)


class ChangeWatermarks:
    """Which changes were made already.

    Invariants: outcomes holds the newest MARKS_KEPT marks, oldest first; forgotten holds, for the
    MARKS_KEPT forwarders of which a mark was dropped last, the highest number dropped.
    """

    def __init__(
        self,
        outcomes: Mapping[str, Iterable[Any]] | Iterable[tuple[str, Iterable[Any]]] = (),
        forgotten: Mapping[str, int] | Iterable[tuple[str, int]] = (),
    ) -> None:
        self.outcomes: dict[str, Outcome] = {mark: tuple(outcome) for mark, outcome in dict(outcomes).items()}
        self.forgotten: dict[str, int] = dict(forgotten)

    def image(self) -> tuple[dict[str, Outcome], dict[str, int]]:
        """A value that later changes leave alone."""
        return (dict(self.outcomes), dict(self.forgotten))

    def outcome(self, mark: str) -> Outcome | None:
        """What came of a change before, FORGOTTEN where that can't be told, None if it is new."""
        if mark in self.outcomes:
            return self.outcomes[mark]
        if not self.forgotten:
            return None
        forwarder, number = _parts(mark)
        return FORGOTTEN if number <= self.forgotten.get(forwarder, -1) else None

    def keep(self, mark: str, outcome: Outcome, track_forgotten: bool) -> None:
        """Remembers an outcome and drops the oldest; `track_forgotten` says whether it is noted
        up to which number, as it is once all members know level 3.
        """
        self.outcomes[mark] = outcome
        while len(self.outcomes) > constants.MARKS_KEPT:
            oldest = next(iter(self.outcomes))
            del self.outcomes[oldest]
            if track_forgotten:
                self._forget(oldest)

    def _forget(self, mark: str) -> None:
        forwarder, number = _parts(mark)
        highest = max(number, self.forgotten.pop(forwarder, -1))
        self.forgotten[forwarder] = highest
        while len(self.forgotten) > constants.MARKS_KEPT:
            del self.forgotten[next(iter(self.forgotten))]
