"""Refuses what comes while the daemon stops."""

from typing import Any

from ...common import constants
from ..http_request import Answer, HttpRequest, problem


def stopping(front: Any, request: HttpRequest, now: float) -> Answer | None:
    """A stopping front daemon takes nothing more."""
    if front.stopping:
        return problem(503, "stopping", "this verge is stopping", constants.RETRY_AFTER)
    return None
