"""Checks that the shapes of documents are made of, and the telling of what doesn't fit them.

A *fault* is a pair: the path in the document, its parts joined by dots, and what is wrong there.
"""

import itertools
from collections.abc import Iterable
from typing import Any

import voluptuous

from ..common import constants

Fault = tuple[str, str]
Faults = tuple[Fault, ...]


def number(low: float, high: float) -> voluptuous.All:
    """A check for a number, no bool and not NaN, from `low` to `high`."""
    return voluptuous.All(voluptuous.Any(int, float), _not_bool, voluptuous.Range(low, high))


def whole_number(low: int, high: int) -> voluptuous.All:
    """A check for a whole number, no bool, from `low` to `high`."""
    return voluptuous.All(int, _not_bool, voluptuous.Range(low, high))


def _not_bool(value: Any) -> Any:
    if isinstance(value, bool) or value != value:
        raise voluptuous.Invalid("expected a number")
    return value


def name(value: Any) -> str:
    """A name: printable, no slash (it parts a task's reference), bounded."""
    if not isinstance(value, str) or not 0 < len(value) <= constants.MAX_NAME_LENGTH:
        raise voluptuous.Invalid(f"expected a text of 1 to {constants.MAX_NAME_LENGTH} characters")
    if "/" in value or not value.isprintable():
        raise voluptuous.Invalid("expected a name without a slash or control characters")
    return value


def shaped(shape: voluptuous.Schema, document: object) -> tuple[Any, Faults]:
    """(the document with its defaults, ()) or (None, the faults that voluptuous finds). The defaults come
    in any order: for what is kept as it is filled there is shaped_in_order.
    """
    try:
        return shape(document), ()
    except voluptuous.MultipleInvalid as several:
        return None, tuple((".".join(map(str, one.path)), one.msg) for one in _in_order(several.errors))


def shaped_in_order(shape: voluptuous.Schema, document: object) -> tuple[Any, Faults]:
    """As shaped, the defaults in an order that is the same in every process."""
    filled, faults = shaped(shape, document)
    return (filled, faults) if faults else (_defaults_in_order(filled, document), faults)


def _defaults_in_order(filled: Any, given: object) -> Any:
    """A filled document with its own keys in the order given and those of defaults by name behind them:
    voluptuous fills them in the order of a set, which differs from process to process.
    """
    if filled is given:
        return filled
    if isinstance(filled, dict):
        own = given if isinstance(given, dict) else {}
        keys = [*(key for key in filled if key in own), *sorted(key for key in filled if key not in own)]
        return {key: _defaults_in_order(filled[key], own.get(key)) for key in keys}
    if isinstance(filled, list) and isinstance(given, list) and len(filled) == len(given):
        return [_defaults_in_order(*both) for both in zip(filled, given, strict=True)]
    return filled


def _in_order(errors: Iterable[voluptuous.Invalid]) -> list[voluptuous.Invalid]:
    """The errors in their order, but missing keys beside each other by name: voluptuous tells
    these in the order of a set, which differs from process to process.
    """
    ordered: list[voluptuous.Invalid] = []
    for (is_missing, _), group in itertools.groupby(errors, _missing_in):
        beside = list(group)
        if is_missing:
            beside.sort(key=lambda one: str(one.path[-1]))
        ordered.extend(beside)
    return ordered


def _missing_in(error: voluptuous.Invalid) -> tuple[bool, tuple[str, ...]]:
    """(whether a required key is missing, the path of the object it is missing in)."""
    is_missing = isinstance(error, voluptuous.RequiredFieldInvalid)
    return is_missing, tuple(map(str, error.path[:-1])) if is_missing else ()
