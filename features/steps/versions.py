"""Steps for Versions: a made-up next version of the control daemon in a simulated fleet."""

import copy
from typing import NamedTuple

import cbor2
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.packed_operations import kind_of
from pinepitch.control.daemon import ControlDaemon
from pinepitch.simulation import checks, pushed_job_trial
from pinepitch.simulation.daemon_calls import send_call
from pinepitch.simulation.simulator import Simulator
from pinepitch.state.cluster_state import ClusterState
from pinepitch.state.outcomes import OK
from pinepitch.state.registry import Action


class Remark(NamedTuple):
    """An operation of a next version."""

    text: str


def _remark(record, operation):
    record.remarks = (*getattr(record, "remarks", ()), (record.index, operation.text))
    return OK


class NextRecord(ClusterState):
    """A record that knows one operation more."""

    actions = {**ClusterState.actions, "remark": Action(Remark, _remark)}
    levels = {**ClusterState.levels, "remark": constants.RECORD_LEVEL + 1}


class NextControlDaemon(ControlDaemon):
    """A control daemon of a next version, which as leader proposes a remark every second."""

    level = constants.RECORD_LEVEL + 1
    cluster_state_class = NextRecord
    remarked = -1e9

    def step(self, message, now, clock):
        effects = super().step(message, now, clock)
        if (
            message[0] == "tick"
            and self.consensus is not None
            and self.consensus.role == "leader"
            and self.consensus.serving()
            and now - self.remarked >= 1.0
        ):
            self.remarked = now
            self.propose(("remark", "new"), None, now)
            more, self.effects = self.effects, []
            effects = [*effects, *more]
        return effects


def control_daemons(context):
    return [node for node in context.simulator.nodes.values() if node.kind == "accord"]


def become(context, node, kind):
    context.simulator.kill(node.name)
    node.make = kind
    context.simulator.run(0.5)
    context.simulator.start(node.name)
    context.simulator.run(4.0)


def remarks(context):
    """Every remark in the log of any control daemon."""
    return {
        index
        for node in control_daemons(context)
        if node.core is not None
        for index, entry in enumerate(node.core.consensus.entries, node.core.consensus.first)
        if kind_of(entry[2]) == "remark"
    }


def clean(context):
    assert context.simulator.finish()
    caller = context.simulator.callers["caller"]
    documents = {job: one[2] for job, one in caller.accepted.items()}
    assert len(documents) > 20
    faults = checks.all_checks(
        caller.history,
        context.simulator.worker_history,
        documents,
        context.simulator.queue_configuration["queues"],
        context.simulator.capacities,
    )
    faults += context.simulator.agreement()
    assert not faults, faults[:5]


@given("a simulated fleet under traffic")
def step_fleet(context):
    context.simulator = Simulator(8)
    context.simulator.begin()
    context.simulator.caller("caller", pushed_job_trial.TRAFFIC)
    context.simulator.run(3)


@when("its control daemons are restarted one by one as a made-up next version")
def step_rolling(context):
    context.early = []
    for node in control_daemons(context):
        context.early.append(remarks(context))
        if node is control_daemons(context)[-1] and context.simulator.leader() is node:
            become(context, node, ControlDaemon)  # so that one of the next version leads beside an old one
            context.early.append(remarks(context))
        become(context, node, NextControlDaemon)


@then("nothing of the next version is agreed before the last one has told its level")
def step_none_early(context):
    assert len(context.early) >= 3 and not any(context.early), context.early
    deferred = [event for event in context.simulator.trace if event[2] == 133]
    assert deferred and deferred[0][3]["operation"] == "remark"


@then("then it is, every control daemon holds it, and the histories check clean")
def step_agreed(context):
    assert remarks(context)
    clean(context)
    context.simulator.run(2)
    remarks_seen = [getattr(node.core.cluster_state, "remarks", ()) for node in control_daemons(context)]
    assert all(one[:1] == remarks_seen[0][:1] and len(one) > 2 for one in remarks_seen), remarks_seen


@when("two control daemons are restarted as a made-up next version and then back")
def step_back(context):
    for kind in (NextControlDaemon, ControlDaemon):
        for node in control_daemons(context)[:2]:
            become(context, node, kind)


@then("nothing of the next version is agreed, and the histories check clean")
def step_nothing(context):
    assert remarks(context) == set()
    clean(context)


@when("all control daemons have the next version, something new is agreed, and one is set back")
def step_set_back(context):
    for node in control_daemons(context):
        become(context, node, NextControlDaemon)
    assert remarks(context)
    leader = context.simulator.leader()
    node = next(node for node in control_daemons(context) if node is not leader)
    try:
        become(context, node, ControlDaemon)
    except AssertionError as fault:
        context.fault = str(fault)
    context.simulator.kill(node.name)
    node.make = NextControlDaemon


@then("it stops with a broken invariant that names the operation, and the others serve on")
def step_stopped(context):
    assert "'remark'" in context.fault
    assert context.simulator.persist("GET", "/v1/setup")[0] == 200
    clean(context)


# --- tenants, which are known since level 4 ---------------------------------------------
TENANTS_LEVEL = 4
TENANT_OPERATIONS = {"tenant-job", "configure-tenants", "amend-tenants"}


class EarlierRecord(ClusterState):
    """A record that knows no operation of tenants, and none that came later."""

    actions = {
        name: one
        for name, one in ClusterState.actions.items()
        if ClusterState.levels.get(name, 1) < TENANTS_LEVEL
    }


