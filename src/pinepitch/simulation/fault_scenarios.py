"""Weathers: what a simulated fleet may suffer. Each is a function of (simulator, operator);
the registry at the end names them."""

import functools

from . import checks
from .simulator import LOSS, START


def calm(simulator, operator):
    simulator.run(15)


def _daemons(simulator, kind=None):
    return [
        name
        for name, node in simulator.nodes.items()
        if node.kind in ((kind,) if kind else ("accord", "verge"))
    ]


def kills(simulator, operator):
    """Daemons die hard and come back, one at a time."""
    for _ in range(6):
        name = simulator.draw.choice(_daemons(simulator))
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.2, 4))
        simulator.start(name)
        simulator.run(simulator.draw.uniform(0.2, 3))


def leaders_fall(simulator, operator):
    """The leader dies, again and again, some time after promising."""
    for _ in range(5):
        leader = simulator.leader()
        if leader is not None:
            simulator.kill(leader.name)
            simulator.run(simulator.draw.uniform(1, 5))
            simulator.start(leader.name)
        simulator.run(simulator.draw.uniform(0.5, 3))


def partitions(simulator, operator):
    """Partitions: halves, single machines, one-way, around the leader."""
    for _ in range(6):
        daemons = _daemons(simulator)
        manner = simulator.draw.choice(("halves", "alone", "one-way", "leader", "leader-deaf"))
        leader = simulator.leader()
        if manner == "halves":
            part = [one for one in daemons if simulator.draw.random() < 0.5]
            simulator.partition(part, [one for one in daemons if one not in part])
        elif manner in ("leader", "leader-deaf") and leader is not None:
            rest = [one for one in daemons if one != leader.name]
            if manner == "leader":
                simulator.partition([leader.name], rest)
            else:
                simulator.partition(rest, [leader.name], both=False)
        else:
            name = simulator.draw.choice(list(simulator.nodes))
            rest = [one for one in simulator.nodes if one != name]
            simulator.partition([name], rest, both=manner == "alone")
        simulator.run(simulator.draw.uniform(0.5, 5))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.2, 3))


def zones_fall(simulator, operator):
    """A whole area goes, the leader's among them, and comes back."""
    for _ in range(3):
        leader = simulator.leader()
        zones = sorted({node.zone for node in simulator.nodes.values()})
        zone = leader.zone if leader and simulator.draw.random() < 0.6 else simulator.draw.choice(zones)
        names = [name for name, node in simulator.nodes.items() if node.zone == zone]
        for name in names:
            if simulator.nodes[name].kind != "minion":
                simulator.kill(name)
        simulator.partition(
            [name for name in names if simulator.nodes[name].kind == "minion"], list(simulator.nodes)
        )
        simulator.run(simulator.draw.uniform(3, 6))
        _served(simulator, operator, f"without area {zone}")
        simulator.heal()
        for name in names:
            if simulator.nodes[name].core is None:
                simulator.start(name)
        simulator.run(4)


def freezes(simulator, operator):
    """Daemons and minions stop and go on later, none the wiser."""
    for _ in range(6):
        leader = simulator.leader()
        names = _daemons(simulator) + _daemons(simulator, "minion")
        name = leader.name if leader and simulator.draw.random() < 0.4 else simulator.draw.choice(names)
        simulator.freeze(name)
        simulator.run(simulator.draw.uniform(0.5, 6))
        simulator.thaw(name)
        simulator.run(simulator.draw.uniform(0.2, 3))


def clocks(simulator, operator):
    """Clocks jump either way, on one machine and on several."""
    for _ in range(6):
        count = simulator.draw.choice((1, 1, 2))
        for name in simulator.draw.sample(_daemons(simulator), count):
            simulator.nodes[name].skew += simulator.draw.choice((-1, 1)) * simulator.draw.uniform(1, 600)
        simulator.run(simulator.draw.uniform(1, 3))
        for node in simulator.nodes.values():
            node.skew = 0.0
        simulator.run(simulator.draw.uniform(0.5, 2))


def disks(simulator, operator):
    """Disks slow down, stall, and power goes just after a promise."""
    for _ in range(5):
        leader = simulator.leader()
        name = (
            leader.name
            if leader and simulator.draw.random() < 0.6
            else simulator.draw.choice(_daemons(simulator, "accord"))
        )
        disk = simulator.nodes[name].disk
        manner = simulator.draw.choice(("slow", "stall", "power"))
        if manner == "slow":
            disk.slow = 40.0
        elif manner == "stall":
            disk.stalled = True
        else:
            simulator.kill(name)
        simulator.run(simulator.draw.uniform(1, 5))
        disk.slow, disk.stalled = 1.0, False
        if simulator.nodes[name].core is None:
            simulator.start(name)
        simulator.run(simulator.draw.uniform(0.5, 3))


