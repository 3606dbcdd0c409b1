"""A small deployment of real processes with lowered limits, and one of them that a crowd comes to."""

import pathlib
import shutil
import tempfile
import threading
import time
from typing import NamedTuple

from features.soak import wire
from features.soak.processes import Processes

from .crowd import Crowd
from .messages import ALLOWED_BODY, HTTP_HOST

MEMORY_MB = 128  # of each process, in the settings
DESCRIPTORS = 600  # of each process, in the settings
DESCRIPTORS_FOR_FILES = 200  # of these, kept for files by the page on deployment
READY_WITHIN = 30.0  # seconds; from the start until a front daemon serves a configuration
ANSWERED_WITHIN = 40.0  # seconds; a process that answers no ordinary request for so long hangs
CALL_TIMEOUT = 3.0  # seconds; of one try of an ordinary request
SAMPLE_EVERY = 0.02  # seconds
STAYS = 3.0  # seconds; a crowd stays at least this long
SETTLES_WITHIN = 15.0  # seconds; a crowd that has not sent everything by then is taken as it is
ROUTES = 400  # of the configuration
PADDING = 200  # bytes; of a text in each route


class Deployment:
    """Three control daemons and a front daemon. Invariant: `target` names the process that is watched."""

    def __init__(self, seed, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
        self.folder = tempfile.mkdtemp(prefix="crowd-")
        self.processes = Processes(
            seed,
            self.folder,
            fronts=1,
            limits={"limits.memoryMb": str(memory_mb), "limits.fileDescriptors": str(descriptors)},
        )
        self.target = ""
        self.jobs = 0

    def start(self):
        """Starts all processes and waits until they serve a configuration, whose limits of requests are in
        force at the front daemon.
        """
        self.processes.start_all()
        until = time.monotonic() + READY_WITHIN
        while (
            not self._configured() or not self._submitted(self.processes.fronts[0]) or not self._front_ready()
        ):
            assert time.monotonic() < until, f"the deployment isn't ready within {READY_WITHIN:.0f} s"
            time.sleep(0.1)

    def stop(self):
        """Ends all processes at once and removes their folder."""
        for name in list(self.processes.running):
            self.processes.kill(name)
        shutil.rmtree(self.folder)

    def leader(self):
        """The name of the control daemon that leads, once the front daemon knows it."""
        until = time.monotonic() + READY_WITHIN
        while (name := self._known_leader()) is None:
            assert time.monotonic() < until, f"no leader is known within {READY_WITHIN:.0f} s"
            time.sleep(0.1)
        return name

    def _known_leader(self):
        """The name of the leader by the front daemon's health, or None while it is not ready."""
        address = self.processes.address("front0", "product")
        status, health = wire.exchange(wire.Request(address, "GET", "/v1/health", None, "", CALL_TIMEOUT))
        if status != 200 or not health["leader"]:
            return None
        host = health["leader"].rpartition(":")[0]
        return next(name for name, own in self.processes.addresses.items() if own == host)

    def _configured(self):
        document = configuration_of(1, ROUTES)
        return any(
            wire.exchange(
                wire.Request(address, "POST", "/api/Configuration.Replace", document, "", CALL_TIMEOUT)
            )[0]
            == 200
            for address in self.processes.controls
        )

    def _front_ready(self):
        """Whether the front daemon knows the configuration. Before that it passes jobs on to the leader."""
        address = self.processes.address("front0", "readiness")
        return wire.exchange(wire.Request(address, "GET", "/api/readiness", None, "", CALL_TIMEOUT))[0] == 200

    def _submitted(self, address):
        self.jobs += 1
        document = {"taskSpec": "ordinary", "steps": [{"taskCount": 1, "cpuUnits": 100}]}
        request = wire.Request(address, "POST", f"/held/{self.jobs:016x}", document, HTTP_HOST, CALL_TIMEOUT)
        return wire.exchange(request)[0] == 200

    def _ordinary(self, port):
        """Whether one ordinary request at a port of the target is answered with success."""
        address = self.processes.address(self.target, port)
        if port == "front":
            return self._submitted(address)
        path = {
            "readiness": "/api/readiness",
            "control": "/api/Configuration.Read",
            "product": "/v1/health",
        }[port]
        return wire.exchange(wire.Request(address, "GET", path, None, "", CALL_TIMEOUT))[0] == 200

    def answered(self, port):
        """Whether an ordinary request is answered, tried again and again for ANSWERED_WITHIN."""
        if port == "frames":
            port = "front" if self.target.startswith("front") else "control"
        until = time.monotonic() + ANSWERED_WITHIN
        while time.monotonic() < until:
            if self._ordinary(port):
                return True
            time.sleep(0.1)
        return False

    def lives(self):
        """Whether the target still runs."""
        return self.processes.running[self.target].poll() is None


def configuration_of(version, routes):
    """A configuration with so many routes."""
    return {
        "configVersion": version,
        "routes": [
            {
                "name": f"held{place}",
                "hostName": HTTP_HOST,
                "pathPrefix": f"/held{place or ''}/",
                "routeKind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 2000,
                "priority": 1,
                "serviceName": "held",
                "maxAttempts": 2,
                "stretch": 2.2,
                "comment": "x" * PADDING,
            }
            for place in range(routes)
        ],
        "services": [{"name": "held", "guards": True}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": ALLOWED_BODY,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def play(deployment, port, behaviour):
    """Plays a crowd at a port of the target; returns a Played."""
    target = deployment.target
    peaks = Peaks(deployment.processes.running[target], deployment.processes.addresses[target])
    crowd = Crowd(deployment.processes.address(target, port), behaviour)
    crowd.come()
    wait_until_settled(crowd)
    beside = deployment.answered(port)
    crowd.leave()
    afterwards = deployment.answered(port)
    peaks.stop()
    return Played(deployment.lives(), peaks.memory, peaks.descriptors, beside, afterwards)


def wait_until_settled(crowd):
    """Returns once a crowd has sent what it will, but not before STAYS."""
    begun = time.monotonic()
    while time.monotonic() < begun + STAYS or (
        not crowd.settled() and time.monotonic() < begun + SETTLES_WITHIN
    ):
        time.sleep(SAMPLE_EVERY)


class Played(NamedTuple):
    """What a crowd led to."""

    lives: bool
    memory: int  # bytes; the peak
    descriptors: int  # the peak
    answered_beside: bool
    answered_afterwards: bool


class Peaks:
    """Watches a process: the most bytes of memory, with those that have arrived and are unread, and the most
    open descriptors.
    """

    def __init__(self, process, host):
        self.folder = pathlib.Path("/proc") / str(process.pid)
        self.local = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
        self.memory = self.descriptors = 0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self):
        """Ends watching."""
        self.done.set()
        self.thread.join()

    def _run(self):
        while not self.done.wait(SAMPLE_EVERY):
            try:
                self.memory = max(self.memory, self._resident() + self._unread())
                self.descriptors = max(self.descriptors, len(list((self.folder / "fd").iterdir())))
            except (OSError, ValueError):
                return  # the process has ended

    def _resident(self):
        lines = (self.folder / "status").read_text().splitlines()
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmRSS:"))

    def _unread(self):
        """Bytes that wait in the receive queues of the sockets of the process's address."""
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].startswith(self.local) and fields[3] != "0A":  # listening sockets count connections
                unread += int(fields[4].partition(":")[2], 16)
        return unread
