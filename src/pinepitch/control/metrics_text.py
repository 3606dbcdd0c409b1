"""What an accord tells of itself: health and metrics."""

from ..common import metrics
from ..scheduling.idle_capacity import IDLE_BESIDE_WORK, KEPT_UNTAKEN


def health(core, now):
    """What this accord knows of itself."""
    consensus = core.consensus
    return {
        "identity": core.identity,
        "area": core.zone,
        "cohort": core.cluster,
        "address": core.address,
        "role": consensus.role if consensus else "outside",
        "term": consensus.term if consensus else 0,
        "leader": core._leader_address(),
        "commit": consensus.commit if consensus else 0,
        "applied": core.cluster_state.index,
        "setup_version": core.cluster_state.version,
        "disk_waiting": len(consensus.saving) if consensus else 0,
        "time": core._now(now),
    }


def _push_workers(core, now):
    states = {"open": 0, "silent": 0, "on trial": 0}
    for one in core.push_workers.values():
        states["silent" if one.unresponsive(now) else "on trial" if one.poor() else "open"] += 1
    return states


def _jobs(leased_jobs):
    """Jobs by state, those not final and those still readable."""
    open_jobs, final = {"queued": 0, "running": 0}, {"completed": 0, "failed": 0, "cancelled": 0}
    for identity in leased_jobs.jobs:
        state = leased_jobs.state(identity)
        open_jobs[state] = open_jobs.get(state, 0) + 1
    for state, *_ in leased_jobs.final.values():
        final[state] = final.get(state, 0) + 1
    return open_jobs, final


def _workers(core, now):
    """Workers this leader knows, each under one state."""
    states = {"ready": 0, "draining": 0, "silent": 0}
    for one in core.assignments.workers.values():
        state = "silent" if one.unresponsive(now) else one.state
        states[state] = states.get(state, 0) + 1
    return states


def _left_waiting(core):
    """(queue, why) -> tasks of jobs that the newest round of this leader left waiting."""
    counts = {}
    for key, why in core.assignments.assigner.why.items():
        wave = core.cluster_state.leased_jobs.ready.get(key)
        if wave is not None:
            place = (wave.job.queue, why)
            counts[place] = counts.get(place, 0) + len(wave.waiting)
    return counts


RESOURCES = ("cpu", "memory", "accelerators")


def _worker_capacity(core, now):
    """(service, resource, "taken" or "free") -> room of the workers that are heard and ready."""
    capacity = {}
    for worker in core.assignments.workers.values():
        if worker.unresponsive(now) or worker.state != "ready":
            continue
        taken = core.cluster_state.leased_jobs.taken.get(worker.identity, (0, 0, 0))
        for resource, total, used in zip(RESOURCES, worker.capacity, taken, strict=True):
            for state, amount in (("taken", used), ("free", total - used)):
                place = (worker.service, resource, state)
                capacity[place] = capacity.get(place, 0) + amount
    return capacity


def _leased_job_metrics(core, now):
    """Figures of jobs under holds. What the record holds every accord tells alike; workers and
    the keeper's counts only a leader has."""
    leased_jobs, (open_jobs, final) = core.cluster_state.leased_jobs, _jobs(core.cluster_state.leased_jobs)
    waiting = {}
    for wave in leased_jobs.ready.values():
        waiting[wave.job.queue] = waiting.get(wave.job.queue, 0) + len(wave.waiting)
    return [
        (
            "gauge",
            "jobs_open",
            "Jobs not yet final, by state.",
            ("state",),
            [((state,), count) for state, count in sorted(open_jobs.items())],
        ),
        (
            "gauge",
            "jobs_final",
            "Final jobs whose state is still readable, by state.",
            ("state",),
            [((state,), count) for state, count in sorted(final.items())],
        ),
        (
            "gauge",
            "job_tasks_waiting",
            "Tasks of jobs whose earlier steps are done, not placed, by queue.",
            ("queue",),
            [
                ((queue,), waiting.get(queue, 0))
                for queue in sorted({*waiting, *leased_jobs.configuration.routes})
            ],
        ),
        (
            "gauge",
            "job_tasks_left",
            "Tasks of jobs that the leader's newest round left waiting, by queue and why.",
            ("queue", "why"),
            sorted(_left_waiting(core).items()),
        ),
        (
            "counter",
            "placing_violations",
            "Invariants of placing found broken while leading, by which; always 0 but for a fault.",
            ("invariant",),
            [
                ((invariant,), core.assignments.assigner.idle_capacity.counts[invariant])
                for invariant in (KEPT_UNTAKEN, IDLE_BESIDE_WORK)
            ],
        ),
        (
            "gauge",
            "worker_room",
            "Room of workers that are heard and ready: thousandths of a core, megabytes, accelerators.",
            ("service", "resource", "state"),
            sorted(_worker_capacity(core, now).items()),
        ),
        (
            "gauge",
            "runs_placed",
            "Runs of jobs placed whose end is not proven.",
            (),
            [((), sum(map(len, leased_jobs.placements.values())))],
        ),
        (
            "gauge",
            "zones_evacuated",
            "Zones whose workers get no new work.",
            (),
            [((), len(leased_jobs.evacuated))],
        ),
        (
            "gauge",
            "configuration_version",
            "Version of routes and services in force here, 0 for none.",
            (),
            [((), leased_jobs.configuration.version)],
        ),
        (
            "gauge",
            "workers",
            "Workers this leader knows, by state.",
            ("state",),
            [((state,), count) for state, count in sorted(_workers(core, now).items())],
        ),
        (
            "counter",
            "beats",
            "Beats of workers taken while leading.",
            (),
            [((), core.assignments.counts["beats"])],
        ),
        (
            "counter",
            "run_starts",
            "Starts told to workers while leading.",
            (),
            [((), core.assignments.counts["starts"])],
        ),
        (
            "counter",
            "run_stops",
            "Stops told to workers while leading.",
            (),
            [((), core.assignments.counts["stops"])],
        ),
        (
            "counter",
            "run_ends",
            "Ends of runs agreed on while leading, by how.",
            ("how",),
            [((how,), count) for how, count in sorted(core.assignments.end_counts.items())],
        ),
        (
            "counter",
            "run_stop_orders",
            "Runs that are to end while their jobs go on, by why.",
            ("why",),
            [((why,), count) for why, count in sorted(core.assignments.stop_counts.items())],
        ),
        (
            "counter",
            "runs_misjudged",
            "Runs stopped as stalled while leading that were going all the same.",
            (),
            [((), core.assignments.progress.misjudged_count)],
        ),
    ]


