"""How long workers wait before their next heartbeat."""

from ..common import constants
from .placement import Placements
from .worker import READY, Worker


def interval(worker_count: int) -> float:
    """Seconds between two heartbeats of a worker with capacity; grows with the number of workers."""
    return min(
        constants.HEARTBEAT_INTERVAL_FULL,
        max(constants.HEARTBEAT_INTERVAL, worker_count * constants.HEARTBEAT_INTERVAL_PER_WORKER),
    )


def is_large_fleet(worker_count: int) -> bool:
    """Whether heartbeats are so many that workers send them less often than a small fleet's do."""
    return interval(worker_count) > constants.HEARTBEAT_INTERVAL


def next_in(worker: Worker, placements: Placements, has_starts: bool, worker_count: int) -> float:
    """Seconds until a worker's next heartbeat: short for one that may have more ends to list, and longer for
    one that can take no more work. `has_starts`: whether the answer starts runs.
    """
    if not worker.lists_all_ends:
        return constants.HEARTBEAT_INTERVAL_MORE_ENDS
    used_cpu = sum(placement.resources[0] for placement in placements.values())
    has_capacity = worker.state == READY and used_cpu < worker.capacity[0]
    return interval(worker_count) if has_capacity or has_starts else constants.HEARTBEAT_INTERVAL_FULL
