"""Room that is kept for waves which have found none for long, and what had better yield to them."""

from ..ground import constants
from .seat import less


class Reservations:
    """Keeps seats for the first waves that have been short for long, and says which less urgent runs
    had better yield to them: those that save their progress lose nothing but a restart, of others no
    more work is thrown away for a wave than YIELD_WASTE.

    Invariants: a seat is kept for one wave at most, and no more than RESERVE_PART of a service's seats."""

    def __init__(self, board, keeper, seats, time):
        self.board, self.keeper = board, keeper
        self.seats, self.time = seats, time
        self.counts = {}  # service -> waves that seats are kept for
        self.taken = {}  # service -> seats kept
        self.kept = {}  # key of a wave -> the seats kept for it
        self.waste = 0.0  # core-seconds that may still be thrown away for the wave looked at

    def keep(self, waves, short, now):
        """Keeps seats for those of `waves`, the first in rank first, that have been short for long by
        `short` (key of a wave -> since when); stops that make room on them."""
        stops = []
        failed = set()  # shapes that found no seats since one was kept last: their like find none either
        for wave in waves:
            if not self._due(wave, short, now):
                continue
            shape = self._shape(wave)
            if shape in failed:
                continue
            chosen = self._choose(wave)
            if not chosen:
                failed.add(shape)
                continue
            failed.clear()
            stops.extend(self._keep(wave, chosen))
        return stops

    def _due(self, wave, short, now):
        """Whether a wave has waited long enough, and room is not kept for too many already."""
        service = wave.job.service
        patience = constants.RESERVE_AFTER * (1 if wave.job.priority else 0.5)
        return (
            now - short.get(wave.key(), now) >= patience
            and self.counts.get(service, 0) < constants.RESERVE_MOST
        )

    def _shape(self, wave):
        """What decides which seats a wave may have: waves of one shape are refused alike."""
        step = wave.step
        return (
            wave.job.service,
            step.room,
            step.needs,
            step.near,
            step.apart,
            step.gang,
            step.tight,
            len(wave.waiting),
        )

    def _keep(self, wave, chosen):
        """Keeps the chosen seats for a wave; the stops that make room on them."""
        service = wave.job.service
        self.counts[service] = self.counts.get(service, 0) + 1
        self.taken[service] = self.taken.get(service, 0) + len(chosen)
        stops, enough, self.waste = [], True, constants.YIELD_WASTE
        self.kept[wave.key()] = [seat for seat, _ in chosen]
        for seat, members in chosen:
            seat.kept = wave
            found = self._victims(wave, seat, members)
            enough = enough and found is not None
            stops.extend(found or ())
        return stops if enough or not wave.step.gang else []

    def _choose(self, wave):
        """[(seat, members)] for the members of a wave by the whole room of workers, those with most
        of it free first: near its data if any stands there, of a gang that wants one rack in one, if
        any rack is large enough. What is no gang may get fewer; None when more seats would be kept than
        may be."""
        step, wanted = wave.step, len(wave.waiting)
        seats = self.seats.get(wave.job.service, ())
        able = [one for seat in seats if (one := self._able(wave, seat))]
        able.sort(key=lambda one: one[:2])
        able = [one for one in able if step.near in one[2].labels] or able if step.near else able
        if step.gang and step.tight:
            able = self._one_rack(able, wanted)
        chosen, left = [], wanted
        for _, _, seat, members in able:
            if left <= 0:
                break
            chosen.append((seat, min(members, left)))
            left -= members
        if left > 0 and step.gang:
            return None
        kept = self.taken.get(wave.job.service, 0) + len(chosen)
        return chosen if kept <= max(1, len(seats) * constants.RESERVE_PART) else None

    def _able(self, wave, seat):
        """(rank, identity, seat, members) of a seat that may be kept for a wave, else None."""
        step = wave.step
        if seat.kept is not None or seat.poor or (step.needs and not seat.labels.issuperset(step.needs)):
            return None
        members = seat.whole_members(wave)
        return (-seat.free_share(step), seat.identity, seat, members) if members >= 1 else None

    def _one_rack(self, able, wanted):
        """The able seats of the rack with most room free that is large enough, or all of them."""
        racks = {}
        for one in able:
            racks.setdefault(one[2].rack, []).append(one)
        large = [rack for rack in racks.values() if sum(one[3] for one in rack) >= wanted]
        return min(large, key=lambda rack: sum(one[0] for one in rack) / len(rack), default=able)

    def _victims(self, wave, seat, members):
        """Stops that make room for so many members on a seat; None when there is no such way."""
        missing = [members * room - free for room, free in zip(wave.step.room, seat.free, strict=True)]
        stops = []
        if max(missing) <= 0:
            return stops
        held = self.board.placements.get(seat.identity, {})
        for key, placement in sorted(held.items(), key=lambda one: -one[1].since):
            if max(missing) <= 0:
                break
            if placement.stop or key in self.keeper.stopping:
                missing = less(missing, placement.room)
                continue
            if not self._yields(wave, seat, key, placement):
                continue
            missing = less(missing, placement.room)
            stops.append((seat.identity, *key, "yields"))
        return stops if max(missing) <= 0 else None

    def _yields(self, wave, seat, key, placement):
        """Whether a run may be stopped for a wave; what that throws away is taken from the waste allowed."""
        found = self.board.task(placement)
        if found is None or key not in seat.worker.running:
            return False
        step = found[0].step
        if step.gang or step.lasts or found[0].job.priority <= wave.job.priority:
            return False
        if step.saves:
            return True
        if placement.run > constants.YIELD_RUNS:
            return False
        cores = placement.room[0] / 1000 + constants.GPU_CORES * placement.room[2]
        lost = (self.time - placement.since) * cores
        if lost > self.waste:
            return False
        self.waste -= lost
        return True
