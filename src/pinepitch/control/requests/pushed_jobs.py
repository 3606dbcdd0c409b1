"""Requests about pushed jobs: submit, read, list, cancel."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...common import constants
from ...model.decisions import Answer, Decision, Propose, faulty, problem

if TYPE_CHECKING:
    from ...model.pushed_job import PushedJob
    from ..daemon import ControlDaemon


def unknown_job(identity: str) -> Answer:
    """The answer about a job that is neither live nor archived."""
    return problem(404, "unknown_ticket", f"no ticket {identity!r}")


# --- submitting ----------------------------------------------------------------------
def submit(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """Accepts a validated job. A submission with the same key and the same digest of its body is the same
    job.
    """
    key, digest, plain = arguments
    cluster_state = daemon.cluster_state
    unplaceable = _why_unplaceable(daemon, plain, now)
    refusal = cluster_state.outcome_for_key(key, digest) or cluster_state.job_refusal(plain, unplaceable)
    if refusal is None:
        return Propose(("ticket", key, digest, plain, unplaceable), "submit")
    if refusal[0] == "shed":
        daemon.event(170, queue=plain["queue"], why=refusal[1])
    return submit_answer(daemon, refusal)


def _why_unplaceable(daemon: ControlDaemon, plain: dict[str, Any], now: float) -> str:
    """Why none of the known workers, responsive or not, could run some task, or "". A leader that has not yet
    gathered the reports of its workers rules nothing out.
    """
    since = daemon.leader_since
    if not daemon.push_workers or since is None or now - since < constants.REPORT_GATHERING:
        return ""
    checked_shapes = set()
    for task in plain["tasks"]:
        shape = (task["units"], frozenset(task["labels"]))
        if shape in checked_shapes:
            continue
        checked_shapes.add(shape)
        why = _why_none_fits(daemon, task["name"], *shape)
        if why:
            return why
    return ""


def _why_none_fits(daemon: ControlDaemon, name: str, units: int, labels: frozenset[str]) -> str:
    """Why no known worker could ever run a task of so many units with these labels, or ""."""
    reports = [worker.report for worker in daemon.push_workers.values()]
    capacities = [report.capacity for report in reports if labels <= set(report.labels)]
    if not capacities:
        return f"task {name} asks for {', '.join(sorted(labels))}, which no known minion has"
    largest = max(capacities)
    if largest < units:
        return f"task {name} asks for {units} units, over the {largest} of any fitting minion"
    return ""


def _accepted(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return Answer(201, _summary_of(daemon, outcome[1]))


def _known(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return Answer(200, _summary_of(daemon, outcome[1]))


def _mismatch(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(409, "key_reused", "this key came with another body before", ticket=outcome[1])


def _rejected(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(429, "shed", outcome[1], constants.RETRY_AFTER)


def _invalid(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return faulty(outcome[1])


# outcome of a submission -> builder of its answer
_SUBMIT_ANSWERS = {
    "accepted": _accepted,
    "known": _known,
    "mismatch": _mismatch,
    "shed": _rejected,
    "invalid": _invalid,
}


def submit_answer(
    daemon: ControlDaemon, outcome: tuple[Any, ...], context: None = None, now: float | None = None
) -> Answer:
    """The answer to a submission: 201 for a new job, 200 for a job known by its key."""
    return _SUBMIT_ANSWERS[outcome[0]](daemon, outcome)


# --- reading -------------------------------------------------------------------------
def job_summary(job: PushedJob) -> dict[str, Any]:
    """A job without its tasks; times are seconds of cluster time."""
    return {
        "ticket": job.identity,
        "key": job.key,
        "queue": job.queue,
        "kind": job.kind,
        "urgency": job.urgency,
        "due": job.due,
        "accepted": job.accepted,
        "state": job.state,
        "ended": job.ended_at,
        "tasks": len(job.tasks),
        "parked": job.unplaceable,
    }


def _summary_of(daemon: ControlDaemon, identity: str) -> dict[str, Any]:
    """The summary of a job that must exist, as every accepted job does."""
    job = daemon.cluster_state.pushed_job(identity)
    assert job is not None, f"{identity} is not there"
    return job_summary(job)


def _job_with_tasks(job: PushedJob) -> dict[str, Any]:
    """A job with the state of each task."""
    tasks = [_task_view(job, name) for name in job.tasks]
    return {**job_summary(job), "tasks": tasks}


def _task_view(job: PushedJob, name: str) -> dict[str, Any]:
    task, standing = job.tasks[name], job.standings[name]
    return {
        "name": name,
        "state": standing.state,
        "attempt": standing.attempt,
        "failures": standing.failures,
        "minion": standing.worker,
        "after": list(task.after),
        "units": task.units,
        "labels": list(task.labels),
        "gang": task.gang,
        "not_before": task.not_before,
        "attempts": task.attempts,
        "yields_to": standing.yields_to,
        "since": standing.since,
    }


def read_job(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """One job with its tasks, live or archived."""
    job = daemon.cluster_state.pushed_job(arguments[0])
    if job is None:
        return unknown_job(arguments[0])
    return Answer(200, _job_with_tasks(job))


def list_jobs(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """A page of jobs in the order of their numbers, or the job of a key. `next` is the number after which the
    next page begins.
    """
    after, page_size, state, queue, key = arguments
    if key:
        return Answer(200, {"tickets": _jobs_of_key(daemon, key), "next": None})
    cluster_state, listed = daemon.cluster_state, []
    number, following = after, None
    while number < cluster_state.accepted_count:
        number += 1
        job = cluster_state.pushed_job(f"t{number}")
        if job is None or (state and job.state != state) or (queue and job.queue != queue):
            continue
        listed.append(job_summary(job))
        if len(listed) >= page_size:
            following = number if number < cluster_state.accepted_count else None
            break
    return Answer(200, {"tickets": listed, "next": following})


def _jobs_of_key(daemon: ControlDaemon, key: str) -> list[dict[str, Any]]:
    known = daemon.cluster_state.outcome_for_key(key, "")
    return [_summary_of(daemon, known[1])] if known else []


# --- cancelling ----------------------------------------------------------------------
def cancel(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Cancels a job; its running tasks are asked to yield."""
    return Propose(("cancel", arguments[0]), "cancel", arguments[0])


def cancel_answer(daemon: ControlDaemon, outcome: tuple[Any, ...], identity: str, now: float) -> Answer:
    """The answer to a cancellation: 404 for an unknown job, 409 for one that has ended."""
    if outcome[0] == "missing":
        return unknown_job(identity)
    if outcome[0] == "ended":
        return problem(409, "ended", f"the ticket is already {outcome[1]}", state=outcome[1])
    return Answer(200, _summary_of(daemon, identity))
