"""The operation that takes proven ends of attempts."""

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
    """("ended", what came of each item): done, cancelled, failed, again, or stale."""
    return ("ended", tuple(_end_attempt(state, *item) for item in operation.items))


def _end_attempt(state: "ClusterState", ref: str, attempt: int, how: str) -> str:
    found = state.find(ref)
    if found is None or found[2].state != "placed" or found[2].attempt != attempt:
        return "stale"
    job, task, standing = found
    state.reservations.release(job, task, standing)
    run = (
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
        past=(*standing.past, run)[-constants.ATTEMPTS_EXPLAINED :],
    )
    outcome = conclude_attempt(state, job, task, standing, how)
    close_job(state, job.identity)
    return outcome


def conclude_attempt(state: "ClusterState", job: PushedJob, task: Task, standing: Standing, how: str) -> str:
    """What an attempt's end means for its task: final, or to be tried again."""
    if how == "done":
        finish_task(state, job, task.name, standing, "done")
        return "done"
    counts = how in ("failed", "lost") or (how == "killed" and standing.yields_to in ("", "limit"))
    failures = standing.failures + counts
    standing = standing._replace(lost=standing.lost + counts * standing.took)
    if how == "lost" and job.kind != "feed" and not state.queue_settings[job.queue].repeats:
        failures = max(failures, task.attempts)  # it may have finished: no second time
    standing = standing._replace(failures=failures)
    if job.state != "pending":
        finish_task(state, job, task.name, standing, "cancelled")
        return "cancelled"
    if counts and job.kind != "feed" and failures >= task.attempts:
        job = finish_task(state, job, task.name, standing, "failed")
        job = job._replace(state="failing")
        state.put_job(job)
        stop_job(state, job, "failing")
        return "failed"
    _wait_again(state, job, task, standing, how, _retry_wait(how, failures, counts))
    return "again"


def _retry_wait(how: str, failures: int, counts: bool) -> float:
    """Seconds until a task may start again; it doubles with each failure."""
    if counts:
        wait: float = min(constants.RETRY_WAIT * 2 ** min(failures - 1, 10), constants.MAX_RETRY_WAIT)
        return wait
    return constants.RETRY_WAIT if how == "refused" else 0.0


def _wait_again(
    state: "ClusterState", job: PushedJob, task: Task, standing: Standing, how: str, wait: float
) -> None:
    """A task waits for its next attempt."""
    standing = standing._replace(
        state="waiting",
        earliest=state.time + wait,
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
    """A member of a gang did not start: the others stop, so that all start together."""
    for name, other in job.tasks.items():
        standing = job.standings[name]
        if other.gang == task.gang and standing.state == "placed" and not standing.yields_to:
            job = mark_yielding(state, job, name, "gang")
