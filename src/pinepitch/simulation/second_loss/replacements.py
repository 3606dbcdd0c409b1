"""Trials of second losses around replacements of voters that are lost for good."""

from ...common import constants
from ..machines import Node
from .fleets import (
    CHANGE_WITHIN,
    COMMITTED,
    DONE,
    JOINT,
    begun,
    check_votes_within,
    followers,
    replace,
    start_with_spare,
)
from .trial import RECOVERS_WITHIN, LossTrial

OTHER_ZONES = (  # zones and mode of fleets; after a loss the lost voter's zone has no voter left, or one
    (("a", "b", "c"), "static"),
    (("a", "a", "b", "c", "c"), "static"),
    (("a", "b", "c"), "single"),
)


def replaced_in_time(seed: int) -> LossTrial:
    """A machine is lost for good and its replacement starts at once. After the time allowed for catching
    up, another loss must not interrupt service.
    """
    trial = begun(seed)
    node = trial.leader() if seed % 2 else followers(trial)[0]
    fresh = replace(trial, node.name, "fresh")
    trial.run(constants.CATCH_UP)
    if not trial.votes(fresh):
        trial.fault(f"the successor does not vote {constants.CATCH_UP} s after its start")
    trial.kill(
        next(
            machine for machine in trial.control_nodes() if machine is not fresh and machine.core is not None
        ).name
    )
    trial.change(CHANGE_WITHIN)
    trial.check_recovery()
    return trial


def replaced_in_other_zone(seed: int) -> LossTrial:
    """A machine is lost for good and its replacement starts in another zone, which already has a voter.
    After the time allowed for catching up, another loss must not interrupt service. A new machine in
    the lost zone must then become a voter.
    """
    fleet, mode = OTHER_ZONES[seed % len(OTHER_ZONES)]
    trial = begun(seed, fleet, mode=mode)
    node = next(machine for machine in trial.control_nodes() if machine.zone == "a")
    trial.retire(node.name)
    fresh = trial.fresh("fresh", "b")
    trial.run(constants.CATCH_UP)
    check_votes_within(trial, fresh, 0.0)
    other = next(
        machine
        for machine in trial.control_nodes()
        if machine.zone in "bc"[seed // 3 % 2] and machine is not fresh
    )
    trial.kill(other.name)
    trial.change(CHANGE_WITHIN)
    trial.start(other.name)
    if len(fleet) == 3:
        back = trial.fresh("back", "a")
        check_votes_within(trial, back, constants.CATCH_UP)
    trial.check_recovery()
    return trial


def replacement_replaced(seed: int) -> LossTrial:
    """A replacement is lost for good as soon as it votes, and so is each replacement after it."""
    trial = begun(seed)
    fresh = replace(trial, followers(trial)[0].name, "fresh0")
    for attempt in range(1, 4):
        check_votes_within(trial, fresh, constants.CATCH_UP)
        fresh = replace(trial, fresh.name, f"fresh{attempt}")
        trial.change(CHANGE_WITHIN)
    trial.run(constants.CATCH_UP)
    trial.check_recovery()
    if len(trial.voters()) != 3 or not trial.votes(fresh):
        trial.fault(f"the voters are {trial.voters()}")
    return trial


def newcomer_partitioned(seed: int) -> LossTrial:
    """A new voter is partitioned as soon as it votes. The others must continue to serve."""
    trial = begun(seed)
    others = list(trial.nodes)
    fresh = replace(trial, followers(trial)[0].name, "fresh")
    trial.on((COMMITTED, DONE)[seed % 2], lambda node: trial.partition([fresh.name], others))
    trial.until(lambda: trial.partitions, RECOVERS_WITHIN)
    trial.change(CHANGE_WITHIN)
    trial.run(3)
    trial.change(CHANGE_WITHIN)
    trial.check_recovery()
    return trial


def spare_lost_too(seed: int) -> LossTrial:
    """A voter and the spare that was to replace it are lost at once. The others must continue to serve,
    and the voter must vote again after it returns with an empty disk.
    """
    trial, spare = start_with_spare(seed, "b")
    node = next(machine for machine in trial.control_nodes() if machine.zone == "b" and machine is not spare)
    trial.kill(node.name)
    trial.kill(spare.name)
    trial.change(CHANGE_WITHIN)
    trial.wipe(node.name)
    trial.start(node.name)
    check_votes_within(trial, node, constants.CATCH_UP)
    trial.check_recovery()
    return trial


def zone_lost_during_replacement(seed: int) -> LossTrial:
    """A zone is lost during a planned replacement in another. The other voters must continue to serve."""
    trial, _ = start_with_spare(seed, "a", ("a", "b", "c", "d"))
    node = next(machine for machine in trial.control_nodes() if machine.zone == "a")
    lost = [
        machine for machine in trial.control_nodes() if machine.zone == "b" and machine is not trial.leader()
    ] or [machine for machine in trial.control_nodes() if machine.zone == "c"]
    trial.on((JOINT, COMMITTED, DONE)[seed % 3], lambda _: [trial.kill(machine.name) for machine in lost])
    trial.stop(node.name)
    trial.change(CHANGE_WITHIN)
    trial.check_recovery()
    return trial


def wiped_twice(seed: int) -> LossTrial:
    """A machine loses its disk, and loses it again in each step of its return as a voter."""
    trial = begun(seed)
    node = followers(trial)[0]

    def wipe(_: Node | None = None) -> None:
        trial.kill(node.name)
        trial.wipe(node.name)
        trial.again(node.name, 0.1)

    wipe()
    for step in (JOINT, COMMITTED, DONE):
        trial.on(step, wipe)
        trial.until(lambda: not trial.hooks, RECOVERS_WITHIN, 0.005)
        trial.change()
    if trial.until(lambda: trial.votes(node), RECOVERS_WITHIN) is None or len(trial.voters()) != 3:
        trial.fault(f"the voters are {trial.voters()}")
    trial.check_recovery()
    return trial
