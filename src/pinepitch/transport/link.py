"""The connections from one daemon to another: one for ordinary frames, one for large ones, so
that a heartbeat never waits behind a large frame on a slow link.
"""

import collections
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
import curio.socket

from ..common import constants
from ..common.daemon_settings import split
from ..common.limits import USUAL, Limits


class Attempt(NamedTuple):
    """One attempt to forward a request: the token of the request, and which attempt it is."""

    token: str
    number: int


# Is told the attempts whose frames were dropped since no connection could be made.
Undelivered = Callable[[list[Attempt]], Awaitable[None]]


class Lane:
    """One connection. Invariants: frames leave in the order they came; size is the sum of the bytes
    that wait; the oldest frames are dropped while more than LINK_QUEUE of them or `most` bytes wait,
    but never the newest; a broken socket loses the batch that was being sent; each of `attempts`
    belongs to the frame at the same place of `frames`, none of which has gone out yet.
    """

    def __init__(self, address: str, undelivered: Undelivered, most: int, buffer: int | None = None) -> None:
        self.address = address
        self.undelivered = undelivered
        self.most = most  # bytes that may wait
        self.buffer = buffer  # bytes that the system holds for the socket; None for its default
        self.frames: collections.deque[bytes] = collections.deque()
        self.attempts: collections.deque[Attempt | None] = collections.deque()
        self.size = 0
        self.down = False  # whether the last attempt to connect failed, and none was made since
        self.filled = curio.Event()

    async def put(self, frame: bytes, attempt: Attempt | None = None) -> None:
        """Adds a frame; `attempt` names the request in it, if there is one. A request does not wait for a
        peer that could not be reached last: it only makes the connection be tried again.
        """
        if attempt is not None and self.down:
            await self.filled.set()
            await self.undelivered([attempt])
            return
        self.frames.append(frame)
        self.attempts.append(attempt)
        self.size += len(frame)
        while len(self.frames) > constants.LINK_QUEUE or (self.size > self.most and len(self.frames) > 1):
            self.size -= len(self.frames.popleft())
            self.attempts.popleft()
        await self.filled.set()

    def _batch(self) -> bytes:
        """The frames to be sent next, of LINK_SLICE bytes or one frame at least; empty where it was
        only to connect again.
        """
        batch: list[bytes] = []
        size = 0
        while self.frames and size < constants.LINK_SLICE:
            size += len(self.frames[0])
            batch.append(self.frames.popleft())
            self.attempts.popleft()
        self.size -= size
        if not self.frames:
            self.filled.clear()
        return batch[0] if len(batch) == 1 else b"".join(batch)

    async def run(self) -> None:
        """Connects, sends, and begins anew when the socket breaks; never returns."""
        while True:
            await self.filled.wait()
            socket = await self._connect()
            self.down = socket is None
            if self.down:
                await self._give_up()
                await curio.sleep(constants.LINK_BACKOFF)
                continue
            async with socket:
                await self._drain(socket)

    async def _drain(self, socket: Any) -> None:
        """Sends what waits and what comes, until the socket breaks."""
        try:
            while True:
                await self.filled.wait()
                await self._send(socket, self._batch())
        except (OSError, curio.TaskTimeout):
            return

    async def _give_up(self) -> None:
        """Drops all that waits and tells which requests reached nobody."""
        undelivered_attempts = [attempt for attempt in self.attempts if attempt is not None]
        self.frames.clear()
        self.attempts.clear()
        self.size = 0
        self.filled.clear()
        await self.undelivered(undelivered_attempts)

    async def _connect(self) -> Any:
        """A connected curio socket, or None."""
        host, port = split(self.address)
        try:
            socket = await curio.timeout_after(constants.ELECTION_TIMEOUT, curio.open_connection(host, port))
        except (OSError, curio.TaskTimeout):
            return None
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_USER_TIMEOUT, constants.PEER_TIMEOUT_MS)
        if self.buffer is not None:
            socket.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_SNDBUF, self.buffer)
        return socket

    async def _send(self, socket: Any, batch: bytes) -> None:
        """Sends a batch slice by slice; each must be taken in time, however long the whole lasts."""
        if len(batch) <= constants.LINK_SLICE:
            await curio.timeout_after(constants.ELECTION_TIMEOUT, socket.sendall(batch))
            return
        rest = memoryview(batch)
        while rest:
            await curio.timeout_after(
                constants.ELECTION_TIMEOUT, socket.sendall(rest[: constants.LINK_SLICE])
            )
            rest = rest[constants.LINK_SLICE :]


class Link:
    """The connections to one daemon. Invariant: frames of LINK_BULK bytes or more keep their order among
    themselves, and so do all others; between the two there is none.
    """

    def __init__(self, address: str, undelivered: Undelivered, limits: Limits = USUAL) -> None:
        self.ordinary = Lane(address, undelivered, limits.link)
        self.bulk = Lane(address, undelivered, limits.link, constants.LINK_BUFFER)

    async def put(self, frame: bytes, attempt: Attempt | None = None) -> None:
        """Adds a frame, and the attempt of the request in it, to the connection for its size."""
        lane = self.bulk if len(frame) >= constants.LINK_BULK else self.ordinary
        await lane.put(frame, attempt)

    async def run(self) -> None:
        """Serves both connections and never returns; the one for large frames is opened by the first of
        them.
        """
        async with curio.TaskGroup(wait=None) as lanes:
            await lanes.spawn(self.bulk.run)
            await self.ordinary.run()
