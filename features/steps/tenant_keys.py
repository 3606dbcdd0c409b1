"""Steps for Keys of tenants: bytes at the platform's ports, through simulated front and control daemons."""

import copy
import json
import os
import random
import sys
from unittest import mock

from behave import given, then, when

from pinepitch.common.effects import Event, Reply, Send
from pinepitch.simulation import simulator as simulators
from pinepitch.transport import http, http_server

FOLDER = os.path.join(
    os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "platform"
)
sys.path.insert(0, FOLDER)
try:
    import adapters
finally:
    sys.path.remove(FOLDER)

HOST = "nony24.example"
OWNED, OTHER = "/lohu930/", "/pule252/"  # prefixes of the routes
JOB_A, JOB_B = "5c0e7a21d94b36f8", "6c0e7a21d94b36f9"
JOB_BODY = {"taskSpec": "(text)", "steps": [{"taskCount": 2, "cpuUnits": 500, "taskMemoryMb": 256}]}
KEYS = {"a": ["gkcuyj8pjbvk9m68k7b2", "ex5wa5xwyhks8nbkxxmi"], "b": ["q3vd8t0yzl6fhs1e7u4c"]}
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzz0"
ADDED_KEY = "n5r2w9k4x7m1b8g6j3ht"
METHODS = ("POST", "GET", "DELETE")
ANSWERED_WITHIN = 8.0  # virtual seconds


def route(name, prefix, **more):
    return {
        "name": name,
        "hostName": HOST,
        "pathPrefix": prefix,
        "routeKind": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 1500,
        "priority": 1,
        "serviceName": "huvo11a",
        "maxAttempts": 2,
        "stretch": 2.2,
        "publicAccess": False,
        **more,
    }


def tenant(name, keys, **more):
    maximum = {"cpuUnits": 1478880, "taskMemoryMb": 2628022, "gpuCount": 543}
    return {"name": name, "apiKeys": list(keys), "priority": 1, "weight": 25, "maximum": maximum, **more}


def configuration(version):
    return {
        "configVersion": version,
        "routes": [route("owned", OWNED), route("other", OTHER)],
        "services": [{"name": "huvo11a", "healthPath": "/health", "guards": False}],
        "limits": {"maxHeaderBytes": 16384},
        "tenants": [tenant(name, keys) for name, keys in KEYS.items()],
    }


