"""The configuration of routes, services and tenants: validation, replacement as a whole or by named items,
and lookup of routes.
"""

import collections
import hashlib
import json
from collections.abc import Iterable
from typing import Any

import voluptuous

from ..common import constants
from ..model.validation import ListOf, shaped
from ..model.validation import number as _number
from ..model.validation import whole_number as _whole_number
from .plain_types import Document, Faults, Image, Outcome
from .tenants import TENANT_SCHEMA, Tenants, listed_tenants, shared_key_faults

_NAME = voluptuous.All(str, voluptuous.Length(min=1, max=constants.MAX_NAME_LENGTH))
_PREFIX = voluptuous.All(
    str, voluptuous.Length(min=1, max=constants.MAX_PREFIX_LENGTH), voluptuous.Match(r"^/")
)
ROUTE_SCHEMA = {
    voluptuous.Required("name"): _NAME,
    voluptuous.Required("host"): _NAME,
    voluptuous.Required("prefix"): _PREFIX,
    voluptuous.Required("service"): _NAME,
    voluptuous.Optional("timeout_ms"): _number(0, constants.MAX_NUMBER),
    voluptuous.Optional("aim_ms"): _number(0, constants.MAX_NUMBER),
    voluptuous.Optional("priority"): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("attempts"): _whole_number(0, constants.MAX_NUMBER),
    voluptuous.Optional("stretch"): _number(0, constants.MAX_NUMBER),
    voluptuous.Extra: object,
}
SERVICE_SCHEMA = {
    voluptuous.Required("name"): _NAME,
    voluptuous.Optional("guards"): bool,
    voluptuous.Extra: object,
}
CONFIGURATION_SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("version"): _whole_number(1, constants.MAX_NUMBER),
        voluptuous.Required("routes"): ListOf(ROUTE_SCHEMA),
        voluptuous.Required("services"): ListOf(SERVICE_SCHEMA),
        voluptuous.Extra: object,
    }
)
LISTS = ("routes", "services")  # the members of a configuration that are lists of named items
PUBLIC_ROUTES_SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("routes"): ListOf(
            {voluptuous.Optional("public"): bool, voluptuous.Extra: object}
        ),
        voluptuous.Extra: object,
    }
)
TENANTS_SCHEMA = voluptuous.Schema(
    {voluptuous.Optional("tenants"): ListOf(TENANT_SCHEMA), voluptuous.Extra: object}
)


def faults_of(document: Any, with_tenants: bool = False, keeps_tenants: bool = False) -> Faults:
    """The faults of a whole configuration, () if it may come into force.

    The tenants, and which routes are public, are validated only if the log entry says so (`with_tenants`).
    What older versions accepted without validation stays accepted, even by a change that leaves the tenants
    as they are (`keeps_tenants`).
    """
    faults: Faults = shaped(CONFIGURATION_SCHEMA, document)[1]
    if not faults and with_tenants:
        faults = shaped(PUBLIC_ROUTES_SCHEMA, document)[1]
    with_tenants = with_tenants and not keeps_tenants
    if not faults and with_tenants:
        faults = shaped(TENANTS_SCHEMA, document)[1]
    if faults:
        return faults
    item_faults: list[tuple[str, str]] = []
    routes_by_address: dict[tuple[str, str], str] = {}  # (host, prefix) -> name of its route
    services = {service["name"] for service in document["services"]}
    tenants = document.get("tenants", ()) if with_tenants else ()
    item_faults.extend(shared_key_faults(tenants))
    for kind in (*LISTS, "tenants") if tenants else LISTS:
        counts = collections.Counter(item["name"] for item in document[kind])
        item_faults.extend((f"{kind}.{name}", "named twice") for name in sorted(counts) if counts[name] > 1)
    for route in document["routes"]:
        address = (route["host"].lower(), route["prefix"])
        if route["service"] not in services:
            item_faults.append((f"routes.{route['name']}.service", f"no service {route['service']!r}"))
        if address in routes_by_address:
            item_faults.append(
                (
                    f"routes.{route['name']}",
                    f"{route['host']}{route['prefix']} is that of {routes_by_address[address]}",
                )
            )
        routes_by_address[address] = route["name"]
        if route.get("timeout_ms", 1) == 0:
            item_faults.append((f"routes.{route['name']}.timeout_ms", "0 leaves no time"))
    return tuple(item_faults)


def _is_named_list(items: object) -> bool:
    """Whether a value is a list of items that each have a name."""
    return isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    )


def amended(
    document: Document, version: Any, upserts: dict[str, Any], removes: dict[str, Any]
) -> tuple[Any, Faults]:
    """(the document with named items added, replaced and removed, ()) or (None, faults)."""
    changed: Document = {**document, "version": version}
    for part, items in upserts.items():
        if not _is_named_list(items):
            return None, ((f"upserts.{part}", "expected a list of named items"),)
        new_items = {item["name"]: item for item in items}
        if len(new_items) < len(items):
            return None, ((f"upserts.{part}", "an item is named twice"),)
        current = changed.get(part, [])
        if not _is_named_list(current):
            return None, ((f"upserts.{part}", "not a list of named items"),)
        changed[part] = [new_items.pop(old["name"], old) for old in current] + list(new_items.values())
    for part, names in removes.items():
        if not isinstance(names, list) or not _is_named_list(changed.get(part)):
            return None, ((f"removes.{part}", "expected names out of a list of named items"),)
        changed[part] = [old for old in changed[part] if old["name"] not in names]
    return changed, ()


