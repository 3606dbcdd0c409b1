"""Fault scenarios of the network: partitions, zones that are lost, bad links."""

from ..simulator import Simulator
from ..stand_in_operator import Operator
from .targets import check_served, daemon_names


def partitions(simulator: Simulator, operator: Operator) -> None:
    """Partitions: halves, single machines, one-way, around the leader."""
    for _ in range(6):
        daemons = daemon_names(simulator)
        manner = simulator.draw.choice(("halves", "alone", "one-way", "leader", "leader-deaf"))
        leader = simulator.leader()
        if manner == "halves":
            part = [one for one in daemons if simulator.draw.random() < 0.5]
            simulator.partition(part, [one for one in daemons if one not in part])
        elif manner in ("leader", "leader-deaf") and leader is not None:
            rest = [one for one in daemons if one != leader.name]
            if manner == "leader":
                simulator.partition([leader.name], rest)
            else:
                simulator.partition(rest, [leader.name], both=False)
        else:
            name = simulator.draw.choice(list(simulator.nodes))
            rest = [one for one in simulator.nodes if one != name]
            simulator.partition([name], rest, both=manner == "alone")
        simulator.run(simulator.draw.uniform(0.5, 5))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.2, 3))


def zones_fall(simulator: Simulator, operator: Operator) -> None:
    """A whole zone goes, the leader's among them, and comes back."""
    for _ in range(3):
        leader = simulator.leader()
        zones = sorted({node.zone for node in simulator.nodes.values()})
        zone = leader.zone if leader and simulator.draw.random() < 0.6 else simulator.draw.choice(zones)
        names = [name for name, node in simulator.nodes.items() if node.zone == zone]
        for name in names:
            if simulator.nodes[name].kind != "minion":
                simulator.kill(name)
        simulator.partition(
            [name for name in names if simulator.nodes[name].kind == "minion"], list(simulator.nodes)
        )
        simulator.run(simulator.draw.uniform(3, 6))
        check_served(simulator, operator, f"without area {zone}")
        simulator.heal()
        for name in names:
            if simulator.nodes[name].core is None:
                simulator.start(name)
        simulator.run(4)


def foul(simulator: Simulator, operator: Operator) -> None:
    """Loss, delay, doubling and reordering on every link."""
    simulator.loss, simulator.delay, simulator.double = 0.05, 0.06, 0.1
    simulator.run(15)
