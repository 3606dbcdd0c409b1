"""A scale run: real daemons beside hollow workers and callers that share one process, and what
each daemon spends. One thing is varied at a time, so that every slope has its own cause.

A hollow worker is a stand-in tenant that beats over a link to an accord, with the frames in which
an accord or a verge carries a call. Its figures hold for the frames; the platform's HTTP ports cost
more on top, which `costs` measures alone.
"""

import cProfile
import gc
import json
import os
import pstats
import random
import tempfile
import time
import tracemalloc
from typing import NamedTuple

import curio
import h11
from prometheus_client.parser import text_string_to_metric_families

from ..accord.core import Accord
from ..ground import constants, http, wire
from ..ground.env import split
from ..ground.link import Link
from ..ground.packed import unpacked
from ..tenure.board import Board
from ..tenure.job import checked
from . import tenancy
from .fleet import PLANS, Fleet, free_ports
from .tenant import StandInTenant

PASS = 0.01  # seconds; between two looks at which hollow worker is due
ADVANCE = 0.1  # seconds; a worker that runs something is moved on this often
SETTLE = 3.0  # seconds; after a load is in place, before it is measured
PLACED_WITHIN = 60.0  # seconds; until the runs asked for are all under way
JOB_TASKS = 5  # tasks; of one short job
SHORT, LONG = 0.2, 120.0  # seconds; of a short task, and of one that only runs
SATURATED = 0.85  # of a core; a daemon that spends more is no point of a line
BATCH = 50  # jobs; handed in and cancelled together while a load is put in place
RACK = 24  # workers; in one rack
TEAMS = 39  # teams; a route for each stands in the configuration
CORE, MEMORY, BYTES = 0.028, 128e6, 23e3  # one daemon's part: of a core, bytes, bytes a second
DATA = os.environ.get(
    "TMPDIR", "/tmp"
)  # where the data folders lie: say a file system in memory to leave the disk out
TICKS = os.sysconf("SC_CLK_TCK")

# A daemon's own program, with its frames counted by kind into a file.
COUNTING = """
import json, os, threading, time
from pinepitch.ground import wire
from pinepitch.{kind}.program import main
counts, encode, decode = {{"in": {{}}, "out": {{}}}}, wire.encode, wire.decode
def note(way, size, message):
    kind = message[0] + (" " + message[4][0] if message[0] == "raft" else " " + message[3] if message[0] == "ask" else "")
    one = counts[way].setdefault(kind, [0, 0])
    one[0] += 1
    one[1] += size
def counted_encode(source, message):
    frame = encode(source, message)
    note("out", len(frame), message)
    return frame
def counted_decode(body):
    frame = decode(body)
    if not isinstance(frame, wire.Refused):
        note("in", len(body) + 4, frame[1])
    return frame
def tell():
    while True:
        time.sleep(0.2)
        with open({path!r} + ".aside", "w") as file:
            json.dump({{way: dict(kinds) for way, kinds in counts.items()}}, file)
        os.replace({path!r} + ".aside", {path!r})
wire.encode, wire.decode = counted_encode, counted_decode
threading.Thread(target=tell, daemon=True).start()
main()
"""


class Load(NamedTuple):
    """What a run bears. Invariant: rates are of a second."""

    workers: int = 50
    running: int = 0  # tasks that run all the time
    starts: float = 0  # starts of short tasks
    changes: float = 0  # changes of configuration
    kept: int = 0  # jobs that are over and still readable
    calls: float = 0  # calls of callers through a verge
    waiting: int = 0  # tasks that wait behind full workers, of jobs of JOB_TASKS
    accords: int = 3
    verges: int = 1


# name -> (the field varied, its sizes, the rest of the load)
SWEEPS = {
    "workers": ("workers", (10, 25, 50, 100, 200, 400, 770), Load()),
    "running": ("running", (0, 100, 200, 400), Load(workers=50)),
    "starts": ("starts", (0, 10, 30, 87), Load(workers=50)),
    "changes": ("changes", (0, 2, 5, 10), Load(workers=10)),
    "kept": ("kept", (0, 1000, 2000, 4000), Load(workers=10)),
    "calls": ("calls", (0, 20, 50, 100), Load(workers=10)),
    "waiting": ("waiting", (0, 200, 1000, 4000), Load(workers=50)),
    "accords": ("accords", (3, 5, 7, 9), Load(workers=10)),
    "verges": ("verges", (1, 3, 7), Load(workers=10)),
    "site": ("workers", (770,), Load(running=3400, starts=87, changes=0.005, kept=17)),
}


