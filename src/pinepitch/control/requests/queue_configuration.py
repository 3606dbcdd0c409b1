"""Requests about the queue configuration: its versions, its table, and changes without a draft."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...model import queue_settings
from ...model.decisions import Answer, Decision, Propose, faulty, problem

if TYPE_CHECKING:
    from ..daemon import ControlDaemon

VERSION_FIELDS = ("version", "who", "why", "time", "base")  # of an entry of the history, as callers see it


def _unknown_version(wanted: str) -> Answer:
    return problem(404, "unknown_version", f"no setup {wanted} in the history")


def _version_view(version_entry: tuple[Any, ...]) -> dict[str, Any]:
    return dict(zip(VERSION_FIELDS, version_entry, strict=False))


def read_version(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """One version with its document; 0 asks for the active version."""
    cluster_state = daemon.cluster_state
    version = arguments[0] or cluster_state.version
    version_entry = cluster_state.queue_configurations.record(version)
    if version_entry is None:
        return _unknown_version(repr(arguments[0]))
    is_active = version == cluster_state.version
    document = (
        cluster_state.queue_configuration if is_active else cluster_state.queue_configurations.read(version)
    )
    return Answer(200, {**_version_view(version_entry), "setup": document})


def list_versions(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The stored history, without the documents."""
    cluster_state = daemon.cluster_state
    versions = [_version_view(version_entry) for version_entry in cluster_state.queue_configurations.records]
    return Answer(200, {"version": cluster_state.version, "setups": versions})


def read_table(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Answer:
    """The active table, cell by cell."""
    cluster_state = daemon.cluster_state
    cells = queue_settings.cells(cluster_state.queue_configuration)
    return Answer(200, {"version": cluster_state.version, "rows": cells})


def change(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """Activates a document or a patch, if the version that it is based on is active."""
    base, manner, document, who, why = arguments
    cluster_state = daemon.cluster_state
    outdated = base is not None and base != cluster_state.version
    if (
        outdated and cluster_state.change_watermarks.outcome(token) is None
    ):  # a change made before is answered below
        return change_answer(daemon, ("conflict", cluster_state.version))
    return Propose(("setup", token, base, manner, document, who, why), "setup")


def go_back(daemon: ControlDaemon, token: str, arguments: tuple[Any, ...], now: float) -> Decision:
    """Activates the document of an earlier version again, as a new version."""
    base, wanted, who, why = arguments
    document = daemon.cluster_state.queue_configurations.read(wanted)
    if document is None:
        return _unknown_version(str(wanted))
    return change(daemon, token, (base, "whole", document, who, why or f"back to version {wanted}"), now)


def _forgotten(outcome: tuple[Any, ...]) -> Answer:
    return problem(504, "forgotten", "too many changes came since to tell whether this one was made")


def _conflict(outcome: tuple[Any, ...]) -> Answer:
    return problem(409, "base_moved", f"version {outcome[1]} is in force", version=outcome[1])


def _invalid(outcome: tuple[Any, ...]) -> Answer:
    return faulty(outcome[1])


def _activated(outcome: tuple[Any, ...]) -> Answer:
    return Answer(200, {"version": outcome[1]})


# outcome of a change -> builder of its answer
CHANGE_ANSWERS = {
    "forgotten": _forgotten,
    "conflict": _conflict,
    "invalid": _invalid,
    "setup": _activated,
}


def change_answer(
    daemon: ControlDaemon, outcome: tuple[Any, ...], context: None = None, now: float | None = None
) -> Answer:
    """The answer to a change: the version that it created, or why there is none."""
    return CHANGE_ANSWERS[outcome[0]](outcome)
