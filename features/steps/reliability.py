"""Steps for Reliability: jobs and workers that fail, and what the leader concludes about either."""

from behave import given, then, when
from working_cluster import WorkingCluster

from pinepitch.common import constants

CHECK_CORES = 2
LARGE_CORES = 11  # beside the task that lasts, one such task fits on a worker


def check(context, count=2, cores=CHECK_CORES):
    context.checks.append(context.cluster.put("checks", count, cores))


@given("{count:d} working workers of {cores:d} cores, each with a task that lasts")
def step_workers(context, count, cores):
    context.cluster, context.checks = WorkingCluster(count, cores), []
    context.cluster.put("feeds", count, 3.3, apart=1, lasts=True)
    context.cluster.play(2.0)
    assert all(worker.running for worker in context.cluster.workers), "some worker has no feed"


@given("{count:d} workers fail all of their work")
def step_fail(context, count):
    context.failing = context.cluster.workers[:count]
    for worker in context.failing:
        worker.fails = True


@when("the workers that failed are well again")
def step_well(context):
    for worker in context.failing:
        worker.fails = False


@when(
    "checks come once a second for {seconds:d} seconds, "
    "and with every {every:d}th one a job of {width:d} tasks that always fail, seed {seed:d}"
)
def step_checks(context, seconds, every, width, seed):
    context.cluster.draw.seed(f"checks {seed}")
    for number in range(seconds):
        check(context)
        if number % every == every - 1:
            context.cluster.put("checks", width, CHECK_CORES, hopeless=True)
        context.cluster.play(1.0)


@when("checks come for {seconds:d} seconds that need all workers but two")
def step_large_checks(context, seconds):
    cluster = context.cluster
    for _ in range(seconds // 2):
        check(context, max(1, len(cluster.workers) - 2), LARGE_CORES)
        cluster.play(2.0)


@when("the workers work for {seconds:d} seconds")
def step_work(context, seconds):
    context.cluster.play(seconds)


def open_checks(context, checks):
    states = {one: context.cluster.state("checks", one) for one in checks}
    return {one: state for one, state in states.items() if state != "completed"}


@then("every check is completed")
def step_completed(context):
    context.cluster.play(3.0)
    left = open_checks(context, context.checks)
    assert not left, f"{len(left)} of {len(context.checks)}: {left}"


@then("the last {count:d} checks are completed")
def step_last_completed(context, count):
    left = open_checks(context, context.checks[-count:])
    assert not left, left


@then("no worker is distrusted")
def step_trusted(context):
    _, document = context.cluster.told("workers")
    rates = {shown["minion"]: shown["failing"] for shown in document["workers"]}
    assert max(rates.values()) <= constants.LIVENESS_POOR, rates


def starts_since(worker, since):
    return [reference for at, reference in worker.starts if at >= since]


@then("the workers that failed have started work in the last {seconds:d} seconds")
def step_started(context, seconds):
    for worker in context.failing:
        assert starts_since(worker, context.cluster.now - seconds), worker.identity


@then("the workers that fail have started at most {most:d} tasks each in the last {seconds:d} seconds")
def step_few(context, most, seconds):
    for worker in context.failing:
        count = len(starts_since(worker, context.cluster.now - seconds))
        assert count <= most, f"{worker.identity}: {count}"
