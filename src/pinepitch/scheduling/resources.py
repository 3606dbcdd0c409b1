"""Arithmetic of room: (thousandths of a core, megabytes, accelerators)."""

NO_RESOURCES = (0, 0, 0)
RESOURCE_KINDS = range(3)  # places of the resources in a room


def less(one, other):
    """What is left of `one` without `other`; below 0 where it is not enough."""
    return (one[0] - other[0], one[1] - other[1], one[2] - other[2])


def more(one, other):
    """Both added up."""
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])


def times(resources, count):
    """Room of so many alike tasks."""
    return (resources[0] * count, resources[1] * count, resources[2] * count)


def tasks_in(resources, task):
    """How many whole tasks of the room `task` fit into a room, 0 or more; unbounded is None."""
    counts = [max(0, resources[kind]) // task[kind] for kind in RESOURCE_KINDS if task[kind]]
    return int(min(counts)) if counts else None
