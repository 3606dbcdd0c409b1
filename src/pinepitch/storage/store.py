"""The data folder, with one file per version.

Each file is written under a temporary name, synced and renamed, and then the folder is synced. It contains a
SHA-256 digest (32 bytes) followed by the bytes that the digest covers: the CBOR of (FILE_VERSION, payload).
"""

import hashlib
import re
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2

from ..common import constants, packed_operations
from .files import Files, FolderFiles

NAME = re.compile(r"^(base|step|segment)-(\d{16})$")
DIGEST_BYTES = 32


class Damaged(NamedTuple):
    """The result of loading a data folder that can't be trusted; `reason` names the file and the fault."""

    reason: str


class Foreign(Damaged):
    """The result of loading a data folder of another file version, which must not be modified."""

    __slots__ = ()


class Loaded(NamedTuple):
    """The content of a data folder.

    `base` is the payload of the newest snapshot base (None if there is none), `steps` are the payloads of the
    steps after it, in order, and `segments` maps numbers to the segments that the base needs.
    """

    base: Any
    steps: list[Any]
    segments: dict[int, Any]


class _DamagedError(Exception):
    """Ends a load because the folder is damaged."""

    def __init__(self, damage: Damaged) -> None:
        super().__init__(damage.reason)
        self.damage = damage


class Store:
    """The files of a data folder: bases, steps and segments.

    Versions are numbered from 1 without a gap. A snapshot base contains everything up to its version.

    Invariants: a file is synced before it gets its final name, so a power loss leaves no incomplete file
    there, and an incomplete one means that the disk lost data. A version is durable once write_step has
    returned for it, and it is never written again after that.
    """

    def __init__(self, folder: str, files: Files | None = None) -> None:
        self.folder = folder
        self.files = FolderFiles(folder) if files is None else files
        self.version = 0
        self.syncs = 0  # files made durable so far

    def load(self, transform: Callable[[Any], Any] = lambda payload: payload) -> Loaded | Damaged:
        """Reads the folder, creating it if needed.

        `transform` is applied to each step before the next one is read, for instance to save memory.
        """
        self.files.make()
        names_by_kind = self._names()
        base_version = max(names_by_kind["base"], default=0)
        try:
            base, segments = None, {}
            if names_by_kind["base"]:
                base = self._read_valid(names_by_kind["base"][base_version])
                segments = self._load_segments(base, names_by_kind["segment"])
            steps = self._load_steps(base_version, names_by_kind["step"], transform)
        except _DamagedError as error:
            return error.damage
        self.version = base_version + len(steps)
        return Loaded(base, steps, segments)

    def _names(self) -> dict[str, dict[int, str]]:
        """Kind -> number -> name of each file; removes temporary files of unfinished writes."""
        names_by_kind: dict[str, dict[int, str]] = {"base": {}, "step": {}, "segment": {}}
        for name in self.files.names():
            match = NAME.match(name)
            if match:
                names_by_kind[match[1]][int(match[2])] = name
            elif name.endswith(".aside"):
                self.files.remove(name)
        return names_by_kind

    def _load_segments(self, base: Any, names: dict[int, str]) -> dict[int, Any]:
        """Number -> segment, for the segments that a base needs."""
        segments = {}
        first, last = base[-1]
        for number in range(first, last + 1):
            if number not in names:
                raise _DamagedError(Damaged(f"segment {number} is missing"))
            segments[number] = self._read_valid(names[number])
        return segments

    def _load_steps(
        self, base_version: int, names: dict[int, str], transform: Callable[[Any], Any]
    ) -> list[Any]:
        """The steps after a base, in order; a gap counts as damage."""
        steps = []
        later_versions = sorted(version for version in names if version > base_version)
        for expected, version in enumerate(later_versions, base_version + 1):
            if version != expected:
                raise _DamagedError(Damaged(f"version {expected} is missing"))
            steps.append(transform(self._read_valid(names[version])))
        return steps

    def write_step(self, payload: Any) -> None:
        """Makes the next version durable before it returns.

        After an OSError the version is unchanged and may be written again, also with another payload.
        """
        self._write(f"step-{self.version + 1:016d}", payload)
        self.version += 1

    def write_segment(self, number: int, data: Any) -> None:
        """Makes a segment durable; a number always has the same data. Raises OSError on failure."""
        self._write(f"segment-{number:016d}", data)

    def write_base(self, payload: Any, version: int) -> None:
        """Replaces all files up to `version`, and all segments that are no longer needed, by a snapshot base.

        The last item of the payload is (first, last) of the segments that the base needs. Raises OSError if
        the base can't be made durable; the files that it was to replace are still there then.
        """
        self._write(f"base-{version:016d}", payload)
        first, _ = payload[-1]
        # kind of file -> first number that is retained
        first_retained = {"segment": first, "base": version, "step": version + 1}
        for name in self.files.names():
            match = NAME.match(name)
            if match and int(match[2]) < first_retained[match[1]]:
                self.files.remove(name)

    def wipe(self) -> None:
        """Starts an empty store; the files of the damaged one are renamed with the prefix "damaged-"."""
        for name in self.files.names():
            if NAME.match(name):
                self.files.rename(name, "damaged-" + name)
        self.version = 0

    def _write(self, name: str, payload: Any) -> None:
        """Writes a payload to a file and makes it durable under its final name."""
        body = packed_operations.dumps((constants.FILE_VERSION, payload))
        temporary_name = name + ".aside"
        if self.files.exists(temporary_name):
            # After a failed sync the content of a file can't be trusted, so the file is never reused.
            self.files.remove(temporary_name)
        # Separate parts avoid a second copy of a large body.
        self.files.write(temporary_name, (hashlib.sha256(body).digest(), body))
        self.files.rename(temporary_name, name)
        self.files.sync()
        self.syncs += 1

    def _read_valid(self, name: str) -> Any:
        """The payload of a file; raises _DamagedError if the file is damaged."""
        payload = self._read(name)
        if isinstance(payload, Damaged):
            raise _DamagedError(payload)
        return payload

    def _read(self, name: str) -> Any:
        """The payload of a file, or Damaged."""
        content = self.files.read(name)
        # The view avoids a second copy of a large body.
        digest, body = content[:DIGEST_BYTES], memoryview(content)[DIGEST_BYTES:]
        if len(digest) < DIGEST_BYTES or hashlib.sha256(body).digest() != digest:
            return Damaged(f"{name} is not what was written")
        version, payload = cbor2.loads(body)
        if version != constants.FILE_VERSION:
            expected_version = constants.FILE_VERSION
            return Foreign(f"{name} has file version {version}, this program reads {expected_version}")
        return payload
