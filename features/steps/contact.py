"""Steps for Contact: trials of a machine out of contact, and each mechanism by hand."""

import random
import time
from unittest import mock

import curio
from behave import given, then, when

from pinepitch.common import constants, events
from pinepitch.common.effects import Reply, Send
from pinepitch.consensus.leader_clock import LeaderClock, Reading
from pinepitch.runtime import clocks, stall_detector
from pinepitch.runtime.host import Host
from pinepitch.runtime.http_port import timely_response
from pinepitch.simulation import leased_job_trial
from pinepitch.simulation.isolation import trials
from pinepitch.simulation.scale import costs
from pinepitch.simulation.simulator import Simulator
from pinepitch.transport import http

KEY = ("job", "a.example /orders/5c0e7a21d94b36f8")  # of the call that features/steps/forwarder.py takes

CALLER = "10.0.0.9:7000"


# --- trials --------------------------------------------------------------------------
@when("a control machine meets {scenario} with seeds {first:d} to {last:d}")
def step_try(context, scenario, first, last):
    injected_fault = getattr(context, "injected_fault", "")
    context.work = [(scenario, seed, injected_fault) for seed in range(first, last + 1)]


@then("no check of contact finds a fault")
def step_clean(context):
    found = []
    for arguments, faults, _ in leased_job_trial.many(context.work, trials.run_trial):
        found.extend(f"{trials.replay(*arguments)}\n   {fault}" for fault in faults)
    assert not found, "\n".join(found[:6])


@then("some check of contact finds {fault}")
def step_found(context, fault):
    found = [one for _, faults, _ in leased_job_trial.many(context.work, trials.run_trial) for one in faults]
    assert any(fault in one for one in found), f"the planted fault went unseen; found: {found[:6]}"


# --- the leader's clock ----------------------------------------------------------------
@given("daemons whose steady clocks differ, and run up to CLOCK_DRIFT apart")
def step_clocks(context):
    context.draw = random.Random("contact")
    # name -> (what its clock reads at 0, seconds a second); the leader's is the slowest allowed
    context.clocks = {"leader": (5000.0, 1 - constants.CLOCK_DRIFT), "a": (3.0, 1.0), "b": (9e5, 1.0)}


def reads(context, name, moment):
    begun, rate = context.clocks[name]
    return begun + rate * moment


@when("readings of the leader's clock reach a daemon late, relayed and out of order")
def step_readings(context):
    draw, moments = context.draw, []
    relay, forwarder = LeaderClock(), LeaderClock()
    for _ in range(400):
        notice = draw.uniform(0, 60)
        moments.append((notice + draw.choice((0.001, 0.3, 8.0)) * draw.random(), notice))
    context.floors, context.ends = [], []
    for heard, notice in sorted(moments):
        relay.record_reading(Reading(4, reads(context, "leader", notice)), reads(context, "a", heard))
        passed = heard + draw.uniform(0, 0.05)
        forwarder.record_reading(relay.floor(reads(context, "a", heard)), reads(context, "b", passed))
        own, leads = reads(context, "b", passed), reads(context, "leader", passed)
        context.floors.append((forwarder.floor(own).seconds, leads))
        until = passed + constants.CALL_PATIENCE
        context.ends.append(
            (forwarder.end(reads(context, "b", until), own).seconds, reads(context, "leader", until))
        )


@then("what it takes the leader's clock to have passed is never ahead of that clock")
def step_floors(context):
    assert all(floor <= clock + 1e-6 for floor, clock in context.floors)
    assert any(clock - floor < 0.5 for floor, clock in context.floors)


@then("an end that it reckons is never after the moment it is for")
def step_ends(context):
    assert all(end <= clock + 1e-6 for end, clock in context.ends)
    assert any(clock - end < 0.5 for end, clock in context.ends)


@given("a daemon that heard a leader of term 4")
def step_term_four(context):
    context.leader_clock = LeaderClock()
    assert context.leader_clock.floor(1.0) is None and context.leader_clock.end(3.0, 1.0) is None
    context.leader_clock.record_reading((4, 700.0), 10.0)


@when("a reading of term 3 comes, and one of term 5")
def step_terms(context):
    context.leader_clock.record_reading((3, 9000.0), 11.0)
    assert context.leader_clock.floor(11.0).term == 4
    context.leader_clock.record_reading((5, 2.0), 11.0)


