"""The fleets that the simulated jobs run on: how many control daemons, where, and what may be lost."""

from typing import NamedTuple

LEADER_PART = 0.6  # of losses that strike the leader


class FleetPlan(NamedTuple):
    """Invariant: with any `machines_lost` of the control daemons down, or where that is 0 with any
    one zone down, the others go on serving.
    """

    areas: tuple  # one for each control daemon
    mode: str  # of the quorums
    voters: int  # members wanted in single mode
    machines_lost: int


def tolerated(plan, simulator):
    """Names of control daemons that may be lost at once, drawn by lot, the leader often among them."""
    names = [
        name for name, node in simulator.nodes.items() if node.kind == "accord" and node.core is not None
    ]
    leader = simulator.leader()
    first = (
        leader.name
        if leader is not None and simulator.draw.random() < LEADER_PART
        else simulator.draw.choice(names)
    )
    if plan.machines_lost == 0:
        zone = simulator.nodes[first].zone
        return [name for name in names if simulator.nodes[name].zone == zone]
    others = [name for name in names if name != first]
    more = simulator.draw.randrange(plan.machines_lost)
    return [first, *simulator.draw.sample(others, min(more, len(others)))]


FLEET_PLANS = {
    "three": FleetPlan(("a", "b", "c"), "single", 3, 1),
    "five": FleetPlan(("a", "a", "b", "b", "c"), "single", 5, 2),
    "spares": FleetPlan(("a", "b", "c", "a", "b"), "single", 3, 1),
    "areas": FleetPlan(("a", "a", "a", "b", "b", "b", "c", "c", "c"), "static", 9, 0),
}
IN_TURN = tuple(FLEET_PLANS)


def plan_for(seed):
    """The plan of a seed's fleet: all in turn."""
    return FLEET_PLANS[IN_TURN[seed % len(IN_TURN)]]
