"""Steps for Same histories: digests of recorded histories beside those that are kept of them."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
from unittest import mock

from behave import then, when

from pinepitch.common import constants
from pinepitch.common.effects import Reply
from pinepitch.simulation import simulator as simulators

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))
try:
    from features import same_histories
finally:
    sys.path.remove(str(ROOT))


@when("all histories of {simulator} are recorded")
def step_record(context, simulator):
    context.simulator, context.found, context.events = simulator, {}, set()
    for label in same_histories.labels(simulator):
        history = same_histories.recorded(label)
        context.found[label] = history.digests()
        context.events |= history.event_numbers


@then("there are {least:d} or more and each has the digests that are kept of it")
def step_same(context, least):
    kept = {
        label: digests
        for label, digests in same_histories.expected().items()
        if label.split("/")[0] == context.simulator
    }
    assert len(context.found) >= least, len(context.found)
    differing = same_histories.differences(context.found, kept)
    assert not differing, "\n".join(differing)


@then("the events told in them include {numbers}")
def step_events(context, numbers):
    missing = {int(number) for number in numbers.split()} - context.events
    assert not missing, sorted(missing)


@when("one history of each simulator is recorded in two processes that hash otherwise")
def step_processes(context):
    first = [same_histories.labels(simulator)[1] for simulator in same_histories.SIMULATORS]
    context.labels, context.told = first, []
    for hashing in ("1", "2"):
        command = [sys.executable, "-m", "features.same_histories", "--tell", *first]
        process = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path), "PYTHONHASHSEED": hashing},
        )
        context.told.append(json.loads(process.stdout))


@then("both tell the digests that are kept")
def step_told(context):
    kept = same_histories.expected()
    for told in context.told:
        differing = same_histories.differences(told, {label: kept[label] for label in context.labels})
        assert not differing, "\n".join(differing)


def _one_bit_changed():
    """One bit of the first job that any disk keeps is another."""
    keep, done = simulators.Disk.keep, []

    def changed(disk, job):
        kind, content = job
        if not done:
            done.append(job)
            # the last byte belongs to an identity, so that the disk can still be read
            content = content[:-1] + bytes([content[-1] ^ 1])
        keep(disk, (kind, content))

    return mock.patch.object(simulators.Disk, "keep", changed)


def _one_more_status():
    """The first answer has another status code of the same kind."""
    reply, done = simulators.EFFECTS[Reply], []

    def changed(simulator, node, request, status, *rest):
        if status == 200 and not done:
            done.append(status)
            status = 201
        reply(simulator, node, request, status, *rest)

    return mock.patch.dict(simulators.EFFECTS, {Reply: changed})


def _one_more_blank():
    """The first document that is sent contains one more blank."""
    dumps, done = json.dumps, []

    def changed(document, **how):
        text = dumps(document, **how)
        if not done and text != "null":
            done.append(text)
            text += " "
        return text

    return mock.patch.object(json, "dumps", changed)


# change -> what puts it in place for a while
CHANGES = {
    "a longer heartbeat": lambda: mock.patch.object(constants, "HEARTBEAT", constants.HEARTBEAT * 1.5),
    "another version of the wire": lambda: mock.patch.object(
        constants, "WIRE_VERSION", constants.WIRE_VERSION + 1
    ),
    "one bit of what is kept changed": _one_bit_changed,
    "one more status code": _one_more_status,
    "one more blank in a document": _one_more_blank,
}


@when("the history {label} is recorded with {change}")
def step_changed(context, label, change):
    context.label = label
    with contextlib.ExitStack() as stack:
        stack.enter_context(CHANGES[change]())
        context.found = same_histories.recorded(label).digests()


@then("its digests differ in {part}")
def step_differs(context, part):
    kept = same_histories.expected()[context.label]
    assert context.found[part] != kept[part], context.found
