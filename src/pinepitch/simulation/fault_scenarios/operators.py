"""Fault scenarios of operators: changes of the queue configuration that race, drains, cancels."""

from ..simulator import Simulator
from ..stand_in_operator import Operator
from .targets import daemon_names, submit_long


def _cancel_running(simulator: Simulator, operator: Operator) -> None:
    """Cancels a job whose first task has long to run."""
    caller, key = simulator.callers["caller"], f"long-{simulator.now:.3f}"
    tasks: list[dict[str, object]] = [
        {"name": "s0", "work": {"seconds": 10.0}},
        {"name": "s1", "after": ["s0"]},
    ]
    submit_long(caller, operator, key, tasks)
    simulator.run(1.5)
    for pushed_job, one in caller.accepted.items():
        if one[0] == key:
            simulator._send_client_calls("caller", caller.cancel(pushed_job, operator.now()))


def operators(simulator: Simulator, operator: Operator) -> None:
    """Operators race: changes on one version, drains against placing, cancels."""
    draw = simulator.draw
    _cancel_running(simulator, operator)
    for turn in range(8):
        manner = draw.choice(("race", "change", "drain", "empty", "cancel", "cancel"))
        settings = draw.choice(("default", "urgent", "feeds"))
        if manner == "race":
            operator.race([{"queues": {settings: {"limit": 40 + 3 * turn + one}}} for one in range(3)])
        elif manner == "change":
            operator.change({"queues": {settings: {"limit": 40 + turn, "share": draw.randrange(8, 20)}}})
        elif manner == "drain":
            name = draw.choice(daemon_names(simulator, "minion"))
            operator.close("minion", name)
            simulator.run(draw.uniform(1, 6))
            operator.open("minion", name)
        elif manner == "empty":
            zone = draw.choice(("a", "b", "c"))
            operator.close("area", zone)
            simulator.run(draw.uniform(2, 9))
            operator.open("area", zone)
        else:
            operator.cancel_some()
        simulator.run(draw.uniform(0.1, 2))


def queue_configuration_storm(simulator: Simulator, operator: Operator) -> None:
    """Fifty changes a second, whole and partial, while a leader dies and links are cut."""
    draw = simulator.draw
    simulator.callers["caller"].rate = 3.0  # so that limits bind
    for turn in range(2):
        changes = []
        for _one in range(150):
            settings = {"limit": 8 + draw.randrange(16), "share": draw.randrange(4, 8)}
            queue = draw.choice(("default", "urgent", "feeds"))
            if draw.random() < 0.2:
                complete = {
                    name: {**value} for name, value in simulator.queue_configuration["queues"].items()
                }
                complete[queue].update(settings)
                changes.append(("whole", {"queues": complete}))
            else:
                changes.append(("merge", {"queues": {queue: settings}}))
        leader = simulator.leader()
        if leader is not None and (turn or draw.random() < 0.5):
            rest = [one for one in daemon_names(simulator) if one != leader.name]
            if draw.random() < 0.5:
                simulator.kill(leader.name)
            else:
                simulator.partition([leader.name], rest)
        statuses = operator.storm(changes, 50)
        simulator.heal()
        if leader is not None and leader.core is None:
            simulator.start(leader.name)
        if statuses.count(200) < 30:
            operator.faults.append(f"of {len(changes)} changes {statuses.count(200)} were acknowledged")
        simulator.run(3)
    simulator.run(2)


def large_queue_configuration(simulator: Simulator, operator: Operator) -> None:
    """A queue configuration of hundreds of rows comes and is changed by cells, races and a kill between."""
    draw = simulator.draw
    queue_settings = {
        **simulator.queue_configuration["queues"],
        **{f"q{one:04d}": {"share": 0, "limit": 10} for one in range(600)},
    }
    operator.change({"queues": queue_settings}, "whole")
    for turn in range(5):
        queue = f"q{draw.randrange(600):04d}"
        operator.change({"queues": {queue: {"limit": 20 + turn}, "default": {"limit": 40 + turn}}})
        operator.race([{"queues": {queue: {"limit": 50 + 3 * turn + one}}} for one in range(3)])
        leader = simulator.leader()
        if leader is not None and draw.random() < 0.4:
            simulator.kill(leader.name)
            simulator.run(draw.uniform(0.5, 2))
            simulator.start(leader.name)
        simulator.run(draw.uniform(0.2, 1))
