"""Steps for Incarnations: a follower of a simulated cluster, its former incarnation and its new one."""

from unittest import mock

from behave import given, then, when

from pinepitch.common.effects import Event, Reply, Send
from pinepitch.consensus.leader_clock import Reading
from pinepitch.simulation import simulator as simulators
from pinepitch.transport.forwarder import Forwarder

ANSWER_TO_NOBODY, ANSWER_TO_ANOTHER_CALL = 144, 145
PATIENCE = 2.0  # seconds
WORKER_ONE, WORKER_TWO = 1, 2  # numbers of the requests of their heartbeats


def heartbeat_of(identity):
    """The arguments of a first heartbeat."""
    return (
        identity,
        {
            "service": "web",
            "address": f"10.8.0.{len(identity)}:80",
            "zone": "a",
            "state": "ready",
            "sequence": 1,
            "clock_ms": 5_000,
            "leaves_ms": None,
            "labels": ["a", "r1"],
            "room": [4000, 4096, 0],
            "running": [],
            "ended": [],
        },
    )


class SimulatedCluster:
    """Three simulated control daemons whose answers to forwarded calls are kept instead of delivered."""

    def __init__(self):
        self.simulator = simulators.Simulator(7, workers=())
        self.simulator.begin()
        self.simulator.until(lambda: self.leader.core.epoch > 0, 20)
        self.follower = next(
            node
            for node in self.simulator.nodes.values()
            if node.kind == "accord" and node is not self.leader
        )
        self.answers = []

    @property
    def leader(self):
        return self.simulator.leader()

    def restart(self):
        """The follower loses power and comes back; it follows the leader again."""
        self.simulator.kill(self.follower.name)
        self.simulator.start(self.follower.name)
        found = self.simulator.until(
            lambda: self.follower.core.leader_address() == self.leader.address, 10, 0.02
        )
        assert found is not None, "the follower heard of no leader"

    def carried(self, request, call, arguments):
        """What the follower asks the leader about a call that comes to it."""
        message = ("call", request, call, arguments, PATIENCE)
        effects = self.follower.core.step(message, self.simulator.now + 1000.0, 0.0)
        (ask,) = [one.message for one in effects if isinstance(one, Send) and one.message[0] == "ask"]
        return ask

    def end(self):
        """An end, on the leader's clock, that is far off."""
        return Reading(self.leader.core.consensus.term, self.simulator.steady() + PATIENCE)

    def ask_leader(self, *asks):
        """Gives the leader calls at one moment, and time to answer; the answers."""
        before = len(self.answers)
        with mock.patch.dict(simulators.EFFECTS, {Send: self._kept_send}):
            for *ask, _ in asks:  # how long a call may be under way is tried elsewhere
                self.simulator.give(self.leader, (*ask, self.end()))
            self.simulator.run(0.5)
        return self.answers[before:]

    def _kept_send(self, simulator, node, address, message):
        if message[0] == "answer" and address == self.follower.address:
            self.answers.append(message)
        elif node is not self.follower or message[0] != "ask":  # what it asks again is left out
            simulators.Simulator._send(simulator, node, address, message)

    def follower_hears(self, message):
        """Effects of a message at the follower."""
        return self.follower.core.step(message, self.simulator.now + 1000.0, 0.0)


def replies(effects):
    return [effect for effect in effects if isinstance(effect, Reply)]


def events(effects):
    return [effect.number for effect in effects if isinstance(effect, Event)]


@given("a follower that was started again while the leader had a heartbeat of one worker from it")
def step_restarted(context):
    context.cluster = SimulatedCluster()
    context.former = context.cluster.carried(WORKER_ONE, "beat", heartbeat_of("one"))
    context.cluster.restart()


@when("its new incarnation carries a heartbeat of another worker")
def step_new_heartbeat(context):
    context.newer = context.cluster.carried(WORKER_TWO, "beat", heartbeat_of("another"))


