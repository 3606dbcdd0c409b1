"""Steps for Table: drafts, rehearsals and approvals on a simulated fleet."""

from behave import given, then, when

from pinepitch.simulation import rates
from pinepitch.simulation.simulator import Simulator

CROWD = (
    ("crowd", 3.0, {"queue": "narrow", "urgency": 4, "count": 3, "shape": "fan", "units": 1, "seconds": 0.6}),
    ("other", 1.0, {"queue": "wide", "urgency": 4, "count": 2, "shape": "chain", "units": 1, "seconds": 0.3}),
)
QUEUE_CONFIGURATION = {
    "queues": {
        "narrow": {"share": 4, "limit": 4, "retries": 3},
        "wide": {"share": 20, "limit": 40, "retries": 3},
    }
}
WIDER = {"queues": {"narrow": {"share": 16, "limit": 32}}}
STARVED = {"queues": {"narrow": {"share": 1, "limit": 1}}}


@given("a simulated fleet that has seen a day of crowded traffic")
def step_fleet(context):
    context.simulator = Simulator(5, queue_configuration=QUEUE_CONFIGURATION)
    context.simulator.begin()
    context.simulator.caller("day", CROWD, fail=0.0)
    context.simulator.run(20)


def ask(context, method, target, document=None, headers=None):
    return context.simulator.persist(method, target, document, headers)


def version(context):
    return ask(context, "GET", "/v1/setup")[1]["version"]


def make(context, patch):
    status, draft = ask(context, "POST", "/v1/drafts", {"base": version(context), "patch": patch})
    assert status == 200, draft
    return draft["draft"]


def rehearse(context, identity, seconds=30):
    status, draft = ask(context, "POST", f"/v1/drafts/{identity}/rehearse")
    assert status == 200, draft

    def measured():
        return ask(context, "GET", f"/v1/drafts/{identity}")[1]["state"] == "measured"

    assert context.simulator.until(measured, seconds) is not None, "no measurement came"
    return ask(context, "GET", f"/v1/drafts/{identity}")[1]["measure"]


@when("a draft that changes nothing is rehearsed")
def step_same(context):
    context.draft = make(context, {"queues": {"narrow": {"limit": 4}}})
    context.measure = rehearse(context, context.draft)


@when("a draft that starves the crowded queue is rehearsed")
def step_starved(context):
    context.draft = make(context, STARVED)
    context.measure = rehearse(context, context.draft)


@when("a draft that widens the crowded queue is rehearsed")
def step_wider(context):
    context.draft = make(context, WIDER)
    context.measure = rehearse(context, context.draft)


@when("a draft that widens the crowded queue is made but not rehearsed")
def step_made(context):
    context.draft = make(context, WIDER)


@then('its verdict is "{verdict}"')
def step_verdict(context, verdict):
    assert context.measure["verdict"] == verdict, context.measure


@then('approving it is refused with "{code}" and leaves the version in force')
def step_refused(context, code):
    before = ask(context, "GET", "/v1/setup")[1]
    status, answer = ask(context, "POST", f"/v1/drafts/{context.draft}/approve")
    assert status == 409 and answer["error"]["code"] == code, (status, answer)
    after = ask(context, "GET", "/v1/setup")[1]
    assert (before["version"], before["setup"]) == (after["version"], after["setup"])


@then("approving it puts it in force at every front daemon within {seconds:d} seconds")
def step_approved(context, seconds):
    status, answer = ask(context, "POST", f"/v1/drafts/{context.draft}/approve")
    assert status == 200, answer
    fronts = [node.core for node in context.simulator.nodes.values() if node.kind == "verge"]
    took = context.simulator.until(
        lambda: all(one.body["setup_version"] == answer["version"] for one in fronts), seconds, 0.05
    )
    assert took is not None, [one.body for one in fronts]
    assert ask(context, "GET", "/v1/setup")[1]["setup"]["queues"]["narrow"]["limit"] == 32


