"""A row of the operators' table: one queue, and the setup it stands in."""

from typing import NamedTuple

import voluptuous

from ..common import constants
from .pushed_job import _number, _whole_number, name, shaped


class QueueSettings(NamedTuple):
    """Invariants: 0 <= share <= limit; a running task holds its units in credits, lent
    by its own queue first; units running never pass limit."""

    share: int  # units of room the queue may count on
    urgency: int  # of its tickets that name none
    retries: int  # failures after which a task is tried again
    limit: int  # units running at most
    pending: int  # tasks waiting at most
    lends: bool  # whether idle credits go to other queues
    preempts: bool  # whether its urgent work may make others yield
    yields: bool  # whether its work may be made to yield
    repeats: bool  # whether finishing twice is harmless, so that what died with its minion is tried again


COLUMNS = {
    "share": _whole_number(0, constants.MAX_UNITS),
    "urgency": _whole_number(0, constants.MAX_URGENCY),
    "retries": _whole_number(0, constants.MAX_ATTEMPTS - 1),
    "limit": _whole_number(1, constants.MAX_UNITS),
    "pending": _whole_number(1, 10 * constants.MAX_PENDING_TASKS),
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
WEIGHTS = {  # of one second's wait, of one unit second, of all of a queue's tickets
    "wait_median": 1.0,
    "wait_99": 1.0,
    "dues_missed": 100.0,
    "failed": 100.0,
    "shed": 100.0,
    "room_used": 0.0,
    "preemptions": 1.0,
}
GUARD = {"factor": 1.25, "seconds": 0.25, "part": 0.01}  # a wait may grow by; a part of tickets by
OBJECTIVE = {
    **{voluptuous.Optional(figure, default=weight): _number(0, 1e6) for figure, weight in WEIGHTS.items()},
    voluptuous.Optional("queues", default=dict): {name: _number(0, 1e6)},
    voluptuous.Optional("guard", default=dict): {
        voluptuous.Optional("factor", default=GUARD["factor"]): _number(1, 1e6),
        voluptuous.Optional("seconds", default=GUARD["seconds"]): _number(0, 1e6),
        voluptuous.Optional("part", default=GUARD["part"]): _number(0, 1),
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
        voluptuous.Optional("room", default=0): _whole_number(0, constants.MAX_UNITS),
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


def first():
    """The checked configuration that every cluster begins with."""
    return checked(FIRST)[0]


def checked(document, known=None):
    """(whole setup, ()) or (None, faults), every fault named by its path. Rows that are
    those of the setup `known`, checked before, are not checked again."""
    same = {}
    if known is not None and isinstance(document, dict) and isinstance(document.get("queues"), dict):
        same = {
            queue: queue_settings
            for queue, queue_settings in document["queues"].items()
            if known["queues"].get(queue) is queue_settings
        }
    part = (
        {
            **document,
            "queues": {
                queue: queue_settings
                for queue, queue_settings in document["queues"].items()
                if queue not in same
            },
        }
        if same
        else document
    )
    plain, faults = shaped(SHAPE, part)
    if faults:
        return None, faults
    if same:
        plain["queues"] = {
            queue: same[queue] if queue in same else plain["queues"][queue] for queue in document["queues"]
        }
    if not 0 < len(plain["queues"]) <= constants.MAX_QUEUES:
        return None, (("queues", f"expected 1 to {constants.MAX_QUEUES} queues"),)
    faults = []
    total = 0
    for queue, queue_settings in plain["queues"].items():
        total += queue_settings["share"]
        if queue_settings["share"] > queue_settings["limit"]:
            faults.append(
                (
                    f"queues.{queue}.share",
                    f"share {queue_settings['share']} is over the limit {queue_settings['limit']}",
                )
            )
    if plain["room"] and total > plain["room"]:
        faults.append(("queues", f"shares add up to {total}, over the room of {plain['room']}"))
    return (None, tuple(faults)) if faults else (plain, ())


def objective_of(document):
    """The whole objective of a setup, with what it leaves out."""
    given = document.get("objective", {})
    return {**WEIGHTS, "queues": {}, **given, "guard": {**GUARD, **given.get("guard", {})}}


def queue_settings_of(document):
    """The Row of a checked one."""
    return QueueSettings(**document)


def merged(document, patch):
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


def cells(document):
    """The table of a setup: a dict a row, in the order of the columns."""
    return [
        {"queue": queue, **{column: queue_settings[column] for column in COLUMNS}}
        for queue, queue_settings in sorted(document["queues"].items())
    ]


def patch_of(changes):
    """(merge patch, ()) of {"QUEUE.COLUMN": value}, or (None, faults)."""
    patch, faults = {}, []
    for cell, value in changes.items():
        queue, _, column = str(cell).rpartition(".")
        if not queue or column not in COLUMNS:
            faults.append((f"cells.{cell}", f"expected QUEUE.COLUMN with a column of {', '.join(COLUMNS)}"))
        else:
            patch.setdefault("queues", {}).setdefault(queue, {})[column] = value
    if not changes:
        faults.append(("cells", "no cell is named"))
    return (None, tuple(faults)) if faults else (patch, ())
