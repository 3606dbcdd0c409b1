"""The mark in a data folder that its daemon was started at the first start of the whole system.

A cluster is founded only with the durable consent of every seed. So a daemon whose folder has the mark, and
that neither consented to a cluster nor joined one, knows that none was founded, and may found one after a
restart too. A folder that was lost or emptied has no mark. The mark is written before most of a program is
loaded, so this module imports little.
"""

import os

NAME = "first-start"


def record(folder: str) -> None:
    """Makes the mark durable in an empty folder; a folder that has files already is left as it is."""
    if os.listdir(folder):
        return
    os.close(os.open(os.path.join(folder, NAME), os.O_WRONLY | os.O_CREAT))
    _sync(folder)


def is_recorded(folder: str) -> bool:
    """Whether the folder has the mark."""
    return os.path.exists(os.path.join(folder, NAME))


def forget(folder: str) -> None:
    """Removes the mark, as the folder has lost data and may have lost a consent."""
    if is_recorded(folder):
        os.remove(os.path.join(folder, NAME))
        _sync(folder)


def _sync(folder: str) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
