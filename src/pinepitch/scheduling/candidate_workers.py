"""A worker as one assigning round sees it."""

from ..common import constants
from .resources import NO_ROOM, RESOURCES, less, tasks_in


class Seat:
    """A worker that may get work in this round. Invariant: free is its room less that of every
    placement there whose end is not proven, started or not."""

    __slots__ = ("worker", "identity", "service", "labels", "rack", "free", "steps", "poor", "kept")

    def __init__(self, worker, free, steps, poor):
        self.worker, self.identity, self.service = worker, worker.identity, worker.service
        self.labels, self.rack = worker.labels, worker.rack
        self.free, self.steps, self.poor = free, steps, poor
        self.kept = None  # the wave that its room is kept for

    def fits(self, room):
        """Whether one task of this room fits into what is free."""
        free = self.free
        return room[0] <= free[0] and room[1] <= free[1] and room[2] <= free[2]

    def takes(self, wave):
        """Whether one more task of a wave could run here, whomever the room is kept for."""
        step = wave.step
        return (
            self.service == wave.job.service
            and self.fits(step.room)
            and (not step.needs or self.labels.issuperset(step.needs))
            and (not step.apart or self.steps.get((wave.job.identity, wave.number), 0) < step.apart)
        )

    def members(self, wave):
        """How many more tasks of a wave could run here now, whomever the room is kept for."""
        if not self.takes(wave):
            return 0
        step, count = wave.step, tasks_in(self.free, wave.step.room)
        beside = self.steps.get((wave.job.identity, wave.number), 0)
        counts = [one for one in (count, step.apart - beside if step.apart else None) if one is not None]
        return min(counts, default=len(wave.waiting))

    def allows(self, wave):
        """Whether one more task of a wave may be placed here: what is kept is taken by its wave and by
        more urgent ones only."""
        kept = self.kept
        if kept is not None and kept is not wave and kept.job.priority <= wave.job.priority:
            return False
        return self.takes(wave)

    def take(self, wave):
        """Places one task of a wave here."""
        self.free = less(self.free, wave.step.room)
        key = (wave.job.identity, wave.number)
        self.steps[key] = self.steps.get(key, 0) + 1

    def whole_members(self, wave, lasting):
        """How many more tasks of a wave this worker could run at once if all left it but what lasts,
        which takes the room `lasting`."""
        step, room = wave.step, less(self.worker.room, lasting)
        if step.needs and not self.labels.issuperset(step.needs):
            return 0
        count = tasks_in(room, step.room)
        members = 1 if count is None else count
        if step.apart:
            members = min(members, step.apart - self.steps.get((wave.job.identity, wave.number), 0))
        return max(0, members)

    def free_share(self, step):
        """The least part, 0 to 1, of this worker's room that is free, over what a step asks for."""
        return min(
            (self.free[kind] / self.worker.room[kind] for kind in RESOURCES if step.room[kind]), default=1
        )


def in_use(seats):
    """The part, 0 to 1, of the room of some seats that is taken, of the resource most taken."""
    most = 0.0
    for kind in RESOURCES:
        whole = sum(seat.worker.room[kind] for seat in seats)
        if whole:
            most = max(most, 1 - sum(seat.free[kind] for seat in seats) / whole)
    return most


def open_seats(board, workers, now):
    """The workers that may get work in a round, as seats by service."""
    seats = {}
    for worker in workers.values():
        held = board.placements.get(worker.identity, {})
        if (
            worker.beats < 2
            or worker.state != "ready"
            or worker.silent(now)
            or worker.stale
            or worker.zone in board.evacuated
            or now < worker.wary_until
            or any(key not in held for key in worker.running)
        ):
            continue
        poor = worker.failing > constants.LIVENESS_POOR
        if poor and held:
            continue
        free, steps = less(worker.room, board.taken.get(worker.identity, NO_ROOM)), {}
        for placement in held.values():
            place = (placement.job, placement.number)
            steps[place] = steps.get(place, 0) + 1
        seats.setdefault(worker.service, []).append(Seat(worker, free, steps, poor))
    return seats
