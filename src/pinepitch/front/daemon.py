"""The front daemon as a decider: takes requests over HTTP, forwards them to the leader, follows its
updates, and says which orders go to which worker.

Inputs go through step(message, now, clock); effects of `common.effects` come back.
"""

from collections.abc import Callable, Sequence
from typing import Any

from ..common import constants
from ..common.effects import Event, PostOrder, Reply, Send
from ..consensus.leader_clock import LeaderClock
from ..transport.forwarder import Forwarder
from ..transport.indexed_forwarder import IndexedForwarder
from .cluster_time import ClusterTime
from .control_daemons import NEVER, ControlDaemons
from .filters import FILTERS
from .http_request import Answer, HttpRequest
from .orders import Orders
from .product_requests import ProductRequests

LOOK_ROUND_EVERY = 1.0  # seconds; between greetings to another daemon than the one that keeps the session


class FrontDaemon:
    """Decides for one front daemon: no I/O. Invariant: version only grows within a leader's term.
    Times are seconds of the steady clock if nothing else is said.
    """

    def __init__(self, identity: str, address: str, zone: str, seeds: Sequence[str]) -> None:
        self.identity, self.address, self.zone, self.seeds = identity, address, zone, tuple(seeds)
        self.cluster: str | None = None
        self.control_daemons = ControlDaemons()
        self.leader: str | None = None  # its address
        self.turn = 0  # counts the choices among others
        self.count = 0  # of tokens
        self.orders = Orders(self._event, self._post)
        self.updates_token: str | None = None  # of the open request for updates
        self.updates_requested_at = NEVER
        self.version: tuple[Any, ...] = (0, 0)  # of the newest updates
        self.body: dict[str, Any] | None = None  # the newest updates
        self.updated_at: float | None = None
        self.begun_at: float | None = None  # the first step
        self.stale = True
        self.cluster_time = ClusterTime()
        self.greet_at = self.look_at = NEVER
        self.effects: list[Any] = []
        self.stopping = False
        # of the calls that come through adapters; each incarnation has an identity of its own
        self.forwarder = Forwarder(identity, address, self._event)
        self.indexed_forwarder = IndexedForwarder(self.forwarder)
        self.leader_clock = LeaderClock()
        self.configured = False  # whether a configuration was ever heard to be in force
        self.event_counts: dict[int, int] = {}
        self.counts = {"calls": 0, "carried": 0, "answered": 0, "unanswered": 0, "orders": 0, "shed": 0}
        self.product_requests = ProductRequests(
            address, self.leader_clock, self._send, self._reply, self._event, self.counts
        )

    def step(self, message: Sequence[Any], now: float, clock: float) -> list[Any]:
        """Takes one message; returns the effects. The wall clock is not looked at."""
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
    def _greeting(self) -> tuple[Any, ...]:
        """What a greeting and its answer tell of this daemon."""
        known = self.control_daemons.endpoints()
        return (self.identity, "verge", self.zone, self.address, self.cluster, (), 0.0, known, (), 0)

    def _tick(self, now: float) -> None:
        """Does what time brings."""
        if not self.stopping and now - self.greet_at >= constants.GREET_EVERY:
            self.greet_at = now
            self._greet(now)
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

    def _greet(self, now: float) -> None:
        """Renews the session with one control daemon; looks round at another, or at a seed."""
        message = ("greet", *self._greeting())
        live = self.control_daemons.live(now)
        targets = set()
        if live:
            targets.add(self.leader if self.leader in live else live[0])
        if not live or self.stale or now - self.look_at >= LOOK_ROUND_EVERY:
            self.look_at = now
            others = sorted({*self.control_daemons.addresses(), *self.seeds})
            self.turn += 1
            # without updates everybody is greeted, so that what this daemon remembers is heard in time
            targets.update(others if not live or self.stale else [others[self.turn % len(others)]])
        for address in sorted(targets - {self.address}):
            self._send(address, message)

    def _hear(self, greeting: Sequence[Any], now: float) -> None:
        """Learns from a greeting which control daemons there are."""
        identity, kind, zone, address, cluster, _, _, control_daemons, _, _ = greeting
        if cluster and self.cluster is None:
            self.cluster = cluster
        if kind == "accord":
            self.control_daemons.heard(identity, zone, address, now)
        self.control_daemons.greeted(control_daemons, now)

    def _on_greet(self, *rest: Any) -> None:
        """A greeting is answered with who leads, as far as this daemon knows."""
        *fields, now = rest
        self._hear(fields, now)
        leader_fields = (self.leader, None, self.leader_clock.floor(now))
        self._send(fields[3], ("greeted", *self._greeting(), *leader_fields))

    def _on_greeted(self, *rest: Any) -> None:
        """The answer to a greeting tells who leads."""
        *fields, leader, _, reading, now = rest
        self.leader_clock.record_reading(reading, now)
        self._hear(fields, now)
        if fields[1] == "accord" and leader:
            self.leader = leader

    def _leaderless_for(self, now: float) -> float:
        """How long no leader has been heard, in seconds; UPDATES_DEFERRAL and less while there is one."""
        since = self.begun_at if self.updated_at is None else self.updated_at
        return 0.0 if since is None else now - since

    # --- forwarding -------------------------------------------------------------------
    def _next_address(self, avoid: str) -> str | None:
        """Where to forward a request: to the leader if known, else to control daemons in turn."""
        if self.leader is not None and self.leader != avoid:
            return self.leader
        others = [address for address in self.control_daemons.addresses() if address != avoid]
        if not others:
            return self.leader
        self.turn += 1
        return others[self.turn % len(others)]

    def forward(self, request: int, call: str, arguments: tuple[Any, ...], now: float) -> None:
        """Begins to forward a call for the HTTP request `request` of the product's own API."""
        self.product_requests.begin(self._next_token(), request, call, arguments, self._next_address(""), now)

    def _next_token(self) -> str:
        """A token that this daemon never used."""
        self.count += 1
        return f"{self.identity}-{self.count}"

    def _on_call(
        self, request: int, call: str, arguments: tuple[Any, ...], patience: float, now: float
    ) -> None:
        """A call that came through an adapter, forwarded to whoever leads; or whether this daemon is
        ready.
        """
        self.counts["calls"] += 1
        if call == "ready":
            ready = self.configured and not self.stopping
            self.effects.append(Reply(request, 200 if ready else 503, {}))
            return
        token = self.indexed_forwarder.begin(request, call, arguments, now, patience)
        self._forward_call(token, now)

    def _forward_call(self, token: str, now: float) -> None:
        """One attempt; another daemon is tried where the leader has not answered the last one."""
        call = self.forwarder.calls[token]
        avoid = call.to or "" if call.to == self.leader and call.open else ""
        address = self._next_address(avoid)
        end = self.leader_clock.end(call.until, now)
        attempt = self.forwarder.sent(token, address, now, end)
        self._send(address, ("ask", self.address, token, call.call, call.arguments, attempt, end))

    def _on_seeds(self, seeds: Sequence[str], now: float) -> None:
        """The settings name other seeds."""
        self.seeds = tuple(seeds)
        self._event(182, seeds=list(seeds))

    def _on_in_doubt(self, token: str, now: float) -> None:
        """A control daemon may have executed the request, and can't say."""
        self.forwarder.in_doubt(token)

    def _on_answer(self, token: str, answer: Sequence[Any], key: Sequence[str], now: float) -> None:
        """The leader's answer to a request."""
        if token in self.product_requests.calls:
            self.product_requests.answered(token, answer, key, now)
        else:
            self.effects.extend(self.indexed_forwarder.answered(token, answer, key, now))

    def _on_not_taken(
        self, token: str, leader: str | None, attempt: int, reading: tuple[int, float] | None, now: float
    ) -> None:
        """A control daemon that doesn't take a request says who leads, and what the leader's clock has
        passed.
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
        """A call is sent at once to a leader that it was not sent to, or that leads a newer term."""
        call = self.forwarder.calls[token]
        self.forwarder.not_taken(token, attempt)
        newer = (call.term or 0) < self.leader_clock.term
        if leader is not None and (leader != call.to or newer):
            self.leader = leader
            self._forward_call(token, now)
        elif leader is None and self.leader == call.to:
            self.leader = None

    def _product_request_not_taken(self, token: str, leader: str | None, now: float) -> None:
        """A product's request is sent at once to a leader that it was not sent to."""
        found = self.product_requests.calls[token]
        if leader is not None and leader != found.to:
            self.leader = leader
            self.product_requests.forward(token, found, leader, now)
        elif leader is None and self.leader == found.to:
            self.leader = None

    def _on_hung_up(self, request: int, now: float) -> None:
        """The caller of a request has closed its connection."""
        self.effects.extend(self.indexed_forwarder.hung_up(request))

    def _on_paused(self, seconds: float, now: float) -> None:
        """The process of this daemon did not run for so many seconds, until now."""
        self.indexed_forwarder.paused(seconds, now)

    def _on_undelivered(self, token: str, attempt: int, now: float) -> None:
        """That attempt under `token` reached nobody: no connection could be made."""
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
        """A request passes the chain of filters; the first answer counts."""
        self.counts["calls"] += 1
        http_request = HttpRequest(request, method, target, headers, body)
        for one in FILTERS:
            outcome = one(self, http_request, now)
            if isinstance(outcome, Answer):
                self._reply(request, *outcome)
            if outcome is not None:
                return

    # --- updates and orders -----------------------------------------------------------
    def _request_updates(self, now: float) -> None:
        """Asks the leader for updates, if no request is open or an outcome can wait no longer."""
        patience = constants.UPDATES_DEFERRAL + constants.FORWARD_RETRY
        waiting = self.updates_token is not None
        fresh = self.orders.has_new_outcomes()
        if waiting and now - self.updates_requested_at < (constants.TICK if fresh else patience):
            return
        address = self.leader
        if (waiting and not fresh) or address is None:
            address = self._next_address(self.leader or "")
        if address is None or self.stopping:
            return
        self.updates_token = self._next_token()
        self.updates_requested_at = now
        self.cluster_time.ask(self.updates_token, now)
        outcomes = self.orders.tell_outcomes()
        message = ("news", self.identity, self.address, self.updates_token, self.version, outcomes)
        self._send(address, message)

    def _request_updates_later(self, token: str, now: float) -> None:
        """Nobody answers this request for updates: another daemon is asked after a while."""
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
        """The leader's answer to a request for updates, at the cluster's `time`, after `deferred_for` s."""
        if token == self.updates_token:
            self.updates_token = None
            self.orders.acknowledged()
        if tuple(version) >= self.version:
            self._learn(token, tuple(version), body, time, deferred_for, now)
            self.cluster = self.cluster or cluster
        self.control_daemons.updated(control_daemons)
        for reference, attempt, address in kills:
            self.orders.kill(reference, attempt, address)
        self.orders.take(orders)
        self._send_waiting(now)
        self._request_updates(now)

    def _learn(
        self,
        token: str,
        version: tuple[Any, ...],
        body: dict[str, Any] | None,
        time: float,
        deferred_for: float,
        now: float,
    ) -> None:
        """Takes updates that are no older than those known."""
        if body is not None:
            self.version, self.body = version, body
            self.configured = self.configured or bool(body["configuration"])
        asked = self.cluster_time.asked.get(token)
        if asked is not None:  # as old as that at most, however long it lay unread here
            known = asked if self.updated_at is None else self.updated_at
            self.updated_at = max(asked + deferred_for, known)
        self.cluster_time.learn(token, time, deferred_for, now)

    def _send_waiting(self, now: float) -> None:
        """Sends each order whose time has come."""
        earliest, latest = self.cluster_time.earliest(now), self.cluster_time.latest(now)
        if earliest is not None and latest is not None:
            self.orders.send_due(earliest, latest, self.body or {})

    def _on_posted(self, key: tuple[str, int] | None, outcome: str, now: float) -> None:
        """How an order went: sent, refused, unsent or unknown."""
        if key is not None:
            self.orders.posted(key, outcome)
            self._request_updates(now)

    def _on_stop(self, now: float) -> None:
        """SIGTERM: takes no more jobs, leaves its sessions."""
        self.stopping = True
        self._event(101)
        for known in self.control_daemons.known.values():
            self._send(known.address, ("leave", self.identity))

    def may_end(self, now: float) -> bool:
        """A stopping front daemon has no voter seat to hand on."""
        return True


# The registry of inputs: message kind -> handler.
INPUTS: dict[str, Callable[..., None]] = {
    "tick": FrontDaemon._tick,
    "greet": FrontDaemon._on_greet,
    "greeted": FrontDaemon._on_greeted,
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
}
