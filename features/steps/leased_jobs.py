"""Steps for Leased job state: single operations, tenants and placing epochs."""

from unittest import mock

import cbor2
from behave import given, then, when
from leased_job_documents import (
    NAMES,
    QUEUE,
    document,
    placement_of,
    plain_of,
    reference,
    resources_of,
    steps_of,
    tasks_of,
    tenant,
)

from pinepitch.common import constants
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.state.cluster_state import ClusterState


# --- by hand -------------------------------------------------------------------------
@given("a leased job state whose queue allows {attempts:d} attempts")
def step_leased_jobs(context, attempts):
    context.leased_jobs, context.now = LeasedJobState(), 1.0
    context.met = {}  # (task, run) -> the minion it was placed on
    assert context.leased_jobs.configure(0, 0, document(attempts), "first") == ("configured", 1)


@given("a leased job state whose queue allows {attempts:d} attempts and that holds {most:d} jobs at most")
def step_small(context, attempts, most):
    patch = mock.patch.object(constants, "MAX_LEASED_JOBS", most)
    patch.start()
    context.add_cleanup(patch.stop)
    step_leased_jobs(context, attempts)


@when('the leased job state takes job {job_letter:w} with steps "{steps}"')
def step_take(context, job_letter, steps):
    context.outcome = context.leased_jobs.accept(
        context.now, NAMES[job_letter], QUEUE, plain_of(steps=steps_of(steps))
    )[0]


@when("the leased job state takes job {job_letter:w} at another queue")
def step_not_taken(context, job_letter):
    context.outcome = context.leased_jobs.accept(
        context.now, NAMES[job_letter], "nowhere", plain_of(steps=[{}])
    )[0]


@when(
    'the leased job state takes job {job_letter:w} with steps "{steps}" due {times:d} times every '
    "{every:d} seconds from {first:d} on"
)
def step_timed(context, job_letter, steps, times, every, first):
    plain = plain_of(steps=steps_of(steps), times=times, every_ms=every * 1000, first_ms=first * 1000)
    context.outcome = context.leased_jobs.accept(context.now, NAMES[job_letter], QUEUE, plain)[0]


@when("{seconds:g} seconds have passed on the leased job state")
def step_passed(context, seconds):
    context.now = seconds


@when("the final states' time has all but passed on the leased job state")
def step_almost(context):
    context.now += constants.FINAL_LASTS - 0.1


@when("the final states' time has passed on the leased job state")
def step_over(context):
    context.now += 0.2


@when('the leased job state places "{tasks}" of {job_letter:w} on {worker:w}')
def step_place(context, tasks, job_letter, worker):
    batches = {}
    for time, number, index in tasks_of(tasks):
        batches.setdefault((time, number), []).append((index, worker))
    items = tuple((NAMES[job_letter], *place, tuple(group)) for place, group in batches.items())
    context.placed = context.leased_jobs.assign(context.now, 1, items)
    for one in context.placed:
        assert (one.reference(), one.run) not in context.met, "a run number was given twice"
        context.met[(one.reference(), one.run)] = one.worker_id


def ends(context, tasks, job_letter, run, how, heard):
    for task in tasks_of(tasks):
        name = reference(job_letter, task)
        item = (context.met.get((name, run), "one"), name, run, how, "", heard)
        kind, outcomes = context.leased_jobs.end(context.now, (item,))
        assert kind == "ended" and len(outcomes) == 1, (kind, outcomes)
        context.outcome = outcomes[0]


@when('the leased job state hears that run {run:d} of "{tasks}" of {job_letter:w} ended {how:w}')
def step_heard(context, run, tasks, job_letter, how):
    ends(context, tasks, job_letter, run, how, True)


@when('the leased job state lets go of run {run:d} of "{tasks}" of {job_letter:w} as {how:w}')
def step_let_go(context, run, tasks, job_letter, how):
    ends(context, tasks, job_letter, run, how, False)


@when('the task "{task}" of {job_letter:w} is placed and ends {how:w} {count:d} times')
def step_again(context, task, job_letter, how, count):
    for run in range(1, count + 1):
        step_place(context, task, job_letter, "one")
        assert [one.run for one in context.placed] == [run], context.placed
        ends(context, task, job_letter, run, how, True)


