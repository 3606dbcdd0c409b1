"""A simulated fleet whose losses are timed to the steps that control daemons report by events.

Committed entries are checked on the disks rather than taken from what the control daemons report, and
leases are compared at every step. The other modules of this package define the trials.
"""

from collections.abc import Callable, Sequence
from typing import Any

from ...consensus.quorum import Quorum
from ...consensus.replica import Consensus
from .. import simulator as simulators
from ..machines import Node
from ..simulator import OFFSET, Simulator

SLOW_SYNC = 0.017  # seconds; a sync of 12 ms on a disk with 5 ms of latency
MEAN_SYNC = 0.003  # seconds; average sync of the simulator's disks
Step = int | str  # an event number, or the kind of a consensus message
RECOVERS_WITHIN = 8.0  # seconds; limit for service to resume once the lost machines are back


class LossTrial(Simulator):
    """A fleet without workers.

    Invariants: faults is only appended to; acknowledged contains every acknowledged change of the queue
    configuration; a hook runs once, right after the step in which its event was reported.
    """

    def __init__(
        self, seed: int, control_daemons: Sequence[str] = ("a", "b", "c"), slow: bool = False, **more: Any
    ) -> None:
        self.faults: list[str] = []
        self.acknowledged: list[tuple[int, int]] = []  # (version, limit)
        self.hooks: list[list[Any]] = []  # [step, action, remaining occurrences of the step]
        self.slow = 1.0
        self.changes = 0
        super().__init__(seed, control_daemons, workers=(), **more)
        self.loss = 0.0
        if slow:
            self.slow = SLOW_SYNC / MEAN_SYNC
            for node in self.control_nodes():
                node.disk.slow = self.slow

    def control_nodes(self) -> list[Node]:
        """Returns the control daemons' machines, up or down, except those retired for good."""
        return [node for node in self.nodes.values() if node.kind == "accord"]

    def machine(self, identity: str) -> Node | None:
        """Returns the machine that now runs the control daemon of that identity, or None."""
        machines = [
            node for node in self.control_nodes() if node.core is not None and node.core.identity == identity
        ]
        return machines[0] if machines else None

    # --- ends and starts of machines ---------------------------------------------------
    def lose_power(self, name: str) -> None:
        """Cuts a machine's power. All data that was not synced is lost, which is the worst case."""
        disk = self.nodes[name].disk
        disk.beside = disk.in_progress = None
        self.kill(name)

    def retire(self, name: str) -> None:
        """Removes a machine and its disk for good."""
        if self.nodes[name].core is not None:
            self.kill(name)
        self.nodes[name].kind = "retired"

    def fresh(self, name: str, zone: str) -> Node:
        """Starts a new machine with an empty disk at a new address."""
        node = self.add(name, "accord", zone)
        node.disk.slow = self.slow
        live = [peer.address for peer in self.control_nodes() if peer.core is not None]
        self.seeds = [*live[:2], node.address]
        self.start(name)
        return node

    def again(self, name: str, after: float) -> None:
        """Starts a machine after some time if it is down then."""
        self.at(after, "act", lambda: self.nodes[name].core is None and self.start(name))

    # --- steps --------------------------------------------------------------------------
    def on(self, step: Step, act: Callable[[Node], object], count: int = 1) -> None:
        """Calls act(node) right after the count-th occurrence of a step. A step is the number of an event
        that a node reports, or the kind of a consensus message that reaches a node.
        """
        self.hooks.append([step, act, count])

    def _count_step(self, step: Step, node: Node) -> None:
        for hook in [pending for pending in self.hooks if pending[0] == step]:
            hook[2] -= 1
            if hook[2] == 0:
                self.hooks.remove(hook)
                self.at(0.0, "act", lambda hook=hook: hook[1](node))

    def _event(self, node: Node, number: int, fields: dict[str, Any]) -> None:
        super()._event(node, number, fields)
        self._count_step(number, node)
        if number == 131:
            self._check_joint(node)

    def _act(self, act: Callable[[], object]) -> None:
        act()

    def give(self, node: Node, message: tuple[Any, ...]) -> None:
        """Delivers a message to a daemon, then compares the leases."""
        super().give(node, message)
        if node.kind == "accord":
            if message[0] == "raft":
                self._count_step(message[4][0], node)
            self._check_leases()

    # --- checks -------------------------------------------------------------------------
    def fault(self, text: str) -> None:
        """Records a fault once."""
        if text not in self.faults:
            self.faults.append(text)

    def _check_leases(self) -> None:
        """Checks that no control daemon serves in a newer term while another may still rely on its lease."""
        leading = [
            node.core.consensus
            for node in self.control_nodes()
            if node.core is not None
            and node.core.consensus is not None
            and node.core.consensus.role == "leader"
        ]
        if len(leading) < 2:
            return
        newest = max((replica.term for replica in leading if replica.serving()), default=0)
        for replica in leading:
            if replica.term < newest and replica.leased(self.now + OFFSET):
                self.fault(
                    f"{replica.identity} relies on its lease of term {replica.term} beside term {newest}"
                )

    def _identities_storing(self, index: int, term: int) -> set[str]:
        """Returns the identities whose disks store this entry and therefore all earlier entries."""
        storing = set()
        for node in self.control_nodes():
            base, steps, _ = node.disk.load()
            changes = [change for step in steps for kind, change in step if kind == "raft"]
            identities = [
                record
                for step in steps
                for kind, record in step
                if kind == "note" and record[0] == "identity"
            ]
            restored = Consensus("", 0)
            restored.restore(base[2] if base else None, changes)
            if restored.base_index >= index or restored.term_at(index) == term:
                storing.add(base[0] if base else identities[0][1])
        return storing

    def _check_joint(self, node: Node) -> None:
        """Checks that a committed joint list and all earlier entries are on the disks of a commit quorum
        of the old list and of a commit quorum of the new list.
        """
        consensus = node.core.consensus
        index = consensus.applied_index
        while consensus.entry(index)[2][0] != "members":
            index -= 1
        term, _, (_, lists) = consensus.entry(index)
        storing = self._identities_storing(index, term)
        for members, mode in lists:
            if not Quorum(dict(members), mode).commits(storing, consensus.identity):
                reason = f"without a quorum of {sorted(members)} on disk: {sorted(storing)}"
                self.fault(f"list {index} is committed at {node.name} {reason}")

    def change(self, within: float = RECOVERS_WITHIN) -> None:
        """Makes one change of the queue configuration, retried until it is acknowledged."""
        self.changes += 1
        limit = 50 + self.changes
        patch = {"queues": {"default": {"limit": limit}}}
        status, answer = self.persist("PATCH", "/v1/setup", patch, {"if-match": "*"}, seconds=within)
        if status == 200:
            self.acknowledged.append((answer["version"], limit))
        else:
            self.fault(f"change {self.changes} was not acknowledged within {within:.1f} s: {status}")

    def check_recovery(self) -> None:
        """Heals the fleet; checks that acknowledged changes remain, changes succeed and daemons agree."""
        self.heal()
        for node in self.control_nodes():
            if node.core is None:
                self.start(node.name)
        if self.served(RECOVERS_WITHIN) is None:
            self.fault(f"no leader served within {RECOVERS_WITHIN:.0f} s after all machines were back")
            return
        self.change()
        for version, limit in self.acknowledged[-20:]:
            status, answer = self.persist("GET", f"/v1/setup/versions/{version}", seconds=RECOVERS_WITHIN)
            actual = answer["setup"]["queues"]["default"]["limit"] if status == 200 else None
            if actual != limit:
                self.fault(f"version {version}, acknowledged with {limit}, reads {status} {actual}")
        self.faults.extend(self.agreement())

    # --- observations -------------------------------------------------------------------
    def served(self, within: float, but: str | None = None) -> float | None:
        """Returns the seconds until a control daemon other than `but` leads and serves, or None."""

        def serving() -> bool:
            leader = self.leader()
            return leader is not None and leader.name != but and leader.core.consensus.serving()

        return self.until(serving, within, 0.001)

    def voters(self) -> set[str]:
        """Returns the voters on the newest leader's list, or an empty set during a membership change."""
        leader = self.leader()
        if leader is None or leader.core.consensus.membership_changing():
            return set()
        return set(leader.core.consensus.membership.members())

    def votes(self, *nodes: Node) -> bool:
        """Returns whether all these control daemons vote and no membership change is under way."""
        return all(node.core is not None and node.core.identity in self.voters() for node in nodes)

    def event_count(self, number: int) -> int:
        """Returns how often an event was reported."""
        return sum(event[2] == number for event in self.trace)


simulators.HANDLERS["act"] = LossTrial._act
