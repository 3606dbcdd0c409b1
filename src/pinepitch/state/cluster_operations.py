"""Operations on the cluster itself: roles, levels, and alerts that block approvals of drafts.

The level of operations is the newest set of operations that every member can apply.
"""

from typing import TYPE_CHECKING

from .operations import ConsensusEntry, PauseApprovals, RaiseLevel, TakeRole
from .outcomes import OK, STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def ignore(state: "ClusterState", operation: ConsensusEntry) -> Outcome:
    """Applies an entry that only consensus uses, which changes nothing in the cluster state."""
    return OK


def take_role(state: "ClusterState", operation: TakeRole) -> Outcome:
    """Gives a singleton role to a new owner and begins the role's next epoch."""
    epoch = state.epoch(operation.role) + 1
    state.epochs[operation.role] = (epoch, operation.owner)
    return ("epoch", epoch)


def raise_level(state: "ClusterState", operation: RaiseLevel) -> Outcome:
    """Raises the level of operations; it never decreases."""
    state.level = max(state.level, operation.level)
    return OK


def pause_approvals(state: "ClusterState", operation: PauseApprovals) -> Outcome:
    """Records that an alert blocks approvals of drafts, or, if the reason is None, that it no longer does.

    Refused if the proposer has lost the "placing" role, whose epoch the operation has.
    """
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    if operation.reason is None:
        state.approval_pauses.pop(operation.alert, None)
    else:
        state.approval_pauses[operation.alert] = (state.time, operation.reason)
    return OK
