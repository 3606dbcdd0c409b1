"""The rehearsal role: which daemon measures a draft, and how the result reaches the leader."""

from typing import TYPE_CHECKING, Any

from ..common import constants
from ..common.effects import Rehearse

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class RehearsalRole:
    """Invariant: this daemon measures one draft at a time, and only while it has the role."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        # (draft, number of the request) that is being measured
        self.rehearsing: tuple[str, int] | None = None
        self.last_claim_at = -1e9  # seconds; when the role was last claimed

    def maintain(self, now: float) -> None:
        """Claims the role if this daemon should measure, and starts the measurement of the oldest draft."""
        requested = [
            draft for draft in self.daemon.cluster_state.drafts.values() if draft["state"] == "rehearsing"
        ]
        if (
            not requested
            or self.rehearsing is not None
            or self.daemon.stopping
            or not self._is_measuring_daemon()
        ):
            return
        epoch, role_holder = self.daemon.cluster_state.epochs.get("rehearsal", (0, ""))
        if role_holder != self.daemon.identity:
            if now - self.last_claim_at >= constants.JOIN_AGAIN:
                self.last_claim_at = now
                self.daemon.send_to_leader(("claim", "rehearsal", self.daemon.identity), now)
            return
        draft = min(requested, key=lambda queued_draft: queued_draft["time"])
        self.rehearsing = (draft["draft"], draft["asked"])
        state = self.daemon.cluster_state
        traffic = state.traffic_sample.traffic(state.pushed_jobs)
        self.daemon.effects.append(
            Rehearse(
                epoch, *self.rehearsing, traffic, state.queue_configuration, draft["setup"], draft["rooms"]
            )
        )

    def _is_measuring_daemon(self) -> bool:
        """Whether this daemon should measure: it is the first live member, by identity, that does not lead.
        The leader itself measures only when it is alone.
        """
        leader = self.daemon.consensus.current_leader
        members = self.daemon.consensus.membership.members()
        live = sorted(
            {session.identity for session in self.daemon.sessions.live("accord")} | {self.daemon.identity}
        )
        order = [one for one in live if one in members and one != leader] or [leader]
        return order[0] == self.daemon.identity

    def on_claim(self, role: str, identity: str, now: float) -> None:
        """Handles a daemon's claim of a role: the leader proposes it."""
        if self._serving() and self.daemon.cluster_state.epochs.get(role, (0, ""))[1] != identity:
            self.daemon.proposals.propose(("duty", role, identity), None, now)

    def on_rehearsed(self, epoch: int, draft: str, asked: int, measure: dict[str, Any], now: float) -> None:
        """Handles the end of a measurement; its result is proposed under the epoch in which it was begun."""
        self.rehearsing = None
        self.daemon.event(162, draft=draft, verdict=measure["verdict"])
        if self.daemon.consensus is not None:
            self.daemon.send_to_leader(("measured", epoch, draft, asked, measure), now)

    def on_measured(self, epoch: int, draft: str, asked: int, measure: dict[str, Any], now: float) -> None:
        """Handles the result of a measurement: the leader proposes it."""
        if self._serving():
            self.daemon.proposals.propose(("measure", epoch, draft, asked, measure), None, now)

    def _serving(self) -> bool:
        """Whether this daemon leads and may propose."""
        consensus = self.daemon.consensus
        return consensus is not None and consensus.role == "leader" and consensus.serving()
