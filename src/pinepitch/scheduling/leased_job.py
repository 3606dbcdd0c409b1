"""A leased job: steps of identical tasks, run once or at given times."""

import itertools
from collections.abc import Iterable, Iterator
from typing import NamedTuple, Self

from ..model.reliability import WorkKey
from .job_document import PlainJob, Step, digest_of, job_cost
from .plain_types import Image

# The key of a batch of tasks: (identity of the job, index of the time, number of the step).
TaskBatchKey = tuple[str, int, int]
# The settings that a job takes from its route: (service, attempts, priority, latency target in ms, stretch).
RouteSettings = tuple[str, int, int, float, float]


# The states of a task, as they are stored and shown to operators.
WAITING = "waiting"
PLACED = "placed"
DONE = "done"


NO_RUNS: frozenset[int] = frozenset()  # shared, as nearly all such sets are empty


def _set_of_runs(runs: Iterable[int]) -> frozenset[int]:
    """A set of numbers of runs."""
    return frozenset(runs) or NO_RUNS


class Task:
    """One task of a batch.

    Invariants: `state` is WAITING, PLACED or DONE. `run` is the highest run number that the task was ever
    given. `unreported_runs` contains the runs that were given up before their worker reported an end: if the
    report comes later, it still counts, once.
    """

    __slots__ = ("failures", "run", "saved", "state", "unreported_runs", "worker_id")

    def __init__(
        self,
        state: str = WAITING,
        run: int = 0,
        failures: int = 0,
        saved: str = "",
        worker_id: str = "",
        unreported_runs: Iterable[int] = (),
    ) -> None:
        self.state, self.run, self.failures, self.saved = state, run, failures, saved
        self.worker_id, self.unreported_runs = worker_id, _set_of_runs(unreported_runs)

    def image(self) -> Image:
        """The fields as plain values, for a snapshot. Task(*image) rebuilds the task."""
        return (
            self.state,
            self.run,
            self.failures,
            self.saved,
            self.worker_id,
            tuple(sorted(self.unreported_runs)),
        )


NEW_TASK_IMAGE = Task().image()


class TaskBatch:
    """A batch of tasks: the tasks of one step of one repetition of a job. They become ready together, once
    the steps that this step comes after are done in the same repetition and the time of the repetition has
    come.

    Invariants: `begun` is whether a task of it may have been placed; if not, all are as they were at first.
    `open_predecessors` is the number of earlier steps that it waits for and that are not done.
    `open_tasks` is the number of its tasks that are not done. `waiting` contains the indices of its waiting
    tasks. The tasks of a gang are either all waiting or all placed, or the gang is partly placed because some
    of its runs have ended; then the other runs are stopped until all tasks are waiting again.
    """

    __slots__ = (
        "begun",
        "due",
        "failed_runs",
        "job",
        "number",
        "open_predecessors",
        "open_tasks",
        "step",
        "tasks",
        "time",
        "waiting",
        "waiting_since",
    )

    def __init__(self, job: "LeasedJob", time: int, number: int, due: float) -> None:
        self.job, self.time, self.number, self.due = job, time, number, due
        self.step = job.steps[number]
        self.begun = False
        self.tasks = [Task() for _ in range(self.step.count)]
        self.waiting = set(range(self.step.count))
        self.open_tasks = self.step.count
        self.open_predecessors = sum(not job.is_done(time, earlier) for earlier in self.step.after)
        self.failed_runs = NO_RUNS  # only for a gang: the runs that count as failed
        # Time of the cluster state, seconds: since when its waiting tasks could have started, as far as
        # known.
        self.waiting_since = max(due, job.accepted)

    @property
    def failures(self) -> int:
        """The number of failed runs of a gang; 0 for other batches, which count failures for each task."""
        return len(self.failed_runs)

    def key(self) -> TaskBatchKey:
        """The key of this batch, unique in the cluster state."""
        return (self.job.identity, self.time, self.number)

    def work(self) -> WorkKey:
        """What its tasks have in common with those of the same step at other times."""
        return (self.job.identity, self.number)

    def reference(self, index: int) -> str:
        """The reference of one of its tasks, as it is sent to workers and shown to operators."""
        return f"{self.job.identity}.{self.time}.{self.number}.{index}"

    def is_partly_placed(self) -> bool:
        """Whether this is a gang of which some but not all unfinished members are placed."""
        return bool(self.step.gang and 0 < len(self.waiting) < self.open_tasks)

    def store_saved_progress(self, task: Task, run: int, saved: str) -> None:
        """Stores the progress that a run of a task saved, in a gang for every member. It is ignored if a
        newer run may have saved more.
        """
        if not saved or task.state == DONE or run + 1 < task.run:
            return
        is_gang = self.step.gang
        if is_gang and any(member.state == PLACED and member.run > run for member in self.tasks):
            return
        for member in self.tasks if is_gang else (task,):
            member.saved = saved

    def count_failure(self, task: Task, run: int) -> bool:
        """Counts a failed run of a task. The failure of a gang's run counts once, however many members report
        it. Returns whether the attempts that the job allows are used up.
        """
        if not self.step.gang:
            task.failures += 1
            return task.failures >= self.job.attempts
        self.failed_runs |= {run}
        return self.failures >= self.job.attempts

    def image(self) -> Image:
        """The stored fields as plain values, for a snapshot. LeasedJob.from_image reads them."""
        if not self.begun:
            return ((), self.waiting_since, (NEW_TASK_IMAGE,) * self.step.count)
        return (
            tuple(sorted(self.failed_runs)),
            self.waiting_since,
            tuple(task.image() for task in self.tasks),
        )


