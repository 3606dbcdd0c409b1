"""Steps for Forwarder: one by hand, and in a front daemon that is stepped by hand."""

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.effects import Reply, Send
from pinepitch.front.daemon import FrontDaemon
from pinepitch.transport.forwarder import Forwarder

ADDRESS, LEADER, OTHER = "10.0.0.9:7000", "10.0.0.1:7000", "10.0.0.2:7000"
CALL = ("job", ("a.example", "/orders/5c0e7a21d94b36f8", {"steps": [{}]}))
KEY = ("job", "a.example /orders/5c0e7a21d94b36f8")


@given("a call to be carried, with {seconds:d} second of patience")
@given("a call to be carried, with {seconds:d} seconds of patience")
def step_call(context, seconds):
    context.forwarder, context.now = Forwarder("verge", ADDRESS, lambda number, **_: None), 100.0
    context.token = context.forwarder.begin(17, *CALL, context.now, seconds)
    context.until, context.replies = context.now + seconds, []


@when("its way is: {history}")
def step_history(context, history):
    open_sendings = []
    for one in history.split(", "):
        if one == "sent":
            open_sendings.append(context.forwarder.sent(context.token, LEADER, context.now))
        elif one == "sent to nobody":
            context.forwarder.sent(context.token, None, context.now)
        elif one == "refused":
            context.forwarder.not_taken(context.token, open_sendings.pop(0))
        elif one == "refused again":
            context.forwarder.not_taken(context.token, 1)
        else:
            assert one == "in doubt", one
            context.forwarder.in_doubt(context.token)


def wait(context, until):
    due, effects = context.forwarder.due(until)
    context.replies.extend(effects)
    return due


@when("its patience is over")
def step_over(context):
    wait(context, context.until - 0.001)
    assert not context.replies, "it was given up too early"
    assert wait(context, context.until) == []


@when("its process stops")
def step_stops(context):
    context.replies.extend(context.forwarder.give_up_all())


@when("the longest patience is over")
def step_longest(context):
    wait(context, context.now + constants.CALL_PATIENCE)


@when("its answer is {status:d}")
def step_answered(context, status):
    context.replies.extend(
        context.forwarder.answered(context.token, (status, {"state": "queued"}, None), KEY, context.now)
    )


@when("its answer is {status:d} and when to come back")
def step_answered_again(context, status):
    context.replies.extend(
        context.forwarder.answered(
            context.token, (status, {"state": "queued"}, constants.RETRY_AFTER), KEY, context.now
        )
    )


@then("it is replied with {status:d}, {again}")
def step_replied(context, status, again):
    assert len(context.replies) == 1, context.replies
    request, answer_status, document, headers, _ = context.replies[0]
    assert (type(context.replies[0]), request, answer_status) == (Reply, 17, status), context.replies
    expected = (("Retry-After", str(constants.RETRY_AFTER)),) if again == "saying when to come back" else ()
    assert tuple(headers) == expected, headers
    assert status < 500 or "message" in document["error"], document
    assert context.token not in context.forwarder.calls


@then("nothing more is replied, whatever is told later")
def step_no_more(context):
    context.forwarder.not_taken(context.token, 1)
    context.forwarder.in_doubt(context.token)
    assert not context.forwarder.answered(context.token, (200, {}, None), KEY, context.now)
    assert context.forwarder.due(context.until + 1000) == ([], [])


WHEN = {
    "once an answer is overdue": constants.FORWARD_RETRY,
    "as soon as one may be found": constants.FORWARD_RETRY_UNTAKEN,
    "at once": 0.0,
}


@then("it is due again {when}, and not before")
def step_due(context, when):
    wanted = context.now + WHEN[when]
    if when != "at once":
        assert wait(context, wanted - 0.001) == []
    assert wait(context, wanted + 0.001) == [context.token]
    assert not context.replies, context.replies


