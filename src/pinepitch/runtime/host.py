"""The I/O around a daemon's state machine: curio tasks that own sockets, disk, clocks and signals.

All tasks put messages into one inbox. A single loop passes them to the daemon's step() and dispatches the
effects that it returns to the tasks that perform the I/O, which have their turn every few milliseconds.
"""

import signal
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import curio

from ..common import constants, events
from ..common.daemon_settings import split
from ..common.effects import (
    EncodeSnapshot,
    Event,
    LimitRequests,
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
from ..storage.store import Store
from ..transport.callers import CallersReport, CallerTable
from . import disk_task, order_post, stall_detector
from .clocks import Pauser, steady_clock, wall_clock
from .frame_port import FramePort
from .http_port import Adapter, AdapterHandler, DirectHandler, Exchange, HttpPort
from .inbox import Inbox
from .links import Links
from .listener import Listener, SocketBuffers

REQUESTS = frozenset(("http", "call"))  # the kinds of messages that carry a caller's request
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
HTTP_BUFFERS = SocketBuffers(constants.RECEIVE_BUFFER, constants.SEND_BUFFER)


class Host:
    """Runs one daemon. Invariants: only run() steps the daemon; a WriteNote is durable before any later
    effect of the same step is executed.
    """

    def __init__(
        self,
        daemon: Any,
        address: str,
        log: Any,
        store: Store | None = None,
        http_address: str | None = None,
        adapters: Iterable[tuple[str, Adapter]] = (),
        stop_within: float = constants.STOP_WITHIN,
        settings_watch: Any = None,
        callers: CallerTable | None = None,
    ) -> None:
        self.daemon, self.address, self.log, self.store = daemon, address, log, store
        self.http_address = http_address
        self.adapters = tuple(adapters)  # (address, adapter) of the ports behind an adapter
        self.stop_within = stop_within  # seconds from SIGTERM to the exit, unless the daemon needs longer
        self.settings_watch = settings_watch  # changed() returns the new seeds, or None if unchanged
        self.inbox = Inbox()
        self.tasks = curio.TaskGroup(wait=None)
        self.disk = disk_task.DiskTask(store, self.inbox, self._encoded)
        self.links = Links(address, self.inbox, self.tasks, getattr(daemon, "limits", USUAL))
        self.callers = CallerTable() if callers is None else callers  # the connections of all ports
        self.callers_report = CallersReport(self.callers)
        self.exchange = Exchange(self.inbox)
        self.frame_port = FramePort(self.inbox, log)
        self.http_port = HttpPort(self.exchange, DirectHandler(self.exchange))
        self.adapter_ports: list[tuple[HttpPort, Adapter]] = []
        self.ticking = False  # whether there is a tick in the inbox
        self.stall_detector = stall_detector.StallDetector()

    async def run(self) -> None:
        """Serves until the daemon is stopped by a signal."""
        async with self.tasks:
            await self._listen()
            if self.store is not None:
                await self.tasks.spawn(self.disk.run)
                await self.tasks.spawn(self.disk.run_background)
            await self.tasks.spawn(self._clock)
            await self.tasks.spawn(self._watch_callers)
            await self.tasks.spawn(self._signals)
            events.emit(self.log, 100, address=self.address, http=self.http_address)
            await self.decide_all()
            await self.tasks.cancel_remaining()

    async def decide_all(self) -> None:
        """Passes the messages of the inbox to the daemon until "halt" comes."""
        turn_began = time.monotonic()
        while True:
            if self.inbox.empty():
                message = await self.inbox.get()
                turn_began = time.monotonic()
            else:
                message = await self.inbox.get()
            if message[0] == "halt":
                return
            if message[0] == "tick":
                self.ticking = False
            await self._step(message)
            if time.monotonic() - turn_began >= constants.LOOP_TURN:
                await curio.sleep(0)
                turn_began = time.monotonic()

    async def _listen(self) -> None:
        """Opens the ports: for frames, for the product's own API, and for each adapter."""
        ports: list[tuple[str, HttpPort]] = []
        if self.http_address:
            ports.append((self.http_address, self.http_port))
        for address, adapter in self.adapters:
            port = HttpPort(self.exchange, AdapterHandler(self.exchange, adapter))
            self.adapter_ports.append((port, adapter))
            ports.append((address, port))
        await self.tasks.spawn(Listener(self.callers, self.frame_port, None).run, *split(self.address))
        for address, port in ports:
            listener = Listener(self.callers, port, HTTP_BUFFERS)
            await self.tasks.spawn(listener.run, *split(address))

    async def _step(self, message: Sequence[Any]) -> None:
        if self.exchange.closed and message[0] in REQUESTS:
            return  # its caller was told that it was not taken
        now = steady_clock()
        paused = self.stall_detector.turn(now)
        if paused > constants.STALL:
            events.emit(self.log, 108, seconds=round(paused, 3))
        if paused:
            await self._decide(("paused", paused), now)
        if self.stall_detector.refuses(message, now):
            await self.exchange.reply(Reply(message[1], *stall_detector.PAUSED))
            return
        await self._decide(message, now)
        if message[0] == "give-up":
            await self.exchange.close()

    async def _decide(self, message: Sequence[Any], now: float) -> None:
        """Steps the daemon with one message and executes the effects. What a read of the product's own API
        costs is recorded.
        """
        is_read = message[0] == "http" and message[2] == "GET"
        begun = time.thread_time() if is_read else 0.0
        effects = self.daemon.step(message, now, wall_clock())
        if is_read:
            self.exchange.decided_read(message[1], time.thread_time() - begun)
        for effect in effects:
            await EFFECTS[type(effect)](self, effect)

    # --- effects ----------------------------------------------------------------------
    async def _send(self, effect: Send) -> None:
        await self.links.send(effect.address, effect.message)

    async def _event(self, effect: Event) -> None:
        events.emit(self.log, effect.number, **effect.fields)

    async def _store(self, effect: SaveChange | WriteBase | WriteSegment | EncodeSnapshot) -> None:
        await self.disk.add(effect)

    async def _write_note(self, effect: WriteNote) -> None:
        done = curio.Event()
        await self.disk.add(disk_task.MembershipWrite(done, effect.payload))
        await done.wait()

    def _encoded(self, image: Any) -> Any:
        """An image and its digest, encoded as the class of the daemon's state defines it."""
        return type(self.daemon.cluster_state).encode_with_digest(image)

    async def _rehearse(self, effect: Rehearse) -> None:
        await curio.spawn(self._rehearse_in_thread, *effect, daemon=True)

    async def _rehearse_in_thread(self, epoch: int, draft: str, asked: int, *measured: Any) -> None:
        """Measures in a separate thread, so that the loop is not blocked."""
        measure = await curio.run_in_thread(self.daemon.measure, *measured, Pauser())
        await self.inbox.put(("rehearsed", epoch, draft, asked, measure))

    async def _reply(self, effect: Reply) -> None:
        await self.exchange.reply(effect)

    async def _post(self, effect: PostOrder) -> None:
        await curio.spawn(order_post.post, self.inbox, *effect, daemon=True)

    async def _limit_requests(self, effect: LimitRequests) -> None:
        for port, adapter in self.adapter_ports:
            port.limits = adapter.limits(effect.document)

    # --- tasks ------------------------------------------------------------------------
    async def _clock(self) -> None:
        """Puts ticks into the inbox, never more than one at a time."""
        while True:
            await curio.sleep(constants.TICK)
            if not self.ticking:
                self.ticking = True
                await self.inbox.put(("tick",))

    async def _watch_callers(self) -> None:
        """Ends connections whose callers take nothing, and logs when callers were turned away."""
        while True:
            await curio.sleep(constants.CALLERS_WATCH_EVERY)
            now = time.monotonic()
            self.callers.abort_stalled(now)
            turned_away = self.callers_report.due(now)
            if turned_away is not None:
                events.emit(self.log, 191, **turned_away._asdict())

    async def _signals(self) -> None:
        """Stops at SIGTERM or SIGINT, and rereads the settings periodically and at SIGHUP.

        curio 1.6 has no support for signals: handlers append to a list, which is polled.
        """
        received: list[int] = []
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, lambda number, _: received.append(number))
        checked_at = time.monotonic()
        while STOP_SIGNALS.isdisjoint(received):
            await curio.sleep(constants.TICK)
            if self.settings_watch is not None and (
                received or time.monotonic() - checked_at >= constants.SETTINGS_EVERY
            ):
                while signal.SIGHUP in received:
                    received.remove(signal.SIGHUP)
                checked_at = time.monotonic()
                await self._check_settings()
        await self._stop()

    async def _check_settings(self) -> None:
        """Passes the seeds of the settings to the daemon if they have changed."""
        seeds = self.settings_watch.changed()
        if seeds is not None:
            await self.inbox.put(("seeds", seeds))

    async def _stop(self) -> None:
        """Passes "stop" to the daemon, waits for pending answers and disk writes, has the requests that still
        wait given up, and ends the loop.
        """
        self.exchange.stopping = True
        await self.inbox.put(("stop",))
        patience = self.stop_within * constants.STOP_PART
        deadline = time.monotonic() + patience
        if self.adapters:  # callers are turned away only after a while: they are served until then
            await curio.sleep(max(0.0, patience - constants.CALL_PATIENCE))
        while time.monotonic() < deadline and self._is_busy():
            await curio.sleep(constants.TICK)
        while not self._may_end():  # the daemon bounds this wait
            await curio.sleep(constants.TICK)
        while time.monotonic() < deadline and self._is_busy():  # requests that came meanwhile
            await curio.sleep(constants.TICK)
        await self.inbox.put(("give-up",))
        await curio.sleep(constants.TICK * 4)  # so that the last answers and `leave` messages are sent
        await self.inbox.put(("halt",))

    def _is_busy(self) -> bool:
        """Whether a request has no answer yet, or a write is in progress."""
        return bool(self.exchange.waiting) or self.disk.busy()

    def _may_end(self) -> bool:
        """Whether the daemon lets a stopping process end, by the clock that it is stepped with."""
        may_end: bool = self.daemon.may_end(steady_clock())
        return may_end


# The registry of effects: type -> the method that executes it.
EFFECTS: dict[type, Callable[..., Any]] = {
    Send: Host._send,
    Event: Host._event,
    SaveChange: Host._store,
    WriteBase: Host._store,
    WriteSegment: Host._store,
    EncodeSnapshot: Host._store,
    WriteNote: Host._write_note,
    Rehearse: Host._rehearse,
    Reply: Host._reply,
    PostOrder: Host._post,
    LimitRequests: Host._limit_requests,
}
