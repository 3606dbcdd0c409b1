"""A ticket: a caller's request, a directed acyclic graph of tasks."""

import hashlib
import itertools
import json
from typing import NamedTuple

import voluptuous

from ..common import constants
from .task import Task


class PushedJob(NamedTuple):
    """Invariants: identity is unique in the record; tasks and standings have the same
    names; state is pending until every task is final, then finished only if all are
    done, else failed or cancelled; cancelled_at is 0 until a cancel is in force."""

    identity: str
    key: str
    digest: str
    queue: str
    kind: str
    urgency: int
    due: float
    accepted: float
    tasks: dict
    standings: dict
    state: str = "pending"
    cancelled_at: float = 0.0
    ended_at: float = 0.0
    urgency_given: bool = False  # whether it named its own urgency
    unplaceable: str = ""  # why no minion then known could take it, if that was so when it came

    def ready_since(self, task):
        """When a task of it, its forerunners all done, could first start."""
        return max([self.accepted, task.not_before, *(self.standings[one].since for one in task.after)])


def _number(low, high):
    return voluptuous.All(voluptuous.Any(int, float), _not_bool, voluptuous.Range(low, high))


def _not_bool(value):
    if isinstance(value, bool) or value != value:
        raise voluptuous.Invalid("expected a number")
    return value


def _whole_number(low, high):
    return voluptuous.All(int, _not_bool, voluptuous.Range(low, high))


def name(value):
    """A name: printable, no slash (it parts a task's reference), bounded."""
    if not isinstance(value, str) or not 0 < len(value) <= constants.MAX_NAME_LENGTH:
        raise voluptuous.Invalid(f"expected a text of 1 to {constants.MAX_NAME_LENGTH} characters")
    if "/" in value or not value.isprintable():
        raise voluptuous.Invalid("expected a name without a slash or control characters")
    return value


TIME_MOST = 1e11
TASK_SHAPE = {
    voluptuous.Required("name"): name,
    voluptuous.Optional("units", default=1): _whole_number(1, constants.MAX_UNITS),
    voluptuous.Optional("labels", default=[]): [name],
    voluptuous.Optional("after", default=[]): [name],
    voluptuous.Optional("not_before", default=0): _number(0, TIME_MOST),
    voluptuous.Optional("attempts", default=0): _whole_number(0, constants.MAX_ATTEMPTS),
    voluptuous.Optional("limit", default=0): _number(0, TIME_MOST),
    voluptuous.Optional("gang", default=""): voluptuous.Any("", name),
    voluptuous.Optional("work", default=None): voluptuous.Any(None, dict, str, int, float),
}
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("queue"): name,
        voluptuous.Optional("kind", default="batch"): voluptuous.In(("batch", "feed")),
        voluptuous.Optional("urgency", default=-1): _whole_number(-1, constants.MAX_URGENCY),
        voluptuous.Optional("not_before", default=0): _number(0, TIME_MOST),
        voluptuous.Optional("due", default=0): _number(0, TIME_MOST),
        voluptuous.Optional("key"): name,
        voluptuous.Required("tasks"): voluptuous.All([TASK_SHAPE], voluptuous.Length(1, constants.MAX_TASKS)),
    }
)


def shaped(shape, document):
    """(plain, ()) or (None, the (path, message) pairs of voluptuous's refusal)."""
    try:
        return shape(document), ()
    except voluptuous.MultipleInvalid as several:
        return None, tuple((".".join(map(str, one.path)), one.msg) for one in _in_order(several.errors))


def _in_order(errors):
    """The errors where they stand, but those keys that lack beside each other by name: voluptuous
    tells these in the order of a set, which is another in each process."""
    ordered = []
    for (lacks, _), group in itertools.groupby(errors, _lack):
        beside = list(group)
        if lacks:
            beside.sort(key=lambda one: str(one.path[-1]))
        ordered.extend(beside)
    return ordered


def _lack(error):
    """(whether a required key lacks, the path of where it lacks)."""
    lacks = isinstance(error, voluptuous.RequiredFieldInvalid)
    return lacks, tuple(map(str, error.path[:-1])) if lacks else ()


def checked(document):
    """(plain document, ()) or (None, faults), every fault named by its path."""
    plain, faults = shaped(SHAPE, document)
    if faults:
        return None, faults
    faults = []
    names = [task["name"] for task in plain["tasks"]]
    known = {}
    for place, one in enumerate(names):
        if one in known:
            faults.append((f"tasks.{place}.name", f"{one!r} is named twice"))
        known.setdefault(one, place)
    gangs = {}
    for place, task in enumerate(plain["tasks"]):
        if task["gang"]:
            gangs.setdefault(task["gang"], set()).add(task["name"])
        for position, one in enumerate(task["after"]):
            if one not in known:
                faults.append((f"tasks.{place}.after.{position}", f"no task {one!r}"))
    if not faults:
        cycle = _cycle(plain["tasks"])
        if cycle:
            faults.append(("tasks", "a cycle through " + ", ".join(cycle)))
        else:
            faults.extend(_gang_faults(plain["tasks"], gangs))
    if plain["due"] and plain["due"] <= max(
        [plain["not_before"], *(t["not_before"] for t in plain["tasks"])]
    ):
        faults.append(("due", "not after not_before"))
    return (None, tuple(faults)) if faults else (plain, ())


def _gang_faults(tasks, gangs):
    """A gang starts whole, so no member may wait, however indirectly, for another."""
    after = {task["name"]: task["after"] for task in tasks}
    faults = []
    for place, task in enumerate(tasks):
        if not task["gang"]:
            continue
        seen, todo = set(), list(task["after"])
        while todo:
            one = todo.pop()
            if one not in seen:
                seen.add(one)
                todo.extend(after[one])
        if seen & gangs[task["gang"]]:
            faults.append((f"tasks.{place}.gang", "waits for another member of its gang"))
    return faults


def _cycle(tasks):
    """Names left once all that can run in order have run."""
    waits = {task["name"]: set(task["after"]) for task in tasks}
    followers = {}
    for one, before in waits.items():
        for other in before:
            followers.setdefault(other, []).append(one)
    ready = [one for one, before in waits.items() if not before]
    while ready:
        one = ready.pop()
        del waits[one]
        for other in followers.get(one, ()):
            waits[other].discard(one)
            if not waits[other]:
                ready.append(other)
    return sorted(waits)


def tasks_from(plain, queue_retries, feed):
    """name -> Task of a checked document; attempts are bounded by the row."""
    tasks = {}
    for one in plain["tasks"]:
        attempts = queue_retries + 1
        if one["attempts"]:
            attempts = min(attempts, one["attempts"])
        tasks[one["name"]] = Task(
            one["name"],
            one["units"],
            tuple(one["labels"]),
            tuple(one["after"]),
            max(one["not_before"], plain["not_before"]),
            0 if feed else attempts,
            one["limit"],
            one["gang"],
            one["work"],
            one["attempts"],
        )
    return tasks


def digest_of(document):
    """What tells two bodies under one key apart."""
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()[:32]
