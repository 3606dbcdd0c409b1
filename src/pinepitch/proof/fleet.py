"""A whole fleet on one machine: the only part of the project that starts processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import curio

from ..ground import constants, http
from ..ground.env import split
from . import caller, checks


class Plan(NamedTuple):
    """A deployment. Invariants: accords, verges and minions name areas of the plan."""

    accords: tuple  # areas, one an accord
    verges: tuple  # areas, one a verge
    minions: tuple  # (prefix, count, room, labels, guards)
    areas: tuple
    traffic: tuple
    setup: dict
    founders: int


def _row(share, limit, **more):
    return {"share": share, "limit": limit, **more}


PLANS = {
    "small": Plan(
        ("a", "b", "c"), ("a", "b"), (("m", 2, 8, (), True),), ("a", "b", "c"),
        (("job", 2.0, {"queue": "default", "urgency": 4, "count": 3, "shape": "chain", "units": 1, "seconds": 0.1}),),
        {"queues": {"default": _row(16, 16, retries=3)}}, 3),
    "nkansah": Plan(
        ("z1", "z1", "z2", "z3", "z4"), ("z1", "z1", "z2", "z2", "z3", "z3", "z4"),
        (("lamp", 20, 8, (), True), ("image", 8, 4, ("graphics",), True)), ("z1", "z2", "z3", "z4"),
        caller.NKANSAH, {"queues": {
            "field": _row(80, 160, urgency=6, retries=5, preempts=True, yields=False),
            "planning": _row(30, 100, urgency=2, retries=5),
            "feeds": _row(50, 120, urgency=7, retries=5, yields=False),
            "imaging": _row(32, 32, urgency=4, retries=5)}}, 5),
    "pinturas": Plan(
        ("p1", "p2", "p3"), ("p1", "p1", "p2", "p2", "p3", "p3"), (("mix", 33, 4, (), False),),
        ("p1", "p2", "p3"), caller.PINTURAS, {"queues": {
            "counter": _row(66, 132, urgency=7, retries=5, preempts=True, yields=False),
            "planning": _row(33, 100, urgency=2, retries=5),
            "lab": _row(33, 100, urgency=3, retries=5)}}, 3),
}


def free_ports(count):
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
    is stopped by its own number."""

    def __init__(self, plan, folder, level="warning", data=None):
        self.plan, self.folder, self.level = plan, folder, level
        self.data = data or folder
        self.processes = {}
        self.commands = {}
        ports = iter(free_ports(len(plan.accords) + 2 * len(plan.verges) + sum(one[1] for one in plan.minions)))
        self.accords = [(area, f"127.0.0.1:{next(ports)}") for area in plan.accords]
        self.verges = [(area, f"127.0.0.1:{next(ports)}", f"127.0.0.1:{next(ports)}") for area in plan.verges]
        self.minions = []
        for prefix, count, room, labels, guards in plan.minions:
            for place in range(count):
                area = plan.areas[place % len(plan.areas)]
                self.minions.append([f"{prefix}{place}", area, f"127.0.0.1:{next(ports)}", room, list(labels), guards])
        addresses = [one[1] for one in self.accords] + [one[1] for one in self.verges]
        self.seeds = ",".join(addresses[:constants.SEEDS])

    def start(self, name, *command):
        self.commands[name] = command
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-c", *command], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def again(self, name):
        """Starts a process anew with the command it had."""
        self.start(name, *self.commands[name])

    def start_accord(self, place):
        area, address = self.accords[place]
        self.start(f"accord{place}", "from pinepitch.accord.program import main; main()",
                   f"--address={address}", f"--area={area}", f"--seeds={self.seeds}",
                   f"--data={os.path.join(self.data, f'accord{place}')}", f"--founders={self.plan.founders}",
                   f"--level={self.level}")

    def start_verge(self, place):
        area, address, web = self.verges[place]
        self.start(f"verge{place}", "from pinepitch.verge.program import main; main()", f"--address={address}",
                   f"--http={web}", f"--area={area}", f"--seeds={self.seeds}", f"--level={self.level}")

    def start_all(self):
        for place in range(len(self.accords)):
            self.start_accord(place)
        for place in range(len(self.verges)):
            self.start_verge(place)
        self.start_minions()

    def start_minions(self, groups=4):
        verges = ",".join(one[2] for one in self.verges)
        for place in range(groups):
            own = self.minions[place::groups]
            if own:
                path = os.path.join(self.folder, f"minions{place}.json")
                with open(path, "w") as file:
                    json.dump(own, file)
                self.start(f"minions{place}", "from pinepitch.proof.minion_program import main; main()",
                           f"--minions={path}", f"--verges={verges}",
                           f"--history={os.path.join(self.folder, f'minions{place}.history')}")

    def kill(self, name, number=signal.SIGKILL):
        """Signals one process by its number; a killed one is reaped."""
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
            del self.processes[name]

    def stop(self):
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

    def minion_history(self):
        events = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".history"):
                with open(os.path.join(self.folder, name)) as file:
                    events.extend(tuple(json.loads(line)) for line in file if line.endswith("\n"))
        return events

    # --- talking to it ----------------------------------------------------------------
    async def call(self, method, target, document=None, headers=(), verge=0):
        client = http.Client(*split(self.verges[verge % len(self.verges)][2]))
        answer = await curio.ignore_after(5, client.call(method, target, document, headers))
        await client.close()
        return answer

    async def until(self, wanted, seconds=30, what="the condition"):
        """Waits for an awaitable condition to give something true; returns it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await wanted()
            if found:
                return found
            await curio.sleep(0.05)
        raise TimeoutError(f"{what} did not come within {seconds} s")

    async def served(self):
        """True once any verge reads through the leader."""
        answer = await self.call("GET", "/v1/setup", verge=time.time_ns())
        return isinstance(answer, http.Response) and answer.status == 200

    async def set_up(self):
        """Puts the plan's setup in force."""
        await self.until(self.served, 60, "service")

        async def put():
            answer = await self.call("PUT", "/v1/setup", self.plan.setup, (("If-Match", "*"),))
            return isinstance(answer, http.Response) and answer.status == 200
        await self.until(put, 20, "the setup")


