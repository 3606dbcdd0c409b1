"""Counts derived from the live pushed jobs: their waiting tasks and the predecessors these wait for."""

from collections.abc import Iterator

from ..model.pushed_job import PushedJob
from ..model.task import FINAL


class JobProgress:
    """The progress of the live pushed jobs.

    Invariants: waiting_counts[queue] counts the waiting tasks of a queue except those of
    unplaceable jobs, which unplaceable[queue] counts; live_counts[queue] counts its live jobs.
    The maps by job have an entry for each live job and no other.
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
        self.unfinished_predecessors: dict[str, dict[str, int]] = {}  # job -> {task: number not done}
        self.successors: dict[str, dict[str, list[str]]] = {}  # job -> {task: tasks that depend on it}
        self.unfinished_counts: dict[str, int] = {}  # job -> number of tasks that are not final

    def add(self, job: PushedJob) -> None:
        """Adds a job that became live."""
        self.live_counts[job.queue] = self.live_counts.get(job.queue, 0) + 1
        successors: dict[str, list[str]] = {}
        unfinished_predecessors, unfinished = {}, 0
        for name, task in job.tasks.items():
            standing = job.standings[name]
            unfinished_predecessors[name] = sum(
                job.standings[predecessor].state != "done" for predecessor in task.after
            )
            for predecessor in task.after:
                successors.setdefault(predecessor, []).append(name)
            unfinished += standing.state not in FINAL
            if standing.state == "waiting":
                self.count_waiting(job, 1)
        self.successors[job.identity] = successors
        self.unfinished_predecessors[job.identity] = unfinished_predecessors
        self.unfinished_counts[job.identity] = unfinished

    def count_waiting(self, job: PushedJob, change: int) -> None:
        """Changes the number of waiting tasks of a job's queue by 1 or -1."""
        counts = self.unplaceable if job.unplaceable else self.waiting_counts
        counts[job.queue] = counts.get(job.queue, 0) + change

    def task_done(self, identity: str, name: str) -> Iterator[str]:
        """Counts a task as done; yields the tasks that now have no unfinished predecessor.

        Each is yielded before the next successor is counted.
        """
        unfinished_predecessors = self.unfinished_predecessors[identity]
        for successor in self.successors[identity].get(name, ()):
            unfinished_predecessors[successor] -= 1
            if not unfinished_predecessors[successor]:
                yield successor

    def remove(self, job: PushedJob) -> None:
        """Removes a job that became final."""
        self.live_counts[job.queue] -= 1
        del self.unfinished_counts[job.identity]
        del self.unfinished_predecessors[job.identity]
        del self.successors[job.identity]
