"""The canonical order for encoding hash maps, so that every process writes the same bytes."""

from collections.abc import Mapping
from typing import TypeVar

Value = TypeVar("Value")


def sorted_by_key(values: Mapping[str, Value]) -> dict[str, Value]:
    """Returns a map as a dict sorted by its keys."""
    return {key: values[key] for key in sorted(values)}
