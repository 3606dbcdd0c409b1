"""Long histories of large configurations: hundreds of changes handed to the leader of a
simulated cluster, and what its members hold, send and keep of them.
"""

import contextlib
import os
import sys
import time
from unittest import mock

from ..common import constants
from ..common.limits import USUAL, Limits
from ..consensus import snapshot_sender
from ..consensus.snapshot_transfer import Transfer
from ..scheduling.configuration import Configuration
from .simulator import Simulator

BODY = 262_144  # bytes; of one configuration
TEXT = 4_000  # characters; that each route carries along, so that the rest is cheap to check


def document_of(version, size=BODY):
    """A configuration of about `size` bytes, different in each version."""
    routes = [
        {
            "name": f"route{place}",
            "host": "a.example",
            "prefix": f"/route{place}/",
            "service": "held",
            "note": f"{version:08d}" * (TEXT // 8),
        }
        for place in range(max(1, size // (TEXT + 100)))
    ]
    return {"version": version, "routes": routes, "services": [{"name": "held", "guards": True}]}


def folder_bytes(disk):
    """Bytes that a simulated data folder holds, a base under way included."""
    in_progress = {id(job): job for job in (disk.beside, disk.in_progress) if job is not None}
    files = [disk.base or b"", *disk.steps, *(job[0][1] for job in in_progress.values())]
    return sum(map(len, files))


class Maxima:
    """The most that any member held at any look. Invariant: each field only grows."""

    def __init__(self):
        self.log = self.disk = self.entries = self.append = 0

    def look(self, simulator):
        """Looks at every member."""
        for node in simulator.nodes.values():
            if node.core is not None and node.core.consensus is not None:
                log = node.core.consensus.log
                self.log, self.entries = max(self.log, log.size), max(self.entries, len(log.entries))
                self.disk = max(self.disk, folder_bytes(node.disk))


class ControlCluster(Simulator):
    """Control daemons alone, to whose leader changes are handed. Invariants: version is that of the newest
    change handed over; acknowledged holds the versions that were answered 200.
    """

    def __init__(self, seed, control_daemons=("a", "b", "c"), limits=USUAL, size=BODY):
        self.limits, self.size = limits, size
        super().__init__(
            seed, control_daemons=control_daemons, fronts=(), workers=(), founders=len(control_daemons)
        )
        self.loss = 0.0
        self.version, self.acknowledged, self.maxima = 0, [], Maxima()
        self.appends = 0  # bytes of the largest frame

    def start(self, name):
        """Starts the control daemon of that name with what its disk kept."""
        super().start(name)
        core = self.nodes[name].core
        core.limits = self.limits
        if core.consensus is not None:
            core.consensus.limits = self.limits

    def kill(self, name):
        """Kills the control daemon of that name, and breaks its links."""
        super().kill(name)
        if self.link_rates is not None:
            self.link_rates.broken(name)

    def leaderships(self):
        """(when, name) of every leadership so far."""
        return [(when, name) for when, name, number, _ in self.trace if number == 122]

    def begin(self):
        """Waits until a leader serves."""
        if self.until(lambda: self.serving() is not None, 30) is None:
            raise AssertionError("no leader within 30 s")

    def serving(self):
        """The leader that may answer now, or None."""
        leader = self.leader()
        if leader is None or not leader.core.consensus.leased(self.now + 1000.0) or leader.core.epoch <= 0:
            return None
        return leader

    def change(self, patience=2.5):
        """Hands one change to the leader, on top of what it has in force; whether there is one."""
        leader = self.serving()
        if leader is None:
            return False
        base = leader.core.cluster_state.leased_jobs.configuration.version
        self.version = max(self.version, base) + 1
        document = document_of(self.version, self.size)

        def answered(status, answer):
            if status == 200:
                self.acknowledged.append(answer["version"])

        self.request_count += 1
        self.requests[self.request_count] = ("call", "operator", 0, ("told", answered), leader.name)
        self.give(leader, ("call", self.request_count, "configure", (base, document), patience))
        return True

    def stream(self, count, every):
        """So many changes, one each `every` seconds."""
        for _ in range(count):
            self.change()
            self.run(every)
            self.maxima.look(self)

    def lacks(self, name):
        """Entries that a member has not applied of what its leader committed."""
        leader, core = self.leader(), self.nodes[name].core
        if leader is None or core is None or core.consensus is None:
            return None
        return leader.core.consensus.applied_index - core.cluster_state.index

    def faults(self):
        """What is wrong at the end: members that differ, or a version acknowledged and not held."""
        found = self.agreement()
        leader = self.leader()
        if leader is None:
            return [*found, "nobody leads"]
        if self.acknowledged and leader.core.cluster_state.leased_jobs.configuration.version < max(
            self.acknowledged
        ):
            found.append(f"version {max(self.acknowledged)} was acknowledged and is not in force")
        return found


def missed(simulator, name, count, every, wiped=False, meanwhile=0.25):
    """One member misses `count` changes and comes back under further ones; (seconds until it lacks
    two entries at most, bytes sent to it, or None where it never did within 120 s).
    """
    simulator.kill(name)
    simulator.stream(count, every)
    if wiped:
        simulator.wipe(name)
    before = sum(size for (_, target), size in simulator.link_rates.sent.items() if target == name)
    begun = simulator.now
    simulator.start(name)
    while simulator.now - begun < 120.0:
        simulator.change()
        simulator.run(meanwhile)
        simulator.maxima.look(simulator)
        lacks = simulator.lacks(name)
        if lacks is not None and lacks <= 2 and simulator.nodes[name].core.consensus.role == "follower":
            after = sum(size for (_, target), size in simulator.link_rates.sent.items() if target == name)
            return simulator.now - begun, after - before
    return None


def _begun_anew(replica, identity, follower, now):
    """Sends the newest snapshot from its start whenever there is a newer one."""
    if follower.transfer is not None and follower.transfer.snapshot.last_index != replica.base_index:
        follower.transfer = None
    original_send_chunk(replica, identity, follower, now)


original_send_chunk = snapshot_sender.send_chunk


def _taken_forgotten(self, document=None, digests_by_version=()):
    """Forgets which calls brought earlier versions whenever it is decoded."""
    self.digests_by_version = {}
    self._set_document(document)


def _boundless(*names):
    return [(Limits, name, property(lambda self: 1 << 50)) for name in names]


INJECTED_FAULTS = {
    "bytes-uncounted": _boundless("since_base", "tail", "laggard"),
    "never-full": _boundless("log"),
    "laggards-by-entries": [*_boundless("tail", "laggard"), (constants, "SNAPSHOT_RATIO", 1 << 50)],
    "one-connection": [(constants, "LINK_BULK", 1 << 50)],
    "snapshot-begun-anew": [(snapshot_sender, "send_chunk", _begun_anew)],
    "answers-twice": [(Transfer, "is_stale", lambda self, offset, maxima: False)],
    "taken-forgotten": [(Configuration, "__init__", _taken_forgotten)],
}


@contextlib.contextmanager
def injected(name):
    """The fault of that name in place."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name]:
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


def main(changes="1000", seed="1", size=str(BODY)):
    """A trial: so many changes of a large configuration, five a second; what is held of them."""
    limits = Limits(296_000_000, 128_000_000)
    begun = time.perf_counter()
    simulator = ControlCluster(int(seed), limits=limits, size=int(size))
    simulator.begin()
    simulator.stream(int(changes), 0.2)
    simulator.run(3.0)
    maxima = simulator.maxima
    print(
        f"{len(simulator.acknowledged)} of {changes} changes acknowledged, log at most "
        f"{maxima.log} bytes and {maxima.entries} entries (bound {limits.log}), "
        f"folder at most {maxima.disk} (bound {limits.disk}), "
        f"leaderships {len(simulator.leaderships())}, {time.perf_counter() - begun:.0f} s, "
        f"faults {simulator.faults()}"
    )
    with open(f"/proc/{os.getpid()}/status", encoding="ascii") as status:
        print([line.strip() for line in status if line.startswith("VmHWM")])


if __name__ == "__main__":
    main(*sys.argv[1:])
