"""Steps for Bootstrap: empty machines beside those that remember."""

from behave import given, then, when

from pinepitch.simulation.simulator import Simulator


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
