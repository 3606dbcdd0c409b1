"""How much of a service's room work of one urgency may take, so that more urgent work finds room
when it comes."""

import math

from ..common import constants
from . import policy as policies
from .resources import NO_ROOM, RESOURCES, less, more, tasks_in, times


def slack(aim_ms, stretch, length):
    """Seconds that work of so many seconds can lose and still be in time by its queue's terms."""
    return aim_ms / 1000 + (stretch - 1) * length


class RoomBudgets:
    """How much room waves may still take in the round under way.

    Room is held back for more urgent work by what it took at most of late, from work that would keep the
    room for longer than the urgent work can wait. What is sooner done than that holds nobody up.

    And each urgency with work that has waited for as long as it well can is guaranteed SHARE_LEAST of a
    service's room, and one task in any case: more urgent work leaves free what it lacks of that, and
    makes nothing of it yield. Only work that some worker could take has such a claim.

    Invariants: a budget is charged for what a round places, never for what waves ask for, so that
    a wave that finds no seat takes nothing from those behind it; a budget that is not used up admits
    one more task, however large."""

    def __init__(self, pace, policy=policies.DEFAULT):
        self.pace, self.policy = pace, policy
        self.peaks = {}  # (service, priority) -> the most room it used of late
        self.learnt_at = None
        self.whole = {}  # service -> room of all its seats
        self.used = {}  # (service, priority) -> room that its work takes, by this round's placements too
        self.waits = {}  # (service, priority) -> seconds that its work can well wait for room
        self.claims = {}  # (service, priority) -> room that more urgent work leaves to it
        self.sums = {}  # (service, priority) -> room of work as urgent and less; made anew after a charge

    def learn(self, board, now):
        """How much room the work of each urgency took at most of late."""
        passed = 0 if self.learnt_at is None else now - self.learnt_at
        self.learnt_at, left = now, 0.5 ** (passed / constants.PEAK_HALF)
        for key in {*board.used, *self.peaks}:
            used = board.used.get(key, NO_ROOM)
            before = self.peaks.get(key, NO_ROOM)
            self.peaks[key] = [max(one, other * left) for one, other in zip(used, before, strict=True)]

    def open(self, board, seats, waves, time):
        """Begins a round: seats by service, and the waves that wait at a record time."""
        self.whole = {
            service: [sum(seat.worker.room[kind] for seat in mine) for kind in RESOURCES]
            for service, mine in seats.items()
        }
        self.used = self._used_of(board, seats)
        self.sums = {}
        self.waits = self._waits(board.configuration.routes)
        self.claims = self._claims(seats, waves, time)

    def _used_of(self, board, seats):
        """(service, priority) -> room that its work takes of these seats. What runs on workers that get no
        work now, being silent or closed, takes nothing of the room that is shared out."""
        used = {key: tuple(taken) for key, taken in board.used.items()}
        shared = {seat.identity for mine in seats.values() for seat in mine}
        for identity in board.placements.keys() - shared:
            for placement in board.placements[identity].values():
                key = (placement.service, placement.priority)
                used[key] = less(used[key], placement.room)
        return used

    def guaranteed(self, service):
        """Room of a service that each urgency with work that waits has a right to."""
        return [room * constants.SHARE_LEAST for room in self.whole.get(service, NO_ROOM)]

    def _claims(self, seats, waves, time):
        """(service, priority) -> what an urgency lacks of its guaranteed room and has long waited for."""
        claims, able = {}, {}
        if not self.policy.guarantee_shares:
            return claims
        for wave in waves:
            key = (wave.job.service, wave.job.priority)
            if key[0] not in seats or time - wave.since < self._patience(wave):
                continue
            asks = (key[0], wave.step.room, wave.step.needs, wave.job.identity if wave.step.apart else None)
            if asks not in able:
                able[asks] = any(seat.whole_members(wave, NO_ROOM) for seat in seats[key[0]])
            if able[asks]:
                claims[key] = self._claimed(key, wave, claims.get(key, NO_ROOM))
        return claims

    def _claimed(self, key, wave, claimed):
        """The claim of an urgency that claims so much already, with one more wave that waits."""
        had = more(claimed, self.used.get(key, NO_ROOM))
        count = tasks_in(less(self.guaranteed(key[0]), had), wave.step.room)
        if not any(had):
            count = max(1, count or 0)
        waiting = len(wave.waiting)
        return more(claimed, times(wave.step.room, waiting if count is None else min(waiting, count)))

    def _patience(self, wave):
        """Seconds that a wave can wait for room and still be in time."""
        job = wave.job
        return constants.WAIT_PART * slack(job.aim_ms, job.stretch, self.pace.expected(wave))

    def _waits(self, routes):
        """(service, priority) -> seconds that work of each urgency can wait for room and still be in time,
        by the queue that can wait least. A part of its slack: what its aim leaves beyond its length."""
        waits = {}
        for queue, length in self.pace.lengths.items():
            route = routes.get(queue)
            if route is None:
                continue
            wait = constants.WAIT_PART * slack(route.get("aim_ms", 0), route.get("stretch", 1), length)
            key = (route["service"], route.get("priority", 0))
            waits[key] = min(waits.get(key, math.inf), wait)
        return waits

    def left_by_less_urgent(self, wave):
        """Room that a wave may take without taking what less urgent work is guaranteed."""
        service, priority = wave.job.service, wave.job.priority
        left = self.whole[service]
        for (name, _), used in self.used.items():
            if name == service:
                left = less(left, used)
        for (name, level), claim in self.claims.items():
            if name == service and level > priority:
                left = less(left, claim)
        return left

    def left(self, wave):
        """Room that a wave may still take: all but what is held back for more urgent work and what work as
        urgent as the wave, and less urgent work, takes; these may have BUDGET_PART of all room between
        them, whatever is held back. Gangs are not bound: they hold all they need at once, and waiting
        costs them most."""
        return less(self._cap(wave), self._taken(wave))

    def _cap(self, wave):
        """Room that work as urgent as a wave, and less urgent work, may take together."""
        service, lasts, held = wave.job.service, self._lasts(wave), NO_ROOM
        if not self.policy.hold_back_room:
            return self.whole[service]
        for key, peak in self.peaks.items():
            if key[0] == service and key[1] < wave.job.priority:
                waits = lasts <= self.waits.get(key, 0)
                held = more(held, self.used.get(key, NO_ROOM) if waits else peak)
        whole = self.whole[service]
        return [max(room * constants.BUDGET_PART, room - one) for room, one in zip(whole, held, strict=True)]

    def _lasts(self, wave):
        """Seconds that a task of a wave is likely to keep its room."""
        if wave.step.lasts:
            return math.inf
        return self.pace.expected(wave) * (self.pace.far if wave.step.near else 1)

    def _taken(self, wave):
        """Room that work as urgent as a wave, and less urgent work, takes by now."""
        key = (wave.job.service, wave.job.priority)
        if key not in self.sums:
            taken = NO_ROOM
            for (service, priority), used in self.used.items():
                if service == key[0] and priority >= key[1]:
                    taken = more(taken, used)
            self.sums[key] = taken
        return self.sums[key]

    def allowance(self, wave, wanted):
        """How many of `wanted` tasks a wave may be given."""
        left, room = self.left(wave), wave.step.room
        admitted = (math.ceil(max(0, left[kind]) / room[kind]) for kind in RESOURCES if room[kind])
        return min((wanted, self.beside_claims(wave, wanted), *admitted))

    def beside_claims(self, wave, wanted):
        """How many of `wanted` tasks of a wave leave free what less urgent work is guaranteed."""
        service, priority = wave.job.service, wave.job.priority
        if not any(name == service and level > priority for name, level in self.claims):
            return wanted
        count = tasks_in(self.left_by_less_urgent(wave), wave.step.room)
        return wanted if count is None else min(wanted, count)

    def charge(self, wave, count):
        """So many tasks of a wave were placed."""
        key = (wave.job.service, wave.job.priority)
        self.used[key] = more(self.used.get(key, NO_ROOM), times(wave.step.room, count))
        self.sums.clear()

    def keepable(self, wave, kept):
        """For how many tasks of a wave room may be kept beside the room `kept` for waves as urgent: no
        more than it may use, and not what less urgent work is guaranteed. A gang, which needs all its
        room at once, is not asked what else of its urgency runs, unless less urgent work lacks room now."""
        service, priority = wave.job.service, wave.job.priority
        claims = [room for (name, level), room in self.claims.items() if name == service and level > priority]
        alone = wave.step.gang and not any(map(any, claims))
        own = kept if alone else more(kept, self.used.get((service, priority), NO_ROOM))
        if not wave.step.gang and not self._below(own, self._cap(wave), wave.step.room):
            return 0
        allowed = less(self.whole[service], times(self.guaranteed(service), len(claims)))
        most = tasks_in(less(allowed, own), wave.step.room)
        return len(wave.waiting) if most is None else most

    def _below(self, used, cap, room):
        """Whether less than a cap is used of all that a room takes."""
        return all(used[kind] < cap[kind] for kind in RESOURCES if room[kind])

    def is_guaranteed(self, key):
        """Whether all the room that a (service, priority) takes is guaranteed to it."""
        used, right = self.used.get(key, NO_ROOM), self.guaranteed(key[0])
        return all(one <= other for one, other in zip(used, right, strict=True))
