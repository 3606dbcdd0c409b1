"""Calls: what verges may carry to the leader. The registry at the end names them all.

A reading call answers from the record once leadership is confirmed; a deciding one
answers at once, or names an operation to agree on, or ends to agree on with others'.
An answer is (status, document, retry).
"""

from collections.abc import Callable
from typing import NamedTuple

from ..common import constants
from ..model import queue_settings as queue_documents
from ..model.push_worker import Report
from ..model.task import reference
from ..scheduling import requests as job_calls
from ..transport.forwarder import LOG_INDEX_REQUEST


class Call(NamedTuple):
    """Invariant: a reading call changes nothing and has always an answer."""

    reads: bool
    make: Callable


def problem(status, code, message, retry=None, **more):
    """An answer that says no."""
    return (status, {"error": {"code": code, "message": message, **more}}, retry)


def faulty(faults):
    """An answer that names every fault by its path."""
    return problem(
        422,
        "invalid",
        "the document has faults",
        faults=[{"path": path, "message": message} for path, message in faults],
    )


def _rejected(why):
    return problem(429, "shed", why, retry=constants.RETRY_AFTER)


# --- tickets -------------------------------------------------------------------------
def _submit(core, token, arguments, now):
    key, digest, plain = arguments
    cluster_state = core.cluster_state
    unplaceable = _why_unplaceable(core, plain, now)
    refusal = cluster_state.known(key, digest) or cluster_state.job_refusal(plain, unplaceable)
    if refusal is not None:
        if refusal[0] == "shed":
            core._event(170, queue=plain["queue"], why=refusal[1])
        return ("answer", _submit_answer(core, refusal))
    return ("agree", ("ticket", key, digest, plain, unplaceable), "submit", None)


def _why_unplaceable(core, plain, now):
    """Why no known minion, heard of late or not, could take some task, or ''. A leader that
    has not yet gathered its minions rules nothing out."""
    if not core.push_workers or now - core.leader_since < constants.REPORT_GATHERING:
        return ""
    seen = set()
    for task in plain["tasks"]:
        shape = (task["units"], frozenset(task["labels"]))
        if shape in seen:
            continue
        seen.add(shape)
        capacities = [
            one.report.capacity for one in core.push_workers.values() if shape[1] <= set(one.report.labels)
        ]
        if not capacities:
            return f"task {task['name']} asks for {', '.join(sorted(shape[1]))}, which no known minion has"
        if max(capacities) < shape[0]:
            most = max(capacities)
            return f"task {task['name']} asks for {shape[0]} units, over the {most} of any fitting minion"
    return ""


def _submit_answer(core, outcome, extra=None, now=None):
    kind = outcome[0]
    if kind in ("accepted", "known"):
        status = 201 if kind == "accepted" else 200
        return (status, job_summary(core.cluster_state.pushed_job(outcome[1])), None)
    if kind == "mismatch":
        return problem(409, "key_reused", "this key came with another body before", ticket=outcome[1])
    if kind == "shed":
        return _rejected(outcome[1])
    return faulty(outcome[1])


def job_summary(job):
    """A ticket without its tasks."""
    return {
        "ticket": job.identity,
        "key": job.key,
        "queue": job.queue,
        "kind": job.kind,
        "urgency": job.urgency,
        "due": job.due,
        "accepted": job.accepted,
        "state": job.state,
        "ended": job.ended_at,
        "tasks": len(job.tasks),
        "parked": job.unplaceable,
    }


def job_with_tasks(job):
    """A ticket with the standing of each task."""
    tasks = []
    for name, task in job.tasks.items():
        standing = job.standings[name]
        tasks.append(
            {
                "name": name,
                "state": standing.state,
                "attempt": standing.attempt,
                "failures": standing.failures,
                "minion": standing.worker,
                "after": list(task.after),
                "units": task.units,
                "labels": list(task.labels),
                "gang": task.gang,
                "not_before": task.not_before,
                "attempts": task.attempts,
                "yields_to": standing.yields_to,
                "since": standing.since,
            }
        )
    return {**job_summary(job), "tasks": tasks}


