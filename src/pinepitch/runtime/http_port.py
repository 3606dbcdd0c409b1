"""The ports that receive HTTP requests: that of the product's own API, and those behind an adapter."""

import time
from typing import Any, NamedTuple, Protocol

import curio
import curio.socket

from ..common import constants
from ..common.effects import Reply
from ..transport import http, http_server, indexed_forwarder
from ..transport.callers import Caller
from ..transport.pacing import Pacer
from . import stall_detector
from .clocks import steady_clock
from .read_costs import ReadCosts

# The answer to a request that was not passed to any daemon, or that changes nothing, when the process ends.
STOPPING: tuple[int, object, tuple[tuple[str, str], ...]] = (
    503,
    {"error": {"code": "stopping", "message": "this daemon stops; the call was not taken"}},
    (("Retry-After", str(constants.RETRY_AFTER)),),
)


# Reads that are taken for costly until one of them took little: by the path of the product's own API, or by
# the call behind an adapter. Of the calls behind adapters no others are measured.
COSTLY_PATHS = ("/v1/metrics", "/v1/configuration")
COSTLY_CALLS = ("configuration",)


class Decided(NamedTuple):
    """A daemon's reply to a request, until when it may be told (steady clock, s; None: at any time), and the
    seconds of processor time that deciding it took, 0.0 if that was not measured.
    """

    reply: tuple[int, object, tuple[tuple[str, str], ...]]
    until: float | None = None
    seconds: float = 0.0


class ReadDecision(NamedTuple):
    """The number of a read, and the seconds of processor time that deciding it took."""

    request: int
    seconds: float


class Exchange:
    """Passes requests to the daemon, and its replies to the connections that wait for them. Invariants:
    the number of a request is never reused; `waiting` contains the requests without a reply yet; it stays
    empty once the exchange is closed.
    """

    def __init__(self, inbox: Any) -> None:
        self.inbox = inbox
        self.waiting: dict[int, Any] = {}  # number of a request -> queue that its connection reads
        self.request_count = 0
        self.body_pacer = Pacer()  # of bodies of many values
        self.part_pacer = Pacer()  # of bodies in very many parts
        self.read_pacer = Pacer()  # of reads that take long
        self.read_costs = ReadCosts((*COSTLY_PATHS, *COSTLY_CALLS))
        self.read_decision = ReadDecision(0, 0.0)  # the newest one
        self.stopping = False  # whether the process was asked to stop
        self.closed = False

    async def ask(self, answers: Any, kind: str, *fields: Any) -> http.Response:
        """The daemon's reply to a request of the connection that reads the queue `answers`."""
        await self._begin(answers, kind, *fields)
        return timely_response(await answers.get())

    async def ask_timed(
        self, server: http_server.Server, answers: Any, kind: str, *fields: Any
    ) -> http.Response:
        """Like ask(), but also records with the connection what deciding the request took."""
        await self._begin(answers, kind, *fields)
        decided = await answers.get()
        server.seconds += decided.seconds
        return timely_response(decided)

    async def ask_watched(
        self, server: http_server.Server, answers: Any, kind: str, *fields: Any
    ) -> http.Response:
        """Like ask(), but also notifies the daemon if the caller closes its connection meanwhile."""
        request = await self._begin(answers, kind, *fields)
        watch = await curio.spawn(self._report_hung_up, server, request, daemon=True)
        try:
            return timely_response(await answers.get())
        finally:
            await watch.cancel()

    async def _begin(self, answers: Any, kind: str, *fields: Any) -> int:
        """Passes a request to the daemon and returns the number of the request. Once the exchange is closed,
        it is refused instead.
        """
        self.request_count += 1
        request = self.request_count
        if self.closed:
            await answers.put(Decided(STOPPING))
            return request
        self.waiting[request] = answers
        await self.inbox.put((kind, request, *fields))
        return request

    async def _report_hung_up(self, server: http_server.Server, request: int) -> None:
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
            await answers.put(Decided(STOPPING))

    async def turn_of_read(self, server: http_server.Server, kind: str) -> bool:
        """Waits for the turn of a read, if its kind takes long. False: it would not come in time."""
        expected = self.read_costs.expected(kind)
        if expected and not await self.read_pacer.turn(expected, constants.TURN_WITHIN):
            return False
        server.begin_read(kind)
        return True

    def decided_read(self, request: int, seconds: float) -> None:
        """Records the processor time that the daemon has just spent on a read."""
        self.read_decision = ReadDecision(request, seconds)

    async def reply(self, effect: Reply) -> None:
        """Passes a reply to the connection that waits for it, if there is one."""
        answers = self.waiting.pop(effect.request, None)
        if answers is not None:
            reply = (effect.status, effect.document, tuple(effect.headers))
            request, seconds = self.read_decision
            await answers.put(Decided(reply, effect.until, seconds if request == effect.request else 0.0))


def timely_response(decided: Decided) -> http.Response:
    """The Response to a request. The clock is read just before the response is written, as the process may
    have been paused since the daemon made the reply.
    """
    return http.Response(*stall_detector.timely(decided.reply, decided.until, steady_clock()))


