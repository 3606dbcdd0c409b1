"""The document of a leased job: its validation, its plain form, its steps, and what it costs."""

import hashlib
import json
from typing import Any

import voluptuous

from ..common import constants
from ..model.validation import ListOf, shaped
from ..model.validation import number as _number
from ..model.validation import whole_number as _whole_number
from .plain_types import Faults, Image
from .resources import Amount

# A submitted job, validated and made of plain values: (spec, steps, first_ms, every_ms, times).
PlainJob = tuple[Any, ...]


def _text_up_to(max_length: int) -> voluptuous.All:
    return voluptuous.All(str, voluptuous.Length(max=max_length))


STEP_SCHEMA = {
    voluptuous.Required("count", default=1): _whole_number(1, constants.MAX_STEP_TASKS),
    voluptuous.Optional("cpu", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("mem_mb", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("gpu", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("est_ms", default=0): _number(0, constants.MAX_NUMBER),
    voluptuous.Optional("after", default=list): ListOf(
        _whole_number(0, constants.MAX_STEPS), constants.MAX_STEPS
    ),
    voluptuous.Optional("gang", default=False): bool,
    voluptuous.Optional("tight", default=False): bool,
    voluptuous.Optional("needs", default=None): voluptuous.Any(None, str, [str]),
    voluptuous.Optional("near", default=""): _text_up_to(constants.MAX_NAME_LENGTH),
    voluptuous.Optional("apart", default=0): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("saves", default=False): bool,
    voluptuous.Optional("twice", default=False): bool,
    voluptuous.Optional("lasts", default=False): bool,
    voluptuous.Extra: object,
}
JOB_SCHEMA = voluptuous.Schema(
    {
        voluptuous.Optional("spec", default=""): _text_up_to(constants.MAX_SPEC_LENGTH),
        voluptuous.Required("steps"): voluptuous.All(
            ListOf(STEP_SCHEMA, constants.MAX_STEPS), voluptuous.Length(min=1)
        ),
        voluptuous.Optional("first_ms", default=0): _number(0, constants.MAX_NUMBER),
        voluptuous.Optional("every_ms", default=0): _number(0, constants.MAX_NUMBER),
        voluptuous.Optional("times", default=0): _whole_number(0, constants.MAX_TIMES),
        voluptuous.Optional("lasts", default=False): bool,
        voluptuous.Extra: object,
    }
)
# The fields of a plain step, in the order of STEP_SCHEMA.
STEP_FIELDS = tuple(str(key) for key in STEP_SCHEMA if key is not voluptuous.Extra)


def checked(document: object) -> tuple[PlainJob | None, Faults]:
    """Validates a submitted job: (the job as plain values, ()) or (None, faults). In the plain form, each
    step is a tuple in the order of STEP_FIELDS.
    """
    job, faults = shaped(JOB_SCHEMA, document)
    if faults:
        return None, faults
    steps = []
    for number, step in enumerate(job["steps"]):
        if any(earlier >= number for earlier in step["after"]):
            return None, ((f"steps.{number}.after", "names no earlier step"),)
        needs = step["needs"] or ()
        step["needs"] = (needs,) if isinstance(needs, str) else tuple(sorted(needs))
        step["after"] = tuple(sorted(set(step["after"])))
        step["lasts"] = step["lasts"] or job["lasts"]
        steps.append(tuple(step[field] for field in STEP_FIELDS))
    total = sum(step[0] for step in steps) * max(1, job["times"])
    if total > constants.MAX_JOB_TASKS:
        return None, (("steps", f"{total} tasks, over the {constants.MAX_JOB_TASKS} of one job"),)
    return (job["spec"], tuple(steps), job["first_ms"], job["every_ms"], job["times"]), ()


def digest_of(plain: PlainJob) -> str:
    """A digest that distinguishes two jobs with the same name: 16 hexadecimal digits."""
    return hashlib.sha256(json.dumps(plain).encode()).hexdigest()[:16]


class Step:
    """One step of a job. Invariant: `after` contains only numbers of earlier steps."""

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

    count: int  # number of tasks that run at each of the job's times
    resources: Amount  # of one task
    est_ms: float  # the caller's estimate of how long one task takes on an average worker, milliseconds
    after: tuple[int, ...]  # numbers of the steps that must be done before this one starts
    gang: bool  # all of its tasks start, run and end together
    tight: bool  # a gang whose tasks should all run in one rack
    needs: tuple[str, ...]  # labels that a worker must have
    near: str  # label of the workers near its data, "" if the step is near none
    apart: int  # maximum number of its tasks on one worker, 0 for no limit
    saves: bool  # its tasks save their progress, so that another run continues from there
    twice: bool  # running a task twice at the same time does no harm
    lasts: bool  # its tasks run until they are stopped (a feed)

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


def job_cost(plain: PlainJob) -> int:
    """The most bytes of a daemon's memory that a job may take: with all its batches built and begun, or while
    a stored image of it is decoded. Every replica computes the same, so that their accounts are equal.
    """
    spec, plain_steps, _, _, times = plain
    steps = [Step(step) for step in plain_steps]
    batches = constants.TASK_BATCH_BYTES * len(steps)
    tasks = constants.TASK_BYTES * sum(step.count for step in steps)
    once = constants.JOB_BYTES + _text_cost(spec) + sum(map(_step_cost, steps))
    return once + (batches + tasks) * max(1, times)


def _step_cost(step: Step) -> int:
    """The bytes of a step, apart from its batches."""
    texts = _text_cost(step.near) + sum(map(_text_cost, step.needs))
    return constants.STEP_BYTES + texts + constants.DEPENDENCY_BYTES * len(step.after)


def _text_cost(text: str) -> int:
    """The bytes of a text, of which a decoded image has a copy."""
    return constants.TEXT_BYTES + 2 * len(text.encode())
