"""One run of real daemons under a load, and what each role spent in it."""

import os
import tempfile
import time

import curio

from ...common.daemon_settings import split
from ..fleet.plans import PLANS
from .counted_fleet import CountedFleet
from .hollow import Hollow
from .load import JOB_TASKS
from .statistics import part

SETTLING_TIME = 3.0  # seconds; after a load is in place, before it is measured
SPENT_COUNTERS = (("syncs", "pinepitch_syncs_total"), ("entries", "pinepitch_entries_applied_total"))
# Where the data folders lie: a file system in memory leaves the disk out.
DATA = os.environ.get("TMPDIR", "/tmp")


async def _measure(load, seconds, seed, folder, data):
    plan = PLANS["small"]._replace(
        control_daemons=tuple("abc"[place % 3] for place in range(load.accords)),
        workers=(),
        fronts=("a",) * load.verges,
        founders=load.accords,
    )
    fleet = CountedFleet(plan, folder, data=data)
    hollow = Hollow([address for _, address in fleet.control_daemons], load, seed)
    names = [
        *(f"accord{place}" for place in range(load.accords)),
        *(f"verge{place}" for place in range(load.verges)),
    ]
    fleet.start_all()
    try:
        async with hollow.tasks:
            await _put_under_load(fleet, hollow, load)
            before = await _look(fleet, hollow, names)
            await curio.sleep(seconds)
            after = await _look(fleet, hollow, names)
            found = _results(load, hollow, names, before, after)
            found["given_up"] = fleet.given_up()
            await hollow.tasks.cancel_remaining()
    finally:
        fleet.stop()
    found["faults"] = hollow.check()
    return found


async def _put_under_load(fleet, hollow, load):
    """Starts the hollow workers and the load, and waits until both are in place."""
    await hollow.tasks.spawn(curio.tcp_server, *split(hollow.address), hollow.serve)
    await fleet.until(fleet.served, 30, "service")
    await hollow.configure()
    await hollow.tasks.spawn(hollow.work)
    await curio.sleep(SETTLING_TIME / 2)
    await hollow.fill()
    for rate, act in (
        (load.starts / JOB_TASKS, hollow.start_short),
        (load.changes, hollow.change),
        (load.calls, _caller(fleet, hollow)),
    ):
        if rate:
            await hollow.tasks.spawn(hollow.pace, rate, act)
    await curio.sleep(SETTLING_TIME)


def _caller(fleet, hollow):
    async def call():
        await curio.spawn(_called, fleet, hollow, daemon=True)

    return call


async def _called(fleet, hollow):
    answer = await fleet.call("GET", "/v1/setup")
    key = ("call", getattr(answer, "status", 0))
    if key[1] == 200:
        hollow.answers["call"] = hollow.answers.get("call", 0) + 1
    else:
        hollow.refused[key] = hollow.refused.get(key, 0) + 1


async def _look(fleet, hollow, names):
    """All counters at one moment."""
    taken = {
        "at": time.monotonic(),
        "own": time.process_time(),
        "answers": dict(hollow.answers),
        "marks": (len(hollow.heartbeat_waits), len(hollow.change_waits), len(hollow.lags)),
    }
    for place, name in enumerate(names):
        taken[name] = (
            fleet.spent(name),
            fleet.frames(name),
            await fleet.metrics(place) if name.startswith("accord") else {},
        )
    return taken


def _results(load, hollow, names, before, after):
    """What a window saw, by role."""
    lasted = after["at"] - before["at"]
    heartbeats, changes, lags = before["marks"]
    waits = hollow.start_waits(before["at"])
    return {
        "load": load._asdict(),
        "seconds": round(lasted, 2),
        "hollow_core": round((after["own"] - before["own"]) / lasted, 3),
        "lag_99": part(hollow.lags[lags:], 0.99),
        "running": sum(len(one.running) for one in hollow.workers),
        "beats": round((after["answers"].get("beat", 0) - before["answers"].get("beat", 0)) / lasted, 1),
        "beat_median": part(hollow.heartbeat_waits[heartbeats:], 0.5),
        "beat_99": part(hollow.heartbeat_waits[heartbeats:], 0.99),
        "starts": round(len(waits) / lasted, 1),
        "start_median": part(waits, 0.5),
        "start_99": part(waits, 0.99),
        "change_median": part(hollow.change_waits[changes:], 0.5),
        "change_99": part(hollow.change_waits[changes:], 0.99),
        "refused": {" ".join(map(str, key)): count for key, count in hollow.refused.items()},
        "roles": _roles(names, before, after, lasted),
        "leaders_lost": _leaders_lost(names, before, after),
        "stops": _stops(names, after),
    }


def _stops(names, after):
    """Control daemon -> what kept it from running or writing since its start: pauses, their seconds, and its
    syncs with their seconds. A lease lapses over 0.4 s of either.
    """
    counters = ("pauses_total", "paused_seconds_total", "sync_seconds_count", "sync_seconds_sum")
    return {
        name: {counter: after[name][2].get(f"pinepitch_{counter}") for counter in counters}
        for name in names
        if name.startswith("accord")
    }


def _leaders_lost(names, before, after):
    """By how many terms the control daemons went on in the window."""
    term = "pinepitch_term"
    return int(
        max(
            after[name][2].get(term, 0) - before[name][2].get(term, 0)
            for name in names
            if name.startswith("accord")
        )
    )


def _roles(names, before, after, lasted):
    """Role -> what the daemon in that role spent in the window, per second."""
    roles, followers = {}, 0
    for name in names:
        if name.startswith("verge"):
            role = name.replace("verge0", "verge")
        elif after[name][2].get("pinepitch_leading"):
            role = "leader"
        else:
            followers += 1
            role = f"follower{followers}"
        roles[role] = _spent(before[name], after[name], lasted)
    return roles


def _spent(before, after, lasted):
    """What one daemon spent between two looks, per second of the window."""
    (core, _, written), frames, metrics = before
    (core_after, resident, written_after), frames_after, metrics_after = after
    spent = {
        "core": round((core_after - core) / lasted, 4),
        "resident": resident,
        "disk": round((written_after - written) / lasted),
        "kinds": {},
    }
    for direction in ("in", "out"):
        by_kind = _frames_by_kind(frames[direction], frames_after[direction], lasted)
        spent[f"messages_{direction}"] = round(sum(count for count, _ in by_kind.values()), 1)
        spent[f"bytes_{direction}"] = sum(size for _, size in by_kind.values())
        largest = sorted(by_kind.items(), key=lambda one: -one[1][1])[:6]
        spent["kinds"][direction] = dict(largest)
    for figure, counter in SPENT_COUNTERS:
        if counter in metrics_after:
            spent[figure] = round((metrics_after[counter] - metrics[counter]) / lasted, 1)
    return spent


def _frames_by_kind(before, after, lasted):
    """Kind -> [frames, bytes] per second of the window."""
    by_kind = {}
    for kind, (count, size) in after.items():
        count_before, size_before = before.get(kind, (0, 0))
        by_kind[kind] = [round((count - count_before) / lasted, 1), round((size - size_before) / lasted)]
    return by_kind


def measure(load, seconds=8.0, seed=0, folder=None):
    """One run of real daemons under a load; what it saw. Records lie under TMPDIR: how long a disk
    takes to sync is no slope of a daemon, so a file system in memory tells most.
    """
    folder = folder or tempfile.mkdtemp(prefix="pinepitch-scale-")
    with tempfile.TemporaryDirectory(
        prefix="pinepitch-scale-", dir=DATA if os.path.isdir(DATA) else folder
    ) as data:
        return curio.run(_measure, load, seconds, seed, folder, data)
