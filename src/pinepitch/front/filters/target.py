"""The filter that finds the route of a request."""

from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from ..http_request import Answer, HttpRequest, problem
from ..routes import ROUTES


def target(front: Any, request: HttpRequest, now: float) -> Answer | None:
    """Finds the route that matches method and path, or answers why there is none."""
    try:
        parts = urlsplit(request.target)
    except ValueError:
        return problem(400, "malformed", "the target can't be read")
    path = [unquote(part) for part in parts.path.split("/") if part]
    request.query = dict(parse_qsl(parts.query))
    allowed = []
    for method, pattern, handler in ROUTES:
        names = _names_in(pattern, path)
        if names is None:
            continue
        if method == request.method:
            request.handler, request.names = handler, names
            return None
        allowed.append(method)
    if allowed:
        return problem(405, "method", f"allowed: {', '.join(sorted(set(allowed)))}")
    return problem(404, "no_such_way", f"nothing at {parts.path}")


def _names_in(pattern: str, path: list[str]) -> list[str] | None:
    """The parts of a path that match {placeholders} of a pattern; None if the path does not match."""
    expected = [segment for segment in pattern.split("/") if segment]
    if len(expected) != len(path):
        return None
    names = []
    for expected_part, part in zip(expected, path, strict=True):
        if expected_part.startswith("{"):
            names.append(part)
        elif expected_part != part:
            return None
    return names
