"""pinepitch: the daemons and the operators' command line.

A daemon's program is imported only on request, and starts without importing the operators' commands.
"""

import importlib
import sys
from collections.abc import Sequence

import fire

from . import earlier_names

HELP_ARGUMENTS = ("-h", "--help", "help")
PROGRAMS = {  # command with its own program -> module of that program
    "control": "pinepitch.control.program",
    "front": "pinepitch.front.program",
    "explain": "pinepitch.cli.explain",
}


def run(arguments: Sequence[str], replaced: Sequence[earlier_names.Replaced] = ()) -> None:
    """Runs one command after reporting earlier names in use; without a command, prints the overview."""
    translation = earlier_names.translate(arguments)
    earlier_names.report_replaced([*replaced, *translation.replaced])
    command, *command_arguments = translation.arguments or ["help"]
    if command in HELP_ARGUMENTS:
        from .overview import overview

        print(overview())
    elif command in PROGRAMS:
        importlib.import_module(PROGRAMS[command]).main(command_arguments)
    else:
        from .commands import Commands

        fire.Fire(Commands, command=translation.arguments, name="pinepitch")


def main() -> None:
    """The entry point of the program `pinepitch`."""
    run(sys.argv[1:])
