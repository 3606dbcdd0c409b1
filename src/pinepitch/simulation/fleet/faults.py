"""What a fleet run may suffer half way. Each returns what it saw, for the record."""

import os
import resource
import shutil
import signal
import time
from typing import Any

import curio

from ...common import constants
from ...transport import http
from .processes import Fleet


async def _leader_place(fleet: Fleet) -> int:
    async def found() -> Any:
        answer = await fleet.call("GET", "/v1/cohort", front=time.time_ns())
        return isinstance(answer, http.Response) and answer.status == 200 and answer.document

    cluster = await fleet.until(found, 30, "the cohort")
    for member in cluster["members"]:
        if member["accord"] == cluster["leader"]:
            return [one[1] for one in fleet.control_daemons].index(member["address"])
    return 0


async def _back_within(fleet: Fleet) -> float:
    begun = time.monotonic()
    await fleet.until(fleet.served, 60, "service")
    return round(time.monotonic() - begun, 2)


async def kill_leader(fleet: Fleet) -> dict[str, Any]:
    """The leader dies hard and comes back."""
    return await _kill_beside_leader(fleet, 0)


async def kill_control_daemon(fleet: Fleet) -> dict[str, Any]:
    """A control daemon other than the leader dies hard and comes back."""
    return await _kill_beside_leader(fleet, 1)


async def _kill_beside_leader(fleet: Fleet, step: int) -> dict[str, Any]:
    """A control daemon dies hard, `step` places after the leader, and comes back."""
    place = (await _leader_place(fleet) + step) % len(fleet.control_daemons)
    fleet.kill(f"accord{place}")
    back = await _back_within(fleet)
    await curio.sleep(2)
    fleet.start_control_daemon(place)
    return {"killed": place, "served_again_after": back}


async def kill_zone(fleet: Fleet) -> dict[str, Any]:
    """The leader's zone: its control daemons and front daemons die and stay dead."""
    zone = fleet.control_daemons[await _leader_place(fleet)][0]
    for place, one in enumerate(fleet.control_daemons):
        if one[0] == zone:
            fleet.kill(f"accord{place}")
    for place, front in enumerate(fleet.fronts):
        if front[0] == zone:
            fleet.kill(f"verge{place}")
    return {"area": zone, "served_again_after": await _back_within(fleet)}


async def wipe(fleet: Fleet) -> dict[str, Any]:
    """One control daemon loses its disk and comes back empty at its address."""
    place = await _leader_place(fleet)
    fleet.kill(f"accord{place}")
    shutil.rmtree(os.path.join(fleet.data, f"accord{place}"))
    fleet.start_control_daemon(place)
    return {"wiped": place, "served_again_after": await _back_within(fleet)}


async def outage(fleet: Fleet) -> dict[str, Any]:
    """Every daemon dies at once; disks stay."""
    names = [name for name in fleet.processes if not name.startswith("minions")]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.again(name)
    return {"killed": len(names), "served_again_after": await _back_within(fleet)}


async def restart_fronts(fleet: Fleet) -> dict[str, Any]:
    """All front daemons die at once and start anew."""
    names = [name for name in fleet.processes if name.startswith("verge")]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.again(name)
    return {"killed": len(names), "served_again_after": await _back_within(fleet)}


async def _freeze(fleet: Fleet, name: str, seconds: float) -> None:
    fleet.kill(name, signal.SIGSTOP)
    await curio.sleep(seconds)
    fleet.kill(name, signal.SIGCONT)


FROZEN = (
    constants.SEND_WITHIN + constants.SEND_MARGIN + 1.5
)  # seconds; longer than any order may be under way


async def freeze_leader(fleet: Fleet) -> dict[str, Any]:
    """The leader stops and goes on later, none the wiser."""
    name = f"accord{await _leader_place(fleet)}"
    await _freeze(fleet, name, FROZEN)
    return {"frozen": name, "served_again_after": await _back_within(fleet)}


async def freeze_front(fleet: Fleet) -> dict[str, Any]:
    """A front daemon stops and goes on later, none the wiser."""
    await _freeze(fleet, "verge0", FROZEN)
    return {"frozen": "verge0", "served_again_after": await _back_within(fleet)}


async def freeze_worker(fleet: Fleet) -> dict[str, Any]:
    """A worker stops and goes on later, none the wiser."""
    begun = time.time()
    await _freeze(fleet, "minions-alone", FROZEN)
    fleet.absences.append([fleet.workers[0][0], begun, time.time()])
    return {"frozen": fleet.workers[0][0]}


async def kill_worker(fleet: Fleet) -> dict[str, Any]:
    """A worker dies with all that it ran and starts anew."""
    fleet.lose_worker()
    await curio.sleep(2)
    fleet.again("minions-alone")
    fleet.absences[-1][2] = time.time()
    return {"killed": fleet.workers[0][0]}


async def lose_worker(fleet: Fleet) -> dict[str, Any]:
    """A worker dies and never comes back; an operator says so some seconds later."""
    fleet.lose_worker()
    await curio.sleep(4)
    await fleet.operator.withdraw(fleet.workers[0][0], time.time())
    return {"lost": fleet.workers[0][0]}


