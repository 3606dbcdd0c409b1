"""The archive: finished pushed jobs in immutable segments, which every control daemon seals identically.

A segment is written once and identified by its number. The image of the cluster state only lists the
segments that it refers to, so the cost of a snapshot depends on what changed, not on the archive's size.
"""

import array
import collections
import hashlib
import zlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import cbor2
import immutables

from ..common import constants
from ..common.canonical import sorted_by_key
from ..model.pushed_job import PushedJob


def hash_of(key: str) -> int:
    """The 64-bit hash under which the archive indexes a client's key."""
    return int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big")


class SegmentSummary(NamedTuple):
    """The entry of a segment in the image. The order of the fields is part of the stored format."""

    number: int
    jobs: int  # number of jobs in the segment
    last_ended: float  # when the last of them ended, in seconds of the cluster's clock
    states: dict[str, int]  # final state -> number of jobs that ended in it


class Archive:
    """The segments that the cluster state refers to.

    Invariants: summaries lists the current segments in the order of their numbers, and segments has
    the bytes of each; retired has those that were pruned but that the newest snapshot base refers to,
    so that followers may still request them. segment_of_job[number of a job - first_job] is the
    number of the segment that contains the job, or 0 if none does; keys maps the hash of a client's
    key to the number of a segment; count and states cover all jobs in the current segments.
    """

    def __init__(
        self, summaries: Iterable[Iterable[Any]] = (), segments: dict[int, bytes] | None = None
    ) -> None:
        self.summaries: collections.deque[SegmentSummary] = collections.deque()
        self.segments: dict[int, bytes] = {}
        self.retired: dict[int, bytes] = {}
        self.segment_of_job = array.array("L")
        self.first_job = 1
        self.keys: dict[int, int] = {}
        self.count = 0
        self.states: collections.Counter[str] = collections.Counter()
        self._last_retired = 0  # number of the newest retired segment
        # (segment number, chunk) -> images of its jobs; a cache of the recently read chunks
        self._chunk_cache: collections.OrderedDict[tuple[int, int], list[list[Any]]] = (
            collections.OrderedDict()
        )
        for fields in summaries:
            summary = SegmentSummary._make(fields)
            self._add_segment(summary, (segments or {})[summary.number])

    def image(self) -> tuple[SegmentSummary, ...]:
        """A value that later changes of the archive do not affect."""
        return tuple(self.summaries)

    def segment_range(self) -> tuple[int, int]:
        """(first, last) numbers of the segments that the image refers to; (1, 0) if there are none."""
        if not self.summaries:
            return (1, 0)
        return (self.summaries[0].number, self.summaries[-1].number)

    def seal(self, jobs: list[PushedJob], time: float) -> tuple[int, bytes]:
        """Writes finished jobs, the last of which ended at `time`, into the next segment.

        Returns (its number, its bytes). The segment omits the `work` of the tasks.
        """
        number = self.sealed + 1
        stored_jobs = [
            job._replace(tasks={name: task._replace(work=None) for name, task in job.tasks.items()})
            for job in jobs
        ]
        chunks = [
            zlib.compress(
                cbor2.dumps([plain_job(job) for job in stored_jobs[start : start + constants.SEGMENT_CHUNK]]),
                constants.SEGMENT_PRESS,
            )
            for start in range(0, len(stored_jobs), constants.SEGMENT_CHUNK)
        ]
        data = cbor2.dumps(
            [
                [int(finished_job.identity[1:]) for finished_job in jobs],
                b"".join(hash_of(finished_job.key).to_bytes(8, "big") for finished_job in jobs),
                constants.SEGMENT_CHUNK,
                chunks,
            ]
        )
        states = collections.Counter(finished_job.state for finished_job in jobs)
        self._add_segment(SegmentSummary(number, len(jobs), time, dict(states)), data)
        return number, data

    @property
    def sealed(self) -> int:
        """The number of segments ever sealed, which is the number of the newest one."""
        return self.summaries[-1].number if self.summaries else self._last_retired

    def _add_segment(self, summary: SegmentSummary, data: bytes) -> None:
        """Appends a segment as the newest one and indexes its jobs and keys."""
        self.summaries.append(summary)
        self.segments[summary.number] = data
        self.count += summary.jobs
        self.states.update(summary.states)
        job_numbers, hashes, _, _ = cbor2.loads(data)
        self._extend_job_index(job_numbers)
        for job_number in job_numbers:
            self.segment_of_job[job_number - self.first_job] = summary.number
        for key_hash in _hashes(hashes):
            self.keys[key_hash] = summary.number

    def _extend_job_index(self, job_numbers: list[int]) -> None:
        """Extends segment_of_job at both ends so that it covers these jobs."""
        if not self.segment_of_job:
            self.first_job = min(job_numbers)
        lowest = min(job_numbers)
        if lowest < self.first_job:
            self.segment_of_job = (
                array.array("L", bytes(self.segment_of_job.itemsize * (self.first_job - lowest)))
                + self.segment_of_job
            )
            self.first_job = lowest
        missing = max(job_numbers) + 1 - self.first_job - len(self.segment_of_job)
        if missing > 0:
            self.segment_of_job.frombytes(bytes(self.segment_of_job.itemsize * missing))

    def prune(self, before: float) -> None:
        """Retires the oldest segments whose jobs all ended before `before`.

        At least FINISHED_KEPT jobs stay in the archive.
        """
        while (
            self.summaries
            and self.summaries[0].last_ended < before
            and self.count - self.summaries[0].jobs >= constants.FINISHED_KEPT
        ):
            self._retire_oldest()
        unused = next(
            (position for position, number in enumerate(self.segment_of_job) if number),
            len(self.segment_of_job),
        )
        del self.segment_of_job[:unused]
        self.first_job += unused

    def _retire_oldest(self) -> None:
        """Removes the oldest segment from the index and retains its bytes in `retired`."""
        number, count, _, states = self.summaries.popleft()
        self._last_retired = max(self._last_retired, number)
        data = self.retired[number] = self.segments.pop(number)
        self.count -= count
        self.states.subtract(states)
        job_numbers, hashes, _, _ = cbor2.loads(data)
        for job_number in job_numbers:
            self.segment_of_job[job_number - self.first_job] = 0
        for key_hash in _hashes(hashes):
            if self.keys.get(key_hash) == number:
                del self.keys[key_hash]

    def forget_retired(self, before: int) -> None:
        """Forgets the retired segments below a number, which no snapshot base refers to any more."""
        for number in [retired_number for retired_number in self.retired if retired_number < before]:
            del self.retired[number]

    def segment(self, number: int) -> bytes | None:
        """The bytes of a current or retired segment, or None."""
        return self.segments.get(number) or self.retired.get(number)

    def _read_chunk(self, number: int, position: int) -> list[list[Any]]:
        """The job images of the chunk that contains the job at this position of a segment."""
        key = (number, position // constants.SEGMENT_CHUNK)
        if key in self._chunk_cache:
            self._chunk_cache.move_to_end(key)
        else:
            _, _, chunk_size, chunks = cbor2.loads(self.segments[number])
            key = (number, position // chunk_size)
            self._chunk_cache[key] = cbor2.loads(zlib.decompress(chunks[position // chunk_size]))
            if len(self._chunk_cache) > constants.CHUNKS_OPEN:
                self._chunk_cache.popitem(last=False)
        return self._chunk_cache[key]

    def read(self, identity: str) -> list[Any] | None:
        """The image of an archived job, or None."""
        if not (identity.startswith("t") and identity[1:].isdecimal() and len(identity) < 20):
            return None
        offset = int(identity[1:]) - self.first_job
        number = self.segment_of_job[offset] if 0 <= offset < len(self.segment_of_job) else 0
        if not number:
            return None
        position = cbor2.loads(self.segments[number])[0].index(int(identity[1:]))
        return next(image for image in self._read_chunk(number, position) if image[0] == identity)

    def find_by_key(self, key: str) -> list[Any] | None:
        """The image of the archived job that was submitted with a client's key, or None."""
        wanted = hash_of(key)
        number = self.keys.get(wanted)
        if number is None:
            return None
        hashes = cbor2.loads(self.segments[number])[1]
        for position, key_hash in enumerate(_hashes(hashes)):
            if key_hash == wanted:
                return next((image for image in self._read_chunk(number, position) if image[1] == key), None)
        return None


def _hashes(data: bytes) -> Iterator[int]:
    """The key hashes of a segment, in the order of its jobs."""
    for start in range(0, len(data), 8):
        yield int.from_bytes(data[start : start + 8], "big")


def plain_job(job: PushedJob) -> list[Any]:
    """A job as a list of plain values, which every replica encodes to the same bytes."""
    return [sorted_by_key(value) if isinstance(value, immutables.Map) else value for value in job]
