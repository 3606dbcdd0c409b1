"""HTTP/1.1 (RFC 9112) server and client with JSON bodies, built on h11 and curio sockets."""

import json
import select
import socket
import struct
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

import curio
import h11

from ..common import constants
from .callers import Caller, lone_caller

RECEIVE_BYTES = 65_536  # bytes; limit of one read from a socket
NO_ROOM = "this daemon has no room for the request; it was not taken"


class Request(NamedTuple):
    """A request as received. Invariant: body has at most MAX_BODY_BYTES bytes; names of headers are in lower
    case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response. Invariant: document can be written as JSON, or is a str sent as plain text; headers are
    pairs of str.
    """

    status: int
    document: Any
    headers: tuple[tuple[str, str], ...] = ()


class Fault(NamedTuple):
    """Why a connection can't continue. Status 0: no error to answer with, e.g. the peer closed it."""

    status: int
    code: str


BUSY = Fault(503, "busy")  # there is no room for the request


def busy() -> Response:
    """The response to a request that this daemon has no room for."""
    return error_response(503, "busy", NO_ROOM, constants.RETRY_AFTER)


def error_response(
    status: int, code: str, message: str, retry: float | None = None, **more: object
) -> Response:
    """An error response: a stable code, a message, and after how many seconds to retry, if given."""
    headers = () if retry is None else (("Retry-After", str(retry)),)
    return Response(status, {"error": {"code": code, "message": message, **more}}, headers)


class _Body:
    """The body of a message while it is received. Invariant: size is the sum of the sizes of the parts."""

    def __init__(self, max_bytes: int) -> None:
        self.parts: list[bytes] = []
        self.size = 0
        self.max_bytes = max_bytes

    def add(self, event: h11.Data) -> bool:
        """Adds a part; returns whether the body is still within its limit."""
        self.parts.append(bytes(event.data))
        self.size += len(event.data)
        return self.size <= self.max_bytes

    def complete(self) -> bytes:
        """The whole body."""
        return b"".join(self.parts)


class Server:
    """One accepted connection. Invariant: it processes one request at a time."""

    def __init__(self, socket: Any, caller: Caller | None = None) -> None:
        self.socket = socket
        self.caller = caller or lone_caller()
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=constants.MAX_HEAD_BYTES)

    async def receive(self) -> Request | Fault:
        """The next Request, or a Fault."""
        head: h11.Request | None = None
        body = _Body(constants.MAX_BODY_BYTES)
        begun: float | None = None  # when the first bytes were read (monotonic clock, s)
        while True:
            if begun is not None and time.monotonic() - begun > constants.MAX_REQUEST_SECONDS:
                return Fault(408, "slow")
            try:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self._read(begun)
                    if data is None or self.caller.evicted:
                        return self._unread(begun)
                    begun = begun or time.monotonic()
                    self.caller.receives(time.monotonic())
                    self.connection.receive_data(data)
                    continue
            except h11.RemoteProtocolError as fault:
                return Fault(fault.error_status_hint or 400, "malformed")
            except OSError:
                return Fault(0, "broken")
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                if not body.add(event):
                    return Fault(413, "too_large")
            elif isinstance(event, h11.EndOfMessage):
                return _request_of(head, body) if self.caller.waits() else BUSY
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return Fault(0, "closed")

    def _unread(self, begun: float | None) -> Fault:
        """Why no bytes are to be read any more."""
        if self.caller.evicted:
            return Fault(0, "closed") if begun is None else BUSY
        return Fault(0, "idle") if begun is None else Fault(408, "slow")

    async def _read(self, begun: float | None) -> bytes | None:
        """The next bytes, or None if none arrive in time: within MAX_CONNECTION_IDLE before a request has
        begun, within the remainder of MAX_REQUEST_SECONDS afterwards.
        """
        if self.connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.socket.sendall(self.connection.send(continue_response))
        if begun is None:
            patience = constants.MAX_CONNECTION_IDLE
        else:
            patience = begun + constants.MAX_REQUEST_SECONDS - time.monotonic()
        data: bytes | None = await curio.ignore_after(max(0.0, patience), self.socket.recv(RECEIVE_BYTES))
        return data

    async def hung_up(self) -> None:
        """Returns once the caller closes its connection while its request is processed. Bytes received
        meanwhile are stored for the next request; after RECEIVE_BYTES of them this no longer watches for
        the end.
        """
        unread_bytes = 0
        while unread_bytes < RECEIVE_BYTES:
            try:
                data: bytes = await self.socket.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            self.connection.receive_data(data)
            if not data:
                return
            unread_bytes += len(data)
        await curio.Event().wait()  # never set: waits until this task is cancelled

    async def answer(self, response: Response) -> bool:
        """Sends one Response, with sorted JSON keys; returns whether another request may follow."""
        if isinstance(response.document, str):
            body, content_type = response.document.encode(), "text/plain; charset=utf-8"
        else:
            body = json.dumps(response.document, sort_keys=True).encode()
            content_type = "application/json"
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body))), *response.headers]
        try:
            data = self.connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
            data += self.connection.send(h11.Data(data=body)) or b""
            data += self.connection.send(h11.EndOfMessage()) or b""
            await self.socket.sendall(data)
            if self.connection.our_state is h11.MUST_CLOSE:
                return False
            self.connection.start_next_cycle()
            self.caller.rests(time.monotonic())
            return True
        except (OSError, h11.LocalProtocolError):
            return False

    async def refuse(self, fault: Fault) -> None:
        """Answers a request that can't be read, and then reads and drops what the caller still sends, for
        at most LINGER: closing a connection with unread bytes resets it, which may lose the answer.
        """
        if not fault.status:
            return
        retry = constants.RETRY_AFTER if fault == BUSY else None
        message = NO_ROOM if fault == BUSY else "the request can't be read"
        await self.answer(error_response(fault.status, fault.code, message, retry))
        try:
            await self.socket.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(constants.LINGER):
                while await self.socket.recv(RECEIVE_BYTES):
                    pass
        except OSError:
            pass  # the caller has closed the connection


def _request_of(head: h11.Request | None, body: _Body) -> Request:
    """The Request made of a complete message."""
    assert head is not None, "h11 ended a message that had no head"
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), head.target.decode("latin-1"), headers, body.complete())


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
        body = _Body(constants.MAX_ANSWER_BYTES)
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.socket.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                if not body.add(event):
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


def _response_of(head: h11.Response | None, body: _Body) -> Response | Fault:
    """The Response made of a complete message, or a Fault if its JSON can't be read."""
    assert head is not None, "h11 ended a message that had no head"
    headers = tuple((name.decode(), value.decode()) for name, value in head.headers)
    text = body.complete().decode("utf-8", "replace")
    if not dict(headers).get("content-type", "").startswith("application/json"):
        return Response(head.status_code, text, headers)
    try:
        return Response(head.status_code, json.loads(text or "null"), headers)
    except ValueError:
        return Fault(0, "malformed")
