"""The history of the queue configuration: every version that was ever active, most stored as patches."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import cbor2

from ..common import constants
from ..model.queue_settings import merged


def difference(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any] | None:
    """The merge patch (RFC 7396) that turns `before` into `after`.

    None if `after` sets a value to null, which a merge patch can't express.
    """
    patch: dict[str, Any] = {member: None for member in before if member not in after}
    for member, value in after.items():
        old_value = before.get(member)
        if value is old_value and value is not None:
            continue
        if isinstance(value, dict) and isinstance(old_value, dict):
            inner_patch = difference(old_value, value)
            if inner_patch is None:
                return None
            if inner_patch:
                patch[member] = inner_patch
        elif member not in before or type(old_value) is not type(value) or old_value != value:
            if not _expressible(value):
                return None
            patch[member] = value
    return patch


def _expressible(value: Any) -> bool:
    """Whether a merge patch can set a value, which must not contain null."""
    if isinstance(value, dict):
        return all(map(_expressible, value.values()))
    return value is not None


class VersionRecord(NamedTuple):
    """One version. The order of the fields is part of the stored format."""

    version: int
    author: str
    reason: str
    time: float  # seconds of the cluster's clock
    base: int  # the version it was made from
    kind: str  # "whole" or "patch"
    content: dict[str, Any]  # the checked configuration, or the merge patch on the previous version


class ConfigurationHistory:
    """All versions of the queue configuration.

    Invariants: records has one record per version, from version 1 on without a gap, and these are
    only appended. After the last whole record there are fewer than QUEUE_CONFIGURATION_FULL_EVERY
    patches, and together these have fewer bytes than that record or QUEUE_CONFIGURATION_SMALL,
    whichever is larger.
    """

    def __init__(self, records: Iterable[Iterable[Any]] = ()) -> None:
        self.records = [VersionRecord._make(fields) for fields in records]
        self.patch_bytes = 0  # bytes of the patches after the last whole record
        self.full_bytes = 0  # bytes of the last whole record
        self._newest: tuple[int, dict[str, Any]] | None = None  # (version, configuration) last added
        self._last_read: tuple[int, dict[str, Any]] | None = None  # the one last read; reads start from it
        for record in self.records:
            self._count_bytes(record)

    def image(self) -> tuple[VersionRecord, ...]:
        """A value that later changes of the history do not affect."""
        return tuple(self.records)

    def _count_bytes(self, record: VersionRecord) -> None:
        size = len(cbor2.dumps(record.content))
        if record.kind == "whole":
            self.full_bytes, self.patch_bytes = size, 0
        else:
            self.patch_bytes += size

    def add(
        self, version: int, configuration: dict[str, Any], author: str, reason: str, time: float, base: int
    ) -> None:
        """Appends the next version."""
        record = VersionRecord(version, author, reason, time, base, "whole", configuration)
        patch = self._patch_to(version, configuration)
        if patch is not None:
            record = record._replace(kind="patch", content=patch)
        self.records.append(record)
        self._count_bytes(record)
        self._newest = (version, configuration)

    def _patch_to(self, version: int, configuration: dict[str, Any]) -> dict[str, Any] | None:
        """The patch that makes the next version, or None if that version is to be stored whole."""
        if not self.records:
            return None
        before = self._newest[1] if self._newest else self.read(version - 1)
        if before is None:
            raise AssertionError(f"version {version} has no version before it in the history")
        patch = difference(before, configuration)
        newest = self.records[-constants.QUEUE_CONFIGURATION_FULL_EVERY :]
        if patch is None or not any(record.kind == "whole" for record in newest):
            return None
        patch_bytes = len(cbor2.dumps(patch)) + self.patch_bytes
        is_small = patch_bytes < max(self.full_bytes, constants.QUEUE_CONFIGURATION_SMALL)
        return patch if is_small else None

    def record(self, version: int) -> VersionRecord | None:
        """The record of a version, or None."""
        return self.records[version - 1] if 0 < version <= len(self.records) else None

    def read(self, version: int) -> dict[str, Any] | None:
        """The whole configuration of a version, or None."""
        if self.record(version) is None:
            return None
        start = version
        while self.records[start - 1].kind != "whole" and not self._is_last_read(start):
            start -= 1
        if self._last_read is not None and self._last_read[0] == start:
            configuration = self._last_read[1]
        else:
            configuration = self.records[start - 1].content
        for record in self.records[start:version]:
            configuration = merged(configuration, record.content)
        self._last_read = (version, configuration)
        return configuration

    def _is_last_read(self, version: int) -> bool:
        return self._last_read is not None and self._last_read[0] == version
