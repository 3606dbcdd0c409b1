"""Steps for Assigning: scheduling rounds over a leased job state, workers and runs in virtual time."""

import random
from unittest import mock

from behave import given, then, when
from round_fleet import INSPECTION, LATENCY_TARGET_MS, ROUND_EVERY, STRETCH, WORKER_CAPACITY, Fleet

from pinepitch.scheduling import policy as policies
from pinepitch.scheduling.assigner import Assigner
from pinepitch.scheduling.budgets import CapacityBudgets


@given("{count:d} workers of 8 accelerators")
def step_workers(context, count):
    context.fleet = Fleet(count)


@given("inspections of {seconds:d} seconds fill {count:d} workers")
def step_full(context, seconds, count):
    fleet = context.fleet
    fleet.put("inspections", count * WORKER_CAPACITY[2], 1, seconds)
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


def by_chance(seed, workers, policy=policies.DEFAULT):
    """A fleet that got random work for 60 seconds and ran for 30 seconds more."""
    fleet, draw = Fleet(workers, policy=policy), random.Random(seed)
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


@when("the same comes to {count:d} workers with each mechanism switched off by itself")
def step_switched_off(context, count):
    context.fleets = {}
    for field in policies.Policy._fields:
        context.fleets[field] = by_chance(1, count, policies.DEFAULT._replace(**{field: False}))


@then(
    "no worker ran more than it has capacity for, and work starves without {first:w} and {second:w}, no other"
)
def step_capacity_kept(context, first, second):
    starved = set()
    for field, fleet in context.fleets.items():
        assert min(min(fleet.free(identity)) for identity in fleet.workers) >= 0, field
        for job in fleet.leased_jobs.jobs.values():
            if not any(step.lasts for step in job.steps) and fleet.now - job.accepted > 60:
                starved.add(field)
    assert starved == {first, second}, starved


@then("by no seed has a job with nothing running waited over {most:d} seconds beside ample capacity")
def step_no_idle(context, most):
    longest = {seed: round(fleet.longest_idle, 1) for seed, fleet in context.fleets.items()}
    bad = {seed: seconds for seed, seconds in longest.items() if seconds > most}
    assert not bad, f"seconds by seed: {bad}"


# --- shares of the capacity ------------------------------------------------------------------
@when(
    "for {seconds:d} seconds scans come that ask for {share:d} times the capacity, and inspections "
    "for a tenth of it"
)
def step_overload(context, seconds, share):
    fleet, draw = context.fleet, random.Random(1)
    capacity = len(fleet.workers) * WORKER_CAPACITY[2]
    owed = {"scans": 0.0, "inspections": 0.0}
    for _ in range(seconds * 2):
        owed["scans"] += share * capacity * 0.5
        owed["inspections"] += 0.1 * capacity * 0.5
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
    latency_target = LATENCY_TARGET_MS / 1000 + STRETCH * INSPECTION
    jobs_of = [
        job
        for job, came in fleet.came.items()
        if came <= 100 + seconds and fleet.lengths[job] == INSPECTION and job not in fleet.leased_jobs.ready
    ]
    good = sum(fleet.done.get(job, 1e9) - fleet.came[job] <= latency_target for job in jobs_of)
    assert jobs_of and good >= part * len(jobs_of), f"{good} of {len(jobs_of)}"


@then("scans had {part:g} of the capacity")
def step_scans_share(context, part):
    fleet = context.fleet
    available = (fleet.now - 100) * len(fleet.workers) * WORKER_CAPACITY[2]
    assert fleet.capacity_used["scans"] >= part * available, f"{fleet.capacity_used['scans'] / available:.2f}"


@when(
    "for {seconds:d} seconds {urgent} come that ask for {share:d} times the capacity, and "
    "inspections {large:d} accelerators large"
)
def step_large(context, seconds, urgent, share, large):
    fleet = context.fleet
    capacity = len(fleet.workers) * WORKER_CAPACITY[2]
    count = 2 if urgent == "gangs" else 1
    for _ in range(seconds // 4):
        for _ in range(max(1, share * capacity * 4 // (8 * count * 4))):
            fleet.put("scans", count, 8, 4, gang=urgent == "gangs")
        fleet.put("inspections", max(1, capacity // large), large, INSPECTION)
        fleet.run(4)


@then("inspections had between {least:g} and {most:g} of the capacity, scans at least {scans:g}")
def step_between(context, least, most, scans):
    fleet = context.fleet
    available = (fleet.now - 100) * len(fleet.workers) * WORKER_CAPACITY[2]
    had = {queue: used / available for queue, used in fleet.capacity_used.items()}
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
def step_unresponsive(context, seconds, count):
    fleet = context.fleet
    fleet.put("scans", count, 8, seconds)
    fleet.run(0.5)
    fleet.silent = set(fleet.leased_jobs.placements)
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
    states = [task.state for task in context.fleet.leased_jobs.jobs[context.job].batches[(0, 0)].tasks]
    assert set(states) == {"placed"}, states


@when("scans of {seconds:d} seconds have just taken all the capacity")
def step_burst(context, seconds):
    fleet = context.fleet
    fleet.put("scans", len(fleet.workers), 8, seconds)
    fleet.run(seconds)
    assert fleet.in_use() == 1.0, fleet.in_use()


@when("inspections of {seconds:d} seconds come that ask for {share:d} times the capacity")
def step_inspections(context, seconds, share):
    fleet = context.fleet
    fleet.put("inspections", share * len(fleet.workers) * WORKER_CAPACITY[2], 1, seconds)


@then("within {seconds:d} seconds {part:g} of all accelerators are in use")
def step_used(context, seconds, part):
    context.fleet.run(seconds)
    assert context.fleet.in_use() >= part, context.fleet.in_use()


@then("after {seconds:d} seconds at most {part:g} of them")
def step_deferred(context, seconds, part):
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
    counts = {seed: dict(fleet.assigner.idle_capacity.counts) for seed, fleet in context.fleets.items()}
    assert not any(sum(one.values()) for one in counts.values()), counts


def _without_reserved(self, batch, candidates, indices):
    """Places no task on a candidate that is reserved for the batch."""
    return original_place_on(
        self, batch, [candidate for candidate in candidates if candidate.reserved_for is not batch], indices
    )


original_place_on = Assigner._place_on
FAULTS = {
    "a batch may not take what is kept for it": [(Assigner, "_place_on", _without_reserved)],
    "every budget is used up": [
        (CapacityBudgets, "allowance", lambda self, batch, wanted: 0),
        (CapacityBudgets, "reservable", lambda self, batch, reserved: 0),
    ],
}


@given("an assigner in which {fault}")
def step_fault(context, fault):
    context.fault = [mock.patch.object(*patch) for patch in FAULTS[fault]]
    context.add_cleanup(mock.patch.stopall)


@then("it has counted that {what}, for each job once")
def step_counted(context, what):
    assert context.fleet.assigner.idle_capacity.counts[what] in range(1, context.fleet.made + 1)
