"""Requests about the queue configuration: its versions, its table, changes without a draft."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model import queue_settings
from ...model.decisions import Answer, Decision, Propose, faulty, problem

if TYPE_CHECKING:
    from ..daemon import ControlDaemon

VERSION_FIELDS = ("version", "who", "why", "time", "base")  # as callers see a line of the history


def _unknown_version(wanted: str) -> Answer:
    return problem(404, "unknown_version", f"no setup {wanted} in the history")


def _version_view(line: tuple[Any, ...]) -> dict[str, Any]:
    return dict(zip(VERSION_FIELDS, line, strict=False))


def read_version(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """One version with its document; 0 asks for the one in force."""
    cluster_state = leader.cluster_state
    version = arguments[0] or cluster_state.version
    line = cluster_state.queue_configurations.line(version)
    if line is None:
        return _unknown_version(repr(arguments[0]))
    in_force = version == cluster_state.version
    document = (
        cluster_state.queue_configuration if in_force else cluster_state.queue_configurations.read(version)
    )
    return Answer(200, {**_version_view(line), "setup": document})


def list_versions(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The history that is kept, without the documents."""
    cluster_state = leader.cluster_state
    lines = [_version_view(line) for line in cluster_state.queue_configurations.lines]
    return Answer(200, {"version": cluster_state.version, "setups": lines})


def read_table(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The table in force, cell by cell."""
    cluster_state = leader.cluster_state
    cells = queue_settings.cells(cluster_state.queue_configuration)
    return Answer(200, {"version": cluster_state.version, "rows": cells})


def change(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """Brings a document or a patch into force on the version it builds on."""
    base, manner, document, who, why = arguments
    cluster_state = leader.cluster_state
    moved = base is not None and base != cluster_state.version
    if moved and cluster_state.marks.outcome(token) is None:  # one that was made already is told so below
        return change_answer(leader, ("conflict", cluster_state.version))
    return Propose(("setup", token, base, manner, document, who, why), "setup")


def go_back(leader: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """Brings the document of an earlier version into force again, as a new version."""
    base, wanted, who, why = arguments
    document = leader.cluster_state.queue_configurations.read(wanted)
    if document is None:
        return _unknown_version(str(wanted))
    return change(leader, token, (base, "whole", document, who, why or f"back to version {wanted}"), now)


def _forgotten(outcome: tuple[Any, ...]) -> Answer:
    return problem(504, "forgotten", "too many changes came since to tell whether this one was made")


def _conflict(outcome: tuple[Any, ...]) -> Answer:
    return problem(409, "base_moved", f"version {outcome[1]} is in force", version=outcome[1])


def _invalid(outcome: tuple[Any, ...]) -> Answer:
    return faulty(outcome[1])


def _in_force(outcome: tuple[Any, ...]) -> Answer:
    return Answer(200, {"version": outcome[1]})


# outcome of a change -> what makes its answer
CHANGE_ANSWERS = {
    "forgotten": _forgotten,
    "conflict": _conflict,
    "invalid": _invalid,
    "setup": _in_force,
}


def change_answer(
    leader: ControlDaemon, outcome: tuple[Any, ...], context: None = None, now: float | None = None
) -> Answer:
    """The answer to a change: the version that it brought, or why there is none."""
    return CHANGE_ANSWERS[outcome[0]](outcome)
