"""Fault scenarios of machines that serve badly: disks, processors, clocks, settings."""

from .. import control_faults as faults
from ..fleet import Tenancy
from ..plans import tolerated
from .common import SLOW_DISK, repair_disks

SLOW_MACHINE = (0.02, 0.15)  # seconds; that a slow machine takes longer for whatever it does


def disks_bad(simulator: Tenancy) -> None:
    """Disks turn slow, stand still or take no byte more, as many as may be lost, the leader's often."""
    for _ in range(4):
        names = tolerated(simulator.plan, simulator)
        manner = simulator.draw.choice(("slow", "stalled", "full"))
        for name in names:
            disk = simulator.nodes[name].disk
            disk.slow = SLOW_DISK if manner == "slow" else disk.slow
            disk.stalled, disk.full = manner == "stalled", manner == "full"
        simulator.run(simulator.draw.uniform(2, 6))
        if manner != "slow":
            simulator.served(f"while the disks of {', '.join(names)} were {manner}")
        if simulator.draw.random() < 0.4:
            faults.lose_power(simulator, names)
            faults.start_soon(simulator, names)
        repair_disks(simulator)
        simulator.run(faults.CATCH_UP)


def machines_slow(simulator: Tenancy) -> None:
    """Machines take longer for whatever they do, the leader's often, one front's too."""
    for _ in range(3):
        names = tolerated(simulator.plan, simulator)
        for name in [*names, simulator.draw.choice(faults.front_names(simulator))]:
            simulator.lag[name] = simulator.draw.uniform(*SLOW_MACHINE)
        simulator.run(simulator.draw.uniform(3, 6))
        simulator.lag.clear()
        simulator.run(simulator.draw.uniform(1, 3))


def control_frozen(simulator: Tenancy) -> None:
    """Control daemons and fronts stop in the midst of orders and go on later, none the wiser."""
    for _ in range(3):
        names = tolerated(simulator.plan, simulator)
        names.append(simulator.draw.choice(faults.front_names(simulator)))
        for name in names:
            simulator.freeze(name)
        simulator.run(simulator.draw.choice((0.4, 1.0, 3.0, 9.0)) * simulator.draw.uniform(0.8, 1.2))
        for name in names:
            simulator.thaw(name)
        simulator.run(simulator.draw.uniform(1, faults.CATCH_UP))


def clocks_stepped(simulator: Tenancy) -> None:
    """The time of day jumps on a share of the machines and back, while daemons restart."""
    for _ in range(3):
        names = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        wrong = simulator.draw.sample(names, max(1, round(0.3 * len(names))))
        few = (len(faults.control_names(simulator)) - 1) // 2
        counted = [name for name in wrong if simulator.nodes[name].kind == "accord"][:few]
        step = simulator.draw.choice((-1, 1)) * simulator.draw.choice((2.0, 600.0))
        for name in wrong:
            if simulator.nodes[name].kind != "accord" or name in counted:
                simulator.nodes[name].skew = step
        simulator.run(simulator.draw.uniform(1, 3))
        name = simulator.draw.choice(faults.control_names(simulator))
        simulator.kill(name)
        faults.start_soon(simulator, [name])
        simulator.run(simulator.draw.uniform(1, 3))
        for node in simulator.nodes.values():
            node.skew = 0.0
        simulator.run(faults.CATCH_UP)


def settings_changed(simulator: Tenancy) -> None:
    """The settings name other contact points, machines read them again or restart with them."""
    for _ in range(4):
        names = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        informed = simulator.draw.sample(names, max(1, len(names) // 3))
        faults.name_seeds(simulator, simulator.draw.sample(faults.control_names(simulator), 1), informed)
        simulator.run(simulator.draw.uniform(0.1, 1))
        name = simulator.draw.choice(faults.control_names(simulator))
        faults.terminate(simulator, name)
        simulator.served(f"after {name} was asked to stop")
        faults.start_soon(simulator, [name])
        simulator.run(faults.CATCH_UP)
