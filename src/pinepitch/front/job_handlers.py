"""Handlers of requests about pushed jobs and the workers that run them."""

import secrets
from typing import Any

from ..common import constants
from ..model import push_worker, pushed_job
from .http_request import FORWARDED, HttpRequest, Outcome, faulty, problem


def submit(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Hands a pushed job in, under its idempotency key or one that is made up for it."""
    body = request.document
    if not isinstance(body, dict):
        return problem(400, "malformed", "expected a JSON object")
    key = request.headers.get("idempotency-key") or body.get("key") or secrets.token_hex(12)
    plain, faults = pushed_job.checked({**body, "key": key})
    if plain is None:
        return faulty(faults)
    del plain["key"]
    front.forward(request.request, "submit", (key, pushed_job.digest_of(plain), plain), now)
    return FORWARDED


def report(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the report of a worker."""
    found, faults = push_worker.checked(request.document)
    if found is None:
        return faulty(faults)
    front.forward(request.request, "report", tuple(found), now)
    return FORWARDED


def pushed_jobs(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the request for one page of the listing of pushed jobs."""
    query = request.query
    try:
        after = int(query.get("after", "0"))
        most = int(query.get("limit", str(constants.MAX_PAGE_ROWS)))
    except ValueError:
        return problem(400, "malformed", "after and limit are whole numbers")
    if not 1 <= most <= constants.MAX_PAGE_ROWS or after < 0:
        return problem(400, "malformed", f"limit is 1 to {constants.MAX_PAGE_ROWS}, after is not negative")
    selected = (query.get("state", ""), query.get("queue", ""), query.get("key", ""))
    front.forward(request.request, "tickets", (after, most, *selected), now)
    return FORWARDED


def withdraw(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the order to move a worker's tasks away by a time (seconds since 1970; 0 for now)."""
    body = request.document or {}
    due = body.get("due", 0) if isinstance(body, dict) else None
    if isinstance(due, bool) or not isinstance(due, (int, float)):
        return faulty((("due", "expected a time"),))
    front.forward(request.request, "withdraw", (request.names[0], float(due)), now)
    return FORWARDED
