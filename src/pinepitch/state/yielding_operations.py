"""The operation that asks running tasks to stop so that others can run."""

from typing import TYPE_CHECKING

from ..model.pushed_job import PushedJob
from .job_lifecycle import mark_yielding
from .operations import YieldTasks
from .outcomes import STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState

# Reasons to yield other than a task's reference: to move to a better worker, to end after the time limit.
REASONS = ("move", "limit")


def yield_tasks(state: "ClusterState", operation: YieldTasks) -> Outcome:
    """("yields", ('' or the reason for refusal, for each item)).

    The rules for which task yields to which are checked here, not by the proposer.
    """
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    return ("yields", tuple(_yield(state, *item) for item in operation.items))


def _yield(state: "ClusterState", ref: str, attempt: int, yields_to: str) -> str:
    match = state.find(ref)
    if match is None:
        return "stale"
    job, task, standing = match
    if standing.state != "placed" or standing.attempt != attempt or standing.yields_to:
        return "stale"
    if yields_to not in REASONS:
        refusal = _preemption_refusal(state, job, yields_to)
        if refusal:
            return refusal
    mark_yielding(state, job, task.name, yields_to)
    return ""


def _preemption_refusal(state: "ClusterState", job: PushedJob, preempting_ref: str) -> str:
    """Why a task of a job need not yield to the task `preempting_ref`, or ''."""
    match = state.find(preempting_ref)
    if match is None or match[2].state != "waiting":
        return "nobody waits"
    preempting_job = match[0]
    allowed = (
        state.queue_settings[preempting_job.queue].preempts
        and state.queue_settings[job.queue].yields
        and preempting_job.urgency > job.urgency
    )
    return "" if allowed else "not allowed"
