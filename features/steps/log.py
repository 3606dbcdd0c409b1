"""Steps for Log: large changes in a simulated cluster, packed operations, links."""

import os
import sys
import tempfile
from typing import NamedTuple
from unittest import mock

import cbor2
import curio
from behave import given, then, when
from curio.network import run_server, tcp_server_socket

from pinepitch.common import constants, daemon_settings
from pinepitch.common.limits import Limits
from pinepitch.common.packed_operations import Packed, dumps, unpacked
from pinepitch.consensus import election
from pinepitch.consensus.effects import SendMessage
from pinepitch.consensus.log import packed_with_size
from pinepitch.consensus.messages import ChunkReply, SnapshotChunk
from pinepitch.consensus.replica import Consensus
from pinepitch.simulation import leased_job_trial
from pinepitch.simulation.changes import BODY, ControlCluster, document_of, injected, missed
from pinepitch.simulation.link_rates import LinkRates
from pinepitch.simulation.steady import Day
from pinepitch.transport import framing
from pinepitch.transport.link import Lane, Link

FOLDER = os.path.join(
    os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "platform"
)
sys.path.insert(0, FOLDER)
try:
    import platform_settings
finally:
    sys.path.remove(FOLDER)


class Item(NamedTuple):
    """The values that an operation may contain."""

    worker: str
    run: int
    saved: float


OPERATIONS = {
    "a named tuple": ("job-ended", Item("m1", 3, 0.5)),
    "named tuples in a list": ("job-ended", [Item("m1", 3, 0.5), Item("m2", 4, 1.5)], 7),
    "named tuples in a map": ("job-ended", {"m1": (Item("m1", 3, 0.5),)}),
    "plain tuples": ("job-ended", (("m1", 3, 0.5),)),
}
MEGA = 1_000_000
ENVELOPE = 1_000  # bytes; of a frame beside its entries
KILO = 1_024


@given("a cluster on machines of {memory:d} MB of memory and {disk:d} MB of disk")
def step_cluster(context, memory, disk):
    context.limits = Limits(memory * MEGA, disk * MEGA)
    context.rate = float("inf")


@given(
    "a cluster on machines of {memory:d} MB of memory and {disk:d} MB of disk, on links of {rate:d} Mbit/s"
)
def step_cluster_slow(context, memory, disk, rate):
    context.limits = Limits(memory * MEGA, disk * MEGA)
    context.rate = rate * MEGA / 8


def cohort_of(context, size, seed=3):
    """A cohort that serves, on the machines and links of the scenario."""
    simulator = context.simulator = ControlCluster(seed, limits=context.limits, size=size)
    simulator.link_rates = LinkRates(context.rate)
    simulator.begin()
    context.leader = simulator.leader().name
    context.others = [name for name in simulator.nodes if name != context.leader]
    return simulator


@when("{count:d} changes of a {size:d} KB configuration come {every:g} s apart")
def step_steady(context, count, size, every):
    simulator = cohort_of(context, size * KILO)
    simulator.stream(count, every)
    simulator.run(3.0)
    context.count = count


@then("every change was acknowledged under one leader")
def step_all_acknowledged(context):
    assert len(context.simulator.acknowledged) == context.count, len(context.simulator.acknowledged)
    assert len(context.simulator.leaderships()) == 1


@then("no log held more than the limits allow, and no folder more than a quarter of the disk")
def step_bounded(context):
    stored, limits = context.simulator.maxima, context.limits
    assert 2 * BODY < stored.log <= limits.since_base + limits.tail + 4 * BODY, stored.log
    assert stored.disk <= limits.disk // 4, stored.disk


@then("no message between members was larger than one change and its envelope")
def step_frames(context):
    largest = context.simulator.link_rates.largest
    assert largest <= max(constants.APPEND_BYTES, context.simulator.size) + ENVELOPE, largest


@then("all members hold the same cluster state")
def step_same(context):
    assert not context.simulator.faults(), context.simulator.faults()
    indexes = {node.core.cluster_state.index for node in context.simulator.nodes.values()}
    assert len(indexes) == 1, indexes


@when(
    "a member misses {few:d} and, in a second run, {many:d} changes of a {size:d} KB configuration "
    "and comes back {how} under further ones"
)
def step_missed(context, few, many, size, how):
    context.found = []
    for count in (few, many):
        simulator = cohort_of(context, size * KILO)
        context.found.append(missed(simulator, context.others[0], count, 0.1, wiped=how == "wiped"))
    context.simulator.run(3.0)


