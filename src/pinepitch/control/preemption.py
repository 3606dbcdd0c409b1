"""Preemption: which running tasks should yield to more urgent tasks that a scheduling round left waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..common import constants
from ..model.task import reference
from .placement_round import NO_CAPACITY, NO_CREDITS

if TYPE_CHECKING:
    from collections.abc import Container, Iterator, Mapping

    from ..model.pushed_job import PushedJob
    from ..model.task import Standing, Task
    from ..state.cluster_state import ClusterState
    from .placement_round import PlacementRound, Shape

YieldItem = tuple[str, int, str]  # (task reference, attempt, reference of the task that it yields to)


class Preemption:
    """The preemption of one round. Invariant: `asked_to_yield` contains every task that yields already,
    committed or chosen here, so that none is asked twice.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        this_round: PlacementRound,
        reasons: Mapping[tuple[str, Shape], str],
        proposed: Container[str],
    ) -> None:
        self._cluster_state, self._round = cluster_state, this_round
        self._reasons = reasons  # (queue, shape) -> why the round left units waiting
        self._proposed = proposed  # references that are proposed and not yet applied
        self.asked_to_yield = set(cluster_state.yielding)

    def yield_items(self, time: float) -> Iterator[YieldItem]:
        """The runs that should yield to urgent tasks that found no capacity or whose queue's credits are lent
        out; `time` is the cluster's, in seconds.
        """
        served = {
            task_record[2].yields_to
            for task_record in map(self._cluster_state.find, self.asked_to_yield)
            if task_record
        }
        for job, name, reason in self._preempting_tasks():
            task, standing = job.tasks[name], job.standings[name]
            beneficiary = reference(job.identity, name)
            if time - standing.since < constants.PREEMPT_WAIT or beneficiary in served:
                continue
            if reason == NO_CREDITS:
                victims = self._borrowers(job, task)
            else:
                victims = self._fewest_on_one_worker(job, task)
            for ref in victims or ():
                self.asked_to_yield.add(ref)
                yield (ref, self._cluster_state.find_known(ref)[2].attempt, beneficiary)

    def _preempting_tasks(self) -> Iterator[tuple[PushedJob, str, str]]:
        """(job, task name, reason) of the oldest single tasks of preempting queues that found no capacity, or
        whose credits are lent out.
        """
        for (queue, shape), reason in self._reasons.items():
            preempts = self._cluster_state.queue_settings[queue].preempts
            if reason not in (NO_CAPACITY, NO_CREDITS) or not preempts or len(shape) != 2:
                continue
            levels = self._cluster_state.ready_units[queue]
            for urgency in sorted(levels, reverse=True):
                for _, number, unit in levels[urgency].get(shape, ())[: constants.MAX_PREEMPTING_TASKS]:
                    job = self._cluster_state.pushed_jobs[f"t{number}"]
                    if unit in job.tasks and reference(job.identity, unit) not in self._proposed:
                        yield job, unit, reason

    def _fewest_on_one_worker(self, job: PushedJob, task: Task) -> list[str] | None:
        """The fewest tasks of one worker whose ends would free enough units for a task."""
        best = None
        labels = frozenset(task.labels)
        for candidate in self._round.candidates:
            if not labels <= candidate.labels or task.units > candidate.capacity:
                continue
            reserved = self._cluster_state.reserved.get(candidate.worker, {})
            victims = self._victims(job, reserved, task.units - self._round.free[candidate.worker])
            if victims and (best is None or len(victims) < len(best)):
                best = victims
        return best

    def _borrowers(self, job: PushedJob, task: Task) -> list[str] | None:
        """Borrowers of a queue's own credits whose ends would return enough of them."""
        returned_credits = {}
        for reserved in self._cluster_state.reserved.values():
            for ref in reserved:
                other, _, standing = self._cluster_state.find_known(ref)
                returned = sum(credits for lender, credits in standing.charges if lender == job.queue)
                if returned and other.queue != job.queue:
                    returned_credits[ref] = returned
        return self._victims(
            job, returned_credits, task.units - max(0, self._cluster_state.balance(job.queue))
        )

    def _victims(self, job: PushedJob, freed_by_task: Mapping[str, int], missing: int) -> list[str] | None:
        """The least urgent and newest of the tasks in `freed_by_task` (reference -> what its end frees) that
        may yield to a job and together free what is missing. None if they don't suffice, or if nothing is
        missing.
        """
        running = {ref: self._cluster_state.find_known(ref) for ref in freed_by_task}
        victims = []
        for ref in sorted(
            running, key=lambda task_reference: (*_urgency_and_age(*running[task_reference]), task_reference)
        ):
            if missing <= 0:
                break
            other, task, _ = running[ref]
            if ref not in self.asked_to_yield and self._may_yield(other, task, job):
                victims.append(ref)
                missing -= freed_by_task[ref]
        return victims if victims and missing <= 0 else None

    def _may_yield(self, other: PushedJob, task: Task, job: PushedJob) -> bool:
        """Whether a running task of another job may be asked to yield to a job. A task of a gang never is."""
        queue_settings = self._cluster_state.queue_settings[other.queue]
        return other.urgency < job.urgency and queue_settings.yields and not task.gang


def _urgency_and_age(job: PushedJob, task: Task, standing: Standing) -> tuple[int, float]:
    """The order in which running tasks yield: the least urgent first, and of these the newest."""
    return (job.urgency, -standing.since)
