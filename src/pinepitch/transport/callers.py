"""The one owner of the connections that callers have open.

While there is no room for another connection, one that holds up others is closed, the one that has been
silent longest first. One whose request was read whole is never among them.
"""

import collections
import enum
from typing import Protocol

from ..common.limits import USUAL_CALLERS, CallerLimits


class State(enum.Enum):
    """What a caller's connection is doing."""

    NEW = "new"  # has not sent anything
    RECEIVING = "receiving"  # has sent a part of a request
    WAITING = "waiting"  # its request was read whole and is not answered to its end
    IDLE = "idle"  # its last request was answered


class Connection(Protocol):
    """The socket of a connection, as its owner may end it."""

    def end_reading(self) -> None:
        """Makes whoever reads from it read its end, while an answer may still be sent."""


class Caller:
    """One open connection. Invariants: once it is `evicted` the table doesn't count it."""

    __slots__ = ("active_at", "connection", "evicted", "state", "table")

    def __init__(self, table: "CallerTable", connection: Connection, now: float) -> None:
        self.table, self.connection = table, connection
        self.state = State.NEW
        self.active_at = now  # when its newest bytes came, seconds of the steady clock
        self.evicted = False

    def receives(self, now: float) -> None:
        """Records that bytes of a request came."""
        self.active_at = now
        self.table.move(self, State.RECEIVING)

    def waits(self) -> bool:
        """Records that a request was read whole. False: its connection was closed to make room."""
        self.table.move(self, State.WAITING)
        return not self.evicted

    def rests(self, now: float) -> None:
        """Records that the answer was sent whole."""
        self.active_at = now
        self.table.move(self, State.IDLE)

    def evict(self) -> None:
        """Ends reading from the connection, so that whoever serves it stops."""
        self.table.remove(self)
        self.connection.end_reading()


class CallerTable:
    """All connections of callers. Invariants: a connection is in exactly one of the mappings, that of its
    state, in the order of `active_at`;
    there are never more of them than `limits.connections`.
    """

    def __init__(self, limits: CallerLimits = USUAL_CALLERS) -> None:
        self.limits = limits
        self.callers: dict[State, collections.OrderedDict[Caller, None]] = {
            state: collections.OrderedDict() for state in State
        }
        self.evictions = 0  # connections that were closed to make room for others
        self.refusals = 0  # connections that were refused for want of room

    def connections(self) -> int:
        """How many are open."""
        return sum(len(callers) for callers in self.callers.values())

    def admit(self, connection: Connection, now: float) -> Caller | None:
        """A new connection, for which another one is closed if there are too many. None: all of them wait
        for answers, and the new one must be refused.
        """
        while self.connections() >= self.limits.connections:
            dispensable = self._least_active()
            if dispensable is None:
                self.refusals += 1
                return None
            self.evictions += 1
            dispensable.evict()
        caller = Caller(self, connection, now)
        self.callers[State.NEW][caller] = None
        return caller

    def _least_active(self) -> Caller | None:
        """The connection to close for another one: of those with no whole request yet the one that has been
        silent longest, else of those that were served.
        """
        unserved = [
            next(iter(self.callers[state])) for state in (State.NEW, State.RECEIVING) if self.callers[state]
        ]
        if unserved:
            return min(unserved, key=lambda caller: caller.active_at)
        return next(iter(self.callers[State.IDLE]), None)

    def move(self, caller: Caller, state: State) -> None:
        """Puts a connection last among those of a state."""
        if caller.evicted:
            return
        self.callers[caller.state].pop(caller)
        caller.state = state
        self.callers[state][caller] = None

    def remove(self, caller: Caller) -> None:
        """Removes a connection that has ended."""
        if not caller.evicted:
            del self.callers[caller.state][caller]
            caller.evicted = True


class _NoConnection:
    """Stands for a connection that is never closed to make room."""

    def end_reading(self) -> None:
        """Does nothing."""


def lone_caller() -> Caller:
    """A connection that shares its limits with no other one."""
    caller = CallerTable().admit(_NoConnection(), 0.0)
    assert caller is not None, "an empty table takes a connection"
    return caller
