"""Frames between the daemons: a length of 4 bytes (big endian), then (version, source, message) as CBOR."""

import struct
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import cbor2

from ..common import constants, packed_operations
from .callers import Caller

LENGTH = struct.Struct(">I")
FRAME_BEGIN = 0x83  # the first byte of a body: CBOR for an array of three values


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
        while (frame := self._parse()) is None:
            await self._receive()
        return frame

    def _parse(self) -> bytes | InvalidFrame | None:
        """The body of the next frame, or InvalidFrame. None: more must be read."""
        received = self.caller.received
        if len(received) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(received)
        if length > constants.MAX_FRAME_BYTES:
            return InvalidFrame(f"frame of {length} bytes")
        if length and len(received) > LENGTH.size and received[LENGTH.size] != FRAME_BEGIN:
            return InvalidFrame("not a frame")
        end = LENGTH.size + length
        if len(received) < end:
            return None
        with memoryview(received) as view:
            body = bytes(view[LENGTH.size : end])
        del received[:end]
        if length > constants.LARGE_FRAME_BYTES:
            most = self.caller.table.most_request // constants.DECODED_VALUE_BYTES
            if has_more_values(body, most):
                return InvalidFrame(f"more than {most} values")
        self.caller.rests(time.monotonic())
        return body

    async def _receive(self) -> None:
        """Receives more. EOFError, OSError: as read() says."""
        held = len(self.caller.received)
        if held and not self.caller.receives(held, time.monotonic()):
            raise EOFError
        data: bytes = await self.socket.recv(constants.ANSWER_SLICE)
        if not data or self.caller.evicted:
            raise EOFError
        self.caller.received += data


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
