"""The data shared by the filters and handlers of one HTTP request."""

import enum
from typing import Any, NamedTuple


class HttpRequest:
    """A request that passes the filters. Invariants: the fields given to the constructor never change;
    `handler`, `names` and `query` are set by the filter that parses the target, `document` by the filter
    that parses the body.
    """

    __slots__ = ("body", "document", "handler", "headers", "method", "names", "query", "request", "target")

    def __init__(self, request: int, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.request = request  # the host's number of this request
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.handler: Any = None
        self.names: list[str] = []  # the parts of the path that match {placeholders} of the route
        self.query: dict[str, str] = {}
        self.document: Any = None  # the parsed JSON body; None if there is no body


class Answer(NamedTuple):
    """An immediate answer: status, JSON document or text, Retry-After in seconds if any, more headers."""

    status: int
    document: Any
    retry: int | None = None
    headers: tuple[tuple[str, str], ...] = ()


class Forwarded(enum.Enum):
    """The outcome of a filter or handler that forwarded the request: the leader's answer follows later."""

    FORWARDED = enum.auto()


FORWARDED = Forwarded.FORWARDED
Outcome = Answer | Forwarded


def problem(status: int, code: str, message: str, retry: int | None = None, **more: object) -> Answer:
    """An error answer: a stable code, a message, and more fields if any."""
    return Answer(status, {"error": {"code": code, "message": message, **more}}, retry)


def faulty(faults: Any) -> Answer:
    """The answer to an invalid document; `faults` are pairs of a path and a message."""
    fault_documents = [{"path": path, "message": message} for path, message in faults]
    return problem(422, "invalid", "the document has faults", faults=fault_documents)
