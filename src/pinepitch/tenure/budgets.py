"""How much of a service's room work of one urgency may take, so that more urgent work finds room
when it comes."""

import math

from ..ground import constants
from .seat import less, more

NO_ROOM = (0, 0, 0)
RESOURCES = range(3)  # thousandths of a core, megabytes, accelerators


class RoomBudgets:
    """How much room waves may still take in the round under way.

    Room is held back for more urgent work by what it took at most of late, from work that would keep the
    room for longer than the urgent work can wait. What is sooner done than that holds nobody up.

    Invariants: a budget is charged for what a round places, never for what waves ask for, so that
    a wave that finds no seat takes nothing from those behind it; a budget that is not used up admits
    one more task, however large."""

    def __init__(self, pace):
        self.pace = pace
        self.peaks = {}  # (service, priority) -> the most room it used of late
        self.learnt_at = None
        self.whole = {}  # service -> room of all its seats
        self.used = {}  # (service, priority) -> room that its work takes, by this round's placements too
        self.waits = {}  # (service, priority) -> seconds that its work can well wait for room

    def learn(self, board, now):
        """How much room the work of each urgency took at most of late."""
        passed = 0 if self.learnt_at is None else now - self.learnt_at
        self.learnt_at, left = now, 0.5 ** (passed / constants.PEAK_HALF)
        for key in {*board.used, *self.peaks}:
            used = board.used.get(key, NO_ROOM)
            before = self.peaks.get(key, NO_ROOM)
            self.peaks[key] = [max(one, other * left) for one, other in zip(used, before, strict=True)]

    def open(self, board, seats):
        """Begins a round: seats by service."""
        self.whole = {
            service: [sum(seat.worker.room[kind] for seat in mine) for kind in RESOURCES]
            for service, mine in seats.items()
        }
        self.used = {key: list(taken) for key, taken in board.used.items()}
        self.waits = self._waits(board.configuration.routes)

    def _waits(self, routes):
        """(service, priority) -> seconds that work of each urgency can wait for room and still be in time,
        by the queue that can wait least. A part of its slack: what its aim leaves beyond its length."""
        waits = {}
        for queue, length in self.pace.lengths.items():
            route = routes.get(queue)
            if route is None:
                continue
            slack = route.get("aim_ms", 0) / 1000 + (route.get("stretch", 1) - 1) * length
            key = (route["service"], route.get("priority", 0))
            waits[key] = min(waits.get(key, math.inf), slack * constants.WAIT_PART)
        return waits

    def left(self, wave):
        """Room that a wave may still take: all but what is held back for more urgent work and what work as
        urgent as the wave, and less urgent work, takes; these may have BUDGET_PART of all room between
        them, whatever is held back. Gangs are not bound: they hold all they need at once, and waiting
        costs them most."""
        return less(self._cap(wave), self._taken(wave))

    def _cap(self, wave):
        """Room that work as urgent as a wave, and less urgent work, may take together."""
        service, lasts, held = wave.job.service, self._lasts(wave), NO_ROOM
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
        taken = NO_ROOM
        for (service, priority), used in self.used.items():
            if service == wave.job.service and priority >= wave.job.priority:
                taken = more(taken, used)
        return taken

    def allowance(self, wave, wanted):
        """How many of `wanted` tasks a wave's budget admits."""
        left, room = self.left(wave), wave.step.room
        admitted = (math.ceil(max(0, left[kind]) / room[kind]) for kind in RESOURCES if room[kind])
        return min((wanted, *admitted))

    def charge(self, wave, count):
        """So many tasks of a wave were placed."""
        key = (wave.job.service, wave.job.priority)
        placed = [count * room for room in wave.step.room]
        self.used[key] = list(more(self.used.get(key, NO_ROOM), placed))

    def may_keep(self, wave):
        """Whether room may be kept for a wave: work of its own urgency takes less than the cap, so that
        the wave can use what is kept for it."""
        key = (wave.job.service, wave.job.priority)
        used, cap, room = self.used.get(key, NO_ROOM), self._cap(wave), wave.step.room
        return all(used[kind] < cap[kind] for kind in RESOURCES if room[kind])
