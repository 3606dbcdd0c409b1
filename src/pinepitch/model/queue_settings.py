"""Settings of queues: one queue's, and the configuration of all that operators change.

On the wire a configuration is a setup, and its settings are the rows of a table.
"""

from typing import Any, NamedTuple

import voluptuous

from ..common import constants
from .validation import Faults, name, number, shaped_in_order, whole_number


class QueueSettings(NamedTuple):
    """The settings of one queue.

    Invariants: 0 <= share <= limit; a running task holds its units in credits, lent
    by its own queue first; units running never pass limit.
    """

    share: int  # units of capacity the queue may count on
    urgency: int  # of its jobs that name none
    retries: int  # failures after which a task is tried again
    limit: int  # units running at most
    pending: int  # tasks waiting at most
    lends: bool  # whether idle credits go to other queues
    preempts: bool  # whether its urgent work may make others yield
    yields: bool  # whether its work may be made to yield
    repeats: bool  # whether finishing twice is harmless: what died with its worker is tried again


COLUMNS = {
    "share": whole_number(0, constants.MAX_UNITS),
    "urgency": whole_number(0, constants.MAX_URGENCY),
    "retries": whole_number(0, constants.MAX_ATTEMPTS - 1),
    "limit": whole_number(1, constants.MAX_UNITS),
    "pending": whole_number(1, 10 * constants.MAX_PENDING_TASKS),
    "lends": bool,
    "preempts": bool,
    "yields": bool,
    "repeats": bool,
}
DEFAULTS = {
    "share": 0,
    "urgency": 4,
    "retries": 2,
    "limit": constants.MAX_UNITS,
    "pending": constants.MAX_PENDING_TASKS,
    "lends": True,
    "preempts": False,
    "yields": True,
    "repeats": False,
}
WEIGHTS = {  # of one second's wait, of one unit second, of all of a queue's jobs
    "wait_median": 1.0,
    "wait_99": 1.0,
    "dues_missed": 100.0,
    "failed": 100.0,
    "shed": 100.0,
    "room_used": 0.0,
    "preemptions": 1.0,
}
GUARD = {"factor": 1.25, "seconds": 0.25, "part": 0.01}  # a wait may grow by; a part of jobs by
OBJECTIVE = {
    **{voluptuous.Optional(figure, default=weight): number(0, 1e6) for figure, weight in WEIGHTS.items()},
    voluptuous.Optional("queues", default=dict): {name: number(0, 1e6)},
    voluptuous.Optional("guard", default=dict): {
        voluptuous.Optional("factor", default=GUARD["factor"]): number(1, 1e6),
        voluptuous.Optional("seconds", default=GUARD["seconds"]): number(0, 1e6),
        voluptuous.Optional("part", default=GUARD["part"]): number(0, 1),
    },
}
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("queues"): voluptuous.All(
            {
                name: {
                    voluptuous.Optional(column, default=DEFAULTS[column]): check
                    for column, check in COLUMNS.items()
                }
            }
        ),
        voluptuous.Optional("room", default=0): whole_number(0, constants.MAX_UNITS),
        voluptuous.Optional("silence", default=dict): {name: voluptuous.In(("hold",))},
        voluptuous.Optional("objective", default=dict): OBJECTIVE,
        voluptuous.Optional("notes", default=dict): dict,
    }
)
FIRST = {
    "queues": {"default": dict(DEFAULTS, share=100)},
    "room": 0,
    "silence": {},
    "objective": {},
    "notes": {},
}


def first() -> dict[str, Any]:
    """The checked configuration that every cluster begins with."""
    configuration, faults = checked(FIRST)
    if configuration is None:
        raise AssertionError(f"the first configuration is wrong: {faults}")
    return configuration


def checked(document: Any, known: dict[str, Any] | None = None) -> tuple[dict[str, Any] | None, Faults]:
    """(whole configuration, ()) or (None, faults), every fault named by its path. Settings that
    are those of the configuration `known`, checked before, are not checked again.
    """
    same = _same_settings(document, known)
    plain, shape_faults = shaped_in_order(SHAPE, _without_queues(document, same))
    if shape_faults:
        return None, shape_faults
    if same:
        plain["queues"] = {
            queue: same[queue] if queue in same else plain["queues"][queue] for queue in document["queues"]
        }
    if not 0 < len(plain["queues"]) <= constants.MAX_QUEUES:
        return None, (("queues", f"expected 1 to {constants.MAX_QUEUES} queues"),)
    faults = _share_faults(plain)
    return (None, faults) if faults else (plain, ())


def _same_settings(document: Any, known: dict[str, Any] | None) -> dict[str, Any]:
    """The settings in a document that are the very objects of a checked configuration."""
    if known is None or not isinstance(document, dict) or not isinstance(document.get("queues"), dict):
        return {}
    return {
        queue: queue_settings
        for queue, queue_settings in document["queues"].items()
        if known["queues"].get(queue) is queue_settings
    }


def _without_queues(document: Any, same: dict[str, Any]) -> Any:
    """A document without the settings of the queues in `same`."""
    if not same:
        return document
    rest = {
        queue: queue_settings for queue, queue_settings in document["queues"].items() if queue not in same
    }
    return {**document, "queues": rest}


def _share_faults(plain: dict[str, Any]) -> Faults:
    """Shares over their queue's limit, and shares that together are over the capacity."""
    faults = []
    total = 0
    for queue, queue_settings in plain["queues"].items():
        share, limit = queue_settings["share"], queue_settings["limit"]
        total += share
        if share > limit:
            faults.append((f"queues.{queue}.share", f"share {share} is over the limit {limit}"))
    if plain["room"] and total > plain["room"]:
        faults.append(("queues", f"shares add up to {total}, over the room of {plain['room']}"))
    return tuple(faults)


def objective_of(document: dict[str, Any]) -> dict[str, Any]:
    """The whole objective of a configuration, with what it leaves out."""
    given = document.get("objective", {})
    return {**WEIGHTS, "queues": {}, **given, "guard": {**GUARD, **given.get("guard", {})}}


def queue_settings_of(document: dict[str, Any]) -> QueueSettings:
    """The settings of a queue, from its part of a checked configuration."""
    return QueueSettings(**document)


def merged(document: Any, patch: Any) -> Any:
    """JSON merge patch (RFC 7396): null removes, objects merge, all else replaces."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for member, value in patch.items():
        if value is None:
            result.pop(member, None)
        else:
            result[member] = merged(result.get(member), value)
    return result


def cells(document: dict[str, Any]) -> list[dict[str, Any]]:
    """The table of a configuration: a dict a queue, its settings in the order of COLUMNS."""
    return [
        {"queue": queue, **{column: queue_settings[column] for column in COLUMNS}}
        for queue, queue_settings in sorted(document["queues"].items())
    ]


def patch_of(changes: dict[str, Any]) -> tuple[dict[str, Any] | None, Faults]:
    """(merge patch, ()) of {"QUEUE.COLUMN": value}, or (None, faults)."""
    patch: dict[str, Any] = {}
    faults = []
    for cell, value in changes.items():
        queue, _, column = str(cell).rpartition(".")
        if not queue or column not in COLUMNS:
            faults.append((f"cells.{cell}", f"expected QUEUE.COLUMN with a column of {', '.join(COLUMNS)}"))
        else:
            patch.setdefault("queues", {}).setdefault(queue, {})[column] = value
    if not changes:
        faults.append(("cells", "no cell is named"))
    return (None, tuple(faults)) if faults else (patch, ())
