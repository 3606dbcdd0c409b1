"""Outcomes of the newest changes, by token, so that a change that is forwarded again is applied once.

A token is made by the daemon that forwards a change. It names the daemon and its incarnation, followed
by an increasing number. For older changes only a watermark per forwarder is stored: the highest number
whose outcome was dropped. A change up to that number may have been applied before, so it is neither
applied again nor reported as refused.
"""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from ..common import constants
from .outcomes import Outcome

FORGOTTEN: Outcome = ("forgotten",)
_TOKEN = re.compile(r"(.*?)([0-9]*)")


def _split(token: str) -> tuple[str, int]:
    """(forwarder, number) of a token; ValueError if it has another form."""
    match = _TOKEN.fullmatch(token)
    if match is None:
        raise ValueError(f"{token!r} is not a change token")
    forwarder, number = match.groups()
    return forwarder, int(number or 0)


class ChangeWatermarks:
    """The changes that were already applied.

    Invariants: outcomes maps the newest MARKS_KEPT tokens to their outcomes, oldest first. forgotten
    maps the MARKS_KEPT forwarders that most recently had a token dropped to the highest number dropped.
    """

    def __init__(
        self,
        outcomes: Mapping[str, Iterable[Any]] | Iterable[tuple[str, Iterable[Any]]] = (),
        forgotten: Mapping[str, int] | Iterable[tuple[str, int]] = (),
    ) -> None:
        self.outcomes: dict[str, Outcome] = {
            token: tuple(outcome) for token, outcome in dict(outcomes).items()
        }
        self.forgotten: dict[str, int] = dict(forgotten)

    def image(self) -> tuple[dict[str, Outcome], dict[str, int]]:
        """A value that later changes of this object do not affect."""
        return (dict(self.outcomes), dict(self.forgotten))

    def outcome(self, token: str) -> Outcome | None:
        """The outcome of a change; FORGOTTEN if that may have been dropped; None if the change is new."""
        if token in self.outcomes:
            return self.outcomes[token]
        if not self.forgotten:
            return None
        forwarder, number = _split(token)
        return FORGOTTEN if number <= self.forgotten.get(forwarder, -1) else None

    def record(self, token: str, outcome: Outcome, track_forgotten: bool) -> None:
        """Stores an outcome and drops the oldest ones above MARKS_KEPT.

        `track_forgotten` says whether the watermarks of dropped tokens are stored, as they are once
        all members know level 3.
        """
        self.outcomes[token] = outcome
        while len(self.outcomes) > constants.MARKS_KEPT:
            oldest = next(iter(self.outcomes))
            del self.outcomes[oldest]
            if track_forgotten:
                self._forget(oldest)

    def _forget(self, token: str) -> None:
        """Raises the watermark of the forwarder of a dropped token."""
        forwarder, number = _split(token)
        highest = max(number, self.forgotten.pop(forwarder, -1))
        self.forgotten[forwarder] = highest
        while len(self.forgotten) > constants.MARKS_KEPT:
            del self.forgotten[next(iter(self.forgotten))]
