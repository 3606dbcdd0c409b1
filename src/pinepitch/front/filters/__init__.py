"""The chain of filters that a request passes, one a module.

A filter takes (front, request, now); its outcome is an Answer, FORWARDED if the leader will answer, or
None: then the next filter goes on.
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
