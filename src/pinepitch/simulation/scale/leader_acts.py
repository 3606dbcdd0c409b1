"""What a leader computes for each kind of act beside a busy fleet: counts that repeat, and processor time.

One process and a virtual clock; heartbeats come as frames, as those that followers forward.
"""

import collections
import heapq
import itertools
import json
import random
import sys
import time
from typing import NamedTuple

from ...scheduling.assigner import Assigner
from ..jobs import limits
from .costs import Alone
from .load import RACK

HEARTBEAT_SOON = 0.05  # seconds; from the end of a run to the heartbeat that lists it
TICK = 0.025  # seconds
CAPACITY = (32_000, 128_000, 8)  # thousandths of a core, megabytes, accelerators
TASK = {"cpu": 3_700, "mem_mb": 11_000, "gpu": 1, "attempts": 4}
TASK_SECONDS = 1.2
TASKS = 5  # of each job
JOBS_PER_WORKER = 0.13  # a second
ROUND = "round"  # the kind of act that no message names


class Act(NamedTuple):
    """What acts of one kind took: how often, calls of functions for each, and microseconds of each."""

    count: int
    calls: float
    microseconds: float


class ActCounter:
    """Counts the calls of functions by kind of act. A round is apart from the message that it comes with."""

    def __init__(self):
        self.counts, self.calls = collections.Counter(), collections.Counter()
        self.seconds = collections.Counter()
        self.kinds = []  # of the acts under way, the innermost last

    def _called(self, frame, event, argument):
        if event == "call":
            self.calls[self.kinds[-1]] += 1

    def run(self, kind, act, *arguments):
        """Runs an act as one of a kind, and returns its result."""
        outer = sys.getprofile()
        self.kinds.append(kind)
        self.counts[kind] += 1
        begun = time.thread_time()
        sys.setprofile(self._called)
        try:
            return act(*arguments)
        finally:
            sys.setprofile(outer)
            took = time.thread_time() - begun
            self.seconds[kind] += took
            self.kinds.pop()
            if self.kinds:
                self.seconds[self.kinds[-1]] -= took

    def acts(self):
        """{kind: Act} of all that ran."""
        return {
            kind: Act(count, round(self.calls[kind] / count, 1), round(1e6 * self.seconds[kind] / count))
            for kind, count in sorted(self.counts.items())
        }


class BusyWorker:
    """A worker that runs what it is told. Invariant: `waiting` while a heartbeat has no answer."""

    def __init__(self, place):
        self.place, self.identity = place, f"i-w{place}"
        self.running, self.ended, self.known = {}, {}, set()
        self.sequence = self.end_number = 0
        self.waiting = False

    def heartbeat(self, now):
        """Its next heartbeat."""
        self.sequence += 1
        return {
            "service": "held",
            "address": f"10.0.{self.place // 250}.{self.place % 250}:1",
            "zone": "abc"[self.place % 3],
            "state": "ready",
            "sequence": self.sequence,
            "clock_ms": round(now * 1000),
            "leaves_ms": None,
            "labels": [f"r{self.place // RACK}"],
            "room": list(CAPACITY),
            "running": [[*key, "", 50] for key in self.running],
            "ended": [[number, *key, "done", ""] for number, key in self.ended.items()],
        }

    def end(self, key):
        """A run is done."""
        del self.running[key]
        self.end_number += 1
        self.ended[self.end_number] = key


class BusyFleet:
    """Workers and jobs of a leader that is alone. Invariant: equal seeds make equal histories."""

    def __init__(self, workers, seed=0):
        self.alone = Alone().begin()
        self.counter = ActCounter()
        self.draw = random.Random(seed)
        self.workers = [BusyWorker(place) for place in range(workers)]
        self.asked = {}  # token of a heartbeat -> its worker
        self.events, self.order = [], itertools.count()
        self.jobs = 0
        for worker in self.workers:
            self._at(self.draw.random(), self._heartbeat, worker)
        self._at(0.0, self._tick)
        self._at(0.0, self._job)

    def _at(self, delay, act, *arguments):
        heapq.heappush(self.events, (self.alone.now + delay, next(self.order), act, arguments))

    def run(self, seconds):
        """{kind: Act} of so many virtual seconds; what came before counts too."""
        round_of = Assigner.run_round
        end = self.alone.now + seconds
        Assigner.run_round = lambda *given: self.counter.run(ROUND, round_of, *given)
        try:
            while self.events[0][0] < end:
                self.alone.now, _, act, arguments = heapq.heappop(self.events)
                act(*arguments)
                self._take_answers()
        finally:
            Assigner.run_round = round_of
        return self.counter.acts()

    def _tick(self):
        self.counter.run("tick", self.alone.give, ("tick",))
        self._at(TICK, self._tick)

    def _job(self):
        self.jobs += 1
        path = f"/held/{self.jobs:016x}"
        step = {"count": TASKS, "est_ms": 1000 * TASK_SECONDS, **TASK}
        self.counter.run("job", self.alone.ask, "job", limits.HOST, path, {"spec": "{}", "steps": [step]})
        self._at(self.draw.expovariate(JOBS_PER_WORKER * len(self.workers)), self._job)

    def _heartbeat(self, worker):
        if worker.waiting:
            return
        worker.waiting = True
        self.asked[f"t{self.alone.count + 1}"] = worker
        heartbeat = worker.heartbeat(self.alone.now)
        self.counter.run("heartbeat", self.alone.ask, "beat", worker.identity, heartbeat)

    def _end(self, worker, key):
        worker.end(key)
        self._at(HEARTBEAT_SOON, self._heartbeat, worker)

    def _take_answers(self):
        sent, self.alone.sent = self.alone.sent, []
        for message in sent:
            worker = self.asked.pop(message[1], None) if message[0] == "answer" else None
            if worker is not None:
                self._obey(worker, message[2][1])

    def _obey(self, worker, document):
        worker.waiting = False
        seen = document.get("seen", 0)
        worker.ended = {number: key for number, key in worker.ended.items() if number > seen}
        for reference, run, _, _ in document.get("start", ()):
            key = (reference, run)
            if key not in worker.known:
                worker.known.add(key)
                worker.running[key] = True
                self._at(TASK_SECONDS * self.draw.uniform(0.6, 1.4), self._end, worker, key)
        soon = HEARTBEAT_SOON if worker.ended else document.get("again_ms", 0) / 1000
        self._at(soon, self._heartbeat, worker)


def leader_acts(sizes=(50, 200, 750), seconds=3.0):
    """Prints what each kind of act takes beside fleets of these sizes."""
    results = {}
    for workers in sizes:
        acts = BusyFleet(workers).run(seconds)
        results[f"{workers} workers"] = {kind: act._asdict() for kind, act in acts.items()}
    print(json.dumps(results, indent=1), flush=True)
    return results
