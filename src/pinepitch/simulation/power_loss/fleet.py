"""A simulated fleet whose control daemons keep their state in files, and what is checked of it."""

from ..pushed_job_trial import TRAFFIC
from ..simulator import Simulator
from .disk import FileDisk

ENCODING = (0.01, 0.4)  # seconds; that an image takes to be encoded
USUAL_SLOWNESS = 6.0  # times; so that something is mostly being written as the power goes
CHANGE_EVERY = 0.6  # seconds; between two changes of the queue configuration
FIRST_LIMIT = 100  # what the first change sets; each sets one more, so that each is known by its limit


class PowerLossFleet(Simulator):
    """The simulator with files on its control daemons' disks, under traffic and changes.

    Invariant: `acknowledged` holds the version and limit of every change that was acknowledged.
    """

    def __init__(self, seed, forgets=False, **fleet):
        self.forgets = forgets  # whether finished jobs are forgotten during a trial
        self.acknowledged = {}  # version -> limit
        self.faults = []
        self.led = set()  # (name, incarnation, term) of each leadership that was looked at
        super().__init__(seed, **fleet)

    def add(self, name, kind, zone):
        """Adds a machine; a control daemon's disk holds files."""
        node = super().add(name, kind, zone)
        if kind == "accord":
            node.disk = FileDisk(self.draw)
            node.disk.slow = USUAL_SLOWNESS
        return node

    def begin(self):
        """Waits for service and lets callers and the operator begin."""
        super().begin()
        self.caller("caller", TRAFFIC, rate=2.0, cancels=0.04)
        self.at(0.0, "later", self._change)

    # --- disks ----------------------------------------------------------------------------
    def _segment(self, node, number, data):
        if not node.disk.add_segment(number, data):
            raise AssertionError(f"{node.name} seals segment {number} anew, with other content")

    def _snapshot(self, node, index, image):
        """An image takes its time to be encoded, in which more is applied."""
        encoded = node.core.cluster_state.encode_with_digest(image)
        delay = self.draw.uniform(*ENCODING)
        self.at(delay, "give", node.name, node.incarnation, ("encoded", index, encoded))

    def _durable(self, node, what, job, incarnation):
        if node.disk.full and not (node.disk.stalled or node.frozen):
            node.disk.fill()
        return super()._durable(node, what, job, incarnation)

    def end(self, name, power):
        """A control daemon's process ends, its machine's power with it or not."""
        node = self.nodes[name]
        node.core = None
        node.incarnation += 1
        node.disk.stop(power)

    def start(self, name):
        """Starts a daemon with what its disk kept, all of which must be sound."""
        super().start(name)
        disk = self.nodes[name].disk
        if disk is not None and disk.damages:
            self.fault(f"{name} can't trust its folder: {disk.damages.pop()}")

    # --- the operator -----------------------------------------------------------------------
    def _change(self):
        """Asks for one change, and for the next one later."""
        limit = FIRST_LIMIT + self.number  # rises with every event
        patch = {"queues": {"default": {"limit": limit}}}

        def answered(status, document):
            if status == 200:
                self.acknowledged[document["version"]] = limit

        tag = ("told", answered)
        front = self.draw.randrange(100)
        self.call("operator", 0, front, "PATCH", "/v1/setup", patch, tag, headers={"if-match": "*"})
        self.at(CHANGE_EVERY, "later", self._change)

    # --- checks -----------------------------------------------------------------------------
    def fault(self, text):
        """Notes a fault once."""
        if text not in self.faults:
            self.faults.append(text)

    def give(self, node, message):
        """Hands a message to a process; one that serves as a leader from now on is looked at."""
        super().give(node, message)
        core = node.core
        if node.kind != "accord" or core is None or core.consensus is None:
            return
        leadership = (node.name, node.incarnation, core.consensus.term)
        if leadership not in self.led and core.consensus.serving():
            self.led.add(leadership)
            self._check_state(node)

    def _check_state(self, node):
        """The state of one that leads holds all that was acknowledged to anybody."""
        state = node.core.cluster_state
        for version, limit in self.acknowledged.items():
            line = state.queue_configurations.read(version) if version <= state.version else None
            found = None if line is None else line["queues"]["default"]["limit"]
            if found != limit:
                self.fault(f"{node.name} leads without version {version}, acknowledged with {limit}: {found}")
        for caller in self.callers.values():
            for identity in caller.open if self.forgets else caller.accepted:
                if state.pushed_job(identity) is None:
                    self.fault(f"{node.name} leads without {identity}, which was accepted")

    def control_names(self):
        """The names of the control daemons, running or not."""
        return [name for name, node in self.nodes.items() if node.kind == "accord"]
