"""Steps for Callers: the table that owns what a process holds for its callers."""

import json
import math
import random
import tracemalloc

import cbor2
import curio
import curio.socket
from behave import given, then, when

from pinepitch.common import constants, document
from pinepitch.common.limits import CallerLimits
from pinepitch.transport import callers, framing, http, http_server
from pinepitch.transport.callers import CallerTable, State

SMALL = 1_000  # bytes; of a small request
STEPS = 200  # of a history
MEMORY = 12_000_000  # bytes; of the process, a quarter of them for requests
BUSY = (State.WAITING, State.ANSWERING)


class Connection:
    """A connection that records how it was ended. Invariant: `closed` is None while it is open."""

    def __init__(self):
        self.closed = None
        self.caller = None

    def end_reading(self):
        self.closed = "closed", self.caller.state

    def abort(self):
        self.closed = "aborted", self.caller.state


def table_of(connections, memory=MEMORY):
    """A table whose descriptors allow so many connections."""
    descriptors = constants.FILE_DESCRIPTORS + math.ceil(connections / constants.CALLER_PART_OF_DESCRIPTORS)
    table = CallerTable(CallerLimits(memory, descriptors))
    assert table.limits.connections == connections, table.limits.connections
    return table


def connect(table, now):
    """A new connection, or None if it is refused."""
    connection = Connection()
    connection.caller = table.admit(connection, now)
    return connection if connection.caller is not None else None


def bring_to(connection, state, now, size=SMALL):
    """Brings a connection to a state."""
    caller = connection.caller
    if state is State.NEW:
        return
    assert caller.receives(size, now)
    if state is State.RECEIVING:
        return
    assert caller.waits(size)
    if state is State.WAITING:
        return
    assert caller.answers(size, now)
    if state is State.IDLE:
        caller.rests(now)


# --- random histories -----------------------------------------------------------------
@when("{count:d} random histories of a small table are played")
def step_histories(context, count):
    context.wrong = []
    for seed in range(count):
        context.wrong.extend(f"seed {seed}: {fault}" for fault in _history(random.Random(f"callers-{seed}")))


def _history(draw):
    """The faults of one history."""
    table, open_connections, faults, now = table_of(draw.randint(1, 8)), [], [], 0.0
    for _ in range(STEPS):
        now += draw.choice((0.0, 0.1, 2.0))
        connection = draw.choice(open_connections) if open_connections else None
        if connection is None or draw.random() < 0.2:
            connection = connect(table, now)
            if connection is not None:
                open_connections.append(connection)
        else:
            _act(draw, table, connection, now)
        table.abort_stalled(now)
        for gone in [one for one in open_connections if one.closed]:
            how, state = gone.closed
            if how == "closed" and state in BUSY:
                faults.append(f"closed while {state.name}")
        open_connections = [one for one in open_connections if not one.caller.evicted]
        faults.extend(_faults_of(table, open_connections))
    return faults


def _act(draw, table, connection, now):
    """One act of a caller that fits its state."""
    caller, size = connection.caller, draw.choice((0, 10, SMALL, 70_000, 300_000, 900_000))
    if draw.random() < 0.1:
        table.remove(caller)
    elif caller.state is State.WAITING:
        caller.answers(size, now)
    elif caller.state is State.ANSWERING:
        draw.choice((caller.took, caller.rests))(now)
    elif draw.random() < 0.6:
        caller.receives(size, now)
    else:
        caller.waits(size)


def _faults_of(table, open_connections):
    """What is wrong with a table."""
    listed = [caller for state in State for caller in table.callers[state]]
    if set(listed) != {one.caller for one in open_connections} or len(listed) != len(open_connections):
        yield "the table lists other connections than are open"
    if any(caller.state is not state for state in State for caller in table.callers[state]):
        yield "a connection stands under another state"
    if table.held != sum(caller.held for caller in listed):
        yield f"held {table.held} is not the sum"
    if table.held > table.limits.held:
        yield f"held {table.held} of {table.limits.held}"
    if table.wanted > table.limits.connections:
        yield f"{table.wanted} places wanted of {table.limits.connections}"
    if len(listed) > table.limits.connections:
        yield f"{len(listed)} connections of {table.limits.connections}"
    for state in (State.NEW, State.RECEIVING, State.ANSWERING, State.IDLE):
        times = [caller.active_at for caller in table.callers[state]]
        if times != sorted(times):
            yield f"{state.name} connections out of order"


@then("its sums and its order are right after each step, and no bound is passed")
def step_right(context):
    assert not context.wrong, context.wrong[:5]


@then("no connection was closed while its request waited or was being answered")
def step_none_closed(context):
    assert not [fault for fault in context.wrong if "closed while" in fault]


