"""Stand-in operators of a fleet that runs jobs: they change the configuration and empty zones.

Each order is sent as the platform's operators do: unchanged, to one daemon after another, until
it is clearly answered, and now and then once more. What was answered is checked at the day's end.
"""

import itertools
import json
import random

from ...common import constants
from ..simulator import START
from .limits import ATTEMPTS, HOST

IN_FLIGHT = 8  # orders that may be under way at once
REFUSED = (400, 409, 412, 413, 422)  # answers that end a call
ORDER_LASTS = 6.0  # seconds; the first order for a zone is sent this long
LASTS = 20.0  # seconds; every other order is
READ_TIMEOUT = 3.0  # seconds; beyond that, until a read has its last answer


class Change:
    """A change of the configuration. Invariants: document is what is in force once it is taken;
    answers holds what was clearly answered, (sent, answered, status); given is when it was first sent.
    """

    def __init__(self, call, base, document, arguments):
        self.call, self.base, self.document, self.arguments = call, base, document, arguments
        self.version = document["version"]
        self.answers = []
        self.pending = 0
        self.given = None

    def acknowledged(self):
        """When it was acknowledged first, or None."""
        return min((answered for _, answered, status in self.answers if status == 200), default=None)

    def was_refused(self):
        """Whether some answer clearly refused it."""
        return any(status in REFUSED for _, _, status in self.answers)


class ZoneOrder:
    """An order for a zone, sent until it is acknowledged, the time `until` has come or another one
    follows. Invariant: once it is over, no attempt of it is under way, and none will be made.
    """

    def __init__(self, zone, begun, until):
        self.zone, self.begun, self.until = zone, begun, until
        self.acknowledged = self.following = None
        self.over = False


