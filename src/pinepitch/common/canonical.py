"""The order in which hash maps are encoded, so that every process writes the same bytes."""

from collections.abc import Mapping
from typing import TypeVar

Value = TypeVar("Value")


def sorted_by_key(values: Mapping[str, Value]) -> dict[str, Value]:
    """A map as a dict in the order of its keys."""
    return {key: values[key] for key in sorted(values)}
