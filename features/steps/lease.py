"""Steps for Lease: one accord's consensus, stepped by hand."""

from behave import given, then, when

from pinepitch.accord.consensus import Consensus
from pinepitch.ground import constants

MEMBERS = {"a": "north", "b": "south", "c": "west"}


def begun(identity, now):
    """A consensus with one entry in its log, as after a restart."""
    consensus = Consensus(identity, 7, MEMBERS)
    consensus.restore(None, [([3, "a", 3, {}], None, 1, [(3, 0.0, ("noop",))])])
    consensus.tick(now)
    return consensus


def answers(effects, kind):
    return [
        message for effect in effects if effect[0] == "send" for message in (effect[2],) if message[0] == kind
    ]


@given("an accord with a log that starts anew")
def step_anew(context):
    context.now = 100.0
    context.accord = begun("b", context.now)


@when("it is asked for a pre-vote at once, and again once a lease is over")
def step_pre_votes(context):
    context.told = []
    for after in (0.01, constants.LEAD_LEASE + 0.02):
        effects = context.accord.step("c", ("prevote", 4, 1, 3), context.now + after)
        context.told.append(answers(effects, "prevoted"))


@then("it refuses at first and grants then")
def step_refused_granted(context):
    first, second = context.told
    assert all(not one[2] for one in first), first
    assert [one[2] for one in second] == [True], second


@given("an accord with a log that heard its leader just now")
def step_heard(context):
    context.now = 100.0
    context.accord = begun("b", context.now - 10)
    context.accord.step("a", ("append", 3, 1, 3, (), 1, 1), context.now)


@when("it is asked for a vote in a later term at once, and again once a time-out is over")
def step_votes(context):
    context.told = []
    for after in (0.01, constants.ELECTION_TIMEOUT + 0.02):
        effects = context.accord.step("c", ("vote", 4, 1, 3), context.now + after)
        effects += context.accord.saved(context.accord.sequence, context.now + after)
        context.told.append(answers(effects, "voted"))


@then("it says nothing at first and grants then")
def step_nothing_granted(context):
    first, second = context.told
    assert first == [], first
    assert [one[2] for one in second] == [True], second


@given("a leader whose followers answered a beat")
def step_leader(context):
    context.now = 100.0
    leader = context.leader = begun("a", context.now - 10)
    leader._campaign("candidate", context.now - 1)
    leader.saved(leader.sequence, context.now - 1)
    leader.step("b", ("voted", 4, True, "a", 3, {}), context.now - 1)
    leader.saved(leader.sequence, context.now - 1)
    assert leader.role == "leader"
    leader._broadcast(context.now)
    for follower in ("b", "c"):
        leader.step(follower, ("appended", 4, True, leader.last_index(), leader.beat), context.now + 0.05)


@then("its lease stands until LEAD_LEASE after that beat was sent, and not longer")
def step_stands(context):
    assert context.leader.leased(context.now + constants.LEAD_LEASE - 0.01)
    assert not context.leader.leased(context.now + constants.LEAD_LEASE + 0.01)


@then("the constants leave a lease no room beside an election")
def step_constants(context):
    longest = constants.ELECTION_TIMEOUT * (1 + constants.ELECTION_JITTER)
    assert constants.HEARTBEAT < constants.LEAD_LEASE < constants.ELECTION_TIMEOUT
    assert constants.CHECK_QUORUM <= constants.ELECTION_TIMEOUT
    assert 2 * longest < constants.HOLD
    assert constants.LEAD_LEASE + 1.0 < constants.ELECTION_TIMEOUT + constants.GATHER
