"""Trials: a weather of failures over a simulated fleet under traffic, then every check.

A weather is a function of (simulator, operator); the registry at the end names them. A
trial is replayed by its weather and seed.
"""

import json
import multiprocessing
import os
import sys
import time
import traceback

from . import checks, plants
from .simulator import LOSS, START, Simulator

TRAFFIC = (
    ("job", 3.0, {"queue": "default", "urgency": 4, "count": 4, "shape": "fan", "units": 1, "seconds": 0.3}),
    ("chain", 1.0, {"queue": "default", "urgency": 5, "count": 3, "shape": "chain", "units": 2, "seconds": 0.2}),
    ("urgent", 0.5, {"queue": "urgent", "urgency": 8, "count": 2, "shape": "chain", "units": 2, "seconds": 0.3}),
    ("gang", 0.3, {"queue": "default", "urgency": 4, "count": 3, "shape": "gang", "units": 2, "seconds": 0.5}),
    ("waves", 0.3, {"queue": "default", "urgency": 3, "count": 4, "shape": "waves", "units": 1, "seconds": 0.3}),
    ("feed", 0.1, {"queue": "feeds", "urgency": 6, "count": 1, "shape": "feed", "units": 1, "seconds": 6.0}),
)


class Operator:
    """A stand-in operator whose every acknowledged act is kept for the checks."""

    def __init__(self, simulator):
        self.simulator = simulator
        self.changes = []  # (when acknowledged, version, document, base)
        self.spans = []  # (kind, subject, from, to or None)
        self.refused = []  # reasons of changes that were refused
        self.count = 0
        self.faults = []

    def now(self):
        return START + self.simulator.now

    def act(self, target, document=None):
        status, _ = self.simulator.persist("POST", target, document)
        return status == 200

    def close(self, kind, subject):
        """Drains a minion or empties an area."""
        target = f"/v1/minions/{subject}/drain" if kind == "minion" else f"/v1/areas/{subject}/empty"
        if self.act(target):
            self.spans.append([kind, subject, self.now(), None])

    def open(self, kind, subject):
        target = f"/v1/minions/{subject}/undrain" if kind == "minion" else f"/v1/areas/{subject}/take-back"
        begun = self.now()
        if self.act(target):
            for span in self.spans:
                if span[0] == kind and span[1] == subject and span[3] is None:
                    span[3] = begun

    def withdraw(self, minion, due):
        if self.act(f"/v1/minions/{minion}/withdraw", {"due": due}):
            self.spans.append(["minion", minion, self.now(), None])

    def read_setup(self):
        status, document = self.simulator.persist("GET", "/v1/setup")
        if status == 200:
            newest = max([one[1] for one in self.changes], default=0)
            if document["version"] < newest:
                self.faults.append(f"read version {document['version']} after {newest} was acknowledged")
        return status, document

    def reason(self):
        """A reason no other change gives, so that the history tells which one it holds."""
        self.count += 1
        return f"change {self.count}"

    def change(self, patch):
        """One change on the version in force; kept if acknowledged."""
        status, before = self.read_setup()
        if status != 200:
            return
        base, reason = before["version"], self.reason()
        status, answer = self.simulator.persist(
            "PATCH", "/v1/setup", patch, {"if-match": f'"{base}"', "x-reason": reason})
        if status == 200:
            self.changes.append((self.now(), answer["version"], patch, base, reason))
            self.in_force(answer["version"])

    def in_force(self, version, within=2.0):
        """Whether every connected verge learns of an acknowledged change in time."""
        verges = [node for node in self.simulator.nodes.values() if node.kind == "verge"]
        if self.simulator.cuts or any(node.core is None or node.frozen for node in verges):
            return
        if self.simulator.until(lambda: all((node.core.body or {}).get("setup_version", 0) >= version
                                            for node in verges if node.core is not None), within, 0.05) is None:
            self.faults.append(f"version {version} was not in force at every verge within {within} s")

    def race(self, patches):
        """Several changes on one version at once, at different verges."""
        status, before = self.read_setup()
        if status != 200:
            return
        base, answers = before["version"], []
        for place, patch in enumerate(patches):
            reason, got = self.reason(), []
            self.simulator.call("operator", 0, place, "PATCH", "/v1/setup", patch, ("plain", got),
                                headers={"if-match": f'"{base}"', "x-reason": reason})
            answers.append((got, patch, reason))
        self.simulator.until(lambda: all(got for got, _, _ in answers), 10)
        won = [one for one in answers if one[0] and one[0][0][1] == 200]
        if len(won) > 1:
            self.faults.append(f"{len(won)} changes built on version {base} were accepted")
        for got, patch, reason in won:
            self.changes.append((got[0][0], got[0][2]["version"], patch, base, reason))
        self.refused.extend(reason for got, _, reason in answers if got and got[0][1] in (409, 422))

    def cancel_some(self):
        """Cancels a ticket that some caller has open."""
        for name, caller in self.simulator.callers.items():
            if caller.open:
                ticket = self.simulator.draw.choice(sorted(caller.open))
                self.simulator._caller_calls(name, caller.cancel(ticket, self.now()))

    def check(self):
        """Faults in what was acknowledged: closed minions and areas, and setups."""
        faults = list(self.faults)
        areas = {name: node.area for name, node in self.simulator.nodes.items()}
        for kind, subject, begun, ended in self.spans:
            grace = 2.0 if kind == "minion" else 5.0
            for event in self.simulator.minion_history:
                if event[0] != "start" or not begun + grace < event[1] < (ended or 1e18):
                    continue
                if subject == (event[2] if kind == "minion" else areas[event[2]]):
                    faults.append(f"{event[4]} started on {event[2]} {event[1] - begun:.1f} s after {subject} closed")
        status, history = self.simulator.persist("GET", "/v1/setup/versions")
        if status != 200:
            return [*faults, "the setup history could not be read at day's end"]
        held = {one["version"]: one for one in history["setups"]}
        for version, one in held.items():
            if one["why"] in self.refused:
                faults.append(f"version {version} is a change that was refused")
        for when, version, patch, base, reason in self.changes:
            if version not in held or held[version]["base"] != base or held[version]["why"] != reason:
                faults.append(f"acknowledged version {version} is missing at day's end")
                continue
            status, document = self.simulator.persist("GET", f"/v1/setup/versions/{version}")
            for queue, row in patch["queues"].items():
                for column, value in row.items():
                    if document["setup"]["queues"][queue][column] != value:
                        faults.append(f"version {version} lacks its own change")
        return faults


