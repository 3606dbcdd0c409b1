"""The fault scenario of workers that have more ends to report than one heartbeat lists."""

import functools

from ..simulator import START
from .kinds import step_of

ROUNDS = 3  # wide jobs, one after another
TASKS = (600, 1700)  # (fewest, most) tasks of a wide job; a worker has capacity for 800 of them
TASK_CPU, TASK_MEMORY = 5, 8  # thousandths of a core, megabytes
TASK_SECONDS = (1.0, 2.0)  # (shortest, longest)
STARTED_WITHIN = 6.0  # seconds; until most tasks of a wide job run
CUT_SECONDS = (0.3, 2.5)  # (shortest, longest); shorter than a lease, so that no run is killed
ANSWER_LOSS = 0.3  # probability
REST = (4.0, 6.0)  # (shortest, longest) seconds between two rounds


def _running(simulator):
    """Worker -> number of runs there, for workers that are not down."""
    return {
        name: len(node.core.running)
        for name, node in simulator.nodes.items()
        if node.kind == "minion" and not node.down
    }


def _submit(simulator):
    """Submits a wide job and runs until most of its tasks run; returns (its identity, its two busiest
    workers, busiest first).
    """
    count = simulator.draw.randint(*TASKS)
    steps = [step_of(count, simulator.draw.uniform(*TASK_SECONDS), TASK_CPU, mem_mb=TASK_MEMORY)]
    queue = simulator.draw.choice(("held", "bare"))
    identity = simulator.client_stand_in.submit("wide", queue, steps, START + simulator.now)
    simulator.until(lambda: sum(_running(simulator).values()) > 0.9 * count, STARTED_WITHIN, 0.02)
    running = _running(simulator)
    return identity, sorted(running, key=lambda name: -running[name])[:2]


def _drain(simulator, identity, workers):
    for name in workers[: simulator.draw.choice((1, 2))]:
        simulator.nodes[name].core.drain(START + simulator.now)


def _evacuate(simulator, identity, workers):
    simulator.operator_stand_in.evacuate(simulator.nodes[workers[0]].zone)


def _cancel(simulator, identity, workers):
    simulator.client_stand_in.jobs[identity]["cancel_at"] = START + simulator.now


def _kill_leader(simulator, identity, workers):
    leader = simulator.leader()
    if leader is not None:
        simulator.kill(leader.name)
        seconds = simulator.draw.uniform(0, 3)
        simulator.at(seconds, "later", functools.partial(simulator.start, leader.name))


def _stop_leader(simulator, identity, workers):
    """The leader is asked to stop; it is started again once the round is over."""
    leader = simulator.leader()
    if leader is not None:
        simulator.stop(leader.name)


def _lose_answers(simulator, identity, workers):
    simulator.answer_loss = ANSWER_LOSS


DISTURBANCES = (_drain, _drain, _evacuate, _cancel, _kill_leader, _stop_leader, _lose_answers)


def _end_round(simulator):
    """Ends the disturbances of a round, and starts what has ended."""
    simulator.answer_loss = 0.0
    simulator.heal()
    for span in simulator.operator_stand_in.spans:
        if span[2] is None:
            simulator.operator_stand_in.restore(span)
    for name, node in simulator.nodes.items():
        stopped = node.down if node.kind == "minion" else node.core is None
        if stopped:
            simulator.start(name)


def more_ends_than_listed(simulator):
    """Wide jobs end on workers that cannot reach anyone for a while, so that their ends add up to several
    lists. Before and after, in random order, workers drain, a zone is evacuated, the job is cancelled, the
    leader ends, and answers are lost.
    """
    for _ in range(ROUNDS):
        identity, workers = _submit(simulator)
        disturbances = list(simulator.draw.sample(DISTURBANCES, simulator.draw.choice((1, 2, 3))))
        if simulator.draw.random() < 0.5:
            disturbances.pop()(simulator, identity, workers)
        simulator.partition(workers, [name for name in simulator.nodes if name not in workers])
        simulator.run(simulator.draw.uniform(*CUT_SECONDS))
        simulator.heal()
        for disturb in disturbances:
            disturb(simulator, identity, workers)
            simulator.run(simulator.draw.uniform(0, 0.3))
        simulator.run(simulator.draw.uniform(*REST))
        _end_round(simulator)
        simulator.run(1)
