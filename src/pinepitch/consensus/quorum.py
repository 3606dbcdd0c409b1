"""Who decides: FlexiRaft's group majorities, its Algorithms 1 and 2, joint changes.

Sections named in comments are of "FlexiRaft: Flexible Quorums with Raft" (CIDR 2023).
"""

import functools
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

GROUPS_CACHE_SIZE = 64  # of lists of members; a cluster has a few at a time


class Reply(NamedTuple):
    """A vote reply as the election sees it.

    Invariants: history maps a term to the identity voted for in it, for every term after
    leader_term in which this voter granted a vote; (leader, leader_term) is the newest
    leader the voter has known, or (None, 0).
    """

    granted: bool
    leader: str | None
    leader_term: int
    history: dict[int, str]


Groups = dict[str, frozenset[str]]  # group -> identities in it
Replies = Mapping[str, Reply]  # identity -> its reply


class Result(NamedTuple):
    """Whether an election is won, and whether it may still be. Invariant: satisfied implies possible."""

    satisfied: bool
    possible: bool


UNDECIDED = Result(False, True)


@functools.lru_cache(maxsize=GROUPS_CACHE_SIZE)
def _groups(members: tuple[tuple[str, str], ...], mode: str) -> Groups:
    """Group -> identities in it, for members as pairs. Kept: a leader asks for it at every call it takes."""
    quorum = Quorum(dict(members), mode)
    groups: dict[str, set[str]] = {}
    for identity in sorted(quorum.members):
        groups.setdefault(quorum.group_of(identity), set()).add(identity)
    return {group: frozenset(group_members) for group, group_members in groups.items()}


class Quorum(NamedTuple):
    """Who decides, for one list of members.

    Invariants: members maps identity to zone; groups are disjoint and cover members;
    2 * elect > number of groups, and commit + elect > number of groups, so that in
    static and single mode any two election quorums, and any commit and election quorum, meet in a
    whole group's majority and hence in a member.
    """

    members: dict[str, str]
    mode: str

    def group_of(self, identity: str) -> str:
        """The group a member is in: its zone, or itself in single mode and where fewer than 3 zones exist."""
        zone = self.members[identity]
        if self.mode == "single" or (self.mode == "static" and len(set(self.members.values())) < 3):
            return identity
        return zone

    def groups(self) -> Groups:
        """Group -> identities in it; not to be changed."""
        return _groups(tuple(self.members.items()), self.mode)

    def commit_count(self) -> int:
        """C of 'majority in c of k groups': the largest that keeps both intersections."""
        return (len(self.groups()) + 1) // 2

    def elect_count(self) -> int:
        """The derived k - c + 1 (section 4.1)."""
        return len(self.groups()) - self.commit_count() + 1

    def majorities(self, identities: Iterable[str]) -> set[str]:
        """The groups in which `identities` hold a majority."""
        identity_set = set(identities)
        return {
            group
            for group, group_members in self.groups().items()
            if 2 * len(group_members & identity_set) > len(group_members)
        }

    def commits(self, identities: Iterable[str], leader: str) -> bool:
        """Whether `identities` are a commit quorum under `leader`."""
        majority_groups = self.majorities(identities)
        if self.mode != "dynamic":
            return len(majority_groups) >= self.commit_count()
        return leader in self.members and self.group_of(leader) in majority_groups

    def elects(self, replies: Replies, term: int, leader: str | None, leader_term: int) -> Result:
        """Algorithm 1. `replies`: identity -> Reply; `leader`: the last one known."""
        for reply in replies.values():
            if reply.leader is not None and reply.leader_term > leader_term:
                leader, leader_term = reply.leader, reply.leader_term
        if leader_term >= term:
            return Result(False, False)  # somebody leads this term, or a later one, already
        if self.mode != "dynamic":
            return self._count_grants(replies, self.groups(), self.elect_count())
        all_groups = self.groups()
        pessimistic = self._count_grants(replies, all_groups, len(all_groups))
        if pessimistic.satisfied or leader is None or leader not in self.members:
            return pessimistic
        if term == leader_term + 1:
            return self._count_all_groups(replies, {self.group_of(leader)})
        return self._check_intermediate_terms(replies, term, leader, leader_term)

    def _check_intermediate_terms(self, replies: Replies, term: int, leader: str, leader_term: int) -> Result:
        """Lines 14 to 35 of Algorithm 1, with Algorithm 2 inside.

        Changed from the print: the groups a leader may be in add up instead of being
        replaced at each step. A candidate that merely *may* have won does not rule out
        that it lost, so the next winner may have come through the older groups; with
        the print's replacement its votes there would go unread (docs/flexiraft.md).
        """
        all_groups = self.groups()
        possible = {self.group_of(leader)}
        examined_term = leader_term
        while possible != set(all_groups):
            for group in possible:
                if 2 * len(all_groups[group] & set(replies)) <= len(all_groups[group]):
                    return UNDECIDED  # WAITING_FOR_MORE_VOTES
            later_terms = [
                voted_term
                for reply in replies.values()
                for voted_term in reply.history
                if examined_term < voted_term < term
            ]
            if not later_terms:  # ALL_INTERMEDIATE_TERMS_DEFUNCT
                return self._count_all_groups(replies, possible)
            examined_term = min(later_terms)
            for winner in self._potential_winners(examined_term, possible, replies):
                if winner not in self.members:  # of the other list of a joint change
                    return self._count_grants(replies, all_groups, len(all_groups))
                possible = possible | {self.group_of(winner)}
        return self._count_grants(replies, all_groups, len(all_groups))

    def _potential_winners(self, term: int, possible: set[str], replies: Replies) -> set[str]:
        """Whoever may have won `term`, counting each unheard member as its voter."""
        all_groups = self.groups()
        winners: set[str] = set()
        for group in possible:
            group_members = all_groups[group]
            unheard = len(group_members - set(replies))
            votes: dict[str, int] = {}
            for identity in group_members & set(replies):
                voted_for = replies[identity].history.get(term)
                if voted_for is not None:
                    votes[voted_for] = votes.get(voted_for, 0) + 1
            for voted_for, count in votes.items():
                if 2 * (count + unheard) > len(group_members):
                    winners.add(voted_for)
        return winners

    def _count_grants(self, replies: Replies, groups: Groups, needed: int) -> Result:
        """Majority of grants in `wanted` of `groups`."""
        satisfied = possible = 0
        for group_members in groups.values():
            granted = sum(
                1 for identity in group_members if identity in replies and replies[identity].granted
            )
            refused = sum(
                1 for identity in group_members if identity in replies and not replies[identity].granted
            )
            satisfied += 2 * granted > len(group_members)
            possible += 2 * (len(group_members) - refused) > len(group_members)
        return Result(satisfied >= needed, possible >= needed)

    def _count_all_groups(self, replies: Replies, groups: set[str]) -> Result:
        all_groups = self.groups()
        return self._count_grants(replies, {group: all_groups[group] for group in groups}, len(groups))


