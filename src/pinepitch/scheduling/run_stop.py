"""The order to stop a run while its job continues, and the reasons for such orders."""

from typing import NamedTuple

# Why a run is stopped, as used in the operation "job-stop", in event 183 and in the metric that counts stops.
STALLED = "stalled"  # its progress does not change
SLOW = "slow"  # a restart on another worker would finish sooner
PREEMPTED = "yields"  # its capacity is reserved for more urgent work

# An item of the operation "job-stop", with the fields of RunStop.
StopItem = tuple[str, str, int, str]


class RunStop(NamedTuple):
    """An order to stop a run while its job continues."""

    worker_id: str
    reference: str  # of the task
    run: int
    reason: str  # STALLED, SLOW or PREEMPTED

    def plain(self) -> StopItem:
        """The same fields as a plain tuple, as other replicas decode it. A plain tuple is cheaper to measure
        and encode.
        """
        return (self.worker_id, self.reference, self.run, self.reason)
