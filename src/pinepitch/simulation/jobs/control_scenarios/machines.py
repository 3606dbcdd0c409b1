"""Fault scenarios of degraded machines: disks, processors, clocks, settings."""

from .. import control_faults as faults
from ..fleet import Tenancy
from ..plans import tolerated_losses
from .common import SLOW_DISK, repair_disks

SLOW_MACHINE = (0.02, 0.15)  # seconds; the additional time that each step takes on a slow machine


def disks_bad(simulator: Tenancy) -> None:
    """Disks become slow, stall or fill up, as many as the plan tolerates, often that of the leader."""
    for _ in range(4):
        names = tolerated_losses(simulator.plan, simulator)
        disk_fault = simulator.draw.choice(("slow", "stalled", "full"))
        for name in names:
            disk = simulator.nodes[name].disk
            disk.slow = SLOW_DISK if disk_fault == "slow" else disk.slow
            disk.stalled, disk.full = disk_fault == "stalled", disk_fault == "full"
        simulator.run(simulator.draw.uniform(2, 6))
        if disk_fault != "slow":
            simulator.expect_service(f"while the disks of {', '.join(names)} were {disk_fault}")
        if simulator.draw.random() < 0.4:
            faults.lose_power(simulator, names)
            faults.start_soon(simulator, names)
        repair_disks(simulator)
        simulator.run(faults.CATCH_UP)


def machines_slow(simulator: Tenancy) -> None:
    """Machines become slow, often that of the leader, together with the machine of one front daemon."""
    for _ in range(3):
        names = tolerated_losses(simulator.plan, simulator)
        for name in [*names, simulator.draw.choice(faults.front_names(simulator))]:
            simulator.lag[name] = simulator.draw.uniform(*SLOW_MACHINE)
        simulator.run(simulator.draw.uniform(3, 6))
        simulator.lag.clear()
        simulator.run(simulator.draw.uniform(1, 3))


def control_frozen(simulator: Tenancy) -> None:
    """Control daemons and a front daemon are frozen during orders and later resume, unaware of the pause."""
    for _ in range(3):
        names = tolerated_losses(simulator.plan, simulator)
        names.append(simulator.draw.choice(faults.front_names(simulator)))
        for name in names:
            simulator.freeze(name)
        simulator.run(simulator.draw.choice((0.4, 1.0, 3.0, 9.0)) * simulator.draw.uniform(0.8, 1.2))
        for name in names:
            simulator.thaw(name)
        simulator.run(simulator.draw.uniform(1, faults.CATCH_UP))


def clocks_stepped(simulator: Tenancy) -> None:
    """The time of day jumps on some machines and later back, while daemons restart."""
    for _ in range(3):
        names = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        stepped = simulator.draw.sample(names, max(1, round(0.3 * len(names))))
        minority = (len(faults.control_names(simulator)) - 1) // 2
        stepped_control_daemons = [name for name in stepped if simulator.nodes[name].kind == "accord"][
            :minority
        ]
        step = simulator.draw.choice((-1, 1)) * simulator.draw.choice((2.0, 600.0))
        for name in stepped:
            if simulator.nodes[name].kind != "accord" or name in stepped_control_daemons:
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
    """The seeds in the settings change; some daemons read them again, others restart with them."""
    for _ in range(4):
        names = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        informed = simulator.draw.sample(names, max(1, len(names) // 3))
        faults.configure_seeds(simulator, simulator.draw.sample(faults.control_names(simulator), 1), informed)
        simulator.run(simulator.draw.uniform(0.1, 1))
        name = simulator.draw.choice(faults.control_names(simulator))
        faults.terminate(simulator, name)
        simulator.expect_service(f"after {name} was asked to stop")
        faults.start_soon(simulator, [name])
        simulator.run(faults.CATCH_UP)
