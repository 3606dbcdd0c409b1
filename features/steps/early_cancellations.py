"""Steps for Early cancellations: one control daemon in virtual time, and the leased job state by hand."""

import gc
import tracemalloc
from unittest import mock

import cbor2
from assignment_cluster import HOST
from behave import given, then, when
from leased_job_documents import NAMES, document, plain_of, tenant
from working_cluster import WorkingCluster

from pinepitch.common import constants
from pinepitch.common.packed_operations import kind_of
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.scheduling.tombstones import Tombstone, Tombstones

OPERATION = "job-cancel-unknown"
DOCUMENT = {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "est_ms": 300}]}
TENANTS = {"a": "a", "b": "b", "nobody": ""}
MEGABYTE = 1_000_000


def path_of(job_letter):
    return f"/checks/{NAMES[job_letter]}"


def lowered(context, name, value):
    patch = mock.patch.object(constants, name, value)
    patch.start()
    context.add_cleanup(patch.stop)


def entries(context):
    """How many entries with tombstones the log has."""
    return sum(kind_of(entry[2]) == OPERATION for entry in context.cluster.daemon.consensus.entries)


# --- one control daemon ----------------------------------------------------------------
@given("a control daemon whose workers take work")
def step_daemon(context):
    context.cluster = WorkingCluster(2, 16)


@given("a control daemon whose workers take work, with room for {most:d} tombstones")
def step_small(context, most):
    lowered(context, "MAX_TOMBSTONES", most)
    lowered(context, "MAX_TENANT_TOMBSTONES", most)
    step_daemon(context)


@given("a control daemon whose workers take work, and a member of level {level:d}")
def step_level(context, level):
    step_daemon(context)
    context.cluster.daemon.advertised_levels["one"] = level
    context.cluster.daemon.cluster_state.level = level


@given("a control daemon whose workers take work, and which keeps {most:d} records of jobs that are over")
def step_few_records(context, most):
    lowered(context, "MAX_FINAL_JOBS", most)
    step_daemon(context)


@when("job {job_letter:w} is cancelled before it arrives")
def step_cancelled(context, job_letter):
    context.answer = context.cluster.told("job-cancel", HOST, path_of(job_letter))


@then("that is answered {status:d}")
def step_answered(context, status):
    if getattr(context, "tokens", None):
        context.answer = context.cluster.answers[context.tokens[-1]][1]
    assert context.answer[0] == status, context.answer


@when("job {job_letter:w} arrives")
def step_arrives(context, job_letter):
    context.job_letter = job_letter
    context.answer = context.cluster.told("job", HOST, path_of(job_letter), DOCUMENT)


@then("it is answered 200 and {state:w}, also when it arrives again")
def step_stays(context, state):
    assert context.answer == (200, {"state": state}), context.answer
    again = context.cluster.told("job", HOST, path_of(context.job_letter), DOCUMENT)
    assert again == (200, {"state": state}), again


@then("it is answered 200 and queued")
def step_queued(context):
    assert context.answer == (200, {"state": "queued"}), context.answer


@then("reading job {job_letter:w} is answered 410")
def step_not_known(context, job_letter):
    assert context.cluster.told("job-read", HOST, path_of(job_letter))[0] == 410


@then("reading job {job_letter:w} is answered 200 and {state:w}")
def step_read(context, job_letter, state):
    told = context.cluster.told("job-read", HOST, path_of(job_letter))
    assert told == (200, {"state": state}), told


@then("no task of job {job_letter:w} is placed in {seconds:d} seconds")
def step_not_placed(context, job_letter, seconds):
    context.cluster.play(seconds)
    starts = [reference for worker in context.cluster.workers for _, reference in worker.starts]
    assert not [one for one in starts if one.startswith(NAMES[job_letter])], starts
    assert not context.cluster.placed()


@when("the control daemon is restarted from its log")
def step_restart_log(context):
    context.cluster.begin()


@when("the control daemon is restarted from an image")
def step_restart_image(context):
    state = context.cluster.daemon.cluster_state
    encoded = type(state).encode(state.image())
    context.cluster.daemon.take_cluster_state(encoded, {})
    rebuilt = context.cluster.daemon.cluster_state
    assert rebuilt is not state and type(rebuilt).encode(rebuilt.image()) == encoded


@when("the disk does not save, job {job_letter:w} arrives, and is cancelled")
def step_stalled(context, job_letter):
    cluster = context.cluster
    cluster.saving = False
    context.job_letter = job_letter
    context.tokens = [
        cluster.ask("job", HOST, path_of(job_letter), DOCUMENT),
        cluster.ask("job-cancel", HOST, path_of(job_letter)),
    ]
    cluster.run(0.3)


