"""Operations on their way into the log: which may be proposed, and who is told their outcome."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Proposals:
    """Invariants: nobody waits unless this daemon leads; no operation is proposed that a member, by the
    level it told last, does not know."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.clear()

    def clear(self) -> None:
        """Forgets all, as a term begins or ends."""
        # index -> [(address, token, shape of the answer, what else it is made of)] to be told the outcome
        self.awaiting: dict[int, list[tuple]] = {}

    def propose_at(self, operation: tuple, now: float) -> int | None:
        """Proposes, and says at which index; None when it is held back."""
        if self.core.cluster_state.levels.get(operation[0], 1) > self.common_level():
            return None
        index = self.core.consensus.last_index() + 1
        self.propose(operation, None, now)
        return index

    def common_level(self) -> int:
        """The level agreed on, or the lowest of the members if it is higher by now; one that has not
        advertised its own counts as 1. What was agreed stays: a member that is away knew it then."""
        advertised = min(
            (self.core.advertised_levels.get(one, 1) for one in self.core.consensus.membership.members()),
            default=1,
        )
        return max(self.core.cluster_state.level, advertised)

    def propose(self, operation: tuple, waiting: tuple | None, now: float) -> None:
        """Puts one operation into the log; `waiting` is told the outcome. One that a member
        does not know yet is held back."""
        if self.core.cluster_state.levels.get(operation[0], 1) > self.common_level():
            self.core._event(133, operation=operation[0], level=self.common_level())
            if waiting is not None:
                self.core.forwarded_requests.not_taken(waiting[0], waiting[1], None, now)
            return
        if waiting is not None and self.core.consensus.log.size > self.core.limits.log:
            self.core._event(134, operation=operation[0], bytes=self.core.consensus.log.size)
            self.core.forwarded_requests.not_taken(waiting[0], waiting[1], None, now)
            return
        start = self.core.consensus.last_index() + 1
        if waiting is not None:
            self.awaiting.setdefault(start, []).append(waiting)
        result = self.core.consensus.propose([operation], self.core._now(now), now)
        self.core.agreement.run(result[1], now)
