"""Steps for Shares of tenants: rounds of the assigner over jobs of tenants in virtual time."""

import random

from behave import given, then, when
from round_fleet import LATENCY_TARGET_MS, SERVICE, STRETCH, URGENCIES, Fleet

from pinepitch.scheduling import policy as policies
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.scheduling.tenant_shares import TenantShares

WORKERS = 4
USUAL = 0.8  # jobs a second of each tenant
WEIGHT = 1.0  # jobs a second
HOT_TIMES = 20  # times its usual that a hot tenant sends
TASKS, LENGTH = 2, 2.0  # of a usual job: tasks of one accelerator, seconds
SECONDS, BURST = 40, range(5, 25)
LATE_WORTH, LATE_TIMES = 0.5, 3  # what a job earns until so many times its aim have passed
DRAIN = 15  # seconds that pass after the last job


def tenant(name, weight):
    return {"name": name, "keys": [f"key of {name}"], "weight": weight}


class Traffic:
    """What tenants have handed in to one fleet. Usual jobs are the same by a seed, whatever else comes."""

    def __init__(self, seed, count, policy, hot_length):
        self.names = [f"t{place}" for place in range(count)]
        self.fleet = Fleet(WORKERS, policy=policy, tenants=[tenant(name, WEIGHT) for name in self.names])
        self.jobs = {name: [] for name in self.names}  # name -> usual jobs, in the order they came
        self.hot_length, self.draw = hot_length, random.Random(seed)
        self.begun = self.fleet.now
        for second in range(SECONDS):
            self._second(second)
        self.fleet.run(DRAIN)

    def _second(self, second):
        comes = [(name, self.draw.choice(sorted(URGENCIES))) for name in self.names]
        comes = [one for one in comes if self.draw.random() < USUAL]
        if self.hot_length and second in BURST:
            for _ in range(round(HOT_TIMES * USUAL)):
                self.fleet.put("scans", TASKS, 1, self.hot_length, tenant=self.names[0])
        for name, queue in comes:
            self.jobs[name].append(self.fleet.put(queue, TASKS, 1, LENGTH, tenant=name))
        self.fleet.run(1)

    def jobs_of(self, names, since=0):
        return [
            job
            for name in names
            for job in self.jobs[name]
            if self.fleet.came[job] - self.begun >= since - 1e-6
        ]

    def in_time(self, jobs):
        """How many of some jobs were done within their aim."""
        return sum(self._took(job) <= self._aim() for job in jobs)

    def earned(self, jobs):
        """What some jobs earned: 1 in time, LATE_WORTH when late, nothing when far too late."""
        late = sum(self._aim() < self._took(job) <= LATE_TIMES * self._aim() for job in jobs)
        return self.in_time(jobs) + LATE_WORTH * late

    def _took(self, job):
        return self.fleet.done.get(job, 1e9) - self.fleet.came[job]

    def _aim(self):
        return LATENCY_TARGET_MS / 1000 + STRETCH * LENGTH


def traffic_by_seed(context, hot_length=0, policy=policies.DEFAULT):
    return {seed: Traffic(seed, context.tenants, policy, hot_length) for seed in context.seeds}


@when(
    "{count:d} tenants send their usual to 4 workers for 40 seconds, by seeds {first:d} to {last:d}",
)
def step_usual(context, count, first, last):
    context.tenants, context.seeds = count, range(first, last + 1)
    context.without = traffic_by_seed(context)


@when(
    "the same comes while one of them sends 20 times its usual for 20 of them, in tasks of {length:d} seconds"
)
def step_hot(context, length):
    context.beside = traffic_by_seed(context, length)


@when(
    "the same comes while one of them sends 20 times its usual for 20 of them, in tasks of "
    "{length:d} seconds, with weights unheeded"
)
def step_unheeded(context, length):
    unheeded = policies.DEFAULT._replace(enforce_tenant_weights=False)
    context.beside = traffic_by_seed(context, length, unheeded)


def parts(context, count, since=0, others=True):
    """For each seed the part of what `count` says without a hot tenant that it says beside one."""
    found = {}
    for seed, without in context.without.items():
        beside = context.beside[seed]
        names = without.names[1:] if others else without.names[:1]
        figures = [count(one, one.jobs_of(names, since)) for one in (beside, without)]
        assert figures[1], "nothing was owed"
        found[seed] = figures[0] / figures[1]
    return found