def request_of(method, target, headers, body):
    """The Request that a daemon reads of these bytes on a connection."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    server = http_server.Server(None)
    server.connection.receive_data("\r\n".join(lines).encode() + body)
    try:
        server.receive().send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the request is not complete")


class _Socket:
    """Takes what is sent."""

    def __init__(self):
        self.sent = b""

    async def sendall(self, data):
        self.sent += data


def answer_bytes(response):
    """The whole answer as a daemon writes it to a connection."""
    socket = _Socket()
    server = http_server.Server(socket)
    server.connection.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    while not isinstance(server.connection.next_event(), http_server.h11.EndOfMessage):
        pass
    try:
        server.answer(response).send(None)
    except StopIteration:
        return socket.sent
    raise AssertionError("the answer is not complete")


class Fleet:
    """Simulated front and control daemons with the platform's ports. Invariants: replies holds what daemons
    answered, by the number of the request; told all that a key must not stand in, as text; configuration is
    what the operator last had acknowledged.
    """

    def __init__(self):
        self.simulator = simulators.Simulator(7, workers=())
        self.replies, self.told, self.answer_count = {}, [], 0
        self.configuration = None
        self.patches = mock.patch.dict(
            simulators.EFFECTS, {Reply: self._reply, Event: self._event, Send: self._send}
        )

    def __enter__(self):
        self.patches.start()
        self.simulator.begin()
        self.simulator.run(2.5)  # members have told their levels, fronts have heard who leads
        return self

    def __exit__(self, *fault):
        self.patches.stop()

    # --- what is seen -----------------------------------------------------------------
    def _reply(self, simulator, node, request, status, document, headers=(), until=None):
        self.replies[request] = (status, document, tuple(headers))
        simulator._reply(node, request, status, document, headers, until)

    def _event(self, simulator, node, number, fields):
        self.told.append(("event", number, json.dumps(fields)))
        simulator._event(node, number, fields)

    def _send(self, simulator, node, address, message):
        if message[0] == "answer" and message[3][0] != "configuration":
            self.told.append(("answer between daemons", message[3][0], repr(message[1:])))
        elif message[0] in ("elsewhere", "unsure", "told", "news", "greet", "greeted", "tell"):
            self.told.append(("message", message[0], repr(message[1:])))
        simulator._send(node, address, message)

    # --- calls ------------------------------------------------------------------------
    def fronts(self):
        return [name for name, node in self.simulator.nodes.items() if node.kind == "verge"]

    def _answered(self, node, message):
        """What a daemon answers to a message."""
        self.simulator.give(node, message)
        number = message[1]
        found = self.simulator.until(lambda: number in self.replies, ANSWERED_WITHIN, 0.005)
        assert found is not None, message
        return self.replies.pop(number)

    def call(self, adapter, daemon, method, target, document=None, headers=()):
        """A request at a port of the platform: (status, headers, body) of the answer, read off its bytes."""
        body = b"" if document is None else json.dumps(document).encode()
        made = adapter.read(request_of(method, target, headers, body))
        if not isinstance(made, http.Response):
            name, arguments, patience = made
            self.simulator.request_count += 1
            message = ("call", self.simulator.request_count, name, arguments, patience)
            made = adapter.write(name, http.Response(*self._answered(self.simulator.nodes[daemon], message)))
        data = answer_bytes(made)
        self.answer_count += 1
        if target != adapters.READ:
            self.told.append(("answer", f"{method} {target}", data.decode()))
        head, _, body = data.decode().partition("\r\n\r\n")
        first, *lines = head.split("\r\n")
        told = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
        return int(first.split()[1]), told, body

    def at_queue(self, method, target, *keys, front="verge0", header="Api-Key"):
        """A client's call at a queue."""
        headers = [("Host", HOST), *((header, key) for key in keys)]
        document = JOB_BODY if method == "POST" else None
        return self.call(adapters.Front(), front, method, target, document, headers)

    def status(self, method, target, *keys, front="verge0"):
        return self.at_queue(method, target, *keys, front=front)[0]

    def control(self, method, target, document=None, base=None):
        """An operator's call at the leader."""
        headers = [("Host", "x"), *([("X-Based-On-Version", str(base))] if base is not None else [])]
        daemon = self.simulator.leader().name
        return self.call(adapters.Control("10.0.0.1:8080"), daemon, method, target, document, headers)

    def replace(self, document):
        """A whole configuration on top of the one in force: (status, headers, body)."""
        base = self.configuration["configVersion"] if self.configuration else 0
        answer = self.control("POST", adapters.REPLACE, document, base)
        if answer[0] == 200:
            self.configuration = copy.deepcopy(document)
        return answer

    def amend(self, upserts, removes):
        """A change by name on top of the configuration in force: (status, headers, body)."""
        base = self.configuration["configVersion"]
        change = {"configVersion": base + 2, "upsertItems": upserts, "removeNames": removes}
        answer = self.control("POST", adapters.AMEND, change, base)
        if answer[0] == 200:
            self.configuration = amended(self.configuration, change)
        return answer

    def change(self, call, upserts, removes):
        """The same change, by a whole configuration or by a change by name."""
        if call == "a change":
            return self.amend(upserts, removes)
        version = self.configuration["configVersion"] + 2
        change = {"configVersion": version, "upsertItems": upserts, "removeNames": removes}
        return self.replace(amended(self.configuration, change))

    def read(self):
        """What the operator reads back, as text."""
        status, _, body = self.control("GET", adapters.READ)
        assert status == 200, (status, body)
        return body


def amended(document, change):
    """A configuration after a change by name, as the users' page defines it."""
    changed = {**copy.deepcopy(document), "configVersion": change["configVersion"]}
    for part, items in change["upsertItems"].items():
        fresh = {item["name"]: item for item in items}
        changed[part] = [fresh.pop(one["name"], one) for one in changed[part]] + list(fresh.values())
    for part, names in change["removeNames"].items():
        changed[part] = [one for one in changed[part] if one["name"] not in names]
    return changed


