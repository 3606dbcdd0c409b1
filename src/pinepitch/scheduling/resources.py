"""Arithmetic of room: (thousandths of a core, megabytes, accelerators)."""

NO_ROOM = (0, 0, 0)
RESOURCES = range(3)  # places of the resources in a room


def less(one, other):
    """What is left of `one` without `other`; below 0 where it is not enough."""
    return (one[0] - other[0], one[1] - other[1], one[2] - other[2])


def more(one, other):
    """Both added up."""
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])


def times(room, count):
    """Room of so many alike tasks."""
    return (room[0] * count, room[1] * count, room[2] * count)


def tasks_in(room, task):
    """How many whole tasks of the room `task` fit into a room, 0 or more; unbounded is None."""
    counts = [max(0, room[kind]) // task[kind] for kind in RESOURCES if task[kind]]
    return int(min(counts)) if counts else None
