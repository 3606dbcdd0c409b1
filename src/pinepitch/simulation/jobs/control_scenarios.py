"""Fault scenarios of the control daemons: each strikes while jobs, changes of the configuration and
evacuations come all the time. Each is a function of the simulator; the registry at the end names them.
"""

import functools

from . import control_faults as faults
from .plans import LEADER_PART, tolerated
from .scenarios import JOINS_WITHIN, is_member, tenant_names

PARTITION_LASTS = 20.0  # seconds; of a control daemon cut off from the others
CLIENT_CALLS = ("job",)
ORDER_CALLS = ("configure", "amend", "evacuate")
MANY_CHANGES = 200  # in one run
CHANGE_EVERY = 0.06  # seconds; between two of them
SLOW_DISK = 30.0  # times
SLOW_MACHINE = (0.02, 0.15)  # seconds; that a slow machine takes longer for whatever it does


def _complete(simulator):
    """Whether every member runs, as the leader knows the members, and no change of them is under way."""
    leader = simulator.leader()
    if leader is None or leader.core.consensus.membership.coming is not None:
        return False
    running = {simulator.nodes[name].core.identity for name in faults.control_names(simulator)}
    return set(leader.core.consensus.membership.members()) <= running


def _expect_complete(simulator, why):
    """Ends the trial unless the seats of lost daemons are taken by running ones in time."""
    if simulator.until(functools.partial(_complete, simulator), JOINS_WITHIN) is None:
        raise AssertionError(f"a seat was left to a lost daemon {why}")


# --- cuts -------------------------------------------------------------------------------------
def _partition(simulator, more):
    names = tolerated(simulator.plan, simulator)
    manner = simulator.draw.choice((faults.BOTH, faults.BOTH, faults.OUTGOING, faults.INCOMING))
    faults.partition_off(simulator, names, manner)
    if simulator.draw.random() < 0.5:  # some tenants reach only those that are cut off
        others = [one for one in faults.control_names(simulator) if one not in names]
        simulator.partition(simulator.draw.sample(tenant_names(simulator), 2), others)
    more(simulator, names)
    simulator.served(f"while {', '.join(names)} were cut off ({manner})")
    simulator.run(PARTITION_LASTS - simulator.draw.uniform(0, 8))
    simulator.heal()
    simulator.run(faults.CATCH_UP)


def control_partitioned(simulator):
    """Control daemons are cut off from the others for 20 s, both ways or one way, the leader often."""
    _partition(simulator, lambda *_: None)


def _seeds_and_restart(simulator, names):
    """New contact points begin with those that are cut off; the fronts are started anew."""
    simulator.run(simulator.draw.uniform(0, 2))
    others = [one for one in faults.control_names(simulator) if one not in names]
    faults.name_seeds(simulator, names, [*others, *names])
    faults.lose_power(simulator, faults.front_names(simulator))
    faults.start_soon(simulator, faults.front_names(simulator))


def control_partitioned_seeds(simulator):
    """The same, while the settings name those that are cut off as contact points and fronts restart."""
    _partition(simulator, _seeds_and_restart)


def _restart_each(simulator, names):
    """Those that are cut off are restarted, then the others, one by one."""
    others = [one for one in faults.control_names(simulator) if one not in names]
    faults.lose_power(simulator, names)
    faults.start_soon(simulator, names)
    for name in others:
        simulator.run(simulator.draw.uniform(1, 2))
        simulator.kill(name)
        faults.start_soon(simulator, [name])


def control_partitioned_restart(simulator):
    """The same, while all are restarted, those that are cut off first."""
    _partition(simulator, _restart_each)


def zone_partitioned(simulator):
    """A zone is cut off from the others, the leader's often; callers reach it still."""
    leader = simulator.leader()
    zone = simulator.draw.choice(sorted(set(simulator.plan.areas)))
    if leader is not None and simulator.draw.random() < LEADER_PART:
        zone = leader.zone
    inside = [name for name, node in simulator.nodes.items() if node.zone == zone]
    outside = [name for name, node in simulator.nodes.items() if node.zone != zone]
    simulator.partition(inside, outside)
    simulator.run(simulator.draw.uniform(4, 14))
    simulator.heal()
    simulator.run(faults.CATCH_UP)


