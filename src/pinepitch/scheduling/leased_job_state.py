"""The board: jobs, placements and the configuration, as a deterministic part of the record.

Every operation is an entry of the log; what it decides is the same at every accord.
"""

import itertools

from ..common import constants
from .configuration import Configuration
from .evacuation import Evacuations
from .leased_job import LeasedJob
from .placement import Placement

# What followed from a run's end, as the operation "job-ended" tells it, item by item, and event 155 logs it.
END_DONE = "done"  # the task, or its whole gang, is done
END_COMPLETED = "completed"  # and with it the job
END_FAILED = "failed"  # it was the last attempt: the job has failed
END_AGAIN = "again"  # the task waits for another run
END_STALE = "stale"  # it was known already, or says nothing any more
END_LATE = "late"  # the job is over or was never known
END_UNKNOWN = "unknown"  # the job has no such task


class LeasedJobState:
    """Invariants: jobs holds those not final, final the state of those that are, oldest end
    first; taken and used are the sums of the placements' rooms; ready holds every wave with
    waiting tasks whose earlier steps are all done and that is not breaking;
    placements[minion] holds each run given to it whose end is not proven."""

    def __init__(self):
        self.jobs = {}
        self.final = {}  # identity -> (state, ended, queue, digest)
        self.placements = {}  # minion -> {(reference, run): Placement}
        self.taken = {}  # minion -> [thousandths of a core, megabytes, accelerators] of its placements
        self.used = {}  # (service, priority) -> the same of all placements
        self.configuration = Configuration()
        self.evacuations = Evacuations()
        self.ready = {}  # key of a wave -> Wave
        self.counts = {}  # queue -> jobs not yet begun

    # --- image ------------------------------------------------------------------------
    def image(self):
        return (
            tuple(job.image() for job in self.jobs.values()),
            tuple((identity, *rest) for identity, rest in self.final.items()),
            tuple(one.image() for placements in self.placements.values() for one in placements.values()),
            self.configuration.image(),
            self.evacuations.image(),
        )

    @classmethod
    def from_image(cls, image):
        leased_jobs = cls()
        jobs, final, placements, configuration, evacuations = image
        leased_jobs.configuration = Configuration(*configuration)
        leased_jobs.evacuations = Evacuations(*evacuations)
        leased_jobs.final = {identity: tuple(rest) for identity, *rest in final}
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
    def evacuated(self):
        """The zones that are evacuated, and since when."""
        return self.evacuations.since

    def _index(self, wave):
        """Puts a wave among the ready, or takes it out."""
        if wave.waiting and not wave.blocked and not wave.breaking():
            self.ready[wave.key()] = wave
        else:
            self.ready.pop(wave.key(), None)

    def _add_placement(self, placement):
        """A run takes its room."""
        self.placements.setdefault(placement.worker_id, {})[(placement.reference(), placement.run)] = (
            placement
        )
        for totals, key in (
            (self.taken, placement.worker_id),
            (self.used, (placement.service, placement.priority)),
        ):
            totals[key] = [
                one + more for one, more in zip(totals.get(key, (0, 0, 0)), placement.resources, strict=False)
            ]

    def _remove_placement(self, worker_id, key):
        """A run's room is free again; its placement, or None when there was none."""
        placements = self.placements.get(worker_id, {})
        placement = placements.pop(key, None)
        if placement is None:
            return None
        self.used[(placement.service, placement.priority)] = [
            one - less
            for one, less in zip(
                self.used[(placement.service, placement.priority)], placement.resources, strict=False
            )
        ]
        if placements:
            self.taken[worker_id] = [
                one - less for one, less in zip(self.taken[worker_id], placement.resources, strict=False)
            ]
        else:
            del self.placements[worker_id], self.taken[worker_id]
        return placement

    # --- reading ----------------------------------------------------------------------
    def state(self, identity):
        """The state of a job, or None when there is none."""
        job = self.jobs.get(identity)
        if job is not None:
            return "running" if job.begun else "queued"
        final = self.final.get(identity)
        return final[0] if final else None

    def task(self, placement):
        """(wave, task) that a placement still stands for, or None."""
        job = self.jobs.get(placement.job)
        wave = job.waves.get((placement.time, placement.number)) if job else None
        if wave is None:
            return None
        task = wave.tasks[placement.index]
        if task.state == "placed" and task.run == placement.run and task.worker_id == placement.worker_id:
            return wave, task
        return None

    def wanted(self, placement):
        """Whether a placed run should start, or go on."""
        if placement.stop:
            return False
        found = self.task(placement)
        return found is not None and not found[0].breaking()

    # --- operations -------------------------------------------------------------------
    def accept(self, now, identity, queue, plain):
        """A job is handed in at a queue."""
        job = self.jobs.get(identity)
        if job is not None or identity in self.final:
            return ("known", identity)
        route = self.configuration.routes.get(queue)
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
        job = self.jobs[identity] = LeasedJob(identity, queue, terms, plain, now)
        self.counts[queue] = self.counts.get(queue, 0) + 1
        for wave in job.waves.values():
            wave.since = max(wave.due, now)
            self._index(wave)
        return ("accepted", identity)

    def cancel(self, now, identity):
        """Nothing more of a job starts; what runs is stopped."""
        job = self.jobs.get(identity)
        if job is None:
            final = self.final.get(identity)
            return ("final", final[0]) if final else ("missing", identity)
        self._finish(now, job, "cancelled")
        return ("cancelled", identity)

    def _finish(self, now, job, state):
        del self.jobs[job.identity]
        if not job.begun:
            self.counts[job.queue] -= 1
        for wave in job.waves.values():
            self.ready.pop(wave.key(), None)
        self.final[job.identity] = (state, now, job.queue, job.digest)
        for identity, (_, ended, *_) in list(itertools.islice(self.final.items(), constants.FINAL_SWEEP)):
            if ended + constants.FINAL_LASTS > now and len(self.final) <= constants.MAX_FINAL_JOBS:
                break
            del self.final[identity]

    def assign(self, now, epoch, items):
        """Places runs. Items: (job, time, number, ((index, minion), ...)); of a gang all or none."""
        placed = []
        for identity, time, number, pairs in items:
            job = self.jobs.get(identity)
            wave = job.waves.get((time, number)) if job else None
            if wave is None or wave.blocked or wave.breaking() or now < wave.due:
                continue
            group = [(index, worker_id) for index, worker_id in dict(pairs).items() if index in wave.waiting]
            if wave.step.gang and len(group) != wave.left:
                continue
            placed.extend(self._place(now, epoch, wave, group))
            if not job.begun and group:
                job.begun = True
                self.counts[job.queue] -= 1
            self._index(wave)
        return tuple(placed)

    def _place(self, now, epoch, wave, group):
        """Places some of a wave's waiting tasks, each on its worker; the placements. The members of a gang
        get one run number, that of the gang."""
        job, step, placed = wave.job, wave.step, []
        gang_run = max(task.run for task in wave.tasks) + 1
        for index, worker_id in group:
            task = wave.tasks[index]
            if not step.lasts and not step.gang and task.failures >= job.attempts:
                continue
            task.run = gang_run if step.gang else task.run + 1
            task.state, task.worker_id = "placed", worker_id
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
            )
            self._add_placement(placement)
            placed.append(placement)
        return placed

    def stop(self, now, items):
        """Runs that are to end. Items: (minion, reference, run, why)."""
        for worker_id, reference, run, why in items:
            placement = self.placements.get(worker_id, {}).get((reference, run))
            if placement is not None and not placement.stop:
                placement.stop = why
        return ("ok",)

    def end(self, now, items):
        """Proven ends. Items: (minion, reference, run, how, saved, heard): heard says that the
        minion itself told it, so that it can't come again; what follows is told by item."""
        outcomes = []
        for worker_id, reference, run, how, saved, heard in items:
            placement = self._remove_placement(worker_id, (reference, run))
            outcomes.append(self._ended(now, placement, reference, run, how, saved, heard))
        return ("ended", tuple(outcomes))

    def _ended(self, now, placement, reference, run, how, saved, heard):
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
        current = placement is not None and task.state == "placed" and task.run == run
        if not current:
            if run not in task.open_runs or not heard:
                return END_STALE
            task.open_runs.discard(run)
        elif not heard and how != "unsent":
            task.open_runs.add(run)
        self._keep_saved(wave, task, run, saved)
        if task.state == "done":
            return END_STALE
        if how == "done" and not wave.step.lasts:
            return self._done(now, job, wave, index)
        if how == "failed" and not wave.step.lasts and self._out_of_attempts(wave, task, run):
            self._finish(now, job, "failed")
            return END_FAILED
        if current:
            self._wait_again(now, wave, index)
        return END_AGAIN

    def _keep_saved(self, wave, task, run, saved):
        """Keeps the progress that a run saved, for the whole gang where there is one, unless a newer run
        may have saved more."""
        if not saved or task.state == "done" or run + 1 < task.run:
            return
        gang = wave.step.gang
        if gang and any(one.state == "placed" and one.run > run for one in wave.tasks):
            return
        for one in wave.tasks if gang else (task,):
            one.saved = saved

    def _out_of_attempts(self, wave, task, run):
        """Counts a failed run, a gang's once however many of its members tell it; whether it was the last
        that the job's attempts allow."""
        if not wave.step.gang:
            task.failures += 1
            return task.failures >= wave.job.attempts
        wave.failed_runs.add(run)
        return wave.failures >= wave.job.attempts

    def _wait_again(self, now, wave, index):
        """A task whose newest run has ended waits for another."""
        task = wave.tasks[index]
        task.state, task.worker_id = "waiting", ""
        wave.waiting.add(index)
        wave.since = now
        self._index(wave)

    def _done(self, now, job, wave, index):
        """A task, or with one member the whole gang, has ended well."""
        for place in range(len(wave.tasks)) if wave.step.gang else (index,):
            if wave.tasks[place].state != "done":
                wave.tasks[place].state = "done"
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
                self._finish(now, job, "completed")
                return END_COMPLETED
        return END_DONE

    def configure(self, now, base, document, digest):
        return self.configuration.take(base, document, digest)

    def amend(self, now, base, version, upserts, removes, digest):
        return self.configuration.amend(base, version, upserts, removes, digest)

    def evacuate(self, now, zone, begun, index, confirmed=None):
        """An order for a zone at entry `index`; `confirmed` as Evacuations.take wants it."""
        if confirmed is None:
            return self.evacuations.take_unconfirmed(index, now, zone, begun)
        return self.evacuations.take(index, now, zone, begun, confirmed)
