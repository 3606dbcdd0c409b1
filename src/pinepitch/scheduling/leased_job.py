"""A job: steps of like tasks, run once or at given times. What a caller hands in, checked."""

import hashlib
import json

import voluptuous

from ..common import constants
from ..model.validation import number as _number
from ..model.validation import shaped
from ..model.validation import whole_number as _whole_number


def _short(most):
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
FIELDS = (
    "count",
    "cpu",
    "mem_mb",
    "gpu",
    "est_ms",
    "after",
    "gang",
    "tight",
    "needs",
    "near",
    "apart",
    "saves",
    "twice",
    "lasts",
)


def checked(document):
    """(plain job, ()) or (None, faults). Plain: (spec, steps, first_ms, every_ms, times), a step
    being a tuple in the order of FIELDS."""
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


def digest_of(plain):
    """What tells two jobs under one name apart."""
    return hashlib.sha256(json.dumps(plain).encode()).hexdigest()[:16]


class Step:
    """One step of a job. Invariants: after names earlier steps only; a gang's tasks start, run
    and end together; room is (thousandths of a core, megabytes, accelerators) of one task."""

    __slots__ = (
        "count",
        "resources",
        "est_ms",
        "after",
        "gang",
        "tight",
        "needs",
        "near",
        "apart",
        "saves",
        "twice",
        "lasts",
    )

    def __init__(self, image):
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


class Task:
    """One task of a wave. Invariants: state is "waiting", "placed" or "done"; run is the
    highest run number ever given to it; a run in open_runs was let go without its end being
    heard, so that its end, should it come, still counts once."""

    __slots__ = ("state", "run", "failures", "saved", "worker_id", "open_runs")

    def __init__(self, state="waiting", run=0, failures=0, saved="", worker_id="", open_runs=()):
        self.state, self.run, self.failures, self.saved = state, run, failures, saved
        self.worker_id, self.open_runs = worker_id, set(open_runs)

    def image(self):
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
    the rest is stopped until all wait again."""

    __slots__ = (
        "job",
        "time",
        "number",
        "step",
        "due",
        "tasks",
        "waiting",
        "left",
        "blocked",
        "failed_runs",
        "since",
    )

    def __init__(self, job, time, number, due):
        self.job, self.time, self.number, self.due = job, time, number, due
        self.step = job.steps[number]
        self.tasks = [Task() for _ in range(self.step.count)]
        self.waiting = set(range(self.step.count))
        self.left = self.step.count
        self.blocked = len(self.step.after)
        self.failed_runs = set()  # of a gang: the runs that count as failed
        self.since = due  # record time, seconds; when it could first start, as far as known

    @property
    def failures(self):
        """Of a gang: how many of its runs have failed."""
        return len(self.failed_runs)

    def key(self):
        return (self.job.identity, self.time, self.number)

    def reference(self, index):
        return f"{self.job.identity}.{self.time}.{self.number}.{index}"

    def breaking(self):
        """Whether some but not all members of a gang are placed."""
        return self.step.gang and 0 < len(self.waiting) < self.left

    def image(self):
        return (tuple(sorted(self.failed_runs)), self.since, tuple(task.image() for task in self.tasks))


class LeasedJob:
    """A job accepted and not yet final. Invariants: times below 1 mean once, under time 0;
    waves has one entry for each time and step; begun is whether any task was ever placed."""

    __slots__ = (
        "identity",
        "queue",
        "service",
        "attempts",
        "priority",
        "latency_target_ms",
        "stretch",
        "spec",
        "steps",
        "first_ms",
        "every_ms",
        "times",
        "accepted",
        "begun",
        "waves",
        "left",
        "digest",
        "plain",
    )

    def __init__(self, identity, queue, terms, plain, accepted):
        self.identity, self.queue, self.accepted = identity, queue, accepted
        self.service, self.attempts, self.priority, self.latency_target_ms, self.stretch = terms
        self.plain = plain
        self.spec, steps, self.first_ms, self.every_ms, self.times = plain
        self.steps = [Step(step) for step in steps]
        self.begun = False
        self.waves = {}
        for time in range(max(1, self.times)):
            due = (self.first_ms + time * self.every_ms) / 1000 if self.times else 0.0
            for number in range(len(self.steps)):
                self.waves[(time, number)] = Wave(self, time, number, due)
        self.left = len(self.waves)
        self.digest = digest_of(plain)

    def terms(self):
        return (self.service, self.attempts, self.priority, self.latency_target_ms, self.stretch)

    def image(self):
        return (
            self.identity,
            self.queue,
            self.terms(),
            self.plain,
            self.accepted,
            self.begun,
            tuple((*key, wave.image()) for key, wave in self.waves.items()),
        )

    @classmethod
    def from_image(cls, image):
        identity, queue, terms, plain, accepted, begun, waves = image
        job = cls(identity, queue, tuple(terms), tuple(plain), accepted)
        job.begun = begun
        for time, number, (failed_runs, since, tasks) in waves:
            wave = job.waves[(time, number)]
            wave.failed_runs, wave.since = set(failed_runs), since
            wave.tasks = [Task(*task) for task in tasks]
            wave.waiting = {place for place, task in enumerate(wave.tasks) if task.state == "waiting"}
            wave.left = sum(task.state != "done" for task in wave.tasks)
        job.left = sum(bool(wave.left) for wave in job.waves.values())
        for wave in job.waves.values():
            wave.blocked = sum(bool(job.waves[(wave.time, one)].left) for one in wave.step.after)
        return job
