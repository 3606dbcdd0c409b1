"""Trials of jobs under holds: a fleet of stand-in tenants, callers and an operator under a
weather of failures, then checks of what they saw. A trial is replayed by its weather and seed.
"""

import contextlib
import functools
import itertools
import json
import multiprocessing
import random
import sys
import time as clocks
import traceback
from unittest import mock

from ..accord.consensus import Consensus
from ..accord.lead import Lead
from ..ground import constants
from ..tenure.assigner import Assigner
from ..tenure.board import Board
from ..tenure.configuration import Configuration
from ..tenure.keeper import Keeper
from ..tenure.worker import Worker
from . import simulator as simulators
from .simulator import START, Simulator
from .tenant import STOP_GRACE, StandInTenant

HOST = "jobs.example"
BEAT_PATIENCE = 0.8  # seconds; a daemon seeks an answer to a beat this long
TIMEOUT = 3.0  # seconds; a caller waits this long for an answer
READ_EVERY = 0.7  # seconds; between two looks at a job
ROOM = (4000, 8192, 1)  # of one tenant: thousandths of a core, megabytes, accelerators
TENANTS = 8  # half of them guard their room
ATTEMPTS = 3  # runs of a task that may fail
EARLY = 0.1  # seconds; a timed task may start so much before it is due
IN_FLIGHT = 1.1  # seconds; an answer sent before a change may start something this long after it
HELD_ON = 5.0 / 0.98 + 0.1  # seconds; the longest hold on the slowest clock, and a tick
SERVED_WITHIN = 8.0  # seconds; until jobs are taken again while most accords run
ENDS_WITHIN = 90.0  # seconds; until every job has ended once faults stop
FINAL = ("completed", "failed", "cancelled")
PROCESSES = 2  # that run trials side by side
THREE, FIVE = ("a", "b", "c"), ("a", "a", "b", "c", "c")  # areas of a fleet's accords


def step_of(count, seconds, cpu, fail=0.0, **more):
    """(step as it is handed in, what the spec says of it)."""
    told = {"count": count, "cpu": cpu, "mem_mb": 256, "est_ms": int(seconds * 1000), **more}
    what = {
        "seconds": seconds,
        "fail": fail,
        "gang": count if more.get("gang") else 0,
        "room": [cpu, 256, more.get("gpu", 0)],
        "saves": bool(more.get("saves")),
        "lasts": bool(more.get("lasts")),
    }
    return told, what


# kind -> (jobs each second, its steps)
KINDS = {
    "fan": (0.8, lambda: [step_of(6, 0.5, 700)]),
    "chain": (
        0.4,
        lambda: [step_of(2, 0.4, 500), step_of(3, 0.3, 400, after=[0]), step_of(1, 0.3, 900, after=[0, 1])],
    ),
    "gang": (0.3, lambda: [step_of(3, 1.0, 1200, gang=True, saves=True), step_of(1, 0.2, 300, after=[0])]),
    "saves": (0.25, lambda: [step_of(2, 4.0, 1000, saves=True)]),
    "failing": (0.3, lambda: [step_of(3, 0.4, 400, fail=0.4)]),
    "apart": (0.2, lambda: [step_of(3, 0.6, 300, apart=1, gpu=1)]),
    "named": (0.2, lambda: [step_of(2, 0.5, 500, needs="b", near="r1-1")]),
    "timed": (0.15, lambda: [step_of(2, 0.4, 300), step_of(1, 0.3, 300, after=[0])]),
    "lasting": (0.08, lambda: [step_of(2, 1.0, 400, fail=0.3, lasts=True)]),
}