def _is_in(node):
    """Whether an accord is a member by its own knowledge."""
    consensus = node.core.consensus
    return consensus is not None and node.core.identity in consensus.membership.members()


def _is_member(node):
    """The same, with no change of members under way."""
    return _is_in(node) and not node.core.consensus.membership.coming


def wiped(simulator, operator):
    """One accord loses its disk and comes back empty at its address, then another."""
    for _ in range(2):
        name = simulator.draw.choice(_daemons(simulator, "accord"))
        simulator.kill(name)
        simulator.wipe(name)
        simulator.run(simulator.draw.uniform(0.1, 3))
        simulator.start(name)
        if simulator.until(functools.partial(_is_member, simulator.nodes[name]), 30) is None:
            operator.faults.append(f"{name} came back empty and was not let in")
        simulator.run(4)


def replaced(simulator, operator):
    """An accord dies for good; an empty one at a new address takes its place; twice.
    Seeds of later daemons name the new machines."""
    for turn in range(2):
        name = simulator.draw.choice(
            [one for one in _daemons(simulator, "accord") if simulator.nodes[one].core is not None]
        )
        old = simulator.nodes[name]
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.5, 4))
        fresh = simulator.add(f"fresh{turn}", "accord", old.zone)
        live = [
            node.address
            for node in simulator.nodes.values()
            if node.kind != "minion" and node.core is not None
        ]
        simulator.seeds = [fresh.address, *simulator.draw.sample(live, 2)]
        simulator.start(fresh.name)
        old.kind = "retired"
        if simulator.until(functools.partial(_is_in, fresh), 30) is None:
            operator.faults.append(f"{fresh.name} was not let in")
        for front in _daemons(simulator, "verge"):
            simulator.kill(front)
            simulator.start(front)
        simulator.run(5)


def outage(simulator, operator):
    """Everything loses power at once, and one disk is lost in it."""
    simulator.run(simulator.draw.uniform(2, 5))
    for name in _daemons(simulator):
        simulator.kill(name)
    simulator.run(simulator.draw.uniform(0.5, 3))
    if simulator.draw.random() < 0.5:
        simulator.wipe(simulator.draw.choice(_daemons(simulator, "accord")))
    for name in _daemons(simulator):
        simulator.start(name)
    _served(simulator, operator, "after a total outage")
    simulator.run(6)


def power(simulator, operator):
    """Slow disks, and power goes everywhere just after promises were made."""
    for _ in range(3):
        for name in _daemons(simulator, "accord"):
            simulator.nodes[name].disk.slow = simulator.draw.choice((20.0, 60.0))
        simulator.run(simulator.draw.uniform(2, 4))
        for name in _daemons(simulator):
            simulator.kill(name)
        simulator.run(0.5)
        for name in _daemons(simulator):
            simulator.start(name)
            if simulator.nodes[name].disk is not None:
                simulator.nodes[name].disk.slow = 1.0
        simulator.run(6)


def forgotten(simulator, operator):
    """One accord lags behind, one loses its disk, and the one that knows all is away."""
    leader = simulator.leader()
    followers = [one for one in _daemons(simulator, "accord") if leader and one != leader.name]
    lagging, losing = simulator.draw.sample(followers, 2)
    simulator.partition([lagging], list(simulator.nodes))
    simulator.run(4)
    simulator.kill(leader.name)
    simulator.kill(losing)
    simulator.wipe(losing)
    simulator.start(losing)
    simulator.heal()
    simulator.run(8)
    simulator.start(leader.name)
    simulator.run(5)


def failing(simulator, operator):
    """Many minions fail half of what they are given while they report themselves well."""
    for name in simulator.draw.sample(_daemons(simulator, "minion"), 4):
        simulator.nodes[name].core.fail_rate = 0.6
    simulator.run(12)


