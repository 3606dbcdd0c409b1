"""Fault scenarios of answers and connections that are lost."""

from .. import control_faults as faults
from ..fleet import Tenancy


def acknowledgements_lost(simulator: Tenancy) -> None:
    """Most answers to the operator are lost, so that it sends the same again to other daemons."""
    simulator.acknowledgement_loss = 0.7
    simulator.run(simulator.draw.uniform(2, 4))
    name = simulator.draw.choice(faults.control_names(simulator))
    simulator.kill(name)
    simulator.run(simulator.draw.uniform(1, 4))
    faults.start_if_down(simulator, name)
    simulator.run(simulator.draw.uniform(2, 4))
    simulator.acknowledgement_loss = 0.0
    simulator.run(1)


def connections_reset(simulator: Tenancy) -> None:
    """Connections of daemons are reset, again and again, often while an order is under way."""
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    for _ in range(60):
        simulator.reset_connections(simulator.draw.choice(names), 0.5)
        if simulator.draw.random() < 0.5:
            simulator.until(lambda: _daemon_of_order(simulator), 1.0, 0.004)
            simulator.run(simulator.draw.uniform(0, 0.02))
            name = _daemon_of_order(simulator)
            if name is not None:
                simulator.reset_connections(name, 0.8)
        simulator.run(simulator.draw.uniform(0.05, 0.25))


def _daemon_of_order(simulator: Tenancy) -> str | None:
    """The daemon that an order of the operator is under way to, or None."""
    for waiting in simulator.requests.values():
        if waiting[0] == "call" and waiting[1] == "operator":
            return waiting[4]
    return None
