"""Frames between our own processes: a length, then cbor2 of (version, source, message)."""

import struct

import cbor2

from ..common import constants, packed_operations

LENGTH = struct.Struct(">I")


class Refused(tuple):
    """The outcome of bytes that are no frame of ours; element 0 says why."""


def encode(source, message):
    """One whole frame, ready for a socket."""
    body = packed_operations.dumps((constants.WIRE_VERSION, source, message))
    return LENGTH.pack(len(body)) + body


def decode(body):
    """The (source, message) of a frame's body, or a Refused."""
    try:
        frame = cbor2.loads(body)
    except Exception as fault:  # cbor2 raises many kinds; all mean the same here
        return Refused((f"not cbor: {type(fault).__name__}",))
    if not isinstance(frame, (list, tuple)) or len(frame) != 3:
        return Refused(("not a frame",))
    version, source, message = frame
    if type(version) is not int or version != constants.WIRE_VERSION:
        return Refused((f"wire version {version!r}, this process knows {constants.WIRE_VERSION}",))
    if not isinstance(source, str) or not isinstance(message, (list, tuple)) or not message:
        return Refused(("not a message",))
    return source, message


async def read_frame(stream):
    """The body of the next frame, None at the end of the stream, Refused when oversized."""
    head = await stream.read_exactly(LENGTH.size)
    (length,) = LENGTH.unpack(head)
    if length > constants.MAX_FRAME_BYTES:
        return Refused((f"frame of {length} bytes",))
    return await stream.read_exactly(length)
