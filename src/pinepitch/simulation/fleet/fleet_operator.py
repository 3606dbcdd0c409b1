"""A stand-in operator of a fleet of processes."""

import time
from typing import TYPE_CHECKING, Any

from ...transport import http
from .. import checks
from .plans import Headers

if TYPE_CHECKING:
    from .processes import Fleet


class FleetOperator:
    """A stand-in operator of a fleet. Invariants: as of Operator: what is acknowledged is
    kept, with when it was, for the checks that both share.
    """

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.changes: list[tuple[Any, ...]] = []  # as checks.queue_configurations_kept takes them
        self.refused: list[str] = []  # reasons of changes that were refused
        self.maybe: list[tuple[float, Any]] = []  # (asked, document) of changes without a clear answer
        self.spans: list[list[Any]] = []  # [kind, subject, from, to or None]
        self.withdrawn: set[str] = set()
        self.count = 0

    async def persist(
        self, method: str, target: str, document: Any = None, headers: Headers = (), seconds: float = 30
    ) -> Any:
        """Asks at one front daemon after another until answered other than 429 or 503."""

        async def answered() -> Any:
            self.count += 1
            answer = await self.fleet.call(method, target, document, headers, front=self.count)
            return isinstance(answer, http.Response) and answer.status not in (429, 503) and answer

        return await self.fleet.until(answered, seconds, f"an answer to {method} {target}")

    async def change(self, document: Any, base: int | None = None, manner: str = "merge") -> int:
        """One change, sent once; its status."""
        self.count += 1
        reason, asked = f"change {self.count}", time.time()
        answer = await self.fleet.call(
            "PATCH" if manner == "merge" else "PUT",
            "/v1/setup",
            document,
            (("If-Match", "*" if base is None else f'"{base}"'), ("X-Reason", reason)),
            front=self.count,
        )
        status = answer.status if isinstance(answer, http.Response) else 0
        if status == 200:
            self.changes.append(
                (asked, time.time(), answer.document["version"], manner, document, base, reason)
            )
        elif status in (409, 422):
            self.refused.append(reason)
        else:
            self.maybe.append((asked, document))
        return status

    async def close(self, kind: str, subject: str) -> None:
        """Drains a worker or empties a zone."""
        act = f"/v1/minions/{subject}/drain" if kind == "minion" else f"/v1/areas/{subject}/empty"
        if (await self.persist("POST", act)).status == 200:
            self.spans.append([kind, subject, time.time(), None])

    async def open(self, kind: str, subject: str) -> None:
        """Lets a drained worker in again, or takes a zone back."""
        act = f"/v1/minions/{subject}/undrain" if kind == "minion" else f"/v1/areas/{subject}/take-back"
        begun = time.time()
        await self.persist("POST", act)
        for span in self.spans:
            if span[:2] == [kind, subject]:
                span[3] = begun

    async def withdraw(self, worker: str, due: float) -> None:
        """Says that a worker's machine goes at `due`, in seconds since the epoch."""
        await self.persist("POST", f"/v1/minions/{worker}/withdraw", {"due": due})
        self.spans.append(["minion", worker, time.time(), None])
        self.withdrawn.add(worker)

    async def check(self) -> list[str]:
        """Faults in what was acknowledged, as read at every front daemon."""
        histories, documents = [], {}
        for place in range(len(self.fleet.fronts)):
            answer = await self.fleet.call("GET", "/v1/setup/versions", front=place)
            if not isinstance(answer, http.Response) or answer.status != 200:
                answer = await self.persist("GET", "/v1/setup/versions")
            histories.append(answer.document)
        for version in {one for change in self.changes for one in (change[2], change[2] - 1)}:
            documents[version] = (await self.persist("GET", f"/v1/setup/versions/{version}")).document[
                "setup"
            ]
        zones = {one[0]: one[1] for one in self.fleet.workers}
        return [
            *checks.queue_configurations_kept(histories, documents, self.changes, self.refused),
            *checks.closed_kept(self.fleet.worker_history(), self.spans, zones),
        ]
