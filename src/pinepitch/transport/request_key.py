"""The key of a forwarded request, its call and subject, which is sent with every answer to it."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple


class CallKey(NamedTuple):
    """Identifies what a request is about. Invariants: requests that ask for different things or concern
    different subjects have different keys; a request that is sent again has the same key.
    """

    call: str
    subject: str


def _plain_subject(arguments: Sequence[Any]) -> str:
    """The strings and numbers among the arguments: a name, a path, a version."""
    return " ".join(
        [str(argument) for argument in arguments if not isinstance(argument, (dict, list, tuple))]
    )


def _worker_subject(arguments: Sequence[Any]) -> str:
    """The identity of the sending worker. Most requests are heartbeats, so nothing else is read."""
    subject: str = arguments[0]
    return subject


def _configured_subject(arguments: Sequence[Any]) -> str:
    """The version that a configuration builds on, and its own version."""
    base, document = arguments
    return f"{base} {document.get('version') if isinstance(document, dict) else None}"


def _queue_subject(arguments: Sequence[Any]) -> str:
    """Host and path. The caller's key, if there is one, must not be disclosed."""
    return _plain_subject(arguments[:2])


# call -> the function for its subject, where that is not _plain_subject
SUBJECTS: dict[str, Callable[[Sequence[Any]], str]] = {
    "beat": _worker_subject,
    "configure": _configured_subject,
    "job": _queue_subject,
    "job-read": _queue_subject,
    "job-cancel": _queue_subject,
}


def subject_of(call: str, arguments: Sequence[Any]) -> str:
    """The subject of a request with these arguments."""
    return SUBJECTS.get(call, _plain_subject)(arguments)


def key_of(call: str, arguments: Sequence[Any]) -> CallKey:
    """The key of a request with these arguments."""
    return CallKey(call, subject_of(call, arguments))
