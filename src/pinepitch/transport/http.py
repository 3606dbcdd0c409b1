"""Requests and responses of HTTP/1.1 (RFC 9112) with JSON bodies, and the limits of requests."""

from typing import Any, NamedTuple

from ..common import constants

RECEIVE_BYTES = 65_536  # bytes; limit of one read from a socket
NOT_READ = "the request can't be read"  # the message of a refusal
NO_ROOM = "this daemon has no room for the request; it was not taken"


class RequestLimits(NamedTuple):
    """What one request may be. Sizes are in bytes, times in seconds."""

    head: int  # of the request line and the headers
    body: int
    head_seconds: float  # from the first byte of a request to the end of its head
    request_seconds: float  # from the first byte of a request to its last one
    idle_seconds: float  # from one request to the next one on a connection


def usual_limits() -> RequestLimits:
    """The limits of requests that no configuration limits further."""
    return RequestLimits(
        constants.MAX_HEAD_BYTES,
        constants.MAX_BODY_BYTES,
        constants.MAX_REQUEST_SECONDS,
        constants.MAX_REQUEST_SECONDS,
        constants.MAX_CONNECTION_IDLE,
    )


def stated_limits(head: Any, body: Any, head_ms: Any, idle_ms: Any) -> RequestLimits:
    """The limits that a configuration states, in bytes and milliseconds, but no sizes beyond our own. What is
    no number above 0 counts as not stated.
    """
    usual = usual_limits()
    return RequestLimits(
        head=min(usual.head, int(_positive(head, usual.head))),
        body=min(usual.body, int(_positive(body, usual.body))),
        head_seconds=_positive(head_ms, usual.head_seconds * 1000) / 1000,
        request_seconds=usual.request_seconds,
        idle_seconds=_positive(idle_ms, usual.idle_seconds * 1000) / 1000,
    )


def _positive(value: Any, otherwise: float) -> float:
    """A number above 0, or another one if the value is none."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return value if is_number and value > 0 else otherwise


class Request(NamedTuple):
    """A request as received. Invariant: body has at most MAX_BODY_BYTES bytes; names of headers are in lower
    case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A response. Invariant: document can be written as JSON, or is a str sent as plain text; headers are
    pairs of str.
    """

    status: int
    document: Any
    headers: tuple[tuple[str, str], ...] = ()


class Fault(NamedTuple):
    """Why a connection can't continue. Status 0: no error to answer with, e.g. the peer closed it."""

    status: int
    code: str


def error_response(
    status: int, code: str, message: str, retry: float | None = None, **more: object
) -> Response:
    """An error response: a stable code, a message, and after how many seconds to retry, if given."""
    headers = () if retry is None else (("Retry-After", str(retry)),)
    return Response(status, {"error": {"code": code, "message": message, **more}}, headers)


def busy() -> Response:
    """The response to a request that this daemon has no room for."""
    return error_response(503, "busy", NO_ROOM, constants.RETRY_AFTER)
