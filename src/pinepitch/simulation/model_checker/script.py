"""Lines of the scripts that lead a model to where its search begins: each takes a state to another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .actions import Action
from .invariants import Violation
from .state import ModelState

MAX_STEPS = 1_000  # steps; after which messages that breed messages count as a fault

Line = Callable[[ModelState], ModelState]


def quiet(state: ModelState) -> ModelState:
    """Delivers and saves until nothing is under way."""
    for _ in range(MAX_STEPS):
        action = next((one for one in state.actions() if one.kind in ("save", "deliver")), None)
        if action is None:
            return state
        state = state.step(action)
    raise Violation("messages never end")


def deliver(kind: Any, receiver: str) -> Line:
    """A line of a script: delivers the messages of one kind that are under way to one daemon."""

    def line(state: ModelState) -> ModelState:
        for number in sorted(state.messages):
            message = state.post.messages[number]
            if type(message.message) is kind and message.receiver == receiver:
                state = state.step(Action("deliver", number))
        return state

    return line


def quiet_without(*lost: str) -> Line:
    """A line of a script: delivers and saves until nothing is under way; what the lost ones send or
    would get is lost.
    """

    def line(state: ModelState) -> ModelState:
        for _ in range(MAX_STEPS):
            for number in sorted(state.messages):
                if set(lost) & set(state.post.messages[number][:2]):
                    state = state.step(Action("lose", number))
            if not state.messages:
                return state
            state = state.step(Action("deliver", min(state.messages)))
        raise Violation("messages never end")

    return line


def drop(state: ModelState) -> ModelState:
    """Loses all that is under way."""
    for number in sorted(state.messages):
        state = state.step(Action("lose", number))
    return state


def elect(identity: str) -> Line:
    """A line of a script: this member is elected and all hear of it."""
    return lambda state: quiet(state.step(Action("stand", identity)))


def act(kind: Any, subject: Any, detail: Any = None) -> Line:
    """A line of a script: one step, nothing delivered."""
    return lambda state: state.step(Action(kind, subject, detail))


def act_until_quiet(kind: Any, subject: Any, detail: Any = None) -> Line:
    """A line of a script: one step, and all that follows from it."""
    return lambda state: quiet(state.step(Action(kind, subject, detail)))


def keep_only(kind: Any) -> Line:
    """A line of a script: loses all that is under way but messages of one kind."""

    def line(state: ModelState) -> ModelState:
        for number in sorted(state.messages):
            if type(state.post.messages[number].message) is not kind:
                state = state.step(Action("lose", number))
        return state

    return line


def wait_without(times: int, *lost: str) -> Line:
    """A line of a script: time passes and all messages arrive, but for those to and from the lost ones."""

    def line(state: ModelState) -> ModelState:
        for _ in range(times):
            state = quiet_without(*lost)(state.step(Action("wait", "")))
        return state

    return line


def wait_unheard(times: int) -> Line:
    """A line of a script: time passes and nothing arrives."""

    def line(state: ModelState) -> ModelState:
        for _ in range(times):
            state = state.step(Action("wait", ""))
        return state

    return line
