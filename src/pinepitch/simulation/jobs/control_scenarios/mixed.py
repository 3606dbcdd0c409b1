"""A fault scenario composed of others, with continuous minor faults in addition."""

import functools

from .. import control_faults as faults
from ..fleet import Tenancy
from ..scenarios import worker_names
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
    name = simulator.draw.choice(worker_names(simulator))
    simulator.kill(name)
    simulator.at(
        simulator.draw.uniform(0.1, 2), "later", functools.partial(_start_worker_if_down, simulator, name)
    )


def _start_worker_if_down(simulator: Tenancy, name: str) -> None:
    if simulator.nodes[name].down:
        simulator.start(name)


def _front_clock_stepped(simulator: Tenancy) -> None:
    simulator.nodes[simulator.draw.choice(faults.front_names(simulator))].skew = simulator.draw.choice(
        (-2.0, 2.0)
    )


def _connections_reset(simulator: Tenancy) -> None:
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    simulator.reset_connections(simulator.draw.choice(names), 0.5)


def _seeds_changed(simulator: Tenancy) -> None:
    if faults.control_names(simulator):
        faults.configure_seeds(simulator, (), simulator.draw.sample(faults.front_names(simulator), 1))


def _acknowledgements_lost(simulator: Tenancy) -> None:
    simulator.acknowledgement_loss = simulator.draw.choice((0.0, 0.3, 0.7))


MINOR_FAULTS = (
    _front_killed,
    _worker_killed,
    _front_clock_stepped,
    _connections_reset,
    _seeds_changed,
    _acknowledgements_lost,
)
MINOR_FAULT_EVERY = 1.5  # seconds; mean time between two minor faults


def mixed(simulator: Tenancy) -> None:
    """Several kinds of faults one after the other, with continuous minor faults in addition."""
    simulator.loss, simulator.double = 0.005, 0.01
    simulator.late_probability, simulator.max_lateness = 0.05, 2.0

    def inject_minor_fault() -> None:
        if simulator.orders.running:
            simulator.draw.choice(MINOR_FAULTS)(simulator)
            simulator.at(simulator.draw.uniform(0.5, 1.5) * MINOR_FAULT_EVERY, "later", inject_minor_fault)

    inject_minor_fault()
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
