"""Calls: what verges may carry to the leader. The registry at the end names them all.

A reading call answers from the record once leadership is confirmed; a deciding one
answers at once, or names an operation to agree on, or ends to agree on with others'.
An answer is (status, document, retry).
"""

from collections.abc import Callable
from typing import NamedTuple

from ..common import constants
from ..model import queue_settings as rows
from ..model.push_worker import Report
from ..model.task import reference
from ..scheduling import requests as job_calls
from ..transport.forwarder import INDEX_CALL


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


def _shed(why):
    return problem(429, "shed", why, retry=constants.COME_BACK)


# --- tickets -------------------------------------------------------------------------
def _submit(core, token, arguments, now):
    key, digest, plain = arguments
    record = core.record
    parked = _impossible(core, plain, now)
    refusal = record.known(key, digest) or record.ticket_refusal(plain, parked)
    if refusal is not None:
        if refusal[0] == "shed":
            core._event(170, queue=plain["queue"], why=refusal[1])
        return ("answer", _submit_answer(core, refusal))
    return ("agree", ("ticket", key, digest, plain, parked), "submit", None)


def _impossible(core, plain, now):
    """Why no known minion, heard of late or not, could take some task, or ''. A leader that
    has not yet gathered its minions rules nothing out."""
    if not core.minions or now - core.lead_since < constants.GATHER:
        return ""
    seen = set()
    for task in plain["tasks"]:
        shape = (task["units"], frozenset(task["labels"]))
        if shape in seen:
            continue
        seen.add(shape)
        rooms = [one.report.room for one in core.minions.values() if shape[1] <= set(one.report.labels)]
        if not rooms:
            return f"task {task['name']} asks for {', '.join(sorted(shape[1]))}, which no known minion has"
        if max(rooms) < shape[0]:
            return (
                f"task {task['name']} asks for {shape[0]} units, over the {max(rooms)} of any fitting minion"
            )
    return ""


def _submit_answer(core, outcome, extra=None, now=None):
    kind = outcome[0]
    if kind in ("accepted", "known"):
        status = 201 if kind == "accepted" else 200
        return (status, brief(core.record.ticket(outcome[1])), None)
    if kind == "mismatch":
        return problem(409, "key_reused", "this key came with another body before", ticket=outcome[1])
    if kind == "shed":
        return _shed(outcome[1])
    return faulty(outcome[1])


def brief(ticket):
    """A ticket without its tasks."""
    return {
        "ticket": ticket.identity,
        "key": ticket.key,
        "queue": ticket.queue,
        "kind": ticket.kind,
        "urgency": ticket.urgency,
        "due": ticket.due,
        "accepted": ticket.accepted,
        "state": ticket.state,
        "ended": ticket.ended_at,
        "tasks": len(ticket.tasks),
        "parked": ticket.parked,
    }


