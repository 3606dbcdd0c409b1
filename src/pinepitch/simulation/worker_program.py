"""A stand-in worker, or several, as one process with real sockets."""

import json
import time

import curio
import fire

from ..common import constants
from ..common.daemon_settings import split
from ..transport import http, http_client, http_server
from .stand_in_worker import StandInWorker


class WorkerHost:
    """Runs stand-in workers. Invariant: only its own tasks touch a worker, each to the end
    of a step before another may.
    """

    def __init__(self, workers, fronts, history_path):
        self.workers, self.fronts = workers, fronts
        self.file = open(history_path, "a", buffering=1) if history_path else None
        self.turn = 0

    async def run(self):
        """Serves all workers until the process ends."""
        async with curio.TaskGroup() as group:
            for worker in self.workers:
                host, port = split(worker.address)
                await group.spawn(self._server, host, port, worker)
                await group.spawn(self._serve_incarnation, worker)

    async def _server(self, host, port, worker):
        async def serve(socket, address):
            server = http_server.Server(socket)
            while True:
                request = await server.receive()
                if isinstance(request, http.Fault):
                    return
                kind = {"/v1/orders": "order", "/v1/kills": "kill"}.get(request.target)
                if kind is None:
                    await server.answer(http.error_response(404, "unknown", "no such way"))
                    continue
                effects = worker.step((kind, 0, json.loads(request.body)), time.time())
                self._flush(worker)
                for _, _, status, document in effects:
                    if not await server.answer(http.Response(status, document)):
                        return

        await curio.tcp_server(host, port, serve)

    def _flush(self, worker):
        for event in worker.history:
            if self.file:
                self.file.write(json.dumps(event) + "\n")
        worker.history.clear()

    async def _serve_incarnation(self, worker):
        client = None
        while True:
            effects = worker.step(("tick",), time.time())
            self._flush(worker)
            for _, document in effects:
                if client is None:
                    self.turn += 1
                    client = http_client.Client(*split(self.fronts[self.turn % len(self.fronts)]))
                answer = await curio.ignore_after(
                    constants.FORWARD_TIMEOUT + 0.5, client.call("POST", "/v1/reports", document)
                )
                if isinstance(answer, http.Response):
                    worker.step(("reported", answer.status, answer.document), time.time())
                if not isinstance(answer, http.Response) or answer.status >= 500:
                    worker.step(("reported", 0, None), time.time())
                    await client.close()
                    client = None
                    await curio.sleep(constants.TICK)
            await curio.sleep(constants.TICK)


def run(minions, verges, history=None):
    """Runs the workers of a JSON file: [[name, zone, address, capacity, [labels], guards], ...]."""
    with open(minions) as file:
        minions = json.load(file)
    made = [
        StandInWorker(name, zone, address, capacity, labels, guards, seed=time.time_ns())
        for name, zone, address, capacity, labels, guards in minions
    ]
    if isinstance(verges, str):
        verges = verges.split(",")
    curio.run(WorkerHost(made, list(verges), history).run)


def main():
    """The command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
