"""Stand-in operators of a fleet that runs leased jobs: they change the configuration and evacuate zones.

Each order is sent as the operators of the platform do: unchanged, to one daemon after another, until it gets
a definite answer, and at times once more. The answers are checked at the end of the trial.
"""

import itertools
import json
import random

from ...common import constants
from ..simulator import START
from .limits import ATTEMPTS, HOST

IN_FLIGHT = 8  # orders that may be pending at once
REFUSED = (400, 409, 412, 413, 422)  # answers that end a call
ZONE_ORDER_SECONDS = 6.0  # seconds; for which the order to evacuate a zone is sent
ORDER_SECONDS = 20.0  # seconds; for which every other order is sent
READ_TIMEOUT = 3.0  # seconds; after ORDER_SECONDS, until a read has its last answer


class Change:
    """A change of the configuration.

    Invariants: document is the configuration that is in force once the change is accepted; answers has the
    definite answers as (sent, answered, status); first_sent is the time at which it was first sent.
    """

    def __init__(self, call, base, document, arguments):
        self.call, self.base, self.document, self.arguments = call, base, document, arguments
        self.version = document["version"]
        self.answers = []
        self.pending = 0
        self.first_sent = None

    def acknowledged(self):
        """The time of its first acknowledgement, or None."""
        return min((answered for _, answered, status in self.answers if status == 200), default=None)

    def was_refused(self):
        """Whether some definite answer refused it."""
        return any(status in REFUSED for _, _, status in self.answers)


class ZoneOrder:
    """An order for a zone, sent until it is acknowledged, until the time `until`, or until another order for
    the zone replaces it. Invariant: once it is over, no attempt is pending, and none will be made.
    """

    def __init__(self, zone, begun, until):
        self.zone, self.begun, self.until = zone, begun, until
        self.acknowledged = self.following = None
        self.over = False


