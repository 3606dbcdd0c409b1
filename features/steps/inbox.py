"""Steps for Inbox: the order in which a daemon takes its messages, and turns for reads that take long."""

import time
from unittest import mock

import curio
from behave import given, then, when
from daemon_port import Port, read_numbers

from pinepitch.common.effects import Reply
from pinepitch.runtime.host import Host
from pinepitch.runtime.inbox import Inbox
from pinepitch.runtime.read_costs import ReadCosts
from pinepitch.transport import http_client

PATIENCE = 20.0  # seconds; a step that takes longer has failed
STEP_SECONDS = 0.01  # that a decider spends on a request that takes long
MESSAGES = {
    "a frame of another daemon": ("append", 1),
    "a tick": ("tick",),
    "the end of a write": ("saved", 1),
}
LONG_WAIT = 5.0  # seconds; of a message that is to go before requests


def spend(seconds):
    """Holds the loop for so many seconds of processor time."""
    until = time.thread_time() + seconds
    while time.thread_time() < until:
        pass


def taken_after(messages, seconds):
    """The messages that are taken so long after they all came to an inbox."""
    now = 0.0

    async def act():
        nonlocal now
        inbox = Inbox(lambda: now)
        for message in messages:
            await inbox.put(message)
        now = seconds
        return [await inbox.get() for _ in messages]

    return curio.run(act)


def frames(count):
    """So many frames of other daemons."""
    return [("append", number) for number in range(count)]


def requests(count, first=0):
    """So many requests of callers."""
    return [("call", number, "job", (), 3.0) for number in range(first, first + count)]


@given("an inbox with {count:d} requests of callers that wait")
def step_requests(context, count):
    context.messages = requests(count)


@when("{message} comes and waits for {seconds:g} s")
def step_waits(context, message, seconds):
    context.awaited = MESSAGES[message]
    context.taken = taken_after([*context.messages, context.awaited], seconds)


@then("{message} is taken before the second of the requests")
def step_before_second(context, message):
    assert context.taken.index(context.awaited) < context.taken.index(context.messages[1]), context.taken[:5]
    assert len(context.taken) == len(context.messages) + 1


@when(
    "{count:d} frames of other daemons come, {more:d} requests behind them, and all messages are taken "
    "within {seconds:g} s"
)
def step_within(context, count, more, seconds):
    context.messages = [*context.messages, *frames(count), *requests(more, len(context.messages))]
    context.taken = taken_after(context.messages, seconds)


@then("they are taken in the order in which they came")
def step_arrival(context):
    assert context.taken == context.messages


@when("{count:d} frames of other daemons come and wait for {seconds:g} s, and all messages are taken")
def step_frames_wait(context, count, seconds):
    context.frames = frames(count)
    context.taken = taken_after([*context.messages, *context.frames], seconds)


@then("requests and frames are taken in turn, each in the order in which they came")
def step_in_turn(context):
    assert [one for one in context.taken if one[0] == "call"] == context.messages
    assert [one for one in context.taken if one[0] == "append"] == context.frames
    kinds = [one[0] for one in context.taken]
    assert kinds == ["append", "call"] * len(context.messages), kinds[:6]


@when("{end} comes, then another request, and all messages are taken")
def step_end(context, end):
    context.end = (end.removeprefix("the "),)
    messages = [*context.messages, context.end, *requests(1, len(context.messages)), *frames(1)]
    context.taken = taken_after(messages, LONG_WAIT)


@then("{end} is taken behind the first 300 requests and before the last one")
def step_place(context, end):
    taken = [message for message in context.taken if message[0] != "append"]
    assert taken.index(context.end) == len(context.messages) == len(taken) - 2, taken.index(context.end)


class SlowDecider:
    """Decides requests slowly. Invariant: `decided` lists the messages in the order in which they came."""

    def __init__(self):
        self.decided = []

    def step(self, message, now, clock):
        self.decided.append(message)
        if message[0] == "call":
            spend(STEP_SECONDS)
        return []


@given("a daemon's loop whose requests each take 10 ms to decide")
def step_slow(context):
    context.decider = SlowDecider()
    context.host = Host(context.decider, "127.0.0.1:1", None)


