"""How a control daemon stops: it hands leadership and its seat on, and takes leave."""

from typing import TYPE_CHECKING

from . import membership

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Stopping:
    """Invariant: `core.departure` is set once the daemon is stopping."""

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core

    def on_seat(self, kept: bool, now: float) -> None:
        """The leader says whether this stopping voter's seat is kept for it or goes to a spare."""
        if self.core.departure is not None:
            self.core.departure.kept = kept

    def on_stop(self, now: float) -> None:
        """SIGTERM: hands leadership to a voter that holds all, leaves the session, finishes nothing new."""
        core = self.core
        core.stopping = True
        core.departure = membership.Departure(now, core.leave_within)
        core.event(101)
        if core.consensus is not None:
            live = {session.identity for session in core.sessions.live("accord")}
            able = live - set(core.membership_changes.leaving)
            core.agreement.run(core.consensus.transfer_leadership(able, now), now)
        core.departure.due(now)
        self.tell_leave()

    def tell_leave(self) -> None:
        """Tells the other control daemons that this one stops."""
        for session in self.core.sessions.live("accord"):
            self.core.send(session.address, ("leave", self.core.identity))

    def may_end(self, now: float) -> bool:
        """Whether a stopping process may end as far as its seat and its leadership go."""
        core = self.core
        if core.departure is None or core.consensus is None:
            return True
        members = core.consensus.membership.members()
        voting = core.identity in members and len(members) > 1
        return core.departure.over(now, voting, core.consensus.role == "leader")
