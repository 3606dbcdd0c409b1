"""Steps for History: setups over a long day."""

import copy
import random

import cbor2
from behave import then, when

from pinepitch.common import constants
from pinepitch.model import queue_settings as rows
from pinepitch.state.cluster_state import Record


def change(context, manner, document, kept=True):
    context.index += 1
    outcome = context.record.apply(
        context.index,
        float(context.index),
        ("setup", f"mark-{context.index}", None, manner, document, "operator", f"change {context.index}"),
    )
    if outcome[0] == "setup" and kept:
        context.was[outcome[1]] = copy.deepcopy(context.record.setup)
    return outcome


def begin(context):
    context.record, context.index = Record(), 0
    context.was = {1: copy.deepcopy(context.record.setup)}


@when("{count:d} random changes, whole and partial, are applied with a snapshot now and then")
def step_storm(context, count):
    begin(context)
    draw = random.Random("storm")
    for turn in range(count):
        if turn % 500 == 499:
            context.record = Record.decode(Record.encode(context.record.image()))
        queue = f"q{draw.randrange(20)}"
        kind = draw.random()
        if kind < 0.1:
            change(
                context,
                "whole",
                {"queues": {f"q{one}": {"share": draw.randrange(9)} for one in range(draw.randrange(1, 20))}},
            )
        elif kind < 0.2 and len(context.record.rows) > 1:
            change(context, "merge", {"queues": {draw.choice(sorted(context.record.rows)): None}})
        else:
            change(context, "merge", {"queues": {queue: {"share": draw.randrange(99)}}})
    assert context.record.version == count + 1, context.record.version


@then("every version reads as it was when it came into force")
def step_read(context):
    assert len(context.was) == context.record.version
    for version, setup in context.was.items():
        assert context.record.setups.read(version) == setup, version
    for version in random.Random("any").sample(sorted(context.was), min(50, len(context.was))):
        assert context.record.setups.read(version) == context.was[version], version
    assert (
        context.record.setups.read(context.record.version + 1) is None
        and context.record.setups.read(0) is None
    )


@when("a setup of {count:d} rows is changed {times:d} times by one cell")
def step_large(context, count, times):
    begin(context)
    change(context, "whole", {"queues": {f"q{one:04d}": dict(rows.DEFAULTS) for one in range(count)}})
    context.one = len(cbor2.dumps(context.record.setup))
    context.kept = 0
    for turn in range(times):
        before = dict(context.record.setup["queues"])
        outcome = change(
            context, "merge", {"queues": {f"q{turn % count:04d}": {"retries": 1 + turn % 90}}}, False
        )
        assert outcome[0] == "setup", outcome
        context.kept += sum(before[queue] is not row for queue, row in context.record.setup["queues"].items())
    context.times = times


@then("the history takes less than {most:d} times the bytes of one setup")
def step_bytes(context, most):
    took = len(cbor2.dumps(context.record.setups.image()))
    assert took < most * context.one, (took, context.one)
    assert context.record.setups.read(2)["queues"]["q0000"]["retries"] == rows.DEFAULTS["retries"]
    assert context.record.setups.read(3)["queues"]["q0000"]["retries"] == 1
    assert (
        sum(line[5] == "whole" for line in context.record.setups.lines)
        >= context.times // constants.SETUPS_WHOLE
    )


@then("only the changed row is checked anew")
def step_kept(context):
    assert context.kept == context.times, context.kept


@when("a setup with a null in its notes comes into force")
def step_null(context):
    begin(context)
    change(context, "whole", {"queues": {"q": {}}, "notes": {"by": "planner"}})
    change(context, "whole", {"queues": {"q": {}}, "notes": {"by": None, "x": {"y": None}}})
    change(context, "merge", {"queues": {"q": {"share": 3}}})
    assert len(context.was) == 4
