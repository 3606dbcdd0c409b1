"""Steps for Lease: the consensus of one control daemon, stepped by the test."""

import time
from unittest import mock

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.consensus import election, replication
from pinepitch.consensus.effects import LogEvent, SendMessage, StepDown
from pinepitch.consensus.messages import (
    AppendEntries,
    AppendReply,
    LeadershipTransfer,
    PreVoteReply,
    PreVoteRequest,
    TakeoverRequest,
    VoteReply,
    VoteRequest,
)
from pinepitch.consensus.replica import Consensus
from pinepitch.consensus.roles import Role
from pinepitch.runtime.host import Host

MEMBERS = {"a": "north", "b": "south", "c": "west"}
WAITS = {"lease": constants.LEADER_LEASE * constants.LEASE_STRETCH, "time-out": constants.ELECTION_TIMEOUT}


def restored(identity):
    """A consensus with one entry in its log, as after a restart, before its first input."""
    consensus = Consensus(identity, 7, MEMBERS)
    consensus.restore(None, [([3, "a", 3, {}], None, 1, [(3, 0.0, ("noop",))])])
    return consensus


def begun(identity, now):
    """A restarted consensus after its first tick."""
    consensus = restored(identity)
    consensus.tick(now)
    return consensus


def answers(effects, kind):
    sent = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    return [message for message in sent if type(message) is kind]


@given("a control daemon with a log that starts anew")
def step_anew(context):
    context.now = 100.0
    context.consensus_under_test = begun("b", context.now)


@given("a control daemon with a log that starts anew, and has not looked at its clock yet")
def step_not_looked(context):
    context.now = 100.0
    context.consensus_under_test = restored("b")


@when("it is asked for a pre-vote at once, as a lease ends by its own clock, and once it has ended by any")
def step_pre_votes(context, since=0.0):
    context.observed = []
    longest = constants.LEADER_LEASE * (1 + constants.CLOCK_DRIFT) / (1 - constants.CLOCK_DRIFT)
    for after in (0.01, since + constants.LEADER_LEASE + 0.01, since + longest + 0.01):
        effects = context.consensus_under_test.step("c", PreVoteRequest(4, 1, 3), context.now + after)
        context.observed.append(answers(effects, PreVoteReply))


@when(
    "it is asked for pre-votes that begin its incarnation, and until a lease from then has ended by any clock"
)
def step_pre_votes_first(context):
    step_pre_votes(context, since=0.01)


@then("it refuses at first and grants then")
def step_refused_granted(context):
    *early, late = context.observed
    assert all(not one.granted for sent_before in early for one in sent_before), early
    assert [one.granted for one in late] == [True], late


@given("a control daemon with a log that heard its leader just now")
def step_heard(context):
    context.now = 100.0
    context.consensus_under_test = begun("b", context.now - 10)
    context.consensus_under_test.step("a", AppendEntries(3, 1, 3, (), 1, 1), context.now)


@when("it is asked for a vote in a later term at once, and again once a {wait} is over")
def step_votes(context, wait):
    context.observed = []
    for after in (0.01, WAITS[wait] + 0.02):
        effects = context.consensus_under_test.step("c", VoteRequest(4, 1, 3), context.now + after)
        effects += context.consensus_under_test.saved(
            context.consensus_under_test.sequence, context.now + after
        )
        context.observed.append(answers(effects, VoteReply))


@then("it says nothing at first and grants then")
def step_nothing_granted(context):
    first, second = context.observed
    assert first == [], first
    assert [one.granted for one in second] == [True], second


@given("a leader whose followers answered a heartbeat")
def step_leader(context):
    context.now = 100.0
    leader = context.leader = begun("a", context.now - 10)
    election.campaign(leader, Role.CANDIDATE, context.now - 1)
    leader.saved(leader.sequence, context.now - 1)
    leader.step("b", VoteReply(4, True, "a", 3, {}), context.now - 1)
    leader.saved(leader.sequence, context.now - 1)
    assert leader.role == "leader"
    replication.broadcast(leader, context.now)
    for follower in ("b", "c"):
        reply = AppendReply(4, True, leader.last_index(), leader.heartbeat_number)
        leader.step(follower, reply, context.now + 0.05)


@then("its lease stands until LEADER_LEASE after that heartbeat was sent, and not longer")
def step_stands(context):
    assert context.leader.leased(context.now + constants.LEADER_LEASE - 0.01)
    assert not context.leader.leased(context.now + constants.LEADER_LEASE + 0.01)


@then("the constants leave a lease no room beside an election")
def step_constants(context):
    longest = constants.ELECTION_TIMEOUT * (1 + constants.ELECTION_JITTER)
    assert constants.HEARTBEAT < constants.LEADER_LEASE < constants.ELECTION_TIMEOUT
    assert constants.CHECK_QUORUM <= constants.ELECTION_TIMEOUT
    assert 2 * longest < constants.LEASE_DURATION
    assert constants.LEADER_LEASE + 1.0 < constants.ELECTION_TIMEOUT + constants.REPORT_GATHERING


