"""What a replica asks of the daemon that drives it: one class an effect, carried out in the order given.

`SaveChange` is the daemon's own effect, passed on as it is. Its `change` is [hard state or None, first index
to drop or None, index of the first entry or None, entries].
"""

from typing import Any, NamedTuple

from ..common.effects import SaveChange
from .log import Entry
from .messages import Message


class SaveBase(NamedTuple):
    """Makes a new base durable in place of all that was saved; then `saved(sequence)` is to be called."""

    sequence: int | None  # None where nothing waits for it
    payload: list[Any]


class SendMessage(NamedTuple):
    """Sends a message to another replica; it may get lost, come late or come twice."""

    receiver: str
    message: Message


class CommitEntries(NamedTuple):
    """Applies committed entries, the first of which has the index `first`."""

    first: int
    entries: list[Entry]


class InstallSnapshot(NamedTuple):
    """Replaces the cluster state by the one of a snapshot; `segments` are those of its archive that were
    received: number -> bytes.
    """

    last_index: int  # of the entries that the snapshot stands for
    image: bytes
    segments: dict[int, bytes]


class BecomeLeader(NamedTuple):
    """The replica leads `term` from now on."""

    term: int


class StepDown(NamedTuple):
    """The replica leads no more."""

    reason: str


class ReadConfirmed(NamedTuple):
    """Leadership was confirmed after the read of `token` was asked for: what is committed up to `commit`
    may be read.
    """

    token: Any
    read_index: int


class LogEvent(NamedTuple):
    """Writes a numbered event (`common/events.py`)."""

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