# --- weathers ------------------------------------------------------------------------
def calm(simulator, operator):
    simulator.run(15)


def _daemons(simulator, kind=None):
    return [name for name, node in simulator.nodes.items()
            if node.kind in ((kind,) if kind else ("accord", "verge"))]


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


def cuts(simulator, operator):
    """Partitions: halves, single machines, one-way, around the leader."""
    for _ in range(6):
        daemons = _daemons(simulator)
        manner = simulator.draw.choice(("halves", "alone", "one-way", "leader", "leader-deaf"))
        leader = simulator.leader()
        if manner == "halves":
            part = [one for one in daemons if simulator.draw.random() < 0.5]
            simulator.cut(part, [one for one in daemons if one not in part])
        elif manner in ("leader", "leader-deaf") and leader is not None:
            rest = [one for one in daemons if one != leader.name]
            if manner == "leader":
                simulator.cut([leader.name], rest)
            else:
                simulator.cut(rest, [leader.name], both=False)
        else:
            name = simulator.draw.choice(list(simulator.nodes))
            rest = [one for one in simulator.nodes if one != name]
            simulator.cut([name], rest, both=manner == "alone")
        simulator.run(simulator.draw.uniform(0.5, 5))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.2, 3))


def areas_fall(simulator, operator):
    """A whole area goes, the leader's among them, and comes back."""
    for _ in range(3):
        leader = simulator.leader()
        areas = sorted({node.area for node in simulator.nodes.values()})
        area = leader.area if leader and simulator.draw.random() < 0.6 else simulator.draw.choice(areas)
        names = [name for name, node in simulator.nodes.items() if node.area == area]
        for name in names:
            if simulator.nodes[name].kind != "minion":
                simulator.kill(name)
        simulator.cut([name for name in names if simulator.nodes[name].kind == "minion"], list(simulator.nodes))
        simulator.run(simulator.draw.uniform(3, 6))
        back = simulator.until(lambda: simulator.ask("GET", "/v1/setup", verge=simulator.draw.randrange(9))[0] == 200, 12)
        if back is None:
            operator.faults.append(f"no service without area {area}")
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
        name = leader.name if leader and simulator.draw.random() < 0.6 else simulator.draw.choice(
            _daemons(simulator, "accord"))
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


