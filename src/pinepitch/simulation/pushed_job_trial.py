"""Trials: a weather of failures over a simulated fleet under traffic, then every check.
A trial is replayed by its weather and seed.
"""

import json
import multiprocessing
import os
import sys
import time
import traceback

from . import checks, injected_faults
from .fault_scenarios import WEATHERS
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
    "three": {"accords": ("a", "b", "c"), "minions": (("m", 6, 8, (), True),), "founders": 3},
    "five": {
        "accords": ("a", "a", "b", "c", "d"),
        "verges": ("a", "b", "c", "d"),
        "areas": ("a", "b", "c", "d"),
        "minions": (("m", 8, 8, (), True),),
        "founders": 5,
    },
    "nine": {
        "accords": ("a", "a", "a", "b", "b", "b", "c", "c", "c"),
        "minions": (("m", 6, 8, (), True),),
        "founders": 9,
    },
    "bare": {"accords": ("a", "b", "c"), "minions": (("m", 6, 8, (), False),), "founders": 3},
}

IN_TURN = ("three", "five", "bare")  # "nine" is for dynamic mode, whose groups need three


def trial(weather, seed, fleet="three", mode="static", plant=""):
    """(faults, simulator) of one trial, with a planted fault if one is named."""
    with injected_faults.planted(plant):
        return _trial(weather, seed, fleet, mode)


def _trial(weather, seed, fleet, mode):
    simulator = Simulator(seed, mode=mode, **FLEETS[fleet])
    operator = Operator(simulator)
    faults = []
    try:
        simulator.begin()
        simulator.caller("caller", TRAFFIC, cancels=0.04)
        simulator.run(2)
        # so that every promise is at stake in every weather: changes that race, a closed minion
        operator.race([{"queues": {"feeds": {"limit": 22 + one}}} for one in range(2)])
        if seed % 3 == 2:
            operator.close("minion", "m5")
        WEATHERS[weather](simulator, operator)
        operator.race([{"queues": {"feeds": {"limit": 24 + one}}} for one in range(2)])
        if seed % 3 == 2:
            operator.open("minion", "m5")
        if not simulator.finish():
            waiting = sorted({one for caller in simulator.callers.values() for one in caller.open})
            faults.append(f"never quiet again; open: {waiting[:5]}")
        simulator.run(3)
        faults.extend(operator.check())
        faults.extend(read_again(simulator))
    except Exception as broken:  # a trial reports whatever ends it, to be replayed
        place = traceback.extract_tb(broken.__traceback__)[-1]
        faults.append(f"{type(broken).__name__} at {place.name}:{place.lineno}: {broken}")
    documents, history = {}, []
    for caller in simulator.callers.values():
        documents.update({ticket: one[2] for ticket, one in caller.accepted.items()})
        history.extend(caller.history)
    rows = simulator.setup["queues"]
    faults.extend(
        checks.all_checks(
            history,
            simulator.minion_history,
            documents,
            rows,
            simulator.rooms,
            simulator.away,
            operator.withdrawn,
        )
    )
    faults.extend(checks.limits_kept(simulator.minion_history, documents, operator.limits()))
    faults.extend(simulator.agreement())
    if not documents:
        faults.append("no ticket was accepted")
    return faults, simulator


def read_again(simulator, most=30):
    """Faults in tickets read long after they were final, at one verge after another."""
    faults = []
    for caller in simulator.callers.values():
        final = {event[2]: event[3] for event in caller.history if event[0] == "final"}
        for place, ticket in enumerate(sorted(caller.accepted)[:: max(1, len(caller.accepted) // most)]):
            status, document = simulator.ask("GET", f"/v1/tickets/{ticket}", verge=place)
            if status == 200 and document["state"] != final.get(ticket):
                faults.append(f"{ticket} was {final.get(ticket)}, read {document['state']} at day's end")
            elif status not in (200, 0, 503):
                faults.append(f"{ticket} is forgotten at day's end: {status}")
    return faults


def _one(arguments):
    faults, simulator = trial(*arguments)
    return arguments, faults, simulator.now


def many(work):
    """Yields (arguments, faults, virtual seconds) of trials run on all cores."""
    with multiprocessing.Pool(os.cpu_count()) as pool:
        yield from pool.imap_unordered(_one, work)


def replay(weather, seed, fleet, mode, plant):
    """The command that runs one trial again."""
    more = f" --plant={plant}" if plant else ""
    return (
        f"pinepitch trials --weather={weather} --first={seed} --seeds=1 --fleet={fleet} --mode={mode}{more}"
    )


def trials(weather="all", seeds=20, first=0, fleet="all", mode="static", plant=""):
    """Runs trials over many seeds and prints how to replay each that fails.

    Args:
        weather: a name, several parted by commas, or all.
        seeds: how many seeds of each.
        first: the first seed.
        fleet: three, five, bare, nine (for dynamic mode) or all (the first three in turn).
        mode: quorum mode, static or dynamic.
        plant: a planted fault, to see the checks find it.
    """
    names = (
        list(WEATHERS)
        if weather == "all"
        else weather.split(",")
        if isinstance(weather, str)
        else list(weather)
    )
    work = [
        (name, seed, IN_TURN[seed % len(IN_TURN)] if fleet == "all" else fleet, mode, plant)
        for name in names
        for seed in range(first, first + seeds)
    ]
    begun, failed, virtual = time.monotonic(), 0, 0.0
    for (name, seed, on, _, _), faults, seconds in many(work):
        virtual += seconds
        if faults:
            failed += 1
            print(replay(name, seed, on, mode, plant))
            print("   " + "\n   ".join(faults[:4]), flush=True)
    print(
        json.dumps(
            {
                "trials": len(work),
                "failed": failed,
                "virtual_seconds": round(virtual),
                "seconds": round(time.monotonic() - begun, 1),
            }
        )
    )
    if failed:
        sys.exit(1)
