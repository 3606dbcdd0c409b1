"""Steps for Scale: short runs of real daemons beside hollow workers; counts and ratios, no single times."""

from behave import then, when

from pinepitch.simulation.scale import costs, leader_acts, load, measuring, statistics, sweep

SEED, SECONDS = 1, 3.0


@when("real daemons bear {workers:d} hollow workers that run {running:d} tasks and start {starts:d} a second")
def step_bear(context, workers, running, starts):
    context.found = [
        measuring.measure(load.Load(workers=workers, running=running, starts=starts), SECONDS, SEED)
    ]


@when("real daemons bear {few:d} hollow workers, then {many:d}")
def step_both(context, few, many):
    context.found = [measuring.measure(load.Load(workers=workers), SECONDS, SEED) for workers in (few, many)]


@then("no history check of jobs finds a fault")
def step_clean(context):
    faults = [fault for one in context.found for fault in one["faults"]]
    assert not faults, faults[:6]
    refused = [(one["refused"], one["stops"]) for one in context.found if one["refused"]]
    assert not refused, f"refused, beside what stopped each control daemon: {refused}"


@then("the {running:d} tasks run, and starts come at {starts:d} a second, give or take a half")
def step_counts(context, running, starts):
    found = context.found[0]
    assert found["running"] >= running, found["running"]
    assert starts / 2 <= found["starts"] <= starts * 1.5, found["starts"]


@then("each worker heartbeats more often than once a second, and less than {most:d} times")
def step_pace(context, most):
    found = context.found[0]
    assert found["load"]["workers"] < found["beats"] < most * found["load"]["workers"], found["beats"]


@then("the leader took every heartbeat that was answered, and every role's frames are counted")
def step_frames(context):
    found = context.found[0]
    assert set(found["roles"]) == {"leader", "follower1", "follower2", "verge"}, set(found["roles"])
    taken = found["roles"]["leader"]["kinds"]["in"]["ask beat"][0]
    assert abs(taken - found["beats"]) <= 0.15 * found["beats"], (taken, found["beats"])
    for role, one in found["roles"].items():
        assert one["core"] > 0 and one["resident"] > 1e6, (role, one)
        assert all(one[figure] > 0 for figure in ("messages_in", "messages_out", "bytes_in", "bytes_out")), (
            role,
            one,
        )


@then("every control daemon applies the same entries")
def step_entries(context):
    entries = [one["entries"] for role, one in context.found[0]["roles"].items() if role != "verge"]
    assert min(entries) > 0 and max(entries) - min(entries) <= 0.25 * max(entries) + 2, entries


@then("the heartbeats of the second run are {least:g} to {most:g} times those of the first")
def step_ratio(context, least, most):
    few, many = [one["beats"] for one in context.found]
    assert least * few <= many <= most * few, (few, many)


@then("points of 3 + 2x give the slope 2, the intercept 3 and no residual")
def step_fit(context):
    slope, level, worst = statistics.fit([(x, 3 + 2 * x) for x in (0, 1, 5, 20)])
    assert abs(slope - 2) < 1e-9 and abs(level - 3) < 1e-9 and worst < 1e-9, (slope, level, worst)


@then("a daemon at its limit is no point of a slope")
def step_limit(context):
    points = [
        {"load": {"workers": workers}, "hollow_core": 0.1, "roles": {"leader": {"core": core}}}
        for workers, core in ((10, 0.1), (20, 0.2), (30, 0.3), (400, 0.99))
    ]
    slope, _, worst, used = sweep.slopes("workers", points)["leader"]["core"]
    assert used == 3 and abs(slope - 0.01) < 1e-9 and worst < 1e-9, (slope, worst, used)


@when("{few:d} and {many:d} workers heartbeat in this process")
def step_herds(context, few, many):
    context.costs = []
    for workers in (few, many):
        _, herd = costs.herd_of(workers)
        context.costs.append(min(herd.round() for _ in range(5)) / workers)


@then("one heartbeat among {many:d} costs less than {times:d} times one among {few:d}")
def step_alike(context, many, times, few):
    assert context.costs[1] < times * context.costs[0], context.costs


def play_acts(workers, seconds):
    """{kind: (acts, calls for each)} of a leader beside so many busy workers."""
    acts = leader_acts.BusyFleet(workers).run(seconds)
    return {kind: (act.count, act.calls) for kind, act in acts.items()}


@when("a leader of {few:d} and one of {many:d} busy workers decide for {seconds:g} seconds in this process")
def step_acts(context, few, many, seconds):
    context.seconds = seconds
    context.acts = {workers: play_acts(workers, seconds) for workers in (few, many)}
    for acts in context.acts.values():
        assert set(acts) == {"heartbeat", "job", "round", "tick"}, acts


@then("a heartbeat among {many:d} makes at most {times:g} times the calls of one among {few:d}")
def step_heartbeat_calls(context, many, times, few):
    calls = [context.acts[workers]["heartbeat"][1] for workers in (few, many)]
    assert calls[1] <= times * calls[0], calls


@then("a round among {many:d} makes at most {most:g} calls for each worker")
def step_round_calls(context, many, most):
    calls = context.acts[many]["round"][1]
    assert calls <= most * many, calls


@then("the counts are the same when the first is played again")
def step_acts_repeat(context):
    few = min(context.acts)
    assert play_acts(few, context.seconds) == context.acts[few]
