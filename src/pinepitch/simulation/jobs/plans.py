"""Plans of simulated fleets: the control daemons, their zones, and the losses that they must tolerate."""

from typing import NamedTuple

LEADER_LOSS_PROBABILITY = 0.6  # of a loss that includes the leader


class FleetPlan(NamedTuple):
    """Invariant: with any `machines_lost` of the control daemons down, or where that is 0 with any
    one zone down, the others continue to serve.
    """

    areas: tuple  # the zone of each control daemon
    mode: str  # of the quorums
    voters: int  # members wanted in single mode
    machines_lost: int


def tolerated_losses(plan, simulator):
    """Names of randomly chosen control daemons that may be lost at once, often with the leader among them."""
    names = [
        name for name, node in simulator.nodes.items() if node.kind == "accord" and node.core is not None
    ]
    leader = simulator.leader()
    first = (
        leader.name
        if leader is not None and simulator.draw.random() < LEADER_LOSS_PROBABILITY
        else simulator.draw.choice(names)
    )
    if plan.machines_lost == 0:
        zone = simulator.nodes[first].zone
        return [name for name in names if simulator.nodes[name].zone == zone]
    others = [name for name in names if name != first]
    count = simulator.draw.randrange(plan.machines_lost)
    return [first, *simulator.draw.sample(others, min(count, len(others)))]


FLEET_PLANS = {
    "three": FleetPlan(("a", "b", "c"), "single", 3, 1),
    "five": FleetPlan(("a", "a", "b", "b", "c"), "single", 5, 2),
    "spares": FleetPlan(("a", "b", "c", "a", "b"), "single", 3, 1),
    "areas": FleetPlan(("a", "a", "a", "b", "b", "b", "c", "c", "c"), "static", 9, 0),
}
PLAN_NAMES = tuple(FLEET_PLANS)


def plan_for(seed):
    """The plan of the fleet of a seed; successive seeds use all plans in turn."""
    return FLEET_PLANS[PLAN_NAMES[seed % len(PLAN_NAMES)]]
