"""Earlier names of programs, commands, flags and variables.

They work for one version after the new names were introduced, and a message names the replacement.
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
END_OF_FLAGS = "--"  # the arguments after it are for fire itself


class Replaced(NamedTuple):
    """An earlier name that was used, and its replacement."""

    earlier: str
    now: str


class Translation(NamedTuple):
    """Arguments with their present names, and the earlier names that were replaced."""

    arguments: list[str]
    replaced: list[Replaced]


def translate(arguments: Sequence[str]) -> Translation:
    """Replaces an earlier command and earlier flags by their present names."""
    translated, replaced = [], []
    flags_end = False
    for position, argument in enumerate(arguments):
        flags_end = flags_end or argument == END_OF_FLAGS
        new = argument if flags_end else _present_flag(argument)
        if position == 0:
            new = COMMANDS.get(argument, argument)
        if new != argument:
            replaced.append(Replaced(argument.partition("=")[0], new.partition("=")[0]))
        translated.append(new)
    return Translation(translated, replaced)


def _present_flag(argument: str) -> str:
    match = FLAG.fullmatch(argument)
    if match is None or match[1] not in FLAGS:
        return argument
    return f"--{FLAGS[match[1]]}{match[2] or ''}"


def environment(name: str, variables: Mapping[str, str]) -> str | None:
    """The value of an environment variable under its present or its earlier name."""
    if name in variables:
        return variables[name]
    earlier = VARIABLES[name]
    if earlier in variables:
        report_replaced([Replaced(earlier, name)])
    return variables.get(earlier)


def report_replaced(replaced: Sequence[Replaced]) -> None:
    """Prints one line to standard error that names the replacements of the earlier names in use."""
    if not replaced:
        return
    names = ", ".join(f"{name.earlier} is now {name.now}" for name in dict.fromkeys(replaced))
    print(f"pinepitch: earlier names, to be dropped in the next version: {names}", file=sys.stderr)
