"""What an accord does while it leads: calls, news, reports, placing, watching."""

from typing import NamedTuple

from ..common import constants, metrics
from ..common.effects import Reply
from ..model.decisions import Answer, DeferHeartbeat, ProposeEnds
from ..model.push_worker import PushWorker
from ..scheduling import requests as job_calls
from ..transport.request_key import subject_of
from . import metrics_text
from .requests import REQUESTS

LEASED_CALLS = tuple(job_calls.CALLS)  # calls that only a leader with its lease and epoch may answer


class PendingRequest(NamedTuple):
    """A carried call that is being answered, and which sending of it was taken. Invariant: the first
    two are its CallKey."""

    call: str
    subject: str
    attempt: int

    @property
    def key(self):
        return self[:2]


class LeaderRole:
    """The leader's part of Accord. Invariants: what it gathers (minions, awaiting, outbox) is
    empty unless this accord leads; a call is in in_hand until it is answered, and answered as
    the call that it was taken as."""

    # --- leading: calls carried by verges ---------------------------------------------
    def _on_ask(self, address, token, call, arguments, attempt, end, now):
        """A daemon carries a call; every call is safe to be asked again. None is taken after its
        end, a Reading of this leader's clock: whoever carries it has given it up by then."""
        consensus = self.consensus
        if consensus is None or consensus.role != "leader" or self.stopping:
            self._refuse(address, token, self._leader_address(), attempt, now)
            return
        taken = PendingRequest(call, subject_of(call, arguments), attempt)
        current = self.pending_requests.get(token)
        if current is not None:
            if current.key != taken.key:
                self._event(146, token=token, held=list(current.key), asked=list(taken.key))
            return
        if not self._in_time(end, now):
            self._refuse(address, token, self.address, attempt, now)
            return
        self.pending_requests[token] = taken
        handler = REQUESTS.get(call)
        if handler is None:
            message = "whoever leads does not know this call"
            self.answer(address, token, job_calls.problem(400, "unknown_call", message))
            return
        if not handler.reads:
            if (
                not consensus.serving()
                or call in LEASED_CALLS
                and (self.epoch <= 0 or not consensus.leased(now))
            ):
                self.not_taken(address, token, None, now)
                return
            self._decide(address, token, handler, arguments, now)
            return
        self.read_count += 1
        self.reading[self.read_count] = (address, token, handler, arguments)
        self._run(consensus.read(self.read_count, now), now)

    def _in_time(self, end, now):
        """Whether a carried call may be taken; one without an end may not."""
        return end is not None and end[0] == self.consensus.term and now <= end[1]

    def _decide(self, address, token, handler, arguments, now):
        """Asks a handler for an answer at once or an operation to agree on."""
        decision = handler.make(self, token, arguments, now)
        if isinstance(decision, DeferHeartbeat):
            self.assignments.take_heartbeat(decision.identity, decision.document, address, token, now)
        elif isinstance(decision, Answer):
            if self.leased(now):
                self.answer(address, token, decision, self.consensus.lease_end(now))
            else:  # what stands in the record here may be old
                self.not_taken(address, token, None, now)
        elif isinstance(decision, ProposeEnds):
            self._propose_ends(decision.ends, (address, token, "report", decision.context), now)
        else:
            operation, outcome_answer, context = decision
            self.propose(operation, (address, token, outcome_answer, context), now)

    def _answer_read(self, read, now):
        address, token, handler, arguments = self.reading.pop(read, (None, None, None, None))
        if handler is not None:
            self.answer(address, token, handler.make(self, token, arguments, now))

    def answer(self, address, token, answer, until=None):
        """The answer to a call in hand, perhaps to one that this accord carried itself; what was
        only read, and not agreed on, is written until `until` at the latest."""
        current = self.pending_requests.pop(token, None)
        if current is None:
            return
        if address == self.address:
            answered = self.indexed_forwarder.answered(token, answer, current.key, self.step_at, until)
            self.effects.extend(answered)
        else:
            # as a plain tuple, which is encoded without a search for its type
            self._send(address, ("answer", token, tuple(answer), current.key))

    def not_taken(self, address, token, leader, now):
        """A call in hand that this accord does not take after all."""
        current = self.pending_requests.pop(token, None)
        if current is not None:
            self._refuse(address, token, leader, current.attempt, now)

    def _refuse(self, address, token, leader, attempt, now):
        """Says that one sending of a call was not taken here, and never will be."""
        if address == self.address:
            self.forwarder.not_taken(token, attempt)
        else:
            self._send(address, ("elsewhere", token, leader, attempt, self._leader_reading(now)))

    def in_doubt(self, address, token):
        """A call that may have been taken, though this accord can't say."""
        self.pending_requests.pop(token, None)
        if address == self.address:
            self.forwarder.in_doubt(token)
        else:
            self._send(address, ("unsure", token))

    def leased(self, now):
        """Whether what this accord says as a leader can be relied on now."""
        return self.consensus is not None and self.consensus.leased(now)

    def propose_at(self, operation, now):
        """Proposes, and says at which index; None when it is held back."""
        if self.cluster_state.levels.get(operation[0], 1) > self.common_level():
            return None
        index = self.consensus.last_index() + 1
        self.propose(operation, None, now)
        return index

    def common_level(self):
        """The level agreed on, or the lowest of the members if it is higher by now; one that has not
        told its own counts as 1. What was agreed stays: a member that is away knew it then."""
        told = min(
            (self.advertised_levels.get(one, 1) for one in self.consensus.membership.members()), default=1
        )
        return max(self.cluster_state.level, told)

    def propose(self, operation, waiting, now):
        """Puts one operation into the log; `waiting` is told the outcome. One that a member
        does not know yet is held back."""
        if self.cluster_state.levels.get(operation[0], 1) > self.common_level():
            self._event(133, operation=operation[0], level=self.common_level())
            if waiting is not None:
                self.not_taken(waiting[0], waiting[1], None, now)
            return
        if waiting is not None and self.consensus.log.size > self.limits.log:
            self._event(134, operation=operation[0], bytes=self.consensus.log.size)
            self.not_taken(waiting[0], waiting[1], None, now)
            return
        start = self.consensus.last_index() + 1
        if waiting is not None:
            self.awaiting.setdefault(start, []).append(waiting)
        result = self.consensus.propose([operation], self._now(now), now)
        self._run(result[1], now)

    # --- leading: news ----------------------------------------------------------------
    def _on_update_request(self, front, address, token, seen, outcomes, now):
        """A verge asks for news and says how its orders went."""
        consensus = self.consensus
        if consensus is None or consensus.role != "leader" or not consensus.serving():
            self._refuse(address, token, self._leader_address(), 0, now)
            return
        session = self.sessions.by_identity.get(front)
        self.sessions.greeted(front, "verge", session.zone if session else "", address, now)
        never = []
        for ref, attempt, outcome in outcomes:
            self.outbox.get(front, {}).pop((ref, attempt), None)
            found = self.cluster_state.find(ref)
            if found is None or found[2].state != "placed" or found[2].attempt != attempt:
                continue
            worker = self.push_workers.get(found[2].worker)
            if outcome in ("unsent", "late", "withheld"):
                never.append((ref, attempt, "never"))
                if worker and outcome == "unsent":
                    worker.judge(False)
            elif outcome == "refused":
                never.append((ref, attempt, "refused"))
            elif outcome == "unknown" and worker:
                worker.judge(False)
        self._propose_ends(never, None, now)
        self.update_requests[front] = (address, token, tuple(seen), now)
        self._send_updates(front, now)

    def _propose_ends(self, items, waiting, now):
        """Gathers proven ends; those of one tick become one entry and so one sync."""
        fresh = [one for one in items if one[:2] not in self.proposed_ends]
        self.proposed_ends.update(one[:2] for one in fresh)
        self.ends.extend(fresh)
        if waiting is not None and fresh:
            self.ends_waiting.append(waiting)
        return fresh

    def _propose_gathered(self, now):
        """One entry for all ends gathered, its outcome told to all who wait."""
        if self.ends:
            ends, waiting = tuple(self.ends), self.ends_waiting
            self.ends, self.ends_waiting = [], []
            self.awaiting.setdefault(self.consensus.last_index() + 1, []).extend(waiting)
            self.propose(("ended", ends), None, now)

    def _update_version(self):
        return (self.consensus.term, self.update_serial)

    def _send_updates(self, front, now):
        """Answers a verge's question if there is news or it has waited long enough."""
        address, token, seen, asked = self.update_requests[front]
        version = self._update_version()
        orders = self._due_orders(front, now)
        kills = self._due_kills(now)
        if seen == version and not orders and not kills and now - asked < constants.UPDATES_DEFERRAL:
            return
        del self.update_requests[front]
        body = None
        if seen != version:
            body = {
                "setup_version": self.cluster_state.version,
                "configuration": self.cluster_state.leased_jobs.configuration.version,
                "drained": sorted(self.cluster_state.drained),
                "emptied": sorted(self.cluster_state.emptied),
                "withdrawn": sorted(self.cluster_state.withdrawn),
            }
        self._send(
            address,
            (
                "told",
                token,
                version,
                body,
                orders,
                kills,
                self._now(now),
                now - asked,
                self.sessions.known_control_daemons(),
                self.cluster,
            ),
        )

    def _due_orders(self, front, now):
        """Orders a verge has not yet taken; what was called off meanwhile is dropped."""
        box, time = self.outbox.get(front, {}), self._now(now)
        for (ref, attempt), order in list(box.items()):
            found = self.cluster_state.find(ref)
            standing = found[2] if found else None
            if (
                standing is None
                or standing.state != "placed"
                or standing.attempt != attempt
                or standing.yields_to
                or time > order["send_by"]
            ):
                del box[(ref, attempt)]
        return tuple(box.values())

    def _due_kills(self, now):
        kills = []
        for ref, attempt in list(self.cluster_state.yielding.items()):
            if now - self.kills.get(ref, -1e9) >= constants.KILL_AGAIN:
                worker = self.push_workers.get(self.cluster_state.find(ref)[2].worker)
                if worker is not None:
                    self.kills[ref] = now
                    kills.append((ref, attempt, worker.report.address))
        return tuple(kills)

    # --- leading: reports -------------------------------------------------------------
    def take_report(self, report, now):
        """Gathers a minion's report; (ends to agree on, acknowledged at once, strays)."""
        known = self.push_workers.get(report.worker)
        newest = True
        if known is None:
            self.push_workers[report.worker] = known = PushWorker(report, now)
        elif report.incarnation == known.report.incarnation:
            newest = report.counter > known.report.counter
        elif report.address != known.report.address and not known.unresponsive(now):
            newest = False  # another machine under a name that is taken
            self._event(158, minion=report.worker, address=report.address, known=known.report.address)
        else:
            newest = report.heard >= known.report.heard or known.unresponsive(now)
            if newest:
                known.failing = 0.0
        if newest:
            known.report, known.heard_at = report, now
        ends, acknowledged = [], []
        for ref, attempt, how in report.ended:
            found = self.cluster_state.find(ref)
            if found and found[2].state == "placed" and found[2].attempt == attempt:
                ends.append((ref, attempt, how))
            else:
                acknowledged.append((ref, attempt))
        listed = {(ref, attempt) for ref, attempt in report.running}
        listed.update((ref, attempt) for ref, attempt, _ in report.ended)
        if newest:
            ends.extend(self._absent(report, listed))
        strays = []
        for ref, attempt in report.running:
            found = self.cluster_state.find(ref)
            if (
                found is None
                or found[2].state != "placed"
                or found[2].attempt != attempt
                or found[2].yields_to
            ):
                strays.append((ref, attempt))
        return ends, acknowledged, strays

    def _absent(self, report, listed):
        """Proof by absence: a report begun after send-by and a margin lists all that
        runs, so what it lacks has ended or never begun. A new start at another address
        may be another machine: it proves nothing of what the name's last one runs."""
        for ref in sorted(self.cluster_state.reserved.get(report.worker, {})):
            standing = self.cluster_state.find(ref)[2]
            if (ref, standing.attempt) in listed:
                continue
            if report.heard >= standing.send_by + constants.SEND_MARGIN:
                same = standing.incarnation == report.incarnation
                if not same and standing.address != report.address:
                    continue
                yield (ref, standing.attempt, "never" if same else "lost")

    # --- leading: placing and watching ------------------------------------------------
    def _leader_tick(self, now):
        if not self.consensus.serving():
            return
        if self.common_level() > max(self.cluster_state.level, self.level_asked):
            self.level_asked = self.common_level()
            self.propose(("level", self.level_asked), None, now)
        if self.epoch > 0:
            self.assignments.tick(now)
        self._propose_gathered(now)
        self._maintain_members(now)
        for front in list(self.update_requests):
            if front in self.update_requests:
                self._send_updates(front, now)
        if now - self.place_at >= constants.PLACE_IDLE:
            self._place(now)
        if now - self.watch_at >= constants.WATCH_EVERY:
            self.watch_at = now
            self._watch(now)
        if (
            (self.rules or self.cluster_state.approval_pauses)
            and self.epoch > 0
            and now - self.alert_at >= constants.ALERT_EVERY
            and now - self.leader_since >= constants.REPORT_GATHERING
        ):
            self._maintain_alerts(now)

    def _claim_placing(self, now):
        """Proposes to hold the placing duty, beside the first entry of the term: nothing that is kept is
        answered before this one has brought its epoch, so it goes out with the other."""
        self.epoch = -1
        self.role_index = self.consensus.last_index() + 1
        self.propose(("duty", "placing", self.identity), None, now)

    def _place(self, now):
        """One round: at once when something was applied that may let a task be placed, and
        now and then for what only time brings. Never from within applying, whose own
        save must go first."""
        if (
            self.placing_busy
            or self.epoch <= 0
            or not self.consensus.serving()
            or now - self.leader_since < constants.REPORT_GATHERING
        ):
            return
        self.place_at, self.place_due = now, False
        self.rounds += 1
        fronts = [(one.identity, one.zone) for one in self.sessions.live("verge")]
        items, yields = self.placer.round(self.cluster_state, self.push_workers, fronts, now, self._now(now))
        if items:
            self.placing_busy += 1
            self.propose(("place", self.epoch, self.cluster_state.version, items), None, now)
        if yields:
            self.propose(("yield", self.epoch, yields), None, now)

    def _watch(self, now):
        """Overruns, feeds to be moved, withdrawals come due, minions long silent."""
        cluster_state, time = self.cluster_state, self._now(now)
        for worker, (due, gone) in sorted(cluster_state.withdrawn.items()):
            if not gone and time >= due:
                self.propose(("gone", worker), None, now)
        yields = []
        for worker, current in cluster_state.reserved.items():
            seen = self.push_workers.get(worker)
            zone = seen.report.zone if seen else ""
            closed = cluster_state.closed(worker, zone)
            for ref in current:
                job, task, standing = cluster_state.find(ref)
                if standing.yields_to or (ref, standing.attempt) in self.moving:
                    continue
                if task.limit and time > standing.since + task.limit:
                    yields.append((ref, standing.attempt, "limit"))
                elif closed and job.kind == "feed" and self._can_move(task):
                    yields.append((ref, standing.attempt, "move"))
        if yields and self.epoch > 0:
            self.moving.update(one[:2] for one in yields)
            self.propose(("yield", self.epoch, tuple(yields)), None, now)
        for name in [
            one
            for one, worker in self.push_workers.items()
            if now - worker.heard_at > constants.PUSH_WORKER_FORGET_AFTER
            and one not in cluster_state.reserved
        ]:
            del self.push_workers[name]

    def _maintain_alerts(self, now):
        """The leader, under its epoch, judges the rules by its own metrics; what holds
        approvals is an entry, so that it outlives the leader."""
        self.alert_at = now
        firing = self.alerts.firing(metrics_text.text(self, now), now)
        holding = {
            rule.alert: firing[rule.alert] for rule in self.rules if rule.pauses and rule.alert in firing
        }
        for alert, why in holding.items():
            if alert not in self.cluster_state.approval_pauses:
                self._event(164, alert=alert, why=why)
                self.propose(("hold", self.epoch, alert, why), None, now)
        for alert in self.cluster_state.approval_pauses:
            if alert not in holding:
                self._event(165, alert=alert)
                self.propose(("hold", self.epoch, alert, None), None, now)

    def _can_move(self, task):
        """Whether some open minion has room for a task that is to move."""
        for name, worker in self.push_workers.items():
            report = worker.report
            taken = sum(self.cluster_state.reserved.get(name, {}).values())
            if (
                not self.cluster_state.closed(name, report.zone)
                and set(task.labels) <= set(report.labels)
                and report.capacity - taken >= task.units
            ):
                return True
        return False

    def _react_to_applied(self, operation, outcome, now):
        """What the leader does about an entry that was applied just now."""
        kind = operation[0]
        self.place_due = True
        if kind == "duty" and self.cluster_state.index == self.role_index:
            self.epoch = outcome[1]
            if self.epoch == 1:
                self._event(110, cohort=self.cluster)
            self._event(150, epoch=self.epoch)
            self._resend_orders(now)
        elif kind == "place":
            self.placing_busy = max(0, self.placing_busy - 1)
            self.placer.forget_proposed([item[0] for item in operation[3]])
            if outcome[0] == "placed":
                for ref, refusal in outcome[1]:
                    if refusal:
                        self._refused(refusal, task=ref)
                    else:
                        self._waited(ref)
                        self._order(ref, now)
            else:
                self._refused(outcome[1])
            for front in list(self.update_requests):
                self._send_updates(front, now)
        elif kind == "ended":
            for (ref, attempt, how), result in zip(operation[1], outcome[1], strict=False):
                self.proposed_ends.discard((ref, attempt))
                self.kills.pop(ref, None)
                self.end_counts[how] = self.end_counts.get(how, 0) + 1
                self._event(155, task=ref, attempt=attempt, how=how, result=result)
                found = self.cluster_state.find(ref)
                worker = self.push_workers.get(found[2].worker) if found else None
                if worker is not None and how in ("done", "failed"):
                    worker.judge(how == "done")
                    if worker.poor():
                        self._event(157, minion=found[2].worker)
        elif kind == "job-assign":
            self.assignments.applied_assign(operation[2])
            if outcome[0] == "refused":
                self._refused(outcome[1])
            elif self.tracing:
                for placement in outcome[1]:
                    self.trace(188, task=placement.reference(), run=placement.run, minion=placement.worker_id)
        elif kind == "job-ended":
            self.assignments.ended(self.cluster_state.index, operation[1], outcome[1])
        elif kind in ("job", "job-cancel", "evacuate", "evacuation", "configure", "amend"):
            self.assignments.due = True
            if outcome[0] == "accepted":
                self.trace(187, job=outcome[1])
            if outcome[0] == "configured":
                self._event(181, version=outcome[1])
                self.update_serial += 1
                for front in list(self.update_requests):
                    self._send_updates(front, now)
        elif kind in ("setup", "drain", "area", "withdraw", "gone", "approve"):
            self.update_serial += 1
            if outcome[0] == "setup":
                self._event(160, version=outcome[1])
                if kind == "approve":
                    self._event(163, draft=operation[2], version=outcome[1], who=operation[3])
                else:
                    self._event(161, version=outcome[1], who=operation[5], why=operation[6] or "unstated")
            for front in list(self.update_requests):
                self._send_updates(front, now)
        elif kind in ("yield", "cancel"):
            for front in list(self.update_requests):
                self._send_updates(front, now)

    def _refused(self, why, **fields):
        self.refusals[why] = self.refusals.get(why, 0) + 1
        self._event(151, why=why, **fields)

    def _waited(self, ref):
        """Notes how long a task just placed was ready."""
        job, task, standing = self.cluster_state.find(ref)
        if standing.attempt == 1:
            histogram = self.wait_histograms.setdefault(job.queue, metrics.Histogram())
            histogram.add(max(0.0, standing.since - job.ready_since(task)))

    def _on_http(self, request, method, target, headers, body, now):
        """The accord's own small port: its health and metrics, nothing that is carried."""
        answer = {"/v1/health": metrics_text.health, "/v1/metrics": metrics_text.text}.get(target)
        if method != "GET" or answer is None:
            told = {
                "error": {
                    "code": "no_such_way",
                    "message": "an accord answers GET /v1/health and /v1/metrics",
                }
            }
            self.effects.append(Reply(request, 404, told))
        else:
            self.effects.append(Reply(request, 200, answer(self, now)))

    def _order(self, ref, now):
        """Puts a committed placement into the outbox of the verge that is to send it."""
        job, task, standing = self.cluster_state.find(ref)
        worker = self.push_workers.get(standing.worker)
        if worker is None or standing.yields_to:
            return
        if worker.poor():
            worker.trial_at = now
        order = {
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
            "epoch": self.epoch,
            "setup_version": self.cluster_state.version,
        }
        self.outbox.setdefault(standing.front_daemon, {})[(ref, standing.attempt)] = order

    def _resend_orders(self, now):
        """A new leader tells again what may still be sent; verges send each only once."""
        time = self._now(now)
        for current in list(self.cluster_state.reserved.values()):
            for ref in current:
                standing = self.cluster_state.find(ref)[2]
                if time < standing.send_by:
                    self._order(ref, now)
