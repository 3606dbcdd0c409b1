"""Steps for Cost of jobs: the memory that jobs take, and what is refused for it."""

import gc
import time
import tracemalloc

from assignment_cluster import HOST
from behave import given, then, when
from working_cluster import WorkingCluster

from pinepitch.common import constants
from pinepitch.common.limits import Limits
from pinepitch.scheduling.leased_job_state import LeasedJobState

HOUR_MS = 3_600_000
MOST_JOBS = 400
MEGABYTE = 1_000_000
DISK_BYTES = 2_000_000_000


def step_of(count, **more):
    return {"count": count, "cpu": 500, "mem_mb": 256, "est_ms": 400, **more}


def recurring(steps, times):
    """A document whose steps run every minute from an hour on."""
    first_ms = (1.7e9 + 1000) * 1000 + HOUR_MS
    return {"steps": steps, "first_ms": first_ms, "every_ms": 60_000, "times": times}


DOCUMENTS = {
    "chains of 10 tasks, 1000 times in an hour": recurring(
        [step_of(1, after=[number - 1] if number else []) for number in range(10)], 1000
    ),
    "single tasks, 1000 times in an hour": recurring([step_of(1)], 1000),
    "10 steps of 1000 tasks": {"steps": [step_of(1000)] * 10},
    "5 steps of 84 tasks, 6 times in an hour": recurring([step_of(84)] * 5, 6),
    "64 steps each after all before, 150 times": recurring(
        [step_of(1, after=list(range(number))) for number in range(64)], 150
    ),
    "10 steps of 1000 tasks that ask for nothing": {"steps": [{"count": 1000, "est_ms": 400}] * 10},
}


def leased_jobs_of(context):
    return context.cluster.daemon.cluster_state.leased_jobs


def hand_in(context, name):
    """Hands in a job; what it was answered is kept, and its name if it was taken."""
    cluster = context.cluster
    identity = f"{cluster.draw.randrange(16**16):016x}"
    token = cluster.ask("job", HOST, f"/checks/{identity}", DOCUMENTS[name])
    cluster.until(lambda: token in cluster.answers, 2)
    context.answer = cluster.answers[token][1]
    if context.answer[0] == 200:
        context.taken.append(identity)
    return context.answer[0]


@given("a control daemon with {size:d} MB of memory")
def step_daemon(context, size):
    context.cluster, context.taken = WorkingCluster(0, 16), []
    context.memory = size * MEGABYTE
    context.cluster.daemon.limits = Limits(context.memory, DISK_BYTES)


@when("{name} are handed in until one is refused")
def step_until_refused(context, name):
    for _ in range(MOST_JOBS):
        if hand_in(context, name) != 200:
            break


@when("one of {name} is handed in")
def step_one(context, name):
    hand_in(context, name)


@then("it is told 429, the code state_full, and to come back")
def step_refused(context):
    status, document, retry = context.answer
    assert status == 429, f"{len(context.taken)} were taken"
    assert (document["error"]["code"], retry) == ("state_full", constants.RETRY_AFTER), context.answer
    assert context.taken, "none was taken"


@then("a small job is taken still")
def step_small(context):
    context.cluster.put("checks", 2, 1)


