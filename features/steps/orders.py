"""Steps for Orders: models with random schedules against the plain rules, and single cases."""

import contextlib
import json
import os
import sys
from unittest import mock

import curio
import hypothesis
from behave import given, then, when
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pinepitch.common import constants
from pinepitch.control.daemon import ControlDaemon
from pinepitch.model.decisions import Answer
from pinepitch.scheduling import requests
from pinepitch.simulation import order_fleet, order_rules
from pinepitch.simulation.daemon_calls import send_call
from pinepitch.simulation.jobs import injected_faults
from pinepitch.state.cluster_state import ClusterState
from pinepitch.transport.http import Request, Response
from pinepitch.transport.http_server import Server

FOLDER = os.path.join(
    os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "platform"
)
sys.path.insert(0, FOLDER)
try:
    import adapters
    import vocabulary
finally:
    sys.path.remove(FOLDER)

TARGETS = {order_rules.REPLACE: adapters.REPLACE, order_rules.AMEND: adapters.AMEND}
REMEMBERED = 5  # versions; as CONFIGURATIONS_KEPT in the model, so that some are forgotten in it
BOUNDED = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    phases=[hypothesis.Phase.generate],
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


# --- orders at random ------------------------------------------------------------------
def route(name, prefix, service="web", timeout=3000):
    return {
        "name": name,
        "hostName": "a.example",
        "pathPrefix": prefix,
        "serviceName": service,
        "timeoutMs": timeout,
    }


ROUTES = strategies.builds(
    route,
    strategies.sampled_from(["one", "two", "three"]),
    strategies.sampled_from(["/one/", "/two/", "/three/"]),
    strategies.sampled_from(["web", "web", "web", "web", "spare", "gone"]),
    strategies.sampled_from([3000, 3000, 3000.0, 1, 0, True, 2**53, -1]),
)
LIMITS = strategies.sampled_from([{}, {"most": 5}, {"most": 5.0}, {"most": True}, {"most": [1, 2]}])
ODD_VERSIONS = strategies.sampled_from([0, -3, 2**53, 2**53 + 1, 10**30, 7.0, 7.5, True, "7", None, 1e300])
ODD_BASES = strategies.sampled_from(["", "-1", "+1", "1.0", "x", "9" * 30, str(2**53), "0", "1"])


def members_reversed(value):
    """The same JSON with the members of every object in the opposite order."""
    if isinstance(value, dict):
        return {name: members_reversed(value[name]) for name in reversed(list(value))}
    if isinstance(value, list):
        return [members_reversed(one) for one in value]
    return value


class RecordCore:
    """The part of a control daemon that calls about the configuration use."""

    def __init__(self):
        self.cluster_state, self.index = ClusterState(), 0

    def common_level(self):
        """All members are of this version."""
        return constants.RECORD_LEVEL

    def call(self, name, *arguments):
        made = requests.CALLS[name](self, "token", arguments, 0.0)
        if isinstance(made, Answer):
            return made
        operation, shape, extra = made
        self.index += 1
        outcome = self.cluster_state.apply(self.index, float(self.index), json.loads(json.dumps(operation)))
        return requests.OUTCOME_ANSWERS[shape](self, outcome, extra, 0.0)

    def restart(self):
        self.cluster_state = ClusterState.decode(ClusterState.encode(self.cluster_state.image()))


def at_the_adapter(order, document):
    """What a control port makes of an order: a response, or the call to carry."""
    request = Request(
        "POST",
        TARGETS[order.kind],
        {"x-based-on-version": order.base},
        json.dumps(document).encode(),
    )
    return adapters.Control("10.0.0.1:8080").read(request)


