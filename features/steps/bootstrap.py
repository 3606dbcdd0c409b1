"""Steps for Bootstrap: empty machines beside those that remember."""

import os
import random
import signal
import sys
import tempfile
import time
from unittest import mock

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.simulation.simulator import Simulator
from pinepitch.storage import first_start

FEATURES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, FEATURES)
try:
    from features.soak import wire
    from features.soak.processes import Processes, event_of
finally:
    sys.path.remove(FEATURES)


def of(context, kind):
    return [node for node in context.simulator.nodes.values() if node.kind == kind]


@given("a simulated fleet that serves")
def step_fleet(context):
    context.simulator = Simulator(41)
    context.simulator.begin()
    context.simulator.run(2)
    context.cluster = context.simulator.leader().core.cluster


def empty(context, nodes):
    for node in nodes:
        context.simulator.kill(node.name)
        context.simulator.wipe(node.name)
    context.simulator.run(2)
    for node in nodes:
        context.simulator.start(node.name)


@when("all its control daemons come back empty while its front daemons run on")
def step_empty(context):
    empty(context, of(context, "accord"))


@then("no cluster is bootstrapped in {seconds:d} seconds, and the control daemons say what holds them back")
def step_none(context, seconds):
    begun = context.simulator.now
    context.simulator.run(seconds)
    assert all(node.core.cluster is None for node in of(context, "accord"))
    informed = {event[1] for event in context.simulator.trace if event[2] == 112 and event[0] > begun}
    assert informed == {node.name for node in of(context, "accord")}, informed


@when("all its control daemons come back empty and all its front daemons start anew")
def step_anew(context):
    for node in of(context, "verge"):
        context.simulator.kill(node.name)
    context.simulator.leaders.clear()  # another cohort counts its terms from one again
    empty(context, of(context, "accord"))
    for node in of(context, "verge"):
        context.simulator.start(node.name)


@then("a cluster with another name is bootstrapped within {seconds:d} seconds")
def step_founded(context, seconds):
    assert context.simulator.until(lambda: context.simulator.leader() is not None, seconds) is not None
    clusters = {node.core.cluster for node in of(context, "accord")}
    assert len(clusters) == 1 and clusters != {context.cluster} and None not in clusters, clusters


@when("one control daemon comes back empty while cut off from all others")
def step_alone(context):
    context.node = next(node for node in of(context, "accord") if node is not context.simulator.leader())
    context.simulator.partition([context.node.name], list(context.simulator.nodes))
    empty(context, [context.node])


@then("it bootstraps nothing in {seconds:d} seconds, and joins the old cluster once it is back")
def step_joins(context, seconds):
    context.simulator.run(seconds)
    assert context.node.core.cluster is None
    context.simulator.heal()
    core = context.node.core
    assert (
        context.simulator.until(
            lambda: core.consensus is not None and core.identity in core.consensus.membership.members(), 20
        )
        is not None
    )
    assert core.cluster == context.cluster


@when("a front daemon is cut off from every control daemon for {seconds:d} seconds")
def step_partition(context, seconds):
    context.node = of(context, "verge")[0]
    context.simulator.partition([context.node.name], [node.name for node in of(context, "accord")])
    context.simulator.run(seconds)


def stale(context):
    return [
        context.simulator.ask("GET", "/v1/health", front=place)[1]["stale"]
        for place in range(len(of(context, "verge")))
    ]


@then("its health says stale, the others' doesn't, and not after it is back")
def step_stale(context):
    context.simulator.loss = 0.0
    assert stale(context) == [True, False, False], stale(context)
    context.simulator.heal()
    assert context.simulator.until(lambda: stale(context) == [False, False, False], 5) is not None


# --- the programs of a first start -----------------------------------------------------
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "orders", "host": "a.example", "prefix": "/orders/", "service": "web"}],
    "services": [{"name": "web"}],
}
MAY_NOT_FOUND = 114  # the event that says so
CALL_TIMEOUT, BETWEEN_CALLS = 1.0, 0.2  # seconds


