"""Decisions on who votes: what a list of members may lose, who takes a leaving voter's seat, and
how long a voter must be unheard before a newcomer takes its place. Pure functions and values.
"""

import functools
import itertools
from collections.abc import Collection, Mapping
from typing import NamedTuple

from ..common import constants
from ..consensus.quorum import Quorum

Members = dict[str, str]  # identity -> zone


class Tolerance(NamedTuple):
    """What a list of members can lose next and still both commit and elect; larger is better.

    Invariant: -1 machines says that it can't even without another loss.
    """

    machines: int  # any so many
    zones: bool  # whether any one whole zone


def _can_commit_and_elect(quorum: Quorum, live: Collection[str]) -> bool:
    """Whether those live can commit and elect, whoever of them leads."""
    groups = quorum.majorities(live)
    if quorum.mode == "dynamic":
        return bool(groups == set(quorum.groups()))
    return bool(len(groups) >= max(quorum.commit_count(), quorum.elect_count()))


def tolerance(quorum: Quorum, live: Collection[str]) -> Tolerance:
    """What may be lost next of the members that are live."""
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
    """The members once `newcomer`, of `zone`, has the seat of `leaver`."""
    return {
        **{member: member_zone for member, member_zone in members.items() if member != leaver},
        newcomer: zone,
    }


def _tolerances(
    quorum: Quorum, members: Mapping[str, str], live: Collection[str]
) -> tuple[Tolerance, Tolerance]:
    """What the list of `quorum` can lose, and what `members` could."""
    return tolerance(quorum, live), tolerance(Quorum(dict(members), quorum.mode), live)


def _no_worse(before: Tolerance, after: Tolerance) -> bool:
    return after.machines >= before.machines and after.zones >= before.zones


def retains_tolerance(quorum: Quorum, members: Mapping[str, str], live: Collection[str]) -> bool:
    """Whether the list `members` can lose as much as that of `quorum` can now, by machines and by zones."""
    return _no_worse(*_tolerances(quorum, members, live))


def successor(quorum: Quorum, leaver: str, spares: Mapping[str, str], live: Collection[str]) -> str | None:
    """The spare (identity -> zone, in order) that may take the leaver's seat: one of its zone, or in
    single mode, where a zone is no group, any that leaves as much to lose as the leaver itself would
    once it is back. None without one.
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
    """Whether a newcomer of another zone in a member's seat leaves more to lose, and no less in any way."""
    members = with_replacement(quorum.members, replaced, newcomer, zone)
    before, after = _tolerances(quorum, members, live)
    return after != before and _no_worse(before, after)


class ReplacementBudget(NamedTuple):
    """Where the time goes that a lost voter's successor has from its start until it may be needed.

    Invariant: what the parts take in sum, the silence included, is within catch_up.
    """

    catch_up: float  # seconds; what the platform grants
    longest_change: float  # seconds; the longest joint change measured here

    def replace_after(self) -> float:
        """For how many seconds a voter must be unheard before a newcomer takes its seat: what joining,
        catching up and the joint change leave, with the change counted twice as another may be under way.
        """
        change = max(self.longest_change, constants.CHANGE_WITHIN)
        remaining = self.catch_up - constants.JOIN_WITHIN - constants.CATCH_UP_WITHIN - 2 * change
        return max(constants.SESSION_LASTS, remaining)


class Leave(NamedTuple):
    """What a leader knows of a voter that said it stops.

    Invariant: kept is what the voter was told last of its seat, None for nothing yet.
    """

    since: float  # seconds of the leader's clock
    retained: bool | None


class Departure:
    """A stopping control daemon's wait until it is decided who gets its seat.

    Invariants: it ends at the latest `within` after it began, and soon if no leader says anything.
    """

    def __init__(self, now: float, within: float) -> None:
        self.started_at, self.within = now, within
        self.announced_at = -1e9
        self.retained: bool | None = (
            None  # what the leader said: True keeps the seat for it, False gives it to a spare
        )

    def due(self, now: float) -> bool:
        """Whether the leave is to be told again."""
        if self.retained is not None or now - self.announced_at < constants.GREET_EVERY:
            return False
        self.announced_at = now
        return True

    def finished(self, now: float, member: bool, leading: bool) -> bool:
        """Whether the process may end: `member` says whether it still votes by what it knows."""
        waited = now - self.started_at
        if waited >= self.within or not member or self.retained:
            return True
        return self.retained is None and not leading and waited >= constants.VOTER_SEAT_ANSWER
