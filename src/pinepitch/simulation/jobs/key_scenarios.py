"""Fault scenarios of tenants' keys: while keys are added, replaced and taken away all the time, daemons fail.

Each is a function of the simulator; the registry at the end names them.
"""

from ..simulator import GRACE
from . import control_faults as faults
from .scenarios import calm, leader_deaf

ACKNOWLEDGEMENTS_LOST = 0.6  # part; of answers to the operator
ANSWERS_LOST = 0.15  # part; of answers to callers and workers
RESETS = 30  # times; that connections are reset
RESET_PART = 0.5  # of a daemon's connections
FALLS = 4  # leaders; that fail one after the other
KEY_CHANGES = ("configure", "amend")  # calls


def _kill(simulator, name):
    """Loses power, and is without it for a while."""
    simulator.kill(name)
    simulator.run(simulator.draw.uniform(0.1, 3))
    simulator.start(name)


def _freeze(simulator, name):
    """Stops, and goes on later, none the wiser."""
    simulator.freeze(name)
    simulator.run(simulator.draw.choice((0.3, 1.5, 3.0, 6.0)) * simulator.draw.uniform(0.8, 1.2))
    simulator.thaw(name)


def _restart(simulator, name):
    """Is asked to stop, and started again."""
    simulator.stop(name)
    simulator.until(lambda: simulator.nodes[name].core is None, GRACE, 0.02)
    simulator.run(simulator.draw.uniform(0.1, 1))
    simulator.start(name)


def leaders_fail(simulator):
    """The leader is killed, frozen or restarted, again and again, mostly right after it has acknowledged a
    change of the configuration.
    """
    for _ in range(FALLS):
        if simulator.draw.random() < 0.7:
            faults.run_until_acknowledged(simulator, KEY_CHANGES, 4.0)
        leader = simulator.leader()
        if leader is not None:
            simulator.draw.choice((_kill, _freeze, _restart))(simulator, leader.name)
        simulator.run(simulator.draw.uniform(0.5, 3))


def answers_lost(simulator):
    """Most answers to the operator are lost, many to callers, and connections are reset amid calls."""
    simulator.acknowledgement_loss, simulator.answer_loss = ACKNOWLEDGEMENTS_LOST, ANSWERS_LOST
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    for _ in range(RESETS):
        simulator.reset_connections(simulator.draw.choice(names), RESET_PART)
        simulator.run(simulator.draw.uniform(0.2, 0.8))
    simulator.acknowledgement_loss = simulator.answer_loss = 0.0
    simulator.run(1)


KEY_SCENARIOS = {
    "keys-calm": calm,
    "keys-leaders-fail": leaders_fail,
    "keys-leader-deaf": leader_deaf,
    "keys-answers-lost": answers_lost,
}
