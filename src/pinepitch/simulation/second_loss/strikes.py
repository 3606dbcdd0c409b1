"""One loss too many, in each step of a change of members, a snapshot, a bootstrap."""

import functools
import itertools
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

from ...common import constants
from ..machines import Node
from .fleets import COMMITTED, DONE, JOINT, begun, check_votes_within, followers, replace
from .trial import RECOVERS_WITHIN, LossTrial

WHILE = 1.5  # seconds; that a second loss lasts where it is one too many
CONSENT, LEADER, INSTALLED = 111, 122, 127
SNAPSHOTS_SOON: dict[str, Any] = {"SNAPSHOT_ENTRIES": 20, "SNAPSHOT_TAIL": 5, "SNAPSHOT_CHUNK": 300}
CHANGES = 20  # changes before a replacement, so that a newcomer is sent a snapshot by then
STRUCK = ("leader", "newcomer", "other")
SNAPSHOT_STEPS = (("piece", 1), ("piece", 2), ("piece", 4), (INSTALLED, 1))  # what comes, how often


def _victim(trial: LossTrial, kind: str, newcomer: Node) -> Node:
    leader = trial.leader()
    if kind == "leader":
        return leader
    if kind == "newcomer":
        return newcomer
    return next(
        one for one in trial.control_nodes() if one not in (leader, newcomer) and one.core is not None
    )


def _lost_for_a_while(trial: LossTrial, node: Node) -> None:
    trial.lose_power(node.name)
    trial.again(node.name, WHILE)


def _striker(trial: LossTrial, kind: str, newcomer: Node) -> Callable[[Node], None]:
    """What takes the power from one machine for a while once it is called."""
    return lambda _: _lost_for_a_while(trial, _victim(trial, kind, newcomer))


def _replacement_struck(seed: int, step: Any, count: int, kind: str, changes: int) -> LossTrial:
    """A replacement in which one machine loses power for a while as the step comes the count-th time."""
    trial = begun(seed)
    for _ in range(changes):
        trial.change()
    fresh = replace(trial, followers(trial)[0].name, "fresh")
    trial.on(step, _striker(trial, kind, fresh), count)
    for _ in range(3):
        trial.change()
    check_votes_within(trial, fresh, RECOVERS_WITHIN)
    trial.check_recovery()
    if not trial.votes(fresh) or len(trial.voters()) != 3:
        trial.fault(f"the voters are {trial.voters()}")
    if trial.hooks:
        trial.fault("the step to strike at never came")
    if trial.faults:
        trial.faults.insert(0, f"struck: {kind} at {step}, {count}")
    return trial


def _first_faulty(trials: Iterable[LossTrial]) -> LossTrial:
    """The first of some trials that finds a fault, else the last."""
    for trial in trials:
        if trial.faults:
            break
    return trial


def change_struck(seed: int) -> LossTrial:
    """In each step of a change of members the leader, the newcomer or another voter loses power for a
    while: one too many. Nothing acknowledged is lost, and the change ends.
    """
    steps = itertools.product((JOINT, COMMITTED, DONE), STRUCK)
    return _first_faulty(_replacement_struck(seed, step, 1, kind, 0) for step, kind in steps)


def snapshot_struck(seed: int) -> LossTrial:
    """While a snapshot is sent and as it is installed, its sender, its receiver or another voter loses
    power for a while: one too many.
    """
    with mock.patch.multiple(constants, **SNAPSHOTS_SOON):
        steps = itertools.product(SNAPSHOT_STEPS, STRUCK)
        return _first_faulty(_replacement_struck(seed, *step, kind, CHANGES) for step, kind in steps)


def founding_struck(seed: int) -> LossTrial:
    """In each step of a bootstrap by three of four machines one that takes it loses power for a while."""
    for step, count in ((CONSENT, 1), (CONSENT, 2), (CONSENT, 3), (LEADER, 1)):
        trial = LossTrial(seed, ("a", "b", "c", "d"), slow=True, founders=3)
        trial.on(step, functools.partial(_lost_for_a_while, trial), count)
        trial.begin()
        trial.run(WHILE)
        clusters = {node.core.cluster for node in trial.control_nodes() if node.core is not None}
        if len(clusters) != 1 or len(trial.voters()) < 3:
            trial.fault(f"cohorts {clusters}, voters {trial.voters()}")
        trial.check_recovery()
        if trial.faults:
            trial.faults.insert(0, f"struck at {step}, {count}")
            return trial
    return trial
