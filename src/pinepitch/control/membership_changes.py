"""Who joins, who leaves, and who has whose voter seat: what the leader changes by joint consensus."""

from typing import TYPE_CHECKING

from ..common import constants
from . import membership

if TYPE_CHECKING:
    from .daemon import ControlDaemon

Members = dict[str, str]  # identity -> zone


class MembershipChanges:
    """Invariants: one change is under way at a time; `leaving` holds only daemons that said that they
    stop.
    """

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.leaving: dict[str, membership.Leave] = {}  # control daemon that stops -> what is known of it
        self.change_took = 0.0  # seconds; of the newest joint change that this daemon led
        self.clear()

    def clear(self) -> None:
        """Forgets what exists only while leading."""
        self.change_begun: float | None = None  # when the joint change under way was proposed

    def maintain(self, now: float) -> None:
        """Lets caught-up newcomers in and long lost members out, by joint consensus."""
        consensus = self.core.consensus
        self._time_change(now)
        live = {session.identity for session in self.core.sessions.live("accord")} - set(self.leaving)
        live.add(self.core.identity)
        members = consensus.membership.members()
        if not consensus.serving():
            return
        self._tell_seats(live, now)
        if consensus.membership.coming is not None:
            return
        change = self._wanted_members(members, live, now)
        if change is not None:
            self._propose_members(change, now)

    def _wanted_members(self, members: Members, live: set[str], now: float) -> Members | None:
        """The members that are to follow, or None while these are right."""
        caught_up = {
            one: zone
            for one, zone in self.core.consensus.learners.items()
            if one in live and one not in members and self.core.consensus.caught_up(one)
        }
        out = {one: self._unheard(one, now) for one in members if one not in live}
        for leaver in sorted(one for one in self.leaving if one in out):
            successor = membership.successor(self.core.consensus.membership.now, leaver, caught_up, live)
            if successor is not None:
                return membership.swapped(members, leaver, successor, caught_up[successor])
        for identity, zone in sorted(caught_up.items()):
            change = self._admission(identity, zone, members, out, live)
            if change is not None:
                return change
        for identity, unheard in sorted(out.items()):
            beside = any(one in live and zone == members[identity] for one, zone in members.items())
            least = self.core.voters if self.core.mode == "single" else 3
            if unheard > constants.RETIRE_AFTER and beside and len(members) > least:
                return {one: zone for one, zone in members.items() if one != identity}
        return None

    def _unheard(self, identity: str, now: float) -> float:
        """How long a member that is out of session was not heard, as far as this daemon can tell."""
        return now - max(self.core.sessions.heard(identity), self.core.first_tick_at or 0.0)

    def _time_change(self, now: float) -> None:
        """Measures how long the joint change that this daemon leads takes."""
        if self.change_begun is None or self.core.consensus.changing():
            return
        self.change_took, self.change_begun = now - self.change_begun, None

    def _tell_seats(self, live: set[str], now: float) -> None:
        """Tells each stopping voter whether a spare is to have its seat, and forgets those long gone."""
        members = self.core.consensus.membership.members()
        spares = {one: zone for one, zone in self.core.consensus.learners.items() if one not in members}
        voters = self.core.consensus.membership.now
        for leaver, leave in list(self.leaving.items()):
            if leaver not in voters.members or now - leave.since > self.core.catch_up:
                del self.leaving[leaver]
                continue
            kept = membership.successor(voters, leaver, spares, live) is None
            if leave.kept != kept:
                self.leaving[leaver] = leave._replace(kept=kept)
                self.core.send(self.core.sessions.address(leaver), ("seat", kept))

    def _admission(
        self, identity: str, zone: str, members: Members, out: dict[str, float], live: set[str]
    ) -> Members | None:
        """The members once a newcomer is in: in a lost one's seat, its own zone's first, or in a zone
        without any; else None, and it stays a spare that follows the log.
        """
        address = self.core.sessions.address(identity)
        lost = [one for one in members if self.core.sessions.address(one) == address]
        if not lost:
            after = membership.Budget(self.core.catch_up, self.change_took).replace_after()
            missed = [one for one, unheard in out.items() if unheard >= after]
            lost = [one for one in missed if members[one] == zone] or [
                one
                for one in missed
                if membership.gains(self.core.consensus.membership.now, one, identity, zone, live)
            ]
        if lost:
            leaves = max(lost, key=lambda one: (out.get(one, 0.0), one))
            return membership.swapped(members, leaves, identity, zone)
        if self.core.mode == "single":
            # so many that any two lost leave a majority, and no zone as many as would be missed
            inside = sum(one == zone for one in members.values())
            if len(members) < self.core.voters and inside < (self.core.voters - 1) // 2:
                return {**members, identity: zone}
            return self._spread_zones(identity, zone, members, live)
        if zone in members.values() or len(members) >= constants.MAX_CLUSTER_MEMBERS:
            return None  # a spare: a group of two would need both, so it waits for a loss
        return {**members, identity: zone}

    def _spread_zones(self, identity: str, zone: str, members: Members, live: set[str]) -> Members | None:
        """The members once a newcomer has the seat of one whose zone holds several, as after a loss that
        one of another zone stood in for; None where that leaves no more to lose.
        """
        for one, place in sorted(members.items()):
            several = sum(other == place for other in members.values()) > 1
            if not several or one == self.core.identity or place == zone:
                continue
            if membership.gains(self.core.consensus.membership.now, one, identity, zone, live):
                return membership.swapped(members, one, identity, zone)
        return None

    def _propose_members(self, members: Members, now: float) -> None:
        """Begins a joint change to these members."""
        result = self.core.consensus.change_members(members, self.core.cluster_time(now), now)
        if result is not None:
            self.change_begun = now
            self.core.agreement.run(result[1], now)

    def on_join(self, identity: str, zone: str, address: str, now: float) -> None:
        """A daemon asks to join: it follows the log as a learner from now on, where there is a place."""
        consensus = self.core.consensus
        if consensus is None or consensus.role != "leader" or not consensus.serving():
            return
        if identity in consensus.membership.members():
            return
        self.core.sessions.greeted(identity, "accord", zone, address, now)
        if len(consensus.learners) >= constants.MAX_CLUSTER_MEMBERS:
            self._forget_lost_learners()
        if len(consensus.learners) < constants.MAX_CLUSTER_MEMBERS:
            consensus.learn(identity, zone, now)
        self.core.send(address, ("admit", self.core.cluster, self.core.mode, self.core.identity))

    def _forget_lost_learners(self) -> None:
        """Makes a place free among the learners: one without a session asks again if it comes back."""
        consensus = self.core.consensus
        live = {session.identity for session in self.core.sessions.live("accord")}
        for identity in set(consensus.learners) - live - set(consensus.membership.members()):
            consensus.forget_learner(identity)

    def on_leave(self, identity: str, now: float) -> None:
        """A daemon ends its session itself."""
        if self.core.sessions.by_identity.pop(identity, None):
            self.core.event(141, daemon=identity)
        if self.core.consensus is not None and identity in self.core.consensus.membership.members():
            self.leaving[identity] = membership.Leave(now, None)
