"""A whole fleet on one machine: the only part of the project that starts processes."""

import copy
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

from ..common import constants
from ..common.daemon_settings import split
from ..transport import http
from . import checks, stand_in_client


class Plan(NamedTuple):
    """A deployment. Invariants: accords, verges and minions name areas of the plan."""

    control_daemons: tuple  # areas, one an accord
    fronts: tuple  # areas, one a verge
    workers: tuple  # (prefix, count, room, labels, guards)
    zones: tuple
    traffic: tuple
    setup: dict
    founders: int


def _queue_settings(share, limit, **more):
    return {"share": share, "limit": limit, **more}


PLANS = {
    "small": Plan(
        ("a", "b", "c"),
        ("a", "b"),
        (("m", 2, 8, (), True),),
        ("a", "b", "c"),
        (
            (
                "job",
                2.0,
                {"queue": "default", "urgency": 4, "count": 3, "shape": "chain", "units": 1, "seconds": 0.1},
            ),
        ),
        {"queues": {"default": _queue_settings(16, 16, retries=3)}},
        3,
    ),
    "nkansah": Plan(
        ("z1", "z1", "z2", "z3", "z4"),
        ("z1", "z1", "z2", "z2", "z3", "z3", "z4"),
        (("lamp", 20, 8, (), True), ("image", 8, 4, ("graphics",), True)),
        ("z1", "z2", "z3", "z4"),
        stand_in_client.NKANSAH,
        {
            "queues": {
                "field": _queue_settings(80, 160, urgency=6, retries=5, preempts=True, yields=False),
                "planning": _queue_settings(30, 100, urgency=2, retries=5),
                "feeds": _queue_settings(50, 120, urgency=7, retries=5, yields=False),
                "imaging": _queue_settings(32, 32, urgency=4, retries=5),
            }
        },
        5,
    ),
    "pinturas": Plan(
        ("p1", "p2", "p3"),
        ("p1", "p1", "p2", "p2", "p3", "p3"),
        (("mix", 33, 4, (), False),),
        ("p1", "p2", "p3"),
        stand_in_client.PINTURAS,
        {
            "queues": {
                "counter": _queue_settings(66, 132, urgency=7, retries=5, preempts=True, yields=False),
                "planning": _queue_settings(33, 100, urgency=2, retries=5),
                "lab": _queue_settings(33, 100, urgency=3, retries=5),
            }
        },
        3,
    ),
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
        self.absences = []  # [minion, from, to] of being frozen or gone
        self.operator = FleetOperator(self)
        ports = iter(
            free_ports(
                2 * len(plan.control_daemons) + 2 * len(plan.fronts) + sum(one[1] for one in plan.workers)
            )
        )
        self.control_daemons = [(zone, f"127.0.0.1:{next(ports)}") for zone in plan.control_daemons]
        self.own = [
            f"127.0.0.1:{next(ports)}" for _ in plan.control_daemons
        ]  # the accords' ports for metrics
        self.fronts = [(zone, f"127.0.0.1:{next(ports)}", f"127.0.0.1:{next(ports)}") for zone in plan.fronts]
        self.workers = []
        for prefix, count, room, labels, guards in plan.workers:
            for place in range(count):
                zone = plan.zones[place % len(plan.zones)]
                self.workers.append(
                    [f"{prefix}{place}", zone, f"127.0.0.1:{next(ports)}", room, list(labels), guards]
                )
        addresses = [one[1] for one in self.control_daemons] + [one[1] for one in self.fronts]
        self.seeds = ",".join(addresses[: constants.SEEDS])

    def start(self, name, *command):
        self.commands[name] = command
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-c", *command], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def again(self, name):
        """Starts a process anew with the command it had."""
        self.start(name, *self.commands[name])

    def start_control_daemon(self, place):
        zone, address = self.control_daemons[place]
        self.start(
            f"accord{place}",
            "from pinepitch.control.program import main; main()",
            f"--address={address}",
            f"--area={zone}",
            f"--seeds={self.seeds}",
            f"--data={os.path.join(self.data, f'accord{place}')}",
            f"--founders={self.plan.founders}",
            f"--level={self.level}",
            *([f"--http={self.own[place]}"] if place < len(self.own) else []),
        )

    def start_front(self, place):
        zone, address, web = self.fronts[place]
        self.start(
            f"verge{place}",
            "from pinepitch.front.program import main; main()",
            f"--address={address}",
            f"--http={web}",
            f"--area={zone}",
            f"--seeds={self.seeds}",
            f"--level={self.level}",
        )

    def start_all(self):
        for place in range(len(self.control_daemons)):
            self.start_control_daemon(place)
        for place in range(len(self.fronts)):
            self.start_front(place)
        self.start_workers()

    def start_workers(self, groups=4):
        """The first minion has a process of its own, so that it can be frozen or killed alone."""
        self._start_workers("minions-alone", self.workers[:1])
        for place in range(groups):
            self._start_workers(f"minions{place}", self.workers[1 + place :: groups])

    def _start_workers(self, name, own):
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

    def lose_worker(self):
        """Kills the minion that is alone; what it ran is noted as gone for the checks."""
        name, moment = self.workers[0][0], time.time()
        self.kill("minions-alone")
        events = [one for one in self.worker_history() if one[2] == name]
        over = {(one[4], one[5]) for one in events if one[0] in ("end", "gone")}
        with open(os.path.join(self.folder, "lost.history"), "a") as file:
            for one in events:
                if one[0] == "start" and (one[4], one[5]) not in over:
                    file.write(json.dumps(["gone", moment, name, one[3], one[4], one[5]]) + "\n")
        self.absences.append([name, moment, 1e18])

    def add_control_daemon(self, zone, seeds):
        """A further accord with an empty folder at a new address; its place."""
        place = len(self.control_daemons)
        self.control_daemons.append((zone, f"127.0.0.1:{free_ports(1)[0]}"))
        self.seeds = ",".join(seeds)
        self.start_control_daemon(place)
        return place

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

    def worker_history(self):
        events = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".history"):
                with open(os.path.join(self.folder, name)) as file:
                    events.extend(tuple(json.loads(line)) for line in file if line.endswith("\n"))
        return events

    # --- talking to it ----------------------------------------------------------------
    async def call(self, method, target, document=None, headers=(), front=0):
        client = http.Client(*split(self.fronts[front % len(self.fronts)][2]))
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
        answer = await self.call("GET", "/v1/setup", front=time.time_ns())
        return isinstance(answer, http.Response) and answer.status == 200

    async def set_up(self):
        """Puts the plan's setup in force."""
        await self.until(self.served, 60, "service")

        async def put():
            answer = await self.call("PUT", "/v1/setup", self.plan.setup, (("If-Match", "*"),))
            return isinstance(answer, http.Response) and answer.status == 200

        await self.until(put, 20, "the setup")


