"""The operation by which running tasks are to stop and make place."""

from typing import TYPE_CHECKING

from ..model.pushed_job import PushedJob
from .job_lifecycle import mark_yielding
from .operations import YieldTasks
from .outcomes import STALE_EPOCH, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState

REASONS = ("move", "limit")  # to yield for, but a task's reference: to a better place, over its time


def yield_tasks(state: "ClusterState", operation: YieldTasks) -> Outcome:
    """("yields", '' or why not for each item). Who yields to whom is decided here."""
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    return ("yields", tuple(_yield(state, *item) for item in operation.items))


def _yield(state: "ClusterState", ref: str, attempt: int, whom: str) -> str:
    found = state.find(ref)
    if found is None:
        return "stale"
    job, task, standing = found
    if standing.state != "placed" or standing.attempt != attempt or standing.yields_to:
        return "stale"
    if whom not in REASONS:
        refusal = _preemption_refusal(state, job, whom)
        if refusal:
            return refusal
    mark_yielding(state, job, task.name, whom)
    return ""


def _preemption_refusal(state: "ClusterState", job: PushedJob, whom: str) -> str:
    """Why a job's task need not yield to the task `whom`, or ''."""
    found = state.find(whom)
    if found is None or found[2].state != "waiting":
        return "nobody waits"
    other = found[0]
    allowed = (
        state.queue_settings[other.queue].preempts
        and state.queue_settings[job.queue].yields
        and other.urgency > job.urgency
    )
    return "" if allowed else "not allowed"
