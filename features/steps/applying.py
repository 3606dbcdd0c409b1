"""Steps for Applying: entries at the limits of amounts, on several replicas, with rounds of a leader."""

import collections
import contextlib
import json
import os
import socket
import subprocess
import sys
import traceback
from unittest import mock

import cbor2
import hypothesis
from behave import given, then, when
from entry_histories import AMOUNTS, BOUNDED, LOWERED, EntryChance
from hypothesis import strategies
from leased_job_histories import WORKERS

from pinepitch.common import constants
from pinepitch.common.entry_error import ADVICE
from pinepitch.model import pushed_job
from pinepitch.scheduling.assigner import Assigner
from pinepitch.scheduling.leased_job_state import LeasedJobState
from pinepitch.scheduling.progress import ProgressWatch
from pinepitch.scheduling.run_speed import RunTimeEstimator
from pinepitch.scheduling.worker import Worker
from pinepitch.state.cluster_state import ClusterState
from pinepitch.state.registry import ACTIONS

IMAGE_PART, REPLAY_PART, ROUND_PART = 0.1, 0.02, 0.3  # fractions of the entries after which that is done
FAR = 2.0  # ratio


class Leader:
    """What a leader decides about a state: its rounds, and which runs it stops."""

    def __init__(self, chance):
        self.chance, self.now = chance, 1000.0
        self.estimator = RunTimeEstimator(FAR)
        self.assigner, self.progress = Assigner(self.estimator), ProgressWatch(self.estimator)
        self.workers = {name: Worker(name, self.now) for name in WORKERS}
        self.stopping = set()  # (reference, run), as an AssignmentManager has them

    def round(self, record):
        """Proposes what a round decides after each worker has sent a heartbeat."""
        self.now += 0.5
        for number, worker in enumerate(self.workers.values()):
            self._take_heartbeat(worker, number, record.leased_jobs)
        items, stops = self.assigner.run_round(record.leased_jobs, self.workers, self, self.now, record.time)
        stops = (*stops, *(self.progress.find_stops(self.workers, record.leased_jobs, set(), self.now)))
        epoch = record.epoch("placing")
        return [("job-assign", epoch, items), ("job-stop", epoch, tuple(tuple(one) for one in stops))]

    def _take_heartbeat(self, worker, number, leased_jobs):
        placed = leased_jobs.placements.get(worker.identity, {})
        draw = self.chance.random
        worker.take_heartbeat(
            {
                "sequence": worker.sequence + 1,
                "clock_ms": self.now * 1000,
                "service": "web",
                "address": f"10.0.0.{number}:80",
                "zone": "north" if number % 2 else "south",
                "state": "ready",
                "labels": ["a", f"r{number % 2}"],
                "room": [draw.choice(AMOUNTS) for _ in range(3)],
                "leaves_ms": None,
                "running": [(*key, "", draw.choice((0, 50, 100))) for key in placed if draw.random() < 0.7],
                "ended": [],
            },
            self.now,
        )


class Replicas:
    """Three replicas to which the same entries are applied: one that is never rebuilt, one that takes entries
    as the log gives them back and is rebuilt from its image now and then, and one rebuilt from the log.
    """

    def __init__(self, chance):
        self.chance, self.log = chance, []
        self.states = [ClusterState(), ClusterState(), ClusterState()]
        self.outcomes = collections.Counter()  # (operation, kind of the outcome) -> entries

    def apply(self, time, operation):
        """Applies one entry to all replicas."""
        index = len(self.log) + 1
        logged = cbor2.loads(cbor2.dumps(operation))
        self.log.append((time, logged))
        outcomes = [
            state.apply(index, time, form)
            for state, form in zip(self.states, (operation, logged, logged), strict=True)
        ]
        kinds = {outcome[0] for outcome in outcomes}
        assert len(kinds) == 1, ("outcomes differ", operation, outcomes)
        self.outcomes[(operation[0], outcomes[0][0])] += 1
        if self.chance.random.random() < IMAGE_PART:
            self.states[1] = _from_image(self.states[1])
        if self.chance.random.random() < REPLAY_PART:
            self.states[2] = self._from_log()
        for state in self.states:
            state.sealed.clear()

    def _from_log(self):
        state = ClusterState()
        for index, (time, operation) in enumerate(self.log, 1):
            state.apply(index, time, operation)
        return state

    def check(self):
        """Asserts that the replicas are equal, and that what they count is what they hold."""
        images = {ClusterState.encode(state.image()) for state in self.states}
        assert len(images) == 1, ("replicas differ after", self.log[-1])
        for state in self.states:
            _check_usage(state.leased_jobs, state.time)
            state.audit()


