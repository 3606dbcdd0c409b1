"""Runs trials: `python -m pinepitch.simulation.isolation SCENARIO FIRST_SEED SEEDS [FAULT]`."""

import sys

from .trials import main

sys.exit(main(*sys.argv[1:]))
