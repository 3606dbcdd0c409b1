"""Large tasks of a less urgent queue wait for machines; urgent gangs come while over half of the room is free."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2

WORKERS, CORES = 7, 16_000  # the site's `pole-imaging` has 7 minions
FEED_CPU = 6_400  # thousandths of a core; the site's controller-feed: up to 10,000
PLAN_CPU, PLAN_WIDTH = 11_000, 12  # the site's dimming-plan: up to 13,000 and 84
GANG_CPU, GANG_WIDTH = 4_700, 6  # the site's lantern-scan: 13,000 and up to 9.6
NOTHING_RUNS_S = 3.0  # RULES.md, LOST
WATCH_S = 40.0


def configuration():
    """The priorities of the site: feeds and gangs 1, plans 2; all on one service."""
    routes = [fleet2.route("r-scan", "/scan/", 1, 4), fleet2.route("r-feed", "/feed/", 1, 2),
              fleet2.route("r-plan", "/plan/", 2, 3)]
    return fleet2.configuration(1, routes)


def gang():
    """A gang that fits twice beside the feeds: each worker has room for two members."""
    step = {"taskCount": GANG_WIDTH, "cpuUnits": GANG_CPU, "taskMemoryMb": 1024, "estimatedMs": 1000,
            "gangScheduled": True}
    return {"taskSpec": "1.0", "steps": [step]}


async def case(record, trouble):
    fleet = fleet2.Fleet(record)
    workers = [fleet2.Worker(fleet, record, number, cpu=CORES, gpu=0) for number in range(WORKERS)]
    client = fleet2.Client(fleet, record)
    try:
        await fleet.begin()
        if not await fleet.configured(configuration()):
            return 2
        for worker in workers:
            worker.begin()
        await asyncio.sleep(3)
        feed = {"taskCount": WORKERS, "cpuUnits": FEED_CPU, "taskMemoryMb": 1024, "estimatedMs": 600,
                "apartFrom": 1, "longRunning": True}
        await client.submit("/feed/", {"taskSpec": "3600", "steps": [feed]})
        await asyncio.sleep(3)
        if sum(len(worker.running) for worker in workers) != WORKERS:
            return 2
        if trouble:
            plan = {"taskCount": PLAN_WIDTH, "cpuUnits": PLAN_CPU, "taskMemoryMb": 12000, "estimatedMs": 2400}
            await client.submit("/plan/", {"taskSpec": "2.4", "steps": [plan]})
        await asyncio.sleep(8)
        accepted = {}
        for _ in range(3):
            name, status = await client.submit("/scan/", gang())
            if status == 200:
                accepted[name] = time.monotonic()
            await asyncio.sleep(3)
        if not accepted:
            return 2
        await asyncio.sleep(WATCH_S)
        starved = []
        for name, accepted_at in accepted.items():
            starts = [at for worker in workers for at, task, _ in worker.starts if task.startswith(name)]
            waited = (min(starts) if starts else time.monotonic()) - accepted_at
            status, state = await client.state("/scan/", name)
            record(f"gang {name}: first start after {waited:.2f} s{'' if starts else ', none yet'};"
                   f" GET -> {status} {state}")
            if waited > NOTHING_RUNS_S:
                starved.append(name)
        used = sum(FEED_CPU for worker in workers for _ in worker.running) / (WORKERS * CORES)
        free = [CORES - FEED_CPU * len(worker.running) for worker in workers]
        record(f"room in use: {used:.3f} of the service; free on each worker: {free};"
               f" a gang asks for {GANG_WIDTH} x {GANG_CPU}")
        record(f"accepted gangs with nothing running for over {NOTHING_RUNS_S} s:"
               f" {len(starved)} of {len(accepted)}")
        return 1 if starved else 0
    finally:
        for line in fleet.log_lines(104, 109, 184)[:10]:
            record(f"log: {line}")
        await fleet.finish()


fleet2.main(case)
