"""Which workers run nothing any more though nobody heard an end: leases that
lapsed, workers that left.
"""

from collections.abc import Iterator

from ..common import constants
from .daemon_interface import Daemon
from .placement import Placements
from .run_ends import EndIntake
from .worker import Worker

# Why a worker is let go, as event 180 tells it.
LEFT = "left"  # it drained, and said that it ends
LAPSED = "hold lapsed"


class LeaseWatch:
    """Invariant: a lease counts as lapsed only once it is over by the slowest clock a worker may have,
    counted from the newest heartbeat whose answer may have extended it, by whichever leader.
    """

    def __init__(self, core: Daemon, since: float) -> None:
        self.core, self.since = core, since  # since when this daemon leads
        self.left_at: dict[str, float] = {}  # worker -> when it said that it ends

    def leave(self, identity: str, now: float) -> None:
        """A worker that has drained says that it ends now."""
        self.left_at.setdefault(identity, now)

    def over(self, workers: dict[str, Worker], ends: EndIntake, now: float) -> Iterator[tuple[str, str]]:
        """Yields (identity, why) of workers whose incarnation is over; each is to be let go before the
        next is asked for.
        """
        for identity, at in list(self.left_at.items()):
            if now - at >= constants.LEAVE_MARGIN:
                del self.left_at[identity]
                yield identity, LEFT
        for identity, placements in list(self.core.cluster_state.leased_jobs.placements.items()):
            if ends.all_proposed(identity, placements):
                continue
            if now - self._leased_from(workers.get(identity), placements) > self._span():
                yield identity, LAPSED

    def _span(self) -> float:
        """Seconds after which a lease is over, whatever the worker's clock."""
        return self.core.lease_duration * (1 + constants.CLOCK_DRIFT) + constants.LAPSE_MARGIN

    def _leased_from(self, worker: Worker | None, placements: Placements) -> float:
        """When the newest lease on what a worker runs may have begun."""
        if worker is not None and worker.leased_from is not None:
            return worker.leased_from
        if worker is not None and all(one.epoch == self.core.epoch for one in placements.values()):
            # no answer ever told it of any of these
            return worker.heard_at + constants.WORKER_TIMEOUT - self._span()
        return self.since + constants.ELECTION_TIMEOUT
