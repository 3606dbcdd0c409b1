"""The data folder: one file per version, written aside, synced, renamed, folder synced."""

import hashlib
import os
import re

import cbor2

from ..common import constants, packed_operations

NAME = re.compile(r"^(base|step|segment)-(\d{16})$")


class Damaged(tuple):
    """A store that can't be trusted; element 0 says which file and why."""


class Foreign(Damaged):
    """A store of another file version: nothing in it may be touched."""


class Store:
    """Versions are numbered from 1 without a gap; a base holds all that came before it.

    Invariants: a file in its final name was synced before it got it, so a power cut tears
    none, and one that is not whole says that the disk lost something; nothing newer than
    the last returned write_step is promised; a promised version is never rewritten.
    """

    def __init__(self, folder):
        self.folder = folder
        self.version = 0
        self.syncs = 0

    def load(self, shrunk=lambda payload: payload):
        """(base payload or None, step payloads in order, segments by number that the base
        stands on), or Damaged. Each step passes through `shrunk` before the next one is read."""
        os.makedirs(self.folder, exist_ok=True)
        names = os.listdir(self.folder)
        found = {"base": {}, "step": {}, "segment": {}}
        for name in names:
            match = NAME.match(name)
            if match:
                found[match[1]][int(match[2])] = name
            elif name.endswith(".aside"):
                os.unlink(os.path.join(self.folder, name))
        bases, steps = found["base"], found["step"]
        base, base_version, segments = None, max(bases, default=0), {}
        if bases:
            base = self._read(bases[base_version])
            if isinstance(base, Damaged):
                return base
            first, last = base[-1]
            for number in range(first, last + 1):
                if number not in found["segment"]:
                    return Damaged((f"segment {number} is missing",))
                segments[number] = self._read(found["segment"][number])
                if isinstance(segments[number], Damaged):
                    return segments[number]
        payloads = []
        for place, version in enumerate(sorted(version for version in steps if version > base_version)):
            if version != base_version + place + 1:
                return Damaged((f"version {base_version + place + 1} is missing",))
            payload = self._read(steps[version])
            if isinstance(payload, Damaged):
                return payload
            payloads.append(shrunk(payload))
        self.version = base_version + len(payloads)
        return base, payloads, segments

    def write_step(self, payload):
        """Makes the next version durable; returns only once it is. After an OSError the
        version is the same as before, and may be written again, with more in it or not."""
        self._write(f"step-{self.version + 1:016d}", payload)
        self.version += 1

    def write_segment(self, number, data):
        """Makes a segment durable; the same number always holds the same."""
        self._write(f"segment-{number:016d}", data)

    def write_base(self, payload, version):
        """Puts a base in the place of every file up to `version`, and of every segment older
        than those it stands on; the payload's last part is (first, last) of them."""
        self._write(f"base-{version:016d}", payload)
        first, _ = payload[-1]
        for name in os.listdir(self.folder):
            match = NAME.match(name)
            if not match:
                continue
            number = int(match[2])
            if (
                number < first
                if match[1] == "segment"
                else number < version or (match[1] == "step" and number <= version)
            ):
                os.unlink(os.path.join(self.folder, name))

    def wipe(self):
        """Forgets everything: what is left of a damaged store is set aside by name."""
        for name in os.listdir(self.folder):
            if NAME.match(name):
                os.replace(os.path.join(self.folder, name), os.path.join(self.folder, "damaged-" + name))
        self.version = 0

    def _write(self, name, payload):
        body = packed_operations.dumps((constants.FILE_VERSION, payload))
        aside = os.path.join(self.folder, name + ".aside")
        if os.path.exists(aside):
            os.unlink(
                aside
            )  # after a failed sync what a file holds can't be trusted: never the same one again
        descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            for part in (hashlib.sha256(body).digest(), body):  # apart: no second copy of a large body
                rest = memoryview(part)
                while rest:
                    rest = rest[os.write(descriptor, rest) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(aside, os.path.join(self.folder, name))
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.syncs += 1

    def _read(self, name):
        with open(os.path.join(self.folder, name), "rb") as file:
            content = file.read()
        digest, body = content[:32], memoryview(content)[32:]  # no second copy of a large body
        if len(digest) < 32 or hashlib.sha256(body).digest() != digest:
            return Damaged((f"{name} is not what was written",))
        version, payload = cbor2.loads(body)
        if version != constants.FILE_VERSION:
            return Foreign(
                (f"{name} has file version {version}, this program reads {constants.FILE_VERSION}",)
            )
        return payload
