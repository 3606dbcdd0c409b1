"""The base of a replica: its stored state, read at the start and replaced at each compaction.

The payload of a base is [hard state, [index, term, membership, image, segments], first index, entries]. The
hard state is [term, last known leader, its term, voting history]: that of Raft and the extra state of
section 5.1.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ..common import constants
from ..common.packed_operations import kind_of
from . import log_changes
from .quorum import membership_from_image

if TYPE_CHECKING:
    from .replica import Consensus


def restore(replica: Consensus, base: list[Any] | None, changes: Iterable[Any]) -> None:
    """Restores the state from the store: the payload of a base and the changes saved after it."""
    if base is not None:
        hard, snapshot, first, entries = base
        _take_hard_state(replica, hard)
        replica.base_index, replica.base_term, membership, replica.base_image, segments = snapshot
        replica.base_segments = tuple(segments)
        replica.base_membership = membership_from_image(membership)
        replica.log.clear(first)
        replica.log.append(entries)
    for hard, truncate_from, start, entries in changes:
        if hard is not None:
            _take_hard_state(replica, hard)
        if truncate_from is not None:
            replica.log.truncate(truncate_from)
        if entries:
            replica.log.truncate(start)
            replica.log.append(entries)
    replica.applied_index = replica.commit_index = replica.base_index
    replica.durable_index = replica.last_index()
    log_changes.find_membership(replica)


def _take_hard_state(replica: Consensus, hard: list[Any]) -> None:
    replica.term, replica.last_known_leader, replica.last_known_term, history = hard
    replica.history = dict(history)


def hard_state(replica: Consensus) -> list[Any]:
    """The hard state in its stored form."""
    return [replica.term, replica.last_known_leader, replica.last_known_term, dict(replica.history)]


def bootstrap_payload(replica: Consensus) -> list[Any]:
    """The payload of the first base, with the bootstrap members and no entries."""
    return [hard_state(replica), [0, 0, replica.base_membership.image(), None, (1, 0)], 1, []]


def payload(replica: Consensus) -> list[Any]:
    """The payload of a base with the current state."""
    snapshot = [
        replica.base_index,
        replica.base_term,
        replica.base_membership.image(),
        replica.base_image,
        replica.base_segments,
    ]
    return [hard_state(replica), snapshot, replica.first, list(replica.log.entries)]


def compact(replica: Consensus, index: int, image: bytes, segments: tuple[int, int]) -> list[Any]:
    """Compacts the log up to `index` into a new base and returns the payload of that base.

    `image` is the cluster state at `index`; it needs the archive segments `segments` (first, last).
    """
    replica.base_segments = segments
    term = replica.term_at(index)
    assert term is not None
    membership = replica.base_membership
    for position in range(replica.first, index + 1):
        operation = replica.entry(position)[2]
        if kind_of(operation) == "members":
            membership = membership_from_image(operation[1])
    replica.base_membership = membership
    replica.base_index, replica.base_term, replica.base_image = index, term, image
    # base_membership may be newer than the first retained entries. This does no harm: find_membership
    # uses the newest "members" entry of the log, and base_membership only if the log has none.
    replica.log.drop_before(_first_retained(replica, index))
    return payload(replica)


def _first_retained(replica: Consensus, index: int) -> int:
    """The first entry to retain after a compaction at `index`.

    A tail of the log is retained, and the entries that slow followers still need, within the bounds for
    laggards.
    """
    first_retained = replica.log.tail_start(index, constants.SNAPSHOT_TAIL, replica.limits.tail)
    needed = [follower.needed_from() for follower in replica.followers.values()]
    needed = [first for first in needed if replica.first <= first < first_retained]
    if needed:
        max_entries = constants.LAGGARD_TIMES * constants.SNAPSHOT_TAIL
        furthest = replica.log.tail_start(index, max_entries, replica.limits.laggard)
        first_retained = min(first_retained, max(min(needed), furthest))
    return first_retained
