"""How much of a service's room work of one urgency may take, so that more urgent work finds room
when it comes."""

import math

from ..ground import constants

NO_ROOM_USED = (0, 0, 0)
RESOURCES = range(3)  # thousandths of a core, megabytes, accelerators


class RoomBudgets:
    """Invariants: a budget is charged for what a round places, never for what waves ask for, so that
    a wave that finds no seat takes nothing from those behind it; a budget that is not used up admits
    one more task, however large."""

    def __init__(self):
        self.peaks = {}  # (service, priority) -> the most room it used of late
        self.learnt_at = None
        self.caps = {}  # (service, priority) -> room that it and less urgent work may take in all
        self.left = {}  # (service, priority) -> room that waves of it may still take in this round

    def learn(self, board, now):
        """How much room the work of each urgency took at most of late."""
        passed = 0 if self.learnt_at is None else now - self.learnt_at
        self.learnt_at, left = now, 0.5 ** (passed / constants.PEAK_HALF)
        for key in {*board.used, *self.peaks}:
            used = board.used.get(key, NO_ROOM_USED)
            before = self.peaks.get(key, NO_ROOM_USED)
            self.peaks[key] = [max(one, other * left) for one, other in zip(used, before, strict=True)]

    def clear(self):
        """Nothing waits: there is no budget to speak of."""
        self.caps, self.left = {}, {}

    def open(self, board, seats):
        """Begins a round: what waves may take is all the room but what more urgent work took at most of
        late, never less than BUDGET_PART of it all. Gangs are not bound: they hold all they need at
        once, and waiting costs them most."""
        self.clear()
        for service, mine in seats.items():
            whole = [sum(seat.worker.room[kind] for seat in mine) for kind in RESOURCES]
            waiting = {wave.job.priority for wave in board.ready.values() if wave.job.service == service}
            for priority in waiting:
                cap = self._cap(service, priority, whole)
                used = self._used(board, service, priority)
                self.caps[(service, priority)] = cap
                self.left[(service, priority)] = [room - taken for room, taken in zip(cap, used, strict=True)]

    def _cap(self, service, priority, whole):
        """Room that work of an urgency and all less urgent work may take together."""
        kept = [0, 0, 0]
        for (name, level), peak in self.peaks.items():
            if name == service and level < priority:
                kept = [one + more for one, more in zip(kept, peak, strict=True)]
        return [max(room * constants.BUDGET_PART, room - one) for room, one in zip(whole, kept, strict=True)]

    def _used(self, board, service, priority):
        """Room that work of an urgency and all less urgent work takes."""
        used = [0, 0, 0]
        for (name, level), taken in board.used.items():
            if name == service and level >= priority:
                used = [one + more for one, more in zip(used, taken, strict=True)]
        return used

    def allowance(self, wave, wanted):
        """How many of `wanted` tasks a wave's budget admits."""
        left, room = self.left[(wave.job.service, wave.job.priority)], wave.step.room
        admitted = (math.ceil(max(0, left[kind]) / room[kind]) for kind in RESOURCES if room[kind])
        return min((wanted, *admitted))

    def charge(self, wave, count):
        """So many tasks of a wave were placed: what they take is gone for as urgent and more urgent work."""
        room = wave.step.room
        for (service, priority), left in self.left.items():
            if service == wave.job.service and priority <= wave.job.priority:
                for kind in RESOURCES:
                    left[kind] -= count * room[kind]

    def may_keep(self, board, wave):
        """Whether room may be kept for a wave: work of its own urgency takes less than the cap, so that
        the wave can use what is kept for it."""
        key = (wave.job.service, wave.job.priority)
        used, room = board.used.get(key, NO_ROOM_USED), wave.step.room
        return all(used[kind] < self.caps[key][kind] for kind in RESOURCES if room[kind])
