"""Health and metrics of a control daemon.

Each collector below returns the families of one subject; `COLLECTORS` lists them in output order. What only a
leader gathers is reported by the leader alone.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import metrics
from ..scheduling.idle_capacity import IDLE_BESIDE_WORK, RESERVATION_UNUSED

if TYPE_CHECKING:
    from ..common.metrics import Histogram
    from ..scheduling.leased_job_state import LeasedJobState
    from .daemon import ControlDaemon

Labels = tuple[str, ...]
Sample = tuple[Labels, Any]  # label values, and a number or a histogram

RESOURCES = ("cpu", "memory", "accelerators")  # as in a worker's capacity
MAX_TENANTS_SHOWN = 20  # tenants; each has up to a label for each resource


class Family(NamedTuple):
    """One metric with all its samples, in the form that `common.metrics.text` takes."""

    kind: str  # "gauge", "counter" or "histogram"
    name: str  # without the prefix
    help_text: str
    labels: Labels
    samples: list[Sample]


def _single(kind: str, name: str, help_text: str, value: float | Histogram) -> Family:
    """A metric without labels."""
    return Family(kind, name, help_text, (), [((), value)])


def _by_label(kind: str, name: str, help_text: str, label: str, values: Mapping[str, Any]) -> Family:
    """A metric with one label, its samples ordered by the label's values."""
    return Family(
        kind,
        name,
        help_text,
        (label,),
        [((label_value,), value) for label_value, value in sorted(values.items())],
    )


def _by_queue(name: str, help_text: str, queues: Iterable[str], values: Mapping[str, float]) -> Family:
    """A gauge for each of the queues; 0 for a queue that `values` lacks."""
    samples: list[Sample] = [((queue,), values.get(queue, 0)) for queue in sorted(queues)]
    return Family("gauge", name, help_text, ("queue",), samples)


# --- health --------------------------------------------------------------------------
def health(daemon: ControlDaemon, now: float) -> dict[str, Any]:
    """The health document of this daemon; `time` is cluster time, in seconds."""
    consensus = daemon.consensus
    return {
        "identity": daemon.identity,
        "area": daemon.zone,
        "cohort": daemon.cluster,
        "address": daemon.address,
        "role": consensus.role if consensus else "outside",
        "term": consensus.term if consensus else 0,
        "leader": daemon.leader_address(),
        "commit": consensus.applied_index if consensus else 0,
        "applied": daemon.cluster_state.index,
        "setup_version": daemon.cluster_state.version,
        "disk_waiting": len(consensus.pending_saves) if consensus else 0,
        "time": daemon.cluster_time(now),
    }


# --- consensus and sessions ----------------------------------------------------------
def _consensus(daemon: ControlDaemon, now: float) -> list[Family]:
    consensus = daemon.consensus
    leading = consensus is not None and consensus.role == "leader"
    applied_index, pending_saves = (
        (consensus.applied_index, len(consensus.pending_saves)) if consensus else (0, 0)
    )
    return [
        _single("gauge", "leading", "1 while this accord leads.", int(leading)),
        _single("gauge", "term", "The newest term known.", consensus.term if consensus else 0),
        _single("gauge", "commit_index", "Entries known to be committed.", applied_index),
        _single("gauge", "disk_waiting", "Saves not yet durable.", pending_saves),
        *_images(daemon),
    ]


def _images(daemon: ControlDaemon) -> list[Family]:
    size = daemon.consensus_driver.image_size() if daemon.consensus else 0
    largest = "Bytes of an image from which on what enlarges it is refused."
    differences = "Images that differ from the leader's at the same index."
    return [
        _single("gauge", "image_bytes", "About how many bytes an image of the record has.", size),
        _single("gauge", "image_bytes_most", largest, daemon.limits.image),
        _single("counter", "image_differences", differences, daemon.image_digests.differences),
    ]


def _daemon_counts(daemon: ControlDaemon, now: float) -> list[Family]:
    counts = daemon.counts
    sessions = {kind: len(daemon.sessions.live(kind)) for kind in ("accord", "verge")}
    synced = "From a save's begin to its being durable."
    paused = "Times that this process did not run for over 0.1 s, while its machine did."
    return [
        _single("counter", "syncs", "Saves made durable.", counts["syncs"]),
        _single("counter", "messages_sent", "Messages sent to other daemons.", counts["sent"]),
        _single("counter", "entries_applied", "Entries applied to the record.", counts["applied"]),
        _single("counter", "pauses", paused, counts["pauses"]),
        _single("counter", "paused_seconds", "Seconds of these pauses in sum.", daemon.paused_seconds),
        _single("histogram", "sync_seconds", synced, daemon.sync_histogram),
        _by_label("gauge", "sessions", "Sessions held, by kind of daemon.", "kind", sessions),
    ]


