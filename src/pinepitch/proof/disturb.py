"""What a fleet run may suffer half way. Each returns what it saw, for the record."""

import os
import shutil
import time

import curio

from ..ground import http


async def _leader_place(fleet):
    async def found():
        answer = await fleet.call("GET", "/v1/cohort", verge=time.time_ns())
        return isinstance(answer, http.Response) and answer.status == 200 and answer.document
    cohort = await fleet.until(found, 30, "the cohort")
    for member in cohort["members"]:
        if member["accord"] == cohort["leader"]:
            return [one[1] for one in fleet.accords].index(member["address"])
    return 0


async def _back_within(fleet):
    begun = time.monotonic()
    await fleet.until(fleet.served, 60, "service")
    return round(time.monotonic() - begun, 2)


async def kill_leader(fleet):
    return await _kill_beside_leader(fleet, 0)


async def kill_accord(fleet):
    return await _kill_beside_leader(fleet, 1)


async def _kill_beside_leader(fleet, step):
    """An accord dies hard, `step` places after the leader, and comes back."""
    place = (await _leader_place(fleet) + step) % len(fleet.accords)
    fleet.kill(f"accord{place}")
    back = await _back_within(fleet)
    await curio.sleep(2)
    fleet.start_accord(place)
    return {"killed": place, "served_again_after": back}


async def kill_area(fleet):
    """The leader's area: its accords and verges die and stay dead."""
    area = fleet.accords[await _leader_place(fleet)][0]
    for place, one in enumerate(fleet.accords):
        if one[0] == area:
            fleet.kill(f"accord{place}")
    for place, one in enumerate(fleet.verges):
        if one[0] == area:
            fleet.kill(f"verge{place}")
    return {"area": area, "served_again_after": await _back_within(fleet)}


async def wipe(fleet):
    """One accord loses its disk and comes back empty at its address."""
    place = await _leader_place(fleet)
    fleet.kill(f"accord{place}")
    shutil.rmtree(os.path.join(fleet.data, f"accord{place}"))
    fleet.start_accord(place)
    return {"wiped": place, "served_again_after": await _back_within(fleet)}


async def outage(fleet):
    """Every daemon dies at once; disks stay."""
    names = [name for name in fleet.processes if not name.startswith("minions")]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.again(name)
    return {"killed": len(names), "served_again_after": await _back_within(fleet)}


async def restart_verges(fleet):
    names = [name for name in fleet.processes if name.startswith("verge")]
    for name in names:
        fleet.kill(name)
    for name in names:
        fleet.again(name)
    return {"killed": len(names), "served_again_after": await _back_within(fleet)}


# The registry of disturbances.
DISTURBANCES = {
    "kill-accord": kill_accord,
    "kill-leader": kill_leader,
    "kill-area": kill_area,
    "wipe": wipe,
    "outage": outage,
    "restart-verges": restart_verges,
}
