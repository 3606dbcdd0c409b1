"""Handling of the leader's heartbeats and entries by a follower."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from . import commitment, known_leader, log_changes
from .messages import AppendEntries, AppendReply, NewerTerm
from .roles import FOLLOWER

if TYPE_CHECKING:
    from .replica import Consensus


def accept_leader(replica: Consensus, sender: str, term: int, now: float) -> None:
    """Accepts `sender` as the leader of `term`."""
    if term > replica.term or replica.role != FOLLOWER:
        replica.become_follower(term, now, "leader heard")
    replica.current_leader = sender
    replica.removed = False
    replica.leader_heard_at = now
    replica.reset_election_timer(now)
    replica.newest_heard_term = term
    if known_leader.counts_at_once(replica):
        known_leader.record(replica, sender, term)


def on_append(replica: Consensus, sender: str, message: AppendEntries, now: float) -> None:
    """Appends the leader's entries if they fit the log.

    Durable entries are acknowledged at once, others as soon as they are durable.
    """
    term, previous_index, previous_term, entries, leader_commit, heartbeat = message
    if term < replica.term:
        replica.send(sender, NewerTerm(replica.term), replica.hard_state_sequence)
        return
    accept_leader(replica, sender, term, now)
    if previous_index == 0 and previous_term == 0 and not entries and leader_commit == 0:
        replica.send(sender, AppendReply(term, True, None, heartbeat), replica.hard_state_save_sequence())
        return
    last = previous_index + len(entries)
    if last <= replica.base_index:
        _acknowledge(replica, sender, last, heartbeat)
        return
    if previous_index < replica.base_index:
        entries = entries[replica.base_index - previous_index :]
        previous_index, previous_term = replica.base_index, replica.base_term
    stored_term = replica.term_at(previous_index)
    if stored_term is None or stored_term != previous_term:
        hint = _next_index_hint(replica, previous_index, stored_term)
        replica.send(sender, AppendReply(term, False, hint, heartbeat), replica.hard_state_save_sequence())
        return
    if _store_entries(replica, previous_index, entries):
        replica.send(sender, AppendReply(term, True, last, heartbeat), replica.flush_sequence())
    else:
        _acknowledge(replica, sender, last, heartbeat)
    commit_limit = min(leader_commit, last)
    if commit_limit > replica.commit_index:
        commitment.commit_to(replica, commit_limit, now)
    known_leader.record_if_committed(replica, sender, term)


def _acknowledge(replica: Consensus, sender: str, last: int, heartbeat: int) -> None:
    """Acknowledges those entries up to `last` that are durable."""
    reply = AppendReply(replica.term, True, min(last, replica.durable_index), heartbeat)
    replica.send(sender, reply, replica.hard_state_save_sequence())


def _next_index_hint(replica: Consensus, previous_index: int, stored_term: int | None) -> int:
    """An index below `previous_index` for the leader to try next; skips all of a conflicting term."""
    hint = min(previous_index - 1, replica.last_index())
    if stored_term is not None:
        while hint > replica.applied_index and replica.term_at(hint) == stored_term:
            hint -= 1
    return max(hint, replica.applied_index)


def _store_entries(replica: Consensus, previous_index: int, entries: Any) -> bool:
    """Appends those of the entries after `previous_index` that the log lacks, replacing conflicting ones.

    Returns whether the log lacked any. Entries from the wire are lists.
    """
    for position, entry in enumerate(entries):
        index = previous_index + 1 + position
        own_term = replica.term_at(index)
        if own_term is not None and own_term == entry[0]:
            continue
        if own_term is not None:
            if index <= replica.commit_index:
                raise AssertionError(f"entry {index} is committed but conflicts with the leader's entry")
            log_changes.truncate(replica, index)
        new_entries = [(term, time, tuple(operation)) for term, time, operation in entries[position:]]
        log_changes.append(replica, new_entries, index)
        return True
    return False
