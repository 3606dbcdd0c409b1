"""Steps for Images: the same bytes at one index, their digests, their bound, and snapshots in chunks."""

import tracemalloc
from unittest import mock

import cbor2
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.effects import EncodeSnapshot, Event, SaveChange, Send
from pinepitch.common.limits import Limits
from pinepitch.consensus.snapshot_payload import ReceivedPayload, SnapshotPayload
from pinepitch.control import consensus_driver, image_digests
from pinepitch.control.metrics_text import text
from pinepitch.control.requests import REQUESTS
from pinepitch.simulation import injected_faults, pushed_job_trial
from pinepitch.simulation.jobs import kinds, limits
from pinepitch.simulation.scale.costs import Alone
from pinepitch.simulation.simulator import Simulator
from pinepitch.transport.request_key import key_of

DIFFERS, FULL = 135, 136  # events
BOUND = 200_000  # bytes; of an image, in these scenarios
SPECIFICATION_BYTES = 4_000
KILO, MEGA = 1_024, 1_000_000


# --- digests at members ------------------------------------------------------------------
@given("a cluster that makes images all the time, under traffic")
def step_cluster(context):
    condition = injected_faults.injected("frequent-snapshots")
    condition.__enter__()
    context.add_cleanup(condition.__exit__, None, None, None)
    context.simulator = Simulator(5)
    context.simulator.begin()
    context.simulator.caller("caller", pushed_job_trial.TRAFFIC)
    context.simulator.run(2)


def followers(simulator):
    leader = simulator.leader()
    return [node for node in simulator.nodes.values() if node.kind == "accord" and node is not leader]


def told(simulator, number):
    """Names of the nodes that logged an event."""
    return [name for _, name, event, _ in simulator.trace if event == number]


@when("its daemons run on for {seconds:d} seconds")
def step_pass(context, seconds):
    context.simulator.run(seconds)


@then("each follower has compared images with the leader, and none differs")
def step_compared(context):
    simulator = context.simulator
    counts = [node.core.image_digests.compared for node in followers(simulator)]
    assert len(counts) == 2 and min(counts) >= 2, counts
    assert not told(simulator, DIFFERS)


CHANGES = {
    "counts one draft more": lambda state: setattr(state, "draft_count", state.draft_count + 1),
    "has another time for a zone's closing": lambda state: state.emptied.update(nowhere=1.5),
}


@when("the state of a follower {how}, and its daemons run on for {seconds:d} seconds")
def step_differs(context, how, seconds):
    context.node = followers(context.simulator)[0]
    CHANGES[how](context.node.core.cluster_state)
    context.simulator.run(seconds)


@then("that follower and nobody else tells that its image differs from the leader's")
def step_told(context):
    assert set(told(context.simulator, DIFFERS)) == {context.node.name}, told(context.simulator, DIFFERS)
    fields = next(event[3] for event in context.simulator.trace if event[2] == DIFFERS)
    assert fields["digest"] != fields["leader_digest"] and fields["index"] > 0, fields
    assert fields["leader"] == context.simulator.leader().core.identity, fields


@then("its metrics count it")
def step_counted(context):
    count = context.node.core.image_digests.differences
    lines = text(context.node.core, context.simulator.steady()).splitlines()
    (line,) = [one for one in lines if one.startswith("pinepitch_image_differences_total ")]
    assert count > 0 and float(line.split()[1]) == count, (line, count)


@when("its daemons run on for {seconds:d} seconds while no leader knows the request")
def step_unknown(context, seconds):
    with mock.patch.dict(REQUESTS):
        del REQUESTS[image_digests.CALL]
        context.simulator.run(seconds)


@then("no follower has compared any image, and few are kept for it")
def step_in_vain(context):
    for node in followers(context.simulator):
        digests = node.core.image_digests
        assert digests.count > 0 and digests.compared == 0, (digests.count, digests.compared)
        assert len(digests.uncompared) <= constants.DIGESTS_KEPT
    assert not told(context.simulator, DIFFERS)


@then("jobs went on to end")
def step_went_on(context):
    caller = context.simulator.callers["caller"]
    assert any(event[0] == "final" for event in caller.history)


class Follower:
    """As much of a control daemon as ImageDigests asks of one that follows."""

    def __init__(self, leader):
        self.consensus = mock.Mock(role="follower", current_leader=leader)
        self.leader_clock = mock.Mock()
        self.forwarder = mock.Mock(incarnation="follower~1")
        self.address = "10.0.0.9:7000"
        self.sent, self.events = [], []

    def leader_address(self):
        return "10.0.0.1:7000"

    def send(self, address, message):
        self.sent.append(message)

    def event(self, number, **fields):
        self.events.append((number, fields))


