"""Steps for Progress of runs: workers that report the progress of runs, in virtual time, without daemons."""

import collections
import random

from behave import given, then, when
from heartbeats import heartbeat

from pinepitch.common import constants
from pinepitch.scheduling import job_document as jobs
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.scheduling.progress import ProgressWatch
from pinepitch.scheduling.run_speed import RunTimeEstimator
from pinepitch.scheduling.worker import Worker

SERVICE = "web"
JOB = "5c0e7a21d94b36f8"
ROOM = [64_000, 64_000, 8]
LABELS = ["a", "r1"]
GUESS = 2.0  # seconds; that a task of a step with long tasks is guessed to take
STEP = 0.1  # seconds; of virtual time
SPEEDS = (0.8, 1.0, 1.25)
LOOK_MARGIN = 0.4  # seconds; two steps of virtual time, and that beats fall between them


class Member:
    """One task on a worker of its own. Invariant: it progresses only once all of its gang have started."""

    def __init__(self, length, speed, comes_at, heartbeat_interval):
        self.length, self.speed = length, speed
        self.comes_at, self.heartbeat_interval = comes_at, heartbeat_interval
        self.done, self.next_heartbeat = 0.0, comes_at
        self.hangs_at = None  # part of its work
        self.hung_since = None

    def percent(self):
        return int(100 * self.done / self.length)

    def go_on(self, now):
        most = self.length if self.hangs_at is None else self.hangs_at * self.length
        self.done = min(most, self.done + STEP * self.speed)
        if self.hangs_at is not None and self.done >= most and self.hung_since is None:
            self.hung_since = now


def one_step(now, workers, gang, guess):
    """(leased job state, placements) of a job of one step; `workers`: the worker of each of its tasks."""
    leased_jobs = LeasedJobState()
    route = {"name": "work", "host": "a", "prefix": "/w/", "service": SERVICE, "attempts": 3}
    document = {"version": 1, "services": [{"name": SERVICE}], "routes": [route]}
    assert leased_jobs.configure(now, 0, document, "first") == ("configured", 1)
    step = {"count": len(workers), "cpu": 100, "est_ms": guess * 1000, "gang": gang}
    plain, faults = jobs.checked({"steps": [step]})
    assert not faults, faults
    assert leased_jobs.accept(now, JOB, "work", plain) == ("accepted", JOB)
    placements = leased_jobs.assign(now, 1, ((JOB, 0, 0, tuple(enumerate(workers))),))
    assert len(placements) == len(workers)
    return leased_jobs, placements


class Runs:
    """One step of a job, each task on a worker of its own, under a leader's ProgressWatch."""

    def __init__(self, members, gang, guess):
        self.members, self.gang, self.now = members, gang, 100.0
        names = [f"w{place}" for place in range(len(members))]
        self.leased_jobs, _ = one_step(self.now, names, gang, guess)
        self.watch = ProgressWatch(RunTimeEstimator(2.0))
        self.workers = {name: Worker(name, self.now) for name in names}
        self.sequence, self.stops = 0, {}  # worker -> when its run was stopped as stalled
        self.slow = []  # RunStop of runs stopped as slow

    def run(self, most):
        """Runs until all tasks are done, or `most` seconds have passed."""
        begun = self.now
        while self.now < begun + most and any(one.done < one.length for one in self._going()):
            self.now += STEP
            since = self.now - begun
            here = [one for one in self.members if since >= one.comes_at]
            for one in here:
                if not self.gang or len(here) == len(self.members):
                    one.go_on(self.now)
            for place, one in enumerate(self.members):
                if since >= one.next_heartbeat:
                    one.next_heartbeat += one.heartbeat_interval
                    self._beat(f"w{place}", place, one)
            self._look()

    def tell(self, place):
        """One worker sends a heartbeat, and its progress is checked."""
        self.now += STEP
        self._beat(f"w{place}", place, self.members[place])
        self._look()

    def _going(self):
        """The members that are not stopped; a gang stops as a whole."""
        if self.gang and self.stops:
            return []
        return [one for place, one in enumerate(self.members) if f"w{place}" not in self.stops]

    def _beat(self, identity, place, member):
        self.sequence += 1
        ended = not self.gang and member.done >= member.length
        running = [] if ended else [[f"{JOB}.0.0.{place}", 1, "", member.percent()]]
        heartbeat_arguments = heartbeat(self.sequence, self.now, SERVICE, identity, LABELS, ROOM, running)
        assert self.workers[identity].take_heartbeat(heartbeat_arguments, self.now)

    def _look(self):
        stopping = {(f"{JOB}.0.0.{identity[1:]}", 1) for identity in self.stops}
        for stop in self.watch.find_stops(self.workers, self.leased_jobs, stopping, self.now):
            if stop.reason == "stalled":
                self.stops.setdefault(stop.worker_id, self.now)
            else:
                self.slow.append(stop)


