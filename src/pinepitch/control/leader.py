"""What an accord does while it leads: calls, news, reports, placing, watching."""

from typing import NamedTuple

from ..common import constants, metrics
from ..model.push_worker import Minion
from ..scheduling import requests as job_calls
from ..transport.request_key import subject_of
from . import metrics_text
from .requests import CALLS

KEPT = tuple(job_calls.CALLS)  # calls that only a leader with its lease and epoch may answer


class InHand(NamedTuple):
    """A carried call that is being answered, and which sending of it was taken. Invariant: the first
    two are its CallKey."""

    call: str
    subject: str
    sending: int

    @property
    def key(self):
        return self[:2]


class Lead:
    """The leader's part of Accord. Invariants: what it gathers (minions, awaiting, outbox) is
    empty unless this accord leads; a call is in in_hand until it is answered, and answered as
    the call that it was taken as."""

    # --- leading: calls carried by verges ---------------------------------------------
    def _on_ask(self, address, token, call, arguments, sending, end, now):
        """A daemon carries a call; every call is safe to be asked again. None is taken after its
        end, a Reading of this leader's clock: whoever carries it has given it up by then."""
        consensus = self.consensus
        if consensus is None or consensus.role != "leader" or self.stopping:
            self._refuse(address, token, self._leader_address(), sending, now)
            return
        taken = InHand(call, subject_of(call, arguments), sending)
        held = self.in_hand.get(token)
        if held is not None:
            if held.key != taken.key:
                self._event(146, token=token, held=list(held.key), asked=list(taken.key))
            return
        if not self._in_time(end, now):
            self._refuse(address, token, self.address, sending, now)
            return
        self.in_hand[token] = taken
        handler = CALLS.get(call)
        if handler is None:
            message = "whoever leads does not know this call"
            self.answer(address, token, job_calls.problem(400, "unknown_call", message))
            return
        if not handler.reads:
            if not consensus.serving() or call in KEPT and (self.epoch <= 0 or not consensus.leased(now)):
                self.elsewhere(address, token, None, now)
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
        made = handler.make(self, token, arguments, now)
        if made[0] == "ends":
            self._propose_ends(made[1], (address, token, "report", made[2]), now)
        elif made[0] == "beat":
            self.keeper.beat(made[1], made[2], address, token, now)
        elif made[0] == "answer":
            if self.leased(now):
                self.answer(address, token, made[1], self.consensus.lease_end(now))
            else:  # what stands in the record here may be old
                self.elsewhere(address, token, None, now)
        else:
            _, operation, shape, extra = made
            self.propose(operation, (address, token, shape, extra), now)

    def _answer_read(self, read, now):
        address, token, handler, arguments = self.reading.pop(read, (None, None, None, None))
        if handler is not None:
            self.answer(address, token, handler.make(self, token, arguments, now)[1])

    def answer(self, address, token, answer, until=None):
        """The answer to a call in hand, perhaps to one that this accord carried itself; what was
        only read, and not agreed on, is written until `until` at the latest."""
        held = self.in_hand.pop(token, None)
        if held is None:
            return
        if address == self.address:
            answered = self.confirmed_calls.answered(token, answer, held.key, self.step_at, until)
            self.effects.extend(answered)
        else:
            self._send(address, ("answer", token, answer, held.key))

    def elsewhere(self, address, token, leader, now):
        """A call in hand that this accord does not take after all."""
        held = self.in_hand.pop(token, None)
        if held is not None:
            self._refuse(address, token, leader, held.sending, now)

    def _refuse(self, address, token, leader, sending, now):
        """Says that one sending of a call was not taken here, and never will be."""
        if address == self.address:
            self.carrier.refused(token, sending)
        else:
            self._send(address, ("elsewhere", token, leader, sending, self._leader_reading(now)))

    def unsure(self, address, token):
        """A call that may have been taken, though this accord can't say."""
        self.in_hand.pop(token, None)
        if address == self.address:
            self.carrier.unsure(token)
        else:
            self._send(address, ("unsure", token))

    def leased(self, now):
        """Whether what this accord says as a leader can be relied on now."""
        return self.consensus is not None and self.consensus.leased(now)

    def propose_at(self, operation, now):
        """Proposes, and says at which index; None when it is held back."""
        if self.record.levels.get(operation[0], 1) > self.common_level():
            return None
        index = self.consensus.last_index() + 1
        self.propose(operation, None, now)
        return index

    def common_level(self):
        """The level agreed on, or the lowest of the members if it is higher by now; one that has not
        told its own counts as 1. What was agreed stays: a member that is away knew it then."""
        told = min((self.told_levels.get(one, 1) for one in self.consensus.cohort.members()), default=1)
        return max(self.record.level, told)

    def propose(self, operation, waiting, now):
        """Puts one operation into the log; `waiting` is told the outcome. One that a member
        does not know yet is held back."""
        if self.record.levels.get(operation[0], 1) > self.common_level():
            self._event(133, operation=operation[0], level=self.common_level())
            if waiting is not None:
                self.elsewhere(waiting[0], waiting[1], None, now)
            return
        if waiting is not None and self.consensus.log.size > self.limits.log:
            self._event(134, operation=operation[0], bytes=self.consensus.log.size)
            self.elsewhere(waiting[0], waiting[1], None, now)
            return
        start = self.consensus.last_index() + 1
        if waiting is not None:
            self.awaiting.setdefault(start, []).append(waiting)
        result = self.consensus.propose([operation], self._now(now), now)
        self._run(result[1], now)

    # --- leading: news ----------------------------------------------------------------
    def _on_news(self, verge, address, token, seen, outcomes, now):
        """A verge asks for news and says how its orders went."""
        consensus = self.consensus
        if consensus is None or consensus.role != "leader" or not consensus.serving():
            self._refuse(address, token, self._leader_address(), 0, now)
            return
        session = self.sessions.held.get(verge)
        self.sessions.greeted(verge, "verge", session.area if session else "", address, now)
        never = []
        for ref, attempt, outcome in outcomes:
            self.outbox.get(verge, {}).pop((ref, attempt), None)
            found = self.record.find(ref)
            if found is None or found[2].state != "placed" or found[2].attempt != attempt:
                continue
            minion = self.minions.get(found[2].minion)
            if outcome in ("unsent", "late", "withheld"):
                never.append((ref, attempt, "never"))
                if minion and outcome == "unsent":
                    minion.judge(False)
            elif outcome == "refused":
                never.append((ref, attempt, "refused"))
            elif outcome == "unknown" and minion:
                minion.judge(False)
        self._propose_ends(never, None, now)
        self.asks[verge] = (address, token, tuple(seen), now)
        self._tell_news(verge, now)

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

    def _news_version(self):
        return (self.consensus.term, self.news_serial)

    def _tell_news(self, verge, now):
        """Answers a verge's question if there is news or it has waited long enough."""
        address, token, seen, asked = self.asks[verge]
        version = self._news_version()
        orders = self._due_orders(verge, now)
        kills = self._due_kills(now)
        if seen == version and not orders and not kills and now - asked < constants.NEWS_HOLD:
            return
        del self.asks[verge]
        body = None
        if seen != version:
            body = {
                "setup_version": self.record.version,
                "configuration": self.record.board.configuration.version,
                "drained": sorted(self.record.drained),
                "emptied": sorted(self.record.emptied),
                "withdrawn": sorted(self.record.withdrawn),
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
                self.sessions.known_accords(),
                self.cohort,
            ),
        )

    def _due_orders(self, verge, now):
        """Orders a verge has not yet taken; what was called off meanwhile is dropped."""
        box, time = self.outbox.get(verge, {}), self._now(now)
        for (ref, attempt), order in list(box.items()):
            found = self.record.find(ref)
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
        for ref, attempt in list(self.record.yielding.items()):
            if now - self.kills.get(ref, -1e9) >= constants.KILL_AGAIN:
                minion = self.minions.get(self.record.find(ref)[2].minion)
                if minion is not None:
                    self.kills[ref] = now
                    kills.append((ref, attempt, minion.report.address))
        return tuple(kills)

    # --- leading: reports -------------------------------------------------------------
    def take_report(self, report, now):
        """Gathers a minion's report; (ends to agree on, acknowledged at once, strays)."""
        known = self.minions.get(report.minion)
        newest = True
        if known is None:
            self.minions[report.minion] = known = Minion(report, now)
        elif report.incarnation == known.report.incarnation:
            newest = report.counter > known.report.counter
        elif report.address != known.report.address and not known.silent(now):
            newest = False  # another machine under a name that is taken
            self._event(158, minion=report.minion, address=report.address, known=known.report.address)
        else:
            newest = report.heard >= known.report.heard or known.silent(now)
            if newest:
                known.failing = 0.0
        if newest:
            known.report, known.heard_at = report, now
        ends, acknowledged = [], []
        for ref, attempt, how in report.ended:
            found = self.record.find(ref)
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
            found = self.record.find(ref)
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
        for ref in sorted(self.record.reserved.get(report.minion, {})):
            standing = self.record.find(ref)[2]
            if (ref, standing.attempt) in listed:
                continue
            if report.heard >= standing.send_by + constants.SEND_MARGIN:
                same = standing.incarnation == report.incarnation
                if not same and standing.address != report.address:
                    continue
                yield (ref, standing.attempt, "never" if same else "lost")

    # --- leading: placing and watching ------------------------------------------------
    def _lead_tick(self, now):
        if not self.consensus.serving():
            return
        if self.common_level() > max(self.record.level, self.level_asked):
            self.level_asked = self.common_level()
            self.propose(("level", self.level_asked), None, now)
        if self.epoch > 0:
            self.keeper.tick(now)
        self._propose_gathered(now)
        self._tend_members(now)
        for verge in list(self.asks):
            if verge in self.asks:
                self._tell_news(verge, now)
        if now - self.place_at >= constants.PLACE_IDLE:
            self._place(now)
        if now - self.watch_at >= constants.WATCH_EVERY:
            self.watch_at = now
            self._watch(now)
        if (
            (self.rules or self.record.holds)
            and self.epoch > 0
            and now - self.alert_at >= constants.ALERT_EVERY
            and now - self.lead_since >= constants.GATHER
        ):
            self._tend_alerts(now)

    def _claim_placing(self, now):
        """Proposes to hold the placing duty, beside the first entry of the term: nothing that is kept is
        answered before this one has brought its epoch, so it goes out with the other."""
        self.epoch = -1
        self.duty_index = self.consensus.last_index() + 1
        self.propose(("duty", "placing", self.identity), None, now)

    def _place(self, now):
        """One round: at once when something was applied that may let a task be placed, and
        now and then for what only time brings. Never from within applying, whose own
        save must go first."""
        if (
            self.placing_busy
            or self.epoch <= 0
            or not self.consensus.serving()
            or now - self.lead_since < constants.GATHER
        ):
            return
        self.place_at, self.place_due = now, False
        self.rounds += 1
        verges = [(one.identity, one.area) for one in self.sessions.live("verge")]
        items, yields = self.placer.round(self.record, self.minions, verges, now, self._now(now))
        if items:
            self.placing_busy += 1
            self.propose(("place", self.epoch, self.record.version, items), None, now)
        if yields:
            self.propose(("yield", self.epoch, yields), None, now)

    def _watch(self, now):
        """Overruns, feeds to be moved, withdrawals come due, minions long silent."""
        record, time = self.record, self._now(now)
        for minion, (due, gone) in sorted(record.withdrawn.items()):
            if not gone and time >= due:
                self.propose(("gone", minion), None, now)
        yields = []
        for minion, held in record.reserved.items():
            seen = self.minions.get(minion)
            area = seen.report.area if seen else ""
            closed = record.closed(minion, area)
            for ref in held:
                ticket, task, standing = record.find(ref)
                if standing.yields_to or (ref, standing.attempt) in self.moving:
                    continue
                if task.limit and time > standing.since + task.limit:
                    yields.append((ref, standing.attempt, "limit"))
                elif closed and ticket.kind == "feed" and self._elsewhere(task):
                    yields.append((ref, standing.attempt, "move"))
        if yields and self.epoch > 0:
            self.moving.update(one[:2] for one in yields)
            self.propose(("yield", self.epoch, tuple(yields)), None, now)
        for name in [
            one
            for one, minion in self.minions.items()
            if now - minion.heard_at > constants.MINION_FORGET and one not in record.reserved
        ]:
            del self.minions[name]

    def _tend_alerts(self, now):
        """The leader, under its epoch, judges the rules by its own metrics; what holds
        approvals is an entry, so that it outlives the leader."""
        self.alert_at = now
        firing = self.alerts.firing(metrics_text.text(self, now), now)
        holding = {
            rule.alert: firing[rule.alert] for rule in self.rules if rule.holds and rule.alert in firing
        }
        for alert, why in holding.items():
            if alert not in self.record.holds:
                self._event(164, alert=alert, why=why)
                self.propose(("hold", self.epoch, alert, why), None, now)
        for alert in self.record.holds:
            if alert not in holding:
                self._event(165, alert=alert)
                self.propose(("hold", self.epoch, alert, None), None, now)

    def _elsewhere(self, task):
        """Whether some open minion has room for a task that is to move."""
        for name, minion in self.minions.items():
            report = minion.report
            taken = sum(self.record.reserved.get(name, {}).values())
            if (
                not self.record.closed(name, report.area)
                and set(task.labels) <= set(report.labels)
                and report.room - taken >= task.units
            ):
                return True
        return False

    def _heed(self, operation, outcome, now):
        """What the leader does about an entry that was applied just now."""
        kind = operation[0]
        self.place_due = True
        if kind == "duty" and self.record.index == self.duty_index:
            self.epoch = outcome[1]
            if self.epoch == 1:
                self._event(110, cohort=self.cohort)
            self._event(150, epoch=self.epoch)
            self._resend_orders(now)
        elif kind == "place":
            self.placing_busy = max(0, self.placing_busy - 1)
            self.placer.settled([item[0] for item in operation[3]])
            if outcome[0] == "placed":
                for ref, refusal in outcome[1]:
                    if refusal:
                        self._refused(refusal, task=ref)
                    else:
                        self._waited(ref)
                        self._order(ref, now)
            else:
                self._refused(outcome[1])
            for verge in list(self.asks):
                self._tell_news(verge, now)
        elif kind == "ended":
            for (ref, attempt, how), result in zip(operation[1], outcome[1], strict=False):
                self.proposed_ends.discard((ref, attempt))
                self.kills.pop(ref, None)
                self.end_counts[how] = self.end_counts.get(how, 0) + 1
                self._event(155, task=ref, attempt=attempt, how=how, result=result)
                found = self.record.find(ref)
                minion = self.minions.get(found[2].minion) if found else None
                if minion is not None and how in ("done", "failed"):
                    minion.judge(how == "done")
                    if minion.poor():
                        self._event(157, minion=found[2].minion)
        elif kind == "job-assign":
            self.keeper.applied_assign(operation[2])
            if outcome[0] == "refused":
                self._refused(outcome[1])
            elif self.tracing:
                for placement in outcome[1]:
                    self.trace(188, task=placement.reference(), run=placement.run, minion=placement.minion)
        elif kind == "job-ended":
            self.keeper.ended(self.record.index, operation[1], outcome[1])
        elif kind in ("job", "job-cancel", "evacuate", "evacuation", "configure", "amend"):
            self.keeper.due = True
            if outcome[0] == "accepted":
                self.trace(187, job=outcome[1])
            if outcome[0] == "configured":
                self._event(181, version=outcome[1])
                self.news_serial += 1
                for verge in list(self.asks):
                    self._tell_news(verge, now)
        elif kind in ("setup", "drain", "area", "withdraw", "gone", "approve"):
            self.news_serial += 1
            if outcome[0] == "setup":
                self._event(160, version=outcome[1])
                if kind == "approve":
                    self._event(163, draft=operation[2], version=outcome[1], who=operation[3])
                else:
                    self._event(161, version=outcome[1], who=operation[5], why=operation[6] or "unstated")
            for verge in list(self.asks):
                self._tell_news(verge, now)
        elif kind in ("yield", "cancel"):
            for verge in list(self.asks):
                self._tell_news(verge, now)

    def _refused(self, why, **fields):
        self.refusals[why] = self.refusals.get(why, 0) + 1
        self._event(151, why=why, **fields)

    def _waited(self, ref):
        """Notes how long a task just placed was ready."""
        ticket, task, standing = self.record.find(ref)
        if standing.attempt == 1:
            spread = self.wait_spreads.setdefault(ticket.queue, metrics.Spread())
            spread.add(max(0.0, standing.since - ticket.ready_since(task)))

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
            self.effects.append(("reply", request, 404, told))
        else:
            self.effects.append(("reply", request, 200, answer(self, now)))

    def _order(self, ref, now):
        """Puts a committed placement into the outbox of the verge that is to send it."""
        ticket, task, standing = self.record.find(ref)
        minion = self.minions.get(standing.minion)
        if minion is None or standing.yields_to:
            return
        if minion.poor():
            minion.trial_at = now
        order = {
            "task": ref,
            "attempt": standing.attempt,
            "minion": standing.minion,
            "area": minion.report.area,
            "incarnation": standing.incarnation,
            "address": minion.report.address,
            "units": task.units,
            "work": task.work,
            "kind": ticket.kind,
            "queue": ticket.queue,
            "urgency": ticket.urgency,
            "gang": task.gang,
            "not_before": task.not_before,
            "send_by": standing.send_by,
            "limit": task.limit,
            "epoch": self.epoch,
            "setup_version": self.record.version,
        }
        self.outbox.setdefault(standing.verge, {})[(ref, standing.attempt)] = order

    def _resend_orders(self, now):
        """A new leader tells again what may still be sent; verges send each only once."""
        time = self._now(now)
        for held in list(self.record.reserved.values()):
            for ref in held:
                standing = self.record.find(ref)[2]
                if time < standing.send_by:
                    self._order(ref, now)
