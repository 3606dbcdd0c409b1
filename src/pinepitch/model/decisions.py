"""What the handler of a forwarded request decides: an answer, or what is agreed on before there is one.

The handlers stand in `scheduling/requests.py` and `control/requests/`; the leader carries their decisions
out (`control/leader.py`).
"""

from collections.abc import Iterable
from typing import Any, NamedTuple


class Answer(NamedTuple):
    """What the caller gets. It goes over the wire as an array of these three fields, in this order."""

    status: int  # as in HTTP
    document: Any  # what JSON is made of
    retry_after: int | None = None  # seconds after which the caller may ask again; None leaves it open


class Propose(NamedTuple):
    """An operation to put into the log; its outcome becomes the answer once it is applied."""

    operation: tuple[Any, ...]
    outcome_answer: str  # name of the function that makes the answer, in the registry of these
    context: Any = None  # handed to that function with the outcome


class ProposeEnds(NamedTuple):
    """Proven ends of pushed tasks, which are put into one entry with those of other requests.

    Invariant: each end is (task reference, attempt, how it ended).
    """

    ends: list[tuple[str, int, str]]
    context: Any


class DeferHeartbeat(NamedTuple):
    """A worker's heartbeat: a long poll, which the assignment manager answers now or later."""

    identity: str
    document: dict[str, Any]


Decision = Answer | Propose | ProposeEnds | DeferHeartbeat


def problem(status: int, code: str, message: str, retry_after: int | None = None, **more: Any) -> Answer:
    """The answer that refuses a request: `code` is for programs, `message` for people."""
    return Answer(status, {"error": {"code": code, "message": message, **more}}, retry_after)


def faulty(
    faults: Iterable[tuple[str, str]], message: str = "the document has faults", status: int = 422
) -> Answer:
    """The answer that names every fault of a document as (path, message)."""
    listed = [{"path": path, "message": fault} for path, fault in faults]
    return problem(status, "invalid", message, faults=listed)