def workers_fail(simulator, operator):
    """Minions crash, are cut off and run on, slow down, stall, fail their work, come back."""
    for _ in range(8):
        name = simulator.draw.choice(_daemons(simulator, "minion"))
        core = simulator.nodes[name].core
        manner = simulator.draw.choice(("crash", "cut", "slow", "freeze", "fail", "one-way"))
        if manner == "crash":
            simulator.kill(name)
            simulator.run(simulator.draw.uniform(0.1, 3))
            simulator.start(name)
        elif manner in ("cut", "one-way"):
            rest = [one for one in simulator.nodes if one != name]
            simulator.partition([name], rest, both=manner == "cut")
        elif manner == "slow":
            core.slow = 10.0
        elif manner == "fail":
            core.fail_rate = 0.7
        else:
            simulator.freeze(name)
        simulator.run(simulator.draw.uniform(0.5, 5))
        simulator.heal()
        if simulator.nodes[name].frozen:
            simulator.thaw(name)
        core.slow, core.fail_rate = 1.0, 0.0
        simulator.run(simulator.draw.uniform(0.2, 2))


def crashes(simulator, operator):
    """Minions die all the time, some just after work ended and before a word of it left."""
    for one in simulator.callers.values():
        one.traffic += (
            (
                "brief",
                6.0,
                {"queue": "urgent", "urgency": 8, "count": 4, "shape": "fan", "units": 1, "seconds": 0.08},
            ),
        )
    for _ in range(60):
        name = simulator.draw.choice(_daemons(simulator, "minion"))
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.05, 0.3))
        simulator.start(name)
        simulator.run(simulator.draw.uniform(0.05, 0.3))


def withdrawn(simulator, operator):
    """Minions are withdrawn at short notice and die when it comes due."""
    for name in simulator.draw.sample(_daemons(simulator, "minion"), 2):
        due = START + simulator.now + simulator.draw.uniform(0.5, 3)
        operator.withdraw(name, due)
        simulator.run(max(0.0, due - START - simulator.now - 0.05))
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(2, 6))


def crowds(simulator, operator):
    """Crowds, large and urgent tickets at once, impossible ones piling up."""
    for one in simulator.callers.values():
        one.rate = 6.0
    impossible = []
    for place in range(10):
        status, answer = simulator.persist(
            "POST",
            "/v1/tickets",
            {
                "queue": "default",
                "urgency": 9,
                "key": f"impossible{place}",
                "tasks": [{"name": "x", "labels": ["unheard-of"]}, {"name": "y", "units": 40}],
            },
        )
        if status in (200, 201):
            impossible.append(answer["ticket"])
    got = []
    large = {
        "queue": "default",
        "urgency": 1,
        "key": "large",
        "tasks": [{"name": f"s{one}", "work": {"seconds": 0.05}} for one in range(400)],
    }
    simulator.call("operator", 0, 1, "POST", "/v1/tickets", large, ("plain", got))
    simulator.run(8)
    for one in simulator.callers.values():
        one.rate = 1.0
    simulator.run(4)
    for pushed_job in impossible:
        if not operator.act(f"/v1/tickets/{pushed_job}/cancel"):
            operator.faults.append(f"impossible {pushed_job} could not be cancelled")


def scattered(simulator, operator):
    """Gangs while room is scattered: little is free, and never much in one place."""
    for one in simulator.callers.values():
        one.traffic = (
            (
                "gang",
                1.5,
                {"queue": "default", "urgency": 4, "count": 3, "shape": "gang", "units": 5, "seconds": 0.6},
            ),
            (
                "job",
                8.0,
                {"queue": "default", "urgency": 4, "count": 2, "shape": "fan", "units": 3, "seconds": 0.7},
            ),
        )
        one.fail = 0.0
    simulator.loss = 0.0
    begun = START + simulator.now
    simulator.run(12)
    simulator.loss = LOSS
    documents = {
        pushed_job: one[2]
        for caller in simulator.callers.values()
        for pushed_job, one in caller.accepted.items()
        if one[1] >= begun
    }
    operator.faults.extend(checks.gangs_together(simulator.worker_history, documents))


def _cancel_running(simulator, operator):
    """Cancels a ticket whose first task has long to run."""
    caller, key = simulator.callers["caller"], f"long-{simulator.now:.3f}"
    caller.retry.append(
        (
            operator.now(),
            key,
            {
                "queue": "default",
                "urgency": 5,
                "key": key,
                "tasks": [{"name": "s0", "work": {"seconds": 10.0}}, {"name": "s1", "after": ["s0"]}],
            },
        )
    )
    simulator.run(1.5)
    for pushed_job, one in caller.accepted.items():
        if one[0] == key:
            simulator._send_client_calls("caller", caller.cancel(pushed_job, operator.now()))


