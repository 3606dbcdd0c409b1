"""How trials of second losses begin, and what they share."""

from collections.abc import Sequence

from ..machines import Node
from .trial import RECOVERS_WITHIN, LossTrial

SERVED_ON = 2.5  # seconds; in which a change is taken while no more is lost than may be
JOINT, COMMITTED, DONE = 130, 131, 132  # events of a change of members


def begun(
    seed: int, control_daemons: Sequence[str] = ("a", "b", "c"), slow: bool = True, mode: str = "static"
) -> LossTrial:
    """A fleet that serves and has taken some changes."""
    trial = LossTrial(seed, control_daemons, slow, mode=mode)
    trial.begin()
    trial.run(2 + 0.013 * seed)
    for _ in range(3):
        trial.change()
    return trial


def with_spare(
    seed: int, zone: str, control_daemons: Sequence[str] = ("a", "b", "c"), mode: str = "static"
) -> tuple[LossTrial, Node]:
    """(fleet, spare): such a fleet with a machine that follows the log in a zone that has its voter."""
    trial = begun(seed, control_daemons, mode=mode)
    spare = trial.fresh("spare", zone)

    def follows() -> bool:
        leader = trial.leader()
        return leader is not None and leader.core.consensus.caught_up(spare.core.identity)

    if trial.until(follows, RECOVERS_WITHIN) is None:
        trial.fault("the spare never followed the log")
    return trial, spare


def check_votes_within(trial: LossTrial, node: Node, seconds: float) -> None:
    """Notes a fault unless that machine's control daemon votes soon, by a list that is settled."""
    if not trial.votes(node) and trial.until(lambda: trial.votes(node), seconds, 0.005) is None:
        trial.fault(f"{node.name} does not vote {seconds:.0f} s on; the voters are {trial.voters()}")


def followers(trial: LossTrial) -> list[Node]:
    """The machines of the control daemons that run and do not lead."""
    return [node for node in trial.control_nodes() if node is not trial.leader() and node.core is not None]


def replace(trial: LossTrial, name: str, fresh: str) -> Node:
    """A machine is gone for good just when its successor starts."""
    zone = trial.nodes[name].zone
    trial.retire(name)
    return trial.fresh(fresh, zone)
