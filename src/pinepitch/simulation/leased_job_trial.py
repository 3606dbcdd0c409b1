"""Trials of jobs under leases: a simulated fleet under a fault scenario, then checks of what its
callers, tenants and operator saw. A trial is replayed by its scenario and seed.
"""

import json
import multiprocessing
import sys
import time as clocks
import traceback

from .jobs import checks
from .jobs.control_injected_faults import CONTROL_INJECTED_FAULTS
from .jobs.control_scenarios.registry import CONTROL_SCENARIOS
from .jobs.fleet import Tenancy
from .jobs.injected_faults import injected
from .jobs.key_checks import key_faults
from .jobs.key_injected_faults import KEY_INJECTED_FAULTS
from .jobs.key_scenarios import KEY_SCENARIOS
from .jobs.keyed_fleet import KeyedTenancy
from .jobs.limits import (
    CONTROL_RUSHES,
    ENDS_WITHIN,
    FAILED_ENDS_WITHIN,
    IN_FLIGHT,
    LEASE_LONGEST,
    ORDERS_END_WITHIN,
    PROCESSES,
    RUSHES,
)
from .jobs.plans import plan_for
from .jobs.scenarios import SCENARIOS
from .stand_in_lease_worker import STOP_GRACE


def trial(scenario, seed, injected_fault=""):
    """(faults, simulator) of one trial, with an injected fault if one is named."""
    cut_short = injected_fault in CONTROL_INJECTED_FAULTS or injected_fault in KEY_INJECTED_FAULTS
    with injected(injected_fault):
        return _trial(scenario, seed, FAILED_ENDS_WITHIN if cut_short else ENDS_WITHIN)


def _fleet(scenario, seed):
    """The fleet of a trial: those of control scenarios are of every plan in turn, those of keys have
    tenants.
    """
    if scenario in KEY_SCENARIOS:
        return KeyedTenancy(seed)
    return Tenancy(seed, plan_for(seed) if scenario in CONTROL_SCENARIOS else None)


def _strike(scenario, simulator):
    """Plays a fault scenario; under one of the control daemons or of keys, orders come all the time."""
    for turn in range(RUSHES if scenario in SCENARIOS else CONTROL_RUSHES):
        simulator.at(simulator.draw.uniform(0, 3) + 3 * turn, "later", simulator.operator_stand_in.rush)
    if scenario in SCENARIOS:
        SCENARIOS[scenario](simulator)
        return
    simulator.orders.begin()
    {**CONTROL_SCENARIOS, **KEY_SCENARIOS}[scenario](simulator)
    simulator.orders.end()
    simulator.until(simulator.orders.quiet, ORDERS_END_WITHIN)


def _trial(scenario, seed, ends_within):
    simulator, faults = _fleet(scenario, seed), []
    try:
        simulator.begin()
        simulator.run(2)
        simulator.operator_stand_in.race()
        _strike(scenario, simulator)
        simulator.operator_stand_in.race()
        if not simulator.finish(FAILED_ENDS_WITHIN if simulator.operator_stand_in.faults else ends_within):
            waiting = [
                (one["identity"], one["kind"], one["accepted"] is not None)
                for one in simulator.client_stand_in.jobs.values()
                if one["refused"] is None and (one["final"] is None or one["looks"] > 0)
            ]
            faults.append(f"jobs never ended: {waiting[:4]}")
        simulator.run(7)
        faults.extend(simulator.operator_stand_in.check())
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    history, client = simulator.worker_history, simulator.client_stand_in
    zones = {name: node.zone for name, node in simulator.nodes.items()}
    running_most = STOP_GRACE + 1.5 if scenario == "calm" else IN_FLIGHT + LEASE_LONGEST + STOP_GRACE
    for found in (
        checks.never_twice(history),
        checks.steps_kept(history, client.jobs),
        checks.attempts_kept(history, client.jobs),
        checks.capacity_kept(history),
        checks.cancels_kept(history, client.jobs, running_most),
        checks.closed_kept(history, simulator.operator_stand_in.spans, zones),
        checks.outcomes_true(history, client),
        checks.gangs_met(history, client.jobs) if scenario == "calm" else [],
        checks.refused_without_rival(simulator.operator_stand_in.changes),
        simulator.agreement(),
        key_faults(simulator) if scenario in KEY_SCENARIOS else [],
    ):
        faults.extend(found)
    if not any(job["final"] and job["final"][0] == "completed" for job in client.jobs.values()):
        faults.append("no job was completed")
    return faults, simulator


def _one(arguments):
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def many(work, one=_one):
    """Yields (arguments, faults, virtual seconds) of trials run side by side."""
    with multiprocessing.Pool(PROCESSES) as pool:
        yield from pool.imap_unordered(one, work)


def replay(scenario, seed, injected_fault=""):
    """The command that runs one trial again."""
    return f"python -m pinepitch.simulation.leased_job_trial {scenario} {seed} 1 {injected_fault}".strip()


def main(scenario="all", first="0", seeds="5", injected_fault=""):
    """Runs trials over seeds and prints how to replay each that fails."""
    groups = {
        "all": (*SCENARIOS, *CONTROL_SCENARIOS, *KEY_SCENARIOS),
        "control": tuple(CONTROL_SCENARIOS),
        "keys": tuple(KEY_SCENARIOS),
    }
    names = groups.get(scenario, scenario.split(","))
    work = [
        (name, seed, injected_fault) for seed in range(int(first), int(first) + int(seeds)) for name in names
    ]
    begun, failed, virtual = clocks.monotonic(), 0, 0.0
    for arguments, faults, seconds in many(work):
        virtual += seconds
        if faults:
            failed += 1
            print(replay(*arguments) + "\n   " + "\n   ".join(faults[:5]), flush=True)
    print(
        json.dumps(
            {
                "trials": len(work),
                "failed": failed,
                "virtual_seconds": round(virtual),
                "seconds": round(clocks.monotonic() - begun, 1),
            }
        )
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