class EarlierControlDaemon(ControlDaemon):
    """A control daemon of level 3, which stops at any operation of tenants."""

    level = TENANTS_LEVEL - 1
    cluster_state_class = EarlierRecord


def control_daemon_of(identity, address, zone, *rest):
    """A control daemon, in zone c one of level 3."""
    return (EarlierControlDaemon if zone == "c" else ControlDaemon)(identity, address, zone, *rest)


HOST = "a.example"
TENANT_KEYS = {"one": ["key-1", "shared"], "two": ["key-2", "shared"]}


def shared_key_configuration(version):
    return {
        "version": version,
        "services": [{"name": "web"}],
        "routes": [{"name": "orders", "host": HOST, "prefix": "/orders/", "service": "web"}],
        "tenants": [{"name": name, "keys": list(keys)} for name, keys in TENANT_KEYS.items()],
    }


def answered(context, call, arguments):
    """The clear answer to a call at a front daemon: (status, document)."""
    simulator = context.simulator
    fronts = [node for node in simulator.nodes.values() if node.kind == "verge"]
    for attempt in range(30):
        got = []
        node, plain = fronts[attempt % len(fronts)], copy.deepcopy(arguments)
        send_call(simulator, "operator", 0, node, call, plain, 3.0, lambda *one, got=got: got.append(one))
        simulator.until(lambda got=got: got, 8, 0.02)
        if got and 0 < got[0][0] < 500:
            return got[0]
        simulator.run(0.2)
    raise AssertionError(f"no clear answer to {call}")


def agreed_kinds(context):
    """The kinds of the operations in the log of any control daemon."""
    return {
        kind_of(entry[2])
        for node in control_daemons(context)
        if node.core is not None
        for entry in node.core.consensus.entries
    }


@given("a simulated fleet under traffic whose last control daemon knows no tenants")
def step_fleet_of_two_levels(context):
    context.simulator = Simulator(8, kinds={"accord": control_daemon_of})
    context.simulator.begin()
    context.simulator.caller("caller", pushed_job_trial.TRAFFIC)
    context.simulator.run(3)
    context.version = 0
    levels = [node.core.level for node in control_daemons(context)]
    assert levels == [constants.RECORD_LEVEL, constants.RECORD_LEVEL, TENANTS_LEVEL - 1], levels
    assert not TENANT_OPERATIONS & EarlierRecord.actions.keys()


@when("a configuration in which two tenants share a key is sent, and jobs with their keys")
def step_shared_key(context):
    document = shared_key_configuration(context.version + 1)
    context.configured = answered(context, "configure", (context.version, document))
    body = {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256}]}
    context.jobs = {}
    for place, (name, keys) in enumerate(TENANT_KEYS.items()):
        identity = f"{context.version:08x}{place:08x}"
        status, told = answered(context, "job", (HOST, f"/orders/{identity}", body, keys[0]))
        assert (status, told) == (200, {"state": "queued"}), (status, told)
        context.jobs[identity] = name
    context.simulator.run(1.0)  # lets the other daemons hear what is committed


def tenants_of_jobs(context):
    """The newest jobs at each control daemon."""
    return [
        {job: node.core.cluster_state.leased_jobs.jobs[job].tenant for job in context.jobs}
        for node in control_daemons(context)
    ]


@then("both are taken as they were then, and nothing about tenants is agreed")
def step_taken_as_then(context):
    assert context.configured == (200, {"version": 1}), context.configured
    context.version = 1
    assert tenants_of_jobs(context) == [dict.fromkeys(context.jobs, "")] * 3, tenants_of_jobs(context)
    kinds = agreed_kinds(context)
    assert {"configure", "job"} <= kinds and not kinds & TENANT_OPERATIONS, kinds
    levels = {node.core.cluster_state.level for node in control_daemons(context)}
    assert levels == {TENANTS_LEVEL - 1}, levels


def assert_equal_states(context):
    assert not context.simulator.agreement(), context.simulator.agreement()[:5]
    images = {cbor2.dumps(node.core.cluster_state.leased_jobs.image()) for node in control_daemons(context)}
    assert len(images) == 1, [cbor2.loads(one) for one in images]


@then("the cluster states of all control daemons are equal")
def step_equal(context):
    assert_equal_states(context)


@when("the last control daemon is restarted as one that knows tenants")
def step_last_updated(context):
    become(context, control_daemons(context)[-1], ControlDaemon)
    context.simulator.run(2.0)
    levels = {node.core.cluster_state.level for node in control_daemons(context)}
    assert levels == {constants.RECORD_LEVEL}, levels


@then("the configuration in force is the one in which two tenants share a key")
def step_in_force(context):
    assert answered(context, "configuration", ()) == (200, shared_key_configuration(1))
    assert_equal_states(context)


@then("the configuration is refused, and each job is its tenant's")
def step_refused(context):
    status, told = context.configured
    assert status == 400 and told["error"]["faults"], context.configured
    assert answered(context, "configuration", ()) == (200, shared_key_configuration(1))
    assert tenants_of_jobs(context) == [context.jobs] * 3, tenants_of_jobs(context)
    assert {"configure-tenants", "tenant-job"} <= agreed_kinds(context), agreed_kinds(context)


@then("the cluster states of all control daemons are equal, also after each was restarted")
def step_equal_restarted(context):
    assert_equal_states(context)
    for node in control_daemons(context):
        become(context, node, ControlDaemon)
    assert_equal_states(context)
    assert tenants_of_jobs(context) == [context.jobs] * 3, tenants_of_jobs(context)


@then("the histories check clean")
def step_clean(context):
    clean(context)
