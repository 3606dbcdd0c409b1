"""Random schedules of power losses, kills and full disks; fleet and seed suffice to replay a trial."""

import contextlib
import traceback
from unittest import mock

from ...common import constants
from .fleet import NORMAL_SLOWDOWN, PowerLossFleet
from .injected_faults import injected

# Small limits, so that images, segments and snapshot chunks are written all the time.
CONDITIONS = {
    "SNAPSHOT_ENTRIES": 40,
    "SNAPSHOT_TAIL": 10,
    "SNAPSHOT_CHUNK": 4_000,
    "FINISHED_LIVE": 6,
    "SEGMENT_JOBS": 4,
}
# As above, and finished jobs are forgotten soon, so that segments are removed.
SHORT_RETENTION = {**CONDITIONS, "FINISHED_KEPT": 12, "KEYS_KEPT": 1.0}
WORKERS = (("m", 4, 8, (), True),)
NINE_ZONES = ("a", "a", "a", "b", "b", "b", "c", "c", "c")
# The registry of fleets: name -> (arguments of the fleet, the constants of its trials).
FLEETS = {
    "three": ({"control_daemons": ("a", "b", "c"), "mode": "static"}, CONDITIONS),
    "five": (
        {"control_daemons": ("a", "a", "b", "b", "c"), "mode": "single", "founders": 5},
        CONDITIONS,
    ),
    "nine": ({"control_daemons": NINE_ZONES, "mode": "dynamic", "founders": 9}, CONDITIONS),
    "forgetful": ({"control_daemons": ("a", "b", "c"), "mode": "static", "forgets": True}, SHORT_RETENTION),
}
DISRUPTIONS_PER_TRIAL = 7
SERVED_WITHIN = 20.0  # seconds after the last disruption
ALL_END_WITHIN = 120.0  # seconds; for all jobs, once a leader serves again


# --- disruptions -----------------------------------------------------------------------------
def lose_power(fleet):
    """Some machines, often all, lose power at the same time and restart one after the other."""
    names = fleet.control_names()
    count = fleet.draw.choice((1, len(names) // 2, len(names), len(names)))
    _end_and_restart(fleet, fleet.draw.sample(names, count), power=True)


def kill(fleet):
    """Some processes are killed at the same time and restart one after the other."""
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
    """A disk is full for a while; in half of the cases its machine loses power meanwhile."""
    node = fleet.nodes[fleet.draw.choice(fleet.control_names())]
    node.disk.full = True
    fleet.run(fleet.draw.uniform(0.3, 3))
    if fleet.draw.random() < 0.5:
        fleet.end(node.name, power=True)
        fleet.start(node.name)
        fleet.run(fleet.draw.uniform(0, 1))
    node.disk.full = False


def slow_disk(fleet):
    """A disk is slow for a while, so that more writes are in progress when power is lost."""
    node = fleet.nodes[fleet.draw.choice(fleet.control_names())]
    node.disk.slow = 30.0
    fleet.run(fleet.draw.uniform(0.5, 2))
    fleet.end(node.name, power=True)
    node.disk.slow = NORMAL_SLOWDOWN
    fleet.start(node.name)


# The registry of disruptions; a repeated entry is chosen more often.
DISRUPTIONS = (lose_power, lose_power, kill, fill_disk, slow_disk)


def run(name, seed, injected_fault=""):
    """Runs one trial, with an injected fault if a name is given, and returns its faults."""
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
        for _ in range(DISRUPTIONS_PER_TRIAL):
            fleet.draw.choice(DISRUPTIONS)(fleet)
            fleet.run(fleet.draw.uniform(0.2, 3))
        _check_recovery(fleet)
    except Exception as error:  # reported as a fault, so that the trial can be replayed
        last_frame = traceback.extract_tb(error.__traceback__)[-1]
        fleet.fault(f"{type(error).__name__} at {last_frame.name}:{last_frame.lineno}: {error}")
    return fleet.faults


def _check_recovery(fleet):
    """Checks that, after the disruptions, a leader serves, all jobs end and the members agree."""

    def serves():
        leader = fleet.leader()
        return leader is not None and leader.core.consensus.serving()

    if fleet.until(serves, SERVED_WITHIN) is None:
        fleet.fault(f"no leader served within {SERVED_WITHIN:.0f} s")
    elif not fleet.finish(ALL_END_WITHIN):
        fleet.fault("jobs never ended")
    fleet.run(2)
    if not fleet.acknowledged or not any(caller.accepted for caller in fleet.callers.values()):
        fleet.fault("nothing was acknowledged")
    fleet.faults.extend(fleet.agreement())