def _chain_lengths(steps: list[Step]) -> list[int]:
    """For each step the number of steps in the longest chain of dependent steps that starts with it."""
    lengths = [1] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            lengths[earlier] = max(lengths[earlier], lengths[number] + 1)
    return lengths


def _successors(steps: list[Step]) -> list[tuple[int, ...]]:
    """For each step the numbers of the steps that come directly after it."""
    successors: list[list[int]] = [[] for _ in steps]
    for number, step in enumerate(steps):
        for earlier in step.after:
            successors[earlier].append(number)
    return [tuple(numbers) for numbers in successors]


class LeasedJob:
    """A job that was accepted and is not over.

    Invariants: if `times` is below 1, the job runs once, with time index 0. `batches` has the batches, by
    time and step, that were built: all of which anything has happened to, and those looked at by scheduling
    rounds. A batch that is not built is as it was when the job was accepted. `begun` is whether any of its
    tasks was ever placed. `open_batches` is the number of batches, built or not, that are not done, and
    `placed_tasks` the number of tasks that are placed. `chain_lengths` has for each step the number of steps
    in the longest chain that starts with it, and `successors` the steps that come directly after it.
    `next_times` has for each step without predecessors the earliest time at which it may not be built yet.
    """

    __slots__ = (
        "accepted",
        "attempts",
        "batches",
        "begun",
        "chain_lengths",
        "cost",
        "digest",
        "every_ms",
        "first_ms",
        "identity",
        "lasts",
        "latency_target_ms",
        "longest_chain",
        "next_times",
        "open_batches",
        "placed_tasks",
        "plain",
        "priority",
        "queue",
        "service",
        "spec",
        "steps",
        "stretch",
        "successors",
        "tenant",
        "times",
    )

    def __init__(
        self,
        identity: str,
        queue: str,
        route_settings: RouteSettings,
        plain: PlainJob,
        accepted: float,
        tenant: str = "",
    ) -> None:
        self.identity, self.queue, self.accepted = identity, queue, accepted
        self.tenant = tenant  # the name of its tenant, "" for a job without one
        self.service, self.attempts, self.priority, self.latency_target_ms, self.stretch = route_settings
        self.plain = plain
        self.spec, steps, self.first_ms, self.every_ms, self.times = plain
        self.steps = [Step(step) for step in steps]
        self.chain_lengths = _chain_lengths(self.steps)
        self.lasts = any(step.lasts for step in self.steps)  # whether some of its tasks do not end
        self.longest_chain = max(self.chain_lengths)
        self.successors = _successors(self.steps)
        self.begun = False
        self.batches: dict[tuple[int, int], TaskBatch] = {}
        self.next_times = {number: 0 for number, step in enumerate(self.steps) if not step.after}
        self.open_batches = self.repetitions * len(self.steps)
        self.placed_tasks = 0
        self.digest = digest_of(plain)
        self.cost = job_cost(plain)  # bytes

    @property
    def repetitions(self) -> int:
        """How often its steps run."""
        return max(1, self.times)

    def due(self, time: int) -> float:
        """When the steps of a time may start, by the time of the cluster state, seconds."""
        return (self.first_ms + time * self.every_ms) / 1000 if self.times else 0.0

    def batch(self, time: int, number: int) -> TaskBatch | None:
        """The batch of a step at a time, built if need be; None if the job has none."""
        built = self.batches.get((time, number))
        if built is None and self._has(time, number):
            built = self.batches[(time, number)] = self.new_batch(time, number)
        return built

    def new_batch(self, time: int, number: int) -> TaskBatch:
        """A batch as it is before anything happens to it; the job does not keep it."""
        return TaskBatch(self, time, number, self.due(time))

    def _has(self, time: int, number: int) -> bool:
        """Whether the job has such a step at such a time."""
        return 0 <= time < self.repetitions and 0 <= number < len(self.steps)

    def has_task(self, time: int, number: int, index: int) -> bool:
        """Whether the job has such a task."""
        return self._has(time, number) and 0 <= index < self.steps[number].count

    def is_done(self, time: int, number: int) -> bool:
        """Whether all tasks of a step at a time are done."""
        built = self.batches.get((time, number))
        return built is not None and not built.open_tasks

    def batch_keys(self) -> Iterator[tuple[int, int]]:
        """The (time, number) of all batches, built or not, in order."""
        return itertools.product(range(self.repetitions), range(len(self.steps)))

    def _batch_images(self) -> "BatchImages":
        """The images of all batches as they are now."""
        return BatchImages(
            {key: batch.image() for key, batch in self.batches.items()},
            tuple(step.count for step in self.steps),
            tuple(max(self.due(time), self.accepted) for time in range(self.repetitions)),
        )

    def route_settings(self) -> RouteSettings:
        """The settings of the job's route when the job was accepted."""
        return (self.service, self.attempts, self.priority, self.latency_target_ms, self.stretch)

    def image(self, expanded: bool = True) -> Image:
        """The job as plain values, for a snapshot. from_image() rebuilds the job from them. A job without a
        tenant has no field for it, so that its image is the same as in versions that do not know tenants. If
        not `expanded`, the images of its batches are a BatchImages in place of a tuple.
        """
        image: Image = (
            self.identity,
            self.queue,
            self.route_settings(),
            self.plain,
            self.accepted,
            self.begun,
            tuple(self._batch_images().images()) if expanded else self._batch_images(),
        )
        return (*image, self.tenant) if self.tenant else image

    @classmethod
    def from_image(cls, image: Image) -> Self:
        """Rebuilds the job from the values that image() returned."""
        identity, queue, route_settings, plain, accepted, begun, batches, *tenant = image
        job = cls(identity, queue, tuple(route_settings), tuple(plain), accepted, *tenant)
        job.begun = begun
        for time, number, (failed_runs, since, tasks) in batches:
            if any(map(_is_changed, tasks)) or since != max(job.due(time), accepted):
                job.batches[(time, number)] = job._stored_batch(time, number, failed_runs, since, tasks)
        job._restore_counts()
        return job

    def _stored_batch(
        self, time: int, number: int, failed_runs: Iterable[int], since: float, tasks: Iterable[Image]
    ) -> TaskBatch:
        """A batch built from its stored fields."""
        batch = self.new_batch(time, number)
        batch.begun, batch.waiting_since = True, since
        batch.failed_runs = _set_of_runs(failed_runs)
        batch.tasks = [Task(*task) for task in tasks]
        batch.waiting = {index for index, task in enumerate(batch.tasks) if task.state == WAITING}
        batch.open_tasks = sum(task.state != DONE for task in batch.tasks)
        return batch

    def _restore_counts(self) -> None:
        """Computes what follows from the built batches, and builds those that come after one that is done."""
        done = [batch for batch in self.batches.values() if not batch.open_tasks]
        self.open_batches -= len(done)
        for batch in done:
            for number in self.successors[batch.number]:
                self.batch(batch.time, number)
        for batch in self.batches.values():
            batch.open_predecessors = sum(
                not self.is_done(batch.time, earlier) for earlier in batch.step.after
            )
            self.placed_tasks += sum(task.state == PLACED for task in batch.tasks)


class BatchImages(NamedTuple):
    """The images of the batches of a job, built or not, in order, as they were at one time."""

    built: dict[tuple[int, int], Image]  # (time, number of the step) -> image
    counts: tuple[int, ...]  # tasks of each step
    waiting_since: tuple[float, ...]  # of batches that are not built, by time

    def images(self) -> Iterator[Image]:
        """(time, number of the step, image) of each batch."""
        new_tasks = [(NEW_TASK_IMAGE,) * count for count in self.counts]
        for time, since in enumerate(self.waiting_since):
            for number, tasks in enumerate(new_tasks):
                yield (time, number, self.built.get((time, number)) or ((), since, tasks))


def _is_changed(task: Image) -> bool:
    """Whether a stored task is not as it was when its job was accepted."""
    state, run, *_, unreported_runs = task
    return bool(state != WAITING or run or unreported_runs)
