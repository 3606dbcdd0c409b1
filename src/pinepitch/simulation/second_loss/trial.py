"""A fleet in the simulator whose losses are timed to the steps that control daemons tell by their events.

What was agreed on is read from the disks, not from the deciders' word, and leases are compared at every
step. The other modules of this package hold what is tried with it.
"""

from collections.abc import Callable, Sequence
from typing import Any

from ...consensus.quorum import Quorum
from ...consensus.replica import Consensus
from .. import simulator as simulators
from ..machines import Node
from ..simulator import OFFSET, Simulator

SLOW_SYNC = 0.017  # seconds; a sync of 12 ms on a disk with 5 ms of latency
MEAN_SYNC = 0.003  # seconds; what the simulator's disks take on average
Step = int | str  # an event's number, or the kind of a message of consensus
RECOVERS_WITHIN = 8.0  # seconds; in which service must be back once what was lost is back


class LossTrial(Simulator):
    """A fleet without workers. Invariants: faults is only added to; acknowledged holds every change of
    the queue configuration that was; a hook runs once, right after the step in which its event was told.
    """

    def __init__(
        self, seed: int, control_daemons: Sequence[str] = ("a", "b", "c"), slow: bool = False, **more: Any
    ) -> None:
        self.faults: list[str] = []
        self.acknowledged: list[tuple[int, int]] = []  # (version, limit)
        self.hooks: list[list[Any]] = []  # [step, what to do, how often the step still has to come]
        self.slow = 1.0
        self.changes = 0
        super().__init__(seed, control_daemons, workers=(), **more)
        self.loss = 0.0
        if slow:
            self.slow = SLOW_SYNC / MEAN_SYNC
            for node in self.control_nodes():
                node.disk.slow = self.slow

    def control_nodes(self) -> list[Node]:
        """The control daemons' machines that are not gone for good, up or down."""
        return [node for node in self.nodes.values() if node.kind == "accord"]

    def machine(self, identity: str) -> Node | None:
        """The machine on which the control daemon of that identity runs now, or None."""
        found = [
            node for node in self.control_nodes() if node.core is not None and node.core.identity == identity
        ]
        return found[0] if found else None

    # --- ends and starts of machines ---------------------------------------------------
    def lose_power(self, name: str) -> None:
        """A machine loses power, and with it all that was not synced: the worst that may be left of it."""
        disk = self.nodes[name].disk
        disk.beside = disk.in_progress = None
        self.kill(name)

    def retire(self, name: str) -> None:
        """The machine is gone for good, its disk with it."""
        if self.nodes[name].core is not None:
            self.kill(name)
        self.nodes[name].kind = "retired"

    def fresh(self, name: str, zone: str) -> Node:
        """Starts a new machine with an empty disk at a new address."""
        node = self.add(name, "accord", zone)
        node.disk.slow = self.slow
        live = [one.address for one in self.control_nodes() if one.core is not None]
        self.seeds = [*live[:2], node.address]
        self.start(name)
        return node

    def again(self, name: str, after: float) -> None:
        """Starts a machine that is down after some time."""
        self.at(after, "act", lambda: self.nodes[name].core is None and self.start(name))

    # --- steps --------------------------------------------------------------------------
    def on(self, step: Step, act: Callable[[Node], object], count: int = 1) -> None:
        """Calls act(node) right after a step comes the count-th time: an event's number that a node tells,
        or the kind of a message of consensus that reaches a node.
        """
        self.hooks.append([step, act, count])

    def _step_came(self, step: Step, node: Node) -> None:
        for hook in [one for one in self.hooks if one[0] == step]:
            hook[2] -= 1
            if hook[2] == 0:
                self.hooks.remove(hook)
                self.at(0.0, "act", lambda hook=hook: hook[1](node))

    def _event(self, node: Node, number: int, fields: dict[str, Any]) -> None:
        super()._event(node, number, fields)
        self._step_came(number, node)
        if number == 131:
            self._check_joint(node)

    def _act(self, act: Callable[[], object]) -> None:
        act()

    def give(self, node: Node, message: tuple[Any, ...]) -> None:
        """Hands a message to a daemon, then compares the leases."""
        super().give(node, message)
        if node.kind == "accord":
            if message[0] == "raft":
                self._step_came(message[4][0], node)
            self._check_leases()

    # --- checks -------------------------------------------------------------------------
    def fault(self, text: str) -> None:
        """Notes a fault once."""
        if text not in self.faults:
            self.faults.append(text)

    def _check_leases(self) -> None:
        """While a control daemon may rely on its lease no other serves in a newer term."""
        leading = [
            node.core.consensus
            for node in self.control_nodes()
            if node.core is not None
            and node.core.consensus is not None
            and node.core.consensus.role == "leader"
        ]
        if len(leading) < 2:
            return
        newest = max((one.term for one in leading if one.serving()), default=0)
        for one in leading:
            if one.term < newest and one.leased(self.now + OFFSET):
                self.fault(f"{one.identity} relies on its lease of term {one.term} beside term {newest}")

    def _on_disks(self, index: int, term: int) -> set[str]:
        """The identities whose disks hold the entry of that index and term, and so all before it."""
        holding = set()
        for node in self.control_nodes():
            base, steps, _ = node.disk.load()
            changes = [one for step in steps for kind, one in step if kind == "raft"]
            identities = [
                one for step in steps for kind, one in step if kind == "note" and one[0] == "identity"
            ]
            kept = Consensus("", 0)
            kept.restore(base[2] if base else None, changes)
            if kept.base_index >= index or kept.term_at(index) == term:
                holding.add(base[0] if base else identities[0][1])
        return holding

    def _check_joint(self, node: Node) -> None:
        """A joint list that counts as committed lies, with all before it, on the disks of a commit quorum
        of the old list and of one of the new.
        """
        consensus = node.core.consensus
        index = consensus.applied_index
        while consensus.entry(index)[2][0] != "members":
            index -= 1
        term, _, (_, lists) = consensus.entry(index)
        holding = self._on_disks(index, term)
        for members, mode in lists:
            if not Quorum(dict(members), mode).commits(holding, consensus.identity):
                found = f"without a quorum of {sorted(members)} on disk: {sorted(holding)}"
                self.fault(f"list {index} is committed at {node.name} {found}")

    def change(self, within: float = RECOVERS_WITHIN) -> None:
        """One change of the queue configuration, tried until it is acknowledged."""
        self.changes += 1
        limit = 50 + self.changes
        patch = {"queues": {"default": {"limit": limit}}}
        status, answer = self.persist("PATCH", "/v1/setup", patch, {"if-match": "*"}, seconds=within)
        if status == 200:
            self.acknowledged.append((answer["version"], limit))
        else:
            self.fault(f"change {self.changes} was not taken within {within:.1f} s: {status}")

    def check_recovery(self) -> None:
        """Heals all; then all acknowledged is kept, changes are taken, and the control daemons agree."""
        self.heal()
        for node in self.control_nodes():
            if node.core is None:
                self.start(node.name)
        if self.served(RECOVERS_WITHIN) is None:
            self.fault(f"nobody served within {RECOVERS_WITHIN:.0f} s after all was back")
            return
        self.change()
        for version, limit in self.acknowledged[-20:]:
            status, answer = self.persist("GET", f"/v1/setup/versions/{version}", seconds=RECOVERS_WITHIN)
            found = answer["setup"]["queues"]["default"]["limit"] if status == 200 else None
            if found != limit:
                self.fault(f"version {version}, acknowledged with {limit}, reads {status} {found}")
        self.faults.extend(self.agreement())

    # --- what is known ------------------------------------------------------------------
    def served(self, within: float, but: str | None = None) -> float | None:
        """How long until a control daemon other than `but` leads and serves, or None."""

        def serving() -> bool:
            leader = self.leader()
            return leader is not None and leader.name != but and leader.core.consensus.serving()

        return self.until(serving, within, 0.001)

    def voters(self) -> set[str]:
        """The identities on the newest leader's list, or none while a change of it is under way."""
        leader = self.leader()
        if leader is None or leader.core.consensus.membership_changing():
            return set()
        return set(leader.core.consensus.membership.members())

    def votes(self, *nodes: Node) -> bool:
        """Whether all these machines' control daemons vote, by a list that is settled."""
        return all(node.core is not None and node.core.identity in self.voters() for node in nodes)

    def event_count(self, number: int) -> int:
        """How often an event was told."""
        return sum(event[2] == number for event in self.trace)


simulators.HANDLERS["act"] = LossTrial._act
