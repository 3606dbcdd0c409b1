"""Arithmetic on amounts of resources: capacity of workers, requests of tasks, usage of services."""

from collections.abc import Iterable, Sequence

# Thousandths of a core, megabytes and accelerators, in this order.
Resources = Sequence[float]
Amount = tuple[float, float, float]
# (service, priority); priority 0 is the most urgent.
PriorityClass = tuple[str, int]

NO_RESOURCES: Amount = (0, 0, 0)
RESOURCE_KINDS = range(3)  # indices of the resources in an amount


def subtract(total: Resources, deducted: Resources) -> Amount:
    """`total` minus `deducted`; negative for each resource of which more is deducted than there is."""
    return (total[0] - deducted[0], total[1] - deducted[1], total[2] - deducted[2])


def add(first: Resources, second: Resources) -> Amount:
    """The sum of two amounts."""
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])


def multiply(resources: Resources, count: int) -> Amount:
    """The resources of `count` tasks that need `resources` each."""
    return (resources[0] * count, resources[1] * count, resources[2] * count)


def total(amounts: Iterable[Resources]) -> Amount:
    """The sum of any number of amounts."""
    cpu, memory, accelerators = NO_RESOURCES
    for more_cpu, more_memory, more_accelerators in amounts:
        cpu += more_cpu
        memory += more_memory
        accelerators += more_accelerators
    return cpu, memory, accelerators


def fitting_tasks(resources: Resources, task: Resources) -> int | None:
    """How many tasks that need `task` each fit into `resources`, 0 or more; None if a task needs nothing, so
    that any number fits.
    """
    fewest: float | None = None
    for kind in RESOURCE_KINDS:
        if task[kind]:
            count = max(0, resources[kind]) // task[kind]
            fewest = count if fewest is None or count < fewest else fewest
    return None if fewest is None else int(fewest)
