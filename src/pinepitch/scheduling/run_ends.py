"""Collects the ends of runs, reported by workers or proven otherwise, and proposes them."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .daemon_interface import Daemon
from .leased_job import TaskBatch
from .placement import RunEndItem, RunKey, WorkerRun, parse_reference
from .run_speed import RunTimeEstimator
from .worker import Worker


class RunEnd(NamedTuple):
    """One proven end of a run."""

    worker_id: str
    reference: str  # of the task
    run: int
    how: str  # RUN_DONE, RUN_FAILED, ... or another text that the worker reported
    saved: str  # the progress that the run saved, "" for none
    reported: bool  # whether the worker reported the end itself, so that it can't arrive again

    def plain(self) -> RunEndItem:
        """The same fields as a plain tuple, for the reasons given at RunStop.plain."""
        return (self.worker_id, self.reference, self.run, self.how, self.saved, self.reported)


class RunEndCollector:
    """Collects ends of runs, proposes all that are collected in one entry, and tracks which are proposed.

    Invariants: at most one end of a run is collected or proposed at a time. The number under which a worker
    reported an end is pending until that end is committed, and blocked while another end of the same run is
    proposed.
    """

    def __init__(self, core: Daemon, estimator: RunTimeEstimator) -> None:
        self.core, self.estimator = core, estimator
        self.collected: list[RunEnd] = []  # not proposed yet
        self.collected_numbers: list[tuple[str, int]] = []  # (worker, number) of the collected, reported ends
        # (worker, reference, run) of ends that are collected, or proposed and not yet applied
        self.proposed: set[WorkerRun] = set()
        # index of a "job-ended" entry -> [(worker, number)]
        self.proposed_numbers: dict[int, list[tuple[str, int]]] = {}

    def receive(self, worker: Worker, ended: Iterable[tuple[int, str, int, str, str]]) -> None:
        """Receives the ends that a worker's heartbeat lists."""
        placements = self.core.cluster_state.leased_jobs.placements.get(worker.identity, {})
        blocked, worker.blocked_ends = worker.blocked_ends, set()
        for number, reference, run, how, saved in ended:
            if number in worker.pending_ends or (number <= worker.last_end_number and number not in blocked):
                continue
            worker.last_end_number = max(worker.last_end_number, number)
            if (worker.identity, reference, run) in self.proposed:
                worker.blocked_ends.add(number)  # the end that is proposed may leave the run open
                continue
            if (reference, run) in placements or self._is_open(reference, run):
                self.propose(worker.identity, reference, run, how, saved, True)
                self.estimator.record_end(
                    worker, self._batch(reference), reference, run, how, worker.heard_at
                )
                worker.pending_ends.add(number)
                self.collected_numbers.append((worker.identity, number))

    def propose(self, worker_id: str, reference: str, run: int, how: str, saved: str, reported: bool) -> None:
        """Collects an end to be proposed by the next flush, unless an end of the same run is collected or
        proposed already. `reported`: whether the worker reported the end itself.
        """
        key = (worker_id, reference, run)
        if key not in self.proposed:
            self.proposed.add(key)
            self.collected.append(RunEnd(worker_id, reference, run, how, saved, reported))

    def all_proposed(self, worker_id: str, keys: Iterable[RunKey]) -> bool:
        """Whether an end is collected or proposed for each (reference, run) on a worker."""
        return all((worker_id, *key) in self.proposed for key in keys)

    def flush(self, now: float) -> None:
        """Proposes the collected ends in one entry."""
        if not self.collected:
            return
        ends, numbers = tuple(end.plain() for end in self.collected), self.collected_numbers
        self.collected, self.collected_numbers = [], []
        index = self.core.propose_at(("job-ended", ends), now)
        if index is not None:
            self.proposed_numbers[index] = numbers

    def applied(self, index: int, items: Sequence[RunEndItem], workers: dict[str, Worker]) -> None:
        """Handles an applied "job-ended" entry."""
        for worker_id, reference, run, *_ in items:
            self.proposed.discard((worker_id, reference, run))
        for worker_id, number in self.proposed_numbers.pop(index, ()):
            if worker_id in workers:
                workers[worker_id].pending_ends.discard(number)

    def _batch(self, reference: str) -> TaskBatch | None:
        """The batch of a task, or None if its job is final or unknown."""
        parsed = parse_reference(reference)
        if parsed is None:
            return None
        job = self.core.cluster_state.leased_jobs.jobs.get(parsed[0])
        return job.batches.get(parsed[1:3]) if job is not None else None

    def _is_open(self, reference: str, run: int) -> bool:
        """Whether a run was released without its end being reported."""
        batch, parsed = self._batch(reference), parse_reference(reference)
        if batch is None or parsed is None:
            return False
        index = parsed[3]
        return index < len(batch.tasks) and run in batch.tasks[index].unreported_runs
