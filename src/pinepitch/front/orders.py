"""The orders that a front daemon delivers to workers, each at most once and when due, with outcomes."""

from collections.abc import Callable, Iterable
from typing import Any

from ..common import constants

Key = tuple[str, int]  # (reference of the task, attempt)
Order = dict[str, Any]  # as the leader sends it


class Orders:
    """Accepted orders and their outcomes. Invariants: no order in `accepted` is posted more than once;
    `outcomes` contains those that the leader has not acknowledged yet, and the newest request for updates
    reports the first `outcomes_sent` of them.
    """

    def __init__(self, event: Callable[..., None], post: Callable[..., None]) -> None:
        self._event = event  # emits a numbered event
        self._post = post  # (key or None, address, path, document): posts to a worker
        self.accepted: dict[
            Key, float
        ] = {}  # key of each order -> until when it may be sent, in cluster time
        self.waiting: dict[Key, Order] = {}
        self.outcomes: list[tuple[str, int, str]] = []  # (reference, attempt, outcome)
        self.outcomes_sent = 0

    def has_new_outcomes(self) -> bool:
        """Whether there is an outcome that no request for updates has reported yet."""
        return len(self.outcomes) > self.outcomes_sent

    def outcomes_to_send(self) -> tuple[tuple[str, int, str], ...]:
        """All unacknowledged outcomes, for a request for updates that is sent now."""
        self.outcomes_sent = len(self.outcomes)
        return tuple(self.outcomes)

    def acknowledged(self) -> None:
        """Drops the outcomes that the newest request for updates reported, as it was answered."""
        del self.outcomes[: self.outcomes_sent]
        self.outcomes_sent = 0

    def accept(self, orders: Iterable[Order]) -> None:
        """Accepts the orders that are not known yet."""
        for order in orders:
            key = (order["task"], order["attempt"])
            if key not in self.accepted:
                self.accepted[key] = order["send_by"]
                self.waiting[key] = order
                self.outcomes.append((*key, "taken"))

    def kill(self, reference: str, attempt: int, address: str) -> None:
        """Posts a kill of a task to its worker; an order for it that is still waiting is withheld."""
        key = (reference, attempt)
        if key in self.waiting:
            self._end(key, "withheld")
        self._post(None, address, "/v1/kills", {"task": reference, "attempt": attempt})

    def posted(self, key: Key, outcome: str) -> None:
        """Records the outcome of posting an order: sent, refused, unsent or unknown."""
        if outcome == "unknown":
            self._event(153, task=key[0], attempt=key[1])
        self.outcomes.append((*key, outcome))

    def send_due(self, earliest: float, latest: float, body: dict[str, Any]) -> None:
        """Sends each order that is due, once, unless the newest updates have superseded it. `earliest` and
        `latest` are the bounds on cluster time now.
        """
        for key, order in list(self.waiting.items()):
            if latest > order["send_by"]:
                self._event(154, task=key[0], attempt=key[1])
                self._end(key, "late")
            elif self._accepts_no_work(order, body):
                self._end(key, "withheld")
            elif earliest >= order["not_before"]:
                self._send(key, order)
        if len(self.accepted) > constants.TAKEN_KEPT:
            self.accepted = {
                key: send_by
                for key, send_by in self.accepted.items()
                if send_by + constants.TAKEN_LASTS > earliest
            }

    def _send(self, key: Key, order: Order) -> None:
        del self.waiting[key]
        self._event(152, task=key[0], attempt=key[1], minion=order["minion"])
        self._post(key, order["address"], "/v1/orders", order)

    def _end(self, key: Key, outcome: str) -> None:
        """Drops a waiting order, which will not be sent, and records its outcome."""
        del self.waiting[key]
        self.outcomes.append((*key, outcome))

    def _accepts_no_work(self, order: Order, body: dict[str, Any]) -> bool:
        """Whether, by the newest updates, the order's worker or zone accepts no new work."""
        return (
            order["minion"] in body.get("drained", ())
            or order["minion"] in body.get("withdrawn", ())
            or order["area"] in body.get("emptied", ())
        )
