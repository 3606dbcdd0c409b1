"""Fault scenarios of control daemons and zones that are partitioned off."""

from .. import control_faults as faults
from ..fleet import Tenancy
from ..plans import LEADER_PART, tolerated
from ..scenarios import tenant_names
from .common import Strike

PARTITION_LASTS = 20.0  # seconds; of a control daemon cut off from the others


def _partition(simulator: Tenancy, more: Strike) -> None:
    names = tolerated(simulator.plan, simulator)
    manner = simulator.draw.choice((faults.BOTH, faults.BOTH, faults.OUTGOING, faults.INCOMING))
    faults.partition_off(simulator, names, manner)
    if simulator.draw.random() < 0.5:  # some tenants reach only those that are cut off
        others = [one for one in faults.control_names(simulator) if one not in names]
        simulator.partition(simulator.draw.sample(tenant_names(simulator), 2), others)
    more(simulator, names)
    simulator.served(f"while {', '.join(names)} were cut off ({manner})")
    simulator.run(PARTITION_LASTS - simulator.draw.uniform(0, 8))
    simulator.heal()
    simulator.run(faults.CATCH_UP)


def control_partitioned(simulator: Tenancy) -> None:
    """Control daemons are cut off from the others for 20 s, both ways or one way, the leader often."""
    _partition(simulator, lambda *_: None)


def _seeds_and_restart(simulator: Tenancy, names: list[str]) -> None:
    """New contact points begin with those that are cut off; the fronts are started anew."""
    simulator.run(simulator.draw.uniform(0, 2))
    others = [one for one in faults.control_names(simulator) if one not in names]
    faults.name_seeds(simulator, names, [*others, *names])
    faults.lose_power(simulator, faults.front_names(simulator))
    faults.start_soon(simulator, faults.front_names(simulator))


def control_partitioned_seeds(simulator: Tenancy) -> None:
    """The same, while the settings name those that are cut off as contact points and fronts restart."""
    _partition(simulator, _seeds_and_restart)


def _restart_each(simulator: Tenancy, names: list[str]) -> None:
    """Those that are cut off are restarted, then the others, one by one."""
    others = [one for one in faults.control_names(simulator) if one not in names]
    faults.lose_power(simulator, names)
    faults.start_soon(simulator, names)
    for name in others:
        simulator.run(simulator.draw.uniform(1, 2))
        simulator.kill(name)
        faults.start_soon(simulator, [name])


def control_partitioned_restart(simulator: Tenancy) -> None:
    """The same, while all are restarted, those that are cut off first."""
    _partition(simulator, _restart_each)


def zone_partitioned(simulator: Tenancy) -> None:
    """A zone is cut off from the others, the leader's often; callers reach it still."""
    leader = simulator.leader()
    zone = simulator.draw.choice(sorted(set(simulator.plan.areas)))
    if leader is not None and simulator.draw.random() < LEADER_PART:
        zone = leader.zone
    inside = [name for name, node in simulator.nodes.items() if node.zone == zone]
    outside = [name for name, node in simulator.nodes.items() if node.zone != zone]
    simulator.partition(inside, outside)
    simulator.run(simulator.draw.uniform(4, 14))
    simulator.heal()
    simulator.run(faults.CATCH_UP)
