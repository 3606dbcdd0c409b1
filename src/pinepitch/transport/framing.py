"""Frames between the daemons: a length of 4 bytes (big endian), then (version, source, message) as CBOR."""

import struct
from collections.abc import Sequence
from typing import Any, NamedTuple

import cbor2

from ..common import constants, packed_operations

LENGTH = struct.Struct(">I")


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


async def read_frame(stream: Any) -> bytes | InvalidFrame:
    """The body of the next frame of a curio stream, or InvalidFrame if it is larger than MAX_FRAME_BYTES.
    Raises EOFError or OSError if the stream ends before the frame is complete.
    """
    head: bytes = await stream.read_exactly(LENGTH.size)
    (length,) = LENGTH.unpack(head)
    if length > constants.MAX_FRAME_BYTES:
        return InvalidFrame(f"frame of {length} bytes")
    body: bytes = await stream.read_exactly(length)
    return body
