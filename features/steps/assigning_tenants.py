"""Steps for Assigning: scheduling rounds over the work of tenants with maxima."""

import random

from behave import given, then, when
from round_fleet import ROUND_EVERY, SERVICE, URGENCIES, WORKER_CAPACITY, Fleet

from pinepitch.scheduling.assigner import REASON_TENANT_AT_MAXIMUM

MAXIMA = {"acme": {"gpu": 8}, "small": {"gpu": 3, "cpu": 9_000}, "free": None}


@given("{count:d} workers of 8 accelerators, and tenant {name:w} that may run {most:d} accelerators")
def step_limited(context, count, name, most):
    context.fleet = Fleet(count, maxima={name: {"gpu": most}, "free": None})


@when(
    "{count:d} {queue} of {name:w} come, each of {tasks:d} tasks of {size:d} accelerators "
    "for {seconds:g} seconds"
)
def step_come(context, count, queue, name, tasks, size, seconds):
    context.jobs = [context.fleet.put(queue, tasks, size, seconds, tenant=name) for _ in range(count)]
    context.fleet.run(ROUND_EVERY)


@when(
    "1 inspections of {name:w} that save come, each of {tasks:d} tasks of {size:d} accelerators "
    "for {seconds:d} seconds"
)
def step_saving(context, name, tasks, size, seconds):
    context.fleet.put("inspections", tasks, size, seconds, tenant=name, saves=True)
    context.fleet.run(1)


@when("{seconds:g} seconds of rounds pass")
def step_rounds(context, seconds):
    context.fleet.run(seconds)


@then("{count:d} runs of {name:w} are being stopped")
def step_stopped(context, count, name):
    stopped = [
        one.reference()
        for placements in context.fleet.leased_jobs.placements.values()
        for one in placements.values()
        if one.stop and one.tenant == name
    ]
    assert len(stopped) == count, stopped


@then("inspections claim {count:d} accelerators")
def step_claim(context, count):
    claims = context.fleet.assigner.budgets.claims
    assert claims[(SERVICE, URGENCIES["inspections"])][2] == count, claims


@when("a gang of {tasks:d} tasks of {size:d} accelerators of {name:w} comes")
def step_gang(context, tasks, size, name):
    context.jobs = [context.fleet.put("scans", tasks, size, 2, tenant=name, gang=True)]
    context.fleet.run(ROUND_EVERY)


@when("inspections of {name:w} that ask for more than all capacity come for {seconds:d} seconds")
def step_backlog(context, name, seconds):
    fleet, draw = context.fleet, random.Random(1)
    before = dict(fleet.capacity_used)
    waited = 0
    for _ in range(seconds * 2):
        while (
            sum(len(batch.waiting) for batch in fleet.leased_jobs.ready.values() if batch.job.tenant == name)
            < 64
        ):
            fleet.put("inspections", 8, 1, draw.uniform(1, 4), tenant=name)
        fleet.run(0.5)
        waited += 0.5
    context.used = sum(fleet.capacity_used.values()) - sum(before.values())
    context.available = waited * len(fleet.workers) * WORKER_CAPACITY[2]


@then("{part:g} of all accelerators were in use meanwhile")
def step_in_use(context, part):
    assert context.used >= part * context.available, f"{context.used / context.available:.3f}"


@then("{count:d} accelerators of {name:w} are in use, and no more ever were")
def step_of_tenant(context, count, name):
    used = context.fleet.leased_jobs.used_by_tenant.get(name, (0, 0, 0))[2]
    assert used == count == context.fleet.most_used[name], (used, context.fleet.most_used)


@then("all tasks that came last have started")
def step_started(context):
    states = {
        task.state
        for job in context.jobs
        for task in context.fleet.leased_jobs.jobs[job].batches[(0, 0)].tasks
    }
    assert states == {"placed"}, states


@then("what waits is told that its tenant is at its maximum, and is short of nothing")
def step_why(context):
    assigner = context.fleet.assigner
    keys = [key for job in context.jobs for key in context.fleet.leased_jobs.ready if key[0] == job]
    assert keys
    for key in keys:
        assert assigner.waiting_reasons[key] == REASON_TENANT_AT_MAXIMUM, assigner.waiting_reasons
        assert key not in assigner.short_since


@then("the leased job state took all that rounds placed")
def step_none_refused(context):
    assert not context.fleet.refused, context.fleet.refused


def by_chance(seed, workers):
    """A fleet that got random work of four kinds of callers for 40 seconds."""
    fleet, draw = Fleet(workers, maxima=MAXIMA), random.Random(seed)
    for _ in range(80):
        name, kind = draw.choice((*MAXIMA, None)), draw.random()
        if kind < 0.25:
            fleet.put(
                "scans", draw.choice((1, 1, 2, 3, 7)), draw.choice((0, 2, 4, 8)), draw.uniform(1, 8), name
            )
        elif kind < 0.4:
            size = draw.choice((0, 1, 2, 4))
            fleet.put("scans", draw.choice((1, 2, 3)), size, draw.uniform(1, 8), name, gang=True)
        elif kind < 0.75:
            count, size = draw.randint(1, 20), draw.choice((0, 1, 1))
            fleet.put("inspections", count, size, draw.uniform(0.5, 5), name, saves=draw.random() < 0.5)
        elif kind < 0.78:
            fleet.put("scans", 1, 1, 0, name, lasts=True)
        fleet.run(0.5)
    return fleet


@when(
    "work of limited tenants and of others comes by chance to {count:d} workers, "
    "by seeds {first:d} to {last:d}"
)
def step_chance(context, count, first, last):
    context.fleets = {seed: by_chance(seed, count) for seed in range(first, last + 1)}


@then("by no seed had a tenant more than its maximum and one task, and the state took all that rounds placed")
def step_kept(context):
    for seed, fleet in context.fleets.items():
        assert not fleet.refused, (seed, fleet.refused)
        for name, maximum in MAXIMA.items():
            most = (maximum or {}).get("gpu")
            larger = [one for one in (2, 4, 8) if most and one > most]
            assert not most or fleet.most_used.get(name, 0) <= max(most, *larger, 0), (seed, fleet.most_used)
        assert any(fleet.most_used.get(name, 0) >= MAXIMA[name]["gpu"] for name in ("acme", "small")), seed
