"""Operations that close workers and zones to new work or open them again."""

from typing import TYPE_CHECKING

from .ending_operations import end_attempts
from .operations import DrainWorker, EmptyZone, EndAttempts, WithdrawWorker, WorkerGone
from .outcomes import OK, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def drain_worker(state: "ClusterState", operation: DrainWorker) -> Outcome:
    """Closes a worker or opens it; opening also cancels its withdrawal."""
    if operation.closed:
        state.drained[operation.worker] = state.time
    else:
        state.drained.pop(operation.worker, None)
        state.withdrawn.pop(operation.worker, None)
    return OK


def empty_zone(state: "ClusterState", operation: EmptyZone) -> Outcome:
    """Closes a zone or opens it."""
    if operation.emptied:
        state.emptied[operation.zone] = state.time
    else:
        state.emptied.pop(operation.zone, None)
    return OK


def withdraw_worker(state: "ClusterState", operation: WithdrawWorker) -> Outcome:
    """Records when a worker will be gone, unless it is already gone."""
    worker = operation.worker
    if worker not in state.withdrawn or not state.withdrawn[worker][1]:
        state.withdrawn[worker] = (operation.due, False)
    return OK


def worker_gone(state: "ClusterState", operation: WorkerGone) -> Outcome:
    """Marks a worker as gone once its withdrawal is due, so that its tasks can start elsewhere."""
    worker = operation.worker
    due, gone = state.withdrawn.get(worker, (0.0, True))
    if gone or state.time < due:
        return ("refused", "not due")
    state.withdrawn[worker] = (due, True)
    items = []
    for ref in sorted(state.reserved.get(worker, {})):
        _, _, standing = state.find_known(ref)
        items.append((ref, standing.attempt, "never"))
    return end_attempts(state, EndAttempts(items))
