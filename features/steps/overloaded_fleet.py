"""A fleet whose service is overloaded by its more urgent queue, in virtual time, judged queue by queue."""

import math
from typing import NamedTuple

from round_fleet import ROUND_EVERY, SERVICE, STOP_TAKES, WORKER_CAPACITY, Fleet

from pinepitch.model.reliability import Outcome
from pinepitch.scheduling import job_document as jobs

LEASE = 4.5  # seconds; after this long nothing of a lost worker runs any more
LATE_TARGETS = 3  # targets; a job that ends later earns nothing
LATE_WORTH = 0.3  # of the worth of a job that ends in time
WIDE = 0.25  # fraction of the capacity; wider jobs have more time
LEAST_WORTH, MOST_WORK = 0.3, 4  # a job's worth grows with its work, up to so many times the mean


class Spread(NamedTuple):
    """A log-normal distribution, cut off at `most`. `spread` is the standard deviation over the mean."""

    mean: float
    spread: float
    most: float = math.inf

    def drawn(self, draw):
        sigma = math.sqrt(math.log(1 + self.spread**2))
        return min(self.most, draw.lognormvariate(math.log(self.mean) - sigma**2 / 2, sigma))


class Load(NamedTuple):
    """What comes at one queue. Times in seconds."""

    priority: int
    latency_target: float
    stretch: float
    attempts: int
    per_second: float  # jobs
    width: Spread  # tasks of a job
    seconds: Spread  # that a task takes
    cpu: int  # thousandths of a core
    mem_mb: int
    accelerators: tuple[int, ...]  # a job's tasks ask for one of these
    failing: float  # part of the runs
    saving: float  # part of the jobs whose tasks save their progress
    gang: bool


LOADS = {
    "scans": Load(
        1,
        2.0,
        2.2,
        4,
        0.5,
        Spread(1.6, 0.8, 9),
        Spread(5.6, 0.5, 14),
        13_000,
        19_000,
        (2, 4, 8),
        0.02,
        0.9,
        True,
    ),
    "inspections": Load(
        2, 4.0, 3.2, 2, 0.9, Spread(8, 0.8, 48), Spread(2.5, 0.5, 6.2), 2_800, 7_400, (1,), 0.05, 0.6, False
    ),
}
ESTIMATE_ERROR = Spread(1.0, 0.9)  # the callers' estimate over the true length


class Burst(NamedTuple):
    """A time in which the most urgent queue gets more."""

    begins: float
    seconds: float
    times: float


class SubmittedJob(NamedTuple):
    """A job as its caller knows it."""

    queue: str
    came: float
    target: float  # seconds
    work: float  # accelerator-seconds


class RunEnd(NamedTuple):
    """When and how a run will end."""

    at: float
    how: str


