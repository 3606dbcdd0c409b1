"""Steps for Leased job state: long random histories on several cluster states."""

import collections
import random

import cbor2
from behave import given, then
from leased_job_documents import (
    QUEUE,
    document,
    plain_of,
    tenant,
)

from pinepitch.scheduling import configuration
from pinepitch.scheduling import job_document as jobs
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.state.cluster_state import ClusterState

# --- long random histories -----------------------------------------------------------
WORKERS = ("m1", "m2", "m3", "m4")
HOWS = ("done", "done", "done", "done", "failed", "failed", "stopped", "lapsed", "broken", "alone", "refused")


class Chance:
    """Draws operations that fit what `record` holds, and some that don't. Invariant: the same
    seed and the same records draw the same."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.count = 0
        self.gone = []  # (minion, reference, run) let go without being heard
        self.heard = []  # ends that were told already
        self.version = 1

    def draw(self, record):
        kinds = {
            "take": 4,
            "assign": 12,
            "end": 12,
            "late": 3,
            "again": 2,
            "cancel": 0.6,
            "stop": 2,
            "configure": 0.4,
            "evacuate": 0.4,
            "duty": 0.3,
        }
        kind = self.random.choices(list(kinds), list(kinds.values()))[0]
        return getattr(self, kind)(record.leased_jobs, record)

    def take(self, leased_jobs, record):
        if leased_jobs.jobs and self.random.random() < 0.1:
            identity = self.random.choice(list(leased_jobs.jobs))
        else:
            self.count += 1
            identity = f"{self.count:016x}"
        steps = []
        for place in range(self.random.randint(1, 4)):
            steps.append(
                {
                    "count": self.random.randint(1, 4),
                    "cpu": 100,
                    "gang": self.random.random() < 0.3,
                    "lasts": self.random.random() < 0.05,
                    "saves": True,
                    "after": [one for one in range(place) if self.random.random() < 0.5],
                }
            )
        times = self.random.choice((0, 0, 0, 2, 3))
        first = int(record.time * 1000) + self.random.randint(-2000, 5000)
        queue = QUEUE if self.random.random() < 0.95 else "nowhere"
        return (
            "job",
            identity,
            queue,
            plain_of(
                steps=steps,
                times=times,
                first_ms=max(0, first) if times else 0,
                every_ms=1500 if times else 0,
            ),
        )

    def assign(self, leased_jobs, record):
        epoch = record.epochs["placing"][0] - (self.random.random() < 0.05)
        items = []
        keys = list(leased_jobs.ready)
        if self.random.random() < 0.1:
            keys = [(job.identity, *key) for job in leased_jobs.jobs.values() for key in job.batch_keys()]
        for key in self.random.sample(keys, min(len(keys), self.random.randint(1, 4))):
            job = leased_jobs.jobs[key[0]]
            batch = job.batches.get(key[1:]) or job.new_batch(*key[1:])
            indices = sorted(batch.waiting)
            if self.random.random() < 0.2:
                indices = indices[:-1]
            items.append((*key, tuple((index, self.random.choice(WORKERS)) for index in indices)))
        return ("job-assign", epoch, tuple(items))

    def placements(self, leased_jobs):
        return [one for placed in leased_jobs.placements.values() for one in placed.values()]

    def end(self, leased_jobs, record):
        placed = self.placements(leased_jobs)
        items = []
        for one in self.random.sample(placed, min(len(placed), self.random.randint(1, 5))):
            heard = self.random.random() < 0.8
            how = self.random.choice(HOWS) if heard else self.random.choice(("lapsed", "unsent"))
            key = (one.worker_id, one.reference(), one.run)
            saved = f"s{self.random.randint(1, 9)}" if self.random.random() < 0.3 and how != "unsent" else ""
            (self.heard if heard else self.gone).append(key)
            items.append((*key, how, saved, heard))
        return ("job-ended", tuple(items))

    def late(self, leased_jobs, record):
        if not self.gone:
            return ("job-ended", ())
        key = self.gone.pop(self.random.randrange(len(self.gone)))
        self.heard.append(key)
        return ("job-ended", ((*key, self.random.choice(HOWS), "", True),))

    def again(self, leased_jobs, record):
        if not self.heard:
            return ("job-ended", ())
        return ("job-ended", ((*self.random.choice(self.heard), self.random.choice(HOWS), "again", True),))

    def cancel(self, leased_jobs, record):
        known = [*leased_jobs.jobs, *leased_jobs.final] or ["0" * 16]
        return ("job-cancel", self.random.choice(known))

    def stop(self, leased_jobs, record):
        placed = self.placements(leased_jobs)
        return (
            "job-stop",
            record.epochs["placing"][0],
            tuple(
                (one.worker_id, one.reference(), one.run, "room")
                for one in self.random.sample(placed, min(len(placed), 2))
            ),
        )

    def configure(self, leased_jobs, record):
        base = leased_jobs.configuration.version
        version = base + self.random.choice((0, 1, 2, 5))
        if self.random.random() < 0.5:
            changed = document(self.random.randint(1, 3), version)
            return ("configure", base, changed, configuration.digest_of([base, changed]))
        upserts = {"routes": [{**document(self.random.randint(1, 3))["routes"][0]}]}
        return ("amend", base, version, upserts, {}, configuration.digest_of([base, version, upserts]))

    def evacuate(self, leased_jobs, record):
        order = (self.random.choice(("north", "south")), self.random.random() < 0.5)
        if self.random.random() < 0.3:
            return ("evacuate", *order)  # as members of level 2 propose it
        return ("evacuation", *order, record.index - self.random.choice((0, 0, 20, 200)))

    def duty(self, leased_jobs, record):
        return ("duty", "placing", self.random.choice(("one", "two")))


class TenantChance(Chance):
    """As above, with jobs of three tenants whose maxima change, and jobs without a tenant."""

    NAMES = ("small", "large", "free", "")

    def __init__(self, seed):
        super().__init__(seed)
        self.tenant_of = {}  # job -> name of its tenant

    def take(self, leased_jobs, record):
        _, identity, queue, plain = super().take(leased_jobs, record)
        spec, steps, *when = plain
        place = jobs.STEP_FIELDS.index("mem_mb")
        changed = []
        for step in steps:
            fields = list(step)
            fields[place - 1 : place + 2] = self.random.choice(
                ((100, 0, 0), (100, 50, 0), (0, 0, 1), (200, 100, 2), (900, 0, 0))
            )
            changed.append(tuple(fields))
        name = self.random.choice(self.NAMES)
        self.tenant_of.setdefault(identity, name)
        return ("tenant-job", identity, queue, (spec, tuple(changed), *when), name)

    def configure(self, leased_jobs, record):
        base = leased_jobs.configuration.version
        return self.configure_whole(base, base + self.random.choice((1, 2, 5)))

    def configure_whole(self, base, version):
        """A whole configuration with new maxima for each tenant."""
        small = {"cpu": self.random.choice((0, 100, 300, 800)), "gpu": self.random.choice((0, 1, 3))}
        large = {"cpu": self.random.choice((600, 2000)), "mem_mb": self.random.choice((0, 120, 400))}
        tenants = [tenant("small", small), tenant("large", large), tenant("free", None)]
        changed = {**document(2, version), "tenants": tenants}
        return ("configure-tenants", base, changed, configuration.digest_of([base, changed]), True)


class TenantUsage:
    """What tenants have running, added up anew from the placements and from who handed each job in.

    Invariant: apart from the code that it checks; `starts` counts the starts of limited tenants that were
    judged, `at_maximum` those that left no room for another of the same.
    """

    RESOURCES = ("cpu", "mem_mb", "gpu")

    def __init__(self, tenant_of):
        self.tenant_of = tenant_of
        self.faults, self.starts, self.at_maximum = [], 0, 0

    def look(self, records, operation, outcome):
        """Compares the sums after an operation, and checks what it placed."""
        used = self._used(records[0].leased_jobs)
        for record in records:
            told = {name: list(amount) for name, amount in record.leased_jobs.used_by_tenant.items()}
            if told != {name: amount for name, amount in used.items() if any(amount)}:
                self.faults.append((operation, told, used))
        if operation[0] == "job-assign" and outcome[0] == "assigned":
            self._judge(records[0].leased_jobs, used, outcome[1])

    def _used(self, leased_jobs):
        used = {}
        for placements in leased_jobs.placements.values():
            for one in placements.values():
                name = self.tenant_of[one.job]
                if name:
                    sums = used.setdefault(name, [0, 0, 0])
                    for kind in range(3):
                        sums[kind] += one.resources[kind]
        return used

    def _judge(self, leased_jobs, used, placed):
        limits = {one["name"]: one["maximum"] or {} for one in leased_jobs.configuration.document["tenants"]}
        running = collections.Counter(
            (self.tenant_of[one.job], kind)
            for placements in leased_jobs.placements.values()
            for one in placements.values()
            for kind in range(3)
            if one.resources[kind]
        )
        for one in placed:
            name = self.tenant_of[one.job]
            for kind, resource in enumerate(self.RESOURCES):
                most = limits.get(name, {}).get(resource, 0)
                if not most or not one.resources[kind]:
                    continue
                self.starts += 1
                if used[name][kind] > most and running[(name, kind)] > 1:
                    self.faults.append((name, resource, used[name][kind], most, one.reference()))
                self.at_maximum += used[name][kind] + one.resources[kind] > most


def may_start(leased_jobs, now):
    """The batches that are due and may start, determined from the tasks alone."""
    found = set()
    for job in leased_jobs.jobs.values():
        for key in job.batch_keys():
            batch = job.batches.get(key) or job.new_batch(*key)
            waits = [task.state == "waiting" for task in batch.tasks]
            undone = [task.state != "done" for task in batch.tasks]
            before = [
                task.state == "done"
                for one in batch.step.after
                for task in (job.batches.get((key[0], one)) or job.new_batch(key[0], one)).tasks
            ]
            complete = not batch.step.gang or sum(waits) == sum(undone)
            if any(waits) and all(before) and complete and batch.due <= now:
                found.add((job.identity, *key))
    return found


@given("three cluster states that apply the same {count:d} random operations of seed {seed:d}")
def step_histories(context, count, seed):
    apply_histories(context, count, Chance(seed), [("configure", 0, document(2), "first")])


@given("three cluster states that apply the same {count:d} random operations of tenants of seed {seed:d}")
def step_tenant_histories(context, count, seed):
    chance = TenantChance(seed)
    context.usage = TenantUsage(chance.tenant_of)
    apply_histories(context, count, chance, [chance.configure_whole(0, 1)])


def apply_histories(context, count, chance, operations):
    """Applies what `chance` draws after some first operations to three cluster states, two of which are
    taken from images on the way.
    """
    records = [ClusterState(), ClusterState(), ClusterState()]
    operations = [*operations, ("duty", "placing", "one")]
    context.unequal, context.ready, context.given, context.parts = [], [], set(), []
    context.outcomes, context.states = {}, set()
    for index in range(1, count + 1):
        operation = operations[index - 1] if index <= len(operations) else chance.draw(records[0])
        time = records[0].time + (
            100.0 if index % 100 == 0 else chance.random.choice((0.0, 0.05, 0.1, 0.5, 1.0))
        )
        if index % 97 == 0:
            records[1] = ClusterState.decode(ClusterState.encode(records[1].image()))
        if index == count // 2:
            records[2] = ClusterState.decode(ClusterState.encode(records[2].image()))
        # what goes through the log comes back as lists
        reported = [
            one.apply(index, time, passed)
            for one, passed in zip(
                records, (operation, cbor2.loads(cbor2.dumps(operation)), operation), strict=False
            )
        ]
        kinds = {outcome[0] for outcome in reported}
        images = {cbor2.dumps(one.leased_jobs.image()) for one in records}
        if len(kinds) != 1 or len(images) != 1:
            context.unequal.append((index, operation, reported))
        context.ready.append(
            [set(one.leased_jobs.ready) for one in records] + [may_start(records[0].leased_jobs, time)]
        )
        context.outcomes[(operation[0], reported[0][0])] = (
            context.outcomes.get((operation[0], reported[0][0]), 0) + 1
        )
        context.states.update(one[0] for one in records[0].leased_jobs.final.values())
        if operation[0] == "job-assign" and reported[0][0] == "assigned":
            watch_placed(context, records[0].leased_jobs, reported[0][1])
        if "usage" in context:
            context.usage.look(records, operation, reported[0])
    context.records = records


def watch_placed(context, leased_jobs, placed):
    gangs = {}
    for one in placed:
        key = (one.reference(), one.run)
        assert key not in context.given, f"{key} was given twice"
        context.given.add(key)
        batch = leased_jobs.jobs[one.job].batches[(one.time, one.number)]
        if batch.step.gang:
            gangs.setdefault((one.job, one.time, one.number), (batch, []))[1].append(one.run)
    context.parts.extend(
        key for key, (batch, runs) in gangs.items() if len(runs) != len(batch.tasks) or len(set(runs)) != 1
    )


@then("all along their images are equal, whichever of them was taken from an image between")
def step_equal(context):
    assert not context.unequal, context.unequal[0]
    first = context.records[0].leased_jobs
    again = LeasedJobState.from_image(cbor2.loads(cbor2.dumps(first.image())))
    assert cbor2.dumps(again.image()) == cbor2.dumps(first.image())
    again.open_due(context.records[0].time)
    assert set(again.ready) == set(first.ready)
    assert context.states == {"completed", "failed", "cancelled"} and first.jobs and first.placements, (
        "the history was too tame",
        context.states,
        context.outcomes,
    )


@then("the same batches are ready in each, namely those that may start")
def step_same_ready(context):
    for index, sets in enumerate(context.ready, 1):
        assert all(one == sets[0] for one in sets), (index, sets)


@then("no run number was ever given twice, and no gang was ever placed in part")
def step_runs_once(context):
    assert len(context.given) > 100, len(context.given)
    assert not context.parts, context.parts


@then("no tenant ever had more placed than its maximum, and the sums were those of its placements")
def step_usage(context):
    assert not context.usage.faults, context.usage.faults[0]
    assert context.usage.starts > 50 and context.usage.at_maximum > 10, (
        "the history was too tame",
        context.usage.starts,
        context.usage.at_maximum,
    )
