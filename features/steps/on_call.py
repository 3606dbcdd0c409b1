"""Steps for On call: what the cluster answers about itself, and how the command prints it."""

from behave import given, then, when

from pinepitch.cli.cluster_text import cluster_text
from pinepitch.control.requests.cluster import read_cluster
from pinepitch.simulation.simulator import START, Simulator

ZONES = ("a", "b", "c", "d", "e")  # each voter is its zone's only one


@given("a simulated cluster of five that serves")
def step_cluster(context):
    context.simulator = Simulator(3, control_daemons=ZONES, workers=(), founders=5, mode="single")
    context.simulator.begin()
    context.simulator.run(2)


def answer_of(context):
    status, document = context.simulator.ask("GET", "/v1/cohort")
    assert status == 200, (status, document)
    return document


def followers(simulator):
    leader = simulator.leader()
    nodes = [node for node in simulator.nodes.values() if node.kind == "accord" and node.core is not None]
    return [node for node in nodes if node is not leader]


@when("its leader is lost, and another has led for {seconds:d} seconds")
def step_leader_lost(context, seconds):
    simulator = context.simulator
    former = simulator.leader().name
    simulator.kill(former)
    assert simulator.until(
        lambda: simulator.leader() is not None and simulator.leader().name != former, 20, 0.01
    )
    context.since = START + simulator.now
    simulator.run(seconds)
    context.document = answer_of(context)


@then("the cluster's answer says that the newer one leads since then, to a tenth of a second")
def step_since(context):
    assert context.document["leader"] == context.simulator.leader().core.identity
    assert abs(context.document["leads_since"] - context.since) < 0.1, context.document["leads_since"]


@then("the command prints the moment on the cluster's clock, marked as such, and the time of day")
def step_printed_since(context):
    first = cluster_text(context.document).splitlines()[0]
    assert f"since {context.document['leads_since']:.3f} on the cluster's clock" in first, first
    assert "time of day by that clock: 1970-01-12 13:46:" in first, first


def lose(context, count):
    for node in followers(context.simulator)[:count]:
        context.simulator.kill(node.name)
    context.simulator.run(2)


def lack_log(context):
    node = followers(context.simulator)[0]
    leader = context.simulator.leader().core
    leader.consensus.followers[node.core.identity].probing = True


def change(context):
    leader = context.simulator.leader().core
    members = leader.consensus.membership.members()
    newcomer = {**dict(list(members.items())[1:]), "newcomer": "f"}
    if leader.identity not in newcomer:
        newcomer[leader.identity] = members[leader.identity]
    now = context.simulator.steady()
    assert leader.consensus.change_members(newcomer, 0.0, now) is not None


TROUBLES = {
    "nothing": lambda context: None,
    "one voter lost": lambda context: lose(context, 1),
    "two voters lost": lambda context: lose(context, 2),
    "a voter that lacks the log": lack_log,
    "a change of members under way": change,
}


@when("it meets {trouble}")
def step_meets(context, trouble):
    TROUBLES[trouble](context)
    if trouble in ("a voter that lacks the log", "a change of members under way"):
        leader = context.simulator.leader().core  # asked before anything goes on
        context.document = read_cluster(leader, "token", (), context.simulator.steady()).document
    else:
        context.document = answer_of(context)


@then("its answer says that it may lose {machines:d} more, and that {obstacle} is in the way")
def step_may_lose(context, machines, obstacle):
    may_lose = context.document["may_lose"]
    assert may_lose["machines"] == machines, may_lose
    if obstacle == "nothing":
        assert not may_lose["obstacles"], may_lose
    else:
        assert any(obstacle in one for one in may_lose["obstacles"]), may_lose


@then("the command prints it")
def step_printed(context):
    text = cluster_text(context.document)
    may_lose = context.document["may_lose"]
    assert f"may lose {may_lose['machines']} more control machines now" in text, text
    for obstacle in may_lose["obstacles"]:
        assert f"  in the way: {obstacle}" in text, text


@when("as many machines are lost as its answer says")
def step_lose_all(context):
    lose(context, answer_of(context)["may_lose"]["machines"])


@then("it serves still, and its answer says that no more may be lost")
def step_serves_still(context):
    assert answer_of(context)["may_lose"]["machines"] == 0


@when("one more is lost")
def step_one_more(context):
    lose(context, 1)


@then("it serves no more")
def step_serves_no_more(context):
    assert context.simulator.ask("GET", "/v1/cohort")[0] != 200


@when("its answer lacks since when the leader leads and what may be lost")
def step_earlier(context):
    document = answer_of(context)
    context.document = {key: one for key, one in document.items() if key not in ("leads_since", "may_lose")}


@then("the command prints the rest")
def step_rest(context):
    text = cluster_text(context.document)
    assert f"leader: {context.document['leader']}" in text and "members:" in text, text
