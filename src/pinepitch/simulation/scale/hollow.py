"""Hollow workers and callers of a scale run: many stand-ins in one process, over real links."""

import json
import random
import time

import curio

from ...common import constants
from ...consensus.leader_clock import LeaderClock
from ...transport import framing
from ...transport.link import Link
from ..fleet.processes import free_ports
from ..jobs import checks, kinds, limits
from ..stand_in_lease_worker import StandInLeaseWorker
from .load import JOB_TASKS, RACK

PASS = 0.01  # seconds; between two looks at which hollow worker is due
ADVANCE = 0.1  # seconds; a worker that runs something is moved on this often
PLACED_WITHIN = 60.0  # seconds; until the runs asked for are all under way
SHORT, LONG = 0.2, 120.0  # seconds; of a short task, and of one that only runs
BATCH = 50  # jobs; handed in and cancelled together while a load is put in place
TEAMS = 39  # teams; a route for each stands in the configuration


class HollowWorker(StandInLeaseWorker):
    """A stand-in tenant that tells progress in fractions, so that a long task never stands still."""

    def _percent(self, one):
        return 0 if not one["seconds"] else min(99.0, round(100 * one["progress"] / one["seconds"], 3))


class Hollow:
    """One process's hollow workers and callers, with one address. Invariants: calls holds every
    call not yet answered, by its token; jobs every job handed in, as the checks read them.
    """

    def __init__(self, control_daemons, load, seed):
        self.load, self.accords, self.random = load, control_daemons, random.Random(f"scale-{seed}")
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.leader, self.turn = None, 0
        self.leader_clock = LeaderClock()
        self.history, self.gangs, self.jobs, self.links, self.calls = [], {}, {}, {}, {}
        self.count = self.version = 0
        self.bytes_in = self.bytes_out = 0
        self.answers, self.refused, self.heartbeat_waits, self.change_waits, self.lags = {}, {}, [], [], []
        self.workers = [self._worker(place, seed) for place in range(load.workers)]
        self.tasks = curio.TaskGroup(wait=None)

    def _worker(self, place, seed):
        worker = HollowWorker(
            f"w{place}",
            "abc"[place % 3],
            f"10.0.{place // 250}.{place % 250}:1",
            limits.CAPACITY,
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
        buffered = bytearray()
        while True:
            data = await socket.recv(262_144)
            if not data:
                return
            self.bytes_in += len(data)
            buffered += data
            place = 0
            while len(buffered) - place >= framing.LENGTH.size:
                (length,) = framing.LENGTH.unpack_from(buffered, place)
                if len(buffered) - place - framing.LENGTH.size < length:
                    break
                place += framing.LENGTH.size
                frame = framing.decode(bytes(buffered[place : place + length]))
                place += length
                if not isinstance(frame, framing.InvalidFrame):
                    await self._heard(*frame[1])
            del buffered[:place]

    async def _send(self, address, message):
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address, self._undelivered)
            await self.tasks.spawn(link.run)
        frame = framing.encode(self.address, message)
        self.bytes_out += len(frame)
        await link.put(frame)

    async def _undelivered(self, sendings):
        """Calls that reached nobody are asked of another daemon when they are sent again."""
        self.leader = None

    async def ask(self, call, arguments, answered, address=None):
        """Carries one call; told(status, document) is called with its answer."""
        self.count += 1
        token = f"hollow~{self.count}"
        if address is None:
            self.turn += 1
            address = self.leader or self.accords[self.turn % len(self.accords)]
        self.calls[token] = [call, arguments, answered, time.monotonic()]
        await self._forward(address, token, 1)

    async def _forward(self, address, token, sending):
        """Sends one copy of a call, to be taken only while its caller waits."""
        call, arguments, _, begun = self.calls[token]
        end = self.leader_clock.end(begun + constants.CALL_PATIENCE, time.monotonic())
        await self._send(address, ("ask", self.address, token, call, arguments, sending, end))

    async def _heard(self, kind, *rest):
        token = rest[0] if rest else None
        call = self.calls.get(token)
        if call is None:
            return
        if kind == "elsewhere" and rest[1]:
            self.leader = rest[1]
            self.leader_clock.record_reading(rest[3], time.monotonic())
            await self._forward(self.leader, token, 2)
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
            await self.ask(call, arguments, lambda *answer, got=got: got.append(answer))
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
                    (worker.out is None and now >= worker.next_at)
                    or worker.ticked is None
                    or now - worker.ticked >= (ADVANCE if worker.running else 1.0)
                ):
                    for effect in worker.step(("tick",), now):
                        await self._heartbeat(worker, *effect[1:])
            await curio.sleep(PASS)
            self.lags.append(time.monotonic() - before - PASS)
            before = time.monotonic()

    async def _heartbeat(self, worker, address, number, identity, document):
        sent = time.monotonic()

        def answered(status, answer):
            now = time.monotonic()
            self.heartbeat_waits.append(now - sent)
            worker.step(("told", number, status, answer), now)

        await self.ask("beat", (identity, document), answered, address)

    # --- callers ----------------------------------------------------------------------
    async def configure(self):
        """The first configuration, with a route for each team."""
        names = ["held", "bare", *(f"team{place}" for place in range(TEAMS - 2))]
        routes = [
            {
                "name": name,
                "host": limits.HOST,
                "prefix": f"/{name}/",
                "service": ("held", "bare")[place % 2],
                "attempts": limits.ATTEMPTS,
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
        self.refused.clear()  # a cluster just founded says 503 until it leads with its lease

    async def change(self):
        """One route changes, by name."""
        base, self.version = self.version, self.version + 1
        route = {
            "name": "team0",
            "host": limits.HOST,
            "prefix": "/team0/",
            "service": "held",
            "priority": base % 4,
        }
        sent = time.monotonic()
        await self.persist("amend", (base, self.version, {"routes": [route]}, {}))
        self.change_waits.append(time.monotonic() - sent)

    async def submit(self, queue, count, seconds, cpu):
        """Hands a job in; its name."""
        answered, what = kinds.step_of(count, seconds, cpu)
        identity = f"{self.random.randrange(16**16):016x}"
        document = {"spec": json.dumps({"steps": [what]}), "steps": [answered]}
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

        await self.ask("job", (limits.HOST, f"/{queue}/{identity}", document), taken)
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
            await self.until(
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
                await self.until(
                    lambda name=name: self.jobs[name]["accepted"] is not None, f"the answer to job {name}"
                )
            over = []
            for name in names:
                await self.ask(
                    "job-cancel",
                    (limits.HOST, f"/held/{name}"),
                    lambda status, answer, over=over: over.append(status),
                )
            await self.until(lambda names=names, over=over: len(over) == len(names), "the answers to cancels")

    async def until(self, wanted, what):
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
        """Submits a job of short tasks."""
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
            *checks.never_twice(self.history),
            *checks.steps_kept(self.history, self.jobs),
            *checks.attempts_kept(self.history, self.jobs),
            *checks.capacity_kept(self.history),
        ]
