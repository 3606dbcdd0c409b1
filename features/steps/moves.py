"""Steps for Moves: drains, yields and limits in a simulated fleet."""

import collections

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.simulation import checks
from pinepitch.simulation.simulator import START, Simulator


@given("a quiet simulated fleet")
def step_fleet(context):
    context.simulator = Simulator(12)
    context.simulator.begin()
    context.simulator.run(3)


def submit(context, document):
    status, answer = context.simulator.persist("POST", "/v1/tickets", document)
    assert status == 201, answer
    return answer["ticket"]


def runs(context, job):
    """(start, end or None, minion) of each run of a pushed job's tasks, in order."""
    starts, ends = checks.starts_and_ends(context.simulator.worker_history)
    started = []
    for ref, found in starts.items():
        if ref.partition("/")[0] == job:
            for moment, worker, _, attempt, _ in found:
                over = ends.get((ref, attempt))
                started.append((moment, over[0][0] if over else None, worker))
    return sorted(started)


def until_runs(context, job, count, seconds):
    took = context.simulator.until(lambda: len(runs(context, job)) >= count, seconds, 0.05)
    assert took is not None, runs(context, job)
    return took


def feed(context):
    context.pushed_job = submit(
        context, {"queue": "feeds", "kind": "feed", "tasks": [{"name": "f", "work": {}}]}
    )
    until_runs(context, context.pushed_job, 1, 5)
    context.worker_name = runs(context, context.pushed_job)[0][2]


@when("a feed runs and its worker is drained")
def step_drained(context):
    feed(context)
    assert context.simulator.persist("POST", f"/v1/minions/{context.worker_name}/drain")[0] == 200


@when("a feed runs and its zone is emptied and taken back")
def step_emptied(context):
    feed(context)
    context.area = context.simulator.nodes[context.worker_name].zone
    assert context.simulator.persist("POST", f"/v1/areas/{context.area}/empty")[0] == 200
    until_runs(context, context.pushed_job, 2, 5)
    assert context.simulator.persist("POST", f"/v1/areas/{context.area}/take-back")[0] == 200
    context.simulator.run(3)


@then("it runs on another worker within {seconds:d} seconds, its first run over before the second began")
@then("it runs in another zone within {seconds:d} seconds, its first run over before the second began")
def step_moved(context, seconds):
    until_runs(context, context.pushed_job, 2, seconds)
    first, second = runs(context, context.pushed_job)[:2]
    assert first[1] is not None and first[1] <= second[0], (first, second)
    assert second[2] != context.worker_name and second[1] is None
    zone = getattr(context, "area", None)
    assert zone is None or context.simulator.nodes[second[2]].zone != zone
    assert len(runs(context, context.pushed_job)) == 2


@when("a feed runs, all other capacity is taken, and its worker is drained")
def step_full(context):
    feed(context)
    simulator = context.simulator
    status, _ = simulator.persist(
        "PATCH",
        "/v1/setup",
        {"queues": {"default": {"share": 60, "limit": 200, "yields": False}}},
        {"if-match": "*"},
    )
    assert status == 200
    context.filler = submit(
        context,
        {"queue": "default", "tasks": [{"name": f"s{one}", "work": {"seconds": 12.0}} for one in range(47)]},
    )
    until_runs(context, context.filler, 47, 10)
    context.since = simulator.now
    assert simulator.persist("POST", f"/v1/minions/{context.worker_name}/drain")[0] == 200


@then("it runs on there after {seconds:d} seconds, and moves once capacity is free")
def step_stays(context, seconds):
    context.simulator.run(seconds)
    assert [one[1:] for one in runs(context, context.pushed_job)] == [(None, context.worker_name)]
    until_runs(context, context.pushed_job, 2, 15)
    first, second = runs(context, context.pushed_job)
    assert first[1] <= second[0] and second[2] != context.worker_name


@when("a feed runs and its worker is cut off for {seconds:d} seconds")
def step_partition(context, seconds):
    feed(context)
    context.simulator.partition([context.worker_name], list(context.simulator.nodes))
    context.simulator.run(seconds)
    context.simulator.heal()
    context.simulator.run(5)


@then("it was started once, and runs on")
def step_once(context):
    assert [one[1:] for one in runs(context, context.pushed_job)] == [(None, context.worker_name)]


