"""The request that explains a pushed job: why each of its tasks is in its state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model.decisions import Answer
from ...model.task import reference
from .pushed_jobs import job_summary, unknown_job

if TYPE_CHECKING:
    from ...model.push_worker import PushWorker
    from ...model.pushed_job import PushedJob
    from ...model.task import Standing, Task
    from ..daemon import ControlDaemon


def explain(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """A job with the reason for the state of each task, from the cluster state and the newest scheduling
    round.
    """
    job = daemon.cluster_state.pushed_job(arguments[0])
    if job is None:
        return unknown_job(arguments[0])
    cluster_state = daemon.cluster_state
    queue_settings = cluster_state.queue_settings.get(job.queue)
    document = {
        **job_summary(job),
        "tasks": [_task_view(daemon, job, task, now) for task in job.tasks.values()],
        "setup_version": cluster_state.version,
        "placing": list(cluster_state.epochs.get("placing", (0, ""))),
        "credits": cluster_state.balance(job.queue),
        "running_units": cluster_state.used_units.get(job.queue, 0),
        "limit": queue_settings.limit if queue_settings else None,
    }
    return Answer(200, document)


def _task_view(daemon: ControlDaemon, job: PushedJob, task: Task, now: float) -> dict[str, Any]:
    standing = job.standings[task.name]
    return {
        "task": task.name,
        "state": standing.state,
        "attempt": standing.attempt,
        "failures": standing.failures,
        "attempts": task.attempts,
        "since": standing.since,
        **_reasons(daemon, job, task, now),
        "attempts_made": [_past_attempt(past) for past in standing.past],
    }


def _reasons(daemon: ControlDaemon, job: PushedJob, task: Task, now: float) -> dict[str, Any]:
    """The fields that depend on the task's state."""
    standing = job.standings[task.name]
    if standing.state == "placed":
        return {
            "minion": standing.worker,
            "verge": standing.front_daemon,
            "charges": [list(charge) for charge in standing.charges],
            "yields_to": standing.yields_to,
            "why": "placed: " + _charges_text(job, standing),
        }
    if standing.state == "waiting":
        return {
            "why": _why_waiting(daemon, job, task, standing, now),
            "candidates": _candidates(daemon, task, now),
        }
    never_placed = "" if standing.attempt else " before it was placed"
    return {"minion": standing.worker, "why": f"ended {standing.state}" + never_placed}


def _past_attempt(past: tuple[Any, ...]) -> dict[str, Any]:
    attempt, worker, front_daemon, how, placed, ended, (epoch, version), charges = past
    return {
        "attempt": attempt,
        "minion": worker,
        "verge": front_daemon,
        "how": how,
        "placed": placed,
        "ended": ended,
        "epoch": epoch,
        "setup_version": version,
        "lenders": [list(charge) for charge in charges],
    }


def _charges_text(job: PushedJob, standing: Standing) -> str:
    """Whose credits pay for a placed task, in words."""
    parts = [
        f"{credits} credits of {'its own queue' if queue == job.queue else queue}"
        for queue, credits in standing.charges
    ]
    return f"attempt {standing.attempt} on {standing.worker} with " + ", ".join(parts)


def _why_waiting(daemon: ControlDaemon, job: PushedJob, task: Task, standing: Standing, now: float) -> str:
    """Why a waiting task is not placed, in words."""
    unfinished = [predecessor for predecessor in task.after if job.standings[predecessor].state != "done"]
    if unfinished:
        return "waits for " + ", ".join(unfinished)
    begins = max(task.not_before, standing.earliest)
    if daemon.cluster_time(now) < begins:
        return f"not before {begins:.3f}"
    if reference(job.identity, task.name) in daemon.placer.proposed:
        return "proposed, not yet agreed"
    return daemon.placer.reason(daemon.cluster_state, job, task.name)


def _candidates(daemon: ControlDaemon, task: Task, now: float) -> list[dict[str, str]]:
    """For each worker, why it can't run a task, or "open"."""
    return [
        {"minion": name, "why": _why_unsuitable(daemon, name, worker, task, now)}
        for name, worker in sorted(daemon.push_workers.items())
    ]


def _why_unsuitable(daemon: ControlDaemon, name: str, worker: PushWorker, task: Task, now: float) -> str:
    """Why a worker can't run a task, or "open"."""
    report = worker.report
    left = report.capacity - sum(daemon.cluster_state.reserved.get(name, {}).values())
    closed = daemon.cluster_state.closed_reason(name, report.zone)
    lacking = sorted(set(task.labels) - set(report.labels))
    if closed:
        return closed
    if worker.unresponsive(now):
        return "silent"
    if lacking:
        return "lacks " + ", ".join(lacking)
    if left < task.units:
        return f"{left} units left of {report.capacity}"
    return "on trial" if worker.is_unreliable() else "open"
