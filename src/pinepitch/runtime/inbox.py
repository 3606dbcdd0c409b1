"""The messages that wait for a daemon, in the order in which they came. Requests of callers don't keep the
messages of the cluster waiting for long.
"""

import collections
from collections.abc import Callable, Sequence
from typing import Any

import curio

from ..common import constants
from .clocks import steady_clock

Message = Sequence[Any]  # its kind first

# The kinds of messages that carry a caller's request, that end one, or that another daemon forwards for one;
# and those that end all requests, which keep their place among them.
CALLERS_KINDS = frozenset(("http", "call", "hung-up", "ask", "give-up", "halt"))


class Inbox:
    """The messages for the one loop that takes them; any task may put messages in. Invariants: the oldest
    message is the next one, but a message that is none of CALLERS_KINDS and has waited for CLUSTER_WAIT goes
    first, though never two such in a row; `others` are the messages of that sort that were not taken yet, and
    the first `overtaking` ones of that sort in `arrivals` were.
    """

    def __init__(self, clock: Callable[[], float] = steady_clock) -> None:
        self.clock = clock  # seconds
        self.arrivals = curio.Queue()
        self.others: collections.deque[Message] = collections.deque()
        self.others_since: collections.deque[float] = collections.deque()  # when each of them came
        self.overtaking = 0  # messages that were taken before older ones, and are in `arrivals` still
        self.overtook = False  # whether the newest message that was taken is one of them

    def empty(self) -> bool:
        """Whether no message waits."""
        is_empty: bool = self.arrivals.empty()
        return is_empty

    async def put(self, message: Message) -> None:
        """Adds a message."""
        if message[0] not in CALLERS_KINDS:
            self.others.append(message)
            self.others_since.append(self.clock())
        await self.arrivals.put(message)

    async def get(self) -> Message:
        """Removes and returns the next message, once there is one."""
        requests_wait = self.others and self.arrivals.qsize() > len(self.others)
        if requests_wait and not self.overtook and self._has_waited_long():
            self.overtook = True
            self.overtaking += 1
            return self._take_other()
        self.overtook = False
        while True:
            message: Message = await self.arrivals.get()
            if message[0] in CALLERS_KINDS:
                return message
            if not self.overtaking:
                return self._take_other()
            self.overtaking -= 1

    def _has_waited_long(self) -> bool:
        """Whether the oldest of `others` goes before older requests."""
        return self.clock() - self.others_since[0] >= constants.CLUSTER_WAIT

    def _take_other(self) -> Message:
        """Removes and returns the oldest of `others`."""
        self.others_since.popleft()
        return self.others.popleft()
