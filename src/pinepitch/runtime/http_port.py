"""The ports that receive HTTP requests: that of the product's own API, and those behind an adapter."""

from typing import Any, Protocol

import curio
import curio.socket

from ..common import constants
from ..common.effects import Reply
from ..transport import http, indexed_forwarder
from ..transport.callers import Caller, value_count
from ..transport.pacing import Pacer
from . import stall_detector
from .clocks import steady_clock

# The answer to a request that was not passed to any daemon, or that changes nothing, when the process ends.
STOPPING: tuple[int, object, tuple[tuple[str, str], ...]] = (
    503,
    {"error": {"code": "stopping", "message": "this daemon stops; the call was not taken"}},
    (("Retry-After", str(constants.RETRY_AFTER)),),
)


class Exchange:
    """Passes requests to the daemon, and its replies to the connections that wait for them. Invariants:
    the number of a request is never reused; `waiting` contains the requests without a reply yet; it stays
    empty once the exchange is closed.
    """

    def __init__(self, inbox: Any) -> None:
        self.inbox = inbox
        self.waiting: dict[int, Any] = {}  # number of a request -> queue that its connection reads
        self.request_count = 0
        self.pacer = Pacer()  # of requests that take long to read
        self.stopping = False  # whether the process was asked to stop
        self.closed = False

    async def ask(self, answers: Any, kind: str, *fields: Any) -> http.Response:
        """The daemon's reply to a request of the connection that reads the queue `answers`."""
        await self._begin(answers, kind, *fields)
        return await timely_response(answers)

    async def ask_watched(self, server: http.Server, answers: Any, kind: str, *fields: Any) -> http.Response:
        """Like ask(), but also notifies the daemon if the caller closes its connection meanwhile."""
        request = await self._begin(answers, kind, *fields)
        watch = await curio.spawn(self._report_hung_up, server, request, daemon=True)
        try:
            return await timely_response(answers)
        finally:
            await watch.cancel()

    async def _begin(self, answers: Any, kind: str, *fields: Any) -> int:
        """Passes a request to the daemon and returns the number of the request. Once the exchange is closed,
        it is refused instead.
        """
        self.request_count += 1
        request = self.request_count
        if self.closed:
            await answers.put((STOPPING, None))
            return request
        self.waiting[request] = answers
        await self.inbox.put((kind, request, *fields))
        return request

    async def _report_hung_up(self, server: http.Server, request: int) -> None:
        """Notifies the daemon once the caller of a request has closed its connection."""
        await server.hung_up()
        await self.inbox.put(("hung-up", request))

    async def close(self) -> None:
        """Refuses the requests that still wait, and all further ones. The daemon has replied before to those
        that may have been taken.
        """
        self.closed = True
        while self.waiting:
            _, answers = self.waiting.popitem()
            await answers.put((STOPPING, None))

    async def reply(self, effect: Reply) -> None:
        """Passes a reply to the connection that waits for it, if there is one."""
        answers = self.waiting.pop(effect.request, None)
        if answers is not None:
            reply = (effect.status, effect.document, tuple(effect.headers))
            await answers.put((reply, effect.until))


async def timely_response(answers: Any) -> http.Response:
    """The Response to a request, once there is a reply. The clock is read just before the response is
    written, as the process may have been paused since the daemon made the reply.
    """
    reply, until = await answers.get()
    return http.Response(*stall_detector.timely(reply, until, steady_clock()))


class Adapter(Protocol):
    """Translates between the API of a port and the daemon's calls, and makes no decisions."""

    def read(self, request: http.Request) -> http.Response | tuple[str, tuple[Any, ...], float]:
        """The (call, arguments, patience in seconds) of a request, or the answer if it can't be read."""

    def write(self, call: str, response: http.Response) -> http.Response:
        """The response in the format of the port's API."""

    def limits(self, document: dict[str, Any]) -> http.RequestLimits:
        """The limits of requests at the port, from what the configuration states."""


class Handler(Protocol):
    """Produces the response to a request of a port."""

    async def response(self, request: http.Request, answers: Any, server: http.Server) -> http.Response:
        """The Response to a request of the connection of `server`, which reads the queue `answers`."""


class DirectHandler:
    """Passes requests to the daemon unchanged; for the product's own API."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    async def response(self, request: http.Request, answers: Any, server: http.Server) -> http.Response:
        """The daemon's reply."""
        values = value_count(request.body)
        if values > constants.MANY_VALUES:
            try:  # the daemon decodes the body right after this
                async with curio.timeout_after(constants.TURN_WITHIN):
                    await self.exchange.pacer.rest(values * constants.VALUE_SECONDS)
            except curio.TaskTimeout:
                return http.busy()
        return await self.exchange.ask(
            answers, "http", request.method, request.target, request.headers, request.body
        )


class AdapterHandler:
    """Passes requests to the daemon as the calls that an adapter translates them to. While the process is
    stopping, each response closes its connection, so that the caller connects to another daemon.
    """

    def __init__(self, exchange: Exchange, adapter: Adapter) -> None:
        self.exchange, self.adapter = exchange, adapter

    async def response(self, request: http.Request, answers: Any, server: http.Server) -> http.Response:
        """The daemon's reply, translated, or the adapter's own response to what it can't read."""
        translated = await self._read(request)
        if isinstance(translated, http.Response):
            response = translated
        elif translated[0] in indexed_forwarder.INDEXED_CALLS:
            reply = await self.exchange.ask_watched(server, answers, "call", *translated)
            response = self.adapter.write(translated[0], reply)
        else:
            response = self.adapter.write(
                translated[0], await self.exchange.ask(answers, "call", *translated)
            )
        if self.exchange.stopping:
            response = response._replace(headers=(*response.headers, ("Connection", "close")))
        return response

    async def _read(self, request: http.Request) -> http.Response | tuple[str, tuple[Any, ...], float]:
        """The adapter's reading of a request. Bodies of many values are read in turn."""
        if value_count(request.body) <= constants.MANY_VALUES:
            return self.adapter.read(request)
        try:
            async with curio.timeout_after(constants.TURN_WITHIN), self.exchange.pacer.turn():
                return self.adapter.read(request)
        except curio.TaskTimeout:
            return self.adapter.write("", http.busy())


class HttpPort:
    """Serves HTTP connections."""

    def __init__(self, exchange: Exchange, handler: Handler) -> None:
        self.exchange, self.handler = exchange, handler
        self.limits = http.usual_limits()

    async def serve(self, socket: Any, caller: Caller) -> None:
        """Serves one connection until it ends."""
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        server = http.Server(socket, caller, self.limits, self.exchange.pacer)
        answers = curio.Queue()
        while True:
            request = await server.receive()
            if isinstance(request, http.Fault):
                await server.refuse(request)
                return
            response = self.handler.response(request, answers, server)
            del request  # neither it nor the response's document is held while the caller takes the answer
            if not await server.answer(await response):
                return

    def refusal(self) -> bytes:
        """What a caller reads whose connection can't be served now."""
        return http.closing_bytes(http.busy())
