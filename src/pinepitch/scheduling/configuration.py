"""The routes and services in force: checked, replaced whole or by named items, looked up."""

import collections
import hashlib
import json
from collections.abc import Iterable
from typing import Any

import voluptuous

from ..common import constants
from ..model.validation import number as _number
from ..model.validation import shaped
from ..model.validation import whole_number as _whole_number
from .plain_types import Document, Faults, Image, Outcome
from .tenants import TENANT, Tenants, shared_keys, with_keys

_NAME = voluptuous.All(str, voluptuous.Length(min=1, max=constants.MAX_NAME_LENGTH))
_PREFIX = voluptuous.All(
    str, voluptuous.Length(min=1, max=constants.MAX_PREFIX_LENGTH), voluptuous.Match(r"^/")
)
ROUTE = {
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
SERVICE = {
    voluptuous.Required("name"): _NAME,
    voluptuous.Optional("guards"): bool,
    voluptuous.Extra: object,
}
SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("version"): _whole_number(1, constants.MAX_NUMBER),
        voluptuous.Required("routes"): [ROUTE],
        voluptuous.Required("services"): [SERVICE],
        voluptuous.Extra: object,
    }
)
LISTS = ("routes", "services")
PUBLIC_SHAPE = voluptuous.Schema(
    {
        voluptuous.Required("routes"): [{voluptuous.Optional("public"): bool, voluptuous.Extra: object}],
        voluptuous.Extra: object,
    }
)
TENANTS_SHAPE = voluptuous.Schema({voluptuous.Optional("tenants"): [TENANT], voluptuous.Extra: object})


def checked(document: Any, with_tenants: bool = False, keeps_tenants: bool = False) -> Faults:
    """Faults of a whole configuration, () when it may come into force. Tenants, and which routes are public,
    are looked at only where the entry of the log says so: what older versions took without a look stays
    taken, also by a change that keeps the tenants in force.
    """
    faults: Faults = shaped(SHAPE, document)[1]
    if not faults and with_tenants:
        faults = shaped(PUBLIC_SHAPE, document)[1]
    with_tenants = with_tenants and not keeps_tenants
    if not faults and with_tenants:
        faults = shaped(TENANTS_SHAPE, document)[1]
    if faults:
        return faults
    found: list[tuple[str, str]] = []
    places: dict[tuple[str, str], str] = {}
    services = {service["name"] for service in document["services"]}
    tenants = document.get("tenants", ()) if with_tenants else ()
    found.extend(shared_keys(tenants))
    for kind in (*LISTS, "tenants") if tenants else LISTS:
        counts = collections.Counter(item["name"] for item in document[kind])
        found.extend((f"{kind}.{name}", "named twice") for name in sorted(counts) if counts[name] > 1)
    for route in document["routes"]:
        place = (route["host"].lower(), route["prefix"])
        if route["service"] not in services:
            found.append((f"routes.{route['name']}.service", f"no service {route['service']!r}"))
        if place in places:
            found.append(
                (f"routes.{route['name']}", f"{route['host']}{route['prefix']} is that of {places[place]}")
            )
        places[place] = route["name"]
        if route.get("timeout_ms", 1) == 0:
            found.append((f"routes.{route['name']}.timeout_ms", "0 leaves no time"))
    return tuple(found)


def _named(items: object) -> bool:
    """Whether something is a list of items that each have a name."""
    return isinstance(items, list) and all(
        isinstance(one, dict) and isinstance(one.get("name"), str) for one in items
    )


def amended(
    document: Document, version: Any, upserts: dict[str, Any], removes: dict[str, Any]
) -> tuple[Any, Faults]:
    """(the document with named items put in and taken out, ()) or (None, faults)."""
    changed: Document = {**document, "version": version}
    for part, items in upserts.items():
        if not _named(items):
            return None, ((f"upserts.{part}", "expected a list of named items"),)
        fresh = {item["name"]: item for item in items}
        if len(fresh) < len(items):
            return None, ((f"upserts.{part}", "an item is named twice"),)
        before = changed.get(part, [])
        if not _named(before):
            return None, ((f"upserts.{part}", "not a list of named items"),)
        changed[part] = [fresh.pop(one["name"], one) for one in before] + list(fresh.values())
    for part, names in removes.items():
        if not isinstance(names, list) or not _named(changed.get(part)):
            return None, ((f"removes.{part}", "expected names out of a list of named items"),)
        changed[part] = [one for one in changed[part] if one["name"] not in names]
    return changed, ()