# --- pushed jobs ---------------------------------------------------------------------
def _pushed_jobs(daemon: ControlDaemon, now: float) -> list[Family]:
    state = daemon.cluster_state
    return [
        _single("gauge", "setup_version", "Version of the setup in force here.", state.version),
        _by_label("gauge", "tickets_live", "Tickets not yet final, by queue.", "queue", state.live_counts),
        _single("gauge", "tickets_archived", "Finished tickets in segments.", state.archive.count),
    ]


def _queues(daemon: ControlDaemon, now: float) -> list[Family]:
    state = daemon.cluster_state
    queues = state.queue_settings
    unplaceable = "Waiting tasks no minion known at their coming could take."
    credits = "Credits that back running work, by the queue that lent them."
    return [
        _by_queue("tasks_waiting", "Waiting tasks, by queue.", queues, state.waiting_counts),
        _by_queue("tasks_parked", unplaceable, queues, state.unplaceable),
        _by_queue("units_running", "Units of room reserved, by queue.", queues, state.used_units),
        _by_queue("credits_out", credits, queues, state.outstanding_credits),
    ]


def _push_workers(daemon: ControlDaemon, now: float) -> list[Family]:
    on_unresponsive = "Tasks placed on silent minions, held until their end is proven."
    return [
        _by_label(
            "gauge",
            "minions",
            "Minions this leader knows, by state.",
            "state",
            _push_workers_by_state(daemon, now),
        ),
        _single("gauge", "tasks_held", on_unresponsive, _tasks_on_unresponsive(daemon, now)),
    ]


def _push_workers_by_state(daemon: ControlDaemon, now: float) -> dict[str, int]:
    states = {"open": 0, "silent": 0, "on trial": 0}
    for worker in daemon.push_workers.values():
        states[
            "silent" if worker.unresponsive(now) else "on trial" if worker.is_unreliable() else "open"
        ] += 1
    return states


def _tasks_on_unresponsive(daemon: ControlDaemon, now: float) -> int:
    """Number of tasks placed on unresponsive workers."""
    reserved = daemon.cluster_state.reserved
    unresponsive = [name for name, worker in daemon.push_workers.items() if worker.unresponsive(now)]
    return sum(len(reserved.get(name, ())) for name in unresponsive)


def _placing(daemon: ControlDaemon, now: float) -> list[Family]:
    waited = "From a task's being ready to its placement, while leading."
    refused = "Placements the record refused, by reason."
    return [
        _by_label("counter", "placements_refused", refused, "why", daemon.refusals),
        _by_label("counter", "task_ends", "Ends proven while leading, by how.", "how", daemon.end_counts),
        _by_label("histogram", "wait_seconds", waited, "queue", daemon.wait_histograms),
    ]


# --- leased jobs ---------------------------------------------------------------------
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
        _by_label("gauge", "jobs_open", "Jobs not yet final, by state.", "state", open_jobs),
        _by_label("gauge", "jobs_final", still_readable, "state", final),
        _by_queue("job_tasks_waiting", tasks_waiting, queues, waiting),
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
        _single("gauge", "tenants_at_maximum", help_at_maximum, len(at_maximum)),
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
        _single("gauge", "runs_placed", "Runs of jobs placed whose end is not proven.", placed),
        _single("gauge", "zones_evacuated", evacuated, len(leased_jobs.evacuated)),
        _single("gauge", "configuration_version", version, leased_jobs.configuration.version),
        _by_label("gauge", "workers", "Workers this leader knows, by state.", "state", workers),
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
        _single("counter", "beats", "Beats of workers taken while leading.", counts["beats"]),
        _single("counter", "run_starts", "Starts told to workers while leading.", counts["starts"]),
        _single("counter", "run_stops", "Stops told to workers while leading.", counts["stops"]),
        _by_label("counter", "run_ends", ends, "how", assignments.end_counts),
        _by_label("counter", "run_stop_orders", stops, "why", assignments.stop_counts),
        _single("counter", "runs_misjudged", misjudged, assignments.progress.misjudged_count),
    ]


# --- all -----------------------------------------------------------------------------
# one collector for each subject, in output order
COLLECTORS: tuple[Callable[[ControlDaemon, float], list[Family]], ...] = (
    _consensus,
    _daemon_counts,
    _pushed_jobs,
    _queues,
    _push_workers,
    _placing,
    _leased_jobs,
    _tenants,
    _lease_workers,
    _runs,
)


def text(daemon: ControlDaemon, now: float) -> str:
    """All metrics in the text format of Prometheus."""
    families: list[metrics.Metric] = []
    for collect in COLLECTORS:
        families.extend(collect(daemon, now))
    families.append(metrics.event_metric(daemon.event_counts))
    return metrics.text(families)
