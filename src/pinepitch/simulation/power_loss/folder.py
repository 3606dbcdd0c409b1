"""A simulated folder that may lose power in any call of the store."""

from __future__ import annotations

import errno
import random
from collections.abc import Iterable


class PowerLostError(Exception):
    """Interrupts the call during which power is lost."""


class File:
    """One file. Invariant: until its content is synced, a loss of power may leave any prefix of it."""

    def __init__(self) -> None:
        self.content = b""
        self.synced = False


class SimulatedFolder:
    """A folder of files with the interface of `storage.files.Files`.

    Invariants: `current_files` is what a running process sees. `synced` holds the names as of the last
    sync of the folder. For each name that changed since, a loss of power leaves either the old or the
    new file, independently of all other names.
    """

    def __init__(self) -> None:
        self.current_files: dict[str, File] = {}
        self.synced: dict[str, File] = {}
        self.calls_until_power_loss: int | None = None  # calls before power is lost; None for no limit
        self.rng = random.Random(0)
        self.free_bytes: int | None = None  # None for no limit
        self.calls = 0

    # --- the calls of the store ---------------------------------------------------------
    def make(self) -> None:
        """Does nothing: the folder always exists."""

    def names(self) -> list[str]:
        """Returns the names of all files in random order, so that no caller can rely on an order."""
        names = sorted(self.current_files)
        self.rng.shuffle(names)
        return names

    def exists(self, name: str) -> bool:
        """Whether a file of that name exists."""
        return name in self.current_files

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return self.current_files[name].content

    def write(self, name: str, parts: Iterable[bytes]) -> None:
        """Writes a file from these parts and makes its content durable."""
        file = self.current_files[name] = File()
        content = b"".join(parts)
        if self.free_bytes is not None and len(content) > self.free_bytes:
            file.content = content[: self.free_bytes]
            raise OSError(errno.ENOSPC, "no space")
        file.content = content
        self._call()
        self.sync_content(file)
        self._call()

    def sync_content(self, file: File) -> None:
        """Makes the content of a file durable."""
        file.synced = True

    def rename(self, name: str, to: str) -> None:
        """Renames a file and replaces any file of the new name."""
        self.current_files[to] = self.current_files.pop(name)
        self._call()

    def remove(self, name: str) -> None:
        """Removes a file."""
        del self.current_files[name]
        self._call()

    def sync(self) -> None:
        """Makes the names of the folder durable."""
        self.synced = dict(self.current_files)
        self._call()

    # --- loss of power -------------------------------------------------------------------
    def _call(self) -> None:
        """Counts a call; power may be lost right after it."""
        self.calls += 1
        if self.calls_until_power_loss is not None:
            self.calls_until_power_loss -= 1
            if self.calls_until_power_loss < 0:
                raise PowerLostError

    def lose_power(self) -> None:
        """Loses power: chooses at random, for each name and each unsynced content, what survives."""
        remaining = {}
        for name in sorted({*self.current_files, *self.synced}):
            now, before = self.current_files.get(name), self.synced.get(name)
            file = now if now is before else self.rng.choice((now, before))
            if file is not None:
                remaining[name] = self._after_power_loss(file)
        self.current_files, self.synced = dict(remaining), dict(remaining)
        self.calls_until_power_loss = None

    def _after_power_loss(self, file: File) -> File:
        """Returns a file after a loss of power: cut at a random offset unless its content was durable."""
        if file.synced:
            return file
        torn = File()
        torn.content = file.content[: self.rng.randrange(len(file.content) + 1)]
        torn.synced = True
        return torn
