"""What a forwarded request is about: its call and its subject, sent along with every answer to it."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple


class CallKey(NamedTuple):
    """Invariant: requests that differ in what they ask of whom have different keys; a request sent
    again has the same one.
    """

    call: str
    subject: str


def _plain_subject(arguments: Sequence[Any]) -> str:
    """The texts and numbers among the arguments: a name, a path, a version."""
    return " ".join([str(one) for one in arguments if not isinstance(one, (dict, list, tuple))])


def _worker_subject(arguments: Sequence[Any]) -> str:
    """The identity of the worker that speaks: by far the most requests, so nothing else is looked at."""
    subject: str = arguments[0]
    return subject


def _configured_subject(arguments: Sequence[Any]) -> str:
    """A configuration is named by the version it builds on and its own."""
    base, document = arguments
    return f"{base} {document.get('version') if isinstance(document, dict) else None}"


def _queue_subject(arguments: Sequence[Any]) -> str:
    """Host and path: a caller's key, if there is one, is told to nobody."""
    return _plain_subject(arguments[:2])


# call -> how its subject is read, where it is not all texts and numbers among its arguments
SUBJECTS: dict[str, Callable[[Sequence[Any]], str]] = {
    "beat": _worker_subject,
    "configure": _configured_subject,
    "job": _queue_subject,
    "job-read": _queue_subject,
    "job-cancel": _queue_subject,
}


def subject_of(call: str, arguments: Sequence[Any]) -> str:
    """The subject of a request."""
    return SUBJECTS.get(call, _plain_subject)(arguments)


def key_of(call: str, arguments: Sequence[Any]) -> CallKey:
    """The key of a request."""
    return CallKey(call, subject_of(call, arguments))
