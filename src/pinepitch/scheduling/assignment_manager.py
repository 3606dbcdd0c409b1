"""What the leader does for leased jobs: takes heartbeats and ends, answers heartbeats with starts and stops,
places what is ready, and watches for leases that have lapsed.

It keeps no guarantee in memory alone: what it decides goes through the log first. A new leader starts with
an empty one, and learns from the heartbeats what runs.
"""

import collections
from collections.abc import Sequence
from typing import Any, NamedTuple

from ..common import constants, events
from ..model.decisions import Answer
from . import policy as policies
from .assigner import Assigner
from .daemon_interface import Daemon
from .leased_job_state import LeasedJobState, WaveAssignment
from .leases import LeaseWatch
from .placement import (
    RUN_DONE,
    RUN_FAILED,
    RUN_LAPSED,
    RUN_NEVER_STARTED,
    RUN_REFUSED,
    Placement,
    Placements,
    RunEndItem,
    RunKey,
)
from .plain_types import Document
from .progress import ProgressWatch
from .run_ends import EndIntake
from .run_speed import Pace
from .run_stop import StopItem
from .worker import READY, Worker

# What a worker is told of a run that it is to start: (reference, run, spec of the job, saved progress).
Start = tuple[str, int, str, str]


class DeferredHeartbeat(NamedTuple):
    """A heartbeat that is not answered yet: of each worker the newest."""

    address: str  # of the daemon that forwarded it
    token: Any  # what its answer is addressed with
    taken_at: float  # by the leader's clock, seconds


class IdleHeartbeat(NamedTuple):
    """A heartbeat of an idle worker, which stays open for IDLE_HEARTBEAT_DEFERRAL seconds."""

    taken_at: float  # by the leader's clock, seconds
    identity: str  # of the worker