class Adapter(Protocol):
    """Translates between the API of a port and the daemon's calls, and makes no decisions. Adapters inherit
    from it what they don't translate.
    """

    def read(self, request: http.Request) -> http.Response | tuple[str, tuple[Any, ...], float]:
        """The (call, arguments, patience in seconds) of a request, or the answer if it can't be read."""

    def write(self, call: str, response: http.Response) -> http.Response:
        """The response in the format of the port's API."""

    def limits(self, document: dict[str, Any]) -> http.RequestLimits:
        """The limits of requests at the port: what the configuration states is about clients, and holds at
        their port alone.
        """
        return http.usual_limits()


class Handler(Protocol):
    """Produces the response to a request of a port."""

    async def response(
        self, request: http.Request, answers: Any, server: http_server.Server
    ) -> http.Response:
        """The Response to a request of the connection of `server`, which reads the queue `answers`."""


class DirectHandler:
    """Passes requests to the daemon unchanged; for the product's own API."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    async def response(
        self, request: http.Request, answers: Any, server: http_server.Server
    ) -> http.Response:
        """The daemon's reply."""
        if server.value_count > constants.MANY_VALUES and not await self.exchange.body_pacer.turn(
            server.value_count * constants.VALUE_SECONDS, constants.TURN_WITHIN
        ):
            return self.busy()
        if request.method == "GET":
            path = request.target.partition("?")[0]
            if not await self.exchange.turn_of_read(server, path):
                return self.busy()
        return await self.exchange.ask_timed(
            server, answers, "http", request.method, request.target, request.headers, request.body
        )

    def busy(self) -> http.Response:
        """The response to a request that can't have its turn in time."""
        return http.busy()


class AdapterHandler:
    """Passes requests to the daemon as the calls that an adapter translates them to. While the process is
    stopping, each response closes its connection, so that the caller connects to another daemon.
    """

    def __init__(self, exchange: Exchange, adapter: Adapter) -> None:
        self.exchange, self.adapter = exchange, adapter

    async def response(
        self, request: http.Request, answers: Any, server: http_server.Server
    ) -> http.Response:
        """The daemon's reply, translated, or the adapter's own response to what it can't read."""
        translated = await self._read(request, server.value_count)
        if isinstance(translated, http.Response):
            response = translated
        elif translated[0] in indexed_forwarder.INDEXED_CALLS:
            reply = await self.exchange.ask_watched(server, answers, "call", *translated)
            response = self.adapter.write(translated[0], reply)
        elif translated[0] in COSTLY_CALLS:
            response = await self._costly_response(translated, answers, server)
        else:
            response = self.adapter.write(
                translated[0], await self.exchange.ask(answers, "call", *translated)
            )
        if self.exchange.stopping:
            response = response._replace(headers=(*response.headers, ("Connection", "close")))
        return response

    async def _costly_response(
        self, translated: tuple[str, tuple[Any, ...], float], answers: Any, server: http_server.Server
    ) -> http.Response:
        """The response to a call that takes long, once it has its turn."""
        if not await self.exchange.turn_of_read(server, translated[0]):
            return self.busy()
        reply = await self.exchange.ask(answers, "call", *translated)
        begun = time.thread_time()
        response = self.adapter.write(translated[0], reply)
        server.seconds += time.thread_time() - begun
        return response

    async def _read(
        self, request: http.Request, values: int
    ) -> http.Response | tuple[str, tuple[Any, ...], float]:
        """The adapter's reading of a request whose body has so many values; many are read in turn."""
        if values <= constants.MANY_VALUES:
            return self.adapter.read(request)
        expected = values * constants.VALUE_SECONDS
        if not await self.exchange.body_pacer.turn(expected, constants.TURN_WITHIN):
            return self.busy()
        begun = time.monotonic()
        reading = self.adapter.read(request)
        self.exchange.body_pacer.exceeded(time.monotonic() - begun - expected)
        return reading

    def busy(self) -> http.Response:
        """The response to a request that can't have its turn in time, in the format of the port's API."""
        return self.adapter.write("", http.busy())


class HttpPort:
    """Serves HTTP connections."""

    def __init__(self, exchange: Exchange, handler: Handler) -> None:
        self.exchange, self.handler = exchange, handler
        self.limits = http.usual_limits()

    async def serve(self, socket: Any, caller: Caller) -> None:
        """Serves one connection until it ends."""
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        server = http_server.Server(socket, caller, lambda: self.limits, self.exchange.part_pacer)
        answers = curio.Queue()
        while True:
            request = await server.receive()
            if isinstance(request, http.Fault):
                await server.refuse(request)
                return
            response = self.handler.response(request, answers, server)
            del request  # neither it nor the response's document is held while the caller takes the answer
            another_may_follow = await server.answer(await response)
            if server.read_kind is not None:
                self.exchange.read_costs.record(server.read_kind, server.seconds)
            if not another_may_follow:
                return

    def refusal(self) -> bytes:
        """What a caller reads whose connection can't be served now."""
        return http_server.closing_bytes(http.busy())
