"""A stand-in operator, whose acknowledged acts are checked after the fact."""

from ..world.row import merged
from .simulator import START


class Operator:
    """A stand-in operator whose every acknowledged act is kept for the checks."""

    def __init__(self, simulator):
        self.simulator = simulator
        self.changes = []  # (asked, acknowledged, version, manner, document, base or None, reason)
        self.maybe = []  # (asked, document) of changes without a clear answer
        self.spans = []  # (kind, subject, from, to or None)
        self.refused = []  # reasons of changes that were refused
        self.count = 0
        self.faults = []
        self.withdrawn = set()

    def now(self):
        return START + self.simulator.now

    def act(self, target, document=None):
        status, _ = self.simulator.persist("POST", target, document)
        return status == 200

    def close(self, kind, subject):
        """Drains a minion or empties an area."""
        target = f"/v1/minions/{subject}/drain" if kind == "minion" else f"/v1/areas/{subject}/empty"
        if self.act(target):
            self.spans.append([kind, subject, self.now(), None])

    def open(self, kind, subject):
        target = f"/v1/minions/{subject}/undrain" if kind == "minion" else f"/v1/areas/{subject}/take-back"
        begun = self.now()
        if self.act(target):
            for span in self.spans:
                if span[0] == kind and span[1] == subject and span[3] is None:
                    span[3] = begun

    def withdraw(self, minion, due):
        if self.act(f"/v1/minions/{minion}/withdraw", {"due": due}):
            self.spans.append(["minion", minion, self.now(), None])
            self.withdrawn.add(minion)

    def read_setup(self):
        status, document = self.simulator.persist("GET", "/v1/setup")
        if status == 200:
            newest = max([one[2] for one in self.changes], default=0)
            if document["version"] < newest:
                self.faults.append(f"read version {document['version']} after {newest} was acknowledged")
        return status, document

    def reason(self):
        """A reason no other change gives, so that the history tells which one it holds."""
        self.count += 1
        return f"change {self.count}"

    def _begin(self, place, manner, document, base=None):
        """Sends one change and waits for nothing; what to give to _settle later."""
        reason, got = self.reason(), []
        self.simulator.call("operator", 0, place, "PUT" if manner == "whole" else "PATCH", "/v1/setup", document,
                            ("plain", got), headers={"if-match": "*" if base is None else f'"{base}"', "x-reason": reason})
        return (self.now(), manner, document, base, reason, got)

    def _settle(self, asked, manner, document, base, reason, got):
        """Keeps what came of a change; the answer's status."""
        status, answer = got[0][1:] if got else (0, None)
        if status == 200:
            self.changes.append((asked, got[0][0], answer["version"], manner, document, base, reason))
        elif status in (409, 422):
            self.refused.append(reason)
        else:
            self.maybe.append((asked, document))
        return status

    def change(self, patch, manner="merge"):
        """One change on the version in force; kept if acknowledged."""
        status, before = self.read_setup()
        if status != 200:
            return
        sent = self._begin(0, manner, patch, before["version"])
        self.simulator.until(lambda: sent[5], 10, 0.05)
        if self._settle(*sent) == 200:
            self.in_force(self.changes[-1][2])

    def storm(self, changes, rate):
        """Changes (manner, document) on whatever is in force, many under way at a time."""
        sent = []
        for place, (manner, document) in enumerate(changes):
            sent.append(self._begin(place, manner, document))
            self.simulator.run(1.0 / rate)
        self.simulator.until(lambda: all(one[5] for one in sent), 10)
        return [self._settle(*one) for one in sent]

    def in_force(self, version, within=2.0):
        """Whether every connected verge learns of an acknowledged change in time."""
        verges = [node for node in self.simulator.nodes.values() if node.kind == "verge"]
        if self.simulator.cuts or any(node.core is None or node.frozen for node in verges):
            return
        if self.simulator.until(lambda: all((node.core.body or {}).get("setup_version", 0) >= version
                                            for node in verges if node.core is not None), within, 0.05) is None:
            self.faults.append(f"version {version} was not in force at every verge within {within} s")

    def race(self, patches):
        """Several changes on one version at once, at different verges."""
        status, before = self.read_setup()
        if status != 200:
            return
        sent = [self._begin(place, "merge", patch, before["version"]) for place, patch in enumerate(patches)]
        self.simulator.until(lambda: all(one[5] for one in sent), 10)
        won = [self._settle(*one) for one in sent].count(200)
        if won > 1:
            self.faults.append(f"{won} changes built on version {before['version']} were accepted")

    def cancel_some(self):
        """Cancels a ticket that some caller has open."""
        for name, caller in self.simulator.callers.items():
            if caller.open:
                ticket = self.simulator.draw.choice(sorted(caller.open))
                self.simulator._caller_calls(name, caller.cancel(ticket, self.now()))

    def check(self):
        """Faults in what was acknowledged: closed minions and areas, and setups."""
        faults = list(self.faults)
        areas = {name: node.area for name, node in self.simulator.nodes.items()}
        for kind, subject, begun, ended in self.spans:
            grace = 2.0 if kind == "minion" else 5.0
            for event in self.simulator.minion_history:
                if event[0] != "start" or not begun + grace < event[1] < (ended or 1e18):
                    continue
                if subject == (event[2] if kind == "minion" else areas[event[2]]):
                    faults.append(f"{event[4]} started on {event[2]} {event[1] - begun:.1f} s after {subject} closed")
        return faults + self.check_setups()

    def limits(self):
        """The changes as the check of limits takes them."""
        told = [(asked, acknowledged, version, document)
                for asked, acknowledged, version, _, document, _, _ in self.changes]
        told.sort(key=lambda one: one[2])
        told = [(0.0, 0.0, 0, self.simulator.setup), *told]
        told += [(asked, None, 0, document) for asked, document in self.maybe]
        return [(asked, acknowledged, {queue: row["limit"] for queue, row in document["queues"].items()
                                       if row and "limit" in row})
                for asked, acknowledged, _, document in told]

    def check_setups(self):
        """Faults in what is read at day's end: every acknowledged change, its content, and
        nothing of a refused one, the same at every verge."""
        faults, histories = [], []
        verges = [node for node in self.simulator.nodes.values() if node.kind == "verge"]
        for place in range(len(verges)):
            status, history = self.simulator.ask("GET", "/v1/setup/versions", verge=place)
            if status != 200:
                status, history = self.simulator.persist("GET", "/v1/setup/versions")
            if status != 200:
                return ["the setup history could not be read at day's end"]
            histories.append(history)
        if any(one != histories[0] for one in histories):
            faults.append("verges tell different histories")
        held = {one["version"]: one for one in histories[0]["setups"]}
        for version, one in held.items():
            if one["why"] in self.refused:
                faults.append(f"version {version} is a change that was refused")
        documents = {}
        changes = {}
        for _, _, version, manner, document, base, reason in self.changes:
            if (version not in held or held[version]["why"] != reason
                    or base is not None and held[version]["base"] != base):
                faults.append(f"acknowledged version {version} is missing at day's end")
            elif version in changes:
                faults.append(f"version {version} was acknowledged twice")
            else:
                changes[version] = (manner, document)
        for version in sorted({one for version in changes for one in (version, version - 1)}):
            documents[version] = self.simulator.persist("GET", f"/v1/setup/versions/{version}")[1]["setup"]
        for version, (manner, document) in changes.items():
            wanted = merged(documents[version - 1], document) if manner == "merge" else document
            found = documents[version]
            same = found["queues"].keys() == wanted["queues"].keys() and all(
                found["queues"][queue][column] == value
                for queue, row in wanted["queues"].items() for column, value in row.items())
            if not same:
                faults.append(f"version {version} does not hold just its own change")
        return faults
