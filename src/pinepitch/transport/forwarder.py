"""Forwards requests to the leader until it answers or their time is over."""

import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..common import constants
from ..common.effects import Reply
from .request_key import key_of

# Asks for the index of the log. The request changes nothing: once given up, it counts as not taken.
LOG_INDEX_REQUEST = "log-index"

Effect = tuple[Any, ...]


class ClockBound(Protocol):
    """A moment on a leader's clock, such as a Reading of consensus.leader_clock."""

    @property
    def term(self) -> int:
        """The term of the leader whose clock it is."""


class Call:
    """A request that is being forwarded. Invariants: all attempts have the same token; `open` contains the
    numbers of the attempts that were neither answered nor refused, so if it is empty, no daemon has taken
    the request.
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
        self.retry_at = math.inf  # when the next attempt is due; math.inf before the first one
        self.to: str | None = None  # address of the newest attempt
        self.attempts = 0
        self.open: set[int] = set()
        self.doubtful = False  # whether some daemon does not know if it executed the request
        self.term: int | None = None  # term of the leader on whose clock the newest attempt expires


class Forwarder:
    """Forwards the requests of one daemon. Invariants: a request is removed from `calls` when its only
    reply is made; `incarnation` identifies one run of one daemon, so that no token is used for two
    requests; an answer is passed only to the request it is about. Times are seconds of the daemon's steady
    clock.
    """

    def __init__(self, incarnation: str, address: str, event: Callable[..., None]) -> None:
        self.incarnation, self.address = incarnation, address
        self._event = event  # emits a numbered event
        self.calls: dict[str, Call] = {}  # by token
        self.token_count = 0

    def begin(self, request: int, call: str, arguments: Sequence[Any], now: float, patience: float) -> str:
        """Accepts a request to be answered within `patience` seconds, and returns its token."""
        self.token_count += 1
        token = f"{self.incarnation}~{self.token_count}"
        until = now + min(patience, constants.CALL_PATIENCE)
        self.calls[token] = Call(request, call, arguments, now, until)
        return token

    def sent(self, token: str, address: str | None, now: float, end: ClockBound | None = None) -> int:
        """Records an attempt to send a request to `address`, and returns its number. The receiver may take
        the request only until `end` on the leader's clock. With None for `address` nothing was sent: only
        the next attempt is scheduled, and 0 is returned.
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
        """Returns (tokens to be sent again, effects that reply to the requests given up). Once there has
        been no leader for OUTAGE_SHORT or longer, requests are given up sooner, so that callers can retry.
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
        """Gives a request up; returns the effects that reply to it."""
        call = self.calls.pop(token)
        return (Reply(call.request, *self._given_up(call)),)

    def give_up_all(self) -> list[Effect]:
        """Gives all requests up; returns the effects that reply to them."""
        return [effect for token in list(self.calls) for effect in self.give_up(token)]

    def _end(self, call: Call, leaderless_for: float) -> float:
        """When a request is given up. In an outage short enough to be a restart it waits its full time, as
        nothing else would serve its caller sooner. In a longer outage it ends soon if no daemon can have
        taken it, so that the caller gets a Retry-After; otherwise it ends later, since callers resend at
        once what may have been taken.
        """
        if leaderless_for < constants.OUTAGE_SHORT:
            return call.until
        if self._may_be_taken(call):
            return call.begun + constants.LEADERLESS_SHARE * (call.until - call.begun)
        return min(call.until, call.begun + constants.LEADERLESS_SEEK)

    @staticmethod
    def _may_be_taken(call: Call) -> bool:
        """Whether some daemon may have taken the request, so that it may take effect."""
        return bool(call.open or call.doubtful) and call.call != LOG_INDEX_REQUEST

    def _given_up(self, call: Call) -> tuple[int, dict[str, Any], tuple[tuple[str, str], ...]]:
        """The (status, document, headers) of the reply to a request that is given up."""
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
        """The request under a token if an answer with this key is for it, else None."""
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
        """Returns the effects of an answer (status, document, Retry-After or None) to a request; `key` is
        the key of the request that it answers. The reply may be written until the request's deadline, or
        until `until` if that is sooner.
        """
        call = self.waiting(token, key)
        if call is None:
            return ()
        del self.calls[token]
        if now >= call.until:  # read after a stall: the caller has gone, and the answer's age is unknown
            return (Reply(call.request, *self._given_up(call)),)
        status, document, retry = answer
        headers = () if retry is None else (("Retry-After", str(retry)),)
        until = call.until if until is None else min(until, call.until)
        return (Reply(call.request, status, document, headers, until),)

    def not_taken(self, token: str, attempt: int) -> None:
        """Records that the receiver of an attempt did not take the request and never will."""
        call = self.calls.get(token)
        if call is not None and attempt in call.open:
            call.open.remove(attempt)
            call.retry_at = min(
                call.retry_at, call.retry_at - constants.FORWARD_RETRY + constants.FORWARD_RETRY_UNTAKEN
            )

    def in_doubt(self, token: str) -> None:
        """Records that a receiver of the request does not know whether it took it."""
        call = self.calls.get(token)
        if call is not None:
            call.doubtful = True
            call.retry_at -= constants.FORWARD_RETRY
