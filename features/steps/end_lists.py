"""Steps for Lists of ends cut at their limit: workers whose heartbeats list a part of their ends."""

import collections

from assignment_cluster import CONFIGURATION, HOST, JOB, PREFIX, SimulatedWorker
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.scheduling.run_stop import PREEMPTED

LISTED_ENDS = 500  # ends; the most that a worker lists in one heartbeat
OTHER_JOB = "b" * 16
TASK_CPU = 2  # thousandths of a core
TENANT, KEY = "acme", "key-acme"
ROUNDS = 200  # heartbeats of each worker; enough for every end to be seen


class ListingWorker(SimulatedWorker):
    """A worker that lists its oldest ends first, LISTED_ENDS at once, and refuses runs that ended here.
    Invariant: `done` has each task of which a run ended done here.
    """

    def __init__(self, identity, address):
        super().__init__(identity, address)
        self.waiting_ends, self.end_count = [], 0
        self.done, self.over = set(), set()

    def end(self, key, how):
        """Ends a run; its end is listed once there is room for it."""
        del self.running[key]
        self.over.add(key)
        self._list_end(key, how)
        if how == "done":
            self.done.add(key[0])

    def _list_end(self, key, how):
        self.end_count += 1
        self.waiting_ends.append([self.end_count, *key, how, ""])

    def beat(self, now):
        self.ended = self.waiting_ends[:LISTED_ENDS]
        return super().beat(now)

    def take_answer(self, answer):
        """Forgets the ends that are seen and takes the starts; the (reference, run) of those it began."""
        self.waiting_ends = [end for end in self.waiting_ends if end[0] > answer.get("seen", 0)]
        begun = []
        for reference, run, *_ in answer.get("start", ()):
            if (reference, run) in self.over:
                self._list_end((reference, run), "refused")
                continue
            self.running[(reference, run)] = ""
            begun.append((reference, run))
        return begun


def heartbeat(context, name, answer_lost=False):
    """One heartbeat of a worker and its answer. Records the starts that it was told and those it began."""
    cluster, worker = context.cluster, context.listing[name]
    token = cluster.ask("beat", *worker.beat(cluster.now))
    cluster.until(lambda: token in cluster.answers, 2)
    kind, *rest = cluster.answers[token]
    context.simulated_worker = worker
    worker.told = rest[0][1] if kind == "answer" else {}
    if not answer_lost:
        context.told_starts.update((name, *start[:2]) for start in worker.told.get("start", ()))
        for key in worker.take_answer(worker.told):
            if any(key[0] in other.done for other in context.listing.values()):
                context.started_after_done.append((name, *key))
    cluster.run(0.05)


def prepare(context, *names):
    """Workers with capacity for every task of a trial; worker two has none until they run all of it."""
    context.listing = {name: ListingWorker(name, f"10.8.0.{place}:80") for place, name in enumerate(names, 1)}
    context.simulated_workers = context.listing
    context.told_starts, context.started_after_done = collections.Counter(), []
    context.failed_first = False
    context.listing["two"].room = [0, 0, 0]
    for name in names:
        heartbeat(context, name)
        heartbeat(context, name)


def submit(context, identity, count, key=(), **step):
    """Submits a job of `count` tasks; `key` contains the key of its tenant, if it has one."""
    document = {"spec": "do it", "steps": [{"count": count, "cpu": TASK_CPU, **step}]}
    assert context.cluster.told("job", HOST, PREFIX + identity, document, *key)[0] == 200


def limit_tenant(context, version, tasks):
    """Puts a configuration in force whose tenant may run so many tasks."""
    tenant = {"name": TENANT, "keys": [KEY], "maximum": {"cpu": tasks * TASK_CPU}}
    document = {**CONFIGURATION, "version": version, "tenants": [tenant]}
    answer = context.cluster.told("configure", version - 1, document)
    assert answer == (200, {"version": version}), answer


