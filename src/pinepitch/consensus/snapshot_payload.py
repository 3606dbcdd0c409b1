"""What is sent of a snapshot: the cbor of [image, [first, last], {number: segment}].

The bytes are never put together at either side beside their parts: the leader cuts chunks out of the image
and the segments that it holds anyway, the follower decodes from the buffer that it received into.
"""

import bisect
import io
from collections.abc import Mapping
from typing import NamedTuple

import cbor2

BYTE_STRING = 2  # major types of cbor
ARRAY = 4
MAP = 5
PARTS_OF_PAYLOAD = 3


class SnapshotParts(NamedTuple):
    """A snapshot as it was received."""

    image: bytes
    segments_span: tuple[int, int]  # (first, last) of the archive's segments that the image stands on
    segments: dict[int, bytes]  # those that were sent along


class SnapshotPayload:
    """The payload of a snapshot, by its parts. Invariants: starts[i] is the offset of parts[i]; equal
    payloads have equal parts.
    """

    def __init__(self, image: bytes, segments_span: tuple[int, int], segments: Mapping[int, bytes]) -> None:
        parts = [_cbor_header(ARRAY, PARTS_OF_PAYLOAD), _cbor_header(BYTE_STRING, len(image)), image]
        parts += [cbor2.dumps(list(segments_span)), _cbor_header(MAP, len(segments))]
        for number, data in segments.items():
            parts += [cbor2.dumps(number), _cbor_header(BYTE_STRING, len(data)), data]
        self.parts = tuple(parts)
        self.starts: list[int] = []
        self.size = 0
        for part in self.parts:
            self.starts.append(self.size)
            self.size += len(part)

    def __len__(self) -> int:
        return self.size

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SnapshotPayload) and self.parts == other.parts

    def __hash__(self) -> int:
        return hash(self.parts)

    def chunk(self, offset: int, max_bytes: int) -> bytes:
        """At most so many bytes from an offset on."""
        end = min(self.size, offset + max_bytes)
        slices = []
        position = bisect.bisect_right(self.starts, offset) - 1
        while offset < end:
            start = self.starts[position]
            part = self.parts[position][offset - start : end - start]
            slices.append(part)
            offset += len(part)
            position += 1
        return b"".join(slices)


class ReceivedPayload:
    """The payload of a snapshot as far as it was received."""

    def __init__(self) -> None:
        self.buffer = io.BytesIO()

    def __len__(self) -> int:
        return self.buffer.seek(0, io.SEEK_END)

    def clear(self) -> None:
        """Forgets all."""
        self.buffer = io.BytesIO()

    def add(self, chunk: bytes) -> None:
        """Takes the chunk that follows."""
        self.buffer.seek(0, io.SEEK_END)
        self.buffer.write(chunk)

    def copy(self) -> "ReceivedPayload":
        """The same, for one to go on from apart."""
        duplicate = ReceivedPayload()
        duplicate.buffer.write(self.buffer.getvalue())
        return duplicate

    def parts(self) -> SnapshotParts:
        """The snapshot, once all of it was received."""
        self.buffer.seek(0)
        image, span, segments = cbor2.CBORDecoder(self.buffer).decode()
        first, last = span
        return SnapshotParts(image, (first, last), segments)


def _cbor_header(major_type: int, length: int) -> bytes:
    """How a value of that type and length begins."""
    buffer = io.BytesIO()
    cbor2.CBOREncoder(buffer).encode_length(major_type, length)
    return buffer.getvalue()
