"""The connections from one daemon to another: one for ordinary frames, one for large ones, so
that a heartbeat never waits behind a large frame on a slow way."""

import collections

import curio
import curio.socket

from ..common import constants
from ..common.daemon_settings import split
from ..common.limits import USUAL


class Lane:
    """One connection. Invariants: frames leave in the order they came; size is the sum of what
    waits; the oldest fall while more than LINK_QUEUE frames or `most` bytes wait, but never the
    newest; a broken socket loses the batch that was being sent; sendings stand beside
    their frames, none of which has gone out yet."""

    def __init__(self, address, undelivered, most, buffer=None):
        self.address, self.most, self.buffer = address, most, buffer
        self.undelivered = undelivered  # told the sendings of calls when no connection could be made
        self.frames = collections.deque()
        self.attempts = collections.deque()  # of each frame that waits: of the call in it, or None
        self.size = 0
        self.down = False  # whether the last attempt to connect failed, and none was made since
        self.filled = curio.Event()

    async def put(self, frame, attempt=None):
        """Adds a frame; `sending` names the call in it, if it carries one. A call does not wait for a
        peer that could not be reached last: it only makes the connection be tried again."""
        if attempt is not None and self.down:
            await self.filled.set()
            await self.undelivered([attempt])
            return
        self.frames.append(frame)
        self.attempts.append(attempt)
        self.size += len(frame)
        while len(self.frames) > constants.LINK_QUEUE or self.size > self.most and len(self.frames) > 1:
            self.size -= len(self.frames.popleft())
            self.attempts.popleft()
        await self.filled.set()

    def _batch(self):
        """The frames to be sent next, of LINK_SLICE bytes or one frame at least; empty where it was
        only to connect again."""
        batch, size = [], 0
        while self.frames and size < constants.LINK_SLICE:
            size += len(self.frames[0])
            batch.append(self.frames.popleft())
            self.attempts.popleft()
        self.size -= size
        if not self.frames:
            self.filled.clear()
        return batch[0] if len(batch) == 1 else b"".join(batch)

    async def run(self):
        """Connects, sends, and begins anew when the socket breaks."""
        while True:
            await self.filled.wait()
            socket = await self._connect()
            self.down = socket is None
            if self.down:
                await self._give_up()
                await curio.sleep(constants.LINK_BACKOFF)
                continue
            async with socket:
                try:
                    while True:
                        await self.filled.wait()
                        await self._send(socket, self._batch())
                except (OSError, curio.TaskTimeout):
                    pass

    async def _give_up(self):
        """Lets go of all that waits and tells which calls reached nobody."""
        undelivered_attempts = [attempt for attempt in self.attempts if attempt is not None]
        self.frames.clear()
        self.attempts.clear()
        self.size = 0
        self.filled.clear()
        await self.undelivered(undelivered_attempts)

    async def _connect(self):
        """A connected socket, or None."""
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

    def __init__(self, address, undelivered, limits=USUAL):
        self.ordinary = Lane(address, undelivered, limits.link)
        self.bulk = Lane(address, undelivered, limits.link, constants.LINK_BUFFER)

    async def put(self, frame, attempt=None):
        """Adds a frame, and the sending of the call in it, to the connection for its size."""
        lane = self.bulk if len(frame) >= constants.LINK_BULK else self.ordinary
        await lane.put(frame, attempt)

    async def run(self):
        """Serves both connections; the one for large frames is opened by the first of them."""
        async with curio.TaskGroup(wait=None) as lanes:
            await lanes.spawn(self.bulk.run)
            await self.ordinary.run()
