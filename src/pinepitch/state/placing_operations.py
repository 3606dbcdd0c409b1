"""The operation that places waiting tasks on workers.

The leader decides from what it knows of the workers; here is checked what must hold whoever
decided: predecessors, times, capacities, limits and credits.
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

Group = list[PlacementItem]  # one task, or all of a gang that the operation places


def place_tasks(state: "ClusterState", operation: PlaceTasks) -> Outcome:
    """("placed", (reference, '' or why not) for each item); of a gang all or none."""
    if operation.epoch != state.epoch("placing"):
        return STALE_EPOCH
    if operation.version != state.version:
        return ("refused", "setup version")
    items = [PlacementItem._make(item) for item in operation.items]
    gangs: dict[tuple[str, str], Group] = {}
    for item in items:
        found = state.find(item.reference)
        if found and found[1].gang:
            gangs.setdefault((found[0].identity, found[1].gang), []).append(item)
    outcomes: dict[str, str] = {}
    for item in items:
        if item.reference in outcomes:
            continue
        found = state.find(item.reference)
        group = [item]
        if found and found[1].gang:
            group = gangs[(found[0].identity, found[1].gang)]
        outcome = _place_group(state, group)
        for one in group:
            outcomes[one.reference] = outcome
    return ("placed", tuple((item.reference, outcomes[item.reference]) for item in items))


def _place_group(state: "ClusterState", group: Group) -> str:
    """Places a whole group or nothing of it; '' or why not."""
    totals = _GroupTotals(state)
    for item in group:
        found = state.find(item.reference)
        if found is None:
            return "unknown"
        job, task, standing = found
        refusal = (
            _task_refusal(state, job, task, standing)
            or state.closed(item.worker, item.zone)
            or _gang_refusal(state, job, task, group)
            or totals.refusal(job, task, item)
        )
        if refusal:
            return refusal
    for item in group:
        _place(state, item)
    return ""


def _task_refusal(state: "ClusterState", job: PushedJob, task: Task, standing: Standing) -> str:
    """Why a task may not start now wherever it were, or ''."""
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
    waiting = {reference(job.identity, one) for one in waiting_members(job, unit_of(task))}
    return "" if waiting == {one.reference for one in group} else "gang not whole"


class _GroupTotals:
    """What the items of a group take together, checked item by item."""

    __slots__ = ("charged", "needed", "state", "used")

    def __init__(self, state: "ClusterState") -> None:
        self.state = state
        self.needed: dict[str, int] = {}  # worker -> units, with those reserved before
        self.charged: dict[str, int] = {}  # queue -> credits
        self.used = 0  # units of the job's queue

    def refusal(self, job: PushedJob, task: Task, item: PlacementItem) -> str:
        """Adds an item; why the group may not be placed with it, or ''."""
        state, worker = self.state, item.worker
        if worker not in self.needed:
            self.needed[worker] = state.reservations.units_on(worker)
        self.needed[worker] += task.units
        if self.needed[worker] > item.capacity:
            return "room"
        self.used += task.units
        limit = state.queue_settings[job.queue].limit
        if state.reservations.used_units.get(job.queue, 0) + self.used > limit:
            return "limit"
        if sum(credits for _, credits in item.charges) != task.units:
            return "charges"
        return self._charges_refusal(job, item)

    def _charges_refusal(self, job: PushedJob, item: PlacementItem) -> str:
        for lender, credits in item.charges:
            self.charged[lender] = self.charged.get(lender, 0) + credits
            if lender != job.queue and not self._may_lend(job, lender):
                return "lender"
            if credits <= 0 or self.charged[lender] > self.state.balance(lender):
                return "credits"
        return ""

    def _may_lend(self, job: PushedJob, lender: str) -> bool:
        """Whether a queue lends to a job of another one."""
        if job.kind == "feed":
            return False  # it has no end that would bring the credits back
        queue_settings = self.state.queue_settings.get(lender)
        return queue_settings is not None and queue_settings.lends


def _place(state: "ClusterState", item: PlacementItem) -> None:
    """The next attempt of a task is under way."""
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
        charges=tuple(tuple(one) for one in item.charges),
        since=state.time,
    )
    state.progress.count_waiting(job, -1)
    state.ready_queue.remove(job, unit_of(task))
    job = state.put_standing(job, task.name, standing)
    state.reservations.reserve(job, task, standing)