@when("the leader's answer to the former incarnation's heartbeat arrives")
def step_former_answer(context):
    (answer,) = context.cluster.ask_leader(context.former)
    context.effects = context.cluster.follower_hears(answer)


@then("no caller is told anything, and the follower tells of an answer to nobody")
def step_nobody(context):
    assert not replies(context.effects), context.effects
    assert events(context.effects) == [ANSWER_TO_NOBODY], context.effects


@when("the leader's answer to the new incarnation's heartbeat arrives")
def step_newer_answer(context):
    (answer,) = context.cluster.ask_leader(context.newer)
    context.effects = [*context.cluster.follower_hears(answer), *context.cluster.follower_hears(answer)]


@then("the other worker is told it once")
def step_notified_once(context):
    assert [one[:2] for one in replies(context.effects)] == [(WORKER_TWO, 200)], context.effects


@then("the leader answers both heartbeats, each once")
def step_both(context):
    answers = context.cluster.ask_leader(context.former, context.newer)
    reported = sorted(answer[1] for answer in answers)
    assert reported == sorted([context.former[2], context.newer[2]]), answers
    assert len(set(reported)) == 2, "both lives use one token"


def change_of(words):
    return (None, "merge", {"notes": {"words": words}}, "operator", "a reason")


@given("a follower whose former incarnation has carried a change of the queue configuration to its end")
def step_changed(context):
    context.cluster = cluster = SimulatedCluster()
    (answer,) = cluster.ask_leader(cluster.carried(1, "change", change_of("former")))
    context.former_version = answer[2][1]["version"]
    cluster.restart()


@when("its new incarnation carries another change")
def step_other_change(context):
    cluster = context.cluster
    (context.answer,) = cluster.ask_leader(cluster.carried(1, "change", change_of("newer")))


@then("the other change is in force, and its answer tells the version that it made")
def step_in_force(context):
    record = context.cluster.leader.core.cluster_state
    assert record.queue_configuration["notes"] == {"words": "newer"}, record.queue_configuration
    assert context.answer[2][:2] == (200, {"version": context.former_version + 1}), context.answer


# --- an answer to another call --------------------------------------------------------
@given("a daemon that carries a heartbeat of one worker")
def step_daemon(context):
    context.events = []
    context.forwarder = Forwarder("life", "10.0.0.9:7000", lambda number, **_: context.events.append(number))
    context.token = context.forwarder.begin(WORKER_ONE, "beat", heartbeat_of("one"), 100.0, PATIENCE)
    context.forwarder.sent(context.token, "10.0.0.1:7000", 100.0)


OTHER_CALLS = {
    "a beat of another minion": ("beat", "another"),
    "another call of the minion": ("beat-leave", "one"),
}


@when("an answer under that heartbeat's token tells of {another}")
def step_other_answer(context, another):
    context.effects = context.forwarder.answered(context.token, (200, {}, None), OTHER_CALLS[another], 100.0)


@then("no caller is told anything, and the daemon tells of an answer to another call")
def step_another(context):
    assert not context.effects and context.events == [ANSWER_TO_ANOTHER_CALL], (
        context.effects,
        context.events,
    )


@when("its own answer comes")
def step_own_answer(context):
    context.effects = context.forwarder.answered(context.token, (200, {}, None), ("beat", "one"), 100.0)


@then("the worker is told it once")
def step_worker_notified(context):
    assert [one[:2] for one in replies(context.effects)] == [(WORKER_ONE, 200)], context.effects


