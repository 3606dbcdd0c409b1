"""Recurring jobs that no minion can run are accepted among others; each leader's process hangs in turn."""

import asyncio
import collections
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools3"))
from clients import Clients, spec
from deployment import LIMITS, ZONES, Deployment, exit_with, route, service
from minion import Minion

TROUBLE = os.environ.get("TROUBLE") != "0"
SECONDS = 50  # of traffic
EVERY = 0.2  # seconds; 5 jobs a second, the site's 5.2
POISON_EVERY = 33  # one in 33 jobs can never be done: the 3 % that the site's kinds of request have at any time
IDLE_MOST = 3.0  # seconds that a job may have nothing running beside room for it
FINISH = 14  # seconds; finish_s of the site
SMALL = {"taskSpec": spec(300, 1000), "steps": [{"taskCount": 1, "cpuUnits": 1000, "estimatedMs": 300}]}


def hopeless(now_ms):
    """A job of 10 tasks every minute, 1,000 times, that needs a label which no minion has; its first time was
    1,000 minutes ago.
    """
    step = {"taskCount": 10, "cpuUnits": 1000, "estimatedMs": 300, "requiredLabels": "c"}
    return {
        "taskSpec": spec(300, 1000),
        "steps": [step],
        "repeatTimes": 1000,
        "firstRunMs": now_ms - 60_000_000,
        "intervalMs": 60_000,
    }


async def traffic(clients):
    """Hands jobs in; returns the paths of those that can be done."""
    pending, hopeless_tasks = [], []
    for number in range(int(SECONDS / EVERY)):
        if number % POISON_EVERY == POISON_EVERY - 1 and TROUBLE:
            job = hopeless(int(time.time() * 1000))
            hopeless_tasks.append(asyncio.create_task(clients.hand_in("/check/", job)))
        else:
            pending.append(asyncio.create_task(clients.hand_in("/check/", SMALL)))
        await asyncio.sleep(EVERY)
    paths = await asyncio.gather(*pending)
    await asyncio.gather(*hopeless_tasks)
    return [path for path in paths if path is not None]


def first_starts(history):
    """Identity of a job -> when a minion began its first task."""
    starts = {}
    for at, what, _, task, *_ in history:
        if what == "start":
            starts.setdefault(task.split(".")[0], at)
    return starts


async def main(record):
    deployment = Deployment(record)
    try:
        deployment.start_all()
        supervisor = asyncio.create_task(deployment.supervise())
        configuration = {
            "configVersion": 1,
            "routes": [route("checks", "h.example", "/check/", "lamp-control")],
            "services": [service("lamp-control")],
            "limits": LIMITS,
        }
        if not await deployment.configure(configuration) or not await deployment.wait_ready():
            return 2
        history = []
        minions = [
            Minion(f"m{n}", "lamp-control", ZONES[n % 3], deployment.controls, record, history=history)
            for n in range(6)
        ]
        for minion in minions:
            minion.begin()
        await asyncio.sleep(2)
        clients = Clients(deployment, record)
        if await clients.hand_in("/check/", SMALL) is None:
            return 2
        paths = await traffic(clients)
        record("the traffic ends; accepted:", len(clients.accepted), "not:", len(clients.refused))
        await asyncio.sleep(FINISH)
        asked = await asyncio.gather(*(clients.state(path) for path in paths))
        record("after finish_s the small jobs are shown as", dict(collections.Counter(asked)))
        starts = first_starts(history)
        idle = []
        for path in paths:
            accepted, identity = clients.accepted[path], path.rsplit("/", 1)[1]
            waited = starts.get(identity, record.now()) - accepted
            if waited > IDLE_MOST:
                idle.append(path)
                record("nothing ran of", path, f"for {waited:.1f} s", "started" if identity in starts else "never")
        unanswered = [state for state in asked if not isinstance(state, str)]
        record("LOST (idle beside room):", len(idle), "of", len(paths), "accepted small jobs")
        record("LOST (not known or not answered at finish_s):", len(unanswered))
        for name in deployment.names("core"):
            record(name, "says:", deployment.log_tail(name, 4))
        supervisor.cancel()
        return 1 if idle or unanswered else 0
    finally:
        deployment.stop()


exit_with(main, HERE / "record.txt")
