"""Continuous orders during fault scenarios: changes and reads of the configuration, and evacuations."""

from .stand_in_operator import ZONE_ORDER_SECONDS, Change

EVERY = 0.25  # seconds; between two turns
MAX_PENDING_CHANGES = 8  # without an answer, at any time
ROUTES = 20  # that the changes add or replace in turn
RESTORE_DELAY = (1.0, 4.0)  # seconds; from when an evacuation is no longer sent until it is ended


class OperatorTraffic:
    """Sends orders through the stand-in operators without waiting for the answers. Invariants: at most
    MAX_PENDING_CHANGES changes have no answer; at most one zone at a time is evacuated, and later restored.
    """

    def __init__(self, simulator):
        self.simulator = simulator
        self.running = False
        self.changes, self.span, self.restore_at = [], None, 0.0
        self.change_rate, self.read_rate, self.evacuate_rate = (
            0.3,
            0.3,
            0.05,
        )  # probability of an order in each turn

    def begin(self):
        """Starts to send orders."""
        if not self.running:
            self.running = True
            self.simulator.at(0.0, "later", self._turn)

    def end(self):
        """Sends no new orders, except for the end of a current evacuation."""
        self.running = False

    def quiet(self):
        """Whether every order is answered or abandoned."""
        return not self.running and not self.changes and self.span is None

    def _turn(self):
        rng, operator = self.simulator.draw, self.simulator.operator_stand_in
        self.changes = [change for change in self.changes if change.pending and not change.answers]
        if self.running:
            if rng.random() < self.change_rate and len(self.changes) < MAX_PENDING_CHANGES:
                self.change()
            if rng.random() < self.read_rate:
                operator._request_read(lambda document: None)
            if rng.random() < self.evacuate_rate and self.span is None:
                self.span = operator.evacuate(rng.choice(("a", "b", "c")))
                self.restore_at = self.simulator.now + ZONE_ORDER_SECONDS + rng.uniform(*RESTORE_DELAY)
        if self.span is not None and self.simulator.now >= self.restore_at:
            operator.restore(self.span)
            self.span = None
        if not self.quiet():
            self.simulator.at(EVERY, "later", self._turn)

    def change(self, **more):
        """Sends a change on top of the newest acknowledged version, as a whole configuration or as an
        amendment of one route. `more` are further fields of the configuration.
        """
        operator = self.simulator.operator_stand_in
        accepted = [earlier for earlier in operator.changes if earlier.acknowledged() is not None]
        before = max(accepted, key=lambda newest: newest.version).document
        version = operator._next_version(before)
        name = f"extra{version // 2 % ROUTES}"
        route = {**before["routes"][0], "name": name, "prefix": f"/{name}/", "timeout_ms": 3000 + version}
        names = [existing["name"] for existing in before["routes"]]
        routes = [route if existing["name"] == name else existing for existing in before["routes"]]
        if name not in names:
            routes.append(route)
        document = {**before, "version": version, "routes": routes, **more}
        if more or self.simulator.draw.random() < 0.5:
            change = Change("configure", before["version"], document, (before["version"], document))
        else:
            arguments = (before["version"], version, {"routes": [route]}, {})
            change = Change("amend", before["version"], document, arguments)
        self.changes.append(operator._submit(change))
