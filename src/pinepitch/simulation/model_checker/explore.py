"""Searches the states of a model: all of them up to a depth, or along random schedules."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from .actions import Action
from .invariants import Violation
from .state import ModelState

# The key of a state -> the key of the state before it and the step between; None for the start.
Origins = dict[int, tuple[int, Action] | None]


class Found(NamedTuple):
    """A broken invariant and the steps that lead to it from the model's start."""

    why: str
    steps: tuple[Action, ...]
    state: int  # how many states had been seen


class Outcome(NamedTuple):
    """What a search saw. Invariant: complete says that no state within `depth` was left out."""

    states: int
    steps: int
    depth: int
    complete: bool
    found: Found | None


def breadth_first(start: ModelState, depth: int, most_states: int) -> Outcome:
    """Every state within `depth` steps of `start`, level by level, until `most_states` are seen."""
    seen = {start.key()}
    origins: Origins = {start.key(): None}
    level, steps = [start], 0
    for reached in range(depth):
        following = []
        for model_state in level:
            for action in model_state.actions():
                steps += 1
                after, why = _stepped(model_state, action)
                if after is None:
                    assert why is not None
                    path = (*_path(origins, model_state.key()), action)
                    return Outcome(len(seen), steps, reached + 1, False, Found(why, path, len(seen)))
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                origins[key] = (model_state.key(), action)
                following.append(after)
                if len(seen) >= most_states:
                    return Outcome(len(seen), steps, reached, False, None)
        if not following:
            return Outcome(len(seen), steps, reached, True, None)
        level = following
    return Outcome(len(seen), steps, depth, True, None)


def _stepped(model_state: ModelState, action: Action) -> tuple[ModelState | None, str | None]:
    """(the state after a step, why an invariant broke there or None)."""
    try:
        after = model_state.step(action)
        after.check(model_state)
    except AssertionError as broken:
        kind = "" if isinstance(broken, Violation) else "the decider stops: "
        return None, kind + str(broken)
    return after, None


def _path(origins: Origins, key: int) -> tuple[Action, ...]:
    """The steps from the start to the state of that key."""
    steps = []
    while (origin := origins[key]) is not None:
        key, action = origin
        steps.append(action)
    return tuple(reversed(steps))


def random_walks(
    start: ModelState, walks: int, length: int, seed: int = 0, weight: Callable[[Action], float] | None = None
) -> Outcome:
    """Random schedules from `start`, each up to `length` steps; deeper than every state can be visited.

    `weight` says how likely an action is beside the others; 1 for each where left out.
    """
    seen: set[int] = set()
    steps = deepest = 0
    for number in range(walks):
        draw = random.Random(f"walk-{seed}-{number}")
        model_state, path = start, []
        for place in range(length):
            actions = model_state.actions()
            if not actions:
                break
            weights = None if weight is None else [weight(action) for action in actions]
            action = draw.choices(actions, weights)[0]
            steps += 1
            path.append(action)
            after, why = _stepped(model_state, action)
            if after is None:
                assert why is not None
                found = Found(why, tuple(path), len(seen))
                return Outcome(len(seen), steps, place + 1, False, found)
            model_state = after
            seen.add(model_state.key())
        deepest = max(deepest, len(path))
    return Outcome(len(seen), steps, deepest, False, None)
