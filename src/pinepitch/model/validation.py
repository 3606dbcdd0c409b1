"""Checks from which the schemas of documents are built, and reports of what does not fit a schema.

A *fault* is a pair: a path in the document, with its parts joined by dots, and what is wrong there.
"""

import itertools
from collections.abc import Iterable
from typing import Any

import voluptuous

from ..common import constants

Fault = tuple[str, str]
Faults = tuple[Fault, ...]


def number(low: float, high: float) -> voluptuous.All:
    """A check for a number from `low` to `high`; bool and NaN are refused."""
    return voluptuous.All(voluptuous.Any(int, float), _not_bool, voluptuous.Range(low, high))


def whole_number(low: int, high: int) -> voluptuous.All:
    """A check for an integer from `low` to `high`; bool is refused."""
    return voluptuous.All(int, _not_bool, voluptuous.Range(low, high))


def _not_bool(value: Any) -> Any:
    if isinstance(value, bool) or value != value:
        raise voluptuous.Invalid("expected a number")
    return value


class ListOf:
    """A check for a list of items of one shape, at most `most` of them if given. The length is checked before
    any item, and no more than MAX_ITEM_FAULTS items are found faulty, so that no list takes longer than a
    valid one.
    """

    def __init__(self, shape: Any, most: int | None = None) -> None:
        self.shape = voluptuous.Schema(shape)
        self.most = most

    def __call__(self, value: Any) -> list[Any]:
        """The list with the defaults of its items. voluptuous.Invalid: it is no such list."""
        if not isinstance(value, list):
            raise voluptuous.SequenceTypeInvalid("expected a list")
        if self.most is not None and len(value) > self.most:
            raise voluptuous.LengthInvalid(f"length of value must be at most {self.most}")
        items: list[Any] = []
        faults: list[voluptuous.Invalid] = []
        for place, item in enumerate(value):
            try:
                items.append(self.shape(item))
            except voluptuous.MultipleInvalid as invalid:
                is_nested = any(error.path for error in invalid.errors)
                invalid.prepend([place])
                if is_nested:  # as voluptuous does for lists: the faults within one item, no others
                    raise
                faults.extend(invalid.errors)
                if len(faults) >= constants.MAX_ITEM_FAULTS:
                    break
        if faults:
            raise voluptuous.MultipleInvalid(faults)
        return items


def name(value: Any) -> str:
    """Checks a name: printable, of bounded length, and without a slash, which separates job and task."""
    if not isinstance(value, str) or not 0 < len(value) <= constants.MAX_NAME_LENGTH:
        raise voluptuous.Invalid(f"expected a text of 1 to {constants.MAX_NAME_LENGTH} characters")
    if "/" in value or not value.isprintable():
        raise voluptuous.Invalid("expected a name without a slash or control characters")
    return value


def shaped(shape: voluptuous.Schema, document: object) -> tuple[Any, Faults]:
    """Checks a document: (the document with its defaults, ()) or (None, the faults that voluptuous finds).

    The defaults are added in no defined order; use shaped_in_order for documents that are stored.
    """
    try:
        return shape(document), ()
    except voluptuous.MultipleInvalid as invalid:
        return None, tuple((".".join(map(str, error.path)), error.msg) for error in _in_order(invalid.errors))


def shaped_in_order(shape: voluptuous.Schema, document: object) -> tuple[Any, Faults]:
    """As shaped(), but the defaults are added in an order that is the same in every process."""
    filled, faults = shaped(shape, document)
    return (filled, faults) if faults else (_defaults_in_order(filled, document), faults)


def _defaults_in_order(filled: Any, given: object) -> Any:
    """A filled document with the given keys first, in their order, followed by the defaults sorted by name.

    voluptuous adds defaults in the iteration order of a set, which differs between processes.
    """
    if filled is given:
        return filled
    if isinstance(filled, dict):
        given_map = given if isinstance(given, dict) else {}
        keys = [
            *(key for key in filled if key in given_map),
            *sorted(key for key in filled if key not in given_map),
        ]
        return {key: _defaults_in_order(filled[key], given_map.get(key)) for key in keys}
    if isinstance(filled, list) and isinstance(given, list) and len(filled) == len(given):
        return [_defaults_in_order(*pair) for pair in zip(filled, given, strict=True)]
    return filled


def _in_order(errors: Iterable[voluptuous.Invalid]) -> list[voluptuous.Invalid]:
    """The errors in their order, except that adjacent errors about missing keys are sorted by key.

    voluptuous reports missing keys in the iteration order of a set, which differs between processes.
    """
    ordered: list[voluptuous.Invalid] = []
    for (is_missing, _), group in itertools.groupby(errors, _missing_in):
        adjacent = list(group)
        if is_missing:
            adjacent.sort(key=lambda error: str(error.path[-1]))
        ordered.extend(adjacent)
    return ordered


def _missing_in(error: voluptuous.Invalid) -> tuple[bool, tuple[str, ...]]:
    """(whether a required key is missing, the path of the object it is missing in)."""
    is_missing = isinstance(error, voluptuous.RequiredFieldInvalid)
    return is_missing, tuple(map(str, error.path[:-1])) if is_missing else ()
