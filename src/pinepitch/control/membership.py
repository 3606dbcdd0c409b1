"""Decisions on who votes: what a list of members may lose, who takes a leaving voter's seat, and
how long a voter must be unheard before a newcomer takes its place. Pure functions and values."""

import functools
import itertools
from typing import NamedTuple

from ..common import constants
from ..consensus.quorum import Quorum


class Tolerance(NamedTuple):
    """What a list of members can lose next and still both commit and elect; larger is better.

    Invariant: -1 machines says that it can't even without another loss."""

    machines: int
    zones: bool


def _works(quorum, live):
    """Whether those live can commit and elect, whoever of them leads."""
    groups = quorum.majorities(live)
    if quorum.mode == "dynamic":
        return groups == set(quorum.groups())
    return len(groups) >= max(quorum.commit_count(), quorum.elect_count())


def tolerance(quorum, live):
    """What may be lost next of the members that are live: any so many machines, and any one area."""
    inside = frozenset(quorum.members) & frozenset(live)
    return _tolerance(tuple(sorted(quorum.members.items())), quorum.mode, inside)


@functools.lru_cache(maxsize=64)
def _tolerance(members, mode, inside):
    quorum = Quorum(dict(members), mode)
    if not _works(quorum, inside):
        return Tolerance(-1, False)
    machines = 0
    while machines < len(inside) and all(
        _works(quorum, inside - set(lost)) for lost in itertools.combinations(sorted(inside), machines + 1)
    ):
        machines += 1
    zones = set(quorum.members.values())
    any_zone = all(_works(quorum, {one for one in inside if quorum.members[one] != zone}) for zone in zones)
    return Tolerance(machines, any_zone)


def swapped(members, leaver, newcomer, zone):
    """The members once `newcomer`, of `area`, has the seat of `leaver`."""
    return {**{one: member_zone for one, member_zone in members.items() if one != leaver}, newcomer: zone}


def without_harm(quorum, members, live):
    """Whether the list `members` can lose as much as that of `quorum` can now, by machines and by areas."""
    before, after = tolerance(quorum, live), tolerance(Quorum(dict(members), quorum.mode), live)
    return after.machines >= before.machines and after.zones >= before.zones


def successor(quorum, leaver, spares, live):
    """The spare (identity -> area, in order) that may take the leaver's seat: one of its area, or in
    single mode, where an area is no group, any that leaves as much to lose as the leaver itself would
    once it is back. None without one."""
    zone = quorum.members[leaver]
    present = set(live) | {leaver}
    for identity in sorted(spares, key=lambda one: (spares[one] != zone, one)):
        if spares[identity] != zone and quorum.mode != "single":
            continue
        members = swapped(quorum.members, leaver, identity, spares[identity])
        if identity in live and without_harm(quorum, members, present):
            return identity
    return None


def gains(quorum, lost, newcomer, zone, live):
    """Whether a newcomer of another area in a member's seat leaves more to lose, and no less in any way."""
    members = swapped(quorum.members, lost, newcomer, zone)
    before, after = tolerance(quorum, live), tolerance(Quorum(dict(members), quorum.mode), live)
    return after != before and after.machines >= before.machines and after.zones >= before.zones


class Budget(NamedTuple):
    """Where the time goes that a lost voter's successor has from its start until it may be needed.

    Invariant: what the parts take in sum, the silence included, is within catch_up."""

    catch_up: float  # seconds; what the platform grants
    change: float  # seconds; the longest joint change measured here

    def replace_after(self):
        """How long a voter must be unheard before a newcomer takes its seat: what joining, catching up
        and the joint change leave, with the change counted twice as another may be under way."""
        change = max(self.change, constants.CHANGE_WITHIN)
        left = self.catch_up - constants.JOIN_WITHIN - constants.CATCH_UP_WITHIN - 2 * change
        return max(constants.SESSION_LASTS, left)


class Leave(NamedTuple):
    """What a leader knows of a voter that said it stops.

    Invariant: kept is what the voter was told last of its seat, None for nothing yet."""

    since: float
    kept: bool | None


class Departure:
    """A stopping accord's wait until its seat is settled.

    Invariants: it ends at the latest `within` after it began, and soon if no leader says anything."""

    def __init__(self, now, within):
        self.begun, self.within = now, within
        self.announced_at = -1e9
        self.kept = None  # what the leader said: True keeps the seat for it, False gives it to a spare

    def due(self, now):
        """Whether the leave is to be told again."""
        if self.kept is not None or now - self.announced_at < constants.GREET_EVERY:
            return False
        self.announced_at = now
        return True

    def over(self, now, member, leading):
        """Whether the process may end: `member` says whether it still votes by what it knows."""
        waited = now - self.begun
        if waited >= self.within or not member or self.kept:
            return True
        return self.kept is None and not leading and waited >= constants.VOTER_SEAT_ANSWER
