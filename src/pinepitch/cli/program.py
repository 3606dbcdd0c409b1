"""pinepitch: the daemons and the operators' command line.

A daemon's program is imported only when it is asked for, and starts without the operators' commands.
"""

import importlib
import sys
from collections.abc import Sequence

import fire

from . import earlier_names

ASKS_FOR_HELP = ("-h", "--help", "help")
PROGRAMS = {  # commands with a program of their own -> its module
    "control": "pinepitch.control.program",
    "front": "pinepitch.front.program",
    "explain": "pinepitch.cli.explain",
}


def run(arguments: Sequence[str], replaced: Sequence[earlier_names.Replaced] = ()) -> None:
    """Runs one command after saying which earlier names were used; without one, prints the overview."""
    translation = earlier_names.translate(arguments)
    earlier_names.tell([*replaced, *translation.replaced])
    command, *rest = translation.arguments or ["help"]
    if command in ASKS_FOR_HELP:
        from .overview import overview

        print(overview())
    elif command in PROGRAMS:
        importlib.import_module(PROGRAMS[command]).main(rest)
    else:
        from .commands import Commands

        fire.Fire(Commands, command=translation.arguments, name="pinepitch")


def main() -> None:
    """The entry point of the program `pinepitch`."""
    run(sys.argv[1:])