@when("all capacity is taken by work that yields and an urgent job comes")
def step_urgent(context):
    simulator = context.simulator
    assert (
        simulator.persist(
            "PATCH", "/v1/setup", {"queues": {"default": {"share": 24, "limit": 200}}}, {"if-match": "*"}
        )[0]
        == 200
    )
    context.filler = submit(
        context,
        {"queue": "default", "tasks": [{"name": f"s{one}", "work": {"seconds": 8.0}} for one in range(48)]},
    )
    until_runs(context, context.filler, 36, 10)
    filled = len(runs(context, context.filler))
    context.filled = filled
    context.since = START + simulator.now
    context.pushed_job = submit(
        context,
        {
            "queue": "urgent",
            "tasks": [{"name": f"u{one}", "units": 2, "work": {"seconds": 1.0}} for one in range(6)],
        },
    )


@then("the urgent job starts within {seconds:d} seconds, and what yielded runs again with no failure counted")
def step_yielded(context, seconds):
    until_runs(context, context.pushed_job, 6, seconds)
    simulator = context.simulator
    status, document = simulator.persist("GET", f"/v1/tickets/{context.filler}")
    assert simulator.until(
        lambda: simulator.persist("GET", f"/v1/tickets/{context.filler}")[1]["state"] != "pending", 60
    )
    status, document = simulator.persist("GET", f"/v1/tickets/{context.filler}")
    assert document["state"] == "finished", document["state"]
    again = [one for one in document["tasks"] if one["attempt"] > 1]
    killed = [event for event in simulator.worker_history if event[0] == "end" and event[6] == "killed"]
    assert len(killed) == len(again) and all(one["failures"] == 0 for one in again), (killed, again)
    assert killed, "nothing had to yield: the room was not taken"


@when("a task with a limit of {limit:d} second and {attempts:d} attempts would run for {length:d}")
def step_limit(context, limit, attempts, length):
    context.pushed_job = submit(
        context,
        {
            "queue": "default",
            "tasks": [{"name": "s", "limit": limit, "attempts": attempts, "work": {"seconds": length}}],
        },
    )


@then("it is killed twice, the job fails, and no attempt ran over {most:d} seconds")
def step_killed(context, most):
    simulator = context.simulator
    assert (
        simulator.until(
            lambda: simulator.persist("GET", f"/v1/tickets/{context.pushed_job}")[1]["state"] == "failed", 20
        )
        is not None
    )
    found = runs(context, context.pushed_job)
    assert len(found) == 2 and all(one[1] - one[0] < most for one in found), found
    assert [event[6] for event in simulator.worker_history if event[0] == "end"] == ["killed", "killed"]


# --- long reports ---------------------------------------------------------------------
@given("a simulated fleet of two workers that can run {count:d} tasks each, and a third one that is drained")
def step_wide_fleet(context, count):
    workers = (("m", 2, count, (), True), ("n", 1, 2 * count, (), True))
    context.simulator = Simulator(12, workers=workers)
    context.simulator.begin()
    context.simulator.run(3)
    assert context.simulator.persist("POST", "/v1/minions/n0/drain")[0] == 200
    change = {"queues": {"default": {"share": 2 * count, "limit": 2 * count}}}
    assert context.simulator.persist("PATCH", "/v1/setup", change, {"if-match": "*"})[0] == 200


@when(
    "{count:d} tasks run, and end while their workers are cut off and drained and the third is not any more"
)
def step_long_reports(context, count):
    simulator, workers = context.simulator, ("m0", "m1")
    tasks = [{"name": f"t{one}", "work": {"seconds": 20.0}} for one in range(count)]
    context.pushed_job = submit(context, {"queue": "default", "tasks": tasks})
    until_runs(context, context.pushed_job, count, 11)
    # from then on, absence from a report is proof
    simulator.run(constants.SEND_WITHIN + constants.SEND_MARGIN + 2 * constants.REPORT_EVERY)
    simulator.partition(list(workers), [name for name in simulator.nodes if name not in workers])
    for name in workers:
        assert simulator.persist("POST", f"/v1/minions/{name}/drain")[0] == 200
    assert simulator.persist("POST", "/v1/minions/n0/undrain")[0] == 200
    simulator.run(20)
    context.unreported = max(len(simulator.nodes[name].core.ended) for name in workers)
    simulator.heal()
    simulator.run(10)


@then("at least {count:d} ends are reported at once, and no task was run again")
def step_not_again(context, count):
    assert context.unreported >= count, context.unreported
    started = collections.Counter(
        start[4] for start in context.simulator.worker_history if start[0] == "start"
    )
    assert not [ref for ref, times in started.items() if times > 1], started.most_common(5)
    assert not checks.never_twice(context.simulator.worker_history)


@then("the job is finished")
def step_finished(context):
    status, answer = context.simulator.persist("GET", f"/v1/tickets/{context.pushed_job}")
    assert status == 200 and answer["state"] == "finished", answer