class StandInOperator:
    """Stand-in operators. Invariants: no two changes are equal; spans has the acknowledged evacuations as
    [zone, when acknowledged, when restored or None].
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
    def send_first_configuration(self):
        """Sends the first configuration until it is accepted."""
        document = self._first_document()
        change = self._submit(Change("configure", 0, document, (0, document)))
        if self.simulator.until(lambda: change.answers, 30, 0.02) is None:
            raise AssertionError("the first configuration was not accepted within 30 s")

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

    def _submit(self, change):
        change.first_sent = self.now()
        self.changes.append(change)
        self._send(change)
        return change

    def _send(self, change):
        """Sends a change until it gets a definite answer."""
        sent = self.now()
        change.pending += 1

        def decided(status, document):
            change.pending -= 1
            change.answers.append((sent, self.now(), status))
            if status == 200 and document["version"] != change.version:
                self.faults.append(f"version {change.version} was acknowledged as {document['version']}")
            elif status not in (200, 412):
                self.faults.append(f"version {change.version} was answered {status}: {document}")

        self.simulator.persist_call("accord", change.call, change.arguments, decided, ORDER_SECONDS)

    def _whole_change(self, before, version, name):
        """A change that sends the whole configuration, with one more route."""
        document = {**before, "version": version, "routes": [*before["routes"], _route(before, name)]}
        return Change("configure", before["version"], document, (before["version"], document))

    def _amendment(self, before, version, name):
        """A change that sends only the new route, as an amendment by name."""
        route = _route(before, name)
        document = {**before, "version": version, "routes": [*before["routes"], route]}
        arguments = (before["version"], version, {"routes": [route]}, {})
        return Change("amend", before["version"], document, arguments)

    def _next_version(self, before):
        self.version = max(self.version, before["version"]) + 2
        return self.version

    def race(self):
        """Sends two changes on top of one version at once: a whole configuration and an amendment."""
        before = self.read()
        if before is None:
            return
        self._race_on(before)

    def _race_on(self, before):
        for make in (self._whole_change, self._amendment):
            version = self._next_version(before)
            self._submit(make(before, version, f"extra{version}"))

    def rush(self):
        """Sends as many orders as may be pending: several changes with the same version number, two of them
        twice, one with the next number, and older changes again.
        """
        self._request_read(self._rush_on)

    def _rush_on(self, before):
        version = self._next_version(before)
        makers = (self._whole_change, self._amendment, self._whole_change)
        submitted = [
            self._submit(make(before, version, f"rush{version}{index}")) for index, make in enumerate(makers)
        ]
        submitted.append(self._submit(self._amendment(before, version + 1, f"rush{version}next")))
        self.version = version + 1
        for change in submitted[:2]:
            self._send(change)
        older = [other for other in self.changes if other not in submitted and not other.pending]
        for change in self.random.sample(older, min(len(older), IN_FLIGHT - len(submitted) - 2)):
            self._send(change)

    def send_all_again(self):
        """Sends every change once more, when others may have been accepted since."""
        for change in self.changes:
            if not change.pending:
                self._send(change)

    # --- reads ----------------------------------------------------------------------------
    def _request_read(self, on_answer):
        """Reads the configuration and calls on_answer(document) once it is read."""
        sent = self.now()

        def answered(status, document):
            if status == 200:
                self.reads.append((sent, self.now(), document))
                on_answer(document)

        self.simulator.persist_call("accord", "configuration", (), answered, ORDER_SECONDS)

    def read(self):
        """Returns the configuration that is in force now, or None if it can't be read in time."""
        answers = []
        self._request_read(answers.append)
        self.simulator.until(lambda: answers, ORDER_SECONDS + READ_TIMEOUT, 0.02)
        return answers[0] if answers else None

    # --- zones ----------------------------------------------------------------------------
    def _order_zone(self, zone, begun, seconds):
        """Sends an order for a zone in place of the previous one, once no attempt of that is pending."""
        order = ZoneOrder(zone, begun, self.now() + seconds)
        previous = self.zone_orders.get(zone)
        self.zone_orders[zone] = order
        if previous is None or previous.over:
            self._attempt_zone(order)
        else:
            previous.following = order
        return order

    def _attempt_zone(self, order):
        """Sends an order for a zone to a random control daemon, unless it is over."""
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

        target = self.random.choice([node for node in self.simulator.nodes.values() if node.kind == "accord"])
        arguments = (order.zone, order.begun)
        self.simulator.send_call(
            "operator", 0, target, "evacuate", arguments, constants.CALL_PATIENCE, on_answer
        )

    def evacuate(self, zone):
        """Begins an evacuation of a zone; returns its span, which joins `spans` once it is acknowledged."""
        span = [zone, None, None]
        order = self._order_zone(zone, True, ZONE_ORDER_SECONDS)

        def add_when_acknowledged(polls_left):
            if order.acknowledged is not None:
                span[1] = order.acknowledged
                self.spans.append(span)
            elif polls_left:
                self.simulator.at(0.05, "later", lambda: add_when_acknowledged(polls_left - 1))

        add_when_acknowledged(int(ZONE_ORDER_SECONDS / 0.05) + 60)
        return span

    def restore(self, span):
        """Ends an evacuation."""
        span[2] = self.now()
        self._order_zone(span[0], False, 30.0)

    # --- checks ---------------------------------------------------------------------------
    def check(self):
        """Faults in the answers and reads of the trial, and in the configuration and the zones that are read
        back now, at its end.
        """
        self.send_all_again()
        self.simulator.run(3)
        final = self.read()
        if final is None:
            return [*self.faults, "the configuration was not read back"]
        return [
            *self.faults,
            *self._answer_faults(),
            *self._winner_faults(),
            *self._final_faults(final),
            *self._read_faults(),
            *self._zone_faults(),
        ]

    def _answer_faults(self):
        """Changes that were both acknowledged and refused. A refused change can never be accepted later,
        because the version that it builds on is not in force again.
        """
        return [
            f"version {change.version} was acknowledged and refused: {change.answers}"
            for change in self.changes
            if change.acknowledged() is not None and change.was_refused()
        ]

    def _winner_faults(self):
        """Pairs of acknowledged changes with the same base version or the same version number."""
        faults = []
        for first, second in itertools.combinations(self.changes, 2):
            if first.acknowledged() is None or second.acknowledged() is None:
                continue
            if first.base == second.base or first.version == second.version:
                faults.append(
                    f"versions {first.version} and {second.version} on {first.base} and {second.base} "
                    "were both acknowledged"
                )
        return faults

    def _final_faults(self, final):
        """Faults in the configuration at the end of the trial."""
        faults = []
        acknowledged = [change for change in self.changes if change.acknowledged() is not None]
        if final["version"] < max(change.version for change in acknowledged):
            faults.append(f"version {final['version']} was read back, older than what was acknowledged")
        if all(final != change.document for change in self.changes):
            faults.append(f"version {final['version']} was read back other than it was sent")
        return faults

    def _read_faults(self):
        """Reads that returned a refused change, or a version older than one that was already acknowledged or
        read.
        """
        faults = []
        by_document = {
            json.dumps(sent_change.document, sort_keys=True): sent_change for sent_change in self.changes
        }
        for sent, _, document in self.reads:
            version = document["version"]
            change = by_document.get(json.dumps(document, sort_keys=True))
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
        """Zones whose state differs from their newest order, where that was acknowledged."""
        answers = []
        self.simulator.persist_call(
            "accord", "evacuations", (), lambda *answer: answers.append(answer), ORDER_SECONDS
        )
        self.simulator.until(lambda: answers, ORDER_SECONDS + READ_TIMEOUT, 0.02)
        if not answers:
            return ["the evacuations were not read"]
        evacuated = {evacuation["zone"] for evacuation in answers[0][1]["evacuations"]}
        return [
            f"zone {zone}: the last order says {order.begun} and was acknowledged, but is not in force"
            for zone, order in self.zone_orders.items()
            if order.acknowledged is not None and (zone in evacuated) != order.begun
        ]


def _route(before, name):
    """A new route, with a name and prefix of its own."""
    return {**before["routes"][0], "name": name, "prefix": f"/{name}/"}
