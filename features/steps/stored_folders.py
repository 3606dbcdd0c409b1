"""Stored data folders of control daemons: how they were made, and how they are opened again.

The folders under features/data/stored were written by an older version and stay as they are.
They were made by, and a new set (in another place) is made by, from the root of the tree:

    PYTHONPATH=src python features/steps/stored_folders.py make FOLDER

What a folder shows once it is opened is kept beside it in expected.json, which names nothing of
the program's classes or attributes. All that is asked of the program goes through Daemon.
"""

import collections
import gzip
import hashlib
import io
import json
import os
import shutil
import sys
import tarfile
import tempfile
import zlib

import cbor2

from pinepitch.common import packed_operations
from pinepitch.common.effects import EncodeSnapshot, SaveChange, Send, WriteBase, WriteNote, WriteSegment
from pinepitch.consensus.leader_clock import Reading
from pinepitch.control.daemon import ControlDaemon
from pinepitch.control.startup import identity_of, open_store
from pinepitch.storage.store import Store
from pinepitch.transport import framing

STORED = os.path.join(os.path.dirname(__file__), os.pardir, "data", "stored")
EXPECTED = "expected.json"
DIGEST_BYTES = 32  # a stored file begins with the digest of the rest
TICK = 0.025  # seconds; between two ticks of a virtual clock
PATIENCE = 2.5  # seconds; a call may be taken so long
BEGUN = 1_000.0  # seconds; where the virtual clocks of the daemons that made the folders began
RESTARTED = 50_000.0  # seconds; and where those begin that open them
CALLER = "127.0.0.1:9"
HOST = "jobs.example"
AREAS = {"first": "a", "second": "b", "third": "c"}
ADDRESSES = {name: f"127.0.0.1:{place}" for place, name in enumerate(AREAS, 1)}


def digest_of(value):
    """The digest of a plain value that does not depend on the order of its maps."""
    return hashlib.sha256(cbor2.dumps(value, canonical=True)).hexdigest()


def plain(value):
    """A value as JSON represents it."""
    return json.loads(json.dumps(value))


