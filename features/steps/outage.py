"""Steps for Outage: seeded outages of the whole control plane, and control daemons stepped by hand."""

import functools
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import curio
import curio.socket
from behave import given, then, when

from pinepitch.common import constants
from pinepitch.common.effects import Reply, SaveChange, Send
from pinepitch.consensus import election
from pinepitch.consensus.effects import SendMessage
from pinepitch.consensus.messages import PreVoteReply, PreVoteRequest, VoteReply, VoteRequest
from pinepitch.consensus.replica import Consensus
from pinepitch.consensus.roles import Role
from pinepitch.control.daemon import ControlDaemon
from pinepitch.front.daemon import FrontDaemon
from pinepitch.simulation import outage
from pinepitch.storage.folder_lock import FolderLock
from pinepitch.transport.link import Link

MEMBERS = {"a": "north", "b": "south", "c": "west"}
WATCHED = 3.0  # seconds from the last start
LEASE = constants.LEADER_LEASE * (1 + constants.CLOCK_DRIFT)  # of a leader whose clock runs slow


def restarted(identity):
    """A consensus that a store gave one entry."""
    consensus = Consensus(identity, 7, MEMBERS)
    consensus.restore(None, [([3, "c", 3, {}], None, 1, [(3, 0.0, ("noop",))])])
    return consensus


@when("every control daemon is killed and started again, with seeds {first:d} to {last:d}")
def step_outages(context, first, last):
    context.outages = [outage.measure(seed, WATCHED) for seed in range(first, last + 1)]


@then("half of them have a leader within {half:g} of a lease, and all within {most:g}")
def step_leaders(context, half, most):
    spans = [one.leader / constants.LEADER_LEASE for one in context.outages]
    assert statistics.median(spans) <= half and max(spans) <= most, spans


@then("all take a job within {taken:g} s of it, and start a task within {started:g} s of it")
def step_served(context, taken, started):
    for one in context.outages:
        assert one.accepted - one.leader <= taken, one
        assert one.started - one.leader <= started, one


@given("two control daemons with a log that start anew, the second {late:g} s after the first")
def step_two(context, late):
    context.control_daemons = {"a": restarted("a"), "b": restarted("b")}
    context.starts = {"a": 100.0, "b": 100.0 + late}
    context.lost = set()


@when("the first asks for votes once it may")
def step_asks(context):
    context.led_at = run_until_led(context)


@when("the first asks for votes once it may, and its first vote request is lost")
def step_asks_lost(context):
    context.lost = {VoteRequest}
    context.led_at = run_until_led(context)


def run_until_led(context):
    """Ticks both accords, "c" being away, and carries what they say at once; when "a" leads, or None.
    The second only votes, as its own campaign would hide how soon the first is heard."""
    now = context.starts["a"]
    while now < 103.0:
        for identity, replica in context.control_daemons.items():
            if now >= context.starts[identity]:
                deliver(context, identity, replica.tick(now), now)
                if identity == "b":
                    replica.election_at = now + 10.0
        if context.control_daemons["a"].role == "leader":
            return now
        now += constants.TICK
    return None


def deliver(context, sender, effects, now):
    """Hands messages over and calls saves done, until nothing is left to do."""
    for effect in effects:
        if isinstance(effect, SaveChange):
            deliver(context, sender, context.control_daemons[sender].saved(effect.sequence, now), now)
        elif isinstance(effect, SendMessage) and effect.receiver in context.control_daemons:
            if now < context.starts[effect.receiver]:
                continue
            if type(effect.message) in context.lost:
                context.lost.remove(type(effect.message))
                continue
            answers = context.control_daemons[effect.receiver].step(sender, effect.message, now)
            deliver(context, effect.receiver, answers, now)


@then("it leads within {most:g} s of the end of the second's wait")
def step_leads(context, most):
    wait_over = context.starts["b"] + LEASE
    assert context.led_at is not None and context.led_at <= wait_over + most, context.led_at
    assert context.led_at >= wait_over, context.led_at


@given("a candidate whose voters chose another")
def step_split(context):
    context.now = 100.0
    context.consensus_under_test = restarted("a")
    context.consensus_under_test.tick(context.now)
    election.campaign(context.consensus_under_test, Role.CANDIDATE, context.now + 1.0)
    context.consensus_under_test.saved(context.consensus_under_test.sequence, context.now + 1.0)
    for voter in ("b", "c"):
        context.consensus_under_test.step(voter, VoteReply(4, False, "c", 3, {4: "c"}), context.now + 1.01)


@then("it asks for pre-votes within {most:g} s, under the term it has")
def step_pre_votes(context, most):
    now = context.now + 1.01
    while context.consensus_under_test.role != "prospect" and now < context.now + 1.01 + most:
        now += constants.TICK
        context.consensus_under_test.tick(now)
    assert context.consensus_under_test.role == "prospect" and context.consensus_under_test.term == 4


@given("a control daemon with a log whose process began {before:g} s before its first tick")
def step_began(context, before):
    context.now = 100.0
    core = ControlDaemon("b", "10.0.0.2:1", "south", ("10.0.0.1:1",))
    core.begun_at = context.now - before
    core.restore(
        None,
        [
            [("note", ["consent", "ours", MEMBERS, "static"])],
            [("raft", [[3, "c", 3, {}], None, 1, [(3, 0.0, ("noop",))]])],
        ],
    )
    context.consensus_under_test = core.consensus
    context.consensus_under_test.tick(context.now)
    context.wait_over = context.now - before + LEASE


