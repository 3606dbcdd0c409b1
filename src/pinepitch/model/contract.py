"""Contracts: the form that each message between the project's processes must have.

A pattern is a type, a tuple of patterns (an array with exactly these elements), a list with one pattern
(an array of any length), Maybe(pattern), OneOf(patterns), Pairs(key, value) for a map, or ANY.
"""

import operator
from collections.abc import Callable
from typing import Any, NamedTuple

from ..common import daemon_settings


class Maybe(NamedTuple):
    """None, or a value that fits the pattern."""

    pattern: Any


class Pairs(NamedTuple):
    """A map in which every key and every value fits its pattern."""

    key: Any
    value: Any


ANY = object()


class OneOf(NamedTuple):
    """A value that fits at least one of several patterns."""

    patterns: tuple[Any, ...]


class Number:
    """A float or an integer, but not a bool or NaN."""


class Address:
    """A string IP:PORT to which a connection can be made."""


class Operation:
    """A list that begins with the operation's name."""


Check = Callable[[Any], bool]  # whether a decoded value fits a pattern


def check_of(pattern: Any) -> Check:
    """The check for a pattern, made once: it runs for each value of each message."""
    if pattern is ANY:
        return SPECIAL_CHECKS[ANY]
    if isinstance(pattern, type):
        return SPECIAL_CHECKS.get(pattern) or _instance_of(pattern)
    if isinstance(pattern, OneOf):
        return _one_of([check_of(alternative) for alternative in pattern.patterns])
    if isinstance(pattern, Maybe):
        return _maybe(check_of(pattern.pattern))
    if isinstance(pattern, Pairs):
        return _pairs(check_of(pattern.key), check_of(pattern.value))
    if isinstance(pattern, list):
        return _list_of(check_of(pattern[0]))
    if isinstance(pattern, tuple):
        return _array([check_of(element) for element in pattern])
    raise TypeError(f"not a pattern: {pattern!r}")


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value == value


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_address(value: Any) -> bool:
    return isinstance(value, str) and daemon_settings.is_address(value)


def _is_operation(value: Any) -> bool:
    return isinstance(value, (list, tuple)) and bool(value) and isinstance(value[0], str)


def _instance_of(kind: type) -> Check:
    return lambda value: isinstance(value, kind)


def _one_of(checks: list[Check]) -> Check:
    return lambda value: any(check(value) for check in checks)


def _maybe(check: Check) -> Check:
    return lambda value: value is None or check(value)


def _pairs(key_check: Check, value_check: Check) -> Check:
    def check(value: Any) -> bool:
        return isinstance(value, dict) and all(
            key_check(key) and value_check(item) for key, item in value.items()
        )

    return check


def _list_of(element_check: Check) -> Check:
    return lambda value: isinstance(value, (list, tuple)) and all(map(element_check, value))


def _array(checks: list[Check]) -> Check:
    return lambda value: (
        isinstance(value, (list, tuple))
        and len(value) == len(checks)
        and all(map(operator.call, checks, value))
    )


# The checks of patterns that are not made up of others.
SPECIAL_CHECKS: dict[Any, Check] = {
    ANY: lambda value: True,
    Number: _is_number,
    Address: _is_address,
    Operation: _is_operation,
    int: _is_integer,
}
CONTROL_DAEMON = (str, str, Address)  # (identity, zone, address)
HISTORY = Pairs(int, str)
MEMBERSHIP = [(Pairs(str, str), str)]
ENTRY = (int, Number, Operation)
OUTCOME = (str, int, str)
# (term, a reading in seconds of the steady clock of that term's leader)
CLOCK_READING = (int, Number)
HANDSHAKE = (str, str, str, Address, Maybe(str), [str], Number, [CONTROL_DAEMON], [str], int)

