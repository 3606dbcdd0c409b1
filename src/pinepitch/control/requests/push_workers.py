"""Requests about the workers that take pushed tasks, and about their zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model.decisions import Answer, Decision, Propose, ProposeEnds
from ...model.push_worker import Report

if TYPE_CHECKING:
    from ..daemon import ControlDaemon


# --- reports -------------------------------------------------------------------------
def report(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """A worker's report: what it runs, and which ends it has not yet heard acknowledged."""
    read = _report_of(arguments)
    ends, acknowledged, strays = leader.take_report(read, now)
    for reference, attempt in strays:
        leader.kills.setdefault(reference, now)
        if leader.cluster_state.find(reference) is None:
            leader.event(156, task=reference, attempt=attempt, minion=read.worker)
    fresh = [one for one in ends if one[:2] not in leader.proposed_ends]
    reported = [one[:2] for one in fresh if one[2] not in ("never", "lost")]
    if fresh:
        return ProposeEnds(fresh, (acknowledged, strays, reported))
    return report_answer(leader, None, (acknowledged, strays, ()), now)


def _report_of(arguments: tuple[Any, ...]) -> Report:
    """The Report of a request; what came over the wire as lists is tuples again."""
    name, zone, address, capacity, labels, *rest, running, ended = arguments
    listed = (tuple(map(tuple, running)), tuple(map(tuple, ended)))
    return Report._make((name, zone, address, capacity, tuple(labels), *rest, *listed))


def report_answer(
    leader: ControlDaemon, outcome: tuple[Any, ...] | None, context: tuple[Any, ...], now: float
) -> Answer:
    """The answer to a report, once its ends are agreed on."""
    acknowledged, strays, ends = context
    return Answer(
        200,
        {
            "acknowledged": [list(one) for one in (*acknowledged, *ends)],
            "kill": [list(one) for one in strays],
            "time": leader.cluster_time(now),
        },
    )


# --- workers -------------------------------------------------------------------------
def list_workers(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """Each worker heard of, and those that only the cluster state names."""
    cluster_state = leader.cluster_state
    recorded = set(cluster_state.reserved) | set(cluster_state.drained) | set(cluster_state.withdrawn)
    names = sorted(set(leader.push_workers) | recorded)
    return Answer(200, {"minions": [_worker_view(leader, name, now) for name in names]})


def _worker_view(leader: ControlDaemon, name: str, now: float) -> dict[str, Any]:
    worker = leader.push_workers.get(name)
    known = worker.report if worker else None
    reserved = leader.cluster_state.reserved.get(name, {})
    unresponsive = worker is None or worker.unresponsive(now)
    closed = leader.cluster_state.closed(name, known.zone if known else "")
    return {
        "minion": name,
        "area": known.zone if known else None,
        "state": closed or ("silent" if unresponsive else "open"),
        "room": known.capacity if known else None,
        "reserved": sum(reserved.values()),
        "tasks": len(reserved),
        "labels": list(known.labels) if known else [],
        "failing": round(worker.failing, 3) if worker else None,
        "on_trial": bool(worker and worker.poor()),
    }


def drain(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Closes a worker to new tasks, or opens it again."""
    worker, closed = arguments
    return Propose(("drain", worker, bool(closed)), "done", {"minion": worker, "draining": bool(closed)})


def withdraw(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Announces that a worker goes at a time, in seconds of the cluster's clock."""
    worker, due = arguments
    return Propose(("withdraw", worker, due), "done", {"minion": worker, "withdrawn": due})


# --- zones ---------------------------------------------------------------------------
def empty_zone(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Closes all workers of a zone to new tasks, or opens them again."""
    zone, emptied = arguments
    return Propose(("area", zone, bool(emptied)), "done", {"area": zone, "emptied": bool(emptied)})


def list_zones(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The zones of the workers heard of, and those that are emptied."""
    counts: dict[str, int] = {}
    for worker in leader.push_workers.values():
        counts[worker.report.zone] = counts.get(worker.report.zone, 0) + 1
    emptied = leader.cluster_state.emptied
    for zone in emptied:
        counts.setdefault(zone, 0)
    zones = [
        {"area": zone, "minions": count, "emptied": zone in emptied} for zone, count in sorted(counts.items())
    ]
    return Answer(200, {"areas": zones})


def done_answer(
    leader: ControlDaemon, outcome: tuple[Any, ...], context: dict[str, Any], now: float
) -> Answer:
    """The answer to an order that can't fail: what it asked for is in force."""
    return Answer(200, context)
