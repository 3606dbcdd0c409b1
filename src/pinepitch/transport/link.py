"""The connections from one daemon to another: one for ordinary frames and one for large frames, so that a
heartbeat never waits behind a large frame on a slow link.
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
    """One attempt to forward a request: the token of the request and the number of the attempt."""

    token: str
    number: int


# Callback for attempts whose frames were dropped because no connection could be made.
Undelivered = Callable[[list[Attempt]], Awaitable[None]]


class Lane:
    """One connection with its queue of frames. Invariants: frames are sent in the order they were added;
    `size` is the number of bytes in the queue; while it has more than LINK_QUEUE frames or `max_bytes`
    bytes, its oldest frames are dropped, but never the newest; a broken socket loses the batch that was
    being sent; `attempts` and `frames` have equal length and order, and contain only unsent frames.
    """

    def __init__(
        self, address: str, undelivered: Undelivered, max_bytes: int, buffer: int | None = None
    ) -> None:
        self.address = address
        self.undelivered = undelivered
        self.max_bytes = max_bytes  # limit of the queue, in bytes
        self.buffer = buffer  # send buffer of the socket in bytes; None for the system's default
        self.frames: collections.deque[bytes] = collections.deque()
        self.attempts: collections.deque[Attempt | None] = collections.deque()
        self.size = 0
        self.unreachable = False  # whether the last attempt to connect failed
        self.frames_ready = curio.Event()

    async def put(self, frame: bytes, attempt: Attempt | None = None) -> None:
        """Adds a frame; `attempt` identifies the request in it, if there is one. If the last attempt to
        connect failed, a request is not queued: it is reported as undelivered, and triggers a new attempt
        to connect.
        """
        if attempt is not None and self.unreachable:
            await self.frames_ready.set()
            await self.undelivered([attempt])
            return
        self.frames.append(frame)
        self.attempts.append(attempt)
        self.size += len(frame)
        while len(self.frames) > constants.LINK_QUEUE or (
            self.size > self.max_bytes and len(self.frames) > 1
        ):
            self.size -= len(self.frames.popleft())
            self.attempts.popleft()
        await self.frames_ready.set()

    def _batch(self) -> bytes:
        """Removes the next frames from the queue and returns them joined: frames up to the one that reaches
        LINK_SLICE bytes. Empty if the queue is, which happens after a put that only triggers a connect.
        """
        batch: list[bytes] = []
        size = 0
        while self.frames and size < constants.LINK_SLICE:
            size += len(self.frames[0])
            batch.append(self.frames.popleft())
            self.attempts.popleft()
        self.size -= size
        if not self.frames:
            self.frames_ready.clear()
        return batch[0] if len(batch) == 1 else b"".join(batch)

    async def run(self) -> None:
        """Connects, sends, and reconnects when the socket breaks; never returns."""
        while True:
            await self.frames_ready.wait()
            socket = await self._connect()
            self.unreachable = socket is None
            if self.unreachable:
                await self._drop_all()
                await curio.sleep(constants.LINK_BACKOFF)
                continue
            async with socket:
                await self._drain(socket)

    async def _drain(self, socket: Any) -> None:
        """Sends the frames queued now and later, until the socket breaks."""
        try:
            while True:
                await self.frames_ready.wait()
                await self._send(socket, self._batch())
        except (OSError, curio.TaskTimeout):
            return

    async def _drop_all(self) -> None:
        """Drops all queued frames and reports the requests among them as undelivered."""
        undelivered_attempts = [attempt for attempt in self.attempts if attempt is not None]
        self.frames.clear()
        self.attempts.clear()
        self.size = 0
        self.frames_ready.clear()
        await self.undelivered(undelivered_attempts)

    async def _connect(self) -> Any:
        """A connected curio socket, or None if the peer can't be reached in time."""
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
        """Sends a batch in slices with a time limit for each slice, not for the whole batch."""
        if len(batch) <= constants.LINK_SLICE:
            await curio.timeout_after(constants.ELECTION_TIMEOUT, socket.sendall(batch))
            return
        remaining_bytes = memoryview(batch)
        while remaining_bytes:
            await curio.timeout_after(
                constants.ELECTION_TIMEOUT, socket.sendall(remaining_bytes[: constants.LINK_SLICE])
            )
            remaining_bytes = remaining_bytes[constants.LINK_SLICE :]


class Link:
    """The two connections to one daemon. Invariant: frames of LINK_BULK bytes or more are sent in order, and
    so are smaller frames; there is no order between large and small ones.
    """

    def __init__(self, address: str, undelivered: Undelivered, limits: Limits = USUAL) -> None:
        self.ordinary = Lane(address, undelivered, limits.link)
        self.bulk = Lane(address, undelivered, limits.link, constants.LINK_BUFFER)

    async def put(self, frame: bytes, attempt: Attempt | None = None) -> None:
        """Adds a frame, with the attempt of the request in it if any, to the connection for its size."""
        lane = self.bulk if len(frame) >= constants.LINK_BULK else self.ordinary
        await lane.put(frame, attempt)

    async def run(self) -> None:
        """Serves both connections; never returns. A connection is opened when it gets its first frame."""
        async with curio.TaskGroup(wait=None) as lanes:
            await lanes.spawn(self.bulk.run)
            await self.ordinary.run()
