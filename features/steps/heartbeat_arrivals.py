"""Steps for Arrivals of heartbeats: what a daemon's port knows of them, and what a leader makes of it."""

from behave import given, then, when
from heartbeats import heartbeat

from pinepitch.control.heartbeat_arrivals import HeartbeatArrivals
from pinepitch.scheduling.worker import LATE_FIELD, Worker


def document(number, sent):
    return heartbeat(number, sent, "held", "10.8.0.1:80", ["a", "r1"], [1000, 1000, 0], [])


@given("a control daemon at whose port a worker's heartbeats arrive")
def step_daemon(context):
    context.arrivals, context.late = HeartbeatArrivals(), []


def arrives(context, identity, message, now):
    marked = context.arrivals.marked(identity, message, now)
    if LATE_FIELD in marked:
        context.late.append(marked["sequence"])


@when("heartbeat {number:d} that was sent at {sent:g} seconds arrives at {arrived:g}")
def step_arrives(context, number, sent, arrived):
    arrives(context, "i-one", document(number, sent), arrived)


@when("a heartbeat without a sequence arrives")
def step_invalid(context):
    message = document(1, 10.0)
    del message["sequence"]
    arrives(context, "i-one", message, 10.0)


@when("heartbeats of {count:d} other workers arrive")
def step_many(context, count):
    for place in range(count):
        arrives(context, f"i-{place}", document(1, 10.0), 10.0)


@then("at {now:g} seconds its worker may be sent an address")
def step_may_hint(context, now):
    assert context.arrivals.may_hint("i-one", now)


@then("at {now:g} seconds its worker may not be sent an address")
def step_may_not_hint(context, now):
    assert not context.arrivals.may_hint("i-one", now)


@when("a heartbeat of a worker with a name of {count:d} characters arrives")
def step_long_name(context, count):
    arrives(context, "i" * count, document(1, 10.0), 10.0)


@then("{count:d} workers are remembered")
def step_remembered(context, count):
    assert len(context.arrivals) == count, len(context.arrivals)


@then("no heartbeat was marked as late")
def step_none(context):
    assert not context.late, context.late


@then("heartbeat {number:d} was marked as late")
def step_marked(context, number):
    assert context.late == [number], context.late


def hears(context, number, marked):
    message = document(number, float(number))
    context.worker.take_heartbeat({**message, LATE_FIELD: True} if marked else message, 50.0 + number)


@when(
    "a leader first hears heartbeat {first:d}, marked as late, and then heartbeat {second:d}, marked as late"
)
def step_hears(context, first, second):
    context.worker = Worker("i-one", 50.0)
    for number in (first, second):
        hears(context, number, marked=True)


@when("the leader hears heartbeat {number:d}, which is not marked")
def step_hears_fresh(context, number):
    hears(context, number, marked=False)


def hears_late(context, number, lateness):
    """The leader hears a heartbeat sent at `number` seconds by its clock that took `lateness` to arrive."""
    context.worker.take_heartbeat(document(number, float(number)), 50.0 + number + lateness)


@when(
    "a leader hears heartbeat {first:d} that is {one:g} seconds late, "
    "and then heartbeat {second:d} that is {other:g} seconds late"
)
def step_hears_late(context, first, one, second, other):
    context.worker = Worker("i-one", 50.0)
    hears_late(context, first, one)
    hears_late(context, second, other)


@when("the leader hears heartbeat {number:d} that is {lateness:g} seconds late")
def step_hears_one(context, number, lateness):
    hears_late(context, number, lateness)


@then("the worker counts as heard {count:d} {times}, and its newest heartbeat as {age}")
def step_heard(context, count, times, age):
    assert context.worker.heartbeats == count, context.worker.heartbeats
    assert context.worker.stale == (age == "late")