def whole(ticket):
    """A ticket with the standing of each task."""
    tasks = []
    for name, task in ticket.tasks.items():
        standing = ticket.standings[name]
        tasks.append(
            {
                "name": name,
                "state": standing.state,
                "attempt": standing.attempt,
                "failures": standing.failures,
                "minion": standing.minion,
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
    return {**brief(ticket), "tasks": tasks}


def _ticket(core, token, arguments, now):
    ticket = core.record.ticket(arguments[0])
    if ticket is None:
        return ("answer", problem(404, "unknown_ticket", f"no ticket {arguments[0]!r}"))
    return ("answer", (200, whole(ticket), None))


def _tickets(core, token, arguments, now):
    after, most, state, queue, key = arguments
    record, listed = core.record, []
    if key:
        known = record.known(key, "")
        listed = [brief(record.ticket(known[1]))] if known else []
        return ("answer", (200, {"tickets": listed, "next": None}, None))
    number, following = after, None
    while number < record.count:
        number += 1
        ticket = record.ticket(f"t{number}")
        if ticket is None or (state and ticket.state != state) or (queue and ticket.queue != queue):
            continue
        listed.append(brief(ticket))
        if len(listed) >= most:
            following = number if number < record.count else None
            break
    return ("answer", (200, {"tickets": listed, "next": following}, None))


def _cancel(core, token, arguments, now):
    return ("agree", ("cancel", arguments[0]), "cancel", arguments[0])


def _cancel_answer(core, outcome, identity, now):
    if outcome[0] == "missing":
        return problem(404, "unknown_ticket", f"no ticket {identity!r}")
    if outcome[0] == "ended":
        return problem(409, "ended", f"the ticket is already {outcome[1]}", state=outcome[1])
    return (200, brief(core.record.ticket(identity)), None)


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
        if core.record.find(ref) is None:
            core._event(156, task=ref, attempt=attempt, minion=report.minion)
    fresh = [one for one in ends if one[:2] not in core.proposed_ends]
    told = [one[:2] for one in fresh if one[2] not in ("never", "lost")]
    if fresh:
        return ("ends", fresh, (acknowledged, strays, told))
    return ("answer", _report_answer(core, None, (acknowledged, strays, ()), now))


def _minions(core, token, arguments, now):
    record, listed = core.record, []
    for name in sorted(
        set(core.minions) | set(record.reserved) | set(record.drained) | set(record.withdrawn)
    ):
        minion = core.minions.get(name)
        report = minion.report if minion else None
        held = record.reserved.get(name, {})
        silent = minion is None or minion.silent(now)
        state = record.closed(name, report.area if report else "") or ("silent" if silent else "open")
        listed.append(
            {
                "minion": name,
                "area": report.area if report else None,
                "state": state,
                "room": report.room if report else None,
                "reserved": sum(held.values()),
                "tasks": len(held),
                "labels": list(report.labels) if report else [],
                "failing": round(minion.failing, 3) if minion else None,
                "on_trial": bool(minion and minion.poor()),
            }
        )
    return ("answer", (200, {"minions": listed}, None))


def _drain(core, token, arguments, now):
    minion, closed = arguments
    return ("agree", ("drain", minion, bool(closed)), "done", {"minion": minion, "draining": bool(closed)})


def _withdraw(core, token, arguments, now):
    minion, due = arguments
    return ("agree", ("withdraw", minion, due), "done", {"minion": minion, "withdrawn": due})


def _area(core, token, arguments, now):
    area, emptied = arguments
    return ("agree", ("area", area, bool(emptied)), "done", {"area": area, "emptied": bool(emptied)})


def _areas(core, token, arguments, now):
    names = {}
    for minion in core.minions.values():
        names[minion.report.area] = names.get(minion.report.area, 0) + 1
    for area in core.record.emptied:
        names.setdefault(area, 0)
    return (
        "answer",
        (
            200,
            {
                "areas": [
                    {"area": area, "minions": count, "emptied": area in core.record.emptied}
                    for area, count in sorted(names.items())
                ]
            },
            None,
        ),
    )


def _done_answer(core, outcome, extra, now):
    return (200, extra, None)


# --- setups --------------------------------------------------------------------------
def _setup(core, token, arguments, now):
    record = core.record
    version = arguments[0] or record.version
    line = record.setups.line(version)
    if line is None:
        return ("answer", problem(404, "unknown_version", f"no setup {arguments[0]!r} in the history"))
    document = record.setup if version == record.version else record.setups.read(version)
    return ("answer", (200, {**_line(line), "setup": document}, None))


def _line(line):
    return dict(zip(("version", "who", "why", "time", "base"), line, strict=False))


def _setups(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {"version": core.record.version, "setups": [_line(line) for line in core.record.setups.lines]},
            None,
        ),
    )


def _change(core, token, arguments, now):
    base, manner, document, who, why = arguments
    if base is not None and base != core.record.version and core.record.marks.outcome(token) is None:
        return ("answer", _setup_answer(core, ("conflict", core.record.version)))
    return ("agree", ("setup", token, base, manner, document, who, why), "setup", None)


def _setup_answer(core, outcome, extra=None, now=None):
    if outcome[0] == "forgotten":
        return problem(504, "forgotten", "too many changes came since to tell whether this one was made")
    if outcome[0] == "conflict":
        return problem(409, "base_moved", f"version {outcome[1]} is in force", version=outcome[1])
    if outcome[0] == "invalid":
        return faulty(outcome[1])
    return (200, {"version": outcome[1]}, None)


def _go_back(core, token, arguments, now):
    base, wanted, who, why = arguments
    document = core.record.setups.read(wanted)
    if document is None:
        return ("answer", problem(404, "unknown_version", f"no setup {wanted} in the history"))
    return _change(core, token, (base, "whole", document, who, why or f"back to version {wanted}"), now)


# --- the table -----------------------------------------------------------------------
def _table(core, token, arguments, now):
    return ("answer", (200, {"version": core.record.version, "rows": rows.cells(core.record.setup)}, None))


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
            retry=constants.HELD_COME_BACK,
            alerts=[{"alert": alert, "why": why} for alert, why in outcome[1]],
        )
    if outcome[0] == "draft":
        return (200, draft_view(core.record, outcome[1]), None)
    return _setup_answer(core, outcome)


