"""The steps of a model, and how often each kind may be taken."""

from typing import Any, NamedTuple


class Budget(NamedTuple):
    """How often each kind of step may still be taken."""

    stands: int = 0  # a member stands for election
    proposals: int = 0
    changes: int = 0  # joint changes begun
    heartbeats: int = 0  # a leader sends anew what was not answered
    restarts: int = 0
    wipes: int = 0
    compactions: int = 0
    repeats: int = 0  # a message arrives twice
    handovers: int = 0  # a leader lets another voter lead


class TimedBudget(NamedTuple):
    """The same for a model with time; time-outs pass by themselves."""

    waits: int = 0
    freezes: int = 0
    restarts: int = 0
    wipes: int = 0
    proposals: int = 0
    changes: int = 0
    stands: int = 0
    heartbeats: int = 0
    compactions: int = 0
    repeats: int = 0
    handovers: int = 0
    reads: int = 0  # a leader is asked for what is committed
    late_appends: int = 0  # a stopped leader goes on with the append that it was stopped before
    retries: int = 0  # the caller of that append asks again, under the same name


class Action(NamedTuple):
    """A step that may be taken. `subject` is an identity or the number of a message."""

    kind: str
    subject: Any
    detail: Any = None
