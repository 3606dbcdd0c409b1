"""Arithmetic of resources: what a worker has, what a task asks for, what a service has left."""

from collections.abc import Sequence

# Amounts of thousandths of a core, megabytes and accelerators, in this order.
Resources = Sequence[float]
Amount = tuple[float, float, float]
# Work of one urgency: (service, priority). Priority 0 is the most urgent.
Level = tuple[str, int]

NO_RESOURCES: Amount = (0, 0, 0)
RESOURCE_KINDS = range(3)  # indices of the resources in an amount


def less(one: Resources, other: Resources) -> Amount:
    """What is left of `one` without `other`; below 0 where it is not enough."""
    return (one[0] - other[0], one[1] - other[1], one[2] - other[2])


def more(one: Resources, other: Resources) -> Amount:
    """Both added up."""
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])


def times(resources: Resources, count: int) -> Amount:
    """The resources of so many alike tasks."""
    return (resources[0] * count, resources[1] * count, resources[2] * count)


def tasks_in(resources: Resources, task: Resources) -> int | None:
    """How many whole tasks that ask for `task` fit into `resources`, 0 or more; None where nothing is asked
    for, so that any number fits.
    """
    fewest: float | None = None
    for kind in RESOURCE_KINDS:
        if task[kind]:
            count = max(0, resources[kind]) // task[kind]
            fewest = count if fewest is None or count < fewest else fewest
    return None if fewest is None else int(fewest)
