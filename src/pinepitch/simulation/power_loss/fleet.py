"""A simulated fleet whose control daemons store their state in files, and the checks on it."""

from ..pushed_job_trial import TRAFFIC
from ..simulator import Simulator
from .disk import FileDisk

ENCODING = (0.01, 0.4)  # seconds; range of the time to encode an image
NORMAL_SLOWDOWN = 6.0  # factor; makes it likely that a write is in progress when power is lost
CHANGE_EVERY = 0.6  # seconds; between two changes of the queue configuration
FIRST_LIMIT = 100  # of the first change; every change sets a higher limit, which identifies it


class PowerLossFleet(Simulator):
    """A simulator whose control daemons' disks hold files, under traffic and configuration changes.

    Invariant: `acknowledged` holds the version and limit of every change that was acknowledged.
    """

    def __init__(self, seed, forgets=False, **fleet):
        self.forgets = forgets  # whether finished jobs are forgotten during a trial
        self.acknowledged = {}  # version -> limit
        self.faults = []
        self.checked_leaderships = set()  # (name, incarnation, term) of each leadership already checked
        super().__init__(seed, **fleet)

    def add(self, name, kind, zone):
        """Adds a machine; a control daemon's disk holds files."""
        node = super().add(name, kind, zone)
        if kind == "accord":
            node.disk = FileDisk(self.draw)
            node.disk.slow = NORMAL_SLOWDOWN
        return node

    def begin(self):
        """Waits for service, then starts the callers and the operator."""
        super().begin()
        self.caller("caller", TRAFFIC, rate=2.0, cancels=0.04)
        self.at(0.0, "later", self._change)

    # --- disks ----------------------------------------------------------------------------
    def _segment(self, node, number, data):
        if not node.disk.add_segment(number, data):
            raise AssertionError(f"{node.name} seals segment {number} again with different content")

    def _snapshot(self, node, index, image):
        """Delays the encoding of an image, so that more entries are applied meanwhile."""
        encoded = node.core.cluster_state.encode_with_digest(image)
        delay = self.draw.uniform(*ENCODING)
        self.at(delay, "give", node.name, node.incarnation, ("encoded", index, encoded))

    def _durable(self, node, what, job, incarnation):
        if node.disk.full and not (node.disk.stalled or node.frozen):
            node.disk.fail_write()
        return super()._durable(node, what, job, incarnation)

    def end(self, name, power):
        """Ends a control daemon's process; with `power`, its machine loses power as well."""
        node = self.nodes[name]
        node.core = None
        node.incarnation += 1
        node.disk.stop(power)

    def start(self, name):
        """Starts a daemon from its disk; a damaged folder is a fault."""
        super().start(name)
        disk = self.nodes[name].disk
        if disk is not None and disk.damages:
            self.fault(f"{name} can't trust its folder: {disk.damages.pop()}")

    # --- the operator -----------------------------------------------------------------------
    def _change(self):
        """Requests one configuration change and schedules the next."""
        limit = FIRST_LIMIT + self.number  # rises with every event
        patch = {"queues": {"default": {"limit": limit}}}

        def handle_response(status, document):
            if status == 200:
                self.acknowledged[document["version"]] = limit

        tag = ("told", handle_response)
        front = self.draw.randrange(100)
        self.call("operator", 0, front, "PATCH", "/v1/setup", patch, tag, headers={"if-match": "*"})
        self.at(CHANGE_EVERY, "later", self._change)

    # --- checks -----------------------------------------------------------------------------
    def fault(self, text):
        """Records a fault, each text once."""
        if text not in self.faults:
            self.faults.append(text)

    def give(self, node, message):
        """Delivers a message to a process; checks the state of a leader that has begun to serve."""
        super().give(node, message)
        core = node.core
        if node.kind != "accord" or core is None or core.consensus is None:
            return
        leadership = (node.name, node.incarnation, core.consensus.term)
        if leadership not in self.checked_leaderships and core.consensus.serving():
            self.checked_leaderships.add(leadership)
            self._check_state(node)

    def _check_state(self, node):
        """Checks that a leader's state holds every acknowledged change and every accepted job."""
        state = node.core.cluster_state
        for version, limit in self.acknowledged.items():
            configuration = state.queue_configurations.read(version) if version <= state.version else None
            actual_limit = None if configuration is None else configuration["queues"]["default"]["limit"]
            if actual_limit != limit:
                self.fault(
                    f"{node.name} leads without version {version}, acknowledged with {limit}: {actual_limit}"
                )
        for caller in self.callers.values():
            for identity in caller.open if self.forgets else caller.accepted:
                if state.pushed_job(identity) is None:
                    self.fault(f"{node.name} leads without {identity}, which was accepted")

    def control_names(self):
        """Returns the names of all control daemons, running or not."""
        return [name for name, node in self.nodes.items() if node.kind == "accord"]