async def withdraw_worker(fleet: Fleet) -> dict[str, Any]:
    """A machine is withdrawn at two seconds' notice."""
    await fleet.operator.withdraw(fleet.workers[0][0], time.time() + 2)
    await curio.sleep(1.9)
    fleet.lose_worker()
    return {"withdrawn": fleet.workers[0][0]}


async def empty_zone(fleet: Fleet) -> dict[str, Any]:
    """A zone is emptied and taken back, a worker elsewhere drained and let in again."""
    zone = fleet.plan.zones[1]
    await fleet.operator.close("area", zone)
    await fleet.operator.close("minion", fleet.workers[0][0])
    await curio.sleep(8)
    await fleet.operator.open("minion", fleet.workers[0][0])
    await fleet.operator.open("area", zone)
    return {"emptied": zone, "drained": fleet.workers[0][0]}


async def replace_control_daemon(fleet: Fleet) -> dict[str, Any]:
    """A control daemon is gone for good; an empty one at a new address takes its place, with other
    seeds; then the front daemons start anew with seeds that name the new one.
    """
    place = (await _leader_place(fleet) + 1) % len(fleet.control_daemons)
    zone = fleet.control_daemons[place][0]
    fleet.kill(f"accord{place}")
    live = [one[1] for other, one in enumerate(fleet.control_daemons) if other != place]
    fresh = fleet.add_control_daemon(zone, [live[0], fleet.fronts[0][1], fleet.fronts[-1][1]])
    address = fleet.control_daemons[fresh][1]

    async def member() -> bool:
        answer = await fleet.call("GET", "/v1/cohort", front=time.time_ns())
        cluster: Any = getattr(answer, "document", None)
        return (
            isinstance(answer, http.Response)
            and answer.status == 200
            and not cluster["changing"]
            and any(one["address"] == address for one in cluster["members"])
        )

    begun = time.monotonic()
    await fleet.until(member, 40, "the new accord as a member")
    took = round(time.monotonic() - begun, 2)
    fleet.seeds = ",".join([address, *live[:2]])
    for front in range(len(fleet.fronts)):
        fleet.kill(f"verge{front}")
        fleet.start_front(front)
    return {"gone": place, "member_after": took, "served_again_after": await _back_within(fleet)}


async def rolling_restart(fleet: Fleet) -> dict[str, Any]:
    """Every daemon is asked to stop, killed some seconds later if it has not, started anew."""
    killed = 0
    for name in [one for one in fleet.processes if not one.startswith("minions")]:
        process = fleet.processes[name]
        fleet.kill(name, signal.SIGTERM)
        end = time.monotonic() + 3
        while process.poll() is None and time.monotonic() < end:
            await curio.sleep(0.05)
        killed += process.poll() is None
        fleet.kill(name)
        fleet.again(name)
        await curio.sleep(0.5)
    return {"killed_after_warning": killed, "served_again_after": await _back_within(fleet)}


async def race_operators(fleet: Fleet) -> dict[str, Any]:
    """Two changes on one version at once, again and again, whole and partial, then a burst."""
    operator, won = fleet.operator, []
    queue = sorted(fleet.plan.queue_configuration["queues"])[0]
    limit = fleet.plan.queue_configuration["queues"][queue]["limit"]
    for turn in range(10):
        base = (await operator.persist("GET", "/v1/setup")).document["version"]
        group = [
            await curio.spawn(operator.change, {"queues": {queue: {"limit": limit + 2 * turn + one}}}, base)
            for one in range(2)
        ]
        won.append([await one.join() for one in group].count(200))
    if max(won) > 1:
        raise AssertionError(f"two changes on one version were accepted: {won}")
    burst = [
        await curio.spawn(operator.change, {"queues": {queue: {"limit": limit + one}}}) for one in range(50)
    ]
    return {"races": len(won), "won": sum(won), "burst": [await one.join() for one in burst].count(200)}


async def fill_disk(fleet: Fleet) -> dict[str, Any]:
    """The leader's process may write no byte to any file for some seconds: as on a full disk."""
    place = await _leader_place(fleet)
    process = fleet.processes[f"accord{place}"]
    before = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, before[1]))
    await curio.sleep(0.5)
    back = await _back_within(fleet)
    await curio.sleep(4)
    other = await _leader_place(fleet)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, before)
    await curio.sleep(2)
    if process.poll() is not None:
        raise AssertionError(f"the accord with the full disk ended with {process.poll()}")
    return {"full": place, "served_again_after": back, "leader_meanwhile": other}


# The registry of faults, by the names that `pinepitch fleet --disturb` takes.
FLEET_FAULTS = {
    "kill-accord": kill_control_daemon,
    "kill-leader": kill_leader,
    "kill-area": kill_zone,
    "wipe": wipe,
    "outage": outage,
    "restart-verges": restart_fronts,
    "freeze-leader": freeze_leader,
    "freeze-verge": freeze_front,
    "freeze-minion": freeze_worker,
    "kill-minion": kill_worker,
    "lose-minion": lose_worker,
    "withdraw-minion": withdraw_worker,
    "empty-area": empty_zone,
    "replace-accord": replace_control_daemon,
    "rolling-restart": rolling_restart,
    "race-operators": race_operators,
    "fill-disk": fill_disk,
}