@then("only that of term 5 counts")
def step_term_five(context):
    assert context.leader_clock.floor(11.0) == Reading(5, 2.0)


# --- forwarded calls at the leader -------------------------------------------------------
@given("a leader that serves")
def step_leader(context):
    context.fleet = costs.Alone().begin()
    context.version = context.fleet.core.cluster_state.leased_jobs.configuration.version


def forward(context, end):
    """Forwards one change to the leader and returns its answer."""
    fleet = context.fleet
    document = {**fleet.core.cluster_state.leased_jobs.configuration.document, "version": context.version + 1}
    fleet.sent.clear()
    fleet.give(("ask", CALLER, "token", "configure", (context.version, document), 1, end))
    context.answered_kinds = [one for one in fleet.sent if one[0] in ("answer", "elsewhere")]


def end_of(context, end):
    consensus, now = context.fleet.core.consensus, context.fleet.now
    return {
        "with time left": Reading(consensus.term, now + 0.01),
        "whose end has come": Reading(consensus.term, now - 0.01),
        "whose end is on another's clock": Reading(consensus.term - 1, now + 1000.0),
        "without an end": None,
    }[end]


@when("a change is carried to it {end}")
def step_forward(context, end):
    forward(context, end_of(context, end))


@when("the same call is carried again with time left")
def step_forward_again(context):
    forward(context, end_of(context, "with time left"))


@then("that change is taken")
def step_taken(context):
    assert [(one[0], one[2][0]) for one in context.answered_kinds] == [("answer", 200)], (
        context.answered_kinds
    )
    assert context.fleet.core.cluster_state.leased_jobs.configuration.version == context.version + 1


@then("that change is not taken, and nothing comes of it")
def step_not_taken(context):
    ((kind, _, leader, _, reading),) = context.answered_kinds
    fleet = context.fleet
    assert (kind, leader) == ("elsewhere", fleet.core.address), context.answered_kinds
    assert reading == Reading(fleet.core.consensus.term, fleet.now), reading
    fleet.run(3.0)
    assert fleet.core.cluster_state.leased_jobs.configuration.version == context.version


# --- a leader whose lease is over --------------------------------------------------------
@given("a leader of three that serves")
def step_three(context):
    context.simulator = Simulator(1)
    context.simulator.begin()


@when("its followers fall silent for longer than its lease")
def step_unresponsive(context):
    simulator = context.simulator
    context.leader = simulator.leader()
    simulator.partition([context.leader.name], list(simulator.nodes))
    simulator.run(constants.LEADER_LEASE + 0.05)
    assert context.leader.core.consensus.serving(), "it has given leadership up"


@when("a change of the queue configuration on an older version is carried to it")
def step_old_change(context):
    core, now = context.leader.core, context.simulator.steady()
    arguments = (core.cluster_state.version - 1, "merge", {"queues": {}}, "someone", "")
    end = Reading(core.consensus.term, now + 1.0)
    effects = core.step(("ask", CALLER, "token", "change", arguments, 1, end), now, now)
    context.answered_kinds = [
        one.message[0] for one in effects if isinstance(one, Send) and one.address == CALLER
    ]


@then("the caller is sent elsewhere, and not refused")
def step_not_taken_again(context):
    assert context.answered_kinds == ["elsewhere"], context.answered_kinds


# --- answers that come late ----------------------------------------------------------------
@when("its answer comes {when} its patience")
def step_answer_comes(context, when):
    now = {"within": context.until - 0.01, "after": context.until}[when]
    answer = (200, {"state": "queued"}, None)
    context.replies.extend(context.forwarder.answered(context.token, answer, KEY, now))


@when("the answer to a question for news is read {seconds:d} seconds after it was asked")
def step_old_updates(context, seconds):
    front, now = context.front, context.now
    front.step(("tick",), now, now)
    assert front.updates_token is not None
    body = {"setup_version": 1, "configuration": 1, "drained": [], "emptied": [], "withdrawn": []}
    notice = ("told", front.updates_token, (1, 0), body, (), (), 1.7e9, 0.0, (), "cohort")
    front.step(notice, now + seconds, now + seconds)
    front.step(("tick",), now + seconds, now + seconds)


