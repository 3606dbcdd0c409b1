"""The disk of a simulated control daemon: a real store on a simulated folder."""

import collections

import cbor2

from ...consensus.log import packed_step
from ...storage.store import Damaged, Store
from ..machines import Disk
from .folder import PowerLostError, SimulatedFolder

CALLS_OF_A_WRITE = 4  # content, its sync, the name, the folder's sync
WRITE_OUTCOMES = 3  # of a write in progress at a stop: not begun, complete, or interrupted between calls


class FileDisk(Disk):
    """A Disk that stores its state in files. Invariants: `pending` holds the segments that a daemon
    wants written, in order, before the next base; `damages` holds the reason of each load that found
    a damaged folder.
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.folder = SimulatedFolder()
        self.folder.rng = rng
        self.store = Store("simulated", self.folder)
        self.pending = collections.deque()
        self.base_version = 0  # version of the newest base
        self.damages = []

    @property
    def steps(self):
        """A range as long as the number of steps after the newest base."""
        return range(self.store.version - self.base_version)

    @steps.setter
    def steps(self, value):
        """Ignores the value: the store holds the steps."""

    def add_segment(self, number, data):
        """Queues a segment to be written before the next base; False if its content has changed."""
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
        """Writes the pending segments."""
        while self.pending:
            self.store.write_segment(*self.pending[0])
            self.pending.popleft()

    def fail_write(self):
        """Fails the current write for lack of space, after some of its bytes."""
        job = self.in_progress or self.beside
        if job is None:
            return
        self.folder.free_bytes = self.rng.randrange(64)
        try:
            self.keep(job[0])
        except OSError:
            pass
        else:
            raise AssertionError("a write to a full disk raised no error")
        finally:
            self.folder.free_bytes = None

    def stop(self, power):
        """Ends the process, by a kill or a loss of power, while its writes are in progress."""
        jobs = [
            write[0]
            for write in {id(write): write for write in (self.beside, self.in_progress) if write}.values()
        ]
        self.rng.shuffle(jobs)
        for job in jobs:
            outcome = self.rng.randrange(WRITE_OUTCOMES)
            if outcome == 0:
                continue
            self.folder.calls_until_power_loss = (
                None if outcome == 1 else self.rng.randrange(CALLS_OF_A_WRITE)
            )
            try:
                self.keep(job)
            except PowerLostError:
                break
            finally:
                self.folder.calls_until_power_loss = None
        if power:
            self.folder.lose_power()
        self.jobs.clear()
        self.pending.clear()
        self.in_progress = self.beside = None

    def load(self):
        """Returns what a daemon reads at its start, as `control.startup.open_store` does."""
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
