"""The archive: finished tickets in immutable segments, sealed alike by every accord.

A segment is written once and named by its number; the record's image tells only which
segments it stands on, so a snapshot costs what changed.
"""

import array
import collections
import hashlib
import zlib

import cbor2
import immutables

from ..common import constants


def hash_of(key):
    """Sixty-four bits that stand for a key in the index."""
    return int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big")


class Archive:
    """Invariants: held has every segment from first to last, and `retired` those that went
    since the newest base, which may still be asked for; lines has (number, tickets,
    when its newest ended, states) of each held one; place[identity - from] is the number of
    the segment that holds a ticket, 0 for none; keys maps the hash of a key to a segment."""

    def __init__(self, lines=(), segments=None):
        self.lines = collections.deque()
        self.segments, self.retired = {}, {}
        self.place, self.place_from = array.array("L"), 1
        self.keys = {}
        self.count = 0
        self.states = collections.Counter()
        self._opened = collections.OrderedDict()  # (number, chunk) -> tickets read of late
        for line in lines:
            number = line[0]
            self._index(tuple(line), segments[number])

    def image(self):
        return tuple(self.lines)

    def range(self):
        """(first, last) numbers of what the image stands on; first is last + 1 when empty."""
        if not self.lines:
            return (1, 0)
        return (self.lines[0][0], self.lines[-1][0])

    def seal(self, jobs, time):
        """Takes finished tickets into the next segment; (number, bytes)."""
        number = self.sealed + 1
        plain = [
            job._replace(tasks={name: task._replace(work=None) for name, task in job.tasks.items()})
            for job in jobs
        ]
        chunks = [
            zlib.compress(
                cbor2.dumps([_flat(job) for job in plain[place : place + constants.SEGMENT_CHUNK]]),
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
        self._index((number, len(jobs), time, dict(states)), data)
        return number, data

    @property
    def sealed(self):
        """How many segments were ever sealed."""
        return self.lines[-1][0] if self.lines else self._last

    _last = 0

    def _index(self, line, data):
        number, count, _, states = line
        self.lines.append(line)
        self.segments[number] = data
        self.count += count
        self.states.update(states)
        numbers, hashes, _, _ = cbor2.loads(data)
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
        for one in numbers:
            self.place[one - self.place_from] = number
        for place in range(count):
            self.keys[int.from_bytes(hashes[8 * place : 8 * place + 8], "big")] = number

    def prune(self, before):
        """Lets go of the oldest segments whose tickets all ended before `before`, down to
        FINISHED_KEPT tickets."""
        while (
            self.lines
            and self.lines[0][2] < before
            and self.count - self.lines[0][1] >= constants.FINISHED_KEPT
        ):
            number, count, _, states = self.lines.popleft()
            self._last = max(self._last, number)
            data = self.retired[number] = self.segments.pop(number)
            self.count -= count
            self.states.subtract(states)
            numbers, hashes, _, _ = cbor2.loads(data)
            for one in numbers:
                self.place[one - self.place_from] = 0
            for place in range(count):
                found = int.from_bytes(hashes[8 * place : 8 * place + 8], "big")
                if self.keys.get(found) == number:
                    del self.keys[found]
        first = next((at for at, number in enumerate(self.place) if number), len(self.place))
        del self.place[:first]
        self.place_from += first

    def segment(self, number):
        """The bytes of a segment held or retired, or None."""
        return self.segments.get(number) or self.retired.get(number)

    def _open(self, number, at):
        """The images of the chunk of a segment that holds its ticket at place `at`."""
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

    def read(self, identity):
        """The image of an archived ticket, or None."""
        if not (identity.startswith("t") and identity[1:].isdecimal() and len(identity) < 20):
            return None
        place = int(identity[1:]) - self.place_from
        number = self.place[place] if 0 <= place < len(self.place) else 0
        if not number:
            return None
        at = cbor2.loads(self.segments[number])[0].index(int(identity[1:]))
        return next(image for image in self._open(number, at) if image[0] == identity)

    def known(self, key):
        """The image of the archived ticket that came with a key, or None."""
        wanted = hash_of(key)
        number = self.keys.get(wanted)
        if number is None:
            return None
        hashes = cbor2.loads(self.segments[number])[1]
        for at in range(len(hashes) // 8):
            if int.from_bytes(hashes[8 * at : 8 * at + 8], "big") == wanted:
                return next((image for image in self._open(number, at) if image[1] == key), None)
        return None


def _flat(job):
    """A ticket as plain values."""
    return [dict(value) if isinstance(value, immutables.Map) else value for value in job]