@given("a follower that installed a snapshot of {sender}")
def step_follower(context, sender):
    context.follower = Follower(sender)
    context.digests = image_digests.ImageDigests(context.follower)
    context.digests.add_installed(40, "digest of 40", sender)


@when("{leader} answers with {which} digest for its index")
def step_answers(context, leader, which):
    context.follower.consensus.current_leader = leader
    context.digests.tick(100.0)
    ((_, _, token, call, arguments, _, _),) = context.follower.sent
    digest = "digest of 40" if which == "the" else "another digest"
    answer = (200, {"digests": [[40, digest], [60, "digest of 60"]]}, None)
    assert not context.digests.take_answer("another token", answer, key_of(call, arguments))
    assert context.digests.take_answer(token, answer, key_of(call, arguments))
    assert not context.digests.uncompared


@then("that follower has told of {what}")
def step_follower_tells(context, what):
    expected = [] if what == "nothing" else [DIFFERS]
    assert [number for number, _ in context.follower.events] == expected, context.follower.events


# --- payloads --------------------------------------------------------------------------
@given("payloads of snapshots with no, one and three segments")
def step_payloads(context):
    image = bytes(range(256)) * 20
    context.parts = [
        (image, (1, 0), {}),
        (image, (4, 4), {4: b"segment"}),
        (image, (2, 4), {2: b"x" * 300, 3: b"", 4: b"y" * 70_000}),
    ]


@when("they are cut into chunks of {most:d} bytes")
def step_cut(context, most):
    context.chunks = []
    for parts in context.parts:
        payload = SnapshotPayload(*parts)
        chunks = [payload.chunk(offset, most) for offset in range(0, len(payload), most)]
        assert all(len(one) == most for one in chunks[:-1]) and payload.chunk(len(payload), most) == b""
        context.chunks.append(chunks)


@then("each is the cbor of its image, span and segments, and is received as it was")
def step_received(context):
    for (image, span, segments), chunks in zip(context.parts, context.chunks, strict=True):
        assert b"".join(chunks) == cbor2.dumps([image, list(span), segments])
        received = ReceivedPayload()
        for chunk in chunks:
            received.add(chunk)
        assert received.parts() == (image, span, segments)


