"""Steps for Configuration: calls of an operator, applied to a cluster state of their own."""

import copy
import json
import math

import cbor2
from behave import given, then, when
from instruction_count import instructions_of

from pinepitch.common import constants
from pinepitch.model.decisions import Answer
from pinepitch.scheduling import requests
from pinepitch.scheduling.configuration import Configuration
from pinepitch.state.cluster_state import ClusterState


class Core:
    """The part of a control daemon that calls about the configuration use."""

    def __init__(self):
        self.cluster_state, self.index = ClusterState(), 0

    def common_level(self):
        """All members are of this version."""
        return constants.RECORD_LEVEL

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


# --- tenants --------------------------------------------------------------------------
KEYS = {"a": ["key-of-a-1", "key-of-a-2"], "b": ["key-of-b-1"]}
SPARE_KEY = "key-of-c-1"


def tenant(name, keys, **more):
    return {"name": name, "keys": list(keys), "weight": 5, "maximum": {"cpu": 64000}, **more}


def tenants_document(version):
    return {**complete_document(version), "tenants": [tenant(name, keys) for name, keys in KEYS.items()]}


def without(document, member):
    return {name: value for name, value in document.items() if name != member}


C = tenant("c", [SPARE_KEY])
TENANT_FORMS = {  # what stands beside tenants a and b
    "two tenants share a key": [tenant("c", KEYS["a"][:1])],
    "two tenants share a key among others": [tenant("c", [SPARE_KEY, KEYS["a"][1], "key-of-c-2"])],
    "three tenants share a key": [tenant(name, KEYS["b"]) for name in ("c", "d")],
    "a tenant is named twice": [C, tenant("c", ["key-of-c-2"])],
    "a tenant is named twice, with the same key": [C, C],
    "a tenant has no name": [without(C, "name")],
    "a tenant's name is empty": [{**C, "name": ""}],
    "a tenant is a text": ["c"],
    "the tenants are an object": {"c": C},
    "the keys are a text": [{**C, "keys": SPARE_KEY}],
    "a key is empty": [tenant("c", [SPARE_KEY, ""])],
    "a key is a number": [tenant("c", [SPARE_KEY, 7])],
    "a key is longer than any may be": [tenant("c", [SPARE_KEY * constants.MAX_KEY_LENGTH])],
    "a weight is a text": [{**C, "weight": "5"}],
    "a weight is below 0": [{**C, "weight": -1}],
    "a maximum is a list": [{**C, "maximum": [64000]}],
    "a maximum holds a text": [{**C, "maximum": {"cpu": "64000"}}],
    "a maximum is below 0": [{**C, "maximum": {"mem_mb": -1}}],
    "a tenant lists a key twice": [tenant("c", [SPARE_KEY, "key-of-c-2", SPARE_KEY])],
    "a tenant has an empty list of keys": [tenant("c", [])],
    "a tenant has no list of keys": [without(C, "keys")],
    "a tenant has no maximum": [without(C, "maximum")],
    "a maximum is null": [{**C, "maximum": None}],
    "a maximum is empty": [{**C, "maximum": {}}],
    "a maximum is 0 throughout": [{**C, "maximum": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    "a maximum is 0 but for memory": [{**C, "maximum": {"cpu": 0, "mem_mb": 512, "gpu": 0}}],
    "a tenant has members nobody knows": [{**C, "priority": 1, "news": {"keys": [1]}, "public": True}],
}
PUBLIC_FORMS = {"as a text": "true", "as a number": 1, "as null": None}


def all_keys():
    return [*(key for keys in KEYS.values() for key in keys), "key-of-"]


def tenants_in_force(context):
    return context.core.cluster_state.leased_jobs.tenants


@given("version 5 is in force with tenants")
def step_five_with_tenants(context):
    context.core = Core()
    send(context, "configure", 0, tenants_document(5))
    assert context.answer[0] == 200, context.answer


@when("the operator replaces version {base:d} by {version:d}, in which {form}")
def step_replace_form(context, base, version, form):
    context.document = tenants_document(version)
    beside = copy.deepcopy(TENANT_FORMS[form])
    if isinstance(beside, list):
        context.document["tenants"] += beside
    else:
        context.document["tenants"] = beside
    send(context, "configure", base, context.document)


@when("the operator changes version {base:d} to {version:d}, in which {form}")
def step_change_form(context, base, version, form):
    send(context, "amend", base, version, {"tenants": copy.deepcopy(TENANT_FORMS[form])}, {})


@when("the operator replaces version {base:d} by {version:d}, with a route public {form}")
def step_replace_public(context, base, version, form):
    document = tenants_document(version)
    document["routes"][1]["public"] = PUBLIC_FORMS[form]
    send(context, "configure", base, document)


@when("the operator changes version {base:d} to {version:d}, with a route public {form}")
def step_change_public(context, base, version, form):
    send(context, "amend", base, version, {"routes": [{**FRESH, "public": PUBLIC_FORMS[form]}]}, {})


@when("the operator replaces version {base:d} by {version:d}, which is version 5 but for its number")
def step_replace_back(context, base, version):
    send(context, "configure", base, tenants_document(version))
    assert context.answer[0] == 200, context.answer


TENANT_CHANGES = {  # what is put in, what is taken out
    "gives a key of a to b and leaves it to a": ({"tenants": [tenant("b", [*KEYS["b"], KEYS["a"][0]])]}, {}),
    "gives a key of a to b and takes it from a": (
        {"tenants": [tenant("a", KEYS["a"][1:]), tenant("b", [*KEYS["b"], KEYS["a"][0]])]},
        {},
    ),
    "takes out b": ({}, {"tenants": ["b"]}),
    "takes out every tenant": ({}, {"tenants": ["a", "b"]}),
}


@when("the operator changes version {base:d} to {version:d}, which {change}")
def step_change_tenants(context, base, version, change):
    send(context, "amend", base, version, *copy.deepcopy(TENANT_CHANGES[change]))


@then("no key is told, and all is as it was before")
def step_same_with_tenants(context):
    told = json.dumps(context.answer)
    assert not [key for key in all_keys() if key in told], told
    assert context.core.cluster_state.leased_jobs.configuration.image() == context.before
    assert context.core.call("configuration") == (200, tenants_document(5), None)
    for name, keys in KEYS.items():
        assert [tenants_in_force(context).owner(key) for key in keys] == [name] * len(keys)
    assert tenants_in_force(context).owner(SPARE_KEY) is None


@then("it is read back as it was sent, also from an image")
def step_read_back(context):
    for _ in range(2):
        status, document, _ = context.core.call("configuration")
        assert status == 200 and json.dumps(document) == json.dumps(context.document), document
        state = context.core.cluster_state
        context.core.cluster_state = ClusterState.decode(ClusterState.encode(state.image()))


@then("that key is tenant c's")
def step_key_of_c(context):
    assert tenants_in_force(context).owner(SPARE_KEY) == "c"


@then("tenant c has no key, and keys are asked for")
def step_no_key_of_c(context):
    tenants = tenants_in_force(context)
    assert tenants.keys_required and tenants.by_name.keys() == {"a", "b", "c"}
    assert tenants.owner(SPARE_KEY) is None and tenants.owner(KEYS["a"][0]) == "a"


@then("tenant c is not limited")
def step_not_limited(context):
    tenants = tenants_in_force(context)
    assert "c" in tenants.by_name and tenants.limited("c") is None, tenants.by_name


@then("tenant c is limited in memory alone")
def step_limited_in_memory(context):
    limited = tenants_in_force(context).limited("c")
    assert limited is not None and limited.maximum == (math.inf, 512, math.inf), limited


@then("the first key of a is tenant b's")
def step_key_of_b(context):
    assert tenants_in_force(context).owner(KEYS["a"][0]) == "b"


@then("the first key of a is nobody's")
def step_key_of_nobody(context):
    assert tenants_in_force(context).owner(KEYS["a"][0]) is None


@then("no key is anybody's, and keys are asked for")
def step_no_keys(context):
    tenants = tenants_in_force(context)
    assert tenants.keys_required and not any(tenants.owner(key) for key in all_keys())


EARLIER_FORMS = {
    "with their keys under another name": [{"name": name, "apiKeys": keys} for name, keys in KEYS.items()],
    "as an object": KEYS,
    "as numbers": [1, 2],
    "with keys that are numbers": [{"name": "a", "keys": [1, 2]}],
    "without names": [{"keys": KEYS["a"]}],
    "with a maximum that is a text": [tenant("odd", KEYS["a"], maximum={"cpu": "64000"})],
    "with a weight that is a text": [tenant("odd", KEYS["a"], weight="5")],
    "sharing a key": [tenant(name, KEYS["a"]) for name in KEYS],
}


@given("a cluster state with a configuration of an earlier version, its tenants {form}")
def step_earlier_form(context, form):
    context.core = Core()
    context.document = {**complete_document(5), "tenants": copy.deepcopy(EARLIER_FORMS[form])}
    operation = ("configure", 0, context.document, "a digest")
    assert context.core.cluster_state.apply(1, 1.0, operation) == ("configured", 5)


@then("no key is anybody's, and none is asked for")
def step_none_asked(context):
    tenants = tenants_in_force(context)
    assert not tenants.keys_required and not any(tenants.owner(key) for key in all_keys())


@then("each key is that of its tenant")
def step_each_key(context):
    for name, keys in KEYS.items():
        assert [tenants_in_force(context).owner(key) for key in keys] == [name] * len(keys)


@given("configurations with {few:d} and with {many:d} routes of one host")
def step_sized(context, few, many):
    context.configurations = {
        count: Configuration(
            {
                **complete_document(1),
                "routes": [route(f"r{place}", "a.example", f"/r{place:04}/") for place in range(count)],
            }
        )
        for count in (few, many)
    }


@then("the last of them is found in the second with at most {most:g} times the instructions of the first")
def step_found_fast(context, most):
    costs = []
    for count, configuration in context.configurations.items():
        path = f"/r{count - 1:04}/one"
        found, rest = configuration.find("A.example", path)
        assert (found["name"], rest) == (f"r{count - 1}", "one")
        costs.append(instructions_of(lambda find=configuration.find, path=path: find("A.example", path)))
    assert costs[1] <= most * costs[0], costs
