"""Requests about the workers that run pushed tasks, and about their zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model.decisions import Answer, Decision, Propose, ProposeEnds
from ...model.push_worker import Report

if TYPE_CHECKING:
    from ..daemon import ControlDaemon


# --- reports -------------------------------------------------------------------------
def report(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """Handles a worker's report: what it runs, and which ends were not acknowledged to it yet."""
    read = _report_of(arguments)
    ends, acknowledged, strays = daemon.take_report(read, now)
    for reference, attempt in strays:
        daemon.kills.setdefault(reference, now)
        if daemon.cluster_state.find(reference) is None:
            daemon.event(156, task=reference, attempt=attempt, minion=read.worker)
    fresh = [end for end in ends if end[:2] not in daemon.proposed_ends]
    reported = [end[:2] for end in fresh if end[2] not in ("never", "lost")]
    if fresh:
        return ProposeEnds(fresh, (acknowledged, strays, reported))
    return report_answer(daemon, None, (acknowledged, strays, ()), now)


def _report_of(arguments: tuple[Any, ...]) -> Report:
    """The Report of a request, with the lists of the wire turned into tuples."""
    name, zone, address, capacity, labels, *other_fields, running, ended = arguments
    runs_and_ends = (tuple(map(tuple, running)), tuple(map(tuple, ended)))
    return Report._make((name, zone, address, capacity, tuple(labels), *other_fields, *runs_and_ends))


def report_answer(
    daemon: ControlDaemon, outcome: tuple[Any, ...] | None, context: tuple[Any, ...], now: float
) -> Answer:
    """The answer to a report, once its ends are committed."""
    acknowledged, strays, ends = context
    return Answer(
        200,
        {
            "acknowledged": [list(item) for item in (*acknowledged, *ends)],
            "kill": [list(item) for item in strays],
            "time": daemon.cluster_time(now),
        },
    )


# --- workers -------------------------------------------------------------------------
def list_workers(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """Each worker that reported, and those that only the cluster state names."""
    cluster_state = daemon.cluster_state
    recorded = set(cluster_state.reserved) | set(cluster_state.drained) | set(cluster_state.withdrawn)
    names = sorted(set(daemon.push_workers) | recorded)
    return Answer(200, {"minions": [_worker_view(daemon, name, now) for name in names]})


def _worker_view(daemon: ControlDaemon, name: str, now: float) -> dict[str, Any]:
    worker = daemon.push_workers.get(name)
    known = worker.report if worker else None
    reserved = daemon.cluster_state.reserved.get(name, {})
    unresponsive = worker is None or worker.unresponsive(now)
    closed = daemon.cluster_state.closed_reason(name, known.zone if known else "")
    return {
        "minion": name,
        "area": known.zone if known else None,
        "state": closed or ("silent" if unresponsive else "open"),
        "room": known.capacity if known else None,
        "reserved": sum(reserved.values()),
        "tasks": len(reserved),
        "labels": list(known.labels) if known else [],
        "failing": round(worker.reliability.failure_rate, 3) if worker else None,
        "on_trial": bool(worker and worker.is_unreliable()),
    }


def drain(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Closes a worker to new tasks, or opens it again."""
    worker, closed = arguments
    return Propose(("drain", worker, bool(closed)), "done", {"minion": worker, "draining": bool(closed)})


def withdraw(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Announces that a worker will be removed at a time, in seconds of cluster time."""
    worker, due = arguments
    return Propose(("withdraw", worker, due), "done", {"minion": worker, "withdrawn": due})


# --- zones ---------------------------------------------------------------------------
def empty_zone(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Closes all workers of a zone to new tasks, or opens them again."""
    zone, emptied = arguments
    return Propose(("area", zone, bool(emptied)), "done", {"area": zone, "emptied": bool(emptied)})


def list_zones(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The zones of the workers that reported, and those that are emptied."""
    counts: dict[str, int] = {}
    for worker in daemon.push_workers.values():
        counts[worker.report.zone] = counts.get(worker.report.zone, 0) + 1
    emptied = daemon.cluster_state.emptied
    for zone in emptied:
        counts.setdefault(zone, 0)
    zones = [
        {"area": zone, "minions": count, "emptied": zone in emptied} for zone, count in sorted(counts.items())
    ]
    return Answer(200, {"areas": zones})


def done_answer(
    daemon: ControlDaemon, outcome: tuple[Any, ...], context: dict[str, Any], now: float
) -> Answer:
    """The answer to an operation that can't fail: the requested state is active."""
    return Answer(200, context)
