"""Fault scenarios of partitioned control daemons and zones."""

from .. import control_faults as faults
from ..fleet import Tenancy
from ..plans import LEADER_LOSS_PROBABILITY, tolerated_losses
from ..scenarios import worker_names
from .common import Strike

PARTITION_LASTS = 20.0  # seconds; longest partition of a control daemon from the others


def _partition(simulator: Tenancy, additional_fault: Strike) -> None:
    names = tolerated_losses(simulator.plan, simulator)
    direction = simulator.draw.choice((faults.BOTH, faults.BOTH, faults.OUTGOING, faults.INCOMING))
    faults.partition_off(simulator, names, direction)
    if simulator.draw.random() < 0.5:  # some workers reach only the partitioned control daemons
        others = [other for other in faults.control_names(simulator) if other not in names]
        simulator.partition(simulator.draw.sample(worker_names(simulator), 2), others)
    additional_fault(simulator, names)
    simulator.expect_service(f"while {', '.join(names)} were cut off ({direction})")
    simulator.run(PARTITION_LASTS - simulator.draw.uniform(0, 8))
    simulator.heal()
    simulator.run(faults.CATCH_UP)


def control_partitioned(simulator: Tenancy) -> None:
    """Control daemons, often the leader among them, are partitioned from the others for up to 20 s, in one
    direction or both.
    """
    _partition(simulator, lambda *_: None)


def _seeds_and_restart(simulator: Tenancy, names: list[str]) -> None:
    """Puts the partitioned daemons first among the seeds and restarts the front daemons."""
    simulator.run(simulator.draw.uniform(0, 2))
    others = [other for other in faults.control_names(simulator) if other not in names]
    faults.configure_seeds(simulator, names, [*others, *names])
    faults.lose_power(simulator, faults.front_names(simulator))
    faults.start_soon(simulator, faults.front_names(simulator))


def control_partitioned_seeds(simulator: Tenancy) -> None:
    """As control_partitioned, while the seeds begin with the partitioned daemons and the front daemons
    restart.
    """
    _partition(simulator, _seeds_and_restart)


def _restart_each(simulator: Tenancy, names: list[str]) -> None:
    """Restarts the partitioned daemons, then the others one by one."""
    others = [other for other in faults.control_names(simulator) if other not in names]
    faults.lose_power(simulator, names)
    faults.start_soon(simulator, names)
    for name in others:
        simulator.run(simulator.draw.uniform(1, 2))
        simulator.kill(name)
        faults.start_soon(simulator, [name])


def control_partitioned_restart(simulator: Tenancy) -> None:
    """As control_partitioned, while all control daemons restart, the partitioned ones first."""
    _partition(simulator, _restart_each)


def zone_partitioned(simulator: Tenancy) -> None:
    """A zone, often that of the leader, is partitioned from the others; clients still reach it."""
    leader = simulator.leader()
    zone = simulator.draw.choice(sorted(set(simulator.plan.areas)))
    if leader is not None and simulator.draw.random() < LEADER_LOSS_PROBABILITY:
        zone = leader.zone
    inside = [name for name, node in simulator.nodes.items() if node.zone == zone]
    outside = [name for name, node in simulator.nodes.items() if node.zone != zone]
    simulator.partition(inside, outside)
    simulator.run(simulator.draw.uniform(4, 14))
    simulator.heal()
    simulator.run(faults.CATCH_UP)
