"""Why jobs are where they are, which workers there are, what is in force: reading calls for
operators, answered from the cluster state and from what the leader has gathered.
"""

from typing import Any

from ..common import constants
from ..model.decisions import Answer, problem
from .assigner import REASON_TENANT_AT_MAXIMUM
from .daemon_interface import Daemon
from .leased_job import DONE, PLACED, WAITING, LeasedJob, Wave
from .leased_job_state import FinalJob, LeasedJobState
from .placement import Placements
from .plain_types import Arguments, Document
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Resources, less, more, times
from .worker import READY, Worker

RESOURCE_NAMES = ("cpu", "mem_mb", "gpu")


def _resources_of(resources: Resources) -> Document:
    return dict(zip(RESOURCE_NAMES, resources, strict=False))


def _taken(placements: Placements) -> Amount:
    """The capacity of placements, added up."""
    taken = NO_RESOURCES
    for placement in placements.values():
        taken = more(taken, placement.resources)
    return taken


def _free(leased_jobs: LeasedJobState, worker: Worker) -> Amount:
    """What is left of a worker's capacity beside its placements; below 0 where they take more."""
    return less(worker.capacity, _taken(leased_jobs.placements.get(worker.identity, {})))


# --- jobs ----------------------------------------------------------------------------
def job(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """A job's waves and placements, and why what waits does."""
    identity, leased_jobs = arguments[0], core.cluster_state.leased_jobs
    found = leased_jobs.jobs.get(identity)
    if found is not None:
        return Answer(200, _open_job(core, found, now))
    final = leased_jobs.final.get(identity)
    if final is not None:
        return Answer(200, _final_job(core, identity, final))
    return problem(404, "unknown_job", f"no job {identity!r}")


def _final_job(core: Daemon, identity: str, final: FinalJob) -> Document:
    """A job that is over: runs of it may still stand whose ends are not proven."""
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


def _open_job(core: Daemon, found: LeasedJob, now: float) -> Document:
    """A job that is not over."""
    time = core.cluster_time(now)
    # what is not done comes first, so that a page's bound leaves out what is of least interest
    waves = sorted(found.waves.values(), key=lambda wave: (not wave.left, wave.time, wave.number))
    listed_waves = [_wave(core, wave, time, now) for wave in waves[: constants.MAX_PAGE_ROWS]]
    return {
        "job": found.identity,
        "state": core.cluster_state.leased_jobs.state(found.identity),
        "queue": found.queue,
        **_tenant(found.tenant),
        **_beyond_weight(core, found),
        "service": found.service,
        "priority": found.priority,
        "attempts": found.attempts,
        "accepted": found.accepted,
        "ended": None,
        "waves": listed_waves,
        "more_waves": len(waves) - len(listed_waves),
        "placements": _placements(core, found.identity),
    }


def _tenant(name: str) -> Document:
    """The tenant of a job, as part of its explanation; nothing for a job of none."""
    return {"tenant": name} if name else {}


def _beyond_weight(core: Daemon, found: LeasedJob) -> Document:
    """Whether a job of a tenant lies beyond the tenant's weight, as this leader judges it."""
    return {"beyond_weight": core.assignments.assigner.shares.is_excess(found)} if found.tenant else {}


def _wave(core: Daemon, wave: Wave, time: float, now: float) -> Document:
    states = {WAITING: 0, PLACED: 0, DONE: 0}
    for task in wave.tasks:
        states[task.state] += 1
    each = [task.failures for task in wave.tasks]
    line = {
        "time": wave.time,
        "step": wave.number,
        "due": wave.due,
        "since": wave.since,
        **states,
        "gang": wave.step.gang,
        "failures": wave.failures if wave.step.gang else sum(each),
        "most_failures": wave.failures if wave.step.gang else max(each),
        "why": _why(core, wave, time),
    }
    if states[WAITING] and not wave.blocked and wave.due <= time:
        line["candidates"] = _candidates(core, wave, now)
    return line


def _why(core: Daemon, wave: Wave, time: float) -> str:
    """What a wave waits for, or "" when none of it waits."""
    if not wave.waiting:
        return ""
    if wave.blocked:
        steps = [one for one in wave.step.after if wave.job.waves[(wave.time, one)].left]
        return "waits for " + ", ".join(f"step {one}" for one in steps)
    if wave.due > time:
        return f"not before {wave.due:.3f}"
    if wave.breaking():
        return "waits for the ends of the rest of its gang"
    why = core.assignments.assigner.why.get(wave.key(), "not yet looked at by a round")
    return why + _over_maximum(core, wave) if why == REASON_TENANT_AT_MAXIMUM else why


def _over_maximum(core: Daemon, wave: Wave) -> str:
    """What a tenant uses and may use of each resource of which a wave asks for too much."""
    leased_jobs, step = core.cluster_state.leased_jobs, wave.step
    tenant = leased_jobs.tenants.limited(wave.job.tenant)
    if tenant is None:
        return ""
    used = leased_jobs.used_by_tenant.get(tenant.name, NO_RESOURCES)
    asked = times(step.resources, len(wave.waiting) if step.gang else 1)
    figures = [
        f"{RESOURCE_NAMES[kind]} {used[kind]} of {tenant.maximum[kind]} used, {asked[kind]} more asked for"
        for kind in RESOURCE_KINDS
        if asked[kind] and used[kind] + asked[kind] > tenant.maximum[kind]
    ]
    return f" ({'; '.join(figures)})" if figures else ""


def _candidates(core: Daemon, wave: Wave, now: float) -> dict[str, int]:
    """How many workers of the job's service each reason rules out."""
    counts: dict[str, int] = {}
    for worker in core.assignments.workers.values():
        if worker.service == wave.job.service:
            why = _ruled_out(core, worker, wave, now)
            counts[why] = counts.get(why, 0) + 1
    return counts


def _ruled_out(core: Daemon, worker: Worker, wave: Wave, now: float) -> str:
    """What keeps a worker from one more task of a wave, or "open"."""
    leased_jobs, step = core.cluster_state.leased_jobs, wave.step
    placements = leased_jobs.placements.get(worker.identity, {})
    lacking = sorted(set(step.needs) - worker.labels)
    free = _free(leased_jobs, worker)
    of_step = sum((one.job, one.number) == (wave.job.identity, wave.number) for one in placements.values())
    closed = _closed(leased_jobs, worker, now)
    if closed:
        return closed
    if any(key not in placements for key in worker.running):
        return "runs what is not placed there"
    if lacking:
        return "lacks " + ", ".join(lacking)
    if any(wants > left for wants, left in zip(step.resources, free, strict=False)):
        return "no room"
    if step.apart and of_step >= step.apart:
        return f"has {of_step} of the step, apart {step.apart}"
    if worker.failing > constants.LIVENESS_POOR and placements:
        return "on trial"
    return "open"


def _closed(leased_jobs: LeasedJobState, worker: Worker, now: float) -> str:
    """Why a worker gets no new work of any kind, or ""."""
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
    """Every run of a job whose end is not proven, as agreed on and as its worker lists it."""
    listed = []
    for worker_id, placements in core.cluster_state.leased_jobs.placements.items():
        worker = core.assignments.workers.get(worker_id)
        for (reference, run), one in placements.items():
            if one.job == identity:
                seen = worker.running.get((reference, run)) if worker else None
                listed.append(
                    {
                        "task": reference,
                        "run": run,
                        "minion": worker_id,
                        "since": one.since,
                        "epoch": one.epoch,
                        "stop": one.stop,
                        "running": seen is not None,
                        "percent": seen[1] if seen else None,
                    }
                )
    return sorted(listed, key=lambda one: (one["task"], one["run"]))


# --- workers, evacuations ------------------------------------------------------------
def workers(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Each worker this leader knows, and those that only placements name."""
    known, leased_jobs = core.assignments.workers, core.cluster_state.leased_jobs
    listed = []
    for identity in sorted(set(known) | set(leased_jobs.placements)):
        line = _unheard(identity, len(leased_jobs.placements.get(identity, {})))
        if identity in known:
            line.update(_heard(leased_jobs, known[identity], now))
        listed.append(line)
    return Answer(200, {"workers": listed})


def _unheard(identity: str, placed: int) -> Document:
    """A worker that only placements name."""
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


def _heard(leased_jobs: LeasedJobState, worker: Worker, now: float) -> Document:
    """What a worker's heartbeats tell of it, in the fields that _unheard lists."""
    return {
        "service": worker.service,
        "zone": worker.zone,
        "rack": worker.rack,
        "state": worker.state,
        "closed": _closed(leased_jobs, worker, now),
        "room": _resources_of(worker.capacity),
        "free": _resources_of(_free(leased_jobs, worker)),
        "running": len(worker.running),
        "silent": worker.unresponsive(now),
        "wary": now < worker.avoided_until,
        "failing": round(worker.failing, 3),
        "speed": round(worker.speed, 3),
        "heard": round(now - worker.heard_at, 3),
    }


def evacuations(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """The zones that get no new work, and since when."""
    return Answer(
        200,
        {
            "evacuations": [
                {"zone": zone, "since": since}
                for zone, since in sorted(core.cluster_state.leased_jobs.evacuated.items())
            ]
        },
    )


# name on the wire -> how it is handled; part of control/requests/registry.py
CALLS = {"job-explain": job, "workers": workers, "evacuations": evacuations}
