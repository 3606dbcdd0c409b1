"""What the filters and handlers of one HTTP request hand to each other."""

import enum
from typing import Any, NamedTuple


class HttpRequest:
    """A request on its way through the filters. Invariants: what came in is never changed; `handler`,
    `names` and `query` are set by the filter that reads the target, `document` by the one that reads
    the body.
    """

    __slots__ = ("body", "document", "handler", "headers", "method", "names", "query", "request", "target")

    def __init__(self, request: int, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.request = request  # the host's number for it
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.handler: Any = None
        self.names: list[str] = []  # what stands in the path where its route has {a name}
        self.query: dict[str, str] = {}
        self.document: Any = None  # of a JSON body; None where there is no body


class Answer(NamedTuple):
    """An answer at once: status, JSON document or text, seconds for Retry-After if any, more headers."""

    status: int
    document: Any
    retry: int | None = None
    headers: tuple[tuple[str, str], ...] = ()


class Forwarded(enum.Enum):
    """The outcome of a filter or handler that has left the answer to the leader."""

    FORWARDED = enum.auto()


FORWARDED = Forwarded.FORWARDED
Outcome = Answer | Forwarded


def problem(status: int, code: str, message: str, retry: int | None = None, **more: object) -> Answer:
    """An error answer: a stable code, a sentence, and more fields if any."""
    return Answer(status, {"error": {"code": code, "message": message, **more}}, retry)


def faulty(faults: Any) -> Answer:
    """The answer to a document with faults: pairs of a path and a message."""
    found = [{"path": path, "message": message} for path, message in faults]
    return problem(422, "invalid", "the document has faults", faults=found)
