"""Frames between the daemons: a length of 4 bytes (big endian), then (version, source, message) as CBOR."""

import struct
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import cbor2

from ..common import constants, packed_operations
from .callers import Caller

LENGTH = struct.Struct(">I")
FRAME_BEGIN = bytes([0x83])  # CBOR for an array of three values


class InvalidFrame(NamedTuple):
    """The result of reading an invalid frame, with the reason."""

    reason: str


def encode(source: str, message: Sequence[Any]) -> bytes:
    """The complete frame of a message from the daemon at address `source`."""
    body = packed_operations.dumps((constants.WIRE_VERSION, source, message))
    return LENGTH.pack(len(body)) + body


def decode(body: bytes) -> tuple[str, Sequence[Any]] | InvalidFrame:
    """The (source, message) of a frame's body, or InvalidFrame if it is invalid."""
    try:
        frame = cbor2.loads(body)
    except Exception as fault:  # cbor2 raises many types; all mean an invalid frame
        return InvalidFrame(f"not cbor: {type(fault).__name__}")
    if not isinstance(frame, (list, tuple)) or len(frame) != 3:
        return InvalidFrame("not a frame")
    version, source, message = frame
    if type(version) is not int or version != constants.WIRE_VERSION:
        return InvalidFrame(f"wire version {version!r}, this process knows {constants.WIRE_VERSION}")
    if not isinstance(source, str) or not isinstance(message, (list, tuple)) or not message:
        return InvalidFrame("not a message")
    return source, message


class FrameReader:
    """Reads the frames of one connection. Invariant: what it holds of a frame is recorded with `caller`."""

    def __init__(self, socket: Any, caller: Caller) -> None:
        self.socket, self.caller = socket, caller

    async def read(self) -> bytes | InvalidFrame:
        """The body of the next frame, or InvalidFrame if it is too large, doesn't begin like a frame or has
        too many values. Raises EOFError or OSError if the connection ends before the frame is complete, or
        must end as there is no room for the frame.
        """
        await self._receive(LENGTH.size)
        (length,) = LENGTH.unpack_from(self.caller.received)
        if length > constants.MAX_FRAME_BYTES:
            return InvalidFrame(f"frame of {length} bytes")
        await self._receive(min(LENGTH.size + length, LENGTH.size + len(FRAME_BEGIN)))
        if length and not self.caller.received.startswith(FRAME_BEGIN[:length], LENGTH.size):
            return InvalidFrame("not a frame")
        await self._receive(LENGTH.size + length)
        body = bytes(memoryview(self.caller.received)[LENGTH.size : LENGTH.size + length])
        del self.caller.received[: LENGTH.size + length]
        return await self._whole(body)

    async def _receive(self, size: int) -> None:
        """Receives until `size` bytes are there."""
        while len(self.caller.received) < size:
            data: bytes = await self.socket.recv(constants.ANSWER_SLICE)
            if not data:
                raise EOFError
            self.caller.received += data
            if not self.caller.receives(len(self.caller.received), time.monotonic()):
                raise EOFError

    async def _whole(self, body: bytes) -> bytes | InvalidFrame:
        """A frame's body, once the values of a large one are counted."""
        most = self.caller.table.limits.request // constants.DECODED_VALUE_BYTES
        if len(body) > constants.LARGE_FRAME_BYTES and has_more_values(body, most):
            return InvalidFrame(f"more than {most} values")
        self.caller.rests(time.monotonic())
        return body


def has_more_values(body: bytes, most: int) -> bool:
    """Whether a CBOR text has more than `most` values (RFC 8949, section 3), or is cut short."""
    place = 0
    for _ in range(most + 1):
        if place >= len(body):
            return False
        major, detail = body[place] >> 5, body[place] & 31
        place += 1
        length = 1 << (detail - 24) if 24 <= detail < 28 else 0  # of the argument, bytes
        if major in (2, 3) and detail < 28:  # texts and byte strings
            place += detail if detail < 24 else int.from_bytes(body[place : place + length])
        place += length
    return True
