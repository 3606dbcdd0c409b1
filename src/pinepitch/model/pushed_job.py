"""A pushed job: a client's request, a directed acyclic graph of tasks.

On the wire and for clients it is a ticket. Times are seconds of the cluster's clock.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import voluptuous

from ..common import constants
from .task import Standing, Task
from .validation import Fault, Faults, name, number, shaped_in_order, whole_number


class PushedJob(NamedTuple):
    """A pushed job. The order of the fields is that of stored data.

    Invariants: identity is unique in the cluster; tasks and standings have the same names;
    state is pending until every task is final, then finished only if all are done, else failed
    or cancelled; cancelled_at is 0 until a cancel is in force.
    """

    identity: str  # "t" and a number
    key: str  # the client's token
    digest: str  # of the document
    queue: str
    kind: str  # "batch" or "feed"
    urgency: int
    due: float  # 0 for none
    accepted: float
    tasks: dict[str, Task]
    standings: Any  # immutables.Map: name -> Standing; a dict while it is decoded
    state: str = "pending"
    cancelled_at: float = 0.0
    ended_at: float = 0.0
    urgency_given: bool = False  # whether it named its own urgency
    unplaceable: str = ""  # why no worker then known could take it, if that was so when it came

    def ready_since(self, task: Task) -> float:
        """When a task of it, its predecessors all done, could first start."""
        standings: Mapping[str, Standing] = self.standings
        return max([self.accepted, task.not_before, *(standings[one].since for one in task.after)])


LATEST_TIME = 1e11
TASK_SHAPE = {
    voluptuous.Required("name"): name,
    voluptuous.Optional("units", default=1): whole_number(1, constants.MAX_UNITS),
    voluptuous.Optional("labels", default=[]): [name],
    voluptuous.Optional("after", default=[]): [name],
    voluptuous.Optional("not_before", default=0): number(0, LATEST_TIME),
    voluptuous.Optional("attempts", default=0): whole_number(0, constants.MAX_ATTEMPTS),
    voluptuous.Optional("limit", default=0): number(0, LATEST_TIME),
    voluptuous.Optional("gang", default=""): voluptuous.Any("", name),
    voluptuous.Optional("work", default=None): voluptuous.Any(None, dict, str, int, float),
}
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("queue"): name,
        voluptuous.Optional("kind", default="batch"): voluptuous.In(("batch", "feed")),
        voluptuous.Optional("urgency", default=-1): whole_number(-1, constants.MAX_URGENCY),
        voluptuous.Optional("not_before", default=0): number(0, LATEST_TIME),
        voluptuous.Optional("due", default=0): number(0, LATEST_TIME),
        voluptuous.Optional("key"): name,
        voluptuous.Required("tasks"): voluptuous.All([TASK_SHAPE], voluptuous.Length(1, constants.MAX_TASKS)),
    }
)
PlainTask = dict[str, Any]  # as TASK_SHAPE gives it


def checked(document: object) -> tuple[dict[str, Any] | None, Faults]:
    """(the document with its defaults, ()) or (None, faults), every fault named by its path."""
    plain, shape_faults = shaped_in_order(SHAPE, document)
    if shape_faults:
        return None, shape_faults
    tasks = plain["tasks"]
    faults = [*_repeated_names(tasks), *_unknown_predecessors(tasks)]
    if not faults:
        cycle = _cycle(tasks)
        if cycle:
            faults.append(("tasks", "a cycle through " + ", ".join(cycle)))
        else:
            faults.extend(_gang_faults(tasks))
    latest = max([plain["not_before"], *(task["not_before"] for task in tasks)])
    if plain["due"] and plain["due"] <= latest:
        faults.append(("due", "not after not_before"))
    return (None, tuple(faults)) if faults else (plain, ())


def _repeated_names(tasks: list[PlainTask]) -> list[Fault]:
    seen: set[str] = set()
    faults = []
    for place, task in enumerate(tasks):
        if task["name"] in seen:
            faults.append((f"tasks.{place}.name", f"{task['name']!r} is named twice"))
        seen.add(task["name"])
    return faults


def _unknown_predecessors(tasks: list[PlainTask]) -> list[Fault]:
    names = {task["name"] for task in tasks}
    return [
        (f"tasks.{place}.after.{position}", f"no task {one!r}")
        for place, task in enumerate(tasks)
        for position, one in enumerate(task["after"])
        if one not in names
    ]


def _gang_faults(tasks: list[PlainTask]) -> list[Fault]:
    """A gang starts whole, so no member may wait, however indirectly, for another."""
    after = {task["name"]: task["after"] for task in tasks}
    gangs: dict[str, set[str]] = {}
    for task in tasks:
        gangs.setdefault(task["gang"], set()).add(task["name"])
    return [
        (f"tasks.{place}.gang", "waits for another member of its gang")
        for place, task in enumerate(tasks)
        if task["gang"] and _all_predecessors(after, task["after"]) & gangs[task["gang"]]
    ]


def _all_predecessors(after: dict[str, list[str]], direct: list[str]) -> set[str]:
    """The direct predecessors, theirs, and so on."""
    seen: set[str] = set()
    todo = list(direct)
    while todo:
        one = todo.pop()
        if one not in seen:
            seen.add(one)
            todo.extend(after[one])
    return seen


def _cycle(tasks: list[PlainTask]) -> list[str]:
    """Names left once all that can run in order have run."""
    waits = {task["name"]: set(task["after"]) for task in tasks}
    successors: dict[str, list[str]] = {}
    for one, before in waits.items():
        for other in before:
            successors.setdefault(other, []).append(one)
    ready = [one for one, before in waits.items() if not before]
    while ready:
        one = ready.pop()
        del waits[one]
        for other in successors.get(one, ()):
            waits[other].discard(one)
            if not waits[other]:
                ready.append(other)
    return sorted(waits)


def tasks_from(plain: dict[str, Any], queue_retries: int, feed: bool) -> dict[str, Task]:
    """Name -> Task of a checked document; attempts are bounded by the queue's settings."""
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


def digest_of(document: object) -> str:
    """What tells two documents under one key apart."""
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()[:32]
