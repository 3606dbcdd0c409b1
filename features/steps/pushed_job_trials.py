"""Steps for Pushed job trials: seeded trials on all cores."""

import os
import subprocess
import sys

from behave import given, then, when

from pinepitch.simulation import pushed_job_trial


@given("the injected fault {injected_fault}")
@given("the condition {injected_fault}")
def step_inject_fault(context, injected_fault):
    context.injected_fault = injected_fault


@when("the fault scenario {scenario} is tried with seeds {first:d} to {last:d} on every fleet in turn")
def step_try(context, scenario, first, last):
    injected_fault = getattr(context, "injected_fault", "")
    context.work = [
        (
            scenario,
            seed,
            pushed_job_trial.IN_TURN[seed % len(pushed_job_trial.IN_TURN)],
            "static",
            injected_fault,
        )
        for seed in range(first, last + 1)
    ]


@when("the fault scenario {scenario} is tried with seed {seed:d} on the fleet {fleet}")
def step_one(context, scenario, seed, fleet):
    context.work = [(scenario, seed, fleet, "static", "")]


@when(
    "the fault scenario {scenario} is tried in dynamic mode with seeds {first:d} to {last:d} on "
    "nine control daemons"
)
def step_dynamic(context, scenario, first, last):
    context.work = [(scenario, seed, "nine", "dynamic", "") for seed in range(first, last + 1)]


@then("no check finds a fault")
def step_clean(context):
    tried, found = 0, []
    for arguments, faults, _ in pushed_job_trial.many(context.work):
        tried += 1
        found.extend(f"{pushed_job_trial.replay(*arguments)}\n   {fault}" for fault in faults)
    assert not found, "\n".join(found[:6])
    assert tried == len(context.work)


@then("some check finds {fault}")
def step_found(context, fault):
    found = []
    for _arguments, faults, _ in pushed_job_trial.many(context.work):
        found.extend(faults)
        if any(fault in one for one in faults):
            return
    raise AssertionError(f"the planted fault went unseen; found: {found[:6]}")


@when("the fault scenario {scenario} is tried twice with seed {seed:d}")
def step_twice(context, scenario, seed):
    context.histories = []
    for _ in range(2):
        _, simulator = pushed_job_trial.trial(scenario, seed)
        context.histories.append(
            (simulator.worker_history, simulator.callers["caller"].history, simulator.trace)
        )


@then("both histories are the same to the last event")
def step_same(context):
    one, other = context.histories
    assert one[0] and one == other


TELL = """
import hashlib, sys
from pinepitch.simulation import pushed_job_trial
_, simulator = pushed_job_trial.trial(sys.argv[1], int(sys.argv[2]))
print(hashlib.sha256(repr((simulator.worker_history, simulator.callers["caller"].history,
                           simulator.trace)).encode()).hexdigest())
"""


@when("the fault scenario {scenario} is tried with seed {seed:d} in two processes that hash otherwise")
def step_processes(context, scenario, seed):
    context.outputs = [
        subprocess.run(
            [sys.executable, "-c", TELL, scenario, str(seed)],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": hashing},
        ).stdout
        for hashing in ("1", "2")
    ]


@then("both processes tell the same history")
def step_notified(context):
    assert len(context.outputs[0]) > 60 and context.outputs[0] == context.outputs[1], context.outputs
