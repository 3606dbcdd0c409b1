"""Calls of operators, each sent once to one daemon, and the answers to them."""

import dataclasses

from ..simulator import START

ORDER_EVERY = 0.12  # seconds; between two orders of the operators


@dataclasses.dataclass
class Order:
    """One call of an operator. Invariant: answered and status are None until an answer arrives."""

    call: str
    subject: object  # the version of a change, the zone of an evacuation
    sent: float
    strict: bool = False  # a read that the leader decided itself and was stopped before it wrote the answer
    base: int = 0
    arguments: tuple = ()
    answered: float | None = None
    status: int | None = None
    document: object = None


class Operators:
    """Stand-in operators. Invariants: every change has a unique version and every evacuation a
    unique zone, so that each effect identifies the order that caused it.
    """

    def __init__(self, simulator, documents):
        self.simulator, self.documents = simulator, dict(documents)
        self.known = max(documents)  # the newest version that was acknowledged or read
        self.version, self.zones = self.known, 0
        self.orders, self.stopped = [], False
        self.newest_change = None  # (order, arguments) of the last change made

    def now(self):
        """The simulator's time of day in seconds."""
        return START + self.simulator.now

    def tick(self):
        """Sends one order."""
        if self.stopped:
            return
        rng = self.simulator.draw
        action = rng.choices(
            (self.change, self.evacuate, self.read, self.list_evacuations, self.resend_change),
            (3, 3, 3, 1, 1),
        )[0]
        action(rng.choice(self.simulator.control_nodes()))
        self.simulator.at(ORDER_EVERY, "later", self.tick)

    def change(self, node):
        """Sends a change of the configuration to a daemon."""
        self.version += 1
        previous = self.documents[self.known]
        route = {
            **previous["routes"][0],
            "name": f"extra{self.version}",
            "prefix": f"/extra{self.version}/",
        }
        routes = [
            known_route for known_route in previous["routes"] if not known_route["name"].startswith("extra")
        ]
        document = {**previous, "version": self.version, "routes": [*routes, route]}
        self.documents[self.version] = document
        arguments = (self.known, document)
        order = self._send(node, "configure", self.version, arguments, base=self.known)
        self.newest_change = (order, arguments)

    def resend_change(self, node):
        """Sends the last change again if it was acknowledged."""
        if self.newest_change is not None and self.newest_change[0].status == 200:
            order, arguments = self.newest_change
            self._send(node, "configure", order.subject, arguments, base=order.base)

    def evacuate(self, node):
        """Orders the evacuation of a zone that no other order names."""
        self.zones += 1
        zone = f"zone{self.zones}"
        self._send(node, "evacuate", zone, (zone, True))

    def resend_unclear(self):
        """Sends every change and evacuation without a clear answer again, unchanged, to a random daemon, as
        its operator would.
        """
        rng = self.simulator.draw
        unclear = {}  # the newest attempt of each order, None if that attempt was clearly answered
        for order in self.orders:
            if order.call in ("configure", "evacuate"):
                key = (order.call, order.subject)
                unclear[key] = None if order.status not in (None, 504) else order
        for order in [attempt for attempt in unclear.values() if attempt is not None]:
            if self.now() - order.sent > 1.0:
                node = rng.choice(self.simulator.control_nodes())
                self._send(node, order.call, order.subject, order.arguments, base=order.base)

    def read(self, node, strict=False):
        """Reads the configuration from a daemon."""
        return self._send(node, "configuration", None, (), strict=strict)

    def list_evacuations(self, node):
        """Reads the list of evacuated zones from a daemon."""
        return self._send(node, "evacuations", None, ())

    def _send(self, node, call, subject, arguments, **fields):
        order = Order(call, subject, self.now(), arguments=arguments, **fields)
        self.orders.append(order)

        def on_answer(status, document):
            if status:
                order.answered, order.status, order.document = self.now(), status, document
            if status == 200 and call == "configure":
                self.known = max(self.known, subject)
            elif status == 200 and call == "configuration":
                self.known = max(self.known, document["version"])

        self.simulator.send_operator_call(node, call, arguments, on_answer)
        return order

    def read_final_state(self):
        """Reads the configuration and the evacuations at the end; None if no daemon answers both."""
        for _ in range(40):
            node = self.simulator.draw.choice(self.simulator.control_nodes())
            orders = self.read(node), self.list_evacuations(node)
            self.simulator.run(0.5)
            if all(order.status == 200 for order in orders):
                return orders
        return None
