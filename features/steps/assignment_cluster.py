"""A cluster of one control daemon and its workers, stepped by a test with a clock of its own."""

from pinepitch.common import constants
from pinepitch.common.effects import SaveChange, Send, WriteNote
from pinepitch.control.daemon import ControlDaemon

ADDRESS, ADAPTER = "10.0.0.1:7000", "10.0.0.9:7000"
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
HOST, PREFIX = "a.example", "/orders/"
CONFIGURATION = {
    "version": 1,
    "services": [{"name": "web"}],
    "routes": [{"name": "orders", "host": HOST, "prefix": PREFIX, "service": "web", "attempts": 3}],
}


class SimulatedWorker:
    """One incarnation of a worker, and what its heartbeats contain."""

    def __init__(self, identity, address):
        self.identity, self.address = identity, address
        self.sequence, self.state, self.zone = 0, "ready", f"zone-{identity}"
        self.room = [4000, 4096, 0]
        self.running, self.ended = {}, []  # (reference, run) -> saved; [number, reference, run, how, saved]
        self.starts = []  # every start it was ever told
        self.told = {}  # the answer to its newest beat

    def beat(self, now):
        self.sequence += 1
        return (
            self.identity,
            {
                "service": "web",
                "address": self.address,
                "zone": self.zone,
                "state": self.state,
                "sequence": self.sequence,
                "clock_ms": now * 1000 + 77_000,
                "leaves_ms": None,
                "labels": ["a", "r1"],
                "room": list(self.room),
                "running": [
                    [*key, saved, min(99, self.sequence // 4)] for key, saved in self.running.items()
                ],
                "ended": [list(one) for one in self.ended],
            },
        )


class SimulatedCluster:
    """One control daemon and its disk. Invariant: only what was saved is reported as saved."""

    def __init__(self):
        self.now, self.count = 1000.0, 0
        self.saving, self.unsaved = True, []
        self.disk, self.answers, self.sent = [], {}, []
        self.daemon = None
        self.begin()

    def begin(self):
        self.daemon = ControlDaemon(
            "one", ADDRESS, "north", (ADDRESS, "10.0.0.2:7000", "10.0.0.3:7000"), bootstrap_members=1, seed=7
        )
        self.daemon.lease_duration = 4.0
        self.daemon.restore(None, self.disk)
        self.until(lambda: self.daemon.epoch > 0 and self.daemon.common_level() > 1, 15)

    def step(self, *message):
        for effect in self.daemon.step(message, self.now, 1.7e9 + self.now):
            if isinstance(effect, SaveChange):
                self.unsaved.append((effect.sequence, [["raft", effect.change]]))
            elif isinstance(effect, WriteNote):
                self.disk.append([["note", effect.payload]])
            elif isinstance(effect, Send) and effect.address == ADAPTER:
                kind, token, *rest = effect.message
                assert token not in self.answers, "a call was answered twice"
                self.answers[token] = (kind, *rest)
            elif isinstance(effect, Send):
                self.sent.append(effect)
        while self.saving and self.unsaved:
            sequence, step = self.unsaved.pop(0)
            self.disk.append(step)
            self.step("saved", sequence)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + constants.TICK)
            self.step("tick")

    def until(self, happened, seconds):
        end = self.now + seconds
        while not happened():
            assert self.now < end, "it did not happen in time"
            self.run(constants.TICK)

    def ask(self, call, *arguments):
        """Sends a call and returns its token."""
        self.count += 1
        token = f"t{self.count}"
        consensus = self.daemon.consensus
        end = (consensus.term, self.now + constants.CALL_PATIENCE) if consensus is not None else None
        self.step("ask", ADAPTER, token, call, arguments, 1, end)
        return token

    def told(self, call, *arguments):
        """(status, document) of a call whose operation is committed."""
        token = self.ask(call, *arguments)
        self.until(lambda: token in self.answers, 2)
        kind, answer, *_ = self.answers[token]
        assert kind == "answer", kind
        return answer[:2]

    def placed(self):
        """(worker, reference, run) of every run whose end is not proven."""
        return [
            (worker, *key)
            for worker, placements_there in self.daemon.cluster_state.leased_jobs.placements.items()
            for key in placements_there
        ]
