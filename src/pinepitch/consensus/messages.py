"""The messages between replicas, and their form on the wire.

On the wire a message is a tuple of its kind, a word, and its fields in the order declared here. `encode` and
`decode` are the only places that know the words; they are called where the daemon sends and receives.

Terms and indexes are those of the log; `heartbeat` is the number of the leader's newest heartbeat, which an
answer tells back; sizes and offsets are in bytes. `leader`, `leader_term` and `history` of a reply are the
extra state of FlexiRaft (section 5.1), see `quorum.Reply`.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

from .log import Entry


class PreVoteRequest(NamedTuple):
    """Asks whether a vote would be given in `term`; no one's term changes (section 8)."""

    term: int
    last_index: int  # of the newest entry of the pre-candidate
    last_term: int


class PreVoteReply(NamedTuple):
    """The answer to a pre-vote request of `term`."""

    term: int
    granted: bool
    leader: str | None
    leader_term: int
    history: dict[int, str]


class VoteRequest(NamedTuple):
    """Asks for a vote in `term`."""

    term: int
    last_index: int
    last_term: int


class TakeoverRequest(NamedTuple):
    """A vote request of the successor that the leader of the term `released` named."""

    term: int
    last_index: int
    last_term: int
    released_term: int


class VoteReply(NamedTuple):
    """The answer to a vote or takeover request of `term`, durable before it is sent."""

    term: int
    granted: bool
    leader: str | None
    leader_term: int
    history: dict[int, str]


class LeadershipTransfer(NamedTuple):
    """The leader of `term` gave up its lease and names the receiver its successor."""

    term: int
    learners: dict[str, str]  # identity -> zone of the learners it replicated to


class NewerTerm(NamedTuple):
    """The answer to a message of an older term: the sender's term."""

    term: int


class RemovedNotice(NamedTuple):
    """Tells a replica that asked for a pre-vote that it is no longer a member, by what is committed."""

    term: int
    commit: int


class AppendEntries(NamedTuple):
    """Entries that follow the entry `previous`, none for a heartbeat. A heartbeat that says nothing of the
    log has 0 for `previous`, `previous_term` and `commit`.
    """

    term: int
    previous: int
    previous_term: int | None
    entries: Sequence[Entry]
    commit: int
    heartbeat: int


class AppendReply(NamedTuple):
    """The answer to AppendEntries: the newest entry that is durable here and agrees with the leader's log;
    None for a heartbeat that said nothing of the log. Where `success` is False, the entry to try next.
    """

    term: int
    success: bool
    match_index: int | None
    heartbeat: int


class SnapshotChunk(NamedTuple):
    """A chunk of the payload of a snapshot; with the offset -1 a question after what is stored."""

    term: int
    last_index: int  # of the entries that the snapshot stands for
    snapshot_term: int
    membership: list[Any]  # a `Membership.image()`
    offset: int
    total: int
    chunk: bytes
    heartbeat: int


class ChunkReply(NamedTuple):
    """The answer to SnapshotChunk: the offset that is needed next, -1 to begin anew, COMPLETE_OFFSET where
    nothing of the snapshot is needed; `stored` is the newest segment of the archive that is stored here.
    """

    term: int
    last_index: int
    offset: int
    stored: int
    heartbeat: int


class UnknownMessage(NamedTuple):
    """A message of a kind that this version does not know; it has no effect."""

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

# The registry of messages: the word on the wire -> class.
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
WORDS = {message: word for word, message in MESSAGES.items()}


def encode(message: Message) -> tuple[Any, ...]:
    """The wire form of a message."""
    return (WORDS[type(message)], *message)


def decode(wire: Sequence[Any]) -> Message:
    """The message of a wire form; TypeError where the number of fields is another than declared."""
    kind, *fields = wire
    message = MESSAGES.get(kind)
    if message is None:
        return UnknownMessage(kind)
    found: Message = message(*fields)
    return found
