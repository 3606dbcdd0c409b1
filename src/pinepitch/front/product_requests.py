"""Forwards requests of the product's own API to the leader until one attempt is answered.

Requests that arrive through adapters are forwarded by transport.forwarder instead, which supports the
shorter time limits of their callers.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from ..common import constants
from ..consensus.leader_clock import LeaderClock
from ..transport.request_key import key_of

# Calls whose answer contains a version, which is returned in an ETag.
VERSIONED = frozenset(("setup", "change", "back"))


class ForwardedCall(NamedTuple):
    """A request that is being forwarded. Invariant: all attempts have the same token."""

    request: int
    call: str
    arguments: tuple[Any, ...]
    begun: float
    sent: float
    to: str  # the address of the newest attempt, "" for none


class ProductRequests:
    """Invariant: a request is removed from `calls` when its only reply is made."""

    def __init__(
        self,
        address: str,
        leader_clock: LeaderClock,
        send: Callable[[str | None, tuple[Any, ...]], None],
        reply: Callable[..., None],
        event: Callable[..., None],
        counts: dict[str, int],
    ) -> None:
        self.address = address  # address of this daemon
        self.leader_clock = leader_clock
        self._send, self._reply, self._event = send, reply, event
        self.counts = counts
        self.calls: dict[str, ForwardedCall] = {}  # by token

    def begin(
        self, token: str, request: int, call: str, arguments: tuple[Any, ...], to: str | None, now: float
    ) -> None:
        """Starts forwarding a request."""
        self.counts["carried"] += 1
        self.forward(token, ForwardedCall(request, call, arguments, now, now, ""), to, now)

    def forward(self, token: str, forwarded: ForwardedCall, to: str | None, now: float) -> None:
        """Makes one attempt, which is sent to the address `to` unless that is None."""
        self.calls[token] = forwarded._replace(sent=now, to=to or "")
        if to is not None:
            end = self.leader_clock.end(forwarded.begun + constants.FORWARD_TIMEOUT, now)
            self._send(to, ("ask", self.address, token, forwarded.call, forwarded.arguments, 0, end))

    def tick(self, next_address: Callable[[str], str | None], now: float) -> None:
        """Gives up requests older than FORWARD_TIMEOUT; resends those unanswered for FORWARD_RETRY."""
        for token, forwarded in list(self.calls.items()):
            if now - forwarded.begun >= constants.FORWARD_TIMEOUT:
                del self.calls[token]
                self._give_up(forwarded)
            elif now - forwarded.sent >= constants.FORWARD_RETRY:
                self.forward(token, forwarded, next_address(forwarded.to), now)

    def answered(self, token: str, answer: Sequence[Any], key: Sequence[str], now: float) -> None:
        """Handles an answer (status, document, Retry-After or None) to the request that `key` belongs to."""
        forwarded = self.calls[token]
        if key_of(forwarded.call, forwarded.arguments) != tuple(key):
            self._event(145, token=token, call=forwarded.call, told=list(key))
            return
        del self.calls[token]
        if now - forwarded.begun >= constants.FORWARD_TIMEOUT:  # read after a stall
            self._give_up(forwarded)
            return
        status, document, retry = answer
        self.counts["answered"] += 1
        self.counts["shed"] += status == 429
        headers: tuple[tuple[str, str], ...] = ()
        if forwarded.call in VERSIONED and status == 200:
            headers = (("ETag", f'"{document["version"]}"'),)
        self._reply(forwarded.request, status, document, retry, headers)

    def _give_up(self, forwarded: ForwardedCall) -> None:
        """Replies to a request that was not answered in time."""
        self.counts["unanswered"] += 1
        message = "no leader answered in time; the call may have been taken"
        problem = {"error": {"code": "no_leader", "message": message}}
        self._reply(forwarded.request, 503, problem, constants.RETRY_AFTER)