class Daemon:
    """A control daemon on a virtual clock whose data folder is a real one.

    Every use of the program's own names is in here. Invariant: what a step saves is on disk
    before any later step."""

    def __init__(self, name, folder, now):
        """Opens the folder the way a restarting daemon does."""
        self.address, self.sent = ADDRESSES[name], []
        self.store, base, steps, segments, self.damage = open_store(folder)
        identity = identity_of(self.store, base, steps)
        seeds = tuple(ADDRESSES.values())
        founders = 1 if name == "first" else 3  # the others join what the first one founded
        self.core = ControlDaemon(identity, self.address, AREAS[name], seeds, founders, seed=f"life at {now}")
        self.core.restore(base, steps, segments)

    @staticmethod
    def prepare(folder, identity):
        """Gives an empty folder an identity that is not drawn by chance."""
        store = Store(folder)
        store.load()
        store.write_step([["note", ["identity", identity]]])

    # --- messages ---------------------------------------------------------------------
    def tick(self, now):
        self._give(("tick",), now)

    def ask(self, token, call, arguments, now):
        """Sends a call as a daemon that forwards it does."""
        if self.core.consensus is not None:
            end = Reading(self.core.consensus.term, now + PATIENCE)
            self._give(("ask", CALLER, token, call, arguments, 1, end), now)

    def receive(self, frame, now):
        """Takes a frame of another daemon."""
        self._give(tuple(framing.decode(frame[4:])[1]), now)

    def _give(self, message, now):
        """One message and all that its saves bring about."""
        waiting = collections.deque([message])
        while waiting:
            saved = None
            for effect in self.core.step(waiting.popleft(), now, now):
                if isinstance(effect, Send):
                    self.sent.append((effect.address, framing.encode(self.address, effect.message)))
                elif isinstance(effect, SaveChange):
                    self.store.write_step([["raft", effect.change]])
                    saved = effect.sequence
                elif isinstance(effect, WriteNote):
                    self.store.write_step([["note", effect.payload]])
                elif isinstance(effect, WriteSegment):
                    self.store.write_segment(effect.number, effect.data)
                elif isinstance(effect, EncodeSnapshot):
                    encoded = type(self.core.cluster_state).encode_with_digest(effect.image)
                    waiting.append(("encoded", effect.applied_index, encoded))
                elif isinstance(effect, WriteBase):
                    self.store.write_base(effect.payload, self.store.version)
                    saved = effect.sequence if effect.sequence is not None else saved
            if saved is not None:
                waiting.append(("saved", saved))

    def place(self, references, now):
        """Commits placements as the leader does, on a worker that sends no heartbeats."""
        record = self.core.cluster_state
        items = tuple(
            (one, "some-worker", "a", 64, "life", "some-verge", ((record.find(one)[0].queue, units),), "")
            for one in references
            for units in (record.find(one)[1].units,)
        )
        self.core.propose(("place", self.core.epoch, record.version, items), None, now)
        self.tick(now)  # carries out what was proposed

    def end(self, references, how, now):
        """Agrees on how the first attempts of tasks ended."""
        self.core.propose(("ended", tuple((one, 1, how) for one in references)), None, now)
        self.tick(now)

    @staticmethod
    def answer_in(frame):
        """(token, status, document) of a frame that answers a call, None for any other."""
        message = framing.decode(frame[4:])[1]
        return (message[1], *message[2][:2]) if message[0] == "answer" else None

    def knows_cohort(self):
        return self.core.cluster is not None

    def leads(self):
        return self.core.epoch > 0

    # --- what is seen -----------------------------------------------------------------
    def shown(self):
        """The state of the daemon right after it opened its folder, before it processes any message."""
        consensus = self.core.consensus
        entries = cbor2.loads(packed_operations.dumps(list(consensus.entries)))
        return plain(
            {
                "identity": self.core.identity,
                "cohort": self.core.cluster,
                "term": consensus.term,
                "votes": {str(term): vote for term, vote in sorted(consensus.history.items())},
                "leader of the newest term known": [consensus.last_known_term, consensus.last_known_leader],
                "members": dict(sorted(consensus.membership.members().items())),
                "change of members under way": consensus.membership.coming is not None,
                "snapshot at": consensus.base_index,
                "segments": list(consensus.base_segments),
                "log": [consensus.first, consensus.last_index()],
                "digest of the log": digest_of(entries),
                "digest of the snapshot's record": self._record_digest(),
                "digest of the record with the log": self._record_with_log(),
            }
        )

    def _record_digest(self):
        record = self.core.cluster_state
        return digest_of(cbor2.loads(type(record).encode(record.image())))

    def _record_with_log(self):
        """Digest of the record once the stored log is applied, here to a daemon that only shows it."""
        consensus, record = self.core.consensus, self.core.cluster_state
        for index in range(max(consensus.base_index + 1, consensus.first), consensus.last_index() + 1):
            _, time, operation = consensus.entry(index)
            record.apply(index, time, packed_operations.unpacked(operation))
        record.audit()
        return self._record_digest()


