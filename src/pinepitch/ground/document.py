"""JSON from outside, read so that it can be carried and handed on as it came."""

import json
import math

from . import constants


class Unsound(ValueError):
    """JSON that says two things at once."""


def _no_member_twice(pairs):
    members = dict(pairs)
    if len(members) < len(pairs):
        raise Unsound("a member is named twice")
    return members


def _no_constant(text):
    raise ValueError(text)


def unsound(value):
    """Why a document can't be carried and handed on as it is, or None: numbers JSON or our
    frames can't say, text that is no text, deeper nesting than DEPTH_MOST."""
    todo = [(value, 1)]
    while todo:
        one, depth = todo.pop()
        if depth > constants.DEPTH_MOST:
            return f"nested deeper than {constants.DEPTH_MOST}"
        if isinstance(one, dict):
            todo.extend((member, depth) for member in one)
            todo.extend((inner, depth + 1) for inner in one.values())
        elif isinstance(one, list):
            todo.extend((inner, depth + 1) for inner in one)
        elif isinstance(one, str):
            if not one.isascii():
                try:
                    one.encode()
                except UnicodeEncodeError:
                    return "text with half a character"
        elif isinstance(one, float) and not math.isfinite(one):
            return "a number out of range"
        elif isinstance(one, int) and abs(one) > constants.NUMBER_MOST:
            return "a number out of range"
    return None


def read(body):
    """(document, None), or (None, why it can't be taken)."""
    try:
        document = json.loads(body, parse_constant=_no_constant, object_pairs_hook=_no_member_twice)
    except (ValueError, RecursionError) as fault:
        return None, "the body is not JSON" + (f": {fault}" if isinstance(fault, Unsound) else "")
    why = unsound(document)
    return (None, why) if why else (document, None)


def whole(text, most=constants.NUMBER_MOST):
    """The whole number that a text says in plain digits, or None."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(most)):
        return None
    number = int(text)
    return number if number <= most else None
