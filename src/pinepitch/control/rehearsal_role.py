"""The rehearsal role: which daemon measures a draft, and how its result comes to the leader."""

from typing import TYPE_CHECKING, Any

from ..common import constants
from ..common.effects import Rehearse

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class RehearsalRole:
    """Invariant: this daemon measures one draft at a time, as the holder of the role only."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.rehearsing: tuple[str, int] | None = None  # (draft, asked) that is measured now
        self.claim_at = -1e9  # seconds; when the role was claimed last

    def maintain(self, now: float) -> None:
        """Claims the role where it is this daemon's turn, and has the oldest draft measured."""
        asked = [draft for draft in self.core.cluster_state.drafts.values() if draft["state"] == "rehearsing"]
        if not asked or self.rehearsing is not None or self.core.stopping or not self._in_turn():
            return
        epoch, role_holder = self.core.cluster_state.epochs.get("rehearsal", (0, ""))
        if role_holder != self.core.identity:
            if now - self.claim_at >= constants.JOIN_AGAIN:
                self.claim_at = now
                self.core.to_leader(("claim", "rehearsal", self.core.identity), now)
            return
        draft = min(asked, key=lambda one: one["time"])
        self.rehearsing = (draft["draft"], draft["asked"])
        state = self.core.cluster_state
        traffic = state.sample.traffic(state.pushed_jobs)
        self.core.effects.append(
            Rehearse(
                epoch, *self.rehearsing, traffic, state.queue_configuration, draft["setup"], draft["rooms"]
            )
        )

    def _in_turn(self) -> bool:
        """Whether this daemon measures: the first live one in the agreed order that does not lead;
        the leader itself only when alone.
        """
        leader = self.core.consensus.following
        members = self.core.consensus.membership.members()
        live = sorted(
            {session.identity for session in self.core.sessions.live("accord")} | {self.core.identity}
        )
        order = [one for one in live if one in members and one != leader] or [leader]
        return order[0] == self.core.identity

    def on_claim(self, role: str, identity: str, now: float) -> None:
        """A daemon claims a role: the leader has it agreed on."""
        if self._serving() and self.core.cluster_state.epochs.get(role, (0, ""))[1] != identity:
            self.core.proposals.propose(("duty", role, identity), None, now)

    def on_rehearsed(self, epoch: int, draft: str, asked: int, measure: dict[str, Any], now: float) -> None:
        """The measuring is done; its result is agreed on under the epoch it was begun in."""
        self.rehearsing = None
        self.core.event(162, draft=draft, verdict=measure["verdict"])
        if self.core.consensus is not None:
            self.core.to_leader(("measured", epoch, draft, asked, measure), now)

    def on_measured(self, epoch: int, draft: str, asked: int, measure: dict[str, Any], now: float) -> None:
        """A draft was measured: the leader has the result agreed on."""
        if self._serving():
            self.core.proposals.propose(("measure", epoch, draft, asked, measure), None, now)

    def _serving(self) -> bool:
        """Whether this daemon leads and may propose."""
        consensus = self.core.consensus
        return consensus is not None and consensus.role == "leader" and consensus.serving()
