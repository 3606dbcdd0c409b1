"""Orders that come all the time while faults strike: changes of the configuration, evacuations."""

from ..simulator import START

EVERY = 0.25  # seconds; between two looks at what is due
UNDER_WAY_MOST = 8  # orders; not yet answered at any time
BEGIN_SENT = 6.5  # seconds; an evacuation is sent again for less than this
FINISH_SENT = 120.0  # seconds; its end is sent again this long, until it is answered
EVACUATED = (1.0, 4.0)  # seconds; from its acknowledgement until it is taken back


class OperatorTraffic:
    """Sends orders through the stand-in operator without waiting for their answers. Invariants: at
    most UNDER_WAY_MOST changes have no answer; an evacuation is taken back once it was acknowledged,
    or once it is sent no more; no other begins before that was acknowledged."""

    def __init__(self, simulator):
        self.simulator = simulator
        self.running = False
        self.changes, self.spans = [], []  # changes under way; evacuations as (span, sent, lasts)
        self.finishing = 0  # evacuations whose taking back has no answer yet
        self.change_rate, self.read_rate, self.evacuate_rate = 0.3, 0.3, 0.05  # orders in EVERY

    def begin(self):
        """Orders come from now on."""
        if not self.running:
            self.running = True
            self.simulator.at(0.0, "later", self._turn)

    def end(self):
        """No new orders; evacuations are still taken back."""
        self.running = False

    def quiet(self):
        return not self.running and not self.changes and not self.spans and not self.finishing

    def _turn(self):
        draw = self.simulator.draw
        self.changes = [one for one in self.changes if one["decided"] is None and not self._given_up(one)]
        self._take_back()
        if self.running:
            if draw.random() < self.change_rate and len(self.changes) < UNDER_WAY_MOST:
                self.change()
            if draw.random() < self.read_rate:
                self._read()
            if draw.random() < self.evacuate_rate and not self.spans and not self.finishing:
                self._evacuate()
        if not self.quiet():
            self.simulator.at(EVERY, "later", self._turn)

    def _given_up(self, change):
        return self.simulator.governor.now() - change["sent"] > 20.5

    def change(self, **more):
        """A change on top of the newest version that is known to be in force, whole or of one item."""
        governor, draw = self.simulator.governor, self.simulator.draw
        base = max(one["version"] for one in governor.changes if one["status"] == 200)
        before = governor.documents[base]
        governor.version = max(governor.version, base) + 1
        version = governor.version
        route = {**before["routes"][0], "name": f"extra{version % 20}", "prefix": f"/extra{version % 20}/"}
        routes = [one for one in before["routes"] if one["name"] != route["name"]]
        place = next(
            (place for place, one in enumerate(before["routes"]) if one["name"] == route["name"]), len(routes)
        )
        document = {**before, "version": version, "routes": [*routes[:place], route, *routes[place:]], **more}
        if more or draw.random() < 0.5:
            call, arguments = "configure", (base, document)
        else:
            call, arguments = "amend", (base, version, {"routes": [route]}, {})
        self.changes.append(governor._send(call, base, document, arguments))

    def _read(self):
        governor, sent = self.simulator.governor, self.simulator.governor.now()

        def told(status, document):
            if status == 200:
                governor.reads.append((sent, governor.now(), document["version"]))

        self.simulator.persist_call("accord", "configuration", (), told, 2.0)

    def _evacuate(self):
        span = self.simulator.governor.evacuate(self.simulator.draw.choice(("a", "b", "c")))
        self.spans.append((span, self.simulator.now, self.simulator.draw.uniform(*EVACUATED)))

    def _finish(self, span):
        span[2] = self.simulator.governor.now()
        self.finishing += 1

        def answered(status, told):
            self.finishing -= 1

        self.simulator.persist_call("accord", "evacuate", (span[0], False), answered, FINISH_SENT)

    def _take_back(self):
        kept = []
        for span, sent, lasts in self.spans:
            acknowledged = span[1] is not None and START + self.simulator.now > span[1] + lasts
            if acknowledged or self.simulator.now > sent + BEGIN_SENT:
                self._finish(span)
            else:
                kept.append((span, sent, lasts))
        self.spans = kept
