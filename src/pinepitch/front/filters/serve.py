"""Hands a request to the handler of its route."""

from typing import Any

from ..http_request import HttpRequest, Outcome


def serve(front: Any, request: HttpRequest, now: float) -> Outcome:
    """Answers or forwards: the last filter."""
    outcome: Outcome = request.handler(front, request, now)
    return outcome