def by_chance(seed, gang):
    """Random runs of one step, by a seed."""
    draw = random.Random(seed)
    length = draw.choice((0.4, 1.0, 3.0, 8.0, 20.0, 60.0)) * draw.uniform(0.5, 2.0)
    members = [
        Member(length, draw.choice(SPEEDS), draw.uniform(0, 3.0) if gang else 0.0, draw.uniform(0.1, 0.9))
        for _ in range(draw.randint(2, 12))
    ]
    return Runs(members, gang, length * draw.uniform(0.5, 2.0)), draw


@when("runs of {what} go on at sound workers, by seeds {first:d} to {last:d}")
def step_sound(context, what, first, last):
    context.runs = {}
    for seed in range(first, last + 1):
        runs, _ = by_chance(seed, what == "gangs")
        runs.run(400)
        context.runs[seed] = runs


@then("none was stopped as stalled")
def step_none(context):
    bad = {seed: runs.stops for seed, runs in context.runs.items() if runs.stops}
    assert not bad, f"{len(bad)} of {len(context.runs)} seeds: {bad}"


@when("one worker hangs while it runs {what}, by seeds {first:d} to {last:d}")
def step_hung(context, what, first, last):
    context.runs = {}
    for seed in range(first, last + 1):
        runs, draw = by_chance(seed, what == "gangs")
        runs.hung = draw.randrange(len(runs.members))
        runs.members[runs.hung].hangs_at = draw.uniform(0, 0.95)
        runs.run(400)
        context.runs[seed] = runs


def patience(member):
    """Seconds within which a stalled run must be found; its last progress is reported a heartbeat late."""
    per_cent = 2 * member.length / min(SPEEDS) / 100
    return (
        constants.STALLED + constants.STALLED_STEPS * per_cent + 2 * member.heartbeat_interval + LOOK_MARGIN
    )


@then("each time its run was stopped in time, and no other")
def step_found(context):
    bad = {}
    for seed, runs in context.runs.items():
        member, identity = runs.members[runs.hung], f"w{runs.hung}"
        found = runs.stops.get(identity, 1e9) - member.hung_since
        if set(runs.stops) != {identity} or found > patience(member):
            bad[seed] = (set(runs.stops), identity, round(found, 2), round(patience(member), 2))
    assert not bad, f"{len(bad)} of {len(context.runs)} seeds: {bad}"


@when("a gang of {count:d} tasks of {length:d} seconds runs, one of them {times:d} times as slow")
def step_slow_member(context, count, length, times):
    members = [Member(length, 1.0, 0.0, 0.2) for _ in range(count)]
    members[0].speed /= times
    context.runs = {0: Runs(members, True, length)}
    context.runs[0].run(60)


@when("a gang of {count:d} tasks of {length:d} seconds runs, one of them {late:d} seconds late")
def step_late_member(context, count, length, late):
    members = [Member(length, 1.0, 0.0, 0.2) for _ in range(count)]
    members[0] = Member(length, 1.0, late, 0.2)
    context.runs = {0: Runs(members, True, length)}
    context.runs[0].run(60)


@given("a run was stopped as stalled that had only paused")
def step_paused(context):
    members = [Member(10.0, 1.0, 0.0, 0.2) for _ in range(2)]
    members[0].hangs_at = 0.5
    context.paused = Runs(members, False, 10.0)
    context.paused.run(9)
    assert set(context.paused.stops) == {"w0"}, context.paused.stops


@when("it tells that it {how}")
def step_tells(context, how):
    runs = context.paused
    if how == "got on":
        runs.members[0].done += 1.0
        runs.tell(0)
    else:
        runs.watch.ended("w0", f"{JOB}.0.0.0", 1, {"was done": "done", "stopped": "stopped"}[how])


@then("{count:d} run counts as misjudged")
@then("{count:d} runs count as misjudged")
def step_misjudged(context, count):
    assert context.paused.watch.misjudged_count == count == len(context.paused.watch.take_misjudged())


