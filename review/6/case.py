"""Jobs that can never be done come while a standing feed runs on each worker; then sound jobs come."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2

WORKERS, CORES = 7, 16_000
FEED_CPU = 3_300  # the site's controller-feed: mean of `cpu`; 6 tasks that last, up to 36
POISON_WIDTH = 36  # the site's fault-check: `width` max 36, `cpu` mean 2,000, attempts 3
CHECK_CPU = 2_000
BEFORE, BEFORE_GAP_S = 62, 0.26  # the site's 3.83 a second
BETWEEN, AFTER, GAP_S = 3, 6, 1.0  # a quieter time; 2 of 73 can never be done: 0.027, the site states 0.03
NOTHING_RUNS_S = 3.0  # RULES.md, LOST


def configuration():
    """The two queues of the site's lamp-control that count here."""
    routes = [fleet2.route("r-check", "/check/", 0, 3), fleet2.route("r-feed", "/feed/", 1, 2)]
    return fleet2.configuration(1, routes)


def check(width):
    """A fault check."""
    step = {"taskCount": width, "cpuUnits": CHECK_CPU, "taskMemoryMb": 1024, "estimatedMs": 300}
    return {"taskSpec": fleet2.spec(0.3, CHECK_CPU), "steps": [step]}


async def case(record, trouble):
    fleet = fleet2.Fleet(record)
    workers = [fleet2.Worker(fleet, record, number, cpu=CORES) for number in range(WORKERS)]
    client = fleet2.Client(fleet, record)
    try:
        await fleet.begin()
        if not await fleet.configured(configuration()):
            return 2
        for worker in workers:
            worker.begin()
        room = fleet2.Room(workers)
        await asyncio.sleep(3)
        feed = {"taskCount": WORKERS, "cpuUnits": FEED_CPU, "taskMemoryMb": 1024, "estimatedMs": 600,
                "apartFrom": 1, "longRunning": True}
        await client.submit("/feed/", {"taskSpec": fleet2.spec(3600, FEED_CPU), "steps": [feed]})
        await asyncio.sleep(3)
        if sum(len(worker.running) for worker in workers) != WORKERS:
            return 2
        accepted = []

        async def checks(count, gap):
            for _ in range(count):
                name, status = await client.submit("/check/", check(2))
                accepted.extend([name] if status == 200 else [])
                await asyncio.sleep(gap)

        async def poison():
            name = fleet2.job_name()
            if trouble:
                for worker in workers:
                    worker.failing_jobs.add(name)
            await client.submit("/check/", check(POISON_WIDTH), name)
            await asyncio.sleep(GAP_S)
            return name

        await checks(BEFORE, BEFORE_GAP_S)
        first = await poison()
        await checks(BETWEEN, GAP_S)
        second = await poison()
        await checks(AFTER, GAP_S)
        traffic_end = time.monotonic()
        for name in (first, second):
            record(f"client: GET /check/{name} -> {await client.state('/check/', name)}")
        await asyncio.sleep(fleet2.BOUNDS["finish_s"] + 8)
        accepted = [name for name in accepted if (await client.state("/check/", name))[1] != "completed"]
        record(f"accepted checks that are not completed: {len(accepted)}")
        waits = {name: room.longest_wait(name, CHECK_CPU, 1, traffic_end + fleet2.BOUNDS["finish_s"], time.monotonic())
                 for name in accepted}
        for name, wait in waits.items():
            status, state = await client.state("/check/", name)
            record(f"check {name}: nothing running for {wait:.2f} s on end; GET -> {status} {state}")
        starved = [name for name, wait in waits.items() if wait > NOTHING_RUNS_S]
        _, used, free, _ = room.samples[-1]
        record(f"room in use: {used:.3f} of the service; free on each worker: {free}")
        record(f"accepted checks with nothing running for over {NOTHING_RUNS_S} s: {len(starved)} of {len(accepted)}")
        return 1 if starved else 0
    finally:
        for line in fleet.log_lines(104, 109, 184)[:10]:
            record(f"log: {line}")
        await fleet.finish()


fleet2.main(case)
