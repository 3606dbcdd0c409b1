"""The registry of message handlers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from . import acknowledgements, election, following, leadership_transfer, messages, snapshot_receiver

if TYPE_CHECKING:
    from .replica import Consensus

Handler = Callable[["Consensus", str, Any, float], None]

# Replies to requests of a leader or candidate, which becomes a follower if one has a newer term.
REPLIES = (messages.VoteReply, messages.AppendReply, messages.ChunkReply)


def ignore(replica: Consensus, sender: str, message: messages.UnknownMessage, now: float) -> None:
    """Ignores a message of a kind that this version does not know."""


# The registry of handlers: message class -> function of (replica, sender, message, now).
HANDLERS: dict[type[Any], Handler] = {
    messages.PreVoteRequest: election.on_pre_vote,
    messages.PreVoteReply: election.on_pre_vote_reply,
    messages.VoteRequest: election.on_vote,
    messages.TakeoverRequest: election.on_takeover,
    messages.VoteReply: election.on_vote_reply,
    messages.LeadershipTransfer: leadership_transfer.on_transfer,
    messages.NewerTerm: election.on_newer_term,
    messages.RemovedNotice: election.on_removed,
    messages.AppendEntries: following.on_append,
    messages.AppendReply: acknowledgements.on_append_reply,
    messages.SnapshotChunk: snapshot_receiver.on_chunk,
    messages.ChunkReply: acknowledgements.on_chunk_reply,
    messages.UnknownMessage: ignore,
}
