"""The last leader that a replica knows, of the extra state of section 5.1: what its votes tell of it.

In dynamic mode an election needs the group of the last leader known. A leader that was elected and has
committed nothing yet does not count: what was committed before it lies on its predecessor's group, and may
lie on no other member of its own (docs/flexiraft.md, change 9). Once an entry of its term is committed, its
group holds that entry and so all before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .replica import Consensus


def counts_at_once(replica: Consensus) -> bool:
    """Whether a leader counts as known once it is elected or heard, as in all modes but the dynamic one."""
    return replica.membership.now.mode != "dynamic"


def record(replica: Consensus, leader: str, term: int) -> None:
    """Notes the leader of a term. Votes of terms up to this one are needed no more (change 6)."""
    if replica.last_known_term < term:
        replica.last_known_leader, replica.last_known_term = leader, term
        replica.history = {past: voted_for for past, voted_for in replica.history.items() if past > term}
        replica.hard_state_dirty = True


def record_if_committed(replica: Consensus, leader: str, term: int) -> None:
    """The same, if an entry of that term is known to be committed."""
    if replica.last_known_term < term and replica.term_at(replica.committed) == term:
        record(replica, leader, term)


def newest_term(replica: Consensus) -> int:
    """The term of the newest leader heard or known."""
    return max(replica.last_known_term, replica.newest_heard_term)


def is_newest(replica: Consensus, leader: str, term: int) -> bool:
    """Whether that is the newest leader heard or known."""
    newest = (
        replica.following
        if replica.newest_heard_term > replica.last_known_term
        else replica.last_known_leader
    )
    return term == newest_term(replica) and leader == newest
