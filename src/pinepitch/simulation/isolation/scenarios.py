"""What brings a control machine, a control daemon and the front daemon beside it, out of contact."""

from ...common.effects import Reply, Send

NOBODY_ELECTED = 0.5  # of turns in which the others can't elect a leader meanwhile
ISOLATED = 20.0  # seconds; a machine is cut off or stopped this long


def _machine(simulator):
    """(control daemon, front daemon) that lose contact: the leader's machine with every other seed."""
    leader = simulator.leader()
    others = [node for node in simulator.control_nodes() if node is not leader]
    control_daemon = leader if simulator.seed % 2 == 0 else simulator.draw.choice(others)
    return control_daemon, simulator.nodes[f"verge{simulator.seed % 3}"]


def _partition(simulator, manner):
    machine = [node.name for node in _machine(simulator)]
    rest = [
        node.name
        for node in simulator.nodes.values()
        if node.kind in ("accord", "verge") and node.name not in machine
    ]
    simulator.holding = simulator.seed % 4 < 2
    if manner == "in":
        simulator.partition(rest, machine, both=False)
    else:
        simulator.partition(machine, rest, both=manner == "both")
    simulator.run(ISOLATED)
    simulator.heal()


def partition_both(simulator):
    """No frame reaches the machine, none leaves it."""
    _partition(simulator, "both")


def partition_inbound(simulator):
    """No frame reaches the machine."""
    _partition(simulator, "in")


def partition_outbound(simulator):
    """No frame leaves the machine."""
    _partition(simulator, "out")


def seeds_swapped(simulator):
    """The machine is cut off, and all are told other seeds meanwhile: it just its own address and
    one where nobody is, the others one that is cut off.
    """
    control_daemon, front = _machine(simulator)
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
    """The machine's processes are stopped while calls go on coming to their sockets."""
    machine = _machine(simulator)
    for node in machine:
        simulator.freeze(node.name)
    simulator.run(ISOLATED)
    for node in machine:
        simulator.thaw(node.name)


def _stopped_before(simulator, wanted, seconds):
    """A control daemon is stopped just before it carries out an effect of one kind, three times."""
    for _ in range(3):
        control_daemon, _ = _machine(simulator)
        control_daemon.stops_at = wanted
        simulator.operators.evacuate(control_daemon)
        simulator.operators.read(control_daemon, strict=control_daemon is simulator.leader())
        simulator.run(seconds)
        control_daemon.stops_at = None
        if control_daemon.frozen:
            simulator.thaw(control_daemon.name)
        simulator.run(2)


def stopped_at_write(simulator):
    """A control daemon has decided on an answer to a read and is stopped before it writes it."""

    def wanted(effect):
        return isinstance(effect, Reply) and effect.status == 200 and "routes" in effect.document

    _stopped_before(simulator, wanted, simulator.draw.choice((1.2, 2.0, ISOLATED)))


def stopped_at_send(simulator):
    """A control daemon has taken a call to carry and is stopped before it sends it to the leader."""

    def wanted(effect):
        return isinstance(effect, Send) and effect.message[0] == "ask" and effect.message[3] == "evacuate"

    _stopped_before(simulator, wanted, simulator.draw.choice((3.0, 5.0, ISOLATED)))


def stopped_at_append(simulator):
    """The leader has taken a call as being in time and is stopped before it appends what it decides, three
    times; it goes on before or after another was elected, and callers ask again what they got no clear
    answer to.
    """
    for call in ("evacuate", "configure", "job"):
        leader = simulator.leader()
        if leader is None:
            simulator.run(1)
            continue

        def wanted(message, call=call):
            return message[0] == "ask" and message[3] == call

        simulator.interrupts = (leader, wanted)
        simulator.run(1)  # such calls come all the time
        followers = [node.name for node in simulator.control_nodes() if node is not leader]
        alone = simulator.draw.random() < NOBODY_ELECTED
        if alone:
            simulator.partition(followers[:1], followers[1:])
        simulator.run(simulator.draw.choice((0.3, 0.55, 1.5, 4.0)))
        simulator.heal()
        if leader.frozen:
            simulator.thaw(leader.name)
        simulator.interrupts = None
        simulator.run(1)
        simulator.operators.ask_again()
        simulator.run(2)
    if not simulator.late_steps:
        raise AssertionError("no step was interrupted")


# The registry of scenarios: name -> what it does to the fleet.
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