@then("it catches up both times, and the second time in at most {more:g} s and twice the time more")
def step_slope(context, more):
    (first, _), (second, _) = context.found
    assert second <= 2 * first + more, context.found


@then("it is sent at most {most:d} MB the second time")
def step_bytes(context, most):
    assert context.found[1][1] <= most * MEGA, context.found


@then("whoever led goes on leading, and all members hold the same cluster state")
def step_led_on(context):
    assert len(context.simulator.leaderships()) == 1, context.simulator.leaderships()
    step_same(context)


@when(
    "a member misses {count:d} changes of a {size:d} KB configuration, comes back, "
    "and the other follower is lost"
)
def step_quorum(context, count, size):
    simulator = cohort_of(context, size * KILO)
    back, lost = context.others
    simulator.kill(back)
    simulator.stream(count, 2.2 * size * KILO / context.rate)
    simulator.start(back)
    simulator.run(0.3)
    context.campaigns = len(campaigns(simulator))
    simulator.kill(lost)
    context.back = back


def campaigns(simulator):
    """Every pre-vote, campaign and leadership lost so far."""
    return [event for event in simulator.trace if event[2] in (120, 121, 123)]


@then("it catches up within {seconds:g} s and nobody stands for an election")
def step_kept(context, seconds):
    simulator = context.simulator
    assert simulator.until(lambda: simulator.lacks(context.back) == 0, seconds) is not None
    assert campaigns(simulator)[context.campaigns :] == []


@then("a further change is acknowledged")
def step_further(context):
    simulator = context.simulator
    assert simulator.change()
    assert simulator.until(lambda: simulator.version in simulator.acknowledged, 10) is not None
    assert not simulator.faults(), simulator.faults()


@when("changes of {size:d} KB come for {seconds:d} s with members killed and wiped, seed {seed:d}")
def step_day(context, size, seconds, seed):
    context.simulator = Day(seed, size * KILO).run_day(seconds)


@then("{least:d} or more were lost and each was back with its vote within {most:g} s")
def step_back(context, least, most):
    back = context.simulator.back
    assert len(back) >= least and max(took for _, took in back) <= most, back


@then("9 of 10 changes were acknowledged, and what is in force is the newest of them on every member")
def step_most_acknowledged(context):
    simulator = context.simulator
    assert len(simulator.acknowledged) >= 0.9 * simulator.version, len(simulator.acknowledged)
    assert not simulator.faults(), simulator.faults()


@when("a member without any log is sent a snapshot of 1 MB under changes that make a newer one every 2 s")
def step_newer(context):
    simulator = cohort_of(context, 1_000 * KILO)
    name = context.others[0]
    simulator.link_rates.slow = name
    simulator.kill(name)
    simulator.stream(10, 0.2)
    simulator.wipe(name)
    simulator.start(name)
    context.begun = simulator.now
    for _ in range(20):
        simulator.change()
        simulator.run(0.7)
    context.bases = [event for event in simulator.trace if event[2] == 126 and event[1] == context.leader]
    context.installed = [event for event in simulator.trace if event[2] == 127 and event[1] == name]


@then("it installs the snapshot that it was being sent first")
def step_first_installed(context):
    assert sum(event[0] > context.begun for event in context.bases) >= 3, context.bases
    assert context.installed, "nothing was installed"
    when, index = context.installed[0][0], context.installed[0][3]["index"]
    newer = [event for event in context.bases if event[0] < when and event[3]["index"] > index]
    assert newer, (context.installed, context.bases)


@when(
    "the disks of both followers stand still while {count:d} changes of a {size:d} KB configuration "
    "are handed in together"
)
def step_stalled(context, count, size):
    simulator = cohort_of(context, size * KILO)
    simulator.change()
    simulator.run(1.0)
    for name in context.others:
        simulator.nodes[name].disk.stalled = True
    context.answers_by_version = {}
    leader = simulator.leader()
    for version in range(2, count + 2):
        number = simulator.request_count = simulator.request_count + 1

        def answered(status, answer, version=version):
            context.answers_by_version[version] = status

        simulator.requests[number] = ("call", "operator", 0, ("told", answered), leader.name)
        arguments = (version - 1, document_of(version, simulator.size))
        simulator.give(leader, ("call", number, "configure", arguments, 1.0))
    context.proposed = leader.core.consensus.last_index()
    simulator.run(1.4)


@then("the log holds no more than the limits allow and one change beside")
def step_log_full(context):
    log = context.simulator.nodes[context.leader].core.consensus.log
    assert 0 < log.size <= context.limits.log + context.simulator.size + ENVELOPE, log.size


