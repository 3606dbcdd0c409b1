"""Fault scenarios of the membership: disks lost, control daemons replaced, all restarted after a fault."""

import functools

from ..simulator import Simulator
from ..stand_in_operator import Operator
from .targets import check_served, daemon_names, is_in_membership, is_member


def wiped(simulator: Simulator, operator: Operator) -> None:
    """One control daemon loses its disk and comes back empty at its address, then another."""
    for _ in range(2):
        name = simulator.draw.choice(daemon_names(simulator, "accord"))
        simulator.kill(name)
        simulator.wipe(name)
        simulator.run(simulator.draw.uniform(0.1, 3))
        simulator.start(name)
        if simulator.until(functools.partial(is_member, simulator.nodes[name]), 30) is None:
            operator.faults.append(f"{name} came back empty and was not let in")
        simulator.run(4)


def replaced(simulator: Simulator, operator: Operator) -> None:
    """A control daemon dies for good; an empty one at a new address takes its place; twice.
    Seeds of later daemons name the new machines.
    """
    for turn in range(2):
        name = simulator.draw.choice(
            [one for one in daemon_names(simulator, "accord") if simulator.nodes[one].core is not None]
        )
        old = simulator.nodes[name]
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.5, 4))
        fresh = simulator.add(f"fresh{turn}", "accord", old.zone)
        live = [
            node.address
            for node in simulator.nodes.values()
            if node.kind != "minion" and node.core is not None
        ]
        simulator.seeds = [fresh.address, *simulator.draw.sample(live, 2)]
        simulator.start(fresh.name)
        old.kind = "retired"
        if simulator.until(functools.partial(is_in_membership, fresh), 30) is None:
            operator.faults.append(f"{fresh.name} was not let in")
        for front in daemon_names(simulator, "verge"):
            simulator.kill(front)
            simulator.start(front)
        simulator.run(5)


def forgotten(simulator: Simulator, operator: Operator) -> None:
    """One control daemon lags behind, one loses its disk, and the one that knows all is away."""
    leader = simulator.leader()
    followers = [one for one in daemon_names(simulator, "accord") if leader and one != leader.name]
    lagging, losing = simulator.draw.sample(followers, 2)
    simulator.partition([lagging], list(simulator.nodes))
    simulator.run(4)
    simulator.kill(leader.name)
    simulator.kill(losing)
    simulator.wipe(losing)
    simulator.start(losing)
    simulator.heal()
    simulator.run(8)
    simulator.start(leader.name)
    simulator.run(5)


def final(simulator: Simulator, operator: Operator) -> None:
    """A day of changes ends with a fault; then only a restart, and everything is read back."""
    for turn in range(3):
        operator.change({"queues": {"default": {"limit": 40 + turn}}})
    manner = ("power", "wiped", "frozen", "cut", "full", "clocks", "verges")[simulator.seed % 7]
    control_daemons, fronts = daemon_names(simulator, "accord"), daemon_names(simulator, "verge")
    if manner == "frozen":
        for name in control_daemons:
            simulator.freeze(name)
    elif manner == "cut":
        simulator.partition(control_daemons, control_daemons)
    elif manner == "full":
        for name in control_daemons:
            simulator.nodes[name].disk.full = True
    elif manner == "clocks":
        for name in simulator.draw.sample(control_daemons, (len(control_daemons) - 1) // 2):
            simulator.nodes[name].skew = simulator.draw.choice((-1, 1)) * 600.0
    simulator.run(simulator.draw.uniform(0.5, 4))
    simulator.heal()
    for name in fronts if manner == "verges" else control_daemons + fronts:
        simulator.kill(name)
        if simulator.nodes[name].disk is not None:
            simulator.nodes[name].disk.full = False
    if manner == "wiped":
        simulator.wipe(simulator.draw.choice(control_daemons))
    for name in control_daemons + fronts:
        if simulator.nodes[name].core is None:
            simulator.start(name)
    check_served(simulator, operator, f"after a day that ended with {manner}")
