"""What is agreed on about leased jobs: the jobs, their placements, the configuration of routes and services
and the evacuated zones. A deterministic part of the cluster state.

Every operation is an entry of the log; what it decides is the same at every control daemon. Its outcome is
a tuple: a word, and what belongs to it. Times are those of the cluster state, seconds.
"""

import itertools
from collections.abc import Sequence
from typing import Any, NamedTuple, Self

from ..common import constants
from .configuration import Configuration
from .evacuation import Evacuations
from .leased_job import DONE, PLACED, WAITING, LeasedJob, PlainJob, Task, Wave, WaveKey
from .placement import RUN_DONE, RUN_FAILED, RUN_NEVER_STARTED, Placement, Placements, RunEndItem, RunKey
from .plain_types import Document, Image, Outcome
from .resources import NO_RESOURCES, Amount, Level, Resources, less, more, times
from .run_stop import StopItem
from .tenants import Tenants

# The state of a job, as callers are told it.
JOB_QUEUED = "queued"  # no task was ever placed
JOB_RUNNING = "running"
JOB_COMPLETED = "completed"
JOB_FAILED = "failed"  # a task or a gang has used up its attempts
JOB_CANCELLED = "cancelled"

# What followed from a run's end, as the operation "job-ended" tells it, item by item, and event 155 logs it.
END_DONE = "done"  # the task, or its whole gang, is done
END_COMPLETED = "completed"  # and with it the job
END_FAILED = "failed"  # it was the last attempt: the job has failed
END_AGAIN = "again"  # the task waits for another run
END_STALE = "stale"  # it was known already, or says nothing any more
END_LATE = "late"  # the job is over or was never known
END_UNKNOWN = "unknown"  # the job has no such task

# An item of the operation "job-assign": (job, time, number of the step, ((index of a task, worker), ...)).
WaveAssignment = tuple[str, int, int, tuple[tuple[int, str], ...]]


class FinalJob(NamedTuple):
    """What is kept of a job that is over, for FINAL_LASTS seconds at the most."""

    state: str  # JOB_COMPLETED, JOB_FAILED or JOB_CANCELLED
    ended: float  # time of the cluster state, seconds
    queue: str
    digest: str  # tells two jobs under one name apart
    tenant: str = ""  # its name, "" for a job of none

    def image(self) -> Image:
        """A value of which the same is made again; as LeasedJob.image for a job of no tenant."""
        return tuple(self) if self.tenant else tuple(self)[:-1]


