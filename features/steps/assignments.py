"""Steps for Assignments: a cluster of one control daemon, stepped by the test with a clock of its own."""

from unittest import mock

from assignment_cluster import CONFIGURATION, HOST, JOB, PREFIX, TASK, SimulatedCluster, SimulatedWorker
from behave import given, then, when

from pinepitch.common import constants

STRAYS = {
    "a task of no known job": (f"{'a' * 16}.0.0.0", 1),
    "a run of another number": (TASK, 7),
    "a task that is another's": (f"{JOB}.0.0.5", 1),
    "a run with a name that is none": ("nothing", 1),
    "a task that the job has not": (f"{JOB}.0.0.9", 1),
    "a step that the job has not": (f"{JOB}.0.7.0", 1),
    "a run with a name of odd digits": (f"{JOB}.0.0.\u00b2", 1),
}


@given("a control daemon that leads alone, with routes in force and leases of 4 seconds")
def step_lead(context):
    context.cluster = SimulatedCluster()
    assert context.cluster.told("configure", 0, CONFIGURATION) == (200, {"version": 1})
    context.cluster.run(constants.REPORT_GATHERING)
    context.simulated_workers = {
        "one": SimulatedWorker("one", "10.8.0.1:80"),
        "two": SimulatedWorker("two", "10.8.0.2:80"),
    }
    context.simulated_worker = context.simulated_workers["one"]


# --- heartbeats ----------------------------------------------------------------------
def send(context, name):
    worker = context.simulated_worker = context.simulated_workers[name]
    context.beaten = context.cluster.now
    context.token = context.cluster.ask("beat", *worker.beat(context.cluster.now))


def hear(context):
    """Waits for the answer to the heartbeat that was sent, and hands it to the worker."""
    cluster, worker = context.cluster, context.simulated_worker
    cluster.until(lambda: context.token in cluster.answers, 2)
    kind, *rest = cluster.answers[context.token]
    context.heard = (kind, *rest)
    worker.told = rest[0][1] if kind == "answer" else {}
    worker.starts.extend(worker.told.get("start", ()))
    if kind == "answer" and "hold_ms" in worker.told:
        context.answered_at = context.beaten
        seen = worker.told["seen"]
        worker.ended = [one for one in worker.ended if one[0] > seen]


def heartbeat(context, name):
    send(context, name)
    hear(context)
    context.cluster.run(0.05)


def until_start(context, name, seconds=20):
    end = context.cluster.now + seconds
    context.began = context.cluster.now
    heartbeat(context, name)
    while not context.simulated_worker.told.get("start"):
        assert context.cluster.now < end, f"no start in {seconds} seconds"
        heartbeat(context, name)


def begins(context):
    for reference, run, _, saved in context.simulated_worker.told["start"]:
        context.simulated_worker.running[(reference, run)] = saved or f"s{run}"


@when("worker {name:w} heartbeats")
def step_heartbeats(context, name):
    heartbeat(context, name)


@when("worker {name:w} heartbeats {count:d} times")
def step_heartbeats_often(context, name, count):
    for _ in range(count):
        heartbeat(context, name)


@when("worker {name:w} heartbeats until it is told a start")
def step_until_start(context, name):
    until_start(context, name)


@when("worker {name:w} sends a heartbeat")
def step_sends(context, name):
    send(context, name)


@when("worker {name:w} sends a heartbeat without a zone")
def step_malformed(context, name):
    identity, document = context.simulated_workers[name].beat(context.cluster.now)
    del document["zone"]
    context.token = context.cluster.ask("beat", identity, document)


@then("the heartbeat is answered with {status:d}")
def step_heartbeat_status(context, status):
    context.cluster.until(lambda: context.token in context.cluster.answers, 2)
    kind, answer, *_ = context.cluster.answers[context.token]
    assert kind == "answer" and answer[0] == status, answer


@when("worker {name:w} heartbeats, which takes {seconds:g} seconds to arrive")
def step_late(context, name, seconds):
    worker = context.simulated_worker = context.simulated_workers[name]
    identity, document = worker.beat(context.cluster.now)
    context.cluster.run(seconds)
    context.beaten = context.cluster.now
    context.token = context.cluster.ask("beat", identity, document)
    hear(context)


@given("a heartbeat of worker one is on its way")
def step_in_transit(context):
    context.late = context.simulated_workers["one"].beat(context.cluster.now)


@given("a heartbeat of worker one that lists nothing is on its way")
def step_empty_in_transit(context):
    context.late = context.simulated_workers["one"].beat(context.cluster.now)
    context.late[1]["running"] = []


