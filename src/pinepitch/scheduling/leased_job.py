"""A job: steps of like tasks, run once or at given times. What a caller hands in, checked."""

import hashlib
import json
from collections.abc import Iterable
from typing import Any, Self

import voluptuous

from ..common import constants
from ..model.validation import number as _number
from ..model.validation import shaped
from ..model.validation import whole_number as _whole_number
from .plain_types import Faults, Image
from .resources import Amount

# What tells waves apart: (identity of the job, time, number of the step).
WaveKey = tuple[str, int, int]
# A job as it is handed in, checked and plain: (spec, steps, first_ms, every_ms, times).
PlainJob = tuple[Any, ...]
# What a job's queue says of it: (service, attempts, priority, latency target in ms, stretch).
Terms = tuple[str, int, int, float, float]


def _short(most: int) -> voluptuous.All:
    return voluptuous.All(str, voluptuous.Length(max=most))


STEP = {
    voluptuous.Required("count", default=1): _whole_number(1, constants.MAX_STEP_TASKS),
    voluptuous.Optional("cpu", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("mem_mb", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("gpu", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("est_ms", default=0): _number(0, constants.MAX_NUMBER),
    voluptuous.Optional("after", default=list): [_whole_number(0, constants.MAX_STEPS)],
    voluptuous.Optional("gang", default=False): bool,
    voluptuous.Optional("tight", default=False): bool,
    voluptuous.Optional("needs", default=None): voluptuous.Any(None, str, [str]),
    voluptuous.Optional("near", default=""): _short(constants.MAX_NAME_LENGTH),
    voluptuous.Optional("apart", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("saves", default=False): bool,
    voluptuous.Optional("twice", default=False): bool,
    voluptuous.Optional("lasts", default=False): bool,
    voluptuous.Extra: object,
}
SHAPE = voluptuous.Schema(
    {
        voluptuous.Optional("spec", default=""): _short(constants.MAX_SPEC_LENGTH),
        voluptuous.Required("steps"): voluptuous.All(
            [STEP], voluptuous.Length(min=1, max=constants.MAX_STEPS)
        ),
        voluptuous.Optional("first_ms", default=0): _number(0, constants.MAX_NUMBER),
        voluptuous.Optional("every_ms", default=0): _number(0, constants.MAX_NUMBER),
        voluptuous.Optional("times", default=0): _whole_number(0, constants.MAX_TIMES),
        voluptuous.Optional("lasts", default=False): bool,
        voluptuous.Extra: object,
    }
)
# the order in which a plain step holds its fields: that of STEP
FIELDS = tuple(str(key) for key in STEP if key is not voluptuous.Extra)


def checked(document: object) -> tuple[PlainJob | None, Faults]:
    """(plain job, ()) or (None, faults). Plain: (spec, steps, first_ms, every_ms, times), a step
    being a tuple in the order of FIELDS.
    """
    plain, faults = shaped(SHAPE, document)
    if faults:
        return None, faults
    steps = []
    for place, step in enumerate(plain["steps"]):
        if any(one >= place for one in step["after"]):
            return None, ((f"steps.{place}.after", "names no earlier step"),)
        needs = step["needs"] or ()
        step["needs"] = (needs,) if isinstance(needs, str) else tuple(sorted(needs))
        step["after"] = tuple(sorted(set(step["after"])))
        step["lasts"] = step["lasts"] or plain["lasts"]
        steps.append(tuple(step[field] for field in FIELDS))
    total = sum(step[0] for step in steps) * max(1, plain["times"])
    if total > constants.MAX_JOB_TASKS:
        return None, (("steps", f"{total} tasks, over the {constants.MAX_JOB_TASKS} of one job"),)
    return (plain["spec"], tuple(steps), plain["first_ms"], plain["every_ms"], plain["times"]), ()


def digest_of(plain: PlainJob) -> str:
    """What tells two jobs under one name apart."""
    return hashlib.sha256(json.dumps(plain).encode()).hexdigest()[:16]


class Step:
    """One step of a job. Invariants: after names earlier steps only; a gang's tasks start, run
    and end together.
    """

    __slots__ = (
        "after",
        "apart",
        "count",
        "est_ms",
        "gang",
        "lasts",
        "near",
        "needs",
        "resources",
        "saves",
        "tight",
        "twice",
    )

    count: int  # tasks of one wave
    resources: Amount  # of one task
    est_ms: float  # what the caller expects one task to take on a usual worker, milliseconds
    after: tuple[int, ...]  # the numbers of the steps that must be done before
    gang: bool  # all of its tasks start, run and end together
    tight: bool  # a gang that wants all of its tasks in one rack
    needs: tuple[str, ...]  # labels that a worker must have
    near: str  # label of the workers near its data, "" where it has none
    apart: int  # most tasks of this step on one worker, 0 for any number
    saves: bool  # its tasks save their progress, so that another run goes on from there
    twice: bool  # a second run of a task beside the first does no harm
    lasts: bool  # its tasks have no end of their own (a feed)

    def __init__(self, image: Image) -> None:
        (
            self.count,
            cpu,
            memory,
            accelerators,
            self.est_ms,
            after,
            self.gang,
            self.tight,
            needs,
            self.near,
            self.apart,
            self.saves,
            self.twice,
            self.lasts,
        ) = image
        self.resources = (cpu, memory, accelerators)
        self.after, self.needs = tuple(after), tuple(needs)


# The state of a task, as it is stored and as operators are told it.
WAITING = "waiting"
PLACED = "placed"
DONE = "done"


class Task:
    """One task of a wave. Invariants: state is WAITING, PLACED or DONE; run is the
    highest run number ever given to it; a run in open_runs was let go without its end being
    heard, so that its end, should it come, still counts once.
    """

    __slots__ = ("failures", "open_runs", "run", "saved", "state", "worker_id")

    def __init__(
        self,
        state: str = WAITING,
        run: int = 0,
        failures: int = 0,
        saved: str = "",
        worker_id: str = "",
        open_runs: Iterable[int] = (),
    ) -> None:
        self.state, self.run, self.failures, self.saved = state, run, failures, saved
        self.worker_id, self.open_runs = worker_id, set(open_runs)

    def image(self) -> Image:
        """A value of which the same is made again."""
        return (
            self.state,
            self.run,
            self.failures,
            self.saved,
            self.worker_id,
            tuple(sorted(self.open_runs)),
        )


class Wave:
    """The tasks of one step at one of the job's times. Invariants: blocked counts the steps
    before it that are not all done; left counts its tasks not done; waiting holds the indices
    of its waiting tasks; of a gang either all wait, all are placed, or it is breaking: then
    the rest is stopped until all wait again.
    """

    __slots__ = (
        "blocked",
        "due",
        "failed_runs",
        "job",
        "left",
        "number",
        "since",
        "step",
        "tasks",
        "time",
        "waiting",
    )

    def __init__(self, job: "LeasedJob", time: int, number: int, due: float) -> None:
        self.job, self.time, self.number, self.due = job, time, number, due
        self.step = job.steps[number]
        self.tasks = [Task() for _ in range(self.step.count)]
        self.waiting = set(range(self.step.count))
        self.left = self.step.count
        self.blocked = len(self.step.after)
        self.failed_runs: set[int] = set()  # of a gang: the runs that count as failed
        self.since = due  # time of the cluster state, seconds; when it could first start, as far as known

    @property
    def failures(self) -> int:
        """Of a gang: how many of its runs have failed."""
        return len(self.failed_runs)

    def key(self) -> WaveKey:
        """What tells this wave apart from all others."""
        return (self.job.identity, self.time, self.number)

    def reference(self, index: int) -> str:
        """The reference of one of its tasks, as workers and operators are told it."""
        return f"{self.job.identity}.{self.time}.{self.number}.{index}"

    def breaking(self) -> bool:
        """Whether some but not all members of a gang are placed."""
        return bool(self.step.gang and 0 < len(self.waiting) < self.left)

    def image(self) -> Image:
        """A value of which the same is made again."""
        return (tuple(sorted(self.failed_runs)), self.since, tuple(task.image() for task in self.tasks))


class LeasedJob:
    """A job accepted and not yet final. Invariants: times below 1 mean once, under time 0;
    waves has one entry for each time and step; begun is whether any task was ever placed.
    """

    __slots__ = (
        "accepted",
        "attempts",
        "begun",
        "digest",
        "every_ms",
        "first_ms",
        "identity",
        "latency_target_ms",
        "left",
        "plain",
        "priority",
        "queue",
        "service",
        "spec",
        "steps",
        "stretch",
        "tenant",
        "times",
        "waves",
    )

    def __init__(
        self, identity: str, queue: str, terms: Terms, plain: PlainJob, accepted: float, tenant: str = ""
    ) -> None:
        self.identity, self.queue, self.accepted = identity, queue, accepted
        self.tenant = tenant  # its name, "" for a job of none
        self.service, self.attempts, self.priority, self.latency_target_ms, self.stretch = terms
        self.plain = plain
        self.spec, steps, self.first_ms, self.every_ms, self.times = plain
        self.steps = [Step(step) for step in steps]
        self.begun = False
        self.waves: dict[tuple[int, int], Wave] = {}
        for time in range(max(1, self.times)):
            due = (self.first_ms + time * self.every_ms) / 1000 if self.times else 0.0
            for number in range(len(self.steps)):
                self.waves[(time, number)] = Wave(self, time, number, due)
        self.left = len(self.waves)
        self.digest = digest_of(plain)

    def terms(self) -> Terms:
        """What the job's queue said of it when it was accepted."""
        return (self.service, self.attempts, self.priority, self.latency_target_ms, self.stretch)

    def image(self) -> Image:
        """A value of which the same is made again; a job of no tenant has none, as before there were any."""
        image: Image = (
            self.identity,
            self.queue,
            self.terms(),
            self.plain,
            self.accepted,
            self.begun,
            tuple((*key, wave.image()) for key, wave in self.waves.items()),
        )
        return (*image, self.tenant) if self.tenant else image

    @classmethod
    def from_image(cls, image: Image) -> Self:
        """The job that an image was made of."""
        identity, queue, terms, plain, accepted, begun, waves, *tenant = image
        job = cls(identity, queue, tuple(terms), tuple(plain), accepted, *tenant)
        job.begun = begun
        for time, number, (failed_runs, since, tasks) in waves:
            wave = job.waves[(time, number)]
            wave.failed_runs, wave.since = set(failed_runs), since
            wave.tasks = [Task(*task) for task in tasks]
            wave.waiting = {place for place, task in enumerate(wave.tasks) if task.state == WAITING}
            wave.left = sum(task.state != DONE for task in wave.tasks)
        job.left = sum(bool(wave.left) for wave in job.waves.values())
        for wave in job.waves.values():
            wave.blocked = sum(bool(job.waves[(wave.time, one)].left) for one in wave.step.after)
        return job