def lease_is_safe(drift, lease, timeout, stretch):
    """The condition on the constants: a lease that a slow clock measures is over before a fast one
    has counted a voter's silence, after it heard the leader and after it started anew."""
    slow, fast = 1 - drift, 1 + drift
    longest = lease / slow
    return longest <= timeout / fast and longest <= lease * stretch / fast + 1e-9


@then("the constants allow each steady clock the drift that a worker's may have")
def step_drift(context):
    assert lease_is_safe(
        constants.CLOCK_DRIFT, constants.LEADER_LEASE, constants.ELECTION_TIMEOUT, constants.LEASE_STRETCH
    )


@then("a lease as long as the time-out, or a restart that waits for no drift, would allow none")
def step_no_drift(context):
    lease, timeout = constants.LEADER_LEASE, constants.ELECTION_TIMEOUT
    assert not lease_is_safe(constants.CLOCK_DRIFT, timeout, timeout, constants.LEASE_STRETCH)
    assert not lease_is_safe(constants.CLOCK_DRIFT, lease, timeout, 1.0)


class Listener:
    """A decider that records the times it is given."""

    def __init__(self):
        self.told = []

    def step(self, message, now, clock):
        self.told.append(now)
        return ()

    def may_end(self, now):
        self.told.append(now)
        return True


@given("a daemon on a machine whose steady clocks differ by a suspension")
def step_suspended(context):
    context.core = Listener()
    context.host = Host(context.core, "127.0.0.1:1", None)
    context.clocks = {time.CLOCK_BOOTTIME: 620.0, time.CLOCK_MONOTONIC: 20.0}


@when("it takes a message, and asks whether it may end")
def step_takes(context):
    with (
        mock.patch.object(time, "clock_gettime", context.clocks.get),
        mock.patch.object(time, "monotonic", lambda: context.clocks[time.CLOCK_MONOTONIC]),
    ):
        try:
            context.host._step(("tick",)).send(None)
        except StopIteration:
            pass
        context.host._may_end()


@then("its decider is told the clock that went on, both times")
def step_notified(context):
    assert context.core.told == [context.clocks[time.CLOCK_BOOTTIME]] * 2, context.core.told


@given("a control daemon with a log that was not stepped yet")
def step_unstepped(context):
    context.now = 100.0
    context.consensus_under_test = Consensus("b", 7, MEMBERS)
    context.consensus_under_test.restore(None, [([3, "a", 3, {}], None, 1, [(3, 0.0, ("noop",))])])


@when("it hands over while its successor lacks an entry")
def step_hands_over(context):
    leader, now = context.leader, context.now + 0.06
    context.heartbeats = leader.heartbeat_number
    _, effects = leader.propose([("noop",)], 0.0, now)
    effects += leader.saved(leader.sequence, now)
    effects += leader.transfer_leadership({"b", "c"}, now)
    context.observed = [answers(effects, LeadershipTransfer), leader.role, leader.leased(now)]


@then("it leads on, and names the successor once all is held, without a lease by then")
def step_names(context):
    leader, now = context.leader, context.now + 0.07
    assert context.observed == [[], "leader", True], context.observed
    target = leader.pending_transfer.target
    effects = leader.step(target, AppendReply(4, True, leader.last_index(), leader.heartbeat_number), now)
    assert answers(effects, LeadershipTransfer) == [LeadershipTransfer(4, {})], effects
    kinds = [type(effect) for effect in effects]
    assert kinds.index(StepDown) < kinds.index(SendMessage), kinds
    assert leader.role == "follower" and not leader.leased(now)


@when("it is asked for a takeover of the term before, and then of that leader's")
def step_takeovers(context):
    context.observed = []
    for released in (2, 3):
        effects = context.consensus_under_test.step(
            "c", TakeoverRequest(4, 1, 3, released), context.now + 0.01
        )
        effects += context.consensus_under_test.saved(
            context.consensus_under_test.sequence, context.now + 0.01
        )
        context.observed.append(answers(effects, VoteReply))


def campaigns(effects):
    return [one.number for one in effects if isinstance(one, LogEvent) and one.number in (120, 121)]


@when("others than its leader, and an older leader, name it successor")
def step_named(context):
    context.effects = context.consensus_under_test.step("c", LeadershipTransfer(3, {}), context.now + 0.01)
    context.effects += context.consensus_under_test.step("a", LeadershipTransfer(2, {}), context.now + 0.01)


@then("it begins no election")
def step_no_election(context):
    assert not campaigns(context.effects), context.effects


@then("it does, without a pre-vote, once its leader names it")
def step_election(context):
    effects = context.consensus_under_test.step("a", LeadershipTransfer(3, {}), context.now + 0.01)
    assert campaigns(effects) == [121], effects
    effects = context.consensus_under_test.saved(context.consensus_under_test.sequence, context.now + 0.02)
    assert answers(effects, TakeoverRequest) == [TakeoverRequest(4, 1, 3, 3)] * 2, effects