class OverloadedFleet(Fleet):
    """Jobs come by chance at two queues that share a service, and workers are lost or fail their runs.
    Invariant: the same seed brings the same jobs, whatever the assigner decides.
    """

    def __init__(self, draw, workers, bursts, lost=0, failing=0, trouble=(8.0, 20.0)):
        self.arrivals, self.chance = draw, type(draw)(draw.random())
        self.bursts, self.trouble = bursts, trouble
        self.submitted, self.ended = {}, {}
        self.left = {}  # (job, index of the task) -> seconds that it still has to run
        self.started = {}  # run -> when it started
        self.total = [amount * workers for amount in WORKER_CAPACITY]
        super().__init__(workers, {name: load.priority for name, load in LOADS.items()})
        self.begun = self.now
        self.next_at = {name: self.now + draw.expovariate(load.per_second) for name, load in LOADS.items()}
        chosen = draw.sample(sorted(self.workers), lost + failing)
        self.to_lose, self.failing = chosen[:lost], set(chosen[lost:])

    def _configure(self, urgencies, tenants):
        routes = [
            {
                "name": name,
                "host": "a.example",
                "prefix": f"/{name}/",
                "service": SERVICE,
                "attempts": load.attempts,
                "priority": load.priority,
                "aim_ms": load.latency_target * 1000,
                "stretch": load.stretch,
            }
            for name, load in LOADS.items()
        ]
        document = {"version": 1, "services": [{"name": SERVICE}], "routes": routes}
        taken = self.leased_jobs.configure(self.now, 0, document, "first", False)
        assert taken == ("configured", 1), taken

    # --- what comes -----------------------------------------------------------------------
    def play(self, traffic, rest):
        """Runs `traffic` seconds in which jobs come, and `rest` seconds more."""
        while self.now < self.begun + traffic + rest - 1e-9:
            self.now += ROUND_EVERY
            if self.now < self.begun + traffic:
                for name in LOADS:
                    self._submit_due(name)
            self._lose_workers()
            self._beat()
            self._end_runs()
            self._round()

    def _submit_due(self, name):
        while self.next_at[name] <= self.now:
            self._submit(name)
            pause = self.arrivals.expovariate(LOADS[name].per_second)
            self.next_at[name] += pause / self._times(name)

    def _times(self, name):
        if LOADS[name].priority != min(load.priority for load in LOADS.values()):
            return 1
        since = self.now - self.begun
        return next(
            (burst.times for burst in self.bursts if burst.begins <= since < burst.begins + burst.seconds), 1
        )

    def _submit(self, name):
        load, draw = LOADS[name], self.arrivals
        width = max(1, round(load.width.drawn(draw)))
        usual = load.seconds.drawn(draw)
        lengths = [usual * draw.uniform(0.85, 1.15) for _ in range(width)]
        step = {
            "count": width,
            "cpu": load.cpu,
            "mem_mb": load.mem_mb,
            "gpu": draw.choice(load.accelerators),
            "est_ms": usual * ESTIMATE_ERROR.drawn(draw) * 1000,
            "gang": load.gang and width > 1,
            "saves": draw.random() < load.saving,
        }
        plain, faults = jobs.checked({"steps": [step]})
        assert not faults, faults
        self.made += 1
        identity = f"{self.made:016x}"
        outcome = self.leased_jobs.accept(self.now, identity, name, plain, None)
        assert outcome == ("accepted", identity), outcome
        asked = (step["cpu"], step["mem_mb"], step["gpu"])
        share = max(width * amount / total for amount, total in zip(asked, self.total, strict=True))
        target = load.latency_target + load.stretch * max(lengths) * max(1.0, share / WIDE)
        self.submitted[identity] = SubmittedJob(name, self.now, target, sum(lengths) * step["gpu"])
        for index, length in enumerate(lengths):
            self.left[(identity, index)] = length

    # --- what befalls the workers -----------------------------------------------------------
    def _in_trouble(self):
        return self.trouble[0] <= self.now - self.begun <= self.trouble[1]

    def _lose_workers(self):
        """Workers become unresponsive when the fault begins, and their runs lapse with their leases."""
        since = self.now - self.begun - self.trouble[0]
        if since < 0 or not self.to_lose:
            return
        self.silent = set(self.to_lose)
        for key in [key for key in (*self.ends_at, *self.stops_at) if key[0] in self.silent]:
            self.ends_at.pop(key, None)
            self.stops_at.pop(key, None)
        if since >= LEASE:
            for identity in self.to_lose:
                for reference, run in list(self.leased_jobs.placements.get(identity, ())):
                    self.leased_jobs.end(self.now, ((identity, reference, run, "lapsed", "", False),))
                del self.workers[identity]
            self.to_lose = []

    def _round(self):
        """One round; every run that it places starts at once."""
        items, stops = self.assigner.run_round(
            self.leased_jobs, self.workers, self.assignments, self.now, self.now
        )
        for placement in self.leased_jobs.assign(self.now, 1, items):
            self._start(placement)
        self._let_gangs_end_together()
        self.leased_jobs.stop(self.now, stops)
        for worker_name, reference, run, _ in stops:
            if self.ends_at.pop((worker_name, reference, run), None) is not None:
                self.stops_at[(worker_name, reference, run)] = RunEnd(self.now + STOP_TAKES, "stopped")

    def _start(self, placement):
        key = (placement.worker_id, placement.reference(), placement.run)
        self.assigner.estimator.record_start(*key, False, self.now)
        self.started[key] = self.now
        load = LOADS[self.submitted[placement.job].queue]
        fails = load.failing + (0.6 if placement.worker_id in self.failing and self._in_trouble() else 0)
        length = self.left[(placement.job, placement.index)]
        if self.chance.random() < fails:
            self.ends_at[key] = RunEnd(self.now + length * self.chance.random(), "failed")
        else:
            self.ends_at[key] = RunEnd(self.now + length, "done")

    def _let_gangs_end_together(self):
        gangs = {}
        for key in self.ends_at:
            job = self.leased_jobs.jobs.get(key[1].partition(".")[0])
            if job is not None and job.steps[0].gang and self.started[key] == self.now:
                gangs.setdefault(job.identity, []).append(key)
        for keys in gangs.values():
            how = "failed" if any(self.ends_at[key].how == "failed" for key in keys) else "done"
            last = max(self.ends_at[key].at for key in keys)
            self.ends_at.update(dict.fromkeys(keys, RunEnd(last, how)))

    def _end_runs(self):
        for ends in (self.ends_at, self.stops_at):
            for key in [key for key, end in ends.items() if end.at <= self.now]:
                self._end(key, ends.pop(key).how)

    def _end(self, key, how):
        worker_name, reference, run = key
        identity, _, _, index = reference.split(".")
        job = self.leased_jobs.jobs.get(identity)
        batch = job.batches[(0, 0)] if job is not None else None
        if how == "stopped" and batch is not None and batch.step.saves:
            saved = math.floor(self.now - self.started[key])
            self.left[(identity, int(index))] = max(0.1, self.left[(identity, int(index))] - saved)
        worker = self.workers[worker_name]
        self.assigner.estimator.record_end(worker, batch, reference, run, how, self.now)
        if how != "stopped":
            proven = batch is not None and batch.open_tasks < batch.step.count
            outcome = Outcome((identity, 0), how == "done")
            self.assigner.evidence.record(worker_name, outcome, proven, self.now)
        outcome = self.leased_jobs.end(self.now, ((*key, how, "", True),))[1][0]
        if outcome in ("completed", "failed"):
            self.ended[identity] = RunEnd(self.now, outcome)

    # --- what is judged -----------------------------------------------------------------------
    def earned(self):
        """Queue -> the part of its jobs' worth that was earned."""
        parts = {}
        for name in LOADS:
            own = {identity: job for identity, job in self.submitted.items() if job.queue == name}
            mean = sum(job.work for job in own.values()) / len(own)
            worth = {
                identity: LEAST_WORTH + (1 - LEAST_WORTH) * min(MOST_WORK, job.work / mean)
                for identity, job in own.items()
            }
            earned = sum(worth[identity] * self._part_earned(identity) for identity in own)
            parts[name] = earned / sum(worth.values())
        return parts

    def _part_earned(self, identity):
        job, end = self.submitted[identity], self.ended.get(identity)
        if end is None or end.how == "failed":
            return 0.0
        seconds = end.at - job.came
        if seconds <= job.target:
            return 1.0
        return LATE_WORTH if seconds <= LATE_TARGETS * job.target else 0.0
