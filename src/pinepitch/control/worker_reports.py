"""Reports of workers that take orders: what each runs, and which attempts have provably ended."""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

from ..common import constants
from ..model.push_worker import PushWorker, Report
from ..model.reliability import FailureEvidence
from .proposals import OutcomeListener

if TYPE_CHECKING:
    from .daemon import ControlDaemon


class WorkerReports:
    """Invariants: it is empty unless this daemon leads; an end is proposed once in a term until it is
    committed.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self.daemon = daemon
        self.clear()

    def clear(self) -> None:
        """Resets all state, as a term begins or ends."""
        self.push_workers: dict[str, PushWorker] = {}
        self.evidence = FailureEvidence()  # of the ends of attempts
        self.proposed_ends: set[tuple[str, int]] = set()  # (reference, attempt)
        self.gathered_ends: list[tuple[Any, ...]] = []  # (reference, attempt, how), to be proposed together
        self.end_listeners: list[OutcomeListener] = []  # sent the outcome of the gathered ends

    def take_report(self, report: Report, now: float) -> tuple[list[Any], list[Any], list[Any]]:
        """Processes a worker's report. Returns (ends to commit, ends already recorded, strays: runs that are
        not wanted).
        """
        newest = self._store_if_newest(report, now)
        ends, acknowledged = [], []
        for ref, attempt, how in report.ended:
            if self._placed_standing(ref, attempt) is not None:
                ends.append((ref, attempt, how))
            else:
                acknowledged.append((ref, attempt))
        if newest:
            listed = {(ref, attempt) for ref, attempt in report.running}
            listed.update((ref, attempt) for ref, attempt, _ in report.ended)
            ends.extend(self._ends_by_absence(report, listed))
        strays = []
        for ref, attempt in report.running:
            standing = self._placed_standing(ref, attempt)
            if standing is None or standing.yields_to:
                strays.append((ref, attempt))
        return ends, acknowledged, strays

    def _placed_standing(self, ref: str, attempt: int) -> Any:
        """The standing of a task if this attempt of it is placed, else None."""
        task_record = self.daemon.cluster_state.find(ref)
        if task_record is None or task_record[2].state != "placed" or task_record[2].attempt != attempt:
            return None
        return task_record[2]

    def _store_if_newest(self, report: Report, now: float) -> bool:
        """Stores a report if it is its worker's newest; returns whether it is."""
        known = self.push_workers.get(report.worker)
        newest = True
        if known is None:
            known = PushWorker(report, now, self.evidence.of(report.worker))
            self.push_workers[report.worker] = known
        elif report.incarnation == known.report.incarnation:
            newest = report.counter > known.report.counter
        elif report.address != known.report.address and not known.unresponsive(now):
            newest = False  # another machine uses a name that is taken
            self.daemon.event(158, minion=report.worker, address=report.address, known=known.report.address)
        else:
            newest = report.latest_cluster_time >= known.report.latest_cluster_time or known.unresponsive(now)
            if newest:
                self.evidence.forget(report.worker)
                known.reliability = self.evidence.of(report.worker)
        if newest:
            known.report, known.heard_at = report, now
        return newest

    def _ends_by_absence(self, report: Report, listed: set[tuple[str, int]]) -> Iterator[tuple[Any, ...]]:
        """Ends that are proven by absence. A report begun after send-by and a margin lists all that runs, so
        a placed attempt that it lacks has ended or never begun. A new incarnation at another address may be
        another machine, so it proves nothing about what the earlier one of that name runs.
        """
        for ref in sorted(self.daemon.cluster_state.reserved.get(report.worker, {})):
            standing = self.daemon.cluster_state.find_known(ref)[2]
            if (ref, standing.attempt) in listed:
                continue
            if report.latest_cluster_time >= standing.send_by + constants.SEND_MARGIN:
                same = standing.incarnation == report.incarnation
                if not same and standing.address != report.address:
                    continue
                yield (ref, standing.attempt, "never" if same else "lost")

    def gather_ends(
        self, items: Iterable[tuple[Any, ...]], listener: OutcomeListener | None, now: float
    ) -> list[tuple[Any, ...]]:
        """Gathers proven ends; those of one tick become one entry and thus one sync. Returns the ends that
        are new.
        """
        fresh = [item for item in items if item[:2] not in self.proposed_ends]
        self.proposed_ends.update(item[:2] for item in fresh)
        self.gathered_ends.extend(fresh)
        if listener is not None and fresh:
            self.end_listeners.append(listener)
        return fresh

    def propose_gathered_ends(self, now: float) -> None:
        """Proposes one entry for all gathered ends; its outcome is sent to all who wait for it."""
        if self.gathered_ends:
            ends, listener = tuple(self.gathered_ends), self.end_listeners
            self.gathered_ends, self.end_listeners = [], []
            self.daemon.proposals.listeners.setdefault(self.daemon.consensus.last_index() + 1, []).extend(
                listener
            )
            self.daemon.proposals.propose(("ended", ends), None, now)
