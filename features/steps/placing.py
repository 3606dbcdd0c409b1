"""Steps for Placing: the cluster state and the placer on rooms in virtual time."""

import random

from behave import given, then, when

from pinepitch.control import replay
from pinepitch.model import queue_settings as rows
from pinepitch.model.reliability import Outcome

QUEUES = {
    "main": {"share": 40, "limit": 400, "retries": 3, "pending": 100_000},
    "other": {"share": 8, "limit": 400, "retries": 3, "pending": 100_000},
    "urgent": {"share": 24, "limit": 400, "retries": 3, "urgency": 9, "preempts": True, "yields": False},
}


class Yard(replay.Replay):
    """A replay whose tasks take exactly the given time. Invariant: that of Replay."""

    def __init__(self, workers, queues=None, capacity=8):
        super().__init__(
            {"queues": queues or QUEUES},
            workers
            if isinstance(workers, list)
            else [(f"m{one}", "a", capacity, []) for one in range(workers)],
            replay.WorkModel(()),
        )
        self.made = 0

    def put(
        self,
        now,
        queue="main",
        units=1,
        seconds=0.1,
        wait=0.0,
        due=0.0,
        labels=(),
        count=1,
        gang="",
        urgency=-1,
        kind="batch",
    ):
        """Submits a pushed job of `count` equal tasks; returns its identity, or None if it is refused."""
        self.made += 1
        before = self.cluster_state.accepted_count
        self.arrive(
            now,
            (
                now,
                queue,
                kind,
                urgency,
                due,
                tuple(
                    (f"s{one}", units, tuple(labels), (), wait, gang, 0, 0.0, seconds, 0, 0.0)
                    for one in range(count)
                ),
            ),
            self.made,
        )
        return f"t{self.cluster_state.accepted_count}" if self.cluster_state.accepted_count > before else None

    def until(self, now, end, stream=()):
        """Runs to `end`; `stream` contains the pending (time, keywords of put)."""
        for moment, what in stream:
            self.schedule(moment, "put", what)
        self.schedule_round(now)
        while self.moments and self.moments[0][0] <= end:
            now, _, *moment = replay.heapq.heappop(self.moments)
            self.step(now, *moment)

    def step(self, now, kind, *what):
        if kind == "put":
            self.put(now, **what[0])
        super().step(now, kind, *what)

    def begun(self, identity):
        """When each task of a pushed job first started, in order."""
        first = {}
        for moment, ref, *_ in self.starts:
            if ref.partition("/")[0] == identity:
                first.setdefault(ref, moment)
        return sorted(first.values())


@given("{count:d} workers with capacity {capacity:d}")
def step_workers(context, count, capacity):
    context.yard = Yard(count, capacity=capacity)


@given("{count:d} workers with capacity {capacity:d}, all of it taken")
def step_taken(context, count, capacity):
    context.yard = Yard(count, {"main": {**QUEUES["main"], "share": count * capacity}})
    context.yard.put(0.0, units=capacity, seconds=1e9, count=count)
    context.yard.until(0.0, 1.0)
    assert len(context.yard.starts) == count


@given("a feed runs on it, and {count:d} of its tasks have failed")
def step_failed(context, count):
    yard = context.yard
    yard.put(0.0, kind="feed", seconds=1e9)
    yard.until(0.0, 0.5)
    (worker,) = yard.workers.values()
    fail(worker, count)
    assert yard.starts and worker.is_unreliable()


def fail(worker, count):
    """Records that so many different tasks have failed on a worker."""
    for number in range(count):
        worker.reliability.add(Outcome((f"t{number}/s0", 0), False), 0.0, counts=True)


@given("a night's {count:d} plans that may start only in an hour")
def step_plans(context, count):
    context.plans = [context.yard.put(0.0, wait=3600.0) for _ in range(count)]


@given("{count:d} jobs for a label that no worker has, each of another shape")
def step_impossible(context, count):
    for one in range(count):
        context.yard.put(0.0, units=one + 1 if one < 400 else 400, labels=[f"unheard-{one}"])


@when("a job comes that may start now")
def step_now(context):
    context.pushed_job = context.yard.put(1.0)


@then("it is started in the first round")
def step_first(context):
    context.yard.until(1.0, 1.0)
    assert context.yard.begun(context.pushed_job) == [1.0], context.yard.starts


@when("an hour has passed")
def step_hour(context):
    context.yard.until(0.0, 3700.0)


@then("all {count:d} have started, none of them early")
def step_all_started(context, count):
    begun = [moment for plan in context.plans for moment in context.yard.begun(plan)]
    assert len(begun) == count and min(begun) >= 3600.0, begun[:3]
    assert max(begun) < 3601.0, max(begun)