class AssignmentManager:
    """Invariants: empty unless its daemon leads; a start is answered only while the leader's lease
    stands, to a heartbeat that is fresh, for a committed placement that is still wanted and whose
    end is not being proposed; an absence proves that a run never started only in a fresh
    heartbeat, of a placement of this leader's own epoch or once older leaders' answers are dead.
    """

    def __init__(self, core: Daemon, now: float, policy: policies.Policy = policies.DEFAULT) -> None:
        # since when this daemon leads, by its clock, seconds
        self.core, self.since, self.policy = core, now, policy
        self.workers: dict[str, Worker] = {}
        # identity of a worker -> DeferredHeartbeat
        self.deferred_heartbeats: dict[str, DeferredHeartbeat] = {}
        self.answers_to_check: dict[str, bool] = {}  # of those, whose answer may be due
        # IdleHeartbeats, oldest first
        self.idle_heartbeats: collections.deque[IdleHeartbeat] = collections.deque()
        self.pace = Pace(core.far)
        self.ends = EndIntake(core, self.pace)
        self.leases = LeaseWatch(core, now)
        self.assigner = Assigner(self.pace, policy, core.tenant_burst)
        self.progress = ProgressWatch(self.pace, policy)
        self.assigning = 0  # entries that assign and are not yet applied
        self.assigned: dict[str, int] = {}  # worker -> runs proposed for it
        self.stopping: set[RunKey] = set()  # (reference, run) whose stop is proposed
        self.ticked_at = self.watched_at = self.progress_at = self.placed_at = -1e9
        self.due = True
        self.counts = {"beats": 0, "starts": 0, "stops": 0}
        self.end_counts: collections.Counter[str] = collections.Counter()  # how a run ended -> runs
        self.stop_counts: collections.Counter[str] = collections.Counter()  # why a run is to end -> runs

    @property
    def leased_jobs(self) -> LeasedJobState:
        """What is agreed on about leased jobs, as far as this daemon has applied it."""
        return self.core.cluster_state.leased_jobs

    # --- heartbeats -------------------------------------------------------------------
    def take_heartbeat(
        self, identity: str, heartbeat: Document, address: str, token: Any, now: float
    ) -> None:
        """A worker's heartbeat, checked (worker.checked); flush() answers it, `token` says what to. One that
        is older than the newest is answered at once, with nothing.
        """
        self.counts["beats"] += 1
        worker = self.workers.get(identity)
        if worker is None:
            worker = self.workers[identity] = Worker(identity, now)
        if not worker.take_heartbeat(heartbeat, now):
            self.core.answer(address, token, Answer(200, {}))
            return
        self._answer_deferred(identity)
        self.ends.take(worker, heartbeat["ended"])
        self._take_absences(worker, now)
        self.deferred_heartbeats[identity] = DeferredHeartbeat(address, token, now)
        self.answers_to_check[identity] = True
        self.due = self.due or worker.scheduling_state != worker.previous_scheduling_state

    def _answer_deferred(self, identity: str) -> None:
        """Answers a worker's older heartbeat, if there is one: that tells it nothing."""
        older = self.deferred_heartbeats.pop(identity, None)
        if older is not None:
            self.core.answer(older.address, older.token, Answer(200, {}))

    def leave(self, identity: str, now: float) -> None:
        """A worker says that it leaves. Of one that this leader has not heard, and of one that never drained,
        only ends or the lease prove that what it ran has ended.
        """
        worker = self.workers.get(identity)
        if worker is not None and worker.leave():
            self.leases.leave(identity, now)
        self.due = True

    def _take_absences(self, worker: Worker, now: float) -> None:
        """A run neither running nor ended in a fresh heartbeat never started from an earlier answer."""
        if worker.stale or worker.heartbeats < 2:
            return
        for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
            if (reference, run) in worker.running or (reference, run) in worker.listed:
                continue
            if placement.epoch != self.core.epoch and now - self.since < constants.REPORT_GATHERING:
                continue
            if not self._may_start(worker, placement):
                self.ends.propose(worker.identity, reference, run, RUN_NEVER_STARTED, "", False)

    def _may_start(self, worker: Worker, placement: Placement) -> bool:
        """Whether a worker may be told to start what is placed there: still, as a maximum may have been
        lowered, and its tenant may have no more started.
        """
        return (
            self.leased_jobs.wanted(placement)
            and self._open_for(worker)
            and not self.leased_jobs.over_maximum(placement)
        )

    def _open_for(self, worker: Worker) -> bool:
        """Whether a worker may be told to start anything."""
        return worker.state == READY and worker.zone not in self.leased_jobs.evacuated

    def _gone(self, identity: str, why: str) -> None:
        """A worker's incarnation is over: what it ran has ended."""
        worker = self.workers.pop(identity, None)
        self._answer_deferred(identity)
        for reference, run in self.leased_jobs.placements.get(identity, {}):
            saved = worker.running.get((reference, run), ("", 0))[0] if worker else ""
            self.ends.propose(identity, reference, run, RUN_LAPSED, saved, False)
        self.core.event(180, minion=identity, why=why)

    # --- answers ----------------------------------------------------------------------
    def flush(self, now: float) -> None:
        """Answers the heartbeats whose ends are agreed on, or that have waited long enough."""
        if not self.deferred_heartbeats or not self.core.leased(now):
            return
        while (
            self.idle_heartbeats
            and now - self.idle_heartbeats[0].taken_at >= constants.IDLE_HEARTBEAT_DEFERRAL
        ):
            self.answers_to_check[self.idle_heartbeats.popleft().identity] = True
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
                self.idle_heartbeats.append(IdleHeartbeat(taken, identity))
                continue
            del self.deferred_heartbeats[identity]
            self.core.answer(address, token, Answer(200, self._orders(worker, taken, now)))

    def _idle(self, worker: Worker) -> bool:
        """Whether nothing can be said to a worker that has nothing to say: where there are many its heartbeat
        is deferred, so that a start reaches it at once; what runs nothing has no end to tell meanwhile.
        """
        return (
            self.policy.defer_idle_heartbeats
            and self._pace() > constants.HEARTBEAT_INTERVAL
            and worker.state == READY
            and not worker.running
            and not worker.listed
            and worker.heartbeats > 1
            and worker.identity not in self.leased_jobs.placements
        )

    def _orders(self, worker: Worker, taken: float, now: float) -> Document:
        """What a worker is told in answer to its newest heartbeat, taken at `taken`; the keys are those of
        the users' page on workers.
        """
        placements = self.leased_jobs.placements.get(worker.identity, {})
        strays = [key for key in worker.running if key not in placements]
        start, unwanted = self._starts_and_stops(worker, placements, not strays, now)
        for reference, run in strays:
            self.core.event(156, minion=worker.identity, task=reference, run=run)
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

    def _starts_and_stops(
        self, worker: Worker, placements: Placements, may_start: bool, now: float
    ) -> tuple[list[Start], list[RunKey]]:
        """What of its placements a worker is to start, and which (reference, run) it is to stop."""
        start, stop = [], []
        for key, placement in placements.items():
            if key in worker.running:
                if not self.leased_jobs.wanted(placement):
                    stop.append(key)
            elif (
                may_start
                and key not in worker.listed
                and self._may_start(worker, placement)
                and not worker.stale
                and (worker.identity, *key) not in self.ends.proposed
            ):
                start.append(self._start(worker, key, placement, now))
        return start, stop

    def _start(self, worker: Worker, key: RunKey, placement: Placement, now: float) -> Start:
        """Notes that a placed run's start is answered; (reference, run, spec, saved) as the answer has it."""
        reference, run = key
        found = self.leased_jobs.task(placement)
        assert found is not None, "only what is wanted is started"
        wave, task = found
        self.core.trace(189, task=reference, run=run, minion=worker.identity)
        self.pace.start(worker.identity, reference, run, self.pace.is_far(wave, worker), now)
        return (reference, run, wave.job.spec, task.saved)

    def _next_heartbeat(self, worker: Worker, placements: Placements, start: list[Start]) -> float:
        """Seconds until a worker's next heartbeat: one that can take no more work is asked less often."""
        taken_up = sum(one.resources[0] for one in placements.values())
        has_capacity = worker.state == READY and taken_up < worker.capacity[0]
        return self._pace() if has_capacity or start else constants.HEARTBEAT_INTERVAL_FULL

    def _pace(self) -> float:
        """Seconds until a worker with capacity sends its next heartbeat: more of them send fewer."""
        return min(
            constants.HEARTBEAT_INTERVAL_FULL,
            max(constants.HEARTBEAT_INTERVAL, len(self.workers) * constants.HEARTBEAT_INTERVAL_PER_WORKER),
        )

    # --- time -------------------------------------------------------------------------
    def tick(self, now: float) -> None:
        """Proposes what was gathered, places, and lets go of what has lapsed."""
        self.ticked_at = now
        self.ends.flush(now)
        if now - self.watched_at >= constants.WATCH_EVERY:
            self.watched_at = now
            self._watch(now)
        rest = constants.ROUND_REST * (len(self.leased_jobs.ready) + len(self.workers))
        if now - self.placed_at >= (
            rest if self.due and not self.assigning else max(rest, constants.PLACE_IDLE)
        ):
            self._assign(now)

    def _assign(self, now: float) -> None:
        if self.assigning:
            return
        self.due, self.placed_at = False, now
        items, stops = self.assigner.round(
            self.leased_jobs, self.workers, self, now, self.core.cluster_time(now)
        )
        for violation in self.assigner.violations:
            self.core.event(events.PLACING_VIOLATED, **violation._asdict())
        if items:
            self.assigning += 1
            for _, _, _, group in items:
                for _, worker_id in group:
                    self.assigned[worker_id] = self.assigned.get(worker_id, 0) + 1
            self.core.propose(("job-assign", self.core.epoch, items), None, now)
        self._stop(stops, now)

    def _watch(self, now: float) -> None:
        """Leases that have lapsed, workers that said they end, and those unresponsive for so long that
        they are forgotten.
        """
        for identity, why in self.leases.over(self.workers, self.ends, now):
            self._gone(identity, why)
        self.pace.forget(self.leased_jobs.jobs)
        self._copy_what_may_run_twice(now)
        if now - self.progress_at >= self._pace():
            self.progress_at = now
            self._watch_progress(now)
        for identity in [
            one
            for one, worker in self.workers.items()
            if now - worker.heard_at > constants.WORKER_FORGET_AFTER
            and one not in self.leased_jobs.placements
        ]:
            del self.workers[identity]

    def _watch_progress(self, now: float) -> None:
        """Stops runs that stand still or are slow. Progress is told by heartbeats alone, so it is looked at
        once for each that a worker with capacity sends.
        """
        self._stop(self.progress.look(self.workers, self.leased_jobs, self.stopping, now), now)
        for worker_id, reference, run in self.progress.take_misjudged():
            self.core.event(185, minion=worker_id, task=reference, run=run)

    def _copy_what_may_run_twice(self, now: float) -> None:
        """What an unresponsive worker runs is let go at once where the step says that a second run does no
        harm; should the first be done before, its late end still counts. What counts against a tenant's
        maximum is let go only once it has ended.
        """
        for worker in self.workers.values():
            if not worker.unresponsive(now):
                continue
            for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
                found = self.leased_jobs.task(placement)
                if (
                    found is not None
                    and self.leased_jobs.tenants.limited(placement.tenant) is None
                    and found[0].step.twice
                    and not found[0].step.gang
                    and not found[0].step.lasts
                ):
                    saved = worker.running.get((reference, run), ("", 0))[0]
                    self.ends.propose(worker.identity, reference, run, RUN_LAPSED, saved, False)

    def _stop(self, stops: tuple[StopItem, ...], now: float) -> None:
        """Proposes that runs end."""
        if stops:
            self.stopping.update((reference, run) for _, reference, run, _ in stops)
            for worker_id, reference, run, why in stops:
                self.stop_counts[why] += 1
                self.core.event(183, minion=worker_id, task=reference, run=run, why=why)
            self.core.propose(("job-stop", self.core.epoch, stops), None, now)

    # --- what was agreed --------------------------------------------------------------
    def ended(self, index: int, items: Sequence[RunEndItem], outcomes: Sequence[str]) -> None:
        """An entry of ends was applied."""
        self.due = True
        for (worker_id, reference, run, how, _, heard), result in zip(items, outcomes, strict=False):
            self.end_counts[how] += 1
            self.stopping.discard((reference, run))
            self.progress.ended(worker_id, reference, run, how)
            worker = self.workers.get(worker_id)
            if worker is not None and heard:
                if how in (RUN_DONE, RUN_FAILED):
                    worker.judge(how == RUN_DONE)
                elif how == RUN_REFUSED and self.policy.avoid_troubled_workers:
                    worker.avoided_until = self.core.step_at + constants.AVOID_AFTER_REFUSAL
            self.core.event(155, task=reference, attempt=run, how=how, result=result)
        self.ends.applied(index, items, self.workers)

    def applied_assign(self, items: Sequence[WaveAssignment]) -> None:
        """An entry that assigns was applied: the workers that it names may have something to start."""
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
