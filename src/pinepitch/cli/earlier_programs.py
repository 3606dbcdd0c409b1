"""The programs `accord`, `verge` and `whence`, earlier names of three commands of `pinepitch`."""

import sys

from . import program
from .earlier_names import PROGRAMS, Replaced


def _run(name: str) -> None:
    """Runs the command that replaces a program, and says so."""
    now = PROGRAMS[name]
    program.run([now.removeprefix("pinepitch "), *sys.argv[1:]], [Replaced(name, now)])


def accord() -> None:
    """The control daemon, by its earlier name."""
    _run("accord")


def verge() -> None:
    """The front daemon, by its earlier name."""
    _run("verge")


def whence() -> None:
    """The explanation of a job, by its earlier name."""
    _run("whence")
