"""The verge as a decider: takes calls over HTTP, carries them to the leader, follows
news, and says which orders go to which minion.

Inputs go through step(message, now, clock); effects of `common.effects` come back.
"""

from ..common import constants
from ..common.effects import Event, PostOrder, Reply, Send
from ..consensus.leader_clock import LeaderClock
from ..transport.forwarder import Forwarder
from ..transport.indexed_forwarder import IndexedForwarder
from .cluster_time import ClusterTime
from .filters import FILTERS
from .http_request import Answer, HttpRequest
from .orders import Orders
from .product_requests import ProductRequests


class FrontDaemon:
    """Invariants: an order in taken was posted at most once and never will be again;
    outcomes holds what the leader has not yet acknowledged; version only grows within a
    leader's term."""

    def __init__(self, identity, address, zone, seeds):
        self.identity, self.address, self.zone, self.seeds = identity, address, zone, tuple(seeds)
        self.cluster = None
        self.control_daemons = {}  # identity -> (area, address, heard)
        self.leader = None
        self.turn = 0
        self.count = 0
        self.orders = Orders(self._event, self._post)
        self.updates_token = None
        self.updates_requested_at = -1e9
        self.version = (0, 0)
        self.body = None  # the newest news
        self.updated_at = None
        self.begun_at = None  # the first step
        self.stale = True
        self.cluster_time = ClusterTime()
        self.greet_at = self.look_at = -1e9
        self.effects = []
        self.stopping = False
        self.forwarder = Forwarder(
            identity, address, self._event
        )  # calls about jobs; each life has its identity
        self.indexed_forwarder = IndexedForwarder(self.forwarder)
        self.leader_clock = LeaderClock()
        self.configured = False  # whether a configuration was ever heard to be in force
        self.event_counts = {}
        self.counts = {"calls": 0, "carried": 0, "answered": 0, "unanswered": 0, "orders": 0, "shed": 0}
        self.product_requests = ProductRequests(
            address, self.leader_clock, self._send, self._reply, self._event, self.counts
        )

    def step(self, message, now, clock):
        """Takes one message; returns the effects."""
        if self.begun_at is None:
            self.begun_at = now
        self.indexed_forwarder.turn(now)
        handler = INPUTS.get(message[0])
        if handler is not None:
            handler(self, *message[1:], now)
        else:
            self._event(147, kind=message[0])
        effects, self.effects = self.effects, []
        return effects

    def _send(self, address, message):
        if address is not None:
            self.effects.append(Send(address, message))

    def _post(self, key, address, path, document):
        if key is not None:
            self.counts["orders"] += 1
        self.effects.append(PostOrder(key, address, path, document))

    def _event(self, number, **fields):
        self.event_counts[number] = self.event_counts.get(number, 0) + 1
        self.effects.append(Event(number, fields))

    # --- sessions ---------------------------------------------------------------------
    def _greeting(self):
        control_daemons = tuple(
            (one, zone, address) for one, (zone, address, _) in self.control_daemons.items()
        )
        return (
            self.identity,
            "verge",
            self.zone,
            self.address,
            self.cluster,
            (),
            0.0,
            control_daemons,
            (),
            0,
        )

    def _tick(self, now):
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

    def _greet(self, now):
        """Renews the session with one accord; looks round at another, or at a seed."""
        message = ("greet", *self._greeting())
        known = sorted(self.control_daemons.values(), key=lambda one: one[1])
        live = [one for one in known if now - one[2] <= constants.SESSION_LASTS]
        targets = set()
        if live:
            home = next((one for one in live if one[1] == self.leader), live[0])
            targets.add(home[1])
        if not live or self.stale or now - self.look_at >= 1.0:
            self.look_at = now
            others = sorted({one[1] for one in known} | set(self.seeds))
            self.turn += 1
            # without news everybody is told, so that what this verge remembers is heard in time
            targets.update(others if not live or self.stale else [others[self.turn % len(others)]])
        for address in sorted(targets - {self.address}):
            self._send(address, message)

    def _hear(
        self, identity, kind, zone, address, cluster, view, clock, control_daemons, founders, level, now
    ):
        if cluster and self.cluster is None:
            self.cluster = cluster
        if kind == "accord":
            self.control_daemons[identity] = (zone, address, now)
        for one, its_zone, its_address in control_daemons:
            if one not in self.control_daemons:
                self.control_daemons[one] = (its_zone, its_address, -1e9)
        stale = [
            one
            for one, known in self.control_daemons.items()
            if known[2] > 0 and now - known[2] > constants.ADDRESS_FORGET
        ]
        for one in stale:
            del self.control_daemons[one]

    def _on_greet(self, *rest):
        *fields, now = rest
        self._hear(*fields, now)
        leader_fields = (self.leader, None, self.leader_clock.floor(now))
        self._send(fields[3], ("greeted", *self._greeting(), *leader_fields))

    def _on_greeted(self, *rest):
        *fields, leader, _, reading, now = rest
        self.leader_clock.hear(reading, now)
        self._hear(*fields, now)
        if fields[1] == "accord" and leader:
            self.leader = leader

    def _leaderless_for(self, now):
        """How long no leader has been heard, in seconds; UPDATES_DEFERRAL and less while there is one."""
        return now - (self.begun_at if self.updated_at is None else self.updated_at)

    # --- carrying ---------------------------------------------------------------------
    def _next_address(self, avoid):
        """Where to carry a call: the leader if known, else accords in turn."""
        if self.leader is not None and self.leader != avoid:
            return self.leader
        others = sorted(one[1] for one in self.control_daemons.values() if one[1] != avoid)
        if not others:
            return self.leader
        self.turn += 1
        return others[self.turn % len(others)]

    def forward(self, request, call, arguments, now):
        """Begins to carry a call for the HTTP request `request`."""
        self.product_requests.begin(self._next_token(), request, call, arguments, self._next_address(""), now)

    def _next_token(self):
        """A token that this daemon never used."""
        self.count += 1
        return f"{self.identity}-{self.count}"

    def _on_call(self, request, call, arguments, patience, now):
        """A call about jobs, carried to whoever leads; or whether this verge is ready."""
        self.counts["calls"] += 1
        if call == "ready":
            ready = self.configured and not self.stopping
            self.effects.append(Reply(request, 200 if ready else 503, {}))
            return
        token = self.indexed_forwarder.begin(request, call, arguments, now, patience)
        self._forward_call(token, now)

    def _forward_call(self, token, now):
        call = self.forwarder.calls[token]
        address = (
            self._next_address(call.to or "")
            if call.to == self.leader and call.open
            else self._next_address("")
        )
        end = self.leader_clock.end(call.until, now)
        sending = self.forwarder.sent(token, address, now, end)
        self._send(address, ("ask", self.address, token, call.call, call.arguments, sending, end))

    def _on_seeds(self, seeds, now):
        """The settings name other seeds."""
        self.seeds = tuple(seeds)
        self._event(182, seeds=list(seeds))

    def _on_in_doubt(self, token, now):
        self.forwarder.in_doubt(token)

    def _on_answer(self, token, answer, key, now):
        if token in self.product_requests.calls:
            self.product_requests.answered(token, answer, key, now)
        else:
            self.effects.extend(self.indexed_forwarder.answered(token, answer, key, now))

    def _on_not_taken(self, token, leader, sending, reading, now):
        """An accord that doesn't take a call says who leads, and what the leader's clock has passed."""
        self.leader_clock.hear(reading, now)
        if token == self.updates_token:
            self.updates_token = None
            if leader is None or leader != self.leader:
                self.leader = leader
            if leader is None:
                self._request_updates_later(token, now)
            return
        call = self.forwarder.calls.get(token)
        if call is not None:
            self.forwarder.not_taken(token, sending)
            newer = (call.term or 0) < self.leader_clock.term
            if leader is not None and (leader != call.to or newer):
                self.leader = leader
                self._forward_call(token, now)
            elif leader is None and self.leader == call.to:
                self.leader = None
            return
        found = self.product_requests.calls.get(token)
        if found is None:
            return
        if leader is not None and leader != found.to:
            self.leader = leader
            self.product_requests.forward(token, found, leader, now)
        elif leader is None and self.leader == found.to:
            self.leader = None

    def _on_undelivered(self, token, sending, now):
        """That sending under `token` reached nobody: no connection could be made."""
        if token == self.updates_token:
            self._request_updates_later(token, now)
            return
        call = self.forwarder.calls.get(token)
        if call is not None and call.to == self.leader:
            self.leader = None
        self.forwarder.not_taken(token, sending)

    def _reply(self, request, status, document, retry=None, headers=()):
        if retry is not None:
            headers = (*headers, ("Retry-After", str(retry)))
        self.effects.append(Reply(request, status, document, headers))

    # --- HTTP -------------------------------------------------------------------------
    def _on_http(self, request, method, target, headers, body, now):
        """A request passes the chain of filters; the first answer counts."""
        self.counts["calls"] += 1
        http_request = HttpRequest(request, method, target, headers, body)
        for one in FILTERS:
            outcome = one(self, http_request, now)
            if isinstance(outcome, Answer):
                self._reply(request, *outcome)
            if outcome is not None:
                return

    def health(self, now):
        """What this verge knows of itself."""
        return {
            "identity": self.identity,
            "area": self.zone,
            "cohort": self.cluster,
            "leader": self.leader,
            "stale": self.stale,
            "setup_version": (self.body or {}).get("setup_version"),
            "accords": sorted(one[1] for one in self.control_daemons.values()),
            "time": self.cluster_time.earliest(now),
            "orders_under_way": len(self.orders.waiting),
        }

    # --- news and orders --------------------------------------------------------------
    def _request_updates(self, now):
        patience = constants.UPDATES_DEFERRAL + constants.FORWARD_RETRY
        waiting = self.updates_token is not None
        fresh = self.orders.unsent_outcomes()
        if waiting and now - self.updates_requested_at < (constants.TICK if fresh else patience):
            return
        address = self.leader
        if waiting and not fresh or address is None:
            address = self._next_address(self.leader or "")
        if address is None or self.stopping:
            return
        self.updates_token = self._next_token()
        self.updates_requested_at = now
        self.cluster_time.ask(self.updates_token, now)
        outcomes = self.orders.tell_outcomes()
        message = ("news", self.identity, self.address, self.updates_token, self.version, outcomes)
        self._send(address, message)

    def _request_updates_later(self, token, now):
        """Nobody answers this question: it is asked again after a while, of another."""
        self.updates_token = token
        self.updates_requested_at = (
            now + constants.FORWARD_RETRY_UNTAKEN - constants.UPDATES_DEFERRAL - constants.FORWARD_RETRY
        )

    def _on_updates(
        self, token, version, body, orders, kills, time, deferred_for, control_daemons, cluster, now
    ):
        if token == self.updates_token:
            self.updates_token = None
            self.orders.acknowledged()
        version = tuple(version)
        asked = self.cluster_time.asked.get(token)
        if version >= self.version:
            if body is not None:
                self.version, self.body = version, body
                self.configured = self.configured or bool(body["configuration"])
            if asked is not None:  # as old as that at most, however long it lay unread here
                self.updated_at = max(
                    asked + deferred_for, asked if self.updated_at is None else self.updated_at
                )
            self.cluster_time.learn(token, time, deferred_for, now)
            self.cluster = self.cluster or cluster
        for one, zone, address in control_daemons:
            known = self.control_daemons.get(one)
            self.control_daemons[one] = (zone, address, known[2] if known else -1e9)
        for reference, attempt, address in kills:
            self.orders.kill(reference, attempt, address)
        self.orders.take(orders)
        self._send_waiting(now)
        self._request_updates(now)

    def _send_waiting(self, now):
        """Sends each order whose time has come."""
        earliest, latest = self.cluster_time.earliest(now), self.cluster_time.latest(now)
        if earliest is not None and latest is not None:
            self.orders.send_due(earliest, latest, self.body or {})

    def _on_posted(self, key, outcome, now):
        """How an order went: sent, refused, unsent or unknown."""
        if key is not None:
            self.orders.posted(key, outcome)
            self._request_updates(now)

    def _on_stop(self, now):
        """SIGTERM: takes no more tickets, leaves its session."""
        self.stopping = True
        self._event(101)
        for _, address, _ in self.control_daemons.values():
            self._send(address, ("leave", self.identity))

    def may_end(self, now):
        """A stopping front has no seat to hand on."""
        return True


# The registry of inputs: message kind -> handler.
INPUTS = {
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
    "seeds": FrontDaemon._on_seeds,
    "posted": FrontDaemon._on_posted,
    "stop": FrontDaemon._on_stop,
}
