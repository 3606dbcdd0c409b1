"""Second losses around planned stops of voters."""

from typing import Any

from ..simulator import GRACE
from .fleets import JOINT, SERVED_ON, begun, followers, with_spare
from .trial import RECOVERS_WITHIN, LossTrial

HANDED_WITHIN = 0.1  # seconds; without a leader while one hands over, on the slowest disk
STOPPED_WITHIN = 0.5  # seconds; until a process without an heir for its seat has ended


def leader_stops(seed: int) -> LossTrial:
    """A leader stops: soon a successor serves, and the old one's lease is over before that."""
    trial = begun(seed)
    leader = trial.leader()
    trial.stop(leader.name)
    took = trial.served(RECOVERS_WITHIN, but=leader.name)
    if took is None or took > HANDED_WITHIN:
        trial.fault(f"without a leader for {took} s")
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def leader_stops_partitioned(seed: int) -> LossTrial:
    """A leader stops and is cut off just as it hands over: it must not go on beside its successor."""
    trial = begun(seed)
    leader = trial.leader()
    rest = [one for one in trial.nodes if one != leader.name]
    trial.on(121, lambda node: trial.partition([leader.name], rest))
    trial.stop(leader.name)
    trial.run(2)
    trial.check_recovery()
    return trial


def seat_handed_on(seed: int) -> LossTrial:
    """A voter stops beside a spare of its zone: the spare votes before the process ends, and the loss of
    another voter right then stops nothing.
    """
    zone = "abc"[seed % 3]
    trial, spare = with_spare(seed, zone)
    node = next(one for one in trial.control_nodes() if one.zone == zone and one is not spare)
    trial.stop(node.name)
    took = trial.until(lambda: node.core is None, GRACE, 0.005)
    if took is None or not trial.votes(spare) or len(trial.voters()) != 3:
        trial.fault(f"the process ended after {took} s and the voters are {trial.voters()}")
    other = next(one for one in trial.control_nodes() if one not in (node, spare) and one.core is not None)
    trial.kill(other.name)
    trial.change(SERVED_ON)
    trial.check_recovery()
    return trial


def rolling_restart(seed: int) -> LossTrial:
    """Each machine in turn stops and comes back with its disk; without a spare that may have it, be it in
    another zone, no seat changes hands.
    """
    trial = begun(seed) if seed % 2 == 0 else with_spare(seed, "b", mode="single")[0]
    before, changes = trial.voters(), trial.event_count(JOINT)
    for node in [one for one in trial.control_nodes() if one.zone in "ac"]:
        trial.stop(node.name)
        took = trial.until(lambda node=node: node.core is None, GRACE, 0.005)
        if took is None or took > STOPPED_WITHIN:
            trial.fault(f"{node.name} ended after {took} s")
        trial.run(0.3)
        trial.start(node.name)
        trial.run(2)
    if trial.voters() != before or trial.event_count(JOINT) != changes:
        trial.fault(f"the voters were {before} and are {trial.voters()}")
    trial.check_recovery()
    return trial


def only_copy_leaves(seed: int) -> LossTrial:
    """A leader that alone holds what it was told last stops beside a spare of its zone: others are slow
    or stalled, and no list counts as agreed on before all earlier entries lie on quorums of both.
    """
    trial, spare = with_spare(seed, "a")
    for node in trial.control_nodes():
        if node is not trial.leader():
            node.disk.slow = trial.draw.choice((20.0, 60.0, 120.0))
    stalled = trial.draw.choice(followers(trial))
    stalled.disk.stalled = True
    got: list[tuple[float, int, Any]] = []
    for limit in range(5):
        patch = {"queues": {"default": {"limit": 1060 + limit}}}
        trial.call(
            "operator", 0, limit, "PATCH", "/v1/setup", patch, ("plain", got), headers={"if-match": "*"}
        )
    trial.run(0.02)
    leader = trial.leader()
    trial.stop(leader.name)
    trial.run(GRACE)
    stalled.disk.stalled = False
    for node in trial.control_nodes():
        node.disk.slow = trial.slow
    trial.wipe(leader.name)
    for _, status, answer in got:
        if status == 200:
            limit = trial.persist("GET", f"/v1/setup/versions/{answer['version']}", seconds=RECOVERS_WITHIN)
            if limit[0] != 200:
                trial.fault(f"version {answer['version']} was acknowledged and is gone")
    trial.check_recovery()
    return trial
