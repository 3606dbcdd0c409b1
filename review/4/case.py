"""Clients hand in plans that run several times, later; then everyone asks for what was accepted."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2

# The largest values that the site nss-pinepitch states for dimming-plan: `steps` max 5.0, `width` max 84,
# `times` 6, `every_s` 3.0, estimates of 2.4 s.
STEPS, WIDTH, TIMES, EVERY_MS, ESTIMATE_MS = 5, 84, 6, 3000, 2400
PLANS = 320
PER_S = 10  # the site states 5.2 requests a second, and up to 2.8 times as many in a burst
DUE_IN_MS = 3_600_000  # the plans are for later, as nightly plans that are handed in by day
CLIENTS = 5
HAND_IN_S = 45  # plans that could not be handed in by then are left out


def plan(times):
    """A dimming plan of the largest size that the site names."""
    step = {"taskCount": WIDTH, "cpuUnits": 4300, "taskMemoryMb": 12000, "estimatedMs": ESTIMATE_MS}
    return {
        "taskSpec": "2.4",
        "steps": [step | ({"dependsOn": [number - 1]} if number else {}) for number in range(STEPS)],
        "firstRunMs": int(time.time() * 1000) + DUE_IN_MS,
        "intervalMs": EVERY_MS,
        "repeatTimes": times,
    }


def check():
    """A small fault check of two tasks."""
    step = {"taskCount": 2, "cpuUnits": 1000, "taskMemoryMb": 256, "estimatedMs": 300}
    return {"taskSpec": "0.3", "steps": [step]}


async def hand_in(client, plans, accepted, times, until):
    """Hands in plans one after another, each at its time, until none is left or the time is over."""
    while plans and time.monotonic() < until:
        at = plans.pop()
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        name, status = await client.submit("/plan/", plan(times), tries=2)
        if status == 200:
            accepted.append(name)


async def answered(client, prefix, name):
    """The (status, state) of an accepted job, asked for again and again for 3 s."""
    until, status, state = time.monotonic() + 3, None, None
    while status != 200 and time.monotonic() < until:
        status, state = await client.state(prefix, name, timeout=1.0)
        await asyncio.sleep(0.05)
    return status, state


async def case(record, trouble):
    fleet = fleet2.Fleet(record, kill_over_memory=True)
    workers = [fleet2.Worker(fleet, record, number) for number in range(6)]
    client = fleet2.Client(fleet, record)
    try:
        await fleet.begin()
        if not await fleet.configured(fleet2.configuration()):
            return 2
        for worker in workers:
            worker.begin()
        await asyncio.sleep(2)
        checks, plans = [], []
        for _ in range(5):
            name, status = await client.submit("/check/", check())
            checks += [name] if status == 200 else []
        if len(checks) < 5:
            return 2
        sizes = {name: round(fleet.resident_mb(name)) for name in fleet.names("core")}
        record(f"MB of the core processes before: {sizes}")
        # Without the trouble as many plans come at the same rate, each of which runs once.
        begun, times = time.monotonic(), TIMES if trouble else 1
        at = [begun + number / PER_S for number in range(PLANS)][::-1]
        await asyncio.gather(*(hand_in(client, at, plans, times, begun + HAND_IN_S) for _ in range(CLIENTS)))
        record(f"accepted: {len(checks)} checks and {len(plans)} plans")
        sizes = {name: round(fleet.resident_mb(name)) for name in fleet.names("core")}
        record(f"MB of the core processes after: {sizes}")
        await asyncio.sleep(fleet2.BOUNDS["finish_s"])
        unanswered = []
        for prefix, names in (("/check/", checks[:3]), ("/plan/", plans[:2] + plans[-1:])):
            for name in names:
                status, state = await answered(client, prefix, name)
                record(f"client: GET {prefix}{name} -> {status} {state}")
                if status != 200:
                    unanswered.append(name)
        own = [name for name, _ in fleet.ends if name.startswith("core")]
        ends = {name: own.count(name) for name in fleet.names("core")}
        record(f"ends of core processes by themselves: {ends}; most MB: {fleet.peak}")
        record(f"accepted jobs that get no answer for 3 s: {unanswered}")
        often = [name for name, count in ends.items() if count >= 3]
        return 1 if 2 * len(often) >= len(ends) or unanswered else 0
    finally:
        for line in fleet.log_lines(104, 109)[:10]:
            record(f"log: {line}")
        await fleet.finish()


fleet2.main(case)
