"""Trials over scenarios and seeds; each is replayed by its scenario and seed."""

import json
import time
import traceback

from .. import leased_job_trial
from ..jobs import checks as job_checks
from . import checks
from .fleet import Isolation
from .injected_faults import injected
from .scenarios import SCENARIOS


def trial(scenario, seed, injected_fault=""):
    """(faults, simulator) of one trial, with an injected fault if one is named."""
    with injected(injected_fault):
        return _trial(scenario, seed)


def _trial(scenario, seed):
    simulator, faults, final = Isolation(seed), [], None
    try:
        simulator.begin()
        simulator.run(2)
        SCENARIOS[scenario](simulator)
        simulator.run(4)
        simulator.operators.stopped = True
        if not simulator.finish():
            faults.append("jobs never ended")
        final = simulator.operators.look()
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    if final is None:
        faults.append("nothing was read back at the end")
    else:
        faults.extend(checks.changes_kept(simulator.operators.orders, final[0].document["version"]))
        faults.extend(checks.reads_fresh(simulator.operators.orders))
        faults.extend(checks.evacuations_kept(simulator.operators.orders))
    history, client = simulator.worker_history, simulator.client_stand_in
    for found in (
        job_checks.never_twice(history),
        job_checks.attempts_kept(history, client.jobs),
        job_checks.outcomes_true(history, client),
        simulator.agreement(),
    ):
        faults.extend(found)
    return faults, simulator


def one(arguments):
    """A trial for tenancy.many(): (arguments, faults, virtual seconds)."""
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def replay(scenario, seed, injected_fault=""):
    """The command that runs one trial again."""
    return f"python -m pinepitch.simulation.isolation {scenario} {seed} 1 {injected_fault}".strip()


def main(scenario="all", first="0", seeds="4", injected_fault=""):
    """Runs trials over seeds and prints how to replay each that fails."""
    names = list(SCENARIOS) if scenario == "all" else scenario.split(",")
    work = [
        (name, seed, injected_fault) for name in names for seed in range(int(first), int(first) + int(seeds))
    ]
    begun, failed = time.monotonic(), 0
    for arguments, faults, _ in leased_job_trial.many(work, one):
        if faults:
            failed += 1
            print(replay(*arguments) + "\n   " + "\n   ".join(faults[:5]), flush=True)
    seconds = round(time.monotonic() - begun, 1)
    print(json.dumps({"trials": len(work), "failed": failed, "seconds": seconds}))
    return 1 if failed else 0
