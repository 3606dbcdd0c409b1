"""Steps for Connections: both sides of ground/http.py over real sockets."""

import contextlib
import json
import socket as sockets
import struct
import weakref

import curio
from behave import given, then, when
from daemon_port import PATIENCE, Port, read_numbers, request_of

from pinepitch.common import constants
from pinepitch.common.effects import Reply
from pinepitch.runtime.http_port import AdapterHandler, HttpPort
from pinepitch.transport import http, http_client
from pinepitch.transport.callers import State

GIVEN_UP_AFTER = 0.2  # seconds; a call whose answer has not come by then, once the server has read it
LOWERED_LIMIT = 1_000  # bytes; of a body
ACCEPTED_WITHIN = 1.0  # seconds; a client that opens a new connection has done so by then


def response_of(words):
    body = json.dumps({"words": words}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# --- the client's side ----------------------------------------------------------------
FIRST, STRAY, OWN = response_of("first"), response_of("stray"), response_of("own")
# what the first connection sends: (at once, later, whether it closes then)
BEFORE = {
    "an answer that is followed by another": (FIRST + STRAY, b"", False),
    "an answer that is followed late by another": (FIRST, STRAY, False),
    "an answer that comes after it was given up": (b"", STRAY, False),
    "a connection closed within the answer": (FIRST[:-3], b"", True),
    "a connection closed after the answer": (FIRST, b"", True),
}


@given("a server whose connections each answer what they are told to")
def step_server(context):
    context.listener = sockets.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)


async def _two_calls(listener, at_once, later, closes):
    """Both answers of a client, None for one given up, the server's first connection being a script. The
    first call is given up only once the server has read it: a busy machine may take longer to connect."""
    client = http_client.Client("127.0.0.1", listener.getsockname()[1])
    server = curio.io.Socket(listener)
    first_call = await curio.spawn(client.call, "GET", "/")
    first, _ = await server.accept()
    await first.recv(65536)
    await first.sendall(at_once)
    if closes:
        await first.close()
    first_answer = await curio.ignore_after(GIVEN_UP_AFTER, first_call.join())
    if first_answer is None:
        await first_call.cancel()
    if later:
        try:
            await first.sendall(later)
        except ConnectionError:
            pass  # the client has dropped this connection
    second_call = await curio.spawn(client.call, "GET", "/")
    accepted = await curio.ignore_after(ACCEPTED_WITHIN, server.accept())
    serving = accepted[0] if accepted else first
    await curio.ignore_after(ACCEPTED_WITHIN, serving.recv(65536))
    await serving.sendall(OWN)
    second_answer = await curio.ignore_after(PATIENCE, second_call.join())
    await second_call.cancel()
    for one in {first, serving}:
        await one.close()
    await client.close()
    return first_answer, second_answer


@when("a client's call meets {before}, and the client calls again")
def step_before(context, before):
    context.exchanged = curio.run(_two_calls, context.listener, *BEFORE[before])


@then("the second call gets its own answer")
def step_own(context):
    answer = context.exchanged[1]
    assert isinstance(answer, http.Response) and answer.document == {"words": "own"}, context.exchanged


# --- the server's side ----------------------------------------------------------------
class Translator:
    """An adapter that takes the path of a request for the name of the call."""

    def read(self, request):
        return request.target.strip("/"), ("zone",), PATIENCE

    def write(self, call, response):
        return response


@given("a daemon's port whose decider answers when it is told to")
def step_port(context):
    context.port = Port()
    context.add_cleanup(context.port.listener.close)


@when("three requests come in one piece, and the answers come with older ones repeated")
def step_three(context):
    async def act(port):
        socket = await port.connect()
        await socket.sendall(b"".join(request_of(f"/{one}") for one in range(3)))
        for number in (1, 2, 3):
            await port.requested(number)
            await port.reply(*range(1, number + 1), 99)
        context.numbers = await read_numbers(socket, 3)
        await socket.close()

    context.port.run(act)


