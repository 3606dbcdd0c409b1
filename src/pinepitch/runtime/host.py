"""The thin outside of a decider: curio tasks that own sockets, disk and clocks.

Every task puts messages into one inbox; one loop steps the decider and hands its effects
to the tasks that own the means.
"""

import collections
import signal
import time

import curio
import curio.socket

from ..common import constants, events
from ..common.daemon_settings import split
from ..common.effects import (
    EncodeSnapshot,
    Event,
    PostOrder,
    Rehearse,
    Reply,
    SaveChange,
    Send,
    WriteBase,
    WriteNote,
    WriteSegment,
)
from ..common.limits import USUAL
from ..model import contract
from ..transport import framing, http
from ..transport.link import Link
from . import stall_detector


def call_attempt(message):
    """(token, number of the sending) of a message that waits for an answer, None for any other."""
    if message[0] == "ask":
        return message[2], message[5]
    return (message[3], 0) if message[0] == "news" else None


def steady_clock():
    """Seconds that a decider's leases and time-outs are told by: never set, and unlike the monotonic
    clock it goes on while the machine is suspended, so that a lease is over when it resumes."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Pauser:
    """Called between slices of a long work in a thread: sleeps as long as the slice took, so
    that the decider's own thread has the interpreter for at least half of the time."""

    def __init__(self):
        self.since = time.monotonic()

    def __call__(self):
        time.sleep(min(constants.MAX_REST, time.monotonic() - self.since))
        self.since = time.monotonic()


