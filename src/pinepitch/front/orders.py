"""The orders that a front daemon delivers to workers: each once, in its time, and what became of it."""

from collections.abc import Callable, Iterable
from typing import Any

from ..common import constants

Key = tuple[str, int]  # (reference of the task, attempt)
Order = dict[str, Any]  # as the leader tells it


class Orders:
    """Invariants: an order in `taken` was posted at most once and never will be again; `outcomes` holds
    what the leader has not yet acknowledged, the first `outcomes_sent` of it are told in the newest
    request for updates.
    """

    def __init__(self, event: Callable[..., None], post: Callable[..., None]) -> None:
        self._event = event  # emits a numbered event
        self._post = post  # (key or None, address, path, document): posts to a worker
        self.taken: dict[Key, float] = {}  # until when each may be sent, in cluster time
        self.waiting: dict[Key, Order] = {}
        self.outcomes: list[tuple[str, int, str]] = []  # (reference, attempt, outcome)
        self.outcomes_sent = 0

    def has_new_outcomes(self) -> bool:
        """Whether an outcome is in no request for updates yet."""
        return len(self.outcomes) > self.outcomes_sent

    def tell_outcomes(self) -> tuple[tuple[str, int, str], ...]:
        """All outcomes, for a request for updates."""
        self.outcomes_sent = len(self.outcomes)
        return tuple(self.outcomes)

    def acknowledged(self) -> None:
        """The newest request for updates was answered: the leader knows what it told."""
        del self.outcomes[: self.outcomes_sent]
        self.outcomes_sent = 0

    def take(self, orders: Iterable[Order]) -> None:
        """Takes the orders that are not known yet."""
        for order in orders:
            key = (order["task"], order["attempt"])
            if key not in self.taken:
                self.taken[key] = order["send_by"]
                self.waiting[key] = order
                self.outcomes.append((*key, "taken"))

    def kill(self, reference: str, attempt: int, address: str) -> None:
        """Tells a worker to kill a task; an order for it that still waits is withheld."""
        key = (reference, attempt)
        if key in self.waiting:
            self._end(key, "withheld")
        self._post(None, address, "/v1/kills", {"task": reference, "attempt": attempt})

    def posted(self, key: Key, outcome: str) -> None:
        """How the post of an order went: sent, refused, unsent or unknown."""
        if outcome == "unknown":
            self._event(153, task=key[0], attempt=key[1])
        self.outcomes.append((*key, outcome))

    def send_due(self, earliest: float, latest: float, body: dict[str, Any]) -> None:
        """Sends each order whose time has come, once, unless the newest updates have overtaken it;
        `earliest` and `latest` are the bounds of cluster time now.
        """
        for key, order in list(self.waiting.items()):
            if latest > order["send_by"]:
                self._event(154, task=key[0], attempt=key[1])
                self._end(key, "late")
            elif self._closed(order, body):
                self._end(key, "withheld")
            elif earliest >= order["not_before"]:
                self._send(key, order)
        if len(self.taken) > constants.TAKEN_KEPT:
            self.taken = {
                key: send_by
                for key, send_by in self.taken.items()
                if send_by + constants.TAKEN_LASTS > earliest
            }

    def _send(self, key: Key, order: Order) -> None:
        del self.waiting[key]
        self._event(152, task=key[0], attempt=key[1], minion=order["minion"])
        self._post(key, order["address"], "/v1/orders", order)

    def _end(self, key: Key, outcome: str) -> None:
        """An order that waited will not be sent."""
        del self.waiting[key]
        self.outcomes.append((*key, outcome))

    def _closed(self, order: Order, body: dict[str, Any]) -> bool:
        """Whether the updates tell that the order's worker or zone takes no new work."""
        return (
            order["minion"] in body.get("drained", ())
            or order["minion"] in body.get("withdrawn", ())
            or order["area"] in body.get("emptied", ())
        )
