"""Where the waiting waves go: one round over what is ready and who has room."""

import heapq

from ..ground import constants

# Why a round left tasks waiting, as operators are told it.
NO_WORKER = "no minion"
NO_ROOM = "no room"
ROOM_KEPT = "room is kept for other work"
OVER_BUDGET = "held back for more urgent work"


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
        free = self.free
        return room[0] <= free[0] and room[1] <= free[1] and room[2] <= free[2]


def less(one, other):
    return (one[0] - other[0], one[1] - other[1], one[2] - other[2])


class Assigner:
    """Invariant: a round gives no seat more than its free room, and a gang all its seats or none."""

    def __init__(self, pace):
        self.pace = pace
        self.short = {}  # key of a wave -> since when it found no room
        self.near = {}  # rack -> tasks of this round that want to be there
        self.waste = 0.0  # core-seconds that may still be thrown away for the wave looked at
        self.peaks = {}  # (service, priority) -> the most room it used of late
        self.peaks_at = None
        self.budgets = {}  # (service, priority) -> room that waves of it and less urgent ones may still take
        self.hot = {}  # rack -> work of late that wanted to be there
        self.why = {}  # key of a wave -> why the newest round left some of it

    def round(self, board, workers, keeper, now, time):
        """(assign items, stop items)."""
        self._learn_peaks(board, now)
        self.near, self.why = {}, {}
        waves = [wave for wave in board.ready.values() if wave.due <= time]
        if not waves:
            self.budgets = {}
            self.short = {key: since for key, since in self.short.items() if key in board.ready}
            return (), ()
        seats = self._seats(board, workers, keeper, now)
        items, count = [], 0
        self.budgets = self._budgets(board, seats)
        waves.sort(key=lambda wave: self._rank(wave, time))
        stops = self._reserve(board, waves, seats, keeper, now, time)
        for wave in waves:
            if count >= constants.ASSIGN_MOST:
                break
            mine = seats.get(wave.job.service, ())
            if not mine:
                self.why.setdefault(wave.key(), NO_WORKER)
                continue
            group = (
                self._gang(wave, mine, now, time) if wave.step.gang else self._single(wave, mine, now, time)
            )
            if group:
                count += len(group)
                items.append((wave.job.identity, wave.time, wave.number, tuple(group)))
            if len(group) < len(wave.waiting):
                self.short.setdefault(wave.key(), now)
                self.why.setdefault(wave.key(), self._why_left(wave, mine))
            else:
                self.short.pop(wave.key(), None)
        for key in [key for key in self.short if key not in board.ready]:
            del self.short[key]
        return tuple(items), tuple(stops)

    def _rank(self, wave, time):
        job = wave.job
        begun = wave.due if job.times else job.accepted
        return (job.priority, begun + job.aim_ms / 1000 + job.stretch * wave.step.est_ms / 1000, job.identity)

    def _learn_peaks(self, board, now):
        """How much room the work of each urgency took at most of late."""
        passed = 0 if self.peaks_at is None else now - self.peaks_at
        self.peaks_at, left = now, 0.5 ** (passed / constants.PEAK_HALF)
        for key in {*board.used, *self.peaks}:
            used, before = board.used.get(key, (0, 0, 0)), self.peaks.get(key, (0, 0, 0))
            self.peaks[key] = [max(one, other * left) for one, other in zip(used, before, strict=False)]
        for rack in self.hot:
            self.hot[rack] *= left

    def _budgets(self, board, seats):
        """What waves may take: all the room but what more urgent work took at most of late, so that
        such work finds room when it comes; never less than BUDGET_PART of it all. Gangs are not bound:
        they hold all they need at once, and waiting costs them most."""
        budgets = {}
        for service, mine in seats.items():
            whole = [sum(seat.worker.room[kind] for seat in mine) for kind in range(3)]
            levels = sorted({priority for name, priority in self.peaks if name == service})
            for priority in {
                wave.job.priority for wave in board.ready.values() if wave.job.service == service
            }:
                kept = [
                    sum(self.peaks[(service, level)][kind] for level in levels if level < priority)
                    for kind in range(3)
                ]
                used = [
                    sum(
                        board.used.get((service, level), (0, 0, 0))[kind]
                        for level in levels
                        if level >= priority
                    )
                    for kind in range(3)
                ]
                budgets[(service, priority)] = [
                    max(room * constants.BUDGET_PART, room - less) - taken
                    for room, less, taken in zip(whole, kept, used, strict=False)
                ]
        return budgets

    def _spend(self, wave, count):
        """How many of `count` tasks a wave's budget allows; they are taken from it."""
        budget, room = self.budgets[(wave.job.service, wave.job.priority)], wave.step.room
        count = min([count, *(max(0, int(budget[kind] // room[kind])) for kind in range(3) if room[kind])])
        for (service, priority), other in self.budgets.items():
            if service == wave.job.service and priority <= wave.job.priority:
                for kind in range(3):
                    other[kind] -= count * room[kind]
        return count

    def _reserve(self, board, waves, seats, keeper, now, time):
        """Keeps seats for the first waves that have been short for long, and says which less urgent
        runs had better yield to them: those that save their progress lose nothing but a restart, of
        others no more work is thrown away for a wave than YIELD_WASTE."""
        stops, count, taken = [], {}, {}
        failed = set()  # shapes that found no seats since one was kept last: their like find none either
        for wave in waves:
            service, step = wave.job.service, wave.step
            if (
                now - self.short.get(wave.key(), now)
                < constants.RESERVE_AFTER * (0.5 if not wave.job.priority else 1)
                or count.get(service, 0) >= constants.RESERVE_MOST
            ):
                continue
            shape = (
                service,
                step.room,
                step.needs,
                step.near,
                step.apart,
                step.gang,
                step.tight,
                len(wave.waiting),
            )
            if shape in failed:
                continue
            mine = seats.get(service, ())
            chosen = self._choose(wave, mine, len(wave.waiting))
            if not chosen or taken.get(service, 0) + len(chosen) > max(1, len(mine) * constants.RESERVE_PART):
                failed.add(shape)
                continue
            failed.clear()
            count[service] = count.get(service, 0) + 1
            taken[service] = taken.get(service, 0) + len(chosen)
            victims, enough, self.waste = [], True, constants.YIELD_WASTE
            for seat, members in chosen:
                seat.kept = wave
                found = self._victims(board, keeper, wave, seat, members, time)
                enough = enough and found is not None
                victims.extend(found or ())
            if enough or not wave.step.gang:
                stops.extend(victims)
        return stops

    def _choose(self, wave, seats, wanted):
        """[(seat, members)] for all members of a wave by the whole room of workers, those with most
        of it free first: near its data if any stands there, of a gang that wants one rack in one, if
        any rack is large enough. What is no gang may get fewer."""
        step = wave.step
        able = []
        for seat in seats:
            if seat.kept is not None or seat.poor or (step.needs and not seat.labels.issuperset(step.needs)):
                continue
            members = min(
                (seat.worker.room[kind] // step.room[kind] for kind in range(3) if step.room[kind]), default=1
            )
            if members >= 1:
                share = min(
                    (seat.free[kind] / seat.worker.room[kind] for kind in range(3) if step.room[kind]),
                    default=1,
                )
                able.append(
                    (-share, seat.identity, seat, int(min(members, step.apart) if step.apart else members))
                )
        able.sort(key=lambda one: one[:2])
        able = [one for one in able if step.near in one[2].labels] or able if step.near else able
        racks = {}
        for one in able:
            racks.setdefault(one[2].rack, []).append(one)
        tries = [able]
        if step.gang and step.tight:
            whole = [rack for rack in racks.values() if sum(one[3] for one in rack) >= wanted]
            tries = sorted(whole, key=lambda rack: sum(one[0] for one in rack) / len(rack)) or tries
        chosen, left = [], wanted
        for _, _, seat, members in tries[0]:
            if left <= 0:
                break
            chosen.append((seat, min(members, left)))
            left -= members
        return chosen if left <= 0 or not step.gang else None

    def _victims(self, board, keeper, wave, seat, members, time):
        """Stops that make room for so many members on a seat; None when there is no such way."""
        missing = [members * room - free for room, free in zip(wave.step.room, seat.free, strict=False)]
        stops = []
        if max(missing) <= 0:
            return stops
        held = board.placements.get(seat.identity, {})
        for key, placement in sorted(held.items(), key=lambda one: -one[1].since):
            if max(missing) <= 0:
                break
            if placement.stop or key in keeper.stopping:
                missing = [left - room for left, room in zip(missing, placement.room, strict=False)]
                continue
            found = board.task(placement)
            if (
                found is None
                or key not in seat.worker.running
                or found[0].step.gang
                or found[0].step.lasts
                or found[0].job.priority <= wave.job.priority
            ):
                continue
            if not found[0].step.saves:
                if placement.run > constants.YIELD_RUNS:
                    continue
                lost = (time - placement.since) * (
                    placement.room[0] / 1000 + constants.GPU_CORES * placement.room[2]
                )
                if lost > self.waste:
                    continue
                self.waste -= lost
            missing = [left - room for left, room in zip(missing, placement.room, strict=False)]
            stops.append((seat.identity, *key, "yields"))
        return stops if max(missing) <= 0 else None

    def _seats(self, board, workers, keeper, now):
        """Seats by service."""
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
            free, steps = less(worker.room, board.taken.get(worker.identity, (0, 0, 0))), {}
            for placement in held.values():
                place = (placement.job, placement.number)
                steps[place] = steps.get(place, 0) + 1
            poor = worker.failing > constants.LIVENESS_POOR
            if poor and held:
                continue
            seats.setdefault(worker.service, []).append(Seat(worker, free, steps, poor))
        return seats

    def _allowed(self, wave, seat):
        step, kept = wave.step, seat.kept
        if kept is not None and kept is not wave and kept.job.priority <= wave.job.priority:
            return False
        return (
            seat.fits(step.room)
            and (not step.needs or seat.labels.issuperset(step.needs))
            and (not step.apart or seat.steps.get((wave.job.identity, wave.number), 0) < step.apart)
        )

    def _take(self, wave, seat):
        seat.free = less(seat.free, wave.step.room)
        key = (wave.job.identity, wave.number)
        seat.steps[key] = seat.steps.get(key, 0) + 1

    def _score(self, wave, seat):
        """The better the lower: near its data, then where it leaves least room over."""
        step = wave.step
        far = bool(step.near) and step.near not in seat.labels
        left = less(seat.free, step.room)
        hot = (
            0
            if step.near
            else round(constants.HOT_STEPS * self.hot.get(seat.rack, 0) / max(1, *self.hot.values(), 1))
        )
        return (
            seat.poor,
            seat.kept is not None and seat.kept is not wave,
            far,
            hot,
            round(seat.worker.speed * constants.SPEED_STEPS),
            left[2],
            left[0],
            seat.identity,
        )

    def _single(self, wave, seats, now, time):
        step, group = wave.step, []
        patience = self._patience(wave, seats, time) if step.near else 0
        if step.near:
            self.hot[step.near] = max(self.hot.get(step.near, 0), len(wave.waiting) * max(step.room[0], 1))
        allowed = self._spend(wave, len(wave.waiting))
        if allowed < len(wave.waiting):
            self.why[wave.key()] = OVER_BUDGET
        if not allowed:
            return group
        order, patient = None, False
        for place, index in enumerate(sorted(wave.waiting)[:allowed]):
            if order is None or patient and place >= patience:
                patient = place < patience
                order = self._order(
                    wave, [seat for seat in seats if step.near in seat.labels] if patient else seats
                )
            seat = self._next(wave, order)
            if seat is None:
                self.why.pop(wave.key(), None)  # what lacked was room
                break
            group.append((index, seat.identity))
        return group

    def _why_left(self, wave, seats):
        """Why some of a wave found no seat."""
        for seat in seats:
            if seat.kept is not None and seat.kept is not wave and seat.fits(wave.step.room):
                return ROOM_KEPT
        return NO_ROOM

    def _order(self, wave, seats):
        """The seats that a wave's task may take, as a heap, the best first."""
        order = [
            (self._score(wave, seat), place, seat)
            for place, seat in enumerate(seats)
            if self._allowed(wave, seat)
        ]
        heapq.heapify(order)
        return order

    def _next(self, wave, order):
        """The best seat, taken for one task, or None. Only the score of the seat taken changes."""
        if not order:
            return None
        _, place, seat = order[0]
        self._take(wave, seat)
        if self._allowed(wave, seat):
            heapq.heapreplace(order, (self._score(wave, seat), place, seat))
        else:
            heapq.heappop(order)
        return seat

    def _patience(self, wave, seats, time):
        """How many of a wave's tasks had better wait for room near their data than start far away:
        those that would be done there sooner, if what stands before them takes as long as they do."""
        length = self.pace.expected(wave)
        if time - wave.since > (self.pace.far - 1) * length:
            return 0
        room = wave.step.room
        turns = sum(
            min(seat.worker.room[kind] // room[kind] for kind in range(3) if room[kind])
            for seat in seats
            if wave.step.near in seat.labels and any(room)
        )
        ahead = self.near.get(wave.step.near, 0)
        self.near[wave.step.near] = ahead + len(wave.waiting)
        return max(0, int(turns * constants.NEAR_PART * (self.pace.far - 1)) - ahead)

    def _gang(self, wave, seats, now, time):
        """Seats for all members, in one rack where the step asks for that and it may be had."""
        step = wave.step
        racks = {}
        for seat in seats:
            racks.setdefault(seat.rack, []).append(seat)
        tries = []
        if step.tight:
            tries = sorted(racks.values(), key=lambda one: sum(seat.free[0] for seat in one))
        if not step.tight or time - wave.since >= constants.RACK_WAIT:
            tries.append(seats)
        for some in tries:
            group = self._fill(wave, some)
            if group is not None:
                self._spend(wave, len(group))
                return group
        return []

    def _fill(self, wave, seats):
        """One seat for each member among `seats`, or None with all as it was."""
        order, before, group = self._order(wave, seats), {}, []
        for index in sorted(wave.waiting):
            if order:
                seat = order[0][2]
                before.setdefault(seat.identity, (seat, seat.free, dict(seat.steps)))
            seat = self._next(wave, order)
            if seat is None:
                for seat, free, steps in before.values():
                    seat.free, seat.steps = free, steps
                return None
            group.append((index, seat.identity))
        return group
