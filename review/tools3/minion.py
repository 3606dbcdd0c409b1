"""A stand-in minion that follows PROTOCOL.md: heartbeats, holds, starts, stops, ends, draining and leaving.

The taskSpec of a job is JSON: {"ms": length of a task, "cpu": thousandths of a core, "how": how its runs end}; a length
of 0 means that the task lasts.
"""

import asyncio
import json
import random
import time

from deployment import call

ANSWER_WITHIN = 1.0  # seconds; a later answer is dropped
HEARTBEAT = 1.5  # seconds; unless an answer says otherwise
HOLD_MAX = 6.0  # seconds; a longer hold is cut back to this
STOP_TAKES = 0.1  # seconds


class Minion:
    """One life of a minion. `listeners` are called with each start and end."""

    def __init__(self, name, service, zone, controls, record, labels=("a", "r1-1"), cpu=16000, history=None):
        self.identity = f"i-{name}-{random.randrange(16**6):06x}"
        self.name, self.service, self.zone, self.labels, self.cpu = name, service, zone, list(labels), cpu
        self.controls, self.record, self.history = list(controls), record, history if history is not None else []
        self.turn = random.randrange(len(self.controls))
        self.home = None
        self.sequence = self.fence = self.end_number = 0
        self.running = {}  # (task, run) -> [begun, milliseconds, stop at or None, cpu, how]
        self.ended = {}  # number -> [task, run, how, saved]
        self.barred = {}  # task -> highest run that stopped or ended here
        self.hold_until = None
        self.state, self.alive = "ready", True
        self.drain_acknowledged = asyncio.Event()
        self.sooner = asyncio.Event()
        self.before_obey = None  # may be set: called with each answer before it is carried out
        self.tasks = []

    def begin(self):
        self.tasks = [asyncio.create_task(self._beats()), asyncio.create_task(self._work())]

    def crash(self):
        """The machine is gone: everything that it ran is gone, and nothing more is said."""
        if self.alive:
            self.alive = False
            for key in self.running:
                self.history.append((self.record.now(), "gone", self.name, *key))
            self.record("minion", self.name, "gone, ran", list(self.running))
            self.running = {}
            for task in self.tasks:
                task.cancel()

    def _document(self):
        now = time.monotonic()
        self.sequence += 1
        document = {
            "serviceName": self.service,
            "address": "127.0.0.1:9",
            "zone": self.zone,
            "configVersion": "v1",
            "freeSlots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "freeRoom": {"cpuUnits": self.cpu, "taskMemoryMb": 65536, "gpuCount": 0},
            "labels": self.labels,
            "clockMs": int(now * 1000),
            "callSequence": self.sequence,
            "running": [
                [*key, "", min(99, int(100 * (now - run[0]) * 1000 / run[1])) if run[1] else 0]
                for key, run in self.running.items()
            ],
            "endedAt": [[number, *end] for number, end in list(self.ended.items())[:500]],
        }
        if self.state == "draining":
            document["leavesAtMs"] = 2000
        return document

    def _target(self):
        return self.home or self.controls[self.turn % len(self.controls)]

    async def call(self, path, document=None):
        """One call to a control daemon; a failure moves on to the next one."""
        target = self._target()
        status, answer = await call(target, "POST", path, document, timeout=ANSWER_WITHIN)
        if status // 100 != 2:
            self.home, self.turn = None, self.turn + 1
        return status, answer

    async def _beats(self):
        while self.alive:
            self.sooner.clear()
            sent, state = time.monotonic(), self.state
            status, answer = await self.call(f"/api/Minions.Heartbeat/{self.identity}", self._document())
            if not self.alive:
                return
            if status // 100 != 2:
                await asyncio.sleep(0.05)
                continue
            if state == "draining":
                self.drain_acknowledged.set()
            if self.before_obey is not None:
                self.before_obey(answer)
                if not self.alive:
                    return
            self._obey(answer, sent)
            wait = answer.get("retryAfterMs", HEARTBEAT * 1000) / 1000
            if self.sooner.is_set():
                wait = min(wait, 0.05)
            try:
                await asyncio.wait_for(self.sooner.wait(), wait)
                await asyncio.sleep(0.05)
            except TimeoutError:
                pass

    def _obey(self, answer, sent):
        if answer.get("heartbeatAddress"):
            self.home = answer["heartbeatAddress"]
        fence = answer.get("fenceNumber", 0)
        if fence < self.fence:
            return
        self.fence = fence
        for number in [number for number in self.ended if number <= answer.get("lastSeen", 0)]:
            task, run, how, _ = self.ended.pop(number)
            self.history.append((self.record.now(), "noted", self.name, task, run, how))
        if "holdMs" not in answer:
            return
        until = sent + min(answer["holdMs"] / 1000, HOLD_MAX)
        self.hold_until = until if self.hold_until is None else max(self.hold_until, until)
        for task, run in answer.get("stop", ()):
            key = (task, run)
            if key in self.running:
                if self.running[key][2] is None:
                    self.running[key][2] = time.monotonic() + STOP_TAKES
            else:
                self.barred[task] = max(run, self.barred.get(task, 0))
        for task, run, spec, _ in answer.get("start", ()):
            self._start((task, run), spec)

    def _start(self, key, spec):
        task, run = key
        if key in self.running:
            return
        what = json.loads(spec)
        used = sum(one[3] for one in self.running.values())
        if run <= self.barred.get(task, 0) or used + what["cpu"] > self.cpu:
            self._list_end(key, "refused")
            return
        self.running[key] = [time.monotonic(), what["ms"], None, what["cpu"], what.get("how", "done")]
        self.history.append((self.record.now(), "start", self.name, task, run))
        self.record("minion", self.name, "starts", task, "run", run)

    def _end(self, key, how):
        del self.running[key]
        self.history.append((self.record.now(), how, self.name, *key))
        self.record("minion", self.name, "run ends", *key, how)
        self._list_end(key, how)

    def _list_end(self, key, how):
        self.end_number += 1
        self.ended[self.end_number] = [*key, how, ""]
        self.barred[key[0]] = max(key[1], self.barred.get(key[0], 0))
        self.sooner.set()

    async def _work(self):
        while self.alive:
            now = time.monotonic()
            if self.hold_until is not None and now >= self.hold_until:
                self.hold_until = None
                for key in list(self.running):
                    self._end(key, "lapsed")
            for key, (begun, milliseconds, stop_at, _, how) in list(self.running.items()):
                if stop_at is not None and now >= stop_at:
                    self._end(key, "stopped")
                elif milliseconds and (now - begun) * 1000 >= milliseconds:
                    self._end(key, how)
            await asyncio.sleep(0.01)
