"""Requests about leased jobs, heartbeats and the configuration, for control/requests/registry.py.

Each is answered by a leader whose lease stands, so that what it reads is the newest.
"""

from collections.abc import Sequence
from typing import Any

from ..common import constants
from ..model.decisions import Answer, Decision, DeferHeartbeat, Propose, faulty, problem
from . import configuration, explain, tenant_calls
from . import leased_job as jobs
from . import worker as workers
from .daemon_interface import Daemon
from .leased_job_state import LeasedJobState
from .plain_types import Arguments, Document

UNFINISHED = ("queued", "running")  # states of a job


def _unready(core: Daemon) -> Answer | None:
    if not core.cluster_state.leased_jobs.configuration.version:
        return problem(503, "unconfigured", "no configuration is in force yet", constants.RETRY_AFTER)
    return None


def _route(core: Daemon, host: str, path: str) -> tuple[Document, str] | None:
    """(route, rest of the path), or None where no route fits."""
    return core.cluster_state.leased_jobs.configuration.find(host, path)


def _caller(leased_jobs: LeasedJobState, route: Document, key: Sequence[str]) -> str | None:
    """The name of the tenant that calls at a route with a key or none, "" for nobody's call that may pass;
    None where it may not.
    """
    tenants = leased_jobs.tenants
    owner = tenants.owner(key[0]) if key else None
    if owner is None and (not tenants.keys_required or route.get("public", False)):
        return ""
    return owner


def _unknown_key() -> Answer:
    return problem(401, "unknown_key", "the key is missing, or no tenant's")


def _foreign() -> Answer:
    return problem(403, "foreign_job", "the job is another tenant's")


def _admitted(core: Daemon, host: str, path: str, key: Sequence[str]) -> tuple[Document, str] | Answer:
    """(route, rest of the path) of a call at a queue that may pass, or the answer that refuses it."""
    found = _route(core, host, path)
    if found is None:
        return _unready(core) or problem(404, "no_queue", "no route fits")
    route, identity = found
    leased_jobs = core.cluster_state.leased_jobs
    caller = _caller(leased_jobs, route, key)
    if caller is None:
        return _unknown_key()
    return found if leased_jobs.may_name(caller, identity, route) else _foreign()


def submit(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Hands a job in at the queue whose route fits; one that is known already is answered with its state."""
    host, path, document, *key = arguments
    found = _admitted(core, host, path, key)
    if isinstance(found, Answer):
        return found
    route, identity = found
    if not jobs_name(identity):
        return problem(400, "name", "a job is named by 16 hex digits")
    plain, faults = jobs.checked(document)
    if faults:
        return faulty(faults, "the job has faults")
    assert plain is not None, "a job without faults is plain"
    leased_jobs = core.cluster_state.leased_jobs
    state = leased_jobs.state(identity)
    if state is not None:
        return Answer(200, {"state": state})
    core.trace(186, job=identity, queue=route["name"])
    return Propose(_submission(core, identity, route, plain, key), "job")


def _submission(
    core: Daemon, identity: str, route: Document, plain: jobs.PlainJob, key: Sequence[str]
) -> tuple[Any, ...]:
    """The operation that takes a job in; a tenant's only once all members know of tenants."""
    operation: tuple[Any, ...] = ("job", identity, route["name"], plain)
    leased_jobs = core.cluster_state.leased_jobs
    if not leased_jobs.tenants.keys_required or not _known_to_all(core, "tenant-job"):
        return operation
    return ("tenant-job", *operation[1:], _caller(leased_jobs, route, key))


def _known_to_all(core: Daemon, operation: str) -> bool:
    """Whether every member knows an operation."""
    return core.cluster_state.levels[operation] <= core.common_level()


def jobs_name(identity: str) -> bool:
    """Whether a text may name a job."""
    return len(identity) == 16 and all(one in "0123456789abcdefABCDEF" for one in identity)


def submitted(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer once LeasedJobState.accept had this outcome."""
    if outcome[0] in ("accepted", "known"):
        return Answer(200, {"state": core.cluster_state.leased_jobs.state(outcome[1]) or "completed"})
    if outcome[0] == "missing":
        return problem(404, "no_queue", "the route is gone")
    if outcome[0] == "unknown_tenant":
        return _unknown_key()
    if outcome[0] == "foreign":
        return _foreign()
    return problem(429, "full", "too many jobs are open", constants.RETRY_AFTER)


def read(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """The state of a job, or with an empty name how many wait at the queue."""
    host, path, *key = arguments
    found = _admitted(core, host, path, key)
    if isinstance(found, Answer):
        return found
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
    host, path, *key = arguments
    found = _admitted(core, host, path, key)
    if isinstance(found, Answer):
        return found
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
    fields = (base, document, configuration.digest_of([base, document]))
    if _known_to_all(core, "configure-tenants"):
        return Propose(("configure-tenants", *fields, True), "configured")
    return Propose(("configure", *fields), "configured")


def amend(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Changes named items of the configuration."""
    base, version, upserts, removes = arguments
    fields = (base, version, upserts, removes, configuration.digest_of([base, version, upserts, removes]))
    if _known_to_all(core, "amend-tenants"):
        return Propose(("amend-tenants", *fields, True), "configured")
    return Propose(("amend", *fields), "configured")


def configured(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer once Configuration.replace or amend had this outcome."""
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
    **tenant_calls.CALLS,
}
OUTCOME_ANSWERS = {
    "job": submitted,
    "job-cancel": cancelled,
    "configured": configured,
    "evacuated": evacuated,
}
