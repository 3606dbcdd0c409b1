"""The simulated machines: what a process is there, and a disk that outlives it."""

import collections
from typing import Any

import cbor2

from ..runtime import stall_detector

START = 1_000_000.0  # virtual seconds; any wall clock will do


class Disk:
    """A control daemon's data folder. Invariants: base and steps are what survives; jobs are not
    durable until done; one job (a batch of saves) is under way at a time, and beside it at
    most one base, which takes the place of the first `covers` steps. While full, nothing
    becomes durable, but for what a folder's failed sync leaves to chance.
    """

    def __init__(self):
        self.base, self.steps, self.segments = None, [], {}
        self.jobs = collections.deque()
        self.in_progress = self.beside = None
        self.covers = 0
        self.slow = 1.0
        self.stalled = self.full = self.failed = False
        self.syncs = 0

    def keep(self, job):
        """Makes a job durable."""
        self.syncs += 1
        kind, content = job
        if kind == "base":
            self.base, self.steps = content, self.steps[self.covers :]
        else:
            self.steps.append(content)

    def load(self):
        """What a daemon reads at its start: the snapshot base or None, the steps after it, the segments."""
        base = None if self.base is None else cbor2.loads(self.base)
        first, last = base[-1] if base else (1, 0)
        segments = {number: self.segments[number] for number in range(first, last + 1)}
        return base, [cbor2.loads(one) for one in self.steps], segments


class Node:
    """One simulated process. Invariants: a daemon's core is None while it is down, a
    worker's stays (its history goes on) and down says so; held keeps what
    came while it was frozen, in order; alive counts its incarnations, so that what was meant for
    an earlier incarnation is dropped; unwritten keeps what a step decided when the process was stopped
    before it carried that out.
    """

    def __init__(self, name, kind, zone, address):
        self.name, self.kind, self.zone, self.address = name, kind, zone, address
        self.core: Any = None  # the decider: a daemon of its kind or a stand-in worker
        self.make = None  # the kind of daemon, where it is not the fleet's
        self.incarnation = 0
        self.frozen = self.down = False
        self.deferred_messages, self.unwritten = [], []
        self.stops_at = None  # says of each effect whether the process is stopped just before it
        self.stall_detector = stall_detector.StallDetector()
        self.skew = 0.0
        self.disk: Any = Disk() if kind == "accord" else None  # a Disk, where it is of a control daemon
