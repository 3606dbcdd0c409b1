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


def stopping(verge, ticket, now):
    """A stopping verge takes nothing more."""
    if verge.stopping:
        return no(503, "stopping", "this verge is stopping", constants.COME_BACK)


def bounds(verge, ticket, now):
    """Sizes."""
    if len(ticket["body"]) > constants.BODY_MOST:
        return no(413, "too_large", f"over {constants.BODY_MOST} bytes")


def target(verge, ticket, now):
    """Finds the way that fits the method and path."""
    try:
        parts = urlsplit(ticket["target"])
    except ValueError:
        return no(400, "malformed", "the target can't be read")
    path = [unquote(one) for one in parts.path.split("/") if one]
    ticket["query"] = dict(parse_qsl(parts.query))
    allowed = []
    for method, pattern, handler in WAYS:
        names = [one for one in pattern.split("/") if one]
        if len(names) != len(path):
            continue
        if any(name != part for name, part in zip(names, path, strict=False) if not name.startswith("{")):
            continue
        if method != ticket["method"]:
            allowed.append(method)
            continue
        ticket["handler"] = handler
        ticket["names"] = [part for name, part in zip(names, path, strict=False) if name.startswith("{")]
        return None
    if allowed:
        return no(405, "method", f"allowed: {', '.join(sorted(set(allowed)))}")
    return no(404, "no_such_way", f"nothing at {parts.path}")


def document(verge, ticket, now):
    """Reads a JSON body."""
    ticket["document"] = None
    if ticket["body"]:
        ticket["document"], why = documents.read(ticket["body"])
        if why:
            return no(400, "malformed", why)


def serve(verge, ticket, now):
    """Answers or carries."""
    return ticket["handler"](verge, ticket, now)


# The chain, in order.
FILTERS = (stopping, bounds, target, document, serve)


# --- handlers ------------------------------------------------------------------------
def _submit(verge, ticket, now):
    body = ticket["document"]
    if not isinstance(body, dict):
        return no(400, "malformed", "expected a JSON object")
    key = ticket["headers"].get("idempotency-key") or body.get("key") or secrets.token_hex(12)
    body = {**body, "key": key}
    plain, faults = tickets.checked(body)
    if faults:
        return _faulty(faults)
    del plain["key"]
    verge.carry(ticket["request"], "submit", (key, tickets.digest_of(plain), plain), now)
    return "carried"


def _report(verge, ticket, now):
    report, faults = minions.checked(ticket["document"])
    if faults:
        return _faulty(faults)
    verge.carry(ticket["request"], "report", tuple(report), now)
    return "carried"


def _named(call, *more):
    def handler(verge, ticket, now):
        verge.carry(ticket["request"], call, (*ticket["names"], *more), now)
        return "carried"

    return handler


def _tickets(verge, ticket, now):
    query = ticket["query"]
    try:
        after = int(query.get("after", "0"))
        most = int(query.get("limit", str(constants.PAGE_MOST)))
    except ValueError:
        return no(400, "malformed", "after and limit are whole numbers")
    if not 1 <= most <= constants.PAGE_MOST or after < 0:
        return no(400, "malformed", f"limit is 1 to {constants.PAGE_MOST}, after is not negative")
    verge.carry(
        ticket["request"],
        "tickets",
        (after, most, query.get("state", ""), query.get("queue", ""), query.get("key", "")),
        now,
    )
    return "carried"


def _withdraw(verge, ticket, now):
    body = ticket["document"] or {}
    due = body.get("due", 0) if isinstance(body, dict) else None
    if isinstance(due, bool) or not isinstance(due, (int, float)):
        return _faulty((("due", "expected a time"),))
    verge.carry(ticket["request"], "withdraw", (ticket["names"][0], float(due)), now)
    return "carried"


def _base(ticket):
    """The version an If-Match names, or None; ValueError when it is none of ours."""
    text = ticket["headers"].get("if-match")
    if text is None or text == "*":
        return None
    return int(text.strip().removeprefix("W/").strip('"'))


