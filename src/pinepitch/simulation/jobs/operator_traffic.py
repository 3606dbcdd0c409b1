"""Orders that come all the time while faults strike: changes of the configuration, evacuations."""

from .stand_in_operator import ORDER_LASTS, Change

EVERY = 0.25  # seconds; between two looks at what is due
IN_FLIGHT_MOST = 8  # changes; not yet answered at any time
ROUTES = 20  # routes; that the changes put in, by turns
EVACUATED = (1.0, 4.0)  # seconds; from the end of an evacuation's sending until it is taken back


class OperatorTraffic:
    """Gives orders through the stand-in operators without waiting for their answers. Invariants: at
    most UNDER_WAY_MOST changes have no answer; one zone at a time is evacuated, and taken back.
    """

    def __init__(self, simulator):
        self.simulator = simulator
        self.running = False
        self.changes, self.span, self.restore_at = [], None, 0.0
        self.change_rate, self.read_rate, self.evacuate_rate = 0.3, 0.3, 0.05  # orders in EVERY

    def begin(self):
        """Orders come from now on."""
        if not self.running:
            self.running = True
            self.simulator.at(0.0, "later", self._turn)

    def end(self):
        """No new orders; an evacuation is still taken back."""
        self.running = False

    def quiet(self):
        """Whether every order is answered or given up."""
        return not self.running and not self.changes and self.span is None

    def _turn(self):
        draw, operator = self.simulator.draw, self.simulator.operator_stand_in
        self.changes = [one for one in self.changes if one.pending and not one.answers]
        if self.running:
            if draw.random() < self.change_rate and len(self.changes) < IN_FLIGHT_MOST:
                self.change()
            if draw.random() < self.read_rate:
                operator._ask_read(lambda document: None)
            if draw.random() < self.evacuate_rate and self.span is None:
                self.span = operator.evacuate(draw.choice(("a", "b", "c")))
                self.restore_at = self.simulator.now + ORDER_LASTS + draw.uniform(*EVACUATED)
        if self.span is not None and self.simulator.now >= self.restore_at:
            operator.restore(self.span)
            self.span = None
        if not self.quiet():
            self.simulator.at(EVERY, "later", self._turn)

    def change(self, **more):
        """A change on top of the newest version that is known to be in force, whole or of one item."""
        operator = self.simulator.operator_stand_in
        known = [one for one in operator.changes if one.acknowledged() is not None]
        before = max(known, key=lambda one: one.version).document
        version = operator._next_version(before)
        name = f"extra{version // 2 % ROUTES}"
        route = {**before["routes"][0], "name": name, "prefix": f"/{name}/", "timeout_ms": 3000 + version}
        names = [one["name"] for one in before["routes"]]
        routes = [route if one["name"] == name else one for one in before["routes"]]
        if name not in names:
            routes.append(route)
        document = {**before, "version": version, "routes": routes, **more}
        if more or self.simulator.draw.random() < 0.5:
            change = Change("configure", before["version"], document, (before["version"], document))
        else:
            arguments = (before["version"], version, {"routes": [route]}, {})
            change = Change("amend", before["version"], document, arguments)
        self.changes.append(operator._give(change))