def _read_job(core, token, arguments, now):
    job = core.cluster_state.pushed_job(arguments[0])
    if job is None:
        return ("answer", problem(404, "unknown_ticket", f"no ticket {arguments[0]!r}"))
    return ("answer", (200, job_with_tasks(job), None))


def _list_jobs(core, token, arguments, now):
    after, most, state, queue, key = arguments
    cluster_state, listed = core.cluster_state, []
    if key:
        known = cluster_state.known(key, "")
        listed = [job_summary(cluster_state.pushed_job(known[1]))] if known else []
        return ("answer", (200, {"tickets": listed, "next": None}, None))
    number, following = after, None
    while number < cluster_state.count:
        number += 1
        job = cluster_state.pushed_job(f"t{number}")
        if job is None or (state and job.state != state) or (queue and job.queue != queue):
            continue
        listed.append(job_summary(job))
        if len(listed) >= most:
            following = number if number < cluster_state.count else None
            break
    return ("answer", (200, {"tickets": listed, "next": following}, None))


def _cancel(core, token, arguments, now):
    return ("agree", ("cancel", arguments[0]), "cancel", arguments[0])


def _cancel_answer(core, outcome, identity, now):
    if outcome[0] == "missing":
        return problem(404, "unknown_ticket", f"no ticket {identity!r}")
    if outcome[0] == "ended":
        return problem(409, "ended", f"the ticket is already {outcome[1]}", state=outcome[1])
    return (200, job_summary(core.cluster_state.pushed_job(identity)), None)


# --- minions and areas ---------------------------------------------------------------
def _report(core, token, arguments, now):
    fields = list(arguments)
    fields[4] = tuple(fields[4])
    fields[9] = tuple(map(tuple, fields[9]))
    fields[10] = tuple(map(tuple, fields[10]))
    report = Report(*fields)
    ends, acknowledged, strays = core.take_report(report, now)
    for ref, attempt in strays:
        core.kills.setdefault(ref, now)
        if core.cluster_state.find(ref) is None:
            core._event(156, task=ref, attempt=attempt, minion=report.worker)
    fresh = [one for one in ends if one[:2] not in core.proposed_ends]
    entries = [one[:2] for one in fresh if one[2] not in ("never", "lost")]
    if fresh:
        return ("ends", fresh, (acknowledged, strays, entries))
    return ("answer", _report_answer(core, None, (acknowledged, strays, ()), now))


def _list_push_workers(core, token, arguments, now):
    cluster_state, listed = core.cluster_state, []
    for name in sorted(
        set(core.push_workers)
        | set(cluster_state.reserved)
        | set(cluster_state.drained)
        | set(cluster_state.withdrawn)
    ):
        worker = core.push_workers.get(name)
        report = worker.report if worker else None
        reserved = cluster_state.reserved.get(name, {})
        unresponsive = worker is None or worker.unresponsive(now)
        state = cluster_state.closed(name, report.zone if report else "") or (
            "silent" if unresponsive else "open"
        )
        listed.append(
            {
                "minion": name,
                "area": report.zone if report else None,
                "state": state,
                "room": report.capacity if report else None,
                "reserved": sum(reserved.values()),
                "tasks": len(reserved),
                "labels": list(report.labels) if report else [],
                "failing": round(worker.failing, 3) if worker else None,
                "on_trial": bool(worker and worker.poor()),
            }
        )
    return ("answer", (200, {"minions": listed}, None))


def _drain(core, token, arguments, now):
    worker, closed = arguments
    return ("agree", ("drain", worker, bool(closed)), "done", {"minion": worker, "draining": bool(closed)})


