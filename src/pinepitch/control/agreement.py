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


class Agreement:
    """Invariant: the cluster state holds just the entries up to those applied; one snapshot is made at
    a time.
    """

    def __init__(self, core: "ControlDaemon") -> None:
        self.core = core
        self.snapshotting = False
        self.since_base = 0  # bytes of entries applied since the newest snapshot was begun
        self.before_snapshot = (
            0  # bytes of those applied before, and after the base; 0 with no snapshot under way
        )
        self._free_bytes: int | None = None  # until images are full; None until it is asked for
        self._due_bytes: int | None = None  # of these, that make a snapshot due; None until it is asked for
        self.snapshot_segments = (1, 0)  # of the archive, that the snapshot under way stands on

    def on_raft(
        self, cluster: str | None, sender: str, receiver: str, message: tuple[Any, ...], now: float
    ) -> None:
        """A message of another member's consensus."""
        core = self.core
        if core.consensus is None or cluster != core.cluster or receiver != core.identity:
            core.event(147, kind="raft", cohort=cluster, receiver=receiver)
            return
        self.run(core.consensus.step(sender, consensus_messages.decode(message), now), now)

    def on_saved(self, sequence: int, now: float) -> None:
        """All saves up to that one are durable."""
        self.core.counts["syncs"] += 1
        if self.core.consensus.saving:
            self.core.sync_histogram.add(now - self.core.consensus.saving[0].begun_at)
        self.run(self.core.consensus.saved(sequence, now), now)

    def on_disk(self, why: str | None, now: float) -> None:
        """The disk refused to write, or (why is None) writes again."""
        if why is None:
            self.core.event(107)
            return
        self.core.event(106, why=why)
        if self.core.consensus is not None:
            self.run(self.core.consensus.disk_failed(now), now)

    def on_encoded(self, index: int, encoded: EncodedImage, now: float) -> None:
        """A snapshot is encoded: the log is compacted up to it, unless it is out of date."""
        core, data = self.core, encoded.data
        self.snapshotting = False
        self.before_snapshot, self._due_bytes, self._free_bytes = 0, None, None
        core.image_digests.encoded(index, encoded.digest)
        if index > core.consensus.base_index and core.consensus.term_at(index) is not None:
            payload = core.consensus.compact(index, data, self.snapshot_segments)
            core.cluster_state.archive.forget_retired(before=self.snapshot_segments[0])
            core.effects.append(WriteBase(None, core.base(payload)))
            core.event(126, index=index, bytes=len(data))

    def run(self, effects: Iterable[Any], now: float) -> None:
        """Carries out what consensus decided."""
        core = self.core
        for effect in effects:
            match effect:
                case SendMessage(receiver, message):
                    address, wire = core.sessions.address(receiver), consensus_messages.encode(message)
                    core.send(address, ("raft", core.cluster, core.identity, receiver, wire))
                case SaveChange():
                    core.effects.append(effect)
                case LogEvent(number, fields):
                    core.event(number, **fields)
                case SaveBase(sequence, payload):
                    core.effects.append(WriteBase(sequence, core.base(payload)))
                case CommitEntries(first, entries):
                    self._apply(first, entries, now)
                case InstallSnapshot(index, image, segments):
                    self._install(image, segments)
                    core.image_digests.installed(index, digest_of(image), core.consensus.following)
                case BecomeLeader():
                    core.clear_leadership(now)
                    core.leadership.leader_since = now
                case StepDown():
                    self._step_down(now)
                case ReadConfirmed(token, _):
                    core.forwarded_requests.answer_read(token, now)

    def _install(self, image: Any, segments: dict[int, bytes]) -> None:
        """Takes the cluster state from a snapshot of the leader's, with segments that came beside it."""
        self.since_base, self.before_snapshot = 0, 0
        self._due_bytes = self._free_bytes = None
        archive = self.core.cluster_state.archive
        self.core.take_cluster_state(image, {**archive.retired, **archive.segments, **segments})
        for number, data in sorted(segments.items()):
            self.core.effects.append(WriteSegment(number, data))

    def _step_down(self, now: float) -> None:
        """Leads no more: all who wait are told so."""
        waiting = [one for several in self.core.proposals.awaiting.values() for one in several]
        waiting += self.core.worker_reports.ends_waiting
        self.core.forwarded_requests.step_down(waiting, now)
        self.core.clear_leadership(now)

    def _apply(self, start: int, entries: list[tuple[Any, ...]], now: float) -> None:
        """Applies committed entries, the first of which has the index `start`."""
        core, consensus = self.core, self.core.consensus
        for place, (term, time, operation) in enumerate(entries):
            index = start + place
            operation = unpacked(operation)
            outcome = core.cluster_state.apply(index, time, operation)
            core.counts["applied"] += 1
            # of what older leaders proposed only the outcome counts: nobody waits for it here
            if consensus.role == "leader" and consensus.commit >= index and term == consensus.term:
                core.applied_entries.react(operation, outcome, now)
                for waiting in core.proposals.awaiting.pop(index, ()):
                    self._tell(waiting, outcome, now)
            self.since_base += consensus.log.size_of(index)
            if not self.snapshotting and self._snapshot_due(index):
                self._begin_snapshot()
        self._write_sealed()

    def _write_sealed(self) -> None:
        """Has the segments written that were sealed just now."""
        state = self.core.cluster_state
        for number, data in state.sealed:
            self.core.effects.append(WriteSegment(number, data))
        state.sealed.clear()

    def _begin_snapshot(self) -> None:
        """Has an image of the cluster state encoded, once the segments that it names are being written."""
        self._write_sealed()
        state = self.core.cluster_state
        self.snapshotting = True
        self.since_base, self.before_snapshot = 0, self.before_snapshot + self.since_base
        self._due_bytes = self._free_bytes = None
        self.snapshot_segments = state.archive.range()
        self.core.effects.append(EncodeSnapshot(state.index, state.image()))

    def _snapshot_due(self, index: int) -> bool:
        """Whether a snapshot is to be made at `index`, the entry applied last: at each multiple of
        SNAPSHOT_ENTRIES, which members share, or once so many bytes were applied since the last base.
        """
        if index % constants.SNAPSHOT_ENTRIES == 0:
            return True
        overdue = constants.SNAPSHOT_OVERDUE * constants.SNAPSHOT_ENTRIES
        if index - self.core.consensus.base_index >= overdue:
            return True
        if self._due_bytes is None:
            self._due_bytes = self._bytes_between_snapshots()
        return self.since_base >= self._due_bytes

    def _bytes_between_snapshots(self) -> int:
        """Bytes of entries that make a snapshot due. A large image is made more rarely, so that writing it
        costs no more than the entries did; near the bound of images more often, so that it is known how
        much of it is free.
        """
        limits, size = self.core.limits, self._base_size()
        if size > limits.image // 2:
            return limits.image // constants.IMAGE_STEP
        return min(max(limits.since_base, size), limits.log // 2)

    def _base_size(self) -> int:
        """Bytes of the newest image."""
        return len(self.core.consensus.base_image or b"")

    def is_full(self) -> bool:
        """Whether an image would have as many bytes by now as it may have."""
        if self._free_bytes is None:
            self._free_bytes = self.core.limits.image - self._base_size() - self.before_snapshot
        return self.since_base >= self._free_bytes

    def image_size(self) -> int:
        """About how many bytes an image would have now: those of the newest one and of the entries applied
        since, most of which it would hold.
        """
        return self._base_size() + self.before_snapshot + self.since_base

    def _tell(self, waiting: OutcomeListener, outcome: tuple[Any, ...], now: float) -> None:
        """Tells one who waits the outcome."""
        answer = OUTCOME_ANSWERS[waiting.shape](self.core, outcome, waiting.extra, now)
        self.core.forwarded_requests.answer(waiting.address, waiting.token, answer)