# --- an index that is used again -------------------------------------------------------
class PartitionedCluster(SimulatedCluster):
    """Records the first leader's answers to one token."""

    def __init__(self):
        super().__init__()
        self.first = self.leader
        self.token, self.told = None, []

    def _kept_send(self, simulator, node, address, message):
        if (
            node is self.first
            and message[0] in ("answer", "elsewhere", "unsure")
            and message[1] == self.token
        ):
            self.told.append(message[0])
        simulators.Simulator._send(simulator, node, address, message)

    def until(self, happened, seconds=20):
        with mock.patch.dict(simulators.EFFECTS, {Send: self._kept_send}):
            assert self.simulator.until(happened, seconds, 0.02) is not None, "it did not happen in time"

    def other_leads(self, former):
        """Waits until another than `former` leads and serves."""
        self.until(
            lambda: (
                self.leader is not None
                and self.leader is not former
                and self.leader.core.consensus.serving()
                and self.leader.core.epoch > 0
            )
        )


@given("a leader that is cut off, with a change from a follower in its log")
def step_partition_off(context):
    context.cluster = cluster = PartitionedCluster()
    ask = cluster.carried(1, "change", change_of("cut off"))
    cluster.token = ask[2]
    rest = [name for name in cluster.simulator.nodes if name != cluster.first.name]
    cluster.simulator.partition([cluster.first.name], rest)
    cluster.simulator.give(cluster.first, ask)
    cluster.follower.core.forwarder.calls.clear()  # the follower gives it up
    context.index = cluster.first.core.consensus.last_index()
    assert cluster.first.core.consensus.applied_index < context.index


@when("another leader agrees on other changes, and the first leads again after the cut")
def step_leads_again(context):
    cluster = context.cluster
    cluster.other_leads(cluster.first)
    for turn in range(3):
        ask = (
            "ask",
            cluster.leader.address,
            f"turn{turn}",
            "change",
            change_of(f"turn {turn}"),
            1,
            cluster.end(),
        )
        cluster.simulator.give(cluster.leader, ask)
    cluster.until(lambda: cluster.leader.core.consensus.applied_index >= context.index + 1)
    cluster.simulator.heal()
    cluster.until(lambda: cluster.first.core.consensus.applied_index >= context.index + 1)
    for _ in range(20):
        former = cluster.leader
        if former is cluster.first:
            break
        cluster.simulator.kill(former.name)
        cluster.other_leads(former)
        cluster.simulator.start(former.name)
        cluster.until(lambda former=former: former.core.consensus.current_leader is not None)
    assert cluster.leader is cluster.first


@then("the change is told as unsure, once, and nothing more")
def step_in_doubt(context):
    assert context.cluster.told == ["unsure"], context.cluster.told


@then("the change is not in force")
def step_not_in_force(context):
    notes = context.cluster.first.core.cluster_state.queue_configuration["notes"]
    assert notes == {"words": "turn 2"}, notes


# --- messages for others ---------------------------------------------------------------
NOT_FOR_IT = 147
NEWEST_TERM = 99


@given("a follower of a cluster that serves")
def step_follower(context):
    context.cluster = SimulatedCluster()


def message_for_other(cluster, name):
    """A message as another cohort, or another receiver's peer, would send it."""
    follower, leader = cluster.follower.core, cluster.leader.core
    append = ("append", NEWEST_TERM, 0, 0, (), 0, 1)
    reported = ("told", "token", (1, 1), None, (), (), 1.0, 0.1, (), "another")
    return {
        "an append of another cohort": ("raft", "another", leader.identity, follower.identity, append),
        "a vote asked for by another cohort": (
            "raft",
            "another",
            leader.identity,
            follower.identity,
            ("vote", NEWEST_TERM, 10_000, NEWEST_TERM),
        ),
        "an append to an identity that was wiped": (
            "raft",
            follower.cluster,
            leader.identity,
            "wiped",
            append,
        ),
        "news for a front": reported,
    }[name]


@when("{message} comes to it")
def step_message(context, message):
    cluster = context.cluster
    context.term = cluster.follower.core.consensus.term
    context.effects = cluster.follower_hears(message_for_other(cluster, message))


@then("it tells of a message that is not for it, and does nothing else")
def step_not_for_it(context):
    assert [(type(one), one[0]) for one in context.effects] == [(Event, NOT_FOR_IT)], context.effects
    assert context.cluster.follower.core.consensus.term == context.term
