"""A stand-in operator, whose acknowledged acts are checked after the fact."""

from . import checks
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
        """The simulator's time of day in seconds."""
        return START + self.simulator.now

    def act(self, target, document=None):
        """A call sent until it is answered; whether it succeeded."""
        status, _ = self.simulator.persist("POST", target, document)
        return status == 200

    def close(self, kind, subject):
        """Drains a worker or empties a zone."""
        target = f"/v1/minions/{subject}/drain" if kind == "minion" else f"/v1/areas/{subject}/empty"
        if self.act(target):
            self.spans.append([kind, subject, self.now(), None])

    def open(self, kind, subject):
        """Lets a drained worker in again, or takes a zone back."""
        target = f"/v1/minions/{subject}/undrain" if kind == "minion" else f"/v1/areas/{subject}/take-back"
        begun = self.now()
        if self.act(target):
            for span in self.spans:
                if span[0] == kind and span[1] == subject and span[3] is None:
                    span[3] = begun

    def withdraw(self, worker, due):
        """Says that a worker's machine goes at `due`."""
        if self.act(f"/v1/minions/{worker}/withdraw", {"due": due}):
            self.spans.append(["minion", worker, self.now(), None])
            self.withdrawn.add(worker)

    def read_queue_configuration(self):
        """The queue configuration in force, as some front daemon reads it."""
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
        self.simulator.call(
            "operator",
            0,
            place,
            "PUT" if manner == "whole" else "PATCH",
            "/v1/setup",
            document,
            ("plain", got),
            headers={"if-match": "*" if base is None else f'"{base}"', "x-reason": reason},
        )
        return (self.now(), manner, document, base, reason, got)

    def _record_outcome(self, asked, manner, document, base, reason, got):
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
        status, before = self.read_queue_configuration()
        if status != 200:
            return
        sent = self._begin(0, manner, patch, before["version"])
        self.simulator.until(lambda: sent[5], 10, 0.05)
        if self._record_outcome(*sent) == 200:
            self.in_force(self.changes[-1][2])

    def storm(self, changes, rate):
        """Changes (manner, document) on whatever is in force, many under way at a time."""
        sent = []
        for place, (manner, document) in enumerate(changes):
            sent.append(self._begin(place, manner, document))
            self.simulator.run(1.0 / rate)
        self.simulator.until(lambda: all(one[5] for one in sent), 10)
        return [self._record_outcome(*one) for one in sent]

    def in_force(self, version, within=2.0):
        """Whether every connected front daemon learns of an acknowledged change in time."""
        fronts = [node for node in self.simulator.nodes.values() if node.kind == "verge"]
        if self.simulator.partitions or any(node.core is None or node.frozen for node in fronts):
            return
        if (
            self.simulator.until(
                lambda: all(
                    (node.core.body or {}).get("setup_version", 0) >= version
                    for node in fronts
                    if node.core is not None
                ),
                within,
                0.05,
            )
            is None
        ):
            self.faults.append(f"version {version} was not in force at every verge within {within} s")

    def race(self, patches):
        """Several changes on one version at once, at different front daemons."""
        status, before = self.read_queue_configuration()
        if status != 200:
            return
        sent = [self._begin(place, "merge", patch, before["version"]) for place, patch in enumerate(patches)]
        self.simulator.until(lambda: all(one[5] for one in sent), 10)
        won = [self._record_outcome(*one) for one in sent].count(200)
        if won > 1:
            self.faults.append(f"{won} changes built on version {before['version']} were accepted")

    def cancel_some(self):
        """Cancels a job that some caller has open."""
        for name, caller in self.simulator.callers.items():
            if caller.open:
                pushed_job = self.simulator.draw.choice(sorted(caller.open))
                self.simulator._send_client_calls(name, caller.cancel(pushed_job, self.now()))

    def check(self):
        """Faults in what was acknowledged: closed workers and zones, and queue configurations."""
        zones = {name: node.zone for name, node in self.simulator.nodes.items()}
        return [
            *self.faults,
            *checks.closed_kept(self.simulator.worker_history, self.spans, zones),
            *self.check_queue_configurations(),
        ]

    def limits(self):
        """The changes as the check of limits takes them."""
        set_limits = [
            (asked, acknowledged, version, document)
            for asked, acknowledged, version, _, document, _, _ in self.changes
        ]
        set_limits.sort(key=lambda one: one[2])
        set_limits = [(0.0, 0.0, 0, self.simulator.queue_configuration), *set_limits]
        set_limits += [(asked, None, 0, document) for asked, document in self.maybe]
        return [
            (
                asked,
                acknowledged,
                {
                    queue: settings["limit"]
                    for queue, settings in document["queues"].items()
                    if settings and "limit" in settings
                },
            )
            for asked, acknowledged, _, document in set_limits
        ]

    def check_queue_configurations(self):
        """Faults in what is read at day's end: every acknowledged change, its content, and
        nothing of a refused one, the same at every front daemon.
        """
        histories = []
        for place in range(sum(node.kind == "verge" for node in self.simulator.nodes.values())):
            status, history = self.simulator.ask("GET", "/v1/setup/versions", front=place)
            if status != 200:
                status, history = self.simulator.persist("GET", "/v1/setup/versions")
            if status != 200:
                return ["the setup history could not be read at day's end"]
            histories.append(history)
        documents = {}
        for version in sorted({one for change in self.changes for one in (change[2], change[2] - 1)}):
            status, document = self.simulator.persist("GET", f"/v1/setup/versions/{version}")
            if status == 200:
                documents[version] = document["setup"]
        return checks.queue_configurations_kept(histories, documents, self.changes, self.refused)
