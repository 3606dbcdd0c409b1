"""Operations that concern the cluster itself: roles, levels, and alerts that pause approvals."""

from typing import TYPE_CHECKING

from .operations import ConsensusEntry, PauseApprovals, RaiseLevel, TakeRole
from .outcomes import OK, STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def ignore(state: "ClusterState", operation: ConsensusEntry) -> Outcome:
    """An entry that concerns consensus alone."""
    return OK


def take_role(state: "ClusterState", operation: TakeRole) -> Outcome:
    """Begins the next epoch of a singleton role."""
    epoch = state.epoch(operation.role) + 1
    state.epochs[operation.role] = (epoch, operation.role_holder)
    return ("epoch", epoch)


def raise_level(state: "ClusterState", operation: RaiseLevel) -> Outcome:
    """Raises the level of operations; it never falls."""
    state.level = max(state.level, operation.level)
    return OK


def pause_approvals(state: "ClusterState", operation: PauseApprovals) -> Outcome:
    """Notes an alert that holds approvals back, or takes it out."""
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    if operation.why is None:
        state.approval_pauses.pop(operation.alert, None)
    else:
        state.approval_pauses[operation.alert] = (state.time, operation.why)
    return OK