class LeasedJobState:
    """Invariants: jobs holds those not final, final the state of those that are, oldest end
    first; taken, used and used_by_tenant are the sums of the placements' resources, and no placement takes
    a tenant over its maximum (Tenant.admits_task); ready holds every wave with
    waiting tasks whose earlier steps are all done and that is not breaking;
    placements[worker] holds each run given to it whose end is not proven.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, LeasedJob] = {}
        self.final: dict[str, FinalJob] = {}  # by identity
        self.placements: dict[str, Placements] = {}  # worker -> {(reference, run): Placement}
        # worker -> [thousandths of a core, megabytes, accelerators] of its placements
        self.taken: dict[str, list[float]] = {}
        self.used: dict[Level, list[float]] = {}  # (service, priority) -> the same of all placements
        self.used_by_tenant: dict[str, Amount] = {}  # name of a tenant -> the same of its placements
        self.configuration = Configuration()
        self.evacuations = Evacuations()
        self.ready: dict[WaveKey, Wave] = {}  # by key
        self.counts: dict[str, int] = {}  # queue -> jobs not yet begun

    # --- image ------------------------------------------------------------------------
    def image(self) -> Image:
        """A value of which the same is made again."""
        return (
            tuple(job.image() for job in self.jobs.values()),
            tuple((identity, *final.image()) for identity, final in self.final.items()),
            tuple(one.image() for placements in self.placements.values() for one in placements.values()),
            self.configuration.image(),
            self.evacuations.image(),
        )

    @classmethod
    def from_image(cls, image: Image) -> Self:
        """The state that an image was made of."""
        leased_jobs = cls()
        jobs, final, placements, configuration, evacuations = image
        leased_jobs.configuration = Configuration(*configuration)
        leased_jobs.evacuations = Evacuations(*evacuations)
        leased_jobs.final = {identity: FinalJob(*rest) for identity, *rest in final}
        for one in placements:
            placement = Placement(*one)
            leased_jobs._add_placement(placement)
        for one in jobs:
            job = LeasedJob.from_image(one)
            leased_jobs.jobs[job.identity] = job
            if not job.begun:
                leased_jobs.counts[job.queue] = leased_jobs.counts.get(job.queue, 0) + 1
            for wave in job.waves.values():
                leased_jobs._index(wave)
        return leased_jobs

    @property
    def evacuated(self) -> dict[str, float]:
        """The zones that are evacuated, and since when."""
        return self.evacuations.since

    @property
    def tenants(self) -> Tenants:
        """The tenants of the configuration in force."""
        return self.configuration.tenants

    def _index(self, wave: Wave) -> None:
        """Puts a wave among the ready, or takes it out."""
        if wave.waiting and not wave.blocked and not wave.breaking():
            self.ready[wave.key()] = wave
        else:
            self.ready.pop(wave.key(), None)

    def _add_placement(self, placement: Placement) -> None:
        """Counts the resources of a run that is placed."""
        self.placements.setdefault(placement.worker_id, {})[(placement.reference(), placement.run)] = (
            placement
        )
        worker_id, level = placement.worker_id, (placement.service, placement.priority)
        self.taken[worker_id] = list(more(self.taken.get(worker_id, NO_RESOURCES), placement.resources))
        self.used[level] = list(more(self.used.get(level, NO_RESOURCES), placement.resources))
        if placement.tenant:
            used = self.used_by_tenant.get(placement.tenant, NO_RESOURCES)
            self.used_by_tenant[placement.tenant] = more(used, placement.resources)

    def _remove_placement(self, worker_id: str, key: RunKey) -> Placement | None:
        """A run takes nothing any more; its placement, or None when there was none."""
        placements = self.placements.get(worker_id, {})
        placement = placements.pop(key, None)
        if placement is None:
            return None
        level = (placement.service, placement.priority)
        self.used[level] = list(less(self.used[level], placement.resources))
        if placement.tenant:
            self._take_back(placement.tenant, placement.resources)
        if placements:
            self.taken[worker_id] = list(less(self.taken[worker_id], placement.resources))
        else:
            del self.placements[worker_id], self.taken[worker_id]
        return placement

    def _take_back(self, tenant: str, resources: Resources) -> None:
        """A tenant uses so much less; one that uses nothing is not listed."""
        left = less(self.used_by_tenant[tenant], resources)
        if any(left):
            self.used_by_tenant[tenant] = left
        else:
            del self.used_by_tenant[tenant]

    # --- reading ----------------------------------------------------------------------
    def may_name(self, tenant: str, identity: str, route: Document | None) -> bool:
        """Whether a tenant, or nobody as "", may name a job at a route: its own, one of no tenant (handed in
        where no key was asked for), or one of this very route where it is public.
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

    def task(self, placement: Placement) -> tuple[Wave, Task] | None:
        """(wave, task) that a placement still stands for, or None."""
        job = self.jobs.get(placement.job)
        wave = job.waves.get((placement.time, placement.number)) if job else None
        if wave is None:
            return None
        task = wave.tasks[placement.index]
        if task.state == PLACED and task.run == placement.run and task.worker_id == placement.worker_id:
            return wave, task
        return None

    def wanted(self, placement: Placement) -> bool:
        """Whether a placed run should start, or go on."""
        if placement.stop:
            return False
        found = self.task(placement)
        return found is not None and not found[0].breaking()

    def over_maximum(self, placement: Placement) -> bool:
        """Whether a placement's tenant has more placed of what the placement takes than it may have running
        by now, its maximum having been lowered.
        """
        tenant = self.tenants.limited(placement.tenant)
        if tenant is None:
            return False
        others = less(self.used_by_tenant[tenant.name], placement.resources)
        return not tenant.admits_task(others, placement.resources)

    # --- operations -------------------------------------------------------------------
    def accept(
        self, now: float, identity: str, queue: str, plain: PlainJob, tenant: str | None = None
    ) -> Outcome:
        """A job is handed in at a queue: ("accepted", identity), ("known", identity), ("missing", queue)
        where no such route is in force, or ("full", queue) at MAX_LEASED_JOBS. With the name of the tenant
        that hands it in also ("foreign", identity) where the job is another's, and ("unknown_tenant", tenant)
        where it is not in force any more.
        """
        route = self.configuration.routes.get(queue)
        if identity in self.jobs or identity in self.final:
            is_known = tenant is None or self.may_name(tenant, identity, route)
            return ("known" if is_known else "foreign", identity)
        if tenant and tenant not in self.tenants.by_name:
            return ("unknown_tenant", tenant)
        if route is None:
            return ("missing", queue)
        if len(self.jobs) >= constants.MAX_LEASED_JOBS:
            return ("full", queue)
        terms = (
            route["service"],
            max(1, route.get("attempts", 1)),
            route.get("priority", 0),
            route.get("aim_ms", 0),
            route.get("stretch", 1),
        )
        job = self.jobs[identity] = LeasedJob(identity, queue, terms, plain, now, tenant or "")
        self.counts[queue] = self.counts.get(queue, 0) + 1
        for wave in job.waves.values():
            wave.since = max(wave.due, now)
            self._index(wave)
        return ("accepted", identity)

    def cancel(self, now: float, identity: str) -> Outcome:
        """Nothing more of a job starts; what runs is stopped. ("cancelled", identity), ("final", state) of a
        job that is over, or ("missing", identity).
        """
        job = self.jobs.get(identity)
        if job is None:
            final = self.final.get(identity)
            return ("final", final.state) if final else ("missing", identity)
        self._finish(now, job, JOB_CANCELLED)
        return ("cancelled", identity)

    def _finish(self, now: float, job: LeasedJob, state: str) -> None:
        del self.jobs[job.identity]
        if not job.begun:
            self.counts[job.queue] -= 1
        for wave in job.waves.values():
            self.ready.pop(wave.key(), None)
        self.final[job.identity] = FinalJob(state, now, job.queue, job.digest, job.tenant)
        for identity, final in list(itertools.islice(self.final.items(), constants.FINAL_SWEEP)):
            if final.ended + constants.FINAL_LASTS > now and len(self.final) <= constants.MAX_FINAL_JOBS:
                break
            del self.final[identity]

    def assign(self, now: float, epoch: int, items: Sequence[WaveAssignment]) -> tuple[Placement, ...]:
        """Places runs. Items: (job, time, number, ((index, worker), ...)); of a gang all or none."""
        placed = []
        for identity, time, number, pairs in items:
            job = self.jobs.get(identity)
            if job is None:
                continue
            wave = job.waves.get((time, number))
            if wave is None or wave.blocked or wave.breaking() or now < wave.due:
                continue
            group = [(index, worker_id) for index, worker_id in dict(pairs).items() if index in wave.waiting]
            if wave.step.gang and (len(group) != wave.left or not self._admits(wave, len(group))):
                continue
            placed.extend(self._place(now, epoch, wave, group))
            if not job.begun and group:
                job.begun = True
                self.counts[job.queue] -= 1
            self._index(wave)
        return tuple(placed)

    def _place(self, now: float, epoch: int, wave: Wave, group: list[tuple[int, str]]) -> list[Placement]:
        """Places some of a wave's waiting tasks, each on its worker; the placements. The members of a gang
        get one run number, that of the gang.
        """
        job, step, placed = wave.job, wave.step, []
        gang_run = max(task.run for task in wave.tasks) + 1
        for index, worker_id in group:
            task = wave.tasks[index]
            if not step.lasts and not step.gang and task.failures >= job.attempts:
                continue
            if not step.gang and not self._admits(wave, 1):
                break
            task.run = gang_run if step.gang else task.run + 1
            task.state, task.worker_id = PLACED, worker_id
            wave.waiting.discard(index)
            placement = Placement(
                job.identity,
                wave.time,
                wave.number,
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
            placed.append(placement)
        return placed

    def _admits(self, wave: Wave, count: int) -> bool:
        """Whether a wave's tenant may have so many more of its tasks running at once."""
        tenant = self.tenants.limited(wave.job.tenant)
        if tenant is None:
            return True
        used = self.used_by_tenant.get(tenant.name, NO_RESOURCES)
        if count > 1:
            return tenant.admits(used, times(wave.step.resources, count))
        return tenant.admits_task(used, wave.step.resources)

    def stop(self, now: float, items: Sequence[StopItem]) -> Outcome:
        """Runs that are to end. Items: (worker, reference, run, why)."""
        for worker_id, reference, run, why in items:
            placement = self.placements.get(worker_id, {}).get((reference, run))
            if placement is not None and not placement.stop:
                placement.stop = why
        return ("ok",)

    def end(self, now: float, items: Sequence[RunEndItem]) -> Outcome:
        """Proven ends. Items: (worker, reference, run, how, saved, heard): heard says that the
        worker itself told it, so that it can't come again; what follows is told by item.
        """
        outcomes = []
        for worker_id, reference, run, how, saved, heard in items:
            placement = self._remove_placement(worker_id, (reference, run))
            outcomes.append(self._ended(now, placement, reference, run, how, saved, heard))
        return ("ended", tuple(outcomes))

    def _ended(
        self,
        now: float,
        placement: Placement | None,
        reference: str,
        run: int,
        how: str,
        saved: str,
        heard: bool,
    ) -> str:
        """What follows from the end of one run, whose placement is gone by now: an END_... word."""
        identity, *rest = reference.split(".")
        job = self.jobs.get(identity)
        if job is None:
            return END_LATE
        time, number, index = map(int, rest)
        wave = job.waves.get((time, number))
        if wave is None or index >= len(wave.tasks):
            return END_UNKNOWN
        task = wave.tasks[index]
        current = placement is not None and task.state == PLACED and task.run == run
        if not current:
            if run not in task.open_runs or not heard:
                return END_STALE
            task.open_runs.discard(run)
        elif not heard and how != RUN_NEVER_STARTED:
            task.open_runs.add(run)
        self._keep_saved(wave, task, run, saved)
        if task.state == DONE:
            return END_STALE
        if how == RUN_DONE and not wave.step.lasts:
            return self._done(now, job, wave, index)
        if how == RUN_FAILED and not wave.step.lasts and self._out_of_attempts(wave, task, run):
            self._finish(now, job, JOB_FAILED)
            return END_FAILED
        if current:
            self._wait_again(now, wave, index)
        return END_AGAIN

    def _keep_saved(self, wave: Wave, task: Task, run: int, saved: str) -> None:
        """Keeps the progress that a run saved, for the whole gang where there is one, unless a newer run
        may have saved more.
        """
        if not saved or task.state == DONE or run + 1 < task.run:
            return
        gang = wave.step.gang
        if gang and any(one.state == PLACED and one.run > run for one in wave.tasks):
            return
        for one in wave.tasks if gang else (task,):
            one.saved = saved

    def _out_of_attempts(self, wave: Wave, task: Task, run: int) -> bool:
        """Counts a failed run, a gang's once however many of its members tell it; whether it was the last
        that the job's attempts allow.
        """
        if not wave.step.gang:
            task.failures += 1
            return task.failures >= wave.job.attempts
        wave.failed_runs.add(run)
        return wave.failures >= wave.job.attempts

    def _wait_again(self, now: float, wave: Wave, index: int) -> None:
        """A task whose newest run has ended waits for another."""
        task = wave.tasks[index]
        task.state, task.worker_id = WAITING, ""
        wave.waiting.add(index)
        wave.since = now
        self._index(wave)

    def _done(self, now: float, job: LeasedJob, wave: Wave, index: int) -> str:
        """A task, or with one member the whole gang, has ended well."""
        for place in range(len(wave.tasks)) if wave.step.gang else (index,):
            if wave.tasks[place].state != DONE:
                wave.tasks[place].state = DONE
                wave.waiting.discard(place)
                wave.left -= 1
        self._index(wave)
        if not wave.left:
            job.left -= 1
            for other in job.waves.values():
                if other.time == wave.time and wave.number in other.step.after:
                    other.blocked -= 1
                    other.since = max(other.due, now)
                    self._index(other)
            if not job.left:
                self._finish(now, job, JOB_COMPLETED)
                return END_COMPLETED
        return END_DONE

    def configure(
        self, now: float, base: int, document: Document, digest: str, with_tenants: bool = False
    ) -> Outcome:
        """A whole configuration, as Configuration.replace has it."""
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
        """Named items of the configuration, as Configuration.amend has them."""
        return self.configuration.amend(base, version, upserts, removes, digest, with_tenants)

    def evacuate(
        self, now: float, zone: str, begun: bool, index: int, confirmed: int | None = None
    ) -> Outcome:
        """An order for a zone at entry `index`; `confirmed` as Evacuations.take wants it."""
        if confirmed is None:
            return self.evacuations.take_unconfirmed(index, now, zone, begun)
        return self.evacuations.take(index, now, zone, begun, confirmed)
