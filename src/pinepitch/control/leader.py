"""What a leader does beside answering: claims the placing role, places tasks, watches runs and alerts."""

from typing import TYPE_CHECKING, Any

from ..common import constants
from . import alert_watch, metrics_text
from .placement import Placer

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Leadership:
    """One term of leadership. Invariant: it is as new unless this daemon leads."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.clear()

    def clear(self) -> None:
        """Forgets all, as a term begins or ends."""
        self.leader_since: float | None = None  # seconds of the steady clock
        self.epoch = 0  # of the placing role; -1 while it is claimed
        self.role_index: int | None = None  # of the claim's entry: older claims may be applied now
        self.level_asked = 0  # the level that is proposed to be agreed on
        self.placer = Placer()
        self.place_at = self.watch_at = self.alert_at = -1e9  # seconds; when each was done last
        self.place_due = False  # whether what was applied may let a task be placed
        self.placing_busy = 0  # rounds whose entries are not applied
        self.rounds = 0
        self.moving: set[tuple[str, int]] = set()  # (reference, attempt) of runs that were told to end
        self.alerts = alert_watch.Watch(self.core.rules)

    def tick(self, now: float) -> None:
        """What a leader does on each tick once it serves."""
        if not self.core.consensus.serving():
            return
        if self.core.proposals.common_level() > max(self.core.cluster_state.level, self.level_asked):
            self.level_asked = self.core.proposals.common_level()
            self.core.proposals.propose(("level", self.level_asked), None, now)
        if self.epoch > 0:
            self.core.assignments.tick(now)
        self.core.worker_reports.propose_gathered(now)
        self.core.membership_changes.maintain(now)
        self.core.front_updates.send_all(now)
        if now - self.place_at >= constants.PLACE_IDLE:
            self.place(now)
        if now - self.watch_at >= constants.WATCH_EVERY:
            self.watch_at = now
            self._watch(now)
        if (
            (self.core.rules or self.core.cluster_state.approval_pauses)
            and self.epoch > 0
            and now - self.alert_at >= constants.ALERT_EVERY
            and self._gathered(now)
        ):
            self._maintain_alerts(now)

    def _gathered(self, now: float) -> bool:
        """Whether the workers had time to report to this leader."""
        return self.leader_since is not None and now - self.leader_since >= constants.REPORT_GATHERING

    def claim_placing(self, now: float) -> None:
        """Proposes to hold the placing role, beside the first entry of the term: nothing under leases is
        answered before this one has brought its epoch, so it goes out with the other.
        """
        self.epoch = -1
        self.role_index = self.core.consensus.last_index() + 1
        self.core.proposals.propose(("duty", "placing", self.core.identity), None, now)

    def place(self, now: float) -> None:
        """One round: at once when something was applied that may let a task be placed, and
        now and then for what only time brings. Never from within applying, whose own
        save must go first.
        """
        if (
            self.placing_busy
            or self.epoch <= 0
            or not self.core.consensus.serving()
            or not self._gathered(now)
        ):
            return
        self.place_at, self.place_due = now, False
        self.rounds += 1
        fronts = [(one.identity, one.zone) for one in self.core.sessions.live("verge")]
        items, yields = self.placer.round(
            self.core.cluster_state,
            self.core.worker_reports.push_workers,
            fronts,
            now,
            self.core.cluster_time(now),
        )
        if items:
            self.placing_busy += 1
            self.core.proposals.propose(
                ("place", self.epoch, self.core.cluster_state.version, items), None, now
            )
        if yields:
            self.core.proposals.propose(("yield", self.epoch, yields), None, now)

    def _watch(self, now: float) -> None:
        """Overruns, feeds to be moved, withdrawals come due, workers long unresponsive."""
        time = self.core.cluster_time(now)
        for worker, (due, gone) in sorted(self.core.cluster_state.withdrawn.items()):
            if not gone and time >= due:
                self.core.proposals.propose(("gone", worker), None, now)
        yields = self._overruns_and_moves(time)
        if yields and self.epoch > 0:
            self.moving.update(one[:2] for one in yields)
            self.core.proposals.propose(("yield", self.epoch, tuple(yields)), None, now)
        self._forget_workers(now)

    def _overruns_and_moves(self, time: float) -> list[tuple[str, int, str]]:
        """(reference, attempt, why) of runs that are to end at that cluster time."""
        cluster_state, yields = self.core.cluster_state, []
        for worker, current in cluster_state.reserved.items():
            seen = self.core.worker_reports.push_workers.get(worker)
            closed = cluster_state.closed(worker, seen.report.zone if seen else "")
            for ref in current:
                job, task, standing = cluster_state.find_known(ref)
                if standing.yields_to or (ref, standing.attempt) in self.moving:
                    continue
                if task.limit and time > standing.since + task.limit:
                    yields.append((ref, standing.attempt, "limit"))
                elif closed and job.kind == "feed" and self._can_move(task):
                    yields.append((ref, standing.attempt, "move"))
        return yields

    def _forget_workers(self, now: float) -> None:
        """Forgets workers that were not heard for long and run nothing."""
        push_workers = self.core.worker_reports.push_workers
        for name, worker in list(push_workers.items()):
            unheard = now - worker.heard_at > constants.PUSH_WORKER_FORGET_AFTER
            if unheard and name not in self.core.cluster_state.reserved:
                del push_workers[name]

    def _maintain_alerts(self, now: float) -> None:
        """The leader, under its epoch, judges the rules by its own metrics; what holds
        approvals is an entry, so that it outlives the leader.
        """
        self.alert_at = now
        firing = self.alerts.firing(metrics_text.text(self.core, now), now)
        holding = {
            rule.alert: firing[rule.alert] for rule in self.core.rules if rule.pauses and rule.alert in firing
        }
        for alert, why in holding.items():
            if alert not in self.core.cluster_state.approval_pauses:
                self.core.event(164, alert=alert, why=why)
                self.core.proposals.propose(("hold", self.epoch, alert, why), None, now)
        for alert in self.core.cluster_state.approval_pauses:
            if alert not in holding:
                self.core.event(165, alert=alert)
                self.core.proposals.propose(("hold", self.epoch, alert, None), None, now)

    def _can_move(self, task: Any) -> bool:
        """Whether some open worker has capacity for a task that is to move."""
        for name, worker in self.core.worker_reports.push_workers.items():
            report = worker.report
            taken = sum(self.core.cluster_state.reserved.get(name, {}).values())
            if (
                not self.core.cluster_state.closed(name, report.zone)
                and set(task.labels) <= set(report.labels)
                and report.capacity - taken >= task.units
            ):
                return True
        return False
