"""A push worker: a machine that runs pushed tasks, known only by its reports.

On the wire and for operators it is a minion.
"""

from typing import Any, NamedTuple

import voluptuous

from ..common import constants, daemon_settings
from .validation import Faults, name, number, shaped, whole_number


class Report(NamedTuple):
    """What a worker says of itself.

    Invariants: counter grows within an incarnation; running holds (reference, attempt) of
    all it runs now; ended holds (reference, attempt, how) until each is acknowledged;
    heard is the newest cluster time (seconds) that an answer told it: the report was begun
    later.
    """

    worker: str
    zone: str
    address: str
    capacity: int  # units
    labels: tuple[str, ...]
    guards: bool  # whether it refuses itself what is over its capacity
    incarnation: str
    counter: int
    heard: float
    running: tuple[tuple[Any, ...], ...]
    ended: tuple[tuple[Any, ...], ...]


# How an attempt may have ended, by a report.
HOW = ("done", "failed", "killed", "refused")
_PAIR = voluptuous.All([voluptuous.Any(str, int)], voluptuous.Length(2, 2))
_TRIPLE = voluptuous.All([voluptuous.Any(str, int)], voluptuous.Length(3, 3))
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("minion"): name,
        voluptuous.Required("area"): name,
        voluptuous.Required("address"): daemon_settings.address,
        voluptuous.Required("room"): whole_number(0, constants.MAX_UNITS),
        voluptuous.Optional("labels", default=[]): [name],
        voluptuous.Optional("guards", default=False): bool,
        voluptuous.Required("incarnation"): name,
        voluptuous.Required("counter"): whole_number(0, 10**15),
        voluptuous.Optional("heard", default=0): number(0, 1e11),
        voluptuous.Required("running"): [_PAIR],
        voluptuous.Required("ended"): [_TRIPLE],
    }
)


def checked(document: object) -> tuple[Report | None, Faults]:
    """(Report, ()) or (None, faults)."""
    plain, faults = shaped(SHAPE, document)
    faults = faults or _run_faults(plain)
    if faults:
        return None, faults
    report = Report(
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
    )
    return report, ()


def _run_faults(plain: dict[str, Any]) -> Faults:
    """The first of what runs or has ended that is not told as it must be."""
    for field in ("running", "ended"):
        for place, one in enumerate(plain[field]):
            if not isinstance(one[0], str) or type(one[1]) is not int:
                return ((f"{field}.{place}", "expected [reference, attempt, ...]"),)
            if field == "ended" and one[2] not in HOW:
                return ((f"{field}.{place}", f"expected one of {', '.join(HOW)}"),)
    return ()


class PushWorker:
    """What the leader has gathered of one worker. Not stored: rebuilt from reports.

    Invariants: report is the newest by (incarnation, counter); failing, the decaying part of
    outcomes that were bad, lies in [0, 1]. heard_at and trial_at are seconds of the leader's clock.
    """

    def __init__(self, report: Report, now: float) -> None:
        self.report = report
        self.heard_at = now
        self.failing = 0.0
        self.trial_at = -1e9
        self.unreached = 0

    def judge(self, well: bool) -> None:
        """One more outcome of work or of an order there."""
        weight = 1.0 / constants.LIVENESS_HALF
        self.failing += weight * ((0.0 if well else 1.0) - self.failing)

    def unresponsive(self, now: float) -> bool:
        """Whether no report came for so long that it gets no work."""
        return now - self.heard_at > constants.PUSH_WORKER_TIMEOUT

    def poor(self) -> bool:
        """Whether so much failed there that it gets work on trial only."""
        return self.failing > constants.LIVENESS_POOR