# --- answers that are lost ---------------------------------------------------------------------
def acknowledgements_lost(simulator):
    """Most answers to the operator are lost, so that it sends the same again to other daemons."""
    simulator.acknowledgement_loss = 0.7
    simulator.run(simulator.draw.uniform(2, 4))
    name = simulator.draw.choice(faults.control_names(simulator))
    simulator.kill(name)
    simulator.run(simulator.draw.uniform(1, 4))
    faults.start_if_down(simulator, name)
    simulator.run(simulator.draw.uniform(2, 4))
    simulator.acknowledgement_loss = 0.0
    simulator.run(1)


def connections_reset(simulator):
    """Connections of daemons are reset, again and again, often while an order is under way."""
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    for _ in range(60):
        simulator.reset_connections(simulator.draw.choice(names), 0.5)
        if simulator.draw.random() < 0.5:
            simulator.until(lambda: _daemon_of_order(simulator), 1.0, 0.004)
            simulator.run(simulator.draw.uniform(0, 0.02))
            name = _daemon_of_order(simulator)
            if name is not None:
                simulator.reset_connections(name, 0.8)
        simulator.run(simulator.draw.uniform(0.05, 0.25))


def _daemon_of_order(simulator):
    """The daemon that an order of the operator is under way to, or None."""
    for waiting in simulator.requests.values():
        if waiting[0] == "call" and waiting[1] == "operator":
            return waiting[4]
    return None


# --- losses right after a promise --------------------------------------------------------------
def _strike_after_acknowledgement(simulator, strike):
    """Strikes right after an acknowledgement, or some time after an order was sent."""
    if simulator.draw.random() < 0.3:
        simulator.orders.change()
        simulator.run(simulator.draw.uniform(0.005, 0.4))
        answered = None
    else:
        calls = simulator.draw.choice((CLIENT_CALLS, ORDER_CALLS, ORDER_CALLS))
        answered = faults.run_until_acknowledged(simulator, calls)
    names = tolerated(simulator.plan, simulator)
    if answered in faults.control_names(simulator) and answered not in names:
        names[-1] = answered
    simulator.run(simulator.draw.uniform(0, 0.004))
    strike(simulator, names)
    return names


def killed_after_acknowledgement(simulator):
    """Those that have just acknowledged something lose power, as many as may be lost; all are back
    within some seconds."""
    for _ in range(3):
        names = _strike_after_acknowledgement(simulator, faults.lose_power)
        simulator.served(f"while {', '.join(names)} were down")
        faults.start_soon(simulator, names)
        simulator.run(faults.CATCH_UP)


def wiped_after_acknowledgement(simulator):
    """Those that have just acknowledged something lose their disks, as many as may be lost, while
    at times all others, whose disks may be slow, lose power too."""
    for turn in range(2):
        _slow_some_disks(simulator)
        names = _strike_after_acknowledgement(simulator, faults.wipe)
        if turn or simulator.draw.random() < 0.5:
            faults.lose_power(simulator, faults.control_names(simulator))
        _repair_disks(simulator)
        simulator.run(simulator.draw.choice((0.0, 0.5, 2.0)))
        every = [name for name, node in simulator.nodes.items() if node.kind == "accord"]
        faults.start_soon(simulator, every)
        simulator.served(f"after {', '.join(names)} had lost their disks")
        _expect_complete(simulator, f"after {', '.join(names)} had lost their disks")
        simulator.run(faults.CATCH_UP)


def _slow_some_disks(simulator):
    for name in faults.control_names(simulator):
        simulator.nodes[name].disk.slow = simulator.draw.choice((1.0, SLOW_DISK))


def _repair_disks(simulator):
    for node in simulator.nodes.values():
        if node.disk is not None:
            node.disk.slow, node.disk.stalled, node.disk.full = 1.0, False, False


def herd_killed(simulator):
    """All control daemons and fronts lose power at once, right after a promise or with slow disks,
    and are started together; again before all is well."""
    for _ in range(3):
        _slow_some_disks(simulator)
        faults.run_until_acknowledged(simulator, simulator.draw.choice((CLIENT_CALLS, ORDER_CALLS)))
        simulator.run(simulator.draw.uniform(0, 0.004))
        every = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        faults.lose_power(simulator, every)
        simulator.run(simulator.draw.choice((0.1, 1.5, 5.0)))
        _repair_disks(simulator)
        faults.start_soon(simulator, every)
        if simulator.draw.random() < 0.7:
            simulator.served("after all had lost power")
        simulator.run(simulator.draw.uniform(0, 3))