def _withdraw(core, token, arguments, now):
    worker, due = arguments
    return ("agree", ("withdraw", worker, due), "done", {"minion": worker, "withdrawn": due})


def _empty_zone(core, token, arguments, now):
    zone, emptied = arguments
    return ("agree", ("area", zone, bool(emptied)), "done", {"area": zone, "emptied": bool(emptied)})


def _list_zones(core, token, arguments, now):
    names = {}
    for worker in core.push_workers.values():
        names[worker.report.zone] = names.get(worker.report.zone, 0) + 1
    for zone in core.cluster_state.emptied:
        names.setdefault(zone, 0)
    return (
        "answer",
        (
            200,
            {
                "areas": [
                    {"area": zone, "minions": count, "emptied": zone in core.cluster_state.emptied}
                    for zone, count in sorted(names.items())
                ]
            },
            None,
        ),
    )


def _done_answer(core, outcome, extra, now):
    return (200, extra, None)


# --- setups --------------------------------------------------------------------------
def _read_queue_configuration(core, token, arguments, now):
    cluster_state = core.cluster_state
    version = arguments[0] or cluster_state.version
    line = cluster_state.queue_configurations.line(version)
    if line is None:
        return ("answer", problem(404, "unknown_version", f"no setup {arguments[0]!r} in the history"))
    document = (
        cluster_state.queue_configuration
        if version == cluster_state.version
        else cluster_state.queue_configurations.read(version)
    )
    return ("answer", (200, {**_line(line), "setup": document}, None))


def _line(line):
    return dict(zip(("version", "who", "why", "time", "base"), line, strict=False))


def _list_queue_configurations(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {
                "version": core.cluster_state.version,
                "setups": [_line(line) for line in core.cluster_state.queue_configurations.lines],
            },
            None,
        ),
    )


def _change(core, token, arguments, now):
    base, manner, document, who, why = arguments
    if (
        base is not None
        and base != core.cluster_state.version
        and core.cluster_state.marks.outcome(token) is None
    ):
        return ("answer", _queue_configuration_answer(core, ("conflict", core.cluster_state.version)))
    return ("agree", ("setup", token, base, manner, document, who, why), "setup", None)


def _queue_configuration_answer(core, outcome, extra=None, now=None):
    if outcome[0] == "forgotten":
        return problem(504, "forgotten", "too many changes came since to tell whether this one was made")
    if outcome[0] == "conflict":
        return problem(409, "base_moved", f"version {outcome[1]} is in force", version=outcome[1])
    if outcome[0] == "invalid":
        return faulty(outcome[1])
    return (200, {"version": outcome[1]}, None)


def _go_back(core, token, arguments, now):
    base, wanted, who, why = arguments
    document = core.cluster_state.queue_configurations.read(wanted)
    if document is None:
        return ("answer", problem(404, "unknown_version", f"no setup {wanted} in the history"))
    return _change(core, token, (base, "whole", document, who, why or f"back to version {wanted}"), now)


# --- the table -----------------------------------------------------------------------
def _table(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {
                "version": core.cluster_state.version,
                "rows": queue_documents.cells(core.cluster_state.queue_configuration),
            },
            None,
        ),
    )


def _draft(core, token, arguments, now):
    base, patch, who, why = arguments
    return ("agree", ("draft", token, base, patch, who, why), "draft", None)


def _draft_answer(core, outcome, extra=None, now=None):
    if outcome[0] == "missing":
        return problem(404, "unknown_draft", "no such draft")
    if outcome[0] == "ended":
        return problem(409, "ended", f"the draft is already {outcome[1]}")
    if outcome[0] == "unmeasured":
        return problem(409, "not_measured", "rehearse the draft on the version in force first")
    if outcome[0] == "worse":
        return problem(409, "not_better", f"the rehearsal's verdict: {outcome[1]}", verdict=outcome[1])
    if outcome[0] == "held":
        return problem(
            409,
            "held",
            "approvals are held by firing alerts; an emergency change is not",
            retry=constants.PAUSED_RETRY_AFTER,
            alerts=[{"alert": alert, "why": why} for alert, why in outcome[1]],
        )
    if outcome[0] == "draft":
        return (200, draft_view(core.cluster_state, outcome[1]), None)
    return _queue_configuration_answer(core, outcome)


