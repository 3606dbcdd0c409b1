"""The messages of a search: each is kept once, and a state names those under way by their numbers."""

from typing import Any, NamedTuple

from ...consensus.messages import Message
from .replica import frozen_message


class PostedMessage(NamedTuple):
    """A message under way."""

    sender: str
    receiver: str
    message: Message


class Post:
    """All messages of a search, by number. Invariant: equal messages have the same number."""

    def __init__(self) -> None:
        self.messages: list[PostedMessage] = []
        self.numbers: dict[Any, int] = {}

    def number(self, sender: str, receiver: str, message: Message) -> int:
        """The number of a message, new or seen before."""
        key = (sender, receiver, frozen_message(message))
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.messages)
            self.messages.append(PostedMessage(sender, receiver, message))
        return number
