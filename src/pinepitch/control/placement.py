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

    worker: str
    zone: str
    capacity: int
    labels: frozenset
    incarnation: str
    poor: bool
    address: str


class Wanted(NamedTuple):
    """A unit of a ticket that could start now. Invariant: names are its waiting tasks."""

    job: object
    unit: str
    names: tuple
    shape: tuple  # (queue, units and labels of each): what none fits of, none fits


class Round:
    """What one round knows. Invariants: free counts every reservation in the record, every
    one proposed, and those of this round; what is held back is for the unit named alone."""

    def __init__(self, seats, free):
        self.seats, self.free = seats, free
        self.borrowed, self.used = {}, {}
        self.held_back = {}  # minion -> (units, (ticket, unit)) held back there
        self.queues = {}  # queue -> (units, (ticket, unit)) of its credits and limit held back

    def kept(self, held_units, key, wanted):
        """Units that are held back from `wanted`."""
        units, owner = held_units.get(key, (0, None))
        return 0 if owner == (wanted.job.identity, wanted.unit) else units


class Placer:
    """Invariants: proposed holds each reference proposed and not yet applied, so that no
    round proposes one twice; why holds, for a shape of which the newest round placed not
    all, the reason; short holds when each unit that now lacks room, credits or a place
    under its limit was first seen to."""

    def __init__(self):
        self.proposed = {}
        self.why = {}
        self.short = {}
        self._worker_of = {}
        self.turn = 0

    def round(self, cluster_state, workers, front_daemons, now, time):
        """(place items, yield items) of one round."""
        cluster_state.promote_due_units(time)
        this = Round(*self._seats(cluster_state, workers, now))
        if not front_daemons:
            return (), ()
        for charges, queue, units in self.proposed.values():
            this.used[queue] = this.used.get(queue, 0) + units
            for lender, credits in charges:
                this.borrowed[lender] = this.borrowed.get(lender, 0) + credits
        items, self.why = [], {}
        oldest = self._hold_back(cluster_state, this, now)
        for wanted in itertools.chain(oldest, self._candidates(cluster_state)):
            if len(items) >= constants.MAX_PLACED_TASKS:
                break
            job = wanted.job
            group = self._fit(cluster_state, wanted, this, front_daemons)
            key = (job.identity, wanted.unit)
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
                self.proposed[item[0]] = (item[6], job.queue, job.tasks[name].units)
            items.extend(group)
        return tuple(items), tuple(self._yields(cluster_state, this, time))

    def reason(self, cluster_state, job, name):
        """Why a task that could start was not placed by the newest round."""
        slot = cluster_state.slots.get((job.identity, unit_of(job.tasks[name])))
        return self.why.get((slot[1], slot[3]), "not yet looked at") if slot else "its gang is not ready"

    def _hold_back(self, cluster_state, this, now):
        """For the unit of each queue that has been short the longest, and long enough:
        room on the minions where it will fit first, and its queue's credits and limit.
        Others still get what is left beside that, which delays it by nothing."""
        self.short = {key: since for key, since in self.short.items() if key in cluster_state.slots}
        oldest = []
        for key, since in sorted(self.short.items(), key=lambda one: (one[1], one[0])):
            identity, unit = key
            begins, queue, _, shape, _ = cluster_state.slots[key]
            job, queue_settings = cluster_state.pushed_jobs[identity], cluster_state.queue_settings[queue]
            names = cluster_state.members(job, unit)
            if (
                queue in this.queues
                or begins > cluster_state.promoted_until
                or reference(identity, names[0]) in self.proposed
            ):
                continue
            apart = unit[0] == "/" and len(names) < sum(task.gang == unit[1:] for task in job.tasks.values())
            if now - since < (
                constants.PREEMPT_WAIT
                if queue_settings.preempts or apart
                else constants.CAPACITY_RESERVE_AFTER
            ):
                continue
            held_units = self._hold_capacity_back(job, names, this)
            if held_units is not None:
                this.queues[queue] = (sum(job.tasks[name].units for name in names), key)
                this.held_back.update({worker: (units, key) for worker, units in held_units.items()})
                oldest.append(Wanted(job, unit, names, (queue, shape)))
        return oldest

    def _hold_capacity_back(self, job, names, this):
        """minion -> units to hold back for a unit, where most is free; None if it fits nowhere."""
        taken = {}
        for name in sorted(names, key=lambda one: (-job.tasks[one].units, one)):
            task = job.tasks[name]
            fitting = [
                seat
                for seat in this.seats
                if frozenset(task.labels) <= seat.labels
                and not seat.poor
                and seat.worker not in this.held_back
                and seat.capacity - taken.get(seat.worker, 0) >= task.units
            ]
            if not fitting:
                return None
            best = max(
                fitting,
                key=lambda seat: (
                    this.free[seat.worker] - taken.get(seat.worker, 0),
                    -len(seat.labels),
                    seat.worker,
                ),
            )
            taken[best.worker] = taken.get(best.worker, 0) + task.units
        return taken

    def _seats(self, cluster_state, workers, now):
        """Minions that may get work, and the units free on each."""
        seats, free = [], {}
        pending = {}
        for ref, (_, _, units) in self.proposed.items():
            pending[self._worker_of.get(ref)] = pending.get(self._worker_of.get(ref), 0) + units
        for name in sorted(workers):
            worker = workers[name]
            report = worker.report
            if worker.unresponsive(now) or cluster_state.closed(name, report.zone):
                continue
            held_units = cluster_state.reserved.get(name, {})
            taken = sum(held_units.values()) + pending.get(name, 0)
            poor = worker.poor()
            if poor and (taken or now - worker.trial_at < constants.TRIAL_EVERY):
                continue
            free[name] = report.capacity - taken
            seats.append(
                Seat(
                    name,
                    report.zone,
                    report.capacity,
                    frozenset(report.labels),
                    report.incarnation,
                    poor,
                    report.address,
                )
            )
        return seats, free

    def _candidates(self, cluster_state):
        """What could start now: most urgent first, queues in turn by how little of their
        share they use, within a queue by due. A shape of which one did not fit is left."""
        heads = []
        for queue, levels in cluster_state.ready_units.items():
            queue_settings = cluster_state.queue_settings.get(queue)
            if queue_settings is None:
                continue
            load = cluster_state.used_units.get(queue, 0) / max(1, queue_settings.share)
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
                job = cluster_state.pushed_jobs[f"t{number}"]
                names = cluster_state.members(job, unit)
                if reference(job.identity, names[0]) not in self.proposed:
                    yield Wanted(job, unit, names, (queue, shape))

    def _fit(self, cluster_state, wanted, this, front_daemons):
        """Items for all tasks of a unit, or the reason why not."""
        job, names = wanted.job, wanted.names
        queue = job.queue
        queue_settings = cluster_state.queue_settings[queue]
        units = sum(job.tasks[name].units for name in names)
        kept = this.kept(this.queues, queue, wanted)
        if (
            cluster_state.used_units.get(queue, 0) + this.used.get(queue, 0) + units
            > queue_settings.limit - kept
        ):
            return "held back for older work of its queue" if kept else "the queue's limit"
        taken, lent, group = {}, {}, []
        for name in sorted(names, key=lambda one: (-job.tasks[one].units, one)):
            task = job.tasks[name]
            charges = self._charges(cluster_state, job, task.units, this.borrowed, lent, kept)
            if charges is None:
                return "held back for older work of its queue" if kept else "no credits"
            seat = self._draw(task, wanted, this, taken)
            if isinstance(seat, str):
                return seat
            taken[seat.worker] = taken.get(seat.worker, 0) + task.units
            self.turn += 1
            near = [one for one, zone in front_daemons if zone == seat.zone] or [
                one for one, _ in front_daemons
            ]
            front_daemon = near[self.turn % len(near)]
            group.append(
                (
                    reference(job.identity, name),
                    seat.worker,
                    seat.zone,
                    seat.capacity,
                    seat.incarnation,
                    front_daemon,
                    charges,
                    seat.address,
                )
            )
        for worker, units_taken in taken.items():
            this.free[worker] -= units_taken
        for lender, credits in lent.items():
            this.borrowed[lender] = this.borrowed.get(lender, 0) + credits
        this.used[queue] = this.used.get(queue, 0) + units
        for item in group:
            self._worker_of[item[0]] = item[1]
        return group

    def _draw(self, task, wanted, this, taken):
        """The seat for a task: the one with most room left, so that load spreads; seats
        with labels that the task does not ask for come last, so that they stay free."""
        best, best_rank, fits = None, None, False
        labels = frozenset(task.labels)
        for seat in this.seats:
            if not labels <= seat.labels or task.units > seat.capacity:
                continue
            fits = True
            left = this.free[seat.worker] - taken.get(seat.worker, 0) - task.units
            left -= this.kept(this.held_back, seat.worker, wanted)
            if left < 0 or (seat.poor and taken.get(seat.worker)):
                continue
            rank = (seat.poor, len(seat.labels - labels), -left / max(1, seat.capacity), seat.worker)
            if best is None or rank < best_rank:
                best, best_rank = seat, rank
        if best is None:
            return "no room" if fits else "no minion fits"
        return best

    def _charges(self, cluster_state, job, units, borrowed, lent, kept):
        """Who lends the credits: the queue itself but for what it keeps, then the queues
        with most idle. A feed has no end, so it never borrows."""
        queue = job.queue

        def balance(one):
            return cluster_state.balance(one) - borrowed.get(one, 0) - lent.get(one, 0)

        own = min(units, max(0, balance(queue) - kept))
        charges = [(queue, own)] if own else []
        rest = units - own
        if rest and job.kind != "feed":
            lenders = sorted(
                (
                    one
                    for one, queue_settings in cluster_state.queue_settings.items()
                    if one != queue and queue_settings.lends and not cluster_state.ready_units.get(one)
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

    def _wanting(self, cluster_state):
        """(ticket, task name, why) of the oldest single tasks of rows that preempt which found
        no room, or whose credits are lent out."""
        for (queue, shape), why in self.why.items():
            if (
                why not in ("no room", "no credits")
                or not cluster_state.queue_settings[queue].preempts
                or len(shape) != 2
            ):
                continue
            for urgency in sorted(cluster_state.ready_units[queue], reverse=True):
                for _, number, unit in cluster_state.ready_units[queue][urgency].get(shape, ())[
                    : constants.MAX_PREEMPTING_TASKS
                ]:
                    job = cluster_state.pushed_jobs[f"t{number}"]
                    if unit in job.tasks and reference(job.identity, unit) not in self.proposed:
                        yield job, unit, why

    def _yields(self, cluster_state, this, time):
        """Which running tasks should yield to urgent ones that found no room or whose own
        credits were lent."""
        named = set(cluster_state.yielding)
        served = {found[2].yields_to for found in map(cluster_state.find, named) if found}
        for job, name, why in self._wanting(cluster_state):
            task, standing = job.tasks[name], job.standings[name]
            whom = reference(job.identity, name)
            if time - standing.since < constants.PREEMPT_WAIT or whom in served:
                continue
            if why == "no credits":
                best = self._recalled(cluster_state, job, task, named)
            else:
                best = None
                for seat in this.seats:
                    if not frozenset(task.labels) <= seat.labels or task.units > seat.capacity:
                        continue
                    victims = self._victims(
                        cluster_state,
                        job,
                        cluster_state.reserved.get(seat.worker, {}),
                        named,
                        task.units - this.free[seat.worker],
                    )
                    if victims and (best is None or len(victims) < len(best)):
                        best = victims
            for ref in best or ():
                named.add(ref)
                yield (ref, cluster_state.find(ref)[2].attempt, whom)

    def _recalled(self, cluster_state, job, task, named):
        """Borrowers of a queue's own credits whose end would bring enough of them back."""
        gains = {}
        for held_units in cluster_state.reserved.values():
            for ref in held_units:
                other, _, standing = cluster_state.find(ref)
                back = sum(credits for lender, credits in standing.charges if lender == job.queue)
                if back and other.queue != job.queue:
                    gains[ref] = back
        return self._victims(
            cluster_state, job, gains, named, task.units - max(0, cluster_state.balance(job.queue))
        )

    def _victims(self, cluster_state, job, gains, named, missing):
        """The least urgent, newest of the tasks in `gains` (reference -> what its end gives)
        that may be made to yield to a ticket and together give what is missing; None when
        they don't, or nothing is missing."""
        victims = []
        for ref in sorted(
            gains,
            key=lambda one: (cluster_state.find(one)[0].urgency, -cluster_state.find(one)[2].since, one),
        ):
            if missing <= 0:
                break
            other, other_task, _ = cluster_state.find(ref)
            if (
                ref in named
                or other.urgency >= job.urgency
                or not cluster_state.queue_settings[other.queue].yields
                or other_task.gang
            ):
                continue
            victims.append(ref)
            missing -= gains[ref]
        return victims if victims and missing <= 0 else None

    def forget_proposed(self, items):
        """Hears that proposed items were applied or lost with their leader."""
        for ref in items:
            self.proposed.pop(ref, None)
            self._worker_of.pop(ref, None)
