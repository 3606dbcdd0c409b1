"""The disks of simulated machines: which job is in progress, how long it takes, and when it is durable."""

import cbor2

from ..common import constants, packed_operations


class SimulatedDisks:
    """The disks of a Simulator. Invariant: each has at most one save in progress, and beside it one base."""

    def _save(self, node, sequence, change):
        """Queues a change of the log, which is saved with those queued beside it."""
        node.disk.jobs.append(("save", sequence, ["raft", change]))
        self._disk_next(node)

    def _base(self, node, sequence, payload):
        """Queues a snapshot base; `sequence` is None if nothing waits for it."""
        node.disk.jobs.append(("base", sequence, payload))
        self._disk_next(node)

    def _note(self, node, payload):
        """Keeps a note of the membership at once."""
        node.disk.keep(("step", cbor2.dumps([["note", payload]])))

    def _disk_next(self, node):
        """Begins the next job of a disk, if there is one and nothing is in progress."""
        disk = node.disk
        if disk.in_progress is not None or not disk.jobs:
            return
        kind, tag, payload = disk.jobs[0]
        if kind == "base":
            if disk.beside is not None:
                return
            disk.jobs.popleft()
            disk.beside, disk.covers = (("base", packed_operations.dumps(payload)), tag), len(disk.steps)
            if tag is not None:
                disk.in_progress = disk.beside  # nothing may follow before it is durable
            self.at((0.005 + self.draw.random() * 0.3) * disk.slow, "based", node.name, node.incarnation)
            self._disk_next(node)
            return
        batch = []
        while disk.jobs and disk.jobs[0][0] == "save":
            _, tag, payload = disk.jobs.popleft()
            batch.append(payload)
        disk.in_progress = (("step", packed_operations.dumps(batch)), tag)
        self.at((0.001 + self.draw.random() * 0.004) * disk.slow, "synced", node.name, node.incarnation)

    def _durable(self, node, what, job, incarnation):
        """Whether a job became durable; else it is tried again, as the daemons do."""
        disk = node.disk
        if disk.stalled or node.frozen:
            self.at(0.05, what, node.name, incarnation)
            return False
        if disk.full:
            if not disk.failed:
                disk.failed = True
                self.give(node, ("disk", "no space"))
            self.at(constants.DISK_AGAIN, what, node.name, incarnation)
            return False
        disk.keep(job)
        if disk.failed:
            disk.failed = False
            self.give(node, ("disk", None))
        return True

    def _synced(self, name, incarnation):
        """Ends the save in progress, once it is durable."""
        node = self.nodes[name]
        if node.incarnation != incarnation or node.disk.in_progress is None:
            return
        job, tag = node.disk.in_progress
        if self._durable(node, "synced", job, incarnation):
            node.disk.in_progress = None
            self.give(node, ("saved", tag))
            self._disk_next(node)

    def _based(self, name, incarnation):
        """Ends the snapshot base in progress, once it is durable."""
        node = self.nodes[name]
        if node.incarnation != incarnation or node.disk.beside is None:
            return
        job, tag = node.disk.beside
        if self._durable(node, "based", job, incarnation):
            node.disk.beside, node.disk.covers = None, 0
            if tag is not None:
                node.disk.in_progress = None
                self.give(node, ("saved", tag))
            self._disk_next(node)