def text_of(document):
    """A document as daemons write it."""
    return json.dumps(document, sort_keys=True)


def assert_for_good(answer, status):
    """A refusal: its status, why, nothing else, and no word of coming back."""
    assert answer[0] == status and "retry-after" not in answer[1], answer
    document = json.loads(answer[2])
    assert list(document) == ["errorMessage"] and document["errorMessage"], document


def keys_named(name):
    """The values of the header, by what the scenarios call them."""
    first, second = KEYS["a"]
    return {
        "no key": [],
        "an empty key": [""],
        "a key that no configuration ever held": [UNKNOWN_KEY],
        "a's key in capital letters": [first.upper()],
        "a's key cut short": [first[:-1]],
        "a's two keys at once": [f"{first}, {second}"],
        "a's name": ["a"],
        "a's first key": [first],
        "b's key": KEYS["b"],
    }[name]


@given("a fleet without a configuration")
def step_fleet(context):
    context.fleet = Fleet()
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@given("a fleet with tenants, a job of tenant a and one of tenant b")
def step_fleet_with_tenants(context):
    step_fleet(context)
    fleet = context.fleet
    assert fleet.replace(configuration(5))[0] == 200
    assert fleet.status("POST", OWNED + JOB_A, KEYS["a"][0]) == 200
    assert fleet.status("POST", OWNED + JOB_B, KEYS["b"][0]) == 200


@then("every call at a queue is answered 503 with Retry-After, whatever its key")
def step_unconfigured(context):
    for front in context.fleet.fronts():
        for method in METHODS:
            for keys in ([], [UNKNOWN_KEY], KEYS["a"][:1]):
                status, headers, _ = context.fleet.at_queue(method, OWNED + JOB_A, *keys, front=front)
                assert status == 503 and float(headers["retry-after"]) > 0, (method, keys, status)


@then("the platform's readiness is answered 503")
def step_unready(context):
    for front in context.fleet.fronts():
        status, _, _ = context.fleet.call(
            adapters.Readiness(), front, "GET", adapters.READY, headers=[("Host", "x")]
        )
        assert status == 503, status


@then("every call about the job of a with {key} is answered {status:d}, for good")
def step_refused(context, key, status):
    for front in context.fleet.fronts():
        for method in METHODS:
            answer = context.fleet.at_queue(method, OWNED + JOB_A, *keys_named(key), front=front)
            assert_for_good(answer, status)


@then("the job of a is as it was")
def step_job_as_it_was(context):
    status, _, body = context.fleet.at_queue("GET", OWNED + JOB_A, KEYS["a"][1])
    assert (status, json.loads(body)) == (200, {"state": "queued"}), (status, body)
    status, _, body = context.fleet.at_queue("GET", OWNED, KEYS["a"][0])
    assert (status, json.loads(body)) == (200, {"waiting": 2}), (status, body)


@then("a's key in the header {header} hands a job in, shows it and cancels it")
def step_header(context, header):
    told = []
    for method in METHODS:
        for key in KEYS["a"]:
            status, _, body = context.fleet.at_queue(method, OWNED + "0" * 16, key, header=header)
            told.append((status, json.loads(body)["state"]))
    assert told == [(200, "queued")] * 4 + [(200, "cancelled")] * 2, told


@then("every call at a route that is not there with {key} is answered 404, for good")
def step_no_route(context, key):
    for front in context.fleet.fronts():
        for method in METHODS:
            answer = context.fleet.at_queue(method, "/nowhere/" + JOB_A, *keys_named(key), front=front)
            assert_for_good(answer, 404)


# --- changes --------------------------------------------------------------------------
@when("a key is {change} by {call}")
def step_change_key(context, change, call):
    first, second = KEYS["a"]
    upserts, removes, context.key = {
        "taken away from a": ([tenant("a", [second])], [], first),
        "added to a": ([tenant("a", [first, second, ADDED_KEY])], [], ADDED_KEY),
        "moved from a to b": ([tenant("a", [second]), tenant("b", [*KEYS["b"], first])], [], first),
        "taken away with its tenant": ([], ["a"], first),
    }[change]
    assert context.fleet.change(call, {"tenants": upserts}, {"tenants": removes})[0] == 200


