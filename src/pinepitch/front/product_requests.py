"""Requests of the product's own API on their way to the leader: forwarded until one attempt is answered.

Those that come through the adapters are forwarded by transport.forwarder instead, with what their callers'
shorter patience needs.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from ..common import constants
from ..consensus.leader_clock import LeaderClock
from ..transport.request_key import key_of

# Calls whose answer has a version, which callers are told in an ETag.
VERSIONED = frozenset(("setup", "change", "back"))


class ForwardedCall(NamedTuple):
    """A request on its way to the leader. Invariant: the same token at every attempt."""

    request: int
    call: str
    arguments: tuple[Any, ...]
    begun: float
    sent: float
    to: str  # the address of the newest attempt, "" for none


class ProductRequests:
    """Invariant: a request leaves `calls` with its one reply."""

    def __init__(
        self,
        address: str,
        leader_clock: LeaderClock,
        send: Callable[[str | None, tuple[Any, ...]], None],
        reply: Callable[..., None],
        event: Callable[..., None],
        counts: dict[str, int],
    ) -> None:
        self.address = address  # of this daemon
        self.leader_clock = leader_clock
        self._send, self._reply, self._event = send, reply, event
        self.counts = counts
        self.calls: dict[str, ForwardedCall] = {}  # by token

    def begin(
        self, token: str, request: int, call: str, arguments: tuple[Any, ...], to: str | None, now: float
    ) -> None:
        """Begins to forward a request."""
        self.counts["carried"] += 1
        self.forward(token, ForwardedCall(request, call, arguments, now, now, ""), to, now)

    def forward(self, token: str, found: ForwardedCall, to: str | None, now: float) -> None:
        """One attempt, to the address `to` if there is any."""
        self.calls[token] = found._replace(sent=now, to=to or "")
        if to is not None:
            end = self.leader_clock.end(found.begun + constants.FORWARD_TIMEOUT, now)
            self._send(to, ("ask", self.address, token, found.call, found.arguments, 0, end))

    def tick(self, next_address: Callable[[str], str | None], now: float) -> None:
        """Gives up what took too long, and sends again what is unanswered for a while."""
        for token, found in list(self.calls.items()):
            if now - found.begun >= constants.FORWARD_TIMEOUT:
                del self.calls[token]
                self._give_up(found)
            elif now - found.sent >= constants.FORWARD_RETRY:
                self.forward(token, found, next_address(found.to), now)

    def answered(self, token: str, answer: Sequence[Any], key: Sequence[str], now: float) -> None:
        """The answer (status, document, Retry-After or None) to a request, about what `key` says."""
        found = self.calls[token]
        if key_of(found.call, found.arguments) != tuple(key):
            self._event(145, token=token, call=found.call, told=list(key))
            return
        del self.calls[token]
        if now - found.begun >= constants.FORWARD_TIMEOUT:  # read after a stall
            self._give_up(found)
            return
        status, document, retry = answer
        self.counts["answered"] += 1
        self.counts["shed"] += status == 429
        headers: tuple[tuple[str, str], ...] = ()
        if found.call in VERSIONED and status == 200:
            headers = (("ETag", f'"{document["version"]}"'),)
        self._reply(found.request, status, document, retry, headers)

    def _give_up(self, found: ForwardedCall) -> None:
        """No answer came while the request was to be forwarded."""
        self.counts["unanswered"] += 1
        message = "no leader answered in time; the call may have been taken"
        problem = {"error": {"code": "no_leader", "message": message}}
        self._reply(found.request, 503, problem, constants.RETRY_AFTER)
