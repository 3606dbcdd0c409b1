"""Fault scenarios of the simulated fleet that runs leased jobs. Each is a function of the simulator and has a
name in the registry at the end.
"""

import functools

from ..simulator import GRACE, START
from .early_cancels import cancelled_early
from .long_lists import more_ends_than_listed
from .plans import tolerated_losses
from .replays import frames_replayed

STALL_PROBABILITY = 0.6  # of a stall of the followers' disks before disks are lost
STALL_SECONDS = (0.1, 0.4)  # (least, most); shorter than the time after which a leader steps down
JOINS_WITHIN = 30.0  # seconds; until an empty control daemon is a member and no change of members is pending


def control_daemon_names(simulator):
    """Names of the control daemons, running or not."""
    return [name for name, node in simulator.nodes.items() if node.kind == "accord"]


def worker_names(simulator):
    """Names of the workers that are not down."""
    return [name for name, node in simulator.nodes.items() if node.kind == "minion" and not node.down]


def accepted_count(simulator):
    """The number of jobs accepted so far."""
    return sum(job["accepted"] is not None for job in simulator.client_stand_in.jobs.values())


def run_until_accepted(simulator):
    """Runs until the client learns that one more job was accepted."""
    known = accepted_count(simulator)
    simulator.until(lambda: accepted_count(simulator) > known, 10, 0.004)


def is_member(node):
    """Whether a control daemon is a member by its own state, and knows of no pending change of members."""
    consensus = node.core.consensus
    return (
        consensus is not None
        and not consensus.membership.coming
        and node.core.identity in consensus.membership.members()
    )


def calm(simulator):
    """No faults."""
    simulator.run(14)


def leader_killed(simulator):
    """The leader is killed several times, each time right after a job was accepted. Jobs must soon be
    accepted again without it.
    """
    for _ in range(3):
        run_until_accepted(simulator)
        leader = simulator.leader()
        if leader is not None:
            simulator.kill(leader.name)
            simulator.expect_service("without the leader")
            simulator.run(simulator.draw.uniform(0, 3))
            simulator.start(leader.name)
        simulator.run(simulator.draw.uniform(1, 4))


def leader_frozen(simulator):
    """The leader is frozen and later resumes, unaware of the pause."""
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            simulator.freeze(leader.name)
            simulator.run(simulator.draw.choice((0.3, 0.8, 1.5, 3.0, 7.0)) * simulator.draw.uniform(0.8, 1.2))
            simulator.thaw(leader.name)
        simulator.run(simulator.draw.uniform(1, 3))


def leader_stops(simulator):
    """The leader is asked to stop and restarts with its disk. At times another control daemon is partitioned
    off or asked to stop as well; otherwise jobs must soon be accepted again.
    """
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            others = [other for other in control_daemon_names(simulator) if other != leader.name]
            second = simulator.draw.choice(others)
            variant = simulator.draw.choice(("alone", "alone", "cut", "both"))
            if variant == "cut":
                simulator.partition([second], [other for other in simulator.nodes if other != second])
            simulator.stop(leader.name)
            if variant == "both":
                simulator.run(simulator.draw.uniform(0, 0.05))
                simulator.stop(second)
            simulator.until(lambda leader=leader: leader.core is None, GRACE, 0.02)
            if variant == "alone":
                simulator.expect_service("after the leader was asked to stop")
            simulator.heal()
            simulator.run(simulator.draw.uniform(0.1, 1))
            for name in (leader.name, second):
                if simulator.nodes[name].core is None:
                    simulator.start(name)
        simulator.run(simulator.draw.uniform(1, 4))


