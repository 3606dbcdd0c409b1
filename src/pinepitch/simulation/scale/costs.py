"""The cost of single acts of a leader, measured in this process without a network."""

import cProfile
import gc
import json
import os
import pstats
import time
import tracemalloc

import h11

from ...common import constants
from ...common.effects import EncodeSnapshot, SaveChange, Send
from ...consensus.leader_clock import Reading
from ...control.daemon import ControlDaemon
from ...scheduling.job_document import checked
from ...scheduling.leased_job_state import LeasedJobState
from ...transport import framing
from ..jobs import kinds, limits
from .load import RACK


class Alone:
    """A cluster of one control daemon on a virtual clock, whose disk takes no time. Invariant: what it
    saves is durable at the end of the step that asked for it.
    """

    def __init__(self):
        self.core = ControlDaemon("alone", "127.0.0.1:1", "a", (), bootstrap_members=1, seed=0)
        self.now, self.sent, self.count = 100.0, [], 0
        self.snapshots = 0

    def give(self, message):
        """One message and all that its saves bring about."""
        waiting = [message]
        while waiting:
            saved = None
            for effect in self.core.step(waiting.pop(), self.now, self.now):
                if isinstance(effect, SaveChange):
                    saved = effect.sequence
                elif isinstance(effect, Send):
                    self.sent.append(effect.message)
                elif isinstance(effect, EncodeSnapshot):
                    self.snapshots += 1
            if saved is not None:
                waiting.append(("saved", saved))

    def run(self, seconds):
        """Lets some virtual seconds pass, tick by tick."""
        end = self.now + seconds
        while self.now < end:
            self.now += constants.TICK
            self.give(("tick",))

    def ask(self, call, *arguments):
        """A call to the daemon, answered at once."""
        self.count += 1
        end = Reading(self.core.consensus.term, self.now + constants.CALL_PATIENCE)
        self.give(("ask", "127.0.0.1:2", f"t{self.count}", call, arguments, 1, end))

    def begin(self):
        """Leads, with two routes in force."""
        self.run(6)
        routes = [
            {
                "name": name,
                "host": limits.HOST,
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
        assert self.core.epoch > 0 and self.core.cluster_state.leased_jobs.configuration.version == 1
        return self

    def hand_in(self, count, cpu=100, queue="held", **more):
        """Submits a job of one step with so many tasks."""
        results, what = kinds.step_of(count, 10.0, cpu, **more)
        self.ask(
            "job",
            limits.HOST,
            f"/{queue}/{self.count:016x}",
            {"spec": json.dumps({"steps": [what]}), "steps": [results]},
        )


class Herd:
    """Workers of Alone that only heartbeat. Invariant: each runs what its newest answers started."""

    def __init__(self, alone, count):
        self.alone, self.sequence = alone, 0
        self.running = {f"i-w{place}": {} for place in range(count)}

    def heartbeat(self, identity):
        """One heartbeat of a worker, and the starts in its answer."""
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
                "room": limits.CAPACITY,
                "running": [[*key, "", round(self.alone.now * 0.5 % 99, 2)] for key in running],
                "ended": [],
            },
        )
        for message in self.alone.sent:
            if message[0] == "answer" and message[2][0] == 200:
                for reference, run, _, _ in message[2][1].get("start", ()):
                    running[(reference, run)] = True

    def round(self, seconds=0.1):
        """Every worker heartbeats once within so many seconds; the time that the steps took."""
        step, begun = seconds / len(self.running), time.perf_counter()
        for identity in list(self.running):
            self.alone.now += step
            self.heartbeat(identity)
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
    assert sum(map(len, alone.core.cluster_state.leased_jobs.placements.values())) == alike
    assignments = alone.core.assignments
    return _best(
        lambda: assignments.progress.find_stops(
            assignments.workers, assignments.leased_jobs, assignments.stopping, alone.now
        )
    )


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
    """(control daemon, herd) with so many workers that run so many tasks."""
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
    """Seconds of single acts of a leader, in this process: heartbeats, rounds, jobs, ends, images."""
    results = {
        "beat": {},
        "round": {},
        "watch": {},
        "gang": {},
        "job": {},
        "image": {},
        "door": adapter_costs(),
    }
    for workers in sizes:
        for running in sorted({0, int(workers * 4.4)}):
            _add_running_costs(results, workers, running)
        alone, herd = herd_of(workers)
        assignments, leased_jobs = alone.core.assignments, alone.core.cluster_state.leased_jobs
        results["gang"][f"{workers} workers"] = _gang_cost(alone, assignments, leased_jobs)
    results["progress"] = {f"{alike} runs of one step": progress_cost(alike) for alike in sizes}
    results["job"] = job_costs()
    results["image"] = image_costs()
    if profiled:
        results["top"] = top_costs()
    print(json.dumps(results, indent=1), flush=True)
    return results


