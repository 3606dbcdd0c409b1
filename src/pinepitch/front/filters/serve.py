"""The filter that calls the handler of the route."""

from typing import Any

from ..http_request import HttpRequest, Outcome


def serve(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Calls the handler, which answers or forwards the request. This filter is the last one."""
    outcome: Outcome = request.handler(front, request, now)
    return outcome
