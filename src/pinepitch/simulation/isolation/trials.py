"""Trials over scenarios and seeds; scenario and seed suffice to replay a trial."""

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
    """Runs one trial, with an injected fault if a name is given; returns (faults, simulator)."""
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
        final = simulator.operators.read_final_state()
    except Exception as error:  # reported as a fault, so that the trial can be replayed
        last_frame = traceback.extract_tb(error.__traceback__)[-1]
        faults.append(f"{type(error).__name__} at {last_frame.name}:{last_frame.lineno}: {error}")
    if final is None:
        faults.append("the final state could not be read")
    else:
        faults.extend(checks.changes_retained(simulator.operators.orders, final[0].document["version"]))
        faults.extend(checks.reads_fresh(simulator.operators.orders))
        faults.extend(checks.evacuations_retained(simulator.operators.orders))
    history, client = simulator.worker_history, simulator.client_stand_in
    for check_faults in (
        job_checks.never_twice(history),
        job_checks.attempts_kept(history, client.jobs),
        job_checks.outcomes_true(history, client),
        simulator.agreement(),
    ):
        faults.extend(check_faults)
    return faults, simulator


def run_trial(arguments):
    """Runs a trial for leased_job_trial.many(); returns (arguments, faults, virtual seconds)."""
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def replay(scenario, seed, injected_fault=""):
    """Returns the command that replays one trial."""
    return f"python -m pinepitch.simulation.isolation {scenario} {seed} 1 {injected_fault}".strip()


def main(scenario="all", first="0", seeds="4", injected_fault=""):
    """Runs trials over seeds and prints how to replay each that fails."""
    names = list(SCENARIOS) if scenario == "all" else scenario.split(",")
    work = [
        (name, seed, injected_fault) for name in names for seed in range(int(first), int(first) + int(seeds))
    ]
    started, failed = time.monotonic(), 0
    for arguments, faults, _ in leased_job_trial.many(work, run_trial):
        if faults:
            failed += 1
            print(replay(*arguments) + "\n   " + "\n   ".join(faults[:5]), flush=True)
    seconds = round(time.monotonic() - started, 1)
    print(json.dumps({"trials": len(work), "failed": failed, "seconds": seconds}))
    return 1 if failed else 0
