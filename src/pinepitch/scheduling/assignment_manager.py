"""The leader's work for leased jobs: receives heartbeats and reported ends, answers heartbeats with starts
and stops, runs scheduling rounds, and watches for expired leases of workers.

No guarantee rests on this module's memory alone: every decision is committed to the log before it takes
effect. A new leader starts with empty state and learns from heartbeats what is running.
"""

import collections
from collections.abc import Sequence
from typing import Any

from ..common import constants, events
from ..model.decisions import Answer
from ..model.reliability import FailureEvidence, Outcome
from . import heartbeat_intervals
from . import policy as policies
from .assigner import Assigner
from .daemon_interface import Daemon
from .heartbeat_addresses import HeartbeatAddresses
from .heartbeats import DeferredHeartbeat, IdleHeartbeat, StartOrder
from .leased_job_state import LeasedJobState, TaskBatchAssignment
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
    parse_reference,
)
from .plain_types import Document
from .progress import ProgressWatch
from .run_ends import RunEndCollector
from .run_speed import RunTimeEstimator
from .run_stop import StopItem
from .worker import READY, Worker


class AssignmentManager:
    """Handles the heartbeats of all workers and the placements of leased jobs, while its daemon leads.

    Invariants: the state is empty unless the daemon leads. A start is sent only while the leader's lease is
    valid, in answer to a heartbeat that is not stale, for a committed placement that is still wanted and
    whose end is not being proposed. A run that is absent from a heartbeat counts as never started, and its
    start is sent again, only if the heartbeat is not stale and lists all ends that the worker has to report.
    It counts as never started only if also no start sent by an earlier leader can still arrive: if the
    placement has this leader's epoch, or once this leader has led for REPORT_GATHERING seconds.
    """

    def __init__(self, core: Daemon, now: float, policy: policies.Policy = policies.DEFAULT) -> None:
        # leader_since: when this daemon became leader, by its clock, seconds
        self.core, self.leader_since, self.policy = core, now, policy
        self.workers: dict[str, Worker] = {}
        # identity of a worker -> DeferredHeartbeat
        self.deferred_heartbeats: dict[str, DeferredHeartbeat] = {}
        # workers whose deferred answer may be due; an ordered set, its values say nothing
        self.answers_to_check: dict[str, bool] = {}
        # oldest first
        self.idle_heartbeats: collections.deque[IdleHeartbeat] = collections.deque()
        self.heartbeat_addresses = HeartbeatAddresses(core)
        self.estimator = RunTimeEstimator(core.far)
        self.ends = RunEndCollector(core, self.estimator)
        self.leases = LeaseWatch(core, now)
        self.assigner = Assigner(self.estimator, policy, core.tenant_burst)
        self.progress = ProgressWatch(self.estimator, policy)
        self.unapplied_assignments = 0  # proposed "job-assign" entries that are not applied yet
        self.unapplied_runs: dict[str, int] = {}  # worker -> runs in those entries
        self.stopping: set[RunKey] = set()  # (reference, run) whose stop is proposed
        self.ticked_at = self.watched_at = self.progress_checked_at = self.round_at = -1e9
        self.round_due = True
        self.counts = {"beats": 0, "starts": 0, "stops": 0}
        self.end_counts: collections.Counter[str] = collections.Counter()  # kind of end -> runs
        self.stop_counts: collections.Counter[str] = collections.Counter()  # reason to stop a run -> runs

    @property
    def evidence(self) -> FailureEvidence:
        """What the ends of runs say about the workers and the work."""
        return self.assigner.evidence

    @property
    def leased_jobs(self) -> LeasedJobState:
        """The replicated state of leased jobs, as far as this daemon has applied it."""
        return self.core.cluster_state.leased_jobs

    # --- heartbeats -------------------------------------------------------------------
    def take_heartbeat(
        self, identity: str, heartbeat: Document, address: str, token: Any, now: float
    ) -> None:
        """Receives a worker's heartbeat that passed worker.is_valid_heartbeat; flush() answers it. `token`
        identifies the request. A heartbeat older than the newest one is answered immediately with an empty
        document.
        """
        self.counts["beats"] += 1
        worker = self.workers.get(identity)
        if worker is None:
            worker = self.workers[identity] = Worker(identity, now)
        if not worker.take_heartbeat(heartbeat, now):
            self.core.answer(address, token, Answer(200, {}))
            return
        self._answer_deferred(identity)
        self.ends.receive(worker, heartbeat["ended"])
        self._propose_never_started(worker, now)
        self.deferred_heartbeats[identity] = DeferredHeartbeat(address, token, now)
        self.answers_to_check[identity] = True
        self.round_due = self.round_due or worker.scheduling_state != worker.previous_scheduling_state

    def _answer_deferred(self, identity: str) -> None:
        """Answers a worker's earlier heartbeat, if one is deferred, with an empty document."""
        earlier = self.deferred_heartbeats.pop(identity, None)
        if earlier is not None:
            self.core.answer(earlier.address, earlier.token, Answer(200, {}))

    def leave(self, identity: str, now: float) -> None:
        """Handles a worker's report that it shuts down. If this leader has no heartbeat of the worker, or the
        worker never drained, the report does not prove that its runs have ended: only reported ends or an
        expired lease of the worker do.
        """
        worker = self.workers.get(identity)
        if worker is not None and worker.leave():
            self.leases.record_leave(identity, now)
        self.round_due = True

    def _propose_never_started(self, worker: Worker, now: float) -> None:
        """Proposes the end of runs that never started: those that a heartbeat that is not stale shows to be
        neither active nor ended, and that no earlier answer can start any more.
        """
        # A first heartbeat can't be recognized as stale: there is no earlier one to compare its clock with.
        if worker.stale or worker.heartbeats < 2:
            return
        placements = self.leased_jobs.placements.get(worker.identity, {})
        for reference, run in worker.lacking(placements):
            placement = placements[(reference, run)]
            if placement.epoch != self.core.epoch and now - self.leader_since < constants.REPORT_GATHERING:
                continue
            if not self._may_start(worker, placement):
                self.ends.propose(worker.identity, reference, run, RUN_NEVER_STARTED, "", False)

    def _may_start(self, worker: Worker, placement: Placement) -> bool:
        """Whether a worker may be ordered to start a placed run. The tenant's maximum is checked again, as it
        may have been lowered since the run was placed.
        """
        return (
            self.leased_jobs.should_run(placement)
            and self._accepts_starts(worker)
            and not self.leased_jobs.over_maximum(placement)
        )

    def _accepts_starts(self, worker: Worker) -> bool:
        """Whether a worker may be ordered to start any run."""
        return worker.state == READY and worker.zone not in self.leased_jobs.evacuated

    def _end_incarnation(self, identity: str, reason: str) -> None:
        """Removes a worker whose incarnation is over, and proposes the end of all its runs."""
        worker = self.workers.pop(identity, None)
        self.evidence.forget(identity)
        self.heartbeat_addresses.forget(identity)
        self._answer_deferred(identity)
        for reference, run in self.leased_jobs.placements.get(identity, {}):
            saved = worker.running.get((reference, run), ("", 0))[0] if worker else ""
            self.ends.propose(identity, reference, run, RUN_LAPSED, saved, False)
        self.core.event(180, minion=identity, why=reason)

    # --- answers ----------------------------------------------------------------------
    def flush(self, now: float) -> None:
        """Answers the heartbeats whose reported ends are committed, and those deferred for long enough."""
        # core.leased() is about the lease of the leader itself
        if not self.deferred_heartbeats or not self.core.leased(now):
            return
        while (
            self.idle_heartbeats
            and now - self.idle_heartbeats[0].received_at >= constants.IDLE_HEARTBEAT_DEFERRAL
        ):
            self.answers_to_check[self.idle_heartbeats.popleft().identity] = True
        for identity in list(self.answers_to_check):
            if identity not in self.deferred_heartbeats:
                del self.answers_to_check[identity]
                continue
            worker = self.workers[identity]
            address, token, received_at = self.deferred_heartbeats[identity]
            if now - received_at < constants.HEARTBEAT_DEFERRAL and (
                worker.pending_ends or self.unapplied_runs.get(identity)
            ):
                continue
            del self.answers_to_check[identity]
            if now - received_at < constants.IDLE_HEARTBEAT_DEFERRAL and self._is_idle(worker):
                self.idle_heartbeats.append(IdleHeartbeat(received_at, identity))
                continue
            del self.deferred_heartbeats[identity]
            document = self._heartbeat_answer(worker, address, received_at, now)
            self.core.answer(address, token, Answer(200, document))

    def _is_idle(self, worker: Worker) -> bool:
        """Whether a worker runs nothing and its answer would contain no starts or stops. In large
        fleets the answer to such a worker is deferred, so that a start can be sent at once. As the worker
        runs nothing, it has no end to report meanwhile.
        """
        return (
            self.policy.defer_idle_heartbeats
            and heartbeat_intervals.is_large_fleet(len(self.workers))
            and worker.state == READY
            and not worker.running
            and not worker.listed_ends
            and worker.heartbeats > 1  # a worker with one heartbeat can't be known to be stale
            and worker.identity not in self.leased_jobs.placements
        )

    def _heartbeat_answer(self, worker: Worker, received_by: str, received_at: float, now: float) -> Document:
        """The answer to a worker's newest heartbeat, which the daemon at the address `received_by` received
        at `received_at`. Its keys are those of the user documentation on workers.
        """
        placements = self.leased_jobs.placements.get(worker.identity, {})
        # A worker that runs something without a placement gets no starts until that has stopped.
        unknown_runs = [key for key in worker.running if key not in placements]
        start, unwanted = self._starts_and_stops(worker, placements, not unknown_runs, now)
        for reference, run in unknown_runs:
            self.core.event(156, minion=worker.identity, task=reference, run=run)
        stop = (*unknown_runs, *unwanted)
        again_in = heartbeat_intervals.next_in(worker, placements, bool(start), len(self.workers))
        # the worker's lease, of hold_ms, starts with its heartbeat
        worker.leased_from = received_at
        self.counts["starts"] += len(start)
        self.counts["stops"] += len(stop)
        return {
            "hold_ms": int(self.core.lease_duration * 1000),
            "seen": worker.acknowledged(),
            "fence": self.core.epoch,
            "start": tuple(start),
            "stop": stop,
            "home": self.heartbeat_addresses.address_for(worker, received_by, len(self.workers), now),
            "again_ms": int(1000 * again_in),
        }

    def _starts_and_stops(
        self, worker: Worker, placements: Placements, may_start: bool, now: float
    ) -> tuple[list[StartOrder], list[RunKey]]:
        """The starts to send for a worker's placements, and the (reference, run) of those to stop. Starts
        whose texts are too long for one answer are left to the next ones.
        """
        stop = [
            key
            for key, placement in placements.items()
            if key in worker.running and not self.leased_jobs.should_run(placement)
        ]
        if not may_start or worker.stale:
            return [], stop
        start: list[StartOrder] = []
        text_length = 0  # characters
        for key in worker.lacking(placements):
            if text_length >= constants.MAX_STARTS_TEXT:
                break
            placement = placements[key]
            if not self._may_start(worker, placement) or (worker.identity, *key) in self.ends.proposed:
                continue
            order = self._start_order(worker, key, placement, now)
            start.append(order)
            text_length += constants.START_OVERHEAD + len(order[2]) + len(order[3])
        return start, stop

    def _start_order(self, worker: Worker, key: RunKey, placement: Placement, now: float) -> StartOrder:
        """Records that the start of a placed run is sent, and returns the order."""
        reference, run = key
        batch_and_task = self.leased_jobs.current_task(placement)
        assert batch_and_task is not None, "a start is sent only for a placement that should run"
        batch, task = batch_and_task
        self.core.trace(189, task=reference, run=run, minion=worker.identity)
        self.estimator.record_start(
            worker.identity, reference, run, self.estimator.is_far(batch, worker), now
        )
        return (reference, run, batch.job.spec, task.saved)

    def _heartbeat_interval(self) -> float:
        """Seconds between two heartbeats of a worker with capacity."""
        return heartbeat_intervals.interval(len(self.workers))

    # --- time -------------------------------------------------------------------------
    def tick(self, now: float) -> None:
        """Proposes the collected ends, runs the periodic checks, and runs a scheduling round if one is
        due.
        """
        self.ticked_at = now
        self.ends.flush(now)
        if now - self.watched_at >= constants.WATCH_EVERY:
            self.watched_at = now
            self._watch(now)
        # If a round is due and no assignments are unapplied, it begins `pause` seconds after the last one.
        # Else it begins after at least PLACE_IDLE seconds, and only once all assignments are applied.
        batches = self.assigner.batches_considered
        backlog = max(0, batches - constants.MANY_BATCHES)
        pause = constants.ROUND_REST * (batches + len(self.workers)) + constants.BACKLOG_REST * backlog
        if now - self.round_at >= (
            pause if self.round_due and not self.unapplied_assignments else max(pause, constants.PLACE_IDLE)
        ):
            self._assign(now)

    def _assign(self, now: float) -> None:
        """Runs a scheduling round and proposes its assignments and stops, unless those of an earlier one are
        not applied yet or there is no memory for more runs.
        """
        if self.unapplied_assignments or self.leased_jobs.memory_bytes() > self.core.limits.state_with_runs:
            return
        self.round_due, self.round_at = False, now
        items, stops = self.assigner.run_round(
            self.leased_jobs, self.workers, self, now, self.core.cluster_time(now)
        )
        for violation in self.assigner.violations:
            self.core.event(events.PLACING_VIOLATED, **violation._asdict())
        if items:
            self.unapplied_assignments += 1
            for _, _, _, assigned in items:
                for _, worker_id in assigned:
                    self.unapplied_runs[worker_id] = self.unapplied_runs.get(worker_id, 0) + 1
            self.core.propose(("job-assign", self.core.epoch, items), None, now)
        self._propose_stops(stops, now)

    def _watch(self, now: float) -> None:
        """Ends the incarnations of workers that left or whose lease expired, releases the repeatable runs of
        unresponsive workers, checks progress, and drops workers that have been unresponsive for
        WORKER_FORGET_AFTER seconds.
        """
        for identity, reason in self.leases.ended_incarnations(self.workers, self.ends, now):
            self._end_incarnation(identity, reason)
        self.estimator.drop_finished(self.leased_jobs.jobs)
        self._release_repeatable_runs(now)
        if now - self.progress_checked_at >= self._heartbeat_interval():
            self.progress_checked_at = now
            self._check_progress(now)
        for identity in [
            worker_id
            for worker_id, worker in self.workers.items()
            if now - worker.heard_at > constants.WORKER_FORGET_AFTER
            and worker_id not in self.leased_jobs.placements
        ]:
            del self.workers[identity]
            self.evidence.forget(identity)
            self.heartbeat_addresses.forget(identity)

    def _check_progress(self, now: float) -> None:
        """Stops stalled and slow runs. As progress arrives only with heartbeats, this check runs once per
        heartbeat interval of a worker with capacity.
        """
        self._propose_stops(self.progress.find_stops(self.workers, self.leased_jobs, self.stopping, now), now)
        for worker_id, reference, run in self.progress.take_misjudged():
            self.core.event(185, minion=worker_id, task=reference, run=run)

    def _release_repeatable_runs(self, now: float) -> None:
        """Proposes the end of an unresponsive worker's runs before its lease expires, if the step allows two
        runs of a task at once, so that they are placed elsewhere. If the first run finishes first, its late
        end still counts. Runs that count against a tenant's maximum are excluded: they are released only once
        they have ended.
        """
        for worker in self.workers.values():
            if not worker.unresponsive(now):
                continue
            for (reference, run), placement in self.leased_jobs.placements.get(worker.identity, {}).items():
                batch_and_task = self.leased_jobs.current_task(placement)
                if (
                    batch_and_task is not None
                    and self.leased_jobs.tenants.limited(placement.tenant) is None
                    and batch_and_task[0].step.twice
                    and not batch_and_task[0].step.gang
                    and not batch_and_task[0].step.lasts
                ):
                    saved = worker.running.get((reference, run), ("", 0))[0]
                    self.ends.propose(worker.identity, reference, run, RUN_LAPSED, saved, False)

    def _propose_stops(self, stops: tuple[StopItem, ...], now: float) -> None:
        """Proposes that these runs are stopped, and logs each."""
        if stops:
            self.stopping.update((reference, run) for _, reference, run, _ in stops)
            for worker_id, reference, run, reason in stops:
                self.stop_counts[reason] += 1
                self.core.event(183, minion=worker_id, task=reference, run=run, why=reason)
            self.core.propose(("job-stop", self.core.epoch, stops), None, now)

    # --- applied entries --------------------------------------------------------------
    def on_ends_applied(self, index: int, items: Sequence[RunEndItem], outcomes: Sequence[str]) -> None:
        """Handles an applied "job-ended" entry."""
        self.round_due = True
        for (worker_id, reference, run, how, _, reported), result in zip(items, outcomes, strict=False):
            self.end_counts[how] += 1
            self.stopping.discard((reference, run))
            self.progress.ended(worker_id, reference, run, how)
            worker = self.workers.get(worker_id)
            if worker is not None and reported:
                if how in (RUN_DONE, RUN_FAILED):
                    self._record_outcome(worker_id, reference, how == RUN_DONE)
                elif how == RUN_REFUSED and self.policy.avoid_failing_workers:
                    worker.avoided_until = self.core.step_at + constants.AVOID_AFTER_REFUSAL
            self.core.event(155, task=reference, attempt=run, how=how, result=result)
        self.ends.applied(index, items, self.workers)

    def _record_outcome(self, worker_id: str, reference: str, succeeded: bool) -> None:
        """Records the outcome of a run that says something about its worker or its step."""
        parsed = parse_reference(reference)
        if parsed is None:
            return
        identity, time, number, _ = parsed
        job = self.leased_jobs.jobs.get(identity)
        batch = job.batches.get((time, number)) if job is not None else None
        proven = batch is not None and batch.open_tasks < batch.step.count
        self.evidence.record(worker_id, Outcome((identity, number), succeeded), proven, self.core.step_at)

    def applied_assign(self, items: Sequence[TaskBatchAssignment]) -> None:
        """Handles an applied "job-assign" entry: the answers to the workers that it names may now be due, as
        they may have runs to start.
        """
        self.round_due = True
        self.unapplied_assignments = max(0, self.unapplied_assignments - 1)
        for _, _, _, assigned in items:
            for _, worker_id in assigned:
                self.answers_to_check[worker_id] = True
                left = self.unapplied_runs.get(worker_id, 0) - 1
                if left > 0:
                    self.unapplied_runs[worker_id] = left
                else:
                    self.unapplied_runs.pop(worker_id, None)
