"""The one watch for a process that was stopped, what it refuses, and answers that were kept back too long."""

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
    """Notices by the daemon's steady clock that its process did not run.

    Two bounds go by it: the decider is told of every pause longer than CONFIRM_PAUSE, as requests may
    have lain unread meanwhile, and after one longer than STALL such requests are refused. Invariant:
    `until` is STALL_AFTERMATH past the end of the newest pause longer than STALL.
    """

    def __init__(self) -> None:
        self.last_turn: float | None = None
        self.until = -1e9

    def turn(self, now: float) -> float:
        """Notes one turn of the daemon's loop, which ticks at the least; the seconds of the pause that it
        ends, 0.0 where that was no longer than CONFIRM_PAUSE.
        """
        passed = 0.0 if self.last_turn is None else now - self.last_turn
        self.last_turn = now
        if passed > constants.STALL:
            self.until = now + constants.STALL_AFTERMATH
        return passed if passed > constants.CONFIRM_PAUSE else 0.0

    def refuses(self, message: Sequence[Any], now: float) -> bool:
        """Whether a message is a request that may have waited since before the stall: its caller
        has gone to another daemon, and may have done what the call would undo.
        """
        if now >= self.until:
            return False
        kind: str = message[0]
        return kind == "http" or (kind == "call" and bool(message[2] != "ready"))


def timely(reply: Reply, until: float | None, now: float) -> Reply:
    """The reply if it may still be written, or what is written instead."""
    return reply if until is None or now <= until else LATE
