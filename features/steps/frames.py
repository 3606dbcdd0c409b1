"""Steps for Frames: a host's port for frames, over real sockets."""

import socket as sockets
import struct

import cbor2
import curio
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.runtime.host import Host
from pinepitch.transport import framing
from pinepitch.transport.callers import lone_caller

PATIENCE = 5.0  # seconds; a step that takes longer has failed
SOURCE = "10.0.0.1:7000"
FRAME_REFUSED = 105


class KeptLog:
    """A log that keeps the numbers of the events."""

    def __init__(self):
        self.numbers = []

    def __getattr__(self, level):
        return lambda text, number, **fields: self.numbers.append(number)


def greeting(address=SOURCE, known=()):
    return ("greet", "one", "accord", "a", address, "cohort", (), 1.5, known, ("one",), 2)


def raft(*inner):
    return framing.encode(SOURCE, ("raft", "cohort", "one", "two", inner))


def length_and(body):
    return framing.LENGTH.pack(len(body)) + body


COMPLETE_FRAME = framing.encode(SOURCE, ("leave", "whole"))
STREAM = [
    framing.encode(SOURCE, greeting()),
    framing.encode(SOURCE, ("ask", SOURCE, "token", "beat-leave", ("minion",), 1, (1, 2.5))),
    framing.encode(SOURCE, ("elsewhere", "token", None, 1, None)),
]
FRAMES = {
    "a frame of another version": length_and(
        cbor2.dumps((constants.WIRE_VERSION + 1, SOURCE, ("leave", "one")))
    ),
    "a frame longer than any may be": framing.LENGTH.pack(constants.MAX_FRAME_BYTES + 1),
    "a frame that is no array": length_and(cbor2.dumps({"leave": "one"})),
    "a message of an unknown kind": framing.encode(SOURCE, ("farewell", "one")),
    "a message of the daemon's own": framing.encode(SOURCE, ("saved", 7)),
    "an answer without its call's key": framing.encode(SOURCE, ("answer", "token", (200, {}, None))),
    "a greeting from an address that is none": framing.encode(SOURCE, greeting("nowhere")),
    "a greeting from a port beyond any": framing.encode(SOURCE, greeting("10.0.0.1:70000")),
    "a greeting from a port of odd digits": framing.encode(SOURCE, greeting("10.0.0.1:7\u00b2")),
    "a greeting that tells of a faulty address": framing.encode(
        SOURCE, greeting(known=(("two", "a", "x:y"),))
    ),
    "a call to be answered to no address": framing.encode(
        SOURCE, ("ask", "", "token", "beat-leave", ("minion",), 1, None)
    ),
    "a refusal that names no address": framing.encode(SOURCE, ("elsewhere", "token", "leader", 1, None)),
    "a raft message without a kind": raft(),
    "an entry without an operation": raft("append", 1, 0, 0, ((1, 1.5, ()),), 0, 1),
}


class Port:
    """A host's port for frames on a free port of this machine. Invariant: heard is what its decider
    would have been given."""

    def __init__(self):
        self.log = KeptLog()
        self.host = Host(None, "127.0.0.1:1", self.log)
        self.listener = sockets.create_server(("127.0.0.1", 0))
        self.heard = []

    def throw(self, chunks):
        """Sends each of the chunks on a connection of its own; its end is a reset."""
        curio.run(self._throw, chunks)

    async def _throw(self, chunks):
        server = curio.io.Socket(self.listener)
        for chunk in chunks:
            client = await curio.open_connection(*self.listener.getsockname())
            accepted, _ = await server.accept()
            await client.sendall(chunk)
            serving = await curio.spawn(self.host.frame_port.serve, accepted, lone_caller())
            await self._until_read(accepted, serving)
            client.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, struct.pack("ii", 1, 0))
            await client.close()
            await curio.timeout_after(PATIENCE, serving.join)
            await accepted.close()
        while not self.host.inbox.empty():
            self.heard.append(await self.host.inbox.get())

    async def _until_read(self, accepted, serving):
        """Waits until the port has read all that was sent, or has ended the connection."""
        while not serving.terminated and _unread(accepted):
            await curio.sleep(0)


def _unread(socket):
    try:
        return bool(socket._socket.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT))
    except BlockingIOError:
        return False


@given("a daemon's port for frames")
def step_port(context):
    context.port = Port()
    context.add_cleanup(context.port.listener.close)


@when("a stream of three frames is reset at every byte")
def step_partition(context):
    stream = b"".join(STREAM)
    context.port.throw([stream[:place] for place in range(len(stream))])
    context.ends = [sum(len(frame) for frame in STREAM[: count + 1]) for count in range(len(STREAM))]
    context.streams = len(stream)


@then("just the whole frames of each stream were heard, and nothing was told of the rest")
def step_complete_heard(context):
    kinds = [message[0] for message in context.port.heard]
    for kind, end in zip(("greet", "ask", "elsewhere"), context.ends, strict=True):
        assert kinds.count(kind) == context.streams - end, (kind, kinds.count(kind))
    assert len(kinds) == sum(context.streams - end for end in context.ends), kinds
    assert not context.port.log.numbers, context.port.log.numbers


@then("a whole frame is heard after them")
def step_after(context):
    context.port.heard.clear()
    context.port.throw([COMPLETE_FRAME])
    assert context.port.heard == [("leave", "whole")], context.port.heard


@when("{frame} comes, and a whole frame behind it on the same connection")
def step_frame(context, frame):
    context.port.throw([FRAMES[frame] + COMPLETE_FRAME])


@then("neither is heard, and the daemon tells of one frame refused")
def step_refused(context):
    assert not context.port.heard, context.port.heard
    assert context.port.log.numbers == [FRAME_REFUSED], context.port.log.numbers
