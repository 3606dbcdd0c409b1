"""The task that owns a daemon's data folder and writes what must be durable, in order."""

import collections
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from ..common import constants
from ..common.effects import EncodeSnapshot, SaveChange, WriteBase, WriteSegment
from ..storage.store import Store


class MembershipWrite(NamedTuple):
    """The payload of a WriteNote effect, to be written; `done` is set once it is durable."""

    done: Any  # a curio.Event
    payload: Any


Job = SaveChange | WriteBase | WriteSegment | EncodeSnapshot | MembershipWrite


class DiskTask:
    """Owns the store. Invariants: saves and membership writes become durable in the order they were added,
    and those that are queued together are written to one file; segments and bases are written concurrently
    with them, in the order they were added.
    """

    def __init__(self, store: Store | None, inbox: Any, encode: Callable[[Any], Any]) -> None:
        self.store = store
        self.inbox = inbox
        self.encode = encode  # encodes an image
        self.jobs: collections.deque[Job] = collections.deque()
        self.jobs_ready = curio.Event()
        self.background = curio.Queue()

    async def add(self, job: Job) -> None:
        """Appends a job to the queue."""
        self.jobs.append(job)
        await self.jobs_ready.set()

    def busy(self) -> bool:
        """Whether any job is queued."""
        return bool(self.jobs) or not self.background.empty()

    async def run(self) -> None:
        """Processes the jobs in order; never returns."""
        while True:
            await self.jobs_ready.wait()
            if not self.jobs:
                self.jobs_ready.clear()
                continue
            job = self.jobs.popleft()
            await JOB_HANDLERS[type(job)](self, job)

    async def run_background(self) -> None:
        """Writes segments and bases; never returns."""
        while True:
            write, *arguments = await self.background.get()
            await self._durable(write, *arguments)
            await self.background.task_done()

    async def _snapshot(self, job: EncodeSnapshot) -> None:
        await curio.spawn(self._encode, job, daemon=True)

    async def _encode(self, job: EncodeSnapshot) -> None:
        data = await curio.run_in_thread(self.encode, job.image)
        await self.inbox.put(("encoded", job.applied_index, data))

    async def _segment(self, job: WriteSegment) -> None:
        assert self.store is not None
        await self.background.put((self.store.write_segment, job.number, job.data))

    async def _base(self, job: WriteBase) -> None:
        assert self.store is not None
        await self.background.put((self.store.write_base, job.payload, self.store.version))
        if job.sequence is not None:
            await self.background.join()
            await self.inbox.put(("saved", job.sequence))

    async def _steps(self, first: SaveChange | MembershipWrite) -> None:
        """Writes a save or membership write, with all that directly follow it in the queue, to one file."""
        assert self.store is not None
        batch = [first]
        while self.jobs and isinstance(following := self.jobs[0], (SaveChange, MembershipWrite)):
            self.jobs.popleft()
            batch.append(following)
        await self._durable(self.store.write_step, [_record_of(job) for job in batch])
        sequences = [job.sequence for job in batch if isinstance(job, SaveChange)]
        if sequences:
            await self.inbox.put(("saved", max(sequences)))
        for job in batch:
            if isinstance(job, MembershipWrite):
                await job.done.set()

    async def _durable(self, write: Callable[..., None], *arguments: Any) -> None:
        """Retries a write until it succeeds; notifies the daemon when the disk fails and recovers."""
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


def _record_of(job: SaveChange | MembershipWrite) -> list[Any]:
    """The record of a save or membership write in a file."""
    return ["note", job.payload] if isinstance(job, MembershipWrite) else ["raft", job.change]


# The registry of jobs: type -> the method that processes it.
JOB_HANDLERS: dict[type, Callable[..., Any]] = {
    SaveChange: DiskTask._steps,
    MembershipWrite: DiskTask._steps,
    EncodeSnapshot: DiskTask._snapshot,
    WriteSegment: DiskTask._segment,
    WriteBase: DiskTask._base,
}