def digest_of(value: object) -> str:
    """A digest that distinguishes different calls with the same version: 16 hexadecimal digits."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:16]


class HostRoutes:
    """The routes of one host. Invariant: `_lengths` contains each length of a prefix once, longest first."""

    def __init__(self) -> None:
        self._by_prefix: dict[str, Document] = {}
        self._lengths: list[int] = []

    def add(self, route: Document) -> None:
        """Adds a route. Of several with the same prefix the first one is found."""
        prefix = route["prefix"]
        self._by_prefix.setdefault(prefix, route)
        if len(prefix) not in self._lengths:
            self._lengths.append(len(prefix))
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> tuple[Document, str] | None:
        """(route, rest of the path) of the route with the longest prefix that matches, or None."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route, path[length:]
        return None


class Configuration:
    """The configuration in force, and the digests of the calls that made it and earlier versions.

    Invariants: `version` is that of `document`, 0 while there is none. `digests_by_version` contains, for
    each of the newest CONFIGURATIONS_KEPT versions, the digest of the call that made it.
    """

    def __init__(
        self, document: Document | None = None, digests_by_version: Iterable[tuple[int, str]] = ()
    ) -> None:
        self.digests_by_version = dict(digests_by_version)  # version -> digest of its call
        self._set_document(document)

    def _set_document(self, document: Document | None) -> None:
        self.document = document
        self.version: int = document["version"] if document else 0
        self.routes_by_host: dict[str, HostRoutes] = {}
        self.routes: dict[str, Document] = {}  # by name
        self.services: dict[str, Document] = {}  # by name
        if document:
            for route in document["routes"]:
                self.routes_by_host.setdefault(route["host"].lower(), HostRoutes()).add(route)
                self.routes[route["name"]] = route
            self.services = {service["name"]: service for service in document["services"]}
        self.tenants = Tenants(document)

    def image(self) -> Image:
        """The state as plain values, for a snapshot. Configuration(*image) rebuilds it."""
        return (self.document, tuple(self.digests_by_version.items()))

    def find(self, host: str, path: str) -> tuple[Document, str] | None:
        """(route, rest of the path) of the route with the longest prefix that matches, or None."""
        routes = self.routes_by_host.get(host.lower())
        return routes.find(path) if routes is not None else None

    def _forgotten_below(self) -> int:
        """The version below which an accepted call may have been forgotten, 0 if none can have been."""
        return (
            next(iter(self.digests_by_version))
            if len(self.digests_by_version) >= constants.CONFIGURATIONS_KEPT
            else 0
        )

    def _earlier_outcome(self, base: int, version: Any, digest: str) -> Outcome | None:
        """The outcome of a call that was accepted before or whose base is not in force, or None if it may be
        accepted.

        A call older than all that are remembered may have been accepted, so its outcome is "forgotten", which
        does not say that it was refused.
        """
        is_number = type(version) is int
        if is_number and self.digests_by_version.get(version) == digest:
            return ("configured", version)
        if base == self.version:
            return None
        if is_number and base < version < self._forgotten_below():
            return ("forgotten", version)
        return ("stale", self.version)

    def replace(
        self,
        base: int,
        document: Document,
        digest: str,
        with_tenants: bool = False,
        keeps_tenants: bool = False,
    ) -> Outcome:
        """Replaces version `base` by a whole configuration. Outcomes: ("configured", version), ("stale",
        version in force), ("forgotten", version) or ("invalid", faults). The other arguments are those of
        faults_of.
        """
        version: Any = document.get("version")  # of any type, as it is not validated yet
        earlier_outcome = self._earlier_outcome(base, version, digest)
        if earlier_outcome is not None and earlier_outcome[0] != "forgotten":
            return earlier_outcome
        faults = faults_of(document, with_tenants, keeps_tenants)
        if not faults and earlier_outcome is not None:
            return earlier_outcome
        if not faults and version <= self.version:
            faults = (("version", f"{version} is not above {self.version}"),)
        if faults:
            return ("invalid", faults)
        self._set_document(document)
        self.digests_by_version[version] = digest
        while len(self.digests_by_version) > constants.CONFIGURATIONS_KEPT:
            del self.digests_by_version[next(iter(self.digests_by_version))]
        return ("configured", version)

    def amend(
        self,
        base: int,
        version: Any,
        upserts: dict[str, Any],
        removes: dict[str, Any],
        digest: str,
        with_tenants: bool = False,
    ) -> Outcome:
        """Changes named items of version `base`, with the outcomes of replace(). `upserts` maps the name of a
        list to the items to add or replace in it, and `removes` to the names of the items to remove (see the
        users' page on configuration).
        """
        earlier_outcome = self._earlier_outcome(base, version, digest)
        if earlier_outcome is not None:
            return earlier_outcome
        if self.document is None:
            return ("invalid", (("version", "there is no configuration to change yet"),))
        document, faults = amended(self.document, version, upserts, removes)
        if faults:
            return ("invalid", faults)
        names_tenants = "tenants" in upserts or "tenants" in removes
        keeps_tenants = not names_tenants and listed_tenants(self.document) is None
        return self.replace(base, document, digest, with_tenants, keeps_tenants)