def zone_lost(simulator):
    """A zone is without power: daemons, fronts and tenants; they come back within 1.5 s of each other."""
    for _ in range(2):
        zone = simulator.draw.choice(sorted(set(simulator.plan.areas)))
        names = [
            name for name, node in simulator.nodes.items() if node.zone == zone and node.kind != "retired"
        ]
        counted = [name for name in names if simulator.nodes[name].kind == "accord"]
        for name in names:
            if simulator.nodes[name].core is not None:
                simulator.kill(name)
        simulator.run(simulator.draw.uniform(2, 6))
        if simulator.plan.machines_lost == 0 or len(counted) <= simulator.plan.machines_lost:
            simulator.served(f"without zone {zone}")
        for name in names:
            simulator.start(name)
            simulator.run(1.5 / len(names))
        simulator.run(faults.CATCH_UP)


# --- machines that serve badly -----------------------------------------------------------------
def disks_bad(simulator):
    """Disks turn slow, stand still or take no byte more, as many as may be lost, the leader's often."""
    for _ in range(4):
        names = tolerated(simulator.plan, simulator)
        manner = simulator.draw.choice(("slow", "stalled", "full"))
        for name in names:
            disk = simulator.nodes[name].disk
            disk.slow = SLOW_DISK if manner == "slow" else disk.slow
            disk.stalled, disk.full = manner == "stalled", manner == "full"
        simulator.run(simulator.draw.uniform(2, 6))
        if manner != "slow":
            simulator.served(f"while the disks of {', '.join(names)} were {manner}")
        if simulator.draw.random() < 0.4:
            faults.lose_power(simulator, names)
            faults.start_soon(simulator, names)
        _repair_disks(simulator)
        simulator.run(faults.CATCH_UP)


def machines_slow(simulator):
    """Machines take longer for whatever they do, the leader's often, one front's too."""
    for _ in range(3):
        names = tolerated(simulator.plan, simulator)
        for name in [*names, simulator.draw.choice(faults.front_names(simulator))]:
            simulator.lag[name] = simulator.draw.uniform(*SLOW_MACHINE)
        simulator.run(simulator.draw.uniform(3, 6))
        simulator.lag.clear()
        simulator.run(simulator.draw.uniform(1, 3))


def control_frozen(simulator):
    """Control daemons and fronts stop in the midst of orders and go on later, none the wiser."""
    for _ in range(3):
        names = tolerated(simulator.plan, simulator)
        names.append(simulator.draw.choice(faults.front_names(simulator)))
        for name in names:
            simulator.freeze(name)
        simulator.run(simulator.draw.choice((0.4, 1.0, 3.0, 9.0)) * simulator.draw.uniform(0.8, 1.2))
        for name in names:
            simulator.thaw(name)
        simulator.run(simulator.draw.uniform(1, faults.CATCH_UP))


def clocks_stepped(simulator):
    """The time of day jumps on a share of the machines and back, while daemons restart."""
    for _ in range(3):
        names = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        wrong = simulator.draw.sample(names, max(1, round(0.3 * len(names))))
        few = (len(faults.control_names(simulator)) - 1) // 2
        counted = [name for name in wrong if simulator.nodes[name].kind == "accord"][:few]
        step = simulator.draw.choice((-1, 1)) * simulator.draw.choice((2.0, 600.0))
        for name in wrong:
            if simulator.nodes[name].kind != "accord" or name in counted:
                simulator.nodes[name].skew = step
        simulator.run(simulator.draw.uniform(1, 3))
        name = simulator.draw.choice(faults.control_names(simulator))
        simulator.kill(name)
        faults.start_soon(simulator, [name])
        simulator.run(simulator.draw.uniform(1, 3))
        for node in simulator.nodes.values():
            node.skew = 0.0
        simulator.run(faults.CATCH_UP)


