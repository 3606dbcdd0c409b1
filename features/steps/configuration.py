"""Steps for Configuration: calls of an operator, applied to a cluster state of their own."""

import copy

import cbor2
from behave import given, then, when

from pinepitch.model.decisions import Answer
from pinepitch.scheduling import requests
from pinepitch.state.cluster_state import ClusterState


class Core:
    """As much of an accord as calls about the configuration ask of it."""

    def __init__(self):
        self.cluster_state, self.index = ClusterState(), 0

    def call(self, name, *arguments):
        """(status, document, retry) as the leader would answer."""
        # what comes over the wire and through the log comes as lists
        made = requests.CALLS[name](self, "token", cbor2.loads(cbor2.dumps(arguments)), 0.0)
        if isinstance(made, Answer):
            return made
        operation, shape, extra = made
        self.index += 1
        outcome = self.cluster_state.apply(self.index, float(self.index), cbor2.loads(cbor2.dumps(operation)))
        return requests.OUTCOME_ANSWERS[shape](self, outcome, extra, 0.0)


def route(name, host, prefix, service="web", **more):
    return {"name": name, "host": host, "prefix": prefix, "service": service, "timeout_ms": 3000, **more}


def complete_document(version):
    return {
        "version": version,
        "services": [{"name": "web", "guards": True, "elsewhere": 1}, {"name": "spare"}],
        "limits": {"header": 16384},
        "numbers": [1, 2],
        "routes": [
            route("orders", "a.example", "/orders/", priority=1, attempts=2, stretch=2.5, aim_ms=100),
            route("big", "a.example", "/orders/big/"),
            route("other", "b.example", "/orders/"),
        ],
    }


def send(context, name, *arguments):
    context.before = context.core.cluster_state.leased_jobs.configuration.image()
    context.sent = (name, copy.deepcopy(arguments))
    context.answer = context.core.call(name, *arguments)


@given("no configuration is in force")
def step_none(context):
    context.core = Core()


@given("version 5 is in force with routes and services")
def step_five(context):
    context.core = Core()
    send(context, "configure", 0, complete_document(5))
    assert context.answer[0] == 200, context.answer


@when("version {version:d} is sent on top of {base:d}")
def step_send(context, version, base):
    send(context, "configure", base, complete_document(version))


FAULTS = {
    "no version": lambda one: one.pop("version"),
    "a version that is a text": lambda one: one.update(version="7"),
    "a version that is true": lambda one: one.update(version=True),
    "a version that is a fraction": lambda one: one.update(version=7.5),
    "no routes": lambda one: one.pop("routes"),
    "routes that are no list": lambda one: one.update(routes={"orders": one["routes"][0]}),
    "a route that is no object": lambda one: one["routes"].append("orders"),
    "a route without a name": lambda one: one["routes"][1].pop("name"),
    "a route without a host": lambda one: one["routes"][1].pop("host"),
    "a route without a prefix": lambda one: one["routes"][1].pop("prefix"),
    "a route without a service": lambda one: one["routes"][1].pop("service"),
    "a prefix that does not begin with a slash": lambda one: one["routes"][1].update(prefix="orders"),
    "a time-out that is a text": lambda one: one["routes"][1].update(timeout_ms="3000"),
    "attempts that are a text": lambda one: one["routes"][1].update(attempts="2"),
    "no services": lambda one: one.pop("services"),
    "a service without a name": lambda one: one["services"][1].pop("name"),
    "a service that is named twice": lambda one: one["services"][1].update(name="web"),
    "a route that is named twice": lambda one: one["routes"][1].update(name="orders"),
    "a route to an unknown service": lambda one: one["routes"][1].update(service="gone"),
    "two routes of one host and prefix": lambda one: one["routes"][1].update(prefix="/orders/"),
    "two routes of one host, written otherwise": lambda one: one["routes"][1].update(
        host="A.Example", prefix="/orders/"
    ),
    "a time-out of 0": lambda one: one["routes"][1].update(timeout_ms=0),
    "the version in force": lambda one: one.update(version=5),
    "a version below the one in force": lambda one: one.update(version=4),
}


@when("version {version:d} is sent on top of {base:d} with {fault}")
def step_fault(context, version, base, fault):
    document = complete_document(version)
    FAULTS[fault](document)
    send(context, "configure", base, document)


FRESH = route("fresh", "a.example", "/fresh/")
CHANGES = {  # what is put in, what is taken out
    "to the version in force": ({"routes": [FRESH]}, {}),
    "that removes a service in use": ({}, {"services": ["web"]}),
    "that adds a route to an unknown service": ({"routes": [{**FRESH, "service": "gone"}]}, {}),
    "that adds a route where one is already": ({"routes": [{**FRESH, "prefix": "/orders/"}]}, {}),
    "that adds a route without a prefix": (
        {"routes": [{"name": "fresh", "host": "a.example", "service": "web"}]},
        {},
    ),
    "that adds an item without a name": (
        {"routes": [{"host": "a.example", "prefix": "/x/", "service": "web"}]},
        {},
    ),
    "that adds an item twice": ({"routes": [FRESH, {**FRESH, "prefix": "/y/"}]}, {}),
    "that adds what is no list": ({"routes": FRESH}, {}),
    "that removes what is no list": ({}, {"routes": "orders"}),
    "that sets a time-out of 0": ({"routes": [{**FRESH, "timeout_ms": 0}]}, {}),
    "that adds items to what is no list": ({"limits": [{"name": "x"}]}, {}),
    "that adds items to a list of numbers": ({"numbers": [{"name": "x"}]}, {}),
    "that removes items from a list of numbers": ({}, {"numbers": ["x"]}),
    "that adds a route": ({"routes": [FRESH]}, {}),
    "that replaces a route": ({"routes": [{**FRESH, "prefix": "/fresher/"}]}, {}),
    "that removes a route": ({}, {"routes": ["fresh", "never there"]}),
}


