"""Trials of second losses around planned stops of voters."""

from typing import Any

from ..simulator import GRACE
from .fleets import CHANGE_WITHIN, JOINT, begun, followers, start_with_spare
from .trial import RECOVERS_WITHIN, LossTrial

TRANSFER_WITHIN = 0.1  # seconds; longest time without a leader in a transfer, on the slowest disk
STOPPED_WITHIN = 0.5  # seconds; until a process ends when no spare can replace it as a voter


def leader_stops(seed: int) -> LossTrial:
    """A leader stops. A successor must serve soon, and only after the old leader's lease has ended."""
    trial = begun(seed)
    leader = trial.leader()
    trial.stop(leader.name)
    elapsed = trial.served(RECOVERS_WITHIN, but=leader.name)
    if elapsed is None or elapsed > TRANSFER_WITHIN:
        trial.fault(f"without a leader for {elapsed} s")
    trial.change(CHANGE_WITHIN)
    trial.check_recovery()
    return trial


def leader_stops_partitioned(seed: int) -> LossTrial:
    """A stopping leader is partitioned as it transfers leadership. It must not serve beside its successor."""
    trial = begun(seed)
    leader = trial.leader()
    others = [machine for machine in trial.nodes if machine != leader.name]
    trial.on(121, lambda node: trial.partition([leader.name], others))
    trial.stop(leader.name)
    trial.run(2)
    trial.check_recovery()
    return trial


def voter_replaced_before_stop(seed: int) -> LossTrial:
    """A voter stops while its zone has a spare. The spare must vote before the process ends, so that the
    loss of another voter at that moment does not interrupt service.
    """
    zone = "abc"[seed % 3]
    trial, spare = start_with_spare(seed, zone)
    node = next(machine for machine in trial.control_nodes() if machine.zone == zone and machine is not spare)
    trial.stop(node.name)
    elapsed = trial.until(lambda: node.core is None, GRACE, 0.005)
    if elapsed is None or not trial.votes(spare) or len(trial.voters()) != 3:
        trial.fault(f"the process ended after {elapsed} s and the voters are {trial.voters()}")
    other = next(
        machine
        for machine in trial.control_nodes()
        if machine not in (node, spare) and machine.core is not None
    )
    trial.kill(other.name)
    trial.change(CHANGE_WITHIN)
    trial.check_recovery()
    return trial


def rolling_restart(seed: int) -> LossTrial:
    """The machines of zones a and c stop in turn and return with their disks. There is no spare, or only
    one in another zone, which may not replace them, so the voters must not change.
    """
    trial = begun(seed) if seed % 2 == 0 else start_with_spare(seed, "b", mode="single")[0]
    before, changes = trial.voters(), trial.event_count(JOINT)
    for node in [machine for machine in trial.control_nodes() if machine.zone in "ac"]:
        trial.stop(node.name)
        elapsed = trial.until(lambda node=node: node.core is None, GRACE, 0.005)
        if elapsed is None or elapsed > STOPPED_WITHIN:
            trial.fault(f"{node.name} ended after {elapsed} s")
        trial.run(0.3)
        trial.start(node.name)
        trial.run(2)
    if trial.voters() != before or trial.event_count(JOINT) != changes:
        trial.fault(f"the voters were {before} and are {trial.voters()}")
    trial.check_recovery()
    return trial


def only_copy_stops(seed: int) -> LossTrial:
    """A leader stops while its zone has a spare and only the leader stores the last changes, because the
    disks of the others are slow or stalled. A membership list must not count as committed before all
    earlier entries are on quorums of both the old and the new list.
    """
    trial, spare = start_with_spare(seed, "a")
    for node in trial.control_nodes():
        if node is not trial.leader():
            node.disk.slow = trial.draw.choice((20.0, 60.0, 120.0))
    stalled = trial.draw.choice(followers(trial))
    stalled.disk.stalled = True
    responses: list[tuple[float, int, Any]] = []
    for limit in range(5):
        patch = {"queues": {"default": {"limit": 1060 + limit}}}
        trial.call(
            "operator", 0, limit, "PATCH", "/v1/setup", patch, ("plain", responses), headers={"if-match": "*"}
        )
    trial.run(0.02)
    leader = trial.leader()
    trial.stop(leader.name)
    trial.run(GRACE)
    stalled.disk.stalled = False
    for node in trial.control_nodes():
        node.disk.slow = trial.slow
    trial.wipe(leader.name)
    for _, status, answer in responses:
        if status == 200:
            limit = trial.persist("GET", f"/v1/setup/versions/{answer['version']}", seconds=RECOVERS_WITHIN)
            if limit[0] != 200:
                trial.fault(f"version {answer['version']} was acknowledged and is gone")
    trial.check_recovery()
    return trial
