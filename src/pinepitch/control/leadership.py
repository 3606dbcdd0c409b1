"""A leader's periodic work: it claims the placing role, places tasks, and checks runs and alerts."""

from typing import TYPE_CHECKING, Any

from ..common import constants
from . import alert_watch, metrics_text
from .placement import Placer

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Leadership:
    """State and work of one term of leadership. Invariant: it is in its initial state unless this daemon
    leads.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Resets all state, as a term begins or ends."""
        self.leader_since: float | None = None  # seconds of the steady clock
        self.epoch = 0  # of the placing role; -1 while the claim is pending
        self.role_index: int | None = None  # of this term's claim; older claims may be applied too
        self.proposed_level = 0  # the level that was proposed last
        self.placer = Placer()
        self.last_round_at = self.runs_checked_at = self.alerts_checked_at = -1e9  # seconds; when last done
        self.round_due = False  # whether an applied entry may allow a placement
        self.pending_rounds = 0  # rounds whose entries are not applied yet
        self.rounds = 0
        self.ending_runs: set[tuple[str, int]] = set()  # (reference, attempt) of runs that were asked to end
        self.alerts = alert_watch.AlertWatch(self.daemon.rules)

    def tick(self, now: float) -> None:
        """Does the leader's periodic work once it serves."""
        if not self.daemon.consensus.serving():
            return
        if self.daemon.proposals.common_level() > max(self.daemon.cluster_state.level, self.proposed_level):
            self.proposed_level = self.daemon.proposals.common_level()
            self.daemon.proposals.propose(("level", self.proposed_level), None, now)
        if self.epoch > 0:
            self.daemon.assignments.tick(now)
        self.daemon.worker_reports.propose_gathered_ends(now)
        self.daemon.membership_changes.maintain(now)
        self.daemon.front_updates.send_due_updates(now)
        if now - self.last_round_at >= constants.PLACE_IDLE:
            self.place_tasks(now)
        if now - self.runs_checked_at >= constants.WATCH_EVERY:
            self.runs_checked_at = now
            self._check_runs(now)
        if (
            (self.daemon.rules or self.daemon.cluster_state.approval_pauses)
            and self.epoch > 0
            and now - self.alerts_checked_at >= constants.ALERT_EVERY
            and self._reports_gathered(now)
        ):
            self._maintain_alerts(now)

    def _reports_gathered(self, now: float) -> bool:
        """Whether the workers have had time to report to this leader."""
        return self.leader_since is not None and now - self.leader_since >= constants.REPORT_GATHERING

    def claim_placing_role(self, now: float) -> None:
        """Proposes the claim of the placing role together with the first entry of the term. Nothing under
        leases is answered before the claim has brought its epoch, so it must not wait for that entry.
        """
        self.epoch = -1
        self.role_index = self.daemon.consensus.last_index() + 1
        self.daemon.proposals.propose(("duty", "placing", self.daemon.identity), None, now)

    def place_tasks(self, now: float) -> None:
        """Runs one scheduling round: soon after an entry was applied that may allow a placement, and
        periodically for changes that only time brings. It is never called while entries are being applied,
        because the save of those must be issued first.
        """
        if (
            self.pending_rounds
            or self.epoch <= 0
            or not self.daemon.consensus.serving()
            or not self._reports_gathered(now)
        ):
            return
        self.last_round_at, self.round_due = now, False
        self.rounds += 1
        fronts = [(session.identity, session.zone) for session in self.daemon.sessions.live("verge")]
        items, yields = self.placer.run_round(
            self.daemon.cluster_state,
            self.daemon.worker_reports.push_workers,
            fronts,
            now,
            self.daemon.cluster_time(now),
        )
        if items:
            self.pending_rounds += 1
            self.daemon.proposals.propose(
                ("place", self.epoch, self.daemon.cluster_state.version, items), None, now
            )
        if yields:
            self.daemon.proposals.propose(("yield", self.epoch, yields), None, now)

    def _check_runs(self, now: float) -> None:
        """Checks for runs over their time limit, feeds to move, withdrawals that are due, and workers that
        have been unresponsive for long.
        """
        time = self.daemon.cluster_time(now)
        for worker, (due, gone) in sorted(self.daemon.cluster_state.withdrawn.items()):
            if not gone and time >= due:
                self.daemon.proposals.propose(("gone", worker), None, now)
        yields = self._runs_to_stop(time)
        if yields and self.epoch > 0:
            self.ending_runs.update(item[:2] for item in yields)
            self.daemon.proposals.propose(("yield", self.epoch, tuple(yields)), None, now)
        self._forget_workers(now)

    def _runs_to_stop(self, time: float) -> list[tuple[str, int, str]]:
        """(reference, attempt, reason) of the runs that should end at cluster time `time`."""
        cluster_state, yields = self.daemon.cluster_state, []
        for worker, placed_references in cluster_state.reserved.items():
            push_worker = self.daemon.worker_reports.push_workers.get(worker)
            closed = cluster_state.closed_reason(worker, push_worker.report.zone if push_worker else "")
            for ref in placed_references:
                job, task, standing = cluster_state.find_known(ref)
                if standing.yields_to or (ref, standing.attempt) in self.ending_runs:
                    continue
                if task.limit and time > standing.since + task.limit:
                    yields.append((ref, standing.attempt, "limit"))
                elif closed and job.kind == "feed" and self._can_move(task):
                    yields.append((ref, standing.attempt, "move"))
        return yields

    def _forget_workers(self, now: float) -> None:
        """Forgets workers that have been unresponsive for long and run nothing."""
        push_workers = self.daemon.worker_reports.push_workers
        for name, worker in list(push_workers.items()):
            expired = now - worker.heard_at > constants.PUSH_WORKER_FORGET_AFTER
            if expired and name not in self.daemon.cluster_state.reserved:
                del push_workers[name]
                self.daemon.worker_reports.evidence.forget(name)

    def _maintain_alerts(self, now: float) -> None:
        """Evaluates the alert rules on this leader's own metrics, under its epoch. A pause of approvals is an
        entry of the log, so that it outlives the leader.
        """
        self.alerts_checked_at = now
        firing = self.alerts.firing(metrics_text.text(self.daemon, now), now)
        pausing = {
            rule.alert: firing[rule.alert]
            for rule in self.daemon.rules
            if rule.pauses and rule.alert in firing
        }
        for alert, why in pausing.items():
            if alert not in self.daemon.cluster_state.approval_pauses:
                self.daemon.event(164, alert=alert, why=why)
                self.daemon.proposals.propose(("hold", self.epoch, alert, why), None, now)
        for alert in self.daemon.cluster_state.approval_pauses:
            if alert not in pausing:
                self.daemon.event(165, alert=alert)
                self.daemon.proposals.propose(("hold", self.epoch, alert, None), None, now)

    def _can_move(self, task: Any) -> bool:
        """Whether some open worker has capacity for a task that is to move."""
        for name, worker in self.daemon.worker_reports.push_workers.items():
            report = worker.report
            taken = sum(self.daemon.cluster_state.reserved.get(name, {}).values())
            if (
                not self.daemon.cluster_state.closed_reason(name, report.zone)
                and set(task.labels) <= set(report.labels)
                and report.capacity - taken >= task.units
            ):
                return True
        return False
