"""The messages between replicas, and their form on the wire.

On the wire a message is a tuple of its kind, a string, and its fields in the order declared here. Only
`encode` and `decode` know the kinds; the daemon calls them when it sends and receives.

Terms and indexes are those of the log. `heartbeat` is the number of the leader's newest heartbeat, which a
reply repeats. Sizes and offsets are in bytes. `leader`, `leader_term` and `history` of a reply are the extra
state of FlexiRaft (section 5.1), see `quorum.Reply`.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

from .log import Entry


class PreVoteRequest(NamedTuple):
    """Asks whether the receiver would vote for the sender in `term`; changes no term (section 8)."""

    term: int
    last_index: int  # index of the sender's newest entry
    last_term: int


class PreVoteReply(NamedTuple):
    """The reply to a pre-vote request of `term`."""

    term: int
    granted: bool
    leader: str | None
    leader_term: int
    history: dict[int, str]


class VoteRequest(NamedTuple):
    """Requests a vote in `term`."""

    term: int
    last_index: int
    last_term: int


class TakeoverRequest(NamedTuple):
    """A vote request of the successor that the leader of `released_term` named."""

    term: int
    last_index: int
    last_term: int
    released_term: int


class VoteReply(NamedTuple):
    """The reply to a vote or takeover request of `term`; a granted vote is durable before it is sent."""

    term: int
    granted: bool
    leader: str | None
    leader_term: int
    history: dict[int, str]


class LeadershipTransfer(NamedTuple):
    """Names the receiver the successor of the leader of `term`, which has given up its lease."""

    term: int
    learners: dict[str, str]  # identity -> zone of the leader's learners


class NewerTerm(NamedTuple):
    """The reply to a message of an older term, with the newer term."""

    term: int


class RemovedNotice(NamedTuple):
    """The reply to a pre-vote request of a replica that is not a member, with the sender's commit index."""

    term: int
    commit_index: int


class AppendEntries(NamedTuple):
    """The entries after `previous_index`, none for a heartbeat.

    A heartbeat that does not refer to the log has 0 for `previous_index`, `previous_term` and
    `leader_commit`.
    """

    term: int
    previous_index: int
    previous_term: int | None
    entries: Sequence[Entry]
    leader_commit: int
    heartbeat: int


class AppendReply(NamedTuple):
    """The reply to AppendEntries.

    With `success`, `match_index` is the newest entry that is durable at the sender and agrees with the
    leader's log, or None in reply to a heartbeat that did not refer to the log. Without `success` it is the
    entry that the leader should try next.
    """

    term: int
    success: bool
    match_index: int | None
    heartbeat: int


class SnapshotChunk(NamedTuple):
    """A chunk of a snapshot's payload. With the offset -1 it asks which segments the receiver stores."""

    term: int
    last_index: int  # index of the newest entry that the snapshot covers
    snapshot_term: int
    membership: list[Any]  # a `Membership.image()`
    offset: int
    total: int
    chunk: bytes
    heartbeat: int


class ChunkReply(NamedTuple):
    """The reply to SnapshotChunk.

    `offset` is the next one needed, -1 to restart the transfer, or COMPLETE_OFFSET if nothing of the
    snapshot is needed. `stored_segment` is the newest archive segment that the sender stores.
    """

    term: int
    last_index: int
    offset: int
    stored_segment: int
    heartbeat: int


class UnknownMessage(NamedTuple):
    """A message of a kind that this version does not know; it is ignored."""

    kind: object


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | TakeoverRequest
    | VoteReply
    | LeadershipTransfer
    | NewerTerm
    | RemovedNotice
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | ChunkReply
    | UnknownMessage
)

# The registry of messages: kind on the wire -> class.
MESSAGES: dict[str, type[Any]] = {
    "prevote": PreVoteRequest,
    "prevoted": PreVoteReply,
    "vote": VoteRequest,
    "takeover": TakeoverRequest,
    "voted": VoteReply,
    "handover": LeadershipTransfer,
    "behind": NewerTerm,
    "stranger": RemovedNotice,
    "append": AppendEntries,
    "appended": AppendReply,
    "piece": SnapshotChunk,
    "pieced": ChunkReply,
}
KINDS = {message: kind for kind, message in MESSAGES.items()}


def encode(message: Message) -> tuple[Any, ...]:
    """The wire form of a message."""
    return (KINDS[type(message)], *message)


def decode(wire: Sequence[Any]) -> Message:
    """The message of a wire form; TypeError if the number of fields is not the declared one."""
    kind, *fields = wire
    message_class = MESSAGES.get(kind)
    if message_class is None:
        return UnknownMessage(kind)
    message: Message = message_class(*fields)
    return message
