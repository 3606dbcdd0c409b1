"""Runs trials over seeds: `python -m pinepitch.simulation.power_loss FLEETS FIRST SEEDS [FAULT]`."""

import multiprocessing
import os
import sys

from .trials import FLEETS, run


def run_trial(arguments):
    """Runs one trial and returns (arguments, faults)."""
    return arguments, run(*arguments)


def main(names="all", first="0", seeds="5", injected_fault=""):
    """Runs trials over seeds; prints the first faults of each trial that fails."""
    fleet_names = list(FLEETS) if names == "all" else names.split(",")
    work = [
        (name, seed, injected_fault)
        for seed in range(int(first), int(first) + int(seeds))
        for name in fleet_names
    ]
    failed = 0
    with multiprocessing.Pool(int(os.environ.get("PROCESSES", os.cpu_count()))) as pool:
        for arguments, faults in pool.imap_unordered(run_trial, work):
            failed += bool(faults)
            for fault in faults[:3]:
                print(f"python -m pinepitch.simulation.power_loss {' '.join(map(str, arguments))}: {fault}")
    print(f"{len(work)} trials, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