def wiped(simulator, operator):
    """One accord loses its disk and comes back empty at its address, then another."""
    for _ in range(2):
        name = simulator.draw.choice(_daemons(simulator, "accord"))
        simulator.kill(name)
        simulator.wipe(name)
        simulator.run(simulator.draw.uniform(0.1, 3))
        simulator.start(name)
        joined = simulator.until(lambda: simulator.nodes[name].core.consensus is not None and not
                                 simulator.nodes[name].core.consensus.cohort.coming and simulator.nodes[name]
                                 .core.identity in simulator.nodes[name].core.consensus.cohort.members(), 30)
        if joined is None:
            operator.faults.append(f"{name} came back empty and was not let in")
        simulator.run(4)


def replaced(simulator, operator):
    """An accord dies for good; an empty one at a new address takes its place; twice.
    Seeds of later daemons name the new machines."""
    for turn in range(2):
        name = simulator.draw.choice([one for one in _daemons(simulator, "accord")
                                      if simulator.nodes[one].core is not None])
        old = simulator.nodes[name]
        simulator.kill(name)
        simulator.run(simulator.draw.uniform(0.5, 4))
        fresh = simulator.add(f"fresh{turn}", "accord", old.area)
        live = [node.address for node in simulator.nodes.values() if node.kind != "minion" and node.core is not None]
        simulator.seeds = [fresh.address, *simulator.draw.sample(live, 2)]
        simulator.start(fresh.name)
        old.kind = "retired"
        joined = simulator.until(lambda: fresh.core.consensus is not None
                                 and fresh.core.identity in fresh.core.consensus.cohort.members()
                                 and old.core is None, 30)
        if joined is None:
            operator.faults.append(f"{fresh.name} was not let in")
        for verge in _daemons(simulator, "verge"):
            simulator.kill(verge)
            simulator.start(verge)
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
    begun = simulator.now
    back = simulator.until(lambda: simulator.ask("GET", "/v1/setup", verge=simulator.draw.randrange(9))[0] == 200, 30)
    if back is None or simulator.now - begun > 12:
        operator.faults.append(f"service was back only after {simulator.now - begun:.1f} s")
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
    simulator.cut([lagging], list(simulator.nodes))
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


def minions_fail(simulator, operator):
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
            simulator.cut([name], rest, both=manner == "cut")
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
        one.traffic += (("brief", 6.0, {"queue": "urgent", "urgency": 8, "count": 4, "shape": "fan", "units": 1,
                                        "seconds": 0.08}),)
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
        status, answer = simulator.persist("POST", "/v1/tickets", {
            "queue": "default", "urgency": 9, "key": f"impossible{place}",
            "tasks": [{"name": "x", "labels": ["unheard-of"]}, {"name": "y", "units": 40}]})
        if status in (200, 201):
            impossible.append(answer["ticket"])
    got = []
    large = {"queue": "default", "urgency": 1, "key": "large", "tasks": [
        {"name": f"s{one}", "work": {"seconds": 0.05}} for one in range(400)]}
    simulator.call("operator", 0, 1, "POST", "/v1/tickets", large, ("plain", got))
    simulator.run(8)
    for one in simulator.callers.values():
        one.rate = 1.0
    simulator.run(4)
    for ticket in impossible:
        if not operator.act(f"/v1/tickets/{ticket}/cancel"):
            operator.faults.append(f"impossible {ticket} could not be cancelled")


