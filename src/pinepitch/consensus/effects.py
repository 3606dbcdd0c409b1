"""The effects that a replica returns to its daemon, which carries them out in the given order.

`SaveChange` is an effect of the daemon and is passed through. Its `change` is [hard state or None, first
index to drop or None, index of the first entry or None, entries].
"""

from typing import Any, NamedTuple

from ..common.effects import SaveChange
from .log import Entry
from .messages import Message


class SaveBase(NamedTuple):
    """Makes a new base durable that replaces all earlier saves; `saved(sequence)` must be called then."""

    sequence: int | None  # None if nothing waits for it
    payload: list[Any]


class SendMessage(NamedTuple):
    """Sends a message to another replica; it may get lost, be delayed or be duplicated."""

    receiver: str
    message: Message


class CommitEntries(NamedTuple):
    """Applies committed entries; the first one has the index `first`."""

    first: int
    entries: list[Entry]


class InstallSnapshot(NamedTuple):
    """Replaces the cluster state by that of a snapshot.

    `segments` (number -> bytes) are the archive segments that were received with it.
    """

    last_index: int  # index of the newest entry that the snapshot covers
    image: bytes
    segments: dict[int, bytes]


class BecomeLeader(NamedTuple):
    """The replica became the leader of `term`."""

    term: int


class StepDown(NamedTuple):
    """The replica is no longer the leader."""

    reason: str


class ReadConfirmed(NamedTuple):
    """Leadership was confirmed after the read `token` was requested: state up to `read_index` may be read."""

    token: Any
    read_index: int


class LogEvent(NamedTuple):
    """Logs a numbered event (`common/events.py`)."""

    number: int
    fields: dict[str, Any]


Effect = (
    SaveChange
    | SaveBase
    | SendMessage
    | CommitEntries
    | InstallSnapshot
    | BecomeLeader
    | StepDown
    | ReadConfirmed
    | LogEvent
)
