"""The one owner of what a process holds for its callers: their connections, and the bytes of their requests.

While there is no room for another connection or for more bytes,
connections that hold up others are closed, the ones that have been silent longest first. A request that was
read whole is never among them.
"""

import collections
import enum
from typing import NamedTuple, Protocol

from ..common import constants
from ..common.limits import USUAL_CALLERS, CallerLimits
from ..common.metrics import Metric


class State(enum.IntEnum):
    """What a caller's connection is doing."""

    NEW = 0  # has not sent anything
    RECEIVING = 1  # has sent a part of a request
    WAITING = 2  # its request was read whole and has no answer yet
    ANSWERING = 3  # is sent its answer
    IDLE = 4  # its last request was answered


class Connection(Protocol):
    """The socket of a connection, as its owner may end it."""

    def end_reading(self) -> None:
        """Makes whoever reads from it read its end, while an answer may still be sent."""

    def abort(self) -> None:
        """Makes whoever reads from it or writes to it fail."""


class Caller:
    """One open connection. Invariants: `held` is what the table counts for it, in bytes; once it is
    `evicted` the table counts nothing for it.
    """

    __slots__ = ("active_at", "connection", "evicted", "held", "received", "state", "table")

    def __init__(self, table: "CallerTable", connection: Connection, now: float) -> None:
        self.table, self.connection = table, connection
        self.state = State.NEW
        self.held = 0
        self.received = bytearray()  # of a request or frame that isn't complete
        self.active_at = now  # when its newest bytes came or were taken, seconds of the steady clock
        self.evicted = False

    def receives(self, size: int, now: float) -> bool:
        """Records that bytes came and that `size` of an incomplete request are held now. False: there is no
        room for them, and the request must be refused.
        """
        self.active_at = now
        return self.table.update(self, State.RECEIVING, size) and not self.evicted

    def waits(self, size: int) -> bool:
        """Records that a request was read whole and needs `size` bytes until it is answered. False: there
        is no room for them, and the request must be refused.
        """
        return self.table.update(self, State.WAITING, size) and not self.evicted

    def answers(self, size: int, now: float) -> bool:
        """Records that of a request only its answer of `size` bytes is still held. False: there is no room
        for an answer of that size.
        """
        self.active_at = now
        return self.table.update(self, State.ANSWERING, size)

    def took(self, now: float) -> None:
        """Records that a part of the answer was taken."""
        self.active_at = now
        self.table.update(self, State.ANSWERING, self.held)

    def rests(self, now: float) -> None:
        """Records that the answer was sent whole."""
        self.active_at = now
        self.table.update(self, State.IDLE, 0)

    def evict(self) -> None:
        """Ends reading from the connection, so that whoever serves it stops."""
        self.table.closes(self)
        self.received = bytearray()
        self.connection.end_reading()


