"""Health and metrics of a control daemon.

Each collector below returns the families of one subject; `COLLECTORS` lists them in output order. What only a
leader gathers is reported by the leader alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..common import metrics
from ..transport.callers import metrics_of
from . import leased_job_metrics
from .metric_family import Family, by_label, by_queue, single

if TYPE_CHECKING:
    from .daemon import ControlDaemon


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
        single("gauge", "leading", "1 while this accord leads.", int(leading)),
        single("gauge", "term", "The newest term known.", consensus.term if consensus else 0),
        single("gauge", "commit_index", "Entries known to be committed.", applied_index),
        single("gauge", "disk_waiting", "Saves not yet durable.", pending_saves),
        *_images(daemon),
    ]


def _images(daemon: ControlDaemon) -> list[Family]:
    size = daemon.consensus_driver.image_size() if daemon.consensus else 0
    memory = daemon.cluster_state.leased_jobs.memory_bytes()
    largest = "Bytes of an image from which on what enlarges it is refused."
    most_memory = "Bytes of memory beyond which jobs are refused."
    differences = "Images that differ from the leader's at the same index."
    return [
        single("gauge", "image_bytes", "About how many bytes an image of the record has.", size),
        single("gauge", "image_bytes_most", largest, daemon.limits.image),
        single("gauge", "state_bytes", "Memory that the jobs taken may need, in bytes.", memory),
        single("gauge", "state_bytes_most", most_memory, daemon.limits.state),
        single("counter", "image_differences", differences, daemon.image_digests.differences),
    ]


def _daemon_counts(daemon: ControlDaemon, now: float) -> list[Family]:
    counts = daemon.counts
    sessions = {kind: len(daemon.sessions.live(kind)) for kind in ("accord", "verge")}
    synced = "From a save's begin to its being durable."
    paused = "Times that this process did not run for over 0.1 s, while its machine did."
    return [
        single("counter", "syncs", "Saves made durable.", counts["syncs"]),
        single("counter", "messages_sent", "Messages sent to other daemons.", counts["sent"]),
        single("counter", "entries_applied", "Entries applied to the record.", counts["applied"]),
        single("counter", "pauses", paused, counts["pauses"]),
        single("counter", "paused_seconds", "Seconds of these pauses in sum.", daemon.paused_seconds),
        single("histogram", "sync_seconds", synced, daemon.sync_histogram),
        by_label("gauge", "sessions", "Sessions held, by kind of daemon.", "kind", sessions),
    ]


# --- pushed jobs ---------------------------------------------------------------------
def _pushed_jobs(daemon: ControlDaemon, now: float) -> list[Family]:
    state = daemon.cluster_state
    return [
        single("gauge", "setup_version", "Version of the setup in force here.", state.version),
        by_label("gauge", "tickets_live", "Tickets not yet final, by queue.", "queue", state.live_counts),
        single("gauge", "tickets_archived", "Finished tickets in segments.", state.archive.count),
    ]


def _queues(daemon: ControlDaemon, now: float) -> list[Family]:
    state = daemon.cluster_state
    queues = state.queue_settings
    unplaceable = "Waiting tasks no minion known at their coming could take."
    credits = "Credits that back running work, by the queue that lent them."
    return [
        by_queue("tasks_waiting", "Waiting tasks, by queue.", queues, state.waiting_counts),
        by_queue("tasks_parked", unplaceable, queues, state.unplaceable),
        by_queue("units_running", "Units of room reserved, by queue.", queues, state.used_units),
        by_queue("credits_out", credits, queues, state.outstanding_credits),
    ]


def _push_workers(daemon: ControlDaemon, now: float) -> list[Family]:
    on_unresponsive = "Tasks placed on silent minions, held until their end is proven."
    return [
        by_label(
            "gauge",
            "minions",
            "Minions this leader knows, by state.",
            "state",
            _push_workers_by_state(daemon, now),
        ),
        single("gauge", "tasks_held", on_unresponsive, _tasks_on_unresponsive(daemon, now)),
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
        by_label("counter", "placements_refused", refused, "why", daemon.refusals),
        by_label("counter", "task_ends", "Ends proven while leading, by how.", "how", daemon.end_counts),
        by_label("histogram", "wait_seconds", waited, "queue", daemon.wait_histograms),
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
    *leased_job_metrics.COLLECTORS,
)


def text(daemon: ControlDaemon, now: float) -> str:
    """All metrics in the text format of Prometheus."""
    families: list[metrics.Metric] = []
    for collect in COLLECTORS:
        families.extend(collect(daemon, now))
    families.extend(metrics_of(daemon.callers))
    families.append(metrics.event_metric(daemon.event_counts))
    return metrics.text(families)