class Traffic:
    """A caller stand-in with real sockets. Invariant: at most one answer a call."""

    def __init__(self, fleet, seed=0, rate=1.0, fail=0.02, name="caller"):
        self.fleet = fleet
        self.caller = caller.StandInCaller(name, fleet.plan.traffic, seed, rate, fail)
        self.idle = {}

    async def run(self, seconds):
        """Sends for some seconds, then waits until every ticket but feeds is final."""
        end = time.time() + seconds
        while time.time() < end:
            await self._turn()
        self.caller.stopped = True
        end = time.time() + 60
        while time.time() < end and self._unfinished():
            await self._turn()
        for clients in self.idle.values():
            for client in clients:
                await client.close()
        return self._unfinished()

    def _unfinished(self):
        return [ticket for ticket in self.caller.open] + [one[1] for one in self.caller.retry] + [
            one[1] for one in self.caller.under_way.values() if one[0] == "submit"]

    async def _turn(self):
        for effect in self.caller.step(("tick",), time.time()):
            await curio.spawn(self._call, *effect[1:], daemon=True)
        await curio.sleep(constants.TICK)

    async def _call(self, call, draw, method, target, document):
        web = self.fleet.verges[draw % len(self.fleet.verges)][2]
        clients = self.idle.setdefault(web, [])
        client = clients.pop() if clients else http.Client(*split(web))
        answer = await curio.ignore_after(5, client.call(method, target, document))
        if isinstance(answer, http.Response):
            clients.append(client)
            self.caller.step(("answered", call, answer.status, answer.document), time.time())
        else:
            await client.close()
            self.caller.step(("answered", call, 0, None), time.time())


def summary(history, minion_history):
    """Figures of a run, from the histories alone."""
    accept = sorted(event[4] for event in history if event[0] == "accepted")
    accepted_at = {event[3]: event[1] - event[4] for event in history if event[0] == "accepted"}
    first = {}
    for event in minion_history:
        if event[0] == "start":
            ticket = event[4].partition("/")[0]
            first[ticket] = min(first.get(ticket, 1e18), event[1])
    start = sorted(first[ticket] - accepted_at[ticket] for ticket in first if ticket in accepted_at)
    states = {}
    for event in history:
        if event[0] == "final":
            states[event[3]] = states.get(event[3], 0) + 1

    def at(values, part):
        return round(values[min(len(values) - 1, int(part * len(values)))], 4) if values else None
    return {
        "accepted": len(accept), "shed": sum(one[0] == "shed" for one in history),
        "unanswered": sum(one[0] == "unanswered" for one in history), "states": states,
        "accept_median": at(accept, 0.5), "accept_99": at(accept, 0.99),
        "start_median": at(start, 0.5), "start_99": at(start, 0.99), "started": sum(
            one[0] == "start" for one in minion_history),
    }


def check(fleet, traffic):
    """Faults that the history checks find in a fleet run."""
    documents = {ticket: one[2] for ticket, one in traffic.caller.accepted.items()}
    rooms = {one[0]: one[3] for one in fleet.minions}
    return checks.all_checks(traffic.caller.history, fleet.minion_history(), documents, fleet.plan.setup["queues"], rooms)


def fleet(plan="nkansah", seconds=20, rate=1.0, seed=0, folder=None, level="warning", disturb=""):
    """Runs a deployment as processes under its traffic and checks the histories.

    Args:
        plan: small, nkansah or pinturas.
        seconds: how long tickets come.
        rate: times the brief's traffic.
        disturb: what to do half way: kill-accord, kill-leader, kill-area, wipe, outage, restart-verges.
    """
    folder = folder or tempfile.mkdtemp(prefix="pinepitch-")
    os.makedirs(folder, exist_ok=True)
    one = Fleet(PLANS[plan], folder, level)
    result = curio.run(_fleet, one, seconds, rate, seed, disturb)
    print(json.dumps(result, indent=2))
    if result["faults"] or result["unfinished"]:
        sys.exit(1)


async def _fleet(one, seconds, rate, seed, disturb):
    from .disturb import DISTURBANCES
    begun = time.monotonic()
    one.start_all()
    try:
        await one.set_up()
        up = time.monotonic() - begun
        traffic = Traffic(one, seed, rate)
        running = await curio.spawn(traffic.run, seconds)
        told = None
        if disturb:
            await curio.sleep(seconds / 2)
            told = await DISTURBANCES[disturb](one)
        unfinished = await running.join()
        figures = await one.call("GET", "/v1/figures")
        history = one.minion_history()
        return {"served_after": round(up, 2), "disturbed": told, "figures": getattr(figures, "document", None),
                "summary": summary(traffic.caller.history, history), "unfinished": unfinished[:20],
                "faults": check(one, traffic)[:20], "folder": one.folder}
    finally:
        one.stop()