def expected_status(owner, of):
    """The status of a call about a job of tenant `of` with a key of tenant `owner`, or nobody's."""
    if owner is None:
        return 401
    return 200 if owner == of else 403


@then("the very next call with it at each front daemon is answered as {name}'s")
def step_very_next(context, name):
    owner = None if name == "nobody" else name
    for front in context.fleet.fronts():
        for of, job in (("a", JOB_A), ("b", JOB_B)):
            status = context.fleet.status("GET", OWNED + job, context.key, front=front)
            assert status == expected_status(owner, of), (front, of, status)
        status = context.fleet.status("POST", f"{OWNED}{hash(front) % 16**16:016x}", context.key, front=front)
        assert status == (401 if owner is None else 200), (front, status)


@then("the configuration is read back byte for byte as it stands")
def step_read_back(context):
    assert context.fleet.read() == text_of(context.fleet.configuration), context.fleet.read()


@when("{count:d} changes of keys of seed {seed:d} are made, the leader lost after each tenth")
def step_many_changes(context, count, seed):
    fleet, chance = context.fleet, random.Random(seed)
    pool = [*KEYS["a"], *KEYS["b"], ADDED_KEY]
    context.late = []
    for number in range(1, count + 1):
        owners = {key: chance.choice(("a", "b", None)) for key in pool}
        tenants = [tenant(name, [key for key in pool if owners[key] == name]) for name in KEYS]
        answer = fleet.change(chance.choice(("a whole one", "a change")), {"tenants": tenants}, {})
        assert answer[0] == 200, answer
        if number % 10 == 0:
            lose_leader(fleet.simulator)
        key, front = chance.choice(pool), chance.choice(fleet.fronts())
        status = fleet.status("GET", OWNED + JOB_A, key, front=front)
        if status != expected_status(owners[key], "a"):
            context.late.append((number, key, owners[key], status))


def lose_leader(simulator):
    """The leader falls, another leads, and the first comes back."""
    fallen = simulator.leader().name
    simulator.kill(fallen)
    led = simulator.until(
        lambda: simulator.leader() is not None and simulator.leader().core.epoch > 0, 30, 0.02
    )
    assert led is not None, "nobody leads"
    simulator.start(fallen)
    simulator.run(2.5)


@then("each call after an acknowledgement was answered by the keys of that version")
def step_none_late(context):
    assert not context.late, context.late


@when("a route is {change} by {call}")
def step_change_route(context, change, call):
    fleet = context.fleet
    context.prefix = "/fresh/" if change.startswith("added") else OTHER
    name = "fresh" if change.startswith("added") else "other"
    is_public = "public" in change
    if change == "taken out":
        upserts, removes = [], ["other"]
    else:
        upserts, removes = [route(name, context.prefix, publicAccess=is_public)], []
    assert fleet.change(call, {"routes": upserts}, {"routes": removes})[0] == 200
    if change.endswith("and back"):
        assert fleet.status("POST", f"{context.prefix}{99:016x}") == 200
        assert fleet.change(call, {"routes": [route(name, context.prefix)]}, {})[0] == 200


@then(
    "the very next calls at that route are answered {no_key:d} without a key, {unknown:d} with an unknown "
    "one and {own:d} with a's"
)
def step_route_answers(context, no_key, unknown, own):
    expected = (([], no_key), ([UNKNOWN_KEY], unknown), (KEYS["a"][:1], own))
    for place, front in enumerate(context.fleet.fronts()):
        for number, (keys, status) in enumerate(expected):
            target = f"{context.prefix}{place * 10 + number:016x}"
            for method in METHODS:
                found = context.fleet.status(method, target, *keys, front=front)
                assert found == status, (front, method, keys, found)


@when("a public route beside that of the job of a is added")
def step_public_beside(context):
    assert context.fleet.amend({"routes": [route("open", "/open/", publicAccess=True)]}, {})[0] == 200


@when("the route of the job of a is made public")
def step_made_public(context):
    assert context.fleet.amend({"routes": [route("owned", OWNED, publicAccess=True)]}, {})[0] == 200


@then("the job of a is answered {status:d} at {which} without a key and with b's")
def step_job_at(context, status, which):
    prefix = {"the public route": "/open/", "its own route": OWNED}[which]
    for keys in ([], KEYS["b"]):
        found = context.fleet.status("GET", prefix + JOB_A, *keys)
        assert found == status, (keys, found)