class OrdersAtARecord(RuleBasedStateMachine):
    """Orders come one after another to one record; each answer is one that the rules allow."""

    def __init__(self):
        super().__init__()
        self.core = RecordCore()
        self.reference = order_rules.Reference(REMEMBERED)
        self.sent = []  # (order, document)

    def send(self, kind, base, document):
        order = order_rules.order_of(kind, base, document)
        self.sent.append((order, document))
        self.answer(order, document)

    def answer(self, order, document):
        found = at_the_adapter(order, document)
        if isinstance(found, Response):
            status = found.status
        else:
            call, arguments, _ = found
            status = self.core.call(call, *arguments)[0]
        fault = self.reference.answered(order, status)
        assert fault is None, fault

    def base(self, data):
        if data.draw(strategies.integers(0, 5)):
            return str(self.reference.version)
        return data.draw(ODD_BASES)

    def version(self, data):
        if data.draw(strategies.integers(0, 5)):
            return self.reference.version + data.draw(strategies.integers(-1, 3))
        return data.draw(ODD_VERSIONS)

    @initialize()
    def first(self):
        self.send(
            order_rules.REPLACE,
            "0",
            {
                "configVersion": 3,
                "routes": [route("one", "/one/")],
                "services": [{"name": "web"}],
                "limits": {},
            },
        )

    @rule(data=strategies.data(), routes=strategies.lists(ROUTES, max_size=3), limits=LIMITS)
    def replace(self, data, routes, limits):
        document = {
            "configVersion": self.version(data),
            "routes": routes,
            "services": [{"name": "web"}],
            "limits": limits,
        }
        self.send(order_rules.REPLACE, self.base(data), document)

    @rule(
        data=strategies.data(),
        routes=strategies.lists(ROUTES, max_size=2, unique_by=lambda one: one["name"]),
        removes=strategies.lists(strategies.sampled_from(["one", "two", "never"]), max_size=2),
    )
    def amend(self, data, routes, removes):
        document = {
            "configVersion": self.version(data),
            "upsertItems": {"routes": routes},
            "removeNames": {"routes": removes},
        }
        self.send(order_rules.AMEND, self.base(data), document)

    @rule(step=strategies.integers(1, 3), limits=LIMITS)
    def next_version(self, step, limits):
        document = {
            "configVersion": self.reference.version + step,
            "routes": [route("one", "/one/"), route("two", "/two/")],
            "services": [{"name": "web"}],
            "limits": limits,
        }
        self.send(order_rules.REPLACE, str(self.reference.version), document)

    @precondition(lambda self: self.sent)
    @rule(data=strategies.data(), turned=strategies.booleans())
    def again(self, data, turned):
        order, document = data.draw(strategies.sampled_from(self.sent))
        self.answer(order, members_reversed(document) if turned else document)

    @precondition(lambda self: self.reference.taken)
    @rule(data=strategies.data(), limits=LIMITS)
    def other_under_one_number(self, data, limits):
        order, _ = data.draw(strategies.sampled_from(self.reference.taken[-8:]))
        document = json.loads(order.body)
        if order.kind == order_rules.REPLACE:
            document["limits"] = {"other": limits}
        else:
            document["removeNames"]["services"] = ["other"]
        self.send(order.kind, order.base, document)

    @rule()
    def restart(self):
        self.core.restart()

    @invariant()
    def read_back(self):
        found = self.core.cluster_state.leased_jobs.configuration.document
        plain = None if found is None else vocabulary.to_platform(found, vocabulary.CONFIGURATION)
        found, expected = (json.dumps(one, sort_keys=True) for one in (plain, self.reference.document))
        assert found == expected, f"{found} is read back, not {expected}"


@then("random orders, sent again and after restarts of the cluster state, are answered as the rules say")
def step_record_model(context):
    with mock.patch.object(constants, "CONFIGURATIONS_KEPT", REMEMBERED):
        run_state_machine_as_test(OrdersAtARecord, settings=BOUNDED)


def must_find(injected_fault, model):
    """Fails unless a model fails by what it checks, with a fault planted."""
    with injected_faults.injected(injected_fault):
        try:
            model()
        except AssertionError as found:
            assert str(found), "an invariant of the code broke, not a check of the model"
            return
    raise AssertionError(f"the planted fault {injected_fault} went unseen")


@then("random orders are not answered as the rules say")
def step_record_model_fails(context):
    must_find(context.injected_fault, lambda: step_record_model(context))


# --- more changes than are remembered ----------------------------------------------------
EARLY = {"a whole one": 0, "a change by name": 1}  # place among the changes that are made