@then("each answer stands in its request's place")
def step_in_place(context):
    assert context.numbers == [1, 2, 3], context.numbers
    assert [one[2] for one in context.port.decider.requests] == ["/0", "/1", "/2"]


async def reset(socket):
    """Ends a connection with a reset."""
    socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, struct.pack("ii", 1, 0))
    await socket.close()


@when("a caller breaks its connection before it is answered, and another calls")
def step_breaks(context):
    async def act(port):
        first = await port.connect()
        await first.sendall(request_of("/first"))
        await port.requested(1)
        await reset(first)
        second = await port.connect()
        await second.sendall(request_of("/second"))
        await port.requested(2)
        await port.reply(1, 2)
        context.numbers = await read_numbers(second, 1)
        await second.close()

    context.port.run(act)


CALLS = {"an order without number": "/evacuate", "a job": "/job"}


def behind_adapter(port):
    """Has the port speak through an adapter."""
    port.http_port = HttpPort(port.host.exchange, AdapterHandler(port.host.exchange, Translator()))


@when("a caller asks for {call} and has {gone} before it is answered")
def step_gone(context, call, gone):
    async def act(port):
        socket = await port.connect()
        await socket.sendall(request_of(CALLS[call]))
        await port.requested(1)
        await (reset(socket) if gone.startswith("reset") else socket.close())
        if call != "a job":
            while not port.decider.hung_up:
                await curio.sleep(0)
        await port.reply(1)
        while port.connections:
            await curio.sleep(0)

    behind_adapter(context.port)
    context.port.run(act)


@then("the decider is {told}, and nothing waits any more")
def step_hung_up(context, told):
    assert context.port.decider.hung_up == ([1] if told == "told once" else []), context.port.decider.hung_up
    assert not context.port.host.exchange.waiting


@when("three orders come one behind the other, and are answered in their turn")
def step_orders(context):
    async def act(port):
        socket = await port.connect()
        for _ in range(3):
            await socket.sendall(request_of("/evacuate"))
        for number in (1, 2, 3):
            await port.requested(number)
            await port.reply(number)
        context.numbers = await read_numbers(socket, 3)
        await socket.close()

    behind_adapter(context.port)
    context.port.run(act)


@then("each answer stands in its order's place, and no end of a connection was told")
def step_orders_in_place(context):
    assert context.numbers == [1, 2, 3], context.numbers
    assert not context.port.decider.hung_up


@then("the other gets its own answer")
def step_other_own(context):
    assert context.numbers == [2], context.numbers


@when("connections are reset within the request, at every byte")
def step_reset_requests(context):
    request = request_of("/cut")

    async def act(port):
        for place in range(len(request)):
            socket = await port.connect()
            await socket.sendall(request[:place])
            await reset(socket)
        await _complete_one(context, port, 1)

    context.port.run(act)


@when("connections are reset within the answer, at every byte")
def step_reset_answers(context):
    async def act(port):
        for place in range(1, 60):
            socket = await port.connect()
            await socket.sendall(request_of("/cut"))
            await port.requested(place)
            await port.reply(place)
            got = 0
            while got < place:
                got += len(await socket.recv(place - got))
            await reset(socket)
        await _complete_one(context, port, 60)

    context.port.run(act)


async def _complete_one(context, port, number):
    socket = await port.connect()
    await socket.sendall(request_of("/whole"))
    await port.requested(number)
    await port.reply(number)
    context.numbers = await read_numbers(socket, 1)
    context.expected = number
    await socket.close()


@then("no half request was decided, and a whole one is answered after them")
def step_complete(context):
    assert context.numbers == [context.expected], context.numbers
    assert all(one[4] == b"{}" for one in context.port.decider.requests)
    assert context.port.host.exchange.waiting == {}, context.port.host.exchange.waiting


@when("a caller sends ten times the largest body before it reads")
def step_large(context):
    size = 10 * constants.MAX_BODY_BYTES

    async def act(port):
        client = http_client.Client(*port.address)
        context.answer = await client.call("POST", "/large", "x" * size)
        await client.close()

    context.port.run(act)


