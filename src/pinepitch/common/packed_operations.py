"""Large values that stay encoded while they wait: in the log, in files and in frames.

A Packed takes the place of the operation it encodes, and is written out as that operation:
frames and files look the same whether it was packed or not.
"""

from typing import Any

import cbor2


class Packed:
    """One encoded operation. Invariant: data is the cbor of an array whose first element is kind."""

    __slots__ = ("data", "kind")

    def __init__(self, kind: str, data: bytes) -> None:
        self.kind, self.data = kind, data

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Packed) and self.data == other.data

    def __hash__(self) -> int:
        return hash(self.data)


# An operation as an array whose first element is its kind, or one that stays encoded.
Operation = Any


def kind_of(operation: Operation) -> str:
    """The kind of an operation, packed or not."""
    kind: str = operation.kind if type(operation) is Packed else operation[0]
    return kind


def unpacked(operation: Operation) -> Any:
    """The operation itself; decoded anew at each call where it is packed."""
    return tuple(cbor2.loads(operation.data)) if type(operation) is Packed else operation


def _write(encoder: cbor2.CBOREncoder, value: object) -> None:
    """Puts what is encoded already where its operation belongs."""
    if type(value) is not Packed:
        raise cbor2.CBOREncodeTypeError(f"cannot serialize type {type(value).__name__}")
    encoder.write(value.data)


def dumps(value: object) -> bytes:
    """The cbor of a value that may hold packed operations."""
    return cbor2.dumps(value, default=_write)