def scattered(simulator, operator):
    """Gangs while room is scattered: little is free, and never much in one place."""
    for one in simulator.callers.values():
        one.traffic = (
            ("gang", 1.5, {"queue": "default", "urgency": 4, "count": 3, "shape": "gang", "units": 5, "seconds": 0.6}),
            ("job", 8.0, {"queue": "default", "urgency": 4, "count": 2, "shape": "fan", "units": 3, "seconds": 0.7}))
        one.fail = 0.0
    simulator.loss = 0.0
    begun = START + simulator.now
    simulator.run(12)
    simulator.loss = LOSS
    documents = {ticket: one[2] for caller in simulator.callers.values()
                 for ticket, one in caller.accepted.items() if one[1] >= begun}
    operator.faults.extend(checks.gangs_together(simulator.minion_history, documents))


def _cancel_running(simulator, operator):
    """Cancels a ticket whose first task has long to run."""
    caller, key = simulator.callers["caller"], f"long-{simulator.now:.3f}"
    caller.retry.append((operator.now(), key, {"queue": "default", "urgency": 5, "key": key, "tasks": [
        {"name": "s0", "work": {"seconds": 10.0}}, {"name": "s1", "after": ["s0"]}]}))
    simulator.run(1.5)
    for ticket, one in caller.accepted.items():
        if one[0] == key:
            simulator._caller_calls("caller", caller.cancel(ticket, operator.now()))


def operators(simulator, operator):
    """Operators race: changes on one version, drains against placing, cancels."""
    draw = simulator.draw
    _cancel_running(simulator, operator)
    for turn in range(8):
        manner = draw.choice(("race", "change", "drain", "empty", "cancel", "cancel"))
        row = draw.choice(("default", "urgent", "feeds"))
        if manner == "race":
            operator.race([{"queues": {row: {"limit": 40 + 3 * turn + one}}} for one in range(3)])
        elif manner == "change":
            operator.change({"queues": {row: {"limit": 40 + turn, "share": draw.randrange(8, 20)}}})
        elif manner == "drain":
            name = draw.choice(_daemons(simulator, "minion"))
            operator.close("minion", name)
            simulator.run(draw.uniform(1, 6))
            operator.open("minion", name)
        elif manner == "empty":
            area = draw.choice(("a", "b", "c"))
            operator.close("area", area)
            simulator.run(draw.uniform(2, 9))
            operator.open("area", area)
        else:
            operator.cancel_some()
        simulator.run(draw.uniform(0.1, 2))


def verges_restart(simulator, operator):
    """All verges die at once; seeds are swapped."""
    for _ in range(3):
        simulator.run(simulator.draw.uniform(1, 3))
        for name in _daemons(simulator, "verge"):
            simulator.kill(name)
        simulator.seeds = [simulator.nodes[one].address for one in simulator.draw.sample(_daemons(simulator), 3)]
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
        for one in simulator.draw.sample((kills, cuts, freezes, disks, minions_fail, operators, clocks), 3):
            one(simulator, operator)
            if simulator.draw.random() < 0.5:
                operator.cancel_some()


