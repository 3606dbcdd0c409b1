"""Scenarios that isolate a control machine: a control daemon and the front daemon next to it."""

from ...common.effects import Reply, Send

NO_ELECTION_PROBABILITY = 0.5  # probability that the other daemons can't elect a leader meanwhile
ISOLATION_TIME = 20.0  # seconds that a machine is partitioned or stopped


def _isolated_machine(simulator):
    """Returns the isolated (control daemon, front daemon); every other seed isolates the leader."""
    leader = simulator.leader()
    others = [node for node in simulator.control_nodes() if node is not leader]
    control_daemon = leader if simulator.seed % 2 == 0 else simulator.draw.choice(others)
    return control_daemon, simulator.nodes[f"verge{simulator.seed % 3}"]


def _partition(simulator, direction):
    machine = [node.name for node in _isolated_machine(simulator)]
    rest = [
        node.name
        for node in simulator.nodes.values()
        if node.kind in ("accord", "verge") and node.name not in machine
    ]
    simulator.delays_frames = simulator.seed % 4 < 2
    if direction == "in":
        simulator.partition(rest, machine, both=False)
    else:
        simulator.partition(machine, rest, both=direction == "both")
    simulator.run(ISOLATION_TIME)
    simulator.heal()


def partition_both(simulator):
    """No frame reaches or leaves the machine."""
    _partition(simulator, "both")


def partition_inbound(simulator):
    """No frame reaches the machine."""
    _partition(simulator, "in")


def partition_outbound(simulator):
    """No frame leaves the machine."""
    _partition(simulator, "out")


def seeds_swapped(simulator):
    """The machine is partitioned, and meanwhile all daemons get other seed addresses: the machine its own
    and an unused address, the others the address of the isolated daemon and of a control daemon.
    """
    control_daemon, front = _isolated_machine(simulator)
    seeds = {
        True: (control_daemon.address, "10.9.9.9:7000"),
        False: (control_daemon.address, simulator.control_nodes()[0].address),
    }
    for node in simulator.nodes.values():
        if node.kind in ("accord", "verge"):
            message = ("seeds", list(seeds[node in (control_daemon, front)]))
            simulator.at(simulator.draw.uniform(1, 5), "give", node.name, node.incarnation, message)
    _partition(simulator, "both")


def frozen(simulator):
    """The machine's processes are stopped while their sockets still receive calls."""
    machine = _isolated_machine(simulator)
    for node in machine:
        simulator.freeze(node.name)
    simulator.run(ISOLATION_TIME)
    for node in machine:
        simulator.thaw(node.name)


def _stopped_before(simulator, matches, seconds):
    """Stops a control daemon three times, each just before it carries out a matching effect."""
    for _ in range(3):
        control_daemon, _ = _isolated_machine(simulator)
        control_daemon.stops_at = matches
        simulator.operators.evacuate(control_daemon)
        simulator.operators.read(control_daemon, strict=control_daemon is simulator.leader())
        simulator.run(seconds)
        control_daemon.stops_at = None
        if control_daemon.frozen:
            simulator.thaw(control_daemon.name)
        simulator.run(2)


def stopped_at_write(simulator):
    """A control daemon is stopped after it decided the answer to a read, before it writes the answer."""

    def matches(effect):
        return isinstance(effect, Reply) and effect.status == 200 and "routes" in effect.document

    _stopped_before(simulator, matches, simulator.draw.choice((1.2, 2.0, ISOLATION_TIME)))


def stopped_at_send(simulator):
    """A control daemon is stopped after it accepted a call, before it forwards the call to the leader."""

    def matches(effect):
        return isinstance(effect, Send) and effect.message[0] == "ask" and effect.message[3] == "evacuate"

    _stopped_before(simulator, matches, simulator.draw.choice((3.0, 5.0, ISOLATION_TIME)))


def stopped_at_append(simulator):
    """The leader accepts a call as timely and is stopped before it appends its decision, three times. It
    resumes before or after another leader is elected, and callers repeat calls without a clear answer.
    """
    for call in ("evacuate", "configure", "job"):
        leader = simulator.leader()
        if leader is None:
            simulator.run(1)
            continue

        def matches(message, call=call):
            return message[0] == "ask" and message[3] == call

        simulator.interrupts = (leader, matches)
        simulator.run(1)  # such calls arrive continually
        followers = [node.name for node in simulator.control_nodes() if node is not leader]
        no_election = simulator.draw.random() < NO_ELECTION_PROBABILITY
        if no_election:
            simulator.partition(followers[:1], followers[1:])
        simulator.run(simulator.draw.choice((0.3, 0.55, 1.5, 4.0)))
        simulator.heal()
        if leader.frozen:
            simulator.thaw(leader.name)
        simulator.interrupts = None
        simulator.run(1)
        simulator.operators.resend_unclear()
        simulator.run(2)
    if not simulator.late_steps:
        raise AssertionError("no step was interrupted")


# The registry of scenarios: name -> function that applies it to the fleet.
SCENARIOS = {
    "cut-both": partition_both,
    "cut-in": partition_inbound,
    "cut-out": partition_outbound,
    "seeds-swapped": seeds_swapped,
    "frozen": frozen,
    "stopped-at-write": stopped_at_write,
    "stopped-at-send": stopped_at_send,
    "stopped-at-append": stopped_at_append,
}
