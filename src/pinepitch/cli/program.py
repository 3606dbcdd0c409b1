"""pinepitch: the operators' command line."""

import sys

import fire

ASKS_FOR_HELP = ("-h", "--help", "help")


def main():
    """Runs one command; without one, or asked for help, prints the overview."""
    from .commands import Commands
    from .overview import overview

    arguments = sys.argv[1:]
    if not arguments or arguments[0] in ASKS_FOR_HELP:
        print(overview())
        return
    fire.Fire(Commands, name="pinepitch")