@when("{count:d} requests wait, and another task puts a frame into the inbox as soon as it has its turn")
def step_other_task(context, count):
    host = context.host

    async def put_frame():
        await host.inbox.put(("append", 1))
        await host.inbox.put(("halt",))

    async def act():
        for number in range(count):
            await host.inbox.put(("call", number, "job", (), 3.0))
        other = await curio.spawn(put_frame)
        await curio.timeout_after(PATIENCE, host.decide_all)
        await other.join()

    curio.run(act)


@then("the frame is decided before the {count:d}th request")
def step_before_request(context, count):
    decided = [message[0] for message in context.decider.decided]
    assert "append" in decided, decided
    assert decided.index("append") < count, decided.index("append")


class SlowReads:
    """Answers each request; those of /slow take STEP_SECONDS of `spent`, the processor time that the host is
    told. Invariant: `decided` lists their paths.
    """

    def __init__(self):
        self.decided = []
        self.spent = 0.0

    def step(self, message, now, clock):
        if message[0] != "http":
            return []
        self.decided.append(message[3])
        if message[3] == "/slow":
            self.spent += STEP_SECONDS
        return [Reply(message[1], 200, {"number": message[1]})]


@given("a daemon's port whose reads of one path each take 10 ms to decide")
def step_slow_reads(context):
    decider = SlowReads()
    context.port = Port(decider, PATIENCE)
    context.add_cleanup(context.port.listener.close)
    patched = mock.patch.object(time, "thread_time", lambda: decider.spent)
    patched.start()
    context.add_cleanup(patched.stop)


def _read_of(path):
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


@when("{count:d} callers read that path again and again, and another one reads another path")
def step_readers(context, count):
    async def reader(port):
        socket = await port.connect()
        while True:
            await socket.sendall(_read_of("/slow"))
            await socket.recv(65536)

    async def act(port):
        async with curio.TaskGroup(wait=None) as readers:
            for _ in range(count):
                await readers.spawn(reader, port)
            while len(port.decider.decided) < 3 * count:  # their cost is known by now
                await curio.sleep(0.01)
            before = len(port.decider.decided)
            other = await port.connect()
            await other.sendall(_read_of("/other"))
            await read_numbers(other, 1)
            context.decided_meanwhile = len(port.decider.decided) - before
            await readers.cancel_remaining()

    context.port.run(act)


@then("the other one is answered before {count:d} further reads of that path were decided")
def step_passed(context, count):
    assert context.decided_meanwhile < count, context.decided_meanwhile


PACERS = {"bodies of many values": "body_pacer", "bodies in very many parts": "part_pacer"}


@when("all turns of the next minute are given to {others}, and a caller reads that path {count:d} times")
def step_turns_given(context, others, count):
    async def act(port):
        await getattr(port.host.exchange, PACERS[others]).turn(60.0)
        client = http_client.Client(*port.address)
        context.statuses = [(await client.call("GET", "/slow")).status for _ in range(count)]
        await client.close()

    context.port.run(act)


@then("each of its reads is answered with the status {status:d}")
def step_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@given("the costs of reads at a port")
def step_costs(context):
    context.costs = ReadCosts()


@when("one read of a path takes long, and those before and after it don't")
def step_by_chance(context):
    context.expected = []
    for seconds in (0.0001, 0.05, 0.0001):
        context.costs.record("/path", seconds)
        context.expected.append(context.costs.expected("/path"))


@then("no read of that path waits for a turn")
def step_no_turn(context):
    assert context.expected == [0.0, 0.0, 0.0], context.expected


@when("a path is presumed to be costly, and a read of it takes little")
def step_presumed(context):
    context.costs = ReadCosts(("/path",))
    context.expected = [context.costs.expected("/path")]
    context.costs.record("/path", 0.0001)
    context.expected.append(context.costs.expected("/path"))


@then("reads of it wait for turns until then")
def step_until_known(context):
    assert context.expected[0] > 0, context.expected
    assert context.expected[-1] == 0, context.expected


@when("{count:d} paths are read that each take long twice")
def step_many_paths(context, count):
    for number in range(count):
        context.costs.record(f"/{number}", 0.05)
        context.costs.record(f"/{number}", 0.05)
    assert context.costs.expected(f"/{count - 1}") > 0


@then("the costs of at most {count:d} paths are kept")
def step_few(context, count):
    assert len(context.costs.costs) <= count, len(context.costs.costs)
