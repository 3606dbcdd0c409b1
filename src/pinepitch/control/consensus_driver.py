"""Connects consensus to the daemon: it executes the effects of consensus and applies committed entries."""

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
    """Invariants: the cluster state reflects exactly the entries that have been applied; one snapshot is made
    at a time.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.snapshot_in_progress = False
        self.bytes_since_snapshot = 0  # applied since the newest snapshot was begun
        # applied after the base and before the snapshot in progress; 0 without one
        self.bytes_before_snapshot = 0
        self._bytes_until_full: int | None = None  # computed when first needed
        # bytes since the newest snapshot that make the next one due; computed when first needed
        self._snapshot_threshold: int | None = None
        self.snapshot_segments = (1, 0)  # range of archive segments of the snapshot in progress

    def on_raft(
        self, cluster: str | None, sender: str, receiver: str, message: tuple[Any, ...], now: float
    ) -> None:
        """Handles a consensus message of another member."""
        daemon = self.daemon
        if daemon.consensus is None or cluster != daemon.cluster or receiver != daemon.identity:
            daemon.event(147, kind="raft", cohort=cluster, receiver=receiver)
            return
        self.execute(daemon.consensus.step(sender, consensus_messages.decode(message), now), now)

    def on_saved(self, sequence: int, now: float) -> None:
        """Handles the report that all saves up to `sequence` are durable."""
        self.daemon.counts["syncs"] += 1
        if self.daemon.consensus.pending_saves:
            self.daemon.sync_histogram.add(now - self.daemon.consensus.pending_saves[0].begun_at)
        self.execute(self.daemon.consensus.saved(sequence, now), now)

    def on_disk(self, error: str | None, now: float) -> None:
        """Handles a failed write to the disk, or its recovery if `error` is None."""
        if error is None:
            self.daemon.event(107)
            return
        self.daemon.event(106, why=error)
        if self.daemon.consensus is not None:
            self.execute(self.daemon.consensus.disk_failed(now), now)

    def on_encoded(self, index: int, encoded: EncodedImage, now: float) -> None:
        """Handles a snapshot that has been encoded: compacts the log up to it, unless the snapshot is out of
        date.
        """
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
        """Executes the effects that consensus returned."""
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
                    daemon.image_digests.add_installed(
                        index, digest_of(image), daemon.consensus.current_leader
                    )
                case BecomeLeader():
                    daemon.clear_leadership(now)
                    daemon.leadership.leader_since = now
                case StepDown():
                    self._step_down(now)
                case ReadConfirmed(token, _):
                    daemon.forwarded_requests.answer_read(token, now)

    def _install(self, image: Any, segments: dict[int, bytes]) -> None:
        """Replaces the cluster state by a snapshot of the leader and the segments that came with it."""
        self.bytes_since_snapshot, self.bytes_before_snapshot = 0, 0
        self._snapshot_threshold = self._bytes_until_full = None
        archive = self.daemon.cluster_state.archive
        self.daemon.take_cluster_state(image, {**archive.retired, **archive.segments, **segments})
        for number, data in sorted(segments.items()):
            self.daemon.effects.append(WriteSegment(number, data))

    def _step_down(self, now: float) -> None:
        """Gives up leadership, and reports that to all who wait for an answer."""
        listeners = [
            listener
            for entry_listeners in self.daemon.proposals.listeners.values()
            for listener in entry_listeners
        ]
        listeners += self.daemon.worker_reports.end_listeners
        self.daemon.forwarded_requests.step_down(listeners, now)
        self.daemon.clear_leadership(now)

    def _apply(self, first: int, entries: list[tuple[Any, ...]], now: float) -> None:
        """Applies committed entries; the first one has the index `first`."""
        daemon, consensus = self.daemon, self.daemon.consensus
        for offset, (term, time, operation) in enumerate(entries):
            index = first + offset
            operation = unpacked(operation)
            outcome = daemon.cluster_state.apply(index, time, operation)
            daemon.counts["applied"] += 1
            daemon.proposals.on_applied(index)
            # nobody waits here for entries of earlier leaders: those are only applied
            if consensus.role == "leader" and consensus.applied_index >= index and term == consensus.term:
                daemon.applied_entries.on_applied(operation, outcome, now)
                for listener in daemon.proposals.listeners.pop(index, ()):
                    self._notify(listener, outcome, now)
            self.bytes_since_snapshot += consensus.log.size_of(index)
            if not self.snapshot_in_progress and self._snapshot_due(index):
                self._begin_snapshot()
        self._write_sealed_segments()

    def _write_sealed_segments(self) -> None:
        """Writes the segments that were just sealed."""
        state = self.daemon.cluster_state
        for number, data in state.sealed:
            self.daemon.effects.append(WriteSegment(number, data))
        state.sealed.clear()

    def _begin_snapshot(self) -> None:
        """Starts to encode an image of the cluster state. The segments that it names are written first."""
        self._write_sealed_segments()
        state = self.daemon.cluster_state
        self.snapshot_in_progress = True
        self.bytes_since_snapshot, self.bytes_before_snapshot = (
            0,
            self.bytes_before_snapshot + self.bytes_since_snapshot,
        )
        self._snapshot_threshold = self._bytes_until_full = None
        self.snapshot_segments = state.archive.segment_range()
        self.daemon.effects.append(EncodeSnapshot(state.index, state.image()))

    def _snapshot_due(self, index: int) -> bool:
        """Whether a snapshot is due at `index`, the entry applied last. One is due at each multiple of
        SNAPSHOT_ENTRIES, so that members make snapshots at the same indexes, or once enough bytes were
        applied since the last base.
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
        """Bytes of entries after which a snapshot is due. Large images are made less often, so that writing
        them costs no more than writing the entries did. Near the size limit of images they are made more
        often, so that the remaining space is known.
        """
        limits, image_size = self.daemon.limits, self._newest_image_size()
        if image_size > limits.image // 2:
            return limits.image // constants.IMAGE_STEP
        return min(max(limits.since_base, image_size), limits.log // 2)

    def _newest_image_size(self) -> int:
        """Bytes of the newest image."""
        return len(self.daemon.consensus.base_image or b"")

    def is_full(self) -> bool:
        """Whether an image made now would reach the size limit of images."""
        if self._bytes_until_full is None:
            self._bytes_until_full = (
                self.daemon.limits.image - self._newest_image_size() - self.bytes_before_snapshot
            )
        return self.bytes_since_snapshot >= self._bytes_until_full

    def image_size(self) -> int:
        """Approximate bytes of an image made now: those of the newest image and of the entries applied since,
        most of which it would contain.
        """
        return self._newest_image_size() + self.bytes_before_snapshot + self.bytes_since_snapshot

    def _notify(self, listener: OutcomeListener, outcome: tuple[Any, ...], now: float) -> None:
        """Sends the outcome of an operation to a listener."""
        answer = OUTCOME_ANSWERS[listener.answer_kind](self.daemon, outcome, listener.context, now)
        self.daemon.forwarded_requests.answer(listener.address, listener.token, answer)
