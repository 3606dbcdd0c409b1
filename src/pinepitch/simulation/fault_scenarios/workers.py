"""Fault scenarios of workers: they crash, fail, are withdrawn, or are cut off while jobs are cancelled."""

from ..simulator import START, Simulator
from ..stand_in_operator import Operator
from .targets import daemon_names, submit_long


def failing(simulator: Simulator, operator: Operator) -> None:
    """Many workers fail half of what they are given while they report themselves well."""
    for name in simulator.draw.sample(daemon_names(simulator, "minion"), 4):
        simulator.nodes[name].core.fail_rate = 0.6
    simulator.run(12)


def workers_fail(simulator: Simulator, operator: Operator) -> None:
    """Workers crash, are cut off and run on, slow down, stall, fail their work, come back."""
    for _ in range(8):
        name = simulator.draw.choice(daemon_names(simulator, "minion"))
        core = simulator.nodes[name].core
        manner = simulator.draw.choice(("crash", "cut", "slow", "freeze", "fail", "one-way"))
        if manner == "crash":
            simulator.kill(name)
            simulator.run(simulator.draw.uniform(0.1, 3))
            simulator.start(name)
        elif manner in ("cut", "one-way"):
            rest = [one for one in simulator.nodes if one != name]
            simulator.partition([name], rest, both=manner == "cut")
        elif manner == "slow":
            core.slow = 10.0
        elif manner == "fail":
            core.fail_rate = 0.7
        else:
            simulator.freeze(name)
        simulator.run(simulator.draw.uniform(0.5, 5))
        simulator.heal()
        if simulator.nodes[name].frozen:
            simulator.thaw(name)
        core.slow, core.fail_rate = 1.0, 0.0
        simulator.run(simulator.draw.uniform(0.2, 2))


def crashes(simulator: Simulator, operator: Operator) -> None:
    """Workers die all the time, some just after work ended and before a word of it left."""
    for one in simulator.callers.values():
        one.traffic += (
            (
                "brief",
                6.0,
                {"queue": "urgent", "urgency": 8, "count": 4, "shape": "fan", "units": 1, "seconds": 0.08},
            ),
        )
    for _ in range(60):
        name = simulator.draw.choice(daemon_names(simulator, "minion"))
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.05, 0.3))
        simulator.start(name)
        simulator.run(simulator.draw.uniform(0.05, 0.3))


def withdrawn(simulator: Simulator, operator: Operator) -> None:
    """Workers are withdrawn at short notice and die when it comes due."""
    for name in simulator.draw.sample(daemon_names(simulator, "minion"), 2):
        due = START + simulator.now + simulator.draw.uniform(0.5, 3)
        operator.withdraw(name, due)
        simulator.run(max(0.0, due - START - simulator.now - 0.05))
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(2, 6))


def cancel_during_partition(simulator: Simulator, operator: Operator) -> None:
    """Jobs are cancelled while the workers that run them are cut off, frozen or gone."""
    draw = simulator.draw
    for turn in range(3):
        key, caller = f"long-{turn}", simulator.callers["caller"]
        tasks = [{"name": f"s{one}", "work": {"seconds": 20.0}} for one in range(4)]
        submit_long(caller, operator, key, tasks)
        simulator.run(1.5)
        pushed_job = next((pushed_job for pushed_job, one in caller.accepted.items() if one[0] == key), None)
        runs = [
            event[2]
            for event in simulator.worker_history
            if event[0] == "start" and event[4].partition("/")[0] == pushed_job
        ]
        if not runs:
            continue
        name = draw.choice(runs)
        if draw.random() < 0.5:
            simulator.partition([name], list(simulator.nodes))
        else:
            simulator.freeze(name)
        simulator._send_client_calls("caller", caller.cancel(pushed_job, operator.now()))
        simulator.run(draw.uniform(1, 6))
        simulator.heal()
        if simulator.nodes[name].frozen:
            simulator.thaw(name)
        simulator.run(draw.uniform(2, 6))