class Cohort:
    """Daemons that reach each other without delay. Invariant: no frame waits between two calls."""

    def __init__(self, folder, now):
        self.folder, self.now, self.count = folder, now, 0
        self.daemons, self.answers = {}, {}

    def add(self, name):
        """Starts the daemon of a folder that exists."""
        daemon = Daemon(name, os.path.join(self.folder, name), self.now)
        self.daemons[daemon.address] = daemon

    def found(self, name):
        """Starts a daemon on a new folder."""
        os.makedirs(os.path.join(self.folder, name))
        Daemon.prepare(os.path.join(self.folder, name), f"daemon-{name}")
        self.add(name)

    def restart(self):
        """All daemons end at once, and start again a while later."""
        self.now += 100.0
        for name in names_in(self.folder):
            self.add(name)

    def act(self, what, *arguments):
        """Lets the daemon that leads do something that no call asks for."""
        leader = next(one for one in self.daemons.values() if one.leads())
        getattr(leader, what)(*arguments, self.now)
        self._carry()

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            for daemon in self.daemons.values():
                daemon.tick(self.now)
                self._carry()

    def _carry(self):
        """Delivers frames until none is left."""
        busy = True
        while busy:
            busy = False
            for daemon in list(self.daemons.values()):
                sent, daemon.sent = daemon.sent, []
                for address, frame in sent:
                    busy = True
                    if address in self.daemons:
                        self.daemons[address].receive(frame, self.now)
                    elif address == CALLER and Daemon.answer_in(frame):
                        token, status, document = Daemon.answer_in(frame)
                        self.answers[token] = (status, document)

    def ask(self, call, *arguments, seconds=30.0):
        """(status, document) of the leader's answer to a call, asked anew until there is one."""
        end = self.now + seconds
        self.count += 1
        while self.now < end:
            for daemon in self.daemons.values():
                token = f"call-{self.now}-{self.count}"
                daemon.ask(token, call, arguments, self.now)
                self._carry()
                if token in self.answers:
                    return self.answers.pop(token)
            self.run(TICK)
        raise AssertionError(f"no answer to {call} within {seconds} s")

    def told(self, call, *arguments):
        """The document of a successful answer."""
        status, document = self.ask(call, *arguments)
        assert status in (200, 201), (call, arguments, status, document)
        return document


# --- what the folders were filled with ------------------------------------------------
def configuration(version):
    """A configuration with one route more in each version."""
    routes = [
        {
            "name": f"queue-{place}",
            "host": HOST,
            "prefix": f"/queue-{place}/",
            "service": "worker",
            "attempts": 2,
            "priority": place,
            "aim_ms": 500,
            "stretch": 3,
        }
        for place in range(version)
    ]
    return {"version": version, "routes": routes, "services": [{"name": "worker"}]}


def job_path(place):
    return f"/queue-0/{place:016x}"


def job(cpu, tasks):
    return {"spec": f"a job of {tasks}", "steps": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "est_ms": 100}]}


def ticket_document(units):
    """A pushed job of a chain of two tasks, checked already."""
    tasks = [
        {
            "name": name,
            "units": units,
            "labels": [],
            "after": after,
            "gang": "",
            "not_before": 0,
            "attempts": 0,
            "limit": 0,
            "work": {"seconds": 0.1},
        }
        for name, after in (("head", []), ("tail", ["head"]))
    ]
    return {"queue": "default", "kind": "batch", "urgency": -1, "not_before": 0, "due": 0, "tasks": tasks}


class Worker:
    """A worker that ends each run before its next heartbeat, unless the run is to be kept."""

    def __init__(self, cohort, identity):
        self.cohort, self.identity = cohort, identity
        self.sequence = self.end_count = 0
        self.running, self.ended = [], []

    def beat(self, end_as=None):
        """One heartbeat; all that runs ends that way first, if a way is named."""
        if end_as is not None:
            for reference, run in self.running:
                self.end_count += 1
                self.ended.append([self.end_count, reference, run, end_as, ""])
            self.running = []
        self.sequence += 1
        told = self.cohort.told(
            "beat",
            self.identity,
            {
                "service": "worker",
                "address": "10.0.0.1:1",
                "zone": "a",
                "state": "ready",
                "sequence": self.sequence,
                "clock_ms": round(self.cohort.now * 1000),
                "leaves_ms": None,
                "labels": [],
                "room": [1000, 4096, 0],
                "running": [[reference, run, "", 10.0] for reference, run in self.running],
                "ended": self.ended,
            },
        )
        self.ended = [one for one in self.ended if one[0] > told.get("seen", 0)]
        self.running += [(one[0], one[1]) for one in told.get("start", ())]


