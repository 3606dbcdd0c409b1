"""The payload of a snapshot on the wire: the CBOR encoding of [image, [first, last], {number: segment}].

Neither side makes a second copy of the payload. The leader cuts chunks out of the image and the segments that
it has in memory anyway, and the follower decodes the payload from its receive buffer.
"""

import bisect
import io
from collections.abc import Mapping
from typing import NamedTuple

import cbor2

BYTE_STRING = 2  # major types of CBOR
ARRAY = 4
MAP = 5
PARTS_OF_PAYLOAD = 3


class SnapshotParts(NamedTuple):
    """A received snapshot."""

    image: bytes
    segments_span: tuple[int, int]  # (first, last) archive segments that the image needs
    segments: dict[int, bytes]  # the segments that were sent with the image


class SnapshotPayload:
    """The payload of a snapshot, as a sequence of parts.

    Invariants: starts[i] is the offset of parts[i] in bytes; equal payloads have equal parts.
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
        """At most `max_bytes` bytes of the payload, from `offset` on."""
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
    """The part of a snapshot's payload that was received so far."""

    def __init__(self) -> None:
        self.buffer = io.BytesIO()

    def __len__(self) -> int:
        return self.buffer.seek(0, io.SEEK_END)

    def clear(self) -> None:
        """Discards all received bytes."""
        self.buffer = io.BytesIO()

    def add(self, chunk: bytes) -> None:
        """Appends the next chunk."""
        self.buffer.seek(0, io.SEEK_END)
        self.buffer.write(chunk)

    def copy(self) -> "ReceivedPayload":
        """An independent copy."""
        duplicate = ReceivedPayload()
        duplicate.buffer.write(self.buffer.getvalue())
        return duplicate

    def parts(self) -> SnapshotParts:
        """The decoded snapshot; the payload must be complete."""
        self.buffer.seek(0)
        image, span, segments = cbor2.CBORDecoder(self.buffer).decode()
        first, last = span
        return SnapshotParts(image, (first, last), segments)


def _cbor_header(major_type: int, length: int) -> bytes:
    """The CBOR header of a value of that type and length."""
    buffer = io.BytesIO()
    cbor2.CBOREncoder(buffer).encode_length(major_type, length)
    return buffer.getvalue()
