"""The last known leader, part of the extra state of section 5.1 that vote replies carry.

In dynamic mode an election needs a majority of the last known leader's group. A leader that has committed
nothing yet does not count as known: the entries committed before are in its predecessor's group, and perhaps
at no other member of its own group (docs/flexiraft.md, change 9). Once an entry of its term is committed, its
group has that entry and all entries before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .replica import Consensus


def counts_at_once(replica: Consensus) -> bool:
    """Whether a leader counts as known as soon as it is elected or heard: in all modes but dynamic."""
    return replica.membership.now.mode != "dynamic"


def record(replica: Consensus, leader: str, term: int) -> None:
    """Records the leader of `term`, and drops votes up to that term, which are not needed (change 6)."""
    if replica.last_known_term < term:
        replica.last_known_leader, replica.last_known_term = leader, term
        replica.history = {past: voted_for for past, voted_for in replica.history.items() if past > term}
        replica.hard_state_dirty = True


def record_if_committed(replica: Consensus, leader: str, term: int) -> None:
    """Records the leader of `term` if an entry of that term is known to be committed."""
    if replica.last_known_term < term and replica.term_at(replica.commit_index) == term:
        record(replica, leader, term)


def newest_term(replica: Consensus) -> int:
    """The newest term of which a leader was heard or is known."""
    return max(replica.last_known_term, replica.newest_heard_term)


def is_newest(replica: Consensus, leader: str, term: int) -> bool:
    """Whether `leader` of `term` is the newest leader that was heard or is known."""
    newest = (
        replica.current_leader
        if replica.newest_heard_term > replica.last_known_term
        else replica.last_known_leader
    )
    return term == newest_term(replica) and leader == newest
