"""Commands for tenants: their limits and current use. No key is ever shown."""

from typing import Any
from urllib.parse import quote

from .front_commands import Document, FrontCommands, text_argument
from .leased_jobs import capacity_text
from .text_tables import flat, table

COLUMNS = ("tenant", "weight", "maximum", "used", "open", "waiting", "excess", "at_maximum", "keys")


class TenantCommands(FrontCommands):
    """list, show."""

    def list(self) -> None:
        """Lists the tenants, with the limits, the current use and the jobs of each."""
        self._get("/v1/tenants", tenants_text)

    @text_argument("name")  # a name may consist of digits
    def show(self, name: str) -> None:
        """Shows one tenant, with a fingerprint of each of its keys."""
        self._get(f"/v1/tenants/{quote(name, safe='')}", tenant_text)


def tenants_text(document: Document) -> str:
    """The tenants as a table."""
    return table([_with_capacities(tenant) for tenant in document["tenants"]], COLUMNS)


def tenant_text(document: Document) -> str:
    """One tenant as text, with one line per field."""
    return flat(_with_capacities(document))


def _with_capacities(tenant: dict[str, Any]) -> dict[str, Any]:
    """A tenant with its capacities as text; "-" stands for a capacity without a limit."""
    maximum = tenant["maximum"]
    if maximum is not None:
        maximum = {name: "-" if limit is None else limit for name, limit in maximum.items()}
    return {**tenant, "maximum": capacity_text(maximum), "used": capacity_text(tenant["used"])}
