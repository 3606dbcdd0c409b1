"""The filter that refuses bodies that are too large."""

from typing import Any

from ...common import constants
from ..http_request import Answer, HttpRequest, problem


def size(front: Any, request: HttpRequest, now: float) -> Answer | None:
    """Refuses a body larger than MAX_BODY_BYTES."""
    if len(request.body) > constants.MAX_BODY_BYTES:
        return problem(413, "too_large", f"over {constants.MAX_BODY_BYTES} bytes")
    return None
