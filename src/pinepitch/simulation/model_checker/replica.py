"""One replica of a model: a real Consensus, its disk, and a fingerprint of both."""

from __future__ import annotations

import collections
import copy
import functools
import random
from collections.abc import Hashable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol, cast

from ...common import constants
from ...consensus.flow_control import Flow
from ...consensus.follower import Follower
from ...consensus.log import Entry, Log
from ...consensus.messages import encode
from ...consensus.replica import Consensus
from ...consensus.snapshot_transfer import IncomingSnapshot, Transfer
from .archive import ModelArchive, span_of

LONG_AGO = -1e9
SCALARS = (int, str, bool, float, bytes, type(None))


class Draw(Hashable, Protocol):
    """What a decider asks of its random numbers."""

    def random(self) -> float:
        """A number from 0 to 1."""


class SteadyRandom:
    """Stands in for a decider's random numbers, so that a state has no hidden part."""

    def random(self) -> float:
        """The shortest spread that a decider may draw."""
        return 0.0


SHORTEST: Draw = SteadyRandom()


class EmptyArchive:
    """An archive that holds no segments: the model's cluster state has no jobs."""

    sealed = 0

    def segment(self, number: int) -> bytes:
        """No segment is ever asked for."""
        raise AssertionError(f"segment {number} is not there")


class Write(NamedTuple):
    """A write under way. Invariant: writes of one disk become durable in order."""

    replaces: bool  # whether it is a base, in place of all that was saved, or a change
    sequence: int | None
    payload: list[Any]


def frozen(value: Any) -> Any:
    """A hashable copy of a message or of a part of one."""
    if isinstance(value, (list, tuple)):
        return tuple([frozen(one) if type(one) not in SCALARS else one for one in value])
    if isinstance(value, dict):
        return tuple(sorted((key, frozen(one)) for key, one in value.items()))
    return value


def frozen_message(message: Any) -> Any:
    """A hashable copy of a message between replicas, with its kind."""
    return frozen(encode(message))


def frozen_entries(entries: Sequence[Entry]) -> Any:
    """A hashable copy of entries of the log."""
    return tuple([one if one[2][0] != "members" else frozen(one) for one in entries])


def fresh_consensus(identity: str, members: dict[str, str], mode: str, draw: Draw) -> Consensus:
    """A Consensus without any past."""
    return copy_of(_unused_consensus(identity, tuple(members.items()), mode, draw))


@functools.lru_cache(maxsize=1_000)
def _unused_consensus(
    identity: str, members: tuple[tuple[str, str], ...], mode: str, draw: Draw
) -> Consensus:
    consensus = Consensus(identity, 0, dict(members), mode)
    consensus.random = cast(random.Random, draw)  # nothing else is drawn
    consensus.archive = EmptyArchive()
    return consensus


def copy_of(consensus: Consensus) -> Consensus:
    """A Consensus with the same state, which shares only what is never changed in place."""
    twin = Consensus.__new__(Consensus)
    fields = twin.__dict__
    fields.update(consensus.__dict__)
    for name in ("history", "learners", "replies", "heartbeat_times", "inherited_learners"):
        fields[name] = dict(fields[name])
    for name in ("deferred", "effects", "confirming_reads", "queued_reads"):
        fields[name] = list(fields[name])
    twin.log = _copy_of_log(consensus.log)
    twin.pending_saves = [save.copy() for save in consensus.pending_saves]
    twin.followers = {identity: _copy_of_follower(one) for identity, one in consensus.followers.items()}
    if consensus.incoming_snapshot is not None:
        twin.incoming_snapshot = _copy_of_incoming(consensus.incoming_snapshot)
    return twin


def _copy_of_incoming(incoming: IncomingSnapshot) -> IncomingSnapshot:
    twin = IncomingSnapshot(incoming.last_index)
    twin.total, twin.received = incoming.total, incoming.received.copy()
    return twin


def _copy_of_log(log: Log) -> Log:
    twin = Log()
    twin.first, twin.size = log.first, log.size
    twin.entries, twin.sizes = list(log.entries), list(log.sizes)
    return twin


def _copy_of_follower(follower: Follower) -> Follower:
    twin = Follower.__new__(Follower)
    twin.__dict__.update(follower.__dict__)
    twin.flow = copy.copy(follower.flow)
    twin.flow.in_flight = collections.deque(follower.flow.in_flight)
    twin.transfer = copy.copy(follower.transfer)
    return twin


def _forget_flow_times(flow: Flow) -> None:
    """Takes time, and what was learnt by time, out of what is under way to a follower."""
    flow.in_flight = collections.deque(sent._replace(sent_at=0.0) for sent in flow.in_flight)
    flow.progress_at, flow.rate, flow.losses = 0.0, None, 0
    flow.budget = constants.APPEND_START


def _flow_state(flow: Flow) -> Any:
    """What is under way to a follower, without times."""
    return tuple((sent.last_index, sent.size) for sent in flow.in_flight)


def _transfer_state(transfer: Transfer | None) -> Any:
    """A snapshot on its way to a follower, None where there is none."""
    if transfer is None:
        return None
    progress = (transfer.offset, transfer.expected_offset, transfer.in_flight)
    return (frozen(transfer.snapshot), transfer.stored_segment, transfer.payload, *progress)


