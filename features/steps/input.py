"""Steps for Input: bad settings, jobs, queue configurations, bytes."""

import copy
import json
import random
import socket
import subprocess
import sys
import tempfile
import tracemalloc
from unittest import mock

import cbor2
import curio
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.daemon_settings import split
from pinepitch.common.effects import Reply, Send
from pinepitch.front.daemon import FrontDaemon
from pinepitch.model import contract, push_worker, pushed_job, queue_settings
from pinepitch.runtime import order_post
from pinepitch.scheduling import configuration as leased_job_configuration
from pinepitch.scheduling import job_document
from pinepitch.simulation.fleet.plans import PLANS
from pinepitch.simulation.fleet.processes import Fleet
from pinepitch.simulation.simulator import Simulator
from pinepitch.state.cluster_state import ClusterState
from pinepitch.transport import framing, http, http_server

GOOD = {
    "control": {
        "address": "127.0.0.1:7000",
        "area": "a",
        "data": "unused",
        "seeds": "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3",
    },
    "front": {
        "address": "127.0.0.1:7000",
        "http": "127.0.0.1:7001",
        "area": "a",
        "seeds": "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3",
    },
}
BENT = {
    "two seeds": {"seeds": "127.0.0.1:1,127.0.0.1:2"},
    "a host name": {"address": "somewhere:7000"},
    "no data folder": {"data": None},
    "an unknown level": {"level": "loud"},
    "a stray setting": {"founders": 3},
}