@then("the others earn no less than {part:g} of what they earned without it, and have as much served in time")
def step_unnoticed(context, part):
    earned, in_time = parts(context, Traffic.earned), parts(context, Traffic.in_time)
    assert min(*earned.values(), *in_time.values()) > part, (earned, in_time)


@then(
    "the hot tenant's jobs that came after its burst earn no less than {part:g} of what they earned "
    "without it"
)
def step_after(context, part):
    earned = parts(context, Traffic.earned, since=BURST.stop, others=False)
    assert min(earned.values()) > part, earned


@then("the others earn less than {part:g} of what they earned without it")
def step_noticed(context, part):
    earned = parts(context, Traffic.earned)
    assert max(earned.values()) < part, earned


# --- which jobs conform ---------------------------------------------------------------
@when("a tenant with weight {weight:g} hands in jobs after {moments} seconds")
def step_moments(context, weight, moments):
    context.fleet = fleet = Fleet(1, tenants=[tenant("a", weight)])
    context.shares, begun = TenantShares(), fleet.now
    for moment in moments.split(", "):
        fleet.now = begun + float(moment)
        fleet.put("scans", 1, 1, 1, tenant="a")
        context.shares.judge_new_jobs(fleet.leased_jobs)


@then("the jobs beyond its weight are those numbered {numbers}")
def step_excess(context, numbers):
    excess = sorted(int(identity, 16) for identity in context.shares.excess)
    assert excess == [int(one) for one in numbers.split(", ")], excess


@then("a leader that learns them all at once from an image judges them alike")
def step_new_leader(context):
    shares = TenantShares()
    shares.judge_new_jobs(LeasedJobState.from_image(context.fleet.leased_jobs.image()))
    assert shares.excess == context.shares.excess and shares.excess


@when("tenants without a weight, and nobody, hand in {count:d} jobs at once")
def step_weightless(context, count):
    nameless = {"name": "b", "keys": ["key of b"]}
    context.fleet = Fleet(1, tenants=[tenant("a", 0), nameless])
    for place in range(count):
        context.fleet.put("scans", 1, 1, 1, tenant=("a", "b", None)[place % 3])


@then("none of them lies beyond a weight")
def step_all_conform(context):
    shares = TenantShares()
    shares.judge_new_jobs(context.fleet.leased_jobs)
    assert not shares.excess, shares.excess


# --- what work beyond a weight may have -----------------------------------------------
@given('4 workers of 8 accelerators for tenants "{one}" and "{other}" with weight {weight:g}')
def step_tenants(context, one, other, weight):
    context.fleet = Fleet(WORKERS, tenants=[tenant(one, weight), tenant(other, weight)])


@given(
    'tenant "{name}" hands in {count:d} {queue} of {tasks:d} tasks of {seconds:d} seconds, '
    "{accelerators:d} accelerators each"
)
@when(
    'tenant "{name}" hands in {count:d} {queue} of {tasks:d} tasks of {seconds:d} seconds, '
    "{accelerators:d} accelerators each"
)
def step_hands_in(context, name, count, queue, tasks, seconds, accelerators):
    for _ in range(count):
        context.fleet.put(queue, tasks, accelerators, seconds, tenant=name, saves=True)
    context.fleet.run(1)


@then("within {seconds:d} seconds all accelerators are used, and no invariant of placing is found broken")
def step_idle_capacity(context, seconds):
    context.fleet.run(seconds)
    assert context.fleet.in_use() == 1.0, context.fleet.in_use()
    counts = context.fleet.assigner.idle_capacity.counts
    assert not sum(counts.values()), counts


@then('after {seconds:d} seconds "{one}" uses {first:d} accelerators, and "{other}" {second:d}')
def step_used(context, seconds, one, first, other, second):
    context.fleet.run(seconds)
    used = context.fleet.leased_jobs.used_by_tenant
    assert (used[one][2], used[other][2]) == (first, second), used


@then("the peak of scans is {accelerators:d} accelerators")
def step_peak(context, accelerators):
    peaks = context.fleet.assigner.budgets.peaks
    assert peaks[(SERVICE, URGENCIES["scans"])][2] == accelerators, peaks
