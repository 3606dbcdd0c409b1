"""Accepts the connections of callers on one port, within the limits of the table of callers."""

import socket as sockets
import time
from typing import Any, NamedTuple, Protocol

import curio
import curio.socket

from ..common import constants
from ..transport.callers import Caller, CallerTable


class Port(Protocol):
    """Serves the connections of one port."""

    async def serve(self, socket: Any, caller: Caller) -> None:
        """Serves one connection until it ends."""

    def refusal(self) -> bytes:
        """What a caller reads that can't be served now."""


class SocketBuffers(NamedTuple):
    """Bytes that are requested of the kernel for each connection, as it rounds them up."""

    receive: int  # for what the caller sent and nobody has read yet
    send: int  # for answers that the caller has not taken yet


class Listener:
    """One port. Invariant: each open connection is in the table of callers."""

    def __init__(self, callers: CallerTable, port: Port, buffers: SocketBuffers | None) -> None:
        self.callers, self.port = callers, port
        self.buffers = buffers  # None for the system's defaults

    async def run(self, host: str, number: int) -> None:
        """Accepts connections until it is cancelled. OSError: the port can't be opened."""
        listening = curio.tcp_server_socket(host, number, backlog=constants.LISTEN_BACKLOG)
        if self.buffers is not None:  # connections inherit them
            listening.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, self.buffers.receive)
            listening.setsockopt(sockets.SOL_SOCKET, sockets.SO_SNDBUF, self.buffers.send)
        async with listening:
            while True:
                while not self.callers.may_accept():
                    await curio.sleep(constants.CLOSING_WAIT)
                try:
                    socket, _ = await listening.accept()
                except OSError:  # out of descriptors, or the connection has ended already
                    await curio.sleep(constants.ACCEPT_AGAIN)
                    continue
                await self._admit(socket)

    async def _admit(self, socket: Any) -> None:
        """Serves a connection if the table has room for it."""
        evictions = self.callers.evictions
        caller = self.callers.admit(SocketEnds(socket), time.monotonic())
        if caller is None:
            await _refuse(socket, self.port.refusal())
            return
        await curio.spawn(self._serve, socket, caller, daemon=True)
        if self.callers.evictions > evictions:
            await curio.sleep(0)  # connections that were closed for this one end first

    async def _serve(self, socket: Any, caller: Caller) -> None:
        try:
            async with socket:
                await self.port.serve(socket, caller)
        finally:
            self.callers.remove(caller)


class SocketEnds:
    """Ends an accepted connection from outside the task that serves it."""

    def __init__(self, socket: Any) -> None:
        self.socket = socket

    def end_reading(self) -> None:
        """Makes whoever reads from it read its end, while an answer may still be sent."""
        self._shut_down(sockets.SHUT_RD)

    def abort(self) -> None:
        """Makes whoever reads from it or writes to it fail."""
        self._shut_down(sockets.SHUT_RDWR)

    def _shut_down(self, ways: int) -> None:
        try:
            self.socket._socket.shutdown(ways)
        except OSError:
            pass  # it has ended already


async def _refuse(socket: Any, answer: bytes) -> None:
    """Closes a connection that was just accepted, with an answer if the socket takes it at once."""
    async with socket:
        try:
            socket._socket.send(answer, sockets.MSG_DONTWAIT)
        except OSError:
            pass  # the caller has gone
