"""The accord as a decider: sessions, founding, consensus, the record and the leader's work.

Inputs go through step(message, now, clock); effects come back:
("send", address, message), ("save", sequence, change), ("base", sequence, payload), ("segment", number, bytes),
("note", payload), ("snapshot", index, image), ("rehearse", work), ("event", number, fields).
"""

from ..ground import constants, metrics
from ..ground.cohorttime import CohortTime
from ..world.minion import Minion
from . import figures, rehearsal, rules
from .calls import CALLS, SHAPES
from .consensus import Consensus
from .founding import Founding
from .placing import Placer
from .record import Record
from .sessions import Sessions


class Accord:
    """Invariants: with no cohort there is no consensus, and the other way round; record
    holds just the entries up to applied; what the leader gathers (minions, awaiting,
    outbox) is empty unless this accord leads; no operation is proposed that a member,
    by the level it told last, does not know."""

    level = constants.RECORD_LEVEL
    record_kind = Record

    def __init__(self, identity, address, area, seeds, founders=constants.FOUNDERS, mode="static", seed=0):
        self.identity, self.address, self.area = identity, address, area
        self.seeds, self.mode, self.seed = tuple(seeds), mode, seed
        self.sessions = Sessions()
        self.founding = Founding(identity, area, founders)
        self.time = CohortTime()
        self.cohort = None
        self.founders = ()  # identities whose consent a founding needs
        self.consented = set()
        self.consensus = None
        self.record = self.record_kind()
        self.effects = []
        self.stopping = False
        self.greet_at = self.join_at = -1e9
        self.snapshotting = False
        self.snapshot_segments = (1, 0)  # of the archive, that the snapshot under way stands on
        self.rehearsing = None  # (draft, asked) that this accord measures now
        self.claim_at = -1e9
        self.out_since = {}  # member -> when its session was first missed
        self.applied_outcomes = {}
        self.counts = {"applied": 0, "sent": 0, "syncs": 0}
        self.event_counts, self.refusals, self.end_counts = {}, {}, {}
        self.rules = ()  # alert rules of this machine's file
        self.told_levels = {identity: self.level}  # accord -> the level it told last
        self.sync_spread, self.wait_spreads = metrics.Spread(), {}
        self._clear_lead()

    def _clear_lead(self):
        self.minions = {}
        self.awaiting = {}  # index -> [(kind, ...)] to be told the outcome
        self.reading = {}  # token -> (address, call, arguments)
        self.read_count = 0
        self.in_hand = set()
        self.asks = {}  # verge -> (address, token, news seen, asked at)
        self.outbox = {}  # verge -> {(reference, attempt): order}
        self.kills = {}  # reference -> when last ordered
        self.placer = Placer()
        self.epoch = 0
        self.lead_since = None
        self.place_at = self.watch_at = -1e9
        self.placing_busy = 0
        self.rounds = 0
        self.place_due = False  # whether what was applied may let a task be placed
        self.proposed_ends = set()
        self.ends, self.ends_waiting = [], []
        self.moving = set()
        self.news_serial = 0
        self.retire_at = -1e9
        self.alerts = rules.Watch(self.rules)
        self.alert_at = -1e9

    # --- durable state ----------------------------------------------------------------
    def restore(self, base, steps, segments=None):
        """Takes what the store held; the identity was read from it already."""
        changes, raft_base = [], None
        if base is not None:
            _, self.cohort, raft_base, _ = base
        members = None
        for step in steps:
            for kind, payload in step:
                if kind == "raft":
                    changes.append(payload)
                elif payload[0] == "consent":
                    _, self.cohort, members, self.mode = payload
                    self.founders = tuple(sorted(members))
                elif payload[0] == "joined":
                    _, self.cohort, self.mode = payload
        if self.cohort is None:
            return
        self._begin_consensus(members)
        self.consensus.restore(raft_base, changes)
        if self.consensus.base_image:
            self._take_record(self.consensus.base_image, segments)

    def _begin_consensus(self, members):
        self.consensus = Consensus(self.identity, self.seed, members, self.mode)
        self.consensus.archive = self.record.archive

    def _take_record(self, image, segments):
        self.record = self.record_kind.decode(image, segments)
        self.consensus.archive = self.record.archive

    def base(self, raft_base):
        """The payload of a base file; the store keeps the segments that its last part names."""
        return [self.identity, self.cohort, raft_base, list(self.consensus.base_segments)]

    # --- inputs -----------------------------------------------------------------------
    def step(self, message, now, clock):
        """Takes one message; returns the effects."""
        self.time.hear(self.identity, clock, now)
        kind, *rest = message
        handler = INPUTS.get(kind)
        if handler is not None:
            handler(self, *rest, now)
        if self.place_due and now - self.place_at >= constants.PLACE_EVERY:
            self._place(now)
        effects, self.effects = self.effects, []
        return effects

    def _send(self, address, message):
        if address is not None and address != self.address:
            self.counts["sent"] += 1
            self.effects.append(("send", address, message))

    def _event(self, number, **fields):
        self.event_counts[number] = self.event_counts.get(number, 0) + 1
        self.effects.append(("event", number, fields))

    def _tick(self, now):
        for identity in self.sessions.expire(now):
            self._event(141, daemon=identity)
        if now - self.greet_at >= constants.GREET_EVERY and not self.stopping:
            self.greet_at = now
            self._greet(now)
        if self.consensus is None:
            self._found(now)
            return
        allowed = (self.consensus.last_index() > 0 or self.consensus.leader_term > 0
                   or set(self.founders) <= self.consented | {self.identity})
        if allowed and not self.stopping:
            self._run(self.consensus.tick(now), now)
        if self.consensus.stranger or self.identity not in self.consensus.cohort.members():
            self._ask_to_join(now)
        if self.consensus.role == "leader":
            self._lead_tick(now)
        self._tend_rehearsal(now)

    # --- the rehearsal duty -----------------------------------------------------------
    def _tend_rehearsal(self, now):
        """The first live accord in the agreed order that does not lead measures drafts;
        the leader itself only when alone."""
        asked = [draft for draft in self.record.drafts.values() if draft["state"] == "rehearsing"]
        if not asked or self.rehearsing is not None or self.stopping:
            return
        leader = self.consensus.following
        live = sorted({session.identity for session in self.sessions.live("accord")} | {self.identity})
        order = [one for one in live if one in self.consensus.cohort.members() and one != leader] or [leader]
        if order[0] != self.identity:
            return
        epoch, holder = self.record.epochs.get("rehearsal", (0, ""))
        if holder != self.identity:
            if now - self.claim_at >= constants.JOIN_AGAIN:
                self.claim_at = now
                self._to_leader(("claim", "rehearsal", self.identity), now)
            return
        draft = min(asked, key=lambda one: one["time"])
        self.rehearsing = (draft["draft"], draft["asked"])
        self.effects.append(("rehearse", (epoch, draft["draft"], draft["asked"], self.record.sample.traffic(self.record.tickets),
                                          self.record.setup, draft["setup"], draft["rooms"])))

    def _to_leader(self, message, now):
        """Hands a message to whoever leads, perhaps this accord."""
        if self.consensus.role == "leader":
            INPUTS[message[0]](self, *message[1:], now)
        else:
            self._send(self._leader_address(), message)

    def _on_claim(self, duty, identity, now):
        if self.consensus is not None and self.consensus.role == "leader" and self.consensus.serving():
            if self.record.epochs.get(duty, (0, ""))[1] != identity:
                self.propose(("duty", duty, identity), None, now)

    measure = staticmethod(rehearsal.measure)

    def _on_rehearsed(self, epoch, draft, asked, measure, now):
        """The measuring is done; its result is agreed on under the epoch it was begun in."""
        self.rehearsing = None
        self._event(162, draft=draft, verdict=measure["verdict"])
        if self.consensus is not None:
            self._to_leader(("measured", epoch, draft, asked, measure), now)

    def _on_measured(self, epoch, draft, asked, measure, now):
        if self.consensus is not None and self.consensus.role == "leader" and self.consensus.serving():
            self.propose(("measure", epoch, draft, asked, measure), None, now)

    # --- sessions ---------------------------------------------------------------------
    def _greeting(self, now):
        view = () if self.cohort else self.founding.view(now)
        clock = self.time.readings[self.identity][0] + now
        return (self.identity, "accord", self.area, self.address, self.cohort, view, clock,
                self.sessions.known_accords(), self.founders, self.level)

    def _greet(self, now):
        message = ("greet", *self._greeting(now))
        told = ("tell", self.identity, self.sessions.own())
        addresses = {known[1] for known in self.sessions.accords.values()} | set(self.seeds)
        for address in sorted(addresses):
            self._send(address, message)
        for session in self.sessions.live("accord"):
            if session.identity != self.identity:
                self._send(session.address, told)

    def _hear(self, identity, kind, area, address, cohort, view, clock, accords, founders, level, now):
        """What a greeting and its answer have in common."""
        if identity == self.identity:
            return
        if self.sessions.greeted(identity, kind, area, address, now):
            self._event(140, daemon=identity, kind=kind, address=address)
        self.sessions.vouched(accords)
        if kind == "accord":
            self.told_levels[identity] = level
            if self.consensus is None or identity in self.consensus.cohort.members():
                self.time.hear(identity, clock, now)
        if self.cohort is None:
            self.founding.heard(identity, kind, area, cohort, view, now)
            if cohort and self.identity in founders:
                self._consent(cohort, {one: None for one in founders}, now, identity)
        elif cohort == self.cohort and kind == "accord":
            self.consented.add(identity)

    def _on_greet(self, *rest):
        *fields, now = rest
        self._hear(*fields, now)
        if not self.stopping:
            self._send(fields[3], ("greeted", *self._greeting(now), self._leader_address(), self._now(now)))

    def _on_greeted(self, *rest):
        *fields, _, _, now = rest
        self._hear(*fields, now)

    def _on_tell(self, teller, sessions, now):
        self.sessions.told(teller, sessions, now)

    def _on_leave(self, identity, now):
        """A daemon ends its session itself."""
        if self.sessions.held.pop(identity, None):
            self._event(141, daemon=identity)

    def _leader_address(self):
        if self.consensus is None or self.consensus.following is None:
            return None
        if self.consensus.following == self.identity:
            return self.address
        return self.sessions.address(self.consensus.following)

    def _now(self, now):
        """Cohort time: the clocks' median, never behind the record."""
        members = self.consensus.cohort.members() if self.consensus is not None else ()
        return self.time.read(now, self.record.time, len(members) // 2 + 1)

    # --- founding and joining ---------------------------------------------------------
    def _found(self, now):
        ready = self.founding.ready(now)
        if ready is not None:
            cohort, members = ready
            self._consent(cohort, members, now, None)
        elif self.founding.veto(now):
            self._ask_to_join(now)

    def _consent(self, cohort, members, now, teller):
        """Consents to a founding, its own or one that names this accord."""
        if teller is not None:
            areas = {one: self.founding.empties.get(one, (None,))[0] or self._area_of(one) for one in members}
            areas[self.identity] = self.area
            if None in areas.values():
                return
            members = areas
        if self.cohort is not None:
            return
        self.cohort = cohort
        self.founders = tuple(sorted(members))
        self._begin_consensus(members)
        self.effects.append(("note", ["consent", cohort, dict(members), self.mode]))
        self._event(111, cohort=cohort, members=sorted(members))

    def _area_of(self, identity):
        known = self.sessions.accords.get(identity)
        return known[0] if known else None

    def _ask_to_join(self, now):
        if now - self.join_at < constants.JOIN_AGAIN or self.stopping:
            return
        self.join_at = now
        if self.cohort is None:
            self._event(112, cohort=self.founding.veto(now))
        for session in self.sessions.live("accord"):
            self._send(session.address, ("join", self.identity, self.area, self.address))

    def _on_join(self, identity, area, address, now):
        if self.consensus is None or self.consensus.role != "leader" or not self.consensus.serving():
            return
        members = self.consensus.cohort.members()
        if identity in members:
            return
        self.sessions.greeted(identity, "accord", area, address, now)
        if len(self.consensus.learners) < constants.COHORT_MOST:
            self.consensus.learn(identity, area, now)
        self._send(address, ("admit", self.cohort, self.mode, self.identity))

    def _on_admit(self, cohort, mode, leader, now):
        if self.cohort is None:
            self.cohort, self.mode = cohort, mode
            self._begin_consensus({})
            self.effects.append(("note", ["joined", cohort, mode]))
            self._event(113, cohort=cohort)

    def _tend_members(self, now):
        """Lets caught-up newcomers in and long lost members out, by joint consensus."""
        consensus = self.consensus
        live = {session.identity for session in self.sessions.live("accord")} | {self.identity}
        members = consensus.cohort.members()
        for identity in members:
            if identity in live:
                self.out_since.pop(identity, None)
            else:
                self.out_since.setdefault(identity, now)
        if consensus.cohort.coming is not None or not consensus.serving():
            return
        out = {one: now - since for one, since in self.out_since.items() if one in members}
        for identity in sorted(consensus.learners):
            if identity in live and consensus.caught_up(identity) and identity not in members:
                change = self._admission(identity, consensus.learners[identity], members, out)
                if change is not None:
                    self._propose_members(change, now)
                    return
        for identity, lost in sorted(out.items()):
            beside = any(one in live and area == members[identity] for one, area in members.items())
            if lost > constants.RETIRE_AFTER and beside and len(members) > 3:
                self._propose_members({one: area for one, area in members.items() if one != identity}, now)
                return

    def _admission(self, identity, area, members, out):
        """The members once a newcomer is in: in a lost one's place, or in an area without
        any; else None, and it stays a spare that follows the log."""
        address = self.sessions.address(identity)
        lost = [one for one in members if self.sessions.address(one) == address]
        if not lost:
            lost = [one for one, since in out.items()
                    if members[one] == area and since >= constants.REPLACE_AFTER]
        if lost:
            leaves = max(lost, key=lambda one: (out.get(one, 0.0), one))
            return {**{one: place for one, place in members.items() if one != leaves}, identity: area}
        if area in members.values() or len(members) >= constants.COHORT_MOST:
            return None  # a spare: a group of two would need both, so it waits for a loss
        return {**members, identity: area}

    def _propose_members(self, members, now):
        result = self.consensus.change_members(members, self._now(now), now)
        if result is not None:
            self._run(result[1], now)

    # --- consensus --------------------------------------------------------------------
    def _on_raft(self, cohort, sender, receiver, message, now):
        if self.consensus is None or cohort != self.cohort or receiver != self.identity:
            return
        self._run(self.consensus.step(sender, message, now), now)

    def _on_saved(self, sequence, now):
        self.counts["syncs"] += 1
        if self.consensus.saving:
            self.sync_spread.add(now - self.consensus.saving[0][2])
        self._run(self.consensus.saved(sequence, now), now)

    def _on_disk(self, why, now):
        """The disk refused to write, or (why is None) writes again."""
        if why is None:
            self._event(107)
            return
        self._event(106, why=why)
        if self.consensus is not None:
            self._run(self.consensus.disk_failed(now), now)

    def _on_encoded(self, index, data, now):
        self.snapshotting = False
        if index > self.consensus.base_index and self.consensus.term_at(index) is not None:
            payload = self.consensus.compact(index, data, self.snapshot_segments)
            self.record.archive.retired.clear()
            self.effects.append(("base", None, self.base(payload)))
            self._event(126, index=index, bytes=len(data))

    def _run(self, effects, now):
        """Carries out what consensus decided."""
        for effect in effects:
            kind = effect[0]
            if kind == "send":
                self._send(self.sessions.address(effect[1]),
                           ("raft", self.cohort, self.identity, effect[1], effect[2]))
            elif kind == "save":
                self.effects.append(effect)
            elif kind == "event":
                self._event(effect[1], **effect[2])
            elif kind == "base":
                self.effects.append(("base", effect[1], self.base(effect[2])))
            elif kind == "commit":
                self._apply(effect[1], effect[2], now)
            elif kind == "install":
                archive = self.record.archive
                self._take_record(effect[2], {**archive.retired, **archive.held, **effect[3]})
                for number, data in sorted(effect[3].items()):
                    self.effects.append(("segment", number, data))
            elif kind == "lead":
                self._clear_lead()
                self.lead_since = now
            elif kind == "unlead":
                self._unlead()
            elif kind == "read":
                self._answer_read(effect[1], now)

    def _unlead(self):
        for waiting in (*self.awaiting.values(), self.ends_waiting):
            for address, token, _, _ in waiting:
                if token is not None:
                    self._send(address, ("elsewhere", token, None))
        for address, token, _, _ in self.reading.values():
            self._send(address, ("elsewhere", token, None))
        self._clear_lead()

    def _apply(self, start, entries, now):
        consensus = self.consensus
        for place, (_, time, operation) in enumerate(entries):
            index = start + place
            outcome = self.record.apply(index, time, operation)
            self.counts["applied"] += 1
            if consensus.role == "leader" and consensus.commit >= index:
                self._heed(operation, outcome, now)
                for address, token, shape, extra in self.awaiting.pop(index, ()):
                    self._tell(address, token, shape, extra, outcome, now)
        for number, data in self.record.sealed:
            self.effects.append(("segment", number, data))
        self.record.sealed.clear()
        due = self.record.index - consensus.base_index >= constants.SNAPSHOT_ENTRIES
        if due and not self.snapshotting:
            self.snapshotting = True
            self.snapshot_segments = self.record.archive.range()
            self.effects.append(("snapshot", self.record.index, self.record.image()))

    def _tell(self, address, token, shape, extra, outcome, now):
        if token is None:
            return
        self.in_hand.discard(token)
        answer = SHAPES[shape](self, outcome, extra, now)
        self._send(address, ("answer", token, answer))

    # --- leading: calls carried by verges ---------------------------------------------
    def _on_ask(self, address, token, call, arguments, now):
        """A verge carries a call; every call is safe to be asked again."""
        consensus = self.consensus
        if consensus is None or consensus.role != "leader" or self.stopping:
            self._send(address, ("elsewhere", token, self._leader_address()))
            return
        if token in self.in_hand:
            return
        handler = CALLS.get(call)
        if handler is None:
            self._send(address, ("answer", token, (400, {"code": "unknown_call"}, None)))
            return
        self.in_hand.add(token)
        if not handler.reads:
            if not consensus.serving():
                self.in_hand.discard(token)
                self._send(address, ("elsewhere", token, None))
                return
            self._decide(address, token, handler, arguments, now)
            return
        self.read_count += 1
        self.reading[self.read_count] = (address, token, handler, arguments)
        self._run(consensus.read(self.read_count, now), now)

    def _decide(self, address, token, handler, arguments, now):
        """Asks a handler for an answer at once or an operation to agree on."""
        made = handler.make(self, token, arguments, now)
        if made[0] == "ends":
            self._propose_ends(made[1], (address, token, "report", made[2]), now)
        elif made[0] == "answer":
            self.in_hand.discard(token)
            self._send(address, ("answer", token, made[1]))
        else:
            _, operation, shape, extra = made
            self.propose(operation, (address, token, shape, extra), now)

    def _answer_read(self, read, now):
        address, token, handler, arguments = self.reading.pop(read, (None, None, None, None))
        if handler is not None:
            self.in_hand.discard(token)
            self._send(address, ("answer", token, handler.make(self, token, arguments, now)[1]))

    def common_level(self):
        """The lowest level of the members, 1 for one that has not told its own."""
        return min((self.told_levels.get(one, 1) for one in self.consensus.cohort.members()), default=1)

    def propose(self, operation, waiting, now):
        """Puts one operation into the log; `waiting` is told the outcome. One that a member
        does not know yet is held back."""
        if self.record.levels.get(operation[0], 1) > self.common_level():
            self._event(133, operation=operation[0], level=self.common_level())
            if waiting is not None:
                self._send(waiting[0], ("elsewhere", waiting[1], None))
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
            self._send(address, ("elsewhere", token, self._leader_address()))
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
                "drained": sorted(self.record.drained), "emptied": sorted(self.record.emptied),
                "withdrawn": sorted(self.record.withdrawn),
            }
        self._send(address, ("told", token, version, body, orders, kills, self._now(now), now - asked,
                             self.sessions.known_accords(), self.cohort))

    def _due_orders(self, verge, now):
        """Orders a verge has not yet taken; what was called off meanwhile is dropped."""
        box, time = self.outbox.get(verge, {}), self._now(now)
        for (ref, attempt), order in list(box.items()):
            found = self.record.find(ref)
            standing = found[2] if found else None
            if (standing is None or standing.state != "placed" or standing.attempt != attempt
                    or standing.yields_to or time > order["send_by"]):
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
        elif report.address != known.report.address and now - known.heard_at <= constants.MINION_SILENT:
            newest = False  # another machine under a name that is taken
            self._event(158, minion=report.minion, address=report.address, known=known.report.address)
        else:
            newest = report.heard >= known.report.heard or now - known.heard_at > constants.MINION_SILENT
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
            if found is None or found[2].state != "placed" or found[2].attempt != attempt or found[2].yields_to:
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
        self._propose_gathered(now)
        self._tend_members(now)
        if not self.epoch:
            self.epoch = -1
            self.propose(("duty", "placing", self.identity), None, now)
        for verge in list(self.asks):
            if verge in self.asks:
                self._tell_news(verge, now)
        if now - self.place_at >= constants.PLACE_IDLE:
            self._place(now)
        if now - self.watch_at >= constants.WATCH_EVERY:
            self.watch_at = now
            self._watch(now)
        if ((self.rules or self.record.holds) and self.epoch > 0 and now - self.alert_at >= constants.ALERT_EVERY
                and now - self.lead_since >= constants.GATHER):
            self._tend_alerts(now)

    def _place(self, now):
        """One round: at once when something was applied that may let a task be placed, and
        now and then for what only time brings. Never from within applying, whose own
        save must go first."""
        if (self.placing_busy or self.epoch <= 0 or not self.consensus.serving()
                or now - self.lead_since < constants.GATHER):
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
        for name in [one for one, minion in self.minions.items()
                     if now - minion.heard_at > constants.MINION_FORGET and one not in record.reserved]:
            del self.minions[name]

    def _tend_alerts(self, now):
        """The leader, under its epoch, judges the rules by its own metrics; what holds
        approvals is an entry, so that it outlives the leader."""
        self.alert_at = now
        firing = self.alerts.firing(figures.text(self, now), now)
        holding = {rule.alert: firing[rule.alert] for rule in self.rules if rule.holds and rule.alert in firing}
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
            if (not self.record.closed(name, report.area) and set(task.labels) <= set(report.labels)
                    and report.room - taken >= task.units):
                return True
        return False

    def _heed(self, operation, outcome, now):
        """What the leader does about an entry that was applied just now."""
        kind = operation[0]
        self.place_due = True
        if kind == "duty" and operation[2] == self.identity and operation[1] == "placing":
            if self.epoch == -1:
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
            for (ref, attempt, how), result in zip(operation[1], outcome[1]):
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
            ready = max([ticket.accepted, task.not_before, *(ticket.standings[one].since for one in task.after)])
            self.wait_spreads.setdefault(ticket.queue, metrics.Spread()).add(max(0.0, standing.since - ready))

    def _on_http(self, request, method, target, headers, body, now):
        """The accord's own small port: its health and metrics, nothing that is carried."""
        answer = {"/v1/health": figures.health, "/v1/metrics": figures.text}.get(target)
        if method != "GET" or answer is None:
            told = {"error": {"code": "no_such_way", "message": "an accord answers GET /v1/health and /v1/metrics"}}
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
            "task": ref, "attempt": standing.attempt, "minion": standing.minion, "area": minion.report.area,
            "incarnation": standing.incarnation, "address": minion.report.address, "units": task.units,
            "work": task.work, "kind": ticket.kind, "queue": ticket.queue, "urgency": ticket.urgency,
            "gang": task.gang, "not_before": task.not_before, "send_by": standing.send_by,
            "limit": task.limit, "epoch": self.epoch, "setup_version": self.record.version,
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

    # --- stopping ---------------------------------------------------------------------
    def _on_stop(self, now):
        """SIGTERM: gives leadership up, leaves the session, finishes nothing new."""
        self.stopping = True
        self._event(101)
        if self.consensus is not None and self.consensus.role == "leader":
            self.consensus._follow(self.consensus.term, now, "stopping")
            self._run(self.consensus._done(now), now)
        for session in self.sessions.live("accord"):
            self._send(session.address, ("leave", self.identity))


# The registry of inputs: message kind -> handler.
INPUTS = {
    "tick": Accord._tick,
    "greet": Accord._on_greet,
    "greeted": Accord._on_greeted,
    "tell": Accord._on_tell,
    "leave": Accord._on_leave,
    "join": Accord._on_join,
    "admit": Accord._on_admit,
    "raft": Accord._on_raft,
    "saved": Accord._on_saved,
    "encoded": Accord._on_encoded,
    "disk": Accord._on_disk,
    "http": Accord._on_http,
    "claim": Accord._on_claim,
    "rehearsed": Accord._on_rehearsed,
    "measured": Accord._on_measured,
    "ask": Accord._on_ask,
    "news": Accord._on_news,
    "stop": Accord._on_stop,
}
