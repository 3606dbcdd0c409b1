"""Steps for History: queue configurations over a long day."""

import copy
import random

import cbor2
from behave import then, when

from pinepitch.common import constants
from pinepitch.model import queue_settings as rows
from pinepitch.state.cluster_state import ClusterState


def change(context, manner, document, kept=True):
    context.index += 1
    outcome = context.cluster_state.apply(
        context.index,
        float(context.index),
        ("setup", f"mark-{context.index}", None, manner, document, "operator", f"change {context.index}"),
    )
    if outcome[0] == "setup" and kept:
        context.was[outcome[1]] = copy.deepcopy(context.cluster_state.queue_configuration)
    return outcome


def begin(context):
    context.cluster_state, context.index = ClusterState(), 0
    context.was = {1: copy.deepcopy(context.cluster_state.queue_configuration)}


@when("{count:d} random changes, whole and partial, are applied with a snapshot now and then")
def step_storm(context, count):
    begin(context)
    draw = random.Random("storm")
    for turn in range(count):
        if turn % 500 == 499:
            context.cluster_state = ClusterState.decode(ClusterState.encode(context.cluster_state.image()))
        queue = f"q{draw.randrange(20)}"
        kind = draw.random()
        if kind < 0.1:
            change(
                context,
                "whole",
                {"queues": {f"q{one}": {"share": draw.randrange(9)} for one in range(draw.randrange(1, 20))}},
            )
        elif kind < 0.2 and len(context.cluster_state.queue_settings) > 1:
            change(
                context,
                "merge",
                {"queues": {draw.choice(sorted(context.cluster_state.queue_settings)): None}},
            )
        else:
            change(context, "merge", {"queues": {queue: {"share": draw.randrange(99)}}})
    assert context.cluster_state.version == count + 1, context.cluster_state.version


@then("every version reads as it was when it came into force")
def step_read(context):
    assert len(context.was) == context.cluster_state.version
    for version, queue_configuration in context.was.items():
        assert context.cluster_state.queue_configurations.read(version) == queue_configuration, version
    for version in random.Random("any").sample(sorted(context.was), min(50, len(context.was))):
        assert context.cluster_state.queue_configurations.read(version) == context.was[version], version
    assert (
        context.cluster_state.queue_configurations.read(context.cluster_state.version + 1) is None
        and context.cluster_state.queue_configurations.read(0) is None
    )


@when("a queue configuration of {count:d} queues is changed {times:d} times by one cell")
def step_large(context, count, times):
    begin(context)
    change(context, "whole", {"queues": {f"q{one:04d}": dict(rows.DEFAULTS) for one in range(count)}})
    context.one = len(cbor2.dumps(context.cluster_state.queue_configuration))
    context.kept = 0
    for turn in range(times):
        before = dict(context.cluster_state.queue_configuration["queues"])
        outcome = change(
            context, "merge", {"queues": {f"q{turn % count:04d}": {"retries": 1 + turn % 90}}}, False
        )
        assert outcome[0] == "setup", outcome
        context.kept += sum(
            before[queue] is not queue_settings
            for queue, queue_settings in context.cluster_state.queue_configuration["queues"].items()
        )
    context.times = times


@then("the history takes less than {most:d} times the bytes of one queue configuration")
def step_bytes(context, most):
    took = len(cbor2.dumps(context.cluster_state.queue_configurations.image()))
    assert took < most * context.one, (took, context.one)
    assert (
        context.cluster_state.queue_configurations.read(2)["queues"]["q0000"]["retries"]
        == rows.DEFAULTS["retries"]
    )
    assert context.cluster_state.queue_configurations.read(3)["queues"]["q0000"]["retries"] == 1
    assert (
        sum(line[5] == "whole" for line in context.cluster_state.queue_configurations.records)
        >= context.times // constants.QUEUE_CONFIGURATION_FULL_EVERY
    )


@then("only the changed queue is checked anew")
def step_kept(context):
    assert context.kept == context.times, context.kept


@when("a queue configuration with a null in its notes comes into force")
def step_null(context):
    begin(context)
    change(context, "whole", {"queues": {"q": {}}, "notes": {"by": "planner"}})
    change(context, "whole", {"queues": {"q": {}}, "notes": {"by": None, "x": {"y": None}}})
    change(context, "merge", {"queues": {"q": {"share": 3}}})
    assert len(context.was) == 4
