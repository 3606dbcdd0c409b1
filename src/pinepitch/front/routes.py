"""The registry of the product's API: method, path, handler."""

from collections.abc import Callable
from typing import Any

from .configuration_handlers import approve, back, change, draft, queue_configuration
from .http_request import FORWARDED, HttpRequest, Outcome
from .job_handlers import pushed_jobs, report, submit, withdraw
from .own_state_handlers import health, metrics_text

Handler = Callable[[Any, HttpRequest, float], Outcome]


def _named(call: str, *more: object) -> Handler:
    """A handler that forwards a call with the names in the path, and more arguments if any."""

    def handler(front: Any, request: HttpRequest, now: float) -> Outcome:
        front.forward(request.request, call, (*request.names, *more), now)
        return FORWARDED

    return handler


ROUTES: tuple[tuple[str, str, Handler], ...] = (
    ("POST", "/v1/tickets", submit),
    ("GET", "/v1/tickets", pushed_jobs),
    ("GET", "/v1/tickets/{ticket}", _named("ticket")),
    ("GET", "/v1/tickets/{ticket}/whence", _named("whence")),
    ("POST", "/v1/tickets/{ticket}/cancel", _named("cancel")),
    ("DELETE", "/v1/tickets/{ticket}", _named("cancel")),
    ("GET", "/v1/tasks", _named("live")),
    ("POST", "/v1/reports", report),
    ("GET", "/v1/minions", _named("minions")),
    ("POST", "/v1/minions/{minion}/drain", _named("drain", True)),
    ("POST", "/v1/minions/{minion}/undrain", _named("drain", False)),
    ("POST", "/v1/minions/{minion}/withdraw", withdraw),
    ("GET", "/v1/areas", _named("areas")),
    ("POST", "/v1/areas/{area}/empty", _named("area", True)),
    ("POST", "/v1/areas/{area}/take-back", _named("area", False)),
    ("GET", "/v1/setup", queue_configuration),
    ("GET", "/v1/setup/versions/{version}", queue_configuration),
    ("GET", "/v1/setup/versions", _named("setups")),
    ("PUT", "/v1/setup", change("whole")),
    ("PATCH", "/v1/setup", change("merge")),
    ("POST", "/v1/setup/back", back),
    ("GET", "/v1/table", _named("table")),
    ("POST", "/v1/drafts", draft),
    ("GET", "/v1/drafts", _named("drafts")),
    ("GET", "/v1/drafts/{draft}", _named("one-draft")),
    ("POST", "/v1/drafts/{draft}/rehearse", _named("rehearse")),
    ("POST", "/v1/drafts/{draft}/approve", approve),
    ("DELETE", "/v1/drafts/{draft}", _named("drop")),
    ("GET", "/v1/jobs/{job}", _named("job-explain")),
    ("GET", "/v1/workers", _named("workers")),
    ("GET", "/v1/tenants", _named("tenants")),
    ("GET", "/v1/tenants/{tenant}", _named("tenant")),
    ("GET", "/v1/configuration", _named("configuration-shown")),
    ("GET", "/v1/evacuations", _named("evacuations")),
    ("GET", "/v1/pending", _named("pending")),
    ("GET", "/v1/cohort", _named("cohort")),
    ("GET", "/v1/figures", _named("figures")),
    ("GET", "/v1/holds", _named("holds")),
    ("GET", "/v1/health", health),
    ("GET", "/v1/metrics", metrics_text),
)
