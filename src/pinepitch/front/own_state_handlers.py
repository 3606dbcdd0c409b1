"""Handlers for the state of the front daemon itself: health and metrics."""

from typing import Any

from ..common import constants, metrics
from ..transport.callers import metrics_of
from .http_request import Answer, HttpRequest

# (key of FrontDaemon.counts and part of the metric's name, help)
COUNTED = (
    ("calls", "Calls taken."),
    ("carried", "Calls carried to the leader."),
    ("answered", "Carried calls answered."),
    ("unanswered", "Carried calls given up on."),
    ("orders", "Orders sent to minions."),
    ("shed", "Tickets answered with 429."),
)


def health(front: Any, request: HttpRequest, now: float) -> Answer:
    """200 while the daemon knows its cluster and has recent updates, else 503."""
    ready = front.cluster is not None and not front.stale
    return Answer(
        200 if ready else 503, _health_document(front, now), None if ready else constants.RETRY_AFTER
    )


def _health_document(front: Any, now: float) -> dict[str, Any]:
    """The state of this daemon and its view of the cluster."""
    return {
        "identity": front.identity,
        "area": front.zone,
        "cohort": front.cluster,
        "leader": front.leader,
        "stale": front.stale,
        "setup_version": (front.body or {}).get("setup_version"),
        "accords": front.control_daemons.addresses(),
        "time": front.cluster_time.earliest(now),
        "orders_under_way": len(front.orders.waiting),
    }


def metrics_text(front: Any, request: HttpRequest, now: float) -> Answer:
    """All metrics of this daemon as text."""
    counters = [
        ("counter", f"verge_{name}", help_text, (), [((), front.counts[name])]) for name, help_text in COUNTED
    ]
    gauges = [
        ("gauge", f"verge_{name}", help_text, (), [((), value)])
        for name, help_text, value in _gauges(front, now)
    ]
    families = [*counters, *gauges, *metrics_of(front.callers), metrics.event_metric(front.event_counts)]
    return Answer(200, metrics.text(families))


def _gauges(front: Any, now: float) -> tuple[tuple[str, str, float], ...]:
    """(part of the name, help, value) of each gauge."""
    updates_age = now - front.updated_at if front.updated_at is not None else -1
    version = (front.body or {}).get("setup_version") or 0
    return (
        ("stale", "1 while this verge can't learn news.", int(front.stale)),
        ("news_age_seconds", "Since the newest news; -1 before any.", updates_age),
        ("setup_version", "Version of the setup in force here.", version),
        ("calls_carried_now", "Calls on their way to the leader.", len(front.product_requests.calls)),
        ("orders_waiting", "Orders whose time has not come.", len(front.orders.waiting)),
    )