@when("{few:d} and then {many:d} tasks of {shapes:d} shapes wait")
def step_waiting(context, few, many, shapes):
    yard, context.looks = context.yard, []
    fit = yard.placer._fit

    def counted(*arguments):
        context.looks[-1] += 1
        return fit(*arguments)

    yard.placer._fit = counted
    put = 0
    for most in (few, many):
        while put < most:
            yard.put(2.0, units=1 + put % shapes)
            put += 1
        context.looks.append(0)
        yard.placer.run_round(yard.cluster_state, yard.workers, [("verge", "")], 2.0, 2.0)


@then("a round looks at no more units at {many:d} than at {few:d}")
def step_looks(context, many, few):
    assert 0 < context.looks[1] <= context.looks[0] <= 8, context.looks


@when("three jobs come with dues in 50, 20 and 30 seconds and one without")
def step_dues(context):
    context.order = [context.yard.put(0.0, due=due, seconds=1.0) for due in (0.0, 50.0, 20.0, 30.0)]
    context.yard.until(0.0, 20.0)


@then("they start in the order of their dues, the one without last")
def step_ordered(context):
    none, fifty, twenty, thirty = context.order
    assert [ref.partition("/")[0] for _, ref, *_ in context.yard.starts] == [twenty, thirty, fifty, none]


@when("a job without due meets a stream with dues that fills the capacity for 2 hours")
def step_due_stream(context):
    context.yard.put(0.0, seconds=5.0, due=30.0)
    context.yard.until(0.0, 1.0)
    context.pushed_job = context.yard.put(1.0)
    context.since = 1.0
    context.yard.until(1.0, 7200.0, [(1.0 + one * 4.9, {"seconds": 5.0, "due": 30.0}) for one in range(1400)])


@then("it waits no longer than {most:g} seconds")
@then("it starts within {most:g} seconds")
def step_bounded(context, most):
    begun = context.yard.begun(context.pushed_job)
    assert begun, "it never started"
    assert begun[-1] - context.since <= most, begun[-1] - context.since


@given("a small Pinturas")
def step_pinturas(context):
    context.yard = Yard(
        11,
        {
            "counter": {
                "share": 28,
                "limit": 44,
                "urgency": 7,
                "retries": 5,
                "preempts": True,
                "yields": False,
            },
            "planning": {"share": 8, "limit": 33, "urgency": 2, "retries": 5},
            "lab": {"share": 8, "limit": 33, "urgency": 3, "retries": 5},
        },
        capacity=4,
    )


@when("counter matches come all day and lab and planner work is due at the gate")
def step_day(context):
    draw, stream = random.Random("gate"), []
    moment = 0.0
    while moment < 600.0:  # the day, shortened; the counter takes 60 % of the room by itself
        moment += draw.expovariate(13.0)
        stream.append((moment, {"queue": "counter", "seconds": 2.0}))
    for _one in range(120):
        stream.append((draw.uniform(0, 300.0), {"queue": "lab", "seconds": 4.0, "due": 280.0, "count": 4}))
        stream.append(
            (
                draw.uniform(0, 300.0),
                {"queue": "planning", "seconds": 4.0, "units": 2, "due": 280.0, "count": 2},
            )
        )
    context.gate = 580.0
    stream = [
        (when_, {**what, "due": context.gate - when_} if what.get("due") else what) for when_, what in stream
    ]
    context.yard.until(0.0, 700.0, stream)


