"""Requests that waited while their daemon was stopped, and answers that were kept back too long."""

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


class StallGuard:
    """Notices by its own steady clock that the process did not run. Invariant: `until` is
    STALL_AFTERMATH past the end of the newest stall.
    """

    def __init__(self) -> None:
        self.last_turn: float | None = None
        self.until = -1e9

    def turn(self, now: float) -> float:
        """Notes one turn of the daemon's loop, which ticks at the least; the seconds of the stall
        that it ends, 0.0 if there was none.
        """
        passed = 0.0 if self.last_turn is None else now - self.last_turn
        self.last_turn = now
        if passed <= constants.STALL:
            return 0.0
        self.until = now + constants.STALL_AFTERMATH
        return passed

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
