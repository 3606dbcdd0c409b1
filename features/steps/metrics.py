"""Steps for Metrics: figures of a simulated fleet, read by the library's own parser."""

from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from pinepitch.common.effects import Reply
from pinepitch.simulation import pushed_job_trial
from pinepitch.simulation.simulator import Simulator
from pinepitch.state.cluster_state import ClusterState


def read(simulator, node, target="/v1/metrics", method="GET"):
    effects = node.core.step(
        ("http", 1, method, target, {}, b""), simulator.now + 1000.0, simulator.clock(node)
    )
    return next(effect[1:3] for effect in effects if isinstance(effect, Reply))


def figures(simulator, node):
    """name -> {labels: value}, and the families."""
    status, text = read(simulator, node)
    assert status == 200
    families = list(text_string_to_metric_families(text))
    found = {}
    for family in families:
        for sample in family.samples:
            found.setdefault(sample.name, {})[tuple(sorted(sample.labels.items()))] = sample.value
    return found, families, text


@given("a simulated fleet that has worked for a while")
def step_fleet(context):
    context.simulator = Simulator(6)
    context.simulator.begin()
    context.simulator.caller("caller", pushed_job_trial.TRAFFIC, fail=0.1)
    context.simulator.run(12)


@then("its leader tells waits, ends, credits, syncs and events that agree with the record")
def step_leader(context):
    leader = context.simulator.leader()
    found, _, _ = figures(context.simulator, leader)
    record = leader.core.cluster_state
    assert found["pinepitch_leading"][()] == 1
    for queue in record.queue_settings:
        label = (("queue", queue),)
        assert found["pinepitch_units_running"][label] == record.used_units.get(queue, 0)
        assert found["pinepitch_credits_out"][label] == record.outstanding_credits.get(queue, 0)
        assert found["pinepitch_tasks_waiting"][label] == record.waiting_counts.get(queue, 0)
    ends = found["pinepitch_task_ends_total"]
    assert ends[(("how", "done"),)] > 20 and ends[(("how", "failed"),)] > 0
    assert found["pinepitch_wait_seconds_count"][(("queue", "default"),)] > 20
    assert found["pinepitch_sync_seconds_count"][()] <= found["pinepitch_syncs_total"][()]
    assert found["pinepitch_events_total"][(("event", "task ended"), ("number", "155"))] == sum(ends.values())


@then("a follower tells that it does not lead")
def step_follower(context):
    leader = context.simulator.leader()
    other = next(
        node for node in context.simulator.nodes.values() if node.kind == "accord" and node is not leader
    )
    assert figures(context.simulator, other)[0]["pinepitch_leading"][()] == 0
    assert read(context.simulator, other, "/v1/health")[1]["role"] == "follower"


@then("each line parses, and every family has its help and type")
def step_families(context):
    for node in context.simulator.nodes.values():
        if node.kind != "minion":
            _, families, text = figures(context.simulator, node)
            assert len(families) > 8
            assert all(family.documentation and family.type != "unknown" for family in families)
            assert text.count("# TYPE") == text.count("# HELP") == len(families)


@then("each verge's figures add up to the orders that minions started or refused")
def step_fronts(context):
    simulator = context.simulator
    orders = sum(
        figures(simulator, node)[0]["pinepitch_verge_orders_total"][()]
        for node in simulator.nodes.values()
        if node.kind == "verge"
    )
    started = sum(event[0] == "start" for event in simulator.worker_history)
    assert started > 50 and started <= orders <= started * 1.1, (started, orders)


@then("any other call at its port gets 404 and changes nothing")
def step_other(context):
    leader = context.simulator.leader()
    before = leader.core.cluster_state.image()
    for method, target in (
        ("POST", "/v1/tickets"),
        ("POST", "/v1/metrics"),
        ("GET", "/"),
        ("DELETE", "/v1/health"),
    ):
        assert read(context.simulator, leader, target, method)[0] == 404
    assert leader.core.cluster_state.image() == before


@when("a record is given an operation that it does not know")
def step_unknown(context):
    context.cluster_state = ClusterState()
    context.before = ClusterState.encode(context.cluster_state.image())
    try:
        context.cluster_state.apply(1, 1.0, ("from-the-future", 1))
    except AssertionError as fault:
        context.fault = str(fault)


@then("it raises, and its state is as before")
def step_raises(context):
    assert "from-the-future" in context.fault
    assert (
        context.cluster_state.pushed_jobs == ClusterState().pushed_jobs and context.cluster_state.version == 1
    )


@when("a minion with long work falls silent")
def step_unresponsive(context):
    simulator = context.simulator
    status, _ = simulator.persist(
        "POST",
        "/v1/tickets",
        {"queue": "default", "tasks": [{"name": f"s{one}", "work": {"seconds": 60.0}} for one in range(12)]},
    )
    assert status == 201
    simulator.run(2)
    reserved = simulator.leader().core.cluster_state.reserved
    context.unresponsive = max(reserved, key=lambda one: len(reserved[one]))
    simulator.freeze(context.unresponsive)
    simulator.run(4)


@then("its leader tells one silent minion and the tasks held there")
def step_notified_unresponsive(context):
    leader = context.simulator.leader()
    found, _, _ = figures(context.simulator, leader)
    assert found["pinepitch_minions"][(("state", "silent"),)] == 1, found["pinepitch_minions"]
    reserved_count = len(leader.core.cluster_state.reserved[context.unresponsive])
    assert found["pinepitch_tasks_held"][()] == reserved_count > 0
