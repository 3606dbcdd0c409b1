"""The way of a pushed job's tasks, and of the job itself, to their final states."""

from typing import TYPE_CHECKING

from ..common import constants
from ..model.pushed_job import PushedJob
from ..model.task import Standing, reference, unit_of

if TYPE_CHECKING:
    from .cluster_state import ClusterState

FINAL_STATES = {"cancelling": "cancelled", "failing": "failed", "pending": "finished"}


def finish_task(
    state: "ClusterState", job: PushedJob, name: str, standing: Standing, final: str
) -> PushedJob:
    """A task becomes final; the job as it is then."""
    if standing.state == "waiting":
        state.progress.count_waiting(job, -1)
        state.ready_queue.remove(job, unit_of(job.tasks[name]))
    job = state.put_standing(
        job, name, standing._replace(state=final, yields_to="", charges=(), since=state.time)
    )
    state.progress.unfinished_counts[job.identity] -= 1
    if final == "done":
        for other in state.progress.task_done(job.identity, name):
            if job.standings[other].state == "waiting":
                state.put_in_ready_queue(job, other)
    return job


def stop_job(state: "ClusterState", job: PushedJob, why: str) -> None:
    """Nothing more of a job starts; what runs is to be killed."""
    for name in job.tasks:  # in the document's order: a Map's differs from process to process
        standing = job.standings[name]
        if standing.state == "waiting":
            job = finish_task(state, job, name, standing, "cancelled")
        elif standing.state == "placed" and standing.yields_to != why:
            job = mark_yielding(state, job, name, why)
    close_job(state, job.identity)


def mark_yielding(state: "ClusterState", job: PushedJob, name: str, why: str) -> PushedJob:
    """A placed task is to stop; the job as it is then."""
    standing = job.standings[name]
    job = state.put_standing(job, name, standing._replace(yields_to=why))
    state.reservations.yielding[reference(job.identity, name)] = standing.attempt
    return job


def close_job(state: "ClusterState", identity: str) -> None:
    """A job none of whose tasks is left becomes final."""
    job = state.pushed_jobs[identity]
    if state.progress.unfinished_counts.get(identity, 1):
        return
    final = FINAL_STATES[job.state]
    if final == "finished" and any(one.state != "done" for one in job.standings.values()):
        raise AssertionError(f"{identity} would finish with a task that has not ended well")
    state.put_job(job._replace(state=final, ended_at=state.time))
    state.progress.remove(job)
    state.sample.final(state.pushed_jobs[identity])
    state.finished.append((identity, state.time))
    if len(state.finished) >= constants.FINISHED_LIVE + constants.SEGMENT_JOBS:
        _seal_oldest(state)


def _seal_oldest(state: "ClusterState") -> None:
    """Moves the oldest finished jobs into a segment of the archive."""
    oldest = [state.pushed_jobs[identity] for identity, _ in state.finished[: constants.SEGMENT_JOBS]]
    ended = state.finished[constants.SEGMENT_JOBS - 1][1]
    del state.finished[: constants.SEGMENT_JOBS]
    state.sealed.append(state.archive.seal(oldest, ended))
    for job in oldest:
        state.pushed_jobs = state.pushed_jobs.delete(job.identity)
        state.keys = state.keys.delete(job.key)
    state.archive.prune(state.time - constants.KEYS_KEPT)
