"""Steps for Trials of keys of tenants: the answers to the calls of a seeded trial, and their senders."""

from behave import then, when

from pinepitch.simulation import leased_job_trial


@when("jobs under leases meet the fault scenario {scenario} once with seed {seed:d}")
def step_once(context, scenario, seed):
    context.faults, context.simulator = leased_job_trial.trial(scenario, seed)


@then("calls with keys were answered 200, 401 and 403 by front daemons and by control daemons")
def step_answered(context):
    assert not context.faults, context.faults
    kinds = {name: node.kind for name, node in context.simulator.nodes.items()}
    seen = {(kinds[one.daemon], one.status) for one in context.simulator.keyed_calls}
    wanted = {(kind, status) for kind in ("verge", "accord") for status in (200, 401, 403)}
    assert wanted <= seen, wanted - seen
