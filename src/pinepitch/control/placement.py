"""Placing: which waiting task goes to which minion, and who yields to whom.

A decider: it reads the record and the gathered minions and returns proposals; the record
checks each again when it is applied.
"""

import heapq
import itertools
from typing import NamedTuple

from ..common import constants
from ..model.task import reference, unit_of

SHORT = ("no room", "no credits", "the queue's limit")  # what ends in room being held back


class Seat(NamedTuple):
    """A minion as one placing round sees it. Invariant: free counts every reservation in
    the record and every one proposed but not yet applied."""

    minion: str
    area: str
    room: int
    labels: frozenset
    incarnation: str
    poor: bool
    address: str


class Wanted(NamedTuple):
    """A unit of a ticket that could start now. Invariant: names are its waiting tasks."""

    ticket: object
    unit: str
    names: tuple
    shape: tuple  # (queue, units and labels of each): what none fits of, none fits


class Round:
    """What one round knows. Invariants: free counts every reservation in the record, every
    one proposed, and those of this round; what is held back is for the unit named alone."""

    def __init__(self, seats, free):
        self.seats, self.free = seats, free
        self.borrowed, self.used = {}, {}
        self.held = {}  # minion -> (units, (ticket, unit)) held back there
        self.queues = {}  # queue -> (units, (ticket, unit)) of its credits and limit held back

    def kept(self, held, key, wanted):
        """Units that are held back from `wanted`."""
        units, owner = held.get(key, (0, None))
        return 0 if owner == (wanted.ticket.identity, wanted.unit) else units


