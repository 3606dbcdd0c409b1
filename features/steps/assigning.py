"""Steps for Assigning: rounds of the assigner over a board, workers and runs in virtual time."""

import random
from unittest import mock

from behave import given, then, when

from pinepitch.tenure import job as jobs
from pinepitch.tenure.assigner import Assigner
from pinepitch.tenure.board import Board
from pinepitch.tenure.budgets import RoomBudgets
from pinepitch.tenure.pace import Pace
from pinepitch.tenure.worker import Worker

SERVICE = "imaging"
ROUND_EVERY = 0.1  # seconds; between rounds
STOP_TAKES = 0.4  # seconds; from the order to stop a run to its end
WORKER_ROOM = (32_000, 64_000, 8)  # thousandths of a core, megabytes, accelerators
TASK_ROOM = {"cpu": 2_000, "mem_mb": 4_000}  # beside the accelerators that a task asks for
HALF = 0.5
AIM_MS, STRETCH = 4000, 3  # of both queues: a job is in time within its aim and so many times its length
INSPECTION = 2.0  # seconds; of one task, where nothing else is said
URGENCIES = {"scans": 1, "inspections": 2}  # queue -> urgency, 0 the most urgent


class KeeperStandIn:
    """What the assigner reads of a keeper. Invariant: nothing's stop is proposed but not agreed on."""

    stopping = frozenset()


