"""The history of the queue configuration: every version ever in force, most as what they changed."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import cbor2

from ..common import constants
from ..model.queue_settings import merged


def difference(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any] | None:
    """The merge patch (RFC 7396) that makes `after` of `before`, or None where a null stands in
    the way, which no patch can say.
    """
    patch: dict[str, Any] = {member: None for member in before if member not in after}
    for member, value in after.items():
        old = before.get(member)
        if value is old and value is not None:
            continue
        if isinstance(value, dict) and isinstance(old, dict):
            inner = difference(old, value)
            if inner is None:
                return None
            if inner:
                patch[member] = inner
        elif member not in before or type(old) is not type(value) or old != value:
            if not _expressible(value):
                return None
            patch[member] = value
    return patch


def _expressible(value: Any) -> bool:
    """Whether a merge patch can set a value: it holds no null."""
    if isinstance(value, dict):
        return all(map(_expressible, value.values()))
    return value is not None


class Line(NamedTuple):
    """One version. The order of the fields is that of stored data."""

    version: int
    who: str
    why: str
    time: float  # seconds of the cluster's clock
    base: int  # the version it was made from
    kind: str  # "whole" or "patch"
    content: dict[str, Any]  # the checked configuration, or what it changed in the version before


class ConfigurationHistory:
    """All versions of the queue configuration.

    Invariants: lines has one line a version, from 1 on without a gap; since the last whole one
    there are fewer than QUEUE_CONFIGURATION_FULL_EVERY patches, and they hold fewer bytes than a
    whole one. Lines are only added.
    """

    def __init__(self, lines: Iterable[Iterable[Any]] = ()) -> None:
        self.lines = [Line._make(one) for one in lines]
        self.patched = 0  # bytes of patches since the last whole line
        self.size = 0  # bytes of that whole line
        self._newest: tuple[int, dict[str, Any]] | None = None  # (version, configuration) last added
        self._read: tuple[int, dict[str, Any]] | None = None  # the one last read, to go on from
        for line in self.lines:
            self._measure(line)

    def image(self) -> tuple[Line, ...]:
        """A value that later changes leave alone."""
        return tuple(self.lines)

    def _measure(self, line: Line) -> None:
        size = len(cbor2.dumps(line.content))
        if line.kind == "whole":
            self.size, self.patched = size, 0
        else:
            self.patched += size

    def add(
        self, version: int, configuration: dict[str, Any], who: str, why: str, time: float, base: int
    ) -> None:
        """The next version is in force."""
        line = Line(version, who, why, time, base, "whole", configuration)
        patch = self._patch_to(version, configuration)
        if patch is not None:
            line = line._replace(kind="patch", content=patch)
        self.lines.append(line)
        self._measure(line)
        self._newest = (version, configuration)

    def _patch_to(self, version: int, configuration: dict[str, Any]) -> dict[str, Any] | None:
        """What the next version changes, or None if it is to be kept whole."""
        if not self.lines:
            return None
        before = self._newest[1] if self._newest else self.read(version - 1)
        if before is None:
            raise AssertionError(f"version {version} follows on no other")
        patch = difference(before, configuration)
        newest = self.lines[-constants.QUEUE_CONFIGURATION_FULL_EVERY :]
        if patch is None or not any(one.kind == "whole" for one in newest):
            return None
        patched = len(cbor2.dumps(patch)) + self.patched
        is_small = patched < max(self.size, constants.QUEUE_CONFIGURATION_SMALL)
        return patch if is_small else None

    def line(self, version: int) -> Line | None:
        """The line of a version, or None."""
        return self.lines[version - 1] if 0 < version <= len(self.lines) else None

    def read(self, version: int) -> dict[str, Any] | None:
        """The whole configuration of a version, or None."""
        if self.line(version) is None:
            return None
        start = version
        while self.lines[start - 1].kind != "whole" and not self._was_read(start):
            start -= 1
        if self._read is not None and self._read[0] == start:
            configuration = self._read[1]
        else:
            configuration = self.lines[start - 1].content
        for line in self.lines[start:version]:
            configuration = merged(configuration, line.content)
        self._read = (version, configuration)
        return configuration

    def _was_read(self, version: int) -> bool:
        return self._read is not None and self._read[0] == version
