"""Handlers of requests about the queue configuration and its drafts."""

from collections.abc import Callable
from typing import Any

from ..common import constants
from ..model import queue_settings
from .http_request import FORWARDED, Answer, HttpRequest, Outcome, faulty, problem

MAX_REASON_LENGTH = 500  # characters; longer reasons of operators are truncated


def _base_version(request: HttpRequest) -> int | None:
    """The version that If-Match names; None if the header is missing or *. Raises ValueError if malformed."""
    text = request.headers.get("if-match")
    if text is None or text == "*":
        return None
    return int(text.strip().removeprefix("W/").strip('"'))


def _operator_and_reason(request: HttpRequest) -> tuple[str, str]:
    """(operator, reason) from the headers, truncated to their maximum lengths."""
    operator = request.headers.get("x-operator", "unnamed")[: constants.MAX_NAME_LENGTH]
    return operator, request.headers.get("x-reason", "")[:MAX_REASON_LENGTH]


def _too_large(request: HttpRequest, what: str) -> Answer | None:
    """The answer to a body that exceeds MAX_QUEUE_CONFIGURATION_BYTES, else None."""
    if len(request.body) <= constants.MAX_QUEUE_CONFIGURATION_BYTES:
        return None
    return problem(413, "too_large", f"{what} has at most {constants.MAX_QUEUE_CONFIGURATION_BYTES} bytes")


def queue_configuration(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the request for a version of the queue configuration; 0 is the active one."""
    try:
        version = int(request.names[0]) if request.names else 0
    except ValueError:
        return problem(400, "malformed", "a version is a whole number")
    front.forward(request.request, "setup", (version,), now)
    return FORWARDED


def change(mode: str) -> Callable[[Any, HttpRequest, float], Outcome]:
    """Returns a handler that forwards a change; `mode` "whole" replaces the configuration, "merge" patches
    it (RFC 7396).
    """

    def handler(front: Any, request: HttpRequest, now: float) -> Outcome:
        try:
            base = _base_version(request)
        except ValueError:
            return problem(400, "malformed", "If-Match takes a version")
        if base is None and request.headers.get("if-match") != "*":
            return problem(428, "base_needed", "name the version this builds on in If-Match, or * for any")
        if not isinstance(request.document, dict):
            return problem(400, "malformed", "expected a JSON object")
        too_large_answer = _too_large(request, "a setup")
        if too_large_answer is not None:
            return too_large_answer
        arguments = (base, mode, request.document, *_operator_and_reason(request))
        front.forward(request.request, "change", arguments, now)
        return FORWARDED

    return handler


def back(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards an order to restore an earlier version."""
    body = request.document
    if not isinstance(body, dict) or type(body.get("version")) is not int:
        return faulty((("version", "expected a whole number"),))
    try:
        base = _base_version(request)
    except ValueError:
        return problem(400, "malformed", "If-Match takes a version")
    front.forward(request.request, "back", (base, body["version"], *_operator_and_reason(request)), now)
    return FORWARDED


def draft(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards a draft, given as a patch or as the changed cells of the queue table."""
    body = request.document
    if not isinstance(body, dict) or type(body.get("base")) is not int:
        return faulty((("base", "expected the version the draft builds on"),))
    too_large_answer = _too_large(request, "a draft")
    if too_large_answer is not None:
        return too_large_answer
    patch, faults = _patch_of(body)
    if faults:
        return faulty(faults)
    front.forward(request.request, "draft", (body["base"], patch, *_operator_and_reason(request)), now)
    return FORWARDED


def _patch_of(body: dict[str, Any]) -> tuple[Any, Any]:
    """(the patch in a draft's body or made of its cells, faults)."""
    patch = body.get("patch")
    if patch is not None:
        return patch, () if isinstance(patch, dict) else (("patch", "expected an object"),)
    cells = body.get("cells")
    if not isinstance(cells, dict):
        return None, (("cells", "expected an object"),)
    patch_and_faults: tuple[Any, Any] = queue_settings.patch_of(cells)
    return patch_and_faults


def approve(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Forwards the approval of a draft."""
    front.forward(request.request, "approve", (request.names[0], *_operator_and_reason(request)), now)
    return FORWARDED
