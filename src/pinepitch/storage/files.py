"""The calls on a data folder that the store makes, and the folder of the file system that carries them out.

They stand apart so that the simulator can run the store on a folder that loses power between any two.
"""

import contextlib
import os
from collections.abc import Iterable, Iterator
from typing import Protocol


class Files(Protocol):
    """A folder of files. A name that was made, renamed or removed is durable only once `sync` returned."""

    def make(self) -> None:
        """Makes the folder if there is none."""

    def names(self) -> list[str]:
        """The names of all files."""

    def exists(self, name: str) -> bool:
        """Whether there is a file of that name."""

    def read(self, name: str) -> bytes:
        """What a file holds."""

    def write(self, name: str, parts: Iterable[bytes]) -> None:
        """Makes a file of these parts, its content durable; OSError if it can't be."""

    def rename(self, name: str, to: str) -> None:
        """Gives a file another name, in the place of any file that has it."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync(self) -> None:
        """Makes the names of the folder durable; OSError if they can't be."""


class FolderFiles:
    """A folder of the file system."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def make(self) -> None:
        """Makes the folder if there is none."""
        os.makedirs(self.folder, exist_ok=True)

    def names(self) -> list[str]:
        """The names of all files."""
        return os.listdir(self.folder)

    def exists(self, name: str) -> bool:
        """Whether there is a file of that name."""
        return os.path.exists(self._path(name))

    def read(self, name: str) -> bytes:
        """What a file holds."""
        with open(self._path(name), "rb") as file:
            return file.read()

    def write(self, name: str, parts: Iterable[bytes]) -> None:
        """Makes a file of these parts, its content durable; OSError if it can't be."""
        with _opened(self._path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as descriptor:
            for part in parts:
                rest = memoryview(part)
                while rest:
                    rest = rest[os.write(descriptor, rest) :]
            os.fsync(descriptor)

    def rename(self, name: str, to: str) -> None:
        """Gives a file another name, in the place of any file that has it."""
        os.replace(self._path(name), self._path(to))

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self._path(name))

    def sync(self) -> None:
        """Makes the names of the folder durable; OSError if they can't be."""
        with _opened(self.folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)


@contextlib.contextmanager
def _opened(path: str, flags: int) -> Iterator[int]:
    """A descriptor of a file or folder, closed at the end."""
    descriptor = os.open(path, flags, 0o644)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
