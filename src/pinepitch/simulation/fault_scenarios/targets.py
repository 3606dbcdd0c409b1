"""What the fault scenarios share: which daemons they strike, and whether those left give service."""

from collections.abc import Mapping, Sequence

from ..machines import Node
from ..simulator import Simulator
from ..stand_in_client import StandInClient
from ..stand_in_operator import Operator


def daemon_names(simulator: Simulator, kind: str | None = None) -> list[str]:
    """Names of the daemons of a kind, running or not; of all kinds when None."""
    return [
        name
        for name, node in simulator.nodes.items()
        if node.kind in ((kind,) if kind else ("accord", "verge"))
    ]


def is_in_membership(node: Node) -> bool:
    """Whether a control daemon is a member by its own knowledge."""
    consensus = node.core.consensus
    return consensus is not None and node.core.identity in consensus.membership.members()


def is_member(node: Node) -> bool:
    """The same, with no change of members under way."""
    return is_in_membership(node) and not node.core.consensus.membership.coming


def check_served(simulator: Simulator, operator: Operator, why: str, within: float = 12.0) -> None:
    """Asks at one front daemon after another until one answers through a leader."""
    begun = simulator.now
    back = simulator.until(
        lambda: simulator.ask("GET", "/v1/setup", front=simulator.draw.randrange(9), seconds=3.0)[0] == 200,
        30,
    )
    if back is None or simulator.now - begun > within:
        operator.faults.append(f"no service {why} within {within:.0f} s: {simulator.now - begun:.1f} s")


def submit_long(
    caller: StandInClient, operator: Operator, key: str, tasks: Sequence[Mapping[str, object]]
) -> None:
    """Lets a stand-in client submit a job of the default queue as soon as it may."""
    caller.retry.append((operator.now(), key, {"queue": "default", "urgency": 5, "key": key, "tasks": tasks}))


def leader_often(simulator: Simulator, part: float, kind: str | None = "accord") -> str:
    """The leader's name in a part of the cases, else that of any daemon of a kind (None for all)."""
    leader = simulator.leader()
    if leader and simulator.draw.random() < part:
        return leader.name
    return simulator.draw.choice(daemon_names(simulator, kind))