# --- slow workers and long tasks -----------------------------------------------------------
class Restarts:
    """Tasks of one step that start on another worker when they are stopped; a worker may run several."""

    def __init__(self, lengths, speeds, placed_at=None):
        """`lengths`: seconds of each task; `speeds`: of each worker, beside the usual 1; `placed_at`: the
        worker of each task, one of its own where nothing is said."""
        self.now, self.sequence, self.lengths, self.speeds = 100.0, 0, lengths, speeds
        self.leased_jobs, placements = one_step(
            self.now, placed_at or list(speeds)[: len(lengths)], False, GUESS
        )
        self.watch = ProgressWatch(RunTimeEstimator(2.0))
        self.workers = {name: Worker(name, self.now) for name in speeds}
        self.at, self.done, self.slow = {}, {}, []  # task -> worker; task -> seconds of work; RunStop
        for placement in placements:
            self._begin(placement)

    def start(self, task, worker):
        placed = self.leased_jobs.assign(self.now, 1, ((JOB, 0, 0, ((task, worker),)),))
        self._begin(placed[0])

    def _begin(self, placement):
        self.at[placement.index], self.done[placement.index] = placement.worker_id, 0.0
        key = (placement.worker_id, placement.reference(), placement.run)
        self.watch.estimator.record_start(*key, False, self.now)

    def run_of(self, task):
        return self.leased_jobs.jobs[JOB].batches[(0, 0)].tasks[task].run

    def run(self, seconds, other_queue):
        end = self.now + seconds
        while self.now < end and JOB in self.leased_jobs.jobs:
            self.now += STEP
            for task, worker in self.at.items():
                self.done[task] += STEP * self.speeds[worker]
            self._end()
            for worker in self.workers:
                self._beat(worker)
            for stop in self.watch.find_stops(self.workers, self.leased_jobs, set(), self.now):
                self.slow.append(stop)
                task = int(stop.reference.rpartition(".")[2])
                self.leased_jobs.end(
                    self.now, ((stop.worker_id, stop.reference, stop.run, "stopped", "", True),)
                )
                self.start(task, other_queue(task))

    def _end(self):
        for task in [one for one, done in self.done.items() if done >= self.lengths[one]]:
            worker, reference, run = self.at.pop(task), f"{JOB}.0.0.{task}", self.run_of(task)
            del self.done[task]
            batch = self.leased_jobs.jobs[JOB].batches[(0, 0)]
            self.watch.estimator.record_end(self.workers[worker], batch, reference, run, "done", self.now)
            self.leased_jobs.end(self.now, ((worker, reference, run, "done", "", True),))
            self.watch.ended(worker, reference, run, "done")

    def _beat(self, worker):
        self.sequence += 1
        running = [
            [f"{JOB}.0.0.{task}", self.run_of(task), "", int(100 * self.done[task] / self.lengths[task])]
            for task, at in self.at.items()
            if at == worker
        ]
        heartbeat_arguments = heartbeat(self.sequence, self.now, SERVICE, worker, LABELS, ROOM, running)
        assert self.workers[worker].take_heartbeat(heartbeat_arguments, self.now)


@given("a step of {count:d} tasks of {seconds:d} seconds, one of them {times:d} times as long")
def step_long_task(context, count, seconds, times):
    lengths = {task: float(seconds) for task in range(count)}
    lengths[0] *= times
    context.restarts = Restarts(lengths, {f"w{place}": 1.0 for place in range(2 * count)})


@when("it goes on, each run that is stopped starting again on another worker")
def step_goes_on(context):
    restarts, fresh = context.restarts, iter(range(len(context.restarts.lengths), 99))
    restarts.run(200, lambda task: f"w{next(fresh)}")


@then("that task was stopped as slow once, no other was, and all are done")
def step_once(context):
    stopped = [(stop.reference, stop.reason) for stop in context.restarts.slow]
    assert stopped == [(f"{JOB}.0.0.0", "slow")], stopped
    assert context.restarts.leased_jobs.state(JOB) == "completed"


@given("a step of 8 tasks of 8 seconds, two of them on one worker that is 6 times as slow, one on another")
def step_two_slow(context):
    speeds = {f"w{place}": 1.0 for place in range(12)}
    speeds["w0"] = speeds["w1"] = 1 / 6
    placed_at = ["w0", "w0", "w1", "w2", "w3", "w4", "w5", "w6"]
    context.restarts = Restarts(dict.fromkeys(range(8), 8.0), speeds, placed_at)


@when("one that was stopped on the first starts again on the second")
def step_second_slow(context):
    sound = iter(("w7", "w8", "w9", "w10"))
    first = []

    def other_queue(task):
        first.append(task)
        return "w1" if first == [0] else next(sound)

    context.restarts.run(60, other_queue)


@then("both that run there are stopped, too, and all are done")
def step_both_stopped(context):
    stopped = sorted((stop.worker_id, stop.reference.rpartition(".")[2]) for stop in context.restarts.slow)
    assert stopped == [("w0", "0"), ("w0", "1"), ("w1", "0"), ("w1", "2")], stopped
    assert context.restarts.leased_jobs.state(JOB) == "completed"


# --- what is known of lengths --------------------------------------------------------------
@when("{count:d} batches of jobs that end soon after are learnt, {most:d} of them open at a time")
def step_learnt(context, count, most):
    estimator, leased_jobs = RunTimeEstimator(2.0), one_step(100.0, ["w0"], False, GUESS)[0]
    batch = leased_jobs.jobs[JOB].batches[(0, 0)]
    jobs_open, context.most, context.lost = collections.deque(), 0, []
    for place in range(count):
        batch.job.identity = f"{place:016x}"
        jobs_open.append(batch.job.identity)
        reference = f"{batch.job.identity}.0.0.0"
        estimator.record_start("w0", reference, 1, False, 100.0)
        if place % 2:
            estimator.record_end(Worker("w0", 100.0), batch, reference, 1, "done", 101.0)
        if len(jobs_open) > most:
            jobs_open.popleft()
        estimator.drop_finished(jobs_open)
        context.most = max(context.most, len(estimator.batches) + len(estimator.started))
    known = {key[0] for key in estimator.batches} | {key[1].partition(".")[0] for key in estimator.started}
    context.lost = set(jobs_open) - known


@then("no more than {most:d} of them are known at any time, and all that are open are")
def step_bounded(context, most):
    assert context.most <= most and not context.lost, (context.most, context.lost)
