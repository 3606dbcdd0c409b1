"""Handlers of requests about the queue configuration and its drafts."""

from collections.abc import Callable
from typing import Any

from ..common import constants
from ..model import queue_settings
from .http_request import FORWARDED, Answer, HttpRequest, Outcome, faulty, problem

MAX_REASON_LENGTH = 500  # characters; of an operator's reason, the rest is cut off


def _base(request: HttpRequest) -> int | None:
    """The version an If-Match names, or None; ValueError when it is none of ours."""
    text = request.headers.get("if-match")
    if text is None or text == "*":
        return None
    return int(text.strip().removeprefix("W/").strip('"'))


def _who(request: HttpRequest) -> tuple[str, str]:
    """(operator, reason) as the headers tell them."""
    operator = request.headers.get("x-operator", "unnamed")[: constants.MAX_NAME_LENGTH]
    return operator, request.headers.get("x-reason", "")[:MAX_REASON_LENGTH]


def _too_large(request: HttpRequest, what: str) -> Answer | None:
    """The answer to a body that is larger than a queue configuration may be."""
    if len(request.body) <= constants.MAX_QUEUE_CONFIGURATION_BYTES:
        return None
    return problem(413, "too_large", f"{what} has at most {constants.MAX_QUEUE_CONFIGURATION_BYTES} bytes")


def queue_configuration(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the request for a version of the queue configuration; 0 is the one in force."""
    try:
        wanted = int(request.names[0]) if request.names else 0
    except ValueError:
        return problem(400, "malformed", "a version is a whole number")
    front.forward(request.request, "setup", (wanted,), now)
    return FORWARDED


def change(manner: str) -> Callable[[Any, HttpRequest, float], Outcome]:
    """A handler that forwards a change: "whole" replaces the configuration, "merge" patches it
    (RFC 7396).
    """

    def handler(front: Any, request: HttpRequest, now: float) -> Outcome:
        try:
            base = _base(request)
        except ValueError:
            return problem(400, "malformed", "If-Match takes a version")
        if base is None and request.headers.get("if-match") != "*":
            return problem(428, "base_needed", "name the version this builds on in If-Match, or * for any")
        if not isinstance(request.document, dict):
            return problem(400, "malformed", "expected a JSON object")
        refused = _too_large(request, "a setup")
        if refused is not None:
            return refused
        arguments = (base, manner, request.document, *_who(request))
        front.forward(request.request, "change", arguments, now)
        return FORWARDED

    return handler


def back(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the order to go back to an earlier version."""
    body = request.document
    if not isinstance(body, dict) or type(body.get("version")) is not int:
        return faulty((("version", "expected a whole number"),))
    try:
        base = _base(request)
    except ValueError:
        return problem(400, "malformed", "If-Match takes a version")
    front.forward(request.request, "back", (base, body["version"], *_who(request)), now)
    return FORWARDED


def draft(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards a draft: a patch, or the cells of the queue table that it changes."""
    body = request.document
    if not isinstance(body, dict) or type(body.get("base")) is not int:
        return faulty((("base", "expected the version the draft builds on"),))
    refused = _too_large(request, "a draft")
    if refused is not None:
        return refused
    patch, faults = _patch_of(body)
    if faults:
        return faulty(faults)
    front.forward(request.request, "draft", (body["base"], patch, *_who(request)), now)
    return FORWARDED


def _patch_of(body: dict[str, Any]) -> tuple[Any, Any]:
    """(the patch that a draft's body names, faults)."""
    patch = body.get("patch")
    if patch is not None:
        return patch, () if isinstance(patch, dict) else (("patch", "expected an object"),)
    cells = body.get("cells")
    if not isinstance(cells, dict):
        return None, (("cells", "expected an object"),)
    found: tuple[Any, Any] = queue_settings.patch_of(cells)
    return found


def approve(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the approval of a draft."""
    front.forward(request.request, "approve", (request.names[0], *_who(request)), now)
    return FORWARDED