class Patron:
    """A stand-in caller of jobs, a decider: it sends the same job again until it is clearly
    answered, reads the state of what was accepted until it is final and once more, and cancels
    some. Invariant: the history is only added to. Effects: ("call", draw, call, arguments, tag)."""

    def __init__(self, seed):
        self.random = random.Random(f"patron-{seed}")
        self.jobs = {}  # identity -> its standing, a dict
        self.history = []  # ("read", sent, answered, identity, status, state)
        self.faults = []
        self.stopped = False
        self.rate = 1.0
        self.open, self.retry, self.under_way = {}, [], {}

    def step(self, message, now):
        kind, *rest = message
        return getattr(self, f"_on_{kind}")(*rest, now)

    def _on_tick(self, now):
        effects = []
        if not self.stopped:
            for kind, (rate, _) in KINDS.items():
                if self.random.random() < rate * self.rate * 0.05:
                    self._make(kind, now)
        for job in self.jobs.values():
            if job["out"] or now < job["next_at"]:
                continue
            call = self._due(job, now)
            if call is not None:
                job["out"] = True
                arguments = (HOST, job["path"], job["document"]) if call == "job" else (HOST, job["path"])
                effects.append(
                    ("call", self.random.randrange(100), call, arguments, (job["identity"], call, now))
                )
        return effects

    def _due(self, job, now):
        """What is to be asked about a job now, or None."""
        if job["refused"] is not None:
            return None
        if job["accepted"] is None:
            return "job"
        if job["final"] is not None:
            return "job-read" if job["looks"] > 0 else None
        cancels = (
            job["cancel_at"] is not None
            and now >= job["cancel_at"]
            or self.stopped
            and job["kind"] == "lasting"
        )
        if cancels and job["cancelled"] is None:
            job["cancel_sent"] = job["cancel_sent"] or now
            return "job-cancel"
        return "job-read"

    def _make(self, kind, now):
        identity = f"{self.random.randrange(16**16):016x}"
        steps = KINDS[kind][1]()
        queue = self.random.choice(("held", "bare"))
        spec = json.dumps({"steps": [what for _, what in steps], "job": identity[:4]})
        document = {"spec": spec, "steps": [told for told, _ in steps]}
        if kind == "timed":
            document.update(first_ms=(now + self.random.uniform(0.5, 3)) * 1000, every_ms=1200, times=3)
        cancels = kind == "lasting" or self.random.random() < 0.12
        self.jobs[identity] = {
            "identity": identity,
            "kind": kind,
            "queue": queue,
            "path": f"/{queue}/{identity}",
            "document": document,
            "sent": now,
            "unclear": False,
            "accepted": None,
            "refused": None,
            "final": None,
            "looks": 2,
            "cancel_at": now + self.random.uniform(0.5, 12) if cancels else None,
            "cancel_sent": None,
            "cancelled": None,
            "out": False,
            "next_at": now,
            "keen": self.random.random() < 0.6,
        }

    def _on_answered(self, tag, status, document, now):
        identity, call, sent = tag
        job = self.jobs[identity]
        job["out"], job["next_at"] = False, now + READ_EVERY * self.random.uniform(0.7, 1.3)
        {"job": self._submitted, "job-read": self._read, "job-cancel": self._cancelled}[call](
            job, sent, status, document or {}, now
        )
        return []

    def _submitted(self, job, sent, status, document, now):
        if status == 200:
            job["accepted"] = now
        elif status in (429, 503):
            if not job["keen"] and not job["unclear"]:
                job["refused"] = now
        elif status in (0, 504):
            job["unclear"] = True
        else:
            job["refused"] = now
            self.faults.append(f"{job['identity']} was refused with {status}: {document}")

    def _read(self, job, sent, status, document, now):
        state = document.get("state")
        self.history.append(("read", sent, now, job["identity"], status, state))
        if status == 200 and state in FINAL:
            if job["final"] is None:
                job["final"] = (state, now)
            else:
                job["looks"] -= 1

    def _cancelled(self, job, sent, status, document, now):
        if status == 200:
            self.history.append(("read", sent, now, job["identity"], status, document.get("state")))
            if document.get("state") == "cancelled":
                job["cancelled"] = now
            elif document.get("state") in FINAL:
                job["cancel_at"] = None
        elif status not in (0, 429, 503, 504):
            self.faults.append(f"the cancel of {job['identity']} was answered {status}")

    def quiet(self):
        return all(
            job["refused"] is not None or job["final"] is not None and job["looks"] <= 0
            for job in self.jobs.values()
        )


