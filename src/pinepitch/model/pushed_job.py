"""A pushed job: a client's request to run a directed acyclic graph of tasks.

On the wire and in clients' interfaces it is called a ticket. Times are seconds of the cluster's clock.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import voluptuous

from ..common import constants
from .task import Standing, Task
from .validation import Fault, Faults, ListOf, name, number, shaped_in_order, whole_number


class PushedJob(NamedTuple):
    """A pushed job. The order of the fields is part of the stored format.

    Invariants: identity is unique in the cluster; tasks and standings have the same keys; state is
    pending, cancelling or failing until every task is final, then finished if all tasks are done, else
    failed or cancelled; cancelled_at is 0 until a cancellation is applied.
    """

    identity: str  # "t" followed by a number
    key: str  # the client's idempotency key
    digest: str  # of the document
    queue: str
    kind: str  # "batch" or "feed"
    urgency: int
    due: float  # 0 for none
    accepted: float
    tasks: dict[str, Task]
    standings: Any  # immutables.Map: name -> Standing; a dict while the job is being decoded
    state: str = "pending"
    cancelled_at: float = 0.0
    ended_at: float = 0.0
    urgency_given: bool = False  # whether the client set the urgency
    unplaceable: str = ""  # why no worker known at acceptance could run the job, or ''

    def ready_since(self, task: Task) -> float:
        """The time at which a task of this job, whose predecessors are all done, could first start."""
        standings: Mapping[str, Standing] = self.standings
        return max(
            [self.accepted, task.not_before, *(standings[predecessor].since for predecessor in task.after)]
        )


LATEST_TIME = 1e11  # seconds; the largest time or duration in a document
TASK_SHAPE = {
    voluptuous.Required("name"): name,
    voluptuous.Optional("units", default=1): whole_number(1, constants.MAX_UNITS),
    voluptuous.Optional("labels", default=[]): ListOf(name, constants.MAX_TASKS),
    voluptuous.Optional("after", default=[]): ListOf(name, constants.MAX_TASKS),
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
        voluptuous.Required("tasks"): voluptuous.All(
            ListOf(TASK_SHAPE, constants.MAX_TASKS), voluptuous.Length(min=1)
        ),
    }
)
TaskDocument = dict[str, Any]  # a task as checked by TASK_SHAPE, with its defaults


def checked(document: object) -> tuple[dict[str, Any] | None, Faults]:
    """Checks a job's document: (the document with its defaults, ()) or (None, faults)."""
    filled, shape_faults = shaped_in_order(SHAPE, document)
    if shape_faults:
        return None, shape_faults
    tasks = filled["tasks"]
    faults = [*_repeated_names(tasks), *_unknown_predecessors(tasks)]
    if not faults:
        cycle = _cycle(tasks)
        if cycle:
            faults.append(("tasks", "a cycle through " + ", ".join(cycle)))
        else:
            faults.extend(_gang_faults(tasks))
    latest = max([filled["not_before"], *(task["not_before"] for task in tasks)])
    if filled["due"] and filled["due"] <= latest:
        faults.append(("due", "not after not_before"))
    return (None, tuple(faults)) if faults else (filled, ())


def _repeated_names(tasks: list[TaskDocument]) -> list[Fault]:
    """A fault for each task whose name is already used by an earlier task."""
    names: set[str] = set()
    faults = []
    for position, task in enumerate(tasks):
        if task["name"] in names:
            faults.append((f"tasks.{position}.name", f"{task['name']!r} is named twice"))
        names.add(task["name"])
    return faults


def _unknown_predecessors(tasks: list[TaskDocument]) -> list[Fault]:
    """A fault for each predecessor that is not a task of the job."""
    names = {task["name"] for task in tasks}
    return [
        (f"tasks.{index}.after.{position}", f"no task {predecessor!r}")
        for index, task in enumerate(tasks)
        for position, predecessor in enumerate(task["after"])
        if predecessor not in names
    ]


def _gang_faults(tasks: list[TaskDocument]) -> list[Fault]:
    """A fault for each task that depends, directly or indirectly, on another member of its gang.

    All members of a gang start together, so none of them can wait for another.
    """
    after = {task["name"]: task["after"] for task in tasks}
    gangs: dict[str, set[str]] = {}
    for task in tasks:
        gangs.setdefault(task["gang"], set()).add(task["name"])
    return [
        (f"tasks.{position}.gang", "waits for another member of its gang")
        for position, task in enumerate(tasks)
        if task["gang"] and _all_predecessors(after, task["after"]) & gangs[task["gang"]]
    ]


def _all_predecessors(after: dict[str, list[str]], direct: list[str]) -> set[str]:
    """The direct predecessors, their predecessors, and so on."""
    predecessors: set[str] = set()
    unvisited = list(direct)
    while unvisited:
        task_name = unvisited.pop()
        if task_name not in predecessors:
            predecessors.add(task_name)
            unvisited.extend(after[task_name])
    return predecessors


def _cycle(tasks: list[TaskDocument]) -> list[str]:
    """Sorted names of the tasks that are on a cycle or depend on one, or [] if the graph has no cycle."""
    predecessors = {task["name"]: set(task["after"]) for task in tasks}
    successors: dict[str, list[str]] = {}
    for task_name, before in predecessors.items():
        for predecessor in before:
            successors.setdefault(predecessor, []).append(task_name)
    ready = [task_name for task_name, before in predecessors.items() if not before]
    while ready:
        task_name = ready.pop()
        del predecessors[task_name]
        for successor in successors.get(task_name, ()):
            predecessors[successor].discard(task_name)
            if not predecessors[successor]:
                ready.append(successor)
    return sorted(predecessors)


def tasks_from(document: dict[str, Any], queue_retries: int, is_feed: bool) -> dict[str, Task]:
    """Name -> Task of a checked document; the queue's setting `retries` bounds the attempts.

    The tasks of feeds have 0 attempts, which means no bound.
    """
    tasks = {}
    for task_document in document["tasks"]:
        attempts = queue_retries + 1
        if task_document["attempts"]:
            attempts = min(attempts, task_document["attempts"])
        tasks[task_document["name"]] = Task(
            task_document["name"],
            task_document["units"],
            tuple(task_document["labels"]),
            tuple(task_document["after"]),
            max(task_document["not_before"], document["not_before"]),
            0 if is_feed else attempts,
            task_document["limit"],
            task_document["gang"],
            task_document["work"],
            task_document["attempts"],
        )
    return tasks


def digest_of(document: object) -> str:
    """A digest that distinguishes documents submitted under the same key."""
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()[:32]