@then("it reads the status {status:d}")
def step_reads_status(context, status):
    assert isinstance(context.answer, http.Response) and context.answer.status == status, context.answer


async def _status_of(socket, count=1):
    """The last of so many answers that are read on a connection, as a response with its status."""
    data = b""
    while data.count(b"HTTP/1.1 ") < count:
        data += await socket.recv(65536)
    return http.Response(int(data.split(b"HTTP/1.1 ")[count][:3]), None)


@when("a connection is opened {before}, the limits are lowered, and it announces a body over them")
def step_limits_lowered(context, before):
    async def act(port):
        socket = await port.connect()
        if before == "and has had an answer":
            await socket.sendall(request_of("/first"))
            await port.requested(1)
            await port.reply(1)
            await read_numbers(socket, 1)
        while not port.connections:
            await curio.sleep(0)
        port.http_port.limits = http.usual_limits()._replace(body=LOWERED_LIMIT)
        head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {LOWERED_LIMIT + 1}\r\n\r\n"
        await socket.sendall(head.encode())
        context.answer = await curio.ignore_after(GIVEN_UP_AFTER, _status_of, socket)
        await socket.close()

    context.port.run(act)


def _head_of(size, body):
    """A request whose head has so many bytes."""
    lines = f"POST /head HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\nX: "
    return (lines + "x" * (size - len(lines) - 4) + "\r\n\r\n").encode() + body


# how a head comes: how many bytes of the request come first, and the request's body and what stands before it
HEADS = {
    "at once": (None, b"", b""),
    "in two pieces": (500, b"", b""),
    "at once with its body": (None, b"b" * 3000, b""),
    "right behind another request": (None, b"", request_of("/first")),
}


@when("the limit of heads is {limit:d} bytes and one of {size:d} bytes comes {how}")
def step_head(context, limit, size, how):
    first_piece, body, before = HEADS[how]
    request = _head_of(size, body)

    async def answer_all(port):
        for number in (1, 2):
            await port.requested(number)
            await port.reply(number)

    async def act(port):
        port.http_port.limits = http.usual_limits()._replace(head=limit)
        socket = await port.connect()
        answering = await curio.spawn(answer_all, port, daemon=True)
        await socket.sendall(before + request[:first_piece])
        if first_piece:
            while port.newest_caller is None or not port.newest_caller.held:
                await curio.sleep(0)
            await socket.sendall(request[first_piece:])
        context.answer = await curio.ignore_after(1.0, _status_of, socket, 2 if before else 1)
        await socket.close()
        await answering.cancel()

    context.port.run(act)


# --- what stands behind a request -------------------------------------------------------------
HALF_HEAD = b"POST /second HTTP/1.1\r\nHost: x\r\n"
HEAD_SECONDS = 0.2  # that a head may take, where it is to run out


@when("a request comes with half of the head of another one, and is answered")
def step_half(context):
    async def act(port):
        port.http_port.limits = http.usual_limits()._replace(head_seconds=HEAD_SECONDS)
        socket = await port.connect()
        await socket.sendall(request_of("/first") + HALF_HEAD)
        await port.requested(1)
        await port.reply(1)
        await read_numbers(socket, 1)
        caller = port.newest_caller
        while caller.state is State.ANSWERING:
            await curio.sleep(0)
        context.counted = (caller.state, caller.held)
        context.answer = await curio.ignore_after(PATIENCE / 2, _status_of, socket)
        await socket.close()

    context.port.run(act)


@then("the table of callers counts that half, as of a request that comes in part")
def step_half_counted(context):
    assert context.counted == (State.RECEIVING, len(HALF_HEAD)), context.counted


@then("the second request is given up with the status {status:d} when its head doesn't end in time")
def step_half_given_up(context, status):
    assert context.answer is not None and context.answer.status == status, context.answer


