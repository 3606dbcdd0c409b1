"""Between consensus and the daemon: what consensus decided is carried out, what is committed applied."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ..common import constants
from ..common.effects import EncodeSnapshot, SaveChange, WriteBase, WriteSegment
from ..common.packed_operations import unpacked
from ..consensus import messages as consensus_messages
from ..consensus.effects import (
    BecomeLeader,
    CommitEntries,
    InstallSnapshot,
    LogEvent,
    ReadConfirmed,
    SaveBase,
    SendMessage,
    StepDown,
)
from ..state.image_codec import EncodedImage, digest_of
from .proposals import OutcomeListener
from .requests import OUTCOME_ANSWERS

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class ConsensusDriver:
    """Invariant: the cluster state holds just the entries up to those applied; one snapshot is made at
    a time.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.snapshot_in_progress = False
        self.bytes_since_snapshot = 0  # bytes of entries applied since the newest snapshot was begun
        self.bytes_before_snapshot = (
            0  # bytes of those applied before, and after the base; 0 with no snapshot under way
        )
        self._bytes_until_full: int | None = None  # until images are full; None until it is asked for
        self._snapshot_threshold: int | None = (
            None  # of these, that make a snapshot due; None until it is asked for
        )
        self.snapshot_segments = (1, 0)  # of the archive, that the snapshot under way stands on

    def on_raft(
        self, cluster: str | None, sender: str, receiver: str, message: tuple[Any, ...], now: float
    ) -> None:
        """A message of another member's consensus."""
        daemon = self.daemon
        if daemon.consensus is None or cluster != daemon.cluster or receiver != daemon.identity:
            daemon.event(147, kind="raft", cohort=cluster, receiver=receiver)
            return
        self.execute(daemon.consensus.step(sender, consensus_messages.decode(message), now), now)

    def on_saved(self, sequence: int, now: float) -> None:
        """All saves up to that one are durable."""
        self.daemon.counts["syncs"] += 1
        if self.daemon.consensus.saving:
            self.daemon.sync_histogram.add(now - self.daemon.consensus.saving[0].begun_at)
        self.execute(self.daemon.consensus.saved(sequence, now), now)

    def on_disk(self, error: str | None, now: float) -> None:
        """The disk refused to write, or (why is None) writes again."""
        if error is None:
            self.daemon.event(107)
            return
        self.daemon.event(106, why=error)
        if self.daemon.consensus is not None:
            self.execute(self.daemon.consensus.disk_failed(now), now)

    def on_encoded(self, index: int, encoded: EncodedImage, now: float) -> None:
        """A snapshot is encoded: the log is compacted up to it, unless it is out of date."""
        daemon, data = self.daemon, encoded.data
        self.snapshot_in_progress = False
        self.bytes_before_snapshot, self._snapshot_threshold, self._bytes_until_full = 0, None, None
        daemon.image_digests.add_encoded(index, encoded.digest)
        if index > daemon.consensus.base_index and daemon.consensus.term_at(index) is not None:
            payload = daemon.consensus.compact(index, data, self.snapshot_segments)
            daemon.cluster_state.archive.forget_retired(before=self.snapshot_segments[0])
            daemon.effects.append(WriteBase(None, daemon.base(payload)))
            daemon.event(126, index=index, bytes=len(data))

    def execute(self, effects: Iterable[Any], now: float) -> None:
        """Carries out what consensus decided."""
        daemon = self.daemon
        for effect in effects:
            match effect:
                case SendMessage(receiver, message):
                    address, wire = daemon.sessions.address(receiver), consensus_messages.encode(message)
                    daemon.send(address, ("raft", daemon.cluster, daemon.identity, receiver, wire))
                case SaveChange():
                    daemon.effects.append(effect)
                case LogEvent(number, fields):
                    daemon.event(number, **fields)
                case SaveBase(sequence, payload):
                    daemon.effects.append(WriteBase(sequence, daemon.base(payload)))
                case CommitEntries(first, entries):
                    self._apply(first, entries, now)
                case InstallSnapshot(index, image, segments):
                    self._install(image, segments)
                    daemon.image_digests.add_installed(index, digest_of(image), daemon.consensus.following)
                case BecomeLeader():
                    daemon.clear_leadership(now)
                    daemon.leadership.leader_since = now
                case StepDown():
                    self._step_down(now)
                case ReadConfirmed(token, _):
                    daemon.forwarded_requests.answer_read(token, now)

    def _install(self, image: Any, segments: dict[int, bytes]) -> None:
        """Takes the cluster state from a snapshot of the leader's, with segments that came beside it."""
        self.bytes_since_snapshot, self.bytes_before_snapshot = 0, 0
        self._snapshot_threshold = self._bytes_until_full = None
        archive = self.daemon.cluster_state.archive
        self.daemon.take_cluster_state(image, {**archive.retired, **archive.segments, **segments})
        for number, data in sorted(segments.items()):
            self.daemon.effects.append(WriteSegment(number, data))

    def _step_down(self, now: float) -> None:
        """Leads no more: all who wait are told so."""
        listeners = [
            listener
            for entry_listeners in self.daemon.proposals.listeners.values()
            for listener in entry_listeners
        ]
        listeners += self.daemon.worker_reports.end_listeners
        self.daemon.forwarded_requests.step_down(listeners, now)
        self.daemon.clear_leadership(now)

    def _apply(self, first: int, entries: list[tuple[Any, ...]], now: float) -> None:
        """Applies committed entries, the first of which has the index `start`."""
        daemon, consensus = self.daemon, self.daemon.consensus
        for offset, (term, time, operation) in enumerate(entries):
            index = first + offset
            operation = unpacked(operation)
            outcome = daemon.cluster_state.apply(index, time, operation)
            daemon.counts["applied"] += 1
            # of what older leaders proposed only the outcome counts: nobody waits for it here
            if consensus.role == "leader" and consensus.commit >= index and term == consensus.term:
                daemon.applied_entries.on_applied(operation, outcome, now)
                for listener in daemon.proposals.listeners.pop(index, ()):
                    self._notify(listener, outcome, now)
            self.bytes_since_snapshot += consensus.log.size_of(index)
            if not self.snapshot_in_progress and self._snapshot_due(index):
                self._begin_snapshot()
        self._write_sealed_segments()

    def _write_sealed_segments(self) -> None:
        """Has the segments written that were sealed just now."""
        state = self.daemon.cluster_state
        for number, data in state.sealed:
            self.daemon.effects.append(WriteSegment(number, data))
        state.sealed.clear()

    def _begin_snapshot(self) -> None:
        """Has an image of the cluster state encoded, once the segments that it names are being written."""
        self._write_sealed_segments()
        state = self.daemon.cluster_state
        self.snapshot_in_progress = True
        self.bytes_since_snapshot, self.bytes_before_snapshot = (
            0,
            self.bytes_before_snapshot + self.bytes_since_snapshot,
        )
        self._snapshot_threshold = self._bytes_until_full = None
        self.snapshot_segments = state.archive.range()
        self.daemon.effects.append(EncodeSnapshot(state.index, state.image()))

    def _snapshot_due(self, index: int) -> bool:
        """Whether a snapshot is to be made at `index`, the entry applied last: at each multiple of
        SNAPSHOT_ENTRIES, which members share, or once so many bytes were applied since the last base.
        """
        if index % constants.SNAPSHOT_ENTRIES == 0:
            return True
        overdue = constants.SNAPSHOT_OVERDUE * constants.SNAPSHOT_ENTRIES
        if index - self.daemon.consensus.base_index >= overdue:
            return True
        if self._snapshot_threshold is None:
            self._snapshot_threshold = self._bytes_between_snapshots()
        return self.bytes_since_snapshot >= self._snapshot_threshold

    def _bytes_between_snapshots(self) -> int:
        """Bytes of entries that make a snapshot due. A large image is made more rarely, so that writing it
        costs no more than the entries did; near the bound of images more often, so that it is known how
        much of it is free.
        """
        limits, image_size = self.daemon.limits, self._newest_image_size()
        if image_size > limits.image // 2:
            return limits.image // constants.IMAGE_STEP
        return min(max(limits.since_base, image_size), limits.log // 2)

    def _newest_image_size(self) -> int:
        """Bytes of the newest image."""
        return len(self.daemon.consensus.base_image or b"")

    def is_full(self) -> bool:
        """Whether an image would have as many bytes by now as it may have."""
        if self._bytes_until_full is None:
            self._bytes_until_full = (
                self.daemon.limits.image - self._newest_image_size() - self.bytes_before_snapshot
            )
        return self.bytes_since_snapshot >= self._bytes_until_full

    def image_size(self) -> int:
        """About how many bytes an image would have now: those of the newest one and of the entries applied
        since, most of which it would hold.
        """
        return self._newest_image_size() + self.bytes_before_snapshot + self.bytes_since_snapshot

    def _notify(self, listener: OutcomeListener, outcome: tuple[Any, ...], now: float) -> None:
        """Tells one who waits the outcome."""
        answer = OUTCOME_ANSWERS[listener.answer_kind](self.daemon, outcome, listener.context, now)
        self.daemon.forwarded_requests.answer(listener.address, listener.token, answer)