def _from_image(state):
    segments = dict(state.archive.segments)
    return ClusterState.decode(ClusterState.encode(state.image()), segments)


def _check_usage(leased_jobs, time):
    """Asserts that what is in use is the sum of the placements, also in a state rebuilt from the image, and
    that the same batches are ready in both at a time.
    """
    by_worker, by_class, by_tenant = {}, {}, {}
    for placements in leased_jobs.placements.values():
        for one in placements.values():
            _add_to(by_worker, one.worker_id, one.resources)
            _add_to(by_class, (one.service, one.priority), one.resources)
            _add_to(by_tenant, one.tenant, one.resources)
    by_tenant.pop("", None)
    rebuilt = LeasedJobState.from_image(cbor2.loads(cbor2.dumps(leased_jobs.image())))
    for state in (leased_jobs, rebuilt):
        assert state.used_by_worker == by_worker, (state.used_by_worker, by_worker)
        assert state.used_by_priority_class == by_class, (state.used_by_priority_class, by_class)
        assert state.used_by_tenant == by_tenant, (state.used_by_tenant, by_tenant)
        assert {key: count for key, count in state.queued_counts.items() if count} == _queued(state)
    assert rebuilt.memory_bytes() == leased_jobs.memory_bytes()
    for state in (leased_jobs, rebuilt):
        state.open_due(time)
    assert rebuilt.ready.keys() == leased_jobs.ready.keys()


def _add_to(sums, key, resources):
    """Adds resources, unless they are nothing: what uses nothing has no entry."""
    if any(resources):
        before = sums.get(key, (0, 0, 0))
        sums[key] = tuple(amount + more for amount, more in zip(before, resources, strict=True))


def _queued(leased_jobs):
    return dict(collections.Counter(job.queue for job in leased_jobs.jobs.values() if not job.begun))


class History:
    """One drawn history, and the first error in it, as text."""

    def __init__(self, drawn, entries):
        self.chance = EntryChance(drawn)
        self.replicas, self.leader = Replicas(self.chance), Leader(self.chance)
        self.entries, self.rounds, self.at_limits = entries, 0, set()
        self.error = ""

    def play(self):
        """Applies the entries, until one raises an error or a check fails."""
        time = 1.0
        entries = [self.chance.configure_whole(0, 1), ("duty", "placing", "one")]
        while len(self.replicas.log) < self.entries:
            time += self.chance.random.choice((0.0, 0.1, 1.0, 10.0))
            entries = entries or [self.chance.draw(self.replicas.states[0])]
            with_round = self.chance.random.random() < ROUND_PART
            try:
                self._play_some(time, entries, with_round)
            except Exception:
                last = self.replicas.log[-1]
                self.error = f"entry {len(self.replicas.log)}, {last}:\n{traceback.format_exc()}"
                return
            entries = []
            self._note_limits(self.replicas.states[0])

    def _play_some(self, time, entries, with_round):
        """Applies entries and, if asked for, those that a round of the leader proposes then."""
        for operation in entries:
            self.replicas.apply(time, operation)
        if with_round:
            self.rounds += 1
            for operation in self.leader.round(self.replicas.states[0]):
                self.replicas.apply(time, operation)
        self.replicas.check()

    def _note_limits(self, state):
        lengths = {
            "MAX_LEASED_JOBS": len(state.leased_jobs.jobs),
            "MAX_FINAL_JOBS": len(state.leased_jobs.final),
            "CONFIGURATIONS_KEPT": len(state.leased_jobs.configuration.digests_by_version),
            "MAX_TOMBSTONES": len(state.leased_jobs.tombstones),
            "MAX_EVACUATED_ZONES": len(state.leased_jobs.evacuated),
            "MARKS_KEPT": len(state.change_watermarks.outcomes),
            "MAX_DRAFTS": len(state.drafts),
            "SEGMENT_JOBS": len(state.finished),
        }
        self.at_limits.update(name for name, length in lengths.items() if length >= LOWERED[name])


