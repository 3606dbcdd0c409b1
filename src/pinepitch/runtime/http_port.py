"""The ports on which HTTP requests come in: the product's own API, and those behind an adapter."""

import contextlib
from collections.abc import Iterator
from typing import Any, Protocol

import curio
import curio.socket

from ..common import constants
from ..common.effects import Reply
from ..transport import http, indexed_forwarder
from . import stall_detector
from .clocks import steady_clock


class Exchange:
    """Where the decider's replies meet the connections that wait for them. Invariants: a request's
    number is never used again; `waiting` holds the requests that have no reply yet.
    """

    def __init__(self, inbox: Any) -> None:
        self.inbox = inbox
        self.waiting: dict[int, Any] = {}  # number of a request -> the queue its connection reads
        self.count = 0
        self.connections = 0
        self.stopping = False

    @contextlib.contextmanager
    def connection(self) -> Iterator[None]:
        """Counts a connection while it lasts."""
        self.connections += 1
        try:
            yield
        finally:
            self.connections -= 1

    async def ask(self, answers: Any, kind: str, *fields: Any) -> http.Response:
        """The decider's reply to a request of one connection, which reads the queue `answers`."""
        await self._begin(answers, kind, *fields)
        return await timely_response(answers)

    async def ask_watched(self, server: http.Server, answers: Any, kind: str, *fields: Any) -> http.Response:
        """The same; the decider is told as well once the caller has closed its connection."""
        request = await self._begin(answers, kind, *fields)
        watch = await curio.spawn(self._tell_hung_up, server, request, daemon=True)
        try:
            return await timely_response(answers)
        finally:
            await watch.cancel()

    async def _begin(self, answers: Any, kind: str, *fields: Any) -> int:
        """Hands a request to the decider; its number."""
        self.count += 1
        request = self.count
        self.waiting[request] = answers
        await self.inbox.put((kind, request, *fields))
        return request

    async def _tell_hung_up(self, server: http.Server, request: int) -> None:
        """Tells the decider that the caller of a request has closed its connection, once it has."""
        await server.hung_up()
        await self.inbox.put(("hung-up", request))

    async def reply(self, effect: Reply) -> None:
        """Hands a reply to the connection that waits for it, if one does."""
        answers = self.waiting.pop(effect.request, None)
        if answers is not None:
            reply = (effect.status, effect.document, tuple(effect.headers))
            await answers.put((reply, effect.until))


async def timely_response(answers: Any) -> http.Response:
    """The Response to a request once its reply comes; the clock is read when it is about to be
    written, however long the process was stopped since the reply was decided.
    """
    reply, until = await answers.get()
    return http.Response(*stall_detector.timely(reply, until, steady_clock()))


class Adapter(Protocol):
    """Translates a port whose callers speak another way, and decides nothing."""

    def read(self, request: http.Request) -> http.Response | tuple[str, tuple[Any, ...], float]:
        """(call, arguments, patience in seconds) of a request, or the answer if it can't be read."""

    def write(self, call: str, response: http.Response) -> http.Response:
        """The answer in the callers' terms."""


class Handler(Protocol):
    """What a port does with a request."""

    async def response(self, request: http.Request, answers: Any, server: http.Server) -> http.Response:
        """The Response to one request of the connection of `server`, which reads the queue `answers`."""


class DirectHandler:
    """Hands requests to the decider as they come: the product's own API."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    async def response(self, request: http.Request, answers: Any, server: http.Server) -> http.Response:
        """The decider's reply."""
        return await self.exchange.ask(
            answers, "http", request.method, request.target, request.headers, request.body
        )


class AdapterHandler:
    """Hands requests to the decider as the calls that an adapter makes of them. Once the process is
    stopping each answer ends its connection, so that the caller turns to another daemon.
    """

    def __init__(self, exchange: Exchange, adapter: Adapter) -> None:
        self.exchange, self.adapter = exchange, adapter

    async def response(self, request: http.Request, answers: Any, server: http.Server) -> http.Response:
        """The decider's reply in the callers' terms, or the adapter's own to what it can't read."""
        made = self.adapter.read(request)
        if isinstance(made, http.Response):
            response = made
        elif made[0] in indexed_forwarder.CALLS:
            reply = await self.exchange.ask_watched(server, answers, "call", *made)
            response = self.adapter.write(made[0], reply)
        else:
            response = self.adapter.write(made[0], await self.exchange.ask(answers, "call", *made))
        if self.exchange.stopping:
            response = response._replace(headers=(*response.headers, ("Connection", "close")))
        return response


class HttpPort:
    """Serves HTTP connections: at most MAX_CONNECTIONS at a time over all ports of an exchange."""

    def __init__(self, exchange: Exchange, handler: Handler) -> None:
        self.exchange, self.handler = exchange, handler

    async def serve(self, socket: Any, peer: object) -> None:
        """Serves one connection until it ends."""
        if self.exchange.connections >= constants.MAX_CONNECTIONS:
            return
        with self.exchange.connection():
            socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
            server = http.Server(socket)
            answers = curio.Queue()
            while True:
                request = await server.receive()
                if isinstance(request, http.Fault):
                    await server.refuse(request)
                    return
                if not await server.answer(await self.handler.response(request, answers, server)):
                    return
