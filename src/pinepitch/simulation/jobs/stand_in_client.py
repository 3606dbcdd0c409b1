"""The stand-in client that submits jobs."""

import json
import random

from .kinds import KINDS
from .limits import FINAL, HOST, READ_EVERY


class StandInClient:
    """A stand-in client, written as a decider without I/O.

    It submits each job until it gets a definite answer, reads the state of accepted jobs until it is final
    and twice more, and cancels some. Invariant: the history is append-only. Effects: ("call", selector, call,
    arguments, tag), where `selector` chooses the daemon.
    """

    def __init__(self, seed):
        self.random = random.Random(f"patron-{seed}")
        self.jobs = {}  # identity -> its state at the client, a dict
        self.history = []  # ("read", sent, answered, identity, status, state)
        self.faults = []
        self.stopped = False
        self.rate = 1.0
        self.open, self.retry = {}, []

    def step(self, message, now):
        """Takes a message, `tick` or `answered`, at a time in seconds; returns the calls to send."""
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
        """The call to send for a job now, or None."""
        if job["refused"] is not None:
            return None
        if job["accepted"] is None:
            return "job"
        if job["final"] is not None:
            return "job-read" if job["looks"] > 0 else None
        cancels = (job["cancel_at"] is not None and now >= job["cancel_at"]) or (
            self.stopped and job["kind"] == "lasting"
        )
        if cancels and job["cancelled"] is None:
            job["cancel_sent"] = job["cancel_sent"] or now
            return "job-cancel"
        return "job-read"

    def _make(self, kind, now):
        identity = f"{self.random.randrange(16**16):016x}"
        steps = KINDS[kind][1]()
        queue = self.random.choice(("held", "bare"))
        times = {}
        if kind == "timed":
            times = {"first_ms": (now + self.random.uniform(0.5, 3)) * 1000, "every_ms": 1200, "times": 3}
        cancels = kind == "lasting" or self.random.random() < 0.12
        cancel_at = now + self.random.uniform(0.5, 12) if cancels else None
        self._add(identity, kind, queue, steps, now, cancel_at, times)

    def submit(self, kind, queue, steps, now):
        """Submits one more job of steps as step_of returns them; returns its identity."""
        identity = f"{self.random.randrange(16**16):016x}"
        self._add(identity, kind, queue, steps, now, None, {})
        return identity

    def _add(self, identity, kind, queue, steps, now, cancel_at, times):
        """Adds a job that is submitted with the next tick."""
        spec = json.dumps({"steps": [description for _, description in steps], "job": identity[:4]})
        self.jobs[identity] = {
            "identity": identity,
            "kind": kind,
            "queue": queue,
            "path": f"/{queue}/{identity}",
            "document": {"spec": spec, "steps": [step for step, _ in steps], **times},
            "sent": now,
            "unclear": False,
            "accepted": None,
            "refused": None,
            "final": None,
            "looks": 2,
            "cancel_at": cancel_at,
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
        """Whether every job was refused or has a final state that was read again."""
        return all(
            job["refused"] is not None or (job["final"] is not None and job["looks"] <= 0)
            for job in self.jobs.values()
        )