# --- a full table ---------------------------------------------------------------------
STATES = {
    "silent": State.NEW,
    "stopped within a request": State.RECEIVING,
    "idle after an answer": State.IDLE,
    "waiting for their answers": State.WAITING,
    "taking their answers": State.ANSWERING,
}


@given("a table of {count:d} connections, all of them {others}")
def step_full(context, count, others):
    context.caller_table = table_of(count)
    context.connections = [connect(context.caller_table, float(place)) for place in range(count)]
    for place, connection in enumerate(context.connections):
        bring_to(connection, STATES[others], float(place))


@when("one more connection comes")
def step_one_more(context):
    context.newcomer = connect(context.caller_table, 10.0)


@then("the one that has been silent longest is closed")
def step_oldest_closed(context):
    assert context.newcomer is not None
    assert [bool(one.closed) for one in context.connections] == [True, False, False, False]


@then("the newcomer is refused and nobody is closed")
def step_refused(context):
    assert context.newcomer is None and not any(one.closed for one in context.connections)
    assert context.caller_table.refusals == 1


@when("one more connection comes and is refused, and two of those that wait are answered")
def step_two_answered(context):
    table = context.caller_table
    assert connect(table, 5.0) is None
    context.closing = [table.take_place() for _ in range(2)]


@then("just the first of the two is closed behind its answer, and another newcomer finds its place")
def step_first_closed(context):
    assert context.closing == [True, False], context.closing
    context.caller_table.remove(context.connections[0].caller)
    assert connect(context.caller_table, 6.0) is not None


@when("one more connection comes and is refused, one that waits ends and another newcomer takes its place")
def step_one_ends(context):
    table = context.caller_table
    assert connect(table, 5.0) is None
    table.remove(context.connections[0].caller)
    assert connect(table, 6.0) is not None


@then("no connection is closed behind its answer")
def step_none_gives_up(context):
    assert not context.caller_table.take_place()


@given("a table of 4 connections, the oldest idle after an answer and the others silent")
def step_served_and_silent(context):
    context.caller_table = table_of(4)
    context.connections = [connect(context.caller_table, float(place)) for place in range(4)]
    bring_to(context.connections[0], State.IDLE, 0.0)


@when("three more connections come")
def step_three_more(context):
    for place in range(3):
        assert connect(context.caller_table, 10.0 + place) is not None


@then("the one that was served is still open")
def step_served_open(context):
    assert [bool(one.closed) for one in context.connections] == [False, True, True, True]


# --- bytes ------------------------------------------------------------------------------
@when("newcomers come as long as they may be accepted, and no closed connection ends")
def step_newcomers(context):
    context.newcomers = _newcomers(context)


def _newcomers(context):
    """How many newcomers come until the table accepts none."""
    count = 0
    while context.caller_table.may_accept():
        count += 1
        assert count < 10 * context.caller_table.limits.connections, "it accepts any number"
        assert connect(context.caller_table, 100.0 + count) is not None
    return count


@then("as many were closed as the descriptors allow beside the open ones, and the oldest of them is aborted")
def step_closing(context):
    table = context.caller_table
    assert context.newcomers == len(table.closing) == table.limits.closing > 1, len(table.closing)
    assert table.connections() == table.limits.connections
    how = [one.closed[0] for one in context.connections if one.closed]
    assert how == ["aborted", *["closed"] * (len(how) - 1)], how


@when("that one ends")
def step_one_closed(context):
    context.caller_table.remove(next(iter(context.caller_table.closing)))


@then("just one more newcomer may be accepted")
def step_one_newcomer(context):
    assert _newcomers(context) == 1


@given("a table whose large requests have taken all that they may")
def step_large(context):
    context.caller_table = table_of(16)
    size = context.caller_table.limits.request // 2
    while connect(context.caller_table, 0.0).caller.waits(size):
        pass


@when("another large request and a small one are read whole")
def step_large_and_small(context):
    large, small = connect(context.caller_table, 1.0), connect(context.caller_table, 1.0)
    context.taken = (
        large.caller.waits(constants.SMALL_REQUEST_BYTES * 4),
        small.caller.waits(constants.SMALL_REQUEST_BYTES),
    )


@then("the large one is refused and the small one is taken")
def step_small_taken(context):
    assert context.taken == (False, True), context.taken


@given("a table that is full of requests that came in part")
def step_parts(context):
    context.caller_table = table_of(64)
    context.connections = []
    now = 0.0
    while context.caller_table.held + constants.SMALL_REQUEST_BYTES <= context.caller_table.limits.held:
        connection = connect(context.caller_table, now)
        assert connection.caller.receives(constants.SMALL_REQUEST_BYTES, now)
        context.connections.append(connection)
        now += 1.0


