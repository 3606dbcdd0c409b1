"""Steps for Control faults: seeded trials of the control daemons' fault scenarios."""

from behave import given, then

from pinepitch.simulation import leased_job_trial
from pinepitch.simulation.jobs.control_scenarios.registry import CONTROL_SCENARIOS

SEEDS = 6  # with which a planted fault is sought


@given("the trials")
def step_trials(context):
    context.work = [
        (queue_settings["scenario"], int(queue_settings["seed"]), "") for queue_settings in context.table
    ]


@given("the injected faults")
def step_injected(context):
    context.sought = {
        (queue_settings["scenario"], queue_settings["plant"]): queue_settings["fault"]
        for queue_settings in context.table
    }
    context.first = {
        (queue_settings["scenario"], queue_settings["plant"]): int(queue_settings["seed"])
        for queue_settings in context.table
    }


@then("none of the trials finds a fault")
def step_clean(context):
    found = []
    for arguments, faults, _ in leased_job_trial.many(context.work):
        found.extend(f"{leased_job_trial.replay(*arguments)}\n   {fault}" for fault in faults)
    assert not found, "\n".join(found[:6])


@then("every fault scenario of the control daemons was tried")
def step_every(context):
    assert {scenario for scenario, _, _ in context.work} == set(CONTROL_SCENARIOS)


@then("each of them is found with that seed or one of the next")
def step_found(context):
    unseen, found = dict(context.sought), {}
    for turn in range(SEEDS):
        work = [(one[0], context.first[one] + turn, one[1]) for one in unseen]
        for (scenario, _, injected_fault), faults, _ in leased_job_trial.many(work):
            if any(context.sought[scenario, injected_fault] in fault for fault in faults):
                unseen.pop((scenario, injected_fault), None)
            found.setdefault((scenario, injected_fault), []).extend(faults)
        if not unseen:
            return
    raise AssertionError([(one, found[one][:4]) for one in unseen])
