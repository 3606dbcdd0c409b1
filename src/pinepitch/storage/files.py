"""The file operations of the store, as an interface and as a folder of the file system.

The interface lets the simulator run the store on a folder that can lose power between any two operations.
"""

import contextlib
import os
from collections.abc import Iterable, Iterator
from typing import Protocol


class Files(Protocol):
    """A folder of files. A created, renamed or removed name is durable only after `sync` has returned."""

    def make(self) -> None:
        """Creates the folder if it does not exist."""

    def names(self) -> list[str]:
        """The names of all files in the folder."""

    def exists(self, name: str) -> bool:
        """Whether a file of that name exists."""

    def read(self, name: str) -> bytes:
        """The content of a file."""

    def write(self, name: str, parts: Iterable[bytes]) -> None:
        """Writes `parts` to a file and makes its content durable; raises OSError on failure."""

    def rename(self, name: str, to: str) -> None:
        """Renames a file; replaces any file with the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync(self) -> None:
        """Makes the names in the folder durable; raises OSError on failure."""


class FolderFiles:
    """A folder of the file system."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def make(self) -> None:
        """Creates the folder if it does not exist."""
        os.makedirs(self.folder, exist_ok=True)

    def names(self) -> list[str]:
        """The names of all files in the folder."""
        return os.listdir(self.folder)

    def exists(self, name: str) -> bool:
        """Whether a file of that name exists."""
        return os.path.exists(self._path(name))

    def read(self, name: str) -> bytes:
        """The content of a file."""
        with open(self._path(name), "rb") as file:
            return file.read()

    def write(self, name: str, parts: Iterable[bytes]) -> None:
        """Writes `parts` to a file and makes its content durable; raises OSError on failure."""
        with _open_descriptor(self._path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as descriptor:
            for part in parts:
                remaining = memoryview(part)
                while remaining:
                    remaining = remaining[os.write(descriptor, remaining) :]
            os.fsync(descriptor)

    def rename(self, name: str, to: str) -> None:
        """Renames a file; replaces any file with the new name."""
        os.replace(self._path(name), self._path(to))

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self._path(name))

    def sync(self) -> None:
        """Makes the names in the folder durable; raises OSError on failure."""
        with _open_descriptor(self.folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)


@contextlib.contextmanager
def _open_descriptor(path: str, flags: int) -> Iterator[int]:
    """Opens a file or folder; its descriptor is closed when the context ends."""
    descriptor = os.open(path, flags, 0o644)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
