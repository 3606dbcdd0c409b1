"""A fault scenario made of others, with small faults beside them all the time."""

import functools

from .. import control_faults as faults
from ..fleet import Tenancy
from ..scenarios import tenant_names
from .losses import herd_killed, killed_after_acknowledgement, wiped_after_acknowledgement
from .machines import control_frozen, disks_bad, machines_slow
from .partitions import control_partitioned, control_partitioned_seeds, zone_partitioned
from .repairs import loss_during_repair, replacement_chain


def _front_killed(simulator: Tenancy) -> None:
    name = simulator.draw.choice(faults.front_names(simulator))
    if simulator.nodes[name].core is not None and not simulator.nodes[name].frozen:
        simulator.kill(name)
        simulator.at(
            simulator.draw.uniform(0.1, 2), "later", functools.partial(faults.start_if_down, simulator, name)
        )


def _worker_killed(simulator: Tenancy) -> None:
    name = simulator.draw.choice(tenant_names(simulator))
    simulator.kill(name)
    simulator.at(simulator.draw.uniform(0.1, 2), "later", functools.partial(_worker_back, simulator, name))


def _worker_back(simulator: Tenancy, name: str) -> None:
    if simulator.nodes[name].down:
        simulator.start(name)


def _front_clock(simulator: Tenancy) -> None:
    simulator.nodes[simulator.draw.choice(faults.front_names(simulator))].skew = simulator.draw.choice(
        (-2.0, 2.0)
    )


def _some_resets(simulator: Tenancy) -> None:
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    simulator.reset_connections(simulator.draw.choice(names), 0.5)


def _settings(simulator: Tenancy) -> None:
    if faults.control_names(simulator):
        faults.name_seeds(simulator, (), simulator.draw.sample(faults.front_names(simulator), 1))


def _losses(simulator: Tenancy) -> None:
    simulator.acknowledgement_loss = simulator.draw.choice((0.0, 0.3, 0.7))


BESIDE = (_front_killed, _worker_killed, _front_clock, _some_resets, _settings, _losses)
BESIDE_EVERY = 1.5  # seconds; about, between two small faults beside the others


def mixed(simulator: Tenancy) -> None:
    """Several kinds of faults one after the other, with small ones beside them all the time."""
    simulator.loss, simulator.double = 0.005, 0.01
    simulator.late_part, simulator.late_most = 0.05, 2.0

    def strike() -> None:
        if simulator.orders.running:
            simulator.draw.choice(BESIDE)(simulator)
            simulator.at(simulator.draw.uniform(0.5, 1.5) * BESIDE_EVERY, "later", strike)

    strike()
    for scenario in simulator.draw.sample(MIXABLE, 2):
        scenario(simulator)


MIXABLE = (
    control_partitioned,
    control_partitioned_seeds,
    zone_partitioned,
    killed_after_acknowledgement,
    wiped_after_acknowledgement,
    herd_killed,
    disks_bad,
    machines_slow,
    control_frozen,
    loss_during_repair,
    replacement_chain,
)
