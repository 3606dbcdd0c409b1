"""Requests about drafts: changes of the queue configuration that are rehearsed before they are approved."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...common import constants
from ...model.decisions import Answer, Propose, problem
from .queue_configuration import CHANGE_ANSWERS

if TYPE_CHECKING:
    from ...state.cluster_state import ClusterState
    from ..daemon import ControlDaemon

# the fields of a draft that callers see, in this order
DRAFT_FIELDS = ("draft", "base", "patch", "who", "why", "time", "state", "measure")


# --- reading -------------------------------------------------------------------------
def draft_view(cluster_state: ClusterState, identity: str) -> dict[str, Any]:
    """A draft as operators see it; `stale` says that another version became active since."""
    draft = cluster_state.drafts[identity]
    return {
        "cells": _changed_cells(cluster_state, draft),
        **{name: draft[name] for name in DRAFT_FIELDS},
        "stale": draft["base"] != cluster_state.version and draft["state"] != "approved",
    }


def _changed_cells(cluster_state: ClusterState, draft: dict[str, Any]) -> list[list[Any]]:
    """[cell, value in the version that the draft is based on, value in the draft] of every changed cell."""
    configuration = cluster_state.queue_configurations.read(draft["base"])
    assert configuration is not None, "the history keeps every version"
    base = configuration["queues"]
    drafted = draft["setup"]["queues"]
    cells = [
        [f"{queue}.{column}", base.get(queue, {}).get(column), value]
        for queue, queue_settings in sorted(drafted.items())
        for column, value in queue_settings.items()
        if base.get(queue, {}).get(column) != value
    ]
    cells += [[queue, "a row", None] for queue in sorted(base) if queue not in drafted]
    return cells


def _number(identity: str) -> int:
    """The number of a draft; drafts are listed in this order."""
    return int(identity[1:])


def list_drafts(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """All stored drafts, the oldest first."""
    cluster_state = daemon.cluster_state
    drafts = [draft_view(cluster_state, identity) for identity in sorted(cluster_state.drafts, key=_number)]
    return Answer(200, {"drafts": drafts})


def read_draft(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """One draft with its measurement, if it has one."""
    if arguments[0] not in daemon.cluster_state.drafts:
        return _missing(daemon, ("missing",))
    return Answer(200, draft_view(daemon.cluster_state, arguments[0]))


# --- changing ------------------------------------------------------------------------
def draft(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Stores a patch as a draft based on a version."""
    base, patch, who, why = arguments
    return Propose(("draft", token, base, patch, who, why), "draft")


def rehearse(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Requests a rehearsal of a draft on the workers that are open now."""
    capacities = [
        [name, worker.report.zone, worker.report.capacity, list(worker.report.labels)]
        for name, worker in sorted(daemon.push_workers.items())
        if not worker.unresponsive(now) and not daemon.cluster_state.closed_reason(name, worker.report.zone)
    ]
    return Propose(("rehearse", arguments[0], capacities), "draft")


def approve(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Activates a draft that its rehearsal found better."""
    identity, who, why = arguments
    return Propose(("approve", token, identity, who, why), "draft")


def drop(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Propose:
    """Deletes a draft."""
    return Propose(("drop", arguments[0]), "dropped", arguments[0])


# --- outcomes ------------------------------------------------------------------------
def _missing(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(404, "unknown_draft", "no such draft")


def _ended(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(409, "ended", f"the draft is already {outcome[1]}")


def _unmeasured(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(409, "not_measured", "rehearse the draft on the version in force first")


def _worse(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(409, "not_better", f"the rehearsal's verdict: {outcome[1]}", verdict=outcome[1])


def _paused(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return problem(
        409,
        "held",
        "approvals are held by firing alerts; an emergency change is not",
        constants.PAUSED_RETRY_AFTER,
        alerts=[{"alert": alert, "why": why} for alert, why in outcome[1]],
    )


def _drafted(daemon: ControlDaemon, outcome: tuple[Any, ...]) -> Answer:
    return Answer(200, draft_view(daemon.cluster_state, outcome[1]))


# outcome of an operation on a draft -> builder of its answer; CHANGE_ANSWERS has the other outcomes
_DRAFT_ANSWERS = {
    "missing": _missing,
    "ended": _ended,
    "unmeasured": _unmeasured,
    "worse": _worse,
    "held": _paused,
    "draft": _drafted,
}


def draft_answer(
    daemon: ControlDaemon, outcome: tuple[Any, ...], context: None = None, now: float | None = None
) -> Answer:
    """The answer to an operation on a draft: the draft, the version it created, or why it was refused."""
    make = _DRAFT_ANSWERS.get(outcome[0])
    return make(daemon, outcome) if make is not None else CHANGE_ANSWERS[outcome[0]](outcome)


def dropped_answer(daemon: ControlDaemon, outcome: tuple[Any, ...], identity: str, now: float) -> Answer:
    """The answer to the deletion of a draft."""
    return _missing(daemon, outcome) if outcome[0] == "missing" else Answer(200, {"dropped": identity})
