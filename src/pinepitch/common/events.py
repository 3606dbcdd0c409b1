"""Numbered events: the catalogue, and the logger that every program uses."""

import logging
import sys
from typing import Any

import structlog

PLACING_VIOLATED = 184

# number -> (text, level). Invariant: a number is never reused with another meaning (102 was used before).
# docs/events.md lists the same events. The texts are label values in the answers to /v1/metrics, which
# operators' alerts may match, so they keep the wording of the users' pages.
CATALOGUE = {
    100: ("daemon started", "info"),
    101: ("daemon stopping", "info"),
    103: ("store damaged, counted as empty", "error"),
    104: ("broken invariant, process stops", "critical"),
    105: ("frame refused", "warning"),
    106: ("disk refuses to write", "error"),
    107: ("disk writes again", "warning"),
    108: ("process was stopped", "warning"),
    109: ("committed entry can't be applied, process stops", "critical"),
    110: ("cohort founded", "info"),
    111: ("consent to found persisted", "info"),
    112: ("founding held back: a cohort is known", "info"),
    113: ("asked to join", "info"),
    114: ("no cohort is known, and this daemon may not found one", "warning"),
    120: ("pre-vote begun", "info"),
    121: ("candidate", "info"),
    122: ("leader", "info"),
    123: ("leadership given up", "warning"),
    124: ("vote granted", "info"),
    125: ("disk stalled", "warning"),
    126: ("snapshot written", "info"),
    127: ("snapshot installed", "info"),
    128: ("a follower lacks what it acknowledged", "error"),
    130: ("member change proposed", "info"),
    131: ("member change joint", "info"),
    132: ("member change done", "info"),
    133: ("operation held back: a member does not know it", "warning"),
    134: ("operation held back: the log is full", "warning"),
    135: ("image differs from the leader's at the same index", "critical"),
    136: ("operation refused: the cluster state is full", "warning"),
    140: ("session opened", "info"),
    141: ("session fell", "info"),
    144: ("answer to nobody dropped", "debug"),
    145: ("answer to another call dropped", "error"),
    146: ("call under another's token dropped", "error"),
    147: ("message for another daemon dropped", "debug"),
    150: ("placing duty claimed", "info"),
    151: ("placement refused at apply", "warning"),
    152: ("order sent", "debug"),
    153: ("order outcome unknown", "warning"),
    154: ("order too late, not sent", "warning"),
    155: ("task ended", "debug"),
    156: ("stray task killed", "warning"),
    157: ("minion on trial", "warning"),
    158: ("two machines under one minion's name", "error"),
    160: ("setup in force", "info"),
    161: ("setup change without rehearsal", "warning"),
    162: ("rehearsal done", "info"),
    163: ("draft approved", "info"),
    164: ("alert holds approvals", "warning"),
    165: ("alert no longer holds approvals", "info"),
    170: ("ticket shed", "info"),
    171: ("news stale", "warning"),
    172: ("news fresh again", "info"),
    180: ("minion's life over, what it ran counts as ended", "info"),
    181: ("configuration in force", "info"),
    182: ("settings read again", "info"),
    183: ("run to be stopped", "info"),
    PLACING_VIOLATED: ("invariant of placing broken", "error"),
    185: ("run stopped as stalled was going", "warning"),
    186: ("job handed in", "debug"),
    187: ("job accepted", "debug"),
    188: ("run placed", "debug"),
    189: ("start told", "debug"),
    190: ("job's final state shown", "debug"),
    191: ("callers turned away for want of room", "warning"),
}


def logger(program: str, identity: str, level: str = "info") -> Any:
    """A structlog logger that writes one JSON line per event to standard error."""
    structlog.configure(
        processors=[structlog.processors.TimeStamper(fmt="iso"), structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(program=program, identity=identity)


def emit(log: Any, number: int, **fields: Any) -> None:
    """Writes event `number` at the level of its catalogue entry."""
    text, level = CATALOGUE[number]
    try:
        getattr(log, level)(text, number=number, **fields)
    except OSError:
        pass  # an unwritable log, for example on a full disk, must not stop a daemon
