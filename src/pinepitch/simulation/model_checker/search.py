"""Runs the models: briefly in CI, at length on command; with a fault in place, to see it found."""

from __future__ import annotations

import collections
import contextlib
import gc
import time
from collections.abc import Callable, Iterator

from . import fleets
from .explore import Found, Outcome, breadth_first, random_walks
from .faults import FAULTS, conditions, injected
from .model import Bounds, started
from .schedule import Run, drawn_archive_run, drawn_run
from .state import ModelState

# Random schedules of fleets with clocks: name -> what draws one from a seed.
SCHEDULES: dict[str, Callable[[int], Run]] = {
    "schedules": drawn_run,
    "archive-schedules": drawn_archive_run,
}
WALKS, WALK_LENGTH = 12, 60  # random schedules after the exhaustive part, and steps of each
FAULT_STATES = 6_500  # states; seen at most before walks are to find an injected fault


def search(
    name: str, bounds: Bounds, walks: int = WALKS, fault: str = ""
) -> tuple[ModelState, Outcome, Outcome | None]:
    """A model's start, the outcome of every schedule within the bounds, and of random ones or None."""
    fleet = fleets.MODELS[name].fleet
    with conditions(fleet), injected(fault), _without_collector():
        start = started(fleet)
        every = breadth_first(start, *bounds)
        if every.found is not None or not walks:
            return start, every, None
        return start, every, random_walks(start, walks, WALK_LENGTH)


@contextlib.contextmanager
def _without_collector() -> Iterator[None]:
    """No search for garbage cycles meanwhile: the states of a search make none."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def finds(name: str, fault: str) -> Found | None:
    """What the search of a model finds of an injected fault, or None."""
    _, every, walks = search(name, Bounds(20, FAULT_STATES), fault=fault)
    return every.found or (walks.found if walks is not None else None)


def explore(model: str = "all", states: int = 0, walks: int = 1_000, fault: str = "") -> None:
    """Searches models at length and prints what was seen; the steps to whatever breaks.

    `model` is a name of the registry, "all", or "schedules" or "archive-schedules": random ones of fleets
    with clocks, as many as `walks`, the latter with archives and half of them in dynamic mode.
    """
    if model in SCHEDULES:
        with injected(fault):
            _print_schedules(walks, SCHEDULES[model])
        return
    names = list(fleets.MODELS) if model == "all" else [model]
    if fault and model == "all":
        names = list(FAULTS[fault].models)
    for name in names:
        bounds = fleets.MODELS[name].long
        _print_search(name, bounds._replace(states=states) if states else bounds, walks, fault)


def _print_search(name: str, bounds: Bounds, walks: int, fault: str) -> None:
    begun = time.monotonic()
    start, every, wandered = search(name, bounds, walks, fault)
    until = "whole" if every.complete else "then the bound on states"
    lasted = time.monotonic() - begun
    print(f"{name}: {every.states} states, {every.steps} steps, depth {every.depth} {until}, {lasted:.0f} s")
    if wandered is not None:
        print(f"  walks: {wandered.states} states, up to {wandered.depth} steps deep")
    broken = every.found or (wandered and wandered.found)
    if broken:
        print(f"  BROKEN: {broken.why}")
        for action in broken.steps:
            print(f"    {start.describe(action)}")


def _print_schedules(count: int, drawn: Callable[[int], Run]) -> None:
    begun = time.monotonic()
    outcomes: collections.Counter[str] = collections.Counter()
    leased = terms = 0
    for seed in range(count):
        try:
            run = drawn(seed)
            served = run.serves_again(seed)
        except AssertionError as broken:
            print(f"  BROKEN, seed {seed}: {broken}")
            outcomes["broken"] += 1
            continue
        if served is False:
            print(f"  NOT SERVING AGAIN, seed {seed}")
        outcomes[{True: "serve again", False: "stand still", None: "lost too much"}[served]] += 1
        leased += run.leased
        terms += len(run.state.leaders)
    summary = ", ".join(f"{number} {what}" for what, number in sorted(outcomes.items()))
    print(f"schedules: {count}, {summary}; {terms} leaders, leases in {leased} quanta, ", end="")
    print(f"{time.monotonic() - begun:.0f} s")
