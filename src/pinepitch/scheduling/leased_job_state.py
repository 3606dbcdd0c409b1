"""The replicated state of leased jobs: the jobs, their placements, the configuration of routes and services,
and the evacuated zones. It is a deterministic part of the cluster state.

Every operation is an entry of the replicated log and has the same outcome at every control daemon. An outcome
is a tuple: its kind, followed by the values that belong to this kind. All times are in seconds, by the time
of the cluster state.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import Any, Self

from ..common import constants
from ..model.reliability import WorkKey
from .configuration import Configuration
from .evacuation import Evacuations
from .job_document import PlainJob, digest_of
from .job_outcomes import (
    END_COMPLETED,
    END_DONE,
    END_FAILED,
    END_JOB_NOT_OPEN,
    END_NO_SUCH_TASK,
    END_REQUEUED,
    END_STALE,
    JOB_CANCELLED,
    JOB_COMPLETED,
    JOB_FAILED,
    JOB_QUEUED,
    JOB_RUNNING,
    FinalJob,
)
from .leased_job import DONE, PLACED, WAITING, LeasedJob, Task, TaskBatch, TaskBatchKey
from .placement import RUN_DONE, RUN_FAILED, RUN_NEVER_STARTED, Placement, Placements, RunEndItem, RunKey
from .plain_types import Document, Image, Outcome
from .resource_usage import PlacementUsage
from .resources import NO_RESOURCES, multiply, subtract
from .run_stop import StopItem
from .tenants import Tenants
from .tombstones import Tombstone, Tombstones
from .upcoming_batches import UpcomingBatches

# An item of the operation "job-assign":
# (job, index of the time, number of the step, ((index of a task, worker), ...)).
TaskBatchAssignment = tuple[str, int, int, tuple[tuple[int, str], ...]]


class LeasedJobState:
    """The state to which operations on leased jobs are applied.

    Invariants:
    - `jobs` contains the jobs that are not over, and `final` the records of those that are, ordered by when
      they ended.
    - `used_by_worker`, `used_by_priority_class` and `used_by_tenant` are sums of the resources of the
      placements. No placement takes its tenant over the tenant's maximum (Tenant.admits_task).
    - `ready` contains every built batch that has waiting tasks, whose earlier steps are all done, and that is
      not a partly placed gang. `ready_counts` has the number of these for each step of a job, if any.
    - A batch of a first step is built once it is due and few batches of its step are ready (open_due). Which
      ones are built beyond those that something happened to is not part of the agreed state.
    - `placements[worker]` contains every run assigned to the worker whose end is not proven, and
      `placement_count` is the number of all of them.
    - `job_bytes` is the sum of the costs of `jobs`, and `lasting_jobs` the number of those with tasks that do
      not end.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, LeasedJob] = {}
        self.final: dict[str, FinalJob] = {}  # identity of a job -> its record
        self.placements: dict[str, Placements] = {}  # worker -> {(reference, run): Placement}
        self.placement_count = 0
        self.job_bytes = self.lasting_jobs = 0
        self._usage = PlacementUsage()
        self.used_by_worker = self._usage.by_worker
        self.used_by_priority_class = self._usage.by_priority_class
        self.used_by_tenant = self._usage.by_tenant
        self.configuration = Configuration()
        self.evacuations = Evacuations()
        self.tombstones = Tombstones()
        self.ready: dict[TaskBatchKey, TaskBatch] = {}
        self.ready_counts: dict[WorkKey, int] = {}
        self.upcoming = UpcomingBatches()
        # queue -> number of its jobs of which no task was ever placed
        self.queued_counts: dict[str, int] = {}

    # --- image ------------------------------------------------------------------------
    def image(self, expanded: bool = True) -> Image:
        """The state as plain values, for a snapshot. from_image() rebuilds the state from them. `expanded` is
        described at LeasedJob.image. Without tombstones there is no field for them, so that the image is the
        same as in versions that do not know them.
        """
        image: Image = (
            tuple(job.image(expanded) for job in self.jobs.values()),
            tuple((identity, *final.image()) for identity, final in self.final.items()),
            tuple(
                placement.image()
                for placements in self.placements.values()
                for placement in placements.values()
            ),
            self.configuration.image(),
            self.evacuations.image(),
        )
        return (*image, self.tombstones.image()) if self.tombstones else image

    @classmethod
    def from_image(cls, image: Image) -> Self:
        """Rebuilds the state from the values that image() returned."""
        leased_jobs = cls()
        jobs, final, placements, configuration, evacuations, *tombstones = image
        leased_jobs.configuration = Configuration(*configuration)
        leased_jobs.evacuations = Evacuations(*evacuations)
        leased_jobs.tombstones = Tombstones(*tombstones)
        leased_jobs.final = {identity: FinalJob(*fields) for identity, *fields in final}
        for placement_image in placements:
            placement = Placement(*placement_image)
            leased_jobs._add_placement(placement)
        for job_image in _taken_from(jobs):
            job = LeasedJob.from_image(job_image)
            leased_jobs._add_job(job)
            if not job.begun:
                leased_jobs.queued_counts[job.queue] = leased_jobs.queued_counts.get(job.queue, 0) + 1
            for batch in job.batches.values():
                leased_jobs._update_ready(batch)
            leased_jobs._schedule_first_steps(job)
        return leased_jobs

    @property
    def evacuated(self) -> dict[str, float]:
        """The zones that are evacuated -> when their evacuation began, seconds."""
        return self.evacuations.since

    @property
    def tenants(self) -> Tenants:
        """The tenants of the configuration in force."""
        return self.configuration.tenants

    def _add_job(self, job: LeasedJob) -> None:
        """Adds an open job."""
        self.jobs[job.identity] = job
        self.job_bytes += job.cost
        self.lasting_jobs += job.lasts

    def _update_ready(self, batch: TaskBatch) -> None:
        """Adds a batch of tasks to those that are ready, or removes it."""
        if batch.waiting and not batch.open_predecessors and not batch.is_partly_placed():
            if batch.key() not in self.ready:
                self.ready[batch.key()] = batch
                self.ready_counts[batch.work()] = self.ready_counts.get(batch.work(), 0) + 1
        else:
            self._remove_ready(batch)

    def ready_to_place(self) -> Iterator[TaskBatch]:
        """The ready batches, but of each step only the first, as all ask for the same: MAX_READY_TIMES, or
        fewer if there are many steps.
        """
        part = constants.MAX_ROUND_BATCHES // max(1, len(self.ready_counts))
        most = max(1, min(constants.MAX_READY_TIMES, part))
        left: dict[WorkKey, int] = {}  # step with more than that -> its batches that are still to be returned
        for batch in self.ready.values():
            work = batch.work()
            if self.ready_counts[work] > most:
                left[work] = left.get(work, most) - 1
                if left[work] < 0:
                    continue
            yield batch

    def _remove_ready(self, batch: TaskBatch) -> None:
        """Removes a batch from those that are ready, if it is one."""
        if self.ready.pop(batch.key(), None) is None:
            return
        work = batch.work()
        self.ready_counts[work] -= 1
        if not self.ready_counts[work]:
            del self.ready_counts[work]
        self.upcoming.release(work)

    def _schedule_first_steps(self, job: LeasedJob) -> None:
        """Schedules the steps of a job that have no predecessors."""
        for number in job.next_times:
            self.upcoming.schedule((job.identity, number), job.due(0))

    def open_due(self, now: float) -> None:
        """Builds batches of first steps that are due by `now`, the time of the cluster state in seconds. This
        is not part of the agreed state: each replica builds batches when it needs them.
        """
        for identity, number in self.upcoming.take_due(now):
            self._open_due_batches(self.jobs[identity], number, now)

    def _open_due_batches(self, job: LeasedJob, number: int, now: float) -> None:
        """Builds the batches of a first step that are due, until MAX_READY_TIMES of them are ready."""
        work = (job.identity, number)
        for time in range(job.next_times[number], job.repetitions):
            job.next_times[number] = time
            due = job.due(time)
            if due > now:
                self.upcoming.schedule(work, due)
                return
            if self.ready_counts.get(work, 0) >= constants.MAX_READY_TIMES:
                self.upcoming.hold(work, due)
                return
            self._update_ready(self._known_batch(job, time, number))
        job.next_times[number] = job.repetitions

    def _known_batch(self, job: LeasedJob, time: int, number: int) -> TaskBatch:
        """A batch that the job must have."""
        batch = job.batch(time, number)
        assert batch is not None, f"{job.identity} has no step {number} at time {time}"
        return batch

    def _add_placement(self, placement: Placement) -> None:
        """Records the placement of a run and counts its resources as used."""
        placements = self.placements.setdefault(placement.worker_id, {})
        placements[(placement.reference(), placement.run)] = placement
        self.placement_count += 1
        self._usage.add(placement)

    def _remove_placement(self, worker_id: str, key: RunKey) -> Placement | None:
        """Removes the placement of a run and counts its resources as free. Returns the placement, or None
        when there was none.
        """
        placements = self.placements.get(worker_id, {})
        placement = placements.pop(key, None)
        if placement is None:
            return None
        self.placement_count -= 1
        if not placements:
            del self.placements[worker_id]
        self._usage.release(placement)
        return placement

    def memory_bytes(self) -> int:
        """About how many bytes of memory the state may take. It is the same at every replica that applied the
        same entries.
        """
        return (
            self.job_bytes
            + constants.PLACEMENT_BYTES * self.placement_count
            + constants.FINAL_JOB_BYTES * len(self.final)
            + constants.TOMBSTONE_BYTES * len(self.tombstones)
        )

    def keeps_final_records(self, now: float, coming: int) -> bool:
        """Whether no record of a job that is over would be dropped while a copy of that job's submission may
        be on its way, if `coming` jobs were accepted now and all open ones ended.
        """
        surplus = len(self.final) + len(self.jobs) + coming - constants.MAX_FINAL_JOBS
        if surplus <= 0:
            return True
        newest_dropped = next(itertools.islice(self.final.values(), surplus - 1, None), None)
        return newest_dropped is not None and now - newest_dropped.ended >= constants.SUBMISSION_LASTS

    # --- queries ----------------------------------------------------------------------
    def may_access(self, tenant: str, identity: str, route: Document | None) -> bool:
        """Whether a tenant may read, cancel or submit again a job at a route; a caller without a tenant is
        "". Allowed are the tenant's own jobs, jobs without a tenant (submitted where no key was required),
        jobs of this same route if it is public, and identities that no stored job has.
        """
        job = self.jobs.get(identity) or self.final.get(identity)
        if job is None or job.tenant in ("", tenant):
            return True
        return route is not None and bool(route.get("public")) and route["name"] == job.queue

    def state(self, identity: str) -> str | None:
        """The state of a job, or None when there is none."""
        job = self.jobs.get(identity)
        if job is not None:
            return JOB_RUNNING if job.begun else JOB_QUEUED
        final = self.final.get(identity)
        return final.state if final else None

    def current_task(self, placement: Placement) -> tuple[TaskBatch, Task] | None:
        """The (batch of tasks, task) whose current run has this placement, or None if it is outdated."""
        job = self.jobs.get(placement.job)
        batch = job.batches.get((placement.time, placement.number)) if job else None
        if batch is None:
            return None
        task = batch.tasks[placement.index]
        if task.state == PLACED and task.run == placement.run and task.worker_id == placement.worker_id:
            return batch, task
        return None

    def should_run(self, placement: Placement) -> bool:
        """Whether a placed run should start, or continue."""
        if placement.stop:
            return False
        current = self.current_task(placement)
        return current is not None and not current[0].is_partly_placed()

    def over_maximum(self, placement: Placement) -> bool:
        """Whether the resources of a placement take its tenant over the tenant's present maximum, which may
        have been lowered since the run was placed.
        """
        tenant = self.tenants.limited(placement.tenant)
        if tenant is None:
            return False
        used = self.used_by_tenant.get(tenant.name, NO_RESOURCES)
        others = subtract(used, placement.resources)
        return not tenant.admits_task(others, placement.resources)

    # --- operations -------------------------------------------------------------------
    def accept(
        self, now: float, identity: str, queue: str, plain: PlainJob, tenant: str | None = None
    ) -> Outcome:
        """Accepts a job that was submitted at a queue. Outcomes: ("accepted", identity); ("known", identity)
        for a job that is stored already, or that was cancelled before, which is stored as cancelled now;
        ("missing", queue) if no such route is in force; ("full", queue) at MAX_LEASED_JOBS.

        `tenant` is the name of the tenant that submits the job, "" for a caller without one, and None in
        operations that do not check tenants. If it is given, the outcome may also be ("foreign", identity)
        for a job that the tenant may not access, and ("unknown_tenant", tenant) for a tenant that is no
        longer in force.
        """
        route = self.configuration.routes.get(queue)
        if identity in self.jobs or identity in self.final:
            may_access = tenant is None or self.may_access(tenant, identity, route)
            return ("known" if may_access else "foreign", identity)
        if tenant and tenant not in self.tenants.by_name:
            return ("unknown_tenant", tenant)
        if route is None:
            return ("missing", queue)
        if self.tombstones.stops(now, identity, queue, tenant or ""):
            self._add_final(
                now, identity, FinalJob(JOB_CANCELLED, now, queue, digest_of(plain), tenant or "")
            )
            return ("known", identity)
        if len(self.jobs) >= constants.MAX_LEASED_JOBS:
            return ("full", queue)
        route_settings = (
            route["service"],
            max(1, route.get("attempts", 1)),
            route.get("priority", 0),
            route.get("aim_ms", 0),
            route.get("stretch", 1),
        )
        job = LeasedJob(identity, queue, route_settings, plain, now, tenant or "")
        self._add_job(job)
        self.queued_counts[queue] = self.queued_counts.get(queue, 0) + 1
        self._schedule_first_steps(job)
        self.open_due(now)
        return ("accepted", identity)

    def cancel(self, now: float, identity: str) -> Outcome:
        """Cancels a job: none of its tasks starts any more, and its runs are stopped. Outcomes: ("cancelled",
        identity), ("final", state) for a job that is over, or ("missing", identity).
        """
        job = self.jobs.get(identity)
        if job is None:
            final = self.final.get(identity)
            return ("final", final.state) if final else ("missing", identity)
        self._finish(now, job, JOB_CANCELLED)
        return ("cancelled", identity)

    def cancel_unknown(self, now: float, items: Sequence[Sequence[str]]) -> Outcome:
        """Cancels jobs that the leader did not know when it was asked to. Each item has the fields of the
        tombstone that is left if the job is still not there. The outcome is ("cancelled-unknown", one
        outcome for each item): those of cancel(), where "missing" leaves a tombstone; ("foreign", identity)
        for a job that the caller may not cancel; ("full", identity) if there is no room for a tombstone.
        """
        outcomes = tuple(self._cancel_unknown(now, Tombstone(*item)) for item in items)
        return ("cancelled-unknown", outcomes)

    def _cancel_unknown(self, now: float, tombstone: Tombstone) -> Outcome:
        """Applies one item of cancel_unknown()."""
        identity = tombstone.identity
        job = self.jobs.get(identity) or self.final.get(identity)
        if job is not None:
            may_cancel = tombstone.covers(job.queue, job.tenant)
            return self.cancel(now, identity) if may_cancel else ("foreign", identity)
        return ("missing" if self.tombstones.leave(now, tombstone) else "full", identity)

    def _finish(self, now: float, job: LeasedJob, state: str) -> None:
        """Replaces a job by its final record."""
        del self.jobs[job.identity]
        self.job_bytes -= job.cost
        self.lasting_jobs -= job.lasts
        if not job.begun:
            self.queued_counts[job.queue] -= 1
        for batch in job.batches.values():
            self._remove_ready(batch)
        for number in job.next_times:
            self.upcoming.drop((job.identity, number))
        self._add_final(now, job.identity, FinalJob(state, now, job.queue, job.digest, job.tenant))

    def _add_final(self, now: float, identity: str, record: FinalJob) -> None:
        """Adds the record of a job that is over, and drops records that are too old or too many."""
        self.final[identity] = record
        for older, final in list(itertools.islice(self.final.items(), constants.FINAL_SWEEP)):
            if final.ended + constants.FINAL_LASTS > now and len(self.final) <= constants.MAX_FINAL_JOBS:
                break
            del self.final[older]

    def assign(self, now: float, epoch: int, items: Sequence[TaskBatchAssignment]) -> tuple[Placement, ...]:
        """Places waiting tasks on workers and returns their placements. Each item is (job, time, number,
        ((index, worker), ...)). The tasks of a gang are placed all together or not at all.
        """
        placements = []
        for identity, time, number, pairs in items:
            job = self.jobs.get(identity)
            if job is None:
                continue
            batch = job.batch(time, number)
            if batch is None or batch.open_predecessors or batch.is_partly_placed() or now < batch.due:
                continue
            assigned = [
                (index, worker_id) for index, worker_id in dict(pairs).items() if index in batch.waiting
            ]
            if batch.step.gang and (
                len(assigned) != batch.open_tasks or not self._tenant_admits(batch, len(assigned))
            ):
                continue
            placements.extend(self._place_tasks(now, epoch, batch, assigned))
            if not job.begun and assigned:
                job.begun = True
                self.queued_counts[job.queue] -= 1
            self._update_ready(batch)
        return tuple(placements)

    def _place_tasks(
        self, now: float, epoch: int, batch: TaskBatch, assigned: list[tuple[int, str]]
    ) -> list[Placement]:
        """Places waiting tasks of one batch and returns their placements; `assigned` lists (index of a task,
        worker). All members of a gang get the same new run number.
        """
        job, step, placements = batch.job, batch.step, []
        batch.begun = True
        gang_run = max(task.run for task in batch.tasks) + 1 if step.gang else 0
        for index, worker_id in assigned:
            task = batch.tasks[index]
            if not step.lasts and not step.gang and task.failures >= job.attempts:
                continue
            if not step.gang and not self._tenant_admits(batch, 1):
                break
            task.run = gang_run if step.gang else task.run + 1
            task.state, task.worker_id = PLACED, worker_id
            job.placed_tasks += 1
            batch.waiting.discard(index)
            placement = Placement(
                job.identity,
                batch.time,
                batch.number,
                index,
                task.run,
                worker_id,
                step.resources,
                job.service,
                job.priority,
                now,
                epoch,
                tenant=job.tenant,
            )
            self._add_placement(placement)
            placements.append(placement)
        return placements

    def _tenant_admits(self, batch: TaskBatch, count: int) -> bool:
        """Whether the maximum of a batch's tenant admits `count` more of its tasks beside those placed."""
        tenant = self.tenants.limited(batch.job.tenant)
        if tenant is None:
            return True
        used = self.used_by_tenant.get(tenant.name, NO_RESOURCES)
        if count > 1:
            return tenant.admits(used, multiply(batch.step.resources, count))
        return tenant.admits_task(used, batch.step.resources)

    def stop(self, now: float, items: Sequence[StopItem]) -> Outcome:
        """Marks runs as to be stopped. Each item is (worker, reference, run, reason)."""
        for worker_id, reference, run, reason in items:
            placement = self.placements.get(worker_id, {}).get((reference, run))
            if placement is not None and not placement.stop:
                placement.stop = reason
        return ("ok",)

    def end(self, now: float, items: Sequence[RunEndItem]) -> Outcome:
        """Applies proven ends of runs. Each item is (worker, reference, run, how it ended, saved progress,
        whether the worker reported the end itself). An end that the worker reported is not reported again.
        The outcome is ("ended", one END_... constant for each item).
        """
        outcomes = []
        for worker_id, reference, run, how, saved, reported in items:
            placement = self._remove_placement(worker_id, (reference, run))
            outcomes.append(self._apply_end(now, placement, reference, run, how, saved, reported))
        return ("ended", tuple(outcomes))

    def _apply_end(
        self,
        now: float,
        placement: Placement | None,
        reference: str,
        run: int,
        how: str,
        saved: str,
        reported: bool,
    ) -> str:
        """Applies the end of one run, whose placement was removed before. Returns an END_... constant."""
        identity, *indices = reference.split(".")
        job = self.jobs.get(identity)
        if job is None:
            return END_JOB_NOT_OPEN
        time, number, index = map(int, indices)
        batch = job.batches.get((time, number))
        if batch is None or index >= len(batch.tasks):
            return END_STALE if job.has_task(time, number, index) else END_NO_SUCH_TASK
        task = batch.tasks[index]
        is_current = placement is not None and task.state == PLACED and task.run == run
        if not is_current:
            if run not in task.unreported_runs or not reported:
                return END_STALE
            task.unreported_runs -= {run}
        elif not reported and how != RUN_NEVER_STARTED:
            task.unreported_runs |= {run}
        batch.store_saved_progress(task, run, saved)
        if task.state == DONE:
            return END_STALE
        if how == RUN_DONE and not batch.step.lasts:
            return self._complete_task(now, job, batch, index)
        if how == RUN_FAILED and not batch.step.lasts and batch.count_failure(task, run):
            self._finish(now, job, JOB_FAILED)
            return END_FAILED
        if is_current:
            self._requeue_task(now, batch, index)
        return END_REQUEUED

    def _requeue_task(self, now: float, batch: TaskBatch, index: int) -> None:
        """Lets a task whose newest run has ended wait for another run."""
        task = batch.tasks[index]
        task.state, task.worker_id = WAITING, ""
        batch.job.placed_tasks -= 1
        batch.waiting.add(index)
        batch.waiting_since = now
        self._update_ready(batch)

    def _complete_task(self, now: float, job: LeasedJob, batch: TaskBatch, index: int) -> str:
        """Marks a task as done, and with one member of a gang the whole gang. Completes the job if it was the
        last one. Returns END_DONE or END_COMPLETED.
        """
        for done_index in range(len(batch.tasks)) if batch.step.gang else (index,):
            if batch.tasks[done_index].state != DONE:
                job.placed_tasks -= batch.tasks[done_index].state == PLACED
                batch.tasks[done_index].state = DONE
                batch.waiting.discard(done_index)
                batch.open_tasks -= 1
        self._update_ready(batch)
        if not batch.open_tasks:
            job.open_batches -= 1
            for number in job.successors[batch.number]:
                self._predecessor_done(now, job, batch.time, number)
            if not job.open_batches:
                self._finish(now, job, JOB_COMPLETED)
                return END_COMPLETED
        return END_DONE

    def _predecessor_done(self, now: float, job: LeasedJob, time: int, number: int) -> None:
        """Lets a batch wait for one predecessor less."""
        built = job.batches.get((time, number))
        if built is not None:
            built.open_predecessors -= 1
        batch = built or self._known_batch(job, time, number)
        batch.waiting_since = max(batch.due, now)
        self._update_ready(batch)

    def configure(
        self, now: float, base: int, document: Document, digest: str, with_tenants: bool = False
    ) -> Outcome:
        """Replaces the whole configuration, with the arguments of Configuration.replace."""
        return self.configuration.replace(base, document, digest, with_tenants)

    def amend(
        self,
        now: float,
        base: int,
        version: Any,
        upserts: dict[str, Any],
        removes: dict[str, Any],
        digest: str,
        with_tenants: bool = False,
    ) -> Outcome:
        """Changes named items of the configuration, with the arguments of Configuration.amend."""
        return self.configuration.amend(base, version, upserts, removes, digest, with_tenants)

    def evacuate(
        self, now: float, zone: str, begun: bool, index: int, confirmed: int | None = None
    ) -> Outcome:
        """Applies an order that begins or ends the evacuation of a zone, from the log entry `index`.
        `confirmed` is described at Evacuations.apply_order; members of level 2 propose orders without it.
        """
        if confirmed is None:
            return self.evacuations.apply_unconfirmed_order(index, now, zone, begun)
        return self.evacuations.apply_order(index, now, zone, begun, confirmed)


def _taken_from(images: Sequence[Image]) -> Iterator[Image]:
    """The images one by one. Each is removed from a decoded list, so that its memory is free for what is
    built from it.
    """
    if not isinstance(images, list):
        yield from images
        return
    images.reverse()
    while images:
        yield images.pop()
