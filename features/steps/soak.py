"""Steps for Soak: short soaks of real processes, as the long ones that are run by hand."""

import contextlib
import os
import socket
import sys
import threading

from behave import given, then, when

FEATURES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, FEATURES)
try:
    from features.soak import wire
    from features.soak.hostile import hostile_soak
    from features.soak.soak import soak
finally:
    sys.path.remove(FEATURES)


@when("soaks of {seconds:d} seconds run with seeds {first:d} to {last:d}")
def step_soak(context, seconds, first, last):
    context.outcomes = [soak(seed, seconds) for seed in range(first, last + 1)]


@then("no history check, no log and no invariant of the code shows a fault")
def step_clean(context):
    found = [f"seed {one.seed}: {fault}" for one in context.outcomes for fault in one.faults]
    assert not found, "\n".join(found[:10])


@then("no request that a daemon had read was cut in its planned stop")
def step_none_cut(context):
    found = [f"seed {one.seed}: {cut}" for one in context.outcomes for cut in one.requests_cut]
    assert not found, "\n".join(found[:10])


@then("at least two troubles went on at the same time, and jobs ran")
def step_met(context):
    for one in context.outcomes:
        assert one.most_at_once >= 2 and one.starts > one.jobs > 0, one


@then("clients that left before their job was answered had cancels acknowledged")
def step_left(context):
    for one in context.outcomes:
        assert one.early_cancels > 10, one


@when("a soak of {seconds:d} seconds beside such jobs runs with seed {seed:d}")
def step_hostile(context, seconds, seed):
    outcome, context.accepted, _ = hostile_soak(seed, seconds)
    context.outcomes = [outcome]


@then("jobs that nobody can run were accepted, and others ran")
def step_accepted(context):
    assert context.accepted > 10 and context.outcomes[0].starts > 10, (context.accepted, context.outcomes)


@given("a server that answers the first request on a connection, reads the second and closes")
def step_dropping_server(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.address = "{}:{}".format(*listener.getsockname())

    def serve():
        connection, _ = listener.accept()
        connection.recv(4096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        connection.recv(4096)
        connection.settimeout(2 * wire.CUT_AFTER)
        with contextlib.suppress(TimeoutError):
            connection.recv(4096)
        connection.close()
        listener.close()

    threading.Thread(target=serve, daemon=True).start()


@when("two calls are sent on one connection")
def step_two_calls(context):
    connections = wire.Connections()
    request = wire.Request(context.address, "GET", "/", None, "", 5.0)
    context.answers = [connections.exchange(request) for _ in range(2)]
    connections.close()


@then("the first has its answer, and the second counts as cut")
def step_second_cut(context):
    (status, _, no_cut), (second, _, cut) = context.answers
    assert (status, no_cut, second) == (200, None, wire.NO_ANSWER), context.answers
    assert cut is not None and cut.address == context.address, context.answers
