"""The archive: finished pushed jobs in immutable segments, sealed alike by every control daemon.

A segment is written once and named by its number; the image of the cluster state tells only which
segments it stands on, so a snapshot costs what changed.
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
    """Sixty-four bits that stand for a key in the index."""
    return int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big")


class Line(NamedTuple):
    """A segment, as the image tells it. The order of the fields is that of stored data."""

    number: int
    jobs: int  # how many are in it
    ended: float  # when the newest of them ended, in seconds of the cluster's clock
    states: dict[str, int]  # how many of them ended in which state


class Archive:
    """The segments that the cluster state stands on.

    Invariants: segments has every one from the first of lines to the last, and `retired` those
    that went and that the newest snapshot base stands on, which may still be asked for;
    place[number of a job - place_from] is the number of the segment that holds the job, 0 for
    none; keys maps the hash of a client's key to a segment; count and states are of all jobs in
    the segments.
    """

    def __init__(self, lines: Iterable[Iterable[Any]] = (), segments: dict[int, bytes] | None = None) -> None:
        self.lines: collections.deque[Line] = collections.deque()
        self.segments: dict[int, bytes] = {}
        self.retired: dict[int, bytes] = {}
        self.place = array.array("L")
        self.place_from = 1
        self.keys: dict[int, int] = {}
        self.count = 0
        self.states: collections.Counter[str] = collections.Counter()
        self._last = 0  # number of the newest segment that has gone
        # (number, chunk) -> images of jobs, those read of late
        self._opened: collections.OrderedDict[tuple[int, int], list[list[Any]]] = collections.OrderedDict()
        for one in lines:
            line = Line._make(one)
            self._index(line, (segments or {})[line.number])

    def image(self) -> tuple[Line, ...]:
        """A value that later changes leave alone."""
        return tuple(self.lines)

    def range(self) -> tuple[int, int]:
        """(first, last) numbers of what the image stands on; first is last + 1 when empty."""
        if not self.lines:
            return (1, 0)
        return (self.lines[0].number, self.lines[-1].number)

    def seal(self, jobs: list[PushedJob], time: float) -> tuple[int, bytes]:
        """Takes finished jobs, the newest of which ended at `time`, into the next segment;
        (its number, its bytes). What they had as work is left out.
        """
        number = self.sealed + 1
        plain = [
            job._replace(tasks={name: task._replace(work=None) for name, task in job.tasks.items()})
            for job in jobs
        ]
        chunks = [
            zlib.compress(
                cbor2.dumps([plain_job(job) for job in plain[place : place + constants.SEGMENT_CHUNK]]),
                constants.SEGMENT_PRESS,
            )
            for place in range(0, len(plain), constants.SEGMENT_CHUNK)
        ]
        data = cbor2.dumps(
            [
                [int(one.identity[1:]) for one in jobs],
                b"".join(hash_of(one.key).to_bytes(8, "big") for one in jobs),
                constants.SEGMENT_CHUNK,
                chunks,
            ]
        )
        states = collections.Counter(one.state for one in jobs)
        self._index(Line(number, len(jobs), time, dict(states)), data)
        return number, data

    @property
    def sealed(self) -> int:
        """How many segments were ever sealed."""
        return self.lines[-1].number if self.lines else self._last

    def _index(self, line: Line, data: bytes) -> None:
        """Makes a segment the newest one held."""
        self.lines.append(line)
        self.segments[line.number] = data
        self.count += line.jobs
        self.states.update(line.states)
        numbers, hashes, _, _ = cbor2.loads(data)
        self._extend_place(numbers)
        for one in numbers:
            self.place[one - self.place_from] = line.number
        for found in _hashes(hashes):
            self.keys[found] = line.number

    def _extend_place(self, numbers: list[int]) -> None:
        """Makes room in the index of places for these jobs."""
        if not self.place:
            self.place_from = min(numbers)
        lowest = min(numbers)
        if lowest < self.place_from:
            self.place = (
                array.array("L", bytes(self.place.itemsize * (self.place_from - lowest))) + self.place
            )
            self.place_from = lowest
        more = max(numbers) + 1 - self.place_from - len(self.place)
        if more > 0:
            self.place.frombytes(bytes(self.place.itemsize * more))

    def prune(self, before: float) -> None:
        """Lets go of the oldest segments whose jobs all ended before `before`, down to
        FINISHED_KEPT jobs.
        """
        while (
            self.lines
            and self.lines[0].ended < before
            and self.count - self.lines[0].jobs >= constants.FINISHED_KEPT
        ):
            self._retire_oldest()
        first = next((at for at, number in enumerate(self.place) if number), len(self.place))
        del self.place[:first]
        self.place_from += first

    def _retire_oldest(self) -> None:
        """The oldest segment is no longer held."""
        number, count, _, states = self.lines.popleft()
        self._last = max(self._last, number)
        data = self.retired[number] = self.segments.pop(number)
        self.count -= count
        self.states.subtract(states)
        numbers, hashes, _, _ = cbor2.loads(data)
        for one in numbers:
            self.place[one - self.place_from] = 0
        for found in _hashes(hashes):
            if self.keys.get(found) == number:
                del self.keys[found]

    def forget_retired(self, before: int) -> None:
        """Forgets the segments that went and that no base stands on any more, those before a number."""
        for number in [one for one in self.retired if one < before]:
            del self.retired[number]

    def segment(self, number: int) -> bytes | None:
        """The bytes of a segment held or retired, or None."""
        return self.segments.get(number) or self.retired.get(number)

    def _open(self, number: int, at: int) -> list[list[Any]]:
        """The images of the chunk of a segment that holds its job at place `at`."""
        key = (number, at // constants.SEGMENT_CHUNK)
        if key in self._opened:
            self._opened.move_to_end(key)
        else:
            _, _, size, chunks = cbor2.loads(self.segments[number])
            key = (number, at // size)
            self._opened[key] = cbor2.loads(zlib.decompress(chunks[at // size]))
            if len(self._opened) > constants.CHUNKS_OPEN:
                self._opened.popitem(last=False)
        return self._opened[key]

    def read(self, identity: str) -> list[Any] | None:
        """The image of an archived job, or None."""
        if not (identity.startswith("t") and identity[1:].isdecimal() and len(identity) < 20):
            return None
        place = int(identity[1:]) - self.place_from
        number = self.place[place] if 0 <= place < len(self.place) else 0
        if not number:
            return None
        at = cbor2.loads(self.segments[number])[0].index(int(identity[1:]))
        return next(image for image in self._open(number, at) if image[0] == identity)

    def known(self, key: str) -> list[Any] | None:
        """The image of the archived job that came with a client's key, or None."""
        wanted = hash_of(key)
        number = self.keys.get(wanted)
        if number is None:
            return None
        hashes = cbor2.loads(self.segments[number])[1]
        for at, found in enumerate(_hashes(hashes)):
            if found == wanted:
                return next((image for image in self._open(number, at) if image[1] == key), None)
        return None


def _hashes(data: bytes) -> Iterator[int]:
    """The hashes of keys in a segment, in the order of its jobs."""
    for start in range(0, len(data), 8):
        yield int.from_bytes(data[start : start + 8], "big")


def plain_job(job: PushedJob) -> list[Any]:
    """A job as plain values, which every replica encodes to the same bytes."""
    return [sorted_by_key(value) if isinstance(value, immutables.Map) else value for value in job]
