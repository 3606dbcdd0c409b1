"""Transitions of a pushed job and its tasks to their final states."""

from typing import TYPE_CHECKING

from ..common import constants
from ..model.pushed_job import PushedJob
from ..model.task import Standing, reference, unit_of

if TYPE_CHECKING:
    from .cluster_state import ClusterState

# State of a live job -> the final state in which it ends.
FINAL_STATES = {"cancelling": "cancelled", "failing": "failed", "pending": "finished"}


def finish_task(
    state: "ClusterState", job: PushedJob, name: str, standing: Standing, final_state: str
) -> PushedJob:
    """Moves a task to a final state and returns the updated job."""
    if standing.state == "waiting":
        state.progress.count_waiting(job, -1)
        state.ready_queue.remove(job, unit_of(job.tasks[name]))
    job = state.put_standing(
        job, name, standing._replace(state=final_state, yields_to="", charges=(), since=state.time)
    )
    state.progress.unfinished_counts[job.identity] -= 1
    if final_state == "done":
        for successor in state.progress.task_done(job.identity, name):
            if job.standings[successor].state == "waiting":
                state.put_in_ready_queue(job, successor)
    return job


def stop_job(state: "ClusterState", job: PushedJob, reason: str) -> None:
    """Cancels the waiting tasks of a job and asks the running ones to stop."""
    for name in job.tasks:  # in the document's order; the order of a Map differs between processes
        standing = job.standings[name]
        if standing.state == "waiting":
            job = finish_task(state, job, name, standing, "cancelled")
        elif standing.state == "placed" and standing.yields_to != reason:
            job = mark_yielding(state, job, name, reason)
    close_job(state, job.identity)


def mark_yielding(state: "ClusterState", job: PushedJob, name: str, reason: str) -> PushedJob:
    """Asks a placed task to stop, for a reason as in Standing.yields_to; returns the updated job."""
    standing = job.standings[name]
    job = state.put_standing(job, name, standing._replace(yields_to=reason))
    state.reservations.yielding[reference(job.identity, name)] = standing.attempt
    return job


def close_job(state: "ClusterState", identity: str) -> None:
    """Makes a job final once all of its tasks are final."""
    job = state.pushed_jobs[identity]
    if state.progress.unfinished_counts.get(identity, 1):
        return
    final_state = FINAL_STATES[job.state]
    if final_state == "finished" and any(standing.state != "done" for standing in job.standings.values()):
        raise AssertionError(f"{identity} would finish although some of its tasks are not done")
    state.put_job(job._replace(state=final_state, ended_at=state.time))
    state.progress.remove(job)
    state.traffic_sample.add_result(state.pushed_jobs[identity])
    state.finished.append((identity, state.time))
    if len(state.finished) >= constants.FINISHED_LIVE + constants.SEGMENT_JOBS:
        _seal_oldest(state)


def _seal_oldest(state: "ClusterState") -> None:
    """Moves the oldest finished jobs into a segment of the archive."""
    oldest = [state.pushed_jobs[identity] for identity, _ in state.finished[: constants.SEGMENT_JOBS]]
    last_ended = state.finished[constants.SEGMENT_JOBS - 1][1]
    del state.finished[: constants.SEGMENT_JOBS]
    state.sealed.append(state.archive.seal(oldest, last_ended))
    for job in oldest:
        state.pushed_jobs = state.pushed_jobs.delete(job.identity)
        state.keys = state.keys.delete(job.key)
    state.archive.prune(state.time - constants.KEYS_KEPT)
