"""A crowd: many connections to one port that each send a stream and come again when they are closed."""

import contextlib
import selectors
import socket
import threading
import time
from typing import NamedTuple

from .messages import Stream

COMES_AGAIN_AFTER = 1.0  # seconds; from the end of a member's connection until its next one
WAIT = 0.02  # seconds; the longest wait for a socket that is ready
READ_BYTES = 65_536


class Behaviour(NamedTuple):
    """What each of `members` connections does."""

    members: int
    stream: Stream
    reads: bool = True  # whether answers are read


class Member:
    """One caller of a crowd. Invariant: `socket` is None from the end of a connection until the next one."""

    def __init__(self, address, behaviour):
        self.address, self.behaviour = address, behaviour
        self.socket, self.sent, self.begins_at = None, 0, 0.0

    def begin(self, selector):
        """Opens a connection."""
        self.socket, self.sent = socket.socket(), 0
        self.socket.setblocking(False)
        if not self.behaviour.reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect_ex(self.address)
        selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def end(self, selector):
        """Closes the connection; the next one follows later."""
        selector.unregister(self.socket)
        self.socket.close()
        self.socket, self.begins_at = None, time.monotonic() + COMES_AGAIN_AFTER

    def step(self, selector, events):
        """Sends and reads what can be sent and read now."""
        try:
            if events & selectors.EVENT_WRITE:
                self._send(selector)
            if events & selectors.EVENT_READ and self.behaviour.reads and not self.socket.recv(READ_BYTES):
                self.end(selector)
        except BlockingIOError:
            pass
        except OSError:
            self.end(selector)

    def _send(self, selector):
        stream = self.behaviour.stream
        if self.sent < stream.total:
            self.sent += self.socket.send(stream.chunk(self.sent))
        if self.sent >= stream.total:
            waits_for = selectors.EVENT_READ if self.behaviour.reads else 0
            if waits_for:
                selector.modify(self.socket, waits_for, self)
            else:
                selector.modify(self.socket, selectors.EVENT_READ, self)


class Crowd:
    """Plays a behaviour from a thread of its own until it is told to leave."""

    def __init__(self, address, behaviour):
        host, _, port = address.rpartition(":")
        self.members = [Member((host, int(port)), behaviour) for _ in range(behaviour.members)]
        self.leaving = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def come(self):
        """Begins."""
        self.thread.start()

    def leave(self):
        """Closes all connections."""
        self.leaving.set()
        self.thread.join()

    def settled(self):
        """Whether every member has sent all that it will, or waits to come again."""
        return all(
            member.begins_at > 0 or (member.socket and member.sent >= member.behaviour.stream.total)
            for member in self.members
        )

    def _run(self):
        with selectors.DefaultSelector() as selector:
            while not self.leaving.is_set():
                now = time.monotonic()
                for member in self.members:
                    if member.socket is None and now >= member.begins_at:
                        member.begin(selector)
                for key, events in selector.select(WAIT):
                    if key.data.socket is key.fileobj:
                        key.data.step(selector, events)
            for member in self.members:
                if member.socket is not None:
                    with contextlib.suppress(KeyError):
                        selector.unregister(member.socket)
                    member.socket.close()