class StandInOperator:
    """Stand-in operators. Invariants: no two changes are equal; spans holds acknowledged
    evacuations as [zone, acknowledged, taken back or None].
    """

    def __init__(self, simulator):
        self.simulator = simulator
        self.random = random.Random(f"governor-{simulator.seed}")
        self.version = 3
        self.changes, self.spans, self.faults = [], [], []
        self.zone_orders = {}  # zone -> its newest ZoneOrder
        self.reads = []  # (sent, answered, document)

    def now(self):
        """The simulator's time of day in seconds."""
        return START + self.simulator.now

    # --- changes ------------------------------------------------------------------------
    def found(self):
        """The first configuration, sent until it is taken."""
        document = self._first_document()
        change = self._give(Change("configure", 0, document, (0, document)))
        if self.simulator.until(lambda: change.answers, 30, 0.02) is None:
            raise AssertionError("the first configuration was not taken within 30 s")

    def _first_document(self):
        """The first configuration."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "service": name,
                "timeout_ms": 4000,
                "attempts": ATTEMPTS,
                "priority": 1,
                "stretch": 3,
                "aim_ms": 500,
            }
            for name in ("held", "bare")
        ]
        return {
            "version": 3,
            "routes": routes,
            "limits": {"anything": 1},
            "services": [{"name": "held", "guards": True}, {"name": "bare", "guards": False}],
        }

    def _give(self, change):
        change.given = self.now()
        self.changes.append(change)
        self._send(change)
        return change

    def _send(self, change):
        """Sends a change until it is clearly answered."""
        sent = self.now()
        change.pending += 1

        def decided(status, on_answer):
            change.pending -= 1
            change.answers.append((sent, self.now(), status))
            if status == 200 and on_answer["version"] != change.version:
                self.faults.append(f"version {change.version} was acknowledged as {on_answer['version']}")
            elif status not in (200, 412):
                self.faults.append(f"version {change.version} was answered {status}: {on_answer}")

        self.simulator.persist_call("accord", change.call, change.arguments, decided, LASTS)

    def _complete(self, before, version, text):
        """A whole configuration with a route more."""
        document = {**before, "version": version, "routes": [*before["routes"], _route(before, text)]}
        return Change("configure", before["version"], document, (before["version"], document))

    def _by_name(self, before, version, text):
        """The same by name."""
        route = _route(before, text)
        document = {**before, "version": version, "routes": [*before["routes"], route]}
        arguments = (before["version"], version, {"routes": [route]}, {})
        return Change("amend", before["version"], document, arguments)

    def _next_version(self, before):
        self.version = max(self.version, before["version"]) + 2
        return self.version

    def race(self):
        """Two changes on one version, a whole one and named items, at the same time."""
        before = self.read()
        if before is None:
            return
        self._race_on(before)

    def _race_on(self, before):
        for make in (self._complete, self._by_name):
            version = self._next_version(before)
            self._give(make(before, version, f"extra{version}"))

    def rush(self):
        """As many orders as may be under way: two operators, one number, and old ones again."""
        self._ask_read(self._rush_on)

    def _rush_on(self, before):
        version = self._next_version(before)
        makes = (self._complete, self._by_name, self._complete)
        given = [
            self._give(make(before, version, f"rush{version}{place}")) for place, make in enumerate(makes)
        ]
        given.append(self._give(self._by_name(before, version + 1, f"rush{version}next")))
        self.version = version + 1
        for change in given[:2]:
            self._send(change)
        older = [one for one in self.changes if one not in given and not one.pending]
        for change in self.random.sample(older, min(len(older), IN_FLIGHT - len(given) - 2)):
            self._send(change)

    def send_all_again(self):
        """Every change once more, now that others may have been taken since."""
        for change in self.changes:
            if not change.pending:
                self._send(change)

    # --- reads ----------------------------------------------------------------------------
    def _ask_read(self, on_answer):
        """Reads the configuration; told(document) once it is read."""
        sent = self.now()

        def answered(status, document):
            if status == 200:
                self.reads.append((sent, self.now(), document))
                on_answer(document)

        self.simulator.persist_call("accord", "configuration", (), answered, LASTS)

    def read(self):
        """The configuration as it is read now, or None."""
        got = []
        self._ask_read(got.append)
        self.simulator.until(lambda: got, LASTS + READ_TIMEOUT, 0.02)
        return got[0] if got else None

    # --- zones ----------------------------------------------------------------------------
    def _order_zone(self, zone, begun, seconds):
        """Gives an order for a zone, once the last one's attempt is over, in whose place it comes."""
        order = ZoneOrder(zone, begun, self.now() + seconds)
        before = self.zone_orders.get(zone)
        self.zone_orders[zone] = order
        if before is None or before.over:
            self._attempt_zone(order)
        else:
            before.following = order
        return order

    def _attempt_zone(self, order):
        """Sends an order for a zone to some daemon, if it is still wanted."""
        if order.following is not None or self.now() >= order.until or order.acknowledged is not None:
            order.over = True
            if order.following is not None:
                self._attempt_zone(order.following)
            return

        def on_answer(status, document):
            if self.random.random() < self.simulator.answer_loss:
                status = 0
            if status == 200:
                order.acknowledged = self.now()
            elif status in REFUSED:
                self.faults.append(f"an order for {order.zone} was answered {status}: {document}")
            self.simulator.at(0.2 if status != 200 else 0.0, "later", lambda: self._attempt_zone(order))

        target = self.random.choice([one for one in self.simulator.nodes.values() if one.kind == "accord"])
        arguments = (order.zone, order.begun)
        self.simulator.send_call(
            "operator", 0, target, "evacuate", arguments, constants.CALL_PATIENCE, on_answer
        )

    def evacuate(self, zone):
        """Begins the evacuation of a zone; its span, listed once it is acknowledged."""
        span = [zone, None, None]
        order = self._order_zone(zone, True, ORDER_LASTS)

        def look(rest):
            if order.acknowledged is not None:
                span[1] = order.acknowledged
                self.spans.append(span)
            elif rest:
                self.simulator.at(0.05, "later", lambda: look(rest - 1))

        look(int(ORDER_LASTS / 0.05) + 60)
        return span

    def restore(self, span):
        """Takes an evacuation back."""
        span[2] = self.now()
        self._order_zone(span[0], False, 30.0)

    # --- checks ---------------------------------------------------------------------------
    def check(self):
        """Faults in what was acknowledged, read back now, at the end of the day."""
        self.send_all_again()
        self.simulator.run(3)
        known = self.read()
        if known is None:
            return [*self.faults, "the configuration was not read back"]
        return [
            *self.faults,
            *self._answer_faults(),
            *self._winner_faults(),
            *self._known_faults(known),
            *self._read_faults(),
            *self._zone_faults(),
        ]

    def _answer_faults(self):
        """Changes that were acknowledged and refused: the base of one that lost never comes again."""
        return [
            f"version {change.version} was acknowledged and refused: {change.answers}"
            for change in self.changes
            if change.acknowledged() is not None and change.was_refused()
        ]

    def _winner_faults(self):
        """Changes on one version, or under one number, that were both acknowledged."""
        faults = []
        for one, other in itertools.combinations(self.changes, 2):
            if one.acknowledged() is None or other.acknowledged() is None:
                continue
            if one.base == other.base or one.version == other.version:
                faults.append(
                    f"versions {one.version} and {other.version} on {one.base} and {other.base} "
                    "were both acknowledged"
                )
        return faults

    def _known_faults(self, known):
        """Faults in the configuration at the day's end."""
        faults = []
        acknowledged = [one for one in self.changes if one.acknowledged() is not None]
        if known["version"] < max(one.version for one in acknowledged):
            faults.append(f"version {known['version']} was read back, older than what was acknowledged")
        if all(known != one.document for one in self.changes):
            faults.append(f"version {known['version']} was read back other than it was sent")
        return faults

    def _read_faults(self):
        """Reads of what was refused, or of what is older than what was known before."""
        faults = []
        texts = {json.dumps(one.document, sort_keys=True): one for one in self.changes}
        for sent, _, document in self.reads:
            version = document["version"]
            change = texts.get(json.dumps(document, sort_keys=True))
            if change is None:
                faults.append(f"version {version} was read other than it was sent")
            elif change.was_refused():
                faults.append(f"version {version}, that was refused, was in force")
            for other in self.changes:
                acknowledged = other.acknowledged()
                if acknowledged is not None and acknowledged < sent and other.version > version:
                    faults.append(f"version {version} was read after {other.version} was acknowledged")
            if any(before < sent and earlier["version"] > version for _, before, earlier in self.reads):
                faults.append(f"version {version} was read after a newer one")
        return faults

    def _zone_faults(self):
        """Zones that are not as the order says that was given last, if it was acknowledged."""
        got = []
        self.simulator.persist_call("accord", "evacuations", (), lambda *answer: got.append(answer), LASTS)
        self.simulator.until(lambda: got, LASTS + READ_TIMEOUT, 0.02)
        if not got:
            return ["the evacuations were not read"]
        evacuated = {one["zone"] for one in got[0][1]["evacuations"]}
        return [
            f"zone {zone}: the last order says {order.begun} and was acknowledged, but is not in force"
            for zone, order in self.zone_orders.items()
            if order.acknowledged is not None and (zone in evacuated) != order.begun
        ]


def _route(before, text):
    """A route of its own."""
    return {**before["routes"][0], "name": text, "prefix": f"/{text}/"}