class Governor:
    """A stand-in operator. Invariants: every change bears a version of its own; documents tells
    what is in force under each version if it is; spans holds acknowledged evacuations as [zone,
    acknowledged, taken back or None]."""

    def __init__(self, simulator):
        self.simulator = simulator
        self.version = 3
        self.changes, self.documents, self.spans, self.faults = [], {}, [], []
        self.reads = []  # (sent, answered, version)

    def now(self):
        return START + self.simulator.now

    def found(self):
        """The first configuration, sent until it is taken."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "service": name,
                "timeout_ms": 4000,
                "attempts": ATTEMPTS,
                "priority": 1,
                "stretch": 3,
                "aim_ms": 500,
            }
            for name in ("held", "bare")
        ]
        document = {
            "version": 3,
            "routes": routes,
            "limits": {"anything": 1},
            "services": [{"name": "held", "guards": True}, {"name": "bare", "guards": False}],
        }
        change = self._send("configure", 0, document, (0, document))
        if self.simulator.until(lambda: change["decided"] is not None, 30, 0.02) is None:
            raise AssertionError("the first configuration was not taken within 30 s")

    def _send(self, call, base, document, arguments):
        change = {
            "base": base,
            "version": document["version"],
            "sent": self.now(),
            "decided": None,
            "status": None,
        }
        self.changes.append(change)
        self.documents[document["version"]] = document

        def decided(status, told):
            change["decided"], change["status"] = self.now(), status
            if status == 200 and told["version"] != change["version"]:
                self.faults.append(f"version {change['version']} was acknowledged as {told['version']}")
            elif status not in (200, 412):
                self.faults.append(f"version {change['version']} was answered {status}: {told}")

        self.simulator.persist_call("accord", call, arguments, decided, 20.0)
        return change

    def read(self, seconds=20.0):
        """The configuration as it is read now, or None."""
        got = []
        sent = self.now()

        def told(status, document):
            got.append(document if status == 200 else None)
            if status == 200:
                self.reads.append((sent, self.now(), document["version"]))

        self.simulator.persist_call("accord", "configuration", (), told, seconds)
        self.simulator.until(lambda: got, seconds + TIMEOUT, 0.02)
        return got[0] if got else None

    def race(self):
        """Two changes on one version, a whole one and named items, at the same time."""
        before = self.read()
        if before is None:
            return
        base, made = before["version"], []
        for one in range(2):
            self.version = max(self.version, base) + 2 + one
            route = {
                **before["routes"][0],
                "name": f"extra{self.version}",
                "prefix": f"/extra{self.version}/",
            }
            document = {**before, "version": self.version, "routes": [*before["routes"], route]}
            if one:
                made.append(("amend", document, (base, self.version, {"routes": [route]}, {})))
            else:
                made.append(("configure", document, (base, document)))
        for call, document, arguments in made:
            self._send(call, base, document, arguments)

    def evacuate(self, zone):
        span = [zone, None, None]

        def decided(status, told):
            if status == 200:
                span[1] = self.now()
                self.spans.append(span)

        self.simulator.persist_call("accord", "evacuate", (zone, True), decided, 6.0)
        return span

    def restore(self, span):
        span[2] = self.now()
        self.simulator.persist_call("accord", "evacuate", (span[0], False), lambda status, told: None, 30.0)

    def check(self):
        """Faults in what was acknowledged, read back now, at the end of the day."""
        faults, bases = list(self.faults), {}
        held = self.read()
        if held is None:
            return [*faults, "the configuration was not read back"]
        acknowledged = [one for one in self.changes if one["status"] == 200]
        for one in acknowledged:
            if bases.setdefault(one["base"], one["version"]) != one["version"]:
                faults.append(
                    f"versions {bases[one['base']]} and {one['version']} on {one['base']} were both acknowledged"
                )
        if held["version"] < max(one["version"] for one in acknowledged):
            faults.append(f"version {held['version']} was read back, older than what was acknowledged")
        if held != self.documents.get(held["version"]):
            faults.append(f"version {held['version']} was read back other than it was sent")
        refused = {one["version"] for one in self.changes if one["status"] == 412}
        for sent, _answered, version in self.reads:
            if version in refused:
                faults.append(f"version {version}, that was refused, was in force")
            if any(one["decided"] < sent and one["version"] > version for one in acknowledged):
                faults.append(f"version {version} was read after a newer one was acknowledged")
            if any(before[1] < sent and before[2] > version for before in self.reads):
                faults.append(f"version {version} was read after a newer one")
        return faults


class Tenancy(Simulator):
    """The simulator with tenants for minions. Invariants: tenants beat at accords, callers call
    at verges; answers get lost or late by chance as answer_loss, answer_late and beat_late say."""

    def __init__(self, seed):
        self.gangs = {}
        self.answer_loss = self.late_part = 0.0  # parts; of answers lost, of beats and answers late
        self.late_most = 0.0  # seconds
        self.under_way = {}  # tenant -> its beats that stay under way until a weather lets them arrive
        accords = FIVE if seed % 3 == 0 else THREE
        super().__init__(
            seed,
            accords,
            minions=(("w", TENANTS, ROOM, (), True),),
            founders=len(accords),
            kinds={"minion": self._tenant},
        )
        self.patron = Patron(seed)
        self.governor = Governor(self)

    def _tenant(self, name, zone, address, room, labels, guards, seed, history):
        place = int(name[1:])
        guards = place % 2 == 0
        accords = [node.address for node in self.nodes.values() if node.kind == "accord"]
        return StandInTenant(
            name,
            zone,
            address,
            room,
            ["ab"[place // 2 % 2], f"r1-{place % 3}"],
            guards,
            seed,
            history,
            "held" if guards else "bare",
            accords,
            self.gangs,
        )

    # --- calls ------------------------------------------------------------------------
    def _sent(self, source, life, node, call, arguments, patience, told, late=0.0):
        """A call to one daemon; told(status, document) comes back, or (0, None) in the end."""
        self.request_count += 1
        number = self.request_count
        self.requests[number] = ("call", source, life, ("told", told), node.name)
        if node.core is None and (source, node.name) not in self.cuts:
            self.at(0.01, "answer", number, 0, "null")
            return
        self.at(TIMEOUT + late, "answer", number, 0, "null")
        if not self.lost(source, node.name):
            plain = json.loads(json.dumps(arguments))
            self.at(
                self.latency() + late,
                "give",
                node.name,
                node.life,
                ("call", number, call, tuple(plain), patience),
            )

    def _lateness(self):
        return self.draw.uniform(0, self.late_most) if self.draw.random() < self.late_part else 0.0

    def _minion_effects(self, node, effects, message):
        for effect in effects:
            target = self.by_address[effect[1]]
            if effect[0] == "leave":
                self._sent(
                    node.name,
                    node.life,
                    target,
                    "beat-leave",
                    (effect[2],),
                    BEAT_PATIENCE,
                    lambda *told: None,
                )
                node.down = True
                node.life += 1
                self._goes(node.name)
                continue
            _, _, number, identity, document = effect
            if node.name in self.under_way:
                self.under_way[node.name].append((target, identity, json.loads(json.dumps(document))))
                continue
            self._sent(
                node.name,
                node.life,
                target,
                "beat",
                (identity, document),
                BEAT_PATIENCE,
                self._beat_told(node, node.life, number),
                self._lateness(),
            )

    def arrive(self, target, identity, document):
        """A beat that was under way for long, whose sender waits for no answer any more."""
        self._sent("late", 0, target, "beat", (identity, document), BEAT_PATIENCE, lambda *told: None)

    def _beat_told(self, node, life, number):
        """What brings a beat's answer back, late or never by chance."""

        def told(status, document):
            if self.draw.random() >= self.answer_loss and (status or document is None):
                late = self._lateness()
                if status or not (late or node.life != life):
                    self.at(late, "give", node.name, life, ("told", number, status, document or {}))

        return told

    def _caller_calls(self, name, effects):
        for _, draw, call, arguments, tag in effects:
            verges = [node for node in self.nodes.values() if node.kind == "verge"]

            def told(status, document, tag=tag):
                if self.draw.random() < self.answer_loss:
                    status, document = 0, None
                self._caller_calls(
                    name, self.patron.step(("answered", tag, status, document), START + self.now)
                )

            self._sent(name, 0, verges[draw % len(verges)], call, arguments, constants.CALL_PATIENCE, told)

    def persist_call(self, kind, call, arguments, decided, seconds):
        """An operator's call, sent again unchanged to one daemon after another until it is clearly
        answered: decided(status, document) is told once, or never when `seconds` are over."""
        until, turns = self.now + seconds, itertools.count(self.draw.randrange(10))
        nodes = [node for node in self.nodes.values() if node.kind == kind]

        def attempt():
            if self.now < until:
                self._sent(
                    "operator",
                    0,
                    nodes[next(turns) % len(nodes)],
                    call,
                    arguments,
                    constants.CALL_PATIENCE,
                    told,
                )

        def told(status, document):
            if self.draw.random() < self.answer_loss:
                status = 0
            if status in (0, 408, 429) or status >= 500:
                self.at(0.2, "later", attempt)
            else:
                decided(status, document)

        attempt()

    # --- the day ----------------------------------------------------------------------
    def begin(self):
        if (
            self.until(lambda: self.leader() is not None and self.leader().core.consensus.serving(), 30)
            is None
        ):
            raise AssertionError("no leader within 30 s")
        self.governor.found()
        self.callers["patron"] = self.patron
        self.at(0.0, "caller", "patron")

    def quiet(self):
        return self.patron.quiet()

    def finish(self, seconds=ENDS_WITHIN):
        self.answer_loss = self.late_part = self.late_most = 0.0
        for span in self.governor.spans:
            if span[2] is None:
                self.governor.restore(span)
        for node in self.nodes.values():
            if node.kind == "minion" and node.core.state == "draining" and not node.down:
                self.until(lambda node=node: node.down, 10)
        return super().finish(seconds)

    def served(self, why, within=SERVED_WITHIN):
        """A fault unless a job handed in from now on is accepted in time."""
        begun = START + self.now
        if (
            self.until(
                lambda: any(job["sent"] >= begun and job["accepted"] for job in self.patron.jobs.values()),
                within,
            )
            is None
        ):
            self.governor.faults.append(f"no job was taken within {within:.0f} s {why}")

    def agreement(self):
        """Beside the record, the boards: alike where as much is applied, and as their image says."""
        faults, boards = super().agreement(), {}
        for node in self.nodes.values():
            if node.kind != "accord" or node.core is None or node.core.consensus is None:
                continue
            board, index = node.core.record.board, node.core.record.index
            image = json.dumps(
                board.image()
            )  # an entry of one's own holds tuples where one that came holds lists
            if boards.setdefault(index, image) != image:
                faults.append(f"the board of {node.name} differs at {index}")
            again = Board.from_image(json.loads(image))
            for name, derived in (
                ("ready", lambda one: set(one.ready)),
                ("counts", _counted),
                ("waves", _waves),
            ):
                if derived(board) != derived(again):
                    faults.append(f"at {node.name} {name} of the board drifted")
        return faults