@when("the leased job state cancels {job_letter:w}")
def step_cancel(context, job_letter):
    context.outcome = context.leased_jobs.cancel(context.now, NAMES[job_letter])[0]


@then("the leased job state answers {reported:w}")
def step_answers(context, reported):
    assert context.outcome == reported, context.outcome


@then("the leased job state shows {job_letter:w} as {state:w}")
def step_shows(context, job_letter, state):
    assert context.leased_jobs.state(NAMES[job_letter]) == state, context.leased_jobs.state(NAMES[job_letter])


@then("the leased job state does not know {job_letter:w}")
def step_unknown(context, job_letter):
    assert context.leased_jobs.state(NAMES[job_letter]) is None


@then("the leased job state counts {count:d} job that has not begun")
def step_counts(context, count):
    assert context.leased_jobs.queued_counts.get(QUEUE, 0) == count, context.leased_jobs.queued_counts


@then('the leased job state has "{batches}" ready')
def step_ready(context, batches):
    assert sorted(key[1:] for key in context.leased_jobs.ready) == tasks_of(batches), (
        context.leased_jobs.ready
    )


@then('the leased job state has "" ready')
def step_none_ready(context):
    assert not context.leased_jobs.ready, context.leased_jobs.ready


@then("nothing was placed")
def step_nothing(context):
    assert not context.placed, [one.image() for one in context.placed]


@then('only "{tasks}" was placed')
def step_only(context, tasks):
    assert [(one.time, one.number, one.index) for one in context.placed] == tasks_of(tasks), context.placed


@then("run {run:d} was placed")
def step_run(context, run):
    step_runs(context, run, 1)


@then("run {run:d} was placed {count:d} times")
def step_runs(context, run, count):
    assert [one.run for one in context.placed] == [run] * count, [one.image() for one in context.placed]


@then('what run {first:d} or {second:d} of "{task}" of {job_letter:w} held is free')
def step_free(context, first, second, task, job_letter):
    for run in (first, second):
        assert placement_of(context, job_letter, tasks_of(task)[0], run) is None


@then('run {run:d} of "{task}" of {job_letter:w} is held and wanted')
def step_wanted(context, run, task, job_letter):
    assert context.leased_jobs.should_run(placement_of(context, job_letter, tasks_of(task)[0], run))


@then('run {run:d} of "{task}" of {job_letter:w} is held and not wanted')
def step_unwanted(context, run, task, job_letter):
    placement = placement_of(context, job_letter, tasks_of(task)[0], run)
    assert placement is not None and not context.leased_jobs.should_run(placement)


@then("no other member of {job_letter:w} is wanted any more")
def step_no_member(context, job_letter):
    rest = [
        one
        for placements in context.leased_jobs.placements.values()
        for one in placements.values()
        if one.job == NAMES[job_letter]
    ]
    assert rest and not any(map(context.leased_jobs.should_run, rest)), [one.image() for one in rest]


# --- tenants -------------------------------------------------------------------------
def put_tenants(context, tenants):
    version = context.leased_jobs.configuration.version
    changed = {**document(version=version + 1), "tenants": tenants}
    outcome = context.leased_jobs.configure(context.now, version, changed, f"{version}", True)
    assert outcome == ("configured", version + 1), outcome


@given('a leased job state in which tenant {name:w} may run "{maximum}"')
def step_tenants(context, name, maximum):
    step_leased_jobs(context, 3)
    step_maximum(context, name, maximum)


@when('the maximum of tenant {name:w} becomes "{maximum}"')
def step_maximum(context, name, maximum):
    put_tenants(context, [tenant(name, resources_of(maximum.split())), tenant("free", None)])


@when('the leased job state takes job {job_letter:w} of tenant {name:w} with steps "{steps}"')
def step_take_of(context, job_letter, name, steps):
    plain = plain_of(steps=steps_of(steps))
    outcome = context.leased_jobs.accept(context.now, NAMES[job_letter], QUEUE, plain, name)
    assert outcome[0] == "accepted", outcome


@then('run {run:d} of "{task}" of {job_letter:w} may start')
def step_may_start(context, run, task, job_letter):
    assert not context.leased_jobs.over_maximum(placement_of(context, job_letter, tasks_of(task)[0], run))


