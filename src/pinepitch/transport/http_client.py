"""The client's side of a connection: HTTP/1.1 (RFC 9112) with JSON bodies, built on h11 and curio sockets."""

import json
import select
import socket
import struct
from collections.abc import Iterable
from typing import Any

import curio
import h11

from ..common import constants
from .http import RECEIVE_BYTES, Fault, Response


class Client:
    """A client for one host. Invariant: between calls the socket is either ready for a call or None."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.socket: Any = None
        self.connection: Any = None  # the h11.Connection over the socket
        self.reached = False  # whether any byte of the last call may have been sent

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *fault: object) -> None:
        """Resets the connection, if there is one."""
        await self.abort()

    async def connect(self) -> None:
        """Opens the socket if there is none usable. OSError: it can't be opened, and nothing was sent."""
        if self.socket is not None and self._is_unusable():
            await self.abort()
        if self.socket is None:
            self.socket = await curio.open_connection(self.host, self.port)
            self.connection = h11.Connection(h11.CLIENT)

    def _is_unusable(self) -> bool:
        """Whether the open connection has unexpected bytes or has ended: bytes beyond one call's answer
        would be read as the answer to the next call.
        """
        poller = select.poll()
        poller.register(self.socket.fileno(), select.POLLIN)
        return bool(self.connection.trailing_data[0]) or bool(poller.poll(0))

    async def call(
        self, method: str, target: str, document: object = None, headers: Iterable[tuple[str, str]] = ()
    ) -> Response | Fault:
        """The Response, or a Fault; then self.reached says whether the call may have arrived."""
        self.reached = False
        try:
            await self.connect()
        except OSError:
            return Fault(0, "unreachable")
        body = b"" if document is None else json.dumps(document).encode()
        self.reached = True
        try:
            await self.socket.sendall(self._message(method, target, body, headers))
            return await self._response()
        except (OSError, h11.ProtocolError):
            await self.close()
            return Fault(0, "broken")
        except BaseException:
            await self.abort()
            raise

    def _message(self, method: str, target: str, body: bytes, headers: Iterable[tuple[str, str]]) -> bytes:
        """The encoded request."""
        all_headers = [
            ("Host", f"{self.host}:{self.port}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        data: bytes = self.connection.send(h11.Request(method=method, target=target, headers=all_headers))
        if body:
            data += self.connection.send(h11.Data(data=body))
        data += self.connection.send(h11.EndOfMessage()) or b""
        return data

    async def _response(self) -> Response | Fault:
        """Reads the answer to the request that was sent; afterwards the socket is ready again or closed."""
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.socket.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > constants.MAX_ANSWER_BYTES:
                    await self.abort()
                    return Fault(0, "too_large")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                await self.close()
                return Fault(0, "closed")
        if h11.MUST_CLOSE in (self.connection.our_state, self.connection.their_state):
            await self.close()
        else:
            self.connection.start_next_cycle()
        return _response_of(head, body)

    async def abort(self) -> None:
        """Resets the connection, if there is one: bytes not yet delivered are discarded."""
        if self.socket is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await self.close()

    async def close(self) -> None:
        """Closes the socket, if there is one."""
        if self.socket is not None:
            open_socket, self.socket = self.socket, None
            await open_socket.close()


def _response_of(head: h11.Response | None, body: bytearray) -> Response | Fault:
    """The Response made of a complete message, or a Fault if its JSON can't be read."""
    assert head is not None, "h11 ended a message that had no head"
    headers = tuple((name.decode(), value.decode()) for name, value in head.headers)
    text = body.decode("utf-8", "replace")
    if not dict(headers).get("content-type", "").startswith("application/json"):
        return Response(head.status_code, text, headers)
    try:
        return Response(head.status_code, json.loads(text or "null"), headers)
    except ValueError:
        return Fault(0, "malformed")