@given("the payload of a snapshot of {size:d} MB")
def step_large(context, size):
    image = bytes(size * MEGA // 2)
    segments = {number: bytes([number]) * MEGA for number in range(1, size // 2 + 1)}
    context.payload = SnapshotPayload(image, (1, len(segments)), segments)
    context.size = len(context.payload)


@when("it is cut into chunks of {most:d} KB, and received")
def step_sent(context, most):
    context.most = most * KILO
    tracemalloc.start()
    try:
        for offset in range(0, context.size, context.most):
            context.payload.chunk(offset, context.most)
        context.sending = tracemalloc.get_traced_memory()[1]
        tracemalloc.clear_traces()
        tracemalloc.reset_peak()
        received = ReceivedPayload()
        for offset in range(0, context.size, context.most):
            received.add(context.payload.chunk(offset, context.most))
        parts = received.parts()
        context.receiving = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert sum(map(len, parts.segments.values())) + len(parts.image) <= context.size


@then("sending took no more than {count:d} chunks beside it")
def step_sending(context, count):
    assert context.sending <= (count + 0.1) * context.most, context.sending


@then("receiving took no more than {times:g} times its bytes")
def step_receiving(context, times):
    assert context.receiving <= times * context.size, context.receiving / context.size


# --- the bound ---------------------------------------------------------------------------
class Bounded(Alone):
    """A cluster of one control daemon that encodes its images at once. Its events are recorded."""

    def __init__(self):
        super().__init__()
        self.core.limits = Limits(1, 1)
        self.sizes, self.events = [], []

    def give(self, message):
        """One message and all that its saves and images bring about."""
        waiting = [message]
        while waiting:
            saved = None
            for effect in self.core.step(waiting.pop(), self.now, self.now):
                if isinstance(effect, SaveChange):
                    saved = effect.sequence
                elif isinstance(effect, Send):
                    self.sent.append(effect.message)
                elif isinstance(effect, Event):
                    self.events.append(effect.number)
                elif isinstance(effect, EncodeSnapshot):
                    encoded = type(self.core.cluster_state).encode_with_digest(effect.image)
                    self.sizes.append(len(encoded.data))
                    waiting.append(("encoded", effect.applied_index, encoded))
            if saved is not None:
                waiting.append(("saved", saved))

    def asked(self, call, *arguments):
        """The answer (status, document, Retry-After) to a call."""
        self.sent.clear()
        self.ask(call, *arguments)
        return next(message[2] for message in self.sent if message[0] == "answer")

    def hand_in_large(self, number):
        """The answer to a job with a large specification."""
        results, _ = kinds.step_of(1, 10.0, 100)
        document = {"spec": "x" * SPECIFICATION_BYTES, "steps": [results]}
        return self.asked("job", limits.HOST, path_of(number), document)


def path_of(number):
    return f"/held/{number:016x}"


@given("a control daemon whose images may have 200 KB")
def step_bounded(context):
    for name in ("MIN_IMAGE_BYTES", "MIN_LOG_BYTES"):  # both, as snapshots come by a part of the log's bound
        bound = mock.patch.object(constants, name, BOUND)
        bound.start()
        context.add_cleanup(bound.stop)
    context.fleet = Bounded().begin()
    assert context.fleet.core.limits.image == BOUND


@when("jobs with specifications of {size:d} bytes are handed in until one is refused")
def step_until_refused(context, size):
    assert size == SPECIFICATION_BYTES
    for number in range(200):
        context.answer = context.fleet.hand_in_large(number)
        if context.answer[0] != 200:
            context.taken = number
            return
    raise AssertionError("none was refused")


@then("it is told 429, the code state_full, and when to come back")
def step_refused(context):
    status, document, retry = context.answer
    assert (status, document["error"]["code"], retry) == (429, "state_full", constants.RETRY_AFTER), (
        context.answer
    )
    assert context.taken > BOUND // SPECIFICATION_BYTES // 2, context.taken


@then("the refusal has its event, and no job was taken that was told so")
def step_event(context):
    assert context.fleet.events.count(FULL) == 1
    assert len(context.fleet.core.cluster_state.leased_jobs.jobs) == context.taken


def largest(fleet):
    return max(fleet.sizes, default=0)


BOUND_WITH_STEP = BOUND + BOUND // constants.IMAGE_STEP


@then("no image was larger than its bound and one step of it")
def step_within(context):
    state = context.fleet.core.cluster_state
    assert len(state.encode(state.image())) <= BOUND_WITH_STEP
    assert 0 < largest(context.fleet) <= BOUND_WITH_STEP, context.fleet.sizes


@then("a cancel, a configuration and an evacuation are taken still")
def step_others(context):
    fleet = context.fleet
    state = fleet.core.cluster_state.leased_jobs
    assert fleet.asked("job-cancel", limits.HOST, path_of(0))[0] == 200
    document = {**state.configuration.document, "version": state.configuration.version + 1}
    assert fleet.asked("configure", state.configuration.version, document)[0] == 200
    assert fleet.asked("evacuate", "a", True, fleet.core.cluster_state.index)[0] == 200


@when("all jobs are cancelled and forgotten")
def step_cancelled(context):
    fleet = context.fleet
    for number in range(1, context.taken):
        fleet.asked("job-cancel", limits.HOST, path_of(number))
    fleet.now += constants.FINAL_LASTS + constants.TICK
    fleet.run(1.0)
    for begun in (False, True) * 30:  # orders that add nothing, until the next image is made
        fleet.asked("evacuate", "a", begun, fleet.core.cluster_state.index)
    fleet.run(1.0)


@then("a job is taken again")
def step_taken_again(context):
    for begun in (False, True) * 400:
        if context.fleet.hand_in_large(1_000)[0] == 200:
            return
        context.fleet.asked("evacuate", "a", begun, context.fleet.core.cluster_state.index)
    raise AssertionError(f"none is taken: {context.fleet.sizes[-3:]}")


@when("{count:d} jobs with specifications of {size:d} bytes are handed in with no heed to the bound")
def step_unbounded(context, count, size):
    with mock.patch.object(consensus_driver.ConsensusDriver, "is_full", lambda self: False):
        for number in range(count):
            assert context.fleet.hand_in_large(number)[0] == 200


@then("an image is larger than its bound and one step of it")
def step_beyond(context):
    assert largest(context.fleet) > BOUND_WITH_STEP, context.fleet.sizes
