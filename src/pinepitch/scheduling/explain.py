"""Read-only calls for operators: the state of a job and why its tasks are waiting, the workers, and the
evacuated zones. They are answered from the cluster state and from what the leader has gathered in memory.
"""

from typing import Any

from ..common import constants
from ..model.decisions import Answer, problem
from ..model.reliability import Trust
from .assigner import REASON_TENANT_AT_MAXIMUM
from .candidate_workers import is_judged_by_run
from .daemon_interface import Daemon
from .job_outcomes import FinalJob
from .leased_job import DONE, PLACED, WAITING, LeasedJob, TaskBatch
from .leased_job_state import LeasedJobState
from .placement import Placements
from .plain_types import Arguments, Document
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, add, multiply, subtract
from .worker import READY, Worker

RESOURCE_NAMES = ("cpu", "mem_mb", "gpu")


def _resources_of(resources: Resources) -> Document:
    return dict(zip(RESOURCE_NAMES, resources, strict=False))


def _used(placements: Placements) -> Amount:
    """The sum of the resources of placements."""
    used = NO_RESOURCES
    for placement in placements.values():
        used = add(used, placement.resources)
    return used


def _free_capacity(leased_jobs: LeasedJobState, worker: Worker) -> Amount:
    """A worker's capacity minus the resources of its placements; below 0 if these exceed the capacity."""
    return subtract(worker.capacity, _used(leased_jobs.placements.get(worker.identity, {})))


