"""Steps for Versions: a made-up next version of the control daemon in a simulated fleet."""

from typing import NamedTuple

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.packed_operations import kind_of
from pinepitch.control.daemon import ControlDaemon
from pinepitch.simulation import checks, pushed_job_trial
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
    """An accord of a next version: as leader it would remark every second."""

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
    """Every remark that any accord holds in its log."""
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
