"""How a control daemon stops: it hands over leadership and its voter slot, and announces its leave."""

from typing import TYPE_CHECKING

from . import membership

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class Shutdown:
    """Invariant: `daemon.departure` is set once the daemon is stopping."""

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon

    def on_slot(self, retained: bool, now: float) -> None:
        """Handles the leader's decision whether this stopping voter retains its slot or a spare gets it."""
        if self.daemon.departure is not None:
            self.daemon.departure.retained = retained

    def on_stop(self, now: float) -> None:
        """Handles SIGTERM: hands leadership to a voter with the whole log, ends the session, and finishes
        nothing new.
        """
        daemon = self.daemon
        daemon.stopping = True
        daemon.departure = membership.Departure(now, daemon.leave_within)
        daemon.event(101)
        if daemon.consensus is not None:
            live = {session.identity for session in daemon.sessions.live("accord")}
            able = live - set(daemon.membership_changes.leaving)
            daemon.consensus_driver.execute(daemon.consensus.transfer_leadership(able, now), now)
        daemon.departure.due(now)
        self.announce_leave()

    def announce_leave(self) -> None:
        """Announces to the other control daemons that this one stops."""
        for session in self.daemon.sessions.live("accord"):
            self.daemon.send(session.address, ("leave", self.daemon.identity))

    def may_end(self, now: float) -> bool:
        """Whether a stopping process may exit as far as its voter slot and its leadership are concerned."""
        daemon = self.daemon
        if daemon.departure is None or daemon.consensus is None:
            return True
        members = daemon.consensus.membership.members()
        voting = daemon.identity in members and len(members) > 1
        return daemon.departure.finished(now, voting, daemon.consensus.role == "leader")