def change(place):
    """The change of that place: (call, arguments), each on top of the one before."""
    base, version = 2 * place, 2 * place + 2
    if place == EARLY["a change by name"]:
        return ("amend", (base, version, {"services": [{"name": "spare"}]}, {}))
    document = {"version": version, "routes": [], "services": [{"name": f"web{place}"}]}
    return ("configure", (base, document))


@given("{count:d} changes were taken, one upon the other, {call} among the first")
def step_many(context, count, call):
    context.core, context.count = RecordCore(), count
    for place in range(count):
        name, arguments = change(place)
        assert context.core.call(name, *arguments)[0] == 200


def send_changed(context, name, arguments):
    context.before = context.core.cluster_state.leased_jobs.configuration.image()
    context.core.restart()
    context.answer = context.core.call(name, *arguments)


@when("the oldest change that is remembered is sent again")
def step_oldest(context):
    send_changed(context, *change(context.count - constants.CONFIGURATIONS_KEPT))


@when("another change under the number of {call} is sent")
def step_other(context, call):
    name, arguments = change(EARLY[call])
    more = {"routes": [], "services": []}
    last = arguments[-1]
    send_changed(context, name, (*arguments[:-1], {**last, **more}))


@when("{call} is sent again")
def step_again(context, call):
    send_changed(context, *change(EARLY[call]))


@then("it is answered with {status:d}, and nothing has changed")
def step_answered(context, status):
    assert context.answer[0] == status, context.answer
    assert repr(context.core.cluster_state.leased_jobs.configuration.image()) == repr(
        (context.before[0], tuple(tuple(one) for one in context.before[1]))
    )


# --- orders that come late ---------------------------------------------------------------
CONFIRMING = 0.03  # seconds; until a daemon has confirmed an order, and not yet sent it on
KEPT_FOR = 6.0  # seconds; that the network keeps an order, longer than any order after it takes
BEHIND = 0.0024  # seconds; by which the end of a connection comes behind the request on it, at most


@given("a cluster that takes orders")
def step_cluster(context):
    injected = injected_faults.injected(getattr(context, "injected_fault", ""))
    injected.__enter__()
    context.add_cleanup(injected.__exit__, None, None, None)
    context.fleet = order_fleet.OrderFleet(1)
    context.fleet.begin()
    context.fleet.run(1)


def hold_back(fleet, delay, name):
    """Pauses a daemon as a case demands; returns the function that resumes it."""
    if "freezes" in delay:
        fleet.freeze(name)
        return lambda: fleet.thaw(name)
    fleet.partition([name], [one for one in fleet.names() if one != name])
    return fleet.heal


def keep_in_network(fleet, name):
    """Has the network keep a Begin on its way to a daemon, and the end of its connection behind it; what
    waits until both have come.
    """
    send_call(
        fleet,
        "operator",
        0,
        fleet.nodes[name],
        "evacuate",
        ("a", True),
        constants.CALL_PATIENCE,
        lambda status, document: None,
        late=KEPT_FOR,
    )
    came = fleet.now + KEPT_FOR
    hung_up = ("hung-up", fleet.request_count)
    fleet.at(KEPT_FOR + BEHIND, "give", name, fleet.nodes[name].incarnation, hung_up)
    return lambda: fleet.run(max(0.0, came + BEHIND - fleet.now))


@when("a Begin is {delay}, {ending} and finished, and then let go on")
def step_late(context, delay, ending):
    fleet = context.fleet
    by_leader = "leader" in delay
    name = fleet.leader().name if by_leader else fleet.followers()[0]
    operator = context.operator = order_fleet.ZoneOperator(fleet, "a")
    if "kept by the network" in delay:
        go_on = keep_in_network(fleet, name)
        operator.give(True, next(one for one in fleet.names() if one != name))
    elif "read 0.8 s late" in delay:
        fleet.freeze(name)
        operator.give(True, name)
        fleet.run(0.8)
        go_on = hold_back(fleet, delay, name)
        fleet.thaw(name)
    elif "confirmed" in delay:
        operator.give(True, name)
        assert fleet.until(lambda: in_transit(fleet.nodes[name].core), 0.5, 0.001) is not None
        go_on = hold_back(fleet, delay, name)
    elif "freezes" in delay:  # before what it sent was heard
        fleet.partition([name], [one for one in fleet.names() if one != name])
        operator.give(True, name)
        assert fleet.until(lambda: fleet.nodes[name].core.forwarder.calls, 0.5, 0.0005) is not None
        go_on = hold_back(fleet, delay, name)
        fleet.heal()
    else:
        go_on = hold_back(fleet, delay, name)
        operator.give(True, name)
    if ending == "given up":
        operator.instead = False
    else:
        assert fleet.until(lambda: operator.standing is True, 20, 0.005) is not None
        operator.give(False, next(one for one in fleet.names() if one != name))
    assert fleet.until(lambda: operator.standing is False, 20, 0.005) is not None
    go_on()