@when("the disk does not save, and job {job_letter:w} is cancelled before it arrives")
def step_stalled_cancel(context, job_letter):
    context.cluster.saving = False
    context.tokens = [context.cluster.ask("job-cancel", HOST, path_of(job_letter))]
    context.cluster.run(0.3)


@then("neither is answered")
def step_unanswered(context):
    answered = [token for token in context.tokens if token in context.cluster.answers]
    assert not answered, [context.cluster.answers[token] for token in answered]


@when("the disk saves what was held up")
def step_saves(context):
    context.cluster.saving = True
    context.cluster.run(0.3)


@then("both are answered 200, and job {job_letter:w} is cancelled")
def step_both(context, job_letter):
    answers = [context.cluster.answers[token][1] for token in context.tokens]
    assert [answer[0] for answer in answers] == [200, 200], answers
    assert answers[1][1] == {"state": "cancelled"}, answers
    assert context.cluster.state("checks", NAMES[job_letter]) == "cancelled"


@when("as long passes as a copy may be on its way")
def step_on_its_way(context):
    context.cluster.run(constants.SUBMISSION_LASTS - 1)


@when("the time of tombstones passes")
def step_tombstones_over(context):
    context.cluster.run(constants.TOMBSTONE_LASTS + 1)


# --- crowds ------------------------------------------------------------------------------
@when("{count:d} unknown jobs are cancelled at once")
def step_crowd(context, count):
    cluster = context.cluster
    context.entries = entries(context)
    context.crowd = [f"{cluster.draw.randrange(16**16):016x}" for _ in range(count)]
    context.tokens = [cluster.ask("job-cancel", HOST, f"/checks/{name}") for name in context.crowd]
    cluster.run(0.5)


@when("{count:d} other unknown jobs are cancelled at once")
def step_other_crowd(context, count):
    context.earlier = [name for name, status in statuses(context).items() if status == 410]
    step_crowd(context, count)


def statuses(context):
    """The status that each of the crowd was answered; a 503 must tell when to come back."""
    told = {}
    for name, token in zip(context.crowd, context.tokens, strict=True):
        status, _, retry_after = context.cluster.answers[token][1]
        assert status != 503 or retry_after == constants.RETRY_AFTER, retry_after
        told[name] = status
    return told


@then("{taken:d} of them are answered 410 and {refused:d} are answered 503 with Retry-After")
def step_split(context, taken, refused):
    told = list(statuses(context).values())
    assert (told.count(410), told.count(503)) == (taken, refused), (told.count(410), told.count(503))


@then("at most {most:d} entries were appended for them")
def step_few_entries(context, most):
    assert entries(context) - getattr(context, "entries", 0) <= most, entries(context)


@then("all of them are answered 503 with Retry-After, and no entry was appended for them")
def step_all_refused(context):
    assert set(statuses(context).values()) == {503}, statuses(context)
    assert entries(context) == context.entries


@then("each of the {count:d} jobs that arrives is cancelled")
def step_each_cancelled(context, count):
    assert len(context.earlier) == count
    for name in context.earlier:
        told = context.cluster.told("job", HOST, f"/checks/{name}", DOCUMENT)
        assert told == (200, {"state": "cancelled"}), told


@then("a job that nobody cancelled is accepted")
def step_accepted(context):
    context.cluster.put("checks", 1, 1)


@then("all of them are answered 410, and {count:d} tombstones are stored")
def step_all_taken(context, count):
    assert set(statuses(context).values()) == {410}, statuses(context)
    assert len(context.cluster.daemon.cluster_state.leased_jobs.tombstones) == count


@when("{callers:d} callers cancel unknown jobs one after the other for {seconds:d} seconds")
def step_one_by_one(context, callers, seconds):
    cluster = context.cluster
    context.entries, context.longest = entries(context), 0.0
    end, asked = cluster.now + seconds, {}
    while cluster.now < end:
        for caller in range(callers):
            token, since = asked.get(caller, (None, 0.0))
            if token is None or token in cluster.answers:
                context.longest = max(context.longest, cluster.now - since if token else 0.0)
                name = f"{cluster.draw.randrange(16**16):016x}"
                asked[caller] = (cluster.ask("job-cancel", HOST, f"/checks/{name}"), cluster.now)
        cluster.run(constants.TICK)


@then(
    "at most {most:d} entries were appended for them, and each cancel was answered within {seconds:g} seconds"
)
def step_bounded(context, most, seconds):
    count = entries(context) - context.entries
    assert 10 <= count <= most, count
    assert context.longest <= seconds, context.longest


