"""Operations by which clients submit and cancel pushed jobs."""

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

Fault = tuple[str, str]  # (path in the document, what is wrong there)


def accept_job(state: "ClusterState", operation: AcceptJob) -> Outcome:
    """Accepts a job, unless its key is already in use or the job has to be refused now."""
    known_outcome = state.outcome_for_key(operation.key, operation.digest)
    if known_outcome is not None:
        return known_outcome
    refusal = state.job_refusal(operation.document, operation.unplaceable)
    if refusal is not None:
        return refusal
    state.accepted_count += 1
    job = _new_job(state, f"t{state.accepted_count}", operation)
    state.put_job(job)
    state.keys = state.keys.set(operation.key, job.identity)
    state.add_live_job(job)
    # the running tasks are counted only if the sample begins a block with this job
    state.traffic_sample.add_arrival(job, lambda: _count_running(state))
    return ("accepted", job.identity)


def _new_job(state: "ClusterState", identity: str, operation: AcceptJob) -> PushedJob:
    """The job of a document, completed with the settings of its queue."""
    document = operation.document  # a negative urgency means that none was given
    queue_settings = state.queue_settings[document["queue"]]
    tasks = tasks_from(document, queue_settings.retries, document["kind"] == "feed")
    return PushedJob(
        identity,
        operation.key,
        operation.digest,
        document["queue"],
        document["kind"],
        queue_settings.urgency if document["urgency"] < 0 else document["urgency"],
        document["due"],
        state.time,
        tasks,
        immutables.Map({name: Standing(since=state.time) for name in tasks}),
        urgency_given=document["urgency"] >= 0,
        unplaceable=operation.unplaceable,
    )


def cancel_job(state: "ClusterState", operation: CancelJob) -> Outcome:
    """Cancels a pending job. A failing job is refused like one that has ended."""
    job = state.pushed_job(operation.identity)
    if job is None:
        return MISSING
    if job.state in ("cancelling", "cancelled"):
        return OK  # the cancellation was requested more than once
    if job.state != "pending":
        return ("ended", job.state)
    job = job._replace(state="cancelling", cancelled_at=state.time)
    state.put_job(job)
    stop_job(state, job, "cancel")
    return OK


def known_key(state: "ClusterState", key: str, digest: str) -> Outcome | None:
    """The outcome of submitting a key that is already in use, or None for a new key."""
    identity = state.keys.get(key)
    if identity is not None:
        known_digest = state.pushed_jobs[identity].digest
    else:
        image = state.archive.find_by_key(key)
        if image is None:
            return None
        identity, known_digest = image[0], image[2]  # in the order of the fields of PushedJob
    return ("known", identity) if known_digest == digest else ("mismatch", identity)


def job_refusal(state: "ClusterState", document: dict[str, Any], unplaceable: str) -> Outcome | None:
    """The outcome that refuses a checked document now, or None if the job can be accepted.

    `unplaceable` is the reason why no worker known to the leader could run the job, or ''.
    """
    # The result depends on the present queue settings and counts.
    queue_settings = state.queue_settings.get(document["queue"])
    if queue_settings is None:
        return ("invalid", (("queue", f"no queue {document['queue']!r}"),))
    faults = (*_tasks_over_limit(document, queue_settings), *_gangs_over_limit(document, queue_settings))
    if faults:
        return ("invalid", faults)
    reason = _queue_full(state, document, queue_settings, unplaceable)
    if reason:
        return ("shed", reason)
    if len(state.pushed_jobs) - len(state.finished) >= constants.MAX_PUSHED_JOBS:
        return ("shed", "record full")
    return None


def _tasks_over_limit(document: dict[str, Any], queue_settings: QueueSettings) -> tuple[Fault, ...]:
    """A fault for each task that needs more units than its queue may use at once."""
    limit = queue_settings.limit
    return tuple(
        (f"tasks.{position}.units", f"{task['units']} units, over the queue's limit of {limit}")
        for position, task in enumerate(document["tasks"])
        if task["units"] > limit
    )


def _gangs_over_limit(document: dict[str, Any], queue_settings: QueueSettings) -> tuple[Fault, ...]:
    """A fault for each gang that needs more units than its queue may use at once."""
    limit = queue_settings.limit
    gang_units: dict[str, int] = {}
    for task in document["tasks"]:
        if task["gang"]:
            gang_units[task["gang"]] = gang_units.get(task["gang"], 0) + task["units"]
    return tuple(
        (f"gang {gang}", f"{units} units together, over the queue's limit of {limit}")
        for gang, units in gang_units.items()
        if units > limit
    )


def _queue_full(
    state: "ClusterState", document: dict[str, Any], queue_settings: QueueSettings, unplaceable: str
) -> str:
    """The reason why the queue can't accept these waiting tasks, or ''.

    Unplaceable jobs are limited to a separate part of the queue's bound, 1 / UNPLACEABLE_PART of it,
    so that they don't crowd out jobs that could run.
    """
    queue, count = document["queue"], len(document["tasks"])
    if not unplaceable:
        waiting = state.progress.waiting_counts.get(queue, 0)
        return "queue full" if waiting + count > queue_settings.pending else ""
    maximum = queue_settings.pending // constants.UNPLACEABLE_PART
    if state.progress.unplaceable.get(queue, 0) + count <= maximum:
        return ""
    return f"{unplaceable}; the {maximum} waiting tasks that a queue keeps for such tickets are taken"


def _count_running(state: "ClusterState") -> tuple[tuple[str, str, int, tuple[str, ...], int], ...]:
    """(queue, kind, units, labels, number of placed tasks) for each combination that occurs, sorted."""
    counts: dict[tuple[str, str, int, tuple[str, ...]], int] = {}
    for reserved in state.reservations.reserved.values():
        for ref in reserved:
            job, task, _ = state.find_known(ref)
            key = (job.queue, job.kind, task.units, task.labels)
            counts[key] = counts.get(key, 0) + 1
    return tuple((*key, count) for key, count in sorted(counts.items()))
