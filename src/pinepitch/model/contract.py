"""Contracts: what each message between our processes must look like.

A pattern is a type, a tuple of patterns (an array of just these), a one-element list
(an array of any length), MAYBE(pattern), ONE_OF(patterns), PAIRS(key, value) for a map, or ANY.
"""

from typing import Any, NamedTuple

from ..common import daemon_settings


class Maybe(NamedTuple):
    """None, or what the pattern says."""

    pattern: Any


class Pairs(NamedTuple):
    """A map. Invariant: every key and every value fits."""

    key: Any
    value: Any


ANY = object()


class OneOf(NamedTuple):
    """What one of several patterns says."""

    patterns: tuple[Any, ...]


class Number:
    """A float or whole number, no bool."""


class Address:
    """A text IP:PORT that can be connected to."""


class Operation:
    """A list that begins with the operation's name."""


def fits(value: Any, pattern: Any) -> bool:
    """Whether a decoded value is what a contract says."""
    if pattern is ANY:
        return True
    if pattern is Number:
        return isinstance(value, (int, float)) and not isinstance(value, bool) and value == value
    if pattern is Address:
        return isinstance(value, str) and bool(daemon_settings.is_address(value))
    if pattern is Operation:
        return isinstance(value, (list, tuple)) and bool(value) and isinstance(value[0], str)
    if isinstance(pattern, OneOf):
        return any(fits(value, one) for one in pattern.patterns)
    if isinstance(pattern, Maybe):
        return value is None or fits(value, pattern.pattern)
    if isinstance(pattern, Pairs):
        return isinstance(value, dict) and all(
            fits(key, pattern.key) and fits(one, pattern.value) for key, one in value.items()
        )
    if isinstance(pattern, list):
        return isinstance(value, (list, tuple)) and all(fits(one, pattern[0]) for one in value)
    if isinstance(pattern, tuple):
        return (
            isinstance(value, (list, tuple)) and len(value) == len(pattern) and all(map(fits, value, pattern))
        )
    return isinstance(value, pattern) and not (pattern is int and isinstance(value, bool))


CONTROL_DAEMON = (str, str, Address)  # identity, zone, address
HISTORY = Pairs(int, str)
MEMBERSHIP = [(Pairs(str, str), str)]
ENTRY = (int, Number, Operation)
OUTCOME = (str, int, str)
READING = (int, Number)  # a term, and what the steady clock of its leader has passed
GREETING = (str, str, str, Address, Maybe(str), [str], Number, [CONTROL_DAEMON], [str], int)

# What follows the name of a message of consensus.
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
# The registry of contracts: message kind -> pattern of what follows it.
CONTRACTS: dict[str, tuple[Any, ...]] = {
    "greet": GREETING,
    "greeted": (*GREETING, Maybe(Address), Maybe(Number), Maybe(READING)),
    "tell": (str, [(str, str, str, Address)]),
    "leave": (str,),
    "seat": (bool,),
    "join": (str, str, Address),
    "admit": (str, str, str),
    "raft": (str, str, str, list),
    "claim": (str, str),
    "measured": (int, str, int, dict),
    "ask": (Address, str, str, list, int, Maybe(READING)),
    "news": (str, Address, str, (int, int), [OUTCOME]),
    "answer": (str, (int, ANY, Maybe(int)), (str, str)),
    "elsewhere": (str, Maybe(Address), int, Maybe(READING)),
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
# What a forwarded request's arguments must look like, by the request's name. Calls at queues end with the
# caller's key where it has one.
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


def keeps_contract(message: Any) -> bool:
    """Whether a message from another process keeps its contract."""
    kind, *rest = message
    if not isinstance(kind, str) or kind not in CONTRACTS or not fits(rest, CONTRACTS[kind]):
        return False
    if kind == "raft":
        inner = rest[3]
        return (
            bool(inner) and isinstance(inner[0], str) and inner[0] in RAFT and fits(inner[1:], RAFT[inner[0]])
        )
    if kind == "ask":
        return fits(rest[3], ARGUMENTS.get(rest[2], ()))
    return True
