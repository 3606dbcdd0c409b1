"""Proposals of operations for the log: which may be proposed, and who is sent their outcome."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import constants
from ..model.decisions import problem
from ..state.registry import GROWING, memory_cost

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class OutcomeListener(NamedTuple):
    """Who is sent the outcome of an operation, and from what the answer is built."""

    address: str  # of the daemon that forwarded the request
    token: str  # of the request
    answer_kind: str  # a key of requests.OUTCOME_ANSWERS
    context: Any  # what the answer needs in addition to the outcome


class Proposals:
    """Invariants: there are no listeners unless this daemon leads; no operation is proposed that some member,
    by the level it last advertised, does not know.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Resets all state, as a term begins or ends."""
        self.listeners: dict[int, list[OutcomeListener]] = {}  # by index of the entry
        # index of a proposed entry that is not applied yet -> bytes of memory that it will take
        self._unapplied_bytes: dict[int, int] = {}

    def propose_at(self, operation: tuple[Any, ...], now: float) -> int | None:
        """Proposes an operation and returns the index of its entry; None if some member does not know the
        operation.
        """
        if self.daemon.cluster_state.levels.get(operation[0], 1) > self.common_level():
            return None
        index: int = self.daemon.consensus.last_index() + 1
        self.propose(operation, None, now)
        return index

    def common_level(self) -> int:
        """The committed level, or the lowest level that the members advertise if that is higher by now. A
        member that has not advertised its level counts as level 1. The committed level never falls, because a
        member that is away now knew it when it was committed.
        """
        advertised = min(
            (
                self.daemon.advertised_levels.get(member, 1)
                for member in self.daemon.consensus.membership.members()
            ),
            default=1,
        )
        return max(self.daemon.cluster_state.level, advertised)

    def propose(self, operation: tuple[Any, ...], listener: OutcomeListener | None, now: float) -> None:
        """Proposes one operation for the log; `listener` is sent the outcome. An operation that some member
        does not know yet is not proposed, and its request is refused.
        """
        self.propose_together(operation, () if listener is None else (listener,), now)

    def propose_together(
        self, operation: tuple[Any, ...], listeners: Sequence[OutcomeListener], now: float
    ) -> bool:
        """As propose(), for one operation that several requests asked for. Returns whether it was
        proposed.
        """
        if self.daemon.cluster_state.levels.get(operation[0], 1) > self.common_level():
            self.daemon.event(133, operation=operation[0], level=self.common_level())
            self._refuse(listeners, now)
            return False
        cost = memory_cost(operation)
        if listeners and operation[0] in GROWING and self._is_full(cost, now):
            self._refuse_growth(operation, listeners)
            return False
        if listeners and self.daemon.consensus.log.size > self.daemon.limits.log:
            self.daemon.event(134, operation=operation[0], bytes=self.daemon.consensus.log.size)
            self._refuse(listeners, now)
            return False
        index = self.daemon.consensus.last_index() + 1
        if listeners:
            self.listeners.setdefault(index, []).extend(listeners)
        if cost:
            self._unapplied_bytes[index] = cost
        result = self.daemon.consensus.propose([operation], self.daemon.cluster_time(now), now)
        self.daemon.consensus_driver.execute(result[1], now)
        return True

    def _refuse(self, listeners: Sequence[OutcomeListener], now: float) -> None:
        """Refuses the requests for an operation that was not proposed."""
        for listener in listeners:
            self.daemon.forwarded_requests.refuse_pending(listener.address, listener.token, None, now)

    def on_applied(self, index: int) -> None:
        """Handles an entry that was applied: the cluster state accounts for its memory from now on."""
        self._unapplied_bytes.pop(index, None)

    def state_bytes(self) -> int:
        """Bytes of memory that the leased jobs may take, with those that are proposed."""
        applied: int = self.daemon.cluster_state.leased_jobs.memory_bytes()
        return applied + sum(self._unapplied_bytes.values())

    def _is_full(self, cost: int, now: float) -> bool:
        """Whether the cluster state has no room for an operation that takes `cost` bytes of memory, or for
        the record of the job that it accepts.
        """
        if self.daemon.consensus_driver.is_full():
            return True
        if not cost:
            return False
        if self.state_bytes() + cost > self.daemon.limits.state_with(cost):
            return True
        leased_jobs = self.daemon.cluster_state.leased_jobs
        coming = len(self._unapplied_bytes) + 1
        return not leased_jobs.keeps_final_records(self.daemon.cluster_time(now), coming)

    def _refuse_growth(self, operation: tuple[Any, ...], listeners: Sequence[OutcomeListener]) -> None:
        """Refuses at once requests that would enlarge a cluster state that is full."""
        self.daemon.event(
            136,
            operation=operation[0],
            bytes=self.daemon.consensus_driver.image_size(),
            memory=self.state_bytes(),
        )
        message = "the cluster state is as large as it may be; nothing was taken"
        refusal = problem(429, "state_full", message, constants.RETRY_AFTER)
        for listener in listeners:
            self.daemon.forwarded_requests.answer(listener.address, listener.token, refusal)
