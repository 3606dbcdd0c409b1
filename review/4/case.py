"""Clients hand in jobs that run many times, later; then everyone asks for what was accepted."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2

# Two queues of the site nss-pinepitch, each at its own rate (SYSTEM.md, "a second").
QUEUES = {"/plan/": 0.299, "/panel/": 0.479}
HAND_IN_S = 45
STEPS, TIMES, EVERY_MS = 10, 1000, 60_000  # a task a step, every minute
FEW_TIMES = 6  # as often without the trouble
DUE_IN_MS = 3_600_000


def configuration():
    """Three queues of the site."""
    routes = [fleet2.route("r-check", "/check/", 0, 3), fleet2.route("r-plan", "/plan/", 2, 3),
              fleet2.route("r-panel", "/panel/", 2, 2)]
    return fleet2.configuration(1, routes)


def recurring(times):
    """A chain of ten small tasks that runs every minute from an hour on."""
    step = {"taskCount": 1, "cpuUnits": 500, "taskMemoryMb": 256, "estimatedMs": 400}
    return {
        "taskSpec": fleet2.spec(0.4, 500),
        "steps": [step | ({"dependsOn": [number - 1]} if number else {}) for number in range(STEPS)],
        "firstRunMs": int(time.time() * 1000) + DUE_IN_MS,
        "intervalMs": EVERY_MS,
        "repeatTimes": times,
    }


def check():
    """A small fault check of two tasks."""
    step = {"taskCount": 2, "cpuUnits": 1000, "taskMemoryMb": 256, "estimatedMs": 300}
    return {"taskSpec": fleet2.spec(0.3, 1000), "steps": [step]}


async def hand_in(client, prefix, per_s, accepted, times):
    """Hands in jobs at a queue's rate."""
    begun = time.monotonic()
    for number in range(int(HAND_IN_S * per_s)):
        await asyncio.sleep(max(0.0, begun + number / per_s - time.monotonic()))
        if time.monotonic() - begun > HAND_IN_S:
            return
        name, status = await client.submit(prefix, recurring(times), tries=2)
        if status == 200:
            accepted.append((prefix, name))


async def answered(client, prefix, name):
    """The (status, state) of an accepted job, asked for again and again for 3 s."""
    until, status, state = time.monotonic() + 3, None, None
    while status != 200 and time.monotonic() < until:
        status, state = await client.state(prefix, name, timeout=1.0)
        await asyncio.sleep(0.05)
    return status, state


async def case(record, trouble):
    fleet = fleet2.Fleet(record, kill_over_memory=True)
    workers = [fleet2.Worker(fleet, record, number) for number in range(7)]
    client = fleet2.Client(fleet, record)
    try:
        await fleet.begin()
        if not await fleet.configured(configuration()):
            return 2
        for worker in workers:
            worker.begin()
        await asyncio.sleep(2)
        checks, accepted = [], []
        for _ in range(3):
            name, status = await client.submit("/check/", check())
            checks += [("/check/", name)] if status == 200 else []
        if len(checks) < 3:
            return 2
        sizes = {name: round(fleet.resident_mb(name)) for name in fleet.names("core")}
        record(f"MB of the core processes before: {sizes}")
        times = TIMES if trouble else FEW_TIMES
        await asyncio.gather(*(hand_in(client, prefix, per_s, accepted, times) for prefix, per_s in QUEUES.items()))
        record(f"accepted: {len(checks)} checks and {len(accepted)} jobs that run {times} times")
        sizes = {name: round(fleet.resident_mb(name)) for name in fleet.names("core")}
        record(f"MB of the core processes after: {sizes}")
        await asyncio.sleep(fleet2.BOUNDS["finish_s"])
        unanswered = []
        for prefix, name in checks + accepted[:2] + accepted[-1:]:
            status, state = await answered(client, prefix, name)
            record(f"client: GET {prefix}{name} -> {status} {state}")
            if status != 200:
                unanswered.append(name)
        own = [name for name, _ in fleet.ends if name.startswith("core")]
        ends = {name: own.count(name) for name in fleet.names("core")}
        record(f"ends of core processes by themselves: {ends}; most MB: {fleet.peak}")
        record(f"accepted jobs that get no answer for 3 s: {unanswered}")
        return 1 if unanswered else 0
    finally:
        for line in fleet.log_lines(104, 109)[:10]:
            record(f"log: {line}")
        await fleet.finish()


fleet2.main(case)
