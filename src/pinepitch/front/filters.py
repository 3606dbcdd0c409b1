"""The chain of filters a request passes; each may answer with (status, document, retry,
headers) or "carried"; None hands it on."""

import secrets
from urllib.parse import parse_qsl, unquote, urlsplit

from ..common import constants, metrics
from ..common import document as documents
from ..model import push_worker as minions
from ..model import pushed_job as tickets
from ..model import queue_settings as rows


def no(status, code, message, retry=None, **more):
    """An error answer."""
    return (status, {"error": {"code": code, "message": message, **more}}, retry)


def _faulty(faults):
    return no(
        422,
        "invalid",
        "the document has faults",
        faults=[{"path": path, "message": message} for path, message in faults],
    )


def stopping(front, http_request, now):
    """A stopping verge takes nothing more."""
    if front.stopping:
        return no(503, "stopping", "this verge is stopping", constants.RETRY_AFTER)


def bounds(front, http_request, now):
    """Sizes."""
    if len(http_request["body"]) > constants.MAX_BODY_BYTES:
        return no(413, "too_large", f"over {constants.MAX_BODY_BYTES} bytes")


def target(front, http_request, now):
    """Finds the way that fits the method and path."""
    try:
        parts = urlsplit(http_request["target"])
    except ValueError:
        return no(400, "malformed", "the target can't be read")
    path = [unquote(one) for one in parts.path.split("/") if one]
    http_request["query"] = dict(parse_qsl(parts.query))
    allowed = []
    for method, pattern, handler in ROUTES:
        names = [one for one in pattern.split("/") if one]
        if len(names) != len(path):
            continue
        if any(name != part for name, part in zip(names, path, strict=False) if not name.startswith("{")):
            continue
        if method != http_request["method"]:
            allowed.append(method)
            continue
        http_request["handler"] = handler
        http_request["names"] = [
            part for name, part in zip(names, path, strict=False) if name.startswith("{")
        ]
        return None
    if allowed:
        return no(405, "method", f"allowed: {', '.join(sorted(set(allowed)))}")
    return no(404, "no_such_way", f"nothing at {parts.path}")


def document(front, http_request, now):
    """Reads a JSON body."""
    http_request["document"] = None
    if http_request["body"]:
        http_request["document"], why = documents.read(http_request["body"])
        if why:
            return no(400, "malformed", why)


def serve(front, http_request, now):
    """Answers or carries."""
    return http_request["handler"](front, http_request, now)


# The chain, in order.
FILTERS = (stopping, bounds, target, document, serve)


# --- handlers ------------------------------------------------------------------------
def _submit(front, http_request, now):
    body = http_request["document"]
    if not isinstance(body, dict):
        return no(400, "malformed", "expected a JSON object")
    key = http_request["headers"].get("idempotency-key") or body.get("key") or secrets.token_hex(12)
    body = {**body, "key": key}
    plain, faults = tickets.checked(body)
    if faults:
        return _faulty(faults)
    del plain["key"]
    front.forward(http_request["request"], "submit", (key, tickets.digest_of(plain), plain), now)
    return "carried"


def _report(front, http_request, now):
    report, faults = minions.checked(http_request["document"])
    if faults:
        return _faulty(faults)
    front.forward(http_request["request"], "report", tuple(report), now)
    return "carried"


def _named(call, *more):
    def handler(front, http_request, now):
        front.forward(http_request["request"], call, (*http_request["names"], *more), now)
        return "carried"

    return handler


def _pushed_jobs(front, http_request, now):
    query = http_request["query"]
    try:
        after = int(query.get("after", "0"))
        most = int(query.get("limit", str(constants.MAX_PAGE_ROWS)))
    except ValueError:
        return no(400, "malformed", "after and limit are whole numbers")
    if not 1 <= most <= constants.MAX_PAGE_ROWS or after < 0:
        return no(400, "malformed", f"limit is 1 to {constants.MAX_PAGE_ROWS}, after is not negative")
    front.forward(
        http_request["request"],
        "tickets",
        (after, most, query.get("state", ""), query.get("queue", ""), query.get("key", "")),
        now,
    )
    return "carried"


