"""Fault scenarios of tenants' keys: daemons fail while keys are continuously added, replaced and removed.

Each is a function of the simulator and has a name in the registry at the end.
"""

from ..simulator import GRACE
from . import control_faults as faults
from .scenarios import calm, leader_deaf

ACKNOWLEDGEMENTS_LOST = 0.6  # probability for an answer to the operator
ANSWERS_LOST = 0.15  # probability for an answer to a client or worker
RESETS = 30  # times that connections are reset
RESET_FRACTION = 0.5  # of a daemon's connections
LEADER_FAILURES = 4  # failures of leaders, one after the other
KEY_CHANGES = ("configure", "amend")  # calls


def _kill(simulator, name):
    """Kills a daemon as by a power loss and starts it again later."""
    simulator.kill(name)
    simulator.run(simulator.draw.uniform(0.1, 3))
    simulator.start(name)


def _freeze(simulator, name):
    """Freezes a daemon, which later resumes unaware of the pause."""
    simulator.freeze(name)
    simulator.run(simulator.draw.choice((0.3, 1.5, 3.0, 6.0)) * simulator.draw.uniform(0.8, 1.2))
    simulator.thaw(name)


def _restart(simulator, name):
    """Asks a daemon to stop and starts it again."""
    simulator.stop(name)
    simulator.until(lambda: simulator.nodes[name].core is None, GRACE, 0.02)
    simulator.run(simulator.draw.uniform(0.1, 1))
    simulator.start(name)


def leaders_fail(simulator):
    """The leader is killed, frozen or restarted several times, mostly right after it has acknowledged a
    change of the configuration.
    """
    for _ in range(LEADER_FAILURES):
        if simulator.draw.random() < 0.7:
            faults.run_until_acknowledged(simulator, KEY_CHANGES, 4.0)
        leader = simulator.leader()
        if leader is not None:
            simulator.draw.choice((_kill, _freeze, _restart))(simulator, leader.name)
        simulator.run(simulator.draw.uniform(0.5, 3))


def answers_lost(simulator):
    """Most answers to the operator are lost, some to clients and workers, and connections are reset during
    calls.
    """
    simulator.acknowledgement_loss, simulator.answer_loss = ACKNOWLEDGEMENTS_LOST, ANSWERS_LOST
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    for _ in range(RESETS):
        simulator.reset_connections(simulator.draw.choice(names), RESET_FRACTION)
        simulator.run(simulator.draw.uniform(0.2, 0.8))
    simulator.acknowledgement_loss = simulator.answer_loss = 0.0
    simulator.run(1)


KEY_SCENARIOS = {
    "keys-calm": calm,
    "keys-leaders-fail": leaders_fail,
    "keys-leader-deaf": leader_deaf,
    "keys-answers-lost": answers_lost,
}