@contextlib.contextmanager
def lowered_limits():
    """Lowers the limits of lists."""
    with contextlib.ExitStack() as stack:
        for name, limit in LOWERED.items():
            stack.enter_context(mock.patch.object(constants, name, limit))
        yield


@when(
    "{count:d} histories of {entries:d} entries are drawn with seed {seed:d}, "
    "with the limits of lists lowered"
)
def step_histories(context, count, entries, seed):
    context.histories = []

    @hypothesis.seed(seed)
    @hypothesis.settings(BOUNDED, max_examples=count)
    @hypothesis.given(strategies.randoms(use_true_random=True))
    def play(drawn):
        history = History(drawn, entries)
        context.histories.append(history)
        history.play()

    with lowered_limits():
        play()


@then("no entry and no scheduling round raised an error, and no replica differed from the others")
def step_no_error(context):
    errors = [history.error for history in context.histories if history.error]
    assert not errors, f"{len(errors)} of {len(context.histories)} histories: {errors[0]}"


@then("every kind of entry was applied, rounds placed tasks, and lists came to their limits")
def step_varied(context):
    outcomes = sum((history.replicas.outcomes for history in context.histories), collections.Counter())
    missing = ACTIONS.keys() - {operation for operation, _ in outcomes}
    assert missing <= {"members", "noop", "amend"}, missing
    for kind in (("job-ended", "ended"), ("job-assign", "assigned"), ("place", "placed")):
        assert outcomes[kind], (kind, outcomes)
    assert sum(history.rounds for history in context.histories) > len(context.histories)
    at_limits = set().union(*(history.at_limits for history in context.histories))
    expected = {"MAX_FINAL_JOBS", "MAX_TOMBSTONES", "MAX_EVACUATED_ZONES", "MARKS_KEPT", "MAX_DRAFTS"}
    assert at_limits >= expected, at_limits


# --- orders for zones ------------------------------------------------------------------
def order_zones(context, name, begun, with_index=False):
    """Applies one order for each of the zones; from level 3 on it carries the index confirmed before it."""
    state = context.cluster_state
    for zone in context.zones:
        index = state.index + 1
        confirmed = (state.index,) if with_index else ()
        outcome = state.apply(index, float(index), (name, zone, begun, *confirmed))
        assert outcome == ("ok",), (zone, outcome)


@when("orders of level 2 evacuate one zone more than twice as many as may be evacuated")
def step_many_zones(context):
    context.zones = [f"zone-{place}" for place in range(2 * constants.MAX_EVACUATED_ZONES + 1)]
    order_zones(context, "evacuate", True)


@when("orders of level 3 {word:w} the evacuation of the same zones")
def step_same_zones(context, word):
    order_zones(context, "evacuation", word == "begin", with_index=True)


@then("every zone is evacuated, also in a replica rebuilt from an image")
def step_all_evacuated(context):
    for state in (context.cluster_state, _from_image(context.cluster_state)):
        assert set(state.leased_jobs.evacuated) == set(context.zones), len(state.leased_jobs.evacuated)


