"""Which workers run nothing any more though nobody heard an end: holds that lapsed, workers that left."""

from ..common import constants

LEFT, LAPSED = "left", "hold lapsed"


class LeaseWatch:
    """Invariant: a hold counts as lapsed only once it is over by the slowest clock a worker may have,
    counted from the newest heartbeat whose answer may have extended it, by whichever leader."""

    def __init__(self, core, since):
        self.core, self.since = core, since  # since when this daemon leads
        self.left_at = {}  # worker -> when it said that it ends

    def leave(self, identity, now):
        """A worker says that it ends now."""
        self.left_at.setdefault(identity, now)

    def over(self, workers, ends, now):
        """Yields (identity, why) of workers whose life is over; each is to be let go before the next is
        asked for."""
        for identity, at in list(self.left_at.items()):
            if now - at >= constants.LEAVE_MARGIN:
                del self.left_at[identity]
                yield identity, LEFT
        for identity, placements in list(self.core.cluster_state.leased_jobs.placements.items()):
            if ends.all_proposed(identity, placements):
                continue
            if now - self._leased_from(workers.get(identity), placements) > self._span():
                yield identity, LAPSED

    def _span(self):
        """Seconds after which a hold is over, whatever the worker's clock."""
        return self.core.lease_duration * (1 + constants.CLOCK_DRIFT) + constants.LAPSE_MARGIN

    def _leased_from(self, worker, placements):
        """When the newest hold on what a worker runs may have begun."""
        if worker is not None and worker.leased_from is not None:
            return worker.leased_from
        if worker is not None and all(one.epoch == self.core.epoch for one in placements.values()):
            # no answer ever told it of any of these
            return worker.heard_at + constants.WORKER_TIMEOUT - self._span()
        return self.since + constants.ELECTION_TIMEOUT
