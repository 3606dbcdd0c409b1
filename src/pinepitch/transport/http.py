"""HTTP/1.1 with JSON by h11, on both sides, over curio sockets."""

import json
import select
import socket
import struct
import time
from typing import NamedTuple

import curio
import h11

from ..common import constants


class Request(NamedTuple):
    """Invariant: body holds at most MAX_BODY_BYTES bytes; headers have lower-case names."""

    method: str
    target: str
    headers: dict
    body: bytes


class Response(NamedTuple):
    """Invariant: document is what json can write; headers are plain text pairs."""

    status: int
    document: object
    headers: tuple = ()


class Fault(NamedTuple):
    """A connection that can't go on; status 0 means that it merely ended."""

    status: int
    code: str


def refusal(status, code, message, retry=None, **more):
    """An error as callers see it: a stable code, a sentence, and when to come back."""
    headers = () if retry is None else (("Retry-After", str(retry)),)
    return Response(status, {"error": {"code": code, "message": message, **more}}, headers)


class Server:
    """One accepted connection. Invariant: one request is under way at a time."""

    def __init__(self, socket):
        self.socket = socket
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=constants.MAX_HEAD_BYTES)

    async def receive(self):
        """The next Request, or a Fault."""
        head, body, size, begun = None, [], 0, None
        while True:
            if begun is not None and time.monotonic() - begun > constants.MAX_REQUEST_SECONDS:
                return Fault(408, "slow")
            try:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    if self.connection.they_are_waiting_for_100_continue:
                        await self.socket.sendall(
                            self.connection.send(h11.InformationalResponse(status_code=100, headers=[]))
                        )
                    patience = (
                        constants.MAX_CONNECTION_IDLE
                        if begun is None
                        else (begun + constants.MAX_REQUEST_SECONDS - time.monotonic())
                    )
                    data = await curio.ignore_after(max(0.0, patience), self.socket.recv(65536))
                    if data is None and begun is None:
                        return Fault(0, "idle")
                    if data is None:
                        return Fault(408, "slow")
                    begun = begun or time.monotonic()
                    self.connection.receive_data(data)
                    continue
            except h11.RemoteProtocolError as fault:
                return Fault(fault.error_status_hint or 400, "malformed")
            except OSError:
                return Fault(0, "broken")
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > constants.MAX_BODY_BYTES:
                    return Fault(413, "too_large")
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
                return Request(head.method.decode(), head.target.decode("latin-1"), headers, b"".join(body))
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return Fault(0, "closed")

    async def answer(self, response):
        """Sends one Response, its keys in order; True if another request may follow."""
        if isinstance(response.document, str):
            body, kind = response.document.encode(), "text/plain; charset=utf-8"
        else:
            body = json.dumps(response.document, sort_keys=True).encode()
            kind = "application/json"
        headers = [("Content-Type", kind), ("Content-Length", str(len(body))), *response.headers]
        try:
            data = self.connection.send(h11.Response(status_code=response.status, headers=headers))
            data += self.connection.send(h11.Data(data=body)) or b""
            data += self.connection.send(h11.EndOfMessage()) or b""
            await self.socket.sendall(data)
            if self.connection.our_state is h11.MUST_CLOSE:
                return False
            self.connection.start_next_cycle()
            return True
        except (OSError, h11.LocalProtocolError):
            return False

    async def refuse(self, fault):
        """Tells a caller whose request can't be read so, and lets it read that: a connection that is
        closed with bytes unread is reset, which may take the answer away with it."""
        if not fault.status:
            return
        await self.answer(refusal(fault.status, fault.code, "the request can't be read"))
        try:
            await self.socket.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(constants.LINGER):
                while await self.socket.recv(65536):
                    pass
        except OSError:
            pass  # the caller is gone


class Client:
    """Calls to one host. Invariant: the socket is either ready for a call or None."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.socket = None
        self.connection = None
        self.reached = False  # whether a byte of the last call may have left

    async def connect(self):
        """Opens the socket if there is none; OSError says that nothing was sent."""
        if self.socket is not None and self._spoiled():
            await self.abort()
        if self.socket is None:
            self.socket = await curio.open_connection(self.host, self.port)
            self.connection = h11.Connection(h11.CLIENT)

    def _spoiled(self):
        """Whether the open connection holds what no call asked for, or has ended: what came
        beside one call's answer would be taken for the next one's."""
        unread = select.poll()
        unread.register(self.socket.fileno(), select.POLLIN)
        return bool(self.connection.trailing_data[0]) or bool(unread.poll(0))

    async def call(self, method, target, document=None, headers=()):
        """A Response, or a Fault; self.reached then tells if the call may have arrived."""
        self.reached = False
        try:
            await self.connect()
        except OSError:
            return Fault(0, "unreachable")
        body = b"" if document is None else json.dumps(document).encode()
        self.reached = True
        try:
            data = self.connection.send(
                h11.Request(
                    method=method,
                    target=target,
                    headers=[
                        ("Host", f"{self.host}:{self.port}"),
                        ("Content-Type", "application/json"),
                        ("Content-Length", str(len(body))),
                        *headers,
                    ],
                )
            )
            if body:
                data += self.connection.send(h11.Data(data=body))
            data += self.connection.send(h11.EndOfMessage()) or b""
            await self.socket.sendall(data)
            return await self._response()
        except (OSError, h11.ProtocolError):
            await self.close()
            return Fault(0, "broken")
        except BaseException:
            await self.abort()
            raise

    async def _response(self):
        head, parts, size = None, [], 0
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.socket.recv(65536))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > constants.MAX_ANSWER_BYTES:
                    await self.abort()
                    return Fault(0, "too_large")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                await self.close()
                return Fault(0, "closed")
        if self.connection.our_state is h11.MUST_CLOSE or self.connection.their_state is h11.MUST_CLOSE:
            await self.close()
        else:
            self.connection.start_next_cycle()
        headers = tuple((name.decode(), value.decode()) for name, value in head.headers)
        text = b"".join(parts).decode("utf-8", "replace")
        if dict(headers).get("content-type", "").startswith("application/json"):
            try:
                return Response(head.status_code, json.loads(text or "null"), headers)
            except ValueError:
                return Fault(0, "malformed")
        return Response(head.status_code, text, headers)

    async def abort(self):
        """Drops the socket and what it has not yet delivered."""
        if self.socket is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await self.close()

    async def close(self):
        """Drops the socket, if there is one."""
        if self.socket is not None:
            opened, self.socket = self.socket, None
            await opened.close()
