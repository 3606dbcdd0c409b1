"""A minion: a machine that runs tasks, known only by its reports."""

from typing import NamedTuple

import voluptuous

from ..common import constants, daemon_settings
from .pushed_job import _number, _whole_number, name, shaped


class Report(NamedTuple):
    """What a minion says of itself.

    Invariants: counter grows within an incarnation; running holds (reference, attempt) of
    all it runs now; ended holds (reference, attempt, how) until each is acknowledged;
    heard is the newest cohort time an answer told it, so the report was begun later."""

    worker: str
    zone: str
    address: str
    capacity: int
    labels: tuple
    guards: bool
    incarnation: str
    counter: int
    heard: float
    running: tuple
    ended: tuple


HOW = ("done", "failed", "killed", "refused")
_PAIR = voluptuous.All([voluptuous.Any(str, int)], voluptuous.Length(2, 2))
_TRIPLE = voluptuous.All([voluptuous.Any(str, int)], voluptuous.Length(3, 3))
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("minion"): name,
        voluptuous.Required("area"): name,
        voluptuous.Required("address"): daemon_settings.address,
        voluptuous.Required("room"): _whole_number(0, constants.MAX_UNITS),
        voluptuous.Optional("labels", default=[]): [name],
        voluptuous.Optional("guards", default=False): bool,
        voluptuous.Required("incarnation"): name,
        voluptuous.Required("counter"): _whole_number(0, 10**15),
        voluptuous.Optional("heard", default=0): _number(0, 1e11),
        voluptuous.Required("running"): [_PAIR],
        voluptuous.Required("ended"): [_TRIPLE],
    }
)


def checked(document):
    """(Report, ()) or (None, faults)."""
    plain, faults = shaped(SHAPE, document)
    if faults:
        return None, faults
    for field in ("running", "ended"):
        for place, one in enumerate(plain[field]):
            if not isinstance(one[0], str) or type(one[1]) is not int:
                return None, ((f"{field}.{place}", "expected [reference, attempt, ...]"),)
            if field == "ended" and one[2] not in HOW:
                return None, ((f"{field}.{place}", f"expected one of {', '.join(HOW)}"),)
    return Report(
        plain["minion"],
        plain["area"],
        plain["address"],
        plain["room"],
        tuple(plain["labels"]),
        plain["guards"],
        plain["incarnation"],
        plain["counter"],
        float(plain["heard"]),
        tuple(map(tuple, plain["running"])),
        tuple(map(tuple, plain["ended"])),
    ), ()


class PushWorker:
    """What the leader has gathered of one minion. Not stored: rebuilt from reports.

    Invariants: report is the newest by (incarnation, counter); failing lies in [0, 1]."""

    def __init__(self, report, now):
        self.report = report
        self.heard_at = now
        self.failing = 0.0
        self.trial_at = -1e9
        self.unreached = 0

    def judge(self, well):
        """One more outcome of work or of an order there."""
        weight = 1.0 / constants.LIVENESS_HALF
        self.failing += weight * ((0.0 if well else 1.0) - self.failing)

    def unresponsive(self, now):
        """Whether no report came for so long that it gets no work."""
        return now - self.heard_at > constants.PUSH_WORKER_TIMEOUT

    def poor(self):
        return self.failing > constants.LIVENESS_POOR
