"""Sums of the resources that placements use, by worker, by tenant or by another key."""

from collections.abc import Hashable
from typing import TypeVar

from .placement import Placement
from .resources import NO_RESOURCES, Amount, PriorityClass, Resources, add, subtract

Key = TypeVar("Key", bound=Hashable)
# Key -> sum of the resources of its placements. Invariant: a key has an entry exactly if its sum is not zero.
# So a key whose placements ask for nothing has none, and sums are read with get(key, NO_RESOURCES).
ResourceUsage = dict[Key, Amount]


class PlacementUsage:
    """The resources that all placements use. Invariant: the sums are those of the placements that were added
    and not released.
    """

    __slots__ = ("by_priority_class", "by_tenant", "by_worker")

    def __init__(self) -> None:
        self.by_worker: ResourceUsage[str] = {}
        self.by_priority_class: ResourceUsage[PriorityClass] = {}
        self.by_tenant: ResourceUsage[str] = {}  # without the jobs that have no tenant

    def add(self, placement: Placement) -> None:
        """Counts the resources of a placement as used."""
        resources = placement.resources
        if not any(resources):
            return
        by_worker, by_class, by_tenant = self.by_worker, self.by_priority_class, self.by_tenant
        worker_id, priority_class = placement.worker_id, (placement.service, placement.priority)
        by_worker[worker_id] = add(by_worker.get(worker_id, NO_RESOURCES), resources)
        by_class[priority_class] = add(by_class.get(priority_class, NO_RESOURCES), resources)
        if placement.tenant:
            by_tenant[placement.tenant] = add(by_tenant.get(placement.tenant, NO_RESOURCES), resources)

    def release(self, placement: Placement) -> None:
        """Counts the resources of a placement, which was added before, as given back."""
        resources = placement.resources
        if not any(resources):
            return
        release(self.by_worker, placement.worker_id, resources)
        release(self.by_priority_class, (placement.service, placement.priority), resources)
        if placement.tenant:
            release(self.by_tenant, placement.tenant, resources)


def release(usage: ResourceUsage[Key], key: Key, resources: Resources) -> None:
    """Counts the resources of a placement, not all of them 0, as given back. They were counted before."""
    remaining = subtract(usage[key], resources)
    if remaining == NO_RESOURCES:
        del usage[key]
    else:
        usage[key] = remaining
