"""Trials: a fault scenario of failures over a simulated fleet under traffic, then every check.
A trial is replayed by its fault scenario and seed.
"""

import json
import multiprocessing
import os
import sys
import time
import traceback

from . import checks, injected_faults
from .fault_scenarios.registry import FAULT_SCENARIOS
from .simulator import Simulator
from .stand_in_operator import Operator

TRAFFIC = (
    ("job", 3.0, {"queue": "default", "urgency": 4, "count": 4, "shape": "fan", "units": 1, "seconds": 0.3}),
    (
        "chain",
        1.0,
        {"queue": "default", "urgency": 5, "count": 3, "shape": "chain", "units": 2, "seconds": 0.2},
    ),
    (
        "urgent",
        0.5,
        {"queue": "urgent", "urgency": 8, "count": 2, "shape": "chain", "units": 2, "seconds": 0.3},
    ),
    (
        "gang",
        0.3,
        {"queue": "default", "urgency": 4, "count": 3, "shape": "gang", "units": 2, "seconds": 0.5},
    ),
    (
        "waves",
        0.3,
        {"queue": "default", "urgency": 3, "count": 4, "shape": "waves", "units": 1, "seconds": 0.3},
    ),
    ("feed", 0.1, {"queue": "feeds", "urgency": 6, "count": 1, "shape": "feed", "units": 1, "seconds": 6.0}),
)
# The fleets a trial may run on: like each deployment of the brief, only smaller.
FLEETS = {
    "three": {"control_daemons": ("a", "b", "c"), "workers": (("m", 6, 8, (), True),), "founders": 3},
    "five": {
        "control_daemons": ("a", "a", "b", "c", "d"),
        "fronts": ("a", "b", "c", "d"),
        "zones": ("a", "b", "c", "d"),
        "workers": (("m", 8, 8, (), True),),
        "founders": 5,
    },
    "nine": {
        "control_daemons": ("a", "a", "a", "b", "b", "b", "c", "c", "c"),
        "workers": (("m", 6, 8, (), True),),
        "founders": 9,
    },
    "bare": {"control_daemons": ("a", "b", "c"), "workers": (("m", 6, 8, (), False),), "founders": 3},
}

IN_TURN = ("three", "five", "bare")  # "nine" is for dynamic mode, whose groups need three


def trial(fault_scenario, seed, fleet="three", mode="static", injected_fault=""):
    """(faults, simulator) of one trial, with an injected fault if one is named."""
    with injected_faults.injected(injected_fault):
        return _trial(fault_scenario, seed, fleet, mode)


def _trial(fault_scenario, seed, fleet, mode):
    simulator = Simulator(seed, mode=mode, **FLEETS[fleet])
    operator = Operator(simulator)
    faults = []
    try:
        _run_day(simulator, operator, fault_scenario, faults, closes=seed % 3 == 2)
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    faults.extend(_history_faults(simulator, operator))
    faults.extend(simulator.agreement())
    if not any(caller.accepted for caller in simulator.callers.values()):
        faults.append("no ticket was accepted")
    return faults, simulator


def _run_day(simulator, operator, fault_scenario, faults, closes):
    """Traffic under a fault scenario, to its end; adds what the operator and late reads find to `faults`.

    So that every guarantee is at stake in every scenario, changes race and, if `closes`, a worker is drained.
    """
    simulator.begin()
    simulator.caller("caller", TRAFFIC, cancels=0.04)
    simulator.run(2)
    operator.race([{"queues": {"feeds": {"limit": 22 + one}}} for one in range(2)])
    if closes:
        operator.close("minion", "m5")
    FAULT_SCENARIOS[fault_scenario](simulator, operator)
    operator.race([{"queues": {"feeds": {"limit": 24 + one}}} for one in range(2)])
    if closes:
        operator.open("minion", "m5")
    if not simulator.finish():
        waiting = sorted({one for caller in simulator.callers.values() for one in caller.open})
        faults.append(f"never quiet again; open: {waiting[:5]}")
    simulator.run(3)
    faults.extend(operator.check())
    faults.extend(read_again(simulator))


def _history_faults(simulator, operator):
    """What the history checks find in what callers were told and workers did."""
    documents, history = {}, []
    for caller in simulator.callers.values():
        documents.update({pushed_job: one[2] for pushed_job, one in caller.accepted.items()})
        history.extend(caller.history)
    faults = checks.all_checks(
        history,
        simulator.worker_history,
        documents,
        simulator.queue_configuration["queues"],
        simulator.capacities,
        simulator.absences,
        operator.withdrawn,
    )
    return [*faults, *checks.limits_kept(simulator.worker_history, documents, operator.limits())]


def read_again(simulator, most=30):
    """Faults in jobs read long after they were final, at one front daemon after another."""
    faults = []
    for caller in simulator.callers.values():
        final = {event[2]: event[3] for event in caller.history if event[0] == "final"}
        for place, pushed_job in enumerate(sorted(caller.accepted)[:: max(1, len(caller.accepted) // most)]):
            status, document = simulator.ask("GET", f"/v1/tickets/{pushed_job}", front=place)
            if status == 200 and document["state"] != final.get(pushed_job):
                faults.append(
                    f"{pushed_job} was {final.get(pushed_job)}, read {document['state']} at day's end"
                )
            elif status not in (200, 0, 503):
                faults.append(f"{pushed_job} is forgotten at day's end: {status}")
    return faults


def _one(arguments):
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def many(work):
    """Yields (arguments, faults, virtual seconds) of trials run on all cores."""
    with multiprocessing.Pool(os.cpu_count()) as pool:
        yield from pool.imap_unordered(_one, work)


def replay(fault_scenario, seed, fleet, mode, injected_fault):
    """The command that runs one trial again."""
    more = f" --plant={injected_fault}" if injected_fault else ""
    return (
        f"pinepitch trials --weather={fault_scenario} --first={seed} --seeds=1 "
        f"--fleet={fleet} --mode={mode}{more}"
    )


def trials(fault_scenario="all", seeds=20, first=0, fleet="all", mode="static", injected_fault=""):
    """Runs trials over many seeds and prints how to replay each that fails.

    Args:
        fault_scenario: a name, several parted by commas, or all.
        seeds: how many seeds of each.
        first: the first seed.
        fleet: three, five, bare, nine (for dynamic mode) or all (the first three in turn).
        mode: quorum mode, static or dynamic.
        injected_fault: a fault put into the code, to see the checks find it.

    """
    work = [
        (name, seed, IN_TURN[seed % len(IN_TURN)] if fleet == "all" else fleet, mode, injected_fault)
        for name in _names(fault_scenario)
        for seed in range(first, first + seeds)
    ]
    begun, failed, virtual = time.monotonic(), 0, 0.0
    for (name, seed, on, _, _), faults, seconds in many(work):
        virtual += seconds
        if faults:
            failed += 1
            print(replay(name, seed, on, mode, injected_fault))
            print("   " + "\n   ".join(faults[:4]), flush=True)
    took = round(time.monotonic() - begun, 1)
    figures = {"trials": len(work), "failed": failed, "virtual_seconds": round(virtual), "seconds": took}
    print(json.dumps(figures))
    if failed:
        sys.exit(1)


def _names(fault_scenario):
    """The names of fault scenarios that the command line gives: all, a list, or parted by commas."""
    if fault_scenario == "all":
        return list(FAULT_SCENARIOS)
    if isinstance(fault_scenario, str):
        return fault_scenario.split(",")
    return list(fault_scenario)
