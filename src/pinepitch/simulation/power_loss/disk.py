"""The disk of a simulated control daemon that is a real store on a simulated folder."""

import collections

import cbor2

from ...consensus.log import packed_step
from ...storage.store import Damaged, Store
from ..machines import Disk
from .folder import PowerLostError, SimulatedFolder

CALLS_OF_A_WRITE = 4  # content, its sync, the name, the folder's sync
PARTS = 3  # a write under way as the power goes: not begun, done, or cut between two of its calls


class FileDisk(Disk):
    """As Disk, by files. Invariants: what is `pending` are segments that a daemon wants written, in
    order, before the next base; `damages` tells each load that found what it can't trust.
    """

    def __init__(self, draw):
        super().__init__()
        self.draw = draw
        self.folder = SimulatedFolder()
        self.folder.draw = draw
        self.store = Store("simulated", self.folder)
        self.pending = collections.deque()
        self.base_version = 0  # of the newest base
        self.damages = []

    @property
    def steps(self):
        """As many places as there are steps behind the newest base."""
        return range(self.store.version - self.base_version)

    @steps.setter
    def steps(self, value):
        """Steps are kept by the store."""

    def add_segment(self, number, data):
        """Has a segment written before the next base."""
        if self.segments.setdefault(number, data) == data:
            self.pending.append((number, data))
            return True
        return False

    def keep(self, job):
        """Makes a job durable."""
        self.syncs += 1
        kind, content = job
        payload = cbor2.loads(content)
        if kind == "base":
            version = self.base_version + self.covers
            self.write_segments()
            self.store.write_base(payload, version)
            self.base_version = version
        else:
            self.store.write_step(payload)

    def write_segments(self):
        """Writes the segments that wait."""
        while self.pending:
            self.store.write_segment(*self.pending[0])
            self.pending.popleft()

    def fill(self):
        """A write that fails for lack of space, after some of its bytes."""
        job = self.in_progress or self.beside
        if job is None:
            return
        self.folder.free = self.draw.randrange(64)
        try:
            self.keep(job[0])
        except OSError:
            pass
        else:
            raise AssertionError("a full disk went unnoticed")
        finally:
            self.folder.free = None

    def stop(self, power):
        """The process ends, by a kill or a loss of power, in the midst of what it writes."""
        jobs = [one[0] for one in {id(one): one for one in (self.beside, self.in_progress) if one}.values()]
        self.draw.shuffle(jobs)
        for job in jobs:
            part = self.draw.randrange(PARTS)
            if part == 0:
                continue
            self.folder.calls_left = None if part == 1 else self.draw.randrange(CALLS_OF_A_WRITE)
            try:
                self.keep(job)
            except PowerLostError:
                break
            finally:
                self.folder.calls_left = None
        if power:
            self.folder.lose_power()
        self.jobs.clear()
        self.pending.clear()
        self.in_progress = self.beside = None

    def load(self):
        """What a daemon reads at its start, as `control.startup.open_store` has it."""
        self.store = Store("simulated", self.folder)
        loaded = self.store.load(packed_step)
        self.pending.clear()
        if isinstance(loaded, Damaged):
            self.damages.append(loaded.reason)
            self.store.wipe()
            self.base_version = 0
            self.segments = {}
            return None, [], {}
        self.base_version = self.store.version - len(loaded.steps)
        self.segments = dict(loaded.segments)
        return loaded.base, loaded.steps, loaded.segments
