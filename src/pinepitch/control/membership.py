"""Decisions on the list of voters: which losses a list tolerates, who takes the slot of a leaving voter, and
how long a voter must be unreachable before a newcomer replaces it. Pure functions and values.
"""

import functools
import itertools
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ..common import constants
from ..consensus.quorum import Quorum

Members = dict[str, str]  # identity -> zone


class Tolerance(NamedTuple):
    """The next losses after which a list of members can still both commit and elect; larger is better.

    Invariant: -1 machines means that it can't even without another loss.
    """

    machines: int  # how many, whichever they are
    zones: bool  # whether any one whole zone may be lost


def _can_commit_and_elect(quorum: Quorum, live: Collection[str]) -> bool:
    """Whether the live members can commit and elect, whoever of them leads."""
    groups = quorum.majorities(live)
    if quorum.mode == "dynamic":
        return bool(groups == set(quorum.groups()))
    return bool(len(groups) >= max(quorum.commit_count(), quorum.elect_count()))


def tolerance(quorum: Quorum, live: Collection[str]) -> Tolerance:
    """The further losses that the live members tolerate."""
    live_members = frozenset(quorum.members) & frozenset(live)
    return _tolerance(tuple(sorted(quorum.members.items())), quorum.mode, live_members)


@functools.lru_cache(maxsize=64)
def _tolerance(members: tuple[tuple[str, str], ...], mode: str, live: frozenset[str]) -> Tolerance:
    quorum = Quorum(dict(members), mode)
    if not _can_commit_and_elect(quorum, live):
        return Tolerance(-1, False)
    machines = 0
    while machines < len(live) and all(
        _can_commit_and_elect(quorum, live - set(lost))
        for lost in itertools.combinations(sorted(live), machines + 1)
    ):
        machines += 1
    zones = set(quorum.members.values())
    any_zone = all(
        _can_commit_and_elect(quorum, {member for member in live if quorum.members[member] != zone})
        for zone in zones
    )
    return Tolerance(machines, any_zone)


def with_replacement(members: Members, leaver: str, newcomer: str, zone: str) -> Members:
    """The members after `newcomer`, of `zone`, has taken the slot of `leaver`."""
    return {
        **{member: member_zone for member, member_zone in members.items() if member != leaver},
        newcomer: zone,
    }


def _tolerances(
    quorum: Quorum, members: Mapping[str, str], live: Collection[str]
) -> tuple[Tolerance, Tolerance]:
    """The tolerance of the list of `quorum`, and that of `members`."""
    return tolerance(quorum, live), tolerance(Quorum(dict(members), quorum.mode), live)


def _no_worse(before: Tolerance, after: Tolerance) -> bool:
    return after.machines >= before.machines and after.zones >= before.zones


def retains_tolerance(quorum: Quorum, members: Mapping[str, str], live: Collection[str]) -> bool:
    """Whether the list `members` tolerates as many losses as that of `quorum`, by machines and by zones."""
    return _no_worse(*_tolerances(quorum, members, live))


def successor(quorum: Quorum, leaver: str, spares: Mapping[str, str], live: Collection[str]) -> str | None:
    """The spare (identity -> zone, in order) that may take the slot of a leaving voter, or None. It is one of
    the same zone. In single mode, where a zone is not a group, it may also be any spare that leaves the
    cluster as tolerant of losses as the leaving voter would once it is back.
    """
    zone = quorum.members[leaver]
    present = set(live) | {leaver}
    for identity in sorted(spares, key=lambda spare: (spares[spare] != zone, spare)):
        if spares[identity] != zone and quorum.mode != "single":
            continue
        members = with_replacement(quorum.members, leaver, identity, spares[identity])
        if identity in live and retains_tolerance(quorum, members, present):
            return identity
    return None


def improves_tolerance(
    quorum: Quorum, replaced: str, newcomer: str, zone: str, live: Collection[str]
) -> bool:
    """Whether a newcomer of another zone in a member's slot increases the tolerance and lessens no part of
    it.
    """
    members = with_replacement(quorum.members, replaced, newcomer, zone)
    before, after = _tolerances(quorum, members, live)
    return after != before and _no_worse(before, after)


class ReplacementBudget(NamedTuple):
    """How the time is divided in which a newly started replacement of a lost voter must become a voter.

    Invariant: all steps together, including the time for which the lost voter must be unreachable, take at
    most catch_up.
    """

    catch_up: float  # seconds; the time that the platform allows
    longest_change: float  # seconds; the longest joint change measured here

    def replace_after(self) -> float:
        """For how many seconds a voter must be unreachable before a newcomer takes its slot: the time that
        joining, catching up and the joint change leave. The change counts twice because another may be in
        progress.
        """
        change = max(self.longest_change, constants.CHANGE_WITHIN)
        remaining = self.catch_up - constants.JOIN_WITHIN - constants.CATCH_UP_WITHIN - 2 * change
        return max(constants.SESSION_LASTS, remaining)


class Leave(NamedTuple):
    """What a leader knows of a voter that announced that it stops.

    Invariant: `retained` is what the voter was last sent about its slot, None for nothing yet.
    """

    since: float  # seconds of the leader's clock
    retained: bool | None


class Departure:
    """A stopping control daemon's wait for the decision on who takes its voter slot.

    Invariants: it ends at most `within` seconds after it began, and earlier if no leader answers.
    """

    def __init__(self, now: float, within: float) -> None:
        self.started_at, self.within = now, within
        self.announced_at = -1e9
        # the leader's answer: True retains the slot for this voter, False gives it to a spare
        self.retained: bool | None = None

    def due(self, now: float) -> bool:
        """Whether the leave must be announced again."""
        if self.retained is not None or now - self.announced_at < constants.GREET_EVERY:
            return False
        self.announced_at = now
        return True

    def finished(self, now: float, member: bool, leading: bool) -> bool:
        """Whether the process may end; `member` says whether it still votes, as far as it knows."""
        waited = now - self.started_at
        if waited >= self.within or not member or self.retained:
            return True
        return self.retained is None and not leading and waited >= constants.VOTER_SEAT_ANSWER