def leader_deaf(simulator):
    """The leader is partitioned from the other daemons and some workers, in one direction or both."""
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            others = [
                name
                for name in (*control_daemon_names(simulator), "verge0", "verge1", "verge2")
                if name != leader.name
            ]
            others += simulator.draw.sample(worker_names(simulator), 4)
            direction = simulator.draw.choice(("deaf", "dumb", "both"))
            if direction == "dumb":
                simulator.partition([leader.name], others, both=False)
            else:
                simulator.partition(others, [leader.name], both=direction == "both")
            simulator.run(simulator.draw.choice((1.5, 4, 12)) * simulator.draw.uniform(0.8, 1.2))
            simulator.heal()
        simulator.run(simulator.draw.uniform(0.5, 3))


def wiped(simulator):
    """A control daemon loses its disk right after a job was accepted, and must join again in time."""
    for turn in range(2):
        run_until_accepted(simulator)
        leader = simulator.leader()
        name = leader.name if leader and turn == 0 else simulator.draw.choice(control_daemon_names(simulator))
        simulator.kill(name)
        simulator.wipe(name)
        simulator.run(simulator.draw.uniform(0.1, 3))
        simulator.start(name)
        if simulator.until(functools.partial(is_member, simulator.nodes[name]), JOINS_WITHIN) is None:
            simulator.operator_stand_in.faults.append(
                f"{name} restarted with an empty disk and was not admitted"
            )
        simulator.run(4)


def all_killed(simulator):
    """All control daemons lose power at once, right after a job was accepted. One stays down while the others
    restart; these must accept jobs.
    """
    for _ in range(2):
        run_until_accepted(simulator)
        names = control_daemon_names(simulator)
        for name in names:
            simulator.kill(name)
        simulator.run(simulator.draw.choice((0.1, 2.0, 6.0)))
        absent = simulator.draw.choice(names)
        for name in names:
            if name != absent:
                simulator.start(name)
        simulator.expect_service("with all control daemons but one after all had lost power")
        simulator.run(simulator.draw.uniform(0, 4))
        simulator.start(absent)
        simulator.run(3)


def stall_follower_disks(simulator):
    """Stalls the disks of the followers and runs for a short time. The caller ends the stall."""
    leader = simulator.leader()
    followers = [other for other in control_daemon_names(simulator) if leader is None or other != leader.name]
    for name in followers:
        simulator.nodes[name].disk.stalled = True
    simulator.run(simulator.draw.uniform(*STALL_SECONDS))


def disks_lost_in_outage(simulator):
    """Right after a job was accepted, all daemons lose power at once, front daemons included, and as many
    control daemons as the plan tolerates also lose their disks. After the restart jobs must soon be accepted
    again.

    At times the disks of the followers stall before that; nothing may be acknowledged while they do.
    """
    for _ in range(3):
        run_until_accepted(simulator)
        if simulator.draw.random() < STALL_PROBABILITY:
            stall_follower_disks(simulator)
        control_daemons = control_daemon_names(simulator)
        lost = tolerated_losses(simulator.plan, simulator)
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
        simulator.expect_service("after all lost power, and some their disks")
        for name in lost:
            if simulator.until(functools.partial(is_member, simulator.nodes[name]), JOINS_WITHIN) is None:
                simulator.operator_stand_in.faults.append(
                    f"{name} restarted with an empty disk and was not admitted"
                )
        simulator.run(4)


def workers_crash(simulator):
    """Workers crash and restart with new identities at the same addresses, at times while a frozen control
    daemon still has pending heartbeats of their former incarnations.
    """
    for turn in range(12):
        names = simulator.draw.sample(worker_names(simulator), 2)
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
    """Workers are partitioned from all other daemons, in one direction or both, and continue to run; some for
    longer than a lease.
    """
    for _ in range(4):
        names = simulator.draw.sample(worker_names(simulator), simulator.draw.choice((1, 2, 4)))
        direction = simulator.draw.choice(("both", "both", "deaf", "dumb"))
        others = [other for other in simulator.nodes if other not in names]
        if direction == "deaf":
            simulator.partition(others, names, both=False)
        else:
            simulator.partition(names, others, both=direction == "both")
        simulator.run(simulator.draw.choice((0.7, 2.0, 4.8, 5.6, 8.0)) * simulator.draw.uniform(0.9, 1.1))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.5, 2))