def _counted(board):
    return {queue: count for queue, count in board.counts.items() if count}


def _waves(board):
    return {
        wave.key(): (wave.blocked, wave.left, tuple(sorted(wave.waiting)))
        for job in board.jobs.values()
        for wave in job.waves.values()
    }


def _later(simulator, function):
    function()


simulators.HANDLERS["later"] = _later


# --- weathers --------------------------------------------------------------------------
def _accords(simulator):
    return [name for name, node in simulator.nodes.items() if node.kind == "accord"]


def _tenants(simulator):
    return [name for name, node in simulator.nodes.items() if node.kind == "minion" and not node.down]


def calm(simulator):
    simulator.run(14)


def leader_killed(simulator):
    """The leader dies, again and again, right after something was acknowledged; without it jobs
    are taken soon."""
    for _ in range(3):
        known = _accepted(simulator)
        simulator.until(lambda: _accepted(simulator) > known, 10, 0.004)
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
    back with its disk; jobs are taken all the time."""
    for _ in range(4):
        leader = simulator.leader()
        if leader is not None:
            rest = [one for one in _accords(simulator) if one != leader.name]
            also = simulator.draw.choice(rest)
            manner = simulator.draw.choice(("alone", "alone", "cut", "both"))
            if manner == "cut":
                simulator.cut([also], [one for one in simulator.nodes if one != also])
            simulator.stop(leader.name)
            if manner == "both":
                simulator.run(simulator.draw.uniform(0, 0.05))
                simulator.stop(also)
            simulator.until(lambda leader=leader: leader.core is None, simulators.GRACE, 0.02)
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
            rest = [one for one in (*_accords(simulator), "verge0", "verge1", "verge2") if one != leader.name]
            rest += simulator.draw.sample(_tenants(simulator), 4)
            manner = simulator.draw.choice(("deaf", "dumb", "both"))
            if manner == "dumb":
                simulator.cut([leader.name], rest, both=False)
            else:
                simulator.cut(rest, [leader.name], both=manner == "both")
            simulator.run(simulator.draw.choice((1.5, 4, 12)) * simulator.draw.uniform(0.8, 1.2))
            simulator.heal()
        simulator.run(simulator.draw.uniform(0.5, 3))


def wiped(simulator):
    """An accord loses its disk right after something was acknowledged, and joins anew."""
    for turn in range(2):
        known = _accepted(simulator)
        simulator.until(lambda: _accepted(simulator) > known, 10, 0.004)
        leader = simulator.leader()
        name = leader.name if leader and turn == 0 else simulator.draw.choice(_accords(simulator))
        simulator.kill(name)
        simulator.wipe(name)
        simulator.run(simulator.draw.uniform(0.1, 3))
        simulator.start(name)
        node = simulator.nodes[name]
        joined = simulator.until(
            lambda: (
                node.core.consensus is not None
                and not node.core.consensus.cohort.coming
                and node.core.identity in node.core.consensus.cohort.members()
            ),
            30,
        )
        if joined is None:
            simulator.governor.faults.append(f"{name} came back empty and was not let in")
        simulator.run(4)


def _accepted(simulator):
    return sum(job["accepted"] is not None for job in simulator.patron.jobs.values())


def all_killed(simulator):
    """All accords lose power at once, right after something was acknowledged; one stays away."""
    for _ in range(2):
        known = _accepted(simulator)
        simulator.until(lambda: _accepted(simulator) > known, 10, 0.004)
        names = _accords(simulator)
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


def tenants_crash(simulator):
    """Tenants crash and come back under new identities at their addresses; some while a frozen
    accord still holds beats of their former life."""
    for turn in range(12):
        names = simulator.draw.sample(_tenants(simulator), 2)
        frozen = simulator.draw.choice(_accords(simulator)) if turn % 3 == 2 else None
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


def tenants_cut(simulator):
    """Tenants are cut off from all, one way or both, and run on; some for longer than a hold."""
    for _ in range(4):
        names = simulator.draw.sample(_tenants(simulator), simulator.draw.choice((1, 2, 4)))
        manner = simulator.draw.choice(("both", "both", "deaf", "dumb"))
        rest = [one for one in simulator.nodes if one not in names]
        if manner == "deaf":
            simulator.cut(rest, names, both=False)
        else:
            simulator.cut(names, rest, both=manner == "both")
        simulator.run(simulator.draw.choice((0.7, 2.0, 4.8, 5.6, 8.0)) * simulator.draw.uniform(0.9, 1.1))
        simulator.heal()
        simulator.run(simulator.draw.uniform(0.5, 2))


def tenants_leave(simulator):
    """Tenants drain and leave, zones are evacuated and taken back, and others come."""
    for turn in range(5):
        names = simulator.draw.sample(_tenants(simulator), 2)
        for name in names:
            simulator.nodes[name].core.drain(START + simulator.now)
        span = None
        if turn % 2:
            span = simulator.governor.evacuate(simulator.draw.choice(("a", "b", "c")))
        simulator.run(simulator.draw.uniform(3, 5))
        for name, node in simulator.nodes.items():
            if node.kind == "minion" and node.down:
                simulator.start(name)
        if span is not None:
            simulator.governor.restore(span)


def answers_late(simulator):
    """Beats and answers get lost or late, while tenants drain and zones are evacuated."""
    simulator.answer_loss, simulator.late_part, simulator.late_most = 0.1, 0.3, 3.0
    for _ in range(3):
        span = simulator.governor.evacuate(simulator.draw.choice(("a", "b", "c")))
        simulator.nodes[simulator.draw.choice(_tenants(simulator))].core.drain(START + simulator.now)
        simulator.run(simulator.draw.uniform(3, 5))
        simulator.governor.restore(span)
        simulator.run(simulator.draw.uniform(1, 2))


def beats_stale(simulator):
    """Beats come seconds late, some to a leader that has not yet heard of their tenant, while
    tenants are cut off and run on, zones are evacuated and the leader dies."""
    for _ in range(3):
        simulator.late_part, simulator.late_most = 0.4, 9.0
        simulator.run(simulator.draw.uniform(1.5, 3))
        leader = simulator.leader()
        names = simulator.draw.sample(_tenants(simulator), 4)
        zone = simulator.nodes[names[0]].area
        if leader is not None:
            simulator.kill(leader.name)
        simulator.cut(names, [one for one in simulator.nodes if one not in names])
        span = simulator.governor.evacuate(zone)
        simulator.run(simulator.draw.uniform(3, 6))
        simulator.late_part = 0.0
        simulator.heal()
        if leader is not None:
            simulator.start(leader.name)
        simulator.governor.restore(span)
        simulator.run(simulator.draw.uniform(2, 4))


def lives_mixed(simulator):
    """Tenants crash and come back while beats of their former lives are still under way; these
    come when the new lives, that have work, are cut off and run on."""
    draw = simulator.draw
    for _ in range(4):
        names = draw.sample(_tenants(simulator), 4)
        simulator.under_way = {name: [] for name in names}
        simulator.run(draw.uniform(2, 4))
        late, simulator.under_way = simulator.under_way, {}
        for name in names:
            simulator.kill(name)
        simulator.run(draw.choice((0.05, 0.5)))
        for name in names:
            simulator.start(name)
        simulator.run(draw.uniform(1, 5))
        simulator.cut(names, [one for one in simulator.nodes if one not in names])
        for name in names:
            for place, beat in enumerate(late[name]):
                simulator.at(
                    0.2 + place * draw.uniform(0.9, 1.1), "later", functools.partial(simulator.arrive, *beat)
                )
        simulator.run(draw.uniform(2, 5))
        simulator.heal()
        simulator.run(draw.uniform(0.5, 2))


def storm(simulator):
    """One thing after another on fouler links."""
    simulator.loss, simulator.double = 0.01, 0.02
    simulator.answer_loss, simulator.late_part, simulator.late_most = 0.03, 0.1, 3.0
    for one in simulator.draw.sample(
        (leader_frozen, leader_deaf, tenants_crash, tenants_cut, tenants_leave), 2
    ):
        one(simulator)
    simulator.governor.race()
    leader = simulator.leader()
    if leader is not None:
        simulator.kill(leader.name)
        simulator.run(simulator.draw.uniform(0.5, 3))
        simulator.start(leader.name)
    simulator.run(3)


WEATHERS = {
    "calm": calm,
    "leader-killed": leader_killed,
    "leader-stops": leader_stops,
    "leader-frozen": leader_frozen,
    "leader-deaf": leader_deaf,
    "wiped": wiped,
    "all-killed": all_killed,
    "tenants-crash": tenants_crash,
    "tenants-cut": tenants_cut,
    "tenants-leave": tenants_leave,
    "answers-late": answers_late,
    "beats-stale": beats_stale,
    "lives-mixed": lives_mixed,
    "storm": storm,
}


# --- checks ----------------------------------------------------------------------------
def runs_of(history):
    """Every run: (began, ended or None, how, tenant, identity, reference, number, start event)."""
    ends = {}
    for event in history:
        if event[0] == "end":
            ends.setdefault((event[3], event[4], event[5]), (event[1], event[6]))
        elif event[0] == "gone":
            ends.setdefault((event[3], event[4], event[5]), (event[1], "gone"))
    runs = []
    for event in history:
        if event[0] == "start":
            ended, how = ends.get((event[3], event[4], event[5]), (None, None))
            runs.append((event[1], ended, how, event[2], event[3], event[4], event[5], event))
    return sorted(runs, key=lambda one: one[:1])


def noted_ends(history):
    """reference -> [(when it ended, how, run)] of the ends that were taken note of with no
    lapse of the hold in between."""
    listed, lapses, noted = {}, {}, {}
    for event in history:
        if event[0] == "end":
            listed[(event[3], event[4], event[5])] = event[1]
        elif event[0] == "lapse":
            lapses.setdefault(event[3], []).append(event[1])
        elif event[0] == "noted":
            _, when, _, identity, reference, run, how = event
            ended = listed[(identity, reference, run)]
            if not any(ended <= one <= when for one in lapses.get(identity, ())):
                noted.setdefault(reference, []).append((ended, how, run))
    return noted


def never_twice(history):
    """No task runs twice at once, none starts after a run of it ended done that was noted."""
    faults, last = [], {}
    noted = noted_ends(history)
    for began, ended, _how, tenant, _identity, reference, run, _ in runs_of(history):
        for other in last.get(reference, ()):
            if other[0] is None or other[0] > began:
                faults.append(
                    f"{reference} run {run} started on {tenant} at {began:.3f} while run {other[1]} ran "
                    f"on {other[2]}"
                )
        last.setdefault(reference, []).append((ended, run, tenant))
        for over, ended_how, earlier in noted.get(reference, ()):
            if ended_how == "done" and over < began:
                faults.append(
                    f"{reference} run {run} started at {began:.3f} after run {earlier} had ended done, as noted"
                )
    return faults


def steps_kept(history, jobs):
    """Order, time, labels, places apart, text and checkpoints of every start are the job's."""
    faults, done, texts, brought, here = [], {}, {}, {}, {}
    runs = runs_of(history)
    for began, ended, how, tenant, identity, reference, run, event in runs:
        job, time, number, index = reference.split(".")
        if how == "done":
            done.setdefault((job, time, number), {}).setdefault(index, ended)
    for event in history:
        if event[0] == "end" and event[8]:
            texts.setdefault(event[8].rpartition(":")[0], set()).add(event[8])
    for began, ended, how, tenant, identity, reference, run, event in runs:
        job, time, number, index = reference.split(".")
        standing = jobs.get(job)
        if standing is None:
            faults.append(f"{reference} started, that no one handed in")
            continue
        step = standing["document"]["steps"][int(number)]
        for other in step.get("after", ()):
            before = standing["document"]["steps"][other]
            over = done.get((job, time, str(other)), {})
            members = [when for when in over.values() if when <= began]
            if not members if before.get("gang") else len(members) < before["count"]:
                faults.append(f"{reference} started at {began:.3f} before step {other} was done")
        if standing["document"].get("times"):
            due = (standing["document"]["first_ms"] + int(time) * standing["document"]["every_ms"]) / 1000
            if began < due - EARLY:
                faults.append(f"{reference} started {due - began:.3f} s early")
        if event[9] != standing["document"]["spec"]:
            faults.append(f"{reference} was started with another text")
        place = int(tenant[1:])
        if step.get("needs") and step["needs"] != "ab"[place // 2 % 2]:
            faults.append(f"{reference} started where its label is missing")
        if standing["queue"] != ("bare" if place % 2 else "held"):
            faults.append(f"{reference} started at another service")
        if step.get("apart"):
            beside = [
                one for one in here.get((identity, job, time, number), ()) if one is None or one > began
            ]
            if len(beside) >= step["apart"]:
                faults.append(f"{reference} started beside {len(beside)} of its step")
            here.setdefault((identity, job, time, number), []).append(ended)
        saved = event[8]
        owner = f"{job}.{time}.{number}" if step.get("gang") else reference
        if saved and saved.rpartition(":")[0] != owner:
            faults.append(f"{reference} was started from what another saved: {saved}")
        if step.get("gang") and brought.setdefault((job, time, number, run), saved) != saved:
            faults.append(f"members of gang {owner} run {run} were started from different checkpoints")
    return faults


def attempts_kept(history, jobs):
    """No task starts after as many failures, taken note of, as it may have."""
    faults, noted = [], noted_ends(history)
    failures = {}
    for reference, ends in noted.items():
        job, time, number, index = reference.split(".")
        if job in jobs:
            gang = jobs[job]["document"]["steps"][int(number)].get("gang")
            owner = f"{job}.{time}.{number}" if gang else reference
            for ended, how, run in ends:
                if how == "failed":
                    failures.setdefault(owner, {})[run] = ended
    for began, _, _, _, _, reference, run, _ in runs_of(history):
        job, time, number, index = reference.split(".")
        step = jobs[job]["document"]["steps"][int(number)] if job in jobs else {"lasts": True}
        if step.get("lasts"):
            continue
        owner = f"{job}.{time}.{number}" if step.get("gang") else reference
        before = [one for one, ended in failures.get(owner, {}).items() if ended < began]
        if len(before) >= ATTEMPTS:
            faults.append(f"{reference} run {run} started after {len(before)} failures")
    return faults


def room_kept(history):
    """No start takes a tenant beyond its room, what is being stopped counted too."""
    faults = []
    for event in history:
        if event[0] == "start":
            _, when, tenant, _, reference, run, _, room, _, _, used = event
            if any(used[place] + room[place] > ROOM[place] for place in range(3)):
                faults.append(
                    f"{reference} run {run} took {tenant} beyond its room at {when:.3f}: {used} and {room}"
                )
    return faults


def cancels_kept(history, jobs, running_most):
    """After a cancel nothing starts but from an answer under way, and nothing runs on for long."""
    faults = []
    for began, ended, _, tenant, _, reference, run, _ in runs_of(history):
        standing = jobs.get(reference.split(".")[0])
        if standing is None or standing["cancelled"] is None:
            continue
        since = standing["cancelled"]
        if began > since + IN_FLIGHT:
            faults.append(f"{reference} run {run} started {began - since:.2f} s after its cancel")
        if ended is None or ended > max(began, since) + running_most:
            faults.append(f"{reference} run {run} on {tenant} ran on after its cancel")
    return faults


def closed_kept(history, spans, zones):
    """Draining tenants and evacuated zones get nothing new; there one answer may be under way."""
    faults, drained = [], {}
    for event in sorted(history, key=lambda one: one[1]):
        if event[0] == "drained":
            drained[event[3]] = event[1]
        elif event[0] == "start":
            if event[1] > drained.get(event[3], 1e18):
                faults.append(f"{event[4]} started on {event[2]}, known to drain")
            for zone, begun, ended in spans:
                if zone == zones[event[2]] and begun + IN_FLIGHT < event[1] < (ended or 1e18):
                    faults.append(
                        f"{event[4]} started on {event[2]} {event[1] - begun:.2f} s after {zone} was evacuated"
                    )
    return faults


def told_truly(history, patron):
    """What callers are told of jobs agrees with what ran."""
    faults, done, failed = list(patron.faults), {}, {}
    runs = runs_of(history)
    for began, ended, how, _, _, reference, run, _ in runs:
        job, time, number, index = reference.split(".")
        if how == "done":
            place = done.setdefault((job, time, number), {})
            place[index] = min(ended, place.get(index, ended))
        elif how == "failed":
            failed.setdefault((job, time, number), []).append((index, run))
    for began, _, _, _, _, reference, run, _ in runs:
        standing = patron.jobs.get(reference.split(".")[0])
        if standing is not None and standing["refused"] is not None:
            faults.append(f"{reference} started, though its job was refused")
    finals = {}
    for _, sent, answered, identity, status, state in sorted(patron.history, key=lambda one: one[2]):
        standing = patron.jobs[identity]
        document = standing["document"]
        if status == 410:
            faults.append(f"{identity} is unknown {sent - standing['accepted']:.2f} s after it was accepted")
        if status != 200:
            continue
        if identity in finals and finals[identity][0] != state and sent > finals[identity][1]:
            faults.append(f"{identity} was {finals[identity][0]}, then {state}")
        if state not in FINAL:
            continue
        first = identity not in finals
        finals.setdefault(identity, (state, answered))
        if state == "cancelled" and standing["cancel_sent"] is None:
            faults.append(f"{identity} is told cancelled, but no one asked")
        if state == "failed" and first:
            if not _causes(identity, document, failed):
                faults.append(f"{identity} is told failed without cause")
        if state == "completed" and first:
            for time in range(max(1, document.get("times", 0))):
                for number, step in enumerate(document["steps"]):
                    over = [
                        one
                        for one in done.get((identity, str(time), str(number)), {}).values()
                        if one <= answered
                    ]
                    if not over if step.get("gang") else len(over) < step["count"]:
                        faults.append(
                            f"{identity} is told completed, but step {number} of time {time} is not done"
                        )
    for began, _, _, _, _, reference, run, _ in runs:
        state, since = finals.get(reference.split(".")[0], ("", 1e18))
        if state and began > since + IN_FLIGHT:
            faults.append(
                f"{reference} run {run} started {began - since:.2f} s after its job was told {state}"
            )
    return faults


def _causes(identity, document, failed):
    """Whether some task or gang of a job failed as often as it may."""
    for (job, _time, number), runs in failed.items():
        if job != identity:
            continue
        gang = document["steps"][int(number)].get("gang")
        counts = {}
        for index, run in runs:
            counts.setdefault("" if gang else index, set()).add(run)
        if any(len(one) >= ATTEMPTS for one in counts.values()):
            return True
    return False


def gangs_met(history, jobs):
    """In calm weather no member of a gang waits in vain."""
    return [
        f"{event[4]} run {event[5]} ended alone"
        for event in history
        if event[0] == "end" and event[6] == "alone" and jobs[event[4].split(".")[0]]["cancelled"] is None
    ]


# --- trials ----------------------------------------------------------------------------
def trial(weather, seed, plant=""):
    """(faults, simulator) of one trial, with a planted fault if one is named."""
    with planted(plant):
        return _trial(weather, seed)


def _trial(weather, seed):
    simulator, faults = Tenancy(seed), []
    try:
        simulator.begin()
        simulator.run(2)
        simulator.governor.race()
        WEATHERS[weather](simulator)
        simulator.governor.race()
        if not simulator.finish():
            waiting = [
                (one["identity"], one["kind"], one["accepted"] is not None)
                for one in simulator.patron.jobs.values()
                if one["refused"] is None and (one["final"] is None or one["looks"] > 0)
            ]
            faults.append(f"jobs never ended: {waiting[:4]}")
        simulator.run(7)
        faults.extend(simulator.governor.check())
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    history, patron = simulator.minion_history, simulator.patron
    zones = {name: node.area for name, node in simulator.nodes.items()}
    running_most = STOP_GRACE + 1.5 if weather == "calm" else IN_FLIGHT + HELD_ON + STOP_GRACE
    for found in (
        never_twice(history),
        steps_kept(history, patron.jobs),
        attempts_kept(history, patron.jobs),
        room_kept(history),
        cancels_kept(history, patron.jobs, running_most),
        closed_kept(history, simulator.governor.spans, zones),
        told_truly(history, patron),
        gangs_met(history, patron.jobs) if weather == "calm" else [],
        simulator.agreement(),
    ):
        faults.extend(found)
    if not any(job["final"] and job["final"][0] == "completed" for job in patron.jobs.values()):
        faults.append("no job was completed")
    return faults, simulator


def _one(arguments):
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def many(work):
    """Yields (arguments, faults, virtual seconds) of trials run side by side."""
    with multiprocessing.Pool(PROCESSES) as pool:
        yield from pool.imap_unordered(_one, work)


def replay(weather, seed, plant=""):
    """The command that runs one trial again."""
    return f"python -m pinepitch.proof.tenancy {weather} {seed} 1 {plant}".strip()


def main(weather="all", first="0", seeds="5", plant=""):
    """Runs trials over seeds and prints how to replay each that fails."""
    names = list(WEATHERS) if weather == "all" else weather.split(",")
    work = [(name, seed, plant) for name in names for seed in range(int(first), int(first) + int(seeds))]
    begun, failed, virtual = clocks.monotonic(), 0, 0.0
    for arguments, faults, seconds in many(work):
        virtual += seconds
        if faults:
            failed += 1
            print(replay(*arguments) + "\n   " + "\n   ".join(faults[:5]), flush=True)
    print(
        json.dumps(
            {
                "trials": len(work),
                "failed": failed,
                "virtual_seconds": round(virtual),
                "seconds": round(clocks.monotonic() - begun, 1),
            }
        )
    )
    return 1 if failed else 0


# --- planted faults ---------------------------------------------------------------------
def _absent_at_once(self, worker, now):
    """Takes what is missing in a beat for a proof, whoever gave the start and however old the beat."""
    for (reference, run), placement in self.board.placements.get(worker.identity, {}).items():
        if (reference, run) not in worker.running and (reference, run) not in worker.listed:
            if (
                placement.epoch != self.core.epoch
                or not self.board.wanted(placement)
                or not self._open_for(worker)
            ):
                self._propose_end(worker.identity, reference, run, "unsent", "", False)


def _starts_proposed(self, now):
    """Tells starts that are proposed and not yet agreed on."""
    propose = self.core.propose

    def proposed(operation, waiting, when):
        if operation[0] == "job-assign":
            for identity, time, number, group in operation[2]:
                wave = self.board.jobs[identity].waves[(time, number)]
                run = max(task.run for task in wave.tasks) + 1
                for index, minion in group:
                    task = wave.tasks[index]
                    told = (
                        wave.reference(index),
                        run if wave.step.gang else task.run + 1,
                        wave.job.spec,
                        task.saved,
                    )
                    self.__dict__.setdefault("told_early", {}).setdefault(minion, []).append(told)
        propose(operation, waiting, when)

    with mock.patch.object(self.core, "propose", proposed):
        original_assign(self, now)
    self.assigned.clear()


def _orders_early(self, worker, taken, now):
    told = original_orders(self, worker, taken, now)
    more = self.__dict__.get("told_early", {}).pop(worker.identity, ())
    return {**told, "start": (*told["start"], *(one for one in more if one not in told["start"]))}


def _base_unheeded(self, base, *rest):
    return original_take(self, self.version, *rest)


def _amend_unheeded(self, base, *rest):
    return original_amend(self, self.version, *rest)


def _failures_forgotten(self, now, placement, reference, run, how, saved, heard):
    return original_ended(
        self, now, placement, reference, run, "stopped" if how == "failed" else how, saved, heard
    )


def _always_ready(self, beat, now):
    """Reads no beat that says "draining"."""
    return original_beat(self, {**beat, "state": "ready", "leaves_ms": None}, now)


def _told_levels_alone(self):
    return min((self.told_levels.get(one, 1) for one in self.consensus.cohort.members()), default=1)


def _room_twice(self, board, workers, keeper, now):
    """Gives the room of runs that are to end away before they have ended."""
    seats = original_seats(self, board, workers, keeper, now)
    for seat in itertools.chain(*seats.values()):
        for placement in board.placements.get(seat.identity, {}).values():
            if not board.wanted(placement):
                seat.free = tuple(free + room for free, room in zip(seat.free, placement.room, strict=False))
    return seats


def _cancel_in_word(self, now, identity):
    return ("cancelled", identity) if identity in self.jobs else ("missing", identity)


def _after_unheeded(self, wave):
    """Takes every step for one without earlier steps."""
    wave.blocked = 0
    original_index(self, wave)


original_assign, original_orders = Keeper._assign, Keeper._orders
original_take, original_amend = Configuration.take, Configuration.amend
original_ended, original_index = Board._ended, Board._index
original_seats, original_beat = Assigner._seats, Worker.beat
PLANTS = {
    "absence-at-once": [(Keeper, "_take_absences", _absent_at_once)],
    "hold-not-waited-out": [(constants, "LAPSE_MARGIN", -3.5)],
    "lease-ignored": [
        (Consensus, "leased", lambda self, now: self.serving()),
        (constants, "CHECK_QUORUM", 15.0),
    ],
    "starts-proposed": [(Keeper, "_assign", _starts_proposed), (Keeper, "_orders", _orders_early)],
    "ends-noted-early": [(Worker, "acknowledged", lambda self: self.seen)],
    "levels-forgotten": [(Lead, "common_level", _told_levels_alone)],
    "base-unheeded": [(Configuration, "take", _base_unheeded), (Configuration, "amend", _amend_unheeded)],
    "evacuation-in-word": [(Board, "evacuate", lambda self, now, zone, begun: ("ok",))],
    "failures-forgotten": [(Board, "_ended", _failures_forgotten)],
    "room-given-early": [(Assigner, "_seats", _room_twice)],
    "cancel-in-word": [(Board, "cancel", _cancel_in_word)],
    "stops-forgotten": [(Board, "wanted", lambda self, placement: True)],
    "drain-unseen": [(Worker, "beat", _always_ready)],
    "order-unheeded": [(Board, "_index", _after_unheeded)],
    # No fault but a condition under which nothing may break: the log is compacted all the time.
    "frequent-snapshots": [
        (constants, "SNAPSHOT_ENTRIES", 50),
        (constants, "SNAPSHOT_TAIL", 10),
        (constants, "SNAPSHOT_PIECE", 5_000),
    ],
}


@contextlib.contextmanager
def planted(name):
    """The fault of that name in place; '' for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in PLANTS[name] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