@then("what was held back is answered as not taken, and never takes effect")
def step_not_taken(context):
    context.refused = [version for version, status in context.answers_by_version.items() if status == 503]
    assert context.refused, context.answers_by_version
    assert context.simulator.nodes[context.leader].core.consensus.last_index() == context.proposed


@when("the disks go on")
def step_go_on(context):
    for name in context.others:
        context.simulator.nodes[name].disk.stalled = False
    context.simulator.run(10.0)


@then("what was proposed takes effect, and the log shrinks to what a base leaves")
def step_shrunk(context):
    core = context.simulator.leader().core
    assert core.cluster_state.leased_jobs.configuration.version == min(context.refused) - 1
    assert core.consensus.log.size <= context.limits.since_base + context.limits.tail + 4 * BODY
    assert not context.simulator.faults(), context.simulator.faults()


@given("an operation of 20 KB and a small one")
def step_operations(context):
    context.operations = [
        ("configure", 3, document_of(4, 20 * KILO), "digest"),
        ("job-cancel", "0123456789abcdef"),
    ]


@then("only the large one is packed, and both give the same frame and file as they would unpacked")
def step_same_bytes(context):
    large, small = (packed_with_size(one)[0] for one in context.operations)
    assert type(large) is Packed and small is context.operations[1]
    plain = [(1, 2.0, one) for one in context.operations]
    stored = [(1, 2.0, large), (1, 2.0, small)]
    assert dumps(stored) == cbor2.dumps(plain)
    assert framing.encode("10.0.0.1:1", ("append", stored)) == framing.encode("10.0.0.1:1", ("append", plain))


@then("decoding the large one gives the operation back")
def step_decoded(context):
    large = context.operations[0]
    assert unpacked(packed_with_size(large)[0]) == large


@given("a day of jobs under leases that is calm, of seed {seed:d}")
def step_calm(context, seed):
    faults, context.simulator = leased_job_trial.trial("calm", seed)
    assert not faults, faults


@then("every small entry's size is from once to six times its encoding")
def step_sizes(context):
    seen = 0
    for node in context.simulator.nodes.values():
        if node.kind == "accord":
            log = node.core.consensus.log
            for entry, size in zip(log.entries, log.sizes, strict=True):
                if type(entry[2]) is not Packed:
                    encoded = len(dumps(entry))
                    assert encoded <= size <= 6 * encoded + 64, (size, encoded, entry[2])
                    seen += 1
    assert seen > 100, seen


async def nobody(sendings):
    """Nobody is notified of lost frames that contain no calls."""


@given("a receiver that never reads a large frame")
def step_receiver(context):
    context.large = b"L" * (4 * MEGA)
    context.small = b"S" * 100
    for name, value in (("ELECTION_TIMEOUT", 30.0), ("PEER_TIMEOUT_MS", 30_000)):
        patience = mock.patch.object(constants, name, value)  # else a new connection would bring it
        patience.start()
        context.add_cleanup(patience.stop)


@when("a large frame and a heartbeat are sent to it")
def step_both_sent(context):
    async def both():
        heard = curio.Queue()

        async def serve(client, address):
            first = await client.recv(len(context.small))
            if first == context.small:
                await heard.put(first)
            await curio.sleep(30)

        listener = tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        async with curio.TaskGroup(wait=None) as tasks:
            await tasks.spawn(run_server, listener, serve)
            link = Link(f"127.0.0.1:{port}", nobody, Limits())
            await tasks.spawn(link.run)
            await link.put(context.large)
            await link.put(context.small)
            try:
                context.heard = await curio.timeout_after(2.0, heard.get())
            except curio.TaskTimeout:
                context.heard = None

    curio.run(both)


@then("the heartbeat arrives")
def step_heard_it(context):
    assert context.heard == context.small, context.heard


@given("a lane that may hold {most} bytes and is not connected")
def step_lane(context, most):
    context.lane = Lane("127.0.0.1:1", nobody, int(most.replace(",", "")))


@when("{count:d} frames of {size} bytes are put into it")
def step_put(context, count, size):
    context.frames = [bytes([number]) * int(size.replace(",", "")) for number in range(count)]

    async def put():
        for frame in context.frames:
            await context.lane.put(frame)

    curio.run(put)


@then("the newest {count:d} wait")
def step_wait(context, count):
    assert list(context.lane.frames) == context.frames[-count:]
    assert context.lane.size == sum(map(len, context.lane.frames))