def text(core, now):
    """Metrics in the Prometheus manner. What only a leader gathers is told by it alone."""
    cluster_state, consensus = core.cluster_state, core.consensus
    leading = consensus is not None and consensus.role == "leader"
    metric_families = [
        ("gauge", "leading", "1 while this accord leads.", (), [((), int(leading))]),
        ("gauge", "term", "The newest term known.", (), [((), consensus.term if consensus else 0)]),
        (
            "gauge",
            "commit_index",
            "Entries known to be committed.",
            (),
            [((), consensus.commit if consensus else 0)],
        ),
        (
            "gauge",
            "disk_waiting",
            "Saves not yet durable.",
            (),
            [((), len(consensus.saving) if consensus else 0)],
        ),
        ("counter", "syncs", "Saves made durable.", (), [((), core.counts["syncs"])]),
        ("counter", "messages_sent", "Messages sent to other daemons.", (), [((), core.counts["sent"])]),
        ("counter", "entries_applied", "Entries applied to the record.", (), [((), core.counts["applied"])]),
        (
            "histogram",
            "sync_seconds",
            "From a save's begin to its being durable.",
            (),
            [((), core.sync_histogram)],
        ),
        (
            "gauge",
            "sessions",
            "Sessions held, by kind of daemon.",
            ("kind",),
            [((kind,), len(core.sessions.live(kind))) for kind in ("accord", "verge")],
        ),
        ("gauge", "setup_version", "Version of the setup in force here.", (), [((), cluster_state.version)]),
        (
            "gauge",
            "tickets_live",
            "Tickets not yet final, by queue.",
            ("queue",),
            [((queue,), count) for queue, count in sorted(cluster_state.live_counts.items())],
        ),
        (
            "gauge",
            "tickets_archived",
            "Finished tickets in segments.",
            (),
            [((), cluster_state.archive.count)],
        ),
        (
            "gauge",
            "tasks_waiting",
            "Waiting tasks, by queue.",
            ("queue",),
            [
                ((queue,), cluster_state.waiting_counts.get(queue, 0))
                for queue in sorted(cluster_state.queue_settings)
            ],
        ),
        (
            "gauge",
            "tasks_parked",
            "Waiting tasks no minion known at their coming could take.",
            ("queue",),
            [
                ((queue,), cluster_state.unplaceable.get(queue, 0))
                for queue in sorted(cluster_state.queue_settings)
            ],
        ),
        (
            "gauge",
            "units_running",
            "Units of room reserved, by queue.",
            ("queue",),
            [
                ((queue,), cluster_state.used_units.get(queue, 0))
                for queue in sorted(cluster_state.queue_settings)
            ],
        ),
        (
            "gauge",
            "credits_out",
            "Credits that back running work, by the queue that lent them.",
            ("queue",),
            [
                ((queue,), cluster_state.outstanding_credits.get(queue, 0))
                for queue in sorted(cluster_state.queue_settings)
            ],
        ),
        (
            "gauge",
            "minions",
            "Minions this leader knows, by state.",
            ("state",),
            [((state,), count) for state, count in sorted(_push_workers(core, now).items())],
        ),
        (
            "gauge",
            "tasks_held",
            "Tasks placed on silent minions, held until their end is proven.",
            (),
            [
                (
                    (),
                    sum(
                        len(cluster_state.reserved.get(name, ()))
                        for name, one in core.push_workers.items()
                        if one.unresponsive(now)
                    ),
                )
            ],
        ),
        (
            "counter",
            "placements_refused",
            "Placements the record refused, by reason.",
            ("why",),
            [((why,), count) for why, count in sorted(core.refusals.items())],
        ),
        (
            "counter",
            "task_ends",
            "Ends proven while leading, by how.",
            ("how",),
            [((how,), count) for how, count in sorted(core.end_counts.items())],
        ),
        (
            "histogram",
            "wait_seconds",
            "From a task's being ready to its placement, while leading.",
            ("queue",),
            [((queue,), histogram) for queue, histogram in sorted(core.wait_histograms.items())],
        ),
        *_leased_job_metrics(core, now),
        metrics.event_metric(core.event_counts),
    ]
    return metrics.text(metric_families)
