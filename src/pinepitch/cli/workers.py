"""Commands for zones and for the workers that accept start orders."""

from .front_commands import FrontCommands
from .text_tables import table


class WorkerCommands(FrontCommands):
    """list, drain, undrain, withdraw."""

    def list(self) -> None:
        """Lists the workers that send reports, with their capacity and state."""
        self._get("/v1/minions", lambda document: table(document["minions"]))

    def drain(self, worker: str) -> None:
        """Drains a worker: it gets no new work."""
        self._send_change("POST", f"/v1/minions/{worker}/drain")

    def undrain(self, worker: str) -> None:
        """Ends the drain of a worker, which then gets new work again."""
        self._send_change("POST", f"/v1/minions/{worker}/undrain")

    def withdraw(self, worker: str, due: float = 0.0) -> None:
        """Withdraws a worker whose machine is gone for good at `due` (seconds since 1970; 0 for now)."""
        self._send_change("POST", f"/v1/minions/{worker}/withdraw", {"due": due})


class ZoneCommands(FrontCommands):
    """list, empty, take_back."""

    def list(self) -> None:
        """Lists the zones and whether they are emptied."""
        self._get("/v1/areas", lambda document: table(document["areas"]))

    def empty(self, zone: str) -> None:
        """Empties a zone: its workers get no new work."""
        self._send_change("POST", f"/v1/areas/{zone}/empty")

    def take_back(self, zone: str) -> None:
        """Lets a zone get new work again."""
        self._send_change("POST", f"/v1/areas/{zone}/take-back")
