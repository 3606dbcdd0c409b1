"""Commands about tenants: what they may have and have running. No key is ever shown."""

from typing import Any
from urllib.parse import quote

from .front_commands import Document, FrontCommands, text_argument
from .leased_jobs import capacity_text
from .text_tables import flat, table

COLUMNS = ("tenant", "weight", "maximum", "used", "open", "waiting", "excess", "at_maximum", "keys")


class TenantCommands(FrontCommands):
    """list, show."""

    def list(self) -> None:
        """The tenants, with what each may have and has running, and its jobs."""
        self._get("/v1/tenants", tenants_text)

    @text_argument("name")  # a name may look like a number
    def show(self, name: str) -> None:
        """One tenant, with a fingerprint of each of its keys."""
        self._get(f"/v1/tenants/{quote(name, safe='')}", tenant_text)


def tenants_text(document: Document) -> str:
    """The tenants as a table."""
    return table([_with_capacities(one) for one in document["tenants"]], COLUMNS)


def tenant_text(document: Document) -> str:
    """One tenant, a line for each field."""
    return flat(_with_capacities(document))


def _with_capacities(tenant: dict[str, Any]) -> dict[str, Any]:
    """A tenant with its capacities as text; what is not limited shows as "-"."""
    maximum = tenant["maximum"]
    if maximum is not None:
        maximum = {name: "-" if limit is None else limit for name, limit in maximum.items()}
    return {**tenant, "maximum": capacity_text(maximum), "used": capacity_text(tenant["used"])}