def _withdraw(front, http_request, now):
    body = http_request["document"] or {}
    due = body.get("due", 0) if isinstance(body, dict) else None
    if isinstance(due, bool) or not isinstance(due, (int, float)):
        return _faulty((("due", "expected a time"),))
    front.forward(http_request["request"], "withdraw", (http_request["names"][0], float(due)), now)
    return "carried"


def _base(http_request):
    """The version an If-Match names, or None; ValueError when it is none of ours."""
    text = http_request["headers"].get("if-match")
    if text is None or text == "*":
        return None
    return int(text.strip().removeprefix("W/").strip('"'))


def _queue_configuration(front, http_request, now):
    try:
        wanted = int(http_request["names"][0]) if http_request["names"] else 0
    except ValueError:
        return no(400, "malformed", "a version is a whole number")
    front.forward(http_request["request"], "setup", (wanted,), now)
    return "carried"


def _who(http_request):
    headers = http_request["headers"]
    return headers.get("x-operator", "unnamed")[: constants.MAX_NAME_LENGTH], headers.get("x-reason", "")[
        :500
    ]


def _change(manner):
    def handler(front, http_request, now):
        try:
            base = _base(http_request)
        except ValueError:
            return no(400, "malformed", "If-Match takes a version")
        if base is None and http_request["headers"].get("if-match") != "*":
            return no(428, "base_needed", "name the version this builds on in If-Match, or * for any")
        if not isinstance(http_request["document"], dict):
            return no(400, "malformed", "expected a JSON object")
        if len(http_request["body"]) > constants.MAX_QUEUE_CONFIGURATION_BYTES:
            return no(
                413, "too_large", f"a setup has at most {constants.MAX_QUEUE_CONFIGURATION_BYTES} bytes"
            )
        front.forward(
            http_request["request"],
            "change",
            (base, manner, http_request["document"], *_who(http_request)),
            now,
        )
        return "carried"

    return handler


def _back(front, http_request, now):
    body = http_request["document"]
    if not isinstance(body, dict) or type(body.get("version")) is not int:
        return _faulty((("version", "expected a whole number"),))
    try:
        base = _base(http_request)
    except ValueError:
        return no(400, "malformed", "If-Match takes a version")
    front.forward(http_request["request"], "back", (base, body["version"], *_who(http_request)), now)
    return "carried"


def _draft(front, http_request, now):
    body = http_request["document"]
    if not isinstance(body, dict) or type(body.get("base")) is not int:
        return _faulty((("base", "expected the version the draft builds on"),))
    if len(http_request["body"]) > constants.MAX_QUEUE_CONFIGURATION_BYTES:
        return no(413, "too_large", f"a draft has at most {constants.MAX_QUEUE_CONFIGURATION_BYTES} bytes")
    patch, faults = body.get("patch"), ()
    if patch is None:
        found = body.get("cells")
        patch, faults = (
            rows.patch_of(found) if isinstance(found, dict) else (None, (("cells", "expected an object"),))
        )
    elif not isinstance(patch, dict):
        faults = (("patch", "expected an object"),)
    if faults:
        return _faulty(faults)
    front.forward(http_request["request"], "draft", (body["base"], patch, *_who(http_request)), now)
    return "carried"


def _approve(front, http_request, now):
    front.forward(http_request["request"], "approve", (http_request["names"][0], *_who(http_request)), now)
    return "carried"


def _health(front, http_request, now):
    ready = front.cluster is not None and not front.stale
    return (200 if ready else 503, front.health(now), None if ready else constants.RETRY_AFTER)