def draft_view(cluster_state, identity):
    """A draft as operators see it."""
    draft = cluster_state.drafts[identity]
    base = cluster_state.queue_configurations.read(draft["base"])["queues"]
    cells = [
        [f"{queue}.{column}", base.get(queue, {}).get(column), value]
        for queue, queue_settings in sorted(draft["setup"]["queues"].items())
        for column, value in queue_settings.items()
        if base.get(queue, {}).get(column) != value
    ]
    cells += [[queue, "a row", None] for queue in sorted(base) if queue not in draft["setup"]["queues"]]
    return {
        "cells": cells,
        **{
            name: draft[name] for name in ("draft", "base", "patch", "who", "why", "time", "state", "measure")
        },
        "stale": draft["base"] != cluster_state.version and draft["state"] != "approved",
    }


def _drafts(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {
                "drafts": [
                    draft_view(core.cluster_state, one)
                    for one in sorted(core.cluster_state.drafts, key=lambda one: int(one[1:]))
                ]
            },
            None,
        ),
    )


def _one_draft(core, token, arguments, now):
    if arguments[0] not in core.cluster_state.drafts:
        return ("answer", _draft_answer(core, ("missing",)))
    return ("answer", (200, draft_view(core.cluster_state, arguments[0]), None))


def _rehearse(core, token, arguments, now):
    capacities = [
        [name, worker.report.zone, worker.report.capacity, list(worker.report.labels)]
        for name, worker in sorted(core.push_workers.items())
        if not worker.unresponsive(now) and not core.cluster_state.closed(name, worker.report.zone)
    ]
    return ("agree", ("rehearse", arguments[0], capacities), "draft", None)


def _approve(core, token, arguments, now):
    identity, who, why = arguments
    return ("agree", ("approve", token, identity, who, why), "draft", None)


def _drop(core, token, arguments, now):
    return ("agree", ("drop", arguments[0]), "dropped", arguments[0])


def _dropped_answer(core, outcome, identity, now):
    return _draft_answer(core, outcome) if outcome[0] == "missing" else (200, {"dropped": identity}, None)


# --- state ---------------------------------------------------------------------------
def _pending(core, token, arguments, now):
    cluster_state = core.cluster_state
    return (
        "answer",
        (
            200,
            {
                "queues": [
                    {
                        "queue": queue,
                        "waiting": cluster_state.waiting_counts.get(queue, 0),
                        "parked": cluster_state.unplaceable.get(queue, 0),
                        "running_units": cluster_state.used_units.get(queue, 0),
                        "credits": cluster_state.balance(queue),
                        "share": queue_settings.share,
                        "limit": queue_settings.limit,
                        "bound": queue_settings.pending,
                    }
                    for queue, queue_settings in sorted(cluster_state.queue_settings.items())
                ]
            },
            None,
        ),
    )


def _read_cluster(core, token, arguments, now):
    consensus = core.consensus
    quorum = consensus.membership.now
    return (
        "answer",
        (
            200,
            {
                "cohort": core.cluster,
                "leader": core.identity,
                "term": consensus.term,
                "commit": consensus.commit,
                "mode": quorum.mode,
                "changing": consensus.membership.coming is not None,
                "commit_groups": quorum.commit_count(),
                "elect_groups": quorum.elect_count(),
                "groups": len(quorum.groups()),
                "time": core._now(now),
                "epochs": {role: list(one) for role, one in core.cluster_state.epochs.items()},
                "members": [
                    {
                        "accord": one,
                        "area": zone,
                        "address": core.sessions.address(one),
                        "live": one == core.identity or one in core.sessions.by_identity,
                    }
                    for one, zone in sorted(consensus.membership.members().items())
                ],
                "daemons": [
                    {"daemon": one.identity, "kind": one.kind, "area": one.zone, "address": one.address}
                    for kind in ("accord", "verge")
                    for one in core.sessions.live(kind)
                ],
            },
            None,
        ),
    )


