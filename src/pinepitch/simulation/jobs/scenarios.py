"""Fault scenarios of the simulated fleet that runs jobs. Each is a function of the simulator;
the registry at the end names them.
"""

import functools

from ..simulator import GRACE, START
from .plans import tolerated
from .replays import frames_replayed

STILL_PART = 0.6  # of turns in which disks stand still before they are lost
STILL_FOR = (0.1, 0.4)  # seconds; shorter than what makes a leader give up
JOINS_WITHIN = 30.0  # seconds; until an empty control daemon is a member, no change under way


def control_daemon_names(simulator):
    """Names of the control daemons, running or not."""
    return [name for name, node in simulator.nodes.items() if node.kind == "accord"]


def tenant_names(simulator):
    """Names of the workers."""
    return [name for name, node in simulator.nodes.items() if node.kind == "minion" and not node.down]


def accepted_count(simulator):
    """How many jobs were accepted so far."""
    return sum(job["accepted"] is not None for job in simulator.client_stand_in.jobs.values())


def run_until_accepted(simulator):
    """Runs until one more job is known to be accepted."""
    known = accepted_count(simulator)
    simulator.until(lambda: accepted_count(simulator) > known, 10, 0.004)


def is_member(node):
    """Whether a control daemon is a member by its own knowledge, with no change of members under way."""
    consensus = node.core.consensus
    return (
        consensus is not None
        and not consensus.membership.coming
        and node.core.identity in consensus.membership.members()
    )


def calm(simulator):
    """Nothing goes wrong."""
    simulator.run(14)


def leader_killed(simulator):
    """The leader dies, again and again, right after something was acknowledged; without it jobs
    are taken soon.
    """
    for _ in range(3):
        run_until_accepted(simulator)
        leader = simulator.leader()
        if leader is not None:
            simulator.kill(leader.name)
            simulator.served("without the leader")
            simulator.run(simulator.draw.uniform(0, 3))
            simulator.start(leader.name)
        simulator.run(simulator.draw.uniform(1, 4))


def leader_frozen(simulator):
    """The leader stops and goes on later, none the wiser."""
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            simulator.freeze(leader.name)
            simulator.run(simulator.draw.choice((0.3, 0.8, 1.5, 3.0, 7.0)) * simulator.draw.uniform(0.8, 1.2))
            simulator.thaw(leader.name)
        simulator.run(simulator.draw.uniform(1, 3))


def leader_stops(simulator):
    """The leader is asked to stop, at times while a machine is cut off or another stops too, and comes
    back with its disk; jobs are taken all the time.
    """
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            rest = [one for one in control_daemon_names(simulator) if one != leader.name]
            also = simulator.draw.choice(rest)
            manner = simulator.draw.choice(("alone", "alone", "cut", "both"))
            if manner == "cut":
                simulator.partition([also], [one for one in simulator.nodes if one != also])
            simulator.stop(leader.name)
            if manner == "both":
                simulator.run(simulator.draw.uniform(0, 0.05))
                simulator.stop(also)
            simulator.until(lambda leader=leader: leader.core is None, GRACE, 0.02)
            if manner == "alone":
                simulator.served("after the leader was asked to stop")
            simulator.heal()
            simulator.run(simulator.draw.uniform(0.1, 1))
            for name in (leader.name, also):
                if simulator.nodes[name].core is None:
                    simulator.start(name)
        simulator.run(simulator.draw.uniform(1, 4))


def leader_deaf(simulator):
    """The leader is cut off, one way or both, from the other daemons and some tenants."""
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            rest = [
                one
                for one in (*control_daemon_names(simulator), "verge0", "verge1", "verge2")
                if one != leader.name
            ]
            rest += simulator.draw.sample(tenant_names(simulator), 4)
            manner = simulator.draw.choice(("deaf", "dumb", "both"))
            if manner == "dumb":
                simulator.partition([leader.name], rest, both=False)
            else:
                simulator.partition(rest, [leader.name], both=manner == "both")
            simulator.run(simulator.draw.choice((1.5, 4, 12)) * simulator.draw.uniform(0.8, 1.2))
            simulator.heal()
        simulator.run(simulator.draw.uniform(0.5, 3))


def wiped(simulator):
    """A control daemon loses its disk right after something was acknowledged, and joins anew."""
    for turn in range(2):
        run_until_accepted(simulator)
        leader = simulator.leader()
        name = leader.name if leader and turn == 0 else simulator.draw.choice(control_daemon_names(simulator))
        simulator.kill(name)
        simulator.wipe(name)
        simulator.run(simulator.draw.uniform(0.1, 3))
        simulator.start(name)
        if simulator.until(functools.partial(is_member, simulator.nodes[name]), JOINS_WITHIN) is None:
            simulator.operator_stand_in.faults.append(f"{name} came back empty and was not let in")
        simulator.run(4)