def workers_leave(simulator):
    """Workers drain and leave, and are started again; zones are evacuated and restored."""
    for turn in range(5):
        names = simulator.draw.sample(worker_names(simulator), 2)
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
    """Workers announce that they leave without having drained, continue to serve meanwhile, and end."""
    for _ in range(6):
        for name in simulator.draw.sample(worker_names(simulator), 3):
            simulator.nodes[name].core.leave_first(START + simulator.now)
        simulator.run(simulator.draw.uniform(3, 5))
        for name, node in simulator.nodes.items():
            if node.kind == "minion" and node.down:
                simulator.start(name)


def answers_late(simulator):
    """Answers are lost, and heartbeats and answers delayed, while workers drain and zones are evacuated."""
    simulator.answer_loss, simulator.late_probability, simulator.max_lateness = 0.1, 0.3, 3.0
    for _ in range(3):
        span = simulator.operator_stand_in.evacuate(simulator.draw.choice(("a", "b", "c")))
        simulator.nodes[simulator.draw.choice(worker_names(simulator))].core.drain(START + simulator.now)
        simulator.run(simulator.draw.uniform(3, 5))
        simulator.operator_stand_in.restore(span)
        simulator.run(simulator.draw.uniform(1, 2))


def heartbeats_stale(simulator):
    """Heartbeats arrive seconds late, some at a new leader that has received none from their worker yet.
    Meanwhile workers are partitioned off and continue to run, zones are evacuated and the leader is killed.
    """
    for _ in range(3):
        simulator.late_probability, simulator.max_lateness = 0.4, 9.0
        simulator.run(simulator.draw.uniform(1.5, 3))
        leader = simulator.leader()
        names = simulator.draw.sample(worker_names(simulator), 4)
        zone = simulator.nodes[names[0]].zone
        if leader is not None:
            simulator.kill(leader.name)
        simulator.partition(names, [other for other in simulator.nodes if other not in names])
        span = simulator.operator_stand_in.evacuate(zone)
        simulator.run(simulator.draw.uniform(3, 6))
        simulator.late_probability = 0.0
        simulator.heal()
        if leader is not None:
            simulator.start(leader.name)
        simulator.operator_stand_in.restore(span)
        simulator.run(simulator.draw.uniform(2, 4))


def incarnations_mixed(simulator):
    """Workers crash and restart while heartbeats of their former incarnations are delayed. These are
    delivered when the new incarnations have work, are partitioned off and continue to run.
    """
    rng = simulator.draw
    for _ in range(4):
        names = rng.sample(worker_names(simulator), 4)
        simulator.delayed = {name: [] for name in names}
        simulator.run(rng.uniform(2, 4))
        late, simulator.delayed = simulator.delayed, {}
        for name in names:
            simulator.kill(name)
        simulator.run(rng.choice((0.05, 0.5)))
        for name in names:
            simulator.start(name)
        simulator.run(rng.uniform(1, 5))
        simulator.partition(names, [other for other in simulator.nodes if other not in names])
        for name in names:
            for position, heartbeat in enumerate(late[name]):
                simulator.at(
                    0.2 + position * rng.uniform(0.9, 1.1),
                    "later",
                    functools.partial(simulator.deliver_late, *heartbeat),
                )
        simulator.run(rng.uniform(2, 5))
        simulator.heal()
        simulator.run(rng.uniform(0.5, 2))


def storm(simulator):
    """Several fault scenarios in turn, on links that also lose and duplicate frames."""
    simulator.loss, simulator.double = 0.01, 0.02
    simulator.answer_loss, simulator.late_probability, simulator.max_lateness = 0.03, 0.1, 3.0
    for scenario in simulator.draw.sample(
        (leader_frozen, leader_deaf, workers_crash, workers_partitioned, workers_leave), 2
    ):
        scenario(simulator)
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
    "ends-beyond-list": more_ends_than_listed,
    "cancelled-early": cancelled_early,
}
