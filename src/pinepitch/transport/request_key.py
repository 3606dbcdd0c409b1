"""What a carried call is about: its kind and its subject, told along with every answer to it."""

from typing import NamedTuple


class CallKey(NamedTuple):
    """Invariant: calls that differ in what they ask of whom have different keys; a call sent
    again has the same one."""

    call: str
    subject: str


def _plain_subject(arguments):
    """The texts and numbers among the arguments: a name, a path, a version."""
    return " ".join([str(one) for one in arguments if not isinstance(one, (dict, list, tuple))])


def _worker_subject(arguments):
    """The identity of the minion that speaks: by far the most calls, so nothing else is looked at."""
    return arguments[0]


def _configured_subject(arguments):
    """A configuration is named by the version it builds on and its own."""
    base, document = arguments
    return f"{base} {document.get('version') if isinstance(document, dict) else None}"


# call -> how its subject is read, where it is not all texts and numbers among its arguments
SUBJECTS = {"beat": _worker_subject, "configure": _configured_subject}


def subject_of(call, arguments):
    """The subject of a call."""
    return SUBJECTS.get(call, _plain_subject)(arguments)


def key_of(call, arguments):
    """The key of a call."""
    return CallKey(call, subject_of(call, arguments))
