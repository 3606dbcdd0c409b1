"""Requests on their way to the leader, until it answers or no answer can come in time any more."""

import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..common import constants
from ..common.effects import Reply
from .request_key import key_of

# Asks how far the log is. It changes nothing, so that once given up it counts as not taken.
LOG_INDEX_REQUEST = "log-index"

Effect = tuple[Any, ...]


class ClockBound(Protocol):
    """A moment on a leader's clock (consensus.leader_clock has them)."""

    @property
    def term(self) -> int:
        """The term of the leader whose clock it is."""


class Call:
    """A request that is forwarded. Invariants: its token is the same at every attempt; open holds the
    numbers of the attempts that were neither answered nor refused, so that an empty one means that
    nobody took it.
    """

    __slots__ = (
        "arguments",
        "attempts",
        "begun",
        "call",
        "doubtful",
        "key",
        "open",
        "request",
        "retry_at",
        "term",
        "to",
        "until",
    )

    def __init__(self, request: int, call: str, arguments: Sequence[Any], begun: float, until: float) -> None:
        self.request, self.call, self.arguments = request, call, arguments
        self.begun, self.until = begun, until
        self.key = key_of(call, arguments)
        self.retry_at = math.inf  # when it is sent again; never before the first attempt
        self.to: str | None = None  # the address of the newest attempt
        self.attempts = 0
        self.open: set[int] = set()
        self.doubtful = False  # whether a daemon that may have executed it can't say so
        self.term: int | None = None  # of the leader whose clock the newest attempt's end is on


class Forwarder:
    """Forwards the requests of one daemon. Invariants: a request leaves `calls` with its one reply;
    `incarnation` names one run of one daemon, so that no token is ever used for two requests; an answer
    is given to none but the request it is about. Times are seconds of the daemon's steady clock.
    """

    def __init__(self, incarnation: str, address: str, event: Callable[..., None]) -> None:
        self.incarnation, self.address = incarnation, address
        self._event = event  # emits a numbered event
        self.calls: dict[str, Call] = {}  # by token
        self.count = 0

    def begin(self, request: int, call: str, arguments: Sequence[Any], now: float, patience: float) -> str:
        """Takes a request, to be answered within `patience` seconds; its token."""
        self.count += 1
        token = f"{self.incarnation}~{self.count}"
        until = now + min(patience, constants.CALL_PATIENCE)
        self.calls[token] = Call(request, call, arguments, now, until)
        return token

    def sent(self, token: str, address: str | None, now: float, end: ClockBound | None = None) -> int:
        """Notes an attempt to send a request to `address`, or to nobody when it is None, to be taken only
        until `end` on the leader's clock; the number of the attempt.
        """
        call = self.calls[token]
        call.to, call.term = address, end.term if end else None
        if address is None:
            call.retry_at = now + constants.FORWARD_RETRY_UNTAKEN
            return 0
        call.retry_at = now + constants.FORWARD_RETRY
        call.attempts += 1
        call.open.add(call.attempts)
        return call.attempts

    def due(self, now: float, leaderless_for: float = 0.0) -> tuple[list[str], list[Effect]]:
        """(tokens to be sent again, effects that reply to those given up). Once no leader has been heard
        for OUTAGE_SHORT or longer, requests are given up sooner, so that their callers may come back.
        """
        due: list[str] = []
        effects: list[Effect] = []
        for token, call in list(self.calls.items()):
            if now >= self._end(call, leaderless_for):
                effects.extend(self.give_up(token))
            elif now >= call.retry_at:
                due.append(token)
        return due, effects

    def give_up(self, token: str) -> tuple[Effect, ...]:
        """Effects of giving a request up."""
        call = self.calls.pop(token)
        return (Reply(call.request, *self._given_up(call)),)

    def _end(self, call: Call, leaderless_for: float) -> float:
        """When a request is given up. In an outage that a restart may end it waits all its time, as nothing
        serves its caller sooner. In a long one it ends soon if nobody can have taken it, so that its caller
        can be told when to come back; else later, as callers send again at once what may have been taken.
        """
        if leaderless_for < constants.OUTAGE_SHORT:
            return call.until
        if self._may_be_taken(call):
            return call.begun + constants.LEADERLESS_SHARE * (call.until - call.begun)
        return min(call.until, call.begun + constants.LEADERLESS_SEEK)

    @staticmethod
    def _may_be_taken(call: Call) -> bool:
        """Whether somebody may have taken a request, so that it may have its effect."""
        return bool(call.open or call.doubtful) and call.call != LOG_INDEX_REQUEST

    def _given_up(self, call: Call) -> tuple[int, dict[str, Any], tuple[tuple[str, str], ...]]:
        """(status, document, headers) of the reply to a request that is given up."""
        if self._may_be_taken(call):
            return (
                504,
                {"error": {"code": "unsure", "message": "no leader answered; the call may have been taken"}},
                (),
            )
        return (
            503,
            {"error": {"code": "no_leader", "message": "no leader is known; the call was not taken"}},
            (("Retry-After", str(constants.RETRY_AFTER)),),
        )

    def waiting(self, token: str, key: Sequence[str]) -> Call | None:
        """The request under a token if an answer about `key` is for it, else None."""
        call = self.calls.get(token)
        if call is None:
            self._event(144, token=token)
            return None
        if call.key != tuple(key):
            self._event(145, token=token, call=call.call, told=list(key))
            return None
        return call

    def answered(
        self, token: str, answer: Sequence[Any], key: Sequence[str], now: float, until: float | None = None
    ) -> tuple[Effect, ...]:
        """Effects of the answer (status, document, Retry-After or None) to a request, that tells by its
        key what it is about; it may be written until the request's patience is over, or until `until`
        if that is sooner.
        """
        call = self.waiting(token, key)
        if call is None:
            return ()
        del self.calls[token]
        if now >= call.until:  # read after a stall: nobody waits for it, nor knows how old it is
            return (Reply(call.request, *self._given_up(call)),)
        status, document, retry = answer
        headers = () if retry is None else (("Retry-After", str(retry)),)
        until = call.until if until is None else min(until, call.until)
        return (Reply(call.request, status, document, headers, until),)

    def not_taken(self, token: str, attempt: int) -> None:
        """The daemon that this attempt went to did not take it, and never will."""
        call = self.calls.get(token)
        if call is not None and attempt in call.open:
            call.open.remove(attempt)
            call.retry_at = min(
                call.retry_at, call.retry_at - constants.FORWARD_RETRY + constants.FORWARD_RETRY_UNTAKEN
            )

    def in_doubt(self, token: str) -> None:
        """The daemon that it was sent to may have taken it, and can't say."""
        call = self.calls.get(token)
        if call is not None:
            call.doubtful = True
            call.retry_at -= constants.FORWARD_RETRY
