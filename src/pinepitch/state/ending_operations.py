"""The operation that records the proven ends of attempts."""

from typing import TYPE_CHECKING

from ..common import constants
from ..model.pushed_job import PushedJob
from ..model.task import Standing, Task
from .job_lifecycle import close_job, finish_task, mark_yielding, stop_job
from .operations import EndAttempts
from .outcomes import Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState


def end_attempts(state: "ClusterState", operation: EndAttempts) -> Outcome:
    """("ended", (result of each item)); a result is done, cancelled, failed, again or stale."""
    return ("ended", tuple(_end_attempt(state, *item) for item in operation.items))


def _end_attempt(state: "ClusterState", ref: str, attempt: int, how: str) -> str:
    match = state.find(ref)
    if match is None or match[2].state != "placed" or match[2].attempt != attempt:
        return "stale"
    job, task, standing = match
    state.reservations.release(job, task, standing)
    past_attempt = (
        attempt,
        standing.worker,
        standing.front_daemon,
        how,
        standing.since,
        state.time,
        standing.placed_under,
        standing.charges,
    )
    standing = standing._replace(
        took=state.time - standing.since,
        past=(*standing.past, past_attempt)[-constants.ATTEMPTS_EXPLAINED :],
    )
    outcome = conclude_attempt(state, job, task, standing, how)
    close_job(state, job.identity)
    return outcome


def conclude_attempt(state: "ClusterState", job: PushedJob, task: Task, standing: Standing, how: str) -> str:
    """Makes the task of an ended attempt final or waiting again; returns the result as in end_attempts()."""
    if how == "done":
        finish_task(state, job, task.name, standing, "done")
        return "done"
    is_failure = how in ("failed", "lost") or (how == "killed" and standing.yields_to in ("", "limit"))
    failures = standing.failures + is_failure
    standing = standing._replace(lost=standing.lost + is_failure * standing.took)
    if how == "lost" and job.kind != "feed" and not state.queue_settings[job.queue].repeats:
        failures = max(failures, task.attempts)  # it may have finished, so it is not retried
    standing = standing._replace(failures=failures)
    if job.state != "pending":
        finish_task(state, job, task.name, standing, "cancelled")
        return "cancelled"
    if is_failure and job.kind != "feed" and failures >= task.attempts:
        job = finish_task(state, job, task.name, standing, "failed")
        job = job._replace(state="failing")
        state.put_job(job)
        stop_job(state, job, "failing")
        return "failed"
    _requeue(state, job, task, standing, how, _retry_delay(how, failures, is_failure))
    return "again"


def _retry_delay(how: str, failures: int, is_failure: bool) -> float:
    """Seconds until a task may start again; the delay doubles with each failure up to MAX_RETRY_WAIT."""
    if is_failure:
        delay: float = min(constants.RETRY_WAIT * 2 ** min(failures - 1, 10), constants.MAX_RETRY_WAIT)
        return delay
    return constants.RETRY_WAIT if how == "refused" else 0.0


def _requeue(
    state: "ClusterState", job: PushedJob, task: Task, standing: Standing, how: str, delay: float
) -> None:
    """Makes a task wait for its next attempt, which starts after `delay` seconds at the earliest."""
    standing = standing._replace(
        state="waiting",
        earliest=state.time + delay,
        yields_to="",
        charges=(),
        since=state.time,
    )
    job = state.put_standing(job, task.name, standing)
    state.progress.count_waiting(job, 1)
    if task.gang and how in ("never", "refused"):
        _stop_gang(state, job, task)
    state.put_in_ready_queue(job, task.name)


def _stop_gang(state: "ClusterState", job: PushedJob, task: Task) -> None:
    """Asks the running members of a gang to stop after one did not start, so that all start together."""
    for name, member in job.tasks.items():
        standing = job.standings[name]
        if member.gang == task.gang and standing.state == "placed" and not standing.yields_to:
            job = mark_yielding(state, job, name, "gang")
