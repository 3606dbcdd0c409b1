"""The stand-in operator of the simulated fleet: configurations and evacuations."""

from ..simulator import START
from .limits import ATTEMPTS, HOST, TIMEOUT


class Governor:
    """A stand-in operator. Invariants: every change bears a version of its own; documents tells
    what is in force under each version if it is; spans holds acknowledged evacuations as [zone,
    acknowledged, taken back or None]."""

    def __init__(self, simulator):
        self.simulator = simulator
        self.version = 3
        self.changes, self.documents, self.spans, self.faults = [], {}, [], []
        self.reads = []  # (sent, answered, version)

    def now(self):
        return START + self.simulator.now

    def found(self):
        """The first configuration, sent until it is taken."""
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
        document = {
            "version": 3,
            "routes": routes,
            "limits": {"anything": 1},
            "services": [{"name": "held", "guards": True}, {"name": "bare", "guards": False}],
        }
        change = self._send("configure", 0, document, (0, document))
        if self.simulator.until(lambda: change["decided"] is not None, 30, 0.02) is None:
            raise AssertionError("the first configuration was not taken within 30 s")

    def _send(self, call, base, document, arguments):
        change = {
            "base": base,
            "version": document["version"],
            "sent": self.now(),
            "decided": None,
            "status": None,
        }
        self.changes.append(change)
        self.documents[document["version"]] = document

        def decided(status, told):
            change["decided"], change["status"] = self.now(), status
            if status == 200 and told["version"] != change["version"]:
                self.faults.append(f"version {change['version']} was acknowledged as {told['version']}")
            elif status not in (200, 412):
                self.faults.append(f"version {change['version']} was answered {status}: {told}")

        self.simulator.persist_call("accord", call, arguments, decided, 20.0)
        return change

    def read(self, seconds=20.0):
        """The configuration as it is read now, or None."""
        got = []
        sent = self.now()

        def told(status, document):
            got.append(document if status == 200 else None)
            if status == 200:
                self.reads.append((sent, self.now(), document["version"]))

        self.simulator.persist_call("accord", "configuration", (), told, seconds)
        self.simulator.until(lambda: got, seconds + TIMEOUT, 0.02)
        return got[0] if got else None

    def race(self):
        """Two changes on one version, a whole one and named items, at the same time."""
        before = self.read()
        if before is None:
            return
        base, made = before["version"], []
        for one in range(2):
            self.version = max(self.version, base) + 2 + one
            route = {
                **before["routes"][0],
                "name": f"extra{self.version}",
                "prefix": f"/extra{self.version}/",
            }
            document = {**before, "version": self.version, "routes": [*before["routes"], route]}
            if one:
                made.append(("amend", document, (base, self.version, {"routes": [route]}, {})))
            else:
                made.append(("configure", document, (base, document)))
        for call, document, arguments in made:
            self._send(call, base, document, arguments)

    def evacuate(self, zone):
        span = [zone, None, None]

        def decided(status, told):
            if status == 200:
                span[1] = self.now()
                self.spans.append(span)

        self.simulator.persist_call("accord", "evacuate", (zone, True), decided, 6.0)
        return span

    def restore(self, span):
        span[2] = self.now()
        self.simulator.persist_call("accord", "evacuate", (span[0], False), lambda status, told: None, 30.0)

    def check(self):
        """Faults in what was acknowledged, read back now, at the end of the day."""
        faults, bases = list(self.faults), {}
        held = self.read()
        if held is None:
            return [*faults, "the configuration was not read back"]
        acknowledged = [one for one in self.changes if one["status"] == 200]
        for one in acknowledged:
            if bases.setdefault(one["base"], one["version"]) != one["version"]:
                faults.append(
                    f"versions {bases[one['base']]} and {one['version']} on {one['base']} were both acknowledged"
                )
        if held["version"] < max(one["version"] for one in acknowledged):
            faults.append(f"version {held['version']} was read back, older than what was acknowledged")
        if held != self.documents.get(held["version"]):
            faults.append(f"version {held['version']} was read back other than it was sent")
        refused = {one["version"] for one in self.changes if one["status"] == 412}
        for sent, _answered, version in self.reads:
            if version in refused:
                faults.append(f"version {version}, that was refused, was in force")
            if any(one["decided"] < sent and one["version"] > version for one in acknowledged):
                faults.append(f"version {version} was read after a newer one was acknowledged")
            if any(before[1] < sent and before[2] > version for before in self.reads):
                faults.append(f"version {version} was read after a newer one")
        return faults
