"""What this package needs of the daemon that leads. The control daemon is one; a test may use another."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

from ..model.decisions import Answer
from .leased_job_state import LeasedJobState

if TYPE_CHECKING:
    from .assignment_manager import AssignmentManager


class ClusterStateView(Protocol):
    """What is read of the replicated state; it changes only as entries of the log are applied."""

    @property
    def leased_jobs(self) -> LeasedJobState:
        """What is agreed on about jobs under leases."""

    @property
    def levels(self) -> Mapping[str, int]:
        """Operation -> the level of members that know it, for those above level 1."""


class Daemon(Protocol):
    """The daemon whose replica leads. All times are seconds; `now` is always the daemon's own clock, which
    only moves forward and tells nothing of other machines.
    """

    assignments: "AssignmentManager"
    address: str  # where its clients reach it
    lease_duration: float  # seconds that a worker may go on after the heartbeat that its lease answers
    far: float  # times as long that a task takes away from its data
    tenant_burst: float  # seconds that jobs may come before the weight of their tenant has them due
    step_at: float  # `now` of the message that is being handled

    @property
    def cluster_state(self) -> ClusterStateView:
        """The replicated state, as this daemon has applied it."""

    @property
    def epoch(self) -> int:
        """Of its claim to place; 0 without one. It fences out orders of earlier leaders."""

    def cluster_time(self, now: float) -> float:
        """The cluster's time, seconds: the median of the members' clocks, never behind the cluster state."""

    def leased(self, now: float) -> bool:
        """Whether what this daemon says as a leader can be relied on now."""

    def common_level(self) -> int:
        """The level of operations that every member knows."""

    def propose(self, operation: tuple[Any, ...], waiting: Any, now: float) -> None:
        """Puts an operation into the log; `waiting`, if not None, is told the outcome. Operations of a level
        that some member does not know are held back.
        """

    def propose_at(self, operation: tuple[Any, ...], now: float) -> int | None:
        """Proposes, and returns the index of the entry; None where the operation is held back."""

    def answer(self, address: str, token: Any, answer: Answer) -> None:
        """Answers a request that is pending; nothing happens if it is not pending any more."""

    def event(self, number: int, **fields: Any) -> None:
        """Logs a numbered event (common/events.py)."""

    def trace(self, number: int, **fields: Any) -> None:
        """Logs an event for a timeline of jobs: there are many, so only where the log keeps them."""
