"""Commitment: advancing the commit index, delivering entries in slices, finishing a membership change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..common import constants
from . import known_leader, log_changes, reads, replication
from .effects import CommitEntries
from .quorum import Membership, Quorum

if TYPE_CHECKING:
    from .replica import Consensus


def advance(replica: Consensus, now: float) -> None:
    """Advances the commit index to the newest entry of the own term that is durable at a commit quorum."""
    matches = {
        identity: follower.match_index
        for identity, follower in replica.followers.items()
        if identity not in replica.learners
    }
    matches[replica.identity] = replica.durable_index
    for index in sorted(set(matches.values()), reverse=True):
        if index <= replica.commit_index or replica.term_at(index) != replica.term:
            break
        acknowledged_by = {identity for identity, match in matches.items() if match >= index}
        if replica.membership.commits(acknowledged_by, replica.identity):
            commit_to(replica, index, now)
            known_leader.record(replica, replica.identity, replica.term)
            break


def commit_to(replica: Consensus, index: int, now: float) -> None:
    """Marks the entry at `index` and all before it as committed, and delivers the first slice.

    If a backlog is being delivered already, the entries follow with later ticks.
    """
    delivering = replica.applied_index < replica.commit_index
    replica.commit_index = max(replica.commit_index, index)
    if not delivering:
        deliver_slice(replica, now)


def deliver_slice(replica: Consensus, now: float) -> None:
    """Delivers the next committed entries, as many as one step may deliver.

    A restarted member has to apply all entries since its base. It must send heartbeats and answer messages
    in the meantime, or it would lose its leadership.
    """
    start = replica.applied_index + 1
    entries, _ = replica.log.slice_from(start, constants.COMMIT_ENTRIES, constants.COMMIT_BYTES)
    entries = entries[: replica.commit_index - replica.applied_index]
    replica.applied_index += len(entries)
    replica.effects.append(CommitEntries(start, entries))
    if replica.applied_index == replica.commit_index and replica.serving():
        _after_commit(replica, now)


def _after_commit(replica: Consensus, now: float) -> None:
    reads.start_round(replica, now)
    if replica.applied_index < replica.membership_index:
        return
    if replica.membership.coming is not None:
        _leave_joint_membership(replica, replica.membership.coming, now)
    else:
        _finish_change(replica, now)


def _leave_joint_membership(replica: Consensus, quorum: Quorum, now: float) -> None:
    """Appends the coming membership alone, as the joint one is committed now (section 8)."""
    coming = Membership(quorum)
    replica.event(131)
    entry = (replica.term, 0.0, ("members", coming.image()))
    log_changes.append(replica, [entry], replica.last_index() + 1)
    replication.replicate_all(replica, now)


def _finish_change(replica: Consensus, now: float) -> None:
    """Finishes a membership change: replication to removed members ends, and a removed leader steps down."""
    members = replica.membership.members()
    removed_members = [
        identity
        for identity in replica.followers
        if identity not in members and identity not in replica.learners
    ]
    for identity in removed_members:
        del replica.followers[identity]
    if removed_members:
        replica.event(132, members=sorted(members))
    if replica.identity not in members:
        replica.become_follower(replica.term, now, "no longer a member")