class Placer:
    """Invariants: proposed holds each reference proposed and not yet applied, so that no
    round proposes one twice; why holds, for a shape of which the newest round placed not
    all, the reason; short holds when each unit that now lacks room, credits or a place
    under its limit was first seen to."""

    def __init__(self):
        self.proposed = {}
        self.why = {}
        self.short = {}
        self._minion_of = {}
        self.turn = 0

    def round(self, record, minions, verges, now, time):
        """(place items, yield items) of one round."""
        record.ripen(time)
        this = Round(*self._seats(record, minions, now))
        if not verges:
            return (), ()
        for charges, queue, units in self.proposed.values():
            this.used[queue] = this.used.get(queue, 0) + units
            for lender, credits in charges:
                this.borrowed[lender] = this.borrowed.get(lender, 0) + credits
        items, self.why = [], {}
        oldest = self._hold_back(record, this, now)
        for wanted in itertools.chain(oldest, self._candidates(record)):
            if len(items) >= constants.PLACE_MOST:
                break
            ticket = wanted.ticket
            group = self._fit(record, wanted, this, verges)
            key = (ticket.identity, wanted.unit)
            if isinstance(group, str):
                self.why[wanted.shape] = group
                if group in SHORT:
                    self.short.setdefault(key, now)
                else:
                    self.short.pop(key, None)
                continue
            self.short.pop(key, None)
            for item in group:
                name = item[0].partition("/")[2]
                self.proposed[item[0]] = (item[6], ticket.queue, ticket.tasks[name].units)
            items.extend(group)
        return tuple(items), tuple(self._yields(record, this, time))

    def reason(self, record, ticket, name):
        """Why a task that could start was not placed by the newest round."""
        spot = record.spots.get((ticket.identity, unit_of(ticket.tasks[name])))
        return self.why.get((spot[1], spot[3]), "not yet looked at") if spot else "its gang is not ready"

    def _hold_back(self, record, this, now):
        """For the unit of each queue that has been short the longest, and long enough:
        room on the minions where it will fit first, and its queue's credits and limit.
        Others still get what is left beside that, which delays it by nothing."""
        self.short = {key: since for key, since in self.short.items() if key in record.spots}
        oldest = []
        for key, since in sorted(self.short.items(), key=lambda one: (one[1], one[0])):
            identity, unit = key
            begins, queue, _, shape, _ = record.spots[key]
            ticket, row = record.tickets[identity], record.rows[queue]
            names = record.members(ticket, unit)
            if (
                queue in this.queues
                or begins > record.ripe_at
                or reference(identity, names[0]) in self.proposed
            ):
                continue
            apart = unit[0] == "/" and len(names) < sum(
                task.gang == unit[1:] for task in ticket.tasks.values()
            )
            if now - since < (constants.PREEMPT_WAIT if row.preempts or apart else constants.HOLD_WAIT):
                continue
            held = self._hold_room(ticket, names, this)
            if held is not None:
                this.queues[queue] = (sum(ticket.tasks[name].units for name in names), key)
                this.held.update({minion: (units, key) for minion, units in held.items()})
                oldest.append(Wanted(ticket, unit, names, (queue, shape)))
        return oldest

    def _hold_room(self, ticket, names, this):
        """minion -> units to hold back for a unit, where most is free; None if it fits nowhere."""
        taken = {}
        for name in sorted(names, key=lambda one: (-ticket.tasks[one].units, one)):
            task = ticket.tasks[name]
            fitting = [
                seat
                for seat in this.seats
                if frozenset(task.labels) <= seat.labels
                and not seat.poor
                and seat.minion not in this.held
                and seat.room - taken.get(seat.minion, 0) >= task.units
            ]
            if not fitting:
                return None
            best = max(
                fitting,
                key=lambda seat: (
                    this.free[seat.minion] - taken.get(seat.minion, 0),
                    -len(seat.labels),
                    seat.minion,
                ),
            )
            taken[best.minion] = taken.get(best.minion, 0) + task.units
        return taken

    def _seats(self, record, minions, now):
        """Minions that may get work, and the units free on each."""
        seats, free = [], {}
        pending = {}
        for ref, (_, _, units) in self.proposed.items():
            pending[self._minion_of.get(ref)] = pending.get(self._minion_of.get(ref), 0) + units
        for name in sorted(minions):
            minion = minions[name]
            report = minion.report
            if minion.silent(now) or record.closed(name, report.area):
                continue
            held = record.reserved.get(name, {})
            taken = sum(held.values()) + pending.get(name, 0)
            poor = minion.poor()
            if poor and (taken or now - minion.trial_at < constants.TRIAL_EVERY):
                continue
            free[name] = report.room - taken
            seats.append(
                Seat(
                    name,
                    report.area,
                    report.room,
                    frozenset(report.labels),
                    report.incarnation,
                    poor,
                    report.address,
                )
            )
        return seats, free

    def _candidates(self, record):
        """What could start now: most urgent first, queues in turn by how little of their
        share they use, within a queue by due. A shape of which one did not fit is left."""
        heads = []
        for queue, levels in record.ready.items():
            row = record.rows.get(queue)
            if row is None:
                continue
            load = record.used.get(queue, 0) / max(1, row.share)
            heads.extend((-urgency, load, queue, shapes) for urgency, shapes in levels.items())
        heads.sort(key=lambda one: one[:3])
        for _, _, queue, shapes in heads:
            cursors = [(entries[0], shape, 0) for shape, entries in shapes.items()]
            heapq.heapify(cursors)
            while cursors:
                entry, shape, place = cursors[0]
                if (queue, shape) in self.why:
                    heapq.heappop(cursors)
                    continue
                if place + 1 < len(shapes[shape]):
                    heapq.heapreplace(cursors, (shapes[shape][place + 1], shape, place + 1))
                else:
                    heapq.heappop(cursors)
                _, number, unit = entry
                ticket = record.tickets[f"t{number}"]
                names = record.members(ticket, unit)
                if reference(ticket.identity, names[0]) not in self.proposed:
                    yield Wanted(ticket, unit, names, (queue, shape))

    def _fit(self, record, wanted, this, verges):
        """Items for all tasks of a unit, or the reason why not."""
        ticket, names = wanted.ticket, wanted.names
        queue = ticket.queue
        row = record.rows[queue]
        units = sum(ticket.tasks[name].units for name in names)
        kept = this.kept(this.queues, queue, wanted)
        if record.used.get(queue, 0) + this.used.get(queue, 0) + units > row.limit - kept:
            return "held back for older work of its queue" if kept else "the queue's limit"
        taken, lent, group = {}, {}, []
        for name in sorted(names, key=lambda one: (-ticket.tasks[one].units, one)):
            task = ticket.tasks[name]
            charges = self._charges(record, ticket, task.units, this.borrowed, lent, kept)
            if charges is None:
                return "held back for older work of its queue" if kept else "no credits"
            seat = self._draw(task, wanted, this, taken)
            if isinstance(seat, str):
                return seat
            taken[seat.minion] = taken.get(seat.minion, 0) + task.units
            self.turn += 1
            near = [one for one, area in verges if area == seat.area] or [one for one, _ in verges]
            verge = near[self.turn % len(near)]
            group.append(
                (
                    reference(ticket.identity, name),
                    seat.minion,
                    seat.area,
                    seat.room,
                    seat.incarnation,
                    verge,
                    charges,
                    seat.address,
                )
            )
        for minion, units_taken in taken.items():
            this.free[minion] -= units_taken
        for lender, credits in lent.items():
            this.borrowed[lender] = this.borrowed.get(lender, 0) + credits
        this.used[queue] = this.used.get(queue, 0) + units
        for item in group:
            self._minion_of[item[0]] = item[1]
        return group

    def _draw(self, task, wanted, this, taken):
        """The seat for a task: the one with most room left, so that load spreads; seats
        with labels that the task does not ask for come last, so that they stay free."""
        best, best_rank, fits = None, None, False
        labels = frozenset(task.labels)
        for seat in this.seats:
            if not labels <= seat.labels or task.units > seat.room:
                continue
            fits = True
            left = this.free[seat.minion] - taken.get(seat.minion, 0) - task.units
            left -= this.kept(this.held, seat.minion, wanted)
            if left < 0 or (seat.poor and taken.get(seat.minion)):
                continue
            rank = (seat.poor, len(seat.labels - labels), -left / max(1, seat.room), seat.minion)
            if best is None or rank < best_rank:
                best, best_rank = seat, rank
        if best is None:
            return "no room" if fits else "no minion fits"
        return best

    def _charges(self, record, ticket, units, borrowed, lent, kept):
        """Who lends the credits: the queue itself but for what it keeps, then the queues
        with most idle. A feed has no end, so it never borrows."""
        queue = ticket.queue

        def balance(one):
            return record.balance(one) - borrowed.get(one, 0) - lent.get(one, 0)

        own = min(units, max(0, balance(queue) - kept))
        charges = [(queue, own)] if own else []
        rest = units - own
        if rest and ticket.kind != "feed":
            lenders = sorted(
                (
                    one
                    for one, row in record.rows.items()
                    if one != queue and row.lends and not record.ready.get(one)
                ),
                key=lambda one: (-balance(one), one),
            )
            for lender in lenders:
                part = min(rest, balance(lender))
                if part <= 0:
                    break
                charges.append((lender, part))
                rest -= part
                if not rest:
                    break
        if rest:
            return None
        for lender, credits in charges:
            lent[lender] = lent.get(lender, 0) + credits
        return tuple(charges)

    def _wanting(self, record):
        """(ticket, task name, why) of the oldest single tasks of rows that preempt which found
        no room, or whose credits are lent out."""
        for (queue, shape), why in self.why.items():
            if why not in ("no room", "no credits") or not record.rows[queue].preempts or len(shape) != 2:
                continue
            for urgency in sorted(record.ready[queue], reverse=True):
                for _, number, unit in record.ready[queue][urgency].get(shape, ())[: constants.PREEMPT_MOST]:
                    ticket = record.tickets[f"t{number}"]
                    if unit in ticket.tasks and reference(ticket.identity, unit) not in self.proposed:
                        yield ticket, unit, why

    def _yields(self, record, this, time):
        """Which running tasks should yield to urgent ones that found no room or whose own
        credits were lent."""
        named = set(record.yielding)
        served = {found[2].yields_to for found in map(record.find, named) if found}
        for ticket, name, why in self._wanting(record):
            task, standing = ticket.tasks[name], ticket.standings[name]
            whom = reference(ticket.identity, name)
            if time - standing.since < constants.PREEMPT_WAIT or whom in served:
                continue
            if why == "no credits":
                best = self._recalled(record, ticket, task, named)
            else:
                best = None
                for seat in this.seats:
                    if not frozenset(task.labels) <= seat.labels or task.units > seat.room:
                        continue
                    victims = self._victims(
                        record,
                        ticket,
                        record.reserved.get(seat.minion, {}),
                        named,
                        task.units - this.free[seat.minion],
                    )
                    if victims and (best is None or len(victims) < len(best)):
                        best = victims
            for ref in best or ():
                named.add(ref)
                yield (ref, record.find(ref)[2].attempt, whom)

    def _recalled(self, record, ticket, task, named):
        """Borrowers of a queue's own credits whose end would bring enough of them back."""
        gains = {}
        for held in record.reserved.values():
            for ref in held:
                other, _, standing = record.find(ref)
                back = sum(credits for lender, credits in standing.charges if lender == ticket.queue)
                if back and other.queue != ticket.queue:
                    gains[ref] = back
        return self._victims(record, ticket, gains, named, task.units - max(0, record.balance(ticket.queue)))

    def _victims(self, record, ticket, gains, named, missing):
        """The least urgent, newest of the tasks in `gains` (reference -> what its end gives)
        that may be made to yield to a ticket and together give what is missing; None when
        they don't, or nothing is missing."""
        victims = []
        for ref in sorted(
            gains, key=lambda one: (record.find(one)[0].urgency, -record.find(one)[2].since, one)
        ):
            if missing <= 0:
                break
            other, other_task, _ = record.find(ref)
            if (
                ref in named
                or other.urgency >= ticket.urgency
                or not record.rows[other.queue].yields
                or other_task.gang
            ):
                continue
            victims.append(ref)
            missing -= gains[ref]
        return victims if victims and missing <= 0 else None

    def settled(self, items):
        """Hears that proposed items were applied or lost with their leader."""
        for ref in items:
            self.proposed.pop(ref, None)
            self._minion_of.pop(ref, None)
