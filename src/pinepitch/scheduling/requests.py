"""Handlers of requests about leased jobs, heartbeats and the configuration, for control/requests/registry.py.

Only a leader whose lease is valid answers requests, so that the state it reads is the newest one.
"""

from collections.abc import Sequence
from typing import Any

from ..common import constants
from ..model.decisions import Answer, Decision, DeferHeartbeat, Propose, ProposeTombstone, faulty, problem
from . import configuration, explain, tenant_calls
from . import job_document as jobs
from . import worker as workers
from .daemon_interface import Daemon
from .leased_job_state import LeasedJobState
from .plain_types import Arguments, Document
from .tombstones import Tombstone

OPEN_STATES = ("queued", "running")  # the states of a job that is not over


def _unconfigured(core: Daemon) -> Answer | None:
    """The answer that refuses a request while no configuration is in force, else None."""
    if not core.cluster_state.leased_jobs.configuration.version:
        return problem(503, "unconfigured", "no configuration is in force yet", constants.RETRY_AFTER)
    return None


def _find_route(core: Daemon, host: str, path: str) -> tuple[Document, str] | None:
    """(route, rest of the path), or None if no route matches."""
    return core.cluster_state.leased_jobs.configuration.find(host, path)


def _calling_tenant(leased_jobs: LeasedJobState, route: Document, key: Sequence[str]) -> str | None:
    """The name of the tenant that calls a route; "" for a call without a tenant's key, if the route allows
    that; None if the call is refused. `key` contains the key of the call, if there is one.
    """
    tenants = leased_jobs.tenants
    owner = tenants.owner(key[0]) if key else None
    if owner is None and (not tenants.keys_required or route.get("public", False)):
        return ""
    return owner


def _unknown_key() -> Answer:
    return problem(401, "unknown_key", "the key is missing, or no tenant's")


def _foreign_job() -> Answer:
    return problem(403, "foreign_job", "the job is another tenant's")


def _authorized_route(
    core: Daemon, host: str, path: str, key: Sequence[str]
) -> tuple[Document, str] | Answer:
    """(route, identity of the job) of a call at a queue that is allowed, or the answer that refuses it."""
    match = _find_route(core, host, path)
    if match is None:
        return _unconfigured(core) or problem(404, "no_queue", "no route fits")
    route, identity = match
    leased_jobs = core.cluster_state.leased_jobs
    tenant = _calling_tenant(leased_jobs, route, key)
    if tenant is None:
        return _unknown_key()
    return match if leased_jobs.may_access(tenant, identity, route) else _foreign_job()