# --- refused --------------------------------------------------------------------------
SHARED = tenant("c", [ADDED_KEY, KEYS["a"][1]])


@when("a configuration in which two tenants share a key is sent by {call}")
def step_shared(context, call):
    context.answer = context.fleet.change(call, {"tenants": [SHARED]}, {})


@then("the operator is answered 400, with faults that name the tenants and no key")
def step_fault_told(context):
    status, headers, body = context.answer
    assert status == 400 and "retry-after" not in headers, context.answer
    document = json.loads(body)
    assert document["errorMessage"] and len(document["faults"]) == 1, document
    assert "tenants.c.keys" in json.dumps(document["faults"]), document
    assert not keys_in(body), body


@then("each tenant's keys are answered as before")
def step_as_before(context):
    for name, keys in KEYS.items():
        for key in keys:
            for of, job in (("a", JOB_A), ("b", JOB_B)):
                found = context.fleet.status("GET", OWNED + job, key)
                assert found == expected_status(name, of), (name, of, found)
    assert context.fleet.status("GET", OWNED + JOB_A, ADDED_KEY) == 401


# --- round trips ----------------------------------------------------------------------
TEXTS = ("", "name", "keys", "apiKeys", "maximum", "~", "~name", "cpu", "cpuUnits", "ключ", '" \\ \n', "a.b")


def random_value(chance, depth):
    kind = chance.random()
    if depth == 0 or kind < 0.4:
        return chance.choice((None, True, False, 0, 7, -2, 0.5, 1e-300, 2**53, chance.choice(TEXTS)))
    if kind < 0.6:
        return [random_value(chance, depth - 1) for _ in range(chance.randint(0, 3))]
    return {chance.choice(TEXTS): random_value(chance, depth - 1) for _ in range(chance.randint(0, 4))}


def random_tenant(chance, number, place):
    """A tenant with whatever a configuration may name beside what is checked."""
    found = {"name": f"t{place}", "apiKeys": [f"key-{number}-{place}-{one}" for one in range(place % 4)]}
    if chance.random() < 0.7:
        found["weight"] = chance.choice((0, 1, 25, 0.5, 1e-3, 2**40))
    if chance.random() < 0.8:
        limits = {one: chance.choice((0, 1, 1.5, 10**9)) for one in ("cpuUnits", "taskMemoryMb", "gpuCount")}
        limits = {one: limits[one] for one in limits if chance.random() < 0.7}
        found["maximum"] = chance.choice((None, {**limits, "news": random_value(chance, 2)}, limits))
    for _ in range(chance.randint(0, 2)):
        member = chance.choice(("news", "priority", "keys", "cpu", "~keys", "ключ", "service"))
        found[member] = random_value(chance, 3)
    return found


@when("{count:d} random configurations of seed {seed:d} are sent, whole ones and changes")
def step_random(context, count, seed):
    fleet, chance = context.fleet, random.Random(seed)
    context.read = []
    for number in range(count):
        listed = [random_tenant(chance, number, place) for place in range(chance.randint(0, 6))]
        if chance.random() < 0.5:
            answer = fleet.amend({"tenants": listed}, {"tenants": ["t0"]})
        else:
            version = fleet.configuration["configVersion"] + chance.randint(1, 5)
            answer = fleet.replace({**configuration(version), "tenants": listed})
        context.read.append((answer[0], fleet.read(), text_of(fleet.configuration)))


@then("each that was taken was read back byte for byte as JSON, and most were taken")
def step_random_read(context):
    for _, found, expected in context.read:
        assert found == expected, (found, expected)
    taken = sum(status == 200 for status, _, _ in context.read)
    assert taken > len(context.read) * 0.8, taken


# --- keys are never disclosed -----------------------------------------------------------
def keys_in(text):
    """The keys that stand in a text."""
    every = [*KEYS["a"], *KEYS["b"], UNKNOWN_KEY, ADDED_KEY]
    return [key for key in every if key in text]


