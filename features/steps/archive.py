"""Steps for Archive: finished jobs beyond the newest."""

import os
import tempfile

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.consensus import snapshot_sender
from pinepitch.simulation import injected_faults, pushed_job_trial
from pinepitch.simulation.simulator import Simulator
from pinepitch.state.cluster_state import ClusterState
from pinepitch.storage.store import Damaged, Store

PLAIN = {
    "queue": "default",
    "kind": "batch",
    "urgency": -1,
    "not_before": 0,
    "due": 0,
    "tasks": [
        {
            "name": f"s{one}",
            "units": 1,
            "labels": [],
            "after": ["s0"] if one else [],
            "gang": "",
            "not_before": 0,
            "attempts": 0,
            "limit": 0,
            "work": {"seconds": 0.1},
        }
        for one in range(3)
    ],
}


def finish(context, count):
    record = context.cluster_state
    for _ in range(count):
        context.index += 1
        moment, place = context.begun + context.index * 0.01, record.accepted_count
        identity = record.apply(context.index, moment, ("ticket", f"key-{place}", f"digest-{place}", PLAIN))[
            1
        ]
        for part in (("s0",), ("s1", "s2")):
            items = tuple(
                (f"{identity}/{name}", f"m{place % 7}", "a", 8, "one", "v", (("default", 1),), "")
                for name in part
            )
            record.apply(context.index, moment, ("place", 1, record.version, items))
            record.apply(
                context.index, moment + 0.005, ("ended", tuple((one[0], 1, "done") for one in items))
            )
        job = record.pushed_jobs[identity]
        context.was[identity] = (
            job.state,
            job.key,
            job.accepted,
            job.ended_at,
            {name: (one.state, one.worker, one.attempt, one.took) for name, one in job.standings.items()},
        )


@given("a cluster state that has finished {count:d} jobs")
def step_record(context, count):
    context.cluster_state, context.index, context.was, context.begun = ClusterState(), 1, {}, 0.0
    context.cluster_state.apply(1, 0.0, ("duty", "placing", "test"))
    finish(context, count)


@then("{count:d} or more of them are archived, and each reads as it was when it ended")
def step_archived(context, count):
    again = ClusterState.decode(
        ClusterState.encode(context.cluster_state.image()), context.cluster_state.archive.segments
    )
    for record in (context.cluster_state, again):
        assert (
            record.archive.count >= count
            and len(record.pushed_jobs) <= constants.FINISHED_LIVE + constants.SEGMENT_JOBS
        )
        for identity, was in context.was.items():
            job = record.pushed_job(identity)
            assert (job.state, job.key, job.accepted, job.ended_at) == was[:4], identity
            assert {
                name: (one.state, one.worker, one.attempt, one.took) for name, one in job.standings.items()
            } == was[4], identity
        assert (
            record.pushed_job("t0") is None
            and record.pushed_job("t9999999") is None
            and record.pushed_job("x/y") is None
        )


@then("each archived key with its body is known, and with another is refused")
def step_keys(context):
    for place in range(0, context.cluster_state.accepted_count, 7):
        identity = f"t{place + 1}"
        before = context.cluster_state.accepted_count
        assert context.cluster_state.apply(
            10**6, 0.0, ("ticket", f"key-{place}", f"digest-{place}", PLAIN)
        ) == (
            "known",
            identity,
        )
        assert context.cluster_state.apply(10**6, 0.0, ("ticket", f"key-{place}", "other", PLAIN)) == (
            "mismatch",
            identity,
        )
        assert context.cluster_state.accepted_count == before


@then("cancelling an archived job says how it ended")
def step_cancel(context):
    assert "t1" not in context.cluster_state.pushed_jobs
    assert context.cluster_state.apply(10**6, 0.0, ("cancel", "t1")) == ("ended", "finished")


@when("{count:d} more are finished")
def step_more(context, count):
    context.before = len(ClusterState.encode(context.cluster_state.image()))
    finish(context, count)


@then("its image has grown by less than a quarter")
def step_small(context):
    after = len(ClusterState.encode(context.cluster_state.image()))
    assert after < context.before * 1.25, (context.before, after)


@then("an archived job takes less than {most:d} bytes")
def step_bytes(context, most):
    archive = context.cluster_state.archive
    assert sum(map(len, archive.segments.values())) / archive.count < most


@when("a day passes and {count:d} more are finished")
def step_day(context, count):
    context.kept = constants.FINISHED_KEPT
    constants.FINISHED_KEPT = 1000
    context.begun = constants.KEYS_KEPT + 100.0
    try:
        finish(context, count)
    finally:
        constants.FINISHED_KEPT = context.kept