def submit(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Submits a job at the queue whose route matches. The answer for a known job is its state."""
    host, path, document, *key = arguments
    authorized = _authorized_route(core, host, path, key)
    if isinstance(authorized, Answer):
        return authorized
    route, identity = authorized
    if not is_job_name(identity):
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
    return Propose(_job_operation(core, identity, route, plain, key), "job")


def _job_operation(
    core: Daemon, identity: str, route: Document, plain: jobs.PlainJob, key: Sequence[str]
) -> tuple[Any, ...]:
    """The operation that accepts a job. It names the job's tenant once all members know "tenant-job"."""
    operation: tuple[Any, ...] = ("job", identity, route["name"], plain)
    if not _jobs_have_tenants(core):
        return operation
    return ("tenant-job", *operation[1:], _calling_tenant(core.cluster_state.leased_jobs, route, key))


def _jobs_have_tenants(core: Daemon) -> bool:
    """Whether a job that is submitted now belongs to the tenant that calls."""
    return core.cluster_state.leased_jobs.tenants.keys_required and _all_members_know(core, "tenant-job")


def _all_members_know(core: Daemon, operation: str) -> bool:
    """Whether every member of the cluster knows an operation."""
    return core.cluster_state.levels[operation] <= core.common_level()


def is_job_name(identity: str) -> bool:
    """Whether a text is a valid name of a job: 16 hexadecimal digits."""
    return len(identity) == 16 and all(digit in "0123456789abcdefABCDEF" for digit in identity)


def answer_submitted(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a submitted job, from the outcome of LeasedJobState.accept."""
    if outcome[0] in ("accepted", "known"):
        return Answer(200, {"state": core.cluster_state.leased_jobs.state(outcome[1]) or "completed"})
    if outcome[0] == "missing":
        return problem(404, "no_queue", "the route is gone")
    if outcome[0] == "unknown_tenant":
        return _unknown_key()
    if outcome[0] == "foreign":
        return _foreign_job()
    return problem(429, "full", "too many jobs are open", constants.RETRY_AFTER)


def read(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Reads the state of a job or, if the path names no job, the number of queued jobs at the route."""
    host, path, *key = arguments
    authorized = _authorized_route(core, host, path, key)
    if isinstance(authorized, Answer):
        return authorized
    route, identity = authorized
    leased_jobs = core.cluster_state.leased_jobs
    if not identity:
        return Answer(200, {"waiting": leased_jobs.queued_counts.get(route["name"], 0)})
    state = leased_jobs.state(identity)
    if state is None:
        return _no_job()
    if state not in OPEN_STATES:
        core.trace(190, job=identity, state=state)
    return Answer(200, {"state": state})


def cancel(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Cancels a job. If the job is over, the answer is its state."""
    host, path, *key = arguments
    authorized = _authorized_route(core, host, path, key)
    if isinstance(authorized, Answer):
        return authorized
    route, identity = authorized
    state = core.cluster_state.leased_jobs.state(identity)
    if state is None:
        return _cancel_unknown(core, route, identity, key, now)
    if state not in OPEN_STATES:
        return Answer(200, {"state": state})
    return Propose(("job-cancel", identity), "job-cancel")


def _cancel_unknown(core: Daemon, route: Document, identity: str, key: Sequence[str], now: float) -> Decision:
    """Cancels a job that is not known. Its submission may still be on its way, so that the cancellation is
    acknowledged only once a tombstone stops that.
    """
    if not is_job_name(identity) or not _all_members_know(core, "job-cancel-unknown"):
        return _no_job()
    leased_jobs = core.cluster_state.leased_jobs
    tenant = _calling_tenant(leased_jobs, route, key) if _jobs_have_tenants(core) else ""
    tombstone = Tombstone(identity, tenant or "", route["name"] if route.get("public", False) else "")
    time = core.cluster_time(now)
    if leased_jobs.tombstones.is_fresh(time, tombstone):
        return _no_job()
    if not leased_jobs.tombstones.has_room(time, tombstone):
        return _too_many_tombstones()
    return ProposeTombstone(tuple(tombstone))


def _no_job() -> Answer:
    return problem(410, "no_job", "no such job")


def _too_many_tombstones() -> Answer:
    message = "too many unknown jobs were cancelled; this cancellation was not taken"
    return problem(503, "full", message, constants.RETRY_AFTER)


def answer_cancelled(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a cancellation, from the outcome of LeasedJobState.cancel."""
    if outcome[0] == "missing":
        return _no_job()
    return Answer(200, {"state": "cancelled" if outcome[0] == "cancelled" else outcome[1]})


def answer_cancelled_unknown(core: Daemon, outcome: tuple[Any, ...], place: int, now: float) -> Answer:
    """The answer to the cancellation at one place of an operation, from the outcome of
    LeasedJobState.cancel_unknown.
    """
    own_outcome = outcome[1][place]
    if own_outcome[0] == "foreign":
        return _foreign_job()
    if own_outcome[0] == "full":
        return _too_many_tombstones()
    return answer_cancelled(core, own_outcome, None, now)


def heartbeat(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Validates a worker's heartbeat. The assignment manager processes it and answers it, possibly later."""
    identity, document = arguments
    if not workers.is_valid_heartbeat(document):
        return problem(400, "beat", "the beat can't be read")
    return DeferHeartbeat(identity, document)


def leave(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Processes the report of a worker that it leaves."""
    core.assignments.leave(arguments[0], now)
    return Answer(200, {})


def configure(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Replaces the whole configuration."""
    base, document = arguments
    if not isinstance(document, dict):
        return problem(400, "invalid", "expected an object")
    fields = (base, document, configuration.digest_of([base, document]))
    if _all_members_know(core, "configure-tenants"):
        return Propose(("configure-tenants", *fields, True), "configured")
    return Propose(("configure", *fields), "configured")


def amend(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Changes named items of the configuration."""
    base, version, upserts, removes = arguments
    fields = (base, version, upserts, removes, configuration.digest_of([base, version, upserts, removes]))
    if _all_members_know(core, "amend-tenants"):
        return Propose(("amend-tenants", *fields, True), "configured")
    return Propose(("amend", *fields), "configured")


def answer_configured(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to a change of the configuration, from the outcome of Configuration.replace or amend."""
    if outcome[0] == "configured":
        return Answer(200, {"version": outcome[1]})
    if outcome[0] == "stale":
        return problem(412, "stale", f"version {outcome[1]} is in force", version=outcome[1])
    if outcome[0] == "forgotten":
        return problem(504, "forgotten", f"version {outcome[1]} is too old to tell whether it was taken")
    return faulty(outcome[1], "the configuration has faults", 400)


def read_configuration(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Reads the configuration in force."""
    return _unconfigured(core) or Answer(200, core.cluster_state.leased_jobs.configuration.document)


def evacuate(core: Daemon, token: Any, arguments: Arguments, now: float) -> Decision:
    """Begins or ends the evacuation of a zone. `confirmed` is the index of the log that the leader confirmed
    while the caller was waiting (see scheduling/evacuation.py).
    """
    zone, begun, confirmed = arguments
    if not 0 < len(zone) <= constants.MAX_NAME_LENGTH:
        return problem(400, "zone", f"a zone has a name of 1 to {constants.MAX_NAME_LENGTH} characters")
    operation: tuple[Any, ...] = ("evacuation", zone, begun, confirmed)
    if core.cluster_state.levels["evacuation"] > core.common_level():
        operation = ("evacuate", zone, begun)
    return Propose(operation, "evacuated")


def answer_evacuated(core: Daemon, outcome: tuple[Any, ...], extra: Any, now: float) -> Answer:
    """The answer to an order for a zone, from the outcome of Evacuations.apply_order."""
    if outcome[0] == "superseded":
        message = "another order for the zone came first; this one was not taken, send it again"
        return problem(503, "superseded", message, constants.RETRY_AFTER)
    if outcome[0] == "full":
        return problem(429, "full", "too many zones are evacuated", constants.RETRY_AFTER)
    return Answer(200, {})


# Name of a call on the wire -> its handler; control/requests/registry.py includes these.
CALLS = {
    "job": submit,
    "job-read": read,
    "job-cancel": cancel,
    "beat": heartbeat,
    "beat-leave": leave,
    "configure": configure,
    "amend": amend,
    "configuration": read_configuration,
    "evacuate": evacuate,
    **explain.CALLS,
    **tenant_calls.CALLS,
}
# Name of an outcome answer (Propose.outcome_answer) -> the function that makes the answer.
OUTCOME_ANSWERS = {
    "job": answer_submitted,
    "job-cancel": answer_cancelled,
    "job-cancel-unknown": answer_cancelled_unknown,
    "configured": answer_configured,
    "evacuated": answer_evacuated,
}
