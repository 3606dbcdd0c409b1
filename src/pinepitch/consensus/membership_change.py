"""Membership changes by joint consensus (section 8), and learners that catch up before they join."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..common import constants
from .follower import Follower
from .quorum import Membership, Quorum
from .roles import LEADER

if TYPE_CHECKING:
    from .effects import Effect
    from .replica import Consensus


def begin(
    replica: Consensus, members: dict[str, str], time: float, now: float
) -> tuple[int, list[Effect]] | None:
    """Starts a joint change to `members` (identity -> zone).

    Returns None if a change or a leadership transfer is in progress, if this replica does not lead, or if
    no entry of its term is committed yet.
    """
    if replica.role != LEADER or replica.membership.coming is not None or not replica.serving():
        return None
    if replica.pending_transfer is not None:
        return None  # left to the successor
    if replica.membership_index > replica.applied_index:
        return None
    coming = Quorum(dict(members), replica.membership.now.mode)
    replica.event(130, members=sorted(members))
    for identity in members:
        replica.learners.pop(identity, None)  # a voter from now on: its acknowledgements count
    joint = Membership(replica.membership.now, coming)
    return replica.propose([("members", joint.image())], time, now)


def add_learner(replica: Consensus, identity: str, zone: str, now: float) -> None:
    """Starts to replicate to a replica that is not a member yet."""
    if replica.role == LEADER and identity not in replica.followers:
        replica.learners[identity] = zone
        replica.followers[identity] = Follower(replica.last_index(), now)


def remove_learner(replica: Consensus, identity: str) -> None:
    """Stops replicating to a learner."""
    if replica.learners.pop(identity, None) is not None:
        replica.followers.pop(identity, None)


def caught_up(replica: Consensus, identity: str) -> bool:
    """Whether a replica's log is close enough to the leader's to vote."""
    follower = replica.followers.get(identity)
    if follower is None or follower.probing or follower.transfer is not None:
        return False
    last = replica.last_index()
    if follower.match_index + constants.CAUGHT_UP < last:
        return False
    return replica.log.bytes_between(follower.match_index + 1, last) <= constants.CAUGHT_UP_BYTES