def _setup(verge, ticket, now):
    try:
        wanted = int(ticket["names"][0]) if ticket["names"] else 0
    except ValueError:
        return no(400, "malformed", "a version is a whole number")
    verge.carry(ticket["request"], "setup", (wanted,), now)
    return "carried"


def _who(ticket):
    headers = ticket["headers"]
    return headers.get("x-operator", "unnamed")[: constants.NAME_MOST], headers.get("x-reason", "")[:500]


def _change(manner):
    def handler(verge, ticket, now):
        try:
            base = _base(ticket)
        except ValueError:
            return no(400, "malformed", "If-Match takes a version")
        if base is None and ticket["headers"].get("if-match") != "*":
            return no(428, "base_needed", "name the version this builds on in If-Match, or * for any")
        if not isinstance(ticket["document"], dict):
            return no(400, "malformed", "expected a JSON object")
        if len(ticket["body"]) > constants.SETUP_MOST:
            return no(413, "too_large", f"a setup has at most {constants.SETUP_MOST} bytes")
        verge.carry(ticket["request"], "change", (base, manner, ticket["document"], *_who(ticket)), now)
        return "carried"

    return handler


def _back(verge, ticket, now):
    body = ticket["document"]
    if not isinstance(body, dict) or type(body.get("version")) is not int:
        return _faulty((("version", "expected a whole number"),))
    try:
        base = _base(ticket)
    except ValueError:
        return no(400, "malformed", "If-Match takes a version")
    verge.carry(ticket["request"], "back", (base, body["version"], *_who(ticket)), now)
    return "carried"


def _draft(verge, ticket, now):
    body = ticket["document"]
    if not isinstance(body, dict) or type(body.get("base")) is not int:
        return _faulty((("base", "expected the version the draft builds on"),))
    if len(ticket["body"]) > constants.SETUP_MOST:
        return no(413, "too_large", f"a draft has at most {constants.SETUP_MOST} bytes")
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
    verge.carry(ticket["request"], "draft", (body["base"], patch, *_who(ticket)), now)
    return "carried"


def _approve(verge, ticket, now):
    verge.carry(ticket["request"], "approve", (ticket["names"][0], *_who(ticket)), now)
    return "carried"


def _health(verge, ticket, now):
    ready = verge.cohort is not None and not verge.stale
    return (200 if ready else 503, verge.health(now), None if ready else constants.COME_BACK)


def _metrics(verge, ticket, now):
    return (
        200,
        metrics.text(
            [
                *(
                    ("counter", f"verge_{name}", told, (), [((), verge.counts[name])])
                    for name, told in COUNTED
                ),
                (
                    "gauge",
                    "verge_stale",
                    "1 while this verge can't learn news.",
                    (),
                    [((), int(verge.stale))],
                ),
                (
                    "gauge",
                    "verge_news_age_seconds",
                    "Since the newest news; -1 before any.",
                    (),
                    [((), now - verge.news_at if verge.news_at is not None else -1)],
                ),
                (
                    "gauge",
                    "verge_setup_version",
                    "Version of the setup in force here.",
                    (),
                    [((), (verge.body or {}).get("setup_version") or 0)],
                ),
                (
                    "gauge",
                    "verge_calls_carried_now",
                    "Calls on their way to the leader.",
                    (),
                    [((), len(verge.carried))],
                ),
                (
                    "gauge",
                    "verge_orders_waiting",
                    "Orders whose time has not come.",
                    (),
                    [((), len(verge.waiting_orders))],
                ),
                metrics.event_figures(verge.event_counts),
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
WAYS = (
    ("POST", "/v1/tickets", _submit),
    ("GET", "/v1/tickets", _tickets),
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
    ("GET", "/v1/setup", _setup),
    ("GET", "/v1/setup/versions/{version}", _setup),
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