@when("the heartbeat of worker one arrives")
def step_arrives(context):
    context.cluster.ask("beat", *context.late)
    context.cluster.run(0.3)


@when("the heartbeat arrives after newer ones")
def step_after_newer(context):
    context.token = context.cluster.ask("beat", *context.late)
    hear(context)


@when("the heartbeat arrives with an end that is no more")
def step_with_end(context):
    context.late[1]["ended"] = [[1, TASK, 1, "stopped", ""]]
    step_after_newer(context)


@then("it is answered without a lease, a start or a stop")
def step_bare(context):
    assert context.heard[0] == "answer" and context.heard[1][0] == 200, context.heard
    answered = context.heard[1][1]
    assert not {"hold_ms", "start", "stop", "seen"} & set(answered), answered


@when("worker one does not get that answer")
def step_not_got(context):
    assert not context.simulated_workers["one"].running


@when("worker {name:w} begins what it was told")
def step_begins(context, name):
    context.simulated_worker = context.simulated_workers[name]
    begins(context)


@given("worker one runs run 1 of a job of 1 task")
def step_runs(context):
    heartbeat(context, "one")
    step_job(context)
    until_start(context, "one")
    begins(context)
    assert list(context.simulated_worker.running) == [(TASK, 1)], context.simulated_worker.running
    heartbeat(context, "one")


@when("run {run:d} ends {how:w} at worker {name:w}")
def step_ends(context, run, how, name):
    step_ends_saved(context, run, how, name, "")


@when('run {run:d} ends {how:w} at worker {name:w} with "{saved}" saved')
def step_ends_saved(context, run, how, name, saved):
    worker = context.simulated_workers[name]
    del worker.running[(TASK, run)]
    worker.ended.append([1, TASK, run, how, saved])


@when("worker one also runs {what}")
def step_stray(context, what):
    context.simulated_workers["one"].running[STRAYS[what]] = ""


@when("worker one tells an end of {what}")
def step_stray_end(context, what):
    context.simulated_workers["one"].ended.append([1, *STRAYS[what], "done", ""])


@given("worker two has no capacity")
def step_no_capacity(context):
    context.simulated_workers["two"].room = [0, 0, 0]


@when("worker two has capacity")
def step_capacity(context):
    context.simulated_workers["two"].room = [4000, 4096, 0]


@when("worker one is draining")
def step_draining(context):
    context.simulated_workers["one"].state = "draining"


@when("worker one is in an emptied zone")
def step_evacuated(context):
    confirmed = context.cluster.daemon.cluster_state.index
    assert context.cluster.told("evacuate", "zone-one", True, confirmed)[0] == 200


@when("the evacuation is taken back")
def step_taken_back(context):
    confirmed = context.cluster.daemon.cluster_state.index
    assert context.cluster.told("evacuate", "zone-one", False, confirmed)[0] == 200


@when("worker two heartbeats from the address of worker one until it is told a start")
def step_reborn(context):
    context.simulated_workers["two"].address = context.simulated_workers["one"].address
    context.unresponsive_since = context.answered_at
    until_start(context, "two")


@when("worker one heartbeats in a state of draining, and says that it ends")
def step_drains_and_leaves(context):
    context.simulated_workers["one"].state = "draining"
    heartbeat(context, "one")
    step_leaves(context)


@when("worker one says that it leaves, {times}, and {goes_on}")
def step_leaves_first(context, times, goes_on):
    context.goes_on = goes_on
    for _ in range(2 if times == "twice" else 1):
        step_leaves(context)


@then("nobody is told a start of the task within {seconds:d} seconds")
def step_nobody_starts(context, seconds):
    end = context.cluster.now + seconds
    while context.cluster.now < end:
        for name in ("one", "two") if context.goes_on.startswith("heartbeats") else ("two",):
            heartbeat(context, name)
            assert not context.simulated_worker.told.get("start"), context.simulated_worker.told
    assert ("one", TASK, 1) in context.cluster.placed()


@when("{seconds:d} seconds more have passed in which only worker two heartbeats")
def step_only_two_for(context, seconds):
    end = context.cluster.now + seconds
    while context.cluster.now < end:
        heartbeat(context, "two")


@then("run {run:d} of the task was told to worker two")
def step_two_told(context, run):
    starts = {tuple(one[:2]) for one in context.simulated_workers["two"].starts}
    assert starts == {(TASK, run)}, starts


@when("worker one says that it leaves, and another job of 1 task comes")
def step_leaves_and_job(context):
    step_leaves(context)
    path = f"{PREFIX}{'b' * 16}"
    assert (
        context.cluster.told("job", HOST, path, {"spec": "(text)", "steps": [{"count": 1, "cpu": 100}]})[0]
        == 200
    )


