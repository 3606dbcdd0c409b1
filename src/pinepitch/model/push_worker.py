"""A push worker: a machine that runs pushed tasks and is known only by its reports.

On the wire and in operators' interfaces it is called a minion.
"""

from typing import Any, NamedTuple

import voluptuous

from ..common import constants, daemon_settings
from .reliability import Reliability
from .validation import Faults, name, number, shaped, whole_number


class Report(NamedTuple):
    """What a worker reports about itself.

    Invariants: counter increases within an incarnation; running lists (reference, attempt) of
    everything it runs now; ended lists (reference, attempt, how it ended) until each is acknowledged;
    latest_cluster_time is the newest cluster time, in seconds, that the worker received in an answer, so the
    report was begun after that time.
    """

    worker: str
    zone: str
    address: str
    capacity: int  # total units
    labels: tuple[str, ...]
    guards: bool  # whether it refuses work beyond its capacity by itself
    incarnation: str
    counter: int
    latest_cluster_time: float
    running: tuple[tuple[Any, ...], ...]
    ended: tuple[tuple[Any, ...], ...]


# How an attempt may have ended, as reported by a worker.
REPORTED_ENDS = ("done", "failed", "killed", "refused")
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
    """Checks the JSON document of a report: (Report, ()) or (None, faults)."""
    filled, faults = shaped(SHAPE, document)
    faults = faults or _run_faults(filled)
    if faults:
        return None, faults
    report = Report(
        filled["minion"],
        filled["area"],
        filled["address"],
        filled["room"],
        tuple(filled["labels"]),
        filled["guards"],
        filled["incarnation"],
        filled["counter"],
        float(filled["heard"]),
        tuple(map(tuple, filled["running"])),
        tuple(map(tuple, filled["ended"])),
    )
    return report, ()


def _run_faults(filled: dict[str, Any]) -> Faults:
    """The fault of the first malformed item among the running and ended attempts, or ()."""
    for field in ("running", "ended"):
        for position, item in enumerate(filled[field]):
            if not isinstance(item[0], str) or type(item[1]) is not int:
                return ((f"{field}.{position}", "expected [reference, attempt, ...]"),)
            if field == "ended" and item[2] not in REPORTED_ENDS:
                return ((f"{field}.{position}", f"expected one of {', '.join(REPORTED_ENDS)}"),)
    return ()


class PushWorker:
    """What the leader knows about one worker. It is not stored but rebuilt from reports.

    Invariants: report is the newest by (incarnation, counter). heard_at, when the newest report arrived, and
    last_trial_at, when the newest trial began, are seconds of the leader's clock.
    """

    def __init__(self, report: Report, now: float, reliability: Reliability) -> None:
        self.report = report
        self.heard_at = now
        self.reliability = reliability
        self.last_trial_at = -1e9
        self.unreached = 0

    def unresponsive(self, now: float) -> bool:
        """Whether the worker has not reported for so long that it gets no new work."""
        return now - self.heard_at > constants.PUSH_WORKER_TIMEOUT

    def is_unreliable(self) -> bool:
        """Whether the failure rate is so high that the worker gets work only on trial."""
        return self.reliability.is_distrusted()