def in_transit(core):
    """Whether a daemon is forwarding an evacuation that was confirmed to it."""
    return any(call.call == "evacuate" for call in core.forwarder.calls.values())


@then("the zone stays free, and an order for it is taken anew")
def step_stays(context):
    fleet, operator = context.fleet, context.operator
    for _ in range(300):
        fleet.run(0.02)
        assert not operator.faults(), operator.faults()
    operator.give(True)
    assert fleet.until(lambda: operator.standing is True, 20, 0.005) is not None
    fleet.run(1)
    assert not operator.faults(), operator.faults()


@then("the zone does not stay free")
def step_undone(context):
    try:
        step_stays(context)
    except AssertionError as found:
        assert "is undone" in str(found), found
        return
    raise AssertionError(f"the planted fault {context.injected_fault} went unseen")


@when("{count:d} orders are given one after another at daemons of all roles")
def step_calm_orders(context, count):
    fleet = context.fleet
    fleet.loss = 0.0
    operator = context.operator = order_fleet.ZoneOperator(fleet, "a")
    for place in range(count):
        operator.give(place % 2 == 0, fleet.names()[place % 3])
        assert fleet.until(lambda: operator.standing is not None, 20, 0.005) is not None


@then("each was acknowledged within {most:g} seconds")
def step_acknowledged(context, most):
    waits = sorted(context.operator.waits)
    context.waits = waits
    assert waits[-1] < most, waits[-5:]


# --- random orders at a cohort -------------------------------------------------------------
FLEET_BOUNDED = hypothesis.settings(BOUNDED, max_examples=30, stateful_step_count=50)
IN_FLIGHT = 8  # orders at once
ZONES = ("a", "b")
SNAPSHOTS = {"SNAPSHOT_ENTRIES": 8, "SNAPSHOT_TAIL": 2}  # entries; so that some come in each run