def _add_running_costs(results, workers, running):
    """Adds what heartbeats, looks and rounds cost with so many workers that run so many tasks."""
    alone, herd = herd_of(workers, running)
    assignments, leased_jobs = alone.core.assignments, alone.core.cluster_state.leased_jobs
    size = f"{workers} workers, {running} running"
    results["beat"][size] = min(herd.round() for _ in range(3)) / workers
    results["watch"][size] = _best(lambda: assignments._watch(alone.now))
    for batches in (0, 1, 10, 100):
        for _ in range(batches - len(leased_jobs.ready)):
            alone.hand_in(5, cpu=9000, queue="more")  # more than any worker has: they wait for ever
        results["round"][f"{size}, {batches} waves wait"] = _best(
            lambda: assignments.assigner.run_round(
                leased_jobs, assignments.workers, assignments, alone.now, alone.core.cluster_time(alone.now)
            )
        )


def _gang_cost(alone, assignments, leased_jobs):
    """A round that seats a gang of 64, one that seats 64 single tasks, and one at which some
    gangs wait that are one seat short.
    """
    found = {}
    for name, waits, gang, short in (
        ("gang of 64", 1, True, False),
        ("64 single tasks", 1, False, False),
        ("5 gangs of 64, each one seat short", 5, True, True),
    ):
        scratch = LeasedJobState.from_image(leased_jobs.image())
        if short:  # one accelerator a worker, and all but 63 of them in use
            taken = list(assignments.workers)[min(63, len(assignments.workers) - 1) :]
            scratch.accept(
                alone.now, "f" * 16, "held", checked({"steps": [{"count": len(taken), "gpu": 1}]})[0]
            )
            scratch.assign(alone.now, alone.core.epoch, [("f" * 16, 0, 0, tuple(enumerate(taken)))])
        plain, faults = checked({"steps": [{"count": 64, "cpu": 100, "gpu": int(short), "gang": gang}]})
        assert not faults
        for place in range(waits):
            scratch.accept(alone.now, f"{place:016x}", "held", plain)
        found[name] = _best(
            lambda scratch=scratch: assignments.assigner.run_round(
                scratch, assignments.workers, assignments, alone.now, alone.core.cluster_time(alone.now)
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
    leased_jobs = LeasedJobState()
    leased_jobs.configuration = alone.core.cluster_state.leased_jobs.configuration
    plain = entry[2][3]
    for place in range(count):
        leased_jobs.accept(0.0, f"{place:016x}", "held", plain)
    allocated = tracemalloc.get_traced_memory()[0]
    for place in range(count):
        leased_jobs.cancel(0.0, f"{place:016x}")
    gc.collect()
    over = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "accept": accept,
        "entry_bytes": len(framing.encode("", entry)),
        "open_bytes": (allocated - before) / count,
        "over_bytes": (over - before) / count,
    }


def image_costs():
    """Seconds of an image, of its encoding and of its decoding, and its bytes."""
    found = {}
    for jobs, placed, over in ((0, 0, 0), (100, 500, 0), (700, 3500, 0), (700, 0, 0), (0, 0, 4000)):
        alone = Alone().begin()
        leased_jobs = alone.core.cluster_state.leased_jobs
        plain, _ = checked({"spec": "x" * 120, "steps": [{"count": 5, "cpu": 400}]})
        for place in range(jobs + over):
            leased_jobs.accept(1.0, f"{place:016x}", "held", plain)
        for place in range(over):
            leased_jobs.cancel(1.0, f"{place:016x}")
        for place in range(placed // 5):
            leased_jobs.assign(
                2.0, 1, [(f"{place:016x}", 0, 0, tuple((index, f"i-w{place}") for index in range(5)))]
            )
        record = alone.core.cluster_state
        image = record.image()
        data = type(record).encode(image)
        found[f"{jobs} open jobs, {placed} placed, {over} over"] = {
            "image": _best(record.image),
            "encode": _best(lambda image=image, record=record: type(record).encode(image)),
            "decode": _best(lambda data=data, record=record: type(record).decode(data, {})),
            "bytes": len(data),
        }
    return found


def adapter_costs(count=500):
    """Seconds that HTTP takes for one heartbeat at a port, beside what the heartbeat itself takes."""
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
    """What a leader's time goes into: [(function, part of the whole, calls a heartbeat)]."""
    alone, herd = herd_of(workers, running)
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(rounds):
        herd.round()
    profile.disable()
    stats = pstats.Stats(profile)
    own = sorted(
        (
            (took, f"{os.path.basename(place[0])}:{place[2]}", calls, cumulative)
            for place, (_, calls, took, cumulative, _) in stats.stats.items()
        ),
        reverse=True,
    )
    return [
        {
            "function": name,
            "own": round(took / stats.total_tt, 3),
            "with_callees": round(cumulative / stats.total_tt, 3),
            "calls_a_beat": round(calls / (rounds * workers), 2),
        }
        for took, name, calls, cumulative in own[:14]
    ]
