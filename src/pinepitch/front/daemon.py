"""The state machine of the front daemon: accepts HTTP requests, forwards them to the leader, follows the
leader's updates, and decides which orders are sent to which worker.

Inputs are passed to step(message, now, clock), which returns effects of `common.effects`.
"""

from collections.abc import Callable, Sequence
from typing import Any

from ..common import constants
from ..common.effects import Event, LimitRequests, PostOrder, Reply, Send
from ..consensus.leader_clock import LeaderClock
from ..transport.callers import CallerTable
from ..transport.forwarder import Forwarder
from ..transport.indexed_forwarder import IndexedForwarder
from .cluster_time import ClusterTime
from .control_daemons import NEVER, ControlDaemons
from .filters import FILTERS
from .http_request import Answer, HttpRequest
from .orders import Orders
from .product_requests import ProductRequests

DISCOVERY_EVERY = 1.0  # seconds between handshakes with daemons other than the session's own


class FrontDaemon:
    """The state of one front daemon, without I/O. Invariant: version only grows within a leader's term.
    Times are seconds of the steady clock unless stated otherwise.
    """

    def __init__(self, identity: str, address: str, zone: str, seeds: Sequence[str]) -> None:
        self.identity, self.address, self.zone, self.seeds = identity, address, zone, tuple(seeds)
        self.cluster: str | None = None
        self.control_daemons = ControlDaemons()
        self.leader: str | None = None  # the leader's address
        self.rotation = 0  # counts choices of a peer, which rotate through the addresses
        self.token_count = 0  # number of tokens issued
        self.orders = Orders(self._event, self._post)
        self.updates_token: str | None = None  # token of the open request for updates
        self.updates_requested_at = NEVER
        self.version: tuple[Any, ...] = (0, 0)  # version of the newest updates
        self.body: dict[str, Any] | None = None  # content of the newest updates
        self.updated_at: float | None = None
        self.begun_at: float | None = None  # time of the first step
        self.stale = True
        self.cluster_time = ClusterTime()
        self.handshake_at = self.discovery_at = NEVER
        self.effects: list[Any] = []
        self.stopping = False
        # forwards the calls that arrive through adapters; each incarnation has its own identity
        self.forwarder = Forwarder(identity, address, self._event)
        self.indexed_forwarder = IndexedForwarder(self.forwarder)
        self.leader_clock = LeaderClock()
        self.configured = False  # whether any update has contained an active configuration
        self.callers = CallerTable()  # connections and requests, for the metrics
        self.request_limits: dict[str, Any] = {}  # as the newest configuration states them
        self.event_counts: dict[int, int] = {}
        self.counts = {"calls": 0, "carried": 0, "answered": 0, "unanswered": 0, "orders": 0, "shed": 0}
        self.product_requests = ProductRequests(
            address, self.leader_clock, self._send, self._reply, self._event, self.counts
        )

    def step(self, message: Sequence[Any], now: float, clock: float) -> list[Any]:
        """Processes one message and returns its effects. The wall clock `clock` is not used."""
        if self.begun_at is None:
            self.begun_at = now
        handler = INPUTS.get(message[0])
        if handler is not None:
            handler(self, *message[1:], now)
        else:
            self._event(147, kind=message[0])
        effects, self.effects = self.effects, []
        return effects

    def _send(self, address: str | None, message: tuple[Any, ...]) -> None:
        if address is not None:
            self.effects.append(Send(address, message))

    def _post(self, key: tuple[str, int] | None, address: str, path: str, document: dict[str, Any]) -> None:
        if key is not None:
            self.counts["orders"] += 1
        self.effects.append(PostOrder(key, address, path, document))

    def _event(self, number: int, **fields: Any) -> None:
        self.event_counts[number] = self.event_counts.get(number, 0) + 1
        self.effects.append(Event(number, fields))

    # --- sessions ---------------------------------------------------------------------
    def _handshake_fields(self) -> tuple[Any, ...]:
        """The fields that describe this daemon in a handshake and in its answer."""
        endpoints = self.control_daemons.endpoints()
        return (self.identity, "verge", self.zone, self.address, self.cluster, (), 0.0, endpoints, (), 0)

    def _tick(self, now: float) -> None:
        """Does the periodic work: handshakes, requests for updates, due orders, retries and expiries."""
        if not self.stopping and now - self.handshake_at >= constants.GREET_EVERY:
            self.handshake_at = now
            self._send_handshakes(now)
        self._request_updates(now)
        self._send_waiting(now)
        due, effects = self.forwarder.due(now, self._leaderless_for(now))
        self.effects.extend(effects)
        for token in due:
            self._forward_call(token, now)
        self.product_requests.tick(self._next_address, now)
        stale = self.updated_at is None or now - self.updated_at > constants.STALE_AFTER
        if stale != self.stale:
            self.stale = stale
            self._event(171 if stale else 172)

    def _send_handshakes(self, now: float) -> None:
        """Renews the session with one control daemon, and contacts another one or a seed for discovery."""
        message = ("greet", *self._handshake_fields())
        live = self.control_daemons.live(now)
        targets = set()
        if live:
            targets.add(self.leader if self.leader in live else live[0])
        if not live or self.stale or now - self.discovery_at >= DISCOVERY_EVERY:
            self.discovery_at = now
            others = sorted({*self.control_daemons.addresses(), *self.seeds})
            self.rotation += 1
            # without recent updates all are contacted, so that the endpoints known here spread in time
            targets.update(others if not live or self.stale else [others[self.rotation % len(others)]])
        for address in sorted(targets - {self.address}):
            self._send(address, message)

    def _learn_peers(self, handshake: Sequence[Any], now: float) -> None:
        """Learns from a handshake which control daemons exist."""
        identity, kind, zone, address, cluster, _, _, control_daemons, _, _ = handshake
        if cluster and self.cluster is None:
            self.cluster = cluster
        if kind == "accord":
            self.control_daemons.handshake_received(identity, zone, address, now)
        self.control_daemons.add_unknown(control_daemons, now)

    def _on_handshake(self, *message_fields: Any) -> None:
        """Answers a handshake with the leader that this daemon knows, if any."""
        *fields, now = message_fields
        self._learn_peers(fields, now)
        leader_fields = (self.leader, None, self.leader_clock.floor(now))
        self._send(fields[3], ("greeted", *self._handshake_fields(), *leader_fields))

    def _on_handshake_answer(self, *message_fields: Any) -> None:
        """Handles the answer to a handshake, which names the leader."""
        *fields, leader, _, reading, now = message_fields
        self.leader_clock.record_reading(reading, now)
        self._learn_peers(fields, now)
        if fields[1] == "accord" and leader:
            self.leader = leader

    def _leaderless_for(self, now: float) -> float:
        """Seconds since the last update from a leader; at most UPDATES_DEFERRAL while there is one."""
        since = self.begun_at if self.updated_at is None else self.updated_at
        return 0.0 if since is None else now - since

    # --- forwarding -------------------------------------------------------------------
    def _next_address(self, avoid: str) -> str | None:
        """The address to forward a request to: the leader if known, else the control daemons in rotation."""
        if self.leader is not None and self.leader != avoid:
            return self.leader
        others = [address for address in self.control_daemons.addresses() if address != avoid]
        if not others:
            return self.leader
        self.rotation += 1
        return others[self.rotation % len(others)]

    def forward(self, request: int, call: str, arguments: tuple[Any, ...], now: float) -> None:
        """Starts forwarding a call for the HTTP request `request` of the product's own API."""
        self.product_requests.begin(self._next_token(), request, call, arguments, self._next_address(""), now)

    def _next_token(self) -> str:
        """A token that this daemon has not used before."""
        self.token_count += 1
        return f"{self.identity}-{self.token_count}"

    def _on_call(
        self, request: int, call: str, arguments: tuple[Any, ...], patience: float, now: float
    ) -> None:
        """Forwards a call that arrived through an adapter to the leader; answers a readiness request
        itself.
        """
        self.counts["calls"] += 1
        if call == "ready":
            ready = self.configured and not self.stopping
            self.effects.append(Reply(request, 200 if ready else 503, {}))
            return
        token = self.indexed_forwarder.begin(request, call, arguments, now, patience)
        self._forward_call(token, now)

    def _forward_call(self, token: str, now: float) -> None:
        """Makes one attempt, at another daemon if the leader has not answered the last attempt."""
        call = self.forwarder.calls[token]
        avoid = call.to or "" if call.to == self.leader and call.open else ""
        address = self._next_address(avoid)
        end = self.leader_clock.end(call.until, now)
        attempt = self.forwarder.sent(token, address, now, end)
        self._send(address, ("ask", self.address, token, call.call, call.arguments, attempt, end))

    def _on_seeds(self, seeds: Sequence[str], now: float) -> None:
        """Replaces the seeds after the settings have changed."""
        self.seeds = tuple(seeds)
        self._event(182, seeds=list(seeds))

    def _on_in_doubt(self, token: str, now: float) -> None:
        """Handles a report that a control daemon does not know whether it executed the request."""
        self.forwarder.in_doubt(token)

    def _on_answer(self, token: str, answer: Sequence[Any], key: Sequence[str], now: float) -> None:
        """Handles the leader's answer to a request."""
        if token in self.product_requests.calls:
            self.product_requests.answered(token, answer, key, now)
        else:
            self.effects.extend(self.indexed_forwarder.answered(token, answer, key, now))

    def _on_not_taken(
        self, token: str, leader: str | None, attempt: int, reading: tuple[int, float] | None, now: float
    ) -> None:
        """Handles a control daemon's refusal of a request, which names the leader and a lower bound on
        the leader's clock.
        """
        self.leader_clock.record_reading(reading, now)
        if token == self.updates_token:
            self.updates_token = None
            self.leader = leader
            if leader is None:
                self._request_updates_later(token, now)
        elif token in self.forwarder.calls:
            self._call_not_taken(token, leader, attempt, now)
        elif token in self.product_requests.calls:
            self._product_request_not_taken(token, leader, now)

    def _call_not_taken(self, token: str, leader: str | None, attempt: int, now: float) -> None:
        """Resends a refused call at once if the named leader is another one or leads a newer term."""
        call = self.forwarder.calls[token]
        self.forwarder.not_taken(token, attempt)
        newer = (call.term or 0) < self.leader_clock.term
        if leader is not None and (leader != call.to or newer):
            self.leader = leader
            self._forward_call(token, now)
        elif leader is None and self.leader == call.to:
            self.leader = None

    def _product_request_not_taken(self, token: str, leader: str | None, now: float) -> None:
        """Resends a refused request of the product's own API at once if another leader is named."""
        forwarded = self.product_requests.calls[token]
        if leader is not None and leader != forwarded.to:
            self.leader = leader
            self.product_requests.forward(token, forwarded, leader, now)
        elif leader is None and self.leader == forwarded.to:
            self.leader = None

    def _on_hung_up(self, request: int, now: float) -> None:
        """Handles that the caller of a request has closed its connection."""
        self.effects.extend(self.indexed_forwarder.hung_up(request))

    def _on_paused(self, seconds: float, now: float) -> None:
        """Handles that this daemon's process did not run for the given seconds, until now."""
        self.indexed_forwarder.paused(seconds, now)

    def _on_undelivered(self, token: str, attempt: int, now: float) -> None:
        """Handles an attempt under `token` that was not delivered, as no connection could be made."""
        if token == self.updates_token:
            self._request_updates_later(token, now)
            return
        call = self.forwarder.calls.get(token)
        if call is not None and call.to == self.leader:
            self.leader = None
        self.forwarder.not_taken(token, attempt)

    def _reply(
        self,
        request: int,
        status: int,
        document: Any,
        retry: float | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        if retry is not None:
            headers = (*headers, ("Retry-After", str(retry)))
        self.effects.append(Reply(request, status, document, headers))

    # --- HTTP -------------------------------------------------------------------------
    def _on_http(
        self, request: int, method: str, target: str, headers: dict[str, str], body: bytes, now: float
    ) -> None:
        """Passes a request through the chain of filters; the first outcome ends the chain."""
        self.counts["calls"] += 1
        http_request = HttpRequest(request, method, target, headers, body)
        for request_filter in FILTERS:
            outcome = request_filter(self, http_request, now)
            if isinstance(outcome, Answer):
                self._reply(request, *outcome)
            if outcome is not None:
                return

    # --- updates and orders -----------------------------------------------------------
    def _request_updates(self, now: float) -> None:
        """Asks the leader for updates if no request is open, it timed out, or new outcomes are due."""
        patience = constants.UPDATES_DEFERRAL + constants.FORWARD_RETRY
        waiting = self.updates_token is not None
        unreported = self.orders.has_new_outcomes()
        if waiting and now - self.updates_requested_at < (constants.TICK if unreported else patience):
            return
        address = self.leader
        if (waiting and not unreported) or address is None:
            address = self._next_address(self.leader or "")
        if address is None or self.stopping:
            return
        self.updates_token = self._next_token()
        self.updates_requested_at = now
        self.cluster_time.request_sent(self.updates_token, now)
        outcomes = self.orders.outcomes_to_send()
        message = ("news", self.identity, self.address, self.updates_token, self.version, outcomes)
        self._send(address, message)

    def _request_updates_later(self, token: str, now: float) -> None:
        """Delays the next request for updates by FORWARD_RETRY_UNTAKEN, as no daemon took this one."""
        self.updates_token = token
        self.updates_requested_at = (
            now + constants.FORWARD_RETRY_UNTAKEN - constants.UPDATES_DEFERRAL - constants.FORWARD_RETRY
        )

    def _on_updates(
        self,
        token: str,
        version: Sequence[Any],
        body: dict[str, Any] | None,
        orders: Sequence[dict[str, Any]],
        kills: Sequence[tuple[str, int, str]],
        time: float,
        deferred_for: float,
        control_daemons: Sequence[tuple[str, str, str]],
        cluster: str,
        now: float,
    ) -> None:
        """Handles updates sent at cluster time `time`, after the leader deferred them `deferred_for` s."""
        if token == self.updates_token:
            self.updates_token = None
            self.orders.acknowledged()
        if tuple(version) >= self.version:
            self._apply_updates(token, tuple(version), body, time, deferred_for, now)
            self.cluster = self.cluster or cluster
        self.control_daemons.update_endpoints(control_daemons)
        for reference, attempt, address in kills:
            self.orders.kill(reference, attempt, address)
        self.orders.accept(orders)
        self._send_waiting(now)
        self._request_updates(now)

    def _apply_updates(
        self,
        token: str,
        version: tuple[Any, ...],
        body: dict[str, Any] | None,
        time: float,
        deferred_for: float,
        now: float,
    ) -> None:
        """Applies updates that are no older than the stored ones."""
        if body is not None:
            self.version, self.body = version, body
            self.configured = self.configured or bool(body["configuration"])
            self._limit_requests(body.get("request_limits", {}))
        requested_at = self.cluster_time.sent_at.get(token)
        if requested_at is not None:  # updates are at most this old, however long they stayed unread here
            previous = requested_at if self.updated_at is None else self.updated_at
            self.updated_at = max(requested_at + deferred_for, previous)
        self.cluster_time.answer_received(token, time, deferred_for, now)

    def _limit_requests(self, document: dict[str, Any]) -> None:
        """Has the limits of requests that the configuration states come into force if they have changed."""
        if document != self.request_limits:
            self.request_limits = document
            self.effects.append(LimitRequests(document))

    def _send_waiting(self, now: float) -> None:
        """Sends each order that is due."""
        earliest, latest = self.cluster_time.earliest(now), self.cluster_time.latest(now)
        if earliest is not None and latest is not None:
            self.orders.send_due(earliest, latest, self.body or {})

    def _on_posted(self, key: tuple[str, int] | None, outcome: str, now: float) -> None:
        """Handles the outcome of an order: sent, refused, unsent or unknown."""
        if key is not None:
            self.orders.posted(key, outcome)
            self._request_updates(now)

    def _on_stop(self, now: float) -> None:
        """Handles SIGTERM: refuses new jobs and ends the sessions."""
        self.stopping = True
        self._event(101)
        for control_daemon in self.control_daemons.known.values():
            self._send(control_daemon.address, ("leave", self.identity))

    def _on_give_up(self, now: float) -> None:
        """Handles the end of a stopping process: what still waits gets its final answer."""
        self.effects.extend(self.forwarder.give_up_all())

    def may_end(self, now: float) -> bool:
        """Always true: a front daemon has no voting membership to transfer before it stops."""
        return True


# The registry of inputs: message kind -> handler.
INPUTS: dict[str, Callable[..., None]] = {
    "tick": FrontDaemon._tick,
    "greet": FrontDaemon._on_handshake,
    "greeted": FrontDaemon._on_handshake_answer,
    "answer": FrontDaemon._on_answer,
    "elsewhere": FrontDaemon._on_not_taken,
    "told": FrontDaemon._on_updates,
    "http": FrontDaemon._on_http,
    "call": FrontDaemon._on_call,
    "unsure": FrontDaemon._on_in_doubt,
    "undelivered": FrontDaemon._on_undelivered,
    "hung-up": FrontDaemon._on_hung_up,
    "paused": FrontDaemon._on_paused,
    "seeds": FrontDaemon._on_seeds,
    "posted": FrontDaemon._on_posted,
    "stop": FrontDaemon._on_stop,
    "give-up": FrontDaemon._on_give_up,
}
