"""Steps for the second-loss trials, whose losses are timed to the steps of a replacement."""

from behave import then, when

from pinepitch.simulation.second_loss import registry as second_loss


@when("second losses are tried as {name} with seeds {first:d} to {last:d}")
def step_try(context, name, first, last):
    context.injected_fault = ""
    context.trials = [(name, seed) for seed in range(first, last + 1)]


@when("second losses are tried as {name} with seeds {first:d} to {last:d} and the injected fault {fault}")
def step_try_injected(context, name, first, last, fault):
    context.injected_fault = fault
    context.trials = [(name, seed) for seed in range(first, last + 1)]


@then("no trial of second losses finds a fault")
def step_clean(context):
    for name, seed in context.trials:
        faults = second_loss.run(name, seed)
        assert not faults, f"python -m pinepitch.simulation.second_loss {name} {seed} 1: {faults[:4]}"


@then("some trial of second losses finds {fault}")
def step_found(context, fault):
    faults = []
    for name, seed in context.trials:
        faults.extend(second_loss.run(name, seed, context.injected_fault))
        if any(fault in text for text in faults):
            return
    raise AssertionError(f"the injected fault was not detected; faults found: {faults[:6]}")
