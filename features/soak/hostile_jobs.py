"""Random jobs up to every limit that validation allows, none of which any worker can run now."""

import time

from pinepitch.common import constants
from pinepitch.simulation.jobs import limits

HOUR_MS = 3_600_000
KINDS = ("no such label", "too large", "not due", "gang too wide")
PAST_MS = 1000 * 60_000  # so long ago the first time of a job that is due was


def document_of(draw):
    """A document of a job that nobody can run now, in the product's form."""
    kind = draw.choice(KINDS)
    count = draw.choice((1, 1, 2, 84, 1000))
    steps = [
        _step(draw, kind, number, count) for number in range(draw.choice((1, 2, 10, constants.MAX_STEPS)))
    ]
    while _tasks(steps) > constants.MAX_JOB_TASKS:
        steps.pop()
    times = min(draw.choice((1, 6, 150, constants.MAX_TIMES)), constants.MAX_JOB_TASKS // _tasks(steps))
    now_ms = int(time.time() * 1000)
    return {
        "spec": "x" * draw.choice((0, 10, constants.MAX_SPEC_LENGTH)),
        "steps": steps,
        "first_ms": now_ms + HOUR_MS if kind == "not due" else now_ms - PAST_MS,
        "every_ms": draw.choice((0, 1000, 60_000)),
        "times": times,
    }


def _tasks(steps):
    return sum(step["count"] for step in steps)


def _step(draw, kind, number, count):
    step = {"count": count, "cpu": 1, "mem_mb": 1, "est_ms": draw.choice((0, 400, 300_000)), "needs": []}
    if kind == "no such label":
        step["needs"] = ["no-worker-has-this"]
    elif kind == "too large":
        step["cpu"] = limits.CAPACITY[0] + 1
    elif kind == "gang too wide":
        step.update(gang=True, cpu=limits.CAPACITY[0], count=min(count, 60) + limits.TENANTS)
    if draw.random() < 0.3:
        step["after"] = sorted(draw.sample(range(number), min(number, draw.randint(0, number))))
    if draw.random() < 0.2:
        step["near"] = "r1-0"
    if draw.random() < 0.2 and not step.get("gang"):
        step["apart"] = 1
    return step
