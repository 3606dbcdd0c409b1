"""The messages that wait for a daemon. Requests of callers and the messages of the cluster are taken in turn,
so that neither waits for all of the other.
"""

import collections
from collections.abc import Sequence
from typing import Any

import curio

Message = Sequence[Any]  # its kind first

# The kinds of messages that carry a caller's request, that end one, or that another daemon forwards for one;
# and those that end all requests, which keep their place among them.
CALLERS_KINDS = frozenset(("http", "call", "hung-up", "ask", "give-up", "halt"))


class MessageQueues:
    """Requests of callers, and all other messages. Invariants: each queue is in the order in which its
    messages came; while both hold messages, they are taken in turn.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[Message] = collections.deque()
        self.others: collections.deque[Message] = collections.deque()
        self.request_taken = False  # whether the newest message that was taken is a request

    def empty(self) -> bool:
        """Whether there is no message."""
        return not (self.requests or self.others)

    def append(self, message: Message) -> None:
        """Adds a message behind those of its queue."""
        queue = self.requests if message[0] in CALLERS_KINDS else self.others
        queue.append(message)

    def take(self) -> Message:
        """Removes and returns the next message. IndexError: there is none."""
        self.request_taken = bool(self.requests) and not (self.request_taken and self.others)
        return (self.requests if self.request_taken else self.others).popleft()


class Inbox:
    """The messages for the one loop that takes them; any task may put messages in. Invariant: `awaited` is
    whether that loop waits for `arrived`.
    """

    def __init__(self) -> None:
        self.messages = MessageQueues()
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
