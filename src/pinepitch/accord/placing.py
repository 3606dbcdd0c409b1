"""Placing: which waiting task goes to which minion, and who yields to whom.

A decider: it reads the record and the gathered minions and returns proposals; the record
checks each again when it is applied.
"""

from typing import NamedTuple

from ..ground import constants
from ..world.task import reference


class Seat(NamedTuple):
    """A minion as one placing round sees it. Invariant: free counts every reservation in
    the record and every one proposed but not yet applied."""

    minion: str
    area: str
    room: int
    labels: frozenset
    incarnation: str
    poor: bool


class Placer:
    """Invariants: proposed holds each reference proposed and not yet applied, so that no
    round proposes one twice; why holds the newest reason that a waiting task waits."""

    def __init__(self):
        self.proposed = {}
        self.why = {}
        self._minion_of = {}
        self.turn = 0

    def round(self, record, minions, verges, now, time):
        """(place items, yield items) of one round."""
        seats, free = self._seats(record, minions, now)
        if not verges:
            return (), ()
        borrowed, used = {}, {}
        for charges, queue, units in self.proposed.values():
            used[queue] = used.get(queue, 0) + units
            for lender, credits in charges:
                borrowed[lender] = borrowed.get(lender, 0) + credits
        items, wanting = [], []
        hopeless = {}  # shape of a task -> why none of it fits: within a round room only shrinks
        for ticket, names in self._candidates(record, time):
            if len(items) >= constants.PLACE_MOST:
                break
            task = ticket.tasks[names[0]]
            shape = (ticket.queue, task.units, task.labels) if not task.gang else None
            group = hopeless.get(shape)
            if group is None:
                group = self._fit(record, ticket, names, seats, free, borrowed, used, verges)
            if isinstance(group, str):
                if shape is not None:
                    hopeless[shape] = group
                for name in names:
                    self.why[(ticket.identity, name)] = group
                if group == "no room":
                    wanting.append((ticket, names))
                continue
            for item in group:
                name = item[0].partition("/")[2]
                self.why.pop((ticket.identity, name), None)
                self.proposed[item[0]] = (item[6], ticket.queue, ticket.tasks[name].units)
            items.extend(group)
        return tuple(items), tuple(self._yields(record, wanting, seats, free, time))

    def _seats(self, record, minions, now):
        """Minions that may get work, and the units free on each."""
        seats, free = [], {}
        pending = {}
        for ref, (_, _, units) in self.proposed.items():
            pending[self._minion_of.get(ref)] = pending.get(self._minion_of.get(ref), 0) + units
        for name in sorted(minions):
            minion = minions[name]
            report = minion.report
            if now - minion.heard_at > constants.MINION_SILENT or record.closed(name, report.area):
                continue
            held = record.reserved.get(name, {})
            taken = sum(held.values()) + pending.get(name, 0)
            poor = minion.poor()
            if poor and (taken or now - minion.trial_at < constants.TRIAL_EVERY):
                continue
            free[name] = report.room - taken
            seats.append(Seat(name, report.area, report.room, frozenset(report.labels), report.incarnation, poor))
        return seats, free

    def _candidates(self, record, time):
        """Tickets with their startable tasks (a gang together), most urgent first, queues
        in turn by how little of their share they use."""
        heads = []
        for queue in record.ready:
            row = record.rows.get(queue)
            if row is None:
                continue
            load = record.used.get(queue, 0) / max(1, row.share)
            for urgency, level in record.ready[queue].items():
                heads.append((-urgency, load, queue, level))
        heads.sort(key=lambda one: one[:3])
        for _, _, queue, level in heads:
            looked, gangs = 0, set()
            for identity, name in level:
                looked += 1
                if looked > constants.PLACE_LOOK:
                    break
                ticket = record.tickets[identity]
                task, standing = ticket.tasks[name], ticket.standings[name]
                if reference(identity, name) in self.proposed:
                    continue
                if time < max(task.not_before, standing.earliest):
                    self.why[(identity, name)] = "not before its time"
                    continue
                if not task.gang:
                    yield ticket, (name,)
                    continue
                if (identity, task.gang) in gangs:
                    continue
                gangs.add((identity, task.gang))
                members = [one for one, other in ticket.tasks.items()
                           if other.gang == task.gang and ticket.standings[one].state == "waiting"]
                early = any(time < max(ticket.tasks[one].not_before, ticket.standings[one].earliest)
                            for one in members)
                blocked = any(record.fronts[identity][one] for one in members)
                if early or blocked:
                    self.why[(identity, name)] = "its gang is not ready"
                    continue
                yield ticket, tuple(members)

    def _fit(self, record, ticket, names, seats, free, borrowed, used, verges):
        """Items for all of `names`, or the reason why not."""
        row = record.rows[ticket.queue]
        units = sum(ticket.tasks[name].units for name in names)
        if record.used.get(ticket.queue, 0) + used.get(ticket.queue, 0) + units > row.limit:
            return "the queue's limit"
        taken, lent, group = {}, {}, []
        for name in sorted(names, key=lambda one: (-ticket.tasks[one].units, one)):
            task = ticket.tasks[name]
            seat = self._draw(task, seats, free, taken)
            if isinstance(seat, str):
                return seat
            charges = self._charges(record, ticket.queue, task.units, borrowed, lent)
            if charges is None:
                return "no credits"
            taken[seat.minion] = taken.get(seat.minion, 0) + task.units
            self.turn += 1
            near = [one for one, area in verges if area == seat.area] or [one for one, _ in verges]
            verge = near[self.turn % len(near)]
            group.append((reference(ticket.identity, name), seat.minion, seat.area, seat.room,
                          seat.incarnation, verge, charges))
        for minion, units_taken in taken.items():
            free[minion] -= units_taken
        for lender, credits in lent.items():
            borrowed[lender] = borrowed.get(lender, 0) + credits
        used[ticket.queue] = used.get(ticket.queue, 0) + units
        for item in group:
            self._minion_of[item[0]] = item[1]
        return group

    def _draw(self, task, seats, free, taken):
        """The seat for a task: the one with most room left, so that load spreads; seats
        with labels that the task does not ask for come last, so that they stay free."""
        best, best_rank, fits = None, None, False
        wanted = frozenset(task.labels)
        for seat in seats:
            if not wanted <= seat.labels or task.units > seat.room:
                continue
            fits = True
            left = free[seat.minion] - taken.get(seat.minion, 0) - task.units
            if left < 0 or (seat.poor and taken.get(seat.minion)):
                continue
            rank = (seat.poor, len(seat.labels - wanted), -left / max(1, seat.room), seat.minion)
            if best is None or rank < best_rank:
                best, best_rank = seat, rank
        if best is None:
            return "no room" if fits else "no minion fits"
        return best

    def _charges(self, record, queue, units, borrowed, lent):
        """Who lends the credits: the queue itself, then the queues with most idle."""
        def balance(one):
            return record.balance(one) - borrowed.get(one, 0) - lent.get(one, 0)

        own = min(units, max(0, balance(queue)))
        charges = [(queue, own)] if own else []
        rest = units - own
        if rest:
            lenders = sorted(
                (one for one, row in record.rows.items()
                 if one != queue and row.lends and not record.ready.get(one)),
                key=lambda one: (-balance(one), one))
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

    def _yields(self, record, wanting, seats, free, time):
        """Which running tasks should yield to urgent ones that found no room."""
        named = set(record.yielding)
        by_name = {seat.minion: seat for seat in seats}
        for ticket, names in wanting:
            row = record.rows[ticket.queue]
            if not row.preempts or len(names) != 1:
                continue
            name = names[0]
            task, standing = ticket.tasks[name], ticket.standings[name]
            if time - standing.since < constants.PREEMPT_WAIT:
                continue
            whom = reference(ticket.identity, name)
            if any(found and found[2].yields_to == whom for found in map(record.find, named)):
                continue
            best = None
            for minion, seat in by_name.items():
                if not frozenset(task.labels) <= seat.labels or task.units > seat.room:
                    continue
                victims, gained = [], free[minion]
                for ref in sorted(record.reserved.get(minion, {}),
                                  key=lambda one: (record.find(one)[0].urgency, -record.find(one)[2].since)):
                    if gained >= task.units:
                        break
                    other, other_task, other_standing = record.find(ref)
                    if (ref in named or other.urgency >= ticket.urgency
                            or not record.rows[other.queue].yields or other_task.gang):
                        continue
                    victims.append((ref, other_standing.attempt, whom))
                    gained += other_task.units
                if gained >= task.units and victims and (best is None or len(victims) < len(best)):
                    best = victims
            if best:
                named.update(one[0] for one in best)
                yield from best

    def settled(self, items):
        """Hears that proposed items were applied or lost with their leader."""
        for ref in items:
            self.proposed.pop(ref, None)
            self._minion_of.pop(ref, None)
