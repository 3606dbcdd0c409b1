"""Fault scenarios that strike while a lost or replaced control daemon is made good."""

from ...machines import Node
from .. import control_faults as faults
from ..fleet import Tenancy
from ..scenarios import JOINS_WITHIN, is_member
from .common import expect_complete

MANY_CHANGES = 200  # in one run
CHANGE_EVERY = 0.06  # seconds; between two of them


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
    """The joint list is committed, its end not yet."""
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
STEP_SOUGHT = 8.0  # seconds; until a step of a repair comes


def _lose_second(simulator: Tenancy, step: str, node: Node) -> None:
    """One more is lost at a step of a repair: the newcomer, the leader or another, which is back soon;
    where two may be lost, its disk may be lost too.
    """
    sought = REPAIR_STEPS[step]
    if simulator.until(lambda: sought(simulator, node), STEP_SOUGHT, 0.002) is None:
        return
    names = faults.control_names(simulator)
    leader = simulator.leader()
    victims = [node.name, simulator.draw.choice(names), leader.name if leader else node.name]
    name = simulator.draw.choice([one for one in victims if one in names] or names)
    manner = simulator.draw.choice(("power", "cut", "wipe" if simulator.plan.machines_lost > 1 else "power"))
    if manner == "cut":
        faults.partition_off(
            simulator, [name], simulator.draw.choice((faults.BOTH, faults.OUTGOING, faults.INCOMING))
        )
        simulator.run(simulator.draw.uniform(0.5, 6))
        simulator.heal()
        return
    (faults.wipe if manner == "wipe" else faults.lose_power)(simulator, [name])
    simulator.run(simulator.draw.choice((0.0, 0.5, 2.0)))
    faults.start_soon(simulator, [name])


def loss_during_repair(simulator: Tenancy) -> None:
    """A daemon is wiped or replaced; a second one is lost at a step of the repair."""
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
        simulator.served(f"after a loss as {step}", within=JOINS_WITHIN)
        expect_complete(simulator, f"after a loss as {step}")
        simulator.run(faults.CATCH_UP)


def replacement_chain(simulator: Tenancy) -> None:
    """One daemon after another is gone for good, the replacements too, each as soon as the one
    before no more counts as lost.
    """
    last = None
    for _ in range(6):
        names = faults.control_names(simulator)
        name = last if last in names and simulator.draw.random() < 0.4 else simulator.draw.choice(names)
        last = faults.replace(simulator, name).name
        simulator.run(faults.CATCH_UP)
        if simulator.draw.random() < 0.3:
            faults.name_seeds(simulator, [last], faults.front_names(simulator))
    simulator.served("after six replacements")
    expect_complete(simulator, "after six replacements")


def replacement_planned(simulator: Tenancy) -> None:
    """Daemons are replaced as planned, the new one first; another loses power or its disk as soon as
    the successor no more counts as lost.
    """
    for _ in range(3):
        name = simulator.draw.choice(faults.control_names(simulator))
        faults.replace_planned(simulator, name)
        victim = simulator.draw.choice(faults.control_names(simulator))
        (faults.wipe if simulator.draw.random() < 0.5 else faults.lose_power)(simulator, [victim])
        simulator.served("after a planned replacement and a loss")
        faults.start_soon(simulator, [victim])
        simulator.run(faults.CATCH_UP)


def wiped_in_turn(simulator: Tenancy) -> None:
    """One disk after another is lost, each as soon as the one before no more counts as lost."""
    names = faults.control_names(simulator)
    simulator.draw.shuffle(names)
    for name in names[:5]:
        faults.wipe(simulator, [name])
        simulator.run(simulator.draw.uniform(0, 1))
        faults.start_soon(simulator, [name])
        simulator.run(faults.CATCH_UP)
    simulator.served("after one disk after another was lost")


def many_changes(simulator: Tenancy) -> None:
    """Hundreds of changes, some large, some acknowledgements lost; then a restart, a lost disk and a
    replacement among them.
    """
    draw, operator = simulator.draw, simulator.orders
    simulator.acknowledgement_loss = 0.2
    strike_at = sorted(draw.sample(range(20, MANY_CHANGES), 3))
    for number in range(MANY_CHANGES):
        if len(operator.changes) < 8:
            more = {"weights": ["x" * 40] * draw.choice((1, 400))} if number % 10 == 0 else {}
            operator.change(**more)
        simulator.run(CHANGE_EVERY * draw.uniform(0.5, 1.5))
        if number in strike_at:
            name = draw.choice(faults.control_names(simulator))
            manner = ("restart", "wipe", "replace")[strike_at.index(number)]
            if manner == "replace":
                faults.replace(simulator, name)
            else:
                (faults.wipe if manner == "wipe" else faults.lose_power)(simulator, [name])
                simulator.run(draw.uniform(0, 2))
                faults.start_soon(simulator, [name])
            simulator.run(faults.CATCH_UP + 1.0)
    simulator.served("after hundreds of changes")
