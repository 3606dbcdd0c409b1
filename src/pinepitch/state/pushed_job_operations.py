"""Operations of clients on pushed jobs: submitting and cancelling."""

from typing import TYPE_CHECKING, Any

import immutables

from ..common import constants
from ..model.pushed_job import PushedJob, tasks_from
from ..model.queue_settings import QueueSettings
from ..model.task import Standing
from .job_lifecycle import stop_job
from .operations import AcceptJob, CancelJob
from .outcomes import MISSING, OK, Outcome

if TYPE_CHECKING:
    from .cluster_state import ClusterState

Fault = tuple[str, str]  # path in the document, and what is wrong there


def accept_job(state: "ClusterState", operation: AcceptJob) -> Outcome:
    """Takes a job in, unless its key is known or it can't be taken now."""
    before = state.known(operation.key, operation.digest)
    if before is not None:
        return before
    refusal = state.job_refusal(operation.document, operation.unplaceable)
    if refusal is not None:
        return refusal
    state.count += 1
    job = _new_job(state, f"t{state.count}", operation)
    state.put_job(job)
    state.keys = state.keys.set(operation.key, job.identity)
    state.add_live_job(job)
    state.sample.accepted(job, lambda: _running(state))
    return ("accepted", job.identity)


def _new_job(state: "ClusterState", identity: str, operation: AcceptJob) -> PushedJob:
    """The job of a document, with what its queue's settings add."""
    plain = operation.document
    queue_settings = state.queue_settings[plain["queue"]]
    tasks = tasks_from(plain, queue_settings.retries, plain["kind"] == "feed")
    return PushedJob(
        identity,
        operation.key,
        operation.digest,
        plain["queue"],
        plain["kind"],
        queue_settings.urgency if plain["urgency"] < 0 else plain["urgency"],
        plain["due"],
        state.time,
        tasks,
        immutables.Map({name: Standing(since=state.time) for name in tasks}),
        urgency_given=plain["urgency"] >= 0,
        unplaceable=operation.unplaceable,
    )


def cancel_job(state: "ClusterState", operation: CancelJob) -> Outcome:
    """Cancels a job that is not final yet."""
    job = state.pushed_job(operation.identity)
    if job is None:
        return MISSING
    if job.state in ("cancelling", "cancelled"):
        return OK  # asked again, or by two
    if job.state != "pending":
        return ("ended", job.state)
    job = job._replace(state="cancelling", cancelled_at=state.time)
    state.put_job(job)
    stop_job(state, job, "cancel")
    return OK


def known_key(state: "ClusterState", key: str, digest: str) -> Outcome | None:
    """The outcome for a key seen before, or None."""
    identity = state.keys.get(key)
    if identity is not None:
        known_digest = state.pushed_jobs[identity].digest
    else:
        image = state.archive.find_by_key(key)
        if image is None:
            return None
        identity, known_digest = image[0], image[2]
    return ("known", identity) if known_digest == digest else ("mismatch", identity)


def job_refusal(state: "ClusterState", plain: dict[str, Any], unplaceable: str) -> Outcome | None:
    """Why a checked document can't be taken now, or None. `unplaceable` says why no worker
    known to the leader could take it, or nothing.
    """
    queue_settings = state.queue_settings.get(plain["queue"])
    if queue_settings is None:
        return ("invalid", (("queue", f"no queue {plain['queue']!r}"),))
    over = (*_tasks_over_limit(plain, queue_settings), *_gangs_over_limit(plain, queue_settings))
    if over:
        return ("invalid", over)
    full = _queue_full(state, plain, queue_settings, unplaceable)
    if full:
        return ("shed", full)
    if len(state.pushed_jobs) - len(state.finished) >= constants.MAX_PUSHED_JOBS:
        return ("shed", "record full")
    return None


def _tasks_over_limit(plain: dict[str, Any], queue_settings: QueueSettings) -> tuple[Fault, ...]:
    limit = queue_settings.limit
    return tuple(
        (f"tasks.{place}.units", f"{task['units']} units, over the queue's limit of {limit}")
        for place, task in enumerate(plain["tasks"])
        if task["units"] > limit
    )


def _gangs_over_limit(plain: dict[str, Any], queue_settings: QueueSettings) -> tuple[Fault, ...]:
    limit = queue_settings.limit
    gangs: dict[str, int] = {}
    for task in plain["tasks"]:
        if task["gang"]:
            gangs[task["gang"]] = gangs.get(task["gang"], 0) + task["units"]
    return tuple(
        (f"gang {gang}", f"{units} units together, over the queue's limit of {limit}")
        for gang, units in gangs.items()
        if units > limit
    )


def _queue_full(
    state: "ClusterState", plain: dict[str, Any], queue_settings: QueueSettings, unplaceable: str
) -> str:
    """Why the queue can't take more waiting tasks, or ''. Unplaceable jobs have a part of its
    bound of their own, so that they don't keep out those that could run.
    """
    queue, count = plain["queue"], len(plain["tasks"])
    if not unplaceable:
        waiting = state.progress.waiting_counts.get(queue, 0)
        return "queue full" if waiting + count > queue_settings.pending else ""
    most = queue_settings.pending // constants.UNPLACEABLE_PART
    if state.progress.unplaceable.get(queue, 0) + count <= most:
        return ""
    return f"{unplaceable}; the {most} waiting tasks that a queue keeps for such tickets are taken"


def _running(state: "ClusterState") -> tuple[tuple[str, str, int, tuple[str, ...], int], ...]:
    """What runs now, counted by (queue, kind, units, labels)."""
    counts: dict[tuple[str, str, int, tuple[str, ...]], int] = {}
    for reserved in state.reservations.reserved.values():
        for ref in reserved:
            job, task, _ = state.find_known(ref)
            kind = (job.queue, job.kind, task.units, task.labels)
            counts[kind] = counts.get(kind, 0) + 1
    return tuple((*kind, count) for kind, count in sorted(counts.items()))
