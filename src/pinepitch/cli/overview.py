"""The overview that `pinepitch --help` prints: every command with one line of its docstring."""

import inspect
from typing import Any, NamedTuple

from . import earlier_names
from .commands import Commands
from .exit_codes import MEANINGS

PROGRAMS = {  # summaries of program.PROGRAMS, stated here so that the daemons needn't be imported
    "control": "Runs a control daemon.",
    "front": "Runs a front daemon.",
    "explain": "Explains why each task of a job, pushed or leased, is where it is.",
}


class CommandSummary(NamedTuple):
    """A command as listed in the overview."""

    name: str  # "COMMAND" or "GROUP COMMAND"
    summary: str


def summary(command: Any) -> str:
    """The first sentence of a command's docstring; '' if it has none."""
    text = " ".join((inspect.getdoc(command) or "").split("\n\n")[0].split())
    sentence, stop, _ = text.partition(". ")
    return sentence + "." if stop else text


def shown_name(name: str) -> str:
    """A Python name as it is typed on the command line."""
    return name.replace("_", "-")


def _public_functions(owner: Any) -> list[CommandSummary]:
    functions = inspect.getmembers(owner, inspect.isfunction)
    return [
        CommandSummary(shown_name(name), summary(function))
        for name, function in functions
        if not name.startswith("_")
    ]


def commands() -> list[CommandSummary]:
    """Every command: those with their own program, those of the groups, and the others."""
    summaries = [CommandSummary(name, text) for name, text in PROGRAMS.items()]
    for group, owner in sorted(vars(Commands()).items()):
        for command in _public_functions(owner):
            summaries.append(CommandSummary(f"{shown_name(group)} {command.name}", command.summary))
    return summaries + _public_functions(Commands)


def _earlier_lines() -> list[str]:
    """The lines that list the earlier names."""
    flags = {f"--{earlier}": f"--{now}" for earlier, now in earlier_names.FLAGS.items()}
    variables = {earlier: now for now, earlier in earlier_names.VARIABLES.items()}
    lines = ["Earlier names, which go on working in this version:"]
    for names in (earlier_names.PROGRAMS, earlier_names.COMMANDS, {**flags, **variables}):
        lines.append("  " + ", ".join(f"{earlier}: {now}" for earlier, now in names.items()))
    return lines


def overview() -> str:
    """The text of `pinepitch --help`."""
    listed = commands()
    width = max(len(command.name) for command in listed)
    lines = ["pinepitch: run and drive the scheduler.", "", "Commands:"]
    lines += [f"  {command.name.ljust(width)}  {command.summary}" for command in listed]
    lines += [
        "",
        "A group takes --front=IP:PORT, --json and --operator=NAME: `pinepitch pushed-job list --json`.",
        "`pinepitch COMMAND --help` tells a command's arguments.",
        "",
        "Exit codes:",
    ]
    lines += [f"  {code:d}  {meaning}" for code, meaning in MEANINGS.items()]
    return "\n".join([*lines, "", *_earlier_lines()])
