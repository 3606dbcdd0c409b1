"""Requests that read the state of the cluster: queues, members, metrics, pauses, placed tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model.decisions import Answer
from ..loss_tolerance import loss_tolerance

if TYPE_CHECKING:
    from ...state.cluster_state import ClusterState
    from ..daemon import ControlDaemon


# --- queues --------------------------------------------------------------------------
def pending(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The waiting and running work of each queue, with its settings."""
    cluster_state = daemon.cluster_state
    queues = [_queue_view(cluster_state, queue) for queue in sorted(cluster_state.queue_settings)]
    return Answer(200, {"queues": queues})


def _queue_view(cluster_state: ClusterState, queue: str) -> dict[str, Any]:
    queue_settings = cluster_state.queue_settings[queue]
    return {
        "queue": queue,
        "waiting": cluster_state.waiting_counts.get(queue, 0),
        "parked": cluster_state.unplaceable.get(queue, 0),
        "running_units": cluster_state.used_units.get(queue, 0),
        "credits": cluster_state.balance(queue),
        "share": queue_settings.share,
        "limit": queue_settings.limit,
        "bound": queue_settings.pending,
    }


def list_placed_tasks(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """Every placed task, for operators and history checks."""
    listed = []
    for worker, reserved in sorted(daemon.cluster_state.reserved.items()):
        for ref in sorted(reserved):
            _, task, standing = daemon.cluster_state.find_known(ref)
            listed.append(
                {
                    "task": ref,
                    "attempt": standing.attempt,
                    "minion": worker,
                    "units": task.units,
                    "yields_to": standing.yields_to,
                }
            )
    return Answer(200, {"tasks": listed})


def list_approval_pauses(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The alerts that pause approvals of drafts, and since when."""
    pauses = [
        {"alert": alert, "since": since, "why": why}
        for alert, (since, why) in sorted(daemon.cluster_state.approval_pauses.items())
    ]
    return Answer(200, {"holds": pauses})


# --- members -------------------------------------------------------------------------
def read_cluster(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The cluster as its leader sees it: quorums, roles, members and all daemons with a session."""
    consensus = daemon.consensus
    quorum = consensus.membership.now
    document = {
        "cohort": daemon.cluster,
        "leader": daemon.identity,
        "term": consensus.term,
        "commit": consensus.applied_index,
        "mode": quorum.mode,
        "changing": consensus.membership.coming is not None,
        "commit_groups": quorum.commit_count(),
        "elect_groups": quorum.elect_count(),
        "groups": len(quorum.groups()),
        "time": daemon.cluster_time(now),
        "leads_since": _leads_since(daemon, now),
        "may_lose": _may_lose(daemon, now),
        "epochs": {role: list(claim) for role, claim in daemon.cluster_state.epochs.items()},
        "members": _members(daemon),
        "daemons": _daemons(daemon),
    }
    return Answer(200, document)


def _leads_since(daemon: ControlDaemon, now: float) -> float:
    """When this leader began to lead, in seconds of cluster time."""
    begun = now if daemon.leader_since is None else daemon.leader_since
    return daemon.cluster_time(now) - (now - begun)


def _may_lose(daemon: ControlDaemon, now: float) -> dict[str, Any]:
    """How many more control machines may be lost now, and the obstacles to more."""
    machines, any_zone, obstacles = loss_tolerance(daemon, now)
    return {"machines": machines, "zone": any_zone, "obstacles": list(obstacles)}


def _members(daemon: ControlDaemon) -> list[dict[str, Any]]:
    return [
        {
            "accord": identity,
            "area": zone,
            "address": daemon.sessions.address(identity),
            "live": identity == daemon.identity or identity in daemon.sessions.by_identity,
        }
        for identity, zone in sorted(daemon.consensus.membership.members().items())
    ]


def _daemons(daemon: ControlDaemon) -> list[dict[str, Any]]:
    return [
        {"daemon": session.identity, "kind": session.kind, "area": session.zone, "address": session.address}
        for kind in ("accord", "verge")
        for session in daemon.sessions.live(kind)
    ]


# --- counts --------------------------------------------------------------------------
def read_counts(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """Counts of jobs, entries and messages, for the command line and for soak tests."""
    cluster_state, consensus = daemon.cluster_state, daemon.consensus
    document = {
        "tickets": _jobs_by_state(cluster_state),
        "waiting": dict(cluster_state.waiting_counts),
        "running": dict(cluster_state.used_units),
        "entries": consensus.last_index(),
        "commit": consensus.applied_index,
        "term": consensus.term,
        "syncs": daemon.counts["syncs"],
        "rounds": daemon.rounds,
        "messages": daemon.counts["sent"],
        "minions": len(daemon.push_workers),
        "setup_version": cluster_state.version,
        "on_trial": sum(worker.is_unreliable() for worker in daemon.push_workers.values()),
    }
    return Answer(200, document)


def _jobs_by_state(cluster_state: ClusterState) -> dict[str, int]:
    """How many pushed jobs are in each state, including archived jobs."""
    states = dict(cluster_state.archive.states)
    for job in cluster_state.pushed_jobs.values():
        states[job.state] = states.get(job.state, 0) + 1
    return states


def read_log_index(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The confirmed index of the log: whatever was acknowledged before has no higher index."""
    return Answer(200, {"index": daemon.cluster_state.index})


def read_image_digests(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The digests of the newest images that the leader encoded, as [index, digest]."""
    return Answer(200, {"digests": [list(item) for item in sorted(daemon.image_digests.own_digests.items())]})
