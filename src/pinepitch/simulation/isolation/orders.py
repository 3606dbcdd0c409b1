"""Operators' calls, each sent once to one daemon, and what was told of them."""

import dataclasses

from ..simulator import START

ORDER_EVERY = 0.12  # seconds; between two orders of the operators


@dataclasses.dataclass
class Order:
    """One call of an operator. Invariant: answered and status are None until some answer comes."""

    call: str
    subject: object  # the version of a change, the zone of an evacuation
    sent: float
    strict: bool = False  # a read that the leader itself decided and was stopped before it wrote it
    base: int = 0
    arguments: tuple = ()
    answered: float | None = None
    status: int | None = None
    document: object = None


class Operators:
    """Stand-in operators. Invariants: every change has a version of its own, every evacuation a
    zone of its own, so that each effect is known by the order that it comes from.
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
        draw = self.simulator.draw
        act = draw.choices(
            (self.change, self.evacuate, self.read, self.list_evacuations, self.change_again),
            (3, 3, 3, 1, 1),
        )[0]
        act(draw.choice(self.simulator.control_nodes()))
        self.simulator.at(ORDER_EVERY, "later", self.tick)

    def change(self, node):
        """Sends a change of the configuration to a daemon."""
        self.version += 1
        before = self.documents[self.known]
        route = {
            **before["routes"][0],
            "name": f"extra{self.version}",
            "prefix": f"/extra{self.version}/",
        }
        routes = [one for one in before["routes"] if not one["name"].startswith("extra")]
        document = {**before, "version": self.version, "routes": [*routes, route]}
        self.documents[self.version] = document
        arguments = (self.known, document)
        order = self._send(node, "configure", self.version, arguments, base=self.known)
        self.newest_change = (order, arguments)

    def change_again(self, node):
        """The last change once more, when it was acknowledged and none was made since."""
        if self.newest_change is not None and self.newest_change[0].status == 200:
            order, arguments = self.newest_change
            self._send(node, "configure", order.subject, arguments, base=order.base)

    def evacuate(self, node):
        """Orders the evacuation of a zone that no other order speaks of."""
        self.zones += 1
        zone = f"zone{self.zones}"
        self._send(node, "evacuate", zone, (zone, True))

    def ask_again(self):
        """Every change and evacuation that was answered unclearly or not at all is sent again as it was, to
        any daemon, as its operator would.
        """
        draw = self.simulator.draw
        unclear = {}  # the newest attempt of each order that none was clearly answered of
        for order in self.orders:
            if order.call in ("configure", "evacuate"):
                key = (order.call, order.subject)
                unclear[key] = None if order.status not in (None, 504) else order
        for order in [one for one in unclear.values() if one is not None]:
            if self.now() - order.sent > 1.0:
                node = draw.choice(self.simulator.control_nodes())
                self._send(node, order.call, order.subject, order.arguments, base=order.base)

    def read(self, node, strict=False):
        """Reads the configuration from a daemon."""
        return self._send(node, "configuration", None, (), strict=strict)

    def list_evacuations(self, node):
        """Reads from a daemon which zones are evacuated."""
        return self._send(node, "evacuations", None, ())

    def _send(self, node, call, subject, arguments, **more):
        order = Order(call, subject, self.now(), arguments=arguments, **more)
        self.orders.append(order)

        def on_answer(status, document):
            if status:
                order.answered, order.status, order.document = self.now(), status, document
            if status == 200 and call == "configure":
                self.known = max(self.known, subject)
            elif status == 200 and call == "configuration":
                self.known = max(self.known, document["version"])

        self.simulator.ask_once(node, call, arguments, on_answer)
        return order

    def look(self):
        """A read and a list of evacuations that were answered now, at the end; None if they weren't."""
        for _ in range(40):
            node = self.simulator.draw.choice(self.simulator.control_nodes())
            orders = self.read(node), self.list_evacuations(node)
            self.simulator.run(0.5)
            if all(order.status == 200 for order in orders):
                return orders
        return None