class FleetOperator:
    """A stand-in operator of a fleet. Invariants: as of Operator: what is acknowledged is
    kept, with when it was, for the checks that both share."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.changes, self.refused, self.maybe, self.spans = [], [], [], []
        self.withdrawn = set()
        self.count = 0

    async def persist(self, method, target, document=None, headers=(), seconds=30):
        """Asks at one verge after another until answered other than 429 or 503."""

        async def answered():
            self.count += 1
            answer = await self.fleet.call(method, target, document, headers, front=self.count)
            return isinstance(answer, http.Response) and answer.status not in (429, 503) and answer

        return await self.fleet.until(answered, seconds, f"an answer to {method} {target}")

    async def change(self, document, base=None, manner="merge"):
        """One change, sent once; its status."""
        self.count += 1
        reason, asked = f"change {self.count}", time.time()
        answer = await self.fleet.call(
            "PATCH" if manner == "merge" else "PUT",
            "/v1/setup",
            document,
            (("If-Match", "*" if base is None else f'"{base}"'), ("X-Reason", reason)),
            front=self.count,
        )
        status = answer.status if isinstance(answer, http.Response) else 0
        if status == 200:
            self.changes.append(
                (asked, time.time(), answer.document["version"], manner, document, base, reason)
            )
        elif status in (409, 422):
            self.refused.append(reason)
        else:
            self.maybe.append((asked, document))
        return status

    async def close(self, kind, subject):
        act = f"/v1/minions/{subject}/drain" if kind == "minion" else f"/v1/areas/{subject}/empty"
        if (await self.persist("POST", act)).status == 200:
            self.spans.append([kind, subject, time.time(), None])

    async def open(self, kind, subject):
        act = f"/v1/minions/{subject}/undrain" if kind == "minion" else f"/v1/areas/{subject}/take-back"
        begun = time.time()
        await self.persist("POST", act)
        for span in self.spans:
            if span[:2] == [kind, subject]:
                span[3] = begun

    async def withdraw(self, minion, due):
        await self.persist("POST", f"/v1/minions/{minion}/withdraw", {"due": due})
        self.spans.append(["minion", minion, time.time(), None])
        self.withdrawn.add(minion)

    async def check(self):
        """Faults in what was acknowledged, as read at every verge."""
        histories, documents = [], {}
        for place in range(len(self.fleet.fronts)):
            answer = await self.fleet.call("GET", "/v1/setup/versions", front=place)
            if not isinstance(answer, http.Response) or answer.status != 200:
                answer = await self.persist("GET", "/v1/setup/versions")
            histories.append(answer.document)
        for version in {one for change in self.changes for one in (change[2], change[2] - 1)}:
            documents[version] = (await self.persist("GET", f"/v1/setup/versions/{version}")).document[
                "setup"
            ]
        zones = {one[0]: one[1] for one in self.fleet.workers}
        return [
            *checks.queue_configurations_kept(histories, documents, self.changes, self.refused),
            *checks.closed_kept(self.fleet.worker_history(), self.spans, zones),
        ]


class Traffic:
    """A caller stand-in with real sockets. Invariant: at most one answer a call."""

    def __init__(self, fleet, seed=0, rate=1.0, fail=0.02, name="caller", cancels=0.02):
        self.fleet = fleet
        self.caller = stand_in_client.StandInClient(
            name, fleet.plan.traffic, seed, rate, fail, cancels=cancels
        )
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
        return (
            [pushed_job for pushed_job in self.caller.open]
            + [one[1] for one in self.caller.retry]
            + [one[1] for one in self.caller.pending_calls.values() if one[0] == "submit"]
        )

    async def _turn(self):
        for effect in self.caller.step(("tick",), time.time()):
            await curio.spawn(self._call, *effect[1:], daemon=True)
        await curio.sleep(constants.TICK)

    async def _call(self, call, draw, method, target, document):
        web = self.fleet.fronts[draw % len(self.fleet.fronts)][2]
        clients = self.idle.setdefault(web, [])
        client = clients.pop() if clients else http.Client(*split(web))
        answer = await curio.ignore_after(5, client.call(method, target, document))
        if isinstance(answer, http.Response):
            clients.append(client)
            self.caller.step(("answered", call, answer.status, answer.document), time.time())
        else:
            await client.close()
            self.caller.step(("answered", call, 0, None), time.time())


def summary(history, worker_history):
    """Figures of a run, from the histories alone."""
    accept = sorted(event[4] for event in history if event[0] == "accepted")
    accepted_at = {event[3]: event[1] - event[4] for event in history if event[0] == "accepted"}
    first = {}
    for event in worker_history:
        if event[0] == "start":
            pushed_job = event[4].partition("/")[0]
            first[pushed_job] = min(first.get(pushed_job, 1e18), event[1])
    start = sorted(
        first[pushed_job] - accepted_at[pushed_job] for pushed_job in first if pushed_job in accepted_at
    )
    states = {}
    for event in history:
        if event[0] == "final":
            states[event[3]] = states.get(event[3], 0) + 1

    def at(values, part):
        return round(values[min(len(values) - 1, int(part * len(values)))], 4) if values else None

    return {
        "accepted": len(accept),
        "shed": sum(one[0] == "shed" for one in history),
        "unanswered": sum(one[0] == "unanswered" for one in history),
        "states": states,
        "accept_median": at(accept, 0.5),
        "accept_99": at(accept, 0.99),
        "start_median": at(start, 0.5),
        "start_99": at(start, 0.99),
        "started": sum(one[0] == "start" for one in worker_history),
    }


def check(fleet, traffic):
    """Faults that the history checks find in a fleet run."""
    documents = {pushed_job: one[2] for pushed_job, one in traffic.caller.accepted.items()}
    capacities = {one[0]: one[3] for one in fleet.workers}
    return checks.all_checks(
        traffic.caller.history,
        fleet.worker_history(),
        documents,
        fleet.plan.setup["queues"],
        capacities,
        fleet.absences,
        fleet.operator.withdrawn,
    )


def fleet(plan="nkansah", seconds=20, rate=1.0, seed=0, folder=None, level="warning", disturb=""):
    """Runs a deployment as processes under its traffic and checks the histories.

    Args:
        plan: small, nkansah or pinturas.
        seconds: how long tickets come.
        rate: times the brief's traffic.
        disturb: what to do half way; `pinepitch disturbances` lists all.
    """
    folder = folder or tempfile.mkdtemp(prefix="pinepitch-")
    os.makedirs(folder, exist_ok=True)
    result = curio.run(run, Fleet(PLANS[plan], folder, level), seconds, rate, seed, disturb)
    print(json.dumps(result, indent=2))
    if result["faults"] or result["unfinished"]:
        sys.exit(1)


async def run(one, seconds, rate=1.0, seed=0, disturb=""):
    """One fleet from its start to its checks; what was seen."""
    from .fleet_faults import FLEET_FAULTS

    begun = time.monotonic()
    one.start_all()
    try:
        await one.set_up()
        up = time.monotonic() - begun
        traffic = Traffic(one, seed, rate)
        running = await curio.spawn(traffic.run, seconds)
        observed = None
        if disturb:
            await curio.sleep(min(5.0, seconds / 2))
            observed = await FLEET_FAULTS[disturb](one)
        unfinished = await running.join()
        figures = await one.call("GET", "/v1/figures")
        history = one.worker_history()
        return {
            "served_after": round(up, 2),
            "disturbed": observed,
            "figures": getattr(figures, "document", None),
            "summary": summary(traffic.caller.history, history),
            "unfinished": unfinished[:20],
            "faults": (check(one, traffic) + await one.operator.check())[:20],
            "folder": one.folder,
        }
    finally:
        one.stop()


def disturbances(plans="nkansah,pinturas", only="", seconds=12):
    """Runs every disturbance on the plans, one after another, and prints a table.

    Args:
        plans: names of plans, parted by commas.
        only: names of disturbances, parted by commas; all when empty.
        seconds: how long tickets come in each run.
    """
    from .fleet_faults import FLEET_FAULTS

    names = [one for one in (only.split(",") if isinstance(only, str) else only) if one] or list(FLEET_FAULTS)
    failed = 0
    print(f"{'plan':10}{'disturbance':20}{'accepted':>9}{'shed':>6}{'faults':>7}  seen")
    for plan in plans.split(",") if isinstance(plans, str) else plans:
        for name in names:
            with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
                try:
                    result = curio.run(run, Fleet(PLANS[plan], folder), seconds, 1.0, 0, name)
                except TimeoutError as late:
                    result = {
                        "summary": {"accepted": 0, "shed": 0},
                        "faults": [str(late)],
                        "unfinished": [],
                        "disturbed": None,
                    }
            faults = result["faults"] + [f"unfinished: {one}" for one in result["unfinished"]]
            failed += bool(faults)
            seen = result["summary"]
            print(
                f"{plan:10}{name:20}{seen['accepted']:9}{seen['shed']:6}{len(faults):7}"
                f"  {json.dumps(result['disturbed'])}",
                flush=True,
            )
            for one in faults[:4]:
                print(f"    {one}", flush=True)
    print(f"{failed} runs with faults")
    if failed:
        sys.exit(1)


def traffic(front="127.0.0.1:8080", seconds=30, rate=1.0):
    """Sends stand-in tickets to one verge's queue `default` for some seconds."""

    class Running(NamedTuple):
        """What Traffic needs of a fleet that runs already."""

        plan: Plan
        fronts: tuple

    shape = {"queue": "default", "urgency": 4, "count": 3, "shape": "fan", "units": 1, "seconds": 0.6}
    plan = PLANS["small"]._replace(traffic=(("job", 2.0, shape),))
    one = Traffic(
        Running(plan, (("", "", front),)), time.time_ns(), rate, 0.0, f"try-{time.time_ns()}", cancels=0.0
    )
    unfinished = curio.run(one.run, seconds)
    print(f"{len(one.caller.accepted)} tickets accepted, {len(unfinished)} not finished")