@when("a change to version {version:d} on top of {base:d} is sent {change}")
def step_change(context, version, base, change):
    if change == "to the version in force":
        version = base
    send(context, "amend", base, version, *copy.deepcopy(CHANGES[change]))


@when("{call} is sent on top of {base:d} as version {version:d}")
def step_either(context, call, base, version):
    call, _, another = call.partition(" with ")
    added = route("another" if another else "one", "a.example", "/another/" if another else "/one/")
    if call == "a whole one":
        document = complete_document(version)
        document["routes"].append(added)
        context.document = context.document if another else document
        send(context, "configure", base, document)
    else:
        if not another:
            context.document = complete_document(version)
            context.document["routes"].append(added)
        send(context, "amend", base, version, {"routes": [added]}, {})


@when("the very same is sent again")
def step_again(context):
    context.first = getattr(context, "first", None) or context.sent
    name, arguments = context.first
    context.answer = context.core.call(name, *copy.deepcopy(arguments))


@when("version {version:d} with {count:d} routes is sent on top of {base:d}")
def step_many(context, version, count, base):
    document = complete_document(version)
    document["routes"] = [route(f"r{one}", f"h{one % 7}.example", f"/p{one}/") for one in range(count)]
    send(context, "configure", base, document)


@when("a change to version {version:d} on top of {base:d} takes out route 500 and moves route 501")
def step_two(context, version, base):
    moved = {"routes": [route("r501", "h0.example", "/moved/")]}
    send(context, "amend", base, version, moved, {"routes": ["r500"]})


@then("the configuration is answered with {status:d}")
def step_status(context, status):
    assert context.answer[0] == status, context.answer


@then("the answer names version {version:d}")
def step_names(context, version):
    document = context.answer[1]
    assert document.get("error", document)["version"] == version, document


@then("reading the configuration gives {status:d}")
def step_reads(context, status):
    assert context.core.call("configuration")[0] == status


@then("all is as it was before")
def step_same(context):
    assert context.core.cluster_state.leased_jobs.configuration.image() == context.before
    assert context.core.call("configuration") == (200, complete_document(5), None)
    step_leads(context, "/orders/1", "a.example", "orders", "1")
    step_nowhere(context, "/fresh/1", "a.example")


@then("version {version:d} is in force as it was sent")
def step_in_force(context, version):
    status, document, _ = context.core.call("configuration")
    expected = (
        context.document
        if getattr(context, "document", {}).get("version") == version
        else complete_document(version)
    )
    assert status == 200 and document == expected, document


@then("what is read back is what version 5 held, under version 12")
def step_back(context):
    assert context.core.call("configuration") == (200, complete_document(12), None)


def found(context, host, path):
    return context.core.cluster_state.leased_jobs.configuration.find(host, path)


@then("no route is found for host {host} and path {path}")
def step_no_route(context, host, path):
    step_nowhere(context, path, host)


@then("path {path} of host {host} leads to route {name:w} and {rest}")
def step_leads(context, path, host, name, rest):
    described = found(context, host, path)
    assert (
        described is not None
        and described[0]["name"] == name
        and described[1] == ("" if rest == "nothing" else rest)
    ), described


@then("path {path} of host {host} leads nowhere")
def step_nowhere(context, path, host):
    assert found(context, host, path) is None, found(context, host, path)


@then("each of the {count:d} routes is found by its host and prefix")
def step_each(context, count):
    for one in range(count):
        step_leads(context, f"/p{one}/1f", f"h{one % 7}.example", f"r{one}", "1f")


@then("each of the {count:d} routes but those two is found by its host and prefix")
def step_but(context, count):
    for one in set(range(count)) - {500, 501}:
        step_leads(context, f"/p{one}/1f", f"h{one % 7}.example", f"r{one}", "1f")
    step_nowhere(context, "/p500/1f", f"h{500 % 7}.example")
    step_nowhere(context, "/p501/1f", f"h{501 % 7}.example")
    step_leads(context, "/moved/1f", "h0.example", "r501", "1f")


@then("version {version:d} is read back from an image of the cluster state as it was")
def step_image(context, version):
    before = context.core.call("configuration")
    context.core.cluster_state = ClusterState.decode(ClusterState.encode(context.core.cluster_state.image()))
    assert context.core.call("configuration") == before and before[1]["version"] == version
    step_but(context, 1000)
    step_again(context)
    assert context.answer[:2] == (200, {"version": version}), context.answer