def traced(act):
    """The bytes of memory that an act leaves taken, and its result."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = act()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, result
    finally:
        tracemalloc.stop()


def begin_all(state):
    """Builds all batches of a state, and changes their tasks to ones that run for the third time."""
    for job in state.jobs.values():
        for key in job.batch_keys():
            for number, task in enumerate(job.batch(*key).tasks):
                task.state, task.run, task.worker_id = "placed", 3, f"i-{number:08x}"


@then("with all of their tasks begun the jobs take no more memory than was counted")
def step_counted(context):
    image = leased_jobs_of(context).image()

    def build():
        state = LeasedJobState.from_image(image)
        begin_all(state)
        return state

    taken, state = traced(build)
    counted = leased_jobs_of(context).job_bytes
    assert taken <= counted <= Limits(context.memory, DISK_BYTES).state, (taken, counted)
    assert state.job_bytes == counted


@then("every job that was taken is read, and cancelled within {seconds:d} second")
def step_cancelled(context, seconds):
    for identity in context.taken:
        assert context.cluster.state("checks", identity) == "queued"
    begun = time.process_time()
    for identity in context.taken:
        status, document = context.cluster.told("job-cancel", HOST, f"/checks/{identity}")
        assert (status, document["state"]) == (200, "cancelled")
    assert time.process_time() - begun < max(seconds, 0.05 * len(context.taken))
    context.taken.clear()


@then("one of {name} is taken again")
def step_taken_again(context, name):
    assert hand_in(context, name) == 200, context.answer


@when("{count:d} {name} are handed in at once, while the disk does not save")
def step_at_once(context, count, name):
    cluster = context.cluster
    cluster.saving = False
    tokens = []
    for _ in range(count):
        identity = f"{cluster.draw.randrange(16**16):016x}"
        tokens.append(cluster.ask("job", HOST, f"/checks/{identity}", DOCUMENTS[name]))
    cluster.saving = True
    cluster.run(1.0)
    context.statuses = [cluster.answers[token][1][0] for token in tokens]


@then("at most {most:d} of them are taken")
def step_few_taken(context, most):
    assert 1 <= context.statuses.count(200) <= most, context.statuses
    assert set(context.statuses) == {200, 429}, context.statuses


@when("{count:d} job of {name}, is handed in")
def step_some(context, count, name):
    def act():
        for _ in range(count):
            assert hand_in(context, name) == 200
        context.cluster.run(5.0)

    context.bytes, _ = traced(act)


@then("it takes less than {most:d} KB of memory")
def step_less(context, most):
    assert context.bytes < most * 1000, context.bytes


@given("the image of {count:d} {name}, which an earlier version took")
def step_image(context, count, name):
    context.cluster, context.taken = WorkingCluster(0, 16), []
    for _ in range(count):
        assert hand_in(context, name) == 200
    state = context.cluster.daemon.cluster_state
    context.stored = type(state).encode(state.image())


@given("a control daemon with {size:d} MB of memory that starts from it")
def step_from_image(context, size):
    daemon = context.cluster.daemon
    state = type(daemon.cluster_state)
    daemon.limits = Limits(size * MEGABYTE, DISK_BYTES)
    context.bytes, _ = traced(lambda: daemon.take_cluster_state(context.stored, {}))
    assert isinstance(daemon.cluster_state, state)


@then("the jobs take less than {most:d} MB of memory")
def step_less_megabytes(context, most):
    assert context.bytes < most * MEGABYTE, context.bytes


@when("workers take all that they are given for {seconds:d} seconds")
def step_workers(context, seconds):
    cluster = context.cluster
    cluster.add_workers(3, 16)
    for worker in cluster.workers:
        worker.begins = False
    cluster.play(seconds)


@then("the state takes at most {part:g} of the memory, and some tasks wait")
def step_bounded(context, part):
    leased_jobs = leased_jobs_of(context)
    assert leased_jobs.placement_count, "nothing was placed"
    assert leased_jobs.memory_bytes() <= part * context.memory, leased_jobs.memory_bytes()
    waiting = sum(len(batch.waiting) for batch in leased_jobs.ready.values())
    assert waiting, "all tasks were placed"


@when("it is cancelled and forgotten, and a job that runs once is handed in under its name")
def step_name_again(context):
    cluster, identity = context.cluster, context.taken[0]
    assert cluster.told("job-cancel", HOST, f"/checks/{identity}")[0] == 200
    cluster.run(constants.FINAL_LASTS + 1)
    other = cluster.put("checks", 1, 1)  # records of final jobs are dropped as another job ends
    assert cluster.told("job-cancel", HOST, f"/checks/{other}")[0] == 200
    assert cluster.told("job-read", HOST, f"/checks/{identity}")[0] == 410
    assert cluster.told("job", HOST, f"/checks/{identity}", {"steps": [step_of(1)]})[0] == 200


@when("that job is done, and the hour passes")
def step_hour(context):
    cluster = context.cluster
    cluster.add_workers(2, 16)
    cluster.play(5.0)
    assert cluster.state("checks", context.taken[0]) == "completed"
    cluster.now += HOUR_MS / 1000
    cluster.run(5.0)


@then("the control daemon still leads, and nothing is scheduled")
def step_leads(context):
    context.cluster.put("checks", 1, 1)
    context.cluster.play(3.0)
    leased_jobs = leased_jobs_of(context)
    assert not leased_jobs.jobs and not leased_jobs.ready, leased_jobs.jobs
    assert leased_jobs.upcoming.is_empty()