def calls_of_every_kind(fleet):
    """Calls at queues with every sort of key, and changes of the configuration that are taken or refused."""
    first, second = KEYS["a"]
    for keys in ([first], [second], KEYS["b"], [UNKNOWN_KEY], [ADDED_KEY], []):
        for method in METHODS:
            for target in (
                OWNED + JOB_A,
                OWNED + JOB_B,
                OWNED,
                "/nowhere/" + JOB_A,
                f"{OTHER}{7:016x}",
                OWNED + "x",
            ):
                for front in fleet.fronts()[:2]:
                    fleet.at_queue(method, target, *keys, front=front)
    for call in ("a whole one", "a change"):
        assert fleet.change(call, {"tenants": [SHARED]}, {})[0] == 400
        assert fleet.change(call, {"tenants": [tenant("a", [first, 7])]}, {})[0] == 400
        assert fleet.change(call, {"tenants": [tenant("a", [first * 99])]}, {})[0] == 400
        assert fleet.change(call, {"tenants": [tenant("c", [ADDED_KEY])]}, {})[0] == 200
        assert fleet.change(call, {}, {"tenants": ["c"]})[0] == 200
    stale = {**fleet.configuration, "configVersion": 99}
    assert fleet.control("POST", adapters.REPLACE, stale, 1)[0] == 412
    lose_leader(fleet.simulator)
    fleet.status("GET", OWNED + JOB_A, first)


def mistaken_tokens(fleet):
    """Two calls under one token at the leader (event 146), and an answer about another call (event 145)."""
    simulator, leader = fleet.simulator, fleet.simulator.leader()
    end = (leader.core.consensus.term, simulator.steady() + 2.0)
    address = simulator.nodes["verge0"].address
    job = JOB_BODY | {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256}]}
    del job["taskSpec"]
    for call, arguments in (
        ("job", (HOST, f"{OWNED}{8:016x}", job, KEYS["a"][0])),
        ("job-cancel", (HOST, OWNED + JOB_A, KEYS["a"][1])),
    ):
        simulator.give(leader, ("ask", address, "a token", call, list(arguments), 1, end))
    front = simulator.nodes["verge1"]
    simulator.request_count += 1
    simulator.give(
        front, ("call", simulator.request_count, "job-read", (HOST, OWNED + JOB_A, KEYS["b"][0]), 2.0)
    )
    token = next(reversed(front.core.forwarder.calls))
    simulator.give(front, ("answer", token, (200, {}, None), ("job-read", f"{HOST} {OWNED}{JOB_B}")))
    simulator.run(1.0)


def product_answers(fleet):
    """All answers of the product's own API, metrics included, except the configuration itself."""
    simulator = fleet.simulator
    targets = ["/v1/metrics", "/v1/health", f"/v1/jobs/{JOB_A}", f"/v1/jobs/{JOB_B}", "/v1/workers"]
    targets += ["/v1/cohort", "/v1/figures", "/v1/pending", "/v1/evacuations", "/v1/jobs/none"]
    for node in list(simulator.nodes.values()):
        for target in targets if node.kind == "verge" else targets[:2]:
            simulator.request_count += 1
            message = ("http", simulator.request_count, "GET", target, {}, b"")
            status, document, headers = fleet._answered(node, message)
            fleet.told.append(("answer", f"{node.name} {target}", json.dumps([document, headers])))
            fleet.answer_count += 1


@when("calls of every kind are made, some of them refused or under the token of another")
def step_every_kind(context):
    calls_of_every_kind(context.fleet)
    mistaken_tokens(context.fleet)
    product_answers(context.fleet)


@then("no key stands in an event, in an answer, in the metrics, in a request key or in an update")
def step_no_key(context):
    found = [(one[:2], keys_in(one[2])) for one in context.fleet.told if keys_in(one[2])]
    assert not found, found[:5]


@then("events 145 and 146 were told, and a hundred answers were looked through")
def step_looked_through(context):
    numbers = {one[1] for one in context.fleet.told if one[0] == "event"}
    assert {145, 146} <= numbers, numbers
    assert context.fleet.answer_count > 100, context.fleet.answer_count
    kinds = {one[1] for one in context.fleet.told if one[0] == "answer between daemons"}
    assert {"job", "job-read", "job-cancel", "configure", "amend"} & kinds, kinds
