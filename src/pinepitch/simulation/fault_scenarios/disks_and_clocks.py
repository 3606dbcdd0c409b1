"""Fault scenarios of disks that are slow, stalled or full, and of clocks that are wrong."""

from ..simulator import START, Simulator
from ..stand_in_operator import Operator
from .targets import check_served, daemon_names, leader_often


def clocks(simulator: Simulator, operator: Operator) -> None:
    """Clocks jump either way, on one machine and on several."""
    for _ in range(6):
        count = simulator.draw.choice((1, 1, 2))
        for name in simulator.draw.sample(daemon_names(simulator), count):
            simulator.nodes[name].skew += simulator.draw.choice((-1, 1)) * simulator.draw.uniform(1, 600)
        simulator.run(simulator.draw.uniform(1, 3))
        for node in simulator.nodes.values():
            node.skew = 0.0
        simulator.run(simulator.draw.uniform(0.5, 2))


def disks(simulator: Simulator, operator: Operator) -> None:
    """Disks slow down, stall, and power goes just after an acknowledgement."""
    for _ in range(5):
        name = leader_often(simulator, 0.6)
        disk = simulator.nodes[name].disk
        manner = simulator.draw.choice(("slow", "stall", "power"))
        if manner == "slow":
            disk.slow = 40.0
        elif manner == "stall":
            disk.stalled = True
        else:
            simulator.kill(name)
        simulator.run(simulator.draw.uniform(1, 5))
        disk.slow, disk.stalled = 1.0, False
        if simulator.nodes[name].core is None:
            simulator.start(name)
        simulator.run(simulator.draw.uniform(0.5, 3))


def full(simulator: Simulator, operator: Operator) -> None:
    """Disks turn full and are given space again, the leader's among them."""
    for _ in range(4):
        name = leader_often(simulator, 0.7)
        simulator.nodes[name].disk.full = True
        simulator.run(simulator.draw.uniform(0.5, 6))
        check_served(simulator, operator, "with one full disk")
        if simulator.draw.random() < 0.3:
            simulator.kill(name)
            simulator.start(name)
        simulator.nodes[name].disk.full = False
        simulator.run(simulator.draw.uniform(0.5, 3))


def clock_outage(simulator: Simulator, operator: Operator) -> None:
    """One clock is wrong by an hour while leaders change, control daemons restart, all lose power."""
    draw = simulator.draw
    for turn in range(3):
        wrong = draw.choice(daemon_names(simulator, "accord"))
        simulator.nodes[wrong].skew = draw.choice((-1, 1)) * 3600.0
        manner = ("leader", "outage", "wrong")[(turn + simulator.seed) % 3]
        leader = simulator.leader()
        names = {
            "outage": daemon_names(simulator),
            "wrong": [wrong],
            "leader": [leader.name] if leader else [wrong],
        }[manner]
        for name in names:
            simulator.kill(name)
        simulator.run(draw.uniform(0.2, 2))
        for name in names:
            simulator.start(name)
        check_served(simulator, operator, "with one clock wrong")
        simulator.run(draw.uniform(2, 5))
        status, cluster = simulator.ask("GET", "/v1/cohort")
        if status == 200 and abs(cluster["time"] - START - simulator.now) > 1.0:
            operator.faults.append(
                f"cohort time is off by {cluster['time'] - START - simulator.now:.1f} s after {manner}"
            )
        simulator.nodes[wrong].skew = 0.0
        simulator.run(1)
