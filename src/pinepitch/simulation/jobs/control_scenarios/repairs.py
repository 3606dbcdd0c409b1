"""Fault scenarios of further faults during the repair after a control daemon was lost or replaced."""

from ...machines import Node
from .. import control_faults as faults
from ..fleet import Tenancy
from ..scenarios import JOINS_WITHIN, is_member
from .common import expect_complete

MANY_CHANGES = 200  # in one trial
CHANGE_EVERY = 0.06  # seconds; mean time between two changes


def _asked_to_join(simulator: Tenancy, node: Node) -> bool:
    leader = simulator.leader()
    return (
        leader is not None and node.core is not None and node.core.identity in leader.core.consensus.learners
    )


def _snapshot_in_transit(simulator: Tenancy, node: Node) -> bool:
    leader = simulator.leader()
    follower = leader.core.consensus.followers.get(node.core.identity) if leader and node.core else None
    return follower is not None and follower.transfer is not None and follower.transfer.payload is not None


def _change_begun(simulator: Tenancy, node: Node) -> bool:
    leader = simulator.leader()
    return leader is not None and leader.core.consensus.membership.coming is not None


def _change_committed(simulator: Tenancy, node: Node) -> bool:
    """Whether the joint membership is committed, and the final one not yet."""
    leader = simulator.leader()
    if leader is None:
        return False
    consensus = leader.core.consensus
    return consensus.membership.coming is None and consensus.membership_index > consensus.applied_index


def _admitted(simulator: Tenancy, node: Node) -> bool:
    return node.core is not None and is_member(node)


REPAIR_STEPS = {
    "asked to join": _asked_to_join,
    "a snapshot is under way": _snapshot_in_transit,
    "the change of members has begun": _change_begun,
    "the joint list is committed": _change_committed,
    "the newcomer is a member": _admitted,
}
STEP_TIMEOUT = 8.0  # seconds; until a repair reaches the wanted step


def _lose_second(simulator: Tenancy, step: str, node: Node) -> None:
    """Loses a second daemon at a step of a repair: the newcomer, the leader or another one. It is partitioned
    off or loses power, and returns soon. Where the plan tolerates two lost daemons, it may lose its disk too.
    """
    step_reached = REPAIR_STEPS[step]
    if simulator.until(lambda: step_reached(simulator, node), STEP_TIMEOUT, 0.002) is None:
        return
    names = faults.control_names(simulator)
    leader = simulator.leader()
    victims = [node.name, simulator.draw.choice(names), leader.name if leader else node.name]
    name = simulator.draw.choice([victim for victim in victims if victim in names] or names)
    loss = simulator.draw.choice(("power", "cut", "wipe" if simulator.plan.machines_lost > 1 else "power"))
    if loss == "cut":
        faults.partition_off(
            simulator, [name], simulator.draw.choice((faults.BOTH, faults.OUTGOING, faults.INCOMING))
        )
        simulator.run(simulator.draw.uniform(0.5, 6))
        simulator.heal()
        return
    (faults.wipe if loss == "wipe" else faults.lose_power)(simulator, [name])
    simulator.run(simulator.draw.choice((0.0, 0.5, 2.0)))
    faults.start_soon(simulator, [name])


def loss_during_repair(simulator: Tenancy) -> None:
    """A control daemon loses its disk or is replaced; a second one is lost at a step of the repair."""
    for _ in range(2):
        step = simulator.draw.choice(list(REPAIR_STEPS))
        victim = simulator.draw.choice(faults.control_names(simulator))
        if simulator.draw.random() < 0.5:
            faults.wipe(simulator, [victim])
            simulator.run(simulator.draw.uniform(0, 1))
            faults.start_soon(simulator, [victim])
            node = simulator.nodes[victim]
        else:
            node = faults.replace(simulator, victim)
        _lose_second(simulator, step, node)
        simulator.expect_service(f"after a loss as {step}", within=JOINS_WITHIN)
        expect_complete(simulator, f"after a loss as {step}")
        simulator.run(faults.CATCH_UP)


def replacement_chain(simulator: Tenancy) -> None:
    """Control daemons are lost permanently and replaced one after another, at times the last replacement,
    each as soon as the previous one no longer counts as lost.
    """
    last = None
    for _ in range(6):
        names = faults.control_names(simulator)
        name = last if last in names and simulator.draw.random() < 0.4 else simulator.draw.choice(names)
        last = faults.replace(simulator, name).name
        simulator.run(faults.CATCH_UP)
        if simulator.draw.random() < 0.3:
            faults.configure_seeds(simulator, [last], faults.front_names(simulator))
    simulator.expect_service("after six replacements")
    expect_complete(simulator, "after six replacements")


def replacement_planned(simulator: Tenancy) -> None:
    """Control daemons are replaced as planned, where the new one starts first. Another one loses power or its
    disk as soon as the new one no longer counts as lost.
    """
    for _ in range(3):
        name = simulator.draw.choice(faults.control_names(simulator))
        faults.replace_planned(simulator, name)
        victim = simulator.draw.choice(faults.control_names(simulator))
        (faults.wipe if simulator.draw.random() < 0.5 else faults.lose_power)(simulator, [victim])
        simulator.expect_service("after a planned replacement and a loss")
        faults.start_soon(simulator, [victim])
        simulator.run(faults.CATCH_UP)


def wiped_in_turn(simulator: Tenancy) -> None:
    """Control daemons lose their disks one after another, each as soon as the previous one no longer counts
    as lost.
    """
    names = faults.control_names(simulator)
    simulator.draw.shuffle(names)
    for name in names[:5]:
        faults.wipe(simulator, [name])
        simulator.run(simulator.draw.uniform(0, 1))
        faults.start_soon(simulator, [name])
        simulator.run(faults.CATCH_UP)
    simulator.expect_service("after one disk after another was lost")


def many_changes(simulator: Tenancy) -> None:
    """Hundreds of configuration changes, some of them large, while some acknowledgements are lost. Among them
    a daemon restarts, another loses its disk, and another is replaced.
    """
    rng, traffic = simulator.draw, simulator.orders
    simulator.acknowledgement_loss = 0.2
    strike_at = sorted(rng.sample(range(20, MANY_CHANGES), 3))
    for number in range(MANY_CHANGES):
        if len(traffic.changes) < 8:
            more = {"weights": ["x" * 40] * rng.choice((1, 400))} if number % 10 == 0 else {}
            traffic.change(**more)
        simulator.run(CHANGE_EVERY * rng.uniform(0.5, 1.5))
        if number in strike_at:
            name = rng.choice(faults.control_names(simulator))
            action = ("restart", "wipe", "replace")[strike_at.index(number)]
            if action == "replace":
                faults.replace(simulator, name)
            else:
                (faults.wipe if action == "wipe" else faults.lose_power)(simulator, [name])
                simulator.run(rng.uniform(0, 2))
                faults.start_soon(simulator, [name])
            simulator.run(faults.CATCH_UP + 1.0)
    simulator.expect_service("after hundreds of changes")
