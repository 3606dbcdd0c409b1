"""Steps for Learners: newcomers of a simulated cluster that are lost before they have a seat."""

from behave import given, then, when

from pinepitch.common import constants
from pinepitch.simulation.simulator import Simulator


@given("a cluster of three control daemons")
def step_cluster(context):
    context.simulator = Simulator(5, workers=())
    context.simulator.begin()


def newcomer(simulator, name, zone):
    """Starts an empty control daemon at a new address."""
    simulator.add(name, "accord", zone)
    simulator.start(name)
    return simulator.nodes[name]


@when("as many newcomers as may learn at once come one after another and are lost for good")
def step_lost(context):
    simulator = context.simulator
    for place in range(constants.MAX_CLUSTER_MEMBERS):
        node = newcomer(simulator, f"lost{place}", "a")
        identity = node.core.identity
        learns = simulator.until(
            lambda identity=identity: identity in simulator.leader().core.consensus.learners, 10, 0.02
        )
        assert learns is not None, f"newcomer {place} was not let learn"
        simulator.kill(node.name)
    simulator.run(2 * constants.SESSION_LASTS)
    assert len(simulator.leader().core.consensus.learners) == constants.MAX_CLUSTER_MEMBERS


@when("one of the three is lost for good and a newcomer comes in its zone")
def step_replaced(context):
    simulator = context.simulator
    former = next(
        node
        for node in simulator.nodes.values()
        if node.core is not None and node is not simulator.leader() and node.kind == "accord"
    )
    simulator.kill(former.name)
    context.newcomer = newcomer(simulator, "late", former.zone)


@then("that newcomer has the seat within {seconds:d} seconds")
def step_seat(context, seconds):
    simulator, identity = context.simulator, context.newcomer.core.identity
    found = simulator.until(
        lambda: identity in simulator.leader().core.consensus.membership.now.members, seconds, 0.02
    )
    assert found is not None, simulator.leader().core.consensus.learners