@given("the programs of three seeds and a front daemon, started for the first time")
def step_programs(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.processes = Processes(1, folder.name, fronts=1)
    context.add_cleanup(context.processes.stop)
    context.processes.start_all()
    context.started_at = time.monotonic()


def wait_after_start(context, seconds):
    time.sleep(max(0.0, context.started_at + seconds - time.monotonic()))


def end_seeds(context, names, ended):
    for name in names:
        if ended == "killed":
            context.processes.kill(name)
        else:
            context.processes.signal(name, signal.SIGTERM)
            context.processes.wait_stopped(name)


@when("{seeds:d} of the seeds are {ended:w} {seconds:g} s after the start, and started again 1 s later")
def step_end_seeds(context, seeds, ended, seconds):
    wait_after_start(context, seconds)
    names = context.processes.names("core")[:seeds]
    end_seeds(context, names, ended)
    wait_after_start(context, seconds + 1.0)
    for name in names:
        context.processes.start(name)


@when("a seed is killed {seconds:g} s after the start, and started again with an empty disk")
def step_lose_disk(context, seconds):
    wait_after_start(context, seconds)
    end_seeds(context, ["core0"], "killed")
    context.processes.wipe("core0")
    context.processes.start("core0")


def is_taken(context, seconds):
    """Whether a configuration is taken within so many seconds."""
    until = time.monotonic() + seconds
    document = wire.configuration_of(CONFIGURATION)
    while time.monotonic() < until:
        for address in context.processes.controls:
            request = wire.Request(address, "POST", "/api/Configuration.Replace", document, "", CALL_TIMEOUT)
            if wire.exchange(request)[0] == 200:
                return True
        time.sleep(BETWEEN_CALLS)
    return False


@then("a configuration is taken within {seconds:d} seconds")
def step_taken(context, seconds):
    assert is_taken(context, seconds)
    context.processes.stop()
    assert not context.processes.forbidden_events(), context.processes.forbidden_events()


@then(
    "no configuration is taken within {seconds:d} seconds, and that seed says that it may not found a cluster"
)
def step_not_taken(context, seconds):
    assert not is_taken(context, seconds)
    log = (context.processes.folder / "core0.log").read_text()
    numbers = [(event_of(line) or {}).get("number") for line in log.splitlines()]
    assert MAY_NOT_FOUND in numbers, log


# --- simulated foundings ---------------------------------------------------------------
TROUBLE_ENDS, JUDGED_AT = 10.0, 40.0  # seconds
TROUBLES_PER_STEP = (0.02, 0.12)  # (fewest, most) begun in a tenth of a second
DISK_LOST_PART = 0.15  # of the kills


class Founding(Simulator):
    """A fleet at its first start. Only daemons whose disk was not lost since may found a cluster."""

    def __init__(self, seed, emptied_may_found=False):
        self.disks_lost, self.clusters = set(), set()
        self.emptied_may_found = emptied_may_found  # an injected fault
        super().__init__(seed)

    def start(self, name):
        super().start(name)
        node = self.nodes[name]
        if node.kind == "accord":
            node.core.may_bootstrap = self.emptied_may_found or name not in self.disks_lost

    def lose_disk(self, name):
        self.wipe(name)
        self.disks_lost.add(name)

    def look(self):
        """Records the clusters that have begun."""
        for node in self.nodes.values():
            core = node.core if node.kind == "accord" else None
            if core is not None and core.consensus is not None and core.consensus.last_index() > 0:
                self.clusters.add(core.cluster)


def found_under_troubles(seed, lost_part=DISK_LOST_PART, emptied_may_found=False):
    """A founding in which seeds are killed, started again and cut off at random times."""
    fleet, draw = Founding(seed, emptied_may_found), random.Random(f"founding-{seed}")
    names = [name for name, node in fleet.nodes.items() if node.kind == "accord"]
    away, with_lost_disks, rate = {}, draw.random() < 0.4, draw.uniform(*TROUBLES_PER_STEP)
    while fleet.now < JUDGED_AT:
        fleet.run(0.1)
        fleet.look()
        for name in [name for name, until in away.items() if fleet.now >= until]:
            del away[name]
            fleet.start(name)
        if fleet.now >= TROUBLE_ENDS:
            fleet.heal()
        elif draw.random() < rate:
            _trouble(fleet, draw, names, away, lost_part if with_lost_disks else 0.0)
    return fleet


def _trouble(fleet, draw, names, away, lost_part):
    name = draw.choice(names)
    if draw.random() < 0.3:
        fleet.partition([name], list(fleet.nodes))
    elif draw.random() < 0.3:
        fleet.heal()
    elif name not in away:
        fleet.kill(name)
        if draw.random() < lost_part:
            fleet.lose_disk(name)
        away[name] = fleet.now + draw.uniform(0.1, 3.0)


@when(
    "{count:d} simulated foundings meet kills, restarts, cuts and some lost disks in their first 10 seconds"
)
def step_foundings(context, count):
    context.foundings = [found_under_troubles(seed) for seed in range(count)]


@then("no two clusters were founded in any of them")
def step_one_cluster(context):
    found = {fleet.seed: fleet.clusters for fleet in context.foundings if len(fleet.clusters) > 1}
    assert not found, found


@then("each of them without a lost disk has a leader, and some of those with one")
def step_have_leaders(context):
    whole = [fleet for fleet in context.foundings if not fleet.disks_lost]
    leaderless = [fleet.seed for fleet in whole if fleet.leader() is None]
    assert not leaderless and len(whole) > len(context.foundings) // 2, (leaderless, len(whole))
    lost = [fleet for fleet in context.foundings if fleet.disks_lost]
    assert any(fleet.leader() is not None for fleet in lost), [fleet.seed for fleet in lost]


@when(
    "foundings with seeds {first:d} to {last:d} meet lost disks, emptied seeds may found, and no daemon "
    "remembers a cluster"
)
def step_faulty_foundings(context, first, last):
    context.found = None
    with mock.patch.object(constants, "BOOTSTRAP_VETO_LASTS", -1.0):
        for seed in range(first, last + 1):
            try:
                fleet = found_under_troubles(seed, lost_part=1.0, emptied_may_found=True)
            except AssertionError as broken:
                context.found = (seed, str(broken))
                return
            if len(fleet.clusters) > 1:
                context.found = (seed, fleet.clusters)
                return


@then("two clusters were founded, or one has two leaders in one term, in one of them")
def step_fault_found(context):
    assert context.found is not None
    _, what = context.found
    assert isinstance(what, set) or "two leaders in term" in what, context.found


# --- the mark of the first start -------------------------------------------------------
@given("a data folder that is empty")
def step_empty_folder(context):
    folder = tempfile.TemporaryDirectory(prefix="pinepitch-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name


@given("a data folder that holds a damaged store")
def step_damaged_folder(context):
    step_empty_folder(context)
    with open(os.path.join(context.folder, "damaged-step-0000000000000001"), "wb") as file:
        file.write(b"torn")


@when("a program records the first start there")
def step_record(context):
    first_start.record(context.folder)


@then("the folder has {mark}")
def step_mark(context, mark):
    assert first_start.is_recorded(context.folder) == (mark == "a mark"), os.listdir(context.folder)
    first_start.forget(context.folder)
    assert not first_start.is_recorded(context.folder)
