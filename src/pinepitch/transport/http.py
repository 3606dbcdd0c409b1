"""HTTP/1.1 (RFC 9112) server and client with JSON bodies, built on h11 and curio sockets."""

import json
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import curio
import h11

from ..common import constants
from .callers import Caller, decoded_bytes, lone_caller, value_count
from .pacing import Pacer

RECEIVE_BYTES = 65_536  # bytes; limit of one read from a socket
NOT_READ = "the request can't be read"  # the message of a refusal
NO_ROOM = "this daemon has no room for the request; it was not taken"


class RequestLimits(NamedTuple):
    """What one request may be. Sizes are in bytes, times in seconds."""

    head: int  # of the request line and the headers
    body: int
    head_seconds: float  # from the first byte of a request to the end of its head
    request_seconds: float  # from the first byte of a request to its last one
    idle_seconds: float  # from one request to the next one on a connection


def usual_limits() -> RequestLimits:
    """The limits of requests that no configuration limits further."""
    return RequestLimits(
        constants.MAX_HEAD_BYTES,
        constants.MAX_BODY_BYTES,
        constants.MAX_REQUEST_SECONDS,
        constants.MAX_REQUEST_SECONDS,
        constants.MAX_CONNECTION_IDLE,
    )


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


def error_response(
    status: int, code: str, message: str, retry: float | None = None, **more: object
) -> Response:
    """An error response: a stable code, a message, and after how many seconds to retry, if given."""
    headers = () if retry is None else (("Retry-After", str(retry)),)
    return Response(status, {"error": {"code": code, "message": message, **more}}, headers)


def busy() -> Response:
    """The response to a request that this daemon has no room for."""
    return error_response(503, "busy", NO_ROOM, constants.RETRY_AFTER)


class _Incoming:
    """A request while it is received; the bytes of its body are the caller's. Invariants: `begun` is None
    until its first bytes were read; `limits` are those that were in force then.
    """

    def __init__(self, limits: RequestLimits, caller: Caller, buffered: int) -> None:
        self.limits, self.caller = limits, caller
        self.head: h11.Request | None = None
        self.headers: dict[str, str] = {}  # names in lower case
        self.head_bytes = buffered  # read before the head was complete, and what came with its end
        self.small_parts = 0  # of the body
        self.begun: float | None = None  # monotonic clock, seconds

    @property
    def held(self) -> int:
        """Bytes that are held for it."""
        return self.head_bytes + len(self.caller.received)

    def remaining(self) -> float:
        """Seconds for which its next bytes may be waited for."""
        if self.begun is None:
            return self.limits.idle_seconds
        most = self.limits.request_seconds if self.head else self.limits.head_seconds
        return self.begun + most - time.monotonic()

    def take_head(self, head: h11.Request) -> Fault | None:
        """Takes the head; a Fault if it announces a body over the limit."""
        self.head = head
        for name, value in head.headers:
            self.headers[name.decode("latin-1")] = value.decode("latin-1")
        length = int(self.headers.get("content-length", "0"))
        return Fault(413, "too_large") if length > self.limits.body else None

    def take_part(self, part: h11.Data) -> Fault | None:
        """Takes a part of the body; a Fault if the body is over the limit now."""
        self.small_parts += len(part.data) < constants.SMALL_PART_BYTES
        self.caller.received += part.data
        return Fault(413, "too_large") if len(self.caller.received) > self.limits.body else None

    def take_body(self) -> bytes:
        """The whole body, which is no longer the caller's."""
        body = bytes(self.caller.received)
        self.caller.received = bytearray()
        return body