@given("two calls to be carried, one with less patience")
def step_two(context):
    context.forwarder = Forwarder("verge", ADDRESS, lambda number, **_: None)
    context.tokens = [
        context.forwarder.begin(1, *CALL, 100.0, 0.5),
        context.forwarder.begin(2, *CALL, 100.0, 1),
    ]
    assert len(set(context.tokens)) == 2


@when("both are sent, and the second is answered")
def step_second(context):
    for token in context.tokens:
        context.forwarder.sent(token, LEADER, 100.0)
    context.replies = list(context.forwarder.answered(context.tokens[1], (200, {}, None), KEY, 100.0))
    context.replies.extend(context.forwarder.due(100.6)[1])


@then("each has its own reply")
def step_own(context):
    assert [one[:2] for one in context.replies] == [(2, 200), (1, 504)], context.replies


# --- in a front daemon ---------------------------------------------------------------
@given("a front daemon that knows no control daemon")
def step_front(context):
    context.front, context.now = (
        FrontDaemon("verge", ADDRESS, "north", (LEADER, OTHER, "10.0.0.3:7000")),
        50.0,
    )
    context.asks, context.replies = [], []


@given("a front daemon that follows a leader")
def step_follows(context):
    step_front(context)
    for identity, address in (("one", LEADER), ("two", OTHER)):
        step(
            context,
            "greeted",
            identity,
            "accord",
            "north",
            address,
            "cohort",
            (),
            0.0,
            (),
            (),
            constants.RECORD_LEVEL,
            LEADER,
            0.0,
            (1, 0.0),
        )


def step(context, *message):
    """Steps the front daemon; returns its requests about the call."""
    asks = []
    for effect in context.front.step(message, context.now, 1.7e9 + context.now):
        if isinstance(effect, Send) and effect.message[0] == "ask" and effect.message[3] == CALL[0]:
            asks.append((effect.address, effect.message[2], effect.message[5]))  # (address, token, sending)
        elif isinstance(effect, Reply):
            context.replies.append(effect)
    context.asks.extend(asks)
    return asks


def call(context):
    return step(context, "call", 17, *CALL, 1.0)


def run(context, seconds):
    for _ in range(round(seconds / constants.TICK)):
        context.now += constants.TICK
        step(context, "tick")


@when("a client's call comes there and nobody is found")
def step_nobody(context):
    assert not call(context)
    run(context, 1.1)
    assert not context.asks


@when("a client's call comes there and the leader is silent")
def step_unresponsive(context):
    assert [one[0] for one in call(context)] == [LEADER]
    run(context, 1.1)


@when("a client's call comes there and the leader names another")
def step_names(context):
    ((_, context.token, sending),) = call(context)
    context.asks.clear()
    step(context, "elsewhere", context.token, OTHER, sending, None)


@then("the same call goes to the other at once")
def step_same(context):
    assert [one[:2] for one in context.asks] == [(OTHER, context.token)], context.asks


@when("the other answers it, twice")
def step_twice(context):
    for _ in range(2):
        step(context, "answer", context.token, (200, {"state": "queued"}, None), KEY)
    run(context, 1.1)


@when("a client's call comes there and whoever is asked refuses it")
def step_refuse(context):
    asked = call(context)
    for _ in range(round(1.1 / constants.TICK)):
        for _, token, sending in asked:
            step(context, "elsewhere", token, None, sending, None)
        context.now += constants.TICK
        asked = step(context, "tick")


@then("it was sent several times as the same call")
def step_several(context):
    assert len(context.asks) > 2 and len({token for _, token, _ in context.asks}) == 1, context.asks


@then("the client is told {status:d} once")
def step_notified(context, status):
    assert [one[:2] for one in context.replies] == [(17, status)], context.replies


@then("the client is told {status:d} once, and when to come back")
def step_notified_again(context, status):
    step_notified(context, status)
    assert ("Retry-After", str(constants.RETRY_AFTER)) in tuple(context.replies[0].headers), context.replies