FURTHER_REQUESTS = 2_000  # more than is read of a connection at once
LARGE_TEXT = "x" * 90_000  # more than a slow reader's kernel takes at once, less than the daemon's
SLOW_READER_BUFFER = 4_096  # bytes


@when(
    "a caller sends many requests and reads slowly, and its connection is closed behind a large answer {why}"
)
def step_closed_behind(context, why):
    async def act(port):
        socket = await _slow_reader(port)
        await socket.sendall(request_of("/job") * FURTHER_REQUESTS)
        await port.requested(1)
        if why == "for a newcomer":
            port.newest_caller.table.wanted = 1
        else:
            port.host.exchange.stopping = True
        await port.host.inbox.put(("replies", [Reply(1, 200, {"text": LARGE_TEXT})]))
        await port.answered()
        context.read = b""
        with contextlib.suppress(ConnectionError):
            while data := await socket.recv(65536):
                context.read += data
        await socket.close()

    behind_adapter(context.port)
    context.port.run(act)


async def _slow_reader(port):
    """A connection to a port whose kernel takes little until it is read."""
    connection = sockets.socket()
    connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, SLOW_READER_BUFFER)
    connection.connect(port.address)
    return curio.io.Socket(connection)


@then("the caller has read that answer whole")
def step_read_whole(context):
    head, _, body = context.read.partition(b"\r\n\r\n")
    assert b"connection: close" in head.lower(), head
    assert body == json.dumps({"text": LARGE_TEXT}).encode(), f"{len(body)} bytes of {len(LARGE_TEXT)}"


@when("a request still waits while the process stops after SIGTERM")
def step_stops(context):
    async def act(port):
        port.host.stop_within, port.decider.may_end = 0.1, lambda now: True
        socket = await port.connect()
        await socket.sendall(request_of("/waits"))
        await port.requested(1)
        await port.host._stop()
        context.read = await curio.ignore_after(GIVEN_UP_AFTER, socket.recv, 65536)
        await socket.close()

    context.port.run(act)


@when("a request comes after those that waited were given up")
def step_comes_late(context):
    async def act(port):
        socket = await port.connect()
        await port.host._step(("give-up",))
        await socket.sendall(request_of("/late"))
        context.read = await curio.ignore_after(GIVEN_UP_AFTER, socket.recv, 65536)
        await socket.close()

    context.port.run(act)


@then("its caller has read the status {status:d}")
def step_read(context, status):
    assert context.read is not None, "the process ended without an answer"
    assert context.read.startswith(f"HTTP/1.1 {status} ".encode()), context.read


@when("a call comes just before those that wait are given up")
def step_comes_before(context):
    async def act(port):
        answers = curio.Queue()
        await port.host.inbox.put(("give-up",))
        await port.host.exchange._begin(answers, "call", "job", (), PATIENCE)
        context.reply = (await answers.get()).reply
        await curio.sleep(GIVEN_UP_AFTER)

    context.port.run(act)


@then("it is answered 503, and the decider never has it")
def step_never_had(context):
    assert context.reply[0] == 503, context.reply
    assert not context.port.decider.requests, context.port.decider.requests


# --- memory of answers --------------------------------------------------------------------
LARGE_ITEMS, LARGE_ITEM = 256, "x" * 65_536  # 16 MB as JSON, one item in memory


class Document(list):
    """A document that can be watched."""


@when("a caller has taken the first byte of an answer that is larger than any buffer")
def step_large_answer(context):
    async def act(port):
        socket = await port.connect()
        await socket.sendall(request_of("/job"))
        await port.requested(1)
        document = Document([LARGE_ITEM] * LARGE_ITEMS)
        context.watched = weakref.ref(document)
        await port.host.inbox.put(("replies", [Reply(1, 200, document)]))
        del document
        await socket.recv(1)
        context.held = context.watched()
        await reset(socket)

    behind_adapter(context.port)
    context.port.run(act)


@then("nothing holds the document of the answer any more")
def step_not_held(context):
    assert context.held is None, f"a document of {len(context.held)} items is held"
