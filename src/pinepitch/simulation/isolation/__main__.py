"""python -m pinepitch.simulation.isolation SCENARIO FIRST_SEED SEEDS [PLANT]"""

import sys

from .trials import main

sys.exit(main(*sys.argv[1:]))
