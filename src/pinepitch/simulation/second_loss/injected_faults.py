"""Injected faults that the second-loss trials must detect."""

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from ...common.effects import SaveChange, WriteBase
from ...consensus import acknowledgements, handlers, leadership_transfer, messages
from ...consensus.quorum import Membership
from ...consensus.replica import Consensus
from ...control import membership
from ...control.bootstrap import Bootstrap, cluster_identity
from ...control.membership_changes import MembershipChanges
from .. import injected_faults, simulator
from ..machines import Node


def _serves_after_transfer(replica: Any, now: float) -> None:
    """Transfers leadership but continues to serve under its own lease."""
    target = replica.pending_transfer.target
    follower = replica.followers.get(target)
    if follower is not None and follower.match_index >= replica.last_index() <= replica.applied_index:
        replica.send(target, messages.LeadershipTransfer(replica.term, {}), replica.hard_state_sequence)
        replica.pending_transfer = None


def _steps_down(self: Any, candidates: Any, now: float) -> Any:
    """Gives up leadership without naming a successor."""
    if self.role == "leader":
        self.become_follower(self.term, now, "stopping")
    return self.take_effects(now)


def _old_quorum_only(self: Any, identities: Any, leader: Any) -> Any:
    """Counts only the quorum of the old membership during a joint change."""
    return self.now.commits(identities, leader)


def _removes_stopping_voter(self: Any, members: dict[str, str], live: Any, now: float) -> Any:
    """Removes a stopping voter from the membership even if there is no spare."""
    for stopping in self.leaving:
        if stopping in members:
            return {identity: zone for identity, zone in members.items() if identity != stopping}
    return original_wanted(self, members, live, now)


def _any_successor(quorum: Any, stopping: Any, spares: Any, live: Any) -> Any:
    """Replaces a stopping voter by any spare, whatever its zone."""
    return min(spares, default=None)


def _no_successor(quorum: Any, stopping: Any, spares: Any, live: Any) -> None:
    return None


def _counts_before_stored(replica: Any, sender: str, message: Any, now: float) -> None:
    """Counts entries as stored by a follower as soon as they were sent."""
    follower = replica.followers.get(sender)
    if replica.role == "leader" and message.term == replica.term and follower is not None:
        stored = message._replace(success=True, match_index=replica.last_index())
        original_append_reply(replica, sender, stored, now)


def _bootstraps_at_once(self: Any, now: float) -> Any:
    """Consents to the first sufficient list of daemons, whatever the others see."""
    view = self.view(now)
    if len(view) < self.bootstrap_size or self.veto(now):
        return None
    members = {identity: self.empty_daemons[identity][0] for identity in view}
    return cluster_identity(members), members


def _early_snapshot(self: Any, node: Node, sequence: int | None, payload: Any) -> None:
    """Reports a received snapshot as durable before it is."""
    original_base(self, node, sequence, payload)
    if sequence is not None:
        self.at(0.0, "give", node.name, node.incarnation, ("saved", sequence))


original_base = simulator.Simulator._base
original_wanted = MembershipChanges._wanted_members
original_append_reply = acknowledgements.on_append_reply
INJECTED_FAULTS: dict[str, list[tuple[Any, str, Any]]] = {
    "serves-on": [(leadership_transfer, "try_complete", _serves_after_transfer)],
    "no-successor": [(Consensus, "transfer_leadership", _steps_down)],
    "old-list-alone": [(Membership, "commits", _old_quorum_only)],
    "no-heir": [(membership, "successor", _no_successor)],
    "seat-dropped": [(MembershipChanges, "_wanted_members", _removes_stopping_voter)],
    "any-heir": [(membership, "successor", _any_successor)],
    "never-spread": [(MembershipChanges, "_rebalance_zones", lambda *_: None)],
    "area-alone": [(membership, "improves_tolerance", lambda *_: False)],
    "slow-replacement": [(membership.ReplacementBudget, "replace_after", lambda self: 4.5)],
    "snapshot-too-soon": [(simulator.Simulator, "_base", _early_snapshot)],
    "held-too-soon": [(simulator.Simulator, "_save", injected_faults._early_saved)],
    "counted-too-soon": [(acknowledgements, "on_append_reply", _counts_before_stored)],
    "founds-at-sight": [(Bootstrap, "ready", _bootstraps_at_once)],
}


@contextlib.contextmanager
def injected(name: str) -> Iterator[None]:
    """Injects the fault of that name while the context is active; '' injects none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        handler = {messages.AppendReply: acknowledgements.on_append_reply}
        stack.enter_context(mock.patch.dict(handlers.HANDLERS, handler))
        effects = {SaveChange: simulator.Simulator._save, WriteBase: simulator.Simulator._base}
        stack.enter_context(mock.patch.dict(simulator.EFFECTS, effects))
        yield