@then("worker one is told no start by its next heartbeats, though it says that it is ready")
def step_gets_nothing(context):
    for _ in range(20):
        heartbeat(context, "one")
        assert context.simulated_worker.state == "ready"
        assert not context.simulated_worker.told.get("start"), context.simulated_worker.told


@when("worker one says that it ends")
def step_leaves(context):
    assert context.cluster.told("beat-leave", "one")[0] == 200


# --- a gang --------------------------------------------------------------------------
@given("workers one, two, three and four have capacity for one task each")
def step_narrow(context):
    for place, name in enumerate(("one", "two", "three", "four"), 1):
        worker = context.simulated_workers.setdefault(name, SimulatedWorker(name, f"10.8.0.{place}:80"))
        worker.room = [100, 4096, 0]


def both_notified(context, first, second):
    """Sends heartbeats of two workers in turn until both got starts."""
    left = {first, second}
    for _ in range(200):
        for name in sorted(left):
            heartbeat(context, name)
            if context.simulated_worker.told.get("start"):
                begins(context)
                left.discard(name)
        if not left:
            return
    raise AssertionError(f"{left} were told no start")


@given("workers one and two run a gang, and fall silent until it is placed at three and four")
def step_gang(context):
    heartbeat(context, "one")
    heartbeat(context, "two")
    status, _ = context.cluster.told(
        "job",
        HOST,
        PREFIX + JOB,
        {"spec": "do it", "steps": [{"count": 2, "cpu": 100, "gang": True, "saves": True}]},
    )
    assert status == 200
    both_notified(context, "one", "two")
    heartbeat(context, "one")
    heartbeat(context, "two")
    cluster, lapse = context.cluster, context.cluster.now + span(context)
    while cluster.now < lapse - 0.5:
        heartbeat(context, "three")
        heartbeat(context, "four")
    cluster.until(lambda: {one[0] for one in cluster.placed()} == {"three", "four"}, 1.5)


@when("worker {name:w} is told its start")
def step_notified_start(context, name):
    context.simulated_worker = context.simulated_workers[name]
    if not context.simulated_worker.starts:  # an idle minion's beat stays open and may have told it already
        until_start(context, name, 2)


@when('worker one tells how its run of the gang ended, with "{saved}" saved')
def step_gang_end(context, saved):
    worker = context.simulated_workers["one"]
    ((reference, run),) = worker.running
    worker.running.clear()
    worker.ended.append([1, reference, run, "lapsed", saved])
    heartbeat(context, "one")
    heartbeat(context, "one")
    assert worker.told["seen"] == 1, worker.told


@then("both were told the same run and the same text")
def step_one_text(context):
    answered = [context.simulated_workers[name].starts for name in ("three", "four")]
    assert [len(one) for one in answered] == [1, 1], answered
    assert answered[0][0][1] == answered[1][0][1] == 2, answered
    assert answered[0][0][3] == answered[1][0][3], answered


# --- jobs, lease, disk and time ------------------------------------------------------
@when("a job of 1 task is handed in")
def step_job(context):
    context.job = context.cluster.ask(
        "job", HOST, PREFIX + JOB, {"spec": "do it", "steps": [{"count": 1, "cpu": 100}]}
    )
    if context.cluster.saving:
        context.cluster.until(lambda: context.job in context.cluster.answers, 2)
        assert context.cluster.answers[context.job][1][0] == 200, context.cluster.answers[context.job]


@when("the job is cancelled")
def step_cancel(context):
    assert context.cluster.told("job-cancel", HOST, PREFIX + JOB) == (200, {"state": "cancelled"})


@then("the job is shown as {state:w}")
def step_shown(context, state):
    assert context.cluster.told("job-read", HOST, PREFIX + JOB) == (200, {"state": state})


@when("the leader's lease runs out")
def step_lease_out(context):
    context.lease = mock.patch.object(context.cluster.daemon.consensus, "leased", lambda now: False)
    context.lease.start()


@when("the lease stands again")
def step_lease_back(context):
    context.lease.stop()


@when("the disk does not save")
def step_no_saves(context):
    context.cluster.saving = False


@when("the disk saves again")
def step_saves(context):
    context.cluster.saving = True
    context.cluster.step("tick")


@when("{seconds:g} seconds pass without a heartbeat")
def step_pass(context, seconds):
    context.cluster.sent.clear()
    context.cluster.run(seconds)


@when("the control daemon starts again from its disk")
def step_restart(context):
    context.cluster.begin()
    context.answered_at = context.cluster.now  # a hold may have been given until just before


@when("only worker two heartbeats")
def step_only_two(context):
    context.unresponsive_since = context.answered_at
    until_start(context, "two")


