"""Steps for Quota trials: the check of what tenants have running, and seeded trials, two at a time."""

from behave import given, then, when

from pinepitch.simulation.jobs import quota_checks, quota_trial

OWNERS = {"A": "acme", "B": "acme", "X": "another", "N": ""}  # job -> name of its tenant


@given("a tenant that may have {most:d} cpu running, until {until:d} seconds {before:d}")
def step_spans(context, most, until, before):
    context.spans = [
        quota_checks.Span(0, until, {"acme": {"cpu": before}, "another": None}),
        quota_checks.Span(10, None, {"acme": {"cpu": most, "gpu": 0}, "another": None}),
    ]


@when("at a worker {events}")
def step_history(context, events):
    context.history, runs = [], {}
    for event in events.split(", "):
        task, *words = event.split()
        when = float(words[-1])
        if words[0] == "starts":
            runs[task] = runs.get(task, 0) + 1
            taken = (int(words[1]), 10, 0)
            worker = f"w{runs[task]}"
            context.history.append(
                ("start", when, worker, f"i-{worker}", task, runs[task], 1, taken, "", "", (0, 0, 0))
            )
        elif words[0] == "ends":
            context.history.append(("end", when, "w1", "i-w1", task, 1, "done", 1, ""))
        else:
            context.history.append(("gone", when, "w1", "i-w1", task, 1))


@then("the check of what runs finds nothing")
def step_nothing(context):
    assert not quota_checks.maximum_kept(context.history, OWNERS, context.spans)


@then("the check of what runs finds {task:S} at {running:d}")
def step_finds(context, task, running):
    found = quota_checks.usage(context.history, OWNERS, context.spans).excesses
    assert [(one.reference, one.running) for one in found] == [(task, running)], found


@when("work of limited tenants meets the fault scenario {scenario} with seeds {first:d} to {last:d}")
def step_try(context, scenario, first, last):
    injected_fault = getattr(context, "injected_fault", "")
    context.quota_work = [(scenario, seed, injected_fault) for seed in range(first, last + 1)]


@then("no check of tenants finds a fault, and maxima were reached")
def step_clean(context):
    found, limited, at_maximum = [], 0, 0
    for arguments, faults, told in quota_trial.many(context.quota_work):
        limited, at_maximum = limited + told[1], at_maximum + told[2]
        found.extend(f"{quota_trial.replay(*arguments)}\n   {fault}" for fault in faults)
    assert not found, "\n".join(found[:6])
    assert limited > 100 and at_maximum > 20, f"too tame: {limited} starts, {at_maximum} at a maximum"


@then("some check of tenants finds a start above a maximum")
def step_found(context):
    found = []
    for _arguments, faults, _ in quota_trial.many(context.quota_work):
        found.extend(faults)
        if any("above its maximum" in one for one in faults):
            return
    raise AssertionError(f"the injected fault went unseen; found: {found[:6]}")