def draft_view(record, identity):
    """A draft as operators see it."""
    draft = record.drafts[identity]
    base = record.setups.read(draft["base"])["queues"]
    cells = [
        [f"{queue}.{column}", base.get(queue, {}).get(column), value]
        for queue, row in sorted(draft["setup"]["queues"].items())
        for column, value in row.items()
        if base.get(queue, {}).get(column) != value
    ]
    cells += [[queue, "a row", None] for queue in sorted(base) if queue not in draft["setup"]["queues"]]
    return {
        "cells": cells,
        **{
            name: draft[name] for name in ("draft", "base", "patch", "who", "why", "time", "state", "measure")
        },
        "stale": draft["base"] != record.version and draft["state"] != "approved",
    }


def _drafts(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {
                "drafts": [
                    draft_view(core.record, one)
                    for one in sorted(core.record.drafts, key=lambda one: int(one[1:]))
                ]
            },
            None,
        ),
    )


def _one_draft(core, token, arguments, now):
    if arguments[0] not in core.record.drafts:
        return ("answer", _draft_answer(core, ("missing",)))
    return ("answer", (200, draft_view(core.record, arguments[0]), None))


def _rehearse(core, token, arguments, now):
    rooms = [
        [name, minion.report.area, minion.report.room, list(minion.report.labels)]
        for name, minion in sorted(core.minions.items())
        if not minion.silent(now) and not core.record.closed(name, minion.report.area)
    ]
    return ("agree", ("rehearse", arguments[0], rooms), "draft", None)


def _approve(core, token, arguments, now):
    identity, who, why = arguments
    return ("agree", ("approve", token, identity, who, why), "draft", None)


def _drop(core, token, arguments, now):
    return ("agree", ("drop", arguments[0]), "dropped", arguments[0])


def _dropped_answer(core, outcome, identity, now):
    return _draft_answer(core, outcome) if outcome[0] == "missing" else (200, {"dropped": identity}, None)


# --- state ---------------------------------------------------------------------------
def _pending(core, token, arguments, now):
    record = core.record
    return (
        "answer",
        (
            200,
            {
                "queues": [
                    {
                        "queue": queue,
                        "waiting": record.waiting.get(queue, 0),
                        "parked": record.parked.get(queue, 0),
                        "running_units": record.used.get(queue, 0),
                        "credits": record.balance(queue),
                        "share": row.share,
                        "limit": row.limit,
                        "bound": row.pending,
                    }
                    for queue, row in sorted(record.rows.items())
                ]
            },
            None,
        ),
    )


def _cohort(core, token, arguments, now):
    consensus = core.consensus
    quorum = consensus.cohort.now
    return (
        "answer",
        (
            200,
            {
                "cohort": core.cohort,
                "leader": core.identity,
                "term": consensus.term,
                "commit": consensus.commit,
                "mode": quorum.mode,
                "changing": consensus.cohort.coming is not None,
                "commit_groups": quorum.commit_count(),
                "elect_groups": quorum.elect_count(),
                "groups": len(quorum.groups()),
                "time": core._now(now),
                "epochs": {duty: list(one) for duty, one in core.record.epochs.items()},
                "members": [
                    {
                        "accord": one,
                        "area": area,
                        "address": core.sessions.address(one),
                        "live": one == core.identity or one in core.sessions.held,
                    }
                    for one, area in sorted(consensus.cohort.members().items())
                ],
                "daemons": [
                    {"daemon": one.identity, "kind": one.kind, "area": one.area, "address": one.address}
                    for kind in ("accord", "verge")
                    for one in core.sessions.live(kind)
                ],
            },
            None,
        ),
    )


def _holds(core, token, arguments, now):
    return (
        "answer",
        (
            200,
            {
                "holds": [
                    {"alert": alert, "since": since, "why": why}
                    for alert, (since, why) in sorted(core.record.holds.items())
                ]
            },
            None,
        ),
    )


def _figures(core, token, arguments, now):
    record, consensus = core.record, core.consensus
    states = dict(record.archive.states)
    for ticket in record.tickets.values():
        states[ticket.state] = states.get(ticket.state, 0) + 1
    return (
        "answer",
        (
            200,
            {
                "tickets": states,
                "waiting": dict(record.waiting),
                "running": dict(record.used),
                "entries": consensus.last_index(),
                "commit": consensus.commit,
                "term": consensus.term,
                "syncs": core.counts["syncs"],
                "rounds": core.rounds,
                "messages": core.counts["sent"],
                "minions": len(core.minions),
                "setup_version": record.version,
                "on_trial": sum(one.poor() for one in core.minions.values()),
            },
            None,
        ),
    )