class Fleet:
    """A board whose runs take just as long as they are told to. Invariant: every run that is
    placed starts at once, and its end is agreed on in the round after it."""

    def __init__(self, count, urgencies=URGENCIES):
        self.now, self.made, self.sequence = 100.0, 0, 0
        self.board, self.keeper = Board(), KeeperStandIn()
        self.assigner = Assigner(Pace(2.0))
        self.lengths = {}  # job -> seconds that each of its tasks takes
        self.ends_at = {}  # (minion, reference, run) -> when it ends
        self.stops_at = {}  # the same of runs that are being stopped
        self.workers = {f"w{place}": Worker(f"w{place}", self.now) for place in range(count)}
        self.empty_since = {}  # worker -> since when it is empty while a waiting task would fit
        self.longest_empty = 0.0  # seconds
        self.idle_since = {}  # job -> since when it waits with nothing running beside ample room
        self.longest_idle = 0.0  # seconds
        self.silent = set()  # workers
        self.came, self.done = {}, {}  # job -> when it came, when it was completed
        self.room_used = {}  # queue -> accelerator-seconds that its runs have had
        self._configure(urgencies)
        for _ in range(2):
            self._beat()

    def _configure(self, urgencies):
        """Puts a queue into force for each name and urgency, all with the same service."""
        routes = [
            {
                "name": name,
                "host": "a.example",
                "prefix": f"/{name}/",
                "service": SERVICE,
                "attempts": 3,
                "priority": urgency,
                "aim_ms": AIM_MS,
                "stretch": STRETCH,
            }
            for name, urgency in urgencies.items()
        ]
        document = {"version": 1, "services": [{"name": SERVICE}], "routes": routes}
        assert self.board.configure(self.now, 0, document, "first") == ("configured", 1)

    def put(self, queue, count, accelerators, seconds, **more):
        """Hands in a job of one step; each task takes `seconds`."""
        self.made += 1
        step = {"count": count, "gpu": accelerators, "est_ms": seconds * 1000, **TASK_ROOM, **more}
        plain, faults = jobs.checked({"steps": [step]})
        assert not faults, faults
        identity = f"{self.made:016x}"
        self.lengths[identity] = seconds
        assert self.board.accept(self.now, identity, queue, plain) == ("accepted", identity)
        self.came[identity] = self.now
        return identity

    def in_use(self):
        """The part of all accelerators that is taken."""
        taken = sum(WORKER_ROOM[2] - self.free(identity)[2] for identity in self.workers)
        return taken / (len(self.workers) * WORKER_ROOM[2])

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += ROUND_EVERY
            self._beat()
            self._end_runs()
            self._round()
            self._look()

    def _beat(self):
        """Every worker that is not silent says what it runs."""
        self.sequence += 1
        for identity, worker in self.workers.items():
            if identity in self.silent:
                continue
            running = [
                [reference, run, "", 50]
                for minion, reference, run in (*self.ends_at, *self.stops_at)
                if minion == identity
            ]
            worker.beat(
                {
                    "sequence": self.sequence,
                    "clock_ms": self.now * 1000,
                    "service": SERVICE,
                    "address": identity,
                    "zone": "north",
                    "state": "ready",
                    "labels": ["a", f"r{int(identity[1:]) // 3}"],
                    "room": WORKER_ROOM,
                    "leaves_ms": None,
                    "running": running,
                    "ended": [],
                },
                self.now,
            )

    def _end_runs(self):
        for ends, how in ((self.ends_at, "done"), (self.stops_at, "stopped")):
            for key in [key for key, at in ends.items() if at <= self.now]:
                del ends[key]
                minion, reference, run = key
                job, time, number, _ = reference.split(".")
                wave = (
                    self.board.jobs[job].waves[(int(time), int(number))] if job in self.board.jobs else None
                )
                self.assigner.pace.end(self.workers[minion], wave, reference, run, how, self.now)
                outcome = self.board.end(self.now, ((*key, how, "", True),))[1][0]
                if outcome == "completed":
                    self.done[job] = self.now

    def _round(self):
        items, stops = self.assigner.round(self.board, self.workers, self.keeper, self.now, self.now)
        for placement in self.board.assign(self.now, 1, items):
            key = (placement.minion, placement.reference(), placement.run)
            lasts = self.board.task(placement)[0].step.lasts
            self.assigner.pace.start(*key, False, self.now)
            self.ends_at[key] = 1e9 if lasts else self.now + self.lengths[placement.job]
        self.board.stop(self.now, stops)
        for minion, reference, run, _ in stops:
            if (minion, reference, run) in self.ends_at:
                del self.ends_at[(minion, reference, run)]
                self.stops_at[(minion, reference, run)] = self.now + STOP_TAKES

    # --- what is judged ---------------------------------------------------------------
    def free(self, identity):
        taken = self.board.taken.get(identity, (0, 0, 0))
        return [whole - less for whole, less in zip(WORKER_ROOM, taken, strict=True)]

    def _takes(self, identity, wave):
        """How many tasks of a wave a worker has room for, by all that is placed there."""
        free, step = self.free(identity), wave.step
        fits = min(have // room for have, room in zip(free, step.room, strict=True) if room)
        held = self.board.placements.get(identity, {}).values()
        beside = sum((one.job, one.number) == (wave.job.identity, wave.number) for one in held)
        return max(0, min(fits, step.apart - beside) if step.apart else fits)

    def _look(self):
        """Notes how long room and work have been idle beside each other."""
        for held in self.board.placements.values():
            for one in held.values():
                queue = "scans" if one.priority == URGENCIES["scans"] else "inspections"
                self.room_used[queue] = self.room_used.get(queue, 0.0) + one.room[2] * ROUND_EVERY
        waves = list(self.board.ready.values())
        singles = [wave for wave in waves if not wave.step.gang]
        for identity in self.workers:
            idle = identity not in self.board.placements and any(
                self._takes(identity, wave) for wave in singles
            )
            since = self.empty_since.setdefault(identity, self.now) if idle else self.now
            if not idle:
                self.empty_since.pop(identity, None)
            self.longest_empty = max(self.longest_empty, self.now - since)
        waiting = {wave.job.identity: wave for wave in waves if self._ample(wave)}
        self.idle_since = {job: self.idle_since.get(job, self.now) for job in waiting}
        for since in self.idle_since.values():
            self.longest_idle = max(self.longest_idle, self.now - since)

    def _ample(self, wave):
        """Whether nothing of a wave's job runs, all of it that must start together would fit twice, and
        under half of the service's room is in use."""
        placed = {one.job for held in self.board.placements.values() for one in held.values()}
        wanted = len(wave.waiting) if wave.step.gang else 1
        room = sum(self._takes(identity, wave) for identity in self.workers)
        used = [sum(taken[kind] for taken in self.board.taken.values()) for kind in range(3)]
        share = max(one / (whole * len(self.workers)) for one, whole in zip(used, WORKER_ROOM, strict=True))
        return wave.job.identity not in placed and room >= 2 * wanted and share < HALF


@given("{count:d} workers of 8 accelerators")
def step_workers(context, count):
    context.fleet = Fleet(count)


@given("inspections of {seconds:d} seconds fill {count:d} workers")
def step_full(context, seconds, count):
    fleet = context.fleet
    fleet.put("inspections", count * WORKER_ROOM[2], 1, seconds)
    before = sum(fleet.free(identity)[2] == 0 for identity in fleet.workers)
    fleet.run(ROUND_EVERY)
    assert sum(fleet.free(identity)[2] == 0 for identity in fleet.workers) == before + count


@when("a scan of 7 tasks comes, and scans of 1 and of 2 tasks, each task as large as a worker")
def step_scans(context):
    if "fault" in context:
        for patch in context.fault:
            patch.start()
    for count in (7, 1, 2):
        context.fleet.put("scans", count, 8, 5)


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.fleet.run(seconds)


@then("no worker has been empty for over {most:d} seconds while a task waited that it could take")
def step_no_empty(context, most):
    assert context.fleet.longest_empty <= most + 1e-6, f"{context.fleet.longest_empty:.1f} s"


def by_chance(seed, workers):
    """A fleet that 60 seconds of work by chance have come to, and 30 seconds more have passed."""
    fleet, draw = Fleet(workers), random.Random(seed)
    for _ in range(120):
        kind = draw.random()
        if kind < 0.25:
            fleet.put("scans", draw.choice((1, 1, 2, 3, 7)), draw.choice((2, 4, 8)), draw.uniform(1, 8))
        elif kind < 0.35:
            fleet.put("scans", draw.choice((2, 3)), draw.choice((2, 4, 8)), draw.uniform(1, 8), gang=True)
        elif kind < 0.6:
            fleet.put("inspections", draw.randint(1, 20), 1, draw.uniform(0.5, 5), saves=draw.random() < 0.5)
        elif kind < 0.63:
            fleet.put("scans", draw.randint(1, 4), 1, 0, lasts=True, apart=draw.choice((0, 1)))
        fleet.run(0.5)
    fleet.run(30)
    return fleet


@when(
    "scans, gangs, inspections and work that lasts come by chance to {count:d} workers, "
    "by seeds {first:d} to {last:d}"
)
def step_chance(context, count, first, last):
    context.fleets = {seed: by_chance(seed, count) for seed in range(first, last + 1)}


@then("by no seed has a job with nothing running waited over {most:d} seconds beside ample room")
def step_no_idle(context, most):
    longest = {seed: round(fleet.longest_idle, 1) for seed, fleet in context.fleets.items()}
    bad = {seed: seconds for seed, seconds in longest.items() if seconds > most}
    assert not bad, f"seconds by seed: {bad}"


# --- shares of the room ------------------------------------------------------------------
@when(
    "for {seconds:d} seconds scans come that ask for {share:d} times the room, "
    "and inspections for a tenth of it"
)
def step_overload(context, seconds, share):
    fleet, draw = context.fleet, random.Random(1)
    room = len(fleet.workers) * WORKER_ROOM[2]
    owed = {"scans": 0.0, "inspections": 0.0}
    for _ in range(seconds * 2):
        owed["scans"] += share * room * 0.5
        owed["inspections"] += 0.1 * room * 0.5
        while owed["scans"] > 0:
            length = draw.uniform(2, 8)
            fleet.put("scans", 1, 8, length)
            owed["scans"] -= 8 * length
        while owed["inspections"] > 0:
            fleet.put("inspections", 4, 1, INSPECTION)
            owed["inspections"] -= 4 * INSPECTION
        fleet.run(0.5)


@then("of the inspections that came in the first {seconds:d} seconds {part:g} were done in time")
def step_in_time(context, seconds, part):
    fleet = context.fleet
    aim = AIM_MS / 1000 + STRETCH * INSPECTION
    jobs_of = [
        job
        for job, came in fleet.came.items()
        if came <= 100 + seconds and fleet.lengths[job] == INSPECTION and job not in fleet.board.ready
    ]
    good = sum(fleet.done.get(job, 1e9) - fleet.came[job] <= aim for job in jobs_of)
    assert jobs_of and good >= part * len(jobs_of), f"{good} of {len(jobs_of)}"


@then("scans had {part:g} of the room")
def step_scans_share(context, part):
    fleet = context.fleet
    whole = (fleet.now - 100) * len(fleet.workers) * WORKER_ROOM[2]
    assert fleet.room_used["scans"] >= part * whole, f"{fleet.room_used['scans'] / whole:.2f}"


@when(
    "for {seconds:d} seconds {urgent} come that ask for {share:d} times the room, "
    "and inspections {large:d} accelerators large"
)
def step_large(context, seconds, urgent, share, large):
    fleet = context.fleet
    room = len(fleet.workers) * WORKER_ROOM[2]
    count = 2 if urgent == "gangs" else 1
    for _ in range(seconds // 4):
        for _ in range(max(1, share * room * 4 // (8 * count * 4))):
            fleet.put("scans", count, 8, 4, gang=urgent == "gangs")
        fleet.put("inspections", max(1, room // large), large, INSPECTION)
        fleet.run(4)


@then("inspections had between {least:g} and {most:g} of the room, scans at least {scans:g}")
def step_between(context, least, most, scans):
    fleet = context.fleet
    whole = (fleet.now - 100) * len(fleet.workers) * WORKER_ROOM[2]
    had = {queue: used / whole for queue, used in fleet.room_used.items()}
    assert least <= had.get("inspections", 0) <= most and had.get("scans", 0) >= scans, had


@given("{count:d} inspections that need a label that no worker has have waited for {seconds:d} seconds")
def step_impossible(context, count, seconds):
    for _ in range(count):
        context.fleet.put("inspections", 2, 8, INSPECTION, needs="unheard-of")
    context.fleet.run(seconds)


@then("all accelerators are in use")
def step_all_used(context):
    assert context.fleet.in_use() == 1.0, context.fleet.in_use()


@given("scans of {seconds:d} seconds fill {count:d} workers, which then fall silent")
def step_silent(context, seconds, count):
    fleet = context.fleet
    fleet.put("scans", count, 8, seconds)
    fleet.run(0.5)
    fleet.silent = set(fleet.board.placements)
    assert len(fleet.silent) == count
    fleet.run(1.5)


@when("a scan of {count:d} tasks comes, each as large as a worker")
def step_scan(context, count):
    context.job = context.fleet.put("scans", count, 8, 5)


@given("inspections of {seconds:d} seconds fill the 3 workers of one rack")
def step_rack(context, seconds):
    fleet = context.fleet
    fleet.put("inspections", 24, 1, seconds, near="r0")
    fleet.run(ROUND_EVERY)
    assert [fleet.free(f"w{place}")[2] for place in range(3)] == [0, 0, 0]


@when("an inspection of {seconds:d} seconds comes whose data lies in that rack")
def step_near(context, seconds):
    context.job = context.fleet.put("inspections", 2, 1, seconds, near="r0")


@then("within {seconds:g} seconds all its tasks have started")
def step_started(context, seconds):
    context.fleet.run(seconds)
    states = [task.state for task in context.fleet.board.jobs[context.job].waves[(0, 0)].tasks]
    assert set(states) == {"placed"}, states


@when("scans of {seconds:d} seconds have just taken all the room")
def step_burst(context, seconds):
    fleet = context.fleet
    fleet.put("scans", len(fleet.workers), 8, seconds)
    fleet.run(seconds)
    assert fleet.in_use() == 1.0, fleet.in_use()


@when("inspections of {seconds:d} seconds come that ask for {share:d} times the room")
def step_inspections(context, seconds, share):
    fleet = context.fleet
    fleet.put("inspections", share * len(fleet.workers) * WORKER_ROOM[2], 1, seconds)


@then("within {seconds:d} seconds {part:g} of all accelerators are in use")
def step_used(context, seconds, part):
    context.fleet.run(seconds)
    assert context.fleet.in_use() >= part, context.fleet.in_use()


@then("after {seconds:d} seconds at most {part:g} of them")
def step_held(context, seconds, part):
    context.fleet.run(seconds)
    assert context.fleet.in_use() <= part, context.fleet.in_use()


@when(
    "an inspection of {wide:d} tasks of {seconds:d} seconds comes, "
    "and then {count:d} inspections of {narrow:d} tasks of {same:d} seconds"
)
def step_wide(context, wide, seconds, count, narrow, same):
    fleet = context.fleet
    fleet.put("inspections", wide, 1, seconds)
    fleet.run(ROUND_EVERY)
    context.narrow = [fleet.put("inspections", narrow, 1, same) for _ in range(count)]


@then("the {count:d} are done within {seconds:d} seconds")
def step_narrow(context, count, seconds):
    context.fleet.run(seconds)
    done = [job for job in context.narrow if job in context.fleet.done]
    assert len(done) == count, f"{len(done)} of {count}"


# --- invariants that the code checks itself -------------------------------------------------
@then("by no seed has the code counted a broken invariant")
def step_counted_none(context):
    counts = {seed: dict(fleet.assigner.idle_room.counts) for seed, fleet in context.fleets.items()}
    assert not any(sum(one.values()) for one in counts.values()), counts


def _nothing_kept(self, wave, seats, indices):
    """Takes no seat that is kept for the wave."""
    return original_take(self, wave, [seat for seat in seats if seat.kept is not wave], indices)


original_take = Assigner._take
FAULTS = {
    "a wave may not take what is kept for it": [(Assigner, "_take", _nothing_kept)],
    "every budget is used up": [
        (RoomBudgets, "allowance", lambda self, wave, wanted: 0),
        (RoomBudgets, "keepable", lambda self, wave, kept: 0),
    ],
}


@given("an assigner in which {fault}")
def step_fault(context, fault):
    context.fault = [mock.patch.object(*patch) for patch in FAULTS[fault]]
    context.add_cleanup(mock.patch.stopall)


@then("it has counted that {what}, for each job once")
def step_counted(context, what):
    assert context.fleet.assigner.idle_room.counts[what] in range(1, context.fleet.made + 1)