def operators(simulator, operator):
    """Operators race: changes on one version, drains against placing, cancels."""
    draw = simulator.draw
    _cancel_running(simulator, operator)
    for turn in range(8):
        manner = draw.choice(("race", "change", "drain", "empty", "cancel", "cancel"))
        settings = draw.choice(("default", "urgent", "feeds"))
        if manner == "race":
            operator.race([{"queues": {settings: {"limit": 40 + 3 * turn + one}}} for one in range(3)])
        elif manner == "change":
            operator.change({"queues": {settings: {"limit": 40 + turn, "share": draw.randrange(8, 20)}}})
        elif manner == "drain":
            name = draw.choice(_daemons(simulator, "minion"))
            operator.close("minion", name)
            simulator.run(draw.uniform(1, 6))
            operator.open("minion", name)
        elif manner == "empty":
            zone = draw.choice(("a", "b", "c"))
            operator.close("area", zone)
            simulator.run(draw.uniform(2, 9))
            operator.open("area", zone)
        else:
            operator.cancel_some()
        simulator.run(draw.uniform(0.1, 2))


def fronts_restart(simulator, operator):
    """All verges die at once; seeds are swapped."""
    for _ in range(3):
        simulator.run(simulator.draw.uniform(1, 3))
        for name in _daemons(simulator, "verge"):
            simulator.kill(name)
        simulator.seeds = [
            simulator.nodes[one].address for one in simulator.draw.sample(_daemons(simulator), 3)
        ]
        for name in _daemons(simulator, "verge"):
            simulator.start(name)


def foul(simulator, operator):
    """Loss, delay, doubling and reordering on every link."""
    simulator.loss, simulator.delay, simulator.double = 0.05, 0.06, 0.1
    simulator.run(15)


def storm(simulator, operator):
    """One thing after another, on fouler links, while operators work."""
    simulator.loss, simulator.double = 0.01, 0.02
    for _ in range(2):
        for one in simulator.draw.sample(
            (kills, partitions, freezes, disks, workers_fail, operators, clocks), 3
        ):
            one(simulator, operator)
            if simulator.draw.random() < 0.5:
                operator.cancel_some()


def _served(simulator, operator, why, within=12.0):
    """Asks at one verge after another until one answers through a leader."""
    begun = simulator.now
    back = simulator.until(
        lambda: simulator.ask("GET", "/v1/setup", front=simulator.draw.randrange(9), seconds=3.0)[0] == 200,
        30,
    )
    if back is None or simulator.now - begun > within:
        operator.faults.append(f"no service {why} within {within:.0f} s: {simulator.now - begun:.1f} s")


def full(simulator, operator):
    """Disks turn full and are given space again, the leader's among them."""
    for _ in range(4):
        leader = simulator.leader()
        name = (
            leader.name
            if leader and simulator.draw.random() < 0.7
            else simulator.draw.choice(_daemons(simulator, "accord"))
        )
        simulator.nodes[name].disk.full = True
        simulator.run(simulator.draw.uniform(0.5, 6))
        _served(simulator, operator, "with one full disk")
        if simulator.draw.random() < 0.3:
            simulator.kill(name)
            simulator.start(name)
        simulator.nodes[name].disk.full = False
        simulator.run(simulator.draw.uniform(0.5, 3))


def clock_outage(simulator, operator):
    """One clock is wrong by an hour while leaders change, accords restart, all lose power."""
    draw = simulator.draw
    for turn in range(3):
        wrong = draw.choice(_daemons(simulator, "accord"))
        simulator.nodes[wrong].skew = draw.choice((-1, 1)) * 3600.0
        manner = ("leader", "outage", "wrong")[(turn + simulator.seed) % 3]
        leader = simulator.leader()
        names = {
            "outage": _daemons(simulator),
            "wrong": [wrong],
            "leader": [leader.name] if leader else [wrong],
        }[manner]
        for name in names:
            simulator.kill(name)
        simulator.run(draw.uniform(0.2, 2))
        for name in names:
            simulator.start(name)
        _served(simulator, operator, "with one clock wrong")
        simulator.run(draw.uniform(2, 5))
        status, cluster = simulator.ask("GET", "/v1/cohort")
        if status == 200 and abs(cluster["time"] - START - simulator.now) > 1.0:
            operator.faults.append(
                f"cohort time is off by {cluster['time'] - START - simulator.now:.1f} s after {manner}"
            )
        simulator.nodes[wrong].skew = 0.0
        simulator.run(1)


