"""Steps for Outage: seeded outages of the whole control plane, and accords stepped by hand."""

import os
import statistics
import subprocess
import sys
import tempfile
import time

from behave import given, then, when

from pinepitch.accord.consensus import Consensus
from pinepitch.accord.core import Accord
from pinepitch.ground import constants
from pinepitch.ground.folderlock import FolderLock
from pinepitch.proof import outage

MEMBERS = {"a": "north", "b": "south", "c": "west"}
WATCHED = 3.0  # seconds from the last start
LEASE = constants.LEAD_LEASE * (1 + constants.CLOCK_DRIFT)  # of a leader whose clock runs slow


def restarted(identity):
    """A consensus that a store gave one entry."""
    consensus = Consensus(identity, 7, MEMBERS)
    consensus.restore(None, [([3, "c", 3, {}], None, 1, [(3, 0.0, ("noop",))])])
    return consensus


@when("every accord is killed and started again, with seeds {first:d} to {last:d}")
def step_outages(context, first, last):
    context.outages = [outage.measure(seed, WATCHED) for seed in range(first, last + 1)]


@then("half of them have a leader within {half:g} of a lease, and all within {most:g}")
def step_leaders(context, half, most):
    spans = [one.leader / constants.LEAD_LEASE for one in context.outages]
    assert statistics.median(spans) <= half and max(spans) <= most, spans


@then("all take a job within {taken:g} s of it, and start a task within {started:g} s of it")
def step_served(context, taken, started):
    for one in context.outages:
        assert one.accepted - one.leader <= taken, one
        assert one.started - one.leader <= started, one


@given("two accords with a log that start anew, the second {late:g} s after the first")
def step_two(context, late):
    context.accords = {"a": restarted("a"), "b": restarted("b")}
    context.starts = {"a": 100.0, "b": 100.0 + late}
    context.lost = set()


@when("the first asks for votes once it may")
def step_asks(context):
    context.led_at = run_until_led(context)


@when("the first asks for votes once it may, and its first vote request is lost")
def step_asks_lost(context):
    context.lost = {"vote"}
    context.led_at = run_until_led(context)


def run_until_led(context):
    """Ticks both accords, "c" being away, and carries what they say at once; when "a" leads, or None.
    The second only votes, as its own campaign would hide how soon the first is heard."""
    now = context.starts["a"]
    while now < 103.0:
        for identity, accord in context.accords.items():
            if now >= context.starts[identity]:
                deliver(context, identity, accord.tick(now), now)
                if identity == "b":
                    accord.election_at = now + 10.0
        if context.accords["a"].role == "leader":
            return now
        now += constants.TICK
    return None


def deliver(context, sender, effects, now):
    """Hands messages over and calls saves done, until nothing is left to do."""
    for effect in effects:
        if effect[0] == "save":
            deliver(context, sender, context.accords[sender].saved(effect[1], now), now)
        elif effect[0] == "send" and effect[1] in context.accords and now >= context.starts[effect[1]]:
            if effect[2][0] in context.lost:
                context.lost.remove(effect[2][0])
                continue
            answers = context.accords[effect[1]].step(sender, effect[2], now)
            deliver(context, effect[1], answers, now)


@then("it leads within {most:g} s of the end of the second's wait")
def step_leads(context, most):
    wait_over = context.starts["b"] + LEASE
    assert context.led_at is not None and context.led_at <= wait_over + most, context.led_at
    assert context.led_at >= wait_over, context.led_at


@given("a candidate whose voters chose another")
def step_split(context):
    context.now = 100.0
    context.accord = restarted("a")
    context.accord.tick(context.now)
    context.accord._campaign("candidate", context.now + 1.0)
    context.accord.saved(context.accord.sequence, context.now + 1.0)
    for voter in ("b", "c"):
        context.accord.step(voter, ("voted", 4, False, "c", 3, {4: "c"}), context.now + 1.01)


@then("it asks for pre-votes within {most:g} s, under the term it has")
def step_pre_votes(context, most):
    now = context.now + 1.01
    while context.accord.role != "prospect" and now < context.now + 1.01 + most:
        now += constants.TICK
        context.accord.tick(now)
    assert context.accord.role == "prospect" and context.accord.term == 4


@given("an accord with a log whose process began {before:g} s before its first tick")
def step_began(context, before):
    context.now = 100.0
    core = Accord("b", "10.0.0.2:1", "south", ("10.0.0.1:1",))
    core.begun_at = context.now - before
    core.restore(
        None,
        [
            [("note", ["consent", "ours", MEMBERS, "static"])],
            [("raft", [[3, "c", 3, {}], None, 1, [(3, 0.0, ("noop",))]])],
        ],
    )
    context.accord = core.consensus
    context.accord.tick(context.now)
    context.wait_over = context.now - before + LEASE


def granted(context, at):
    effects = context.accord.step("a", ("prevote", 4, 1, 3), at)
    return [effect[2][2] for effect in effects if effect[0] == "send" and effect[2][0] == "prevoted"]


@then("it gives no vote before a lease from the begin of the process is over")
def step_none(context):
    assert context.accord.election_at >= context.wait_over
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


@then("an accord on it ends at once and says so")
def step_ends(context):
    ended = subprocess.run(
        [
            sys.executable,
            "-c",
            "from pinepitch.accord.program import main; main()",
            "--address=127.0.0.1:1",
            "--area=a",
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
    assert begun <= again.since <= time.monotonic()
    os.close(again.descriptor)
