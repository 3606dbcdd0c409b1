"""Settings of queues: the settings of one queue, and the configuration of all queues that operators change.

On the wire a configuration is called a setup, and operators see it as a table with one line per queue.
"""

from typing import Any, NamedTuple

import voluptuous

from ..common import constants
from .validation import Faults, name, number, shaped_in_order, whole_number


class QueueSettings(NamedTuple):
    """The settings of one queue.

    Invariants: 0 <= share <= limit; a running task uses as many credits as it has units, lent by its
    own queue first; the units of running tasks never exceed limit.
    """

    share: int  # units of capacity guaranteed to the queue
    urgency: int  # of jobs that do not set their own
    retries: int  # how many times a failed task is retried
    limit: int  # maximum units of running tasks
    pending: int  # maximum number of waiting tasks
    lends: bool  # whether other queues may use its idle credits
    preempts: bool  # whether its urgent tasks may preempt those of other jobs
    yields: bool  # whether its tasks may be preempted
    repeats: bool  # whether its tasks may safely run twice, so that those lost with a worker are retried


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
# Default weights of the figures in the objective of a rehearsal: per second of a wait, per unit second of
# used capacity, and for the other figures, which are shares of a queue's jobs, if all jobs are affected.
WEIGHTS = {
    "wait_median": 1.0,
    "wait_99": 1.0,
    "dues_missed": 100.0,
    "failed": 100.0,
    "shed": 100.0,
    "room_used": 0.0,
    "preemptions": 1.0,
}
# Default bounds on how much worse a draft may make a queue: a wait may grow by the factor plus the seconds,
# and a share of jobs by the part.
GUARD = {"factor": 1.25, "seconds": 0.25, "part": 0.01}
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
INITIAL = {
    "queues": {"default": dict(DEFAULTS, share=100)},
    "room": 0,
    "silence": {},
    "objective": {},
    "notes": {},
}


def initial() -> dict[str, Any]:
    """The checked configuration with which every cluster begins."""
    configuration, faults = checked(INITIAL)
    if configuration is None:
        raise AssertionError(f"the initial configuration has faults: {faults}")
    return configuration


def checked(document: Any, known: dict[str, Any] | None = None) -> tuple[dict[str, Any] | None, Faults]:
    """Checks a configuration: (the configuration with its defaults, ()) or (None, faults).

    Settings that are the same objects as in the already checked configuration `known` are not checked
    again.
    """
    unchanged = _unchanged_settings(document, known)
    configuration, shape_faults = shaped_in_order(SHAPE, _without_queues(document, unchanged))
    if shape_faults:
        return None, shape_faults
    if unchanged:
        configuration["queues"] = {
            queue: unchanged[queue] if queue in unchanged else configuration["queues"][queue]
            for queue in document["queues"]
        }
    if not 0 < len(configuration["queues"]) <= constants.MAX_QUEUES:
        return None, (("queues", f"expected 1 to {constants.MAX_QUEUES} queues"),)
    faults = _share_faults(configuration)
    return (None, faults) if faults else (configuration, ())


def _unchanged_settings(document: Any, known: dict[str, Any] | None) -> dict[str, Any]:
    """Queue -> settings of a document that are the same objects as in a checked configuration."""
    if known is None or not isinstance(document, dict) or not isinstance(document.get("queues"), dict):
        return {}
    return {
        queue: queue_settings
        for queue, queue_settings in document["queues"].items()
        if known["queues"].get(queue) is queue_settings
    }


def _without_queues(document: Any, excluded: dict[str, Any]) -> Any:
    """A document without the settings of the queues in `excluded`."""
    if not excluded:
        return document
    queues = {
        queue: queue_settings for queue, queue_settings in document["queues"].items() if queue not in excluded
    }
    return {**document, "queues": queues}


def _share_faults(configuration: dict[str, Any]) -> Faults:
    """Faults of shares above their queue's limit, and of a sum of shares above the capacity."""
    faults = []
    total = 0
    for queue, queue_settings in configuration["queues"].items():
        share, limit = queue_settings["share"], queue_settings["limit"]
        total += share
        if share > limit:
            faults.append((f"queues.{queue}.share", f"share {share} is over the limit {limit}"))
    if configuration["room"] and total > configuration["room"]:
        faults.append(("queues", f"shares add up to {total}, over the room of {configuration['room']}"))
    return tuple(faults)


def objective_of(document: dict[str, Any]) -> dict[str, Any]:
    """The objective of a configuration, completed with the defaults."""
    given = document.get("objective", {})
    return {**WEIGHTS, "queues": {}, **given, "guard": {**GUARD, **given.get("guard", {})}}


def queue_settings_of(document: dict[str, Any]) -> QueueSettings:
    """The settings of a queue from its part of a checked configuration."""
    return QueueSettings(**document)


def merged(document: Any, patch: Any) -> Any:
    """A document with a JSON merge patch (RFC 7396) applied: null removes, objects merge, others replace."""
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
    """The table of a configuration: one dict per queue, with its settings in the order of COLUMNS."""
    return [
        {"queue": queue, **{column: queue_settings[column] for column in COLUMNS}}
        for queue, queue_settings in sorted(document["queues"].items())
    ]


def patch_of(changes: dict[str, Any]) -> tuple[dict[str, Any] | None, Faults]:
    """The merge patch for changes of table cells {"QUEUE.COLUMN": value}: (patch, ()) or (None, faults)."""
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
