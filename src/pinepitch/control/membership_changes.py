"""Membership changes that the leader makes by joint consensus: who joins, who leaves, who replaces whom."""

from typing import TYPE_CHECKING

from ..common import constants
from . import membership

if TYPE_CHECKING:
    from .daemon import ControlDaemon

Members = dict[str, str]  # identity -> zone


class MembershipChanges:
    """Invariants: one change is in progress at a time; `leaving` contains only daemons that announced that
    they stop.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.leaving: dict[str, membership.Leave] = {}  # by identity of the stopping control daemon
        self.last_change_duration = 0.0  # seconds; duration of the newest joint change that this daemon led
        self.clear()

    def clear(self) -> None:
        """Resets the state that belongs to a leader."""
        self.change_started_at: float | None = None  # when the joint change in progress was proposed

    def maintain(self, now: float) -> None:
        """Admits caught-up newcomers and removes members lost for long, by joint consensus."""
        consensus = self.daemon.consensus
        self._measure_change(now)
        live = {session.identity for session in self.daemon.sessions.live("accord")} - set(self.leaving)
        live.add(self.daemon.identity)
        members = consensus.membership.members()
        if not consensus.serving():
            return
        self._notify_leaving_voters(live, now)
        if consensus.membership.coming is not None:
            return
        change = self._wanted_members(members, live, now)
        if change is not None:
            self._propose_members(change, now)

    def _wanted_members(self, members: Members, live: set[str], now: float) -> Members | None:
        """The next list of members, or None if no change is needed."""
        caught_up = {
            peer: zone
            for peer, zone in self.daemon.consensus.learners.items()
            if peer in live and peer not in members and self.daemon.consensus.caught_up(peer)
        }
        unreachable = {peer: self._unreachable_seconds(peer, now) for peer in members if peer not in live}
        for leaver in sorted(peer for peer in self.leaving if peer in unreachable):
            successor = membership.successor(self.daemon.consensus.membership.now, leaver, caught_up, live)
            if successor is not None:
                return membership.with_replacement(members, leaver, successor, caught_up[successor])
        for identity, zone in sorted(caught_up.items()):
            change = self._admission(identity, zone, members, unreachable, live)
            if change is not None:
                return change
        for identity, unreachable_seconds in sorted(unreachable.items()):
            zone_has_live_member = any(
                peer in live and zone == members[identity] for peer, zone in members.items()
            )
            min_members = self.daemon.voters if self.daemon.mode == "single" else 3
            if (
                unreachable_seconds > constants.RETIRE_AFTER
                and zone_has_live_member
                and len(members) > min_members
            ):
                return {peer: zone for peer, zone in members.items() if peer != identity}
        return None

    def _unreachable_seconds(self, identity: str, now: float) -> float:
        """How long a member without a session has been unreachable, as far as this daemon can tell."""
        return now - max(self.daemon.sessions.last_seen(identity), self.daemon.first_tick_at or 0.0)

    def _measure_change(self, now: float) -> None:
        """Measures the duration of the joint change that this daemon leads."""
        if self.change_started_at is None or self.daemon.consensus.membership_changing():
            return
        self.last_change_duration, self.change_started_at = now - self.change_started_at, None

    def _notify_leaving_voters(self, live: set[str], now: float) -> None:
        """Notifies each stopping voter whether a spare will take its slot, and forgets voters that left long
        ago.
        """
        members = self.daemon.consensus.membership.members()
        spares = {
            learner: zone
            for learner, zone in self.daemon.consensus.learners.items()
            if learner not in members
        }
        voters = self.daemon.consensus.membership.now
        for leaver, leave in list(self.leaving.items()):
            if leaver not in voters.members or now - leave.since > self.daemon.catch_up:
                del self.leaving[leaver]
                continue
            retained = membership.successor(voters, leaver, spares, live) is None
            if leave.retained != retained:
                self.leaving[leaver] = leave._replace(retained=retained)
                self.daemon.send(self.daemon.sessions.address(leaver), ("seat", retained))

    def _admission(
        self, identity: str, zone: str, members: Members, unreachable_for: dict[str, float], live: set[str]
    ) -> Members | None:
        """The members after a newcomer is admitted: in the slot of a lost member, preferably of its own zone,
        or in a zone without any member. Otherwise None, and the newcomer stays a spare that follows the log.
        """
        address = self.daemon.sessions.address(identity)
        replaceable = [member for member in members if self.daemon.sessions.address(member) == address]
        if not replaceable:
            replace_after = membership.ReplacementBudget(
                self.daemon.catch_up, self.last_change_duration
            ).replace_after()
            unreachable = [
                member
                for member, unreachable_seconds in unreachable_for.items()
                if unreachable_seconds >= replace_after
            ]
            replaceable = [member for member in unreachable if members[member] == zone] or [
                member
                for member in unreachable
                if membership.improves_tolerance(
                    self.daemon.consensus.membership.now, member, identity, zone, live
                )
            ]
        if replaceable:
            replaced = max(replaceable, key=lambda member: (unreachable_for.get(member, 0.0), member))
            return membership.with_replacement(members, replaced, identity, zone)
        if self.daemon.mode == "single":
            # enough voters that losing any two leaves a majority, and no zone with enough to break it
            zone_voters = sum(member == zone for member in members.values())
            if len(members) < self.daemon.voters and zone_voters < (self.daemon.voters - 1) // 2:
                return {**members, identity: zone}
            return self._rebalance_zones(identity, zone, members, live)
        if zone in members.values() or len(members) >= constants.MAX_CLUSTER_MEMBERS:
            return None  # a spare: a group of two would need both members, so it waits for a loss
        return {**members, identity: zone}

    def _rebalance_zones(self, identity: str, zone: str, members: Members, live: set[str]) -> Members | None:
        """The members after a newcomer takes the slot of a member whose zone has several, for example after a
        loss for which a member of another zone was substituted. None if that would not improve the tolerance
        of losses.
        """
        for member, member_zone in sorted(members.items()):
            zone_has_several = sum(other_zone == member_zone for other_zone in members.values()) > 1
            if not zone_has_several or member == self.daemon.identity or member_zone == zone:
                continue
            if membership.improves_tolerance(
                self.daemon.consensus.membership.now, member, identity, zone, live
            ):
                return membership.with_replacement(members, member, identity, zone)
        return None

    def _propose_members(self, members: Members, now: float) -> None:
        """Begins a joint change to these members."""
        result = self.daemon.consensus.change_members(members, self.daemon.cluster_time(now), now)
        if result is not None:
            self.change_started_at = now
            self.daemon.consensus_driver.execute(result[1], now)

    def on_join(self, identity: str, zone: str, address: str, now: float) -> None:
        """Handles a request to join: the daemon becomes a learner that follows the log, if a slot is free."""
        consensus = self.daemon.consensus
        if consensus is None or consensus.role != "leader" or not consensus.serving():
            return
        if identity in consensus.membership.members():
            return
        self.daemon.sessions.renew(identity, "accord", zone, address, now)
        if len(consensus.learners) >= constants.MAX_CLUSTER_MEMBERS:
            self._forget_lost_learners()
        if len(consensus.learners) < constants.MAX_CLUSTER_MEMBERS:
            consensus.add_learner(identity, zone, now)
        self.daemon.send(address, ("admit", self.daemon.cluster, self.daemon.mode, self.daemon.identity))

    def _forget_lost_learners(self) -> None:
        """Frees learner slots. A learner without a session asks again if it comes back."""
        consensus = self.daemon.consensus
        live = {session.identity for session in self.daemon.sessions.live("accord")}
        for identity in set(consensus.learners) - live - set(consensus.membership.members()):
            consensus.remove_learner(identity)

    def on_leave(self, identity: str, now: float) -> None:
        """Handles a daemon that ends its session itself."""
        if self.daemon.sessions.by_identity.pop(identity, None):
            self.daemon.event(141, daemon=identity)
        if self.daemon.consensus is not None and identity in self.daemon.consensus.membership.members():
            self.leaving[identity] = membership.Leave(now, None)