def all_killed(simulator):
    """All control daemons lose power at once, right after something was acknowledged; one stays away."""
    for _ in range(2):
        run_until_accepted(simulator)
        names = control_daemon_names(simulator)
        for name in names:
            simulator.kill(name)
        simulator.run(simulator.draw.choice((0.1, 2.0, 6.0)))
        away = simulator.draw.choice(names)
        for name in names:
            if name != away:
                simulator.start(name)
        simulator.served("by two of three accords after all had lost power")
        simulator.run(simulator.draw.uniform(0, 4))
        simulator.start(away)
        simulator.run(3)


def disks_still(simulator):
    """The followers' disks stand still for a while, and are as they were before."""
    leader = simulator.leader()
    followers = [one for one in control_daemon_names(simulator) if leader is None or one != leader.name]
    for name in followers:
        simulator.nodes[name].disk.stalled = True
    simulator.run(simulator.draw.uniform(*STILL_FOR))


def disks_lost_in_outage(simulator):
    """As many control daemons as may lose their disks do, right after something was acknowledged, while
    every other daemon loses power at the same moment, those without a disk too; jobs are taken soon after.
    At times the followers' disks stand still before: nothing may be acknowledged then.
    """
    for _ in range(3):
        run_until_accepted(simulator)
        if simulator.draw.random() < STILL_PART:
            disks_still(simulator)
        control_daemons = control_daemon_names(simulator)
        lost = tolerated(simulator.plan, simulator)
        daemons = [
            *control_daemons,
            *(name for name, node in simulator.nodes.items() if node.kind == "verge"),
        ]
        for name in daemons:
            simulator.kill(name)
        for name in control_daemons:
            simulator.nodes[name].disk.stalled = False
        for name in lost:
            simulator.wipe(name)
        simulator.run(simulator.draw.choice((0.1, 1.0, 3.0)))
        for name in simulator.draw.sample(daemons, len(daemons)):
            simulator.start(name)
            simulator.run(simulator.draw.uniform(0, 0.1))
        simulator.served("after all lost power, and some their disks")
        for name in lost:
            if simulator.until(functools.partial(is_member, simulator.nodes[name]), JOINS_WITHIN) is None:
                simulator.operator_stand_in.faults.append(f"{name} came back empty and was not let in")
        simulator.run(4)


def workers_crash(simulator):
    """Tenants crash and come back under new identities at their addresses; some while a frozen
    control daemon still holds heartbeats of their former incarnation.
    """
    for turn in range(12):
        names = simulator.draw.sample(tenant_names(simulator), 2)
        frozen = simulator.draw.choice(control_daemon_names(simulator)) if turn % 3 == 2 else None
        if frozen is not None:
            simulator.freeze(frozen)
            simulator.run(simulator.draw.uniform(0.3, 1.5))
        for name in names:
            simulator.kill(name)
        simulator.run(simulator.draw.choice((0.05, 0.3, 1.0)))
        for name in names:
            simulator.start(name)
        simulator.run(simulator.draw.uniform(0.2, 1.5))
        if frozen is not None:
            simulator.thaw(frozen)
            simulator.run(1)


def workers_partitioned(simulator):
    """Tenants are cut off from all, one way or both, and run on; some for longer than a lease."""
    for _ in range(4):
        names = simulator.draw.sample(tenant_names(simulator), simulator.draw.choice((1, 2, 4)))
        manner = simulator.draw.choice(("both", "both", "deaf", "dumb"))
        rest = [one for one in simulator.nodes if one not in names]
        if manner == "deaf":
            simulator.partition(rest, names, both=False)
        else:
            simulator.partition(names, rest, both=manner == "both")
        simulator.run(simulator.draw.choice((0.7, 2.0, 4.8, 5.6, 8.0)) * simulator.draw.uniform(0.9, 1.1))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.5, 2))


def workers_leave(simulator):
    """Tenants drain and leave, zones are evacuated and taken back, and others come."""
    for turn in range(5):
        names = simulator.draw.sample(tenant_names(simulator), 2)
        for name in names:
            simulator.nodes[name].core.drain(START + simulator.now)
        span = None
        if turn % 2:
            span = simulator.operator_stand_in.evacuate(simulator.draw.choice(("a", "b", "c")))
        simulator.run(simulator.draw.uniform(3, 5))
        for name, node in simulator.nodes.items():
            if node.kind == "minion" and node.down:
                simulator.start(name)
        if span is not None:
            simulator.operator_stand_in.restore(span)