@given("a leader that sends a snapshot in pieces")
def step_sending(context):
    leader = context.consensus = Consensus("a", 7, {"a": "north", "b": "south", "c": "west"})
    image = b"i" * (4 * constants.APPEND_START)
    base = [[3, "a", 3, {}], [9, 3, leader.base_membership.image(), image, (1, 0)], 10, []]
    leader.restore(base, [])
    leader.archive = None
    leader.tick(100.0)
    leader.term = 4
    election.become_leader(leader, 110.0)
    leader.take_effects(110.0)
    leader.saved(leader.sequence, 110.0)
    leader.followers["b"].next_index = 1
    context.now = 110.2
    asked = chunks_of(leader.tick(context.now))
    assert [one.offset for one in asked] == [-1], asked
    first = chunks_of(leader.step("b", ChunkReply(4, 9, -1, 0, 1), context.now + 0.01))
    assert [one.offset for one in first] == [0], first


def chunks_of(effects):
    """The pieces sent to b."""
    sent = [one.message for one in effects if isinstance(one, SendMessage) and one.receiver == "b"]
    return [message for message in sent if isinstance(message, SnapshotChunk)]


@when("the answer to its first piece comes twice")
def step_twice(context):
    answer = ChunkReply(4, 9, constants.APPEND_START, 0, 1)
    context.sent = [
        chunk
        for after in (0.02, 0.03)
        for chunk in chunks_of(context.consensus.step("b", answer, context.now + after))
    ]


@then("one further piece is sent")
def step_one_chunk(context):
    offsets = [one.offset for one in context.sent]
    assert offsets == [constants.APPEND_START], offsets


@given("a settings file of a core with limits.memoryMb={memory} and limits.diskMb={disk}")
def step_settings_file(context, memory, disk):
    lines = {
        "nodeName": "core-1",
        "zone": "north",
        "ipAddress": "10.1.0.4",
        "internalPortRange": "7380,7395",
        "seedAddresses": "10.1.0.41:8144",
        "listenAddresses.control": "10.1.0.4:8149",
        "dataDirectory": "/data",
        "limits.memoryMb": memory,
        "limits.diskMb": disk,
    }
    with tempfile.NamedTemporaryFile("w", encoding="utf-8", suffix=".settings") as file:
        file.write("".join(f"{name}={value}\n" for name, value in lines.items()))
        file.flush()
        context.place, faults = platform_settings.read("core", file.name)
    assert not faults, faults


@then("the place tells {memory:d} bytes of memory and {disk:d} of disk, and the log may hold {log:d}")
def step_place_limits(context, memory, disk, log):
    assert (context.place.memory, context.place.disk) == (memory, disk), context.place
    assert Limits(memory, disk).log == log, Limits(memory, disk).log


@then("a folder on a tenth of that disk leaves the log {log:d}")
def step_small_disk(context, log):
    assert Limits(context.place.memory, context.place.disk // 10).log == log


@then("the control daemon's own settings take memory_mb and disk_mb, and refuse 0, true and a text")
def step_own_settings(context):
    flags = {
        "address": "10.1.0.4:1",
        "area": "north",
        "seeds": "10.1.0.4:1,10.1.0.4:2,10.1.0.4:3",
        "data": "/data",
    }
    found, _ = daemon_settings.read("accord", None, {**flags, "memory_mb": 300, "disk_mb": 64})
    assert (found.memory, found.disk) == (300 * MEGA, 64 * MEGA), found
    found, _ = daemon_settings.read("accord", None, flags)
    assert (found.memory, found.disk) == (constants.MEMORY, constants.DISK), found
    for value in (0, True, "much"):
        found, faults = daemon_settings.read("accord", None, {**flags, "memory_mb": value})
        assert found is None and "memory_mb" in faults[0], (value, faults)


@given("the injected fault {injected_fault} among large changes")
def step_injected(context, injected_fault):
    fault = injected(injected_fault)
    fault.__enter__()
    context.add_cleanup(fault.__exit__, None, None, None)


@then('the scenario "{name}" fails')
def step_fails(context, name):
    scenario = next(one for one in context.feature.walk_scenarios() if name in one.name)
    try:
        context.execute_steps("\n".join(f"{one.keyword} {one.name}" for one in scenario.steps))
    except AssertionError:
        return
    raise AssertionError(f"{scenario.name} passes in spite of the fault")


@given("an operation of a log with {kind}")
def step_operation(context, kind):
    context.operation = OPERATIONS[kind]


@then("it has the same size as its plain form, and as its form on the wire")
def step_same_size(context):
    sizes = {
        packed_with_size(context.operation)[1],
        packed_with_size(cbor2.loads(cbor2.dumps(context.operation)))[1],
    }
    assert len(sizes) == 1, sizes
