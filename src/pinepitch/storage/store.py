"""The data folder: one file per version, written aside, synced, renamed, folder synced.

A file holds the SHA-256 digest (32 bytes) of the rest, which is the cbor of (FILE_VERSION, payload).
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
    """The outcome of reading a data folder that can't be trusted: which file, and why."""

    why: str


class Foreign(Damaged):
    """The same of a data folder of another file version: nothing in it may be touched."""

    __slots__ = ()


class Loaded(NamedTuple):
    """What a data folder holds: the payload of the newest snapshot base (None if there is none), those
    of the steps after it in order, and by number the segments that the base stands on.
    """

    base: Any
    steps: list[Any]
    segments: dict[int, Any]


class _DamagedError(Exception):
    """Ends a load; carries what it found."""

    def __init__(self, damage: Damaged) -> None:
        super().__init__(damage.why)
        self.damage = damage


class Store:
    """Versions are numbered from 1 without a gap; a snapshot base holds all that came before it.

    Invariants: a file in its final name was synced before it got it, so a power cut tears
    none, and one that is not complete says that the disk lost something; nothing newer than
    the last returned write_step is promised; a promised version is never rewritten.
    """

    def __init__(self, folder: str, files: Files | None = None) -> None:
        self.folder = folder
        self.files = FolderFiles(folder) if files is None else files
        self.version = 0
        self.syncs = 0  # files made durable so far

    def load(self, shrunk: Callable[[Any], Any] = lambda payload: payload) -> Loaded | Damaged:
        """What the folder, which is made if there is none, holds. Each step passes through `shrunk`
        before the next one is read.
        """
        self.files.make()
        found = self._names()
        base_version = max(found["base"], default=0)
        try:
            base, segments = None, {}
            if found["base"]:
                base = self._read_sound(found["base"][base_version])
                segments = self._load_segments(base, found["segment"])
            steps = self._load_steps(base_version, found["step"], shrunk)
        except _DamagedError as end:
            return end.damage
        self.version = base_version + len(steps)
        return Loaded(base, steps, segments)

    def _names(self) -> dict[str, dict[int, str]]:
        """Kind -> number -> name of each file; what was never finished is removed."""
        found: dict[str, dict[int, str]] = {"base": {}, "step": {}, "segment": {}}
        for name in self.files.names():
            match = NAME.match(name)
            if match:
                found[match[1]][int(match[2])] = name
            elif name.endswith(".aside"):
                self.files.remove(name)
        return found

    def _load_segments(self, base: Any, names: dict[int, str]) -> dict[int, Any]:
        """By number the segments that a base stands on."""
        segments = {}
        first, last = base[-1]
        for number in range(first, last + 1):
            if number not in names:
                raise _DamagedError(Damaged(f"segment {number} is missing"))
            segments[number] = self._read_sound(names[number])
        return segments

    def _load_steps(
        self, base_version: int, names: dict[int, str], shrunk: Callable[[Any], Any]
    ) -> list[Any]:
        """The steps after a base, in order and without a gap."""
        steps = []
        following = sorted(version for version in names if version > base_version)
        for expected, version in enumerate(following, base_version + 1):
            if version != expected:
                raise _DamagedError(Damaged(f"version {expected} is missing"))
            steps.append(shrunk(self._read_sound(names[version])))
        return steps

    def write_step(self, payload: Any) -> None:
        """Makes the next version durable; returns only once it is. After an OSError the
        version is the same as before, and may be written again, with more in it or not.
        """
        self._write(f"step-{self.version + 1:016d}", payload)
        self.version += 1

    def write_segment(self, number: int, data: Any) -> None:
        """Makes a segment durable; the same number always holds the same. OSError if it can't be."""
        self._write(f"segment-{number:016d}", data)

    def write_base(self, payload: Any, version: int) -> None:
        """Puts a snapshot base in the place of every file up to `version`, and of every segment older
        than those it stands on; the payload's last part is (first, last) of them. OSError if the base
        can't be made durable: what it was to replace is still there.
        """
        self._write(f"base-{version:016d}", payload)
        first, _ = payload[-1]
        # file kind -> the first number that is kept
        kept = {"segment": first, "base": version, "step": version + 1}
        for name in self.files.names():
            match = NAME.match(name)
            if match and int(match[2]) < kept[match[1]]:
                self.files.remove(name)

    def wipe(self) -> None:
        """Forgets everything: what is left of a damaged store is set aside by name."""
        for name in self.files.names():
            if NAME.match(name):
                self.files.rename(name, "damaged-" + name)
        self.version = 0

    def _write(self, name: str, payload: Any) -> None:
        """Makes a file durable under its final name."""
        body = packed_operations.dumps((constants.FILE_VERSION, payload))
        aside = name + ".aside"
        if self.files.exists(aside):
            # after a failed sync what a file holds can't be trusted: never the same one again
            self.files.remove(aside)
        self.files.write(
            aside, (hashlib.sha256(body).digest(), body)
        )  # apart: no second copy of a large body
        self.files.rename(aside, name)
        self.files.sync()
        self.syncs += 1

    def _read_sound(self, name: str) -> Any:
        """The payload of a file that must be sound."""
        payload = self._read(name)
        if isinstance(payload, Damaged):
            raise _DamagedError(payload)
        return payload

    def _read(self, name: str) -> Any:
        """The payload of a file, or Damaged."""
        content = self.files.read(name)
        # no second copy of a large body
        digest, body = content[:DIGEST_BYTES], memoryview(content)[DIGEST_BYTES:]
        if len(digest) < DIGEST_BYTES or hashlib.sha256(body).digest() != digest:
            return Damaged(f"{name} is not what was written")
        version, payload = cbor2.loads(body)
        if version != constants.FILE_VERSION:
            known = constants.FILE_VERSION
            return Foreign(f"{name} has file version {version}, this program reads {known}")
        return payload
