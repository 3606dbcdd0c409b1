"""The chain of filters that each request passes, with one filter per module.

A filter is called with (front, request, now). It returns an Answer, or FORWARDED if the leader will answer,
or None to continue with the next filter.
"""

from collections.abc import Callable
from typing import Any

from ..http_request import HttpRequest, Outcome
from .body import body
from .serve import serve
from .size import size
from .stopping import stopping
from .target import target

# The registry of filters, in the order in which a request passes them.
FILTERS: tuple[Callable[[Any, HttpRequest, float], Outcome | None], ...] = (
    stopping,
    size,
    target,
    body,
    serve,
)
