"""Finds workers whose incarnation is over although no ends of their runs were reported: those whose lease
expired, and those that left.
"""

from collections.abc import Iterator

from ..common import constants
from .daemon_interface import Daemon
from .placement import Placements
from .run_ends import RunEndCollector
from .worker import Worker

# Why a worker's incarnation is over, as logged in event 180.
LEFT = "left"  # it drained and reported that it shuts down
LAPSED = "hold lapsed"  # its lease expired


class LeaseWatch:
    """Watches the leases of all workers with placements.

    Invariant: a lease counts as expired only after it has ended by the slowest clock that a worker may have.
    It is counted from the newest heartbeat whose answer, by any leader, may have extended it.
    """

    def __init__(self, core: Daemon, leader_since: float) -> None:
        self.core, self.leader_since = core, leader_since  # when this daemon became leader, seconds
        self.left_at: dict[str, float] = {}  # worker -> when it reported that it shuts down

    def record_leave(self, identity: str, now: float) -> None:
        """Records that a drained worker reported that it shuts down now."""
        self.left_at.setdefault(identity, now)

    def ended_incarnations(
        self, workers: dict[str, Worker], ends: RunEndCollector, now: float
    ) -> Iterator[tuple[str, str]]:
        """Yields (identity, reason) of each worker whose incarnation is over. The caller must remove each
        worker before it advances the iterator.
        """
        for identity, left_at in list(self.left_at.items()):
            if now - left_at >= constants.LEAVE_MARGIN:
                del self.left_at[identity]
                yield identity, LEFT
        for identity, placements in list(self.core.cluster_state.leased_jobs.placements.items()):
            if ends.all_proposed(identity, placements):
                continue
            if now - self._leased_from(workers.get(identity), placements) > self._longest_lease():
                yield identity, LAPSED

    def _longest_lease(self) -> float:
        """Seconds after which a lease has expired even by the slowest clock that a worker may have."""
        return self.core.lease_duration * (1 + constants.CLOCK_DRIFT) + constants.LAPSE_MARGIN

    def _leased_from(self, worker: Worker | None, placements: Placements) -> float:
        """The latest time at which the lease that covers a worker's runs may have begun."""
        if worker is not None and worker.leased_from is not None:
            return worker.leased_from
        if worker is not None and all(
            placement.epoch == self.core.epoch for placement in placements.values()
        ):
            # no answer has ever ordered the worker to start any of these runs
            return worker.heard_at + constants.WORKER_TIMEOUT - self._longest_lease()
        return self.leader_since + constants.ELECTION_TIMEOUT
