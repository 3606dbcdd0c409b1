"""Large operations that stay encoded while they are stored in the log or sent in files and frames.

A Packed replaces the operation that it encodes and is written out as that operation: the bytes of frames and
files are the same whether or not the operation was packed.
"""

from typing import Any

import cbor2


class Packed:
    """One encoded operation. Invariant: data is the CBOR of an array whose first element is kind."""

    __slots__ = ("data", "kind")

    def __init__(self, kind: str, data: bytes) -> None:
        self.kind, self.data = kind, data

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Packed) and self.data == other.data

    def __hash__(self) -> int:
        return hash(self.data)


# An operation: an array whose first element is its kind, or a Packed.
Operation = Any


def kind_of(operation: Operation) -> str:
    """The kind of an operation, packed or not."""
    kind: str = operation.kind if type(operation) is Packed else operation[0]
    return kind


def unpacked(operation: Operation) -> Any:
    """The decoded operation; a packed one is decoded again at each call."""
    return tuple(cbor2.loads(operation.data)) if type(operation) is Packed else operation


def _write(encoder: cbor2.CBOREncoder, value: object) -> None:
    """Writes a packed operation's bytes as they are, without encoding them again."""
    if type(value) is not Packed:
        raise cbor2.CBOREncodeTypeError(f"cannot serialize type {type(value).__name__}")
    encoder.write(value.data)


def dumps(value: object) -> bytes:
    """Encodes a value that may contain packed operations as CBOR."""
    return cbor2.dumps(value, default=_write)
