"""A soak beside random jobs that nobody can run, up to every limit that validation allows.

By hand: python -m features.soak.hostile FIRST COUNT SECONDS [calm|troubles]
"""

import random
import sys
import tempfile
import time

from pinepitch.simulation.jobs import limits

from . import wire
from .hostile_jobs import document_of
from .processes import STOPPED, event_of
from .report import report
from .soak import CALL_TIMEOUT, Soak, key_of, tenant_of

HAND_IN_EVERY = 0.2  # seconds; the queues of a site add up to 5.2 jobs a second
ANSWERED_WITHIN = 3.0  # seconds; after the traffic each job that was accepted is read by then
GAVE_UP = 123  # the event of a leader that gives up
STOOD_STILL = 0.9  # seconds; callers try another daemon after 1 s without an answer


class HostileSoak(Soak):
    """A soak with random jobs that nobody can run. Without troubles no leader may give up or stand still."""

    def __init__(self, seed, folder, calm):
        super().__init__(seed, folder)
        self.calm, self.hostile_draw = calm, random.Random(f"hostile-{seed}")
        self.hostile_calls, self.accepted, self.refused = wire.Caller(), [], 0
        self.next_hostile = 0.0

    def _step_faults(self, now, going):
        if not self.calm:
            super()._step_faults(now, going)

    def _step(self, going):
        super()._step(going)
        self._hear_hostile()
        if going and time.monotonic() >= self.next_hostile:
            self.next_hostile = time.monotonic() + HAND_IN_EVERY
            identity = f"{self.hostile_draw.randrange(16**16):016x}"
            document = wire.job_of(document_of(self.hostile_draw))
            address = self.hostile_draw.choice(self.processes.fronts)
            self.hostile_calls.send(identity, self._request(address, "POST", identity, document))

    def _request(self, address, method, identity, document=None):
        key = key_of(tenant_of(identity))
        return wire.Request(
            address, method, f"/held/{identity}", document, limits.HOST, CALL_TIMEOUT, key=key
        )

    def _hear_hostile(self):
        for identity, status, document, _ in self.hostile_calls.taken():
            if status == 200:
                self.accepted.append(identity)
            elif status in (429, 503):
                self.refused += 1
            elif status != wire.NO_ANSWER and status != 504:
                self.faults.append(f"hostile job {identity} was answered {status} {document}")

    def _check_configuration(self):
        super()._check_configuration()
        self.hostile_calls.close()
        self._hear_hostile()
        for identity in self.accepted:
            for method in ("GET", "DELETE"):
                self._check_answered(method, identity)
        for name in self.processes.names("core"):
            if self.processes.memory_peak(name) > self.processes.memory_limit:
                self.faults.append(f"{name} took {self.processes.memory_peak(name)} bytes of memory")
        if self.calm:
            self._check_leaders()

    def _check_answered(self, method, identity):
        until, status = time.monotonic() + ANSWERED_WITHIN, None
        while status != 200:
            if time.monotonic() > until:
                self.faults.append(f"{method} of accepted job {identity} was answered {status}")
                return
            address = self.hostile_draw.choice(self.processes.fronts)
            status, _ = wire.exchange(self._request(address, method, identity))

    def _check_leaders(self):
        for path in sorted(self.processes.folder.glob("core*.log")):
            for line in path.read_text(errors="replace").splitlines():
                event = event_of(line) or {}
                stood = event.get("number") == STOPPED and event["seconds"] > STOOD_STILL
                if stood or event.get("number") == GAVE_UP:
                    self.faults.append(f"{path.stem}: {line}")


def hostile_soak(seed, seconds, calm=True):
    """(the Outcome, the jobs accepted that nobody can run, those refused) of one soak. The folder is kept."""
    folder = tempfile.mkdtemp(prefix=f"hostile-{seed}-")
    one = HostileSoak(seed, folder, calm)
    return one.run(seconds), len(one.accepted), one.refused


def main(first="0", count="5", seconds="10", manner="calm"):
    """Prints a line a seed, and what was found; returns 1 when anything was."""

    def run(seed):
        one, accepted, refused = hostile_soak(seed, float(seconds), manner == "calm")
        return one, f"{accepted} accepted, {refused} refused, "

    return report(int(first), int(count), run)


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
