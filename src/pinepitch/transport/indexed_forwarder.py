"""Forwards requests together with an index of the log, which the leader checks when they arrive.

The index is requested first; then the request is forwarded with the index as its last argument. The index
is requested only while the caller certainly still waits, and only once for each request: whatever the
caller does after it gave up has a higher index. A request may have stayed unread for as long as its daemon
was just paused; that time is subtracted. A request that the network delayed looks new, but the end of its
caller's connection follows right behind it: such a request is dropped if it was not forwarded yet.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

from ..common import constants
from .forwarder import LOG_INDEX_REQUEST, Call, Effect, Forwarder

INDEXED_CALLS = frozenset(("evacuate",))  # calls forwarded with an index, as they contain no version


class AwaitingIndex(NamedTuple):
    """A request whose index was requested, and the deadline (steady clock, s) of both steps together."""

    call: str
    arguments: tuple[Any, ...]
    until: float


class IndexedForwarder:
    """Forwards calls, those in INDEXED_CALLS with an index. Invariants: no request in `waiting` was sent to
    any daemon; `pause` is the length (seconds) of the daemon's last pause, and `paused_at` is when it ended.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.waiting: dict[str, AwaitingIndex] = {}  # by the token of the request for the index
        self.pause, self.paused_at = 0.0, -1e9

    def paused(self, seconds: float, now: float) -> None:
        """Records a pause of the daemon, longer than CONFIRM_PAUSE, that has just ended."""
        self.pause, self.paused_at = seconds, now

    def _unread(self, now: float) -> float:
        """How long (seconds) a request that is read now may have waited in its socket."""
        return self.pause if now < self.paused_at + constants.STALL_AFTERMATH else 0.0

    def begin(self, request: int, call: str, arguments: Sequence[Any], now: float, patience: float) -> str:
        """Accepts a request; returns the token of what is forwarded first: its index request or itself."""
        if call not in INDEXED_CALLS:
            return self.forwarder.begin(request, call, arguments, now, patience)
        for token in [pending for pending in self.waiting if pending not in self.forwarder.calls]:
            del self.waiting[token]
        until = now + min(patience, constants.CALL_PATIENCE)
        index_patience = min(patience, constants.CONFIRM_WITHIN - self._unread(now))
        token = self.forwarder.begin(request, LOG_INDEX_REQUEST, (), now, index_patience)
        self.waiting[token] = AwaitingIndex(call, tuple(arguments), until)
        return token

    def answered(
        self, token: str, answer: Sequence[Any], key: Sequence[str], now: float, until: float | None = None
    ) -> tuple[Effect, ...]:
        """Returns the effects of an answer to a forwarded request, as Forwarder.answered() does. Once its
        index is known, a request is scheduled to be forwarded.
        """
        index_request = self.forwarder.calls.get(token)
        if (
            token not in self.waiting
            or index_request is None
            or index_request.key != tuple(key)
            or answer[0] != 200
        ):
            return self.forwarder.answered(token, answer, key, now, until)
        waiting = self.waiting.pop(token)
        if now >= index_request.until:
            return self.forwarder.give_up(token)
        del self.forwarder.calls[token]
        arguments = (*waiting.arguments, answer[1]["index"])
        call_token = self.forwarder.begin(
            index_request.request, waiting.call, arguments, now, waiting.until - now
        )
        self.forwarder.calls[call_token].retry_at = now
        return ()

    def hung_up(self, request: int) -> tuple[Effect, ...]:
        """Returns the effects of the end of the connection that a request arrived on: an operator's order
        that was not sent to any daemon yet is given up as not taken. Its caller may have given up long
        before the order was read here.
        """
        for token, call in self.forwarder.calls.items():
            if call.request == request and (token in self.waiting or self._unsent_order(call)):
                self.waiting.pop(token, None)
                return self.forwarder.give_up(token)
        return ()

    @staticmethod
    def _unsent_order(call: Call) -> bool:
        """Whether a request is an operator's order that has its index and was not sent to any daemon yet."""
        return call.call in INDEXED_CALLS and call.attempts == 0
