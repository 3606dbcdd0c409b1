"""Sums of the resources that placements use, by worker, by tenant or by another key."""

from collections.abc import Hashable
from typing import TypeVar

from .resources import NO_RESOURCES, Amount, Resources, subtract

Key = TypeVar("Key", bound=Hashable)
# Key -> sum of the resources of its placements. Invariant: a key has an entry exactly if its sum is not zero.
# So a key whose placements ask for nothing has none, and sums are read with get(key, NO_RESOURCES).
ResourceUsage = dict[Key, Amount]


def release(usage: ResourceUsage[Key], key: Key, resources: Resources) -> None:
    """Counts the resources of a placement, not all of them 0, as given back. They were counted before."""
    remaining = subtract(usage[key], resources)
    if remaining == NO_RESOURCES:
        del usage[key]
    else:
        usage[key] = remaining
