"""Decisions of request handlers: an answer, or a step that has to be taken before there is one.

The handlers of forwarded requests are in `scheduling/requests.py` and `control/requests/`; the leader
executes their decisions in `control/forwarded_requests.py`.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple


class Answer(NamedTuple):
    """The answer to the caller. On the wire it is an array of these three fields, in this order."""

    status: int  # HTTP status code
    document: Any  # JSON-compatible values
    retry_after: int | None = None  # seconds after which the caller may retry; None if unspecified


class Propose(NamedTuple):
    """An operation to append to the log; the answer is made from its outcome once it is applied."""

    operation: tuple[Any, ...]
    outcome_answer: str  # the registered name of the function that makes the answer from the outcome
    context: Any = None  # passed to that function together with the outcome


class ProposeEnds(NamedTuple):
    """Proven ends of pushed tasks, which are proposed in one log entry with those of other requests.

    Invariant: each end is (task reference, attempt, how it ended).
    """

    ends: list[tuple[str, int, str]]
    context: Any


class ProposeTombstone(NamedTuple):
    """The cancellation of a job that the leader does not know. It is proposed in one log entry with those of
    other requests; the answer is made from its outcome once the entry is applied.
    """

    tombstone: tuple[str, ...]  # the fields of a scheduling.tombstones.Tombstone


class DeferHeartbeat(NamedTuple):
    """A worker's heartbeat, which is a long poll that the assignment manager answers now or later."""

    identity: str
    document: dict[str, Any]


Decision = Answer | Propose | ProposeEnds | ProposeTombstone | DeferHeartbeat


def problem(status: int, code: str, message: str, retry_after: int | None = None, **details: Any) -> Answer:
    """The answer that refuses a request: `code` is for programs, `message` for people."""
    return Answer(status, {"error": {"code": code, "message": message, **details}}, retry_after)


def faulty(
    faults: Iterable[tuple[str, str]], message: str = "the document has faults", status: int = 422
) -> Answer:
    """The answer that lists every fault of a document with its path and message."""
    listed = [{"path": path, "message": fault} for path, fault in faults]
    return problem(status, "invalid", message, faults=listed)