class Host:
    """Runs one decider. Invariants: only run() steps it; a note is on disk before any
    later effect of the same step is carried out."""

    def __init__(
        self,
        core,
        address,
        log,
        store=None,
        http_address=None,
        adapters=(),
        stop_within=constants.STOP_WITHIN,
        watch=None,
    ):
        self.core, self.address, self.log = core, address, log
        self.store, self.http_address = store, http_address
        self.adapters, self.stop_within = (
            adapters,
            stop_within,
        )  # (address, translator) of ports that speak another way
        self.stopping = False
        self.watch = watch  # says by changed() which seeds the settings name now, or None if nothing changed
        self.inbox = curio.Queue()
        self.links = {}
        self.jobs = collections.deque()
        self.jobs_filled = curio.Event()
        self.beside = curio.Queue()
        self.requests = {}
        self.request_count = 0
        self.connections = 0
        self.tasks = curio.TaskGroup(wait=None)
        self.ticking = False
        self.stall_guard = stall_detector.StallGuard()

    async def run(self):
        """Serves until told to stop."""
        async with self.tasks:
            host, port = split(self.address)
            await self.tasks.spawn(curio.tcp_server, host, port, self._serve_frames)
            if self.http_address:
                host, port = split(self.http_address)
                await self.tasks.spawn(curio.tcp_server, host, port, self._serve_http)
            for address, adapter in self.adapters:
                await self.tasks.spawn(curio.tcp_server, *split(address), AdapterServer(self, adapter).serve)
            if self.store is not None:
                await self.tasks.spawn(self._disk)
            await self.tasks.spawn(self._clock)
            await self.tasks.spawn(self._signals)
            events.emit(self.log, 100, address=self.address, http=self.http_address)
            while True:
                message = await self.inbox.get()
                if message[0] == "halt":
                    break
                if message[0] == "tick":
                    self.ticking = False
                await self._step(message)
            await self.tasks.cancel_remaining()

    async def _step(self, message):
        now = steady_clock()
        stalled = self.stall_guard.turn(now)
        if stalled:
            events.emit(self.log, 108, seconds=round(stalled, 3))
        if self.stall_guard.refuses(message, now):
            await self._reply(message[1], *stall_detector.PAUSED)
            return
        for effect in self.core.step(message, now, time.time()):
            await EFFECTS[type(effect)](self, *effect)

    # --- effects ----------------------------------------------------------------------
    async def _send(self, address, message):
        link = self.links.get(address)
        if link is None:
            limits = getattr(self.core, "limits", USUAL)
            link = self.links[address] = Link(address, self._undelivered, limits)
            await self.tasks.spawn(link.run)
        attempt = call_attempt(message)
        await link.put(framing.encode(self.address, message), attempt)

    async def _undelivered(self, attempts):
        """Tells the decider which sendings of calls reached nobody."""
        for token, number in attempts:
            await self.inbox.put(("undelivered", token, number))

    async def _event(self, number, fields):
        events.emit(self.log, number, **fields)

    async def _job(self, *job):
        self.jobs.append(job)
        await self.jobs_filled.set()

    async def _save(self, sequence, change):
        await self._job("save", sequence, ["raft", change])

    async def _base(self, sequence, payload):
        await self._job("base", sequence, payload)

    async def _segment(self, number, data):
        await self._job("segment", number, data)

    async def _snapshot(self, index, image):
        await self._job("snapshot", index, image)

    async def _rehearse(self, *work):
        await curio.spawn(self._rehearse_apart, *work, daemon=True)

    async def _rehearse_apart(self, epoch, draft, asked, *rest):
        """Measures in a thread of its own, so that nothing here waits for it."""
        measure = await curio.run_in_thread(self.core.measure, *rest, Pauser())
        await self.inbox.put(("rehearsed", epoch, draft, asked, measure))

    async def _write_note(self, payload):
        done = curio.Event()
        await self._job("note", done, ["note", payload])
        await done.wait()

    async def _reply(self, request, status, document, headers=(), until=None):
        """Hands an answer to the connection that waits for it, to be written until `until`."""
        waiting = self.requests.pop(request, None)
        if waiting is not None:
            await waiting.put(((status, document, tuple(headers)), until))

    async def _post(self, key, address, path, document):
        await curio.spawn(self._post_one, key, address, path, document, daemon=True)

    async def _post_one(self, key, address, path, document):
        """One call to a minion; says how the order went."""
        client = http.Client(*split(address))
        outcome = "unknown"
        try:
            response = await curio.timeout_after(constants.ORDER_TIMEOUT, client.call("POST", path, document))
            if isinstance(response, http.Fault):
                outcome = "unknown" if client.reached else "unsent"
            elif response.status < 300:
                outcome = "sent"
            elif response.status == 409:
                outcome = "refused"
        except curio.TaskTimeout:
            outcome = "unknown" if client.reached else "unsent"
        await client.abort()
        await self.inbox.put(("posted", key, outcome))

    # --- tasks ------------------------------------------------------------------------
    async def _clock(self):
        while True:
            await curio.sleep(constants.TICK)
            if not self.ticking:
                self.ticking = True
                await self.inbox.put(("tick",))

    async def _signals(self):
        """Notices SIGTERM or SIGINT (curio 1.6 has no signals of its own: a flag is read)."""
        asked, looked = [], time.monotonic()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: asked.append(number))
        while not {signal.SIGTERM, signal.SIGINT} & set(asked):
            await curio.sleep(constants.TICK)
            if self.watch is not None and (asked or time.monotonic() - looked >= constants.SETTINGS_EVERY):
                asked, looked = [one for one in asked if one != signal.SIGHUP], time.monotonic()
                seeds = self.watch.changed()
                if seeds is not None:
                    await self.inbox.put(("seeds", seeds))
        self.stopping = True
        await self.inbox.put(("stop",))
        until = time.monotonic() + self.stop_within * 0.6
        if self.adapters:  # callers are sent elsewhere only after a while: they are served until then
            await curio.sleep(max(0.0, self.stop_within * 0.6 - constants.CALL_PATIENCE))
        while time.monotonic() < until and (self.requests or self.jobs or not self.beside.empty()):
            await curio.sleep(constants.TICK)
        while not self._may_end():  # bounded by the decider
            await curio.sleep(constants.TICK)
        await curio.sleep(constants.TICK * 4)  # lets the last answers and leaves go out
        await self.inbox.put(("halt",))

    def _may_end(self):
        """Whether the decider, by the clock that it is stepped with, lets a stopping process end."""
        return self.core.may_end(steady_clock())

    async def _disk(self):
        """Owns the store: one file for all saves that wait, in order. Segments, and bases
        that nothing waits for, go beside the saves, in an order of their own."""
        await self.tasks.spawn(self._disk_beside)
        while True:
            await self.jobs_filled.wait()
            if not self.jobs:
                self.jobs_filled.clear()
                continue
            kind, tag, payload = self.jobs.popleft()
            if kind == "snapshot":
                await curio.spawn(self._encode, tag, payload, daemon=True)
            elif kind == "segment":
                await self.beside.put((self.store.write_segment, tag, payload))
            elif kind == "base":
                await self.beside.put((self.store.write_base, payload, self.store.version))
                if tag is not None:
                    await self.beside.join()
                    await self.inbox.put(("saved", tag))
            else:
                batch, tags = [payload], [(kind, tag)]
                while self.jobs and self.jobs[0][0] in ("save", "note"):
                    kind, tag, payload = self.jobs.popleft()
                    batch.append(payload)
                    tags.append((kind, tag))
                await self._durable(self.store.write_step, batch)
                sequences = [tag for kind, tag in tags if kind == "save"]
                if sequences:
                    await self.inbox.put(("saved", max(sequences)))
                for kind, tag in tags:
                    if kind == "note":
                        await tag.set()

    async def _disk_beside(self):
        while True:
            write, *arguments = await self.beside.get()
            await self._durable(write, *arguments)
            await self.beside.task_done()

    async def _encode(self, index, image):
        data = await curio.run_in_thread(type(self.core.cluster_state).encode, image)
        await self.inbox.put(("encoded", index, data))

    async def _durable(self, write, *arguments):
        """Writes until it is done; the decider hears when the disk fails and works again."""
        failed = False
        while True:
            try:
                await curio.run_in_thread(write, *arguments)
                break
            except OSError as fault:
                if not failed:
                    await self.inbox.put(("disk", str(fault)))
                failed = True
                await curio.sleep(constants.DISK_AGAIN)
        if failed:
            await self.inbox.put(("disk", None))

    async def _serve_frames(self, socket, address):
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        stream = socket.as_stream()
        try:
            while True:
                body = await framing.read_frame(stream)
                frame = body if isinstance(body, framing.Refused) else framing.decode(body)
                if not isinstance(frame, framing.Refused) and not contract.keeps_contract(frame[1]):
                    frame = framing.Refused(f"a message that keeps no contract: {str(frame[1][0])[:40]}")
                if isinstance(frame, framing.Refused):
                    events.emit(self.log, 105, why=frame.why, peer=str(address))
                    return
                await self.inbox.put(tuple(frame[1]))
        except (OSError, EOFError, curio.CurioError):
            return

    async def _serve_http(self, socket, address):
        if self.connections >= constants.MAX_CONNECTIONS:
            return
        self.connections += 1
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        server = http.Server(socket)
        answers = curio.Queue()
        try:
            while True:
                request = await server.receive()
                if isinstance(request, http.Fault):
                    await server.refuse(request)
                    return
                self.request_count += 1
                number = self.request_count
                self.requests[number] = answers
                await self.inbox.put(
                    ("http", number, request.method, request.target, request.headers, request.body)
                )
                if not await server.answer(await _timely_response(answers)):
                    return
        finally:
            self.connections -= 1