def settings_changed(simulator):
    """The settings name other contact points, machines read them again or restart with them."""
    for _ in range(4):
        names = [name for name, node in simulator.nodes.items() if node.kind in ("accord", "verge")]
        informed = simulator.draw.sample(names, max(1, len(names) // 3))
        faults.name_seeds(simulator, simulator.draw.sample(faults.control_names(simulator), 1), informed)
        simulator.run(simulator.draw.uniform(0.1, 1))
        name = simulator.draw.choice(faults.control_names(simulator))
        faults.terminate(simulator, name)
        simulator.served(f"after {name} was asked to stop")
        faults.start_soon(simulator, [name])
        simulator.run(faults.CATCH_UP)


# --- repairs -----------------------------------------------------------------------------------
def _asked_to_join(simulator, node):
    leader = simulator.leader()
    return (
        leader is not None and node.core is not None and node.core.identity in leader.core.consensus.learners
    )


def _snapshot_in_transit(simulator, node):
    leader = simulator.leader()
    follower = leader.core.consensus.followers.get(node.core.identity) if leader and node.core else None
    return follower is not None and follower.transfer is not None and follower.transfer.payload is not None


def _change_begun(simulator, node):
    leader = simulator.leader()
    return leader is not None and leader.core.consensus.membership.coming is not None


def _change_committed(simulator, node):
    """The joint list is committed, its end not yet."""
    leader = simulator.leader()
    if leader is None:
        return False
    consensus = leader.core.consensus
    return consensus.membership.coming is None and consensus.membership_index > consensus.commit


def _admitted(simulator, node):
    return node.core is not None and is_member(node)


REPAIR_STEPS = {
    "asked to join": _asked_to_join,
    "a snapshot is under way": _snapshot_in_transit,
    "the change of members has begun": _change_begun,
    "the joint list is committed": _change_committed,
    "the newcomer is a member": _admitted,
}
STEP_SOUGHT = 8.0  # seconds; until a step of a repair comes


def _lose_second(simulator, step, node):
    """One more is lost at a step of a repair: the newcomer, the leader or another, which is back soon;
    where two may be lost, its disk may be lost too."""
    sought = REPAIR_STEPS[step]
    if simulator.until(lambda: sought(simulator, node), STEP_SOUGHT, 0.002) is None:
        return
    names = faults.control_names(simulator)
    leader = simulator.leader()
    victims = [node.name, simulator.draw.choice(names), leader.name if leader else node.name]
    name = simulator.draw.choice([one for one in victims if one in names] or names)
    manner = simulator.draw.choice(("power", "cut", "wipe" if simulator.plan.machines_lost > 1 else "power"))
    if manner == "cut":
        faults.partition_off(
            simulator, [name], simulator.draw.choice((faults.BOTH, faults.OUTGOING, faults.INCOMING))
        )
        simulator.run(simulator.draw.uniform(0.5, 6))
        simulator.heal()
        return
    (faults.wipe if manner == "wipe" else faults.lose_power)(simulator, [name])
    simulator.run(simulator.draw.choice((0.0, 0.5, 2.0)))
    faults.start_soon(simulator, [name])


def loss_during_repair(simulator):
    """A daemon is wiped or replaced; a second one is lost at a step of the repair."""
    for _ in range(2):
        step = simulator.draw.choice(list(REPAIR_STEPS))
        victim = simulator.draw.choice(faults.control_names(simulator))
        if simulator.draw.random() < 0.5:
            faults.wipe(simulator, [victim])
            simulator.run(simulator.draw.uniform(0, 1))
            faults.start_soon(simulator, [victim])
            node = simulator.nodes[victim]
        else:
            node = faults.replace(simulator, victim)
        _lose_second(simulator, step, node)
        simulator.served(f"after a loss as {step}", within=JOINS_WITHIN)
        _expect_complete(simulator, f"after a loss as {step}")
        simulator.run(faults.CATCH_UP)


def replacement_chain(simulator):
    """One daemon after another is gone for good, the replacements too, each as soon as the one
    before no more counts as lost."""
    last = None
    for _ in range(6):
        names = faults.control_names(simulator)
        name = last if last in names and simulator.draw.random() < 0.4 else simulator.draw.choice(names)
        last = faults.replace(simulator, name).name
        simulator.run(faults.CATCH_UP)
        if simulator.draw.random() < 0.3:
            faults.name_seeds(simulator, [last], faults.front_names(simulator))
    simulator.served("after six replacements")
    _expect_complete(simulator, "after six replacements")


def replacement_planned(simulator):
    """Daemons are replaced as planned, the new one first; another loses power or its disk as soon as
    the successor no more counts as lost."""
    for _ in range(3):
        name = simulator.draw.choice(faults.control_names(simulator))
        faults.replace_planned(simulator, name)
        victim = simulator.draw.choice(faults.control_names(simulator))
        (faults.wipe if simulator.draw.random() < 0.5 else faults.lose_power)(simulator, [victim])
        simulator.served("after a planned replacement and a loss")
        faults.start_soon(simulator, [victim])
        simulator.run(faults.CATCH_UP)


def wiped_in_turn(simulator):
    """One disk after another is lost, each as soon as the one before no more counts as lost."""
    names = faults.control_names(simulator)
    simulator.draw.shuffle(names)
    for name in names[:5]:
        faults.wipe(simulator, [name])
        simulator.run(simulator.draw.uniform(0, 1))
        faults.start_soon(simulator, [name])
        simulator.run(faults.CATCH_UP)
    simulator.served("after one disk after another was lost")


def many_changes(simulator):
    """Hundreds of changes, some large, some acknowledgements lost; then a restart, a lost disk and a
    replacement among them."""
    draw, operator = simulator.draw, simulator.orders
    simulator.acknowledgement_loss = 0.2
    strike_at = sorted(draw.sample(range(20, MANY_CHANGES), 3))
    for number in range(MANY_CHANGES):
        if len(operator.changes) < 8:
            more = {"weights": ["x" * 40] * draw.choice((1, 400))} if number % 10 == 0 else {}
            operator.change(**more)
        simulator.run(CHANGE_EVERY * draw.uniform(0.5, 1.5))
        if number in strike_at:
            name = draw.choice(faults.control_names(simulator))
            manner = ("restart", "wipe", "replace")[strike_at.index(number)]
            if manner == "replace":
                faults.replace(simulator, name)
            else:
                (faults.wipe if manner == "wipe" else faults.lose_power)(simulator, [name])
                simulator.run(draw.uniform(0, 2))
                faults.start_soon(simulator, [name])
            simulator.run(faults.CATCH_UP + 1.0)
    simulator.served("after hundreds of changes")


# --- mixed -------------------------------------------------------------------------------------
def _front_killed(simulator):
    name = simulator.draw.choice(faults.front_names(simulator))
    if simulator.nodes[name].core is not None and not simulator.nodes[name].frozen:
        simulator.kill(name)
        simulator.at(
            simulator.draw.uniform(0.1, 2), "later", functools.partial(faults.start_if_down, simulator, name)
        )


def _worker_killed(simulator):
    name = simulator.draw.choice(tenant_names(simulator))
    simulator.kill(name)
    simulator.at(simulator.draw.uniform(0.1, 2), "later", functools.partial(_worker_back, simulator, name))


def _worker_back(simulator, name):
    if simulator.nodes[name].down:
        simulator.start(name)


def _front_clock(simulator):
    simulator.nodes[simulator.draw.choice(faults.front_names(simulator))].skew = simulator.draw.choice(
        (-2.0, 2.0)
    )


def _some_resets(simulator):
    names = [*faults.control_names(simulator), *faults.front_names(simulator)]
    simulator.reset_connections(simulator.draw.choice(names), 0.5)


def _settings(simulator):
    if faults.control_names(simulator):
        faults.name_seeds(simulator, (), simulator.draw.sample(faults.front_names(simulator), 1))


def _losses(simulator):
    simulator.acknowledgement_loss = simulator.draw.choice((0.0, 0.3, 0.7))


BESIDE = (_front_killed, _worker_killed, _front_clock, _some_resets, _settings, _losses)
BESIDE_EVERY = 1.5  # seconds; about, between two small faults beside the others


def mixed(simulator):
    """Several kinds of faults one after the other, with small ones beside them all the time."""
    simulator.loss, simulator.double = 0.005, 0.01
    simulator.late_part, simulator.late_most = 0.05, 2.0

    def strike():
        if simulator.orders.running:
            simulator.draw.choice(BESIDE)(simulator)
            simulator.at(simulator.draw.uniform(0.5, 1.5) * BESIDE_EVERY, "later", strike)

    strike()
    for scenario in simulator.draw.sample(MIXABLE, 2):
        scenario(simulator)


MIXABLE = (
    control_partitioned,
    control_partitioned_seeds,
    zone_partitioned,
    killed_after_acknowledgement,
    wiped_after_acknowledgement,
    herd_killed,
    disks_bad,
    machines_slow,
    control_frozen,
    loss_during_repair,
    replacement_chain,
)
CONTROL_SCENARIOS = {
    "control-cut": control_partitioned,
    "control-cut-seeds": control_partitioned_seeds,
    "control-cut-restart": control_partitioned_restart,
    "zone-cut": zone_partitioned,
    "acknowledgements-lost": acknowledgements_lost,
    "connections-reset": connections_reset,
    "killed-after-promise": killed_after_acknowledgement,
    "wiped-after-promise": wiped_after_acknowledgement,
    "herd-killed": herd_killed,
    "zone-lost": zone_lost,
    "disks-bad": disks_bad,
    "machines-slow": machines_slow,
    "control-frozen": control_frozen,
    "clocks-stepped": clocks_stepped,
    "settings-changed": settings_changed,
    "loss-during-repair": loss_during_repair,
    "replacement-chain": replacement_chain,
    "replacement-planned": replacement_planned,
    "wiped-in-turn": wiped_in_turn,
    "many-changes": many_changes,
    "mixed": mixed,
}