def _list_approval_pauses(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {
                "holds": [
                    {"alert": alert, "since": since, "why": why}
                    for alert, (since, why) in sorted(core.cluster_state.approval_pauses.items())
                ]
            },
            None,
        ),
    )


def _read_metrics(core, token, arguments, now):
    cluster_state, consensus = core.cluster_state, core.consensus
    states = dict(cluster_state.archive.states)
    for job in cluster_state.pushed_jobs.values():
        states[job.state] = states.get(job.state, 0) + 1
    return (
        "answer",
        (
            200,
            {
                "tickets": states,
                "waiting": dict(cluster_state.waiting_counts),
                "running": dict(cluster_state.used_units),
                "entries": consensus.last_index(),
                "commit": consensus.commit,
                "term": consensus.term,
                "syncs": core.counts["syncs"],
                "rounds": core.rounds,
                "messages": core.counts["sent"],
                "minions": len(core.push_workers),
                "setup_version": cluster_state.version,
                "on_trial": sum(one.poor() for one in core.push_workers.values()),
            },
            None,
        ),
    )


def _explain(core, token, arguments, now):
    """Why each task of a ticket is where it is, from the record and the last round."""
    job = core.cluster_state.pushed_job(arguments[0])
    if job is None:
        return ("answer", problem(404, "unknown_ticket", f"no ticket {arguments[0]!r}"))
    cluster_state, entries = core.cluster_state, []
    for name, task in job.tasks.items():
        standing = job.standings[name]
        line = {
            "task": name,
            "state": standing.state,
            "attempt": standing.attempt,
            "failures": standing.failures,
            "attempts": task.attempts,
            "since": standing.since,
        }
        if standing.state == "placed":
            line.update(
                minion=standing.worker,
                verge=standing.front_daemon,
                charges=[list(one) for one in standing.charges],
                yields_to=standing.yields_to,
                why="placed: " + _lent(job, standing),
            )
        elif standing.state == "waiting":
            line["why"] = _waits(core, job, task, standing, now)
            line["candidates"] = _candidates(core, task, now)
        else:
            line.update(
                minion=standing.worker,
                why=f"ended {standing.state}" + ("" if standing.attempt else " before it was placed"),
            )
        line["attempts_made"] = [
            {
                "attempt": attempt,
                "minion": worker,
                "verge": front_daemon,
                "how": how,
                "placed": placed,
                "ended": ended,
                "epoch": placed_under[0],
                "setup_version": placed_under[1],
                "lenders": [list(one) for one in charges],
            }
            for attempt, worker, front_daemon, how, placed, ended, placed_under, charges in standing.past
        ]
        entries.append(line)
    queue_settings = cluster_state.queue_settings.get(job.queue)
    return (
        "answer",
        (
            200,
            {
                **job_summary(job),
                "tasks": entries,
                "setup_version": cluster_state.version,
                "placing": list(cluster_state.epochs.get("placing", (0, ""))),
                "credits": cluster_state.balance(job.queue),
                "running_units": cluster_state.used_units.get(job.queue, 0),
                "limit": queue_settings.limit if queue_settings else None,
            },
            None,
        ),
    )


def _lent(job, standing):
    parts = [
        f"{credits} credits of {'its own queue' if queue == job.queue else queue}"
        for queue, credits in standing.charges
    ]
    return f"attempt {standing.attempt} on {standing.worker} with " + ", ".join(parts)


