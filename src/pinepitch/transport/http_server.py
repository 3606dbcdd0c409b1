"""The server's side of a connection: HTTP/1.1 (RFC 9112) with JSON bodies, built on h11 and curio sockets."""

import json
import socket
import time
from collections.abc import Callable
from typing import Any

import curio
import h11

from ..common import constants
from .callers import Caller, decoded_bytes, lone_caller, most_values, value_count
from .http import (
    NOT_READ,
    RECEIVE_BYTES,
    Fault,
    Request,
    RequestLimits,
    Response,
    busy,
    error_response,
    usual_limits,
)
from .pacing import Pacer


class _Incoming:
    """A request while it is received; the bytes of its body are the caller's. Invariants: `begun` is None
    until its first bytes were read; `limits` are those that were in force then.
    """

    def __init__(self, limits: RequestLimits, caller: Caller, buffered: int) -> None:
        self.limits, self.caller = limits, caller
        self.head: h11.Request | None = None
        self.headers: dict[str, str] = {}  # names in lower case
        self.head_bytes = buffered  # read before the head was complete, and what came with its end
        self.small_parts = 0  # of the body, since its last turn
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

    def is_turn_due(self) -> bool:
        """Whether other connections are to have their turn, as its body comes in many small parts."""
        return self.small_parts >= constants.PARTS_IN_A_ROW

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
        self.read_kind: str | None = None  # of the newest request, if it is a read whose cost is measured
        self.seconds = 0.0  # of processor time, that this read took
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=constants.MAX_HEAD_BYTES)

    async def receive(self) -> Request | Fault:
        """The next Request, or a Fault."""
        self.read_kind = None
        incoming = _Incoming(self.limits(), self.caller, self.buffered)
        if incoming.held:
            incoming.begun = time.monotonic()
        try:
            while True:
                parsed = self._parse(incoming)
                if parsed is None and incoming.is_turn_due():
                    incoming.small_parts = 0
                    await self.pacer.turn(constants.PARTS_IN_A_ROW * constants.PART_SECONDS)
                elif parsed is None:
                    parsed = await self._read(incoming)
                if parsed is not None:
                    return parsed
        except h11.RemoteProtocolError as error:
            return Fault(error.error_status_hint or 400, "malformed")
        except OSError:
            return Fault(0, "broken")

    def _parse(self, incoming: _Incoming) -> Request | Fault | None:
        """The Request, if it was received, or a Fault. None: more must be read, or a turn is due before more
        is parsed. h11.RemoteProtocolError: it can't be read.
        """
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.EndOfMessage):
                return self._whole(incoming)
            if isinstance(event, h11.Data):
                fault = incoming.take_part(event)
                if fault is None and incoming.is_turn_due():
                    return None
            elif isinstance(event, h11.Request):
                fault = self._head_fault(incoming) or incoming.take_head(event)
            else:
                return Fault(0, "closed")
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
        remaining = incoming.remaining()
        if remaining < 0:
            return Fault(408, "slow")
        data: bytes | None = await curio.ignore_after(remaining, self.socket.recv(RECEIVE_BYTES))
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

    def _whole(self, incoming: _Incoming) -> Request | Fault:
        """The Request that was received, or a Fault if there is no room for what it is decoded into."""
        request = _request_of(incoming)
        self.buffered = self._buffered()
        fixed = constants.REQUEST_BYTES + self.buffered
        self.value_count = most_values(request.body)
        size = fixed + decoded_bytes(request.body, self.value_count)
        if self.value_count > constants.MANY_VALUES or not self.caller.table.has_plenty(size):
            self.value_count = value_count(request.body)
            size = fixed + decoded_bytes(request.body, self.value_count)
        if size > self.caller.table.most_request:
            return Fault(413, "too_many_values")
        self.method = request.method
        return request if self.caller.waits(size) else Fault(503, "busy")

    def begin_read(self, kind: str) -> None:
        """Begins to sum up the processor time of the newest request, a read of a kind."""
        self.read_kind, self.seconds = kind, 0.0

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
        begun = time.thread_time() if self.read_kind is not None else 0.0
        body, content_type = _encoded_document(response.document)
        if self.read_kind is not None:
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
        rest: bytes | memoryview = data if len(data) <= constants.ANSWER_SLICE else memoryview(data)
        try:
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