@then("every due is met, and the median counter match waits less than half a second")
def step_met(context):
    missed = [
        one.identity
        for one in context.yard.cluster_state.pushed_jobs.values()
        if one.due and (one.state != "finished" or one.ended_at > one.due)
    ]
    waits = sorted(context.yard.waits["counter"])
    assert len(context.yard.dues) == 240 and not missed, missed[:5]
    assert waits[len(waits) // 2] < 0.5, waits[len(waits) // 2]


WHAT = {
    "a task as wide as a minion": {"queue": "other", "units": 8},
    "a wide task of the same queue": {"queue": "main", "units": 8},
    "a gang of 3 tasks that fill a minion": {"queue": "other", "units": 8, "count": 3, "gang": "g"},
    "an urgent gang": {"queue": "urgent", "units": 8, "count": 3, "gang": "g"},
}


@when(
    "small work of one queue keeps 95 percent of the capacity busy for {seconds:d} seconds and {what} comes"
)
def step_small(context, seconds, what):
    draw, stream, moment = random.Random(what), [], 0.0
    while moment < seconds:
        moment += draw.expovariate(0.95 * 48 / 2 / 2.0)  # two units each, two seconds
        stream.append((moment, {"units": 2, "seconds": draw.uniform(1.0, 3.0)}))
    context.yard.until(0.0, 10.0, [one for one in stream if one[0] <= 10.0])
    context.pushed_job, context.since = context.yard.put(10.0, seconds=1.0, **WHAT[what]), 10.0
    context.yard.until(10.0, seconds, [one for one in stream if one[0] > 10.0])


@when("a gang of {count:d} starts and one worker refuses its member")
def step_refused(context, count):
    yard = context.yard
    context.pushed_job = yard.put(0.0, units=8, seconds=5.0, count=count, gang="g")
    yard.until(0.0, 0.0)
    assert len(yard.begun(context.pushed_job)) == count
    yard.step(0.05, "end", f"{context.pushed_job}/s1", 1, "refused")
    yard.until(0.06, 20.0)


@then("the other two are stopped and all three start again together")
def step_together(context):
    again = [(moment, ref) for moment, ref, attempt, _ in context.yard.starts if attempt == 2]
    assert len(again) == 3 and len({moment for moment, _ in again}) == 1, context.yard.starts
    job = context.yard.cluster_state.pushed_jobs[context.pushed_job]
    assert job.state == "finished" and all(one.failures == 0 for one in job.standings.values())


@when("{count:d} random tables meet random work, changes and ends")
def step_tables(context, count):
    context.tried, context.faults = 0, []
    for seed in range(count):
        draw = random.Random(f"table-{seed}")

        def table(draw=draw):
            found = {}
            for one in range(draw.randrange(1, 5)):
                share = draw.randrange(0, 30)
                found[f"q{one}"] = {
                    "share": share,
                    "limit": share + draw.randrange(1, 30),
                    "lends": draw.random() < 0.7,
                    "preempts": draw.random() < 0.3,
                    "yields": draw.random() < 0.7,
                    "urgency": draw.randrange(10),
                }
            return {f"q{one}": {**rows.DEFAULTS, "share": 0, "limit": 1} for one in range(4)} | found

        yard = Yard(4, table())
        moment = 0.0
        for _ in range(250):
            moment += draw.uniform(0.0, 0.2)
            act = draw.random()
            before = len(yard.starts)
            if act < 0.6:
                yard.put(
                    moment,
                    f"q{draw.randrange(4)}",
                    draw.randrange(1, 6),
                    draw.uniform(0.05, 2.0),
                    count=draw.randrange(1, 4),
                    gang=draw.choice(("", "g")),
                    kind=draw.choice(("batch", "batch", "feed")),
                )
            elif act < 0.7:
                yard.apply(moment, ("setup", f"{seed}-{moment}", None, "merge", {"queues": table()}, "", ""))
            yard.until(moment, moment + 0.1)
            record = yard.cluster_state
            record.audit()
            for queue, queue_settings in record.queue_settings.items():
                context.tried += 1
                out = sum(
                    credits
                    for reserved in record.reserved.values()
                    for ref in reserved
                    for lender, credits in record.find(ref)[2].charges
                    if lender == queue
                )
                if record.balance(queue) + out != queue_settings.share:
                    context.faults.append(
                        f"{seed}: {queue} has {record.balance(queue)} and {out} out of {queue_settings.share}"
                    )
                fresh = {record.find(ref)[0].queue for _, ref, *_ in yard.starts[before:] if record.find(ref)}
                if queue in fresh and record.used_units.get(queue, 0) > queue_settings.limit:
                    context.faults.append(
                        f"{seed}: {queue} uses {record.used_units[queue]} of {queue_settings.limit}"
                    )


@then("at every step credits add up and no limit is passed by a new placement")
def step_conserved(context):
    assert context.tried > 10_000
    assert not context.faults, context.faults[:5]


@when("a queue has lent all it has and then wakes")
def step_wakes(context):
    yard = context.yard = Yard(4, {"main": {"share": 16, "limit": 32}, "idle": {"share": 16, "limit": 32}})
    for _ in range(40):
        yard.put(0.0, seconds=3.0)
    yard.until(0.0, 1.0)
    assert yard.cluster_state.balance("idle") == 0 and yard.cluster_state.used_units["main"] == 32
    for _ in range(30):
        yard.put(1.0, "idle", seconds=30.0)
        yard.put(1.0, seconds=3.0)
    yard.until(1.0, 3.5)


@then("it has its share back once what it lent for has ended")
def step_back(context):
    record = context.yard.cluster_state
    assert record.used_units["idle"] == 16, record.used_units
    assert record.used_units["main"] <= 16, record.used_units


@when("feeds of a queue without share meet idle lenders")
def step_feeds(context):
    context.yard = Yard(4, {"main": {"share": 16, "limit": 32}, "poor": {"share": 0, "limit": 32}})
    context.pushed_job = context.yard.put(0.0, "poor", kind="feed")
    context.yard.until(0.0, 5.0)


@then('none starts, and the reason is "{why}"')
def step_reason(context, why):
    record = context.yard.cluster_state
    assert not context.yard.starts
    assert context.yard.placer.reason(record, record.pushed_jobs[context.pushed_job], "s0") == why
