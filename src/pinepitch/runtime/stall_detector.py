"""Detects pauses of the process, and handles what follows: stale requests and replies that are too old."""

from collections.abc import Sequence
from typing import Any

from ..common import constants

# (status, document, headers)
Reply = tuple[int, object, tuple[Any, ...]]

PAUSED: Reply = (
    503,
    {"error": {"code": "paused", "message": "this daemon was stopped for a while; the call was not taken"}},
    (("Retry-After", str(constants.RETRY_AFTER)),),
)
LATE: Reply = (
    504,
    {"error": {"code": "late", "message": "the answer is too old to be told; the call may have been taken"}},
    (),
)


class StallDetector:
    """Detects by the daemon's steady clock that its process did not run.

    There are two limits. The daemon is notified of every pause longer than CONFIRM_PAUSE, as requests may
    have stayed unread meanwhile; after a pause longer than STALL, such requests are refused. Invariant:
    `refuse_until` is STALL_AFTERMATH after the end of the newest pause longer than STALL.
    """

    def __init__(self) -> None:
        self.last_iteration: float | None = None
        self.refuse_until = -1e9

    def turn(self, now: float) -> float:
        """Records one iteration of the daemon's loop, which runs at least at every tick. Returns the seconds
        since the previous one if that is a pause longer than CONFIRM_PAUSE, else 0.0.
        """
        elapsed = 0.0 if self.last_iteration is None else now - self.last_iteration
        self.last_iteration = now
        if elapsed > constants.STALL:
            self.refuse_until = now + constants.STALL_AFTERMATH
        return elapsed if elapsed > constants.CONFIRM_PAUSE else 0.0

    def refuses(self, message: Sequence[Any], now: float) -> bool:
        """Whether a message is a request that may have waited since before the stall. Its caller may have
        gone to another daemon since, and done there what this request would undo.
        """
        if now >= self.refuse_until:
            return False
        kind: str = message[0]
        return kind == "http" or (kind == "call" and bool(message[2] != "ready"))


def timely(reply: Reply, until: float | None, now: float) -> Reply:
    """The reply if it may still be written, else LATE."""
    return reply if until is None or now <= until else LATE
