"""What must hold in every state of a model, whatever happened before."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Iterable, Iterator
from typing import Any

from ...consensus import election
from ...consensus.log import Entry
from ...consensus.quorum import Membership, Reply, membership_from_image
from ...consensus.replica import Consensus
from .replica import frozen

Image = Any  # a frozen `Membership.image()`
Committed = tuple[tuple[int, Any], ...]  # the `entry_key` of each committed entry


class Violation(AssertionError):
    """An invariant that a state of the model breaks."""


def entry_key(entry: Entry) -> tuple[int, Any]:
    """Term and operation of an entry of the log, to be compared."""
    return (entry[0], frozen(entry[2]))


def subsets(names: Iterable[str]) -> Iterator[frozenset[str]]:
    """Every set of these names."""
    names = sorted(names)
    for size in range(len(names) + 1):
        for chosen in itertools.combinations(names, size):
            yield frozenset(chosen)


@functools.lru_cache(maxsize=100_000)
def wins(image: Image, voters: frozenset[str]) -> bool:
    """Whether the votes of `voters` elect a leader by the membership of that frozen image."""
    replies = {voter: Reply(True, None, 0, {}) for voter in voters}
    return membership_of(image).elects(replies, 1, None, 0).satisfied


@functools.lru_cache(maxsize=10_000)
def membership_of(image: Image) -> Membership:
    """The Membership of a frozen image."""
    return membership_from_image([(dict(members), mode) for members, mode in image])


@functools.lru_cache(maxsize=10_000)
def election_quorums(image: Image) -> list[frozenset[str]]:
    """Every set of members that elects a leader."""
    return [one for one in subsets(membership_of(image).members()) if wins(image, one)]


@functools.lru_cache(maxsize=10_000)
def commit_quorums(image: Image) -> list[frozenset[str]]:
    """Every set of members that commits under some leader in it."""
    membership = membership_of(image)
    return [
        one
        for one in subsets(membership.members())
        if any(membership.commits(one, leader) for leader in sorted(one))
    ]


@functools.lru_cache(maxsize=10_000)
def quorums_meet(former: Image, latter: Image) -> bool:
    """Whether the quorums of two successive memberships, as frozen images, meet as they must."""
    for elected in election_quorums(former):
        if not all(elected & other for other in election_quorums(latter)):
            return False
        if not all(elected & other for other in commit_quorums(latter)):
            return False
    return all(one & other for one in commit_quorums(former) for other in election_quorums(latter))


def forget_quorums() -> None:
    """Forgets which quorums there are: what decides them was changed."""
    for remembered in (wins, election_quorums, commit_quorums, quorums_meet, quorums_to_hold):
        remembered.cache_clear()


def effects_of(committed: Committed) -> tuple[Any, ...]:
    """What took effect, in order: an entry under a name that had one changes nothing."""
    names = [operation[1] for _, operation in committed if operation[0] == "put"]
    return tuple(dict.fromkeys(names))


def check_effects(committed: Committed) -> None:
    """Nothing takes effect twice, however often it was appended."""
    effects = effects_of(committed)
    if len(set(effects)) < len(effects):
        raise Violation(f"an order takes effect twice: {effects}")


def check_change(former: Image, latter: Image) -> None:
    """Successive memberships have quorums that meet."""
    for first, second in ((former, latter), (latter, latter)):
        if not quorums_meet(first, second):
            raise Violation(f"quorums of successive members don't meet: {first} then {second}")


def holds(consensus: Consensus, index: int, term: int) -> bool:
    """Whether a log holds the committed entry of that index and term, and so all before it."""
    return index <= consensus.base_index or consensus.term_at(index) == term


def check_electable(logs: list[Consensus], committed: Committed) -> None:
    """Whoever can win an election holds all that was committed.

    `logs` are the decoded disks of all members that still have their disk: any of them may
    stop at any moment, so any mix of what is durable may vote. A wiped member is not there:
    neither its copies nor its votes count.
    """
    if not committed:
        return
    index, term = len(committed), committed[-1][0]
    for candidate in logs:
        if candidate.identity not in candidate.membership.members() or holds(candidate, index, term):
            continue
        last = candidate.last_index()
        last_term = candidate.term_at(last)
        assert last_term is not None
        voters = frozenset(voter.identity for voter in logs if election.is_up_to_date(voter, last, last_term))
        if _can_win(candidate, [voter for voter in logs if voter.identity in voters]):
            raise Violation(f"{candidate.identity} can be elected and lacks committed entry {index}")


def _can_win(candidate: Consensus, voters: list[Consensus]) -> bool:
    """Whether the votes of these, with what they tell of leaders and votes, elect a candidate."""
    membership = candidate.membership
    if membership.now.mode != "dynamic":
        return wins(frozen(membership.image()), frozenset(one.identity for one in voters))
    replies = {
        one.identity: Reply(True, one.last_known_leader, one.last_known_term, one.history) for one in voters
    }
    newest = max(one.term for one in (candidate, *voters))
    return any(
        membership.elects(replies, term, candidate.last_known_leader, candidate.last_known_term).satisfied
        for term in (newest + 1, newest + 2)
    )


def check_commit_of_members(logs: list[Consensus], image: Image, committed: Committed) -> None:
    """All that is committed by now lies, durable, on every quorum that may elect from now on, and on
    every one that may commit, where any two of these meet (with 2 or 4 groups they need not).

    `image` is the membership that the change names; the quorums are those of members that
    have their disks.
    """
    index, term = len(committed), committed[-1][0]
    holders = {log.identity for log in logs if holds(log, index, term)}
    present = {log.identity for log in logs}
    members = Membership(membership_of(image).quorums()[-1])
    for quorum in quorums_to_hold(frozen(members.image())):
        if quorum <= present and not quorum & holders:
            raise Violation(f"change committed at {index}, which no one of {sorted(quorum)} holds")


@functools.lru_cache(maxsize=10_000)
def quorums_to_hold(image: Image) -> list[frozenset[str]]:
    """The quorums of a list of members that must each hold what is committed."""
    commits = commit_quorums(image)
    meet = all(one & other for one in commits for other in commits)
    return [*election_quorums(image), *(commits if meet else ())]