def run_all(context, count, names):
    for _ in range(ROUNDS):
        for name in names:
            heartbeat(context, name)
        if sum(len(worker.running) for worker in context.listing.values()) == count:
            break
    else:
        raise AssertionError("not every task was started")
    for name in names:
        heartbeat(context, name)
    context.told_starts.clear()
    context.listing["two"].room = [8000, 4096, 0]
    heartbeat(context, "two")
    heartbeat(context, "two")


@given("worker one runs all of a job of {count:d} tasks")
def step_run_job(context, count):
    prepare(context, "one", "two")
    submit(context, JOB, count)
    run_all(context, count, ("one",))
    context.count = count


@given("worker one runs all of a job of {count:d} tasks of a tenant")
def step_run_tenant_job(context, count):
    limit_tenant(context, 2, count)
    prepare(context, "one", "two")
    submit(context, JOB, count, (KEY,))
    run_all(context, count, ("one",))
    context.count = count


@given("worker one runs all of a gang of {count:d} tasks")
def step_run_gang(context, count):
    prepare(context, "one", "two")
    submit(context, JOB, count, gang=True)
    run_all(context, count, ("one",))


@given("workers one and three run all of a job of {count:d} tasks, and worker two is idle")
def step_run_two(context, count):
    prepare(context, "one", "two", "three")
    for name in ("one", "three"):
        context.listing[name].room = [count, 4096, 0]  # thousandths of a core, 2 a task: a half of them
        heartbeat(context, name)
    submit(context, JOB, count)
    run_all(context, count, ("one", "three"))
    assert {len(context.listing[name].running) for name in ("one", "three")} == {count // 2}


# --- ends, and what happens beside them -----------------------------------------------
def drain(context):
    context.listing["one"].state = "draining"


def evacuate(context):
    confirmed = context.cluster.daemon.cluster_state.index
    assert context.cluster.told("evacuate", "zone-one", True, confirmed)[0] == 200


def stop_runs(context):
    """Commits orders to stop every placed run, as preemption does."""
    manager, cluster = context.cluster.daemon.assignments, context.cluster
    manager._propose_stops(tuple((*run, PREEMPTED) for run in cluster.placed()), cluster.now)
    cluster.run(0.1)


def cancel(context):
    assert context.cluster.told("job-cancel", HOST, PREFIX + JOB)[0] == 200


def end_all(context, how, names=("one",)):
    for name in names:
        worker = context.listing[name]
        for key in list(worker.running):
            worker.end(key, how)


def new_leader(context):
    """Starts the control daemon again from its disk, and lets it gather heartbeats while all still runs."""
    context.cluster.begin()
    end = context.cluster.now + constants.REPORT_GATHERING + 0.5
    while context.cluster.now < end:
        heartbeat(context, "one")
    heartbeat(context, "two")
    heartbeat(context, "two")


BESIDE = {
    "worker one drains": drain,
    "the zone of worker one is evacuated": evacuate,
    "all its runs are ordered to stop": stop_runs,
    "the job is cancelled": cancel,
    "nothing else happens": lambda context: None,
}
NEW_LEADER = "a new leader hears of it first"


@when("all its runs end {how:w}, and {what}")
def step_end_all(context, how, what):
    context.how = how
    if what.startswith(NEW_LEADER):
        new_leader(context)
        what = what.removeprefix(NEW_LEADER).removeprefix(", and ") or "nothing else happens"
    end_all(context, how)
    BESIDE[what](context)


@when("all its runs end done while the tenant's maximum is lowered to {tasks:d} tasks")
def step_lower_maximum(context, tasks):
    context.how = "done"
    end_all(context, "done")
    limit_tenant(context, 3, tasks)


@when("all its runs end done, one more job is placed on worker one, and worker one drains")
def step_one_more(context):
    context.listing["two"].room = [0, 0, 0]
    heartbeat(context, "two")
    submit(context, OTHER_JOB, 1)
    cluster = context.cluster
    cluster.until(lambda: any(one[1].startswith(OTHER_JOB) for one in cluster.placed()), 2)
    context.listing["two"].room = [8000, 4096, 0]
    end_all(context, "done")
    drain(context)


@when("worker one lists its ends")
def step_list_once(context):
    heartbeat(context, "one")


@when("worker one lists its ends until all are seen")
def step_list_all(context):
    for _ in range(ROUNDS):
        heartbeat(context, "one")
        if not context.listing["one"].waiting_ends:
            break
    heartbeat(context, "one")


@when("its last member fails, the others end broken, and an answer is lost")
def step_gang_ends(context):
    worker = context.listing["one"]
    *others, last = list(worker.running)
    for key in others:
        worker.end(key, "broken")
    worker.end(last, "failed")
    heartbeat(context, "one", answer_lost=True)


@when("all their runs end done, and both drain")
def step_both_drain(context):
    end_all(context, "done", ("one", "three"))
    for name in ("one", "three"):
        context.listing[name].state = "draining"


@when("both workers heartbeat until all ends of worker one are seen")
def step_until_seen(context):
    for _ in range(ROUNDS):
        heartbeat(context, "one")
        if not context.listing["one"].waiting_ends:
            break
        heartbeat(context, "two")
        failures_now(context)
    else:
        raise AssertionError("not every end was seen")
    for _ in range(10):
        heartbeat(context, "two")
        heartbeat(context, "one")


@when("the workers heartbeat in turn until all ends are seen, then leave")
def step_until_left(context):
    left = {"one", "three"}
    for _ in range(ROUNDS):
        for name in sorted(left):
            heartbeat(context, name)
            if not context.listing[name].waiting_ends:
                assert context.cluster.told("beat-leave", name)[0] == 200
                left.discard(name)
        heartbeat(context, "two")
        if not left:
            break
    assert not left, f"not every end of {left} was seen"
    for _ in range(20):
        heartbeat(context, "two")


# --- what came of it ------------------------------------------------------------------
def batch_of(context):
    job = context.cluster.daemon.cluster_state.leased_jobs.jobs.get(JOB)
    return job.batches[(0, 0)] if job is not None else None


def failures_now(context):
    """Records a start of the gang's second run before the failure of the first was counted."""
    batch = batch_of(context)
    if batch is not None and batch.step.gang and any(key[2] > 1 for key in context.told_starts):
        context.failed_first = context.failed_first or not batch.failures


@then("no task was started after one of its runs had ended done")
def step_none_again(context):
    assert not context.started_after_done, (
        f"{len(context.started_after_done)} tasks were run again: {context.started_after_done[:5]}"
    )


@then("no start was told twice")
def step_none_twice(context):
    repeated = [start for start, count in context.told_starts.items() if count > 1 or start[2] == 1]
    assert not repeated, f"{len(repeated)} starts were told again: {repeated[:5]}"


@then("the failures of each task are counted")
def step_failures(context):
    batch = batch_of(context)
    if context.how == "done":
        assert batch is None, "the job has not ended"
        return
    uncounted = [index for index, task in enumerate(batch.tasks) if not task.failures]
    assert not uncounted, f"no failure of {len(uncounted)} of {context.count} tasks is counted"


@then("the gang's run counts as one failure")
def step_gang_failure(context):
    assert batch_of(context).failures == 1, batch_of(context).failed_runs


@then("no member of it was started again before that")
def step_gang_order(context):
    assert not context.failed_first


@then("the task of the other job is started on worker two alone")
def step_elsewhere(context):
    starts = [start for start in context.told_starts if start[1].startswith(OTHER_JOB)]
    assert [start[0] for start in starts] == ["two"], starts


@then("it is asked for its next heartbeat within {seconds:g} seconds")
def step_soon(context, seconds):
    assert context.simulated_worker.told["again_ms"] <= seconds * 1000, context.simulated_worker.told


@then("it is asked for its next heartbeat in {seconds:g} seconds")
def step_later(context, seconds):
    assert context.simulated_worker.told["again_ms"] == seconds * 1000, context.simulated_worker.told
