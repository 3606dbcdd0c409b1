"""The earlier path of `pinepitch.simulation.worker_program`, still supported for one version."""

import sys

from ..simulation.worker_program import main

if __name__ == "__main__":
    print("pinepitch.proof.minion_program is now pinepitch.simulation.worker_program", file=sys.stderr)
    main()
