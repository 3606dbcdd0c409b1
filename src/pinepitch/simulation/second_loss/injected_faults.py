"""Injected faults that the trials of second losses must find."""

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


def _serves_on(replica: Any, now: float) -> None:
    """Names a successor and goes on serving under its lease."""
    target = replica.pending_transfer.target
    follower = replica.followers.get(target)
    if follower is not None and follower.match_index >= replica.last_index() <= replica.applied_index:
        replica.send(target, messages.LeadershipTransfer(replica.term, {}), replica.hard_state_sequence)
        replica.pending_transfer = None


def _stands_down(self: Any, candidates: Any, now: float) -> Any:
    """Gives leadership up without a successor."""
    if self.role == "leader":
        self.become_follower(self.term, now, "stopping")
    return self.take_effects(now)


def _old_list_alone(self: Any, identities: Any, leader: Any) -> Any:
    """Takes the old list's word for both."""
    return self.now.commits(identities, leader)


def _shrinks(self: Any, members: dict[str, str], live: Any, now: float) -> Any:
    """Takes a stopping voter off the list, spare or no spare."""
    for leaver in self.leaving:
        if leaver in members:
            return {one: zone for one, zone in members.items() if one != leaver}
    return original_wanted(self, members, live, now)


def _any_heir(quorum: Any, leaver: Any, spares: Any, live: Any) -> Any:
    """Gives a stopping voter's seat to whatever spare there is."""
    return min(spares, default=None)


def _no_heir(quorum: Any, leaver: Any, spares: Any, live: Any) -> None:
    return None


def _counts_at_once(replica: Any, sender: str, message: Any, now: float) -> None:
    """Takes an append that was sent for one that is held."""
    follower = replica.followers.get(sender)
    if replica.role == "leader" and message.term == replica.term and follower is not None:
        stored = message._replace(success=True, match_index=replica.last_index())
        original_append_reply(replica, sender, stored, now)


def _founds_at_sight(self: Any, now: float) -> Any:
    """Consents to whatever list it sees first, whatever the others see."""
    view = self.view(now)
    if len(view) < self.bootstrap_size or self.veto(now):
        return None
    members = {one: self.empty_daemons[one][0] for one in view}
    return cluster_identity(members), members


def _early_base(self: Any, node: Node, sequence: int | None, payload: Any) -> None:
    """Tells a snapshot that came durable before it is."""
    original_base(self, node, sequence, payload)
    if sequence is not None:
        self.at(0.0, "give", node.name, node.incarnation, ("saved", sequence))


original_base = simulator.Simulator._base
original_wanted = MembershipChanges._wanted_members
original_append_reply = acknowledgements.on_append_reply
INJECTED_FAULTS: dict[str, list[tuple[Any, str, Any]]] = {
    "serves-on": [(leadership_transfer, "try_complete", _serves_on)],
    "no-successor": [(Consensus, "transfer_leadership", _stands_down)],
    "old-list-alone": [(Membership, "commits", _old_list_alone)],
    "no-heir": [(membership, "successor", _no_heir)],
    "seat-dropped": [(MembershipChanges, "_wanted_members", _shrinks)],
    "any-heir": [(membership, "successor", _any_heir)],
    "never-spread": [(MembershipChanges, "_rebalance_zones", lambda *_: None)],
    "area-alone": [(membership, "improves_tolerance", lambda *_: False)],
    "slow-replacement": [(membership.ReplacementBudget, "replace_after", lambda self: 4.5)],
    "snapshot-too-soon": [(simulator.Simulator, "_base", _early_base)],
    "held-too-soon": [(simulator.Simulator, "_save", injected_faults._early_saved)],
    "counted-too-soon": [(acknowledgements, "on_append_reply", _counts_at_once)],
    "founds-at-sight": [(Bootstrap, "ready", _founds_at_sight)],
}


@contextlib.contextmanager
def injected(name: str) -> Iterator[None]:
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in INJECTED_FAULTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        handler = {messages.AppendReply: acknowledgements.on_append_reply}
        stack.enter_context(mock.patch.dict(handlers.HANDLERS, handler))
        effects = {SaveChange: simulator.Simulator._save, WriteBase: simulator.Simulator._base}
        stack.enter_context(mock.patch.dict(simulator.EFFECTS, effects))
        yield
