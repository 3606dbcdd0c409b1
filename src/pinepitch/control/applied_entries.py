"""What a leader does about an entry of its own term that was applied just now."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..common import metrics

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class AppliedEntries:
    """Counts, tells and carries on what was agreed on. `REACTIONS` says what for which operation."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core

    def react(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Takes one operation and its outcome."""
        self.core.leadership.place_due = True
        reaction = REACTIONS.get(operation[0])
        if reaction is not None:
            reaction(self, operation, outcome, now)

    def _role_claimed(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """A role has a holder; if it is this leader's placing role, it may place from now on."""
        leadership = self.core.leadership
        if self.core.cluster_state.index != leadership.role_index:
            return
        leadership.epoch = outcome[1]
        if leadership.epoch == 1:
            self.core.event(110, cohort=self.core.cluster)
        self.core.event(150, epoch=leadership.epoch)
        self.core.front_updates.resend_orders(now)

    def _place(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """A round of placements was taken or refused."""
        leadership = self.core.leadership
        leadership.placing_busy = max(0, leadership.placing_busy - 1)
        leadership.placer.forget_proposed([item[0] for item in operation[3]])
        if outcome[0] == "placed":
            for ref, refusal in outcome[1]:
                if refusal:
                    self._refused(refusal, task=ref)
                else:
                    self._waited(ref)
                    self.core.front_updates.order(ref, now)
        else:
            self._refused(outcome[1])
        self.core.front_updates.send_all(now)

    def _ended(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Attempts have ended."""
        for (ref, attempt, how), result in zip(operation[1], outcome[1], strict=False):
            self.core.worker_reports.proposed_ends.discard((ref, attempt))
            self.core.front_updates.kills.pop(ref, None)
            self.core.end_counts[how] = self.core.end_counts.get(how, 0) + 1
            self.core.event(155, task=ref, attempt=attempt, how=how, result=result)
            found = self.core.cluster_state.find(ref)
            if found is not None and how in ("done", "failed"):
                self._judge(found[2].worker, how == "done")

    def _judge(self, name: str, done: bool) -> None:
        """Judges a worker, if it is known, by how an attempt ended there."""
        worker = self.core.worker_reports.push_workers.get(name)
        if worker is not None:
            worker.judge(done)
            if worker.poor():
                self.core.event(157, minion=name)

    def _leased_job_assigned(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Runs were placed under leases."""
        self.core.assignments.applied_assign(operation[2])
        if outcome[0] == "refused":
            self._refused(outcome[1])
        elif self.core.tracing:
            for placement in outcome[1]:
                self.core.trace(
                    188, task=placement.reference(), run=placement.run, minion=placement.worker_id
                )

    def _leased_job_ended(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Runs under leases have ended."""
        self.core.assignments.ended(self.core.cluster_state.index, operation[1], outcome[1])

    def _leased_jobs_or_routes_changed(
        self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float
    ) -> None:
        """What is asked of the assignments of leased jobs has changed."""
        self.core.assignments.due = True
        if outcome[0] == "accepted":
            self.core.trace(187, job=outcome[1])
        if outcome[0] == "configured":
            self.core.event(181, version=outcome[1])
            self._in_force_changed(now)

    def _queues_or_workers_changed(
        self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float
    ) -> None:
        """The queue configuration, or which workers and zones are open, has changed."""
        if outcome[0] == "setup":
            self.core.event(160, version=outcome[1])
            if operation[0] == "approve":
                self.core.event(163, draft=operation[2], version=outcome[1], who=operation[3])
            else:
                why = operation[6] or "unstated"
                self.core.event(161, version=outcome[1], who=operation[5], why=why)
        self._in_force_changed(now)

    def _in_force_changed(self, now: float) -> None:
        """Front daemons are told at once."""
        self.core.front_updates.update_serial += 1
        self.core.front_updates.send_all(now)

    def _runs_to_end(self, operation: tuple[Any, ...], outcome: tuple[Any, ...], now: float) -> None:
        """Runs are to end: front daemons are told at once."""
        self.core.front_updates.send_all(now)

    def _refused(self, why: str, **fields: Any) -> None:
        """Counts and tells why a placement was not taken."""
        self.core.refusals[why] = self.core.refusals.get(why, 0) + 1
        self.core.event(151, why=why, **fields)

    def _waited(self, ref: str) -> None:
        """Notes how long a task just placed was ready."""
        job, task, standing = self.core.cluster_state.find_known(ref)
        if standing.attempt == 1:
            histogram = self.core.wait_histograms.setdefault(job.queue, metrics.Histogram())
            histogram.add(max(0.0, standing.since - job.ready_since(task)))


# The registry of reactions: operation -> what is done about it once it is applied.
REACTIONS: dict[str, Callable[[AppliedEntries, tuple[Any, ...], tuple[Any, ...], float], None]] = {
    "duty": AppliedEntries._role_claimed,
    "place": AppliedEntries._place,
    "ended": AppliedEntries._ended,
    "job-assign": AppliedEntries._leased_job_assigned,
    "job-ended": AppliedEntries._leased_job_ended,
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
    **dict.fromkeys(("yield", "cancel"), AppliedEntries._runs_to_end),
}
