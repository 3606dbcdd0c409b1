"""What a scale run bears: one load, and the sweeps that vary one field of it."""

from typing import NamedTuple

JOB_TASKS = 5  # tasks; of one short job
RACK = 24  # workers; in one rack


class Load(NamedTuple):
    """What a run bears. Invariant: rates are of a second."""

    workers: int = 50
    running: int = 0  # tasks that run all the time
    starts: float = 0  # starts of short tasks
    changes: float = 0  # changes of configuration
    kept: int = 0  # jobs that are over and still readable
    calls: float = 0  # calls of callers through a front daemon
    waiting: int = 0  # tasks that wait behind full workers, of jobs of JOB_TASKS
    accords: int = 3
    verges: int = 1


# name -> (the field varied, its sizes, the rest of the load)
SWEEPS = {
    "workers": ("workers", (10, 25, 50, 100, 200, 400, 770), Load()),
    "running": ("running", (0, 100, 200, 400), Load(workers=50)),
    "starts": ("starts", (0, 10, 30, 87), Load(workers=50)),
    "changes": ("changes", (0, 2, 5, 10), Load(workers=10)),
    "kept": ("kept", (0, 1000, 2000, 4000), Load(workers=10)),
    "calls": ("calls", (0, 20, 50, 100), Load(workers=10)),
    "waiting": ("waiting", (0, 200, 1000, 4000), Load(workers=50)),
    "accords": ("accords", (3, 5, 7, 9), Load(workers=10)),
    "verges": ("verges", (1, 3, 7), Load(workers=10)),
    "site": ("workers", (770,), Load(running=3400, starts=87, changes=0.005, kept=17)),
}
