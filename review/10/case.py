"""The leader is killed; clients that hand in jobs leave early and cancel them at another daemon. The cancel is acknowledged (410),
and a try to hand the job in that was still under way is taken after it: the cancelled job runs."""

import asyncio
import contextlib
import pathlib
import secrets
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet3
from fleet3 import CannotRun, Minion

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "lamp-control"
CLIENTS, LEAVE = 90, 30  # a third of the clients leave before their deadline
DOWN_S = 3.5
LEAVES_AFTER_S = 0.3 if fleet3.TROUBLE else 3.0  # of its 3 s a client waits so long for the answer to its job
DUE_S = 10.0
CANCEL_S = fleet3.BOUNDS["cancel_ms"] / 1000


async def case(fleet, record):
    await fleet.configure(fleet3.configuration(
        1, [("r-a", HOST, PREFIX, SERVICE, 2, 3, 5000, 3.2)], [(SERVICE, True)]
    ))
    minions = [
        Minion(fleet, SERVICE, fleet3.ZONES[place % 3], (16000, 65536, 0), ("ab"[place % 2], f"r1-{place // 5}"))
        for place in range(7)
    ]
    await asyncio.sleep(3.0)
    if fleet3.TROUBLE:
        leader = await leading(fleet)
        fleet.kill(leader)
        asyncio.get_running_loop().call_later(DOWN_S, fleet.start_again, leader)
    acknowledged = {}
    clients = [
        client(fleet, record, acknowledged, place * 0.005, place % (CLIENTS // LEAVE) == 0) for place in range(CLIENTS)
    ]
    await asyncio.gather(*clients)
    await asyncio.sleep(DUE_S + 4.0)
    late = []
    for minion in minions:
        for at, what, task, run in minion.history:
            cancelled_at = acknowledged.get(task.partition(".")[0])
            if what == "start" and cancelled_at is not None and at - cancelled_at > CANCEL_S:
                late.append((at - cancelled_at, task, run, minion.identity))
    if late:
        after, task, run, minion = max(late)
        return (
            f"UNASKED: {len(late)} starts of cancelled jobs; {minion} starts {task} run {run} {after:.1f} s after its job's cancel was"
            f" acknowledged (bound {CANCEL_S} s)"
        )
    return ""


async def leading(fleet):
    """The core machine that says that it leads (`pinepitch health` asks for the same)."""
    for core, host in enumerate(fleet.cores):
        _, health, _ = await fleet3.call(f"{host}:{fleet.first_port + 1}", "GET", "/v1/health")
        if health["role"] == "leader":
            return core
    raise CannotRun("no core machine leads")


async def client(fleet, record, acknowledged, delay, leaves):
    """Hands in a timed job at one front daemon. If it `leaves`, it does so before it has an answer, and cancels the job at
    another daemon.
    """
    await asyncio.sleep(delay)
    name = secrets.token_hex(8)
    job = fleet3.job(1, 1000, 800)
    job |= {"firstRunMs": int((time.time() + DUE_S) * 1000), "intervalMs": 1000, "repeatTimes": 1}
    if not leaves:
        await fleet.submit(HOST, PREFIX, job, name)
        return
    headers = (("Host", HOST), ("X-Deadline-Remaining", "3000"))
    try:
        status, _, _ = await fleet3.call(fleet.fronts[0], "POST", PREFIX + name, job, headers, timeout=LEAVES_AFTER_S)
    except (OSError, TimeoutError):
        status = "leaves without an answer"
    record("client", f"POST {PREFIX}{name} at {fleet.fronts[0]}: {status}")
    for turn in range(4):
        status = None
        with contextlib.suppress(OSError, TimeoutError):
            address = fleet.fronts[(turn + 1) % len(fleet.fronts)]
            status, _, _ = await fleet3.call(address, "DELETE", PREFIX + name, None, headers, timeout=3.0)
        record("client", f"DELETE {PREFIX}{name} at {address}: {status}")
        if status in (200, 410):
            acknowledged[name] = record.now()
            return
        await asyncio.sleep(0.2)


fleet3.run_case(pathlib.Path(__file__).parent, case)
