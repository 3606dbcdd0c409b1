"""Calls about jobs, heartbeats and the configuration, for the registry in control/requests.py.

Each is answered by a leader whose lease stands, so that what it reads is the newest.
"""

from typing import Any

from ..common import constants
from . import configuration, explain
from . import leased_job as jobs
from . import worker as workers
from .daemon_interface import Daemon
from .plain_types import Answer, Arguments, Decision, Document

UNFINISHED = ("queued", "running")  # states of a job


def problem(status: int, code: str, message: str, retry: float | None = None, **more: Any) -> Answer:
    """An answer that says no."""
    return (status, {"error": {"code": code, "message": message, **more}}, retry)


def _answer(*rest: Any) -> Decision:
    return ("answer", rest)


def _unready(core: Daemon) -> Decision | None:
    if not core.cluster_state.leased_jobs.configuration.version:
        return (
            "answer",
            problem(503, "unconfigured", "no configuration is in force yet", constants.RETRY_AFTER),
        )
    return None


def _route(core: Daemon, host: str, path: str) -> tuple[Document, str] | None:
    """(route, rest of the path), or None where no route fits."""
    return core.cluster_state.leased_jobs.configuration.find(host, path)


def submit(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Hands a job in at the queue whose route fits; one that is known already is answered with its state."""
    host, path, document = arguments
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or ("answer", problem(404, "no_queue", "no route fits"))
    route, identity = found
    if not jobs_name(identity):
        return ("answer", problem(400, "name", "a job is named by 16 hex digits"))
    plain, faults = jobs.checked(document)
    if faults:
        return (
            "answer",
            problem(
                422,
                "invalid",
                "the job has faults",
                faults=[{"path": path, "message": message} for path, message in faults],
            ),
        )
    leased_jobs = core.cluster_state.leased_jobs
    state = leased_jobs.state(identity)
    if state is not None:
        return _answer(200, {"state": state}, None)
    core.trace(186, job=identity, queue=route["name"])
    return ("agree", ("job", identity, route["name"], plain), "job", None)


def jobs_name(identity: str) -> bool:
    """Whether a text may name a job."""
    return len(identity) == 16 and all(one in "0123456789abcdefABCDEF" for one in identity)


def submitted(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a call whose operation had this outcome: LeasedJobState.accept."""
    if outcome[0] in ("accepted", "known"):
        return (200, {"state": core.cluster_state.leased_jobs.state(outcome[1]) or "completed"}, None)
    if outcome[0] == "missing":
        return problem(404, "no_queue", "the route is gone")
    return problem(429, "full", "too many jobs are open", constants.RETRY_AFTER)


def read(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """The state of a job, or with an empty name how many wait at the queue."""
    host, path = arguments
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or ("answer", problem(404, "no_queue", "no route fits"))
    route, identity = found
    leased_jobs = core.cluster_state.leased_jobs
    if not identity:
        return _answer(200, {"waiting": leased_jobs.counts.get(route["name"], 0)}, None)
    state = leased_jobs.state(identity)
    if state is None:
        return ("answer", problem(410, "no_job", "no such job"))
    if state not in UNFINISHED:
        core.trace(190, job=identity, state=state)
    return _answer(200, {"state": state}, None)


def cancel(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Cancels a job; one that is over is answered with its state."""
    host, path = arguments
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or ("answer", problem(404, "no_queue", "no route fits"))
    identity = found[1]
    state = core.cluster_state.leased_jobs.state(identity)
    if state is None:
        return ("answer", problem(410, "no_job", "no such job"))
    if state not in UNFINISHED:
        return _answer(200, {"state": state}, None)
    return ("agree", ("job-cancel", identity), "job-cancel", None)


def cancelled(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a call whose operation had this outcome: LeasedJobState.cancel."""
    if outcome[0] == "missing":
        return problem(410, "no_job", "no such job")
    return (200, {"state": "cancelled" if outcome[0] == "cancelled" else outcome[1]}, None)


def heartbeat(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """A worker's heartbeat: checked here, taken by the assignment manager."""
    identity, document = arguments
    if not workers.checked(document):
        return ("answer", problem(400, "beat", "the beat can't be read"))
    return ("beat", identity, document)


def leave(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """A worker says that it ends now."""
    core.assignments.leave(arguments[0], now)
    return _answer(200, {}, None)


def configure(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Brings a whole configuration into force."""
    base, document = arguments
    if not isinstance(document, dict):
        return ("answer", problem(400, "invalid", "expected an object"))
    return (
        "agree",
        ("configure", base, document, configuration.digest_of([base, document])),
        "configured",
        None,
    )


def amend(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Changes named items of the configuration."""
    base, version, upserts, removes = arguments
    digest = configuration.digest_of([base, version, upserts, removes])
    return ("agree", ("amend", base, version, upserts, removes, digest), "configured", None)


def configured(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a call whose operation had this outcome: Configuration.take."""
    if outcome[0] == "configured":
        return (200, {"version": outcome[1]}, None)
    if outcome[0] == "stale":
        return problem(412, "stale", f"version {outcome[1]} is in force", version=outcome[1])
    if outcome[0] == "forgotten":
        return problem(504, "forgotten", f"version {outcome[1]} is too old to tell whether it was taken")
    return problem(
        400,
        "invalid",
        "the configuration has faults",
        faults=[{"path": path, "message": message} for path, message in outcome[1]],
    )


def configuration_read(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """The configuration in force."""
    return _unready(core) or _answer(200, core.cluster_state.leased_jobs.configuration.document, None)


def evacuate(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """An order for a zone, with the index of the log that was confirmed as it came."""
    zone, begun, confirmed = arguments
    if not 0 < len(zone) <= constants.MAX_NAME_LENGTH:
        return (
            "answer",
            problem(400, "zone", f"a zone has a name of 1 to {constants.MAX_NAME_LENGTH} characters"),
        )
    operation: tuple[Any, ...] = ("evacuation", zone, begun, confirmed)
    if core.cluster_state.levels["evacuation"] > core.common_level():
        operation = ("evacuate", zone, begun)
    return ("agree", operation, "evacuated", None)


def evacuated(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a call whose operation had this outcome: Evacuations.take."""
    if outcome[0] == "superseded":
        why = "another order for the zone came first; this one was not taken, send it again"
        return problem(503, "superseded", why, constants.RETRY_AFTER)
    if outcome[0] == "full":
        return problem(429, "full", "too many zones are evacuated", constants.RETRY_AFTER)
    return (200, {}, None)


# name of a call -> how it is answered; read by control/requests.py
CALLS = {
    "job": submit,
    "job-read": read,
    "job-cancel": cancel,
    "beat": heartbeat,
    "beat-leave": leave,
    "configure": configure,
    "amend": amend,
    "configuration": configuration_read,
    "evacuate": evacuate,
    **explain.CALLS,
}
SHAPES = {"job": submitted, "job-cancel": cancelled, "configured": configured, "evacuated": evacuated}