def _metrics(front, http_request, now):
    return (
        200,
        metrics.text(
            [
                *(
                    ("counter", f"verge_{name}", help_text, (), [((), front.counts[name])])
                    for name, help_text in COUNTED
                ),
                (
                    "gauge",
                    "verge_stale",
                    "1 while this verge can't learn news.",
                    (),
                    [((), int(front.stale))],
                ),
                (
                    "gauge",
                    "verge_news_age_seconds",
                    "Since the newest news; -1 before any.",
                    (),
                    [((), now - front.updated_at if front.updated_at is not None else -1)],
                ),
                (
                    "gauge",
                    "verge_setup_version",
                    "Version of the setup in force here.",
                    (),
                    [((), (front.body or {}).get("setup_version") or 0)],
                ),
                (
                    "gauge",
                    "verge_calls_carried_now",
                    "Calls on their way to the leader.",
                    (),
                    [((), len(front.forwarded_calls))],
                ),
                (
                    "gauge",
                    "verge_orders_waiting",
                    "Orders whose time has not come.",
                    (),
                    [((), len(front.waiting_orders))],
                ),
                metrics.event_metric(front.event_counts),
            ]
        ),
        None,
    )


COUNTED = (
    ("calls", "Calls taken."),
    ("carried", "Calls carried to the leader."),
    ("answered", "Carried calls answered."),
    ("unanswered", "Carried calls given up on."),
    ("orders", "Orders sent to minions."),
    ("shed", "Tickets answered with 429."),
)


# The registry of ways: method, path, handler.
ROUTES = (
    ("POST", "/v1/tickets", _submit),
    ("GET", "/v1/tickets", _pushed_jobs),
    ("GET", "/v1/tickets/{ticket}", _named("ticket")),
    ("GET", "/v1/tickets/{ticket}/whence", _named("whence")),
    ("POST", "/v1/tickets/{ticket}/cancel", _named("cancel")),
    ("DELETE", "/v1/tickets/{ticket}", _named("cancel")),
    ("GET", "/v1/tasks", _named("live")),
    ("POST", "/v1/reports", _report),
    ("GET", "/v1/minions", _named("minions")),
    ("POST", "/v1/minions/{minion}/drain", _named("drain", True)),
    ("POST", "/v1/minions/{minion}/undrain", _named("drain", False)),
    ("POST", "/v1/minions/{minion}/withdraw", _withdraw),
    ("GET", "/v1/areas", _named("areas")),
    ("POST", "/v1/areas/{area}/empty", _named("area", True)),
    ("POST", "/v1/areas/{area}/take-back", _named("area", False)),
    ("GET", "/v1/setup", _queue_configuration),
    ("GET", "/v1/setup/versions/{version}", _queue_configuration),
    ("GET", "/v1/setup/versions", _named("setups")),
    ("PUT", "/v1/setup", _change("whole")),
    ("PATCH", "/v1/setup", _change("merge")),
    ("POST", "/v1/setup/back", _back),
    ("GET", "/v1/table", _named("table")),
    ("POST", "/v1/drafts", _draft),
    ("GET", "/v1/drafts", _named("drafts")),
    ("GET", "/v1/drafts/{draft}", _named("one-draft")),
    ("POST", "/v1/drafts/{draft}/rehearse", _named("rehearse")),
    ("POST", "/v1/drafts/{draft}/approve", _approve),
    ("DELETE", "/v1/drafts/{draft}", _named("drop")),
    ("GET", "/v1/jobs/{job}", _named("job-explain")),
    ("GET", "/v1/workers", _named("workers")),
    ("GET", "/v1/configuration", _named("configuration")),
    ("GET", "/v1/evacuations", _named("evacuations")),
    ("GET", "/v1/pending", _named("pending")),
    ("GET", "/v1/cohort", _named("cohort")),
    ("GET", "/v1/figures", _named("figures")),
    ("GET", "/v1/holds", _named("holds")),
    ("GET", "/v1/health", _health),
    ("GET", "/v1/metrics", _metrics),
)