def hand_in(cohort, first, count):
    """Hands in tickets and cancels all but every hundredth."""
    for place in range(first, first + count):
        document = ticket_document(1 + place % 3)
        ticket = cohort.told("submit", f"key-{place}", f"digest-{place}", document)["ticket"]
        if place % 100:
            cohort.told("cancel", ticket)


def fill_small(cohort):
    """A daemon alone: a configuration, some tickets and jobs, no snapshot."""
    cohort.found("first")
    cohort.told("configure", 0, configuration(1))
    hand_in(cohort, 0, 5)
    for place in range(3):
        cohort.told("job", HOST, job_path(place), job(100, 2))
    cohort.told("job-cancel", HOST, job_path(1))


def fill_grown(cohort):
    """Thousands of entries: archived tickets, jobs in each state, versions, and three members."""
    cohort.found("first")
    for version in (1, 2, 3):
        cohort.told("configure", version - 1, configuration(version))
    worker = Worker(cohort, "i-worker")
    for place, end_as in enumerate(("done", "failed", None)):
        cohort.told("job", HOST, job_path(place), job(100, 2))
        for turn in range(24):
            worker.take_heartbeat(end_as if turn % 2 else None)
            cohort.run(0.2)
    cohort.told("job", HOST, job_path(3), job(5000, 1))  # more than any worker has: it waits
    cohort.told("job", HOST, job_path(4), job(5000, 1))
    cohort.told("job-cancel", HOST, job_path(4))
    hand_in(cohort, 0, 700)
    for references, how in ((["t1/head"], "done"), (["t1/tail"], "done"), (["t101/head"], "failed")):
        cohort.act("place", references)
        cohort.act("end", references, how)
    cohort.found("second")  # its membership is part of the newest snapshot
    cohort.run(10)
    hand_in(cohort, 700, 900)
    for version in (1, 2):
        change = {"queues": {f"more-{version}": {"share": version, "limit": 10 * version}}}
        cohort.told("change", version, "merge", change, "operator", f"change {version}")
    cohort.told("area", "c", True)
    cohort.told("drain", "some-minion", True)
    cohort.told("draft", 3, {"queues": {"more-1": {"share": 2}}}, "operator", "a draft")
    cohort.found("third")  # its membership is in the log behind the snapshot
    cohort.run(10)
    cohort.restart()  # so that there was a vote
    cohort.run(10)
    hand_in(cohort, 1600, 20)
    cohort.act("place", ["t201/head", "t301/head"])
    cohort.act("end", ["t301/head"], "done")
    cohort.run(0.2)  # lets the other daemons hear what is committed
    states = [
        [one["state"], *(task["state"] for task in one["tasks"])]
        for one in (cohort.told("ticket", name) for name in ("t1", "t101", "t201", "t301"))
    ]
    assert states == [
        ["finished", "done", "done"],
        ["pending", "waiting", "waiting"],
        ["pending", "placed", "waiting"],
        ["pending", "done", "waiting"],
    ], states


FILLS = {"small": fill_small, "grown": fill_grown}


# --- folders in and out of the test data ----------------------------------------------
def names_in(folder):
    """The daemons whose data folders are in a folder, in a fixed order."""
    return [name for name in AREAS if os.path.isdir(os.path.join(folder, name))]


def shown_by(folder):
    """What each daemon shows right after it opened its folder."""
    return {name: Daemon(name, os.path.join(folder, name), RESTARTED).shown() for name in names_in(folder)}


def restarted(folder, now=RESTARTED):
    """The daemons of a folder, started again."""
    cohort = Cohort(folder, now)
    for name in names_in(folder):
        cohort.add(name)
    return cohort


def listed(cohort):
    """All tickets that the leader lists, archived ones too."""
    found, after = [], 0
    while after is not None:
        page = cohort.told("tickets", after, 500, "", "", "")
        found, after = found + page["tickets"], page["next"]
    return found


