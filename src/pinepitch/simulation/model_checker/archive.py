"""The archive of a model: its segments follow from the committed entries alone."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

SEGMENT_EVERY = 2  # entries; one segment is sealed at each multiple
SEGMENTS_KEPT = 3  # segments; older ones are retired, as those of finished jobs are


def content_of(number: int, entry: Any) -> bytes:
    """What a segment holds, by the `entry_key` of the entry that it was sealed at."""
    return f"{number} {entry!r}".encode()


class ModelArchive:
    """Invariants: `segments` are the newest up to `sealed`; `retired` those that went and that a base may
    stand on.
    """

    def __init__(self, segments: dict[int, bytes] | None = None, sealed: int = 0) -> None:
        self.segments = dict(segments or {})
        self.retired: dict[int, bytes] = {}
        self.sealed = max([sealed, *self.segments])

    def copy(self) -> ModelArchive:
        """The same, to be changed apart."""
        twin = ModelArchive(self.segments, self.sealed)
        twin.retired = dict(self.retired)
        return twin

    def key(self) -> Any:
        """Which segments it holds; what is in them is checked."""
        return tuple(sorted(self.segments)), tuple(sorted(self.retired)), self.sealed

    def segment(self, number: int) -> bytes | None:
        """The bytes of a segment held or retired, or None."""
        return self.segments.get(number) or self.retired.get(number)

    def span(self) -> tuple[int, int]:
        """(first, last) of what an image stands on; first is last + 1 where there is none."""
        return (min(self.segments, default=self.sealed + 1), self.sealed)

    def apply(self, index: int, entry: Any) -> int | None:
        """Seals a segment where this entry makes one due; its number."""
        if index % SEGMENT_EVERY:
            return None
        self.sealed = index // SEGMENT_EVERY
        self.segments[self.sealed] = content_of(self.sealed, entry)
        for number in [one for one in self.segments if one <= self.sealed - SEGMENTS_KEPT]:
            self.retired[number] = self.segments.pop(number)
        return self.sealed

    def forget_retired(self, before: int) -> None:
        """Forgets the segments that no base stands on any more, those before a number."""
        for number in [one for one in self.retired if one < before]:
            del self.retired[number]


def span_of(numbers: tuple[int, int]) -> Iterable[int]:
    """The numbers from first to last."""
    first, last = numbers
    return range(first, last + 1)