class Replica:
    """A daemon of the model. Invariants: `disk` is the payload of a base file that holds all
    that is durable; `queue` are the writes under way; a wiped daemon has another identity; where the model
    has segments, `disk_segments` are those in the data folder.
    """

    def __init__(
        self,
        identity: str,
        zone: str,
        members: dict[str, str],
        mode: str,
        draw: Draw = SHORTEST,
        archived: bool = False,
    ) -> None:
        self.identity, self.zone = identity, zone
        self.members, self.mode, self.draw = members, mode, draw
        self.consensus = fresh_consensus(identity, members, mode, draw)
        self.archived = archived
        self.disk_segments: dict[int, bytes] = {}
        if archived:
            self.consensus.archive = ModelArchive()
        self.disk = self.consensus.bootstrap_base()
        self.queue: tuple[Write, ...] = ()
        self._key: int | None = None
        self._disk_key: int | None = None

    def copy(self) -> Replica:
        """A replica with the same state, for the next step to change."""
        twin = Replica.__new__(Replica)
        twin.__dict__.update(self.__dict__)
        twin.consensus = copy_of(self.consensus)
        if self.archived:
            twin.consensus.archive = self.archive.copy()
            twin.disk_segments = dict(self.disk_segments)
        twin._key = None
        return twin

    @property
    def archive(self) -> ModelArchive:
        """The archive that its cluster state stands on, where the model has segments."""
        archive = self.consensus.archive
        assert isinstance(archive, ModelArchive)
        return archive

    def complete(self) -> Write:
        """Makes the next write durable; the write."""
        write, self.queue = self.queue[0], self.queue[1:]
        self._disk_key = None
        if write.replaces:
            self.disk = write.payload
            first, _ = self.disk[1][4]
            self.disk_segments = {one: data for one, data in self.disk_segments.items() if one >= first}
        else:
            self.disk = self.stored([write.payload]).base_payload()
        return write

    def stored(self, changes: Iterable[Any] = ()) -> Consensus:
        """A Consensus that starts from the disk."""
        consensus = fresh_consensus(self.identity, self.members, self.mode, self.draw)
        consensus.restore(self.disk, changes)
        return consensus

    def restart(self) -> None:
        """Ends the process and starts it again from what was durable."""
        self.queue = ()
        self.consensus = self.stored()
        if self.archived:
            span = self.consensus.base_segments
            segments = {number: self.disk_segments[number] for number in span_of(span)}
            self.consensus.archive = ModelArchive(segments, span[1])

    def forget_times(self, now: float) -> None:
        """Takes time out of the state: any time-out may have passed, any wait may be over."""
        consensus = self.consensus
        consensus.leader_heard_at = consensus.heartbeat_sent_at = consensus.next_vote_request_at = LONG_AGO
        consensus.election_at = 0.0
        consensus.heartbeat_number, consensus.heartbeat_times = 0, {}
        for follower in consensus.followers.values():
            follower.answered_heartbeat, follower.heard_at = 0, now
            _forget_flow_times(follower.flow)
        if consensus.pending_transfer is not None:
            consensus.pending_transfer = consensus.pending_transfer._replace(until=now)
        for save in consensus.pending_saves:
            save.begun_at = 0.0

    def key(self) -> int:
        """A fingerprint: replicas with equal keys behave alike from here on."""
        if self._key is None:
            archive = (self.archive.key(), tuple(sorted(self.disk_segments))) if self.archived else None
            self._key = hash((self.identity, self._state(), self._durable_state(), archive))
        return self._key

    def _durable_state(self) -> Any:
        if self._disk_key is None:
            self._disk_key = hash(frozen(self.disk))
        queued = tuple((write.replaces, frozen(write.payload)) for write in self.queue)
        return self._disk_key, queued

    def _state(self) -> Any:
        one = self.consensus
        sequence = one.saved_sequence
        followers = tuple(
            (
                identity,
                follower.match_index,
                follower.next_index,
                follower.probing,
                _flow_state(follower.flow),
                _transfer_state(follower.transfer),
                follower.denials,
                follower.lost_entries,
            )
            for identity, follower in sorted(one.followers.items())
        )
        return (
            (
                one.term,
                one.role,
                one.current_leader,
                one.last_known_leader,
                one.last_known_term,
                one.newest_heard_term,
            ),
            (one.applied_index, one.removed),
            (one.first, one.base_index, one.base_term, one.durable_index, one.membership_index),
            frozen(one.history),
            frozen_entries(one.entries),
            frozen(one.learners),
            (frozen(one.inherited_learners), one.released_term, one.pending_transfer),
            frozen(one.replies),
            followers,
            one.sequence - sequence,
            max(0, one.hard_state_sequence - sequence),
            tuple((save.sequence - sequence, save.last_index) for save in one.pending_saves),
            tuple(
                (need - sequence, sent.receiver, frozen_message(sent.message)) for need, sent in one.deferred
            ),
            None
            if one.incoming_snapshot is None
            else (
                one.incoming_snapshot.last_index,
                one.incoming_snapshot.total,
                one.incoming_snapshot.received.buffer.getvalue(),
            ),
        )


def machine_of(identity: str) -> str:
    """The machine that a daemon runs on; a wiped one's newcomer runs on the same."""
    return identity.rstrip("'")


def identity_in(consensus: Consensus) -> bool:
    """Whether a replica is a member by its own log."""
    return consensus.identity in consensus.membership.members()
