"""JSON from outside, read so that it can be forwarded and handed on as it came."""

import json
import math
from collections.abc import Iterable
from typing import Any

from . import constants


class UnsoundDocumentError(ValueError):
    """JSON that says two things at once."""


def _no_member_twice(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        raise UnsoundDocumentError("a member is named twice")
    return members


def _no_constant(text: str) -> Any:
    raise ValueError(text)


def _unsound_scalar(value: Any) -> str | None:
    """Why a value that contains no others can't be forwarded, or None. Types as json makes them: told by
    type(), as this is asked for every value of every heartbeat.
    """
    kind = type(value)
    if kind is str:
        try:
            value.encode()
        except UnicodeEncodeError:
            return "text with half a character"
    if kind is int and not -constants.MAX_NUMBER <= value <= constants.MAX_NUMBER:
        return "a number out of range"
    if kind is float and not math.isfinite(value):
        return "a number out of range"
    return None


def unsound(value: Any) -> str | None:
    """Why a document can't be forwarded and handed on as it is, or None: numbers JSON or our
    frames can't say, text that is no text, deeper nesting than MAX_DEPTH.
    """
    todo: list[tuple[Iterable[Any], int]] = [
        ((value,), 1)
    ]  # values beside each other, and how deep they stand
    while todo:
        values, depth = todo.pop()
        for one in values:
            kind = type(one)
            if kind is list or kind is dict:
                if depth >= constants.MAX_DEPTH and one:
                    return f"nested deeper than {constants.MAX_DEPTH}"
                todo.append((one.values() if kind is dict else one, depth + 1))
                if kind is dict:
                    todo.append((one, depth))
            elif (kind is not str or not one.isascii()) and (why := _unsound_scalar(one)):
                return why
    return None


def read(body: bytes) -> tuple[Any, str | None]:
    """(document, None), or (None, why it can't be taken)."""
    try:
        document = json.loads(body, parse_constant=_no_constant, object_pairs_hook=_no_member_twice)
    except (ValueError, RecursionError) as fault:
        return None, "the body is not JSON" + (
            f": {fault}" if isinstance(fault, UnsoundDocumentError) else ""
        )
    why = unsound(document)
    return (None, why) if why else (document, None)


def whole_number(text: str, most: int = constants.MAX_NUMBER) -> int | None:
    """The whole number from 0 to `most` that a text states in plain ASCII digits, or None."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(most)):
        return None
    number = int(text)
    return number if number <= most else None