async def _timely_response(answers):
    """The Response to a request once its answer comes; the clock is read when it is about to be
    written, however long the process was stopped since the answer was decided."""
    reply, until = await answers.get()
    return http.Response(*stall_detector.timely(reply, until, steady_clock()))


class AdapterServer:
    """A port whose callers speak another way: the door translates both ways, and decides nothing."""

    def __init__(self, host, adapter):
        self.host, self.adapter = host, adapter

    async def serve(self, socket, address):
        """One connection."""
        host = self.host
        if host.connections >= constants.MAX_CONNECTIONS:
            return
        host.connections += 1
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        server = http.Server(socket)
        answers = curio.Queue()
        try:
            while True:
                request = await server.receive()
                if isinstance(request, http.Fault):
                    await server.refuse(request)
                    return
                made = self.adapter.read(request)
                if isinstance(made, http.Response):
                    response = made
                else:
                    host.request_count += 1
                    host.requests[host.request_count] = answers
                    await host.inbox.put(("call", host.request_count, *made))
                    response = self.adapter.write(made[0], await _timely_response(answers))
                if host.stopping:
                    response = response._replace(headers=(*response.headers, ("Connection", "close")))
                if not await server.answer(response):
                    return
        finally:
            host.connections -= 1


# The registry of effects: type -> who carries it out.
EFFECTS = {
    Send: Host._send,
    Event: Host._event,
    SaveChange: Host._save,
    WriteBase: Host._base,
    WriteSegment: Host._segment,
    WriteNote: Host._write_note,
    EncodeSnapshot: Host._snapshot,
    Rehearse: Host._rehearse,
    Reply: Host._reply,
    PostOrder: Host._post,
}
