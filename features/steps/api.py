"""Steps for Api: calls at every front daemon of a simulated fleet."""

import json
from unittest import mock

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.simulation.simulator import Simulator

ONE = {"queue": "default", "key": "k", "tasks": [{"name": "a", "work": {"seconds": 0.05}}]}


@given("a simulated fleet behind its front daemons")
def step_fleet(context):
    context.simulator = Simulator(31)
    context.simulator.begin()
    context.simulator.run(3)
    context.simulator.loss = 0.0
    context.fronts = sum(node.kind == "verge" for node in context.simulator.nodes.values())


@when("one job is handed in at every front daemon under one key, then with another body")
def step_key(context):
    ask = context.simulator.ask
    context.answers = [ask("POST", "/v1/tickets", ONE, front=place) for place in range(context.fronts)]
    context.other = ask("POST", "/v1/tickets", {**ONE, "urgency": 9}, front=1)


@then('all but the first answer 200 with the same job, and the other body 409 "{code}"')
def step_same(context, code):
    assert [status for status, _ in context.answers] == [201] + [200] * (context.fronts - 1), context.answers
    assert len({answer["ticket"] for _, answer in context.answers}) == 1
    assert context.other[0] == 409 and context.other[1]["error"]["code"] == code, context.other


@when("{count:d} jobs are handed in, finished, and some archived")
def step_many(context, count):
    simulator = context.simulator
    context.made = []
    with mock.patch.object(constants, "FINISHED_LIVE", 8), mock.patch.object(constants, "SEGMENT_JOBS", 8):
        for place in range(count):
            queue = "urgent" if place % 4 == 0 else "default"
            status, answer = simulator.ask(
                "POST", "/v1/tickets", {**ONE, "queue": queue, "key": f"k{place}"}, front=place
            )
            assert status == 201, answer
            context.made.append((answer["ticket"], queue))
        simulator.run(5)
        assert simulator.leader().core.cluster_state.archive.count >= 24


def pages(context, more):
    found, after, place = [], 0, 0
    while after is not None:
        status, page = context.simulator.ask("GET", f"/v1/tickets?after={after}&limit=7{more}", front=place)
        assert status == 200 and len(page["tickets"]) <= 7, page
        found.extend(one["ticket"] for one in page["tickets"])
        after, place = page["next"], place + 1
    return found


@then("pages of 7 list each once in order, by queue and by state and by key as well")
def step_pages(context):
    names = [job for job, _ in context.made]
    assert pages(context, "") == names
    assert pages(context, "&queue=urgent") == [job for job, queue in context.made if queue == "urgent"]
    assert pages(context, "&state=finished") == names and pages(context, "&state=failed") == []
    assert pages(context, "&key=k5") == [names[5]] and pages(context, "&key=unheard") == []


@then("at every front daemon {call} is answered with {status:d} and {code}")
def step_status(context, call, status, code):
    method, target, *body = call.split(" ", 2)
    for place in range(context.fronts):
        node = [node for node in context.simulator.nodes.values() if node.kind == "verge"][place]
        got = []
        if body and not body[0].startswith("{"):  # what is no JSON goes in as bytes
            effects = node.core.step(
                ("http", 10**9, method, target, {}, body[0].encode()), context.simulator.now + 1000.0, 0.0
            )
            got.append((0, *effects[0][1:3]))
        else:
            got.append(
                (
                    0,
                    *context.simulator.ask(
                        method, target, json.loads(body[0]) if body else None, front=place
                    ),
                )
            )
        assert got[0][1] == status and got[0][2]["error"]["code"] == code, got


@then(
    "the queue configuration's version is its ETag, a change on it is taken, and a second on it "
    'gets 409 "{code}"'
)
def step_etag(context, code):
    simulator = context.simulator
    version = simulator.ask("GET", "/v1/setup")[1]["version"]
    front = next(node for node in simulator.nodes.values() if node.kind == "verge")
    replies, reply = [], front.core.product_requests._reply

    def noted(request, status, document, retry=None, headers=()):
        replies.append(headers)
        reply(request, status, document, retry, headers)

    with mock.patch.object(front.core.product_requests, "_reply", noted):
        simulator.ask("GET", "/v1/setup", front=0)
    assert ("ETag", f'"{version}"') in replies[0], replies
    patch = {"queues": {"default": {"limit": 47}}}
    assert simulator.ask("PATCH", "/v1/setup", patch, {"if-match": f'"{version}"'}, front=1)[0] == 200
    status, answer = simulator.ask("PATCH", "/v1/setup", patch, {"if-match": f'"{version}"'}, front=2)
    assert status == 409 and answer["error"]["code"] == code and answer["error"]["version"] == version + 1, (
        answer
    )
