"""The programs `accord`, `verge` and `whence`, earlier names of three commands of `pinepitch`."""

import sys

from . import program
from .earlier_names import PROGRAMS, Replaced


def _run(name: str) -> None:
    """Runs the command that replaces a program, and prints which one it is."""
    now = PROGRAMS[name]
    program.run([now.removeprefix("pinepitch "), *sys.argv[1:]], [Replaced(name, now)])


def accord() -> None:
    """Runs the control daemon under its earlier name."""
    _run("accord")


def verge() -> None:
    """Runs the front daemon under its earlier name."""
    _run("verge")


def whence() -> None:
    """Explains a job under the command's earlier name."""
    _run("whence")