def digest_of(value: object) -> str:
    """What tells two calls with one version apart."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:16]


class Configuration:
    """What is in force, and which calls brought earlier versions. Invariants: version is that
    of document, 0 while there is none; taken holds the digest of the call behind each of the
    newest CONFIGURATIONS_KEPT versions; places lists each host's routes, longest prefix first.
    """

    def __init__(self, document: Document | None = None, taken: Iterable[tuple[int, str]] = ()) -> None:
        self.taken = dict(taken)
        self._put(document)

    def _put(self, document: Document | None) -> None:
        self.document = document
        self.version: int = document["version"] if document else 0
        self.places: dict[str, list[tuple[str, Document]]] = {}  # host -> (prefix, route)s, longest first
        self.routes: dict[str, Document] = {}  # by name
        self.services: dict[str, Document] = {}  # by name
        if document:
            for route in document["routes"]:
                self.places.setdefault(route["host"].lower(), []).append((route["prefix"], route))
                self.routes[route["name"]] = route
            for places in self.places.values():
                places.sort(key=lambda one: -len(one[0]))
            self.services = {service["name"]: service for service in document["services"]}
        self.tenants = Tenants(document)

    def image(self) -> Image:
        """A value of which the same is made again."""
        return (self.document, tuple(self.taken.items()))

    def find(self, host: str, path: str) -> tuple[Document, str] | None:
        """(route, the rest of the path) of the longest prefix that fits, or None."""
        for prefix, route in self.places.get(host.lower(), ()):
            if path.startswith(prefix):
                return route, path[len(prefix) :]
        return None

    def _forgotten_below(self) -> int:
        """The version below which calls may have been taken and forgotten, 0 if none is forgotten."""
        return next(iter(self.taken)) if len(self.taken) >= constants.CONFIGURATIONS_KEPT else 0

    def _earlier_outcome(self, base: int, version: Any, digest: str) -> Outcome | None:
        """The outcome of a call that was taken before or comes too late, or None: it may be taken.

        A call older than all that is remembered may have been taken, so it is not refused.
        """
        is_number = type(version) is int
        if is_number and self.taken.get(version) == digest:
            return ("configured", version)
        if base == self.version:
            return None
        if is_number and base < version < self._forgotten_below():
            return ("forgotten", version)
        return ("stale", self.version)

    def take(
        self,
        base: int,
        document: Document,
        digest: str,
        with_tenants: bool = False,
        keeps_tenants: bool = False,
    ) -> Outcome:
        """Brings a whole configuration into force in place of version `base`: ("configured", version). Else
        ("stale", version in force), ("forgotten", version) or ("invalid", faults).
        """
        version: Any = document.get("version")  # of any type, as it isn't checked yet
        earlier_outcome = self._earlier_outcome(base, version, digest)
        if earlier_outcome is not None and earlier_outcome[0] != "forgotten":
            return earlier_outcome
        faults = checked(document, with_tenants, keeps_tenants)
        if not faults and earlier_outcome is not None:
            return earlier_outcome
        if not faults and version <= self.version:
            faults = (("version", f"{version} is not above {self.version}"),)
        if faults:
            return ("invalid", faults)
        self._put(document)
        self.taken[version] = digest
        while len(self.taken) > constants.CONFIGURATIONS_KEPT:
            del self.taken[next(iter(self.taken))]
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
        """The same for named items: `upserts` by list, `removes` names by list (the users' page on
        configuration).
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
        keeps_tenants = not names_tenants and with_keys(self.document) is None
        return self.take(base, document, digest, with_tenants, keeps_tenants)