@then("the front daemon says that it is stale")
def step_stale(context):
    assert context.front.stale and context.front.body is not None


# --- the host ----------------------------------------------------------------------------
MESSAGES = {
    "call": ("call", 1, "evacuate", ("z", True), 2.5),
    "http": ("http", 1, "POST", "/v1/tickets", {}, b"{}"),
    "ready": ("call", 1, "ready", (), 2.5),
}


class Clock:
    """Stands in for the host's time module."""

    def __init__(self):
        self.now = 50.0

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def monotonic(self):
        return self.now

    def clock_gettime(self, clock):
        assert clock == self.CLOCK_BOOTTIME
        return self.now

    time = monotonic


class Recorder:
    """A decider that records the messages it is stepped with and the pauses reported to it."""

    def __init__(self):
        self.messages, self.pauses = [], []

    def step(self, message, now, clock):
        if message[0] == "paused":
            self.pauses.append(message[1])
            return []
        self.messages.append(message)
        return [Reply(message[1], 200, {})] if message[0] != "tick" else []


@given("a host that ticks")
def step_host(context):
    context.clock, context.core = Clock(), Recorder()
    context.log = mock.Mock()
    context.host = Host(context.core, CALLER, context.log)
    context.before, clocks.time = clocks.time, context.clock
    context.add_cleanup(setattr, clocks, "time", context.before)
    tick(context, 0.2)


def tick(context, seconds):
    for _ in range(round(seconds / constants.TICK)):
        context.clock.now += constants.TICK
        curio.run(context.host._step, ("tick",))


def read(context, message):
    """The reply that the host's connection gets for a call that it has read."""

    async def serve():
        answers = curio.Queue()
        context.host.exchange.waiting[message[1]] = answers
        await context.host._step(message)
        return timely_response(await answers.get())

    return curio.run(serve)


@when("it is stopped for {seconds:g} seconds, and then reads a {kind}")
def step_stopped(context, seconds, kind):
    context.clock.now += seconds
    context.response = read(context, MESSAGES[kind])


@when("it is stopped for {seconds:g} seconds, and goes on for a while")
def step_goes_on(context, seconds):
    context.clock.now += seconds
    tick(context, constants.STALL_AFTERMATH + 2 * constants.TICK)


@then("it is refused there, saying when to come back")
def step_paused(context):
    assert context.response == http.Response(*stall_detector.PAUSED), context.response
    assert context.response.status == 503 and dict(context.response.headers)["Retry-After"]
    assert all(message[0] == "tick" for message in context.core.messages)


@then("it is taken there")
def step_taken_there(context):
    assert context.response.status == 200 and context.core.messages[-1][0] != "tick"


@then("the log says once that it was stopped")
def step_logged(context):
    tick(context, 0.5)
    ((text, fields),) = [(one.args[0], one.kwargs) for one in context.log.warning.call_args_list]
    assert text == events.CATALOGUE[108][0] and fields["number"] == 108, (text, fields)
    assert abs(fields["seconds"] - 2.0) < constants.TICK, fields


@then("the log says nothing")
def step_nothing_logged(context):
    tick(context, 0.5)
    assert not context.log.method_calls, context.log.method_calls


@then("the decider is told of {pause}")
def step_told_pause(context, pause):
    tick(context, 0.5)
    told = [round(one, 3) for one in context.core.pauses]
    assert told == ([] if pause == "no pause" else [float(pause.split()[0])]), told


@then("what is read from then on is taken")
def step_read_on(context):
    for kind in ("call", "http"):
        assert read(context, MESSAGES[kind]).status == 200


@when("an answer is written after its end, and another before")
def step_written(context):
    async def write(until):
        answers = curio.Queue()
        context.host.exchange.waiting[1] = answers
        await context.host._reply(Reply(1, 200, {"version": 3}, (), until))
        context.clock.now += 5.0
        return timely_response(await answers.get())

    context.responses = [curio.run(write, context.clock.now + most) for most in (4.9, 5.1)]


@then("the one is told as unsure, and the other as it was decided")
def step_in_doubt(context):
    late, timely = context.responses
    assert late == http.Response(*stall_detector.LATE) and late.status == 504
    assert timely == http.Response(200, {"version": 3})
