"""A job that can never be done comes while a standing feed runs on each worker; then sound jobs come."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2

WORKERS, CORES = 7, 16_000
FEED_CPU = 3_300  # the site's controller-feed: mean of `cpu`; 6 tasks that last, up to 36
POISON_WIDTH = 36  # the site's fault-check: `width` max 36, `cpu` mean 2,000, attempts 3
CHECK_EVERY_S = 1.0  # a quiet time: the site hands in up to 3.83 checks a second
CHECKS_BEFORE, CHECKS_BETWEEN, CHECKS_AFTER = 35, 3, 6  # 2 of 46 can never be done: 4.3 %; the site states up to 5 %
NOTHING_RUNS_S = 3.0  # RULES.md, LOST
WATCH_S = 25.0


def configuration():
    """The two queues of the site's lamp-control that count here."""
    routes = [fleet2.route("r-check", "/check/", 0, 3), fleet2.route("r-feed", "/feed/", 1, 2)]
    return fleet2.configuration(1, routes)


def check(width):
    """A fault check."""
    step = {"taskCount": width, "cpuUnits": 2000, "taskMemoryMb": 1024, "estimatedMs": 300}
    return {"taskSpec": "0.3", "steps": [step]}


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
        accepted = {}

        async def checks(count):
            for _ in range(count):
                name, status = await client.submit("/check/", check(2))
                if status == 200:
                    accepted[name] = time.monotonic()
                await asyncio.sleep(CHECK_EVERY_S)

        async def poison():
            name = fleet2.job_name()
            if trouble:
                for worker in workers:
                    worker.failing_jobs.add(name)
            await client.submit("/check/", check(POISON_WIDTH), name)
            await asyncio.sleep(CHECK_EVERY_S)
            return name

        await checks(CHECKS_BEFORE)
        first = await poison()
        await checks(CHECKS_BETWEEN)
        second = await poison()
        await checks(CHECKS_AFTER)
        for name in (first, second):
            record(f"client: GET /check/{name} -> {await client.state('/check/', name)}")
        await asyncio.sleep(WATCH_S)
        starved = []
        for name, accepted_at in accepted.items():
            starts = [at for worker in workers for at, task, _ in worker.starts if task.startswith(name)]
            waited = (min(starts) if starts else time.monotonic()) - accepted_at
            status, state = await client.state("/check/", name)
            record(f"check {name}: first start after {waited:.2f} s{'' if starts else ', none yet'};"
                   f" GET -> {status} {state}")
            if waited > NOTHING_RUNS_S:
                starved.append(name)
        used = sum(FEED_CPU for worker in workers for _ in worker.running) / (WORKERS * CORES)
        free = [CORES - FEED_CPU * len(worker.running) for worker in workers]
        record(f"room in use: {used:.3f} of the service; free on each worker: {free}; a check asks for 2 x 2000")
        record(f"accepted checks with nothing running for over {NOTHING_RUNS_S} s:"
               f" {len(starved)} of {len(accepted)}")
        return 1 if starved else 0
    finally:
        for line in fleet.log_lines(104, 109, 184)[:10]:
            record(f"log: {line}")
        await fleet.finish()


fleet2.main(case)
