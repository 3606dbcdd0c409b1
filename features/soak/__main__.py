"""Soaks by seeds, one after another: python -m features.soak FIRST COUNT SECONDS [FRONTS]."""

import sys

from .processes import FRONTS
from .report import report
from .soak import soak


def main(first="0", count="5", seconds="30", fronts=FRONTS):
    """Prints a line a seed, and what was found; returns 1 when anything was."""
    return report(int(first), int(count), lambda seed: (soak(seed, float(seconds), int(fronts)), ""))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
