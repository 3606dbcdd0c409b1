"""A stand-in for a worker: a decider the simulator and a process run alike.

It keeps a history of what it started and how that ended, for checks after the fact.
Effects: ("answer", request, status, document), ("report", document).
"""

import random

from ..common import constants


class StandInWorker:
    """Invariants: running holds what it runs now; ended holds what no one acknowledged;
    the history is only added to. An unguarded one starts whatever it is told.
    """

    def __init__(self, name, zone, address, capacity, labels=(), guards=True, seed=0, history=None):
        self.name, self.zone, self.address, self.capacity = name, zone, address, capacity
        self.labels, self.guards = list(labels), guards
        self.random = random.Random(f"{name}-{seed}")
        self.history = [] if history is None else history
        self.births = 0
        self.fail_rate = 0.0  # of tasks, beside what their work says
        self.slow = 1.0  # times the length of every task
        self.begin()

    def begin(self):
        """A new incarnation: what ran is gone, and so is what it knew."""
        self.births += 1
        self.incarnation = f"{self.name}.{self.births}.{self.random.randrange(10**9)}"
        self.running = {}  # (reference, attempt) -> (ends at, how, units)
        self.ended = {}  # (reference, attempt) -> how
        self.counter = 0
        self.heard = 0.0
        self.report_at = -1e9
        self.reporting = False
        self.urgent = False

    def crash(self, now):
        """Loses power: everything it ran stops, and ends that nobody acknowledged are lost."""
        for ref, attempt in self.running:
            self.history.append(("gone", now, self.name, self.incarnation, ref, attempt))
        for ref, attempt in self.ended:
            self.history.append(("unsaid", now, self.name, self.incarnation, ref, attempt))
        self.running, self.ended = {}, {}

    def step(self, message, now):
        """Takes a message at a time in seconds; returns effects."""
        kind, *rest = message
        return getattr(self, f"_on_{kind}")(*rest, now)

    def _on_order(self, request, order, now):
        key = (order["task"], order["attempt"])
        if self.guards:
            used = sum(units for _, _, units in self.running.values())
            late = self.heard and order["send_by"] + constants.SEND_MARGIN < self.heard
            if used + order["units"] > self.capacity or late or order["incarnation"] != self.incarnation:
                return [("answer", request, 409, {"error": {"code": "refused"}})]
        work = order.get("work") or {}
        length = work.get("seconds", 0.2) * self.slow
        how = "failed" if self.random.random() < max(work.get("fail", 0.0), self.fail_rate) else "done"
        if order["kind"] == "feed" and how == "done":
            length = work.get("seconds", 1e9)
        self.history.append(("start", now, self.name, self.incarnation, *key, order["units"]))
        self.running[key] = (now + length, how, order["units"])
        return [("answer", request, 200, {"started": True})]

    def _on_kill(self, request, document, now):
        self._kill((document["task"], document["attempt"]), now)
        return [("answer", request, 200, {})]

    def _kill(self, key, now):
        if key in self.running:
            self._end(key, "killed", now)

    def _end(self, key, how, now):
        del self.running[key]
        self.ended[key] = how
        self.history.append(("end", now, self.name, self.incarnation, *key, how))
        self.urgent = True

    def _on_tick(self, now):
        for key, (ends_at, how, _) in list(self.running.items()):
            if now >= ends_at:
                self._end(key, how, now)
        due = now - self.report_at >= constants.REPORT_EVERY
        if (due or (self.urgent and now - self.report_at >= constants.TICK)) and not self.reporting:
            self.report_at, self.urgent, self.reporting = now, False, True
            self.counter += 1
            return [("report", self.report())]
        if self.reporting and now - self.report_at > constants.FORWARD_TIMEOUT + 0.5:
            self.reporting = False
        return []

    def report(self):
        """What it tells the front daemons of itself, what it runs and what has ended."""
        return {
            "minion": self.name,
            "area": self.zone,
            "address": self.address,
            "room": self.capacity,
            "labels": self.labels,
            "guards": self.guards,
            "incarnation": self.incarnation,
            "counter": self.counter,
            "heard": self.heard,
            "running": [list(key) for key in self.running],
            "ended": [[*key, how] for key, how in self.ended.items()],
        }

    def _on_reported(self, status, document, now):
        self.reporting = False
        if status != 200:
            self.urgent = bool(self.ended)
            return []
        for ref, attempt in document["acknowledged"]:
            self.ended.pop((ref, attempt), None)
        self.heard = max(self.heard, document["time"])
        for ref, attempt in document["kill"]:
            self._kill((ref, attempt), now)
        return []
