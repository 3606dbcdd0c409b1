"""Requests that are forwarded with an index of the log, which the leader confirms when they come.

First the index is asked for, then the request is forwarded with it as its last argument. The index is
asked for only while the caller surely still waits, and never anew for the same request: what the
caller does after it gave up has a higher one. A request may have lain unread for as long as its daemon
was stopped just before; that time is subtracted. One that the network held back looks new, but the end of
its caller's connection comes right behind it: until it is forwarded, such a request is dropped.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

from ..common import constants
from .forwarder import LOG_INDEX_REQUEST, Call, Effect, Forwarder

CALLS = frozenset(("evacuate",))  # that are forwarded so: they bear no version of their own


class AwaitingIndex(NamedTuple):
    """A request whose index is being asked for, and until when the whole may take."""

    call: str
    arguments: tuple[Any, ...]
    until: float


class IndexedForwarder:
    """Invariants: a request in `waiting` has been sent to nobody; `pause` is how long (seconds) the
    daemon was stopped last, and `paused_at` when it went on.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.waiting: dict[str, AwaitingIndex] = {}  # by the token of the request for the index
        self.pause, self.paused_at = 0.0, -1e9

    def paused(self, seconds: float, now: float) -> None:
        """Notes that the daemon was stopped, until now, for longer than CONFIRM_PAUSE."""
        self.pause, self.paused_at = seconds, now

    def _unread(self, now: float) -> float:
        """How long a request that is read now may have waited in its socket."""
        return self.pause if now < self.paused_at + constants.STALL_AFTERMATH else 0.0

    def begin(self, request: int, call: str, arguments: Sequence[Any], now: float, patience: float) -> str:
        """Takes any request; the token of what is to be forwarded first."""
        if call not in CALLS:
            return self.forwarder.begin(request, call, arguments, now, patience)
        for token in [one for one in self.waiting if one not in self.forwarder.calls]:
            del self.waiting[token]
        until = now + min(patience, constants.CALL_PATIENCE)
        within = min(patience, constants.CONFIRM_WITHIN - self._unread(now))
        token = self.forwarder.begin(request, LOG_INDEX_REQUEST, (), now, within)
        self.waiting[token] = AwaitingIndex(call, tuple(arguments), until)
        return token

    def answered(
        self, token: str, answer: Sequence[Any], key: Sequence[str], now: float, until: float | None = None
    ) -> tuple[Effect, ...]:
        """Effects of an answer to any forwarded request, as Forwarder.answered() has them. Once its index
        is known, a request is due to be forwarded.
        """
        question = self.forwarder.calls.get(token)
        if token not in self.waiting or question is None or question.key != tuple(key) or answer[0] != 200:
            return self.forwarder.answered(token, answer, key, now, until)
        waiting = self.waiting.pop(token)
        if now >= question.until:
            return self.forwarder.give_up(token)
        del self.forwarder.calls[token]
        arguments = (*waiting.arguments, answer[1]["index"])
        following = self.forwarder.begin(question.request, waiting.call, arguments, now, waiting.until - now)
        self.forwarder.calls[following].retry_at = now
        return ()

    def hung_up(self, request: int) -> tuple[Effect, ...]:
        """Effects of the end of the connection that a request came by: an order that was sent to nobody
        yet is given up, as not taken. Its caller may have given it up long before it was read here.
        """
        for token, call in self.forwarder.calls.items():
            if call.request == request and (token in self.waiting or self._unsent_order(call)):
                self.waiting.pop(token, None)
                return self.forwarder.give_up(token)
        return ()

    @staticmethod
    def _unsent_order(call: Call) -> bool:
        """Whether a request is an order whose index is known, and which was sent to nobody yet."""
        return call.call in CALLS and call.attempts == 0