def impossible(simulator, operator):
    """Impossible tickets pile up until they are shed, each with its reason; good work goes on."""
    rejected, made = 0, []
    for place in range(60):
        document = {
            "queue": "default",
            "urgency": 9,
            "key": f"impossible{place}",
            "tasks": [{"name": f"s{one}", "labels": ["unheard-of"]} for one in range(50)],
        }
        status, answer = simulator.ask("POST", "/v1/tickets", document)
        if status == 201:
            made.append(answer["ticket"])
            if "unheard-of" not in answer["parked"]:
                operator.faults.append("an impossible ticket was taken without a word")
        elif status == 429:
            rejected += 1
            if "unheard-of" not in answer["error"]["message"]:
                operator.faults.append(f"an impossible ticket was shed without its reason: {answer}")
    if not rejected or len(made) > 45:
        operator.faults.append(f"{len(made)} impossible tickets were taken, {rejected} shed")
    simulator.run(6)
    for caller in simulator.callers.values():
        if any(one[0] == "shed" for one in caller.history):
            operator.faults.append("good work was shed because of impossible work")
    for pushed_job in made:
        simulator.persist("POST", f"/v1/tickets/{pushed_job}/cancel")


def queue_configuration_storm(simulator, operator):
    """Fifty changes a second, whole and partial, while a leader dies and links are cut."""
    draw = simulator.draw
    simulator.callers["caller"].rate = 3.0  # so that limits bind
    for turn in range(2):
        changes = []
        for _one in range(150):
            settings = {"limit": 8 + draw.randrange(16), "share": draw.randrange(4, 8)}
            queue = draw.choice(("default", "urgent", "feeds"))
            if draw.random() < 0.2:
                complete = {name: {**value} for name, value in simulator.setup["queues"].items()}
                complete[queue].update(settings)
                changes.append(("whole", {"queues": complete}))
            else:
                changes.append(("merge", {"queues": {queue: settings}}))
        leader = simulator.leader()
        if leader is not None and (turn or draw.random() < 0.5):
            rest = [one for one in _daemons(simulator) if one != leader.name]
            if draw.random() < 0.5:
                simulator.kill(leader.name)
            else:
                simulator.partition([leader.name], rest)
        statuses = operator.storm(changes, 50)
        simulator.heal()
        if leader is not None and leader.core is None:
            simulator.start(leader.name)
        if statuses.count(200) < 30:
            operator.faults.append(f"of {len(changes)} changes {statuses.count(200)} were acknowledged")
        simulator.run(3)
    simulator.run(2)


def large_queue_configuration(simulator, operator):
    """A setup of hundreds of rows comes and is changed by cells, races and a kill between."""
    draw = simulator.draw
    queue_settings = {
        **simulator.setup["queues"],
        **{f"q{one:04d}": {"share": 0, "limit": 10} for one in range(600)},
    }
    operator.change({"queues": queue_settings}, "whole")
    for turn in range(5):
        queue = f"q{draw.randrange(600):04d}"
        operator.change({"queues": {queue: {"limit": 20 + turn}, "default": {"limit": 40 + turn}}})
        operator.race([{"queues": {queue: {"limit": 50 + 3 * turn + one}}} for one in range(3)])
        leader = simulator.leader()
        if leader is not None and draw.random() < 0.4:
            simulator.kill(leader.name)
            simulator.run(draw.uniform(0.5, 2))
            simulator.start(leader.name)
        simulator.run(draw.uniform(0.2, 1))