class OrdersAtACohort(RuleBasedStateMachine):
    """Up to eight orders under way at daemons that are killed, frozen, cut off and wiped, one at a
    time. Each zone has an operator, and two operators give versions on top of what they read."""

    def __init__(self):
        super().__init__()
        self.fleet = order_fleet.OrderFleet(1)
        self.fleet.begin()
        self.fleet.answer_loss = 0.2
        self.operators = order_fleet.ChangeOperators(self.fleet)
        self.zones = [order_fleet.ZoneOperator(self.fleet, zone) for zone in ZONES]
        self.fault = None  # (kind, name) of the daemon in trouble

    # --- orders
    def document(self, version, text):
        return {
            "configVersion": version,
            "routes": [route("one", "/one/")],
            "services": [{"name": "web"}],
            "limits": {"text": text},
        }

    def known_version(self):
        """What an operator knows to be in force."""
        read = [document["version"] for _, _, document in self.operators.reads]
        taken = [one.version() for one in self.operators.changes if 200 in one.statuses()]
        return max([*read, *taken], default=0)

    def give(self, kind, document, place):
        base = str(self.known_version())
        call, arguments, _ = at_the_adapter(order_rules.order_of(kind, base, document), document)
        change = order_fleet.Change(order_rules.order_of(kind, base, document), call, arguments)
        if all(change.order != one.order for one in self.operators.changes):
            self.operators.give(change, self.fleet.names()[place])

    @precondition(lambda self: self.operators.pending() < IN_FLIGHT)
    @rule(
        step=strategies.integers(0, 2), text=strategies.sampled_from("xyz"), place=strategies.integers(0, 2)
    )
    def replace(self, step, text, place):
        self.give(order_rules.REPLACE, self.document(self.known_version() + step, text), place)

    @precondition(lambda self: self.operators.pending() < IN_FLIGHT)
    @rule(
        step=strategies.integers(0, 2), name=strategies.sampled_from("xyz"), place=strategies.integers(0, 2)
    )
    def amend(self, step, name, place):
        change = {
            "configVersion": self.known_version() + step,
            "upsertItems": {"routes": [route(name, f"/{name}/")]},
            "removeNames": {},
        }
        self.give(order_rules.AMEND, change, place)

    @precondition(lambda self: self.operators.changes and self.operators.pending() < IN_FLIGHT)
    @rule(data=strategies.data(), place=strategies.integers(0, 2))
    def again(self, data, place):
        """A change whose answer was lost, sent again, also after others."""
        change = data.draw(strategies.sampled_from(self.operators.changes))
        self.operators.send(change, self.fleet.names()[place])

    @rule(place=strategies.integers(0, 2))
    def read(self, place):
        self.operators.read(self.fleet.names()[place])

    @rule(zone=strategies.integers(0, 1), begun=strategies.booleans(), place=strategies.integers(0, 2))
    def order_zone(self, zone, begun, place):
        operator = self.zones[zone]
        if operator.order == 0 or operator.standing is not None:
            operator.give(begun, self.fleet.names()[place])
        else:
            operator.instead = begun

    # --- the world
    @rule(seconds=strategies.sampled_from([0.003, 0.03, 0.2, 0.7, 1.5]))
    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(min(0.02, seconds))
            for operator in self.zones:
                assert not operator.faults(), operator.faults()

    def whole(self):
        """Whether all daemons are up and members."""
        leader = self.fleet.leader()
        if leader is None or any(node.core is None for node in self.fleet.nodes.values()):
            return False
        membership = leader.core.consensus.membership
        return membership.coming is None and {
            node.core.identity for node in self.fleet.nodes.values()
        } == set(membership.members())

    @precondition(lambda self: self.fault is None)
    @rule(
        kind=strategies.sampled_from(["kill", "freeze", "cut", "wipe"]),
        leads=strategies.booleans(),
    )
    def befall(self, kind, leads):
        if self.whole():
            self.strike(kind, self.fleet.leader().name if leads else self.fleet.followers()[0])

    @precondition(lambda self: self.fault is None)
    @rule(
        zone=strategies.integers(0, 1),
        kind=strategies.sampled_from(["freeze", "cut"]),
        place=strategies.integers(0, 2),
        after=strategies.sampled_from([None, None, 0.0, 0.003, 0.03]),
    )
    def strike_forwarder(self, zone, kind, place, after):
        """An order for a zone, followed by a fault of the daemon that forwards it."""
        operator = self.zones[zone]
        if self.whole() and (operator.order == 0 or operator.standing is not None):
            operator.give(operator.standing is not True, self.fleet.names()[place])
            name = self.fleet.names()[place]
            if after is None:  # as soon as the order is confirmed
                self.fleet.until(lambda: in_transit(self.fleet.nodes[name].core), 0.05, 0.001)
            else:
                self.run(after)
            self.strike(kind, name)

    @precondition(lambda self: self.fault is not None)
    @rule(zone=strategies.integers(0, 1), place=strategies.integers(0, 2), given_up=strategies.booleans())
    def turn_and_end(self, zone, place, given_up):
        """The opposite order once the last is acknowledged or given up, and then the end of the
        trouble."""
        operator = self.zones[zone]
        if operator.order == 0:
            return
        if given_up:
            operator.instead = not operator.wanted
        self.fleet.until(lambda: operator.standing is not None, 2, 0.01)
        if operator.standing is not None and not given_up:
            operator.give(not operator.standing, self.fleet.names()[place])
            self.fleet.until(lambda: operator.standing is not None, 1, 0.01)
        self.end_fault()

    def strike(self, kind, name):
        self.fault = (kind, name)
        if kind == "freeze":
            self.fleet.freeze(name)
        elif kind == "cut":
            self.fleet.partition([name], [one for one in self.fleet.names() if one != name])
        else:
            self.fleet.kill(name)
        if kind == "wipe":
            self.fleet.wipe(name)

    @precondition(lambda self: self.fault is not None)
    @rule()
    def end_fault(self):
        self.fleet.restore()
        self.fault = None

    # --- the end
    def teardown(self):
        fleet = self.fleet
        fleet.restore()
        fleet.answer_loss = fleet.loss = 0.0
        assert fleet.until(lambda: self.whole() and fleet.leader().core.epoch > 0, 60) is not None
        settled = fleet.until(lambda: not self.operators.pending() and not fleet.pending(), 30)
        assert settled is not None, "orders are never answered"
        for operator in self.zones:
            assert operator.order == 0 or operator.standing is not None
            assert not operator.faults(), operator.faults()
        self.restart_all()
        self.resend_all()
        faults = self.operators.faults()
        assert not faults, faults[:3]
        self.chain_kept()

    def restart_all(self):
        """All daemons lose power and start again with what their disks kept."""
        for name in self.fleet.names():
            self.fleet.kill(name)
        self.fleet.restore()
        assert self.fleet.until(lambda: self.whole() and self.fleet.leader().core.epoch > 0, 60) is not None

    def resend_all(self):
        """Every change is sent once more, at a calm cohort."""
        for place, change in enumerate(self.operators.changes):
            self.operators.send(change, self.fleet.names()[place % 3])
            assert self.fleet.until(lambda: not self.operators.pending(), 20, 0.01) is not None

    def chain_kept(self):
        """The changes that were taken follow on one another, and the last is what is read."""
        reference = order_rules.Reference(constants.CONFIGURATIONS_KEPT)
        for change in sorted(self.operators.taken_in_record(), key=order_fleet.Change.version):
            fault = reference.answered(change.order, 200)
            assert fault is None, fault
        self.operators.reads.clear()
        self.operators.read(self.fleet.names()[0])
        self.fleet.run(1)
        if reference.document is not None:
            found = vocabulary.to_platform(self.operators.reads[0][2], vocabulary.CONFIGURATION)
            assert found == reference.document, (found, reference.document)