@when("`pinepitch {program}` is started with {fault}")
def step_start(context, program, fault):
    settings = {**GOOD[program], **BENT[fault]}
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        for name, value in settings.items():
            if value is not None:
                file.write(f"{name} = {json.dumps(value)}\n")
        file.flush()
        context.ended = subprocess.run(
            [
                sys.executable,
                "-c",
                "from pinepitch.cli.program import main; main()",
                program,
                f"--settings={file.name}",
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )


@then("it ends with 2 and names {path}")
def step_ended(context, path):
    assert context.ended.returncode == 2, context.ended
    assert path in context.ended.stderr, context.ended.stderr


def one_pushed_job():
    return {"queue": "default", "tasks": [{"name": "a"}, {"name": "b", "after": ["a"]}]}


@when("a job with {fault} is checked")
def step_pushed_job(context, fault):
    document = one_pushed_job()
    first, second = document["tasks"]
    if fault == "a cycle":
        first["after"] = ["b"]
    elif fault == "an unknown step":
        second["after"] = ["z"]
    elif fault == "a name twice":
        second["name"], second["after"] = "a", []
    elif fault == "a gang in sequence":
        first["gang"] = second["gang"] = "g"
    elif fault == "negative units":
        first["units"] = -1
    elif fault == "due before start":
        document.update(due=5, not_before=6)
    elif fault == "a stray field":
        document["colour"] = "salmon"
    context.taken, context.faults = pushed_job.checked(document)


@then("the fault at {path} is named")
def step_named(context, path):
    assert context.taken is None and path in [one[0] for one in context.faults], context.faults


@when("a queue configuration with {fault} is offered to the cluster state")
def step_configuration(context, fault):
    context.cluster_state = ClusterState()
    plain, _ = pushed_job.checked({**one_pushed_job(), "key": "k"})
    context.cluster_state.apply(1, 1.0, ("ticket", "k", "", plain))
    context.before = copy.deepcopy(
        (
            context.cluster_state.version,
            context.cluster_state.queue_configuration,
            context.cluster_state.queue_configurations.image(),
        )
    )
    bent = {
        "a share over its limit": {"queues": {"default": {"share": 9, "limit": 8}}},
        "a negative limit": {"queues": {"default": {"limit": -8}}},
        "an unknown column": {"queues": {"default": {"colour": 1}}},
        "shares over the room": {"room": 10, "queues": {"default": {"share": 11}}},
        "no queue": {"queues": {}},
        "a queue with live tickets gone": {"queues": {"other": {}}},
    }[fault]
    context.outcome = context.cluster_state.apply(
        2, 2.0, ("setup", "mark", None, "whole", bent, "operator", "")
    )


@then("the fault at {path} is named and the queue configuration in force is unchanged")
def step_unchanged(context, path):
    assert context.outcome[0] == "invalid", context.outcome
    assert path in [one[0] for one in context.outcome[1]], context.outcome
    assert context.before == (
        context.cluster_state.version,
        context.cluster_state.queue_configuration,
        context.cluster_state.queue_configurations.image(),
    )


@when("{count:d} seeded frames, whole, cut and bent, are decoded")
def step_frames(context, count):
    draw = random.Random(1)
    context.decoded = []
    for _ in range(count):
        body = bytearray(framing.encode("127.0.0.1:1", ("greet", [1, {"a": b"x"}], None, 2.5))[4:])
        for _ in range(draw.randrange(4)):
            body[draw.randrange(len(body))] = draw.randrange(256)
        if draw.random() < 0.3:
            del body[draw.randrange(len(body)) :]
        if draw.random() < 0.1:
            body = bytearray(draw.randbytes(draw.randrange(60)))
        context.decoded.append(framing.decode(bytes(body)))


@then("each is a message or refused, and a newer version is refused")
def step_decoded(context):
    refused = [one for one in context.decoded if isinstance(one, framing.InvalidFrame)]
    assert 0 < len(refused) < len(context.decoded)
    for one in context.decoded:
        assert isinstance(one, framing.InvalidFrame) or (isinstance(one[0], str) and one[1]), one
    newer = framing.decode(cbor2.dumps((constants.WIRE_VERSION + 1, "x", ("greet",))))
    assert isinstance(newer, framing.InvalidFrame) and "version" in newer[0]


def bend(document, draw):
    """The document with some places replaced, removed or added, anywhere in it."""
    odd = (
        None,
        -1,
        0,
        10**30,
        1.5,
        float("nan"),
        True,
        "",
        "x" * 400,
        "a/b",
        [],
        {},
        [[]],
        {"": 1},
        "default",
    )
    if draw.random() < 0.08:
        return draw.choice(odd)
    if isinstance(document, dict):
        result = {name: bend(value, draw) for name, value in document.items() if draw.random() > 0.05}
        if draw.random() < 0.05:
            result[draw.choice(("queues", "tasks", "x", ""))] = draw.choice(odd)
        return result
    if isinstance(document, list):
        return [bend(one, draw) for one in document]
    return document


@when("{count:d} seeded documents, good ones bent at random, are read")
def step_documents(context, count):
    draw = random.Random(2)
    goods = {
        pushed_job.checked: {**one_pushed_job(), "key": "k", "due": 9, "not_before": 1, "urgency": 3},
        queue_settings.checked: {
            "queues": {"default": {"share": 3, "limit": 9}, "b": {"lends": False}},
            "room": 50,
            "objective": {"shed": 2},
        },
        push_worker.checked: {
            "minion": "m",
            "area": "a",
            "address": "127.0.0.1:9",
            "room": 4,
            "incarnation": "i",
            "counter": 1,
            "running": [["t1/a", 1]],
            "ended": [["t1/b", 1, "done"]],
        },
    }
    context.read = []
    for number in range(count):
        reader = draw.choice(list(goods))
        context.read.append((number, reader, *reader(bend(goods[reader], draw))))


@then("each is taken or refused with paths, and what is taken the cluster state applies")
def step_read(context):
    record, taken = ClusterState(), 0
    for number, reader, plain, faults in context.read:
        assert (plain is None) == bool(faults), (reader, plain, faults)
        assert all(isinstance(path, str) and message for path, message in faults)
        if plain is None:
            continue
        taken += 1
        if reader is pushed_job.checked:
            outcome = record.apply(number, 1.0, ("ticket", f"k{number}", "", plain))
            assert outcome[0] in ("accepted", "invalid", "shed"), outcome
        elif reader is queue_settings.checked:
            assert record.apply(number, 1.0, ("setup", f"m{number}", None, "whole", plain, "", ""))[0] in (
                "setup",
                "invalid",
            )
    record.audit()
    assert 100 < taken < len(context.read) - 100, taken


@given("a front daemon and a control daemon of a bootstrapped cluster")
def step_daemons(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    plan = PLANS["small"]._replace(control_daemons=("a",), fronts=("a", "a"), founders=1)
    context.fleet = Fleet(plan, folder.name, "error")
    context.add_cleanup(context.fleet.stop)
    context.fleet.start_control_daemon(0)
    context.fleet.start_front(0)
    context.fleet.start_front(1)
    curio.run(context.fleet.until, context.fleet.served, 30, "service")


def throw(address, data):
    with socket.create_connection(split(address), 5) as one:
        one.settimeout(5)
        try:
            one.sendall(data)
            one.shutdown(socket.SHUT_WR)
            return one.recv(65536)
        except OSError:
            return b""


@when("seeded garbage is sent to each of their ports")
def step_garbage(context):
    draw = random.Random(3)
    fleet = context.fleet
    for address in (fleet.control_daemons[0][1], fleet.fronts[0][1], fleet.fronts[0][2]):
        for _ in range(40):
            throw(address, draw.randbytes(draw.randrange(1, 300)))
        throw(address, (2**31).to_bytes(4, "big") + b"x" * 100)
        throw(address, framing.encode("127.0.0.1:1", ("greet", 1))[:-1])
        throw(address, framing.encode("127.0.0.1:1", ("greet", 1)))
        throw(address, framing.encode("127.0.0.1:1", ("raft", [], {}, None, 3)))
        for kind, pattern in contract.CONTRACTS.items():
            for _ in range(10):
                odd = [draw.choice((None, -1, "x", b"x", [], {}, [[1]], 1.5, True)) for _ in pattern]
                throw(address, framing.encode("127.0.0.1:1", (kind, *odd)))
        throw(
            address, framing.encode("127.0.0.1:1", ("ask", "127.0.0.1:1", "t", "submit", (1,), 0, (1, 1.0)))
        )


@then("both still serve, and oversized or malformed calls get their status")
def step_serve(context):
    fleet = context.fleet
    assert curio.run(fleet.until, fleet.served, 10, "service")
    for name in ("accord0", "verge0"):
        assert fleet.processes[name].poll() is None, f"{name} ended"

    def status(method, target, document=None, headers=()):
        answer = curio.run(fleet.call, method, target, document, headers)
        assert isinstance(answer, http.Response), answer
        return answer.status

    assert status("POST", "/v1/tickets", [1]) == 400
    assert status("POST", "/v1/tickets", {"queue": "none", "tasks": [{"name": "a"}]}) == 422
    assert status("POST", "/v1/tickets", {"pad": "x" * constants.MAX_BODY_BYTES}) == 413
    assert status("GET", "/v1/tickets/t999") == 404
    assert status("GET", "/v2/anything") == 404
    assert status("PUT", "/v1/tickets") == 405
    assert status("PUT", "/v1/setup", {"queues": {}}) == 428
    assert status("PUT", "/v1/setup", {"queues": {}}, (("If-Match", '"1"'),)) == 422
    assert status("PATCH", "/v1/setup", {}, (("If-Match", '"99"'),)) == 409
    head = throw(
        fleet.fronts[0][2], b"POST /v1/tickets HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n{bad}"
    )
    assert b" 400 " in head.split(b"\r\n")[0], head


def work_of(text):
    return ("POST", "/v1/tickets", f'{{"queue":"default","tasks":[{{"name":"a","work":{text}}}]}}')


CALLS = {
    "a body nested 900 deep": work_of('{"a":' * 900 + "1" + "}" * 900),
    "a list nested 100000 deep": ("POST", "/v1/tickets", "[" * 100_000),
    "half a character in its work": work_of('"\\ud800"'),
    "half a character in a name": ("PATCH", "/v1/setup", '{"notes":{"\\ud800":1}}'),
    "a number beyond floats": work_of('{"a":1e400}'),
    "a number of 4000 digits": work_of("9" * 4000),
    "a member named twice": ("POST", "/v1/tickets", '{"queue":"a","queue":"default","tasks":[{"name":"a"}]}'),
    "a target that is no path": ("GET", "//[", ""),
}


@when("a front daemon gets a call with {fault}")
def step_call(context, fault):
    method, target, body = CALLS[fault]
    front = FrontDaemon("v", "127.0.0.1:1", "a", ("127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"))
    front.leader = "127.0.0.1:2"
    context.effects = front.step(("http", 1, method, target, {"if-match": "*"}, body.encode()), 1.0, 1.0)


@then("it is answered with 400 at once and carries nothing")
def step_refused_call(context):
    assert [(type(one), *one[:2]) for one in context.effects] == [(Reply, 1, 400)], context.effects
    assert not any(isinstance(effect, Send) for effect in context.effects)


@given("a simulated fleet with work on a worker")
def step_work(context):
    context.simulator = Simulator(4)
    context.simulator.begin()
    status, _ = context.simulator.persist(
        "POST",
        "/v1/tickets",
        {
            "queue": "default",
            "tasks": [{"name": f"s{one}", "units": 2, "work": {"seconds": 60.0}} for one in range(12)],
        },
    )
    assert status == 201
    context.simulator.run(6)
    context.core = context.simulator.leader().core
    context.worker_name = max(
        context.core.cluster_state.reserved, key=lambda one: len(context.core.cluster_state.reserved[one])
    )


@when("a report of that worker comes with {how}")
def step_contradicts(context, how):
    core, now = context.core, context.simulator.now + 1000.0
    known = core.push_workers[context.worker_name].report
    context.reserved = dict(core.cluster_state.reserved[context.worker_name])
    context.capacity = known.capacity
    if how == "a new start at another address":
        changed = known._replace(
            incarnation="other",
            address="10.9.9.9:1",
            running=(),
            ended=(),
            counter=1,
            latest_cluster_time=core.cluster_time(now),
        )
        core.push_workers[context.worker_name].heard_at = now - 60.0  # the first one fell silent meanwhile
    elif how == "less room than is reserved":
        changed = known._replace(
            counter=known.counter + 1, capacity=1, latest_cluster_time=core.cluster_time(now)
        )
        context.capacity = 1
    else:
        changed = known._replace(
            counter=known.counter - 1, running=(), ended=(), latest_cluster_time=core.cluster_time(now)
        )
    context.ends, _, _ = core.take_report(changed, now)


@then("nothing it ran is taken for ended and the cluster state audits clean")
def step_unbelieved(context):
    assert len(context.reserved) >= 1 and not context.ends, context.ends
    context.core.cluster_state.audit()
    candidates, free = context.core.placer._candidate_workers(
        context.core.cluster_state, context.core.push_workers, context.simulator.now + 1000.0
    )
    assert context.capacity > 1 or free[context.worker_name] < 0, free


@given("a server whose requests may take {seconds:g} seconds")
def step_patience(context, seconds):
    patched = mock.patch.object(constants, "MAX_REQUEST_SECONDS", seconds)
    patched.start()
    context.add_cleanup(patched.stop)


@when("one sender drips a byte at a time and another asks at once")
def step_drips(context):
    async def both():
        ours, theirs = curio.socket.socketpair()
        prompt, asker = curio.socket.socketpair()
        await asker.sendall(b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n")
        dripping = await curio.spawn(http_server.Server(ours).receive)
        context.prompt = await http_server.Server(prompt).receive()
        for byte in b"GET / HTTP/1.1\r\n" + b"X: " + b"y" * 10_000:
            if dripping.terminated:
                break
            await theirs.sendall(bytes([byte]))
            await curio.sleep(constants.TICK)  # the drip itself
        context.dripping = await dripping.join()

    curio.run(both)


@then("the prompt one is read whole and the dripping one gets 408")
def step_partition_off(context):
    assert isinstance(context.prompt, http.Request) and context.prompt.target == "/v1/health", context.prompt
    assert context.dripping == http.Fault(408, "slow"), context.dripping


NONSENSE = {
    "bytes that are no HTTP": b"\x00\xff" * 50,
    "a head without end": b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 20_000,
    "JSON that is none": b"HTTP/1.1 500 No\r\nContent-Type: application/json\r\nContent-Length: 3\r\n\r\n{{{",
    "a status of 500": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "a redirection": b"HTTP/1.1 302 There\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    "a connection closed at once": b"",
}


@when("a worker answers an order with {nonsense}")
def step_nonsense(context, nonsense):
    async def answered():
        listener = curio.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)

        async def worker_side():
            connection, _ = await listener.accept()
            async with connection:
                await connection.recv(65536)
                try:
                    await connection.sendall(NONSENSE[nonsense])
                except OSError:
                    pass

        side = await curio.spawn(worker_side)
        inbox = curio.Queue()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        await order_post.post(inbox, ("t1/s", 1), address, "/v1/orders", {"task": "t1/s"})
        await side.cancel()
        return await inbox.get()

    context.posted = curio.run(answered)


@then('the order\'s outcome is "{outcome}" and nothing raises')
def step_outcome(context, outcome):
    assert context.posted == ("posted", ("t1/s", 1), outcome), context.posted


# --- long lists -------------------------------------------------------------------------------
class Counted(list):
    """A list that counts how many of its items were asked for."""

    asked = 0

    def __iter__(self):
        for item in super().__iter__():
            self.asked += 1
            yield item


LISTED = {  # document -> (its check, the document with a list in it, a valid item)
    "leased job": (
        lambda document: job_document.checked(document)[1],
        lambda _, items: {"steps": items},
        {"count": 1},
    ),
    "pushed job": (
        lambda document: pushed_job.checked(document)[1],
        lambda _, items: {"queue": "default", "tasks": items},
        {"name": "a"},
    ),
    "configuration": (
        leased_job_configuration.faults_of,
        lambda what, items: {"version": 1, "routes": [], "services": [], what: items},
        None,
    ),
}


@when("a {document} whose list of {what} has {count:d} {quality} items is checked")
def step_long_list(context, document, what, count, quality):
    check, document_of, valid = LISTED[document]
    context.items = Counted([valid if quality == "valid" else 1] * count)
    context.faults = check(document_of(what, context.items))


@then("no more than 32 faults are named, and {asked} of its items were looked at")
def step_few_asked(context, asked):
    assert 0 < len(context.faults) <= constants.MAX_ITEM_FAULTS == 32, len(context.faults)
    assert context.items.asked <= (0 if asked == "none" else 32), context.items.asked


@when("{count:d} messages whose addresses have {length:d} characters are checked")
def step_long_addresses(context, count, length):
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        message = ("join", "identity", "zone", f"{number:0{length}}:7000")
        assert not contract.fits_contract(message)
    context.held_more = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()


@then("less than {most:d} MB more is held than before")
def step_held(context, most):
    assert context.held_more < most * 1_000_000, context.held_more