class Membership(NamedTuple):
    """The members now and, during a joint change, the members to come.

    Invariant: while `coming` is set every decision needs both quorums, so that a quorum
    of either list alone never decides (joint consensus, section 8).
    """

    now: Quorum
    coming: Quorum | None = None

    def quorums(self) -> tuple[Quorum, ...]:
        """The quorums that must all agree."""
        return (self.now,) if self.coming is None else (self.now, self.coming)

    def members(self) -> dict[str, str]:
        """Identity -> zone of every voter, of either list."""
        return {**self.now.members, **(self.coming.members if self.coming else {})}

    def commits(self, identities: Iterable[str], leader: str) -> bool:
        """Whether `identities` commit under `leader` by every quorum in force.

        In dynamic mode a leader that a list lacks can't have a group there: such a list
        then asks for majorities in all its groups, which meets any of its quorums.
        """
        for quorum in self.quorums():
            if quorum.mode == "dynamic" and leader not in quorum.members:
                if quorum.majorities(identities) != set(quorum.groups()):
                    return False
            elif not quorum.commits(identities, leader):
                return False
        return True

    def elects(self, replies: Replies, term: int, leader: str | None, leader_term: int) -> Result:
        """Algorithm 1 over every quorum in force; replies of others than members don't count."""
        results = []
        for quorum in self.quorums():
            member_replies = {
                identity: reply for identity, reply in replies.items() if identity in quorum.members
            }
            results.append(quorum.elects(member_replies, term, leader, leader_term))
        return Result(all(result.satisfied for result in results), all(result.possible for result in results))

    def image(self) -> list[Any]:
        """What goes on the wire and on disk."""
        return [[dict(quorum.members), quorum.mode] for quorum in self.quorums()]


def membership_from_image(image: list[Any]) -> Membership:
    """The Membership of an image()."""
    quorums = [Quorum(dict(members), mode) for members, mode in image]
    return Membership(quorums[0], quorums[1] if len(quorums) > 1 else None)
