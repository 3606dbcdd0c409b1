"""The filter that parses the body."""

from typing import Any

from ...common import document as documents
from ..http_request import Answer, HttpRequest, problem


def body(front: Any, request: HttpRequest, now: float) -> Answer | None:
    """Parses a JSON body, if there is one."""
    if request.body:
        request.document, reason = documents.read(request.body)
        if reason:
            return problem(400, "malformed", reason)
    return None
