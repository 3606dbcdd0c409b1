"""Clients of a soak that leave before their job is answered, and cancel it at another front daemon."""

from pinepitch.simulation.jobs import limits
from pinepitch.simulation.jobs.kinds import step_of

from . import wire

KIND = "leaving"
EVERY = 0.25  # seconds; between two such clients
LEAVES_AFTER = 0.3  # seconds; the client states CALL_TIMEOUT
CALL_TIMEOUT = 3.0  # seconds
CANCEL_AGAIN = 0.2  # seconds; until a cancel that was not acknowledged is sent again
DUE_IN = 5.0  # seconds; until the tasks of a timed job may start
ACKNOWLEDGED = (200, 410)


class LeavingClients:
    """Invariant: once a cancel is acknowledged, its job counts as cancelled at the stand-in client, so that
    the checks find later starts.
    """

    def __init__(self, stand_in, calls, fronts, draw, key_of_job):
        self.stand_in, self.calls, self.fronts = stand_in, calls, fronts
        self.draw, self.key_of_job = draw, key_of_job
        self.next_at = 0.0
        self.cancel_at = {}  # job -> when its cancel is due
        self.acknowledged = 0

    def step(self, now, going):
        """Lets a client hand in a job if it is time, and sends the cancels that are due."""
        if going and now >= self.next_at:
            self.next_at = now + EVERY
            self._submit(now)
        for identity, due in list(self.cancel_at.items()):
            if now >= due:
                del self.cancel_at[identity]
                self.stand_in.jobs[identity]["cancel_sent"] = now
                self._send(identity, "DELETE", None)

    def _submit(self, now):
        queue = self.draw.choice(("held", "bare"))
        identity = self.stand_in.submit(KIND, queue, [step_of(1, 0.5, 200)], now)
        job = self.stand_in.jobs[identity]
        job["out"] = True  # the stand-in client sends nothing about this job itself
        if self.draw.random() < 0.7:
            job["document"].update(first_ms=int((now + DUE_IN) * 1000), every_ms=1000, times=1)
        self._send(identity, "POST", wire.job_of(job["document"]), LEAVES_AFTER)
        self.cancel_at[identity] = now + LEAVES_AFTER

    def _send(self, identity, method, document, leaves_after=None):
        address, path = self.draw.choice(self.fronts), self.stand_in.jobs[identity]["path"]
        request = wire.Request(
            address,
            method,
            path,
            document,
            limits.HOST,
            CALL_TIMEOUT,
            key=self.key_of_job(identity),
            leaves_after=leaves_after,
        )
        self.calls.send(("leaving", identity, method), request)

    def hear(self, identity, method, status, document, now):
        """Takes the answer to a call about a job."""
        if method == "POST":
            return
        if status not in ACKNOWLEDGED:
            self.cancel_at[identity] = now + CANCEL_AGAIN
            return
        state = document["state"] if status == 200 else "cancelled"
        self.acknowledged += 1
        job = self.stand_in.jobs[identity]
        job.update(final=(state, now), looks=0)
        if state == "cancelled":
            job["cancelled"] = now
