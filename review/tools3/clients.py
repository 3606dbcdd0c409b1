"""Stand-in clients: they hand jobs in, ask for them and cancel them as PROTOCOL.md says."""

import asyncio
import json
import random

from deployment import call

DEADLINE = 3.0  # seconds; of a call, as on the users' sites
TRIES = 5  # the first one and four further tries, as on the users' sites
HOST = "h.example"


class Clients:
    """Hands jobs in and asks for them. `accepted` maps the path of an accepted job to when it was accepted."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.turn = 0
        self.accepted = {}
        self.refused = []

    def _front(self):
        self.turn += 1
        return self.deployment.fronts[self.turn % len(self.deployment.fronts)]

    async def call(self, method, path, document=None, timeout=DEADLINE):
        return await call(
            self._front(),
            method,
            path,
            document,
            {"X-Deadline-Remaining": str(int(timeout * 1000))},
            timeout,
            HOST,
        )

    async def hand_in(self, prefix, document, tries=TRIES):
        """The path of a job that was handed in, or None if no try was accepted."""
        path = prefix + f"{random.getrandbits(64):016x}"
        for _ in range(tries):
            status, answer = await self.call("POST", path, document)
            if status // 100 == 2:
                self.accepted[path] = self.record.now()
                self.record("client POST", path, status, answer.get("state"))
                return path
            self.record("client POST", path, status, answer.get("errorMessage"))
            await asyncio.sleep(0.3)
        self.refused.append(path)
        return None

    async def state(self, path):
        """The state that one try shows, or its status."""
        status, answer = await self.call("GET", path)
        return answer.get("state", status) if status == 200 else status

    async def waiting(self, prefix, front):
        """The count of a queue's waiting jobs as one front shows it, or None."""
        status, answer = await call(
            front, "GET", prefix, None, {"X-Deadline-Remaining": "3000"}, DEADLINE, HOST
        )
        self.record("client GET", prefix, front, status, answer)
        return answer.get("waiting") if status == 200 else None


def spec(milliseconds, cpu, how="done"):
    """The taskSpec of a job whose tasks take so long (0: they last) and end so."""
    return json.dumps({"ms": milliseconds, "cpu": cpu, "how": how})
