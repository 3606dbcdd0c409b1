"""A stand-in client that submits jobs to a fleet over real sockets."""

import time
from typing import Any, NamedTuple

import curio

from ...common import constants
from ...common.daemon_settings import split
from ...transport import http, http_client
from .. import stand_in_client
from .plans import PLANS, Plan


class Traffic:
    """A caller stand-in with real sockets. Invariant: at most one answer a call."""

    def __init__(
        self,
        fleet: Any,
        seed: int = 0,
        rate: float = 1.0,
        fail: float = 0.02,
        name: str = "caller",
        cancels: float = 0.02,
    ) -> None:
        self.fleet = fleet
        self.caller = stand_in_client.StandInClient(
            name, fleet.plan.traffic, seed, rate, fail, cancels=cancels
        )
        self.idle: dict[str, list[http_client.Client]] = {}  # address -> clients that wait for no answer

    async def run(self, seconds: float) -> list[Any]:
        """Sends for some seconds, then waits until every job but feeds is final."""
        end = time.time() + seconds
        while time.time() < end:
            await self._turn()
        self.caller.stopped = True
        end = time.time() + 60
        while time.time() < end and self._unfinished():
            await self._turn()
        for clients in self.idle.values():
            for client in clients:
                await client.close()
        return self._unfinished()

    def _unfinished(self) -> list[Any]:
        return (
            [pushed_job for pushed_job in self.caller.open]
            + [one[1] for one in self.caller.retry]
            + [one[1] for one in self.caller.pending_calls.values() if one[0] == "submit"]
        )

    async def _turn(self) -> None:
        for effect in self.caller.step(("tick",), time.time()):
            await curio.spawn(self._call, *effect[1:], daemon=True)
        await curio.sleep(constants.TICK)

    async def _call(self, call: int, draw: int, method: str, target: str, document: Any) -> None:
        web = self.fleet.fronts[draw % len(self.fleet.fronts)][2]
        clients = self.idle.setdefault(web, [])
        client = clients.pop() if clients else http_client.Client(*split(web))
        answer = await curio.ignore_after(5, client.call(method, target, document))
        if isinstance(answer, http.Response):
            clients.append(client)
            self.caller.step(("answered", call, answer.status, answer.document), time.time())
        else:
            await client.close()
            self.caller.step(("answered", call, 0, None), time.time())


def traffic(front: str = "127.0.0.1:8080", seconds: float = 30, rate: float = 1.0) -> None:
    """Sends stand-in jobs to one front daemon's queue `default` for some seconds."""

    class Running(NamedTuple):
        """What Traffic needs of a fleet that runs already."""

        plan: Plan
        fronts: tuple[tuple[str, str, str], ...]

    shape = {"queue": "default", "urgency": 4, "count": 3, "shape": "fan", "units": 1, "seconds": 0.6}
    plan = PLANS["small"]._replace(traffic=(("job", 2.0, shape),))
    one = Traffic(
        Running(plan, (("", "", front),)), time.time_ns(), rate, 0.0, f"try-{time.time_ns()}", cancels=0.0
    )
    unfinished = curio.run(one.run, seconds)
    print(f"{len(one.caller.accepted)} tickets accepted, {len(unfinished)} not finished")