@then("no zone is evacuated, and the orders that are remembered are twice as many as may be evacuated")
def step_none_evacuated(context):
    evacuations = context.cluster_state.leased_jobs.evacuations
    assert not evacuations.since, evacuations.since
    assert len(evacuations.newest) == 2 * constants.MAX_EVACUATED_ZONES, len(evacuations.newest)


# --- a gang of pushed tasks ------------------------------------------------------------
@given("a cluster state with a pushed job of a gang of two")
def step_gang(context):
    context.cluster_state = ClusterState()
    tasks = [{"name": name, "gang": "both"} for name in ("one", "two")]
    document, faults = pushed_job.checked({"queue": "default", "tasks": tasks})
    assert not faults, faults
    assert append(context, ("duty", "placing", "daemon")) == ("epoch", 1)
    assert append(context, ("ticket", "key", "digest", document)) == ("accepted", "t1")


def append(context, operation):
    """Applies the next entry."""
    state = context.cluster_state
    return state.apply(state.index + 1, state.time + 1.0, operation)


def place(context, placements):
    """Applies an entry that places tasks, given as (name, worker)."""
    items = tuple(
        (f"t1/{name}", worker, "north", 8, "incarnation", "front", (("default", 1),), "10.0.0.1:80")
        for name, worker in placements
    )
    return append(context, ("place", 1, 1, items))


@when("an entry places the first member on two workers and the second on one")
def step_place_twice(context):
    context.outcome = place(context, (("one", "m1"), ("one", "m2"), ("two", "m1")))


@then('it is refused as "{reason}", and nothing is reserved')
def step_gang_refused(context, reason):
    kind, refusals = context.outcome
    assert kind == "placed" and {why for _, why in refusals} == {reason}, context.outcome
    assert not context.cluster_state.reserved, context.cluster_state.reserved


@when("an entry places each member once, and both end")
def step_place_once(context):
    kind, refusals = place(context, (("one", "m1"), ("two", "m2")))
    assert kind == "placed" and not any(why for _, why in refusals), refusals
    ends = tuple((f"t1/{name}", 1, "done") for name in ("one", "two"))
    assert append(context, ("ended", ends)) == ("ended", ("done", "done"))


@then("nothing is reserved, and the audit finds nothing")
def step_nothing_reserved(context):
    assert not context.cluster_state.reserved, context.cluster_state.reserved
    context.cluster_state.audit()


# --- an entry that can't be applied ----------------------------------------------------
FAILING_DAEMON = """
import sys
from pinepitch.control import program
from pinepitch.state import registry

def fail(state, operation):
    raise KeyError("acme")

registry.ACTIONS["job-ended"] = registry.ACTIONS["job-ended"]._replace(apply=fail)
program.run(address=sys.argv[1], zone="a", data=sys.argv[2], bootstrap_size=1, seeds=sys.argv[3])
"""
ENDS_WITHIN = 30.0  # seconds; from the start until the log is applied


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return "{}:{}".format(*listener.getsockname())


@when("a control daemon that fails to apply ends of runs is started on it {count:d} times")
def step_start_failing(context, count):
    folder = os.path.join(context.folder, "first")
    context.ended = []
    for _ in range(count):
        address = free_address()
        seeds = ",".join((address, free_address(), free_address()))
        command = [sys.executable, "-c", FAILING_DAEMON, address, folder, seeds]
        context.ended.append(subprocess.run(command, capture_output=True, text=True, timeout=ENDS_WITHIN))


@then(
    "each ends with status {status:d} and one critical event {number:d}, which names the entry, its index, "
    "the fault and the advice"
)
def step_one_line(context, status, number):
    for ended in context.ended:
        assert ended.returncode == status, ended
        events = [json.loads(line) for line in ended.stderr.splitlines()]
        found = [event for event in events if event["number"] == number]
        assert len(found) == 1, ended.stderr
        event = found[0]
        assert event["operation"] == "job-ended" and event["index"] > 1, event
        assert event["fault"] == "KeyError('acme')" and event["where"].endswith("fail"), event
        assert event["advice"] == ADVICE, event