def _whence(core, token, arguments, now):
    """Why each task of a ticket is where it is, from the record and the last round."""
    ticket = core.record.ticket(arguments[0])
    if ticket is None:
        return ("answer", problem(404, "unknown_ticket", f"no ticket {arguments[0]!r}"))
    record, told = core.record, []
    for name, task in ticket.tasks.items():
        standing = ticket.standings[name]
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
                minion=standing.minion,
                verge=standing.verge,
                charges=[list(one) for one in standing.charges],
                yields_to=standing.yields_to,
                why="placed: " + _lent(ticket, standing),
            )
        elif standing.state == "waiting":
            line["why"] = _waits(core, ticket, task, standing, now)
            line["candidates"] = _candidates(core, task, now)
        else:
            line.update(
                minion=standing.minion,
                why=f"ended {standing.state}" + ("" if standing.attempt else " before it was placed"),
            )
        line["attempts_made"] = [
            {
                "attempt": attempt,
                "minion": minion,
                "verge": verge,
                "how": how,
                "placed": placed,
                "ended": ended,
                "epoch": ground[0],
                "setup_version": ground[1],
                "lenders": [list(one) for one in charges],
            }
            for attempt, minion, verge, how, placed, ended, ground, charges in standing.past
        ]
        told.append(line)
    row = record.rows.get(ticket.queue)
    return (
        "answer",
        (
            200,
            {
                **brief(ticket),
                "tasks": told,
                "setup_version": record.version,
                "placing": list(record.epochs.get("placing", (0, ""))),
                "credits": record.balance(ticket.queue),
                "running_units": record.used.get(ticket.queue, 0),
                "limit": row.limit if row else None,
            },
            None,
        ),
    )


def _lent(ticket, standing):
    parts = [
        f"{credits} credits of {'its own queue' if queue == ticket.queue else queue}"
        for queue, credits in standing.charges
    ]
    return f"attempt {standing.attempt} on {standing.minion} with " + ", ".join(parts)


def _waits(core, ticket, task, standing, now):
    undone = [one for one in task.after if ticket.standings[one].state != "done"]
    if undone:
        return "waits for " + ", ".join(undone)
    begins = max(task.not_before, standing.earliest)
    if core._now(now) < begins:
        return f"not before {begins:.3f}"
    if reference(ticket.identity, task.name) in core.placer.proposed:
        return "proposed, not yet agreed"
    return core.placer.reason(core.record, ticket, task.name)


def _candidates(core, task, now):
    """What rules out, or doesn't, each minion."""
    told = []
    for name in sorted(core.minions):
        minion = core.minions[name]
        report = minion.report
        left = report.room - sum(core.record.reserved.get(name, {}).values())
        closed = core.record.closed(name, report.area)
        if closed:
            why = closed
        elif minion.silent(now):
            why = "silent"
        elif not set(task.labels) <= set(report.labels):
            why = "lacks " + ", ".join(sorted(set(task.labels) - set(report.labels)))
        elif left < task.units:
            why = f"{left} units left of {report.room}"
        elif minion.poor():
            why = "on trial"
        else:
            why = "open"
        told.append({"minion": name, "why": why})
    return told


def _live_tasks(core, token, arguments, now):
    """Every placed task, for operators and history checks."""
    listed = []
    for minion, held in sorted(core.record.reserved.items()):
        for ref in sorted(held):
            _, task, standing = core.record.find(ref)
            listed.append(
                {
                    "task": ref,
                    "attempt": standing.attempt,
                    "minion": minion,
                    "units": task.units,
                    "yields_to": standing.yields_to,
                }
            )
    return ("answer", (200, {"tasks": listed}, None))


def _log_index(core, token, arguments, now):
    """How far the log is, confirmed: what was acknowledged before has no higher index."""
    return ("answer", (200, {"index": core.record.index}, None))


# The registry of calls: a new one is an entry here.
CALLS = {
    "submit": Call(False, _submit),
    "ticket": Call(True, _ticket),
    "tickets": Call(True, _tickets),
    "cancel": Call(False, _cancel),
    "report": Call(False, _report),
    "minions": Call(True, _minions),
    "drain": Call(False, _drain),
    "withdraw": Call(False, _withdraw),
    "areas": Call(True, _areas),
    "area": Call(False, _area),
    "setup": Call(True, _setup),
    "setups": Call(True, _setups),
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
    "cohort": Call(True, _cohort),
    "figures": Call(True, _figures),
    "holds": Call(True, _holds),
    "whence": Call(True, _whence),
    "live": Call(True, _live_tasks),
    INDEX_CALL: Call(True, _log_index),
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
    "setup": _setup_answer,
    "draft": _draft_answer,
    "dropped": _dropped_answer,
    **job_calls.SHAPES,
}