# The registry of weathers.
WEATHERS = {
    "calm": calm, "kills": kills, "leaders-fall": leaders_fall, "cuts": cuts, "areas-fall": areas_fall,
    "freezes": freezes, "clocks": clocks, "disks": disks, "wiped": wiped, "replaced": replaced,
    "outage": outage, "power": power, "forgotten": forgotten, "failing": failing,
    "minions-fail": minions_fail, "crashes": crashes, "withdrawn": withdrawn, "crowds": crowds, "scattered": scattered,
    "operators": operators, "verges-restart": verges_restart, "foul": foul, "storm": storm,
}
# The fleets a trial may run on: like each deployment of the brief, only smaller.
FLEETS = {
    "three": {"accords": ("a", "b", "c"), "minions": (("m", 6, 8, (), True),), "founders": 3},
    "five": {"accords": ("a", "a", "b", "c", "d"), "verges": ("a", "b", "c", "d"), "areas": ("a", "b", "c", "d"),
             "minions": (("m", 8, 8, (), True),), "founders": 5},
    "nine": {"accords": ("a", "a", "a", "b", "b", "b", "c", "c", "c"), "minions": (("m", 6, 8, (), True),),
             "founders": 9},
    "bare": {"accords": ("a", "b", "c"), "minions": (("m", 6, 8, (), False),), "founders": 3},
}

IN_TURN = ("three", "five", "bare")  # "nine" is for dynamic mode, whose groups need three


def trial(weather, seed, fleet="three", mode="static", plant=""):
    """(faults, simulator) of one trial, with a planted fault if one is named."""
    with plants.planted(plant):
        return _trial(weather, seed, fleet, mode)


def _trial(weather, seed, fleet, mode):
    simulator = Simulator(seed, mode=mode, **FLEETS[fleet])
    operator = Operator(simulator)
    faults = []
    try:
        simulator.begin()
        simulator.caller("caller", TRAFFIC)
        simulator.run(2)
        WEATHERS[weather](simulator, operator)
        if not simulator.finish():
            waiting = sorted({one for caller in simulator.callers.values() for one in caller.open})
            faults.append(f"never quiet again; open: {waiting[:5]}")
        simulator.run(3)
        faults.extend(operator.check())
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    documents, history = {}, []
    for caller in simulator.callers.values():
        documents.update({ticket: one[2] for ticket, one in caller.accepted.items()})
        history.extend(caller.history)
    faults.extend(checks.all_checks(history, simulator.minion_history, documents, simulator.setup["queues"], simulator.rooms))
    faults.extend(simulator.agreement())
    if not documents:
        faults.append("no ticket was accepted")
    return faults, simulator


def _one(arguments):
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def many(work):
    """Yields (arguments, faults, virtual seconds) of trials run on all cores."""
    with multiprocessing.Pool(os.cpu_count()) as pool:
        yield from pool.imap_unordered(_one, work)


def replay(weather, seed, fleet, mode, plant):
    """The command that runs one trial again."""
    more = f" --plant={plant}" if plant else ""
    return f"pinepitch trials --weather={weather} --first={seed} --seeds=1 --fleet={fleet} --mode={mode}{more}"


def trials(weather="all", seeds=20, first=0, fleet="all", mode="static", plant=""):
    """Runs trials over many seeds and prints how to replay each that fails.

    Args:
        weather: a name, several parted by commas, or all.
        seeds: how many seeds of each.
        first: the first seed.
        fleet: three, five, bare, nine (for dynamic mode) or all (the first three in turn).
        mode: quorum mode, static or dynamic.
        plant: a planted fault, to see the checks find it.
    """
    names = list(WEATHERS) if weather == "all" else weather.split(",") if isinstance(weather, str) else list(weather)
    work = [(name, seed, IN_TURN[seed % len(IN_TURN)] if fleet == "all" else fleet, mode, plant)
            for name in names for seed in range(first, first + seeds)]
    begun, failed, virtual = time.monotonic(), 0, 0.0
    for (name, seed, on, _, _), faults, seconds in many(work):
        virtual += seconds
        if faults:
            failed += 1
            print(replay(name, seed, on, mode, plant))
            print("   " + "\n   ".join(faults[:4]), flush=True)
    print(json.dumps({"trials": len(work), "failed": failed, "virtual_seconds": round(virtual),
                      "seconds": round(time.monotonic() - begun, 1)}))
    if failed:
        sys.exit(1)