# Kind of a consensus message -> patterns of the fields that follow the kind.
RAFT: dict[str, tuple[Any, ...]] = {
    "prevote": (int, int, int),
    "prevoted": (int, bool, Maybe(str), int, HISTORY),
    "vote": (int, int, int),
    "takeover": (int, int, int, int),
    "handover": (int, Pairs(str, str)),
    "voted": (int, bool, Maybe(str), int, HISTORY),
    "behind": (int,),
    "stranger": (int, int),
    "append": (int, int, int, [ENTRY], int, int),
    "appended": (int, bool, Maybe(int), int),
    "piece": (int, int, int, MEMBERSHIP, int, int, bytes, int),
    "pieced": (int, int, int, int, int),
}
# The registry of contracts: message kind -> patterns of the fields that follow the kind.
CONTRACTS: dict[str, tuple[Any, ...]] = {
    "greet": HANDSHAKE,
    "greeted": (*HANDSHAKE, Maybe(Address), Maybe(Number), Maybe(CLOCK_READING)),
    "tell": (str, [(str, str, str, Address)]),
    "leave": (str,),
    "seat": (bool,),
    "join": (str, str, Address),
    "admit": (str, str, str),
    "raft": (str, str, str, list),
    "claim": (str, str),
    "measured": (int, str, int, dict),
    "ask": (Address, str, str, list, int, Maybe(CLOCK_READING)),
    "news": (str, Address, str, (int, int), [OUTCOME]),
    "answer": (str, (int, ANY, Maybe(int)), (str, str)),
    "elsewhere": (str, Maybe(Address), int, Maybe(CLOCK_READING)),
    "unsure": (str,),
    "told": (
        str,
        (int, int),
        Maybe(dict),
        [dict],
        [(str, int, str)],
        Number,
        Number,
        [CONTROL_DAEMON],
        Maybe(str),
    ),
}
# Name of a forwarded request -> patterns of its arguments. Calls on leased jobs end with the caller's key if
# the caller has one.
ARGUMENTS: dict[str, tuple[Any, ...] | OneOf] = {
    "submit": (str, str, dict),
    "ticket": (str,),
    "tickets": (int, int, str, str, str),
    "cancel": (str,),
    "report": (str, str, str, int, [str], bool, str, int, Number, [(str, int)], [(str, int, str)]),
    "drain": (str, bool),
    "withdraw": (str, Number),
    "area": (str, bool),
    "setup": (int,),
    "change": (Maybe(int), str, dict, str, str),
    "back": (Maybe(int), int, str, str),
    "draft": (int, dict, str, str),
    "one-draft": (str,),
    "rehearse": (str,),
    "approve": (str, str, str),
    "drop": (str,),
    "whence": (str,),
    "job": OneOf(((str, str, dict), (str, str, dict, str))),
    "job-read": OneOf(((str, str), (str, str, str))),
    "job-cancel": OneOf(((str, str), (str, str, str))),
    "beat": (str, dict),
    "beat-leave": (str,),
    "configure": (int, dict),
    "amend": (int, int, dict, dict),
    "configuration": (),
    "evacuate": (str, bool, int),
    "log-index": (),
    "image-digests": (),
    "job-explain": (str,),
    "workers": (),
    "evacuations": (),
    "tenants": (),
    "configuration-shown": (),
    "tenant": (str,),
}


_CONTRACT_CHECKS = {kind: check_of(pattern) for kind, pattern in CONTRACTS.items()}
_RAFT_CHECKS = {kind: check_of(pattern) for kind, pattern in RAFT.items()}
_ARGUMENT_CHECKS = {call: check_of(pattern) for call, pattern in ARGUMENTS.items()}
_NO_ARGUMENTS = check_of(())  # of a call that is not known here


def fits_contract(message: Any) -> bool:
    """Whether a message from another process has the form that its contract requires."""
    kind, *fields = message
    if not isinstance(kind, str) or kind not in _CONTRACT_CHECKS or not _CONTRACT_CHECKS[kind](fields):
        return False
    if kind == "raft":
        consensus_message = fields[3]
        return (
            bool(consensus_message)
            and isinstance(consensus_message[0], str)
            and consensus_message[0] in _RAFT_CHECKS
            and _RAFT_CHECKS[consensus_message[0]](consensus_message[1:])
        )
    if kind == "ask":
        return _ARGUMENT_CHECKS.get(fields[2], _NO_ARGUMENTS)(fields[3])
    return True