def _waits(core, job, task, standing, now):
    undone = [one for one in task.after if job.standings[one].state != "done"]
    if undone:
        return "waits for " + ", ".join(undone)
    begins = max(task.not_before, standing.earliest)
    if core._now(now) < begins:
        return f"not before {begins:.3f}"
    if reference(job.identity, task.name) in core.placer.proposed:
        return "proposed, not yet agreed"
    return core.placer.reason(core.cluster_state, job, task.name)


def _candidates(core, task, now):
    """What rules out, or doesn't, each minion."""
    entries = []
    for name in sorted(core.push_workers):
        worker = core.push_workers[name]
        report = worker.report
        left = report.capacity - sum(core.cluster_state.reserved.get(name, {}).values())
        closed = core.cluster_state.closed(name, report.zone)
        if closed:
            why = closed
        elif worker.unresponsive(now):
            why = "silent"
        elif not set(task.labels) <= set(report.labels):
            why = "lacks " + ", ".join(sorted(set(task.labels) - set(report.labels)))
        elif left < task.units:
            why = f"{left} units left of {report.capacity}"
        elif worker.poor():
            why = "on trial"
        else:
            why = "open"
        entries.append({"minion": name, "why": why})
    return entries


def _live_tasks(core, token, arguments, now):
    """Every placed task, for operators and history checks."""
    listed = []
    for worker, reserved in sorted(core.cluster_state.reserved.items()):
        for ref in sorted(reserved):
            _, task, standing = core.cluster_state.find(ref)
            listed.append(
                {
                    "task": ref,
                    "attempt": standing.attempt,
                    "minion": worker,
                    "units": task.units,
                    "yields_to": standing.yields_to,
                }
            )
    return ("answer", (200, {"tasks": listed}, None))


def _log_index(core, token, arguments, now):
    """How far the log is, confirmed: what was acknowledged before has no higher index."""
    return ("answer", (200, {"index": core.cluster_state.index}, None))


# The registry of calls: a new one is an entry here.
CALLS = {
    "submit": Call(False, _submit),
    "ticket": Call(True, _read_job),
    "tickets": Call(True, _list_jobs),
    "cancel": Call(False, _cancel),
    "report": Call(False, _report),
    "minions": Call(True, _list_push_workers),
    "drain": Call(False, _drain),
    "withdraw": Call(False, _withdraw),
    "areas": Call(True, _list_zones),
    "area": Call(False, _empty_zone),
    "setup": Call(True, _read_queue_configuration),
    "setups": Call(True, _list_queue_configurations),
    "change": Call(False, _change),
    "back": Call(False, _go_back),
    "table": Call(True, _table),
    "draft": Call(False, _draft),
    "drafts": Call(True, _drafts),
    "one-draft": Call(True, _one_draft),
    "rehearse": Call(False, _rehearse),
    "approve": Call(False, _approve),
    "drop": Call(False, _drop),
    "pending": Call(True, _pending),
    "cohort": Call(True, _read_cluster),
    "figures": Call(True, _read_metrics),
    "holds": Call(True, _list_approval_pauses),
    "whence": Call(True, _explain),
    "live": Call(True, _live_tasks),
    LOG_INDEX_REQUEST: Call(True, _log_index),
    **{name: Call(False, make) for name, make in job_calls.CALLS.items()},
}


def _report_answer(core, outcome, extra, now):
    """The answer to a report, once its ends are agreed on."""
    acknowledged, strays, ends = extra
    return (
        200,
        {
            "acknowledged": [list(one) for one in (*acknowledged, *ends)],
            "kill": [list(one) for one in strays],
            "time": core._now(now),
        },
        None,
    )


# How the outcome of an operation becomes an answer, by name.
SHAPES = {
    "submit": _submit_answer,
    "cancel": _cancel_answer,
    "report": _report_answer,
    "done": _done_answer,
    "setup": _queue_configuration_answer,
    "draft": _draft_answer,
    "dropped": _dropped_answer,
    **job_calls.SHAPES,
}
