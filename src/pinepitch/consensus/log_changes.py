"""Changes to a replica's log and to the state that depends on it: membership and durability."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..common.packed_operations import kind_of
from .log import Entry
from .quorum import membership_from_image

if TYPE_CHECKING:
    from .replica import Consensus


def find_membership(replica: Consensus) -> None:
    """Adopts the membership of the newest "members" entry, or that of the base if there is none."""
    entries = replica.log.entries
    for position in range(len(entries) - 1, -1, -1):
        operation = entries[position][2]
        if kind_of(operation) == "members":
            replica.membership = membership_from_image(operation[1])
            replica.membership_index = replica.first + position
            return
    replica.membership, replica.membership_index = replica.base_membership, replica.base_index


def append(replica: Consensus, entries: Sequence[Entry], start: int) -> None:
    """Appends entries, the first one with the index `start`.

    A membership is in force as soon as it is appended, before it is committed (joint consensus, section 8).
    """
    if replica.dirty_from is None or start < replica.dirty_from:
        replica.dirty_from = start
    replica.log.append(entries)
    for position, (_, _, operation) in enumerate(entries):
        if kind_of(operation) == "members":
            replica.membership = membership_from_image(operation[1])
            replica.membership_index = start + position


def truncate(replica: Consensus, index: int) -> None:
    """Drops the entries from `index` on."""
    replica.log.truncate(index)
    replica.truncate_from = index if replica.truncate_from is None else min(replica.truncate_from, index)
    if replica.dirty_from is not None and replica.dirty_from >= index:
        replica.dirty_from = None
    replica.durable_index = min(replica.durable_index, index - 1)
    for save in replica.pending_saves:
        save.last_index = min(save.last_index, index - 1)
    find_membership(replica)


def drop_log(replica: Consensus, first: int) -> None:
    """Drops all entries because a snapshot replaces a log that it does not extend; `first` is the next index.

    Of the entries that are on disk or being saved, only the committed ones remain valid.
    """
    replica.log.clear(first)
    replica.durable_index = min(replica.durable_index, replica.applied_index)
    for save in replica.pending_saves:
        save.last_index = min(save.last_index, replica.applied_index)
