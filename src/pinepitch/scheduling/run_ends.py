"""Ends of runs on their way to being agreed on: told by workers, or proven otherwise."""

from .placement import parsed


class EndIntake:
    """Gathers ends, proposes those of a while as one entry, and knows which are under way.

    Invariants: of one run at most one end is under way; a number that a worker gave an end is pending
    until that end is agreed on, and blocked while another end of the same run is."""

    def __init__(self, core, pace):
        self.core, self.pace = core, pace
        self.gathered = []  # (minion, reference, run, how, saved, heard)
        self.numbers = []  # (minion, number) of those that their workers told
        self.proposed = set()  # (minion, reference, run) gathered, or proposed and not yet applied
        self.proposed_numbers = {}  # index of an entry of ends -> [(minion, number)]

    def take(self, worker, ended):
        """Takes what a worker's heartbeat lists as ended."""
        placements = self.core.cluster_state.leased_jobs.placements.get(worker.identity, {})
        blocked, worker.blocked = worker.blocked, set()
        for number, reference, run, how, saved in ended:
            if number in worker.pending or number <= worker.seen and number not in blocked:
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

    def propose(self, worker_id, reference, run, how, saved, heard):
        """Gathers one end, unless one of the same run is under way. `heard`: its worker told it itself."""
        key = (worker_id, reference, run)
        if key not in self.proposed:
            self.proposed.add(key)
            self.gathered.append((worker_id, reference, run, how, saved, heard))

    def all_proposed(self, worker_id, keys):
        """Whether an end is under way of each (reference, run) at a worker."""
        return all((worker_id, *key) in self.proposed for key in keys)

    def flush(self, now):
        """Proposes what was gathered."""
        if not self.gathered:
            return
        ends, numbers = tuple(self.gathered), self.numbers
        self.gathered, self.numbers = [], []
        index = self.core.propose_at(("job-ended", ends), now)
        if index is not None:
            self.proposed_numbers[index] = numbers

    def applied(self, index, items, workers):
        """An entry of ends was applied."""
        for worker_id, reference, run, *_ in items:
            self.proposed.discard((worker_id, reference, run))
        for worker_id, number in self.proposed_numbers.pop(index, ()):
            if worker_id in workers:
                workers[worker_id].pending.discard(number)

    def _wave(self, reference):
        """The wave of a task, or None when its job is over or unknown."""
        found = parsed(reference)
        job = self.core.cluster_state.leased_jobs.jobs.get(found[0]) if found else None
        return job.waves.get(found[1:3]) if job else None

    def _is_open(self, reference, run):
        """Whether a run was let go without its end being heard."""
        wave, found = self._wave(reference), parsed(reference)
        return wave is not None and found[3] < len(wave.tasks) and run in wave.tasks[found[3]].open_runs
