"""What the leader sends to front daemons: updates of the active state, orders to start tasks, and kills."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import constants
from ..model.reliability import NO_WORK, Outcome

if TYPE_CHECKING:
    from .daemon import ControlDaemon


Order = dict[str, Any]  # the document that is posted to a worker


class UpdateRequest(NamedTuple):
    """A front daemon's request for updates that is not answered yet."""

    address: str  # of the front daemon
    token: str
    known_version: tuple[Any, ...]  # the version that it knows
    asked_at: float  # seconds of the steady clock


class FrontUpdates:
    """Invariant: it is empty unless this daemon leads."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Resets all state, as a term begins or ends."""
        self.update_requests: dict[str, UpdateRequest] = {}  # by front daemon
        self.outbox: dict[str, dict[tuple[str, int], Order]] = {}  # by front daemon; (reference, attempt)
        self.kills: dict[str, float] = {}  # reference -> when a kill was last ordered
        self.update_serial = 0  # number of changes of the active state in this term

    def send_due_updates(self, now: float) -> None:
        """Answers each request for updates that is due."""
        for front in list(self.update_requests):
            if front in self.update_requests:
                self.send_updates(front, now)

    def on_update_request(
        self,
        front: str,
        address: str,
        token: str,
        known_version: tuple[Any, ...],
        outcomes: Iterable[tuple[Any, ...]],
        now: float,
    ) -> None:
        """Handles a front daemon's request for updates, which also reports the outcomes of its orders."""
        consensus = self.daemon.consensus
        if consensus is None or consensus.role != "leader" or not consensus.serving():
            self.daemon.forwarded_requests.refuse(address, token, self.daemon.leader_address(), 0, now)
            return
        session = self.daemon.sessions.by_identity.get(front)
        self.daemon.sessions.renew(front, "verge", session.zone if session else "", address, now)
        ends = []
        for ref, attempt, outcome in outcomes:
            self.outbox.get(front, {}).pop((ref, attempt), None)
            end = self._proven_end(ref, attempt, outcome, now)
            if end is not None:
                ends.append((ref, attempt, end))
        self.daemon.worker_reports.gather_ends(ends, None, now)
        self.update_requests[front] = UpdateRequest(address, token, tuple(known_version), now)
        self.send_updates(front, now)

    def _proven_end(self, ref: str, attempt: int, outcome: str, now: float) -> str | None:
        """How an attempt ended if the outcome of its order proves an end, else None. Also updates the failure
        rating of its worker.
        """
        task_record = self.daemon.cluster_state.find(ref)
        if task_record is None or task_record[2].state != "placed" or task_record[2].attempt != attempt:
            return None
        worker = self.daemon.worker_reports.push_workers.get(task_record[2].worker)
        if worker and outcome in ("unsent", "unknown"):
            worker.reliability.add(Outcome(NO_WORK, False), now, counts=True)
        if outcome in ("unsent", "late", "withheld"):
            return "never"
        return "refused" if outcome == "refused" else None

    def _update_version(self) -> tuple[int, int]:
        """A version that grows with each change of what front daemons are sent, across terms too."""
        return (self.daemon.consensus.term, self.update_serial)

    def send_updates(self, front: str, now: float) -> None:
        """Answers a front daemon's request if there are updates or it has waited long enough."""
        request = self.update_requests[front]
        version = self._update_version()
        orders = self._due_orders(front, now)
        kills = self._due_kills(now)
        waited = now - request.asked_at
        if (
            request.known_version == version
            and not orders
            and not kills
            and waited < constants.UPDATES_DEFERRAL
        ):
            return
        del self.update_requests[front]
        active_state = self._active_state() if request.known_version != version else None
        message = (
            "told",
            request.token,
            version,
            active_state,
            orders,
            kills,
            self.daemon.cluster_time(now),
            waited,
            self.daemon.sessions.known_control_daemons(),
            self.daemon.cluster,
        )
        self.daemon.send(request.address, message)

    def _active_state(self) -> dict[str, Any]:
        """The part of the cluster state that front daemons know."""
        state = self.daemon.cluster_state
        configuration = state.leased_jobs.configuration
        active_state = {
            "setup_version": state.version,
            "configuration": configuration.version,
            "drained": sorted(state.drained),
            "emptied": sorted(state.emptied),
            "withdrawn": sorted(state.withdrawn),
        }
        limits = (configuration.document or {}).get("limits")
        if isinstance(limits, dict):
            active_state["request_limits"] = limits
        return active_state

    def _due_orders(self, front: str, now: float) -> tuple[Order, ...]:
        """Orders that a front daemon has not taken yet. Orders that were called off since are dropped."""
        outbox, time = self.outbox.get(front, {}), self.daemon.cluster_time(now)
        for (ref, attempt), order in list(outbox.items()):
            task_record = self.daemon.cluster_state.find(ref)
            standing = task_record[2] if task_record else None
            if (
                standing is None
                or standing.state != "placed"
                or standing.attempt != attempt
                or standing.yields_to
                or time > order["send_by"]
            ):
                del outbox[(ref, attempt)]
        return tuple(outbox.values())

    def _due_kills(self, now: float) -> tuple[tuple[Any, ...], ...]:
        """(reference, attempt, worker's address) of runs that should end and got no kill recently."""
        state, kills = self.daemon.cluster_state, []
        for ref, attempt in list(state.yielding.items()):
            if now - self.kills.get(ref, -1e9) >= constants.KILL_AGAIN:
                worker = self.daemon.worker_reports.push_workers.get(state.find_known(ref)[2].worker)
                if worker is not None:
                    self.kills[ref] = now
                    kills.append((ref, attempt, worker.report.address))
        return tuple(kills)

    def queue_order(self, ref: str, now: float) -> None:
        """Puts a committed placement into the outbox of the front daemon that will send it."""
        job, task, standing = self.daemon.cluster_state.find_known(ref)
        worker = self.daemon.worker_reports.push_workers.get(standing.worker)
        if worker is None or standing.yields_to:
            return
        if worker.is_unreliable():
            worker.last_trial_at = now
        order: Order = {
            "task": ref,
            "attempt": standing.attempt,
            "minion": standing.worker,
            "area": worker.report.zone,
            "incarnation": standing.incarnation,
            "address": worker.report.address,
            "units": task.units,
            "work": task.work,
            "kind": job.kind,
            "queue": job.queue,
            "urgency": job.urgency,
            "gang": task.gang,
            "not_before": task.not_before,
            "send_by": standing.send_by,
            "limit": task.limit,
            "epoch": self.daemon.leadership.epoch,
            "setup_version": self.daemon.cluster_state.version,
        }
        self.outbox.setdefault(standing.front_daemon, {})[(ref, standing.attempt)] = order

    def resend_orders(self, now: float) -> None:
        """Queues the orders that may still be sent again, for a new leader; front daemons send each only
        once.
        """
        time = self.daemon.cluster_time(now)
        for placed_references in list(self.daemon.cluster_state.reserved.values()):
            for ref in placed_references:
                standing = self.daemon.cluster_state.find_known(ref)[2]
                if time < standing.send_by:
                    self.queue_order(ref, now)