def workers_leave_first(simulator):
    """Tenants say that they leave without having drained, serve on for as long, and end."""
    for _ in range(6):
        for name in simulator.draw.sample(tenant_names(simulator), 3):
            simulator.nodes[name].core.leave_first(START + simulator.now)
        simulator.run(simulator.draw.uniform(3, 5))
        for name, node in simulator.nodes.items():
            if node.kind == "minion" and node.down:
                simulator.start(name)


def answers_late(simulator):
    """Heartbeats and answers get lost or late, while tenants drain and zones are evacuated."""
    simulator.answer_loss, simulator.late_part, simulator.late_most = 0.1, 0.3, 3.0
    for _ in range(3):
        span = simulator.operator_stand_in.evacuate(simulator.draw.choice(("a", "b", "c")))
        simulator.nodes[simulator.draw.choice(tenant_names(simulator))].core.drain(START + simulator.now)
        simulator.run(simulator.draw.uniform(3, 5))
        simulator.operator_stand_in.restore(span)
        simulator.run(simulator.draw.uniform(1, 2))


def heartbeats_stale(simulator):
    """Heartbeats come seconds late, some to a leader that has not yet heard of their tenant, while
    tenants are cut off and run on, zones are evacuated and the leader dies.
    """
    for _ in range(3):
        simulator.late_part, simulator.late_most = 0.4, 9.0
        simulator.run(simulator.draw.uniform(1.5, 3))
        leader = simulator.leader()
        names = simulator.draw.sample(tenant_names(simulator), 4)
        zone = simulator.nodes[names[0]].zone
        if leader is not None:
            simulator.kill(leader.name)
        simulator.partition(names, [one for one in simulator.nodes if one not in names])
        span = simulator.operator_stand_in.evacuate(zone)
        simulator.run(simulator.draw.uniform(3, 6))
        simulator.late_part = 0.0
        simulator.heal()
        if leader is not None:
            simulator.start(leader.name)
        simulator.operator_stand_in.restore(span)
        simulator.run(simulator.draw.uniform(2, 4))


def incarnations_mixed(simulator):
    """Tenants crash and come back while heartbeats of their former incarnations are still under way; these
    come when the new incarnations, that have work, are cut off and run on.
    """
    draw = simulator.draw
    for _ in range(4):
        names = draw.sample(tenant_names(simulator), 4)
        simulator.delayed = {name: [] for name in names}
        simulator.run(draw.uniform(2, 4))
        late, simulator.delayed = simulator.delayed, {}
        for name in names:
            simulator.kill(name)
        simulator.run(draw.choice((0.05, 0.5)))
        for name in names:
            simulator.start(name)
        simulator.run(draw.uniform(1, 5))
        simulator.partition(names, [one for one in simulator.nodes if one not in names])
        for name in names:
            for place, heartbeat in enumerate(late[name]):
                simulator.at(
                    0.2 + place * draw.uniform(0.9, 1.1),
                    "later",
                    functools.partial(simulator.arrive, *heartbeat),
                )
        simulator.run(draw.uniform(2, 5))
        simulator.heal()
        simulator.run(draw.uniform(0.5, 2))


def storm(simulator):
    """One thing after another on fouler links."""
    simulator.loss, simulator.double = 0.01, 0.02
    simulator.answer_loss, simulator.late_part, simulator.late_most = 0.03, 0.1, 3.0
    for one in simulator.draw.sample(
        (leader_frozen, leader_deaf, workers_crash, workers_partitioned, workers_leave), 2
    ):
        one(simulator)
    simulator.operator_stand_in.race()
    leader = simulator.leader()
    if leader is not None:
        simulator.kill(leader.name)
        simulator.run(simulator.draw.uniform(0.5, 3))
        simulator.start(leader.name)
    simulator.run(3)


SCENARIOS = {
    "calm": calm,
    "leader-killed": leader_killed,
    "leader-stops": leader_stops,
    "leader-frozen": leader_frozen,
    "leader-deaf": leader_deaf,
    "wiped": wiped,
    "all-killed": all_killed,
    "disks-lost-in-outage": disks_lost_in_outage,
    "tenants-crash": workers_crash,
    "tenants-cut": workers_partitioned,
    "tenants-leave": workers_leave,
    "answers-late": answers_late,
    "beats-stale": heartbeats_stale,
    "lives-mixed": incarnations_mixed,
    "frames-replayed": frames_replayed,
    "storm": storm,
    "tenants-leave-first": workers_leave_first,
}