@then('run {run:d} of "{task}" of {job_letter:w} may not start any more')
def step_may_not_start(context, run, task, job_letter):
    assert context.leased_jobs.over_maximum(placement_of(context, job_letter, tasks_of(task)[0], run))


@when("the leased job state is read from its image")
def step_read_again(context):
    context.leased_jobs = LeasedJobState.from_image(cbor2.loads(cbor2.dumps(context.leased_jobs.image())))


@then('tenant {name:w} uses "{amounts}"')
def step_uses(context, name, amounts):
    expected = tuple(int(one) for one in amounts.split())
    assert context.leased_jobs.used_by_tenant[name] == expected, context.leased_jobs.used_by_tenant


@then("no tenant uses anything")
def step_none_used(context):
    assert not context.leased_jobs.used_by_tenant, context.leased_jobs.used_by_tenant


@when('the leased job state is read from an image in which "{part}" know no tenant')
def step_read_old(context, part):
    """The image as versions without tenants make it, without the last field of each item."""
    image = list(cbor2.loads(cbor2.dumps(context.leased_jobs.image())))
    place = {"jobs": 0, "jobs that are over": 1, "placements": 2}[part]
    assert image[place], "nothing to read"
    image[place] = [one[:-1] for one in image[place]]
    context.leased_jobs = LeasedJobState.from_image(image)


FORMS = {
    "no list": {"acme": ["key-acme"]},
    "a name that is a number": [{"name": 1, "keys": ["key-acme"]}],
    "keys that are numbers": [{"name": "acme", "keys": [1]}],
    "no keys": [{"name": "acme", "maximum": {"cpu": 1}}],
    "a maximum that is a list": [{"name": "acme", "keys": ["key-acme"], "maximum": [1]}],
    "a maximum in words": [{"name": "acme", "keys": ["key-acme"], "maximum": {"cpu": "one"}}],
}


@when("a version that does not look at tenants takes a configuration whose tenants have {form}")
def step_take_any(context, form):
    changed = {**document(version=2), "tenants": FORMS[form]}
    assert context.leased_jobs.configure(context.now, 1, changed, "any") == ("configured", 2)


@then("no key is asked for and no tenant is limited")
def step_no_tenants(context):
    tenants = context.leased_jobs.tenants
    assert not tenants.keys_required and not tenants.by_name, tenants.by_name


# --- placing epochs ------------------------------------------------------------------
@given("a cluster state whose leased job state holds a job, and a placing epoch followed by another")
def step_epochs(context):
    context.cluster_state = ClusterState()
    context.index = 0
    log(context, ("configure", 0, document(), "first"))
    log(context, ("job", NAMES["A"], QUEUE, plain_of(steps=[{"count": 2}])))
    assert log(context, ("duty", "placing", "one")) == ("epoch", 1)
    log(context, ("job-assign", 1, ((NAMES["A"], 0, 0, ((0, "m"),)),)))
    assert log(context, ("duty", "placing", "two")) == ("epoch", 2)


def log(context, operation):
    context.index += 1
    return context.cluster_state.apply(context.index, 10.0 + context.index, operation)


@when("{what} comes under the {age:w} epoch")
def step_under(context, what, age):
    context.image = cbor2.dumps(context.cluster_state.leased_jobs.image())
    epoch = {"older": 1, "newer": 2}[age]
    operation = {
        "a placement": ("job-assign", epoch, ((NAMES["A"], 0, 0, ((1, "m"),)),)),
        "a stop": ("job-stop", epoch, (("m", reference("A", (0, 0, 0)), 1, "room"),)),
    }[what]
    context.outcome = log(context, operation)


@then("it is refused for its epoch and the leased job state is as it was")
def step_refused(context):
    assert context.outcome == ("refused", "epoch"), context.outcome
    assert cbor2.dumps(context.cluster_state.leased_jobs.image()) == context.image


@then("it is taken and the leased job state has changed")
def step_taken(context):
    assert context.outcome[0] != "refused", context.outcome
    assert cbor2.dumps(context.cluster_state.leased_jobs.image()) != context.image
