"""The operation that places waiting tasks on workers.

The leader chooses placements from its view of the workers. This module checks the rules that must
hold whichever leader chose them: predecessors, times, capacities, limits and credits.
"""

from typing import TYPE_CHECKING

from ..common import constants
from ..model.pushed_job import PushedJob
from ..model.task import Standing, Task, reference, unit_of
from .operations import PlacementItem, PlaceTasks
from .outcomes import STALE_EPOCH, Outcome
from .ready_queue import waiting_members

if TYPE_CHECKING:
    from .cluster_state import ClusterState

Group = list[PlacementItem]  # a single task, or all tasks of a gang that the operation places


def place_tasks(state: "ClusterState", operation: PlaceTasks) -> Outcome:
    """Places tasks, and the tasks of a gang all together or not at all.

    The outcome is ("placed", (reference, '' or the reason for refusal) for each item).
    """
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    if operation.version != state.version:
        return ("refused", "setup version")
    items = [PlacementItem._make(item) for item in operation.items]
    gangs: dict[tuple[str, str], Group] = {}
    for item in items:
        match = state.find(item.reference)
        if match and match[1].gang:
            gangs.setdefault((match[0].identity, match[1].gang), []).append(item)
    outcomes: dict[str, str] = {}
    for item in items:
        if item.reference in outcomes:
            continue
        match = state.find(item.reference)
        group = [item]
        if match and match[1].gang:
            group = gangs[(match[0].identity, match[1].gang)]
        outcome = _place_group(state, group)
        for member in group:
            outcomes[member.reference] = outcome
    return ("placed", tuple((item.reference, outcomes[item.reference]) for item in items))


def _place_group(state: "ClusterState", group: Group) -> str:
    """Places all of a group or none of it; returns '' or the reason for refusal."""
    totals = _GroupTotals(state)
    for item in group:
        match = state.find(item.reference)
        if match is None:
            return "unknown"
        job, task, standing = match
        refusal = (
            _task_refusal(state, job, task, standing)
            or state.closed_reason(item.worker, item.zone)
            or _gang_refusal(state, job, task, group)
            or totals.refusal(job, task, item)
        )
        if refusal:
            return refusal
    for item in group:
        _place(state, item)
    return ""


def _task_refusal(state: "ClusterState", job: PushedJob, task: Task, standing: Standing) -> str:
    """Why a task may not start now on any worker, or ''."""
    if job.state != "pending" or standing.state != "waiting":
        return "not waiting"
    if state.progress.unfinished_predecessors[job.identity][task.name]:
        return "forerunners"
    if job.kind != "feed" and standing.failures >= task.attempts:
        return "attempts"
    if state.time < max(task.not_before, standing.earliest):
        return "too early"
    return ""


def _gang_refusal(state: "ClusterState", job: PushedJob, task: Task, group: Group) -> str:
    """Why a gang may not start, or ''."""
    if not task.gang:
        return ""
    waiting = sorted(reference(job.identity, name) for name in waiting_members(job, unit_of(task)))
    return "" if waiting == sorted(item.reference for item in group) else "gang not whole"


class _GroupTotals:
    """The units and credits that the items of a group use together, checked item by item."""

    __slots__ = ("charged_credits", "queue_units", "state", "worker_units")

    def __init__(self, state: "ClusterState") -> None:
        self.state = state
        self.worker_units: dict[str, int] = {}  # worker -> units, including those already reserved
        self.charged_credits: dict[str, int] = {}  # queue -> credits
        self.queue_units = 0  # units of the job's queue

    def refusal(self, job: PushedJob, task: Task, item: PlacementItem) -> str:
        """Adds an item; returns why the group may not be placed with it, or ''."""
        state, worker = self.state, item.worker
        if worker not in self.worker_units:
            self.worker_units[worker] = state.reservations.units_on(worker)
        self.worker_units[worker] += task.units
        if self.worker_units[worker] > item.capacity:
            return "room"
        self.queue_units += task.units
        limit = state.queue_settings[job.queue].limit
        if state.reservations.used_units.get(job.queue, 0) + self.queue_units > limit:
            return "limit"
        if sum(credits for _, credits in item.charges) != task.units:
            return "charges"
        return self._charges_refusal(job, item)

    def _charges_refusal(self, job: PushedJob, item: PlacementItem) -> str:
        """Why the queues may not lend the credits that an item charges to them, or ''."""
        for lender, credits in item.charges:
            self.charged_credits[lender] = self.charged_credits.get(lender, 0) + credits
            if lender != job.queue and not self._may_lend(job, lender):
                return "lender"
            if credits <= 0 or self.charged_credits[lender] > self.state.balance(lender):
                return "credits"
        return ""

    def _may_lend(self, job: PushedJob, lender: str) -> bool:
        """Whether a queue lends credits to a job of another queue."""
        if job.kind == "feed":
            return False  # a feed does not end, so the credits would never be returned
        queue_settings = self.state.queue_settings.get(lender)
        return queue_settings is not None and queue_settings.lends


def _place(state: "ClusterState", item: PlacementItem) -> None:
    """Starts the next attempt of a task on the worker that the item names."""
    job, task, standing = state.find_known(item.reference)
    standing = standing._replace(
        state="placed",
        attempt=standing.attempt + 1,
        worker=item.worker,
        incarnation=item.incarnation,
        address=item.address,
        placed_under=(state.epoch("placing"), state.version),
        front_daemon=item.front_daemon,
        send_by=state.time + constants.SEND_WITHIN,
        yields_to="",
        charges=tuple(tuple(charge) for charge in item.charges),
        since=state.time,
    )
    state.progress.count_waiting(job, -1)
    state.ready_queue.remove(job, unit_of(task))
    job = state.put_standing(job, task.name, standing)
    state.reservations.reserve(job, task, standing)
