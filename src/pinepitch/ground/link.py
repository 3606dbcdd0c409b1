"""The connections from one daemon to another: one for ordinary frames, one for large ones, so
that a heartbeat never waits behind a large frame on a slow way."""

import collections

import curio
import curio.socket

from . import constants
from .env import split
from .limits import USUAL


class Lane:
    """One connection. Invariants: frames leave in the order they came; size is the sum of what
    waits; the oldest fall while more than LINK_QUEUE frames or `most` bytes wait, but never the
    newest; a broken socket loses the batch that was being sent."""

    def __init__(self, address, most, buffer=None):
        self.address, self.most, self.buffer = address, most, buffer
        self.frames = collections.deque()
        self.size = 0
        self.filled = curio.Event()

    async def put(self, frame):
        """Adds a frame."""
        self.frames.append(frame)
        self.size += len(frame)
        while len(self.frames) > constants.LINK_QUEUE or self.size > self.most and len(self.frames) > 1:
            self.size -= len(self.frames.popleft())
        await self.filled.set()

    def _batch(self):
        """The frames to be sent next, of LINK_SLICE bytes or one frame at least."""
        batch, size = [], 0
        while self.frames and size < constants.LINK_SLICE:
            size += len(self.frames[0])
            batch.append(self.frames.popleft())
        self.size -= size
        if not self.frames:
            self.filled.clear()
        return batch[0] if len(batch) == 1 else b"".join(batch)

    async def run(self):
        """Connects, sends, and begins anew when the socket breaks."""
        while True:
            await self.filled.wait()
            socket = await self._connect()
            if socket is None:
                self.frames.clear()
                self.size = 0
                self.filled.clear()
                await curio.sleep(constants.LINK_BACKOFF)
                continue
            async with socket:
                try:
                    while True:
                        await self.filled.wait()
                        await self._send(socket, self._batch())
                except (OSError, curio.TaskTimeout):
                    pass

    async def _connect(self):
        """A connected socket, or None."""
        host, port = split(self.address)
        try:
            socket = await curio.timeout_after(constants.ELECTION_TIMEOUT, curio.open_connection(host, port))
        except (OSError, curio.TaskTimeout):
            return None
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_USER_TIMEOUT, constants.PROBE_AFTER)
        if self.buffer is not None:
            socket.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_SNDBUF, self.buffer)
        return socket

    async def _send(self, socket, batch):
        """Sends a batch slice by slice; each must get on in time, however long the whole lasts."""
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
    """The way to one daemon. Invariant: frames of LINK_BULK bytes or more keep their order among
    themselves, and so do all others; between the two there is none."""

    def __init__(self, address, limits=USUAL):
        self.ordinary = Lane(address, limits.link)
        self.bulk = Lane(address, limits.link, constants.LINK_BUFFER)

    async def put(self, frame):
        """Adds a frame to the connection for its size."""
        await (self.bulk if len(frame) >= constants.LINK_BULK else self.ordinary).put(frame)

    async def run(self):
        """Serves both connections; the one for large frames is opened by the first of them."""
        async with curio.TaskGroup(wait=None) as lanes:
            await lanes.spawn(self.bulk.run)
            await self.ordinary.run()
