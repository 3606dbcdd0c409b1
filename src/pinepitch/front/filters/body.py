"""Reads the JSON of a body."""

from typing import Any

from ...common import document as documents
from ..http_request import Answer, HttpRequest, problem


def body(front: Any, request: HttpRequest, now: float) -> Answer | None:
    """Reads a JSON body, if there is one."""
    if request.body:
        request.document, why = documents.read(request.body)
        if why:
            return problem(400, "malformed", why)
    return None
