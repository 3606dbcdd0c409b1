"""What the fault scenarios of control daemons share."""

import functools
from collections.abc import Callable

from .. import control_faults as faults
from ..fleet import Tenancy
from ..scenarios import JOINS_WITHIN

Strike = Callable[[Tenancy, list[str]], object]  # what a scenario does to the named daemons
SLOW_DISK = 30.0  # times


def is_complete(simulator: Tenancy) -> bool:
    """Whether every member runs, as the leader knows the members, and no change of them is under way."""
    leader = simulator.leader()
    if leader is None or leader.core.consensus.membership.coming is not None:
        return False
    running = {simulator.nodes[name].core.identity for name in faults.control_names(simulator)}
    return set(leader.core.consensus.membership.members()) <= running


def expect_complete(simulator: Tenancy, why: str) -> None:
    """Ends the trial unless the seats of lost daemons are taken by running ones in time."""
    if simulator.until(functools.partial(is_complete, simulator), JOINS_WITHIN) is None:
        raise AssertionError(f"a seat was left to a lost daemon {why}")


def slow_some_disks(simulator: Tenancy) -> None:
    """Makes the disks of some control daemons slow, by chance."""
    for name in faults.control_names(simulator):
        simulator.nodes[name].disk.slow = simulator.draw.choice((1.0, SLOW_DISK))


def repair_disks(simulator: Tenancy) -> None:
    """Ends all faults of disks."""
    for node in simulator.nodes.values():
        if node.disk is not None:
            node.disk.slow, node.disk.stalled, node.disk.full = 1.0, False, False