class Server:
    """One accepted connection. Invariants: it processes one request at a time; what it holds of a request is
    recorded with `caller`.
    """

    def __init__(
        self,
        socket: Any,
        caller: Caller | None = None,
        limits: Callable[[], RequestLimits] | None = None,
        pacer: Pacer | None = None,
    ) -> None:
        self.socket = socket
        self.caller = caller or lone_caller()
        self.limits = limits or usual_limits  # the ones that are in force now
        self.pacer = pacer or Pacer()
        self.method = ""  # of the newest request
        self.buffered = 0  # bytes that were read behind the newest request
        self.value_count = 0  # of the values in the newest request's body, at most
        self.seconds = 0.0  # of processor time, that the newest request took if it is a read
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=constants.MAX_HEAD_BYTES)

    async def receive(self) -> Request | Fault:
        """The next Request, or a Fault."""
        incoming = _Incoming(self.limits(), self.caller, self.buffered)
        if incoming.held:
            incoming.begun = time.monotonic()
        try:
            return await self._receive(incoming)
        except h11.RemoteProtocolError as error:
            return Fault(error.error_status_hint or 400, "malformed")
        except OSError:
            return Fault(0, "broken")

    async def _receive(self, incoming: _Incoming) -> Request | Fault:
        """The Request, once it was received, or a Fault. h11.RemoteProtocolError, OSError: it broke."""
        while True:
            if incoming.begun is not None and incoming.remaining() < 0:
                return Fault(408, "slow")
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                fault = await self._read(incoming)
            elif isinstance(event, h11.EndOfMessage):
                return self._whole(incoming)
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return Fault(0, "closed")
            elif isinstance(event, h11.Data):
                fault = incoming.take_part(event)
                await self._pace(incoming)
            else:
                assert isinstance(event, h11.Request), f"h11 does not read {event} as a server"
                fault = self._head_fault(incoming) or incoming.take_head(event)
            if fault is not None:
                return fault

    def _buffered(self) -> int:
        """Bytes that were read and are not part of any event yet."""
        return len(self.connection.trailing_data[0])

    def _head_fault(self, incoming: _Incoming) -> Fault | None:
        """A Fault if a head that has just ended is over the limit."""
        if incoming.head_bytes <= incoming.limits.head:
            return None
        head_size = incoming.head_bytes - self._buffered()
        return Fault(431, "head_too_large") if head_size > incoming.limits.head else None

    async def _read(self, incoming: _Incoming) -> Fault | None:
        """Reads the next bytes; a Fault if none arrive in time, or there is no room for them, or they are the
        beginning of a head over the limit.
        """
        if incoming.head is None and incoming.head_bytes > incoming.limits.head:
            return Fault(431, "head_too_large")
        if incoming.begun is not None and not self.caller.receives(incoming.held, time.monotonic()):
            return Fault(503, "busy")
        if self.connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await self.socket.sendall(self.connection.send(continue_response))
        data: bytes | None = await curio.ignore_after(
            max(0.0, incoming.remaining()), self.socket.recv(RECEIVE_BYTES)
        )
        if self.caller.evicted:
            return Fault(0, "closed") if incoming.begun is None else Fault(503, "busy")
        if data is None:
            return Fault(0, "idle") if incoming.begun is None else Fault(408, "slow")
        if incoming.begun is None:
            incoming.begun = time.monotonic()
            incoming.limits = self.limits()
        if incoming.head is None:
            incoming.head_bytes += len(data)
        self.connection.receive_data(data)
        return None

    async def _pace(self, incoming: _Incoming) -> None:
        """Lets other connections have their turn while a body comes in many small parts."""
        if incoming.small_parts and incoming.small_parts % constants.PARTS_IN_A_ROW == 0:
            await self.pacer.turn(constants.PARTS_IN_A_ROW * constants.PART_SECONDS)

    def _whole(self, incoming: _Incoming) -> Request | Fault:
        """The Request that was received, or a Fault if there is no room for what it is decoded into."""
        request = _request_of(incoming)
        self.buffered = self._buffered()
        self.value_count = value_count(request.body)
        decoded = decoded_bytes(request.body, self.value_count)
        size = constants.REQUEST_BYTES + self.buffered + decoded
        if size > self.caller.table.limits.request:
            return Fault(413, "too_many_values")
        self.method = request.method
        return request if self.caller.waits(size) else Fault(503, "busy")

    async def hung_up(self) -> None:
        """Returns once the caller closes its connection while its request is processed. Bytes received
        meanwhile are stored for the next request; after REQUEST_BYTES of them this no longer watches for
        the end.
        """
        unread_bytes = 0
        while unread_bytes < constants.REQUEST_BYTES:
            try:
                data: bytes = await self.socket.recv(constants.REQUEST_BYTES)
            except OSError:
                data = b""
            self.connection.receive_data(data)
            self.buffered += len(data)
            if not data:
                return
            unread_bytes += len(data)
        await curio.Event().wait()  # never set: waits until this task is cancelled

    async def answer(self, response: Response) -> bool:
        """Sends one Response, with sorted JSON keys; returns whether another request may follow. An answer
        that there is no room for is replaced by an error.
        """
        begun = time.thread_time() if self.method == "GET" else 0.0
        body, content_type = _encoded_document(response.document)
        if self.method == "GET":
            self.seconds += time.thread_time() - begun
        if (
            not self.caller.answers(len(body) + self.buffered, time.monotonic())
            and len(body) > constants.REQUEST_BYTES
        ):
            response = self._no_room()
            body, content_type = _encoded_document(response.document)
        headers = response.headers
        if self.caller.table.take_place():
            headers = (*headers, ("Connection", "close"))
        data = _encoded(self.connection, response.status, headers, content_type, body)
        del response, body  # neither is held while the caller takes the answer
        return data is not None and await self._sent(data)

    def _no_room(self) -> Response:
        """The answer in place of one that there is no room for."""
        if self.method == "GET":
            return busy()
        return error_response(504, "busy", "there is no room for the answer; the call may have been taken")

    async def _sent(self, data: bytes) -> bool:
        """Sends an encoded answer; returns whether another request may follow."""
        try:
            rest = memoryview(data)
            while len(rest) > constants.ANSWER_SLICE:
                await self.socket.sendall(rest[: constants.ANSWER_SLICE])
                self.caller.took(time.monotonic())
                rest = rest[constants.ANSWER_SLICE :]
            await self.socket.sendall(rest)
            self.caller.rests(time.monotonic())
            if self.connection.our_state is h11.MUST_CLOSE:
                await self._linger()
                return False
            self.connection.start_next_cycle()
            return True
        except (OSError, h11.LocalProtocolError):
            return False

    async def _linger(self) -> None:
        """Ends sending, and then reads and drops what the caller still sends, for at most LINGER: closing a
        connection with unread bytes resets it, which may lose the answer. OSError: the caller has gone.
        """
        await self.socket.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(constants.LINGER):
            while await self.socket.recv(RECEIVE_BYTES):
                pass

    async def refuse(self, fault: Fault) -> None:
        """Answers a request that can't be read, and closes the connection."""
        if not fault.status:
            return
        response = busy() if fault.status == 503 else error_response(fault.status, fault.code, NOT_READ)
        body, content_type = _encoded_document(response.document)
        data = _encoded(self.connection, response.status, response.headers, content_type, body)
        try:
            if data is not None:
                await curio.timeout_after(constants.LINGER, self.socket.sendall(data))
            await self._linger()
        except (OSError, curio.TaskTimeout):
            pass  # the caller has closed the connection, or takes nothing


