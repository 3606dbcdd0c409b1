"""The messages that wait for a daemon, in the order in which they came. Requests of callers don't keep the
messages of the cluster waiting for long.
"""

import collections
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import curio

from ..common import constants
from .clocks import steady_clock

Message = Sequence[Any]  # its kind first

# The kinds of messages that carry a caller's request, that end one, or that another daemon forwards for one;
# and those that end all requests, which keep their place among them.
CALLERS_KINDS = frozenset(("http", "call", "hung-up", "ask", "give-up", "halt"))


class Waiting(NamedTuple):
    """A message, its place in the order of arrival, and when it came (seconds of the clock; 0.0 for a
    request, whose time is never looked at).
    """

    place: int
    since: float
    message: Message


class MessageQueues:
    """Requests of callers, and all other messages. Invariants: each queue is in the order in which its
    messages came; the oldest message is the next one, but a message that is no request and has waited for
    CLUSTER_WAIT goes before a request, though never two such in a row.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.requests: collections.deque[Waiting] = collections.deque()
        self.others: collections.deque[Waiting] = collections.deque()
        self.count = 0  # of the messages that ever came
        self.overtook = False  # whether the newest message that was taken went before an older request

    def empty(self) -> bool:
        """Whether there is no message."""
        return not (self.requests or self.others)

    def append(self, message: Message) -> None:
        """Adds a message."""
        self.count += 1
        if message[0] in CALLERS_KINDS:
            self.requests.append(Waiting(self.count, 0.0, message))
        else:
            self.others.append(Waiting(self.count, self.clock(), message))

    def take(self) -> Message:
        """Removes and returns the next message. IndexError: there is none."""
        if not self.requests:
            return self.others.popleft().message
        if not self.others:
            return self.requests.popleft().message
        oldest = self.others[0]
        if oldest.place < self.requests[0].place:
            return self.others.popleft().message
        self.overtook = not self.overtook and self.clock() - oldest.since >= constants.CLUSTER_WAIT
        return (self.others if self.overtook else self.requests).popleft().message


class Inbox:
    """The messages for the one loop that takes them; any task may put messages in. Invariant: `awaited` is
    whether that loop waits for `arrived`.
    """

    def __init__(self) -> None:
        self.messages = MessageQueues(steady_clock)
        self.arrived = curio.Event()
        self.awaited = False

    def empty(self) -> bool:
        """Whether no message waits."""
        return self.messages.empty()

    async def put(self, message: Message) -> None:
        """Adds a message."""
        self.messages.append(message)
        if self.awaited:
            self.awaited = False
            await self.arrived.set()

    async def wait(self) -> None:
        """Returns once a message waits."""
        while self.empty():
            self.arrived.clear()
            self.awaited = True
            await self.arrived.wait()

    def take(self) -> Message:
        """Removes and returns the next message. IndexError: there is none."""
        return self.messages.take()

    async def get(self) -> Message:
        """The next message, once there is one."""
        await self.wait()
        return self.messages.take()
