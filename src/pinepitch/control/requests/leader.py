"""What the handlers of requests ask of the daemon that leads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from ...consensus.replica import Consensus
    from ...model.push_worker import PushWorker, Report
    from ...state.cluster_state import ClusterState
    from ..placement import Placer
    from ..sessions import Sessions

End = tuple[str, int, str]  # (task reference, attempt, how it ended)
Attempt = tuple[str, int]  # (task reference, attempt)


class Leader(Protocol):
    """The part of the control daemon that handlers use; `control/daemon.py` has it.

    Invariant: a handler is called only while the daemon leads, so that there is a consensus.
    """

    identity: str
    cluster: str  # identity of the cluster
    consensus: Consensus
    cluster_state: ClusterState
    sessions: Sessions
    placer: Placer
    push_workers: dict[str, PushWorker]
    leader_since: float  # by this daemon's clock, in seconds
    proposed_ends: set[Attempt]  # proposed and not yet applied
    kills: dict[str, float]  # task reference -> when it was last told to be killed
    counts: dict[str, int]
    rounds: int  # of placing, since it leads

    def _now(self, now: float) -> float:
        """The cluster's time at a moment of this daemon's clock, both in seconds."""

    def _event(self, number: int, **fields: Any) -> None:
        """Logs and counts a numbered event of `common/events.py`."""

    def take_report(self, report: Report, now: float) -> tuple[list[End], list[Attempt], list[Attempt]]:
        """Gathers a worker's report: (ends to agree on, acknowledged at once, what it should not run)."""
