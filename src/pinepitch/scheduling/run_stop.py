"""An order that a run ends while its job goes on, and the reasons for one."""

from typing import NamedTuple

# Why a run is to end: told in the operation "job-stop", in event 183 and in the metric of stops.
STALLED = "stalled"  # its progress stands still
SLOW = "slow"  # a new start on another worker would be done sooner
YIELDS = "yields"  # its capacity is kept for more urgent work

# An item of the operation "job-stop", as RunStop has it.
StopItem = tuple[str, str, int, str]


class RunStop(NamedTuple):
    """A run that is to end while its job goes on, and why."""

    worker: str  # its identity
    reference: str  # of the task
    run: int
    why: str

    def plain(self) -> StopItem:
        """The same as a plain tuple, as other replicas decode it: it is measured and encoded at less cost."""
        return (self.worker, self.reference, self.run, self.why)
