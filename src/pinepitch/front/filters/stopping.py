"""The filter that refuses requests while the daemon is stopping."""

from typing import Any

from ...common import constants
from ..http_request import Answer, HttpRequest, problem


def stopping(front: Any, request: HttpRequest, now: float) -> Answer | None:
    """Refuses all requests once the daemon is stopping."""
    if front.stopping:
        return problem(503, "stopping", "this verge is stopping", constants.RETRY_AFTER)
    return None
