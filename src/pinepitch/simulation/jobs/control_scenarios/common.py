"""Helpers of the fault scenarios of control daemons."""

import functools
from collections.abc import Callable

from .. import control_faults as faults
from ..fleet import Tenancy
from ..scenarios import JOINS_WITHIN

Strike = Callable[[Tenancy, list[str]], object]  # brings about a fault of the named daemons
SLOW_DISK = 30.0  # times the usual duration of disk operations


def is_complete(simulator: Tenancy) -> bool:
    """Whether every member that the leader knows runs, and no change of members is pending."""
    leader = simulator.leader()
    if leader is None or leader.core.consensus.membership.coming is not None:
        return False
    running = {simulator.nodes[name].core.identity for name in faults.control_names(simulator)}
    return set(leader.core.consensus.membership.members()) <= running


def expect_complete(simulator: Tenancy, condition: str) -> None:
    """Ends the trial unless all members run within JOINS_WITHIN, after lost ones were replaced."""
    if simulator.until(functools.partial(is_complete, simulator), JOINS_WITHIN) is None:
        raise AssertionError(f"a lost daemon was still a member {condition}")


def slow_some_disks(simulator: Tenancy) -> None:
    """Makes the disks of some randomly chosen control daemons slow."""
    for name in faults.control_names(simulator):
        simulator.nodes[name].disk.slow = simulator.draw.choice((1.0, SLOW_DISK))


def repair_disks(simulator: Tenancy) -> None:
    """Ends all disk faults."""
    for node in simulator.nodes.values():
        if node.disk is not None:
            node.disk.slow, node.disk.stalled, node.disk.full = 1.0, False, False