@when("only worker two heartbeats until it is told a start")
def step_only_two_start(context):
    until_start(context, "two")


@when("its lease runs out while the disk does not save")
def step_lapses(context):
    cluster = context.cluster
    cluster.run(context.answered_at + span(context) - 0.1 - cluster.now)
    assert cluster.placed(), "the hold ran out too early"
    cluster.saving = False
    cluster.run(2 * constants.WATCH_EVERY)
    assert cluster.placed()


@when("worker one heartbeats until its end is seen")
def step_until_seen(context):
    for _ in range(40):
        heartbeat(context, "one")
        if context.simulated_worker.told.get("seen", 0) >= 1:
            return
    raise AssertionError("the end is never seen")


def span(context):
    """The seconds that must pass after a heartbeat that was answered with a lease."""
    return context.cluster.daemon.lease_duration * (1 + constants.CLOCK_DRIFT) + constants.LAPSE_MARGIN


# --- answers -------------------------------------------------------------------------
@then("nothing was sent to any worker meanwhile")
def step_nothing_sent(context):
    addresses = {worker.address for worker in context.simulated_workers.values()}
    assert not [one for one in context.cluster.sent if one.address in addresses], context.cluster.sent


@then("the heartbeat was not taken")
def step_not_taken(context):
    assert context.heard[0] == "elsewhere", context.heard


@then("the heartbeat has no answer with a lease")
def step_no_answer(context):
    found = context.cluster.answers.get(context.token)
    assert found is None or found[0] != "answer" or "hold_ms" not in found[1][1], found


@then("it is told to start run {run:d} with the job's text, under a lease and a fence")
def step_start(context, run):
    answered = context.simulated_worker.told
    assert [list(one) for one in answered["start"]] == [[TASK, run, "do it", ""]], answered
    assert 0 < answered["hold_ms"] <= 4000 and answered["fence"] >= 1, answered


@then('it is told to start run {run:d} of the task from "{saved}"')
def step_start_from(context, run, saved):
    assert [list(one) for one in context.simulated_worker.told["start"]] == [[TASK, run, "do it", saved]], (
        context.simulated_worker.told
    )


@then("it is told to start a run above {run:d}")
def step_start_above(context, run):
    assert [one[0] for one in context.simulated_worker.told["start"]] == [TASK], context.simulated_worker.told
    assert context.simulated_worker.told["start"][0][1] > run, context.simulated_worker.told


@then("it is told no start")
def step_no_start(context):
    assert not context.simulated_worker.told.get("start"), context.simulated_worker.told


@then("it is told no start and no stop")
def step_quiet(context):
    step_no_start(context)
    assert not context.simulated_worker.told.get("stop"), context.simulated_worker.told


@then("worker one was told no start at all")
def step_never(context):
    assert not context.simulated_workers["one"].starts, context.simulated_workers["one"].starts


@then("it is told that its ends up to {number:d} are seen")
def step_seen(context, number):
    assert context.simulated_worker.told["seen"] == number, context.simulated_worker.told


@then("it is told that its ends up to {number:d} are seen, and no start")
def step_seen_quiet(context, number):
    step_seen(context, number)
    step_no_start(context)


@then("it is told to stop run {run:d}")
def step_stop(context, run):
    assert [list(one) for one in context.simulated_worker.told["stop"]] == [[TASK, run]], (
        context.simulated_worker.told
    )


@then("it is told to stop {what} and nothing else")
def step_stop_stray(context, what):
    assert [list(one) for one in context.simulated_worker.told["stop"]] == [list(STRAYS[what])], (
        context.simulated_worker.told
    )


@then("run {run:d} is the only one placed")
def step_placed(context, run):
    assert [one[1:] for one in context.cluster.placed()] == [(TASK, run)], context.cluster.placed()


@then("worker two is told no start before the lease and its margins are over")
def step_not_before(context):
    assert context.cluster.now - context.unresponsive_since >= span(context), (
        context.cluster.now - context.unresponsive_since
    )


@then("worker two is told to start run 2 soon after")
def step_soon_after(context):
    assert [one[:2] for one in map(list, context.simulated_worker.told["start"])] == [[TASK, 2]], (
        context.simulated_worker.told
    )
    late = context.cluster.now - context.unresponsive_since - span(context)
    assert late <= constants.ELECTION_TIMEOUT + 1.0, late


@then("either no end is seen or the job is shown as completed")
def step_either(context):
    state = context.cluster.daemon.cluster_state.leased_jobs.state(JOB)
    assert context.simulated_worker.told.get("seen", 0) == 0 or state == "completed", (
        context.simulated_worker.told,
        state,
    )
