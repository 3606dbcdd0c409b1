"""Steps for Leased job trials: seeded trials of jobs under leases, two at a time."""

import os
import subprocess
import sys

from behave import then, when

from pinepitch.simulation import leased_job_trial


@when("jobs under leases meet the fault scenario {scenario} with seeds {first:d} to {last:d}")
def step_try(context, scenario, first, last):
    injected_fault = getattr(context, "injected_fault", "")
    context.work = [(scenario, seed, injected_fault) for seed in range(first, last + 1)]


@then("no history check finds a fault")
def step_clean(context):
    tried, found = 0, []
    for arguments, faults, _ in leased_job_trial.many(context.work):
        tried += 1
        found.extend(f"{leased_job_trial.replay(*arguments)}\n   {fault}" for fault in faults)
    assert not found, "\n".join(found[:6])
    assert tried == len(context.work)


@then("some history check finds {fault}")
def step_found(context, fault):
    found = []
    for _arguments, faults, _ in leased_job_trial.many(context.work):
        found.extend(faults)
        if any(fault in one for one in faults):
            return
    raise AssertionError(f"the planted fault went unseen; found: {found[:6]}")


def _history(simulator):
    return simulator.worker_history, simulator.client_stand_in.history, simulator.trace


@when("jobs under leases meet the fault scenario {scenario} twice with seed {seed:d}")
def step_twice(context, scenario, seed):
    context.histories = []
    for _ in range(2):
        _, simulator = leased_job_trial.trial(scenario, seed)
        context.histories.append(_history(simulator))


@then("both histories of jobs are the same to the last event")
def step_same(context):
    one, other = context.histories
    assert one[0] and one[1] and one == other


TELL = """
import hashlib, sys
from pinepitch.simulation import leased_job_trial
_, simulator = leased_job_trial.trial(sys.argv[1], int(sys.argv[2]))
print(hashlib.sha256(repr((simulator.worker_history, simulator.client_stand_in.history,
                           simulator.trace)).encode()).hexdigest())
"""


@when(
    "jobs under leases meet the fault scenario {scenario} with seed {seed:d} in two processes that "
    "hash otherwise"
)
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


@then("both processes tell the same history of jobs")
def step_notified(context):
    assert len(context.outputs[0]) > 60 and context.outputs[0] == context.outputs[1], context.outputs