def _encoded(
    connection: h11.Connection,
    status: int,
    headers: tuple[tuple[str, str], ...],
    content_type: str,
    body: bytes,
) -> bytes | None:
    """The bytes of a response, or None if the connection can't carry it."""
    fields = [("Content-Type", content_type), ("Content-Length", str(len(body))), *headers]
    try:
        data: bytes = connection.send(h11.Response(status_code=status, headers=fields)) or b""
        data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        return data
    except h11.LocalProtocolError:
        return None


def closing_bytes(response: Response) -> bytes:
    """The bytes of a response to a caller whose request isn't read, and whose connection is closed."""
    body, content_type = _encoded_document(response.document)
    headers = (*response.headers, ("Connection", "close"))
    data = _encoded(h11.Connection(h11.SERVER), response.status, headers, content_type, body)
    assert data is not None, "a connection that was not used carries any response"
    return data


def _encoded_document(document: Any) -> tuple[bytes, str]:
    """The body and the content type of a response's document."""
    if isinstance(document, str):
        return document.encode(), "text/plain; charset=utf-8"
    return json.dumps(document, sort_keys=True).encode(), "application/json"


def _request_of(incoming: _Incoming) -> Request:
    """The Request made of a complete message."""
    head = incoming.head
    assert head is not None, "h11 ended a message that had no head"
    target = head.target.decode("latin-1")
    return Request(head.method.decode(), target, incoming.headers, incoming.take_body())


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
