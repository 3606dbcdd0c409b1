"""Follow-up work of a leader after an entry of its own term was applied."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..common import metrics
from ..model.reliability import Outcome
from . import early_cancellations

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class AppliedEntries:
    """Updates counters, logs events and triggers follow-up work; `HANDLERS` maps operations to methods."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon

    def on_applied(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Handles one applied operation and its outcome."""
        self.daemon.leadership.round_due = True
        handler = HANDLERS.get(operation[0])
        if handler is not None:
            handler(self, operation, outcome, now)

    def _role_claimed(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Handles a claimed role. If it is this leader's placing role, the leader may place from now on."""
        leadership = self.daemon.leadership
        if self.daemon.cluster_state.index != leadership.role_index:
            return
        leadership.epoch = outcome[1]
        if leadership.epoch == 1:
            self.daemon.event(110, cohort=self.daemon.cluster)
        self.daemon.event(150, epoch=leadership.epoch)
        self.daemon.front_updates.resend_orders(now)

    def _placements_applied(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Handles the placements of a round, which were accepted or refused."""
        leadership = self.daemon.leadership
        leadership.pending_rounds = max(0, leadership.pending_rounds - 1)
        leadership.placer.forget_proposed([item[0] for item in operation[3]])
        if outcome[0] == "placed":
            for ref, refusal in outcome[1]:
                if refusal:
                    self._count_refusal(refusal, task=ref)
                else:
                    self._record_wait(ref)
                    self.daemon.front_updates.queue_order(ref, now)
        else:
            self._count_refusal(outcome[1])
        self.daemon.front_updates.send_due_updates(now)

    def _attempts_ended(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Handles attempts that have ended."""
        for (ref, attempt, how), result in zip(operation[1], outcome[1], strict=False):
            self.daemon.worker_reports.proposed_ends.discard((ref, attempt))
            self.daemon.front_updates.kills.pop(ref, None)
            self.daemon.end_counts[how] = self.daemon.end_counts.get(how, 0) + 1
            self.daemon.event(155, task=ref, attempt=attempt, how=how, result=result)
            task_record = self.daemon.cluster_state.find(ref)
            if task_record is not None and how in ("done", "failed"):
                self._record_worker_result(task_record[2].worker, Outcome((ref, 0), how == "done"), now)

    def _record_worker_result(self, name: str, task_outcome: Outcome, now: float) -> None:
        """Updates the failure rating of a worker, if it is known, after an attempt ended there."""
        reports = self.daemon.worker_reports
        worker = reports.push_workers.get(name)
        if worker is not None:
            reports.evidence.record(name, task_outcome, proven=False, now=now)
            if worker.is_unreliable():
                self.daemon.event(157, minion=name)

    def _leased_job_assigned(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Handles runs that were placed under leases."""
        self.daemon.assignments.applied_assign(operation[2])
        if outcome[0] == "refused":
            self._count_refusal(outcome[1])
        elif self.daemon.tracing:
            for placement in outcome[1]:
                self.daemon.trace(
                    188, task=placement.reference(), run=placement.run, minion=placement.worker_id
                )

    def _leased_job_ended(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Handles runs under leases that have ended."""
        self.daemon.assignments.on_ends_applied(self.daemon.cluster_state.index, operation[1], outcome[1])

    def _leased_jobs_or_routes_changed(
        self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float
    ) -> None:
        """Handles a change of leased jobs, routes or evacuations, which makes new assignments due."""
        self.daemon.assignments.round_due = True
        if outcome[0] == "accepted":
            self.daemon.trace(187, job=outcome[1])
        if outcome[0] == "configured":
            self.daemon.event(181, version=outcome[1])
            self._active_state_changed(now)

    def _unknown_jobs_cancelled(
        self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float
    ) -> None:
        """Handles cancellations of jobs that were not known when they were asked for."""
        self.daemon.early_cancellations.on_applied()
        self.daemon.assignments.round_due = True

    def _queues_or_workers_changed(
        self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float
    ) -> None:
        """Handles a change of the queue configuration, or of which workers and zones are open."""
        if outcome[0] == "setup":
            self.daemon.event(160, version=outcome[1])
            if operation[0] == "approve":
                self.daemon.event(163, draft=operation[2], version=outcome[1], who=operation[3])
            else:
                why = operation[6] or "unstated"
                self.daemon.event(161, version=outcome[1], who=operation[5], why=why)
        self._active_state_changed(now)

    def _active_state_changed(self, now: float) -> None:
        """Sends the changed state to front daemons at once."""
        self.daemon.front_updates.update_serial += 1
        self.daemon.front_updates.send_due_updates(now)

    def _stops_requested(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Sends the runs that should end to front daemons at once."""
        self.daemon.front_updates.send_due_updates(now)

    def _count_refusal(self, why: str, **fields: Any) -> None:
        """Counts and logs why a placement was not accepted."""
        self.daemon.refusals[why] = self.daemon.refusals.get(why, 0) + 1
        self.daemon.event(151, why=why, **fields)

    def _record_wait(self, ref: str) -> None:
        """Records how long a task that was just placed had been ready."""
        job, task, standing = self.daemon.cluster_state.find_known(ref)
        if standing.attempt == 1:
            histogram = self.daemon.wait_histograms.setdefault(job.queue, metrics.Histogram())
            histogram.add(max(0.0, standing.since - job.ready_since(task)))


# Operation -> handler of its applied entries.
HANDLERS: dict[str, Callable[[AppliedEntries, tuple[Any, ...], tuple[Any, ...], float], None]] = {
    "duty": AppliedEntries._role_claimed,
    "place": AppliedEntries._placements_applied,
    "ended": AppliedEntries._attempts_ended,
    "job-assign": AppliedEntries._leased_job_assigned,
    "job-ended": AppliedEntries._leased_job_ended,
    early_cancellations.OPERATION: AppliedEntries._unknown_jobs_cancelled,
    **dict.fromkeys(
        (
            "job",
            "tenant-job",
            "job-cancel",
            "evacuate",
            "evacuation",
            "configure",
            "configure-tenants",
            "amend",
            "amend-tenants",
        ),
        AppliedEntries._leased_jobs_or_routes_changed,
    ),
    **dict.fromkeys(
        ("setup", "drain", "area", "withdraw", "gone", "approve"), AppliedEntries._queues_or_workers_changed
    ),
    **dict.fromkeys(("yield", "cancel"), AppliedEntries._stops_requested),
}
