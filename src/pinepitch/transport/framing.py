"""Frames between our own processes: a length of 4 bytes, then the cbor of (version, source, message)."""

import struct
from collections.abc import Sequence
from typing import Any, NamedTuple

import cbor2

from ..common import constants, packed_operations

LENGTH = struct.Struct(">I")


class Refused(NamedTuple):
    """The outcome of bytes that are no frame of ours, and why they are none."""

    why: str


def encode(source: str, message: Sequence[Any]) -> bytes:
    """One complete frame of the daemon at address `source`, ready for a socket."""
    body = packed_operations.dumps((constants.WIRE_VERSION, source, message))
    return LENGTH.pack(len(body)) + body


def decode(body: bytes) -> tuple[str, Sequence[Any]] | Refused:
    """The (source, message) of a frame's body, or a Refused."""
    try:
        frame = cbor2.loads(body)
    except Exception as fault:  # cbor2 raises many kinds; all mean the same here
        return Refused(f"not cbor: {type(fault).__name__}")
    if not isinstance(frame, (list, tuple)) or len(frame) != 3:
        return Refused("not a frame")
    version, source, message = frame
    if type(version) is not int or version != constants.WIRE_VERSION:
        return Refused(f"wire version {version!r}, this process knows {constants.WIRE_VERSION}")
    if not isinstance(source, str) or not isinstance(message, (list, tuple)) or not message:
        return Refused("not a message")
    return source, message


async def read_frame(stream: Any) -> bytes | Refused:
    """The body of the next frame of a curio stream, or Refused when it is larger than MAX_FRAME_BYTES;
    EOFError or OSError when the stream ends before it is complete.
    """
    head: bytes = await stream.read_exactly(LENGTH.size)
    (length,) = LENGTH.unpack(head)
    if length > constants.MAX_FRAME_BYTES:
        return Refused(f"frame of {length} bytes")
    body: bytes = await stream.read_exactly(length)
    return body
