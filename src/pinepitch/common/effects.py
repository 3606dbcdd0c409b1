"""The effects that a daemon's decider requests from its host: one type per effect.

A decider opens no socket, file or clock. It takes a message and returns effects in the order in which they
must be executed; a host (`runtime.host`) or the simulator executes them according to their type. Effects
stay in their process: only the message inside a `Send` goes over the wire.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple


class Send(NamedTuple):
    """A message to another daemon. It may be lost, and a loss is not reported."""

    address: str  # host:port of the daemon
    message: tuple[Any, ...]  # its kind first; it satisfies the contract of that kind


class Reply(NamedTuple):
    """The answer to a request that this daemon received over HTTP."""

    request: Any  # the number that the host assigned to the request
    status: int  # HTTP status code
    document: Any  # a value to encode as JSON, or text
    headers: Iterable[tuple[str, str]] = ()
    until: float | None = None  # seconds of the steady clock; after it, the answer could be outdated


class Event(NamedTuple):
    """A numbered event for the log; `common.events` lists the numbers."""

    number: int
    fields: dict[str, Any]


class SaveChange(NamedTuple):
    """A change of the stored state of consensus. Once it and all earlier saves are durable, the decider
    receives ("saved", sequence).
    """

    sequence: int
    change: Any


class WriteBase(NamedTuple):
    """A snapshot base, which replaces all saves before it. The decider receives ("saved", sequence) once
    it is durable, unless `sequence` is None: then nothing waits for it.
    """

    sequence: int | None
    payload: list[Any]


class WriteSegment(NamedTuple):
    """A sealed segment of the archive; it becomes durable before any later base."""

    number: int
    data: bytes


class WriteNote(NamedTuple):
    """A record of membership in a cluster; durable before any later effect is executed."""

    payload: list[Any]


class EncodeSnapshot(NamedTuple):
    """An image of the cluster state, to be encoded in parallel with the decider, which then receives
    ("encoded", index, encoded image).
    """

    applied_index: int  # of the last entry that the image includes
    image: Any


class Rehearse(NamedTuple):
    """A draft to be measured in parallel with the decider, which then receives ("rehearsed", epoch, draft,
    asked, measure). The fields from `traffic` on are the arguments of the decider's measure().
    """

    epoch: int  # of the role holder that rehearses
    draft: str  # its identity
    asked: int  # the version of the draft that is measured
    traffic: Any  # sample of pushed jobs
    queue_configuration: Any  # the active one
    draft_configuration: Any
    capacities: Any  # of workers, in units


class PostOrder(NamedTuple):
    """An order to a worker over HTTP. The decider receives ("posted", key, outcome) unless `key` is None."""

    key: tuple[str, int] | None  # (reference of the task, attempt)
    address: str  # host:port of the worker
    path: str
    document: dict[str, Any]


class LimitRequests(NamedTuple):
    """The limits of clients' requests that the configuration in force states, in the terms of whoever wrote
    it; the adapter of a port reads them.
    """

    document: dict[str, Any]