@then("the oldest are gone with their keys, and what is kept still reads")
def step_gone(context):
    record = context.cluster_state
    assert record.pushed_job("t1") is None and record.outcome_for_key("key-0", "digest-0") is None
    kept = [identity for identity in context.was if record.pushed_job(identity) is not None]
    assert 1000 <= len(kept) < len(context.was) and record.archive.retired
    archive = record.archive
    assert (
        len(archive.segment_of_job) <= record.accepted_count - archive.first_job + 1
        and archive.segment_of_job[0]
    ), archive.first_job
    assert len(archive.keys) == archive.count == len(kept) - len(record.pushed_jobs), (
        len(archive.keys),
        archive.count,
    )
    for identity in kept:
        assert record.outcome_for_key(context.was[identity][1], f"digest-{int(identity[1:]) - 1}") == (
            "known",
            identity,
        )


@given("a simulated fleet that compacts and seals all the time")
def step_fleet(context):
    stack = injected_faults.injected("frequent-snapshots")
    stack.__enter__()
    context.add_cleanup(stack.__exit__, None, None, None)
    context.sent, payload = [], snapshot_sender.snapshot_payload

    def noted(replica, stored):
        first, last = replica.base_segments
        context.sent.append((stored, list(range(max(first, stored + 1), last + 1))))
        return payload(replica, stored)

    snapshot_sender.snapshot_payload = noted
    context.add_cleanup(setattr, snapshot_sender, "snapshot_payload", payload)
    context.simulator = Simulator(3)
    context.simulator.begin()
    context.simulator.caller("caller", pushed_job_trial.TRAFFIC)
    context.simulator.run(10)


def away(context):
    leader = context.simulator.leader()
    return next(
        node for node in context.simulator.nodes.values() if node.kind == "accord" and node is not leader
    )


def caught_up(context):
    leader, node = context.simulator.leader(), context.node
    return (
        leader is not None
        and node.core.consensus is not None
        and node.core.cluster_state.archive.sealed == leader.core.cluster_state.archive.sealed > 0
    )


@when("a control daemon is cut off for a while and comes back")
def step_away(context):
    context.node = away(context)
    context.had = context.node.core.cluster_state.archive.sealed
    assert context.had > 0
    context.simulator.partition([context.node.name], list(context.simulator.nodes))
    context.simulator.run(12)
    context.simulator.heal()
    assert context.simulator.until(lambda: caught_up(context), 20) is not None


@then("it was sent only segments it lacked, and holds what the leader holds")
def step_lacked(context):
    assert context.sent, "no snapshot was sent"
    stored, numbers = context.sent[0]
    assert stored >= context.had and numbers and min(numbers) == stored + 1, context.sent
    step_holds(context)


@when("a control daemon comes back empty")
def step_empty(context):
    context.node = away(context)
    context.simulator.kill(context.node.name)
    context.simulator.wipe(context.node.name)
    context.simulator.run(2)
    context.simulator.start(context.node.name)
    assert context.simulator.until(lambda: caught_up(context), 30) is not None


@then("it holds what the leader holds")
def step_holds(context):
    leader = context.simulator.leader()
    common = min(leader.core.cluster_state.archive.sealed, context.node.core.cluster_state.archive.sealed)
    assert common > 3
    for number in range(1, common + 1):
        assert context.node.core.cluster_state.archive.segment(
            number
        ) == leader.core.cluster_state.archive.segment(number)
    assert (
        context.node.core.cluster_state.pushed_job("t1")
        == leader.core.cluster_state.pushed_job("t1")
        is not None
    )


@given("a store whose base stands on {count:d} segments")
def step_store(context, count):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    store = Store(context.folder)
    store.load()
    for number in range(count + 2):  # an older one that goes, and a newer one that the next base will name
        store.write_segment(number, b"segment %d" % number)
    store.write_step("one")
    store.write_base(["base", (1, count)], store.version)


@then("it loads with all {count:d}")
def step_loads(context, count):
    base, steps, segments = Store(context.folder).load()
    assert segments == {number: b"segment %d" % number for number in range(1, count + 1)}
    assert not os.path.exists(os.path.join(context.folder, "segment-" + "0" * 16))


@then("without one, or with a bent one, it counts as damaged")
def step_damage(context):
    path = os.path.join(context.folder, f"segment-{2:016d}")
    with open(path, "rb") as file:
        payload = file.read()
    with open(path, "wb") as file:
        file.write(payload[:-1])
    assert isinstance(Store(context.folder).load(), Damaged)
    os.unlink(path)
    assert isinstance(Store(context.folder).load(), Damaged)
