"""Earlier names of programs, commands, flags and variables.

They work for one version after their new names came, and say what replaces them.
"""

import re
import sys
from collections.abc import Mapping, Sequence
from typing import NamedTuple

PROGRAMS = {"accord": "pinepitch control", "verge": "pinepitch front", "whence": "pinepitch explain"}
COMMANDS = {
    "area": "zone",
    "cohort": "cluster",
    "disturbances": "fault-scenarios",
    "figures": "counts",
    "holds": "pauses",
    "minion": "worker",
    "proof": "guarantees",
    "setup": "queue-configuration",
    "table": "queue-table",
    "ticket": "pushed-job",
}
FLAGS = {
    "area": "zone",
    "disturb": "fault",
    "founders": "bootstrap-size",
    "minion": "worker",
    "plant": "injected-fault",
    "ticket": "job",
    "verge": "front",
    "weather": "scenario",
}
VARIABLES = {"PINEPITCH_FRONT": "PINEPITCH_VERGE"}  # new name -> earlier name
FLAG = re.compile(r"--?([a-z][a-z_-]+)(=.*)?", re.DOTALL)
END_OF_FLAGS = "--"  # what follows is meant for fire itself


class Replaced(NamedTuple):
    """One earlier name that was used, and what replaces it."""

    earlier: str
    now: str


class Translation(NamedTuple):
    """Arguments by their present names, and the earlier names that stood there."""

    arguments: list[str]
    replaced: list[Replaced]


def translate(arguments: Sequence[str]) -> Translation:
    """Puts present names in the place of an earlier command and of earlier flags."""
    found, replaced = [], []
    flags_end = False
    for place, argument in enumerate(arguments):
        flags_end = flags_end or argument == END_OF_FLAGS
        new = argument if flags_end else _present_flag(argument)
        if place == 0:
            new = COMMANDS.get(argument, argument)
        if new != argument:
            replaced.append(Replaced(argument.partition("=")[0], new.partition("=")[0]))
        found.append(new)
    return Translation(found, replaced)


def _present_flag(argument: str) -> str:
    match = FLAG.fullmatch(argument)
    if match is None or match[1] not in FLAGS:
        return argument
    return f"--{FLAGS[match[1]]}{match[2] or ''}"


def environment(name: str, variables: Mapping[str, str]) -> str | None:
    """The value of a variable, by its present or its earlier name."""
    if name in variables:
        return variables[name]
    earlier = VARIABLES[name]
    if earlier in variables:
        tell([Replaced(earlier, name)])
    return variables.get(earlier)


def tell(replaced: Sequence[Replaced]) -> None:
    """Says on standard error, in one line, what replaces the earlier names that were used."""
    if not replaced:
        return
    names = ", ".join(f"{one.earlier} is now {one.now}" for one in dict.fromkeys(replaced))
    print(f"pinepitch: earlier names, to be dropped in the next version: {names}", file=sys.stderr)
