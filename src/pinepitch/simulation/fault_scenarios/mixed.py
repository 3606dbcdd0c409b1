"""A fault scenario made of others, one after another."""

from ..simulator import Simulator
from ..stand_in_operator import Operator
from .disks_and_clocks import clocks, disks
from .network import partitions
from .operators import operators
from .processes import freezes, kills
from .workers import workers_fail


def storm(simulator: Simulator, operator: Operator) -> None:
    """One thing after another, on fouler links, while operators work."""
    simulator.loss, simulator.double = 0.01, 0.02
    for _ in range(2):
        for one in simulator.draw.sample(
            (kills, partitions, freezes, disks, workers_fail, operators, clocks), 3
        ):
            one(simulator, operator)
            if simulator.draw.random() < 0.5:
                operator.cancel_some()