def answers_of(cohort):
    """What the restarted daemons answer to reading calls; nothing that time or a leader changes."""
    tickets = listed(cohort)
    jobs = [cohort.ask("job-read", HOST, job_path(place)) for place in range(5)]
    known = cohort.told("cohort")
    setups = cohort.told("setups")
    one = [
        cohort.ask("ticket", identity) for identity in ("t1", "t2", "t101", "t201", "t301", "t1000", "t1601")
    ]
    return plain(
        {
            "tickets by state": collections.Counter(ticket["state"] for ticket in tickets),
            "digest of the tickets": digest_of(tickets),
            "jobs by state": collections.Counter(str(told.get("state")) for _, told in jobs),
            "jobs": jobs,
            "tickets": one,
            "configuration": cohort.told("configuration"),
            "versions of the setup": [line["version"] for line in setups["setups"]],
            "digest of the setups": digest_of(setups),
            "setup": cohort.told("setup", 0),
            "drafts": digest_of(cohort.told("drafts")),
            "cohort": known["cohort"],
            "members": [[one["accord"], one["area"]] for one in known["members"]],
        }
    )


def unpacked_copy(kind, target):
    """Copies a stored set of folders to a folder of the test's own."""
    with tarfile.open(os.path.join(STORED, f"{kind}.tar.gz")) as file:
        file.extractall(target, filter="data")


def rewritten(path, old, new):
    """Puts other bytes, as many, in a stored file, with a digest that fits them."""
    with open(path, "rb") as file:
        body = file.read()[DIGEST_BYTES:]
    assert old in body and len(old) == len(new), path
    with open(path, "wb") as file:
        body = body.replace(old, new)
        file.write(hashlib.sha256(body).digest() + body)


def segment_digest(path):
    """The digest of what a stored segment holds: its bytes depend on the order of maps, which
    differs from one process to the next."""
    with open(path, "rb") as file:
        whole = file.read()
    body = whole[DIGEST_BYTES:]
    assert hashlib.sha256(body).digest() == whole[:DIGEST_BYTES], path
    version, data = cbor2.loads(body)
    numbers, keys, size, chunks = cbor2.loads(data)
    tickets = [cbor2.loads(zlib.decompress(chunk)) for chunk in chunks]
    return digest_of([version, numbers, keys, size, tickets])


def voted(folder, term, candidate):
    """Adds a step by which a daemon voted."""
    store = Store(folder)
    store.load()
    store.write_step([["raft", [[term, None, term - 1, {term: candidate}], None, 0, []]]])


def _pack(folder, path):
    """A tar of a folder; equal folders give equal bytes."""
    with open(path, "wb") as raw, gzip.GzipFile("", "wb", mtime=0, fileobj=raw) as pressed:
        with tarfile.open(fileobj=pressed, mode="w") as file:
            for name in names_in(folder):
                for entry in sorted(os.listdir(os.path.join(folder, name))):
                    with open(os.path.join(folder, name, entry), "rb") as stored:
                        data = stored.read()
                    member = tarfile.TarInfo(f"{name}/{entry}")
                    member.size, member.mode = len(data), 0o644
                    file.addfile(member, io.BytesIO(data))


def make(target):
    """Writes new folders, and what they show, to a folder."""
    os.makedirs(target, exist_ok=True)
    expected = {}
    for kind, fill in FILLS.items():
        with tempfile.TemporaryDirectory(prefix="pinepitch-") as folder:
            fill(Cohort(folder, BEGUN))
            _pack(folder, os.path.join(target, f"{kind}.tar.gz"))
            with tempfile.TemporaryDirectory(prefix="pinepitch-") as copy:
                shutil.copytree(folder, copy, dirs_exist_ok=True)
                shown = shown_by(copy)
                expected[kind] = {"daemons": shown, "answers": answers_of(restarted(copy))}
    with open(os.path.join(target, EXPECTED), "w", encoding="utf-8") as file:
        json.dump(expected, file, indent=1, sort_keys=True)
        file.write("\n")


if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] != "make":
        sys.exit(__doc__)
    make(sys.argv[2])