@given("the most tombstones that may be stored")
def step_most(context):
    def build():
        tombstones = Tombstones()
        for place in range(constants.MAX_TOMBSTONES):
            tombstone = Tombstone(f"{place * 7919:016x}", f"tenant-{place % 4}", f"queue-{place % 100}")
            assert tombstones.leave(float(place) / constants.MAX_TOMBSTONES, tombstone)
        return tombstones

    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        context.tombstones = build()
        gc.collect()
        context.bytes = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@then("they take no more memory than is counted for them")
def step_counted(context):
    assert len(context.tombstones) == constants.MAX_TOMBSTONES
    counted = constants.TOMBSTONE_BYTES * constants.MAX_TOMBSTONES
    assert counted / 2 <= context.bytes <= counted, (context.bytes, counted)


@then("their image takes less than 1 MB")
def step_image(context):
    size = len(cbor2.dumps(context.tombstones.image()))
    assert size < MEGABYTE, size


@when("jobs are handed in and cancelled until one is refused")
def step_short_jobs(context):
    context.taken = []
    for _ in range(2 * constants.MAX_FINAL_JOBS):
        name = f"{context.cluster.draw.randrange(16**16):016x}"
        context.answer = context.cluster.told("job", HOST, f"/checks/{name}", DOCUMENT)
        if context.answer[0] != 200:
            return
        context.taken.append(name)
        told = context.cluster.told("job-cancel", HOST, f"/checks/{name}")
        assert told == (200, {"state": "cancelled"}), told


@then("it is refused with 429, state_full, after {count:d} jobs")
def step_refused(context, count):
    status, document = context.answer
    assert (status, len(context.taken)) == (429, count), (status, len(context.taken))
    assert document["error"]["code"] == "state_full", document


@then("every one of them that arrives again is answered cancelled")
def step_all_known(context):
    for name in context.taken:
        told = context.cluster.told("job", HOST, f"/checks/{name}", DOCUMENT)
        assert told == (200, {"state": "cancelled"}), told


# --- tenants -----------------------------------------------------------------------------
@given("a leased job state with a public and a private queue, and tenants a and b")
def step_tenants(context):
    whole = document()
    route = whole["routes"][0]
    whole["routes"] = [
        {**route, "name": "private"},
        {**route, "name": "public", "prefix": "/public/", "public": True},
    ]
    whole["tenants"] = [tenant("a", None), tenant("b", None)]
    context.leased_jobs = LeasedJobState()
    assert context.leased_jobs.configure(0, 0, whole, "first", True) == ("configured", 1)


def cancelled_by(context, caller, name, called):
    """The outcome of a cancellation by a caller at a queue."""
    item = (name, TENANTS[caller], called if called == "public" else "")
    kind, (outcome,) = context.leased_jobs.cancel_unknown(1.0, (item,))
    assert kind == "cancelled-unknown", kind
    return outcome[0]


@when("{caller:w} cancels job A at {called:w} before it is accepted")
def step_tenant_cancels(context, caller, called):
    assert cancelled_by(context, caller, NAMES["A"], called) == "missing"


@when("{owner:w} hands in job A at {queue:w}")
def step_tenant_hands_in(context, owner, queue):
    context.leased_jobs.accept(2.0, NAMES["A"], queue, plain_of(steps=[{"count": 1}]), TENANTS[owner])


@then("the leased job state with tenants shows it {state:w}")
def step_tenant_state(context, state):
    rebuilt = LeasedJobState.from_image(cbor2.loads(cbor2.dumps(context.leased_jobs.image())))
    for leased_jobs in (context.leased_jobs, rebuilt):
        assert leased_jobs.state(NAMES["A"]) == state, leased_jobs.state(NAMES["A"])
        assert len(leased_jobs.tombstones) == 1


@then("a cancellation of job A by a at private is answered foreign, by b cancelled")
def step_foreign(context):
    assert cancelled_by(context, "a", NAMES["A"], "private") == "foreign"
    assert context.leased_jobs.state(NAMES["A"]) == "queued"
    assert cancelled_by(context, "b", NAMES["A"], "private") == "cancelled"


@when("a cancels as many unknown jobs as it may, and one more")
def step_tenant_full(context):
    outcomes = [
        cancelled_by(context, "a", f"{place:016x}", "private")
        for place in range(constants.MAX_TENANT_TOMBSTONES + 1)
    ]
    assert set(outcomes[:-1]) == {"missing"}
    context.outcome = outcomes[-1]


@then("the last is answered full, and one of b is answered missing")
def step_tenant_room(context):
    assert context.outcome == "full", context.outcome
    assert cancelled_by(context, "b", "f" * 16, "private") == "missing"
