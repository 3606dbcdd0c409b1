"""Requests about leased jobs, heartbeats and the configuration, for control/requests/registry.py.

Each is answered by a leader whose lease stands, so that what it reads is the newest.
"""

from typing import Any

from ..common import constants
from ..model.decisions import Answer, Decision, DeferHeartbeat, Propose, faulty, problem
from . import configuration, explain
from . import leased_job as jobs
from . import worker as workers
from .daemon_interface import Daemon
from .plain_types import Arguments, Document

UNFINISHED = ("queued", "running")  # states of a job


def _unready(core: Daemon) -> Answer | None:
    if not core.cluster_state.leased_jobs.configuration.version:
        return problem(503, "unconfigured", "no configuration is in force yet", constants.RETRY_AFTER)
    return None


def _route(core: Daemon, host: str, path: str) -> tuple[Document, str] | None:
    """(route, rest of the path), or None where no route fits."""
    return core.cluster_state.leased_jobs.configuration.find(host, path)


def submit(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Hands a job in at the queue whose route fits; one that is known already is answered with its state."""
    host, path, document = arguments
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or problem(404, "no_queue", "no route fits")
    route, identity = found
    if not jobs_name(identity):
        return problem(400, "name", "a job is named by 16 hex digits")
    plain, faults = jobs.checked(document)
    if faults:
        return faulty(faults, "the job has faults")
    leased_jobs = core.cluster_state.leased_jobs
    state = leased_jobs.state(identity)
    if state is not None:
        return Answer(200, {"state": state})
    core.trace(186, job=identity, queue=route["name"])
    return Propose(("job", identity, route["name"], plain), "job")


def jobs_name(identity: str) -> bool:
    """Whether a text may name a job."""
    return len(identity) == 16 and all(one in "0123456789abcdefABCDEF" for one in identity)


def submitted(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer once LeasedJobState.accept had this outcome."""
    if outcome[0] in ("accepted", "known"):
        return Answer(200, {"state": core.cluster_state.leased_jobs.state(outcome[1]) or "completed"})
    if outcome[0] == "missing":
        return problem(404, "no_queue", "the route is gone")
    return problem(429, "full", "too many jobs are open", constants.RETRY_AFTER)


def read(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """The state of a job, or with an empty name how many wait at the queue."""
    host, path = arguments
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or problem(404, "no_queue", "no route fits")
    route, identity = found
    leased_jobs = core.cluster_state.leased_jobs
    if not identity:
        return Answer(200, {"waiting": leased_jobs.counts.get(route["name"], 0)})
    state = leased_jobs.state(identity)
    if state is None:
        return problem(410, "no_job", "no such job")
    if state not in UNFINISHED:
        core.trace(190, job=identity, state=state)
    return Answer(200, {"state": state})


def cancel(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Cancels a job; one that is over is answered with its state."""
    host, path = arguments
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or problem(404, "no_queue", "no route fits")
    identity = found[1]
    state = core.cluster_state.leased_jobs.state(identity)
    if state is None:
        return problem(410, "no_job", "no such job")
    if state not in UNFINISHED:
        return Answer(200, {"state": state})
    return Propose(("job-cancel", identity), "job-cancel")


def cancelled(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer once LeasedJobState.cancel had this outcome."""
    if outcome[0] == "missing":
        return problem(410, "no_job", "no such job")
    return Answer(200, {"state": "cancelled" if outcome[0] == "cancelled" else outcome[1]})


def heartbeat(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """A worker's heartbeat: checked here, taken by the assignment manager."""
    identity, document = arguments
    if not workers.checked(document):
        return problem(400, "beat", "the beat can't be read")
    return DeferHeartbeat(identity, document)


def leave(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """A worker says that it ends now."""
    core.assignments.leave(arguments[0], now)
    return Answer(200, {})


def configure(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Brings a whole configuration into force."""
    base, document = arguments
    if not isinstance(document, dict):
        return problem(400, "invalid", "expected an object")
    return Propose(("configure", base, document, configuration.digest_of([base, document])), "configured")


def amend(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Changes named items of the configuration."""
    base, version, upserts, removes = arguments
    digest = configuration.digest_of([base, version, upserts, removes])
    return Propose(("amend", base, version, upserts, removes, digest), "configured")


def configured(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer once Configuration.take or amend had this outcome."""
    if outcome[0] == "configured":
        return Answer(200, {"version": outcome[1]})
    if outcome[0] == "stale":
        return problem(412, "stale", f"version {outcome[1]} is in force", version=outcome[1])
    if outcome[0] == "forgotten":
        return problem(504, "forgotten", f"version {outcome[1]} is too old to tell whether it was taken")
    return faulty(outcome[1], "the configuration has faults", 400)


def configuration_read(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """The configuration in force."""
    return _unready(core) or Answer(200, core.cluster_state.leased_jobs.configuration.document)


def evacuate(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """An order for a zone, with the index of the log that was confirmed as it came."""
    zone, begun, confirmed = arguments
    if not 0 < len(zone) <= constants.MAX_NAME_LENGTH:
        return problem(400, "zone", f"a zone has a name of 1 to {constants.MAX_NAME_LENGTH} characters")
    operation: tuple[Any, ...] = ("evacuation", zone, begun, confirmed)
    if core.cluster_state.levels["evacuation"] > core.common_level():
        operation = ("evacuate", zone, begun)
    return Propose(operation, "evacuated")


def evacuated(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer once Evacuations.take had this outcome."""
    if outcome[0] == "superseded":
        why = "another order for the zone came first; this one was not taken, send it again"
        return problem(503, "superseded", why, constants.RETRY_AFTER)
    if outcome[0] == "full":
        return problem(429, "full", "too many zones are evacuated", constants.RETRY_AFTER)
    return Answer(200, {})


# name on the wire -> how it is handled; part of control/requests/registry.py
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
OUTCOME_ANSWERS = {
    "job": submitted,
    "job-cancel": cancelled,
    "configured": configured,
    "evacuated": evacuated,
}
