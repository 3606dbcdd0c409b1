"""Random schedules of losses of power, kills and full disks; a trial is replayed by its fleet and seed."""

import contextlib
import traceback
from unittest import mock

from ...common import constants
from .fleet import USUAL_SLOWNESS, PowerLossFleet
from .injected_faults import injected

# Images, segments and chunks of snapshots come all the time.
CONDITIONS = {
    "SNAPSHOT_ENTRIES": 40,
    "SNAPSHOT_TAIL": 10,
    "SNAPSHOT_CHUNK": 4_000,
    "FINISHED_LIVE": 6,
    "SEGMENT_JOBS": 4,
}
# The same, and finished jobs are forgotten soon, so that segments go.
FORGETFUL = {**CONDITIONS, "FINISHED_KEPT": 12, "KEYS_KEPT": 1.0}
WORKERS = (("m", 4, 8, (), True),)
NINE_ZONES = ("a", "a", "a", "b", "b", "b", "c", "c", "c")
# The registry of fleets: name -> (how the fleet is made, the constants of its trials).
FLEETS = {
    "three": ({"control_daemons": ("a", "b", "c"), "mode": "static"}, CONDITIONS),
    "five": (
        {"control_daemons": ("a", "a", "b", "b", "c"), "mode": "single", "founders": 5},
        CONDITIONS,
    ),
    "nine": ({"control_daemons": NINE_ZONES, "mode": "dynamic", "founders": 9}, CONDITIONS),
    "forgetful": ({"control_daemons": ("a", "b", "c"), "mode": "static", "forgets": True}, FORGETFUL),
}
TURNS = 7  # of trouble, in one trial
SERVED_WITHIN = 20.0  # seconds; once all is well again
ALL_END_WITHIN = 120.0  # seconds; jobs, once all is well again


# --- what happens in a turn ------------------------------------------------------------------
def lose_power(fleet):
    """Some machines lose power at once, often all, and come back one after the other."""
    names = fleet.control_names()
    count = fleet.draw.choice((1, len(names) // 2, len(names), len(names)))
    _end_and_restart(fleet, fleet.draw.sample(names, count), power=True)


def kill(fleet):
    """Some processes are killed at once."""
    names = fleet.control_names()
    count = fleet.draw.choice((1, 1, len(names)))
    _end_and_restart(fleet, fleet.draw.sample(names, count), power=False)


def _end_and_restart(fleet, names, power):
    for name in names:
        fleet.end(name, power)
    fleet.run(fleet.draw.choice((0.0, 0.3, 1.5)))
    for name in fleet.draw.sample(names, len(names)):
        fleet.start(name)
        fleet.run(fleet.draw.uniform(0, 0.3))


def fill_disk(fleet):
    """A disk is full for a while; at times its machine loses power meanwhile."""
    node = fleet.nodes[fleet.draw.choice(fleet.control_names())]
    node.disk.full = True
    fleet.run(fleet.draw.uniform(0.3, 3))
    if fleet.draw.random() < 0.5:
        fleet.end(node.name, power=True)
        fleet.start(node.name)
        fleet.run(fleet.draw.uniform(0, 1))
    node.disk.full = False


def slow_disk(fleet):
    """A disk is slow for a while, so that more is under way when the power goes."""
    node = fleet.nodes[fleet.draw.choice(fleet.control_names())]
    node.disk.slow = 30.0
    fleet.run(fleet.draw.uniform(0.5, 2))
    fleet.end(node.name, power=True)
    node.disk.slow = USUAL_SLOWNESS
    fleet.start(node.name)


# The registry of troubles.
TROUBLES = (lose_power, lose_power, kill, fill_disk, slow_disk)


def run(name, seed, injected_fault=""):
    """The faults of one trial, with an injected fault if one is named."""
    fleet, conditions = FLEETS[name]
    with contextlib.ExitStack() as stack:
        for constant, value in conditions.items():
            stack.enter_context(mock.patch.object(constants, constant, value))
        stack.enter_context(injected(injected_fault))
        return _run(PowerLossFleet(f"power-{seed}", workers=WORKERS, **fleet))


def _run(fleet):
    try:
        fleet.begin()
        fleet.run(4)
        for _ in range(TURNS):
            fleet.draw.choice(TROUBLES)(fleet)
            fleet.run(fleet.draw.uniform(0.2, 3))
        _check_recovery(fleet)
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        fleet.fault(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    return fleet.faults


def _check_recovery(fleet):
    """Once all is well again somebody serves, all jobs end, and the members agree."""

    def serves():
        leader = fleet.leader()
        return leader is not None and leader.core.consensus.serving()

    if fleet.until(serves, SERVED_WITHIN) is None:
        fleet.fault(f"nobody served within {SERVED_WITHIN:.0f} s")
    elif not fleet.finish(ALL_END_WITHIN):
        fleet.fault("jobs never ended")
    fleet.run(2)
    if not fleet.acknowledged or not any(caller.accepted for caller in fleet.callers.values()):
        fleet.fault("nothing was acknowledged")
    fleet.faults.extend(fleet.agreement())
