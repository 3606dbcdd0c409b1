"""What a model is: a small fleet, the script that leads to where its search begins, and the bounds of it."""

from __future__ import annotations

from typing import NamedTuple

from ...common import constants
from .actions import Budget, TimedBudget
from .replica import Draw
from .script import Line
from .state import ModelState
from .timed import TimedModelState

PLENTY = 100  # steps of each kind; that a script may take


class Fleet(NamedTuple):
    """A small fleet. `script` leads from a bootstrap to the state where a search begins."""

    members: dict[str, str]  # identity -> zone
    spares: dict[str, str] = {}
    mode: str = "static"
    budget: Budget | TimedBudget = Budget()
    script: tuple[Line, ...] = ()
    slow_disks: bool = False  # whether a write becomes durable in a step of its own
    append_entries: int = constants.APPEND_ENTRIES  # most in one append, so that an append may be in parts
    draws: dict[str, Draw] = {}  # daemon -> its random numbers; always the shortest spread where left out
    segments: bool = False  # whether cluster states have archives, with a segment for every few entries
    rates: dict[str, float] | None = None  # seconds of each clock per second; None for a model without time


class Bounds(NamedTuple):
    """How far a search goes."""

    depth: int
    states: int


class Model(NamedTuple):
    """A fleet and the bounds of its searches: in CI and on command."""

    fleet: Fleet
    brief: Bounds
    long: Bounds
    about: str


def started(fleet: Fleet) -> ModelState:
    """The state in which a search of this fleet begins."""
    kind = type(fleet.budget)
    plenty = kind(*([PLENTY] * len(kind._fields)))
    begun = fleet._replace(budget=plenty, slow_disks=False)
    state = ModelState(begun) if fleet.rates is None else TimedModelState(begun, fleet.rates)
    for line in fleet.script:
        state = line(state)
    state.budget, state.slow_disks = fleet.budget, fleet.slow_disks
    return state
