"""Contracts: the form that each message between the project's processes must have.

A pattern is a type, a tuple of patterns (an array with exactly these elements), a list with one pattern
(an array of any length), Maybe(pattern), OneOf(patterns), Pairs(key, value) for a map, or ANY.
"""

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


def fits(value: Any, pattern: Any) -> bool:
    """Whether a decoded value fits a pattern."""
    if pattern is ANY:
        return True
    if pattern is Number:
        return isinstance(value, (int, float)) and not isinstance(value, bool) and value == value
    if pattern is Address:
        return isinstance(value, str) and bool(daemon_settings.is_address(value))
    if pattern is Operation:
        return isinstance(value, (list, tuple)) and bool(value) and isinstance(value[0], str)
    if isinstance(pattern, OneOf):
        return any(fits(value, alternative) for alternative in pattern.patterns)
    if isinstance(pattern, Maybe):
        return value is None or fits(value, pattern.pattern)
    if isinstance(pattern, Pairs):
        return isinstance(value, dict) and all(
            fits(key, pattern.key) and fits(item, pattern.value) for key, item in value.items()
        )
    if isinstance(pattern, list):
        return isinstance(value, (list, tuple)) and all(fits(element, pattern[0]) for element in value)
    if isinstance(pattern, tuple):
        return (
            isinstance(value, (list, tuple)) and len(value) == len(pattern) and all(map(fits, value, pattern))
        )
    return isinstance(value, pattern) and not (pattern is int and isinstance(value, bool))


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


def fits_contract(message: Any) -> bool:
    """Whether a message from another process has the form that its contract requires."""
    kind, *fields = message
    if not isinstance(kind, str) or kind not in CONTRACTS or not fits(fields, CONTRACTS[kind]):
        return False
    if kind == "raft":
        consensus_message = fields[3]
        return (
            bool(consensus_message)
            and isinstance(consensus_message[0], str)
            and consensus_message[0] in RAFT
            and fits(consensus_message[1:], RAFT[consensus_message[0]])
        )
    if kind == "ask":
        return fits(fields[3], ARGUMENTS.get(fields[2], ()))
    return True
