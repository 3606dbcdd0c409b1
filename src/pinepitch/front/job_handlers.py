"""Handlers of requests about pushed jobs and the workers that run them."""

import secrets
from typing import Any

from ..common import constants
from ..model import push_worker, pushed_job
from .http_request import FORWARDED, HttpRequest, Outcome, faulty, problem


def submit(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards a new pushed job, under the client's idempotency key or a generated one."""
    body = request.document
    if not isinstance(body, dict):
        return problem(400, "malformed", "expected a JSON object")
    key = request.headers.get("idempotency-key") or body.get("key") or secrets.token_hex(12)
    job, faults = pushed_job.checked({**body, "key": key})
    if job is None:
        return faulty(faults)
    del job["key"]
    front.forward(request.request, "submit", (key, pushed_job.digest_of(job), job), now)
    return FORWARDED


def report(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the report of a worker."""
    worker_report, faults = push_worker.checked(request.document)
    if worker_report is None:
        return faulty(faults)
    front.forward(request.request, "report", tuple(worker_report), now)
    return FORWARDED


def pushed_jobs(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the request for one page of the listing of pushed jobs."""
    query = request.query
    try:
        after = int(query.get("after", "0"))
        limit = int(query.get("limit", str(constants.MAX_PAGE_ROWS)))
    except ValueError:
        return problem(400, "malformed", "after and limit are whole numbers")
    if not 1 <= limit <= constants.MAX_PAGE_ROWS or after < 0:
        return problem(400, "malformed", f"limit is 1 to {constants.MAX_PAGE_ROWS}, after is not negative")
    selection = (query.get("state", ""), query.get("queue", ""), query.get("key", ""))
    front.forward(request.request, "tickets", (after, limit, *selection), now)
    return FORWARDED


def withdraw(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards an order to move a worker's tasks away by `due` (seconds since 1970; 0 for now)."""
    body = request.document or {}
    due = body.get("due", 0) if isinstance(body, dict) else None
    if isinstance(due, bool) or not isinstance(due, (int, float)):
        return faulty((("due", "expected a time"),))
    front.forward(request.request, "withdraw", (request.names[0], float(due)), now)
    return FORWARDED
