"""Starting fleets and helper functions shared by the second-loss trials."""

from collections.abc import Sequence

from ..machines import Node
from .trial import RECOVERS_WITHIN, LossTrial

CHANGE_WITHIN = 2.5  # seconds; limit for a change while the tolerated losses are not exceeded
JOINT, COMMITTED, DONE = 130, 131, 132  # event numbers of the steps of a membership change


def begun(
    seed: int, control_daemons: Sequence[str] = ("a", "b", "c"), slow: bool = True, mode: str = "static"
) -> LossTrial:
    """Returns a fleet that serves and has acknowledged some changes."""
    trial = LossTrial(seed, control_daemons, slow, mode=mode)
    trial.begin()
    trial.run(2 + 0.013 * seed)
    for _ in range(3):
        trial.change()
    return trial


def start_with_spare(
    seed: int, zone: str, control_daemons: Sequence[str] = ("a", "b", "c"), mode: str = "static"
) -> tuple[LossTrial, Node]:
    """Returns (fleet, spare). The spare follows the log and is in a zone that already has a voter."""
    trial = begun(seed, control_daemons, mode=mode)
    spare = trial.fresh("spare", zone)

    def follows() -> bool:
        leader = trial.leader()
        return leader is not None and leader.core.consensus.caught_up(spare.core.identity)

    if trial.until(follows, RECOVERS_WITHIN) is None:
        trial.fault("the spare never followed the log")
    return trial, spare


def check_votes_within(trial: LossTrial, node: Node, seconds: float) -> None:
    """Records a fault unless the machine votes, with no membership change under way, in time."""
    if not trial.votes(node) and trial.until(lambda: trial.votes(node), seconds, 0.005) is None:
        trial.fault(f"{node.name} does not vote {seconds:.0f} s on; the voters are {trial.voters()}")


def followers(trial: LossTrial) -> list[Node]:
    """Returns the machines whose control daemons run and do not lead."""
    return [node for node in trial.control_nodes() if node is not trial.leader() and node.core is not None]


def replace(trial: LossTrial, name: str, fresh: str) -> Node:
    """Retires a machine for good and starts its replacement, with an empty disk, in the same zone."""
    zone = trial.nodes[name].zone
    trial.retire(name)
    return trial.fresh(fresh, zone)
