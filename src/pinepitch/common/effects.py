"""What a daemon's decider asks its surroundings to do: one type an effect.

A decider opens no socket, file or clock. It takes a message and returns effects in the order in which they
are to be carried out; a host (`runtime.host`) or the simulator carries them out, by their type. Effects stay
in their process: only the message inside a `Send` goes over the wire.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple


class Send(NamedTuple):
    """A message to another daemon; it may get lost, and then nobody is told."""

    address: str  # host:port of the daemon
    message: tuple[Any, ...]  # its kind first; it keeps the contract of its kind


class Reply(NamedTuple):
    """The answer to a request that came over HTTP to this daemon."""

    request: Any  # the number that the request was given by the host
    status: int  # of HTTP
    document: Any  # what is encoded as JSON, or text
    headers: Iterable[tuple[str, str]] = ()
    until: float | None = None  # seconds of the steady clock; written later, the answer could be too old


class Event(NamedTuple):
    """A numbered event for the log; `common.events` holds the numbers."""

    number: int
    fields: dict[str, Any]


class SaveChange(NamedTuple):
    """A change of consensus' stored state. Once it is durable, and all saves before it, the decider is
    told ("saved", sequence).
    """

    sequence: int
    change: Any


class WriteBase(NamedTuple):
    """A snapshot base, which takes the place of all saves before it. The decider is told ("saved",
    sequence) once it is durable, unless `sequence` is None: then nothing waits for it.
    """

    sequence: int | None
    payload: list[Any]


class WriteSegment(NamedTuple):
    """A sealed segment of the archive; it is durable before any later base is."""

    number: int
    data: bytes


class WriteNote(NamedTuple):
    """A note about membership in a cluster; durable before any later effect is carried out."""

    payload: list[Any]


class EncodeSnapshot(NamedTuple):
    """An image of the cluster state, to be encoded beside the decider, which is then told
    ("encoded", index, encoded image).
    """

    applied_index: int  # of the last entry that the image holds
    image: Any


class Rehearse(NamedTuple):
    """A draft to be measured beside the decider, which is then told ("rehearsed", epoch, draft, asked,
    measure). From `traffic` on: the arguments of the decider's measure().
    """

    epoch: int  # of the role holder that rehearses
    draft: str  # its identity
    asked: int  # the version of the draft that is measured
    traffic: Any  # sample of pushed jobs
    queue_configuration: Any  # in force
    draft_configuration: Any
    capacities: Any  # of workers, in units


class PostOrder(NamedTuple):
    """An order to a worker over HTTP. The decider is told ("posted", key, outcome), unless `key` is None."""

    key: tuple[str, int] | None  # (reference of the task, attempt)
    address: str  # host:port of the worker
    path: str
    document: dict[str, Any]
