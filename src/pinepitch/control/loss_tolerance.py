"""How many more control machines the cluster may lose now, and the obstacles to more."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ..common import constants
from . import membership

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class LossTolerance(NamedTuple):
    """Which losses would leave the cluster able to commit and elect.

    Invariants: -1 machines means that it can't even without another loss; any_zone says whether any one whole
    zone may be lost; each obstacle is a sentence for operators.
    """

    machines: int  # how many, whichever they are
    any_zone: bool
    obstacles: tuple[str, ...]


def loss_tolerance(daemon: ControlDaemon, now: float) -> LossTolerance:
    """The tolerance of losses as the leader sees it. Voters that are unreachable, or lack more of the log
    than a newcomer may, count as lost already. During a change of members both lists must tolerate the loss.
    """
    consensus = daemon.consensus
    obstacles = {identity: why for identity in _voters(daemon) if (why := _obstacle(daemon, identity, now))}
    ready = set(_voters(daemon)) - set(obstacles)
    tolerances = [membership.tolerance(quorum, ready) for quorum in consensus.membership.quorums()]
    sentences = list(obstacles.values())
    if consensus.membership_changing():
        sentences.append("a change of members is under way")
    if consensus.pending_transfer is not None:
        sentences.append("the leader is handing leadership over")
    machines = min(tolerance.machines for tolerance in tolerances)
    if machines < 1 and not sentences:
        sentences.append(f"{len(_voters(daemon))} voters are too few to bear a loss")
    return LossTolerance(machines, all(tolerance.zones for tolerance in tolerances), tuple(sentences))


def _voters(daemon: ControlDaemon) -> list[str]:
    return sorted(daemon.consensus.membership.members())


def _obstacle(daemon: ControlDaemon, identity: str, now: float) -> str:
    """Why a voter can't be counted on now, or ''."""
    if identity == daemon.identity:
        return ""
    name = f"voter {identity} in zone {daemon.consensus.membership.members()[identity]}"
    follower = daemon.consensus.followers.get(identity)
    if follower is None or now - follower.heard_at > constants.CHECK_QUORUM:
        return f"{name} is not heard"
    if not daemon.consensus.caught_up(identity):
        return f"{name} lacks much of the log"
    return ""
