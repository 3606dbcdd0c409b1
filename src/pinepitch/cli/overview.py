"""The overview that `pinepitch --help` prints: every command with one line of its doc comment."""

import inspect
from typing import Any, NamedTuple

from . import earlier_names
from .commands import Commands
from .exit_codes import MEANINGS

PROGRAMS = {  # what program.PROGRAMS do, told here so that the daemons needn't be imported
    "control": "Runs a control daemon.",
    "front": "Runs a front daemon.",
    "explain": "Tells why each task of a job, pushed or leased, stands where it stands.",
}


class Listed(NamedTuple):
    """A command as the overview lists it."""

    name: str  # "COMMAND" or "GROUP COMMAND"
    summary: str


def summary(command: Any) -> str:
    """The first sentence of a command's doc comment; '' when it has none."""
    text = " ".join((inspect.getdoc(command) or "").split("\n\n")[0].split())
    sentence, stop, _ = text.partition(". ")
    return sentence + "." if stop else text


def shown_name(name: str) -> str:
    """A Python name as it is typed on the command line."""
    return name.replace("_", "-")


def _public_functions(owner: Any) -> list[Listed]:
    functions = inspect.getmembers(owner, inspect.isfunction)
    return [Listed(shown_name(name), summary(one)) for name, one in functions if not name.startswith("_")]


def commands() -> list[Listed]:
    """Every command: those with a program of their own, those of the groups, and the others."""
    found = [Listed(name, what) for name, what in PROGRAMS.items()]
    for group, owner in sorted(vars(Commands()).items()):
        for act in _public_functions(owner):
            found.append(Listed(f"{shown_name(group)} {act.name}", act.summary))
    return found + _public_functions(Commands)


def _earlier_lines() -> list[str]:
    """What the earlier names are, in a few lines."""
    flags = {f"--{earlier}": f"--{now}" for earlier, now in earlier_names.FLAGS.items()}
    variables = {earlier: now for now, earlier in earlier_names.VARIABLES.items()}
    lines = ["Earlier names, which go on working in this version:"]
    for names in (earlier_names.PROGRAMS, earlier_names.COMMANDS, {**flags, **variables}):
        lines.append("  " + ", ".join(f"{earlier}: {now}" for earlier, now in names.items()))
    return lines


def overview() -> str:
    """The text of `pinepitch --help`."""
    listed = commands()
    width = max(len(one.name) for one in listed)
    lines = ["pinepitch: run and drive the scheduler.", "", "Commands:"]
    lines += [f"  {one.name.ljust(width)}  {one.summary}" for one in listed]
    lines += [
        "",
        "A group takes --front=IP:PORT, --json and --operator=NAME: `pinepitch pushed-job list --json`.",
        "`pinepitch COMMAND --help` tells a command's arguments.",
        "",
        "Exit codes:",
    ]
    lines += [f"  {code:d}  {meaning}" for code, meaning in MEANINGS.items()]
    return "\n".join([*lines, "", *_earlier_lines()])
