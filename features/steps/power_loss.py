"""Steps for Power loss: trials of the store's files under losses of power."""

import multiprocessing

from behave import then, when

from pinepitch.simulation.jobs.limits import PROCESSES
from pinepitch.simulation.power_loss.__main__ import run_trial


@when("power, processes and room on disks are lost in the fleet {fleet} with seeds {first:d} to {last:d}")
def step_try(context, fleet, first, last):
    context.work = [(fleet, seed) for seed in range(first, last + 1)]


@when("power is lost in the fleet {fleet} with seeds {first:d} to {last:d} and the injected fault {injected}")
def step_try_injected(context, fleet, first, last, injected):
    context.work = [(fleet, seed, injected) for seed in range(first, last + 1)]


def run_trials(context):
    """The faults of all trials, each with the command that replays its trial."""
    with multiprocessing.Pool(PROCESSES) as pool:
        return [
            f"python -m pinepitch.simulation.power_loss {' '.join(map(str, arguments))}: {fault}"
            for arguments, faults in pool.imap_unordered(run_trial, context.work)
            for fault in faults
        ]


@then("no trial of power losses finds a fault")
def step_clean(context):
    faults = run_trials(context)
    assert not faults, "\n".join(faults[:6])


@then("some trial of power losses finds {fault}")
def step_found(context, fault):
    faults = run_trials(context)
    assert any(fault in text for text in faults), f"the injected fault was not detected; faults: {faults[:6]}"
