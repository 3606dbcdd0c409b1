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


def _unsound_scalar(value):
    """Why a value that holds no others can't be carried, or None. Types as json makes them: told by
    type(), as this is asked for every value of every heartbeat."""
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


def unsound(value):
    """Why a document can't be carried and handed on as it is, or None: numbers JSON or our
    frames can't say, text that is no text, deeper nesting than MAX_DEPTH."""
    todo = [((value,), 1)]  # values beside each other, and how deep they stand
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


def read(body):
    """(document, None), or (None, why it can't be taken)."""
    try:
        document = json.loads(body, parse_constant=_no_constant, object_pairs_hook=_no_member_twice)
    except (ValueError, RecursionError) as fault:
        return None, "the body is not JSON" + (f": {fault}" if isinstance(fault, Unsound) else "")
    why = unsound(document)
    return (None, why) if why else (document, None)


def whole_number(text, most=constants.MAX_NUMBER):
    """The whole number that a text says in plain digits, or None."""
    if not text.isascii() or not text.isdigit() or len(text) > len(str(most)):
        return None
    number = int(text)
    return number if number <= most else None
