"""A simulated folder, whose power may go in any call of the store."""

from __future__ import annotations

import errno
import random
from collections.abc import Iterable


class PowerLostError(Exception):
    """Ends the call in which the power went."""


class File:
    """What one file holds. Invariant: while it is not synced, a loss of power leaves any beginning of it."""

    def __init__(self) -> None:
        self.content = b""
        self.synced = False


class SimulatedFolder:
    """A folder of files, as `storage.files.Files` has it.

    Invariants: `names` is what a running process sees; `synced` are the names as of the last sync of the
    folder: a loss of power leaves of each name that changed since either what it was or what it became,
    apart from all others.
    """

    def __init__(self) -> None:
        self.names_now: dict[str, File] = {}
        self.synced: dict[str, File] = {}
        self.calls_left: int | None = None  # until the power goes; None for as many as there come
        self.draw = random.Random(0)
        self.free: int | None = None  # bytes; None for as many as are wanted
        self.calls = 0

    # --- the calls of the store ---------------------------------------------------------
    def make(self) -> None:
        """The folder is there."""

    def names(self) -> list[str]:
        """The names of all files, in no order that could be relied on."""
        names = sorted(self.names_now)
        self.draw.shuffle(names)
        return names

    def exists(self, name: str) -> bool:
        """Whether there is a file of that name."""
        return name in self.names_now

    def read(self, name: str) -> bytes:
        """What a file holds."""
        return self.names_now[name].content

    def write(self, name: str, parts: Iterable[bytes]) -> None:
        """Makes a file of these parts, its content durable."""
        file = self.names_now[name] = File()
        content = b"".join(parts)
        if self.free is not None and len(content) > self.free:
            file.content = content[: self.free]
            raise OSError(errno.ENOSPC, "no space")
        file.content = content
        self._call()
        self.sync_content(file)
        self._call()

    def sync_content(self, file: File) -> None:
        """Makes what a file holds durable."""
        file.synced = True

    def rename(self, name: str, to: str) -> None:
        """Gives a file another name, in the place of any file that has it."""
        self.names_now[to] = self.names_now.pop(name)
        self._call()

    def remove(self, name: str) -> None:
        """Removes a file."""
        del self.names_now[name]
        self._call()

    def sync(self) -> None:
        """Makes the names of the folder durable."""
        self.synced = dict(self.names_now)
        self._call()

    # --- what may happen to it ----------------------------------------------------------
    def _call(self) -> None:
        """Counts a call; the power may go just behind it."""
        self.calls += 1
        if self.calls_left is not None:
            self.calls_left -= 1
            if self.calls_left < 0:
                raise PowerLostError

    def lose_power(self) -> None:
        """Leaves what a loss of power may leave, drawn for each name and each unsynced content apart."""
        left = {}
        for name in sorted({*self.names_now, *self.synced}):
            now, before = self.names_now.get(name), self.synced.get(name)
            file = now if now is before else self.draw.choice((now, before))
            if file is not None:
                left[name] = self._as_left(file)
        self.names_now, self.synced = dict(left), dict(left)
        self.calls_left = None

    def _as_left(self, file: File) -> File:
        """A file after a loss of power: torn anywhere unless its content was durable."""
        if file.synced:
            return file
        torn = File()
        torn.content = file.content[: self.draw.randrange(len(file.content) + 1)]
        torn.synced = True
        return torn
