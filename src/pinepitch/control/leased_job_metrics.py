"""Metrics of leased jobs, their tenants, workers and runs.

Each collector in `COLLECTORS` returns the families of one subject. What only a leader gathers is reported by
the leader alone.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..scheduling.idle_capacity import IDLE_BESIDE_WORK, RESERVATION_UNUSED
from .metric_family import Family, Labels, Sample, by_label, by_queue, single

if TYPE_CHECKING:
    from ..scheduling.leased_job_state import LeasedJobState
    from .daemon import ControlDaemon

RESOURCES = ("cpu", "memory", "accelerators")  # as in a worker's capacity
MAX_TENANTS_SHOWN = 20  # tenants; each has up to a label for each resource


def _leased_jobs(daemon: ControlDaemon, now: float) -> list[Family]:
    """Committed facts about leased jobs, which every daemon reports alike, and what was left waiting."""
    leased_jobs = daemon.cluster_state.leased_jobs
    open_jobs, final = _jobs_by_state(leased_jobs)
    waiting = _tasks_waiting(leased_jobs)
    tasks_waiting = "Tasks of jobs whose earlier steps are done, not placed, by queue."
    tasks_left = "Tasks of jobs that the leader's newest round left waiting, by queue and why."
    still_readable = "Final jobs whose state is still readable, by state."
    left = sorted(_unplaced_by_reason(daemon).items())
    queues = {*waiting, *leased_jobs.configuration.routes}
    return [
        by_label("gauge", "jobs_open", "Jobs not yet final, by state.", "state", open_jobs),
        by_label("gauge", "jobs_final", still_readable, "state", final),
        by_queue("job_tasks_waiting", tasks_waiting, queues, waiting),
        Family("gauge", "job_tasks_left", tasks_left, ("queue", "why"), left),
        _placing_violations(daemon),
    ]


def _jobs_by_state(leased_jobs: LeasedJobState) -> tuple[dict[str, int], dict[str, int]]:
    """Jobs by state: (those not final, those final and still readable)."""
    open_jobs, final = {"queued": 0, "running": 0}, {"completed": 0, "failed": 0, "cancelled": 0}
    for identity in leased_jobs.jobs:
        state = leased_jobs.state(identity)
        assert state is not None, f"{identity} is open and has no state"
        open_jobs[state] = open_jobs.get(state, 0) + 1
    for state, *_ in leased_jobs.final.values():
        final[state] = final.get(state, 0) + 1
    return open_jobs, final


def _tasks_waiting(leased_jobs: LeasedJobState) -> dict[str, int]:
    """Number of tasks whose earlier steps are done and which are not placed, by queue."""
    waiting: dict[str, int] = {}
    for batch in leased_jobs.ready.values():
        waiting[batch.job.queue] = waiting.get(batch.job.queue, 0) + len(batch.waiting)
    return waiting


def _unplaced_by_reason(daemon: ControlDaemon) -> dict[Labels, int]:
    """(queue, reason) -> number of tasks that the newest scheduling round of this leader left waiting."""
    counts: dict[Labels, int] = {}
    for key, why in daemon.assignments.assigner.waiting_reasons.items():
        batch = daemon.cluster_state.leased_jobs.ready.get(key)
        if batch is not None:
            labels = (batch.job.queue, why)
            counts[labels] = counts.get(labels, 0) + len(batch.waiting)
    return counts


def _sharing(daemon: ControlDaemon, now: float) -> list[Family]:
    """How the leader shares capacity among priorities, and what waiting work can still reach."""
    by_outlook = "Tasks left waiting whose jobs can still be in time, late, or only too late, by queue."
    by_priority = "Room that the work of a priority has taken, and room it claims as guaranteed."
    reserved = "Free room of workers that are kept for work short of room."
    return [
        Family("gauge", "job_tasks_outlook", by_outlook, ("queue", "outlook"), _by_outlook(daemon, now)),
        Family(
            "gauge",
            "priority_room",
            by_priority,
            ("service", "priority", "resource", "state"),
            _by_priority(daemon),
        ),
        Family("gauge", "room_kept", reserved, ("service", "resource"), _reserved(daemon)),
    ]


def _by_outlook(daemon: ControlDaemon, now: float) -> list[Sample]:
    """(queue, outlook) -> number of tasks that the newest scheduling round of this leader left waiting."""
    assigner, leased_jobs = daemon.assignments.assigner, daemon.cluster_state.leased_jobs
    time, counts = daemon.cluster_time(now), dict[Labels, int]()
    for key in assigner.waiting_reasons:
        batch = leased_jobs.ready.get(key)
        if batch is not None:
            labels = (batch.job.queue, assigner.outlook(batch, time).text)
            counts[labels] = counts.get(labels, 0) + len(batch.waiting)
    return sorted(counts.items())


def _by_priority(daemon: ControlDaemon) -> list[Sample]:
    """(service, priority, resource, "taken" or "claimed") -> amount, for the priorities that have any."""
    budgets = daemon.assignments.assigner.budgets
    samples: list[Sample] = []
    for state, amounts in (
        ("claimed", budgets.claims),
        ("taken", daemon.cluster_state.leased_jobs.used_by_priority_class),
    ):
        for (service, priority), resources in amounts.items():
            for resource, amount in zip(RESOURCES, resources, strict=True):
                if amount:
                    samples.append(((service, str(priority), resource, state), amount))
    return sorted(samples)


def _reserved(daemon: ControlDaemon) -> list[Sample]:
    """(service, resource) -> free capacity of the candidates that the newest round reserved."""
    return sorted(
        ((service, resource), amount)
        for service, free in daemon.assignments.assigner.reserved_free.items()
        for resource, amount in zip(RESOURCES, free, strict=True)
    )


def _placing_violations(daemon: ControlDaemon) -> Family:
    counts = daemon.assignments.assigner.idle_capacity.counts
    return Family(
        "counter",
        "placing_violations",
        "Invariants of placing found broken while leading, by which; always 0 but for a fault.",
        ("invariant",),
        [((invariant,), counts[invariant]) for invariant in (RESERVATION_UNUSED, IDLE_BESIDE_WORK)],
    )


def _tenants(daemon: ControlDaemon, now: float) -> list[Family]:
    """Used parts of the maxima of tenants, for the largest users only, so that the number of labels stays
    bounded.
    """
    leased_jobs = daemon.cluster_state.leased_jobs
    at_maximum = daemon.assignments.assigner.tenants_at_maximum(leased_jobs)
    help_at_maximum = "Tenants with work that the leader's newest round left waiting for their maximum."
    help_used = f"Part of its maximum that a tenant uses, of the {MAX_TENANTS_SHOWN} that use most."
    samples: list[Sample] = [
        ((name, resource), part)
        for name, parts in _largest_tenants(leased_jobs)
        for resource, part in sorted(parts.items())
    ]
    return [
        single("gauge", "tenants_at_maximum", help_at_maximum, len(at_maximum)),
        Family("gauge", "tenant_used", help_used, ("tenant", "resource"), samples),
    ]


def _largest_tenants(leased_jobs: LeasedJobState) -> list[tuple[str, dict[str, float]]]:
    """(name, resource -> used part of its maximum) of the limited tenants that use most, by name."""
    parts: dict[str, dict[str, float]] = {}
    for name, used in leased_jobs.used_by_tenant.items():
        tenant = leased_jobs.tenants.limited(name)
        if tenant is not None:
            limits = zip(RESOURCES, used, tenant.maximum, strict=True)
            parts[name] = {
                resource: amount / most for resource, amount, most in limits if math.isfinite(most)
            }
    largest = sorted(parts, key=lambda name: (-max(parts[name].values()), name))[:MAX_TENANTS_SHOWN]
    return [(name, parts[name]) for name in sorted(largest)]


def _lease_workers(daemon: ControlDaemon, now: float) -> list[Family]:
    leased_jobs = daemon.cluster_state.leased_jobs
    capacity_help = (
        "Room of workers that are heard and ready: thousandths of a core, megabytes, accelerators."
    )
    capacity = sorted(_worker_capacity(daemon, now).items())
    placed = sum(map(len, leased_jobs.placements.values()))
    evacuated = "Zones whose workers get no new work."
    version = "Version of routes and services in force here, 0 for none."
    workers = _workers_by_state(daemon, now)
    return [
        Family("gauge", "worker_room", capacity_help, ("service", "resource", "state"), capacity),
        single("gauge", "runs_placed", "Runs of jobs placed whose end is not proven.", placed),
        single("gauge", "zones_evacuated", evacuated, len(leased_jobs.evacuated)),
        single("gauge", "configuration_version", version, leased_jobs.configuration.version),
        by_label("gauge", "workers", "Workers this leader knows, by state.", "state", workers),
    ]


def _worker_capacity(daemon: ControlDaemon, now: float) -> dict[Labels, float]:
    """(service, resource, "taken" or "free") -> capacity of the workers that are responsive and ready."""
    capacity: dict[Labels, float] = {}
    for worker in daemon.assignments.workers.values():
        if worker.unresponsive(now) or worker.state != "ready":
            continue
        taken = daemon.cluster_state.leased_jobs.used_by_worker.get(worker.identity, (0, 0, 0))
        for resource, total, used in zip(RESOURCES, worker.capacity, taken, strict=True):
            for state, amount in (("taken", used), ("free", total - used)):
                labels = (worker.service, resource, state)
                capacity[labels] = capacity.get(labels, 0) + amount
    return capacity


def _workers_by_state(daemon: ControlDaemon, now: float) -> dict[str, int]:
    """Number of workers that this leader knows, each under one state."""
    states = {"ready": 0, "draining": 0, "silent": 0}
    for worker in daemon.assignments.workers.values():
        state = "silent" if worker.unresponsive(now) else worker.state
        states[state] = states.get(state, 0) + 1
    return states


def _runs(daemon: ControlDaemon, now: float) -> list[Family]:
    """Counters of the assignment manager, while it leads."""
    assignments = daemon.assignments
    counts = assignments.counts
    ends = "Ends of runs agreed on while leading, by how."
    stops = "Runs that are to end while their jobs go on, by why."
    misjudged = "Runs stopped as stalled while leading that were going all the same."
    return [
        single("counter", "beats", "Beats of workers taken while leading.", counts["beats"]),
        single("counter", "run_starts", "Starts told to workers while leading.", counts["starts"]),
        single("counter", "run_stops", "Stops told to workers while leading.", counts["stops"]),
        by_label("counter", "run_ends", ends, "how", assignments.end_counts),
        by_label("counter", "run_stop_orders", stops, "why", assignments.stop_counts),
        single("counter", "runs_misjudged", misjudged, assignments.progress.misjudged_count),
    ]


# one collector for each subject, in output order
COLLECTORS: tuple[Callable[[ControlDaemon, float], list[Family]], ...] = (
    _leased_jobs,
    _sharing,
    _tenants,
    _lease_workers,
    _runs,
)
