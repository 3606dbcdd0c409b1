"""What the leader does for the board: beats, ends, starts in answers to beats, lapsed holds.

It keeps no promise in memory alone: what it decides goes through the log first.
"""

import collections

from ..common import constants, events
from . import policy as policies
from .assigner import Assigner
from .leases import LeaseWatch
from .progress import ProgressWatch
from .run_ends import EndIntake
from .run_speed import Pace
from .worker import Worker


class AssignmentManager:
    """Invariants: empty unless its accord leads; a start is answered only while the lease
    stands, to a beat that is fresh, for a committed placement that is still wanted and whose
    end is not being proposed; an absence proves that a run never started only in a fresh
    beat, of a placement of this leader's own epoch or once older leaders' answers are dead."""

    def __init__(self, core, now, policy=policies.DEFAULT):
        self.core, self.since, self.policy = core, now, policy
        self.workers = {}
        self.deferred_heartbeats = {}  # identity -> (reply address, token, taken at) of beats to be answered
        self.answers_to_check = {}  # of those, whose answer may be due
        self.idle_heartbeats = (
            collections.deque()
        )  # (taken at, identity) of beats of idle workers, oldest first
        self.pace = Pace(core.far)
        self.ends = EndIntake(core, self.pace)
        self.leases = LeaseWatch(core, now)
        self.assigner = Assigner(self.pace, policy)
        self.progress = ProgressWatch(self.pace, policy)
        self.assigning = 0  # entries that assign and are not yet applied
        self.assigned = {}  # minion -> runs proposed for it
        self.stopping = set()  # (reference, run) whose stop is proposed
        self.flushed = self.looked = self.placed_at = -1e9
        self.due = True
        self.counts = {"beats": 0, "starts": 0, "stops": 0}
        self.end_counts = collections.Counter()  # how a run ended -> runs
        self.stop_counts = collections.Counter()  # why a run is to end -> runs

    @property
    def leased_jobs(self):
        return self.core.cluster_state.leased_jobs

    # --- beats ------------------------------------------------------------------------
    def take_heartbeat(self, identity, heartbeat, address, token, now):
        """A worker's beat; it is answered by flush()."""
        self.counts["beats"] += 1
        worker = self.workers.get(identity)
        if worker is None:
            worker = self.workers[identity] = Worker(identity, now)
        if not worker.take_heartbeat(heartbeat, now):
            self.core.answer(address, token, (200, {}, None))
            return
        older = self.deferred_heartbeats.pop(identity, None)
        if older is not None:
            self.core.answer(older[0], older[1], (200, {}, None))
        self.ends.take(worker, heartbeat["ended"])
        self._take_absences(worker, now)
        self.deferred_heartbeats[identity] = (address, token, now)
        self.answers_to_check[identity] = True
        self.due = self.due or worker.scheduling_state != worker.previous_scheduling_state

    def leave(self, identity, now):
        """A worker says that it ends now."""
        self.leases.leave(identity, now)

    def _take_absences(self, worker, now):
        """A run neither running nor ended in a fresh beat never started from an earlier answer."""
        if worker.stale or worker.heartbeats < 2:
            return
        for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
            if (reference, run) in worker.running or (reference, run) in worker.listed:
                continue
            if placement.epoch != self.core.epoch and now - self.since < constants.REPORT_GATHERING:
                continue
            if not self.leased_jobs.wanted(placement) or not self._open_for(worker):
                self.ends.propose(worker.identity, reference, run, "unsent", "", False)

    def _open_for(self, worker):
        """Whether a worker may be told to start anything."""
        return worker.state == "ready" and worker.zone not in self.leased_jobs.evacuated

    def _gone(self, identity, why):
        """A worker's life is over: what it ran has ended."""
        worker = self.workers.pop(identity, None)
        deferred = self.deferred_heartbeats.pop(identity, None)
        if deferred is not None:
            self.core.answer(deferred[0], deferred[1], (200, {}, None))
        for (reference, run), _placement in self.leased_jobs.placements.get(identity, {}).items():
            saved = worker.running.get((reference, run), ("", 0))[0] if worker else ""
            self.ends.propose(identity, reference, run, "lapsed", saved, False)
        self.core._event(180, minion=identity, why=why)

    # --- answers ----------------------------------------------------------------------
    def flush(self, now):
        """Answers the beats whose ends are agreed on, or that have waited long enough."""
        if not self.deferred_heartbeats or not self.core.leased(now):
            return
        while self.idle_heartbeats and now - self.idle_heartbeats[0][0] >= constants.IDLE_HEARTBEAT_DEFERRAL:
            self.answers_to_check[self.idle_heartbeats.popleft()[1]] = True
        for identity in list(self.answers_to_check):
            if identity not in self.deferred_heartbeats:
                del self.answers_to_check[identity]
                continue
            worker = self.workers[identity]
            address, token, taken = self.deferred_heartbeats[identity]
            if now - taken < constants.HEARTBEAT_DEFERRAL and (worker.pending or self.assigned.get(identity)):
                continue
            del self.answers_to_check[identity]
            if now - taken < constants.IDLE_HEARTBEAT_DEFERRAL and self._idle(worker):
                self.idle_heartbeats.append((taken, identity))
                continue
            del self.deferred_heartbeats[identity]
            self.core.answer(address, token, (200, self._orders(worker, taken, now), None))

    def _idle(self, worker):
        """Whether nothing can be said to a worker that has nothing to say: where there are many its beat
        stays open, so that a start reaches it at once; what runs nothing has no end to tell meanwhile."""
        return (
            self.policy.defer_idle_heartbeats
            and self._pace() > constants.HEARTBEAT_INTERVAL
            and worker.state == "ready"
            and not worker.running
            and not worker.listed
            and worker.heartbeats > 1
            and worker.identity not in self.leased_jobs.placements
        )

    def _orders(self, worker, taken, now):
        """What a worker is told in answer to its newest heartbeat, taken at `taken`; the keys are those of
        the users' page on workers."""
        placements = self.leased_jobs.placements.get(worker.identity, {})
        strays = [key for key in worker.running if key not in placements]
        start, unwanted = self._starts_and_stops(worker, placements, not strays, now)
        for reference, run in strays:
            self.core._event(156, minion=worker.identity, task=reference, run=run)
        stop = (*strays, *unwanted)
        worker.leased_from = taken
        self.counts["starts"] += len(start)
        self.counts["stops"] += len(stop)
        return {
            "hold_ms": int(self.core.lease_duration * 1000),
            "seen": worker.acknowledged(),
            "fence": self.core.epoch,
            "start": tuple(start),
            "stop": stop,
            "home": self.core.address,
            "again_ms": int(1000 * self._next_heartbeat(worker, placements, start)),
        }

    def _starts_and_stops(self, worker, placements, may_start, now):
        """What of its placements a worker is to start, and which (reference, run) it is to stop."""
        start, stop = [], []
        for key, placement in placements.items():
            wanted = self.leased_jobs.wanted(placement)
            if key in worker.running:
                if not wanted:
                    stop.append(key)
            elif (
                may_start
                and key not in worker.listed
                and wanted
                and self._open_for(worker)
                and not worker.stale
                and (worker.identity, *key) not in self.ends.proposed
            ):
                start.append(self._start(worker, key, placement, now))
        return start, stop

    def _start(self, worker, key, placement, now):
        """Notes that a placed run's start is answered; (reference, run, spec, saved) as the answer has it."""
        reference, run = key
        wave, task = self.leased_jobs.task(placement)
        self.core.trace(189, task=reference, run=run, minion=worker.identity)
        self.pace.start(worker.identity, reference, run, self.pace.is_far(wave, worker), now)
        return (reference, run, wave.job.spec, task.saved)

    def _next_heartbeat(self, worker, placements, start):
        """Seconds until a worker's next heartbeat: one that can take no more work is asked less often."""
        taken_up = sum(one.resources[0] for one in placements.values())
        has_capacity = worker.state == "ready" and taken_up < worker.capacity[0]
        return self._pace() if has_capacity or start else constants.HEARTBEAT_INTERVAL_FULL

    def _pace(self):
        """Seconds until a worker with room beats again: more of them beat less often."""
        return min(
            constants.HEARTBEAT_INTERVAL_FULL,
            max(constants.HEARTBEAT_INTERVAL, len(self.workers) * constants.HEARTBEAT_INTERVAL_PER_WORKER),
        )

    # --- time -------------------------------------------------------------------------
    def tick(self, now):
        """Proposes what was gathered, places, and lets go of what has lapsed."""
        self.flushed = now
        self.ends.flush(now)
        if now - self.looked >= constants.WATCH_EVERY:
            self.looked = now
            self._watch(now)
        rest = constants.ROUND_REST * (len(self.leased_jobs.ready) + len(self.workers))
        if now - self.placed_at >= (
            rest if self.due and not self.assigning else max(rest, constants.PLACE_IDLE)
        ):
            self._assign(now)

    def _assign(self, now):
        if self.assigning:
            return
        self.due, self.placed_at = False, now
        items, stops = self.assigner.round(self.leased_jobs, self.workers, self, now, self.core._now(now))
        for violation in self.assigner.violations:
            self.core._event(events.PLACING_VIOLATED, **violation._asdict())
        if items:
            self.assigning += 1
            for _, _, _, group in items:
                for _, worker_id in group:
                    self.assigned[worker_id] = self.assigned.get(worker_id, 0) + 1
            self.core.propose(("job-assign", self.core.epoch, items), None, now)
        self._stop(stops, now)

    def _watch(self, now):
        """Holds that have lapsed, workers that said they end, and those long silent."""
        for identity, why in self.leases.over(self.workers, self.ends, now):
            self._gone(identity, why)
        self.pace.forget(self.leased_jobs.jobs)
        self._copy_what_may_run_twice(now)
        self._stop(self.progress.look(self.workers, self.leased_jobs, self.stopping, now), now)
        for worker_id, reference, run in self.progress.take_misjudged():
            self.core._event(185, minion=worker_id, task=reference, run=run)
        for identity in [
            one
            for one, worker in self.workers.items()
            if now - worker.heard_at > constants.WORKER_FORGET_AFTER
            and one not in self.leased_jobs.placements
        ]:
            del self.workers[identity]

    def _copy_what_may_run_twice(self, now):
        """What a silent worker runs is let go at once where the step says that a second run does no
        harm; should the first be done before, its late end still counts."""
        for worker in self.workers.values():
            if not worker.unresponsive(now):
                continue
            for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
                found = self.leased_jobs.task(placement)
                if (
                    found is not None
                    and found[0].step.twice
                    and not found[0].step.gang
                    and not found[0].step.lasts
                ):
                    saved = worker.running.get((reference, run), ("", 0))[0]
                    self.ends.propose(worker.identity, reference, run, "lapsed", saved, False)

    def _stop(self, stops, now):
        """Proposes that runs end; each is (minion, reference, run, why)."""
        if stops:
            self.stopping.update((reference, run) for _, reference, run, _ in stops)
            for worker_id, reference, run, why in stops:
                self.stop_counts[why] += 1
                self.core._event(183, minion=worker_id, task=reference, run=run, why=why)
            self.core.propose(("job-stop", self.core.epoch, stops), None, now)

    # --- what was agreed --------------------------------------------------------------
    def ended(self, index, items, outcomes):
        """An entry of ends was applied."""
        self.due = True
        for (worker_id, reference, run, how, _, heard), result in zip(items, outcomes, strict=False):
            self.end_counts[how] += 1
            self.stopping.discard((reference, run))
            self.progress.ended(worker_id, reference, run, how)
            worker = self.workers.get(worker_id)
            if worker is not None and heard:
                if how in ("done", "failed"):
                    worker.judge(how == "done")
                elif how == "refused" and self.policy.avoid_troubled_workers:
                    worker.avoided_until = self.core.step_at + constants.AVOID_AFTER_REFUSAL
            self.core._event(155, task=reference, attempt=run, how=how, result=result)
        self.ends.applied(index, items, self.workers)

    def applied_assign(self, items):
        self.due = True
        self.assigning = max(0, self.assigning - 1)
        for _, _, _, group in items:
            for _, worker_id in group:
                self.answers_to_check[worker_id] = True
                left = self.assigned.get(worker_id, 0) - 1
                if left > 0:
                    self.assigned[worker_id] = left
                else:
                    self.assigned.pop(worker_id, None)
