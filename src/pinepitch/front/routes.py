"""The registry of the product's API: method, path, handler."""

from collections.abc import Callable
from typing import Any

from .configuration_handlers import approve, back, change, draft, queue_configuration
from .http_request import FORWARDED, HttpRequest, Outcome
from .job_handlers import pushed_jobs, report, submit, withdraw
from .own_state_handlers import health, metrics_text

Handler = Callable[[Any, HttpRequest, float], Outcome]


def _forwarding(call: str, *more: object) -> Handler:
    """Returns a handler that forwards a call with the names in the path, followed by `more`."""

    def handler(front: Any, request: HttpRequest, now: float) -> Outcome:
        front.forward(request.request, call, (*request.names, *more), now)
        return FORWARDED

    return handler


ROUTES: tuple[tuple[str, str, Handler], ...] = (
    ("POST", "/v1/tickets", submit),
    ("GET", "/v1/tickets", pushed_jobs),
    ("GET", "/v1/tickets/{ticket}", _forwarding("ticket")),
    ("GET", "/v1/tickets/{ticket}/whence", _forwarding("whence")),
    ("POST", "/v1/tickets/{ticket}/cancel", _forwarding("cancel")),
    ("DELETE", "/v1/tickets/{ticket}", _forwarding("cancel")),
    ("GET", "/v1/tasks", _forwarding("live")),
    ("POST", "/v1/reports", report),
    ("GET", "/v1/minions", _forwarding("minions")),
    ("POST", "/v1/minions/{minion}/drain", _forwarding("drain", True)),
    ("POST", "/v1/minions/{minion}/undrain", _forwarding("drain", False)),
    ("POST", "/v1/minions/{minion}/withdraw", withdraw),
    ("GET", "/v1/areas", _forwarding("areas")),
    ("POST", "/v1/areas/{area}/empty", _forwarding("area", True)),
    ("POST", "/v1/areas/{area}/take-back", _forwarding("area", False)),
    ("GET", "/v1/setup", queue_configuration),
    ("GET", "/v1/setup/versions/{version}", queue_configuration),
    ("GET", "/v1/setup/versions", _forwarding("setups")),
    ("PUT", "/v1/setup", change("whole")),
    ("PATCH", "/v1/setup", change("merge")),
    ("POST", "/v1/setup/back", back),
    ("GET", "/v1/table", _forwarding("table")),
    ("POST", "/v1/drafts", draft),
    ("GET", "/v1/drafts", _forwarding("drafts")),
    ("GET", "/v1/drafts/{draft}", _forwarding("one-draft")),
    ("POST", "/v1/drafts/{draft}/rehearse", _forwarding("rehearse")),
    ("POST", "/v1/drafts/{draft}/approve", approve),
    ("DELETE", "/v1/drafts/{draft}", _forwarding("drop")),
    ("GET", "/v1/jobs/{job}", _forwarding("job-explain")),
    ("GET", "/v1/workers", _forwarding("workers")),
    ("GET", "/v1/tenants", _forwarding("tenants")),
    ("GET", "/v1/tenants/{tenant}", _forwarding("tenant")),
    ("GET", "/v1/configuration", _forwarding("configuration-shown")),
    ("GET", "/v1/evacuations", _forwarding("evacuations")),
    ("GET", "/v1/pending", _forwarding("pending")),
    ("GET", "/v1/cohort", _forwarding("cohort")),
    ("GET", "/v1/figures", _forwarding("figures")),
    ("GET", "/v1/holds", _forwarding("holds")),
    ("GET", "/v1/health", health),
    ("GET", "/v1/metrics", metrics_text),
)