def waits(context, since):
    """Median seconds from acceptance to the first start, of tickets accepted after `since`."""
    caller = context.simulator.callers["day"]
    first = {}
    for event in context.simulator.worker_history:
        if event[0] == "start":
            first.setdefault(event[4].partition("/")[0], event[1])
    found = sorted(
        first[job] - accepted
        for job, (_, accepted, document) in caller.accepted.items()
        if accepted > since and job in first and document["queue"] == "narrow"
    )
    assert len(found) > 10
    return found[len(found) // 2]


@then("the waits that follow are shorter, as forecast")
def step_forecast(context):
    simulator = context.simulator
    before = waits(context, 0)
    simulator.run(25)  # the backlog of the narrow table is worked off
    since = 1_000_000.0 + simulator.now
    simulator.run(15)
    after = waits(context, since)
    queue_settings = next(one for one in context.measure["queues"] if one["queue"] == "narrow")
    assert after < before, (before, after)
    assert queue_settings["draft_wait_median"] < queue_settings["wait_median"]
    assert abs(after - queue_settings["draft_wait_median"]) < 0.5, (after, queue_settings)


@when("two better drafts on one base are rehearsed and approved at once")
def step_two(context):
    context.drafts = [make(context, WIDER), make(context, {"queues": {"narrow": {"share": 12, "limit": 30}}})]
    for one in context.drafts:
        assert rehearse(context, one)["verdict"] == "better"
    context.answers = []
    for place, one in enumerate(context.drafts):
        got = []
        context.answers.append(got)
        context.simulator.call(
            "operator", 0, place, "POST", f"/v1/drafts/{one}/approve", None, ("plain", got)
        )
    assert context.simulator.until(lambda: all(context.answers), 10) is not None


@then('one is in force and the other is refused with "{code}"')
def step_one(context, code):
    statuses = sorted(got[0][1] for got in context.answers)
    assert statuses == [200, 409], context.answers
    lost = next(got[0][2] for got in context.answers if got[0][1] == 409)
    assert lost["error"]["code"] == code, lost
    won = context.answers[0][0][1] == 200
    limit = ask(context, "GET", "/v1/setup")[1]["setup"]["queues"]["narrow"]["limit"]
    assert limit == (32 if won else 30), limit


@when("a draft is rehearsed and then another change is made")
def step_moved(context):
    context.draft = make(context, WIDER)
    rehearse(context, context.draft)
    status, _ = ask(context, "PATCH", "/v1/setup", {"queues": {"wide": {"limit": 39}}}, {"if-match": "*"})
    assert status == 200


def holder(context):
    epoch, identity = context.simulator.leader().core.cluster_state.epochs.get("rehearsal", (0, ""))
    return epoch, identity


@when("a better draft is rehearsed and whoever holds the rehearsal duty dies")
def step_dies(context):
    context.draft = make(context, WIDER)
    status, _ = ask(context, "POST", f"/v1/drafts/{context.draft}/rehearse")
    assert status == 200
    simulator = context.simulator
    assert simulator.until(lambda: holder(context)[0] > 0, 10, 0.02) is not None
    context.epoch, identity = holder(context)
    name = next(
        one.name for one in simulator.nodes.values() if one.kind == "accord" and one.core.identity == identity
    )
    assert simulator.leader().name != name, "the leader should not rehearse"
    simulator.kill(name)


@then("another control daemon measures it under a higher epoch")
def step_other(context):
    assert (
        context.simulator.until(
            lambda: ask(context, "GET", f"/v1/drafts/{context.draft}")[1]["state"] == "measured", 30
        )
        is not None
    )
    assert holder(context)[0] > context.epoch
    assert ask(context, "GET", f"/v1/drafts/{context.draft}")[1]["measure"]["verdict"] == "better"


@when("a better draft is rehearsed and a result under an older epoch arrives")
def step_older(context):
    context.draft = make(context, WIDER)
    assert ask(context, "POST", f"/v1/drafts/{context.draft}/rehearse")[0] == 200
    simulator = context.simulator
    assert simulator.until(lambda: holder(context)[0] > 0, 10, 0.02) is not None
    leader = simulator.leader()
    asked = leader.core.cluster_state.drafts[context.draft]["asked"]
    simulator.give(
        leader, ("measured", holder(context)[0] - 1, context.draft, asked, {"verdict": "better", "fake": 1})
    )
    simulator.run(2)


@then("the cluster state keeps the draft unmeasured by it")
def step_kept(context):
    measure = ask(context, "GET", f"/v1/drafts/{context.draft}")[1]["measure"]
    assert measure is None or "fake" not in measure


@when("placing is timed in virtual time with and without a rehearsal under way")
def step_timed(context):
    simulator = context.simulator
    ask(context, "PATCH", "/v1/setup", WIDER, {"if-match": "*"})
    simulator.run(25)
    since = 1_000_000.0 + simulator.now
    simulator.run(15)
    context.without = waits(context, since)
    draft = make(context, {"queues": {"narrow": {"limit": 31}}})
    since = 1_000_000.0 + simulator.now
    for _ in range(4):
        rehearse(context, draft)
    simulator.run(10)
    context.during = waits(context, since)


@then("the median start is no more than a tenth later")
def step_unslowed(context):
    assert context.during <= context.without * 1.1 + 0.01, (context.without, context.during)


@when("{idle:d} idle drafts and one of each known effect are rehearsed on made traffic")
def step_rates(context, idle):
    context.counts = rates.measured(idle, 1)
    context.idle = idle


@then('no idle draft has another verdict than "{verdict}"')
def step_idle(context, verdict):
    assert dict(context.counts.pop("idle")[verdict]) == {verdict: context.idle}


@then("at most one known effect is missed, and none is found to be its opposite")
def step_known(context):
    missed = 0
    for column, known in context.counts.items():
        for right, found in known.items():
            assert not set(found) & ({"better", "worse"} - {right}), (column, right, found)
            missed += found[right] == 0
    assert len(context.counts) == 4 and missed <= 1, context.counts
