"""Single faults of control daemons, from which fault scenarios are composed."""

import functools
import itertools

from ...common import constants
from ..simulator import GRACE

CATCH_UP = 4.0  # seconds; a daemon counts as lost for this long after its start
START_WINDOW = 0.3  # seconds; daemons that restart together are started within this
OUTGOING, INCOMING, BOTH = "outgoing", "incoming", "both"  # the direction that a partition blocks


def control_names(simulator):
    """Names of the running control daemons."""
    return [name for name, node in simulator.nodes.items() if node.kind == "accord" and node.core is not None]


def front_names(simulator):
    """Names of the front daemons, running or not."""
    return [name for name, node in simulator.nodes.items() if node.kind == "verge"]


def partition_off(simulator, names, direction):
    """Partitions control daemons from the other control daemons, without resets of connections. Clients,
    workers and front daemons still reach them.
    """
    others = [name for name, node in simulator.nodes.items() if node.kind == "accord" and name not in names]
    if direction == INCOMING:
        simulator.partition(others, names, both=False)
    else:
        simulator.partition(names, others, both=direction == BOTH)


def start_soon(simulator, names):
    """Starts daemons within START_WINDOW, in random order."""
    for name in names:
        simulator.at(
            simulator.draw.uniform(0, START_WINDOW),
            "later",
            functools.partial(start_if_down, simulator, name),
        )
    simulator.run(START_WINDOW + 0.01)


def start_if_down(simulator, name):
    """Starts a daemon unless it runs or is retired."""
    node = simulator.nodes[name]
    if node.core is None and node.kind != "retired":
        simulator.start(name)


def lose_power(simulator, names):
    """Several daemons lose power at once; for each separately, unsynced data may be on its disk or not."""
    for name in names:
        if simulator.nodes[name].core is not None:
            simulator.kill(name)


def wipe(simulator, names):
    """Daemons lose power and their disks."""
    lose_power(simulator, names)
    for name in names:
        simulator.wipe(name)


def run_until_acknowledged(simulator, calls, seconds=10.0):
    """Runs until one of the calls is acknowledged; returns the daemon that acknowledged it, or None."""
    known = len(simulator.acknowledgements)

    def matching():
        return [entry for entry in simulator.acknowledgements[known:] if entry[1] in calls]

    simulator.until(matching, seconds, 0.001)
    return matching()[0][2] if matching() else None


def configure_seeds(simulator, first=(), informed=()):
    """Changes the seeds in the settings, with `first` in front; the daemons of `informed` read them now."""
    running = [simulator.nodes[name].address for name in control_names(simulator)]
    preferred = [simulator.nodes[name].address for name in first]
    others = [address for address in running if address not in preferred]
    simulator.seeds = [*preferred, *simulator.draw.sample(others, len(others))][: constants.SEEDS]
    for name in informed:
        node = simulator.nodes[name]
        if node.core is not None:
            simulator.at(0.0, "give", name, node.incarnation, ("seeds", tuple(simulator.seeds)))


def publish_daemon_list(simulator):
    """Gives the workers the addresses of the running control daemons."""
    addresses = [simulator.nodes[name].address for name in control_names(simulator)]
    for node in simulator.nodes.values():
        if node.kind == "minion":
            node.core.control_daemons = addresses


def add_control_daemon(simulator, zone):
    """Starts an empty control daemon at a new address; returns its node. If none of the seeds in the settings
    runs, the settings name others first, as the platform does.
    """
    running = {simulator.nodes[name].address for name in control_names(simulator)}
    if not running & set(simulator.seeds):
        configure_seeds(simulator)
    number = next(index for index in itertools.count() if f"fresh{index}" not in simulator.nodes)
    node = simulator.add(f"fresh{number}", "accord", zone)
    simulator.start(node.name)
    publish_daemon_list(simulator)
    return node


def retire(simulator, name):
    """Removes a control daemon permanently."""
    if simulator.nodes[name].core is not None:
        simulator.kill(name)
    simulator.nodes[name].kind = "retired"
    publish_daemon_list(simulator)


def replace(simulator, name, after=1.0):
    """Removes a control daemon for good and starts an empty one at another address; returns the new node."""
    zone = simulator.nodes[name].zone
    retire(simulator, name)
    simulator.run(after)
    return add_control_daemon(simulator, zone)


def replace_planned(simulator, name, after=1.0):
    """Starts an empty control daemon, then ends the old one by SIGTERM. Returns the new node once neither
    daemon counts as lost any more.
    """
    begun = simulator.now
    successor = add_control_daemon(simulator, simulator.nodes[name].zone)
    simulator.run(after)
    terminate(simulator, name)
    retire(simulator, name)
    simulator.run(max(0.0, begun + CATCH_UP - simulator.now))
    return successor


def terminate(simulator, name):
    """Sends SIGTERM to a daemon and waits until it has ended, by itself or killed after its grace period."""
    node = simulator.nodes[name]
    if node.core is not None:
        simulator.stop(name)
        simulator.until(lambda: node.core is None, GRACE + 1.0, 0.02)