class HollowWorker(StandInTenant):
    """A stand-in tenant that tells progress in fractions, so that a long task never stands still."""

    def _percent(self, one):
        return 0 if not one["seconds"] else min(99.0, round(100 * one["progress"] / one["seconds"], 3))


class Hollow:
    """One process's hollow workers and callers, with one address. Invariants: calls holds every
    call not yet answered, by its token; jobs every job handed in, as the checks read them."""

    def __init__(self, accords, load, seed):
        self.load, self.accords, self.random = load, accords, random.Random(f"scale-{seed}")
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.leader, self.turn = None, 0
        self.history, self.gangs, self.jobs, self.links, self.calls = [], {}, {}, {}, {}
        self.count = self.version = 0
        self.bytes_in = self.bytes_out = 0
        self.answers, self.refused, self.beat_waits, self.change_waits, self.lags = {}, {}, [], [], []
        self.workers = [self._worker(place, seed) for place in range(load.workers)]
        self.tasks = curio.TaskGroup(wait=None)

    def _worker(self, place, seed):
        worker = HollowWorker(
            f"w{place}",
            "abc"[place % 3],
            f"10.0.{place // 250}.{place % 250}:1",
            tenancy.ROOM,
            ["ab"[place // 2 % 2], f"r{place // RACK}"],
            True,
            seed,
            self.history,
            "bare" if place % 2 else "held",
            self.accords,
            self.gangs,
        )
        worker.next_at = time.monotonic() + self.random.uniform(0, 0.5)
        return worker

    # --- frames -----------------------------------------------------------------------
    async def serve(self, socket, address):
        """Frames that daemons send here."""
        held = bytearray()
        while True:
            data = await socket.recv(262_144)
            if not data:
                return
            self.bytes_in += len(data)
            held += data
            place = 0
            while len(held) - place >= wire.LENGTH.size:
                (length,) = wire.LENGTH.unpack_from(held, place)
                if len(held) - place - wire.LENGTH.size < length:
                    break
                place += wire.LENGTH.size
                frame = wire.decode(bytes(held[place : place + length]))
                place += length
                if not isinstance(frame, wire.Refused):
                    await self._heard(*frame[1])
            del held[:place]

    async def _send(self, address, message):
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address)
            await self.tasks.spawn(link.run)
        frame = wire.encode(self.address, message)
        self.bytes_out += len(frame)
        await link.put(frame)

    async def ask(self, call, arguments, told, address=None):
        """Carries one call; told(status, document) is called with its answer."""
        self.count += 1
        token = f"hollow~{self.count}"
        if address is None:
            self.turn += 1
            address = self.leader or self.accords[self.turn % len(self.accords)]
        self.calls[token] = [call, arguments, told, time.monotonic()]
        await self._send(address, ("ask", self.address, token, call, arguments))

    async def _heard(self, kind, *rest):
        token = rest[0] if rest else None
        call = self.calls.get(token)
        if call is None:
            return
        if kind == "elsewhere" and rest[1]:
            self.leader = rest[1]
            await self._send(rest[1], ("ask", self.address, token, *call[:2]))
            return
        del self.calls[token]
        status, document = rest[1][:2] if kind == "answer" else (503, {})
        self.answers[call[0]] = self.answers.get(call[0], 0) + 1
        if status != 200:
            self.refused[(call[0], status)] = self.refused.get((call[0], status), 0) + 1
        call[2](status, document)

    async def persist(self, call, arguments, seconds=20):
        """The answer to a call that is sent again until it is taken."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            got = []
            await self.ask(call, arguments, lambda *answer: got.append(answer))
            asked = time.monotonic()
            while not got and time.monotonic() - asked < 2:
                await curio.sleep(PASS)
            if got and got[0][0] not in (429, 503):
                return got[0]
            await curio.sleep(0.1)
        raise TimeoutError(f"{call} was not answered within {seconds} s")

    # --- workers ----------------------------------------------------------------------
    async def work(self):
        """Moves the workers on."""
        before = time.monotonic()
        while True:
            for worker in self.workers:
                now = time.monotonic()
                if (
                    worker.out is None
                    and now >= worker.next_at
                    or worker.ticked is None
                    or now - worker.ticked >= (ADVANCE if worker.running else 1.0)
                ):
                    for effect in worker.step(("tick",), now):
                        await self._beat(worker, *effect[1:])
            await curio.sleep(PASS)
            self.lags.append(time.monotonic() - before - PASS)
            before = time.monotonic()

    async def _beat(self, worker, address, number, identity, document):
        sent = time.monotonic()

        def told(status, answer):
            now = time.monotonic()
            self.beat_waits.append(now - sent)
            worker.step(("told", number, status, answer), now)

        await self.ask("beat", (identity, document), told, address)

    # --- callers ----------------------------------------------------------------------
    async def configure(self):
        """The first configuration, with a route for each team."""
        names = ["held", "bare", *(f"team{place}" for place in range(TEAMS - 2))]
        routes = [
            {
                "name": name,
                "host": tenancy.HOST,
                "prefix": f"/{name}/",
                "service": ("held", "bare")[place % 2],
                "attempts": tenancy.ATTEMPTS,
                "priority": place % 4,
                "aim_ms": 500,
                "stretch": 3,
            }
            for place, name in enumerate(names)
        ]
        self.version = 1
        document = {"version": 1, "routes": routes, "services": [{"name": "held"}, {"name": "bare"}]}
        status, answer = await self.persist("configure", (0, document))
        assert status == 200, answer
        self.refused.clear()  # a cohort just founded says 503 until it leads with its lease

    async def change(self):
        """One route changes, by name."""
        base, self.version = self.version, self.version + 1
        route = {
            "name": "team0",
            "host": tenancy.HOST,
            "prefix": "/team0/",
            "service": "held",
            "priority": base % 4,
        }
        sent = time.monotonic()
        await self.persist("amend", (base, self.version, {"routes": [route]}, {}))
        self.change_waits.append(time.monotonic() - sent)

    async def submit(self, queue, count, seconds, cpu):
        """Hands a job in; its name."""
        told, what = tenancy.step_of(count, seconds, cpu)
        identity = f"{self.random.randrange(16**16):016x}"
        document = {"spec": json.dumps({"steps": [what]}), "steps": [told]}
        job = self.jobs[identity] = {
            "document": document,
            "queue": queue,
            "cancelled": None,
            "accepted": None,
            "sent": time.monotonic(),
            "count": count,
            "short": seconds == SHORT,
        }

        def taken(status, answer):
            if status == 200:
                job["accepted"] = time.monotonic()

        await self.ask("job", (tenancy.HOST, f"/{queue}/{identity}", document), taken)
        return identity

    async def fill(self):
        """The tasks that run all the time, and the jobs that are over."""
        left = self.load.running
        while left > 0:
            count = min(left, 50)
            await self.submit(("held", "bare")[left // 50 % 2], count, LONG, 400)
            left -= count
        end = time.monotonic() + PLACED_WITHIN
        while time.monotonic() < end and sum(len(one.running) for one in self.workers) < self.load.running:
            await curio.sleep(0.1)
        if self.load.waiting:  # each worker runs one task that takes all of it, and the rest wait
            for place in range(2):
                await self.submit(("held", "bare")[place], (self.load.workers + 1 - place) // 2, LONG, 4000)
            await self.settled(
                lambda: sum(len(one.running) for one in self.workers) >= self.load.workers, "full workers"
            )
        for place in range(self.load.waiting // JOB_TASKS):
            await self.submit(("held", "bare")[place % 2], JOB_TASKS, LONG, 4000)
            await curio.sleep(PASS)
        for _ in range(0, self.load.kept, BATCH):
            names = [
                await self.submit("held", 1, LONG, 9000) for _ in range(BATCH)
            ]  # more than any worker has
            for name in names:
                await self.settled(
                    lambda: self.jobs[name]["accepted"] is not None, f"the answer to job {name}"
                )
            over = []
            for name in names:
                await self.ask(
                    "job-cancel", (tenancy.HOST, f"/held/{name}"), lambda status, answer: over.append(status)
                )
            await self.settled(lambda: len(over) == len(names), "the answers to cancels")

    async def settled(self, wanted, what):
        """Waits for something that a fill can't do without."""
        end = time.monotonic() + PLACED_WITHIN
        while not wanted():
            if time.monotonic() > end:
                raise TimeoutError(f"{what} did not come within {PLACED_WITHIN} s")
            await curio.sleep(PASS)

    async def pace(self, rate, act):
        """Acts so many times a second, evenly, without waiting for one to end."""
        due = time.monotonic()
        while True:
            due += 1 / rate
            await curio.sleep(max(0.0, due - time.monotonic()))
            await act()

    async def start_short(self):
        await self.submit(("held", "bare")[self.count % 2], JOB_TASKS, SHORT, 100)

    def start_waits(self, since):
        """Seconds from handing a short job in to each start of its tasks."""
        waits = []
        for event in self.history:
            if event[0] == "start" and event[1] >= since:
                job = self.jobs.get(event[4].split(".")[0])
                if job is not None and job["short"]:
                    waits.append(event[1] - job["sent"])
        return waits

    def check(self):
        """Faults that the history checks of jobs find."""
        return [
            *tenancy.never_twice(self.history),
            *tenancy.steps_kept(self.history, self.jobs),
            *tenancy.attempts_kept(self.history, self.jobs),
            *tenancy.room_kept(self.history),
        ]


class CountedFleet(Fleet):
    """A fleet whose daemons count their frames."""

    def start(self, name, *command):
        kind = "accord" if name.startswith("accord") else "verge"
        code = COUNTING.format(kind=kind, path=os.path.join(self.folder, f"{name}.counts"))
        super().start(name, code, *command[1:])

    def spent(self, name):
        """(processor seconds, bytes resident, bytes written to disk) of a daemon so far."""
        number = self.processes[name].pid
        with open(f"/proc/{number}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        with open(f"/proc/{number}/status") as file:
            resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
        with open(f"/proc/{number}/io") as file:
            written = next(int(line.split()[1]) for line in file if line.startswith("wchar"))
        return (int(fields[11]) + int(fields[12])) / TICKS, resident * 1024, written

    def frames(self, name):
        """{way: {kind: [messages, bytes]}} of a daemon so far."""
        with open(os.path.join(self.folder, f"{name}.counts")) as file:
            return json.load(file)

    def given_up(self):
        """{why: how often} leadership was given up so far."""
        told = {}
        for place in range(len(self.accords)):
            with open(os.path.join(self.folder, f"accord{place}.log")) as file:
                for line in file:
                    event = json.loads(line) if line.startswith("{") else {}
                    if event.get("number") == 123:
                        told[event["why"]] = told.get(event["why"], 0) + 1
        return told

    async def metrics(self, place):
        """An accord's own counters and gauges by name."""
        client = http.Client(*split(self.own[place]))
        text = (await client.call("GET", "/v1/metrics")).document
        await client.close()
        return {
            one.name: one.value
            for family in text_string_to_metric_families(text)
            for one in family.samples
            if not one.labels
        }


def part(values, share):
    """The value below which a share of them lies, or None."""
    values = sorted(values)
    return round(values[min(len(values) - 1, int(share * len(values)))], 4) if values else None


def fit(points):
    """(slope, intercept, worst residual) of a line through [(x, y)] by least squares."""
    count = len(points)
    middle, level = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    wide = sum((x - middle) ** 2 for x, _ in points)
    slope = sum((x - middle) * (y - level) for x, y in points) / wide if wide else 0.0
    return slope, level - slope * middle, max(abs(y - level - slope * (x - middle)) for x, y in points)


async def _measure(load, seconds, seed, folder, data):
    plan = PLANS["small"]._replace(
        accords=tuple("abc"[place % 3] for place in range(load.accords)),
        minions=(),
        verges=("a",) * load.verges,
        founders=load.accords,
    )
    fleet = CountedFleet(plan, folder, data=data)
    hollow = Hollow([address for _, address in fleet.accords], load, seed)
    names = [
        *(f"accord{place}" for place in range(load.accords)),
        *(f"verge{place}" for place in range(load.verges)),
    ]
    fleet.start_all()
    try:
        async with hollow.tasks:
            await hollow.tasks.spawn(curio.tcp_server, *split(hollow.address), hollow.serve)
            await fleet.until(fleet.served, 30, "service")
            await hollow.configure()
            await hollow.tasks.spawn(hollow.work)
            await curio.sleep(SETTLE / 2)
            await hollow.fill()
            for rate, act in (
                (load.starts / JOB_TASKS, hollow.start_short),
                (load.changes, hollow.change),
                (load.calls, _caller(fleet, hollow)),
            ):
                if rate:
                    await hollow.tasks.spawn(hollow.pace, rate, act)
            await curio.sleep(SETTLE)
            before = await _look(fleet, hollow, names)
            await curio.sleep(seconds)
            after = await _look(fleet, hollow, names)
            found = _told(load, hollow, names, before, after)
            found["given_up"] = fleet.given_up()
            await hollow.tasks.cancel_remaining()
    finally:
        fleet.stop()
    found["faults"] = hollow.check()
    return found


def _caller(fleet, hollow):
    async def call():
        await curio.spawn(_called, fleet, hollow, daemon=True)

    return call


async def _called(fleet, hollow):
    answer = await fleet.call("GET", "/v1/setup")
    key = ("call", getattr(answer, "status", 0))
    if key[1] == 200:
        hollow.answers["call"] = hollow.answers.get("call", 0) + 1
    else:
        hollow.refused[key] = hollow.refused.get(key, 0) + 1


async def _look(fleet, hollow, names):
    """All counters at one moment."""
    taken = {
        "at": time.monotonic(),
        "own": time.process_time(),
        "answers": dict(hollow.answers),
        "marks": (len(hollow.beat_waits), len(hollow.change_waits), len(hollow.lags)),
    }
    for place, name in enumerate(names):
        taken[name] = (
            fleet.spent(name),
            fleet.frames(name),
            await fleet.metrics(place) if name.startswith("accord") else {},
        )
    return taken


def _told(load, hollow, names, before, after):
    """What a window saw, by role."""
    lasted = after["at"] - before["at"]
    beats, changes, lags = before["marks"]
    waits = hollow.start_waits(before["at"])
    found = {
        "load": load._asdict(),
        "seconds": round(lasted, 2),
        "hollow_core": round((after["own"] - before["own"]) / lasted, 3),
        "lag_99": part(hollow.lags[lags:], 0.99),
        "running": sum(len(one.running) for one in hollow.workers),
        "beats": round((after["answers"].get("beat", 0) - before["answers"].get("beat", 0)) / lasted, 1),
        "beat_median": part(hollow.beat_waits[beats:], 0.5),
        "beat_99": part(hollow.beat_waits[beats:], 0.99),
        "starts": round(len(waits) / lasted, 1),
        "start_median": part(waits, 0.5),
        "start_99": part(waits, 0.99),
        "change_median": part(hollow.change_waits[changes:], 0.5),
        "change_99": part(hollow.change_waits[changes:], 0.99),
        "refused": {" ".join(map(str, key)): count for key, count in hollow.refused.items()},
        "roles": {},
    }
    followers = 0
    found["leaders_lost"] = int(
        max(
            after[name][2].get("pinepitch_term", 0) - before[name][2].get("pinepitch_term", 0)
            for name in names
            if name.startswith("accord")
        )
    )
    for name in names:
        (core, _, written), frames, metrics = before[name]
        (core_after, resident, written_after), frames_after, metrics_after = after[name]
        if name.startswith("verge"):
            role = name.replace("verge0", "verge")
        elif metrics_after.get("pinepitch_leading"):
            role = "leader"
        else:
            followers += 1
            role = f"follower{followers}"
        one = {
            "core": round((core_after - core) / lasted, 4),
            "resident": resident,
            "disk": round((written_after - written) / lasted),
            "kinds": {},
        }
        for way in ("in", "out"):
            told = {}
            for kind, (count, size) in frames_after[way].items():
                count_before, size_before = frames[way].get(kind, (0, 0))
                told[kind] = [round((count - count_before) / lasted, 1), round((size - size_before) / lasted)]
            one[f"messages_{way}"] = round(sum(count for count, _ in told.values()), 1)
            one[f"bytes_{way}"] = sum(size for _, size in told.values())
            one["kinds"][way] = {
                kind: rate for kind, rate in sorted(told.items(), key=lambda one: -one[1][1])[:6]
            }
        for figure, counter in (
            ("syncs", "pinepitch_syncs_total"),
            ("entries", "pinepitch_entries_applied_total"),
        ):
            if counter in metrics_after:
                one[figure] = round((metrics_after[counter] - metrics[counter]) / lasted, 1)
        found["roles"][role] = one
    return found


def measure(load, seconds=8.0, seed=0, folder=None):
    """One run of real daemons under a load; what it saw. Records lie under TMPDIR: how long a disk
    takes to sync is no slope of a daemon, so a file system in memory tells most."""
    folder = folder or tempfile.mkdtemp(prefix="pinepitch-scale-")
    with tempfile.TemporaryDirectory(
        prefix="pinepitch-scale-", dir=DATA if os.path.isdir(DATA) else folder
    ) as data:
        return curio.run(_measure, load, seconds, seed, folder, data)


FIGURES = (
    "core",
    "resident",
    "bytes_in",
    "bytes_out",
    "messages_in",
    "messages_out",
    "syncs",
    "entries",
    "disk",
)


def slopes(field, points):
    """{role: {figure: (slope, intercept, worst residual, points used)}} over a sweep, by a field of
    the load or a figure of the point. A point at
    which some daemon, or the hollow process, spent all it can is no point of a line."""
    told = {}
    usable = [
        one
        for one in points
        if one["hollow_core"] < SATURATED and all(role["core"] < SATURATED for role in one["roles"].values())
    ]
    for role in ("leader", "follower1", "verge"):
        for figure in FIGURES:
            line = [
                (one["load"].get(field, one.get(field)), one["roles"][role][figure])
                for one in usable
                if figure in one["roles"].get(role, {})
            ]
            if len(line) > 1:
                told.setdefault(role, {})[figure] = (*(float(f"{one:.4g}") for one in fit(line)), len(line))
    return told


def scale(sweep="workers", seconds=8.0, seed=0, most=None, out=None):
    """Runs real daemons beside hollow workers at rising sizes; prints points and slopes.

    Args:
        sweep: a name of SWEEPS or several, parted by commas: workers, running, starts, waiting, changes,
            kept, calls, accords, verges, site; or costs, for what single acts of a leader take here.
        seconds: how long each size is measured.
        most: leaves larger sizes out.
        out: a file for all points.
    """
    kept = {}
    for name in sweep if isinstance(sweep, (tuple, list)) else str(sweep).split(","):
        if name == "costs":
            kept[name] = costs()
            continue
        field, sizes, load = SWEEPS[name]
        points = []
        for size in sizes:
            if most is None or size <= most:
                points.append(measure(load._replace(**{field: size}), seconds, seed))
                print(json.dumps(points[-1]), flush=True)
        kept[name] = {"points": points, "slopes": slopes(field, points)}
        if name == "workers":  # a worker that is answered late beats less often
            kept[name]["by_beats"] = slopes("beats", points)
        print(
            json.dumps({"sweep": name, **{key: kept[name][key] for key in kept[name] if key != "points"}}),
            flush=True,
        )
        if out:
            with open(out, "w") as file:
                json.dump(kept, file)


# --- single acts, in this process ---------------------------------------------------------
class Alone:
    """A cohort of one accord on a virtual clock, whose disk takes no time. Invariant: what it
    saves is durable at the end of the step that asked for it."""

    def __init__(self):
        self.core = Accord("alone", "127.0.0.1:1", "a", (), founders=1, seed=0)
        self.now, self.sent, self.count = 100.0, [], 0
        self.snapshots = 0

    def give(self, message):
        """One message and all that its saves bring about."""
        waiting = [message]
        while waiting:
            saved = None
            for effect in self.core.step(waiting.pop(), self.now, self.now):
                if effect[0] == "save":
                    saved = effect[1]
                elif effect[0] == "send":
                    self.sent.append(effect[2])
                elif effect[0] == "snapshot":
                    self.snapshots += 1
            if saved is not None:
                waiting.append(("saved", saved))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += constants.TICK
            self.give(("tick",))

    def ask(self, call, *arguments):
        self.count += 1
        self.give(("ask", "127.0.0.1:2", f"t{self.count}", call, arguments))

    def begin(self):
        """Leads, with two routes in force."""
        self.run(6)
        routes = [
            {
                "name": name,
                "host": tenancy.HOST,
                "prefix": f"/{name}/",
                "service": "held",
                "attempts": 3,
                "priority": place,
                "aim_ms": 500,
                "stretch": 3,
            }
            for place, name in enumerate(("held", "more"))
        ]
        self.ask("configure", 0, {"version": 1, "routes": routes, "services": [{"name": "held"}]})
        assert self.core.epoch > 0 and self.core.record.board.configuration.version == 1
        return self

    def hand_in(self, count, cpu=100, queue="held", **more):
        told, what = tenancy.step_of(count, 10.0, cpu, **more)
        self.ask(
            "job",
            tenancy.HOST,
            f"/{queue}/{self.count:016x}",
            {"spec": json.dumps({"steps": [what]}), "steps": [told]},
        )


class Herd:
    """Workers of Alone that only beat. Invariant: each runs what its newest answers started."""

    def __init__(self, alone, count):
        self.alone, self.sequence = alone, 0
        self.running = {f"i-w{place}": {} for place in range(count)}

    def beat(self, identity):
        self.sequence += 1
        place = int(identity[3:])
        self.alone.sent.clear()
        running = self.running[identity]
        self.alone.ask(
            "beat",
            identity,
            {
                "service": "held",
                "address": f"10.0.{place // 250}.{place % 250}:1",
                "zone": "abc"[place % 3],
                "state": "ready",
                "sequence": self.sequence,
                "clock_ms": round(self.alone.now * 1000),
                "leaves_ms": None,
                "labels": ["ab"[place % 2], f"r{place // RACK}"],
                "room": tenancy.ROOM,
                "running": [[*key, "", round(self.alone.now * 0.5 % 99, 2)] for key in running],
                "ended": [],
            },
        )
        for message in self.alone.sent:
            if message[0] == "answer" and message[2][0] == 200:
                for reference, run, _, _ in message[2][1].get("start", ()):
                    running[(reference, run)] = True

    def round(self, seconds=0.1):
        """Every worker beats once within so many seconds; the time that the steps took."""
        step, begun = seconds / len(self.running), time.perf_counter()
        for identity in list(self.running):
            self.alone.now += step
            self.beat(identity)
        took = time.perf_counter() - begun
        self.alone.give(("tick",))
        return took


def progress_cost(alike):
    """A look at the progress of so many runs of one step, each on a worker of its own."""
    alone = Alone().begin()
    herd = Herd(alone, alike)
    for _ in range(4):
        herd.round()
    alone.hand_in(alike, cpu=3000)
    for _ in range(400):
        if sum(map(len, herd.running.values())) >= alike:
            break
        herd.round()
    for _ in range(5):
        herd.round(0.4)
    assert sum(map(len, alone.core.record.board.placements.values())) == alike
    return _best(lambda: alone.core.keeper._look_at_progress(alone.now))


def _best(act, times=3):
    """The least seconds of some tries: what the act costs when nothing disturbs it."""
    least = 1e18
    for _ in range(times):
        gc.collect()
        begun = time.perf_counter()
        act()
        least = min(least, time.perf_counter() - begun)
    return least


def herd_of(workers, running=0):
    """(accord, herd) with so many workers that run so many tasks."""
    alone = Alone().begin()
    herd = Herd(alone, workers)
    for _ in range(4):
        herd.round()
    for place in range(0, running, 100):
        alone.hand_in(min(100, running - place), cpu=400)
    for _ in range(200):
        if sum(map(len, herd.running.values())) >= running:
            break
        herd.round()
    return alone, herd


def costs(sizes=(50, 200, 770), profiled=True):
    """Seconds of single acts of a leader, in this process: beats, rounds, jobs, ends, images."""
    told = {"beat": {}, "round": {}, "watch": {}, "gang": {}, "job": {}, "image": {}, "door": door_costs()}
    for workers in sizes:
        for running in sorted({0, int(workers * 4.4)}):
            alone, herd = herd_of(workers, running)
            keeper, board = alone.core.keeper, alone.core.record.board
            told["beat"][f"{workers} workers, {running} running"] = (
                min(herd.round() for _ in range(3)) / workers
            )
            told["watch"][f"{workers} workers, {running} running"] = _best(lambda: keeper._watch(alone.now))
            for waves in (0, 1, 10, 100):
                for _ in range(waves - len(board.ready)):
                    alone.hand_in(5, cpu=9000, queue="more")  # more than any worker has: they wait for ever
                told["round"][f"{workers} workers, {running} running, {waves} waves wait"] = _best(
                    lambda: keeper.assigner.round(
                        board, keeper.workers, keeper, alone.now, alone.core._now(alone.now)
                    )
                )
        alone, herd = herd_of(workers)
        keeper, board = alone.core.keeper, alone.core.record.board
        told["gang"][f"{workers} workers"] = _gang_cost(alone, keeper, board)
    told["progress"] = {f"{alike} runs of one step": progress_cost(alike) for alike in sizes}
    told["job"] = job_costs()
    told["image"] = image_costs()
    if profiled:
        told["top"] = top_costs()
    print(json.dumps(told, indent=1), flush=True)
    return told


def _gang_cost(alone, keeper, board):
    """A round that seats a gang of 64, one that seats 64 single tasks, and one at which some
    gangs wait that are one seat short."""
    found = {}
    for name, waits, gang, short in (
        ("gang of 64", 1, True, False),
        ("64 single tasks", 1, False, False),
        ("5 gangs of 64, each one seat short", 5, True, True),
    ):
        scratch = Board.from_image(board.image())
        if short:  # one accelerator a worker, and all but 63 of them in use
            taken = list(keeper.workers)[min(63, len(keeper.workers) - 1) :]
            scratch.accept(
                alone.now, "f" * 16, "held", checked({"steps": [{"count": len(taken), "gpu": 1}]})[0]
            )
            scratch.assign(alone.now, alone.core.epoch, [("f" * 16, 0, 0, tuple(enumerate(taken)))])
        plain, faults = checked({"steps": [{"count": 64, "cpu": 100, "gpu": int(short), "gang": gang}]})
        assert not faults
        for place in range(waits):
            scratch.accept(alone.now, f"{place:016x}", "held", plain)
        found[name] = _best(
            lambda: keeper.assigner.round(
                scratch, keeper.workers, keeper, alone.now, alone.core._now(alone.now)
            )
        )
    return found


def job_costs(count=500):
    """Seconds and bytes of one job handed in, and of one that is over."""
    alone = Alone().begin()
    begun = time.perf_counter()
    for _ in range(count):
        alone.hand_in(5)
    accept = (time.perf_counter() - begun) / count
    entry = alone.core.consensus.entries[-1]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    board = Board()
    board.configuration = alone.core.record.board.configuration
    plain = unpacked(entry[2])[3]
    for place in range(count):
        board.accept(0.0, f"{place:016x}", "held", plain)
    held = tracemalloc.get_traced_memory()[0]
    for place in range(count):
        board.cancel(0.0, f"{place:016x}")
    gc.collect()
    over = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "accept": accept,
        "entry_bytes": len(wire.encode("", entry)),
        "open_bytes": (held - before) / count,
        "over_bytes": (over - before) / count,
    }


def image_costs():
    """Seconds of an image, of its encoding and of its decoding, and its bytes."""
    found = {}
    for jobs, placed, over in ((0, 0, 0), (100, 500, 0), (700, 3500, 0), (700, 0, 0), (0, 0, 4000)):
        alone = Alone().begin()
        board = alone.core.record.board
        plain, _ = checked({"spec": "x" * 120, "steps": [{"count": 5, "cpu": 400}]})
        for place in range(jobs + over):
            board.accept(1.0, f"{place:016x}", "held", plain)
        for place in range(over):
            board.cancel(1.0, f"{place:016x}")
        for place in range(placed // 5):
            board.assign(
                2.0, 1, [(f"{place:016x}", 0, 0, tuple((index, f"i-w{place}") for index in range(5)))]
            )
        record = alone.core.record
        image = record.image()
        data = type(record).encode(image)
        found[f"{jobs} open jobs, {placed} placed, {over} over"] = {
            "image": _best(record.image),
            "encode": _best(lambda: type(record).encode(image)),
            "decode": _best(lambda: type(record).decode(data, {})),
            "bytes": len(data),
        }
    return found


def door_costs(count=500):
    """Seconds that HTTP takes for one beat at a port, beside what the beat itself takes."""
    body = json.dumps(
        {"running": [[f"{place:016x}.0.0.1", 1, "", 50] for place in range(4)], "room": [4000, 8192, 1]}
    ).encode()
    text = (
        b"POST /beat HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: "
        + str(len(body)).encode()
        + b"\r\n\r\n"
        + body
    )
    connection = h11.Connection(h11.SERVER)
    begun = time.perf_counter()
    for _ in range(count):
        connection.receive_data(text)
        while not isinstance(connection.next_event(), h11.EndOfMessage):
            pass
        json.loads(body)
        answer = json.dumps({"hold_ms": 4000, "seen": 1}).encode()
        connection.send(
            h11.Response(
                status_code=200,
                headers=[("Content-Type", "application/json"), ("Content-Length", str(len(answer)))],
            )
        )
        connection.send(h11.Data(data=answer))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()
    return {"http": (time.perf_counter() - begun) / count, "bytes_in": len(text)}


def top_costs(workers=200, running=880, rounds=10):
    """What a leader's time goes into: [(function, part of the whole, calls a beat)]."""
    alone, herd = herd_of(workers, running)
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(rounds):
        herd.round()
    profile.disable()
    stats = pstats.Stats(profile)
    own = sorted(
        (
            (took, f"{os.path.basename(place[0])}:{place[2]}", calls, whole)
            for place, (_, calls, took, whole, _) in stats.stats.items()
        ),
        reverse=True,
    )
    return [
        {
            "function": name,
            "own": round(took / stats.total_tt, 3),
            "with_callees": round(whole / stats.total_tt, 3),
            "calls_a_beat": round(calls / (rounds * workers), 2),
        }
        for took, name, calls, whole in own[:14]
    ]
