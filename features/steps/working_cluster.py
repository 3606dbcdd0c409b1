"""A cluster of one control daemon whose simulated workers do what they are told, in virtual time."""

import random

from assignment_cluster import HOST, SimulatedCluster

BEAT_EVERY = 0.1  # seconds
TASK_SECONDS = 0.3
PRIORITIES = {"checks": 0, "feeds": 1}  # queue -> priority
CONFIGURATION = {
    "version": 1,
    "services": [{"name": "web"}],
    "routes": [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": "web",
            "attempts": 3,
            "priority": priority,
            "aim_ms": 2000,
            "stretch": 2.2,
        }
        for name, priority in PRIORITIES.items()
    ],
}


class WorkingWorker:
    """A worker that runs what it is told. Each of its tasks takes TASK_SECONDS, or lasts if it has no end."""

    def __init__(self, cluster, number, cores):
        self.cluster, self.identity = cluster, f"w{number}"
        self.room = [cores * 1000, 65_536, 0]
        self.sequence = self.end_number = 0
        self.running = {}  # (reference, run) -> when it ends
        self.ended = []
        self.starts = []  # (time, reference)
        self.fails = False  # whether all of its work fails
        self.begins = True  # whether it begins what it is told
        self.token = None

    def _document(self):
        self.sequence += 1
        return {
            "service": "web",
            "address": f"10.9.0.{self.identity[1:]}:80",
            "zone": f"zone-{int(self.identity[1:]) % 3}",
            "state": "ready",
            "sequence": self.sequence,
            "clock_ms": self.cluster.now * 1000,
            "leaves_ms": None,
            "labels": ["a", "r1"],
            "room": list(self.room),
            "running": [[*key, "", self._percent(ends)] for key, ends in self.running.items()],
            "ended": [list(one) for one in self.ended],
        }

    def _percent(self, ends):
        left = min(TASK_SECONDS, ends - self.cluster.now)
        return max(0, min(99, int(100 * (1 - left / TASK_SECONDS))))

    def beat(self):
        """Takes the answer to the last heartbeat, if there is one, and sends the next."""
        if self.token is not None:
            answer = self.cluster.answers.get(self.token)
            if answer is None:
                return
            self._take(answer[1][1] if answer[0] == "answer" else {})
        for key in [key for key, ends in self.running.items() if ends <= self.cluster.now]:
            del self.running[key]
            self._end(key, "failed" if self.fails or key[0][:16] in self.cluster.hopeless else "done")
        self.token = self.cluster.ask("beat", self.identity, self._document())

    def _take(self, told):
        self.ended = [one for one in self.ended if one[0] > told.get("seen", 0)]
        for reference, run in told.get("stop", ()):
            if self.running.pop((reference, run), None) is not None:
                self._end((reference, run), "stopped")
        for reference, run, *_ in told.get("start", ()):
            if self.begins and (reference, run) not in self.running:
                lasts = reference[:16] in self.cluster.lasting
                self.running[(reference, run)] = 1e12 if lasts else self.cluster.now + TASK_SECONDS
                self.starts.append((self.cluster.now, reference))

    def _end(self, key, how):
        self.end_number += 1
        self.ended.append([self.end_number, *key, how, ""])


class WorkingCluster(SimulatedCluster):
    """Invariants: `hopeless` has the jobs whose tasks fail wherever they run, `lasting` those whose tasks do
    not end.
    """

    def __init__(self, workers, cores, seed=1):
        super().__init__()
        self.draw = random.Random(seed)
        self.hopeless, self.lasting, self.accepted = set(), set(), {}
        assert self.told("configure", 0, CONFIGURATION) == (200, {"version": 1})
        self.workers = []
        self.add_workers(workers, cores)
        self.play(2.0)

    def add_workers(self, count, cores):
        """Adds workers, which begin to send heartbeats with the next play()."""
        first = len(self.workers)
        self.workers += [WorkingWorker(self, first + number, cores) for number in range(count)]

    def play(self, seconds):
        """Lets the workers work for some seconds."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            for worker in self.workers:
                worker.beat()
            self.run(BEAT_EVERY)

    def submit(self, queue, document, hopeless=False):
        """Hands in a job and returns its identity and the answer's status."""
        identity = f"{self.draw.randrange(16**16):016x}"
        if hopeless:
            self.hopeless.add(identity)
        if any(step.get("lasts") for step in document["steps"]):
            self.lasting.add(identity)
        status, _ = self.told("job", HOST, f"/{queue}/{identity}", document)
        if status == 200:
            self.accepted[identity] = self.now
        return identity, status

    def put(self, queue, count, cores, hopeless=False, **more):
        """Hands in a job of one step that must be accepted, and returns its identity."""
        step = {"count": count, "cpu": int(cores * 1000), "mem_mb": 1024, "est_ms": 300, **more}
        identity, status = self.submit(queue, {"steps": [step]}, hopeless)
        assert status == 200, status
        return identity

    def state(self, queue, identity):
        """The state of a job, as its caller reads it."""
        status, document = self.told("job-read", HOST, f"/{queue}/{identity}")
        return document["state"] if status == 200 else status
