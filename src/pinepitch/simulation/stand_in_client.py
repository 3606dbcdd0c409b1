"""A stand-in for callers: sends jobs at a rate and keeps a history of every answer.

A decider. Effects: ("call", call, front daemon, method, target, document).
"""

import random

from ..common import constants

# What each kind of caller sends, by the brief: rate a second and the shape of the job.
NKANSAH = (
    (
        "fault-check",
        5.0,
        {"queue": "field", "urgency": 6, "count": 12, "shape": "fan", "units": 1, "seconds": 0.1},
    ),
    (
        "scan",
        1.0,
        {
            "queue": "imaging",
            "urgency": 4,
            "count": 2,
            "shape": "chain",
            "units": 2,
            "labels": ["graphics"],
            "seconds": 0.4,
        },
    ),
    (
        "inspection",
        1.0,
        {
            "queue": "imaging",
            "urgency": 3,
            "count": 2,
            "shape": "gang",
            "units": 1,
            "labels": ["graphics"],
            "seconds": 0.3,
        },
    ),
    (
        "plan",
        0.2,
        {"queue": "planning", "urgency": 2, "count": 6, "shape": "waves", "units": 2, "seconds": 0.5},
    ),
    ("feed", 0.1, {"queue": "feeds", "urgency": 7, "count": 1, "shape": "feed", "units": 1, "seconds": 8.0}),
)
PINTURAS = (
    (
        "match",
        8.0,
        {"queue": "counter", "urgency": 7, "count": 2, "shape": "chain", "units": 1, "seconds": 0.2},
    ),
    (
        "recipe",
        1.0,
        {"queue": "planning", "urgency": 2, "count": 4, "shape": "chain", "units": 2, "seconds": 0.3},
    ),
    ("card", 1.0, {"queue": "lab", "urgency": 3, "count": 4, "shape": "fan", "units": 1, "seconds": 0.3}),
)
SOON = 0.02  # seconds; the first read of a job comes this soon after its acceptance
TRIES = 5  # times a caller that is told to come back does so


def make(shape, now, fail):
    """The document of one job."""
    count, tasks = shape["count"], []
    for place in range(count):
        task = {
            "name": f"s{place}",
            "units": shape["units"],
            "labels": shape.get("labels", []),
            "work": {"seconds": shape["seconds"], "fail": fail},
        }
        if shape["shape"] == "chain" and place:
            task["after"] = [f"s{place - 1}"]
        elif shape["shape"] == "fan" and place == count - 1:
            task["after"] = [f"s{one}" for one in range(count - 1)]
        elif shape["shape"] == "gang":
            task["gang"] = "g"
        elif shape["shape"] == "waves" and place >= count // 2:
            task["after"] = [f"s{one}" for one in range(count // 2)]
            task["not_before"] = now + 2.0
        tasks.append(task)
    return {
        "queue": shape["queue"],
        "urgency": shape["urgency"],
        "kind": "feed" if shape["shape"] == "feed" else "batch",
        "tasks": tasks,
    }


class StandInClient:
    """Invariants: a key is used for one body; accepted maps a job to (key, when,
    document); history is only added to.
    """

    def __init__(self, name, traffic, seed=0, rate=1.0, fail=0.03, poll=0.5, cancels=0.0):
        self.name, self.traffic, self.rate, self.fail, self.poll = name, traffic, rate, fail, poll
        self.cancels = cancels  # part of the accepted jobs that are cancelled soon after
        self.random = random.Random(f"{name}-{seed}")
        self.history = []
        self.count = 0
        self.pending_calls = {}  # call -> (kind, key or job, document, begun)
        self.retry = []  # (when, key, document)
        self.accepted = {}
        self.regrets = {}  # job -> when it is to be cancelled
        self.tries = {}  # key -> how often it was shed
        self.open = {}  # job -> when to ask next
        self.next_at = {}
        self.stopped = False

    def step(self, message, now):
        """Takes a message, `tick` or `answered`, at a time in seconds; returns the calls to send."""
        return getattr(self, f"_on_{message[0]}")(*message[1:], now)

    def _call(self, kind, subject, document, method, target, now):
        self.count += 1
        self.pending_calls[self.count] = (kind, subject, document, now)
        return ("call", self.count, self.random.randrange(1_000_000), method, target, document)

    def _on_tick(self, now):
        calls = []
        for kind, rate, shape in self.traffic:
            if kind not in self.next_at:
                self.next_at[kind] = now + self.random.expovariate(rate * self.rate)
            while not self.stopped and self.next_at[kind] <= now:
                self.next_at[kind] += self.random.expovariate(rate * self.rate)
                key = f"{self.name}-{kind}-{self.count}"
                document = {**make(shape, now, 0.0 if shape["shape"] == "feed" else self.fail), "key": key}
                self.history.append(("sent", now, key))
                calls.append(self._call("submit", key, document, "POST", "/v1/tickets", now))
        for when, key, document in [one for one in self.retry if one[0] <= now]:
            self.retry.remove((when, key, document))
            calls.append(self._call("submit", key, document, "POST", "/v1/tickets", now))
        for pushed_job, when in list(self.regrets.items()):
            if when <= now:
                del self.regrets[pushed_job]
                calls.extend(self.cancel(pushed_job, now))
        for pushed_job, when in list(self.open.items()):
            if when <= now:
                self.open[pushed_job] = now + 1e9
                calls.append(self._call("read", pushed_job, None, "GET", f"/v1/tickets/{pushed_job}", now))
        return calls

    def cancel(self, pushed_job, now):
        """Cancels a job; returns the call to send."""
        return [self._call("cancel", pushed_job, None, "POST", f"/v1/tickets/{pushed_job}/cancel", now)]

    def _on_answered(self, call, status, document, now):
        """Status 0 means that no answer came."""
        kind, subject, sent, begun = self.pending_calls.pop(call)
        if kind == "submit":
            if status in (200, 201):
                pushed_job = document["ticket"]
                self.accepted[pushed_job] = (subject, now, sent)
                self.open[pushed_job] = now + SOON
                if self.cancels and self.random.random() < self.cancels:
                    self.regrets[pushed_job] = now + self.random.uniform(0.0, 1.0)
                self.history.append(("accepted", now, subject, pushed_job, now - begun))
            elif status in (0, 429, 503):
                self.history.append(("shed" if status == 429 else "unanswered", now, subject, now - begun))
                self.tries[subject] = self.tries.get(subject, 0) + (status == 429)
                if self.tries[subject] < TRIES:
                    self.retry.append((now + constants.RETRY_AFTER, subject, sent))
                else:
                    self.history.append(("given-up", now, subject))
            else:
                self.history.append(("refused", now, subject, status))
        elif kind == "read":
            self.open[subject] = now + self.poll
            if status == 404:
                self.history.append(("unknown", now, subject))
            elif status == 200:
                self.history.append(("seen", now, subject, document["state"]))
                if document["state"] in ("finished", "failed", "cancelled"):
                    del self.open[subject]
                    self.history.append(("final", now, subject, document["state"], document["tasks"]))
        elif kind == "cancel" and status == 200:
            self.history.append(("cancelled", now, subject))
        return []
