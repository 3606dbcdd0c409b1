"""A whole fleet on one machine: the only part of the project that starts processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio

from ...common import constants
from ...common.daemon_settings import split
from ...transport import http, http_client
from .fleet_operator import FleetOperator
from .plans import Headers, Plan


def free_ports(count: int) -> list[int]:
    """Ports nobody listens on now."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Fleet:
    """Invariants: processes holds every process started and not yet reaped, by name; each
    is stopped by its own number.
    """

    def __init__(self, plan: Plan, folder: str, level: str = "warning", data: str | None = None) -> None:
        self.plan, self.folder, self.level = plan, folder, level
        self.data = data or folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, tuple[str, ...]] = {}
        self.absences: list[list[Any]] = []  # [worker, from, to] of being frozen or gone
        self.operator = FleetOperator(self)
        ports = iter(
            free_ports(
                2 * len(plan.control_daemons) + 2 * len(plan.fronts) + sum(one[1] for one in plan.workers)
            )
        )
        self.control_daemons = [(zone, f"127.0.0.1:{next(ports)}") for zone in plan.control_daemons]
        self.own = [
            f"127.0.0.1:{next(ports)}" for _ in plan.control_daemons
        ]  # the control daemons' ports for metrics
        self.fronts = [(zone, f"127.0.0.1:{next(ports)}", f"127.0.0.1:{next(ports)}") for zone in plan.fronts]
        self.workers: list[list[Any]] = []  # [name, zone, address, capacity, labels, guards]
        for prefix, count, capacity, labels, guards in plan.workers:
            for place in range(count):
                zone = plan.zones[place % len(plan.zones)]
                self.workers.append(
                    [f"{prefix}{place}", zone, f"127.0.0.1:{next(ports)}", capacity, list(labels), guards]
                )
        addresses = [one[1] for one in self.control_daemons] + [one[1] for one in self.fronts]
        self.seeds = ",".join(addresses[: constants.SEEDS])

    def start(self, name: str, *command: str) -> None:
        """Starts a process by a Python command with arguments; its output goes to NAME.log."""
        self.commands[name] = command
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-c", *command], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def again(self, name: str) -> None:
        """Starts a process anew with the command it had."""
        self.start(name, *self.commands[name])

    def start_control_daemon(self, place: int) -> None:
        """Starts the control daemon at that place of the list."""
        zone, address = self.control_daemons[place]
        self.start(
            f"accord{place}",
            "from pinepitch.control.program import main; main()",
            f"--address={address}",
            f"--zone={zone}",
            f"--seeds={self.seeds}",
            f"--data={os.path.join(self.data, f'accord{place}')}",
            f"--bootstrap-size={self.plan.founders}",
            f"--level={self.level}",
            *([f"--http={self.own[place]}"] if place < len(self.own) else []),
        )

    def start_front(self, place: int) -> None:
        """Starts the front daemon at that place of the list."""
        zone, address, web = self.fronts[place]
        self.start(
            f"verge{place}",
            "from pinepitch.front.program import main; main()",
            f"--address={address}",
            f"--http={web}",
            f"--zone={zone}",
            f"--seeds={self.seeds}",
            f"--level={self.level}",
        )

    def start_all(self) -> None:
        """Starts all daemons and workers."""
        for place in range(len(self.control_daemons)):
            self.start_control_daemon(place)
        for place in range(len(self.fronts)):
            self.start_front(place)
        self.start_workers()

    def start_workers(self, groups: int = 4) -> None:
        """The first worker has a process of its own, so that it can be frozen or killed alone."""
        self._start_workers("minions-alone", self.workers[:1])
        for place in range(groups):
            self._start_workers(f"minions{place}", self.workers[1 + place :: groups])

    def _start_workers(self, name: str, own: list[list[Any]]) -> None:
        if own:
            path = os.path.join(self.folder, f"{name}.json")
            with open(path, "w") as file:
                json.dump(own, file)
            self.start(
                name,
                "from pinepitch.simulation.worker_program import main; main()",
                f"--minions={path}",
                f"--verges={','.join(one[2] for one in self.fronts)}",
                f"--history={os.path.join(self.folder, f'{name}.history')}",
            )

    def lose_worker(self) -> None:
        """Kills the worker that is alone; what it ran is noted as gone for the checks."""
        name, moment = self.workers[0][0], time.time()
        self.kill("minions-alone")
        events = [one for one in self.worker_history() if one[2] == name]
        over = {(one[4], one[5]) for one in events if one[0] in ("end", "gone")}
        with open(os.path.join(self.folder, "lost.history"), "a") as file:
            for one in events:
                if one[0] == "start" and (one[4], one[5]) not in over:
                    file.write(json.dumps(["gone", moment, name, one[3], one[4], one[5]]) + "\n")
        self.absences.append([name, moment, 1e18])

    def add_control_daemon(self, zone: str, seeds: Iterable[str]) -> int:
        """A further control daemon with an empty folder at a new address; its place."""
        place = len(self.control_daemons)
        self.control_daemons.append((zone, f"127.0.0.1:{free_ports(1)[0]}"))
        self.seeds = ",".join(seeds)
        self.start_control_daemon(place)
        return place

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Signals one process by its number; a killed one is reaped."""
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
            del self.processes[name]

    def stop(self) -> None:
        """Asks all processes to end and kills those that have not within 5 s."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        until = time.monotonic() + 5
        for process in self.processes.values():
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes = {}

    def worker_history(self) -> list[tuple[Any, ...]]:
        """The events that all workers have written, as tuples."""
        events: list[tuple[Any, ...]] = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".history"):
                with open(os.path.join(self.folder, name)) as file:
                    events.extend(tuple(json.loads(line)) for line in file if line.endswith("\n"))
        return events

    # --- talking to it ----------------------------------------------------------------
    async def call(
        self, method: str, target: str, document: Any = None, headers: Headers = (), front: int = 0
    ) -> Any:
        """One HTTP call to a front daemon; its answer, or None after 5 s."""
        client = http_client.Client(*split(self.fronts[front % len(self.fronts)][2]))
        answer = await curio.ignore_after(5, client.call(method, target, document, headers))
        await client.close()
        return answer

    async def until(
        self, wanted: Callable[[], Awaitable[Any]], seconds: float = 30, what: str = "the condition"
    ) -> Any:
        """Waits for an awaitable condition to give something true; returns it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await wanted()
            if found:
                return found
            await curio.sleep(0.05)
        raise TimeoutError(f"{what} did not come within {seconds} s")

    async def served(self) -> bool:
        """True once any front daemon reads through the leader."""
        answer = await self.call("GET", "/v1/setup", front=time.time_ns())
        return isinstance(answer, http.Response) and answer.status == 200

    async def set_up(self) -> None:
        """Puts the plan's queue configuration in force."""
        await self.until(self.served, 60, "service")

        async def put() -> bool:
            answer = await self.call("PUT", "/v1/setup", self.plan.queue_configuration, (("If-Match", "*"),))
            return isinstance(answer, http.Response) and answer.status == 200

        await self.until(put, 20, "the setup")
