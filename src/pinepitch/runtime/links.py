"""The links to other daemons; each is opened when the first frame is sent."""

from collections.abc import Sequence
from typing import Any

from ..common.limits import Limits
from ..transport import framing
from ..transport.link import Attempt, Link


def call_attempt(message: Sequence[Any]) -> Attempt | None:
    """The attempt in a message that expects an answer, or None for any other message."""
    if message[0] == "ask":
        return Attempt(message[2], message[5])
    return Attempt(message[3], 0) if message[0] == "news" else None


class Links:
    """Invariant: there is one link with one running task for each address that a frame was sent to."""

    def __init__(self, address: str, inbox: Any, tasks: Any, limits: Limits) -> None:
        self.address = address  # address of this daemon, the source in every frame
        self.inbox = inbox
        self.tasks = tasks
        self.limits = limits
        self.links: dict[str, Link] = {}

    async def send(self, address: str, message: Sequence[Any]) -> None:
        """Queues a message for the daemon at an address."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address, self._undelivered, self.limits)
            await self.tasks.spawn(link.run)
        attempt = call_attempt(message)
        await link.put(framing.encode(self.address, message), attempt)

    async def _undelivered(self, attempts: list[Attempt]) -> None:
        """Notifies the daemon of attempts that were not delivered."""
        for token, number in attempts:
            await self.inbox.put(("undelivered", token, number))
