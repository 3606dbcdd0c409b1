"""The interface that this package requires of the daemon whose replica leads. The control daemon implements
it; a test may use another implementation.
"""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from ..common.limits import Limits
from ..model.decisions import Answer
from .leased_job_state import LeasedJobState

if TYPE_CHECKING:
    from .assignment_manager import AssignmentManager
    from .heartbeat_addresses import Follower


class ClusterStateView(Protocol):
    """The part of the replicated state that this package reads. It changes only when entries of the log are
    applied.
    """

    @property
    def leased_jobs(self) -> LeasedJobState:
        """The replicated state of leased jobs."""

    @property
    def levels(self) -> Mapping[str, int]:
        """Operation -> the lowest level of a member that knows it, for operations above level 1."""


class Daemon(Protocol):
    """The daemon whose replica leads. All times are in seconds. `now` is always the daemon's own monotonic
    clock, which cannot be compared with the clocks of other machines.
    """

    assignments: "AssignmentManager"
    address: str  # where its clients reach it
    lease_duration: float  # seconds that a worker may continue after a heartbeat answered with a lease
    far: float  # how long a task takes on a worker that is not near its data, as a multiple of the usual time
    tenant_burst: float  # seconds by which a tenant's jobs may come early at the rate of its weight
    step_at: float  # `now` of the message that is being handled

    @property
    def limits(self) -> Limits:
        """How much memory this daemon may use."""

    @property
    def cluster_state(self) -> ClusterStateView:
        """The replicated state, as far as this daemon has applied the log."""

    @property
    def epoch(self) -> int:
        """The epoch of this daemon's claim to place tasks, 0 without one; it fences off older epochs."""

    def live_followers(self) -> "Sequence[Follower]":
        """The members of the cluster that this daemon hears, without itself."""

    def cluster_time(self, now: float) -> float:
        """The cluster's time, seconds: the median of the members' clocks, never behind the state's."""

    def leased(self, now: float) -> bool:
        """Whether this daemon's lease as the leader is valid, so that the state it reads is the newest."""

    def common_level(self) -> int:
        """The highest level whose operations every member knows."""

    def propose(self, operation: tuple[Any, ...], waiting: Any, now: float) -> None:
        """Proposes an operation for the log. `waiting`, if not None, gets the outcome. An operation of a
        level that some member does not know is not proposed.
        """

    def propose_at(self, operation: tuple[Any, ...], now: float) -> int | None:
        """Proposes an operation and returns the index of its entry, or None if it was not proposed."""

    def answer(self, address: str, token: Any, answer: Answer) -> None:
        """Answers a pending request. Does nothing if the request is not pending any more."""

    def event(self, number: int, **fields: Any) -> None:
        """Logs a numbered event (common/events.py)."""

    def trace(self, number: int, **fields: Any) -> None:
        """Logs an event for timelines of jobs, if tracing is on. There are many such events."""