# --- jobs ----------------------------------------------------------------------------
def job(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Shows a job with its batches of tasks and its placements, and why tasks are waiting."""
    identity, leased_jobs = arguments[0], core.cluster_state.leased_jobs
    open_job = leased_jobs.jobs.get(identity)
    if open_job is not None:
        return Answer(200, _open_job(core, open_job, now))
    final = leased_jobs.final.get(identity)
    if final is not None:
        return Answer(200, _final_job(core, identity, final))
    return problem(404, "unknown_job", f"no job {identity!r}")


def _final_job(core: Daemon, identity: str, final: FinalJob) -> Document:
    """A job that is over. It may still have placements: those of runs whose ends are not proven yet."""
    return {
        "job": identity,
        "state": final.state,
        "queue": final.queue,
        **_tenant(final.tenant),
        "ended": final.ended,
        "waves": [],
        "more_waves": 0,
        "placements": _placements(core, identity),
    }


def _open_job(core: Daemon, open_job: LeasedJob, now: float) -> Document:
    """A job that is not over."""
    time = core.cluster_time(now)
    # Batches that are not done come first, so that the limit of a page leaves out those of least interest.
    keys = sorted(open_job.batch_keys(), key=lambda key: open_job.is_done(*key))
    candidates: dict[int, dict[str, int]] = {}
    listed_batches = [
        _batch(core, open_job.batches.get(key) or open_job.new_batch(*key), candidates, time, now)
        for key in keys[: constants.MAX_PAGE_ROWS]
    ]
    return {
        "job": open_job.identity,
        "state": core.cluster_state.leased_jobs.state(open_job.identity),
        "queue": open_job.queue,
        **_tenant(open_job.tenant),
        **_beyond_weight(core, open_job),
        "service": open_job.service,
        "priority": open_job.priority,
        "attempts": open_job.attempts,
        "accepted": open_job.accepted,
        "ended": None,
        "waves": listed_batches,
        "more_waves": len(keys) - len(listed_batches),
        "placements": _placements(core, open_job.identity),
    }


def _tenant(name: str) -> Document:
    """The field with the tenant of a job; no field for a job without one."""
    return {"tenant": name} if name else {}


def _beyond_weight(core: Daemon, open_job: LeasedJob) -> Document:
    """The field that shows whether a tenant's job is beyond the tenant's weight, as this leader judges it."""
    return {"beyond_weight": core.assignments.assigner.shares.is_excess(open_job)} if open_job.tenant else {}


def _batch(
    core: Daemon, batch: TaskBatch, candidates: dict[int, dict[str, int]], time: float, now: float
) -> Document:
    """A batch of tasks with the number of its tasks in each state. `candidates` has what was found of the
    workers for steps that were looked at before; it is the same at all times of a step.
    """
    states = {WAITING: 0, PLACED: 0, DONE: 0}
    for task in batch.tasks:
        states[task.state] += 1
    failures = [task.failures for task in batch.tasks]
    shown = {
        "time": batch.time,
        "step": batch.number,
        "due": batch.due,
        "since": batch.waiting_since,
        **states,
        "gang": batch.step.gang,
        "failures": batch.failures if batch.step.gang else sum(failures),
        "most_failures": batch.failures if batch.step.gang else max(failures),
        "why": _waiting_reason(core, batch, time),
    }
    if states[WAITING] and not batch.open_predecessors and batch.due <= time:
        if batch.number not in candidates:
            candidates[batch.number] = _candidates(core, batch, now)
        shown["candidates"] = candidates[batch.number]
    return shown


def _waiting_reason(core: Daemon, batch: TaskBatch, time: float) -> str:
    """What the waiting tasks of a batch wait for, or "" if none is waiting."""
    if not batch.waiting:
        return ""
    if batch.open_predecessors:
        steps = [number for number in batch.step.after if not batch.job.is_done(batch.time, number)]
        return "waits for " + ", ".join(f"step {number}" for number in steps)
    if batch.due > time:
        return f"not before {batch.due:.3f}"
    if batch.is_partly_placed():
        return "waits for the ends of the rest of its gang"
    reason = core.assignments.assigner.waiting_reasons.get(batch.key(), "not yet looked at by a round")
    return reason + _over_maximum(core, batch) if reason == REASON_TENANT_AT_MAXIMUM else reason


def _over_maximum(core: Daemon, batch: TaskBatch) -> str:
    """The use and the maximum of a tenant, for each resource of which a batch asks for too much."""
    leased_jobs, step = core.cluster_state.leased_jobs, batch.step
    tenant = leased_jobs.tenants.limited(batch.job.tenant)
    if tenant is None:
        return ""
    used = leased_jobs.used_by_tenant.get(tenant.name, NO_RESOURCES)
    asked = multiply(step.resources, len(batch.waiting) if step.gang else 1)
    figures = [
        f"{RESOURCE_NAMES[kind]} {used[kind]} of {tenant.maximum[kind]} used, {asked[kind]} more asked for"
        for kind in RESOURCE_KINDS
        if asked[kind] and used[kind] + asked[kind] > tenant.maximum[kind]
    ]
    return f" ({'; '.join(figures)})" if figures else ""


def _candidates(core: Daemon, batch: TaskBatch, now: float) -> dict[str, int]:
    """Reason -> how many workers of the job's service it excludes; "open" counts those that it does not."""
    counts: dict[str, int] = {}
    for worker in core.assignments.workers.values():
        if worker.service == batch.job.service:
            reason = _exclusion_reason(core, worker, batch, now)
            counts[reason] = counts.get(reason, 0) + 1
    return counts


def _exclusion_reason(core: Daemon, worker: Worker, batch: TaskBatch, now: float) -> str:
    """Why a worker cannot get one more task of a batch, or "open" if it can."""
    leased_jobs, step = core.cluster_state.leased_jobs, batch.step
    placements = leased_jobs.placements.get(worker.identity, {})
    lacking = sorted(set(step.needs) - worker.labels)
    free = _free_capacity(leased_jobs, worker)
    of_step = sum(
        (placement.job, placement.number) == (batch.job.identity, batch.number)
        for placement in placements.values()
    )
    closed = _closed(leased_jobs, worker, now)
    if closed:
        return closed
    if any(key not in placements for key in worker.running):
        return "runs what is not placed there"
    if lacking:
        return "lacks " + ", ".join(lacking)
    if any(needed > available for needed, available in zip(step.resources, free, strict=False)):
        return "no room"
    if step.apart and of_step >= step.apart:
        return f"has {of_step} of the step, apart {step.apart}"
    trust = core.assignments.evidence.trust_of(worker.identity, now)
    if trust is not Trust.RELIABLE and is_judged_by_run(leased_jobs, placements):
        return "on trial"
    return "open"


def _closed(leased_jobs: LeasedJobState, worker: Worker, now: float) -> str:
    """Why a worker gets no new work at all, or "" if it may get some."""
    if worker.unresponsive(now):
        return "silent"
    if worker.state != READY:
        return worker.state
    if worker.zone in leased_jobs.evacuated:
        return "its zone is evacuated"
    if worker.stale:
        return "its beats come late"
    return "wary" if now < worker.avoided_until else ""


def _placements(core: Daemon, identity: str) -> list[Document]:
    """The placements of a job, each with what its worker's newest heartbeat lists of the run."""
    listed = []
    for worker_id, placements in core.cluster_state.leased_jobs.placements.items():
        worker = core.assignments.workers.get(worker_id)
        for (reference, run), placement in placements.items():
            if placement.job == identity:
                saved_and_percent = worker.running.get((reference, run)) if worker else None
                listed.append(
                    {
                        "task": reference,
                        "run": run,
                        "minion": worker_id,
                        "since": placement.since,
                        "epoch": placement.epoch,
                        "stop": placement.stop,
                        "running": saved_and_percent is not None,
                        "percent": saved_and_percent[1] if saved_and_percent else None,
                    }
                )
    return sorted(listed, key=lambda shown: (shown["task"], shown["run"]))


# --- workers, evacuations ------------------------------------------------------------
def workers(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Shows every worker that this leader has heartbeats of, and every other worker that has placements."""
    known, leased_jobs = core.assignments.workers, core.cluster_state.leased_jobs
    listed = []
    for identity in sorted(set(known) | set(leased_jobs.placements)):
        shown = _unreported_worker(identity, len(leased_jobs.placements.get(identity, {})))
        if identity in known:
            shown.update(_reported_fields(core, known[identity], now))
        listed.append(shown)
    return Answer(200, {"workers": listed})


def _unreported_worker(identity: str, placed: int) -> Document:
    """A worker that has placements, but sent this leader no heartbeat."""
    return {
        "minion": identity,
        "service": None,
        "zone": None,
        "rack": None,
        "state": "unheard",
        "closed": "silent",
        "room": None,
        "free": None,
        "placed": placed,
        "running": 0,
        "silent": True,
        "wary": False,
        "failing": 0.0,
        "speed": 1.0,
        "heard": None,
    }


def _reported_fields(core: Daemon, worker: Worker, now: float) -> Document:
    """The fields of _unreported_worker that follow from a worker's heartbeats."""
    leased_jobs = core.cluster_state.leased_jobs
    return {
        "service": worker.service,
        "zone": worker.zone,
        "rack": worker.rack,
        "state": worker.state,
        "closed": _closed(leased_jobs, worker, now),
        "room": _resources_of(worker.capacity),
        "free": _resources_of(_free_capacity(leased_jobs, worker)),
        "running": len(worker.running),
        "silent": worker.unresponsive(now),
        "wary": now < worker.avoided_until,
        "failing": round(core.assignments.evidence.of(worker.identity).failure_rate, 3),
        "speed": round(worker.speed, 3),
        "heard": round(now - worker.heard_at, 3),
    }


def evacuations(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Shows the evacuated zones, which get no new work, and since when they are evacuated."""
    return Answer(
        200,
        {
            "evacuations": [
                {"zone": zone, "since": since}
                for zone, since in sorted(core.cluster_state.leased_jobs.evacuated.items())
            ]
        },
    )


# Name of a call on the wire -> its handler; control/requests/registry.py includes these.
CALLS = {"job-explain": job, "workers": workers, "evacuations": evacuations}
