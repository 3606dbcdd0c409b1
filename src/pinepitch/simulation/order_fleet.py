"""A simulated cluster that only takes orders, and operators of zones whose answers get lost.

An operator works as the platform's does: it sends an order to one daemon, goes on to another after
a second of silence or a 5xx, and gives its next order for the zone once the last is acknowledged.
"""

import itertools
import json

from ..common import constants
from ..scheduling import configuration
from .daemon_calls import send_call
from .simulator import START, Simulator

RESPONSE_TIMEOUT = 1.0  # seconds; without an answer the operator goes on to another daemon
PAUSE = 0.1  # seconds; before it does
REFUSALS = (400, 409, 412, 413, 422)  # answers that end a call


class OrderFleet(Simulator):
    """The simulator with daemons that take orders and nobody else."""

    def __init__(self, seed, zones=("a", "b", "c")):
        self.answer_loss = 0.0  # part of the answers that get lost
        super().__init__(seed, zones, fronts=(), workers=(), founders=len(zones))

    def begin(self):
        """Runs until a leader serves under its epoch."""
        if self.until(lambda: self.leader() is not None and self.leader().core.epoch > 0, 30) is None:
            raise AssertionError("no leader within 30 s")

    def names(self):
        """Names of all daemons, running or not."""
        return list(self.nodes)

    def followers(self):
        """Names of the daemons that run and do not lead."""
        leader = self.leader()
        return [name for name, node in self.nodes.items() if node.core is not None and node is not leader]

    def send(self, name, call, arguments, answered):
        """One call to one daemon; told(status, document) comes back once, (0, None) after silence."""
        answers = []

        def once(status, document):
            if not answers:
                answers.append(status)
                answered(status, document)

        def perhaps(status, document):
            if self.draw.random() >= self.answer_loss:
                once(status, document)

        send_call(self, "operator", 0, self.nodes[name], call, arguments, constants.CALL_PATIENCE, perhaps)
        self.at(RESPONSE_TIMEOUT, "later", lambda: once(0, None))

    def pending(self):
        """Whether something waits to be answered or to be sent again."""
        return any(event[0] == "later" for _, _, event in self.events)

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
    the newest acknowledged one says, None while an order is under way or none was acknowledged.
    """

    def __init__(self, fleet, zone):
        self.fleet, self.zone = fleet, zone
        self.standing = self.wanted = None
        self.instead = None  # what is ordered once the attempt under way has ended unclearly
        self.orders = itertools.count(1)
        self.order = 0
        self.sent = self.acknowledged = 0.0
        self.waits = []  # seconds from an order to its acknowledgement

    def give(self, begun, first=None):
        """Gives an order and sends it until it is acknowledged."""
        self.order, self.standing, self.wanted = next(self.orders), None, begun
        self.instead = None
        self.sent = self.fleet.now
        self._attempt(self.order, first or self.fleet.draw.choice(self.fleet.names()))

    def _attempt(self, order, name):
        if order != self.order or self.standing is not None:
            return

        def answered(status, document):
            self._answered(order, name, status)

        self.fleet.send(name, "evacuate", (self.zone, self.wanted), answered)

    def _answered(self, order, name, status):
        if order != self.order or self.standing is not None:
            return
        if status == 200:
            self.standing, self.acknowledged = self.wanted, self.fleet.now
            self.waits.append(self.fleet.now - self.sent)
            return
        if status in REFUSALS:
            raise AssertionError(f"an order for {self.zone} was refused with {status}")
        if self.instead is not None:
            self.give(self.instead)
            return
        others = [one for one in self.fleet.names() if one != name]
        self.fleet.at(PAUSE, "later", lambda: self._attempt(order, self.fleet.draw.choice(others)))

    def faults(self):
        """What the leader's record says against the order that was acknowledged last."""
        leader = self.fleet.leader()
        if self.standing is None or leader is None or not leader.core.consensus.leased(leader.core.step_at):
            return []
        if leader.core.cluster_state.time < START or self.fleet.now - self.acknowledged < 0.01:
            return []
        evacuated = self.zone in leader.core.cluster_state.leased_jobs.evacuated
        if evacuated == self.standing:
            return []
        done = "begun" if self.standing else "finished"
        return [f"zone {self.zone}: the evacuation was {done} and is undone at {self.fleet.now:.2f}"]


class Change:
    """An order that brings a version, and each answer to it."""

    def __init__(self, order, call, arguments):
        self.order, self.call, self.arguments = order, call, arguments
        self.answers = []  # (sent, answered, status), 0 for silence
        self.pending = 0

    def version(self):
        """The number that it bears."""
        return json.loads(self.order.body)["configVersion"]

    def digest(self):
        """What the cluster state would remember it by."""
        return configuration.digest_of(json.loads(json.dumps(self.arguments)))

    def statuses(self):
        """The statuses that it was answered with."""
        return {status for _, _, status in self.answers}


class ChangeOperators:
    """Operators of versions, who send each change until it is clearly answered, to one daemon after
    another, and now and then once more. Faults are told by faults().
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.changes = []
        self.reads = []  # (sent, answered, document)

    def pending(self):
        """How many attempts wait for an answer."""
        return sum(change.pending for change in self.changes)

    def give(self, change, name):
        """Begins to send a change."""
        self.changes.append(change)
        self.send(change, name)

    def send(self, change, name):
        """Sends a change to one daemon, and to others until it is clearly answered."""
        change.pending += 1
        sent = self.fleet.now

        def answered(status, document):
            change.pending -= 1
            change.answers.append((sent, self.fleet.now, status))
            if status in (0, 408, 429) or status >= 500:
                others = [one for one in self.fleet.names() if one != name]
                self.fleet.at(PAUSE, "later", lambda: self.send(change, self.fleet.draw.choice(others)))

        self.fleet.send(name, change.call, change.arguments, answered)

    def read(self, name):
        """Reads what is in force from one daemon."""
        sent = self.fleet.now

        def answered(status, document):
            if status == 200:
                self.reads.append((sent, self.fleet.now, document))

        self.fleet.send(name, "configuration", (), answered)

    def taken_in_record(self):
        """The changes that the leader's record holds for taken."""
        taken = self.fleet.leader().core.cluster_state.leased_jobs.configuration.digests_by_version
        return [one for one in self.changes if taken.get(one.version()) == one.digest()]

    def faults(self):
        """Faults in the answers, once all is calm and nothing is under way."""
        faults, taken = [], self.taken_in_record()
        for change in self.changes:
            statuses = change.statuses()
            if change in taken and statuses & {400, 412}:
                faults.append(f"{change.order} was taken and refused: {change.answers}")
            if change in taken and statuses and statuses <= {503}:
                faults.append(f"{change.order} was taken, and told not to be: {change.answers}")
            if change not in taken and 200 in statuses:
                faults.append(f"{change.order} was acknowledged and not taken: {change.answers}")
        return faults + self._read_faults()

    def _read_faults(self):
        """Reads that are older than what was acknowledged or read before them."""
        faults = []
        acknowledged = [
            (answered, change.version())
            for change in self.changes
            for _, answered, status in change.answers
            if status == 200
        ]
        seen = acknowledged + [(answered, document["version"]) for _, answered, document in self.reads]
        for sent, _, document in self.reads:
            newest = max((version for answered, version in seen if answered < sent), default=0)
            if document["version"] < newest:
                faults.append(f"version {document['version']} was read after version {newest}")
        return faults
