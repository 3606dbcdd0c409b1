"""What came of the newest changes, by mark, so that one that is carried here again counts once.

A mark is the token of the daemon that carries the change: who carries it, in which life, and a
number that rises. Of the older ones it is remembered up to which number each has been forgotten:
a change that may have been made is then neither made again nor refused.
"""

import re

from ..common import constants

FORGOTTEN = ("forgotten",)
_PARTS = re.compile(r"(.*?)([0-9]*)")


def _parts(mark):
    """(who carries it, number) of a mark."""
    forwarder, number = _PARTS.fullmatch(mark).groups()
    return forwarder, int(number or 0)


class ChangeWatermarks:
    """Invariants: outcomes holds the newest MARKS_KEPT marks, oldest first; forgotten holds, for the
    MARKS_KEPT carriers of which a mark was dropped last, the highest number dropped."""

    def __init__(self, outcomes=(), forgotten=()):
        self.outcomes = {mark: tuple(outcome) for mark, outcome in dict(outcomes).items()}
        self.forgotten = dict(forgotten)

    def image(self):
        """A value that later changes leave alone."""
        return (dict(self.outcomes), dict(self.forgotten))

    def outcome(self, mark):
        """What came of a change before, FORGOTTEN where that can't be told, None if it is new."""
        if mark in self.outcomes:
            return self.outcomes[mark]
        if not self.forgotten:
            return None
        forwarder, number = _parts(mark)
        return FORGOTTEN if number <= self.forgotten.get(forwarder, -1) else None

    def keep(self, mark, outcome, track_forgotten):
        """Remembers an outcome and drops the oldest; members below level 3 note nothing of those."""
        self.outcomes[mark] = outcome
        while len(self.outcomes) > constants.MARKS_KEPT:
            oldest = next(iter(self.outcomes))
            del self.outcomes[oldest]
            if track_forgotten:
                self._forget(oldest)

    def _forget(self, mark):
        forwarder, number = _parts(mark)
        highest = max(number, self.forgotten.pop(forwarder, -1))
        self.forgotten[forwarder] = highest
        while len(self.forgotten) > constants.MARKS_KEPT:
            del self.forgotten[next(iter(self.forgotten))]
