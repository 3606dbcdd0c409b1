"""Trials with one loss more than tolerated, in each step of a membership change, snapshot or bootstrap."""

import functools
import itertools
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

from ...common import constants
from ..machines import Node
from .fleets import COMMITTED, DONE, JOINT, begun, check_votes_within, followers, replace
from .trial import RECOVERS_WITHIN, LossTrial

OUTAGE = 1.5  # seconds; duration of a second loss that exceeds what the fleet tolerates
CONSENT, LEADER, INSTALLED = 111, 122, 127
EARLY_SNAPSHOTS: dict[str, Any] = {"SNAPSHOT_ENTRIES": 20, "SNAPSHOT_TAIL": 5, "SNAPSHOT_CHUNK": 300}
CHANGES = 20  # before a replacement, so that the new machine is sent a snapshot
LOST_MACHINES = ("leader", "newcomer", "other")
SNAPSHOT_STEPS = (("piece", 1), ("piece", 2), ("piece", 4), (INSTALLED, 1))  # (step, occurrence)


def _machine_to_lose(trial: LossTrial, kind: str, newcomer: Node) -> Node:
    leader = trial.leader()
    if kind == "leader":
        return leader
    if kind == "newcomer":
        return newcomer
    return next(
        machine
        for machine in trial.control_nodes()
        if machine not in (leader, newcomer) and machine.core is not None
    )


def _lose_power_briefly(trial: LossTrial, node: Node) -> None:
    trial.lose_power(node.name)
    trial.again(node.name, OUTAGE)


def _loss_injector(trial: LossTrial, kind: str, newcomer: Node) -> Callable[[Node], None]:
    """Returns a hook that cuts the power of one machine for a while."""
    return lambda _: _lose_power_briefly(trial, _machine_to_lose(trial, kind, newcomer))


def _replacement_with_loss(seed: int, step: Any, count: int, kind: str, changes: int) -> LossTrial:
    """Runs a replacement in which a machine loses power at the count-th occurrence of a step."""
    trial = begun(seed)
    for _ in range(changes):
        trial.change()
    fresh = replace(trial, followers(trial)[0].name, "fresh")
    trial.on(step, _loss_injector(trial, kind, fresh), count)
    for _ in range(3):
        trial.change()
    check_votes_within(trial, fresh, RECOVERS_WITHIN)
    trial.check_recovery()
    if not trial.votes(fresh) or len(trial.voters()) != 3:
        trial.fault(f"the voters are {trial.voters()}")
    if trial.hooks:
        trial.fault("the step of the injected loss never occurred")
    if trial.faults:
        trial.faults.insert(0, f"power lost: {kind} at {step}, {count}")
    return trial


def _first_failed(trials: Iterable[LossTrial]) -> LossTrial:
    """Returns the first trial that finds a fault, else the last."""
    for trial in trials:
        if trial.faults:
            break
    return trial


def loss_during_membership_change(seed: int) -> LossTrial:
    """In each step of a membership change the leader, the new machine or another voter loses power for a
    while, which is one loss more than tolerated. No acknowledged change may be lost, and the membership
    change must complete.
    """
    steps = itertools.product((JOINT, COMMITTED, DONE), LOST_MACHINES)
    return _first_failed(_replacement_with_loss(seed, step, 1, kind, 0) for step, kind in steps)


def loss_during_snapshot(seed: int) -> LossTrial:
    """While a snapshot is sent and as it is installed, its sender, its receiver or another voter loses
    power for a while, which is one loss more than tolerated.
    """
    with mock.patch.multiple(constants, **EARLY_SNAPSHOTS):
        steps = itertools.product(SNAPSHOT_STEPS, LOST_MACHINES)
        return _first_failed(_replacement_with_loss(seed, *step, kind, CHANGES) for step, kind in steps)


def loss_during_bootstrap(seed: int) -> LossTrial:
    """Three of four machines bootstrap a cluster. In each step, the machine that takes the step loses power
    for a while.
    """
    for step, count in ((CONSENT, 1), (CONSENT, 2), (CONSENT, 3), (LEADER, 1)):
        trial = LossTrial(seed, ("a", "b", "c", "d"), slow=True, founders=3)
        trial.on(step, functools.partial(_lose_power_briefly, trial), count)
        trial.begin()
        trial.run(OUTAGE)
        clusters = {node.core.cluster for node in trial.control_nodes() if node.core is not None}
        if len(clusters) != 1 or len(trial.voters()) < 3:
            trial.fault(f"clusters {clusters}, voters {trial.voters()}")
        trial.check_recovery()
        if trial.faults:
            trial.faults.insert(0, f"power lost at {step}, {count}")
            return trial
    return trial
