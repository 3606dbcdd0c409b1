"""Cancellations of jobs that the leader does not know: gathered, and proposed several at a time.

Any caller can ask for them at any rate, so they get an entry of the log at intervals only, and are turned
away while the cluster state has no room for their tombstones.
"""

import itertools
from typing import TYPE_CHECKING, NamedTuple

from ..common import constants
from ..model.decisions import ProposeTombstone, problem
from .proposals import OutcomeListener

if TYPE_CHECKING:
    from .daemon import ControlDaemon

OPERATION = "job-cancel-unknown"


class EarlyCancellation(NamedTuple):
    """A cancellation that waits to be proposed, and the request that asked for it."""

    address: str  # of the daemon that forwarded the request
    token: str  # of the request
    tombstone: tuple[str, ...]  # the fields of a scheduling.tombstones.Tombstone


class EarlyCancellations:
    """Invariants: it is empty unless this daemon leads; at most one entry with tombstones is proposed and not
    applied yet, and entries are proposed at least TOMBSTONES_EVERY seconds apart.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Resets all state, as a term begins or ends."""
        self.waiting: dict[str, EarlyCancellation] = {}  # by token, oldest first
        self._unapplied = False  # whether an entry is proposed and not applied yet
        self._proposed_at = -1e9  # seconds of the steady clock

    def gather(self, address: str, token: str, decision: ProposeTombstone) -> None:
        """Gathers a cancellation. It is refused if more wait than may be stored."""
        if len(self.waiting) < constants.MAX_TOMBSTONES:
            self.waiting[token] = EarlyCancellation(address, token, decision.tombstone)
            return
        refusal = problem(503, "full", "too many unknown jobs are cancelled", constants.RETRY_AFTER)
        self.daemon.forwarded_requests.answer(address, token, refusal)

    def on_applied(self) -> None:
        """Handles that the proposed entry was applied."""
        self._unapplied = False

    def propose_due(self, now: float) -> None:
        """Proposes one entry for cancellations that wait, if it is due."""
        if not self.waiting or self._unapplied or now - self._proposed_at < constants.TOMBSTONES_EVERY:
            return
        batch = list(itertools.islice(self.waiting.values(), constants.MAX_ENTRY_TOMBSTONES))
        for cancellation in batch:
            del self.waiting[cancellation.token]
        listeners = [
            OutcomeListener(cancellation.address, cancellation.token, OPERATION, place)
            for place, cancellation in enumerate(batch)
        ]
        items = tuple(cancellation.tombstone for cancellation in batch)
        self._proposed_at = now
        self._unapplied = self.daemon.proposals.propose_together((OPERATION, items), listeners, now)

    def refuse_all(self, now: float) -> None:
        """Refuses what waits, as this daemon no longer leads; none of it was proposed."""
        for cancellation in self.waiting.values():
            self.daemon.forwarded_requests.refuse_pending(cancellation.address, cancellation.token, None, now)
        self.waiting.clear()