@then("random orders at a cluster that loses answers, daemons and disks keep the rules")
def step_cluster_model(context):
    with contextlib.ExitStack() as patches:
        for name, value in SNAPSHOTS.items():
            patches.enter_context(mock.patch.object(constants, name, value))
        run_state_machine_as_test(OrdersAtACohort, settings=FLEET_BOUNDED)


@then("random orders at a cluster do not keep the rules")
def step_cluster_model_fails(context):
    must_find(context.injected_fault, lambda: step_cluster_model(context))


# --- changes of the setup ------------------------------------------------------------------
def configuration_change(core, front, number):
    """One change of the setup that builds on no version; its outcome."""
    patch = {"queues": {"default": {"limit": 10 + number % 7}}}
    core.index += 1
    operation = ("setup", f"{front}-{number}", None, "merge", patch, "operator", "")
    return core.cluster_state.apply(core.index, float(core.index), operation)


def configuration_core():
    core = RecordCore()
    core.cluster_state.apply(1, 1.0, ("level", constants.RECORD_LEVEL))
    queues = {"queues": {"default": {"share": 8, "limit": 10, "urgency": 4}}}
    core.cluster_state.apply(2, 2.0, ("setup", "first-1", None, "whole", queues, "operator", ""))
    core.index = 2
    return core


@given("{count:d} changes of the queue configuration that build on no version, of one front daemon")
def step_configurations(context, count):
    context.core, context.count = configuration_core(), count
    context.outcomes = [configuration_change(context.core, "v1a2.verge0", one) for one in range(1, count + 1)]
    assert all(outcome[0] == "setup" for outcome in context.outcomes), context.outcomes[:2]


