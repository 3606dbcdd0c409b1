"""JSON from outside, read so that it can be forwarded and passed on unchanged."""

import json
import math
from collections.abc import Iterable
from typing import Any

from . import constants


class DuplicateMemberError(ValueError):
    """JSON with an object that names a member twice."""


def _reject_duplicate_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        raise DuplicateMemberError("a member is named twice")
    return members


def _reject_constant(text: str) -> Any:
    raise ValueError(text)


def _scalar_error(value: Any) -> str | None:
    """Why a value that contains no others can't be forwarded, or None. Types are compared with type(),
    which fits the types that json creates and is fast: this runs for every value of every heartbeat.
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


def forwarding_error(value: Any) -> str | None:
    """Why a document can't be forwarded and passed on unchanged, or None: numbers that JSON or our
    frames can't represent, text that can't be encoded, nesting deeper than MAX_DEPTH.
    """
    todo: list[tuple[Iterable[Any], int]] = [((value,), 1)]  # sibling values and their depth
    while todo:
        values, depth = todo.pop()
        for item in values:
            kind = type(item)
            if kind is list or kind is dict:
                if depth >= constants.MAX_DEPTH and item:
                    return f"nested deeper than {constants.MAX_DEPTH}"
                todo.append((item.values() if kind is dict else item, depth + 1))
                if kind is dict:
                    todo.append((item, depth))
            elif (kind is not str or not item.isascii()) and (error := _scalar_error(item)):
                return error
    return None


def read(body: bytes) -> tuple[Any, str | None]:
    """(document, None), or (None, the reason for which the body is rejected)."""
    try:
        document = json.loads(
            body, parse_constant=_reject_constant, object_pairs_hook=_reject_duplicate_members
        )
    except (ValueError, RecursionError) as fault:
        return None, "the body is not JSON" + (
            f": {fault}" if isinstance(fault, DuplicateMemberError) else ""
        )
    error = forwarding_error(document)
    return (None, error) if error else (document, None)


def whole_number(text: str, most: int = constants.MAX_NUMBER) -> int | None:
    """The whole number from 0 to `most` that a text contains as plain ASCII digits, or None."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(most)):
        return None
    number = int(text)
    return number if number <= most else None
