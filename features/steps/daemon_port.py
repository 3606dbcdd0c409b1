"""A host's HTTP port on a free port of this machine, whose decider is in the hands of steps."""

import json
import socket as sockets

import curio

from pinepitch.common.effects import Reply
from pinepitch.runtime.host import Host
from pinepitch.transport.callers import State, lone_caller

PATIENCE = 5.0  # seconds; a step that takes longer has failed


class Decider:
    """Keeps the requests that come, and replies with what the steps put into its messages."""

    def __init__(self):
        self.requests = []
        self.hung_up = []  # numbers of requests whose callers have gone

    def step(self, message, now, clock):
        if message[0] == "hung-up":
            self.hung_up.append(message[1])
        if message[0] in ("http", "call"):
            self.requests.append(message[1:])
            return []
        return message[1] if message[0] == "replies" else []


class Port:
    """A host's HTTP port on a free port of this machine, its decider in the steps' hands."""

    def __init__(self, decider=None, patience=PATIENCE):
        self.decider, self.patience = decider or Decider(), patience
        self.host = Host(self.decider, "127.0.0.1:1", None)
        self.http_port = self.host.http_port
        self.connections = 0  # that are being served
        self.newest_caller = None  # of the newest connection
        self.listener = sockets.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()

    def run(self, act):
        """Runs act(self) while the port serves."""

        async def both():
            async with curio.TaskGroup(wait=None) as tasks:
                await tasks.spawn(self._accept, tasks)
                await tasks.spawn(self._decide)
                try:
                    await curio.timeout_after(self.patience, act, self)
                finally:
                    await tasks.cancel_remaining()

        curio.run(both)

    async def _accept(self, tasks):
        server = curio.io.Socket(self.listener)
        while True:
            client, _ = await server.accept()
            await tasks.spawn(self._serve, client)

    async def _serve(self, client):
        self.connections += 1
        async with client:
            self.newest_caller = lone_caller()
            await self.http_port.serve(client, self.newest_caller)
        self.connections -= 1

    async def _decide(self):
        while True:
            await self.host._step(await self.host.inbox.get())

    async def requested(self, count):
        """Waits until so many requests have come."""
        while len(self.decider.requests) < count:
            await curio.sleep(0)

    async def answered(self):
        """Waits until the kernel has the newest connection's answer, or the connection has ended."""
        while self.connections and self.newest_caller.state in (State.WAITING, State.ANSWERING):
            await curio.sleep(0)

    async def reply(self, *numbers):
        """The decider replies to requests, each with its own number."""
        await self.host.inbox.put(("replies", [Reply(number, 200, {"number": number}) for number in numbers]))

    async def connect(self):
        return await curio.open_connection(*self.address)


async def read_numbers(socket, count):
    """The numbers in the given count of answers on a connection, in order."""
    data, numbers = b"", []
    while len(numbers) < count:
        data += await socket.recv(65536)
        numbers = [json.loads(part.split(b"}")[0] + b"}")["number"] for part in data.split(b"\r\n\r\n")[1:]]
    return numbers


def request_of(target):
    return f"POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{{}}".encode()