@then("the first one sent again is neither made nor refused, also after a restart")
def step_configuration_again(context):
    for _ in range(2):
        version = context.core.cluster_state.version
        outcome = configuration_change(context.core, "v1a2.verge0", 1)
        assert outcome[0] == "forgotten", outcome
        assert context.core.cluster_state.version == version
        context.core.restart()


@then("the newest {count:d} sent again are answered as they were")
def step_configurations_again(context, count):
    for number in range(context.count - count + 1, context.count + 1):
        outcome = configuration_change(context.core, "v1a2.verge0", number)
        assert outcome == context.outcomes[number - 1], outcome


@then("a new one of that front daemon, and the first one of another, are made")
def step_configurations_new(context):
    assert configuration_change(context.core, "v1a2.verge0", context.count + 1)[0] == "setup"
    assert configuration_change(context.core, "v9.verge0", 1)[0] == "setup"


@given("{count:d} changes of the queue configuration of each of {fronts:d} front daemons")
def step_configurations_many(context, count, fronts):
    context.core = configuration_core()
    for front in range(fronts):
        for number in range(1, count + 1):
            assert configuration_change(context.core, f"v{front}.verge", number)[0] == "setup"


@then("no more than {outcomes:d} outcomes and {fronts:d} front daemons are remembered")
def step_configurations_bounded(context, outcomes, fronts):
    kept, forgotten = context.core.cluster_state.change_watermarks.image()
    assert len(kept) == outcomes and len(forgotten) == fronts, (len(kept), len(forgotten))


# --- old changes that were never taken -------------------------------------------------------
OLD = {
    "to a service that there is not": (4, 6, [{"name": "r", "host": "h", "prefix": "/", "service": "gone"}]),
    "under a number below that it builds on": (8, 6, []),
    "under a number below 0": (4, -3, []),
}


@when("an old one {that} is sent")
def step_old(context, that):
    base, version, routes = OLD[that]
    document = {"version": version, "routes": routes, "services": [{"name": "web"}]}
    send_changed(context, "configure", (base, document))


# --- large bodies ----------------------------------------------------------------------------
def body_of(size):
    """A whole configuration of just that many bytes."""
    document = {"configVersion": 3, "routes": [], "services": [], "limits": {"pad": ""}}
    document["limits"]["pad"] = "x" * (size - len(json.dumps(document)))
    return json.dumps(document).encode()


async def received(body):
    """The request of a body that comes over a socket, or why there is none."""
    ours, theirs = curio.socket.socketpair()
    target, host = adapters.REPLACE, "Host: x\r\nX-Based-On-Version: 0"
    head = f"POST {target} HTTP/1.1\r\n{host}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    async with ours, theirs:
        sending = await curio.spawn(theirs.sendall, head + body)
        found = await Server(ours).receive()
        await sending.cancel()
    return found


SIZES = {
    "262144 bytes": 262_144,
    "as many bytes as are allowed": constants.MAX_BODY_BYTES,
    "one byte more than allowed": constants.MAX_BODY_BYTES + 1,
}


@when("a configuration whose body has {size} comes to a control port")
def step_large(context, size):
    body, fleet = body_of(SIZES[size]), context.fleet
    context.document = json.loads(body)
    found = curio.run(received, body)
    if not isinstance(found, Request):
        context.status = found.status
        return
    call, arguments, _ = adapters.Control("10.0.0.1:8080").read(found)
    order = order_rules.order_of(order_rules.REPLACE, "0", context.document)
    change = order_fleet.Change(order, call, arguments)
    operators = order_fleet.ChangeOperators(fleet)
    operators.give(change, fleet.followers()[0])
    assert fleet.until(lambda: 200 in change.statuses(), 30, 0.05) is not None, change.answers
    context.status = 200


@then("it is taken everywhere")
def step_large_taken(context):
    assert context.status == 200
    context.fleet.run(1)
    for node in context.fleet.nodes.values():
        found = node.core.cluster_state.leased_jobs.configuration.document
        assert vocabulary.to_platform(found, vocabulary.CONFIGURATION) == context.document


@then("it is not taken everywhere")
def step_large_refused(context):
    assert context.status == 413
    assert all(
        node.core.cluster_state.leased_jobs.configuration.version == 0
        for node in context.fleet.nodes.values()
    )


