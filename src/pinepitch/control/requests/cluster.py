"""Requests that read the state of the cluster: queues, members, metrics, pauses, what runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model.decisions import Answer
from ..loss_tolerance import loss_tolerance

if TYPE_CHECKING:
    from ...state.cluster_state import ClusterState
    from ..daemon import ControlDaemon


# --- queues --------------------------------------------------------------------------
def pending(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """What waits and runs at each queue, beside its settings."""
    cluster_state = leader.cluster_state
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


def list_placed_tasks(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """Every placed task, for operators and history checks."""
    listed = []
    for worker, reserved in sorted(leader.cluster_state.reserved.items()):
        for ref in sorted(reserved):
            _, task, standing = leader.cluster_state.find_known(ref)
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


def list_approval_pauses(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The alerts that pause approvals of drafts, and since when."""
    pauses = [
        {"alert": alert, "since": since, "why": why}
        for alert, (since, why) in sorted(leader.cluster_state.approval_pauses.items())
    ]
    return Answer(200, {"holds": pauses})


# --- members -------------------------------------------------------------------------
def read_cluster(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The cluster as its leader sees it: quorums, roles, members and all daemons with a session."""
    consensus = leader.consensus
    quorum = consensus.membership.now
    document = {
        "cohort": leader.cluster,
        "leader": leader.identity,
        "term": consensus.term,
        "commit": consensus.commit,
        "mode": quorum.mode,
        "changing": consensus.membership.coming is not None,
        "commit_groups": quorum.commit_count(),
        "elect_groups": quorum.elect_count(),
        "groups": len(quorum.groups()),
        "time": leader.cluster_time(now),
        "leads_since": _leads_since(leader, now),
        "may_lose": _may_lose(leader, now),
        "epochs": {role: list(one) for role, one in leader.cluster_state.epochs.items()},
        "members": _members(leader),
        "daemons": _daemons(leader),
    }
    return Answer(200, document)


def _leads_since(leader: ControlDaemon, now: float) -> float:
    """When this leader began to lead, in seconds of the cluster's clock."""
    begun = now if leader.leader_since is None else leader.leader_since
    return leader.cluster_time(now) - (now - begun)


def _may_lose(leader: ControlDaemon, now: float) -> dict[str, Any]:
    """How many more control machines may be lost now, and what stands in the way of more."""
    machines, any_zone, obstacles = loss_tolerance(leader, now)
    return {"machines": machines, "zone": any_zone, "obstacles": list(obstacles)}


def _members(leader: ControlDaemon) -> list[dict[str, Any]]:
    return [
        {
            "accord": identity,
            "area": zone,
            "address": leader.sessions.address(identity),
            "live": identity == leader.identity or identity in leader.sessions.by_identity,
        }
        for identity, zone in sorted(leader.consensus.membership.members().items())
    ]


def _daemons(leader: ControlDaemon) -> list[dict[str, Any]]:
    return [
        {"daemon": one.identity, "kind": one.kind, "area": one.zone, "address": one.address}
        for kind in ("accord", "verge")
        for one in leader.sessions.live(kind)
    ]


# --- counts --------------------------------------------------------------------------
def read_counts(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """Counts of jobs, entries and messages, for the command line and for soaks."""
    cluster_state, consensus = leader.cluster_state, leader.consensus
    document = {
        "tickets": _jobs_by_state(cluster_state),
        "waiting": dict(cluster_state.waiting_counts),
        "running": dict(cluster_state.used_units),
        "entries": consensus.last_index(),
        "commit": consensus.commit,
        "term": consensus.term,
        "syncs": leader.counts["syncs"],
        "rounds": leader.rounds,
        "messages": leader.counts["sent"],
        "minions": len(leader.push_workers),
        "setup_version": cluster_state.version,
        "on_trial": sum(one.poor() for one in leader.push_workers.values()),
    }
    return Answer(200, document)


def _jobs_by_state(cluster_state: ClusterState) -> dict[str, int]:
    """How many pushed jobs are in each state, archived ones with them."""
    states = dict(cluster_state.archive.states)
    for job in cluster_state.pushed_jobs.values():
        states[job.state] = states.get(job.state, 0) + 1
    return states


def read_log_index(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """How far the log is, confirmed: what was acknowledged before has no higher index."""
    return Answer(200, {"index": leader.cluster_state.index})


def read_image_digests(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The digests of the newest images that the leader encoded, as [index, digest]."""
    return Answer(200, {"digests": [list(one) for one in sorted(leader.image_digests.own.items())]})