def crowds_ten(simulator, operator):
    """Ten times the traffic against a small bound: shed at once, come back, nothing lost,
    urgent work hardly later."""
    operator.change({"queues": {"default": {"pending": 60}}})
    begun = operator.now()
    simulator.callers["caller"].rate = 10.0
    simulator.run(8)
    simulator.callers["caller"].rate = 1.0
    caller = simulator.callers["caller"]
    rejected = [one for one in caller.history if one[0] == "shed"]
    if not rejected:
        operator.faults.append("ten times the traffic shed nothing")
    if any(one[3] > 1.0 for one in rejected):
        operator.faults.append(f"a ticket was shed only after {max(one[3] for one in rejected):.1f} s")
    simulator.run(6)
    first = {}
    for event in simulator.worker_history:
        if event[0] == "start":
            first.setdefault(event[4].partition("/")[0], event[1])
    late = sorted(
        first.get(pushed_job, operator.now()) - accepted
        for pushed_job, (_, accepted, document) in caller.accepted.items()
        if document["queue"] == "urgent" and accepted > begun
    )
    if len(late) > 10 and late[len(late) // 2] > 1.0:
        operator.faults.append(f"urgent work started {late[len(late) // 2]:.1f} s late in the median")
    leader = simulator.leader()
    if leader is not None and leader.core.cluster_state.waiting_counts.get("default", 0) > 60 + 40:
        operator.faults.append(
            f"{leader.core.cluster_state.waiting_counts['default']} tasks wait, over the bound"
        )


def final(simulator, operator):
    """A day of changes ends with a fault; then only a restart, and everything is read back."""
    for turn in range(3):
        operator.change({"queues": {"default": {"limit": 40 + turn}}})
    manner = ("power", "wiped", "frozen", "cut", "full", "clocks", "verges")[simulator.seed % 7]
    control_daemons, fronts = _daemons(simulator, "accord"), _daemons(simulator, "verge")
    if manner == "frozen":
        for name in control_daemons:
            simulator.freeze(name)
    elif manner == "cut":
        simulator.partition(control_daemons, control_daemons)
    elif manner == "full":
        for name in control_daemons:
            simulator.nodes[name].disk.full = True
    elif manner == "clocks":
        for name in simulator.draw.sample(control_daemons, (len(control_daemons) - 1) // 2):
            simulator.nodes[name].skew = simulator.draw.choice((-1, 1)) * 600.0
    simulator.run(simulator.draw.uniform(0.5, 4))
    simulator.heal()
    for name in fronts if manner == "verges" else control_daemons + fronts:
        simulator.kill(name)
        if simulator.nodes[name].disk is not None:
            simulator.nodes[name].disk.full = False
    if manner == "wiped":
        simulator.wipe(simulator.draw.choice(control_daemons))
    for name in control_daemons + fronts:
        if simulator.nodes[name].core is None:
            simulator.start(name)
    _served(simulator, operator, f"after a day that ended with {manner}")


def cancel_during_partition(simulator, operator):
    """Tickets are cancelled while the minions that run them are cut off, frozen or gone."""
    draw = simulator.draw
    for turn in range(3):
        key, caller = f"long-{turn}", simulator.callers["caller"]
        caller.retry.append(
            (
                operator.now(),
                key,
                {
                    "queue": "default",
                    "urgency": 5,
                    "key": key,
                    "tasks": [{"name": f"s{one}", "work": {"seconds": 20.0}} for one in range(4)],
                },
            )
        )
        simulator.run(1.5)
        pushed_job = next((pushed_job for pushed_job, one in caller.accepted.items() if one[0] == key), None)
        runs = [
            event[2]
            for event in simulator.worker_history
            if event[0] == "start" and event[4].partition("/")[0] == pushed_job
        ]
        if not runs:
            continue
        name = draw.choice(runs)
        if draw.random() < 0.5:
            simulator.partition([name], list(simulator.nodes))
        else:
            simulator.freeze(name)
        simulator._send_client_calls("caller", caller.cancel(pushed_job, operator.now()))
        simulator.run(draw.uniform(1, 6))
        simulator.heal()
        if simulator.nodes[name].frozen:
            simulator.thaw(name)
        simulator.run(draw.uniform(2, 6))


# The registry of weathers.
FAULT_SCENARIOS = {
    "calm": calm,
    "kills": kills,
    "leaders-fall": leaders_fall,
    "cuts": partitions,
    "areas-fall": zones_fall,
    "freezes": freezes,
    "clocks": clocks,
    "disks": disks,
    "wiped": wiped,
    "replaced": replaced,
    "outage": outage,
    "power": power,
    "forgotten": forgotten,
    "failing": failing,
    "minions-fail": workers_fail,
    "crashes": crashes,
    "withdrawn": withdrawn,
    "crowds": crowds,
    "scattered": scattered,
    "operators": operators,
    "verges-restart": fronts_restart,
    "foul": foul,
    "storm": storm,
    "full": full,
    "clock-outage": clock_outage,
    "impossible": impossible,
    "setup-storm": queue_configuration_storm,
    "large-setup": large_queue_configuration,
    "crowds-ten": crowds_ten,
    "final": final,
    "cancel-cut": cancel_during_partition,
}
