"""Counts that follow from the live pushed jobs: what waits, and what waits for what."""

from collections.abc import Iterator

from ..model.pushed_job import PushedJob
from ..model.task import FINAL


class JobProgress:
    """How far the live pushed jobs are.

    Invariants: waiting_counts[queue] counts the waiting tasks of a queue but those of
    unplaceable jobs, which unplaceable[queue] counts; live_counts[queue] counts its live jobs;
    the maps by job have an entry for each live job and no other.
    """

    __slots__ = (
        "live_counts",
        "successors",
        "unfinished_counts",
        "unfinished_predecessors",
        "unplaceable",
        "waiting_counts",
    )

    def __init__(self) -> None:
        self.waiting_counts: dict[str, int] = {}
        self.unplaceable: dict[str, int] = {}
        self.live_counts: dict[str, int] = {}
        self.unfinished_predecessors: dict[str, dict[str, int]] = {}  # job -> {task: how many not done}
        self.successors: dict[str, dict[str, list[str]]] = {}  # job -> {task: tasks that wait for it}
        self.unfinished_counts: dict[str, int] = {}  # job -> tasks not final

    def add(self, job: PushedJob) -> None:
        """A job is live from now on."""
        self.live_counts[job.queue] = self.live_counts.get(job.queue, 0) + 1
        successors: dict[str, list[str]] = {}
        unfinished_predecessors, unfinished = {}, 0
        for name, task in job.tasks.items():
            standing = job.standings[name]
            unfinished_predecessors[name] = sum(job.standings[one].state != "done" for one in task.after)
            for one in task.after:
                successors.setdefault(one, []).append(name)
            unfinished += standing.state not in FINAL
            if standing.state == "waiting":
                self.count_waiting(job, 1)
        self.successors[job.identity] = successors
        self.unfinished_predecessors[job.identity] = unfinished_predecessors
        self.unfinished_counts[job.identity] = unfinished

    def count_waiting(self, job: PushedJob, step: int) -> None:
        """Counts a waiting task of a job in (1) or out (-1)."""
        counted = self.unplaceable if job.unplaceable else self.waiting_counts
        counted[job.queue] = counted.get(job.queue, 0) + step

    def task_done(self, identity: str, name: str) -> Iterator[str]:
        """A task has ended well; gives the tasks for which it was the last predecessor, each as
        soon as it is counted.
        """
        unfinished_predecessors = self.unfinished_predecessors[identity]
        for other in self.successors[identity].get(name, ()):
            unfinished_predecessors[other] -= 1
            if not unfinished_predecessors[other]:
                yield other

    def remove(self, job: PushedJob) -> None:
        """A job is final."""
        self.live_counts[job.queue] -= 1
        del self.unfinished_counts[job.identity]
        del self.unfinished_predecessors[job.identity]
        del self.successors[job.identity]