class CallerTable:
    """All connections of callers. Invariants: a connection is in exactly one of the mappings, that of its
    state, in the order of `active_at`; `held` is the sum of what they hold, and never over `limits.held`;
    there are never more of them than `limits.connections`, nor are more places `wanted`. Connections that
    were evicted or aborted stand in `closing`, oldest first, until their sockets are closed.
    """

    def __init__(self, limits: CallerLimits = USUAL_CALLERS) -> None:
        self.limits = limits
        self.most_held = limits.held  # bytes, for small requests
        self.most_large = limits.large  # bytes, for any others
        self.plenty = limits.held // constants.PLENTY_PART  # bytes
        self.most_request = limits.request  # bytes, for one request
        self.held = 0  # bytes
        self.callers: dict[State, collections.OrderedDict[Caller, None]] = {
            state: collections.OrderedDict() for state in State
        }
        self.closing: collections.OrderedDict[Caller, None] = collections.OrderedDict()
        self.wanted = 0  # places that served connections are to give up, for newcomers that were refused
        self.evictions = 0  # connections that were closed to make room for others
        self.refusals = 0  # requests and connections that were refused for want of room

    def connections(self) -> int:
        """How many are open."""
        return sum(len(callers) for callers in self.callers.values())

    def may_accept(self) -> bool:
        """Whether the descriptors allow another connection to be accepted now. If not, the connection that
        has been closing longest is aborted, and the port asks again.
        """
        if self.connections() + len(self.closing) < self.limits.connections + self.limits.closing:
            return True
        next(iter(self.closing)).connection.abort()
        return False

    def admit(self, connection: Connection, now: float) -> Caller | None:
        """A new connection, for which another one is closed if there are too many. None: all of them wait
        for answers, and the new one must be refused; one of those gives up its place once it is answered.
        """
        if self.connections() < self.limits.connections:
            self.wanted = 0
        while self.connections() >= self.limits.connections:
            dispensable = self._least_active()
            if dispensable is None:
                self.refusals += 1
                self.wanted = min(self.wanted + 1, self.limits.connections)
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

    def take_place(self) -> bool:
        """Whether the connection that is being answered now is to be closed behind its answer, as a newcomer
        was refused for want of a place.
        """
        if not self.wanted:
            return False
        self.wanted -= 1
        self.evictions += 1
        return True

    def abort_stalled(self, now: float) -> None:
        """Ends the connections that have taken nothing of their answers for ANSWER_STALLED seconds."""
        answering = self.callers[State.ANSWERING]
        while answering:
            caller = next(iter(answering))
            if now - caller.active_at < constants.ANSWER_STALLED:
                return
            self.evictions += 1
            self.closes(caller)
            caller.connection.abort()

    def update(self, caller: Caller, state: State, size: int) -> bool:
        """Puts a connection last among those of a state, and sets what is held for it. If there is no room,
        requests that are not complete are given up, the ones that have been silent longest first. False:
        there is still no room, and what is held stays as it was.
        """
        if caller.evicted:
            return size == 0
        del self.callers[caller.state][caller]
        caller.state = state
        self.callers[state][caller] = None
        growth = size - caller.held
        most = self.most_held if size <= constants.SMALL_REQUEST_BYTES else self.most_large
        if growth > 0 and self.held + growth > most:
            self._free(self.held + growth - most, caller)
            if self.held + growth > most:
                self.refusals += 1
                return False
        self.held += growth
        caller.held = size
        return True

    def has_plenty(self, size: int) -> bool:
        """Whether so many more bytes leave most of the room free, so that a rough estimate will do."""
        return self.held + size <= self.plenty

    def _free(self, size: int, asking: Caller) -> None:
        """Gives up incomplete requests until `size` bytes are free or none is left, but not that of the
        connection that asks.
        """
        given_up = []
        for caller in self.callers[State.RECEIVING]:
            if size <= 0:
                break
            if caller is not asking and caller.held:
                size -= caller.held
                given_up.append(caller)
        for caller in given_up:
            self.evictions += 1
            caller.evict()

    def closes(self, caller: Caller) -> None:
        """Records that a connection is evicted or aborted; its socket is still open."""
        self._forget(caller)
        self.closing[caller] = None

    def remove(self, caller: Caller) -> None:
        """Removes a connection whose socket is closed."""
        self._forget(caller)
        self.closing.pop(caller, None)

    def _forget(self, caller: Caller) -> None:
        """Counts nothing for a connection any more."""
        if not caller.evicted:
            del self.callers[caller.state][caller]
            self.held -= caller.held
            caller.held = 0
            caller.evicted = True


class _NoConnection:
    """Stands for a connection that is never closed to make room."""

    def end_reading(self) -> None:
        """Does nothing."""

    def abort(self) -> None:
        """Does nothing."""


class TurnedAway(NamedTuple):
    """What was done for want of room since the last report."""

    evictions: int
    refusals: int
    connections: int  # open now
    held: int  # bytes now


class CallersReport:
    """Says from time to time that callers were turned away. Invariant: two reports are at least
    CALLERS_REPORT_EVERY apart.
    """

    def __init__(self, table: CallerTable) -> None:
        self.table = table
        self.evictions = self.refusals = 0  # at the last report
        self.next_at = 0.0  # seconds of the steady clock

    def due(self, now: float) -> TurnedAway | None:
        """The next report, or None if nothing happened or it isn't time yet."""
        evictions = self.table.evictions - self.evictions
        refusals = self.table.refusals - self.refusals
        if now < self.next_at or not evictions + refusals:
            return None
        self.next_at = now + constants.CALLERS_REPORT_EVERY
        self.evictions, self.refusals = self.table.evictions, self.table.refusals
        return TurnedAway(evictions, refusals, self.table.connections(), self.table.held)


def metrics_of(table: CallerTable) -> list[Metric]:
    """The metrics of a table, alike for every kind of daemon."""
    evictions = "Connections closed to make room for others."
    refusals = "Requests and connections refused for want of room."
    return [
        ("gauge", "caller_connections", "Open connections of callers.", (), [((), table.connections())]),
        ("gauge", "caller_bytes", "Bytes held for requests and answers.", (), [((), table.held)]),
        ("gauge", "caller_bytes_most", "Bytes that may be held for them.", (), [((), table.limits.held)]),
        ("counter", "caller_evictions", evictions, (), [((), table.evictions)]),
        ("counter", "caller_refusals", refusals, (), [((), table.refusals)]),
    ]


def lone_caller() -> Caller:
    """A connection that shares its limits with no other one."""
    caller = CallerTable().admit(_NoConnection(), 0.0)
    assert caller is not None, "an empty table takes a connection"
    return caller


def decoded_bytes(body: bytes, values: int) -> int:
    """An upper bound of the memory that a JSON body of so many values needs, in bytes: as it is, decoded and
    translated.
    """
    width = 1 if body.isascii() else constants.WIDE_CHARACTER_BYTES
    return len(body) * (1 + width) + values * constants.DECODED_VALUE_BYTES


def most_values(body: bytes) -> int:
    """As value_count(), but without a look at the body: each value or name takes a byte at least."""
    return len(body) + 1


def value_count(body: bytes) -> int:
    """An upper bound of the number of values and names in a JSON body."""
    return 1 + len(body) - len(body.translate(None, b",:[{"))
