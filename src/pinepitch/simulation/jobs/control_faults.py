"""Single faults of control daemons, out of which fault scenarios are made."""

import functools
import itertools

from ...common import constants
from ..simulator import GRACE

CATCH_UP = 4.0  # seconds; a daemon counts as lost for this long after its start
TOGETHER = 0.3  # seconds; within which daemons that come back at once are started
OUTGOING, INCOMING, BOTH = "outgoing", "incoming", "both"  # what a cut takes away


def control_names(simulator):
    """Names of the control daemons that run."""
    return [name for name, node in simulator.nodes.items() if node.kind == "accord" and node.core is not None]


def front_names(simulator):
    """Names of the front daemons, running or not."""
    return [name for name, node in simulator.nodes.items() if node.kind == "verge"]


def partition_off(simulator, names, manner):
    """Cuts control daemons off from the others, silently; callers, tenants and fronts reach them still."""
    others = [name for name, node in simulator.nodes.items() if node.kind == "accord" and name not in names]
    if manner == INCOMING:
        simulator.partition(others, names, both=False)
    else:
        simulator.partition(names, others, both=manner == BOTH)


def start_soon(simulator, names):
    """Starts daemons within TOGETHER, in any order."""
    for name in names:
        simulator.at(
            simulator.draw.uniform(0, TOGETHER), "later", functools.partial(start_if_down, simulator, name)
        )
    simulator.run(TOGETHER + 0.01)


def start_if_down(simulator, name):
    """Starts a daemon unless it runs or is gone for good."""
    node = simulator.nodes[name]
    if node.core is None and node.kind != "retired":
        simulator.start(name)


def lose_power(simulator, names):
    """Several daemons lose power at once: what was not synced is there or not, each by itself."""
    for name in names:
        if simulator.nodes[name].core is not None:
            simulator.kill(name)


def wipe(simulator, names):
    """Daemons lose power and their disks."""
    lose_power(simulator, names)
    for name in names:
        simulator.wipe(name)


def run_until_acknowledged(simulator, calls, seconds=10.0):
    """Runs until one of the calls is acknowledged; the daemon that did it, or None."""
    known = len(simulator.acknowledgements)

    def fresh():
        return [one for one in simulator.acknowledgements[known:] if one[1] in calls]

    simulator.until(fresh, seconds, 0.001)
    return fresh()[0][2] if fresh() else None


def name_seeds(simulator, first=(), informed=()):
    """The settings name other contact points, `first` ahead; those of `told` read them again now."""
    live = [simulator.nodes[name].address for name in control_names(simulator)]
    ahead = [simulator.nodes[name].address for name in first]
    others = [one for one in live if one not in ahead]
    simulator.seeds = [*ahead, *simulator.draw.sample(others, len(others))][: constants.SEEDS]
    for name in informed:
        node = simulator.nodes[name]
        if node.core is not None:
            simulator.at(0.0, "give", name, node.incarnation, ("seeds", tuple(simulator.seeds)))


def publish_list(simulator):
    """Tenants learn which control daemons there are."""
    addresses = [simulator.nodes[name].address for name in control_names(simulator)]
    for node in simulator.nodes.values():
        if node.kind == "minion":
            node.core.control_daemons = addresses


def add_control(simulator, zone):
    """Starts an empty control daemon at a new address; its node. Its contact points are as the platform
    names them then: should all of those named before be gone, others are.
    """
    live = {simulator.nodes[name].address for name in control_names(simulator)}
    if not live & set(simulator.seeds):
        name_seeds(simulator)
    number = next(one for one in itertools.count() if f"fresh{one}" not in simulator.nodes)
    node = simulator.add(f"fresh{number}", "accord", zone)
    simulator.start(node.name)
    publish_list(simulator)
    return node


def retire(simulator, name):
    """A control daemon is gone for good."""
    if simulator.nodes[name].core is not None:
        simulator.kill(name)
    simulator.nodes[name].kind = "retired"
    publish_list(simulator)


def replace(simulator, name, after=1.0):
    """A control daemon is gone for good; an empty one comes at another address. The new one's node."""
    zone = simulator.nodes[name].zone
    retire(simulator, name)
    simulator.run(after)
    return add_control(simulator, zone)


def replace_planned(simulator, name, after=1.0):
    """An empty control daemon comes first, then the old one gets SIGTERM and ends in its grace.
    Returns the new one's node as soon as neither counts as lost any more.
    """
    begun = simulator.now
    fresh = add_control(simulator, simulator.nodes[name].zone)
    simulator.run(after)
    terminate(simulator, name)
    retire(simulator, name)
    simulator.run(max(0.0, begun + CATCH_UP - simulator.now))
    return fresh


def terminate(simulator, name):
    """SIGTERM; the daemon has ended when this returns, by itself or killed after its grace."""
    node = simulator.nodes[name]
    if node.core is not None:
        simulator.stop(name)
        simulator.until(lambda: node.core is None, GRACE + 1.0, 0.02)
