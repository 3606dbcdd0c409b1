"""Commands about the workers that take start orders, and about zones."""

from .front_commands import FrontCommands
from .text_tables import table


class WorkerCommands(FrontCommands):
    """list, drain, undrain, withdraw."""

    def list(self) -> None:
        """The workers that report, with their capacity and state."""
        self._get("/v1/minions", lambda document: table(document["minions"]))

    def drain(self, worker: str) -> None:
        """Gives a worker no new work."""
        self._do("POST", f"/v1/minions/{worker}/drain")

    def undrain(self, worker: str) -> None:
        """Takes a drain back."""
        self._do("POST", f"/v1/minions/{worker}/undrain")

    def withdraw(self, worker: str, due: float = 0.0) -> None:
        """The machine is gone for good at `due` (seconds since 1970; 0 for now)."""
        self._do("POST", f"/v1/minions/{worker}/withdraw", {"due": due})


class ZoneCommands(FrontCommands):
    """list, empty, take_back."""

    def list(self) -> None:
        """The zones and whether they are emptied."""
        self._get("/v1/areas", lambda document: table(document["areas"]))

    def empty(self, zone: str) -> None:
        """Gives the workers of a zone no new work."""
        self._do("POST", f"/v1/areas/{zone}/empty")

    def take_back(self, zone: str) -> None:
        """Lets a zone have work again."""
        self._do("POST", f"/v1/areas/{zone}/take-back")
