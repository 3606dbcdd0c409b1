"""Requests at this daemon's own ports: answered here, or forwarded to the leader until it answers."""

from typing import TYPE_CHECKING, Any

from ..common.effects import Reply
from ..consensus.leader_clock import Reading
from . import metrics_text
from .heartbeat_arrivals import HeartbeatArrivals

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class ClientRequests:
    """Invariant: each request gets one reply, whatever the leader answers and however often."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.heartbeat_arrivals = HeartbeatArrivals()

    def on_request(
        self, request: Any, call: str, arguments: tuple[Any, ...], timeout: float, now: float
    ) -> None:
        """Handles a call at this daemon's own ports: decided here, or forwarded to the leader."""
        if call == "ready":
            self.daemon.effects.append(Reply(request, 200 if self.daemon.consensus is not None else 503, {}))
            return
        if call == "beat":
            identity, heartbeat = arguments
            arguments = (identity, self.heartbeat_arrivals.marked(identity, heartbeat, now))
        token = self.daemon.indexed_forwarder.begin(request, call, arguments, now, timeout)
        self._forward(token, now)

    def _forward(self, token: str, now: float) -> None:
        """Sends a request to the leader, which may be this daemon."""
        daemon = self.daemon
        call = daemon.forwarder.calls[token]
        end: Reading | None
        if daemon.consensus is not None and daemon.consensus.role == "leader":
            end = Reading(daemon.consensus.term, call.until)
            attempt = daemon.forwarder.sent(token, daemon.address, now, end)
            daemon.forwarded_requests.on_request(
                daemon.address, token, call.call, call.arguments, attempt, end, now
            )
        else:
            address = daemon.leader_address()
            end = daemon.leader_clock.end(call.until, now)
            attempt = daemon.forwarder.sent(token, address, now, end)
            daemon.send(address, ("ask", daemon.address, token, call.call, call.arguments, attempt, end))

    def resend_due(self, now: float) -> None:
        """Resends requests that are due, and gives up those that were not answered in time."""
        due, effects = self.daemon.forwarder.due(now)
        self.daemon.effects.extend(effects)
        for token in due:
            if token in self.daemon.forwarder.calls:
                self._forward(token, now)

    def on_give_up(self, now: float) -> None:
        """Handles the end of a stopping process: what still waits gets its final answer."""
        self.daemon.effects.extend(self.daemon.forwarder.give_up_all())

    def on_answer(self, token: str, answer: tuple[Any, ...], key: tuple[Any, ...], now: float) -> None:
        """Handles the leader's answer to a request."""
        if self.daemon.image_digests.take_answer(token, answer, key):
            return
        call = self.daemon.forwarder.waiting(token, key)
        if call is None:
            return
        names_address = call.call == "beat" and "home" in answer[1]
        # an address is sent only at intervals: a worker that can't reach it comes back here
        if names_address and not self.heartbeat_arrivals.may_hint(call.arguments[0], now):
            del answer[1]["home"]
        self.daemon.effects.extend(self.daemon.indexed_forwarder.answered(token, answer, key, now))

    def on_refused(
        self, token: str, leader: str | None, attempt: int, reading: Reading | None, now: float
    ) -> None:
        """Handles an attempt that its receiver refused; the receiver names the leader if it knows it."""
        self.daemon.leader_clock.record_reading(reading, now)
        self.daemon.forwarder.not_taken(token, attempt)
        call = self.daemon.forwarder.calls.get(token)
        if call is not None and leader is not None and (call.term or 0) < self.daemon.leader_clock.term:
            self._forward(token, now)  # that attempt had no end on this leader's clock

    def on_undelivered(self, token: str, attempt: int, now: float) -> None:
        """Handles an attempt that could not be delivered because no connection could be made."""
        self.daemon.forwarder.not_taken(token, attempt)

    def on_hung_up(self, request: Any, now: float) -> None:
        """Handles the end of a connection by the caller of a request."""
        self.daemon.effects.extend(self.daemon.indexed_forwarder.hung_up(request))

    def on_paused(self, seconds: float, now: float) -> None:
        """Handles a pause: the process of this daemon did not run for so many seconds, until now."""
        self.daemon.counts["pauses"] += 1
        self.daemon.paused_seconds += seconds
        self.daemon.indexed_forwarder.paused(seconds, now)

    def on_in_doubt(self, token: str, now: float) -> None:
        """Handles the report that the receiver of a request may have accepted it and does not know the
        outcome.
        """
        self.daemon.forwarder.in_doubt(token)

    def on_http(self, request: Any, method: str, target: str, headers: Any, body: bytes, now: float) -> None:
        """Serves this daemon's own small HTTP port: its health and metrics, nothing that is forwarded."""
        answer = {"/v1/health": metrics_text.health, "/v1/metrics": metrics_text.text}.get(target)
        if method != "GET" or answer is None:
            document = {
                "error": {
                    "code": "no_such_way",
                    "message": "an accord answers GET /v1/health and /v1/metrics",
                }
            }
            self.daemon.effects.append(Reply(request, 404, document))
        else:
            self.daemon.effects.append(Reply(request, 200, answer(self.daemon, now)))
