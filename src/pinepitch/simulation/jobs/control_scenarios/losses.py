"""Fault scenarios in which daemons are lost, mostly right after an acknowledgement."""

from .. import control_faults as faults
from ..fleet import Tenancy
from ..plans import tolerated_losses
from .common import Strike, expect_complete, repair_disks, slow_some_disks

CLIENT_CALLS = ("job",)
ORDER_CALLS = ("configure", "amend", "evacuate")


def _strike_after_acknowledgement(simulator: Tenancy, strike: Strike) -> list[str]:
    """Brings about a fault right after an acknowledgement, or shortly after an order was sent. Returns the
    names of the daemons concerned, with the daemon that acknowledged among them.
    """
    if simulator.draw.random() < 0.3:
        simulator.orders.change()
        simulator.run(simulator.draw.uniform(0.005, 0.4))
        answered = None
    else:
        calls = simulator.draw.choice((CLIENT_CALLS, ORDER_CALLS, ORDER_CALLS))
        answered = faults.run_until_acknowledged(simulator, calls)
    names = tolerated_losses(simulator.plan, simulator)
    if answered in faults.control_names(simulator) and answered not in names:
        names[-1] = answered
    simulator.run(simulator.draw.uniform(0, 0.004))
    strike(simulator, names)
    return names


def killed_after_acknowledgement(simulator: Tenancy) -> None:
    """As many control daemons as the plan tolerates lose power, among them one that has just acknowledged a
    call. All are started again within some seconds.
    """
    for _ in range(3):
        names = _strike_after_acknowledgement(simulator, faults.lose_power)
        simulator.expect_service(f"while {', '.join(names)} were down")
        faults.start_soon(simulator, names)
        simulator.run(faults.CATCH_UP)


def wiped_after_acknowledgement(simulator: Tenancy) -> None:
    """As many control daemons as the plan tolerates lose their disks, among them one that has just
    acknowledged a call. At times all others, whose disks may be slow, lose power too.
    """
    for turn in range(2):
        slow_some_disks(simulator)
        names = _strike_after_acknowledgement(simulator, faults.wipe)
        if turn or simulator.draw.random() < 0.5:
            faults.lose_power(simulator, faults.control_names(simulator))
        repair_disks(simulator)
        simulator.run(simulator.draw.choice((0.0, 0.5, 2.0)))
        daemons = [name for name, node in simulator.nodes.items() if node.kind == "accord"]
        faults.start_soon(simulator, daemons)
        simulator.expect_service(f"after {', '.join(names)} had lost their disks")
        expect_complete(simulator, f"after {', '.join(names)} had lost their disks")
        simulator.run(faults.CATCH_UP)


def herd_killed(simulator: Tenancy) -> None:
    """All control daemons and front daemons lose power at once right after an acknowledgement, some with slow
    disks, and are started together. This is repeated, at times before the cluster has recovered.
    """
    for _ in range(3):
        slow_some_disks(simulator)
        faults.run_until_acknowledged(simulator, simulator.draw.choice((CLIENT_CALLS, ORDER_CALLS)))
        simulator.run(simulator.draw.uniform(0, 0.004))
        daemons = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        faults.lose_power(simulator, daemons)
        simulator.run(simulator.draw.choice((0.1, 1.5, 5.0)))
        repair_disks(simulator)
        faults.start_soon(simulator, daemons)
        if simulator.draw.random() < 0.7:
            simulator.expect_service("after all had lost power")
        simulator.run(simulator.draw.uniform(0, 3))


def zone_lost(simulator: Tenancy) -> None:
    """All daemons and workers of a zone lose power; later they are started again within 1.5 s."""
    for _ in range(2):
        zone = simulator.draw.choice(sorted(set(simulator.plan.areas)))
        names = [
            name for name, node in simulator.nodes.items() if node.zone == zone and node.kind != "retired"
        ]
        control_daemons = [name for name in names if simulator.nodes[name].kind == "accord"]
        for name in names:
            if simulator.nodes[name].core is not None:
                simulator.kill(name)
        simulator.run(simulator.draw.uniform(2, 6))
        if simulator.plan.machines_lost == 0 or len(control_daemons) <= simulator.plan.machines_lost:
            simulator.expect_service(f"without zone {zone}")
        for name in names:
            simulator.start(name)
            simulator.run(1.5 / len(names))
        simulator.run(faults.CATCH_UP)