@when("a small request is read whole")
def step_small(context):
    context.taken = connect(context.caller_table, 100.0).caller.waits(constants.SMALL_REQUEST_BYTES)


@then("it is taken, and only the part that was silent longest is given up")
def step_oldest_part(context):
    assert context.taken
    closed = [bool(one.closed) for one in context.connections]
    assert closed == [True] + [False] * (len(closed) - 1), closed


@when("one of them takes a part each second for ten seconds")
def step_takes(context):
    for second in range(4, 15):
        context.connections[0].caller.took(float(second))
        context.caller_table.abort_stalled(float(second))


@then("just the others are cut off")
def step_others_cut(context):
    closed = [one.closed and one.closed[0] for one in context.connections]
    assert closed == [None, "aborted", "aborted", "aborted"], closed


SMALL_BODY = b"[" + b",".join([b"123456789"] * 300) + b"]"


@given("a table whose callers send whole requests of {size:d} bytes with {values:d} values")
def step_small_requests(context, size, values):
    assert abs(len(SMALL_BODY) - size) < 10 and SMALL_BODY.count(b",") == values - 1
    context.caller_table = table_of(2_000, 400_000_000)


@when("requests are read whole until one is refused")
def step_until_refused(context):
    context.taken = 0

    async def act():
        while context.taken < context.caller_table.limits.connections:
            ours, theirs = curio.socket.socketpair()
            caller = connect(context.caller_table, 0.0).caller
            head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {len(SMALL_BODY)}\r\n\r\n"
            await theirs.sendall(head.encode() + SMALL_BODY)
            request = await http_server.Server(ours, caller).receive()
            await ours.close()
            await theirs.close()
            if not isinstance(request, http.Request):
                return
            context.taken += 1

    curio.run(act)


@then("at least half as many are taken as there would be room for by exact counts")
def step_half(context):
    exact = constants.REQUEST_BYTES + callers.decoded_bytes(SMALL_BODY, callers.value_count(SMALL_BODY))
    limits = context.caller_table.limits
    possible = min(limits.connections, limits.held // exact)
    assert context.taken >= possible // 2, (context.taken, possible)


@when("bodies of every kind are counted roughly and exactly")
def step_counts(context):
    bodies = [b"", b"1", b"[" * 99, *(b"[" + item * 9 + b"]" for item in DENSE_ITEMS)]
    context.counts = [(callers.most_values(body), callers.value_count(body)) for body in bodies]


@then("no exact count is larger")
def step_no_larger(context):
    assert all(rough >= exact for rough, exact in context.counts), context.counts


# --- values -----------------------------------------------------------------------------
@when("CBOR texts with {values:d} values of all kinds are scanned with a limit of {limit:d}")
def step_scan(context, values, limit):
    item_lists = (
        [[]] * (values - 1),
        [1.5] * (values - 1),
        [2**40] * (values - 1),
        ["text \u00e9" * 60] * (values - 1),
        [b"\x80" * 300] * (values - 1),
        [None] * (values - 1),
    )
    context.scanned = [framing.has_more_values(cbor2.dumps(items), limit) for items in item_lists]


@then("each scan says that it is {told}")
def step_told(context, told):
    assert context.scanned == [told == "refused"] * len(context.scanned), context.scanned


def _translated(value):
    """A copy of a decoded document, as a translation of its names makes it."""
    if isinstance(value, dict):
        return {f"{name}": _translated(item) for name, item in value.items()}
    return [_translated(item) for item in value] if isinstance(value, list) else value


DENSE_ITEMS = (
    b"[]",
    b"{}",
    b'{"":0}',
    b'{"a":[]}',
    b"300",
    b"1.5",
    b'"ab"',
    b'"\\u0100"',
    b'{"a":1,"b":2}',
    b"[[[]]]",
)
DENSE_COUNT = 20_000


@when("dense bodies of every kind are decoded, checked and translated")
def step_dense(context):
    context.needed = {}
    for item in DENSE_ITEMS:
        body = b"[" + b",".join([item] * DENSE_COUNT) + b"]"
        tracemalloc.start()
        decoded, error = document.read(body)
        translated = _translated(decoded)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert error is None and json.loads(body) == translated
        context.needed[item] = (len(body) + peak, callers.decoded_bytes(body, callers.value_count(body)))


@then("none takes more memory than was estimated")
def step_estimated(context):
    short = {item: sizes for item, sizes in context.needed.items() if sizes[0] > sizes[1]}
    assert not short, short
