"""Fault scenarios of daemon processes: killed, frozen, without power, restarted."""

from ..simulator import Simulator
from ..stand_in_operator import Operator
from .targets import check_served, daemon_names


def calm(simulator: Simulator, operator: Operator) -> None:
    """Nothing goes wrong."""
    simulator.run(15)


def kills(simulator: Simulator, operator: Operator) -> None:
    """Daemons die hard and come back, one at a time."""
    for _ in range(6):
        name = simulator.draw.choice(daemon_names(simulator))
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.2, 4))
        simulator.start(name)
        simulator.run(simulator.draw.uniform(0.2, 3))


def leaders_fall(simulator: Simulator, operator: Operator) -> None:
    """The leader dies, again and again, some time after promising."""
    for _ in range(5):
        leader = simulator.leader()
        if leader is not None:
            simulator.kill(leader.name)
            simulator.run(simulator.draw.uniform(1, 5))
            simulator.start(leader.name)
        simulator.run(simulator.draw.uniform(0.5, 3))


def freezes(simulator: Simulator, operator: Operator) -> None:
    """Daemons and workers stop and go on later, none the wiser."""
    for _ in range(6):
        leader = simulator.leader()
        names = daemon_names(simulator) + daemon_names(simulator, "minion")
        name = leader.name if leader and simulator.draw.random() < 0.4 else simulator.draw.choice(names)
        simulator.freeze(name)
        simulator.run(simulator.draw.uniform(0.5, 6))
        simulator.thaw(name)
        simulator.run(simulator.draw.uniform(0.2, 3))


def fronts_restart(simulator: Simulator, operator: Operator) -> None:
    """All front daemons die at once; seeds are swapped."""
    for _ in range(3):
        simulator.run(simulator.draw.uniform(1, 3))
        for name in daemon_names(simulator, "verge"):
            simulator.kill(name)
        simulator.seeds = [
            simulator.nodes[one].address for one in simulator.draw.sample(daemon_names(simulator), 3)
        ]
        for name in daemon_names(simulator, "verge"):
            simulator.start(name)


def outage(simulator: Simulator, operator: Operator) -> None:
    """Everything loses power at once, and one disk is lost in it."""
    simulator.run(simulator.draw.uniform(2, 5))
    for name in daemon_names(simulator):
        simulator.kill(name)
    simulator.run(simulator.draw.uniform(0.5, 3))
    if simulator.draw.random() < 0.5:
        simulator.wipe(simulator.draw.choice(daemon_names(simulator, "accord")))
    for name in daemon_names(simulator):
        simulator.start(name)
    check_served(simulator, operator, "after a total outage")
    simulator.run(6)


def power(simulator: Simulator, operator: Operator) -> None:
    """Slow disks, and power goes everywhere just after changes were acknowledged."""
    for _ in range(3):
        for name in daemon_names(simulator, "accord"):
            simulator.nodes[name].disk.slow = simulator.draw.choice((20.0, 60.0))
        simulator.run(simulator.draw.uniform(2, 4))
        for name in daemon_names(simulator):
            simulator.kill(name)
        simulator.run(0.5)
        for name in daemon_names(simulator):
            simulator.start(name)
            if simulator.nodes[name].disk is not None:
                simulator.nodes[name].disk.slow = 1.0
        simulator.run(6)
