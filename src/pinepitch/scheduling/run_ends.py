"""Ends of runs on their way to being agreed on: reported by workers, or proven otherwise."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .daemon_interface import Daemon
from .leased_job import Wave
from .placement import RunEndItem, RunKey, WorkerRun, parsed
from .run_speed import Pace
from .worker import Worker


class RunEnd(NamedTuple):
    """One proven end of a run."""

    worker_id: str
    reference: str  # of the task
    run: int
    how: str  # RUN_DONE, RUN_FAILED, ... or another word of the worker's
    saved: str  # what the run saved of its progress, "" for nothing
    heard: bool  # whether the worker told it itself, so that it can't come again

    def plain(self) -> RunEndItem:
        """The same as a plain tuple, as RunStop.plain and for the same reason."""
        return (self.worker_id, self.reference, self.run, self.how, self.saved, self.heard)


class EndIntake:
    """Gathers ends, proposes those of a while as one entry, and knows which are under way.

    Invariants: of one run at most one end is under way; a number that a worker gave an end is pending
    until that end is agreed on, and blocked while another end of the same run is.
    """

    def __init__(self, core: Daemon, pace: Pace) -> None:
        self.core, self.pace = core, pace
        self.gathered: list[RunEnd] = []  # to be proposed
        self.numbers: list[tuple[str, int]] = []  # (worker, number) of those that their workers reported
        # (worker, reference, run) gathered, or proposed and not yet applied
        self.proposed: set[WorkerRun] = set()
        # index of an entry of ends -> [(worker, number)]
        self.proposed_numbers: dict[int, list[tuple[str, int]]] = {}

    def take(self, worker: Worker, ended: Iterable[tuple[int, str, int, str, str]]) -> None:
        """Takes what a worker's heartbeat lists as ended."""
        placements = self.core.cluster_state.leased_jobs.placements.get(worker.identity, {})
        blocked, worker.blocked = worker.blocked, set()
        for number, reference, run, how, saved in ended:
            if number in worker.pending or (number <= worker.seen and number not in blocked):
                continue
            worker.seen = max(worker.seen, number)
            if (worker.identity, reference, run) in self.proposed:
                worker.blocked.add(number)  # what is agreed on now may leave the run's end open
                continue
            if (reference, run) in placements or self._is_open(reference, run):
                self.propose(worker.identity, reference, run, how, saved, True)
                self.pace.end(worker, self._wave(reference), reference, run, how, worker.heard_at)
                worker.pending.add(number)
                self.numbers.append((worker.identity, number))

    def propose(self, worker_id: str, reference: str, run: int, how: str, saved: str, heard: bool) -> None:
        """Gathers one end, unless one of the same run is under way. `heard`: its worker told it itself."""
        key = (worker_id, reference, run)
        if key not in self.proposed:
            self.proposed.add(key)
            self.gathered.append(RunEnd(worker_id, reference, run, how, saved, heard))

    def all_proposed(self, worker_id: str, keys: Iterable[RunKey]) -> bool:
        """Whether an end is under way of each (reference, run) at a worker."""
        return all((worker_id, *key) in self.proposed for key in keys)

    def flush(self, now: float) -> None:
        """Proposes what was gathered."""
        if not self.gathered:
            return
        ends, numbers = tuple(one.plain() for one in self.gathered), self.numbers
        self.gathered, self.numbers = [], []
        index = self.core.propose_at(("job-ended", ends), now)
        if index is not None:
            self.proposed_numbers[index] = numbers

    def applied(self, index: int, items: Sequence[RunEndItem], workers: dict[str, Worker]) -> None:
        """An entry of ends was applied."""
        for worker_id, reference, run, *_ in items:
            self.proposed.discard((worker_id, reference, run))
        for worker_id, number in self.proposed_numbers.pop(index, ()):
            if worker_id in workers:
                workers[worker_id].pending.discard(number)

    def _wave(self, reference: str) -> Wave | None:
        """The wave of a task, or None when its job is over or unknown."""
        found = parsed(reference)
        if found is None:
            return None
        job = self.core.cluster_state.leased_jobs.jobs.get(found[0])
        return job.waves.get(found[1:3]) if job is not None else None

    def _is_open(self, reference: str, run: int) -> bool:
        """Whether a run was let go without its end being heard."""
        wave, found = self._wave(reference), parsed(reference)
        if wave is None or found is None:
            return False
        index = found[3]
        return index < len(wave.tasks) and run in wave.tasks[index].open_runs