# What a forecast is tried on: (plan, queue, a narrow and a wide limit for it).
FORECASTS = (("nkansah", "imaging", 2, 16), ("pinturas", "lab", 1, 16))


async def forecast(one, queue, before, after, seconds):
    """A draft from one limit to another is rehearsed and put in force by the emergency way;
    its forecast beside the waits that callers and minions then saw."""
    one.plan.setup["queues"][queue].update(share=before, limit=before)
    one.start_all()
    try:
        await one.set_up()
        traffic = Traffic(one, 0, 1.0, 0.0, cancels=0.0)
        running = await curio.spawn(traffic.run, 2 * seconds + 120)
        await curio.sleep(seconds)
        version = (await one.operator.persist("GET", "/v1/setup")).document["version"]
        patch = {"queues": {queue: {"share": after, "limit": after}}}
        draft = (
            await one.operator.persist("POST", "/v1/drafts", {"base": version, "patch": patch})
        ).document["draft"]
        await one.operator.persist("POST", f"/v1/drafts/{draft}/rehearse")

        async def measured():
            answer = await one.operator.persist("GET", f"/v1/drafts/{draft}")
            return answer.document["state"] == "measured" and answer.document["measure"]

        measure = await one.until(measured, 90, "the measurement")
        await one.operator.change(patch, version)
        changed = time.time()
        await curio.sleep(seconds)
        await running.cancel()
        first = {}
        for event in one.worker_history():
            if event[0] == "start":
                pushed_job = event[4].partition("/")[0]
                first[pushed_job] = min(first.get(pushed_job, 1e18), event[1])
        waits = {"before": [], "after": []}
        for pushed_job, (_, accepted, document) in traffic.caller.accepted.items():
            if document["queue"] == queue:
                waits["before" if accepted < changed else "after"].append(
                    first.get(pushed_job, time.time()) - accepted
                )
        line = next(line for line in measure["queues"] if line["queue"] == queue)
        seen = {
            name: round(sorted(found)[len(found) // 2], 3) if found else None for name, found in waits.items()
        }
        return {
            "verdict": measure["verdict"],
            "why": measure["why"],
            "forecast_median": [line["wait_median"], line["draft_wait_median"]],
            "seen_median_first_start": [seen["before"], seen["after"]],
            "tickets": [len(waits["before"]), len(waits["after"])],
        }
    finally:
        one.stop()


def forecasts(seconds=20):
    """Prints, for each deployment, what rehearsal forecast of a good and of a bad draft and
    what was then seen."""
    for plan, queue, narrow, wide in FORECASTS:
        for before, after in ((narrow, wide), (wide, narrow)):
            with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
                observed = curio.run(
                    forecast, Fleet(copy.deepcopy(PLANS[plan]), folder), queue, before, after, seconds
                )
            print(f"{plan} {queue}.limit {before} -> {after}: {json.dumps(observed)}", flush=True)