# --- levels ------------------------------------------------------------------------------------
class LevelTwo(ControlDaemon):
    """A daemon that reports level 2."""

    level = 2


@given("a cluster that takes orders, one member of which knows level 2")
def step_level_two(context):
    context.fleet = fleet = order_fleet.OrderFleet(1)
    context.old = fleet.nodes["accord1"]
    fleet.kill("accord1")
    context.old.make = LevelTwo
    fleet.start("accord1")
    fleet.begin()
    assert fleet.until(lambda: fleet.leader().core.cluster_state.level == 2, 10) is not None


@when("an evacuation is begun and finished")
def step_begun_and_finished(context):
    fleet = context.fleet
    operator = order_fleet.ZoneOperator(fleet, "a")
    for begun in (True, False):
        operator.give(begun)
        assert fleet.until(lambda: operator.standing is not None, 20, 0.01) is not None
        fleet.run(0.2)
        assert not operator.faults(), operator.faults()


@then("both were agreed on as level 2 knows them, and neither bears an index")
def step_unconfirmed(context):
    consensus = context.fleet.leader().core.consensus
    entries = [consensus.entry(index) for index in range(consensus.first, consensus.applied_index + 1)]
    orders = [list(entry[2]) for entry in entries if entry[2][0].startswith("evacuat")]
    assert orders == [["evacuate", "a", True], ["evacuate", "a", False]], orders


@when("that member knows level 3")
def step_level_three(context):
    fleet = context.fleet
    fleet.kill(context.old.name)
    context.old.make = None
    fleet.start(context.old.name)
    assert (
        fleet.until(
            lambda: fleet.leader() and fleet.leader().core.cluster_state.level == constants.RECORD_LEVEL, 20
        )
        is not None
    )


@then("the newest order of the zone is remembered by every member")
def step_remembered(context):
    context.fleet.run(1)
    found = [node.core.cluster_state.leased_jobs.evacuations.newest for node in context.fleet.nodes.values()]
    assert found[0] == found[1] == found[2] and not found[0]["a"].begun, found


# --- ever new zones ------------------------------------------------------------------------------
def order_zone(context, zone, begun, confirmed=None):
    """The outcome of an order that was confirmed at an index, by default the newest."""
    record, context.index = context.cluster_state, context.index + 1
    confirmed = context.index - 1 if confirmed is None else confirmed
    return record.apply(context.index, float(context.index), ("evacuation", zone, begun, confirmed))


@given("a record of orders for zones")
def step_zones(context):
    context.cluster_state, context.index = ClusterState(), 1


@when("the evacuations of {count:d} zones are begun and finished")
def step_zones_turned(context, count):
    for zone in range(count):
        for begun in (True, False):
            assert order_zone(context, f"z{zone}", begun) == ("ok",)


@then("the orders of no more than {count:d} zones are remembered")
def step_zones_bounded(context, count):
    context.cluster_state = ClusterState.decode(ClusterState.encode(context.cluster_state.image()))
    assert len(context.cluster_state.leased_jobs.evacuations.newest) == count


@then("a late Begin for the first zone is superseded, a late Finish acknowledged, a new Begin taken")
def step_zones_late(context):
    assert order_zone(context, "z0", True, 1) == ("superseded",)
    assert order_zone(context, "z0", False, 1) == ("ok",)
    assert order_zone(context, "z0", True) == ("ok",)
    assert list(context.cluster_state.leased_jobs.evacuated) == ["z0"]
    assert order_zone(context, "z0", False) == ("ok",)


@when("the evacuations of {count:d} zones more are begun")
def step_zones_begun(context, count):
    for zone in range(count):
        assert order_zone(context, f"more{zone}", True) == ("ok",)


@then("one more is told that too many are evacuated, and a Finish is taken")
def step_zones_full(context):
    assert order_zone(context, "one-more", True) == ("full",)
    assert order_zone(context, "more7", False) == ("ok",)
    assert order_zone(context, "one-more", True) == ("ok",)
    assert len(context.cluster_state.leased_jobs.evacuations.newest) <= 2 * constants.MAX_EVACUATED_ZONES
