"""Runs the second-loss trials: `python -m pinepitch.simulation.second_loss NAMES FIRST SEEDS`."""

import sys

from .registry import TRIALS, run


def main(names: str = "all", first: str = "0", seeds: str = "5", injected_fault: str = "") -> int:
    """Runs the trials and prints the first faults of each that fails."""
    failed = 0
    for name in TRIALS if names == "all" else names.split(","):
        for seed in range(int(first), int(first) + int(seeds)):
            faults = run(name, seed, injected_fault)
            failed += bool(faults)
            for fault in faults[:3]:
                print(
                    f"python -m pinepitch.simulation.second_loss {name} {seed} 1 {injected_fault}: {fault}",
                    flush=True,
                )
    print(f"{failed} trials failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
