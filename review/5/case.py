"""Recurring jobs that no worker can run are accepted among small ones; the leaders' processes hang in turn."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2

WORKERS, CORES = 7, 16_000
SECONDS, GAP_S = 60, 0.2  # of traffic; 5 jobs a second, the site's queues add up to 5.2
HOPELESS_EVERY = 34  # one job in 34 can never be done, 9 of 300: the site states 0.03
CHECK_CPU = 2_000  # the site's fault-check: mean of `cpu`
TIMES, STEPS = 1_000, 10  # of a hopeless job: steps of one task, one time a minute
NOTHING_RUNS_S = 3.0  # RULES.md, LOST


def check():
    """A fault check."""
    step = {"taskCount": 1, "cpuUnits": CHECK_CPU, "taskMemoryMb": 1024, "estimatedMs": 300}
    return {"taskSpec": fleet2.spec(0.3, CHECK_CPU), "steps": [step]}


def hopeless():
    """A job that needs a label which no worker has, every minute since TIMES minutes ago."""
    step = {"taskCount": 1, "cpuUnits": CHECK_CPU, "taskMemoryMb": 1024, "estimatedMs": 300, "requiredLabels": "c"}
    first_ms = int(time.time() * 1000) - TIMES * 60_000
    return {"taskSpec": fleet2.spec(0.3, CHECK_CPU), "steps": [step] * STEPS, "repeatTimes": TIMES,
            "firstRunMs": first_ms, "intervalMs": 60_000}


async def known(client, name):
    """The state of a job, or None if none of three tries was answered 200."""
    for _ in range(3):
        status, state = await client.state("/check/", name)
        if status == 200:
            return state
    return None


async def case(record, trouble):
    fleet = fleet2.Fleet(record)
    workers = [fleet2.Worker(fleet, record, number, cpu=CORES) for number in range(WORKERS)]
    client = fleet2.Client(fleet, record)
    accepted = {}  # name of a sound job -> when it was accepted

    async def hand_in(document, sound):
        name, status = await client.submit("/check/", document)
        if status == 200 and sound:
            accepted[name] = time.monotonic()

    try:
        await fleet.begin()
        if not await fleet.configured(fleet2.configuration(1, [fleet2.route("r-check", "/check/", 0, 3)])):
            return 2
        for worker in workers:
            worker.begin()
        room = fleet2.Room(workers)
        await asyncio.sleep(3)
        calls = []
        for number in range(int(SECONDS / GAP_S)):
            sound = number % HOPELESS_EVERY != 0
            if sound or trouble:
                calls.append(asyncio.create_task(hand_in(check() if sound else hopeless(), sound)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*calls)
        traffic_end = time.monotonic()
        record(f"the traffic ends; sound jobs accepted: {len(accepted)}")
        await asyncio.sleep(fleet2.BOUNDS["finish_s"])
        states = await asyncio.gather(*(known(client, name) for name in accepted))
        record(f"{fleet2.BOUNDS['finish_s']} s after the traffic they are shown as {dict(collections.Counter(states))}")
        started = {}
        for at, task, _ in sorted(start for worker in workers for start in worker.starts):
            started.setdefault(task.split(".")[0], at)
        starved = 0
        for name, at in accepted.items():
            wait = room.longest_wait(name, CHECK_CPU, 1, at, started.get(name, time.monotonic()))
            if wait > NOTHING_RUNS_S:
                starved += 1
                record(f"check {name}: nothing running for {wait:.2f} s on end from {at - record.begun:.1f} s on")
        unanswered = sum(state is None for state in states)
        record(f"accepted checks with nothing running for over {NOTHING_RUNS_S} s: {starved} of {len(accepted)}")
        record(f"accepted checks not answered in three tries after finish_s: {unanswered} of {len(accepted)}")
        record(f"most memory held, MB: { {name: round(size) for name, size in fleet.peak.items()} }")
        return 1 if starved or unanswered else 0
    finally:
        for line in fleet.log_lines(104, 108, 109, 123, 184)[-12:]:
            record(f"log: {line}")
        await fleet.finish()


fleet2.main(case)
