"""The task that owns a daemon's data folder: what a decider wants durable, in order."""

import collections
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from ..common import constants
from ..common.effects import EncodeSnapshot, SaveChange, WriteBase, WriteSegment
from ..storage.store import Store


class Note(NamedTuple):
    """A note to be written; `done` is set once it is durable."""

    done: Any  # a curio.Event
    payload: Any


Job = SaveChange | WriteBase | WriteSegment | EncodeSnapshot | Note


class DiskTask:
    """Owns the store. Invariants: saves and notes become durable in the order they came, as many of
    them in one file as wait; segments and bases are written beside them, in an order of their own.
    """

    def __init__(self, store: Store | None, inbox: Any, encode: Callable[[Any], Any]) -> None:
        self.store = store
        self.inbox = inbox
        self.encode = encode  # image -> its encoded form
        self.jobs: collections.deque[Job] = collections.deque()
        self.filled = curio.Event()
        self.beside = curio.Queue()

    async def add(self, job: Job) -> None:
        """Puts a job behind those that wait."""
        self.jobs.append(job)
        await self.filled.set()

    def busy(self) -> bool:
        """Whether a job waits."""
        return bool(self.jobs) or not self.beside.empty()

    async def run(self) -> None:
        """Does the jobs in order; never returns."""
        while True:
            await self.filled.wait()
            if not self.jobs:
                self.filled.clear()
                continue
            job = self.jobs.popleft()
            await DO[type(job)](self, job)

    async def run_beside(self) -> None:
        """Writes segments and bases; never returns."""
        while True:
            write, *arguments = await self.beside.get()
            await self._durable(write, *arguments)
            await self.beside.task_done()

    async def _snapshot(self, job: EncodeSnapshot) -> None:
        await curio.spawn(self._encode, job, daemon=True)

    async def _encode(self, job: EncodeSnapshot) -> None:
        data = await curio.run_in_thread(self.encode, job.image)
        await self.inbox.put(("encoded", job.applied_index, data))

    async def _segment(self, job: WriteSegment) -> None:
        assert self.store is not None
        await self.beside.put((self.store.write_segment, job.number, job.data))

    async def _base(self, job: WriteBase) -> None:
        assert self.store is not None
        await self.beside.put((self.store.write_base, job.payload, self.store.version))
        if job.sequence is not None:
            await self.beside.join()
            await self.inbox.put(("saved", job.sequence))

    async def _steps(self, first: SaveChange | Note) -> None:
        """Writes a save or note, with all that follow it, as one file."""
        assert self.store is not None
        batch = [first]
        while self.jobs and isinstance(following := self.jobs[0], (SaveChange, Note)):
            self.jobs.popleft()
            batch.append(following)
        await self._durable(self.store.write_step, [_written(job) for job in batch])
        sequences = [job.sequence for job in batch if isinstance(job, SaveChange)]
        if sequences:
            await self.inbox.put(("saved", max(sequences)))
        for job in batch:
            if isinstance(job, Note):
                await job.done.set()

    async def _durable(self, write: Callable[..., None], *arguments: Any) -> None:
        """Writes until it is done; the decider hears when the disk fails and works again."""
        failed = False
        while True:
            try:
                await curio.run_in_thread(write, *arguments)
                break
            except OSError as fault:
                if not failed:
                    await self.inbox.put(("disk", str(fault)))
                failed = True
                await curio.sleep(constants.DISK_AGAIN)
        if failed:
            await self.inbox.put(("disk", None))


def _written(job: SaveChange | Note) -> list[Any]:
    """What a file holds of a save or note."""
    return ["note", job.payload] if isinstance(job, Note) else ["raft", job.change]


# The registry of jobs: type -> how it is done.
DO: dict[type, Callable[..., Any]] = {
    SaveChange: DiskTask._steps,
    Note: DiskTask._steps,
    EncodeSnapshot: DiskTask._snapshot,
    WriteSegment: DiskTask._segment,
    WriteBase: DiskTask._base,
}
