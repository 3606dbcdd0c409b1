"""Quorums: FlexiRaft's majorities of groups, its Algorithms 1 and 2, and joint membership.

Section and algorithm numbers in comments refer to "FlexiRaft: Flexible Quorums with Raft" (CIDR 2023).
"""

import functools
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

GROUPS_CACHE_SIZE = 64  # member lists; a cluster uses few of them at a time


class Reply(NamedTuple):
    """A vote reply, with the extra state of section 5.1.

    Invariants: history maps each term after leader_term in which the voter granted a vote to the identity
    of the candidate; (leader, leader_term) is the newest leader that the voter knows, or (None, 0).
    """

    granted: bool
    leader: str | None
    leader_term: int
    history: dict[int, str]


Groups = dict[str, frozenset[str]]  # group -> identities of its members
Replies = Mapping[str, Reply]  # identity of the voter -> its reply


class Result(NamedTuple):
    """Whether an election is won, and whether it can still be won. Invariant: satisfied implies possible."""

    satisfied: bool
    possible: bool


UNDECIDED = Result(False, True)


@functools.lru_cache(maxsize=GROUPS_CACHE_SIZE)
def _groups(members: tuple[tuple[str, str], ...], mode: str) -> Groups:
    """The groups of `members`, pairs of (identity, zone). Cached, as a leader needs them for each request."""
    quorum = Quorum(dict(members), mode)
    groups: dict[str, set[str]] = {}
    for identity in sorted(quorum.members):
        groups.setdefault(quorum.group_of(identity), set()).add(identity)
    return {group: frozenset(group_members) for group, group_members in groups.items()}


class Quorum(NamedTuple):
    """The quorums of one list of members; `members` maps identity to zone.

    Invariants: the groups are disjoint and cover all members; 2 * elect_count > number of groups, and
    commit_count + elect_count > number of groups. In static and single mode any two election quorums, and
    any commit quorum and election quorum, therefore both have a majority of some group, and so they share
    a member.
    """

    members: dict[str, str]
    mode: str

    def group_of(self, identity: str) -> str:
        """The group of a member.

        This is its zone. In single mode, and in static mode with fewer than 3 zones, each member is a group
        of its own.
        """
        zone = self.members[identity]
        if self.mode == "single" or (self.mode == "static" and len(set(self.members.values())) < 3):
            return identity
        return zone

    def groups(self) -> Groups:
        """Group -> identities of its members; callers must not modify it."""
        return _groups(tuple(self.members.items()), self.mode)

    def commit_count(self) -> int:
        """The number c of groups in which a commit quorum needs a majority.

        It is the largest one with which commit and election quorums still intersect as they must.
        """
        return (len(self.groups()) + 1) // 2

    def elect_count(self) -> int:
        """The number of groups in which an election quorum needs a majority: k - c + 1 (section 4.1)."""
        return len(self.groups()) - self.commit_count() + 1

    def majorities(self, identities: Iterable[str]) -> set[str]:
        """The groups in which `identities` are a majority."""
        identity_set = set(identities)
        return {
            group
            for group, group_members in self.groups().items()
            if 2 * len(group_members & identity_set) > len(group_members)
        }

    def commits(self, identities: Iterable[str], leader: str) -> bool:
        """Whether `identities` form a commit quorum under `leader`."""
        majority_groups = self.majorities(identities)
        if self.mode != "dynamic":
            return len(majority_groups) >= self.commit_count()
        return leader in self.members and self.group_of(leader) in majority_groups

    def elects(self, replies: Replies, term: int, leader: str | None, leader_term: int) -> Result:
        """Evaluates an election for `term` by Algorithm 1; `leader` of `leader_term` is the last known."""
        for reply in replies.values():
            if reply.leader is not None and reply.leader_term > leader_term:
                leader, leader_term = reply.leader, reply.leader_term
        if leader_term >= term:
            return Result(False, False)  # this term or a later one already has a leader
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
        """Lines 14 to 35 of Algorithm 1, which include Algorithm 2.

        This differs from the paper: the groups that a leader may be in accumulate, where the paper replaces
        them at each step. A candidate that *may* have won a term may also have lost it, and then the next
        winner was elected by the older groups. With the paper's replacement its votes there would not be
        examined (docs/flexiraft.md).
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
                if winner not in self.members:  # a member only of the other list of a joint change
                    return self._count_grants(replies, all_groups, len(all_groups))
                possible = possible | {self.group_of(winner)}
        return self._count_grants(replies, all_groups, len(all_groups))

    def _potential_winners(self, term: int, possible: set[str], replies: Replies) -> set[str]:
        """The candidates that may have won `term`, if every member without a reply voted for them."""
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
        """Whether the grants are a majority in `needed` of the `groups`."""
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
    """The current members and, during a joint change, the coming members.

    Invariant: while `coming` is set, every decision needs a quorum of both lists (joint consensus,
    section 8).
    """

    now: Quorum
    coming: Quorum | None = None

    def quorums(self) -> tuple[Quorum, ...]:
        """The quorums of the lists in force; a decision needs all of them."""
        return (self.now,) if self.coming is None else (self.now, self.coming)

    def members(self) -> dict[str, str]:
        """Identity -> zone of every voter in either list."""
        return {**self.now.members, **(self.coming.members if self.coming else {})}

    def commits(self, identities: Iterable[str], leader: str) -> bool:
        """Whether `identities` form a commit quorum under `leader` in every list in force.

        In dynamic mode a list that lacks the leader has no group for it. Such a list requires majorities in
        all of its groups, which intersects every other quorum of the list.
        """
        for quorum in self.quorums():
            if quorum.mode == "dynamic" and leader not in quorum.members:
                if quorum.majorities(identities) != set(quorum.groups()):
                    return False
            elif not quorum.commits(identities, leader):
                return False
        return True

    def elects(self, replies: Replies, term: int, leader: str | None, leader_term: int) -> Result:
        """Evaluates an election by Algorithm 1 in every list in force, with the replies of its members."""
        results = []
        for quorum in self.quorums():
            member_replies = {
                identity: reply for identity, reply in replies.items() if identity in quorum.members
            }
            results.append(quorum.elects(member_replies, term, leader, leader_term))
        return Result(all(result.satisfied for result in results), all(result.possible for result in results))

    def image(self) -> list[Any]:
        """The form that is sent and stored: a [members, mode] for each list in force."""
        return [[dict(quorum.members), quorum.mode] for quorum in self.quorums()]


def membership_from_image(image: list[Any]) -> Membership:
    """The Membership that `image` was made from by `Membership.image`."""
    quorums = [Quorum(dict(members), mode) for members, mode in image]
    return Membership(quorums[0], quorums[1] if len(quorums) > 1 else None)
