"""A simulated cohort that only takes orders, and operators of zones whose answers get lost.

An operator works as the platform's does: it sends an order to one daemon, goes on to another after
a second of silence or a 5xx, and gives its next order for the zone once the last is acknowledged.
"""

import itertools

from .simulator import START, Simulator
from .tenancy import Tenancy

SILENCE = 1.0  # seconds; without an answer the operator goes on to another daemon
PAUSE = 0.1  # seconds; before it does
REFUSALS = (400, 409, 412, 413, 422)  # answers that end a call


class OrderFleet(Simulator):
    """The simulator with daemons that take orders and nobody else."""

    _sent = Tenancy._sent

    def __init__(self, seed, areas=("a", "b", "c")):
        super().__init__(seed, areas, verges=(), minions=(), founders=len(areas))

    def begin(self):
        """Runs until a leader serves under its epoch."""
        if self.until(lambda: self.leader() is not None and self.leader().core.epoch > 0, 30) is None:
            raise AssertionError("no leader within 30 s")

    def names(self):
        return list(self.nodes)

    def followers(self):
        """Names of the daemons that run and do not lead."""
        leader = self.leader()
        return [name for name, node in self.nodes.items() if node.core is not None and node is not leader]

    def send(self, name, call, arguments, told, patience=2.5):
        """One call to one daemon; told(status, document) comes back, (0, None) after silence."""
        self._sent("operator", 0, self.nodes[name], call, arguments, patience, told)

    def thaw(self, name):
        """A call that came while the daemon was frozen is turned away: its caller may be gone."""
        node = self.nodes[name]
        calls = [message for message in node.held if message[0] == "call"]
        node.held = [message for message in node.held if message[0] != "call"]
        for _, request, *_ in calls:
            self.at(0.0, "answer", request, 0, "null")
        super().thaw(name)

    def restore(self):
        """Ends all faults."""
        self.heal()
        for name, node in self.nodes.items():
            if node.frozen:
                self.thaw(name)
            if node.core is None:
                self.start(name)


class ZoneOperator:
    """One operator of one zone. Invariants: one order is under way at a time; standing is what
    the newest acknowledged one says, None while an order is under way or none was acknowledged."""

    def __init__(self, fleet, zone):
        self.fleet, self.zone = fleet, zone
        self.standing = self.wanted = None
        self.orders = itertools.count(1)
        self.order = 0
        self.sent = self.acknowledged = 0.0
        self.waits = []  # seconds from an order to its acknowledgement

    def give(self, begun, first=None):
        """Gives an order and sends it until it is acknowledged."""
        self.order, self.standing, self.wanted = next(self.orders), None, begun
        self.sent = self.fleet.now
        self._attempt(self.order, first or self.fleet.draw.choice(self.fleet.names()))

    def _attempt(self, order, name):
        if order != self.order or self.standing is not None:
            return
        over = []

        def told(status, document):
            if not over:
                over.append(status)
                self._answered(order, name, status)

        self.fleet.send(name, "evacuate", (self.zone, self.wanted), told)
        self.fleet.at(SILENCE, "later", lambda: told(0, None))

    def _answered(self, order, name, status):
        if order != self.order or self.standing is not None:
            return
        if status == 200:
            self.standing, self.acknowledged = self.wanted, self.fleet.now
            self.waits.append(self.fleet.now - self.sent)
            return
        if status in REFUSALS:
            raise AssertionError(f"an order for {self.zone} was refused with {status}")
        others = [one for one in self.fleet.names() if one != name]
        self.fleet.at(PAUSE, "later", lambda: self._attempt(order, self.fleet.draw.choice(others)))

    def faults(self):
        """What the leader's record says against the order that was acknowledged last."""
        leader = self.fleet.leader()
        if self.standing is None or leader is None or not leader.core.consensus.leased(leader.core.step_at):
            return []
        if leader.core.record.time < START or self.fleet.now - self.acknowledged < 0.01:
            return []
        evacuated = self.zone in leader.core.record.board.evacuated
        if evacuated == self.standing:
            return []
        done = "begun" if self.standing else "finished"
        return [f"zone {self.zone}: the evacuation was {done} and is undone at {self.fleet.now:.2f}"]
