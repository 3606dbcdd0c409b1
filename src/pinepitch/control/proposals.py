"""Operations on their way into the log: which may be proposed, and who is told their outcome."""

from typing import TYPE_CHECKING, Any, NamedTuple

from ..common import constants
from ..model.decisions import problem
from ..state.registry import GROWING

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class OutcomeListener(NamedTuple):
    """Who is told the outcome of an operation, and what the answer is made of."""

    address: str  # of the daemon that forwarded the request
    token: str  # of the request
    answer_kind: str  # of the answer: a key of requests.OUTCOME_ANSWERS
    context: Any  # what the shape needs beside the outcome


class Proposals:
    """Invariants: nobody waits unless this daemon leads; no operation is proposed that a member, by the
    level it told last, does not know.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Forgets all, as a term begins or ends."""
        self.listeners: dict[int, list[OutcomeListener]] = {}  # index of an entry -> who is told its outcome

    def propose_at(self, operation: tuple[Any, ...], now: float) -> int | None:
        """Proposes, and says at which index; None when it is held back."""
        if self.daemon.cluster_state.levels.get(operation[0], 1) > self.common_level():
            return None
        index: int = self.daemon.consensus.last_index() + 1
        self.propose(operation, None, now)
        return index

    def common_level(self) -> int:
        """The level agreed on, or the lowest of the members if it is higher by now; one that has not
        advertised its own counts as 1. What was agreed stays: a member that is away knew it then.
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
        """Puts one operation into the log; `waiting` is told the outcome. One that a member
        does not know yet is held back.
        """
        if self.daemon.cluster_state.levels.get(operation[0], 1) > self.common_level():
            self.daemon.event(133, operation=operation[0], level=self.common_level())
            if listener is not None:
                self.daemon.forwarded_requests.refuse_pending(listener.address, listener.token, None, now)
            return
        if listener is not None and operation[0] in GROWING and self.daemon.consensus_driver.is_full():
            self._refuse_growth(operation, listener)
            return
        if listener is not None and self.daemon.consensus.log.size > self.daemon.limits.log:
            self.daemon.event(134, operation=operation[0], bytes=self.daemon.consensus.log.size)
            self.daemon.forwarded_requests.refuse_pending(listener.address, listener.token, None, now)
            return
        index = self.daemon.consensus.last_index() + 1
        if listener is not None:
            self.listeners.setdefault(index, []).append(listener)
        result = self.daemon.consensus.propose([operation], self.daemon.cluster_time(now), now)
        self.daemon.consensus_driver.execute(result[1], now)

    def _refuse_growth(self, operation: tuple[Any, ...], listener: OutcomeListener) -> None:
        """Tells a caller at once that what it asks for would enlarge a state that is full."""
        self.daemon.event(136, operation=operation[0], bytes=self.daemon.consensus_driver.image_size())
        message = "the cluster state is as large as it may be; nothing was taken"
        refusal = problem(429, "state_full", message, constants.RETRY_AFTER)
        self.daemon.forwarded_requests.answer(listener.address, listener.token, refusal)