def granted(context, at):
    effects = context.consensus_under_test.step("a", PreVoteRequest(4, 1, 3), at)
    sent = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    return [message.granted for message in sent if isinstance(message, PreVoteReply)]


@then("it gives no vote before a lease from the begin of the process is over")
def step_none(context):
    assert context.consensus_under_test.election_at >= context.wait_over
    assert granted(context, context.wait_over - 0.01) == [False]


@then("it gives one {after:g} s later")
def step_gives(context, after):
    assert granted(context, context.wait_over + after) == [True]


@given("a data folder that a process owns")
def step_owned(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    context.lock = FolderLock(context.folder)


@then("a control daemon on it ends at once and says so")
def step_ends(context):
    ended = subprocess.run(
        [
            sys.executable,
            "-c",
            "from pinepitch.control.program import main; main()",
            "--address=127.0.0.1:1",
            "--zone=a",
            f"--data={context.folder}",
            "--seeds=127.0.0.1:1,127.0.0.1:2,127.0.0.1:3",
        ],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert ended.returncode == 2 and context.folder in ended.stderr, ended
    assert len(ended.stderr.strip().splitlines()) == 1 and not os.listdir(context.folder), ended.stderr


@then("the folder can be owned again once that process has let go")
def step_again(context):
    os.close(context.lock.descriptor)
    begun = time.monotonic()
    again = FolderLock(context.folder)
    assert begun <= again.locked_at <= time.monotonic()
    os.close(again.descriptor)


@when("every control daemon is killed and started again after {down:g} s, with seeds {first:d} to {last:d}")
def step_long_outages(context, down, first, last):
    context.outages = [outage.measure(seed, WATCHED, down) for seed in range(first, last + 1)]


@then("no try is held longer than {most:g} s, and on average none over {average:g} s")
def step_deferred(context, most, average):
    for one in context.outages:
        assert one.longest_deferred <= most, one
        assert one.deferred <= average * (one.refused + one.in_doubt), one


@then("nine in ten are told that the call was not taken")
def step_not_taken(context):
    for one in context.outages:
        assert one.refused >= 0.9 * (one.refused + one.in_doubt) > 0, one


FRONT, LEADER = "10.0.0.9:7000", "10.0.0.1:7000"


@given("a front daemon that last heard its leader {unresponsive_for:g} s ago")
def step_front(context, unresponsive_for):
    context.front, context.now = FrontDaemon("verge", FRONT, "north", (LEADER,)), 50.0
    context.front.step(("tick",), context.now, 0.0)
    context.front.leader = LEADER
    context.front.control_daemons.handshake_received("a", "north", LEADER, context.now)
    context.front.updated_at = context.now - unresponsive_for


@when("a call of {patience:g} s comes that {outcome}")
def step_call_comes(context, patience, outcome):
    context.replies, begun = [], context.now
    effects = context.front.step(("call", 1, "job", (), patience), context.now, 0.0)
    while not context.replies and context.now < begun + patience + 1:
        for effect in effects:
            if isinstance(effect, Send) and effect.message[0] == "ask":
                answered = {"nobody takes": ("elsewhere", effect.message[2], None, effect.message[5], None)}
                answered["reaches nobody"] = ("undelivered", effect.message[2], effect.message[5])
                if outcome in answered:
                    context.front.step(answered[outcome], context.now, 0.0)
        context.now += constants.TICK
        effects = context.front.step(("tick",), context.now, 0.0)
        context.replies = [effect for effect in effects if isinstance(effect, Reply)]
    context.waited = context.now - begun


@then("it is answered {status:d} after {waited:g} s")
def step_answered(context, status, waited):
    ((_, answered, _, headers, _),) = context.replies
    assert answered == status, context.replies
    assert (("Retry-After", str(constants.RETRY_AFTER)) in headers) == (status == 503), headers
    assert waited <= context.waited + 0.001 and context.waited <= waited + 2 * constants.TICK, context.waited


@given("a link to a port where nobody listens")
def step_link(context):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        context.port = taken.getsockname()[1]
    context.undelivered, context.arrived = [], b""


async def undelivered(context, tokens):
    context.undelivered.extend(tokens)


async def through_link(context):
    """Calls while nobody listens, then calls while a peer does; the link's task ends with it."""
    link = Link(f"127.0.0.1:{context.port}", functools.partial(undelivered, context))
    task = await curio.spawn(link.run)
    await link.put(b"first", "one")
    while not context.undelivered:
        await curio.sleep(0)
    await link.put(b"second", "two")
    context.delivered_at_once = list(context.undelivered)
    server = curio.socket.socket()
    server.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
    server.bind(("127.0.0.1", context.port))
    server.listen(1)
    await link.put(b"third", "three")
    peer, _ = await server.accept()
    while link.ordinary.unreachable:
        await curio.sleep(0)
    await link.put(b"fourth", "four")
    context.arrived = await peer.recv(100)
    await task.cancel()
    await peer.close()
    await server.close()


@when("two calls are put into it, one after the other")
def step_put(context):
    curio.run(through_link, context)


@then("both calls are told as undelivered, the second at once")
def step_both(context):
    assert context.delivered_at_once == ["one", "two"], context.delivered_at_once


@when("a peer listens there and two calls more are put into it")
def step_listens(context):
    assert context.undelivered == ["one", "two", "three"], context.undelivered


@then("the second of them arrives, and nothing that was told as undelivered")
def step_arrives(context):
    assert context.arrived == b"fourth", context.arrived
