"""Second losses around replacements of voters that are lost for good."""

from ...common import constants
from ..machines import Node
from .fleets import (
    COMMITTED,
    DONE,
    JOINT,
    SERVED_ON,
    begun,
    check_votes_within,
    followers,
    replace,
    with_spare,
)
from .trial import RECOVERS_WITHIN, LossTrial

OTHER_ZONES = (  # zones and mode of fleets that have no voter left in the zone of a lost one, or one
    (("a", "b", "c"), "static"),
    (("a", "a", "b", "c", "c"), "static"),
    (("a", "b", "c"), "single"),
)


def replaced_in_time(seed: int) -> LossTrial:
    """A machine is gone for good and its successor starts at once: once it has had its time to catch up,
    another loss stops nothing.
    """
    trial = begun(seed)
    node = trial.leader() if seed % 2 else followers(trial)[0]
    fresh = replace(trial, node.name, "fresh")
    trial.run(constants.CATCH_UP)
    if not trial.votes(fresh):
        trial.fault(f"the successor does not vote {constants.CATCH_UP} s after its start")
    trial.kill(next(one for one in trial.control_nodes() if one is not fresh and one.core is not None).name)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def replaced_in_other_zone(seed: int) -> LossTrial:
    """A machine is gone for good and its successor starts in another zone, which has its voter: once it
    has had its time, another loss stops nothing; a machine of the lost zone then votes again.
    """
    fleet, mode = OTHER_ZONES[seed % len(OTHER_ZONES)]
    trial = begun(seed, fleet, mode=mode)
    node = next(one for one in trial.control_nodes() if one.zone == "a")
    trial.retire(node.name)
    fresh = trial.fresh("fresh", "b")
    trial.run(constants.CATCH_UP)
    check_votes_within(trial, fresh, 0.0)
    other = next(one for one in trial.control_nodes() if one.zone in "bc"[seed // 3 % 2] and one is not fresh)
    trial.kill(other.name)
    trial.change(SERVED_ON)
    trial.start(other.name)
    if len(fleet) == 3:
        back = trial.fresh("back", "a")
        check_votes_within(trial, back, constants.CATCH_UP)
    trial.check_recovery()
    return trial


def replacement_replaced(seed: int) -> LossTrial:
    """A successor is gone for good as soon as it votes, and so is its own."""
    trial = begun(seed)
    fresh = replace(trial, followers(trial)[0].name, "fresh0")
    for turn in range(1, 4):
        check_votes_within(trial, fresh, constants.CATCH_UP)
        fresh = replace(trial, fresh.name, f"fresh{turn}")
        trial.change(SERVED_ON)
    trial.run(constants.CATCH_UP)
    trial.check_recovery()
    if len(trial.voters()) != 3 or not trial.votes(fresh):
        trial.fault(f"the voters are {trial.voters()}")
    return trial


def newcomer_partitioned(seed: int) -> LossTrial:
    """A newcomer is cut off as soon as it votes: the others serve on."""
    trial = begun(seed)
    rest = list(trial.nodes)
    fresh = replace(trial, followers(trial)[0].name, "fresh")
    trial.on((COMMITTED, DONE)[seed % 2], lambda node: trial.partition([fresh.name], rest))
    trial.until(lambda: trial.partitions, RECOVERS_WITHIN)
    trial.change(SERVED_ON)
    trial.run(3)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def spare_lost_too(seed: int) -> LossTrial:
    """A voter and the spare that was to replace it are lost at once; the others serve on, and one that
    comes back empty votes again.
    """
    trial, spare = with_spare(seed, "b")
    node = next(one for one in trial.control_nodes() if one.zone == "b" and one is not spare)
    trial.kill(node.name)
    trial.kill(spare.name)
    trial.change(SERVED_ON)
    trial.wipe(node.name)
    trial.start(node.name)
    check_votes_within(trial, node, constants.CATCH_UP)
    trial.check_recovery()
    return trial


def zone_lost_beside(seed: int) -> LossTrial:
    """A zone is lost in the middle of a planned replacement in another: the others serve on."""
    trial, _ = with_spare(seed, "a", ("a", "b", "c", "d"))
    node = next(one for one in trial.control_nodes() if one.zone == "a")
    lost = [one for one in trial.control_nodes() if one.zone == "b" and one is not trial.leader()] or [
        one for one in trial.control_nodes() if one.zone == "c"
    ]
    trial.on((JOINT, COMMITTED, DONE)[seed % 3], lambda _: [trial.kill(one.name) for one in lost])
    trial.stop(node.name)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def wiped_twice(seed: int) -> LossTrial:
    """A machine loses its disk, and loses it again in each step of its own return."""
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
