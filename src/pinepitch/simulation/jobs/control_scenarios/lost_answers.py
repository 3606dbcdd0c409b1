"""Fault scenarios of lost answers and connections."""

from .. import control_faults as faults
from ..fleet import Tenancy


def acknowledgements_lost(simulator: Tenancy) -> None:
    """Most answers to the operator are lost, so that it repeats its orders to other daemons."""
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
    """Connections of daemons are reset repeatedly, often while an order is pending."""
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
    """The daemon that a pending order of the operator was sent to, or None."""
    for request in simulator.requests.values():
        if request[0] == "call" and request[1] == "operator":
            return request[4]
    return None
